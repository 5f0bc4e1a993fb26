//! A fake sidecar that connects to a coordinator and sends only the messages that a test gives it.

use super::Fleet;
use mesh::{
    decode_frame, encode_frame, Greeting, InstanceRecord, NodeAddress, NodeRecord, Purpose,
    ToCoordinator, ToSidecar, PROTOCOL_VERSION,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

/// The connection of a fake sidecar to a coordinator.
pub struct FakeSidecar {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl FakeSidecar {
    /// Connects as a sidecar without an upstream.
    pub fn connect(fleet: &Fleet, coordinator: u8, number: u16) -> Self {
        Self::connect_as(fleet, coordinator, number, "hollow", None)
    }

    /// Connects as the sidecar of an upstream of a service.
    pub fn connect_as(
        fleet: &Fleet,
        coordinator: u8,
        number: u16,
        service: &str,
        instance: Option<InstanceRecord>,
    ) -> Self {
        let address = SocketAddr::from((fleet.ip(coordinator), fleet.ports.mesh));
        let mut stream = TcpStream::connect(address).expect("the coordinator listens");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the read timeout is set");
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
        stream.write_all(&bytes).expect("the message is sent");
        FakeSidecar { stream, input: Vec::new() }
    }

    /// Sends a message to the coordinator.
    pub fn send(&mut self, message: &ToCoordinator) {
        let mut bytes = Vec::new();
        encode_frame(message, &mut bytes);
        self.stream.write_all(&bytes).expect("the message is sent");
    }

    /// Receives the next message of the coordinator.
    pub fn receive(&mut self) -> ToSidecar {
        loop {
            if let Some((frame, length)) = decode_frame(&self.input).expect("a valid frame") {
                self.input.drain(..length);
                return frame;
            }
            let mut chunk = [0; 4_096];
            let count = self.stream.read(&mut chunk).expect("a response within the timeout");
            assert!(count > 0, "the coordinator closed the connection");
            self.input.extend_from_slice(&chunk[..count]);
        }
    }

    /// Sends a ping and waits until the coordinator answers it.
    pub fn assert_ping_answered(&mut self, asked_at: u64) {
        self.send(&ToCoordinator::Ping { asked_at });
        loop {
            // Other pongs answer the pings of the thread that keeps the connection alive.
            if matches!(self.receive(), ToSidecar::Pong { asked_at: found, .. } if found == asked_at)
            {
                return;
            }
        }
    }
}
