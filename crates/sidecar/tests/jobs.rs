//! The inbound side: which calls reach the upstream, and how its answers are classified.

mod common;

use admission::RateLimit;
use common::{found_alive, NAMES, SERVICE};
use expect_test::expect;
use http1::{Answer, ExchangeError, Headers, Request, Response};
use mesh::{
    CallRate, HopOutcome, HopReply, HopRequest, InstanceRecord, InstanceState, LimitReport,
    HOP_HEADER,
};
use sidecar::{
    Activity, Attempt, ConnectionId, Initiator, JobAction, JobMetrics, Jobs, LogSample,
    ReportedLoad, Source, StopBound, StopPhase, StopPlan, UpstreamEnd, UpstreamStatement,
};
use statements::RateStatement;
use std::rc::Rc;
use telemetry::Registry;

const DRAIN_MS: u64 = 2_000;
const SLOTS: u32 = 2;

fn record(id: &str, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        id: id.to_owned(),
        state,
        slots: SLOTS,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    }
}

fn jobs() -> Jobs {
    let mut jobs = Jobs::new(
        NAMES,
        SERVICE,
        DRAIN_MS,
        None,
        LogSample::new(1),
        JobMetrics::new(&Registry::default()),
    );
    jobs.gate.on_report(&record("i-1", InstanceState::Ready), 1, 0);
    jobs.refresh_limit(0);
    jobs.set_cold_rate(None, 0);
    jobs
}

fn source(slot: u64) -> Source {
    Source::Peer { connection: ConnectionId::for_tests(1), slot }
}

fn hop(service: &str, instance: Option<&str>) -> HopRequest {
    HopRequest {
        deadline_ms: 1_000,
        patience_ms: 500,
        rank: 1,
        target_ms: 600,
        repeatable: true,
        service: service.to_owned(),
        instance: instance.map(str::to_owned),
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
    headers.push(NAMES.expect_instance, "forged");
    let request = Request {
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers,
        body: bytes::Bytes::new(),
    };
    Rc::new(request)
}

fn begin(jobs: &mut Jobs, slot: u64, now: u64) -> Vec<JobAction> {
    jobs.begin(source(slot), request(), &hop(SERVICE, Some("i-1")), now)
}

fn outcomes(actions: &[JobAction]) -> Vec<HopOutcome> {
    let outcome = |action: &JobAction| match action {
        JobAction::Reply { reply, .. } => Some(reply.outcome),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

fn started(actions: &[JobAction]) -> Option<(u64, &Request)> {
    actions.iter().find_map(|action| match action {
        JobAction::Run { job, request } => Some((*job, request)),
        _ => None,
    })
}

#[test]
fn the_upstream_is_told_what_is_left_and_who_is_meant() {
    let mut jobs = jobs();
    let actions = begin(&mut jobs, 1, 100);
    let (_, request) = started(&actions).expect("the job starts");
    assert_eq!(request.headers.text(NAMES.deadline_ms), Some("1000"));
    assert_eq!(request.headers.text(NAMES.expect_instance), Some("i-1"));
}

#[test]
fn a_call_meant_for_others_is_refused() {
    let mut jobs = jobs();
    for hop in [hop("another", None), hop(SERVICE, Some("i-0"))] {
        let actions = jobs.begin(source(1), request(), &hop, 100);
        assert_eq!(outcomes(&actions), [HopOutcome::Refused]);
    }
    let actions = jobs.begin(source(2), request(), &hop(SERVICE, None), 100);
    assert!(started(&actions).is_some(), "no particular incarnation is required");
}

#[test]
fn nothing_passes_after_the_gate_has_closed_not_even_what_waits() {
    let mut jobs = jobs();
    let first = begin(&mut jobs, 1, 0);
    begin(&mut jobs, 2, 0);
    assert!(begin(&mut jobs, 3, 0).is_empty(), "the call is queued");
    jobs.gate.on_report(&record("i-1", InstanceState::Draining), 2, 10);
    let (first, _) = started(&first).expect("the job starts");
    let answer = Answer { response: sealed(200), reusable: true };
    let late = DRAIN_MS;
    let actions = jobs.ended(first, UpstreamEnd::Answered(answer), late);
    assert!(started(&actions).is_none(), "{actions:?}");
    assert_eq!(outcomes(&actions), [HopOutcome::Answered, HopOutcome::Refused]);
    assert_eq!(outcomes(&begin(&mut jobs, 4, late)), [HopOutcome::Refused]);
}

fn sealed(status: u16) -> Response {
    Response::empty(status).with_header(NAMES.seal, "s")
}

#[test]
fn what_an_answer_says_of_the_request() {
    let answered = |response| UpstreamEnd::Answered(Answer { response, reusable: true });
    let rows: Vec<(&str, UpstreamEnd, HopOutcome)> = vec![
        ("sealed success", answered(sealed(200)), HopOutcome::Answered),
        ("success without seal", answered(Response::empty(200)), HopOutcome::Unknown),
        ("sealed failure", answered(sealed(500)), HopOutcome::Answered),
        (
            "rejection",
            answered(Response::empty(503).with_header(NAMES.not_run, "1")),
            HopOutcome::Rejected,
        ),
        ("another incarnation", answered(Response::empty(421)), HopOutcome::Rejected),
        ("not sent", UpstreamEnd::NotSent, HopOutcome::Refused),
        ("cut short", UpstreamEnd::Failed(ExchangeError::CutShort), HopOutcome::Unknown),
        ("no answer", UpstreamEnd::Failed(ExchangeError::NoAnswer), HopOutcome::Unknown),
    ];
    for (name, end, expected) in rows {
        let mut jobs = jobs();
        let actions = begin(&mut jobs, 1, 0);
        let (job, _) = started(&actions).expect("the job starts");
        let mut ended = jobs.ended(job, end, 50);
        if matches!(ended[..], [JobAction::Probe { again: false }]) {
            assert_eq!(
                jobs.load(),
                (1, 0),
                "{name}: the slot stays occupied until the probe has ended"
            );
            ended = found_alive(&mut jobs, 52);
        }
        assert_eq!(outcomes(&ended), [expected], "{name}");
        assert_eq!(jobs.load(), (0, 0), "{name}: the slot is released");
    }
}

#[test]
fn a_peer_that_leaves_frees_the_slot_for_the_next() {
    let mut jobs = jobs();
    begin(&mut jobs, 1, 0);
    begin(&mut jobs, 2, 0);
    let other = Source::Peer { connection: ConnectionId::for_tests(2), slot: 1 };
    assert!(jobs.begin(other, request(), &hop(SERVICE, None), 0).is_empty());
    let actions = jobs.connection_ended(ConnectionId::for_tests(1), 10);
    let aborted = actions.iter().filter(|action| matches!(action, JobAction::Abort(_)));
    assert_eq!(aborted.count(), 2);
    assert!(started(&actions).is_some(), "the queued call starts");
    assert_eq!(jobs.load(), (1, 0));
}

#[test]
fn what_runs_past_its_deadline_is_taken_away() {
    let mut jobs = jobs();
    begin(&mut jobs, 1, 0);
    assert!(jobs.tick(1_000).is_empty());
    let actions = jobs.tick(1_200);
    assert!(actions.iter().any(|action| matches!(action, JobAction::Abort(_))));
    assert_eq!(outcomes(&actions), [HopOutcome::Unknown]);
}

#[test]
fn slots_are_never_exceeded_and_never_lost() {
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut jobs = jobs();
        let mut running: Vec<u64> = Vec::new();
        let mut now = 0;
        for slot in 0..200 {
            now += random.u64(0..60);
            let actions = match random.u8(0..6) {
                0..3 => begin(&mut jobs, slot, now),
                3 if !running.is_empty() => {
                    let job = running.swap_remove(random.usize(..running.len()));
                    let answer = Answer { response: sealed(200), reusable: true };
                    jobs.ended(job, UpstreamEnd::Answered(answer), now)
                }
                4 => jobs.cancel(source(random.u64(0..=slot)), now),
                _ => jobs.tick(now),
            };
            for action in &actions {
                match action {
                    JobAction::Run { job, .. } => running.push(*job),
                    JobAction::Abort(job) => running.retain(|held| held != job),
                    JobAction::Reply { .. } | JobAction::Grant { .. } | JobAction::Probe { .. } => {
                    }
                }
            }
            assert!(running.len() as u32 <= SLOTS, "seed {seed}");
            assert_eq!(jobs.load().0 as usize, running.len(), "seed {seed}");
        }
    }
}

#[test]
fn a_stopping_sidecar_finishes_what_runs_and_refuses_the_rest() {
    let mut jobs = jobs();
    let first = begin(&mut jobs, 1, 0);
    begin(&mut jobs, 2, 0);
    assert!(begin(&mut jobs, 3, 0).is_empty(), "the call is queued");
    assert_eq!(outcomes(&jobs.close(10)), [HopOutcome::Refused], "the queued call is refused");
    let refused = begin(&mut jobs, 4, 20);
    assert_eq!(outcomes(&refused), [HopOutcome::Refused]);
    let JobAction::Reply { reply, .. } = &refused[0] else { panic!("a reply") };
    assert_eq!(
        reply.state,
        InstanceState::Left,
        "the refusal itself tells the peer that the upstream is gone"
    );
    let (job, _) = started(&first).expect("the job starts");
    let answer = Answer { response: sealed(200), reusable: true };
    assert_eq!(
        outcomes(&jobs.ended(job, UpstreamEnd::Answered(answer), 50)),
        [HopOutcome::Answered]
    );
    assert_eq!(jobs.in_flight(), 1);
}

#[test]
fn peers_are_told_how_often_the_upstream_fails_until_another_takes_its_place() {
    let mut jobs = jobs();
    let failing = |actions: &[JobAction]| {
        actions.iter().find_map(|action| match action {
            JobAction::Reply { reply, .. } => Some(reply.failing_percent),
            _ => None,
        })
    };
    let mut percentages = Vec::new();
    for slot in 0..10 {
        let (job, _) = started(&begin(&mut jobs, slot, 0)).expect("the job starts");
        let status = if slot % 2 == 0 { 500 } else { 200 };
        let answer = Answer { response: sealed(status), reusable: true };
        percentages.extend(failing(&jobs.ended(job, UpstreamEnd::Answered(answer), 50)));
    }
    expect![[r#"
        [
            8,
            7,
            15,
            14,
            21,
            19,
            25,
            23,
            29,
            27,
        ]
    "#]]
    .assert_debug_eq(&percentages);
    jobs.gate.on_report(&record("i-2", InstanceState::Ready), 1, 60);
    jobs.refresh_limit(0);
    let refused = jobs.begin(source(99), request(), &hop("another", None), 60);
    assert_eq!(failing(&refused), Some(0));
}

#[test]
fn an_upstream_that_is_another_than_registered_last_is_found_out_by_its_answer() {
    let mut jobs = jobs();
    // A delayed heartbeat of an incarnation that ended before i-1 started.
    jobs.gate.on_report(&record("i-0", InstanceState::Ready), 4, 50);
    let actions = jobs.begin(source(1), request(), &hop(SERVICE, None), 100);
    let (job, request) = started(&actions).expect("the job starts");
    assert_eq!(request.headers.text(NAMES.expect_instance), Some("i-0"));
    let answer = Answer { response: Response::empty(421), reusable: true };
    let ended = jobs.ended(job, UpstreamEnd::Answered(answer), 110);
    assert_eq!(outcomes(&ended), [HopOutcome::Rejected]);
    assert!(
        jobs.take_instance_changed() && !jobs.take_instance_changed(),
        "the change is reported once"
    );
    assert_eq!(jobs.gate.id(), Some("i-1"));
    let actions = begin(&mut jobs, 2, 120);
    let (_, request) = started(&actions).expect("the job starts");
    assert_eq!(request.headers.text(NAMES.expect_instance), Some("i-1"));
}

#[test]
fn calls_of_a_run_are_told_by_its_id_while_it_is_under_way() {
    let mut jobs = jobs();
    assert_eq!(jobs.initiator("7.ab"), Initiator::Caller, "no job is running yet");
    let (first, _) =
        started(&begin(&mut jobs, 1, 0)).map(|(id, _)| (id, ())).expect("the job starts");
    begin(&mut jobs, 2, 0);
    assert!(begin(&mut jobs, 3, 0).is_empty(), "the call is queued");
    let lineages = ["7", "7.ab", "7.ab.cd", "8.ab", ".ab", ""].map(|id| (id, jobs.initiator(id)));
    expect![[r#"
        [
            (
                "7",
                Caller,
            ),
            (
                "7.ab",
                LocalRun,
            ),
            (
                "7.ab.cd",
                Caller,
            ),
            (
                "8.ab",
                Caller,
            ),
            (
                ".ab",
                Caller,
            ),
            (
                "",
                Caller,
            ),
        ]
    "#]]
    .assert_debug_eq(&lineages);
    let answer = Answer { response: sealed(200), reusable: true };
    jobs.ended(first, UpstreamEnd::Answered(answer), 10);
    assert_eq!(
        jobs.initiator("7.ab"),
        Initiator::LocalRun,
        "another job with that id is still running"
    );
    jobs.connection_ended(ConnectionId::for_tests(1), 20);
    assert_eq!(jobs.initiator("7.ab"), Initiator::Caller, "the job has ended");
}

#[test]
fn calls_of_a_run_that_another_upstream_had_count_as_repeated() {
    let mut jobs = jobs();
    let repeated = HopRequest { repeat: true, ..hop(SERVICE, Some("i-1")) };
    let first = jobs.begin(source(1), request(), &repeated, 0);
    assert_eq!(jobs.initiator("7.ab"), Initiator::RepeatedRun);
    let (id, _) = started(&first).expect("the job starts");
    let answer = Answer { response: sealed(200), reusable: true };
    jobs.ended(id, UpstreamEnd::Answered(answer), 10);
    assert_eq!(jobs.initiator("7.ab"), Initiator::Caller, "the job has ended");
    begin(&mut jobs, 2, 20);
    assert_eq!(jobs.initiator("7.ab"), Initiator::LocalRun, "a first attempt, not a retry");
}

#[test]
fn second_tries_are_refused_while_what_they_ask_for_is_beyond_the_bound() {
    let mut jobs = jobs();
    jobs.hedges_barred_until = 500;
    let hedge = HopRequest { repeat: true, hedge: true, ..hop(SERVICE, Some("i-1")) };
    let actions = jobs.begin(source(1), request(), &hedge, 499);
    assert_eq!(outcomes(&actions), [HopOutcome::Refused]);
    assert!(started(&begin(&mut jobs, 2, 499)).is_some(), "calls that are not hedges are accepted");
    assert!(started(&jobs.begin(source(3), request(), &hedge, 500)).is_some());
}

fn load(running: u32, waiting: u32, service_time_percent: Option<u32>) -> ReportedLoad {
    ReportedLoad { running, waiting, slots: SLOTS, service_time_percent }
}

#[test]
fn slots_that_a_cut_run_still_holds_are_not_given_away() {
    let mut jobs = jobs();
    let (first, _) = started(&begin(&mut jobs, 1, 0)).expect("the job starts");
    assert!(started(&begin(&mut jobs, 2, 0)).is_some());
    // The second job is cancelled and its slot given to a third; the upstream works on all three.
    jobs.cancel(source(2), 10);
    assert!(started(&begin(&mut jobs, 3, 10)).is_some());
    jobs.note_load_report(load(2, 1, None), 20);
    let answer = Answer { response: sealed(200), reusable: true };
    let actions = jobs.ended(first, UpstreamEnd::Answered(answer), 20);
    let reply = actions.iter().find_map(|action| match action {
        JobAction::Reply { reply, .. } => Some(*reply),
        _ => None,
    });
    assert_eq!(reply.expect("a reply").limit, 1, "senders are told the number of remaining slots");
    assert!(
        started(&begin(&mut jobs, 4, 20)).is_none(),
        "queued: the third job occupies the only slot"
    );
    // The load report has expired.
    assert!(started(&jobs.tick(320)).is_some());
}

#[test]
fn what_the_upstream_tells_of_its_pace_is_passed_on() {
    let mut jobs = jobs();
    let mut paces = Vec::new();
    for pace in [None, Some(120), Some(0), Some(u32::MAX), Some(300)] {
        jobs.note_load_report(load(0, 0, pace), 0);
        paces.push(jobs.load_report(0).service_time_percent);
    }
    assert_eq!(paces, [0, 120, 120, 120, 300]);
    // A new incarnation starts without a pace.
    jobs.gate.on_report(&record("i-2", InstanceState::Ready), 2, 100);
    jobs.refresh_limit(0);
    assert_eq!(jobs.load_report(100).service_time_percent, 0);
}

#[test]
fn nothing_passes_while_the_zone_is_evacuated_not_even_what_waits() {
    let mut jobs = jobs();
    let first = begin(&mut jobs, 1, 0);
    begin(&mut jobs, 2, 0);
    assert!(begin(&mut jobs, 3, 0).is_empty(), "the call is queued");
    let refused = jobs.set_evacuated(true, 10);
    assert_eq!(outcomes(&refused), [HopOutcome::Refused]);
    assert_eq!(outcomes(&begin(&mut jobs, 4, 20)), [HopOutcome::Refused]);
    // Running jobs are not aborted.
    let (first, _) = started(&first).expect("the job starts");
    let answer = Answer { response: sealed(200), reusable: true };
    let actions = jobs.ended(first, UpstreamEnd::Answered(answer), 30);
    assert_eq!(outcomes(&actions), [HopOutcome::Answered]);
    assert!(jobs.set_evacuated(false, 40).is_empty());
    assert!(started(&begin(&mut jobs, 5, 50)).is_some());
}

#[test]
fn an_upstream_of_a_restored_zone_is_given_what_a_cold_one_bears_until_it_tells() {
    let mut jobs = jobs();
    jobs.set_cold_rate(Some(RateLimit { per_s: 10.0, burst: 0.0 }), 0);
    jobs.set_evacuated(true, 0);
    jobs.set_evacuated(false, 5_000);
    assert!(started(&begin(&mut jobs, 1, 5_000)).is_some());
    assert!(
        begin(&mut jobs, 2, 5_001).is_empty(),
        "queued although a slot is free, because the upstream is assumed to be cold"
    );
    // The next heartbeat reports that the upstream is warm.
    jobs.gate.on_report(&record("i-1", InstanceState::Ready), 9, 5_050);
    jobs.refresh_cold();
    assert!(started(&jobs.tick(5_051)).is_some());
}

#[test]
fn a_call_that_a_cold_upstream_does_not_bear_is_refused_and_counted() {
    let mut jobs = jobs();
    jobs.set_cold_rate(Some(RateLimit { per_s: 1.0, burst: 0.0 }), 0);
    let cold = InstanceRecord { cold_remaining_ms: 3_000, ..record("i-1", InstanceState::Ready) };
    jobs.gate.on_report(&cold, 2, 0);
    jobs.refresh_cold();
    assert!(started(&begin(&mut jobs, 1, 0)).is_some());
    // The call would have to wait a second, which exceeds its patience; the refusal states when
    // there is room.
    let refused = begin(&mut jobs, 2, 10);
    let [JobAction::Reply { reply, .. }] = &refused[..] else { panic!("{refused:?}") };
    assert_eq!((reply.outcome, jobs.cold_refusals()), (HopOutcome::Refused, 1));
    assert!((490..=2_990).contains(&reply.retry_after_ms), "{}", reply.retry_after_ms);
    // The slots are full, so the refusal is not because of a cold upstream.
    jobs.gate.on_report(&InstanceRecord { cold_remaining_ms: 0, ..cold }, 3, 20);
    jobs.refresh_cold();
    begin(&mut jobs, 3, 20);
    assert_eq!(outcomes(&begin(&mut jobs, 4, 20)).len(), 0, "the call is queued");
    assert_eq!(jobs.cold_refusals(), 1);
}

/// Runs a call whose answer states something of the upstream; returns the reply and what follows.
fn answer(jobs: &mut Jobs, job: u64, stated: UpstreamStatement, now: u64) -> Vec<JobAction> {
    let response = sealed(200);
    let mut actions = jobs.note_statement(job, stated, &response, now);
    let end = UpstreamEnd::Answered(Answer { response, reusable: true });
    actions.extend(jobs.ended(job, end, now));
    actions
}

fn stated(per_s: f64) -> UpstreamStatement {
    let rate = CallRate::from_per_s(per_s).map_or(RateStatement::Invalid, RateStatement::Limited);
    UpstreamStatement { rate, leaving: false }
}

const UNLIMITED: UpstreamStatement =
    UpstreamStatement { rate: RateStatement::Unlimited, leaving: false };

fn limit_told(actions: &[JobAction]) -> Option<LimitReport> {
    actions.iter().find_map(|action| match action {
        JobAction::Reply { reply, .. } => reply.rate_limit,
        _ => None,
    })
}

fn limited(per_s: f64) -> Option<LimitReport> {
    CallRate::from_per_s(per_s).map(LimitReport::Limited)
}

#[test]
fn a_stated_limit_is_kept_and_told_and_what_exceeds_it_refused_with_its_time() {
    let mut jobs = jobs();
    let (job, _) = started(&begin(&mut jobs, 1, 0)).expect("the job starts");
    let actions = answer(&mut jobs, job, stated(1.0), 100);
    assert_eq!(limit_told(&actions), limited(1.0));
    let refused = begin(&mut jobs, 2, 110);
    assert_eq!((outcomes(&refused), jobs.rate_refusals()), (vec![HopOutcome::Refused], 1));
    assert_eq!(limit_told(&refused), limited(1.0), "senders learn of it from refusals, too");
    let [JobAction::Reply { reply, .. }] = &refused[..] else { panic!("{refused:?}") };
    assert!((490..=2_000).contains(&reply.retry_after_ms), "{}", reply.retry_after_ms);
    assert!(started(&begin(&mut jobs, 3, 1_100)).is_some(), "the next one after a second");
}

#[test]
fn only_the_incarnation_that_runs_can_state_a_limit() {
    let mut jobs = jobs();
    let (job, _) = started(&begin(&mut jobs, 1, 0)).expect("the job starts");
    assert!(jobs.note_statement(job, stated(1.0), &Response::empty(421), 50).is_empty());
    assert_eq!(jobs.stated_rate(), None, "another incarnation answered");
    jobs.gate.on_report(&record("i-2", InstanceState::Ready), 1, 60);
    jobs.refresh_limit(60);
    answer(&mut jobs, job, stated(1.0), 100);
    assert_eq!(jobs.stated_rate(), None, "the answer of the former one came late");
}

#[test]
fn a_new_incarnation_has_stated_nothing() {
    let mut jobs = jobs();
    let (job, _) = started(&begin(&mut jobs, 1, 0)).expect("the job starts");
    answer(&mut jobs, job, stated(1.0), 100);
    jobs.gate.on_report(&record("i-2", InstanceState::Ready), 1, 200);
    jobs.refresh_limit(200);
    assert_eq!(jobs.stated_rate(), None);
    let hop = HopRequest { rate_limit: CallRate::from_per_s(1.0), ..hop(SERVICE, Some("i-1")) };
    jobs.begin(source(2), request(), &hop, 210);
    assert_eq!(jobs.stated_rate(), None, "a sender knows of the former one's limit");
}

#[test]
fn an_invalid_limit_changes_nothing() {
    let mut jobs = jobs();
    let (job, _) = started(&begin(&mut jobs, 1, 0)).expect("the job starts");
    answer(&mut jobs, job, stated(1.0), 100);
    let (job, _) = started(&begin(&mut jobs, 2, 1_100)).expect("the job starts");
    let actions = answer(&mut jobs, job, stated(-3.0), 1_200);
    assert_eq!(limit_told(&actions), limited(1.0));
}

#[test]
fn a_process_that_has_just_started_learns_the_limit_from_a_call_and_forgets_it_by_an_answer() {
    let mut jobs = jobs();
    let knows = |rate| HopRequest { rate_limit: rate, ..hop(SERVICE, Some("i-1")) };
    let rate = CallRate::from_per_s(1.0);
    let refused = jobs.begin(source(1), request(), &knows(rate), 0);
    assert_eq!(outcomes(&refused), [HopOutcome::Refused], "the former process may have used it");
    let actions = jobs.begin(source(2), request(), &knows(rate), 1_000);
    let (job, _) = started(&actions).expect("the first call after an interval");
    let actions = answer(&mut jobs, job, UNLIMITED, 1_100);
    assert_eq!(limit_told(&actions), Some(LimitReport::Lifted), "its sender knew of a limit");
    let actions = jobs.begin(source(3), request(), &knows(None), 1_110);
    let (job, _) = started(&actions).expect("no limit");
    assert_eq!(limit_told(&answer(&mut jobs, job, UNLIMITED, 1_200)), None, "nothing to tell");
    let actions = jobs.begin(source(4), request(), &knows(rate), 1_210);
    assert!(started(&actions).is_some(), "the upstream itself said that there is none");
}

// Replies of a process that knew nothing were taken for a lifted limit, and the process after it
// started without one.
#[test]
fn a_process_that_knows_nothing_lifts_no_limit() {
    let mut jobs = jobs();
    let knows = HopRequest { rate_limit: CallRate::from_per_s(1.0), ..hop(SERVICE, Some("i-0")) };
    let refused = jobs.begin(source(1), request(), &knows, 0);
    assert_eq!((outcomes(&refused), limit_told(&refused)), (vec![HopOutcome::Refused], None));
}

#[test]
fn an_answer_that_states_leaving_closes_the_gate() {
    let mut jobs = jobs();
    let (job, _) = started(&begin(&mut jobs, 1, 0)).expect("the job starts");
    let leaving = UpstreamStatement { leaving: true, ..UNLIMITED };
    let actions = answer(&mut jobs, job, leaving, 100);
    let [JobAction::Reply { reply, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert!(reply.upstream_leaving);
    assert_eq!(reply.state, InstanceState::Draining);
    assert!(jobs.take_instance_changed(), "other nodes are told");
    assert!(started(&begin(&mut jobs, 2, 100 + DRAIN_MS / 4)).is_some(), "it was on its way");
    assert_eq!(outcomes(&begin(&mut jobs, 3, 100 + DRAIN_MS)), [HopOutcome::Refused]);
    jobs.gate.on_report(&record("i-1", InstanceState::Ready), 9, 200 + DRAIN_MS);
    assert_eq!(
        outcomes(&begin(&mut jobs, 4, 300 + DRAIN_MS)),
        [HopOutcome::Refused],
        "it is final"
    );
}

#[test]
fn queued_calls_that_a_new_limit_does_not_admit_are_refused_at_once() {
    let mut jobs = jobs();
    let first = begin(&mut jobs, 1, 0);
    begin(&mut jobs, 2, 0);
    assert!(begin(&mut jobs, 3, 0).is_empty(), "the call is queued");
    let (first, _) = started(&first).expect("the job starts");
    let actions = answer(&mut jobs, first, stated(0.5), 50);
    assert_eq!(outcomes(&actions), [HopOutcome::Refused, HopOutcome::Answered]);
}

/// The bound of a process that ends its calls `ends_ms` after the start of a test.
fn stop_bound(ends_ms: u64) -> StopBound {
    StopBound { latest_deadline: ends_ms, retry_after_ms: 1_500 }
}

#[test]
fn a_stopping_sidecar_takes_no_call_of_a_peer_that_outlasts_it() {
    // The calls of these tests have 1 s left.
    for (ends_ms, expected) in [(1_100, vec![]), (1_099, vec![HopOutcome::Refused])] {
        let mut jobs = jobs();
        assert!(jobs.begin_stop(stop_bound(ends_ms), 50).is_empty());
        let actions = begin(&mut jobs, 1, 100);
        assert_eq!(outcomes(&actions), expected, "ends at {ends_ms} ms");
        let offered = jobs.offer(source(2), "8", &hop(SERVICE, Some("i-1")), 1, 100);
        assert_eq!(outcomes(&offered), expected, "offered, ends at {ends_ms} ms");
    }
}

#[test]
fn a_stopping_sidecar_tells_with_each_reply_what_it_accepts() {
    let mut jobs = jobs();
    jobs.begin_stop(stop_bound(900), 50);
    let [JobAction::Reply { reply, .. }] = &begin(&mut jobs, 1, 100)[..] else {
        panic!("it is refused");
    };
    assert_eq!((reply.accepts_ms, reply.retry_after_ms), (Some(800), 1_500));
    assert_eq!(reply.state, InstanceState::Ready, "shorter calls are accepted");
}

#[test]
fn a_stop_refuses_what_waits_and_would_outlast_it_and_ends_nothing_at_work() {
    let mut jobs = jobs();
    begin(&mut jobs, 1, 0);
    begin(&mut jobs, 2, 0);
    assert!(begin(&mut jobs, 3, 0).is_empty(), "the call is queued");
    assert!(jobs.begin_stop(stop_bound(1_000), 10).is_empty(), "all end before it");
    assert_eq!(outcomes(&jobs.begin_stop(stop_bound(999), 10)), [HopOutcome::Refused]);
    assert_eq!(jobs.load(), (2, 0));
}

#[test]
fn a_stopping_sidecar_takes_calls_of_its_own_callers_as_its_plan_says() {
    let mut jobs = jobs();
    jobs.begin_stop(stop_bound(500), 50);
    let local = Source::Local(Attempt { call: 1, number: 1 });
    let actions = jobs.begin(local, request(), &hop(SERVICE, Some("i-1")), 100);
    assert!(started(&actions).is_some(), "{actions:?}");
}

#[test]
fn a_peer_whose_call_has_not_arrived_is_told_that_it_has_not_run() {
    let mut jobs = jobs();
    jobs.close(100);
    let response = jobs.stopping_response(100);
    let reply = response.headers.text(HOP_HEADER).and_then(HopReply::decode);
    let told = reply.map(|reply| (reply.outcome, reply.state));
    assert_eq!(told, Some((HopOutcome::Refused, InstanceState::Left)));
}

/// Whatever a stopping sidecar takes from a peer is at work at most until the final answers are given.
#[test]
fn no_call_of_a_peer_outlasts_the_stop_that_took_it() {
    const SIGNAL_MS: u64 = 1_000;
    const CALL_MS: u64 = 1_000;
    for limit_ms in [600, 1_500, 3_000, 6_000, 30_000] {
        let mut plan = StopPlan::new(limit_ms);
        plan.begin(SIGNAL_MS);
        let latest_deadline = plan.latest_deadline().expect("it has begun");
        let mut taken = 0;
        for at in (SIGNAL_MS..SIGNAL_MS + limit_ms).step_by(10) {
            let mut jobs = jobs();
            jobs.begin_stop(StopBound { latest_deadline, retry_after_ms: 1_500 }, SIGNAL_MS);
            if outcomes(&begin(&mut jobs, 1, at)).is_empty() {
                taken += 1;
                let activity = Activity { in_flight: 1, last_request: at, unsent: false };
                let phase = plan.phase(activity, at + CALL_MS - 1);
                let is_over = matches!(phase, StopPhase::Ending | StopPhase::Done);
                assert!(!is_over, "limit {limit_ms} ms, taken at {at} ms: {phase:?}");
            }
        }
        assert_eq!(taken > 0, limit_ms > CALL_MS + 100, "limit {limit_ms} ms");
    }
}
