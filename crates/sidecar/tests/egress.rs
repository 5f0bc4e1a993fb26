//! Large answers on this machine's link: their order at the sockets, and which calls are admitted.

mod common;

use admission::{LinkState, SendUrgency};
use common::{NAMES, SERVICE};
use http1::{Answer, Headers, Request, Response};
use mesh::{HopOutcome, HopReply, HopRequest, InstanceRecord, InstanceState};
use sidecar::{
    Attempt, ConnectionId, JobAction, JobMetrics, Jobs, LogSample, Net, Source, UpstreamEnd,
};
use std::io::{ErrorKind, Read};
use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use telemetry::Registry;

const LOOPBACK: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// A link of 0.8 Mbit/s, in bytes per millisecond.
const SLOW_LINK: f64 = 100.0;
/// A link that fills the buffers of a socket immediately, in bytes per millisecond.
const FAST_LINK: f64 = 100_000.0;
const LARGE_BYTES: usize = 40_000;
const MAX_TURNS: usize = 20_000;
const LARGE: SendUrgency = SendUrgency { deferrable: true, rank: 1, target_ms: 1_500 };

/// Connections of one process over a slow link, together with their other ends.
struct Sockets {
    net: Net,
    listener: TcpListener,
    held: Vec<(ConnectionId, Peer)>,
}

struct Peer {
    stream: TcpStream,
    received: Vec<u8>,
    ended: bool,
}

impl Peer {
    fn read(&mut self) {
        let mut buffer = [0; 64 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = true,
                Ok(count) => {
                    self.received.extend_from_slice(&buffer[..count]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => panic!("{error}"),
            }
            return;
        }
    }
}

impl Sockets {
    fn open(count: usize) -> Self {
        Self::with_link(SLOW_LINK, count)
    }

    fn with_link(bytes_per_ms: f64, count: usize) -> Self {
        let listener = TcpListener::bind((LOOPBACK, 0)).expect("binding a loopback address");
        let net = Net::new(IpAddr::V4(LOOPBACK), Some(bytes_per_ms)).expect("creating the sockets");
        let mut sockets = Sockets { net, listener, held: Vec::new() };
        for _ in 0..count {
            let address = sockets.listener.local_addr().expect("the listener's address");
            let id = sockets.net.connect(address).expect("connecting to the listener");
            sockets.net.set_remote_for_tests(id);
            sockets.net.set_urgency(id, LARGE);
            let (stream, _) = sockets.listener.accept().expect("accepting the connection");
            stream.set_nonblocking(true).expect("setting non-blocking mode");
            sockets.held.push((id, Peer { stream, received: Vec::new(), ended: false }));
        }
        sockets
    }

    fn id(&self, index: usize) -> ConnectionId {
        self.held[index].0
    }

    fn peer(&self, index: usize) -> &Peer {
        &self.held[index].1
    }

    /// Runs the loop until a condition holds; only the given peers read.
    fn run_until(&mut self, reading: &[usize], condition: impl Fn(&Sockets) -> bool) {
        for _ in 0..MAX_TURNS {
            if condition(self) {
                return;
            }
            let wait_ms = self.net.due_in_ms().unwrap_or(1).min(5);
            self.net.poll(Duration::from_millis(wait_ms));
            self.net.pump();
            for index in reading {
                self.held[*index].1.read();
            }
        }
        panic!("the condition was not met in time");
    }
}

fn pattern(bytes: usize, seed: u8) -> Vec<u8> {
    (0..bytes).map(|index| (index % 251) as u8 ^ seed).collect()
}

#[test]
fn a_small_message_does_not_stand_behind_a_large_one() {
    let mut sockets = Sockets::open(2);
    let (large, small) = (sockets.id(0), sockets.id(1));
    sockets.run_until(&[0, 1], |sockets| !sockets.net.has_unsent());
    sockets.net.send(large, &pattern(LARGE_BYTES, 1));
    sockets.net.send(small, b"small");
    sockets.run_until(&[0, 1], |sockets| sockets.peer(1).received == b"small");
    assert!(sockets.peer(0).received.len() < LARGE_BYTES / 2);
    assert!(sockets.net.link_state().waiting_bytes > 0);
    sockets.run_until(&[0, 1], |sockets| sockets.peer(0).received.len() == LARGE_BYTES);
    assert_eq!(sockets.peer(0).received, pattern(LARGE_BYTES, 1));
    assert_eq!(sockets.net.link_state().waiting_bytes, 0);
    assert_eq!(sockets.net.due_in_ms(), None);
}

#[test]
fn a_connection_that_is_finished_sends_what_waits_for_the_link_first() {
    let mut sockets = Sockets::open(1);
    let id = sockets.id(0);
    sockets.net.send(id, &pattern(LARGE_BYTES, 2));
    sockets.net.finish(id, false);
    // Output that waits for the link is no reason to drop the connection.
    sockets.net.sweep(Duration::ZERO, Duration::ZERO);
    sockets.run_until(&[0], |sockets| sockets.peer(0).ended);
    assert_eq!(sockets.peer(0).received, pattern(LARGE_BYTES, 2));
}

#[test]
fn a_closed_connection_leaves_nothing_that_waits() {
    let mut sockets = Sockets::open(2);
    let (left, stays) = (sockets.id(0), sockets.id(1));
    sockets.net.send(left, &pattern(LARGE_BYTES, 3));
    sockets.net.send(stays, &pattern(LARGE_BYTES / 8, 4));
    sockets.net.close(left);
    assert_eq!(sockets.net.link_state().waiting_bytes, LARGE_BYTES / 8);
    sockets.run_until(&[1], |sockets| sockets.peer(1).received.len() == LARGE_BYTES / 8);
    assert_eq!(sockets.net.link_state().waiting_bytes, 0);
}

#[test]
fn what_a_socket_did_not_take_goes_before_a_large_message_of_its_connection() {
    let mut sockets = Sockets::open(1);
    let id = sockets.id(0);
    sockets.run_until(&[], |sockets| !sockets.net.has_unsent());
    // Sends small messages until the socket accepts no more, since its peer does not read.
    let mut expected = Vec::new();
    while !sockets.net.has_unsent() {
        let small = pattern(200, 5);
        sockets.net.send(id, &small);
        expected.extend(small);
        if expected.len() % 2_000 == 0 {
            sockets.net.poll(Duration::ZERO);
        }
    }
    sockets.net.send(id, &pattern(LARGE_BYTES, 6));
    sockets.net.send(id, &pattern(100, 7));
    expected.extend(pattern(LARGE_BYTES, 6));
    expected.extend(pattern(100, 7));
    let whole = expected.len();
    sockets.run_until(&[0], |sockets| sockets.peer(0).received.len() == whole);
    assert!(sockets.peer(0).received == expected, "every byte arrives in order");
}

#[test]
fn a_peer_that_reads_nothing_holds_up_no_other() {
    let mut sockets = Sockets::with_link(FAST_LINK, 6);
    for index in 0..5 {
        let id = sockets.id(index);
        sockets.net.send(id, &pattern(8_000_000, 8));
    }
    let last = sockets.id(5);
    sockets.net.send(last, &pattern(LARGE_BYTES / 8, 9));
    sockets.run_until(&[5], |sockets| sockets.peer(5).received.len() == LARGE_BYTES / 8);
}

const DRAIN_MS: u64 = 2_000;
const SLOTS: u32 = 12;
const ANSWER_BYTES: usize = 90_000;
const RUN_MS: u64 = 140;
/// A link of 16 Mbit/s on which no data waits.
const ROOM: LinkState = LinkState { bytes_per_ms: Some(2_000.0), waiting_bytes: 0 };

fn jobs(room: LinkState) -> Jobs {
    let metrics = JobMetrics::new(&Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, DRAIN_MS, None, LogSample::new(1), metrics);
    let record = InstanceRecord {
        id: "i-1".to_owned(),
        state: InstanceState::Ready,
        slots: SLOTS,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    };
    jobs.gate.on_report(&record, 1, 0);
    jobs.refresh_limit(0);
    jobs.set_link_state(room);
    jobs
}

fn hop() -> HopRequest {
    HopRequest {
        deadline_ms: 3_000,
        patience_ms: 100,
        rank: 2,
        target_ms: 1_500,
        repeatable: true,
        service: SERVICE.to_owned(),
        instance: None,
        departure: None,
        suspect: false,
        nested: false,
        repeat: false,
        hedge: false,
        usual_ms: 0,
        rate_limit: None,
    }
}

fn peer(slot: u64) -> Source {
    Source::Peer { connection: ConnectionId::for_tests(1), slot }
}

fn begin(jobs: &mut Jobs, source: Source, hop: &HopRequest, now: u64) -> Vec<JobAction> {
    let mut headers = Headers::default();
    headers.push(NAMES.attempt_id, "id-1");
    let (method, target) = ("GET".to_owned(), "/pack".to_owned());
    let request = Request { method, target, headers, body: bytes::Bytes::new() };
    jobs.begin(source, Rc::new(request), hop, now)
}

fn run(actions: &[JobAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        JobAction::Run { job, .. } => Some(*job),
        _ => None,
    })
}

fn refusal(actions: &[JobAction]) -> Option<HopReply> {
    actions.iter().find_map(|action| match action {
        JobAction::Reply { reply, .. } if reply.outcome == HopOutcome::Refused => Some(*reply),
        _ => None,
    })
}

fn end(jobs: &mut Jobs, job: u64, bytes: usize, now: u64) -> Vec<JobAction> {
    let response = Response::text(200, &"x".repeat(bytes)).with_header(NAMES.seal, "s");
    jobs.ended(job, UpstreamEnd::Answered(Answer { response, reusable: true }), now)
}

/// A sidecar whose only answer so far had this size.
fn jobs_with_answer_size(room: LinkState, bytes: usize) -> Jobs {
    let mut jobs = jobs(room);
    let job = run(&begin(&mut jobs, peer(0), &hop(), 0)).expect("the first call is accepted");
    end(&mut jobs, job, bytes, RUN_MS);
    jobs.set_link_state(room);
    jobs
}

#[test]
fn a_run_whose_answer_would_leave_too_late_is_refused_with_slots_free() {
    let mut jobs = jobs_with_answer_size(ROOM, ANSWER_BYTES);
    // Six answers of 45 ms each exceed, by 30 ms, what the link carries during one job plus the
    // patience of a call.
    let began = (1..=12).take_while(|slot| {
        let actions = begin(&mut jobs, peer(*slot), &hop(), 1_000);
        run(&actions).is_some()
    });
    assert_eq!(began.count(), 6);
    assert_eq!(jobs.load(), (6, 0), "slots are free and the queue is empty");
    let reply = refusal(&begin(&mut jobs, peer(20), &hop(), 1_000)).expect("a refusal");
    assert!(reply.link_full);
    assert_eq!((reply.egress_wait_ms, reply.egress_bytes_per_ms), (270, 2_000));
    assert!((50..=200).contains(&reply.retry_after_ms), "{}", reply.retry_after_ms);
    assert_eq!(jobs.load_report(1_000).egress_wait_ms, 270);
    assert_eq!(jobs.link_refusals(), 2);
}

#[test]
fn what_needs_no_link_or_is_waited_for_by_a_begun_run_is_let_in() {
    let mut jobs =
        jobs_with_answer_size(LinkState { waiting_bytes: 2_000_000, ..ROOM }, ANSWER_BYTES);
    assert!(refusal(&begin(&mut jobs, peer(1), &hop(), 1_000)).is_some());
    let beside = Source::Local(Attempt { call: 1, number: 1 });
    assert!(run(&begin(&mut jobs, beside, &hop(), 1_000)).is_some());
    let nested = HopRequest { nested: true, ..hop() };
    assert!(run(&begin(&mut jobs, peer(2), &nested, 1_000)).is_some());
    // Another kind of call, whose answers are small.
    let small = HopRequest { target_ms: 200, ..hop() };
    let job = run(&begin(&mut jobs, peer(3), &small, 1_000))
        .expect("a call of an unknown kind is accepted");
    end(&mut jobs, job, 700, 1_050);
    jobs.set_link_state(LinkState { waiting_bytes: 2_000_000, ..ROOM });
    assert!(run(&begin(&mut jobs, peer(4), &small, 1_100)).is_some());
}

#[test]
fn jobs_that_end_otherwise_give_back_what_they_booked() {
    let mut jobs = jobs_with_answer_size(ROOM, ANSWER_BYTES);
    for slot in 1..=6 {
        assert!(run(&begin(&mut jobs, peer(slot), &hop(), 1_000)).is_some());
    }
    // The callers leave.
    for slot in 1..=3 {
        jobs.cancel(peer(slot), 1_010);
    }
    jobs.connection_ended(ConnectionId::for_tests(1), 1_020);
    assert_eq!(jobs.load_report(1_000).egress_wait_ms, 0);
    assert!(run(&begin(&mut jobs, peer(7), &hop(), 1_030)).is_some());
}

#[test]
fn an_unknown_link_refuses_nothing() {
    let mut jobs = jobs_with_answer_size(LinkState::default(), 10 * ANSWER_BYTES);
    for slot in 1..=u64::from(SLOTS) {
        assert!(run(&begin(&mut jobs, peer(slot), &hop(), 1_000)).is_some(), "{slot}");
    }
    assert_eq!(jobs.load_report(1_000).egress_wait_ms, 0);
}
