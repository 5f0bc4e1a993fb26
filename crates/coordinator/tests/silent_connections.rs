//! Connections between coordinators that fall silent for good, while new ones work.

use coordinator::{SilenceWatch, Transport};
use mesh::{CoordinatorFrame, MemberId};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use telemetry::BootInstant;

const PATIENCE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(40);

/// How a peer treats the connections that it takes, in their order.
#[derive(Clone, Copy)]
enum Manner {
    /// It reads and says so.
    Hears,
    /// It reads and says nothing, as if the way back were gone.
    SaysNothing,
    /// It neither reads nor says anything, as if both ways were gone.
    Silent,
}

struct Peer {
    /// Bytes read on each connection.
    read: Arc<[AtomicUsize; 8]>,
    transport: Transport,
    member: MemberId,
}

fn peer(host: u8, manners: &'static [Manner]) -> Peer {
    let address = Ipv4Addr::new(127, 78, 0, host);
    let listener = TcpListener::bind((address, 0)).expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let read: Arc<[AtomicUsize; 8]> = Arc::default();
    let counts = read.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let manner = manners.get(number).copied().unwrap_or(Manner::Hears);
            let counts = counts.clone();
            thread::spawn(move || treat(stream, manner, &counts[number.min(7)]));
        }
    });
    let transport = Transport::new("fleet", port);
    Peer { read, transport, member: MemberId::first_at(address) }
}

fn treat(mut stream: TcpStream, manner: Manner, read: &AtomicUsize) {
    let mut bytes = [0; 4_096];
    loop {
        match manner {
            Manner::Silent => thread::sleep(PATIENCE),
            Manner::Hears | Manner::SaysNothing => match stream.read(&mut bytes) {
                Ok(count) if count > 0 => {
                    read.fetch_add(count, Ordering::SeqCst);
                }
                _ => return,
            },
        }
        let says = matches!(manner, Manner::Hears);
        if says && stream.write_all(b"h").is_err() {
            return;
        }
    }
}

impl Peer {
    fn send(&self) {
        self.transport.send(self.member, CoordinatorFrame::Join { member: 7 });
        thread::sleep(PAUSE);
    }

    fn send_until(&self, what: &str, holds: impl Fn(&Peer) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            self.send();
        }
    }
}

#[test]
fn a_connection_that_fell_silent_gives_way_to_another() {
    let rows: [(&str, u8, &'static [Manner]); 3] = [
        ("the way back", 1, &[Manner::SaysNothing]),
        ("both ways", 2, &[Manner::Silent]),
        ("twice in a row", 3, &[Manner::Silent, Manner::SaysNothing]),
    ];
    for (name, host, manners) in rows {
        let peer = peer(host, manners);
        let next = manners.len();
        peer.send_until(name, |peer| peer.read[next].load(Ordering::SeqCst) > 100);
    }
}

/// What happens on a connection, at so many milliseconds.
#[derive(Clone, Copy)]
enum Step {
    Sent(u64),
    Heard,
}

#[test]
fn only_what_was_sent_and_not_heard_of_for_a_second_is_silent() {
    use Step::{Heard, Sent};
    let rows: [(&str, &[Step], u64, bool); 7] = [
        ("nothing was sent", &[], 60_000, false),
        ("a moment ago", &[Sent(0)], 999, false),
        ("a second ago", &[Sent(0)], 1_000, true),
        ("sent again and again", &[Sent(0), Sent(500), Sent(990)], 1_000, true),
        ("heard meanwhile", &[Sent(0), Heard, Sent(900)], 1_500, false),
        ("heard, then idle", &[Sent(0), Heard], 60_000, false),
        ("idle, then sent", &[Sent(0), Heard, Sent(60_000)], 60_010, false),
    ];
    let began = BootInstant::now();
    let at = |milliseconds| began + Duration::from_millis(milliseconds);
    for (name, steps, now, silent) in rows {
        let mut watch = SilenceWatch::default();
        for step in steps {
            match *step {
                Sent(milliseconds) => watch.sent(at(milliseconds)),
                Heard => watch.heard(),
            }
        }
        assert_eq!(watch.is_silent(at(now)), silent, "{name}");
    }
}

/// What is told only once must be told again to who may have missed it.
#[test]
fn each_connection_that_is_made_counts_as_a_gap_and_no_other_frame_does() {
    let peer = peer(4, &[Manner::SaysNothing]);
    assert_eq!(peer.transport.gaps(peer.member), 0);
    peer.send_until("it is connected", |peer| peer.transport.gaps(peer.member) == 1);
    for _ in 0..3 {
        peer.send();
    }
    assert_eq!(peer.transport.gaps(peer.member), 1, "nothing was lost since");
    peer.send_until("another connection is made", |peer| peer.transport.gaps(peer.member) == 2);
}
