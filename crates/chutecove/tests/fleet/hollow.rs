//! A sidecar that links, says what it is told to, and does no more.

use super::Fleet;
use mesh::{
    decode_frame, encode_frame, Greeting, InstanceRecord, NodeAddress, NodeRecord, Purpose,
    ToCoordinator, ToSidecar, PROTOCOL_VERSION,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

/// One link of such a sidecar.
pub struct Hollow {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Hollow {
    /// Links as a sidecar of no upstream.
    pub fn link(fleet: &Fleet, coordinator: u8, number: u16) -> Self {
        Self::link_of(fleet, coordinator, number, "hollow", None)
    }

    /// Links as the sidecar beside an upstream of a service.
    pub fn link_of(
        fleet: &Fleet,
        coordinator: u8,
        number: u16,
        service: &str,
        instance: Option<InstanceRecord>,
    ) -> Self {
        let address = SocketAddr::from((fleet.ip(coordinator), fleet.ports.mesh));
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket option");
        let mut bytes = Vec::new();
        let greeting = Greeting {
            protocol: PROTOCOL_VERSION,
            fleet: "small".to_owned(),
            purpose: Purpose::Sidecar,
        };
        encode_frame(&greeting, &mut bytes);
        let [high, low] = number.to_be_bytes();
        let record = NodeRecord {
            address: NodeAddress { ip: Ipv4Addr::new(10, 9, high, low), port: 1 },
            boot_id: 1,
            sequence: 1,
            zone: "a".to_owned(),
            service: service.to_owned(),
            stopping: false,
            instance,
        };
        encode_frame(&ToCoordinator::Report(record), &mut bytes);
        stream.write_all(&bytes).expect("it is read");
        Hollow { stream, input: Vec::new() }
    }

    /// Says something.
    pub fn say(&mut self, message: &ToCoordinator) {
        let mut bytes = Vec::new();
        encode_frame(message, &mut bytes);
        self.stream.write_all(&bytes).expect("it is read");
    }

    /// The next that the coordinator says.
    pub fn next(&mut self) -> ToSidecar {
        loop {
            if let Some((frame, length)) = decode_frame(&self.input).expect("a frame") {
                self.input.drain(..length);
                return frame;
            }
            let mut piece = [0; 4_096];
            let count = self.stream.read(&mut piece).expect("an answer in time");
            assert!(count > 0, "the link was ended");
            self.input.extend_from_slice(&piece[..count]);
        }
    }

    /// The coordinator answers a ping on this link.
    pub fn is_served(&mut self, asked_at: u64) {
        self.say(&ToCoordinator::Ping { asked_at });
        loop {
            // Others were asked for by the thread that keeps the link alive.
            if matches!(self.next(), ToSidecar::Pong { asked_at: found, .. } if found == asked_at) {
                return;
            }
        }
    }
}
