//! Detection and replacement of connections between coordinators that stall permanently while new
//! connections work.

use coordinator::{SilenceWatch, Transport};
use mesh::{CoordinatorFrame, MemberId};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use telemetry::BootInstant;

const TIMEOUT: Duration = Duration::from_secs(20);
const SEND_INTERVAL: Duration = Duration::from_millis(40);

/// Behavior of a peer on an accepted connection.
#[derive(Clone, Copy)]
enum Behavior {
    /// Reads, and sends receipts.
    SendsReceipts,
    /// Reads without sending receipts, as if packets from the peer were lost.
    SendsNothing,
    /// Neither reads nor sends, as if packets in both directions were lost.
    Stalls,
}

struct Peer {
    /// Bytes read on each connection, in order of acceptance.
    read: Arc<[AtomicUsize; 8]>,
    transport: Transport,
    member: MemberId,
}

fn peer(host: u8, behaviors: &'static [Behavior]) -> Peer {
    let address = Ipv4Addr::new(127, 78, 0, host);
    let listener = TcpListener::bind((address, 0)).expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let read: Arc<[AtomicUsize; 8]> = Arc::default();
    let counts = read.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let behavior = behaviors.get(number).copied().unwrap_or(Behavior::SendsReceipts);
            let counts = counts.clone();
            thread::spawn(move || serve(stream, behavior, &counts[number.min(7)]));
        }
    });
    let transport = Transport::new("fleet", port);
    Peer { read, transport, member: MemberId::first_at(address) }
}

fn serve(mut stream: TcpStream, behavior: Behavior, read: &AtomicUsize) {
    let mut bytes = [0; 4_096];
    loop {
        match behavior {
            Behavior::Stalls => thread::sleep(TIMEOUT),
            Behavior::SendsReceipts | Behavior::SendsNothing => match stream.read(&mut bytes) {
                Ok(count) if count > 0 => {
                    read.fetch_add(count, Ordering::SeqCst);
                }
                _ => return,
            },
        }
        let sends_receipt = matches!(behavior, Behavior::SendsReceipts);
        if sends_receipt && stream.write_all(b"h").is_err() {
            return;
        }
    }
}

impl Peer {
    fn send(&self) {
        self.transport.send(self.member, CoordinatorFrame::Join { member: 7 });
        thread::sleep(SEND_INTERVAL);
    }

    fn send_until(&self, what: &str, holds: impl Fn(&Peer) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < end, "timeout: {what}");
            self.send();
        }
    }
}

#[test]
fn a_connection_that_fell_silent_gives_way_to_another() {
    let rows: [(&str, u8, &'static [Behavior]); 3] = [
        ("no receipts", 1, &[Behavior::SendsNothing]),
        ("neither reads nor receipts", 2, &[Behavior::Stalls]),
        ("two stalled connections in a row", 3, &[Behavior::Stalls, Behavior::SendsNothing]),
    ];
    for (name, host, behaviors) in rows {
        let peer = peer(host, behaviors);
        let next = behaviors.len();
        peer.send_until(name, |peer| peer.read[next].load(Ordering::SeqCst) > 100);
    }
}

/// An event on a connection; `Sent` contains its time in milliseconds.
#[derive(Clone, Copy)]
enum Step {
    Sent(u64),
    Receipt,
}

#[test]
fn only_what_was_sent_and_not_heard_of_for_a_second_is_silent() {
    use Step::{Receipt, Sent};
    let rows: [(&str, &[Step], u64, bool); 7] = [
        ("nothing was sent", &[], 60_000, false),
        ("a moment ago", &[Sent(0)], 999, false),
        ("a second ago", &[Sent(0)], 1_000, true),
        ("sent again and again", &[Sent(0), Sent(500), Sent(990)], 1_000, true),
        ("a receipt in between", &[Sent(0), Receipt, Sent(900)], 1_500, false),
        ("a receipt, then idle", &[Sent(0), Receipt], 60_000, false),
        ("idle, then sent", &[Sent(0), Receipt, Sent(60_000)], 60_010, false),
    ];
    let start = BootInstant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    for (name, steps, now, silent) in rows {
        let mut watch = SilenceWatch::default();
        for step in steps {
            match *step {
                Sent(milliseconds) => watch.note_sent(at(milliseconds)),
                Receipt => watch.note_receipt(),
            }
        }
        assert_eq!(watch.is_silent(at(now)), silent, "{name}");
    }
}

/// Data that is sent only once must be sent again to peers that may have missed it.
#[test]
fn each_connection_that_is_made_counts_as_a_gap_and_no_other_frame_does() {
    let peer = peer(4, &[Behavior::SendsNothing]);
    assert_eq!(peer.transport.gaps(peer.member), 0);
    peer.send_until("it is connected", |peer| peer.transport.gaps(peer.member) == 1);
    for _ in 0..3 {
        peer.send();
    }
    assert_eq!(peer.transport.gaps(peer.member), 1, "no frames were lost since");
    peer.send_until("another connection is made", |peer| peer.transport.gaps(peer.member) == 2);
}
