//! A canary as seen by the sidecar beside an upstream: what it counts, reports, and admits.

mod common;

use common::{found_alive, NAMES, SERVICE};
use expect_test::expect;
use http1::{Answer, ExchangeError, Headers, Request, Response};
use mesh::{
    CandidateShare, HopOutcome, HopRequest, InstanceRecord, InstanceState, VersionEvidence,
    VersionPolicy,
};
use sidecar::{ConnectionId, JobAction, JobMetrics, Jobs, LogSample, Source, UpstreamEnd};
use std::rc::Rc;
use telemetry::Registry;

const COLD_MS: u32 = 1_000;

fn jobs(version: &str) -> Jobs {
    let metrics = JobMetrics::new(&Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, 2_000, None, LogSample::new(1), metrics);
    let record = InstanceRecord {
        id: "i-1".to_owned(),
        version: version.to_owned(),
        state: InstanceState::Ready,
        slots: 4,
        cold_remaining_ms: COLD_MS,
        born_ms: 0,
    };
    jobs.gate.on_report(&record, 1, 0);
    jobs.refresh_limit(0);
    jobs.set_cold_rate(None, 0);
    jobs
}

fn policy(run: u64, permille: u16, barred: &[&str]) -> Option<VersionPolicy> {
    let candidate = CandidateShare { version: "v2".to_owned(), run, permille };
    let candidate = (run > 0).then_some(candidate);
    let barred = barred.iter().map(|version| (*version).to_owned()).collect();
    Some(VersionPolicy { service: SERVICE.to_owned(), candidate, barred })
}

fn begin(jobs: &mut Jobs, slot: u64, target_ms: u64, now: u64) -> Vec<JobAction> {
    let hop = HopRequest {
        deadline_ms: 10_000,
        patience_ms: 150,
        rank: 1,
        target_ms,
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
    };
    let mut headers = Headers::default();
    headers.push(NAMES.attempt_id, "7");
    let request = Request {
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers,
        body: bytes::Bytes::new(),
    };
    let source = Source::Peer { connection: ConnectionId::for_tests(1), slot };
    jobs.begin(source, Rc::new(request), &hop, now)
}

fn run(jobs: &mut Jobs, target_ms: u64, end: UpstreamEnd, at: u64, for_ms: u64) {
    let actions = begin(jobs, at, target_ms, at);
    let [JobAction::Run { job, .. }] = &actions[..] else { panic!("{actions:?}") };
    let ended = jobs.ended(*job, end, at + for_ms);
    if matches!(ended[..], [JobAction::Probe { again: false }]) {
        found_alive(jobs, at + for_ms);
    }
}

fn answered(status: u16) -> UpstreamEnd {
    let response = Response::empty(status).with_header(NAMES.seal, "s");
    UpstreamEnd::Answered(Answer { response, reusable: true })
}

fn is_refused(actions: &[JobAction]) -> bool {
    matches!(actions, [JobAction::Reply { reply, .. }] if reply.outcome == HopOutcome::Refused)
}

fn describe(evidence: Option<VersionEvidence>) -> String {
    let Some(evidence) = evidence else {
        return "nothing".to_owned();
    };
    let classes = evidence.classes.iter().map(|entry| {
        let (failed, ended) = (entry.outcomes.failed, entry.outcomes.ended());
        format!("{} ms: {failed} of {ended} failed", entry.class.target_ms)
    });
    let classes: Vec<String> = classes.collect();
    format!("run {} {} {}", evidence.run, evidence.version, classes.join(", "))
}

#[test]
fn every_call_of_a_warm_upstream_is_counted_and_told_in_sums() {
    let mut jobs = jobs("v2");
    run(&mut jobs, 600, answered(200), 100, 50);
    assert_eq!(describe(jobs.evidence_due(200)), "nothing", "no canary is running");
    jobs.set_policy(policy(5, 25, &[]));
    run(&mut jobs, 600, answered(200), 300, 50);
    run(&mut jobs, 600, answered(500), 400, 50);
    expect!["run 5 v2 600 ms: 1 of 1 failed"].assert_eq(&describe(jobs.evidence_due(500)));
    for at in [1_100, 1_200, 1_300] {
        run(&mut jobs, 600, answered(200), at, 50);
    }
    run(&mut jobs, 200, UpstreamEnd::Failed(ExchangeError::NoAnswer), 1_400, 10);
    assert_eq!(describe(jobs.evidence_due(700)), "nothing", "the last report is too recent");
    expect!["run 5 v2 200 ms: 1 of 1 failed, 600 ms: 1 of 4 failed"]
        .assert_eq(&describe(jobs.evidence_due(1_500)));
    assert_eq!(describe(jobs.evidence_due(9_000)), "nothing", "there are no new outcomes");
}

#[test]
fn counts_begin_anew_with_each_canary() {
    let mut jobs = jobs("v1");
    jobs.set_policy(policy(5, 25, &[]));
    run(&mut jobs, 600, answered(500), 2_000, 50);
    jobs.set_policy(policy(5, 300, &[]));
    expect!["run 5 v1 600 ms: 1 of 1 failed"].assert_eq(&describe(jobs.evidence_due(2_500)));
    jobs.set_policy(policy(9, 25, &[]));
    assert_eq!(describe(jobs.evidence_due(3_500)), "nothing");
    run(&mut jobs, 600, answered(200), 4_000, 50);
    expect!["run 9 v1 600 ms: 0 of 1 failed"].assert_eq(&describe(jobs.evidence_due(5_000)));
}

#[test]
fn who_is_let_to_which_version() {
    for (version, policy, passes) in [
        ("v1", None, true),
        ("v1", policy(5, 25, &[]), true),
        ("v2", policy(5, 25, &[]), true),
        ("v1", policy(5, 1_000, &[]), false),
        ("v2", policy(5, 1_000, &[]), true),
        ("v1", policy(0, 0, &["v1"]), false),
        ("v2", policy(0, 0, &["v1"]), true),
        ("v2", policy(0, 0, &["v2"]), false),
        ("v9", policy(5, 25, &["v7"]), true),
    ] {
        let mut jobs = jobs(version);
        jobs.set_policy(policy.clone());
        let refused = is_refused(&begin(&mut jobs, 1, 600, 2_000));
        assert_eq!(refused, !passes, "{version} {policy:?}");
    }
}

#[test]
fn a_call_that_runs_when_its_version_is_barred_is_finished() {
    let mut jobs = jobs("v1");
    let actions = begin(&mut jobs, 1, 600, 2_000);
    let [JobAction::Run { job, .. }] = &actions[..] else { panic!("{actions:?}") };
    jobs.set_policy(policy(5, 1_000, &[]));
    let ended = jobs.ended(*job, answered(200), 2_100);
    assert!(
        matches!(&ended[..], [JobAction::Reply { reply, .. }] if reply.outcome == HopOutcome::Answered)
    );
}
