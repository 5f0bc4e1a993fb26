//! A call that reaches a sidecar at the end of a planned stop must be answered before the process exits.
//!
//! The failure was seen in a soak test (seed 42002, next to a load of 80 on 8 cores): call 413 was sent 1.06 s
//! before its sidecar exited, which never read it. The likely cause: after each poll of the sockets, the calls
//! read so far decide whether the process may exit. A connection accepted in that poll is only read in the
//! next one, but with nothing in flight the process exits as soon as it has informed its peers
//! (`sidecar_closing` and `sidecar_stopped` were 41 us apart). When the CPU is briefly overloaded, more than
//! one call can be lost.

mod fleet;

use fleet::{wait_until, Fleet, SERVICE};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// A stopping sidecar serves new calls for less than this after the signal; the process may live twice as
/// long.
const SERVING_TIME: Duration = Duration::from_millis(2_600);
const READ_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_call_that_came_while_a_stopping_sidecar_stood_still_is_answered() {
    let fleet = Fleet::new(15);
    let _coordinators = [1, 2, 3].map(|host| fleet.start_coordinator(host, true));
    let callers = fleet.start_sidecar(11, "callers");
    let _sidecar = fleet.start_sidecar(12, SERVICE);
    let _upstream = fleet.start_upstream(12);
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    wait_until("the upstream registers", || fleet.register(12, "i-1", 1, false));
    wait_until("a call is served", || {
        fleet.call(11, "/one/x").is_some_and(|(status, _)| status == 200)
    });

    callers.signal("-TERM");
    let signaled_at = Instant::now();
    wait_until("the sidecar reports that it stops", || !fleet.is_ready(11));
    callers.signal("-STOP");
    let mut stream = TcpStream::connect((fleet.ip(11), fleet.ports.outbound))
        .expect("the sidecar still listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout is set");
    let request =
        "GET /one/x HTTP/1.1\r\nHost: fares.example\r\nX-Chutecove-Attempt-Id: a-1\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("the kernel accepts the bytes");
    thread::sleep(SERVING_TIME.saturating_sub(signaled_at.elapsed()));
    callers.signal("-CONT");

    let mut answer = [0; 12];
    let read = stream.read_exact(&mut answer);
    let status = String::from_utf8_lossy(&answer[9..]).into_owned();
    assert!(read.is_ok() && ["200", "503"].contains(&status.as_str()), "{read:?}, {status:?}");
}
