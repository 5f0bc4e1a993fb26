//! How a sidecar distinguishes a crash of its upstream from a lost answer, and how it treats
//! requests that may have caused a crash.

mod common;

use common::{
    found_alive, hop as hop_of, replied, retry_after_ms, sent, status, World, NAMES, SERVICE,
};
use http1::{Answer, ExchangeError, Headers, Request, Response};
use mesh::{
    Clearing, CrashId, CrashReport, Fingerprint, HopOutcome, HopReply, HopRequest, InstanceRecord,
    InstanceState, NodeAddress, PoisonEvent, PoisonNotice,
};
use sidecar::{
    AttemptEnd, ConnectionId, JobAction, JobMetrics, Jobs, LogSample, PoisonWatch, Source,
    UpstreamEnd,
};
use std::net::Ipv4Addr;
use std::rc::Rc;
use telemetry::Registry;

const NODE: NodeAddress = NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 9), port: 8_300 };

const SLOTS: u32 = 4;

struct Node {
    jobs: Jobs,
    watch: PoisonWatch,
}

fn node(id: &str) -> Node {
    let watch = PoisonWatch::new(NODE);
    let metrics = JobMetrics::new(&Registry::default());
    let jobs = Jobs::new(NAMES, SERVICE, 2_000, None, LogSample::new(1), metrics);
    let mut node = Node { jobs: jobs.with_poison_watch(watch.clone()), watch };
    node.start(id, 1);
    node
}

impl Node {
    fn start(&mut self, id: &str, sequence: u64) {
        self.start_at(id, 0, sequence);
    }

    fn start_at(&mut self, id: &str, born_ms: u64, sequence: u64) {
        let record = InstanceRecord {
            id: id.to_owned(),
            state: InstanceState::Ready,
            slots: SLOTS,
            cold_remaining_ms: 0,
            born_ms,
            version: String::new(),
        };
        self.jobs.gate.on_report(&record, sequence, 0);
        self.jobs.refresh_limit(0);
    }

    fn begin(&mut self, slot: u64, path: &str, suspect: bool, now: u64) -> Vec<JobAction> {
        let mut headers = Headers::default();
        headers.push(NAMES.attempt_id, format!("id-{slot}"));
        let target = path.to_owned();
        let request =
            Request { method: "GET".to_owned(), target, headers, body: bytes::Bytes::new() };
        let hop = HopRequest {
            deadline_ms: 1_000,
            patience_ms: 500,
            rank: 1,
            target_ms: 600,
            repeatable: true,
            service: SERVICE.to_owned(),
            instance: None,
            departure: None,
            suspect,
            nested: false,
            repeat: false,
            hedge: false,
            usual_ms: 0,
            rate_limit: None,
        };
        let source = Source::Peer { connection: ConnectionId::for_tests(1), slot };
        self.jobs.begin(source, Rc::new(request), &hop, now)
    }

    /// Begins a call that must start at once.
    fn run(&mut self, slot: u64, path: &str, now: u64) -> u64 {
        let actions = self.begin(slot, path, false, now);
        let [JobAction::Run { job, .. }] = actions[..] else { panic!("{actions:?}") };
        job
    }

    fn answer(&mut self, job: u64, now: u64) {
        let response = Response::empty(200).with_header(NAMES.seal, "s");
        let end = UpstreamEnd::Answered(Answer { response, reusable: true });
        self.jobs.ended(job, end, now);
    }

    fn lose_answer(&mut self, job: u64, now: u64) -> Vec<JobAction> {
        self.jobs.ended(job, UpstreamEnd::Failed(ExchangeError::NoAnswer), now)
    }

    /// All jobs end without an answer, and the probe is refused.
    fn crash(&mut self, jobs: &[u64], now: u64) -> Vec<HopReply> {
        for job in jobs {
            self.lose_answer(*job, now);
        }
        replies(&self.jobs.probed(false, now))
    }
}

/// Fingerprint of a request sent without a host header.
fn fingerprint(target: &str) -> Fingerprint {
    let (service, method, host, body) = (SERVICE, "GET", "", &b""[..]);
    quarantine::RequestIdentity { service, method, target, host, body }.fingerprint()
}

fn replies(actions: &[JobAction]) -> Vec<HopReply> {
    let reply = |action: &JobAction| match action {
        JobAction::Reply { reply, .. } => Some(*reply),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

fn crashes(notices: Vec<PoisonNotice>) -> Vec<CrashReport> {
    let report = |notice: PoisonNotice| match notice.event {
        PoisonEvent::Crash(report) => Some(report),
        _ => None,
    };
    notices.into_iter().filter_map(report).collect()
}

#[test]
fn one_lost_answer_is_no_crash() {
    let mut node = node("i-1");
    let (first, _second) = (node.run(1, "/a", 0), node.run(2, "/b", 0));
    let actions = node.lose_answer(first, 50);
    assert!(matches!(actions[..], [JobAction::Probe { again: false }]), "no reply is sent yet");
    let told = replies(&found_alive(&mut node.jobs, 52));
    assert_eq!(told.len(), 1);
    assert!(told[0].outcome == HopOutcome::Unknown && !told[0].upstream_ended);
    assert!(node.watch.take_unsent().is_empty());
    assert_eq!(node.watch.counts(60), (0, 0));
}

#[test]
fn a_connection_that_is_neither_taken_nor_refused_tells_nothing() {
    let mut node = node("i-1");
    let job = node.run(1, "/a", 0);
    node.lose_answer(job, 50);
    assert_eq!(node.jobs.next_tick(60), Some(150));
    assert!(node.jobs.tick(149).is_empty());
    let told = replies(&node.jobs.tick(150));
    assert!(told.len() == 1 && !told[0].upstream_ended);
    assert!(node.watch.take_unsent().is_empty());
}

#[test]
fn the_end_of_an_upstream_is_told_once_with_all_that_ran() {
    let mut node = node("i-1");
    let jobs = [node.run(1, "/a", 0), node.run(2, "/b", 0), node.run(3, "/c", 0)];
    node.lose_answer(jobs[0], 50);
    assert!(node.lose_answer(jobs[1], 50).is_empty(), "one probe serves all lost answers");
    let told = replies(&node.jobs.probed(false, 52));
    assert!(told.len() == 2 && told.iter().all(|reply| reply.upstream_ended));
    let last = replies(&node.lose_answer(jobs[2], 53));
    assert!(last.len() == 1 && last[0].upstream_ended, "the crash is already known");
    let reports = crashes(node.watch.take_unsent());
    assert_eq!(reports.len(), 1);
    assert_eq!((reports[0].instance.as_str(), reports[0].running.len()), ("i-1", 3));
    // The next incarnation is not affected.
    node.start("i-2", 2);
    let job = node.run(4, "/d", 100);
    assert!(matches!(node.lose_answer(job, 120)[..], [JobAction::Probe { again: false }]));
}

#[test]
fn requests_that_ran_well_a_moment_before_are_not_suspected() {
    let mut node = node("i-1");
    let popular = node.run(1, "/popular", 0);
    node.answer(popular, 40);
    let jobs = [node.run(2, "/popular", 50), node.run(3, "/rare", 50)];
    node.crash(&jobs, 90);
    assert_eq!(crashes(node.watch.take_unsent())[0].running.len(), 1);
    node.start("i-2", 2);
    let again = node.run(4, "/popular", 100);
    node.crash(&[again], 120);
    assert!(node.watch.take_unsent().is_empty(), "no request is suspected");
}

#[test]
fn suspects_run_one_at_a_time_beside_others() {
    let mut node = node("i-1");
    let jobs = [node.run(1, "/a", 0), node.run(2, "/b", 0)];
    node.crash(&jobs, 50);
    node.start("i-2", 2);
    let first = node.run(3, "/a", 100);
    let refused = replies(&node.begin(4, "/b", false, 110));
    assert_eq!(refused[0].outcome, HopOutcome::Refused);
    // Only the sender knows about this suspect: another upstream crashed while running it.
    assert_eq!(replies(&node.begin(5, "/x", true, 110))[0].outcome, HopOutcome::Refused);
    node.run(6, "/c", 110);
    node.answer(first, 150);
    node.run(7, "/b", 160);
    node.run(8, "/a", 160);
}

#[test]
fn a_request_that_two_upstreams_ended_under_is_kept_away_and_others_are_not() {
    let mut node = node("i-1");
    let jobs = [node.run(1, "/a", 0), node.run(2, "/poison", 0)];
    node.crash(&jobs, 50);
    node.start("i-2", 2);
    let jobs = [node.run(3, "/poison", 100), node.run(4, "/b", 100)];
    node.crash(&jobs, 150);
    node.start("i-3", 3);
    assert_eq!(node.watch.counts(160), (1, 0));
    assert_eq!(replies(&node.begin(5, "/poison", false, 200))[0].outcome, HopOutcome::Refused);
    for (slot, path) in [(6, "/a"), (7, "/b"), (8, "/c")] {
        node.run(slot, path, 200);
    }
}

#[test]
fn what_ran_past_its_deadline_is_no_crash() {
    let mut node = node("i-1");
    node.run(1, "/a", 0);
    let told = replies(&node.jobs.tick(1_200));
    assert!(told.len() == 1 && !told[0].upstream_ended);
    assert!(node.watch.take_unsent().is_empty());
}

fn learned(reports: &[(&str, &str)]) -> PoisonWatch {
    let watch = PoisonWatch::new(NODE);
    let notices = reports.iter().map(|(instance, path)| {
        let identity = quarantine::RequestIdentity {
            service: SERVICE,
            method: "GET",
            target: path,
            host: common::HOST,
            body: b"",
        };
        let running = vec![identity.fingerprint()];
        let report = CrashReport { node: NODE, instance: (*instance).to_owned(), running };
        PoisonNotice { age_ms: 0, event: PoisonEvent::Crash(report) }
    });
    watch.apply_notices(notices.collect(), common::START_MS);
    watch
}

fn world(reports: &[(&str, &str)]) -> World {
    let mut world = World::with_upstreams(3);
    world.calls = world.calls.with_poison_watch(learned(reports));
    world
}

#[test]
fn a_call_in_quarantine_is_refused_where_it_comes_in_and_told_a_time_beyond_it() {
    let mut world = world(&[("i-1", "/safe/poison"), ("i-2", "/safe/poison")]);
    let actions = world.begin("GET", "/safe/poison");
    assert_eq!((status(&actions), sent(&actions)), (Some(503), None));
    assert!(retry_after_ms(&actions).is_some_and(|after| after > 50_000));
    for (method, path) in [("GET", "/safe/other"), ("POST", "/safe/poison")] {
        assert!(sent(&world.begin(method, path)).is_some(), "{method} {path}");
    }
}

#[test]
fn a_suspect_is_sent_as_one_and_so_is_a_call_whose_upstream_ended() {
    let mut world = world(&[("i-1", "/safe/maybe")]);
    assert!(hop_of(&world.begin("GET", "/safe/maybe")).is_some_and(|hop| hop.suspect));
    let actions = world.begin("GET", "/safe/x");
    assert!(hop_of(&actions).is_some_and(|hop| !hop.suspect));
    let (attempt, _) = sent(&actions).expect("the call is sent");
    let AttemptEnd::Replied(reply, response) = replied(HopOutcome::Unknown, 502) else {
        panic!("expected a reply")
    };
    let ended = AttemptEnd::Replied(HopReply { upstream_ended: true, ..reply }, response);
    let again = world.calls.ended(attempt, ended, world.now + 50);
    assert!(hop_of(&again).is_some_and(|hop| hop.suspect));
}

#[test]
fn a_node_whose_upstream_ran_a_suspect_well_speaks_for_it() {
    let mut node = node("i-1");
    let job = node.run(1, "/popular", 0);
    node.answer(job, 40);
    let fingerprint = fingerprint("/popular");
    let running = vec![fingerprint, Fingerprint(5)];
    let report = CrashReport { node: NODE, instance: "elsewhere".to_owned(), running };
    let crashes = vec![quarantine::crash_id(&report)];
    node.watch
        .apply_notices(vec![PoisonNotice { age_ms: 0, event: PoisonEvent::Crash(report) }], 100);
    let told: Vec<PoisonEvent> =
        node.watch.take_unsent().into_iter().map(|notice| notice.event).collect();
    assert_eq!(told, [PoisonEvent::Cleared(Clearing { fingerprint, crashes })]);
}

/// A caller's sidecar that has lost all coordinators does not know of the quarantine, but the
/// sidecar beside the upstream does.
#[test]
fn one_sidecar_that_knows_is_enough_and_no_other_is_asked() {
    let mut world = world(&[]);
    let actions = world.begin("GET", "/safe/poison");
    let (attempt, _) = sent(&actions).expect("the call is sent");
    let AttemptEnd::Replied(reply, response) = replied(HopOutcome::Refused, 503) else {
        panic!("expected a reply")
    };
    let told = HopReply { quarantine_left_ms: 45_000, ..reply };
    let ended = world.calls.ended(attempt, AttemptEnd::Replied(told, response), world.now + 5);
    assert_eq!((status(&ended), sent(&ended)), (Some(503), None));
    assert_eq!(retry_after_ms(&ended), Some(45_000));
    let again = world.begin("GET", "/safe/poison");
    assert_eq!((status(&again), sent(&again)), (Some(503), None));
    assert!(sent(&world.begin("GET", "/safe/other")).is_some());
}

/// Guards against confusing several crashes under one instance id: after a request had been
/// cleared, its later crashes were mistaken for the known ones, so it was never quarantined again.
#[test]
fn ends_of_an_upstream_that_keeps_its_id_are_told_apart() {
    let mut node = node("other");
    for (born_ms, sequence) in [(1_000, 2), (2_000, 3), (3_000, 4)] {
        node.start_at("i-1", born_ms, sequence);
        let job = node.run(sequence, "/poison", sequence * 10_000);
        node.crash(&[job], sequence * 10_000 + 50);
        if sequence == 3 {
            let fingerprint = fingerprint("/poison");
            node.watch.note_completed(fingerprint, 30_060);
        }
    }
    let told: Vec<String> =
        crashes(node.watch.take_unsent()).into_iter().map(|report| report.instance).collect();
    assert_eq!(told, ["i-1@1000", "i-1@2000", "i-1@3000"]);
    assert_eq!(node.watch.counts(40_060), (0, 1), "the third crash makes it a suspect again");
}

/// A sidecar that knows that a request was cleared sends it to one that does not know yet.
#[test]
fn a_sidecar_that_has_yet_to_hear_of_a_clearing_is_passed_over_for_others() {
    let crashes = vec![CrashId(1), CrashId(2)];
    let mut world = World::with_upstreams(3);
    let watch = PoisonWatch::new(NODE);
    world.calls = world.calls.with_poison_watch(watch.clone());
    let identity = quarantine::RequestIdentity {
        service: SERVICE,
        method: "GET",
        target: "/safe/poison",
        host: common::HOST,
        body: b"",
    };
    let fingerprint = identity.fingerprint();
    let event = PoisonEvent::Cleared(Clearing { fingerprint, crashes });
    watch.apply_notices(vec![PoisonNotice { age_ms: 0, event }], common::START_MS);
    let (attempt, _) = sent(&world.begin("GET", "/safe/poison")).expect("the call is sent");
    let AttemptEnd::Replied(reply, response) = replied(HopOutcome::Refused, 503) else {
        panic!("expected a reply")
    };
    let quarantine_crashes = [CrashId(1), CrashId(2)];
    let told = HopReply { quarantine_left_ms: 45_000, quarantine_crashes, ..reply };
    let ended = world.calls.ended(attempt, AttemptEnd::Replied(told, response), world.now + 5);
    assert!(
        status(&ended).is_none() && sent(&ended).is_some(),
        "the call is retried at another upstream"
    );
    assert!(sent(&world.begin("GET", "/safe/poison")).is_some(), "it is not quarantined here");
}

#[test]
fn a_sidecar_says_how_long_it_keeps_a_call_away() {
    let mut node = node("i-1");
    for (instance, sequence) in [("i-2", 2), ("i-3", 3)] {
        let job = node.run(sequence, "/poison", sequence * 100);
        node.crash(&[job], sequence * 100 + 50);
        node.start(instance, sequence);
    }
    let refused = replies(&node.begin(9, "/poison", false, 1_350));
    assert_eq!(refused[0].quarantine_left_ms, 59_000);
    assert!(
        refused[0].quarantine_crashes.iter().all(|crash| *crash != CrashId(0)),
        "the crashes behind it are included"
    );
    assert_eq!(replies(&node.begin(10, "/x", true, 1_350)).len(), 0, "other calls run");
}

/// An ended upstream refuses immediately and looks idle, so peers that are not notified would try it
/// first.
#[test]
fn an_upstream_that_ended_is_not_there_for_peers_until_it_is_heard_of() {
    let mut node = node("i-1");
    let jobs = [node.run(1, "/a", 0), node.run(2, "/b", 0)];
    node.crash(&jobs, 50);
    assert!(node.jobs.take_instance_changed(), "the change is reported to the coordinators");
    assert_eq!(node.jobs.gate.record(60), None);
    let refused = replies(&node.begin(3, "/c", false, 60));
    assert_eq!(refused[0].outcome, HopOutcome::Refused);
    assert_eq!(refused[0].state, InstanceState::Left);
    // The upstream was frozen and not gone; its next heartbeat reopens it.
    node.start("i-1", 2);
    let job = node.run(4, "/c", 1_000);
    assert!(
        matches!(node.lose_answer(job, 1_020)[..], [JobAction::Probe { again: false }]),
        "a new crash must be probed again"
    );
}

/// A terminating process closes its sockets one after the other, and its listener not necessarily
/// first.
#[test]
fn an_upstream_that_takes_a_connection_while_it_ends_is_found_out_at_the_second_look() {
    let mut node = node("i-1");
    let jobs = [node.run(1, "/a", 0), node.run(2, "/b", 0)];
    node.lose_answer(jobs[0], 50);
    assert!(node.jobs.probed(true, 50).is_empty());
    node.lose_answer(jobs[1], 51);
    assert_eq!(node.jobs.next_tick(51), Some(55));
    assert!(matches!(node.jobs.tick(55)[..], [JobAction::Probe { again: true }]));
    let told = replies(&node.jobs.probed(false, 55));
    assert!(told.len() == 2 && told.iter().all(|reply| reply.upstream_ended));
    assert_eq!(crashes(node.watch.take_unsent())[0].running.len(), 2);
}

/// All coordinators were gone when the upstream crashed; the report they get later must not include
/// requests that were cleared in the meantime.
#[test]
fn coordinators_that_come_later_are_told_of_ends_and_of_who_is_still_suspected() {
    let mut node = node("i-1");
    let jobs = [node.run(1, "/a", 0), node.run(2, "/b", 0)];
    node.crash(&jobs, 50);
    node.watch.take_unsent();
    node.start("i-2", 2);
    let good = node.run(3, "/a", 100);
    node.answer(good, 140);
    let told = node.watch.full_report(1_050);
    assert_eq!(told.iter().map(|notice| notice.age_ms).collect::<Vec<u64>>(), [1_000]);
    let reports = crashes(told);
    assert_eq!((reports[0].instance.as_str(), reports[0].running.len()), ("i-1", 1));
    node.watch.expire(11 * 60_000);
    assert!(node.watch.full_report(11 * 60_000).is_empty(), "old crashes are dropped");
    assert_eq!(node.watch.counts(11 * 60_000), (0, 0));
}
