//! Who watches a sidecar does not keep it from ending.

mod fleet;

use fleet::{wait_until, Fleet, SERVICE};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Clients of the readiness check that leave their connections open, although each answer closes its own.
#[test]
fn a_stop_does_not_wait_for_clients_of_the_readiness_check() {
    let fleet = Fleet::new(43);
    let _coordinators = [1, 2, 3].map(|host| fleet.start_coordinator(host, true));
    let mut sidecar = fleet.start_sidecar(12, SERVICE);
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    wait_until("the sidecar is ready", || fleet.is_ready(12));
    sidecar.signal("-TERM");
    let mut watchers = Vec::new();
    wait_until("the sidecar has ended", || {
        if let Ok(mut stream) = TcpStream::connect((fleet.ip(12), fleet.ports.ready)) {
            let _ = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            let _ = stream.read(&mut [0; 256]);
            watchers.push(stream);
        }
        !sidecar.is_running()
    });
    let ended_early = ["sidecar_stopped", "at_limit=false", "in_flight=0"];
    wait_until("its last line is read", || sidecar.has_logged(&["sidecar_stopped"]));
    assert!(sidecar.has_logged(&ended_early), "it ended at the limit of its stop");
}
