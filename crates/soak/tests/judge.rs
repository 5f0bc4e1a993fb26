//! Tests that each check reports its violation, and that a record without violations passes.

use expect_test::expect;
use soak::{
    check_record, Bounds, Call, CallOutcome, ConfigSubmission, Crash, Fault, FaultKind,
    LimitBounds, LimitStatement, PassedOn, Record, RepeatBounds, Run,
};
use std::fmt::Write;

const REPEATS: RepeatBounds = RepeatBounds { ratio: 0.2, slack: 3.0, window: 3_000 };
const LIMITS: LimitBounds =
    LimitBounds { factor: 1.5, slack: 5.0, window: 4_000, contact: 3_000, notice: 500 };
const BOUNDS: Bounds = Bounds {
    apply: 2_000,
    drain: 1_000,
    loss_slack: 200,
    stop_limit: 900,
    route_timeout: 300,
    settle: 3_000,
    repeats: REPEATS,
    limits: LIMITS,
};
const BROKEN_OFF: CallOutcome = CallOutcome::Answered { status: 502, body_matches: false };
const TIMED_OUT: CallOutcome = CallOutcome::Answered { status: 504, body_matches: false };
const OK: CallOutcome = CallOutcome::Answered { status: 200, body_matches: true };

fn call(id: u64, sent: u64, outcome: CallOutcome) -> Call {
    Call { id, machine: 11, repeatable: false, version: None, sent, ended: sent + 20, outcome }
}

/// Returns a record of nine seconds without violations, with a stop, a drain and two versions.
fn record() -> Record {
    Record {
        calls: (0..90).map(|id| call(id, id * 100, OK)).collect(),
        runs: (0..90)
            .map(|id| Run { call: id, machine: 12, incarnation: 1, at: id * 100 + 5 })
            .collect(),
        limits: Vec::new(),
        passed_on: Vec::new(),
        crashes: (0..6).map(|at| Crash { poison: 7, machine: 12, at }).collect(),
        quarantine_clears: Vec::new(),
        submissions: vec![
            ConfigSubmission { version: 1, acknowledged: Some(0) },
            ConfigSubmission { version: 2, acknowledged: Some(500) },
        ],
        faults: vec![
            Fault {
                kind: FaultKind::Stop,
                machine: 11,
                coordinators: false,
                from: 1_000,
                to: 2_000,
            },
            Fault {
                kind: FaultKind::Drain,
                machine: 13,
                coordinators: false,
                from: 2_500,
                to: 5_000,
            },
        ],
        faults_end: 5_000,
        read_back: Some(2),
        sound_upstreams: true,
    }
}

fn versioned(id: u64, sent: u64, version: u64, status: u16) -> Call {
    let outcome = CallOutcome::Answered { status, body_matches: true };
    Call { version: Some(version), repeatable: true, ..call(id, sent, outcome) }
}

/// The upstream on machine 12 states a limit from the start, and machine 11 passes it on at `told_at`.
fn state_limit(record: &mut Record, per_s: f64, told_at: u64) {
    record.limits.push(LimitStatement { machine: 12, incarnation: 1, at: 0, per_s: Some(per_s) });
    record.passed_on.push(PassedOn { limited: true, ..told(11, told_at) });
}

/// An answer of the upstream on machine 12 that a machine passed on, without statements.
fn told(machine: u8, at: u64) -> PassedOn {
    PassedOn { machine, upstream: 12, incarnation: 1, at, limited: false, leaving: false }
}

/// Repeats `count` calls once each, all of them within half a second.
fn repeat_calls(record: &mut Record, count: u64) {
    for id in 30..30 + count {
        record.calls[id as usize].repeatable = true;
        record.runs.push(Run { call: id, machine: 12, incarnation: 1, at: 3_500 + id });
    }
}

#[test]
fn a_good_record_has_no_breach() {
    assert_eq!(check_record(&record(), &BOUNDS), []);
}

#[test]
fn each_breach_is_found() {
    type Mutation = fn(&mut Record);
    let rows: Vec<(&str, Mutation)> = vec![
        ("wrong answer", |r| {
            r.calls[3].outcome = CallOutcome::Answered { status: 200, body_matches: false }
        }),
        ("closed between calls, but ran", |r| r.calls[3].outcome = CallOutcome::ClosedBetween),
        ("a seventh crash", |r| r.crashes.push(Crash { poison: 7, machine: 13, at: 400 })),
        ("executed twice", |r| r.runs.push(Run { call: 3, machine: 13, incarnation: 1, at: 400 })),
        ("refused but executed", |r| {
            r.calls[3].outcome = CallOutcome::Answered { status: 503, body_matches: true }
        }),
        ("denied", |r| {
            r.calls[3].outcome = CallOutcome::Answered { status: 404, body_matches: true }
        }),
        ("outdated version in use", |r| r.calls.push(versioned(900, 8_000, 1, 200))),
        ("new version missing", |r| r.calls.push(versioned(900, 8_000, 2, 404))),
        ("cut by a planned stop", |r| r.calls[12].outcome = CallOutcome::Cut),
        ("cut unread, long after it was sent", |r| {
            r.runs.retain(|run| run.call != 12);
            r.calls[12].outcome = CallOutcome::Cut;
            r.calls[12].ended = r.calls[12].sent + 201;
        }),
        ("cut unread, right after it was sent, which is no violation", |r| {
            r.runs.retain(|run| run.call != 12);
            r.calls[12].outcome = CallOutcome::Cut;
        }),
        ("broken off though its upstream is sound", |r| r.calls[12].outcome = BROKEN_OFF),
        ("broken off in the last sixth of its process's stop, which is no violation", |r| {
            r.calls[14] = Call { ended: 1_760, ..call(14, 1_400, BROKEN_OFF) };
        }),
        ("broken off before the last sixth", |r| {
            r.calls[14] = Call { ended: 1_740, ..call(14, 1_400, BROKEN_OFF) };
        }),
        ("sent late in the stop and broken off at its end", |r| {
            r.calls[15] = Call { ended: 1_760, ..call(15, 1_500, BROKEN_OFF) };
        }),
        ("broken off in the last sixth of a peer's stop", |r| {
            r.faults[0].machine = 12;
            r.calls[14] = Call { ended: 1_760, ..call(14, 1_400, BROKEN_OFF) };
        }),
        ("timed out before its time", |r| r.calls[12].outcome = TIMED_OUT),
        ("timed out at its time, which is no violation", |r| {
            r.calls[12] = Call { ended: 1_500, ..call(12, 1_200, TIMED_OUT) };
        }),
        ("broken off by its upstream, which is no violation", |r| {
            r.calls[12].outcome = BROKEN_OFF;
            r.sound_upstreams = false;
        }),
        ("cut during a coordinator's fault", |r| {
            r.faults.push(Fault {
                kind: FaultKind::Kill,
                machine: 1,
                coordinators: true,
                from: 1_150,
                to: 1_900,
            });
            r.calls[12].outcome = CallOutcome::Cut;
        }),
        ("outdated version during another sidecar's fault", |r| {
            r.faults.push(Fault {
                kind: FaultKind::Kill,
                machine: 13,
                coordinators: false,
                from: 7_000,
                to: 7_900,
            });
            r.calls.push(versioned(900, 8_000, 1, 200));
        }),
        ("call after the drain limit", |r| {
            r.runs.push(Run { call: 900, machine: 13, incarnation: 1, at: 3_600 })
        }),
        ("an older version read back", |r| r.read_back = Some(1)),
        ("no version read back", |r| r.read_back = None),
        ("not served after the faults", |r| {
            r.calls.iter_mut().skip(80).for_each(|c| c.outcome = CallOutcome::NotConnected);
        }),
        ("ten repeats", |r| repeat_calls(r, 10)),
        ("more than the stated limit", |r| state_limit(r, 5.0, 2_100)),
        ("more than a limit that was lowered", |r| {
            state_limit(r, 20.0, 2_100);
            r.limits.push(LimitStatement { at: 4_000, per_s: Some(5.0), ..r.limits[0] });
        }),
        ("sent to an upstream that leaves", |r| {
            r.passed_on.push(PassedOn { leaving: true, ..told(11, 6_950) });
        }),
    ];
    let mut text = String::new();
    for (name, mutate) in rows {
        let mut record = record();
        mutate(&mut record);
        for violation in check_record(&record, &BOUNDS) {
            writeln!(text, "{name}: {violation}").expect("writing to a string cannot fail");
        }
    }
    expect![[r#"
        wrong answer: OwnAnswer: call 3 got a wrong or incomplete answer
        closed between calls, but ran: StopCutsNothing: call 3 on machine 11, 300 to 320 ms
        a seventh crash: PoisonContained: request 7 crashed 7 upstreams
        executed twice: AtMostOnce: call 3 ran 2 times
        refused but executed: TrueRefusal: call 3 got 503 and ran
        denied: NotDenied: call 3 at 300 ms on machine 11
        outdated version in use: InForce: call 900 at 8000 ms on machine 11 used version 1, got 200; version 2 was due
        new version missing: InForce: call 900 at 8000 ms on machine 11 used version 2, got 404; version 2 was due
        cut by a planned stop: StopCutsNothing: call 12 on machine 11, 1200 to 1220 ms
        cut unread, long after it was sent: StopCutsNothing: call 12 on machine 11, 1200 to 1401 ms
        broken off though its upstream is sound: StopCutsNothing: call 12 on machine 11, 1200 to 1220 ms
        broken off before the last sixth: StopCutsNothing: call 14 on machine 11, 1400 to 1740 ms
        sent late in the stop and broken off at its end: StopCutsNothing: call 15 on machine 11, 1500 to 1760 ms
        broken off in the last sixth of a peer's stop: StopCutsNothing: call 14 on machine 11, 1400 to 1760 ms
        timed out before its time: StopCutsNothing: call 12 on machine 11, 1200 to 1220 ms
        cut during a coordinator's fault: StopCutsNothing: call 12 on machine 11, 1200 to 1220 ms
        outdated version during another sidecar's fault: InForce: call 900 at 8000 ms on machine 11 used version 1, got 200; version 2 was due
        call after the drain limit: Drained: call 900 on machine 13 1100 ms after the acknowledgement
        an older version read back: Kept: read back Some(1), acknowledged Some(2)
        no version read back: Kept: read back None, acknowledged Some(2)
        not served after the faults: Recovered: 0 of 9 calls served
        ten repeats: RepeatsBounded: 10 repeats from 3530 ms on, 9 allowed
        more than the stated limit: LimitKept: upstream 12 got 41 calls in 4000 ms up to 6605 ms from machines that it had told; allowed 35
        more than a limit that was lowered: LimitKept: upstream 12 got 41 calls in 4000 ms up to 8505 ms from machines that it had told; allowed 35
        sent to an upstream that leaves: Drained: call 80, sent 1050 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 81, sent 1150 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 82, sent 1250 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 83, sent 1350 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 84, sent 1450 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 85, sent 1550 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 86, sent 1650 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 87, sent 1750 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 88, sent 1850 ms after machine 11 had passed on that upstream 12 leaves, reached it
        sent to an upstream that leaves: Drained: call 89, sent 1950 ms after machine 11 had passed on that upstream 12 leaves, reached it
    "#]].assert_eq(&text);
}

#[test]
fn what_may_happen_is_no_breach() {
    type Mutation = fn(&mut Record);
    let rows: Vec<(&str, Mutation)> = vec![
        ("cut by a kill", |r| {
            r.faults.push(Fault {
                kind: FaultKind::Kill,
                machine: 12,
                coordinators: false,
                from: 1_150,
                to: 1_900,
            });
            r.calls[12].outcome = CallOutcome::Cut;
        }),
        ("nine repeats", |r| repeat_calls(r, 9)),
        ("outdated version within the apply limit", |r| {
            r.calls.push(versioned(900, 2_400, 1, 200))
        }),
        ("outdated version after a freeze", |r| {
            r.faults.push(Fault {
                kind: FaultKind::Freeze,
                machine: 1,
                coordinators: true,
                from: 1_000,
                to: 2_500,
            });
            r.calls.push(versioned(900, 2_600, 1, 200));
        }),
        ("an unacknowledged version is in force", |r| {
            r.submissions.push(ConfigSubmission { version: 3, acknowledged: None });
            r.calls.push(versioned(900, 8_000, 2, 404));
            r.read_back = Some(3);
        }),
        ("refused and not executed", |r| {
            r.calls[3].outcome = CallOutcome::Answered { status: 503, body_matches: true };
            r.runs.retain(|run| run.call != 3);
        }),
        ("as many as the stated limit allows", |r| state_limit(r, 6.0, 2_100)),
        ("more than the limit from a machine that was not told", |r| {
            state_limit(r, 5.0, 2_100);
            r.passed_on[0].machine = 13;
        }),
        ("more than the limit of another incarnation", |r| {
            state_limit(r, 5.0, 2_100);
            r.runs.iter_mut().for_each(|run| run.incarnation = 2);
        }),
        ("more than the limit from a machine that was stopped since", |r| {
            state_limit(r, 5.0, 900);
        }),
        ("more than a limit that was lifted", |r| {
            state_limit(r, 5.0, 2_100);
            r.limits.push(LimitStatement { at: 4_000, per_s: None, ..r.limits[0] });
        }),
        ("sent before an upstream leaves", |r| {
            r.passed_on.push(PassedOn { leaving: true, ..told(11, 7_900) });
        }),
        ("sent to an upstream that leaves, by a machine that was stopped since", |r| {
            r.passed_on.push(PassedOn { leaving: true, ..told(11, 500) });
        }),
    ];
    for (name, mutate) in rows {
        let mut record = record();
        mutate(&mut record);
        assert_eq!(check_record(&record, &BOUNDS), [], "{name}");
    }
}

#[test]
fn a_clearing_allows_as_many_ends_again_of_requests_that_it_may_concern() {
    let violations = |crashes: u64, quarantine_clears: &[u64]| {
        let crashes = (0..crashes).map(|at| Crash { poison: 7, machine: 12, at }).collect();
        check_record(
            &Record { crashes, quarantine_clears: quarantine_clears.to_vec(), ..record() },
            &BOUNDS,
        )
        .len()
    };
    assert_eq!((violations(12, &[3]), violations(13, &[3])), (0, 1));
    assert_eq!(violations(7, &[50]), 1, "the quarantine was cleared after the last crash");
}
