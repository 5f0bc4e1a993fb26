//! Connections that arrived while the loop was busy are all accepted.

use sidecar::{Net, NetEvent};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// More connections than are accepted in one poll.
const WAITING: usize = 100;
const OWN: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);

#[test]
fn more_connections_than_are_accepted_at_once_need_no_further_one() {
    let free = TcpListener::bind((OWN, 0))
        .expect("a free port")
        .local_addr()
        .expect("the listener's address");
    let mut net = Net::new(IpAddr::V4(OWN), None).expect("creating the sockets");
    net.listen(SocketAddr::from((OWN, free.port()))).expect("listening on a free port");
    let waiting: Vec<TcpStream> = (0..WAITING)
        .map(|_| TcpStream::connect(free).expect("connecting to the listener"))
        .collect();
    let mut accepted = 0;
    for _ in 0..WAITING {
        let events = net.poll(Duration::from_millis(20));
        let is_accepted = |event: &&NetEvent| matches!(event, NetEvent::Accepted { .. });
        accepted += events.iter().filter(is_accepted).count();
    }
    assert_eq!(accepted, waiting.len());
}
