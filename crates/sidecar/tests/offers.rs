//! Offered bodies at the inbound side: one test for each point at which a transfer can go wrong.

mod common;

use common::{NAMES, SERVICE};
use expect_test::{expect, Expect};
use http1::{Headers, Request};
use mesh::{HopRequest, InstanceRecord, InstanceState};
use sidecar::{ConnectionId, JobAction, JobMetrics, Jobs, LogSample, Source};
use std::fmt::Write;
use std::rc::Rc;
use telemetry::Registry;

const DRAIN_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 1_000;
const PATIENCE_MS: u64 = 300;
const BODY_BYTES: u64 = 60_000;
/// A link with room for 680 bytes of request bodies per millisecond.
const LINK: Option<f64> = Some(800.0);

struct Inbound {
    jobs: Jobs,
    log: String,
}

impl Inbound {
    fn new() -> Self {
        let metrics = JobMetrics::new(&Registry::default());
        let mut jobs = Jobs::new(NAMES, SERVICE, DRAIN_MS, LINK, LogSample::new(1), metrics);
        jobs.gate.on_report(&record(InstanceState::Ready), 1, 0);
        jobs.refresh_limit(0);
        Inbound { jobs, log: String::new() }
    }

    /// Records the actions.
    fn record_actions(&mut self, now: u64, actions: Vec<JobAction>) {
        for action in actions {
            let _ = match action {
                JobAction::Run { request, .. } => {
                    let left = request.headers.text(NAMES.deadline_ms).unwrap_or("-").to_owned();
                    writeln!(self.log, "{now}: runs {} bytes, {left} ms left", request.body.len())
                }
                JobAction::Probe { .. } => writeln!(self.log, "{now}: probes"),
                JobAction::Abort(_) => writeln!(self.log, "{now}: aborts"),
                JobAction::Grant { source, bytes } => {
                    writeln!(self.log, "{now}: grants {bytes} to {}", peer_name(source))
                }
                JobAction::Reply { source, reply, .. } => writeln!(
                    self.log,
                    "{now}: {:?} to {}, back in {} ms, link {} ms",
                    reply.outcome,
                    peer_name(source),
                    reply.retry_after_ms,
                    reply.transfer_wait_ms
                ),
            };
        }
    }

    fn offer(&mut self, peer: u64, now: u64) {
        let actions = self.jobs.offer(source(peer), "7", &hop(), BODY_BYTES, now);
        self.record_actions(now, actions);
    }

    fn arrived(&mut self, peer: u64, bytes: u64, now: u64) {
        let actions = self.jobs.body_arrived(ConnectionId::for_tests(peer), bytes, now);
        self.record_actions(now, actions);
    }

    fn complete(&mut self, peer: u64, now: u64) {
        let actions = self.jobs.begin(source(peer), request(), &hop(), now);
        self.record_actions(now, actions);
    }

    fn disconnect(&mut self, peer: u64, now: u64) {
        let actions = self.jobs.connection_ended(ConnectionId::for_tests(peer), now);
        self.record_actions(now, actions);
    }

    fn tick(&mut self, now: u64) {
        let actions = self.jobs.tick(now);
        self.record_actions(now, actions);
    }

    fn check(&self, expected: Expect) {
        expected.assert_eq(&format!("{}in flight: {}\n", self.log, self.jobs.in_flight()));
    }
}

fn record(state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        id: "i-1".to_owned(),
        state,
        slots: 2,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    }
}

fn source(peer: u64) -> Source {
    Source::Peer { connection: ConnectionId::for_tests(peer), slot: 0 }
}

fn peer_name(source: Source) -> String {
    let peers = (0..10).find(|peer| self::source(*peer) == source);
    peers.map_or_else(|| "this machine".to_owned(), |peer| format!("peer {peer}"))
}

fn hop() -> HopRequest {
    HopRequest {
        deadline_ms: DEADLINE_MS,
        patience_ms: PATIENCE_MS,
        rank: 1,
        target_ms: 1_200,
        repeatable: false,
        service: SERVICE.to_owned(),
        instance: Some("i-1".to_owned()),
        departure: None,
        suspect: false,
        nested: false,
        repeat: false,
        hedge: false,
        usual_ms: 0,
        rate_limit: None,
    }
}

fn request() -> Rc<Request> {
    let mut headers = Headers::default();
    headers.push(NAMES.attempt_id, "7");
    headers.push("expect", "100-continue");
    let body = vec![0; BODY_BYTES as usize];
    Rc::new(Request {
        method: "POST".to_owned(),
        target: "/".to_owned(),
        headers,
        body: body.into(),
    })
}

#[test]
fn a_body_is_granted_in_pieces_and_its_time_on_the_way_counts() {
    let mut inbound = Inbound::new();
    inbound.offer(1, 100);
    inbound.offer(1, 101);
    inbound.arrived(1, 16_384, 130);
    inbound.arrived(1, 49_152, 170);
    inbound.complete(1, 200);
    inbound.check(expect![[r#"
        100: grants 24576 to peer 1
        130: grants 16384 to peer 1
        170: grants 19040 to peer 1
        200: runs 60000 bytes, 900 ms left
        in flight: 1
    "#]]);
}

#[test]
fn an_offer_that_waits_too_long_is_refused_with_the_time_to_return() {
    let mut inbound = Inbound::new();
    for peer in 1..=5 {
        inbound.offer(peer, 0);
    }
    inbound.tick(299);
    inbound.tick(300);
    inbound.check(expect![[r#"
        0: grants 24576 to peer 1
        0: Refused to peer 5, back in 52 ms, link 352 ms
        299: grants 24576 to peer 2
        300: Refused to peer 3, back in 176 ms, link 176 ms
        300: Refused to peer 4, back in 176 ms, link 176 ms
        in flight: 2
    "#]]);
}

#[test]
fn a_sender_that_dies_midway_leaves_nothing_behind() {
    let mut inbound = Inbound::new();
    inbound.offer(1, 0);
    inbound.offer(2, 1);
    inbound.arrived(1, 20_000, 30);
    inbound.disconnect(1, 40);
    inbound.arrived(1, 30_000, 41);
    inbound.check(expect![[r#"
        0: grants 24576 to peer 1
        30: grants 16384 to peer 1
        40: grants 24576 to peer 2
        in flight: 1
    "#]]);
}

#[test]
fn a_sender_that_stands_still_is_passed_over() {
    let mut inbound = Inbound::new();
    inbound.offer(1, 0);
    inbound.offer(2, 1);
    inbound.tick(149);
    inbound.tick(150);
    inbound.complete(2, 260);
    inbound.complete(1, 400);
    inbound.check(expect![[r#"
        0: grants 24576 to peer 1
        150: grants 24576 to peer 2
        260: runs 60000 bytes, 741 ms left
        400: runs 60000 bytes, 600 ms left
        in flight: 2
    "#]]);
}

#[test]
fn an_upstream_that_left_meanwhile_gets_no_call() {
    let mut inbound = Inbound::new();
    inbound.offer(1, 0);
    inbound.jobs.gate.on_report(&record(InstanceState::Draining), 2, 10);
    inbound.complete(1, 10 + DRAIN_MS);
    inbound.offer(2, 20 + DRAIN_MS);
    inbound.check(expect![[r#"
        0: grants 24576 to peer 1
        2010: Refused to peer 1, back in 0 ms, link 0 ms
        2020: Refused to peer 2, back in 0 ms, link 0 ms
        in flight: 0
    "#]]);
}

#[test]
fn a_stop_refuses_the_offers_that_wait() {
    let mut inbound = Inbound::new();
    inbound.offer(1, 0);
    inbound.offer(2, 1);
    let actions = inbound.jobs.close(10);
    inbound.record_actions(10, actions);
    inbound.complete(1, 90);
    inbound.offer(3, 91);
    inbound.check(expect![[r#"
        0: grants 24576 to peer 1
        10: Refused to peer 2, back in 88 ms, link 88 ms
        90: Refused to peer 1, back in 0 ms, link 0 ms
        91: Refused to peer 3, back in 0 ms, link 0 ms
        in flight: 0
    "#]]);
}

#[test]
fn an_offer_for_which_there_is_no_slot_in_time_costs_the_link_nothing() {
    let mut inbound = Inbound::new();
    for peer in 1..=9 {
        inbound.complete(peer, 0);
    }
    inbound.log.clear();
    inbound.offer(10, 1);
    inbound.check(expect![[r#"
        1: Refused to this machine, back in 50 ms, link 0 ms
        in flight: 8
    "#]]);
}
