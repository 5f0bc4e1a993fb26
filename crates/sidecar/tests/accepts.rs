//! Connections that came while the loop was busy are all accepted.

use sidecar::{Net, NetEvent};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// More than are accepted at once.
const WAITING: usize = 100;
const OWN: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);

#[test]
fn more_connections_than_are_accepted_at_once_need_no_further_one() {
    let free = TcpListener::bind((OWN, 0)).expect("a port").local_addr().expect("bound");
    let mut net = Net::new(IpAddr::V4(OWN), None).expect("a poll");
    net.listen(SocketAddr::from((OWN, free.port()))).expect("a free port");
    let waiting: Vec<TcpStream> =
        (0..WAITING).map(|_| TcpStream::connect(free).expect("it listens")).collect();
    let mut accepted = 0;
    for _ in 0..WAITING {
        let events = net.poll(Duration::from_millis(20));
        let is_accepted = |event: &&NetEvent| matches!(event, NetEvent::Accepted { .. });
        accepted += events.iter().filter(is_accepted).count();
    }
    assert_eq!(accepted, waiting.len());
}
