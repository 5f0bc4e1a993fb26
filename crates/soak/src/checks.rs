//! Checks of the fleet's guarantees against the record of a soak test.

use crate::statements::{check_leaving, check_limits};
use crate::{
    Bounds, Call, CallOutcome, ConfigSubmission, Fault, FaultKind, Millis, Record, RepeatBounds,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const NOT_FOUND: u16 = 404;
/// Answer to a call that may have run, and whose answer is not known.
const BROKEN_OFF_STATUS: u16 = 502;
/// Answer to a call whose time is over.
const TIMED_OUT_STATUS: u16 = 504;
/// Statuses that guarantee that the call was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Minimum share of the calls after the last fault that must be served.
const MIN_SERVED_RATIO: f64 = 0.95;

/// Limit of upstreams that one poison request may crash: two until it is identified, and at most
/// four more that run it until the quarantine has propagated, even while coordinators are killed.
const MAX_CRASHES_PER_REQUEST: usize = 6;

/// Guarantee of the fleet to its callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    /// A successful response carries the complete answer to its own call.
    OwnAnswer,
    /// A call that is not repeatable runs at most once.
    AtMostOnce,
    /// A call that is not repeatable did not run if it was refused with a status that guarantees
    /// so.
    TrueRefusal,
    /// A route that exists in all versions is never answered with 404.
    NotDenied,
    /// An acknowledged version is in force in time.
    InForce,
    /// A planned stop interrupts no call.
    StopCutsNothing,
    /// An upstream that is leaving gets no new calls after the drain limit.
    Drained,
    /// An acknowledged configuration version is not lost.
    Kept,
    /// Calls are served again after the last fault.
    Recovered,
    /// A request that crashes upstreams is quarantined before it crashes too many.
    PoisonContained,
    /// Calls are repeated no more often than the fleet's limit allows.
    RepeatsBounded,
    /// An upstream that states a limit gets no more calls than the limit allows.
    LimitKept,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// What was observed.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.details)
    }
}

/// Returns all violations in a record.
pub fn check_record(record: &Record, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |guarantee, details| violations.push(Violation { guarantee, details });
    let runs = runs_by_call(record);
    for call in &record.calls {
        let ran = runs.get(&call.id).copied().unwrap_or(0);
        check_call(call, ran, &mut report);
        check_version(call, record, bounds, &mut report);
        check_planned_stops(call, ran, record, bounds, &mut report);
    }
    check_drains(record, bounds, &mut report);
    check_read_back(record, &mut report);
    check_recovery(record, bounds, &mut report);
    check_poison(record, &mut report);
    check_repeats(record, bounds, &mut report);
    check_limits(record, bounds, &mut report);
    check_leaving(record, bounds, &mut report);
    violations
}

fn runs_by_call(record: &Record) -> BTreeMap<u64, u32> {
    let mut runs = BTreeMap::new();
    for run in &record.runs {
        *runs.entry(run.call).or_default() += 1;
    }
    runs
}

fn check_call(call: &Call, ran: u32, report: &mut impl FnMut(Guarantee, String)) {
    if !call.repeatable && ran > 1 {
        report(Guarantee::AtMostOnce, format!("call {} ran {ran} times", call.id));
    }
    let CallOutcome::Answered { status, body_matches } = call.outcome else {
        return;
    };
    if status == 200 && !body_matches {
        report(Guarantee::OwnAnswer, format!("call {} got a wrong or incomplete answer", call.id));
    }
    if !call.repeatable && NOT_EXECUTED_STATUSES.contains(&status) && ran > 0 {
        report(Guarantee::TrueRefusal, format!("call {} got {status} and ran", call.id));
    }
    if call.version.is_none() && status == NOT_FOUND {
        let Call { id, machine, sent, .. } = call;
        report(Guarantee::NotDenied, format!("call {id} at {sent} ms on machine {machine}"));
    }
}

/// Whether a fault that may delay a version on a machine affected it, or the coordinators, between
/// `from` and `to` or within the settle time before.
fn affected_by_fault(
    record: &Record,
    bounds: &Bounds,
    machine: u8,
    from: Millis,
    to: Millis,
) -> bool {
    let near = |fault: &&Fault| fault.from <= to && from <= fault.to + bounds.settle;
    let concerns = |fault: &&Fault| fault.machine == machine || fault.coordinators;
    record
        .faults
        .iter()
        .filter(concerns)
        .any(|fault| near(&fault) && fault.kind != FaultKind::Drain)
}

fn check_version(
    call: &Call,
    record: &Record,
    bounds: &Bounds,
    report: &mut impl FnMut(Guarantee, String),
) {
    let (Some(version), CallOutcome::Answered { status, .. }) = (call.version, call.outcome) else {
        return;
    };
    let due = |submission: &ConfigSubmission| {
        submission.acknowledged.is_some_and(|at| at + bounds.apply < call.sent)
    };
    let newest_due = record
        .submissions
        .iter()
        .filter(|submission| due(submission))
        .map(|submission| submission.version);
    let Some(newest_due) = newest_due.max() else {
        return;
    };
    // A version that was submitted later may be in force already.
    let is_newest = record.submissions.iter().all(|submission| submission.version <= newest_due);
    let outdated = version < newest_due && status == 200;
    let missing = version == newest_due && status == NOT_FOUND && is_newest;
    if (outdated || missing)
        && !affected_by_fault(
            record,
            bounds,
            call.machine,
            call.sent.saturating_sub(bounds.apply),
            call.sent,
        )
    {
        let Call { id, machine, sent, .. } = call;
        let details = format!(
            "call {id} at {sent} ms on machine {machine} used version {version}, got {status}; \
             version {newest_due} was due"
        );
        report(Guarantee::InForce, details);
    }
}

/// Reports a call that was interrupted although there were only planned stops at that time.
fn check_planned_stops(
    call: &Call,
    ran: u32,
    record: &Record,
    bounds: &Bounds,
    report: &mut impl FnMut(Guarantee, String),
) {
    // A call that was in flight when an idle connection closed was not read, unless it ran. Nor was one
    // that came so shortly before the process ended.
    let has_crossed = ran == 0 && call.ended.saturating_sub(call.sent) <= bounds.loss_slack;
    let is_cut = match call.outcome {
        CallOutcome::Cut => !has_crossed,
        CallOutcome::ClosedBetween => ran > 0,
        _ => false,
    };
    let is_broken_off = record.sound_upstreams
        && is_broken_off(call, bounds)
        && !ends_with_its_process(call, record, bounds);
    if !is_cut && !is_broken_off {
        return;
    }
    let unplanned = |fault: &&Fault| {
        matches!(fault.kind, FaultKind::Kill | FaultKind::Freeze | FaultKind::Wipe)
            && !fault.coordinators
            && fault.from <= call.ended
            && call.sent <= fault.to + bounds.settle
    };
    if !record.faults.iter().any(|fault| unplanned(&fault)) {
        let Call { id, machine, sent, ended, .. } = call;
        report(
            Guarantee::StopCutsNothing,
            format!("call {id} on machine {machine}, {sent} to {ended} ms"),
        );
    }
}

/// Whether the fleet has broken off a call that an upstream had, and answered in its place, before the time
/// of the call was over.
fn is_broken_off(call: &Call, bounds: &Bounds) -> bool {
    let is_early = call.ended < call.sent + bounds.route_timeout;
    match call.outcome {
        CallOutcome::Answered { status: BROKEN_OFF_STATUS, .. } => true,
        CallOutcome::Answered { status: TIMED_OUT_STATUS, .. } => is_early,
        _ => false,
    }
}

/// Whether a call was sent early in a planned stop of the process that it was sent to, or before it, and was
/// still at work in the last sixth of that stop. A stop of any other process is no excuse.
fn ends_with_its_process(call: &Call, record: &Record, bounds: &Bounds) -> bool {
    let ends = |fault: &&Fault| {
        fault.kind == FaultKind::Stop
            && fault.machine == call.machine
            && call.sent <= fault.from + bounds.stop_limit / 2
            && call.ended >= fault.from + bounds.stop_limit * 5 / 6
            && call.ended <= fault.from + bounds.stop_limit + bounds.loss_slack
    };
    record.faults.iter().any(|fault| ends(&fault))
}

fn check_drains(record: &Record, bounds: &Bounds, report: &mut impl FnMut(Guarantee, String)) {
    let drains = record.faults.iter().filter(|fault| fault.kind == FaultKind::Drain);
    for drain in drains {
        let late = record.runs.iter().find(|run| {
            let after = run.at > drain.from + bounds.drain && run.at < drain.to;
            run.machine == drain.machine && after
        });
        if let Some(run) = late {
            let (call, machine) = (run.call, run.machine);
            let after = run.at - drain.from;
            let details =
                format!("call {call} on machine {machine} {after} ms after the acknowledgement");
            report(Guarantee::Drained, details);
        }
    }
}

fn check_read_back(record: &Record, report: &mut impl FnMut(Guarantee, String)) {
    let acknowledged =
        record.submissions.iter().filter(|submission| submission.acknowledged.is_some());
    let newest = acknowledged.map(|submission| submission.version).max();
    if record.read_back < newest {
        report(
            Guarantee::Kept,
            format!("read back {:?}, acknowledged {newest:?}", record.read_back),
        );
    }
}

/// Checks the number of upstreams that each poison request crashed: those needed to identify it,
/// and those that ran it before the quarantine had propagated. Each time that the quarantine is
/// cleared between its crashes allows the same number again.
fn check_poison(record: &Record, report: &mut impl FnMut(Guarantee, String)) {
    let mut crash_times: BTreeMap<u64, Vec<Millis>> = BTreeMap::new();
    for crash in &record.crashes {
        crash_times.entry(crash.poison).or_default().push(crash.at);
    }
    for (poison, times) in crash_times {
        let (first, last) = (times.iter().min(), times.iter().max());
        let between = |at: &&Millis| first <= Some(*at) && Some(*at) <= last;
        let clears = record.quarantine_clears.iter().filter(between).count();
        if times.len() > MAX_CRASHES_PER_REQUEST * (1 + clears) {
            let count = times.len();
            report(
                Guarantee::PoisonContained,
                format!("request {poison} crashed {count} upstreams"),
            );
        }
    }
}

/// Checks the number of repeats in any window against the number of calls in that window, the one
/// before, or the one half a window before, whichever is largest.
fn check_repeats(record: &Record, bounds: &Bounds, report: &mut impl FnMut(Guarantee, String)) {
    let RepeatBounds { ratio, slack, window } = bounds.repeats;
    let mut sent: Vec<Millis> = record.calls.iter().map(|call| call.sent).collect();
    sent.sort_unstable();
    let repeats = repeated_runs(record);
    let count = |times: &[Millis], from: Millis| {
        let index_of = |at: Millis| times.partition_point(|time| *time < at);
        index_of(from + window) - index_of(from)
    };
    let excess = |from: Millis| {
        let starts = [from, from.saturating_sub(window / 2), from.saturating_sub(window)];
        let calls = starts.iter().map(|start| count(&sent, *start)).max().unwrap_or(0);
        let allowed = calls as f64 * ratio + slack;
        let found = count(&repeats, from);
        (found as f64 - allowed, from, found, allowed)
    };
    let worst = repeats.iter().map(|from| excess(*from)).max_by(|a, b| a.0.total_cmp(&b.0));
    if let Some((_, from, found, allowed)) = worst.filter(|(excess, ..)| *excess > 0.0) {
        let details = format!("{found} repeats from {from} ms on, {allowed:.0} allowed");
        report(Guarantee::RepeatsBounded, details);
    }
}

/// Returns the start times of all runs but the first of each call.
fn repeated_runs(record: &Record) -> Vec<Millis> {
    let mut runs: Vec<(Millis, u64)> = record.runs.iter().map(|run| (run.at, run.call)).collect();
    runs.sort_unstable();
    let mut seen = BTreeSet::new();
    runs.retain(|(_, call)| !seen.insert(*call));
    runs.into_iter().map(|(at, _)| at).collect()
}

fn check_recovery(record: &Record, bounds: &Bounds, report: &mut impl FnMut(Guarantee, String)) {
    let after_faults =
        |call: &&Call| call.sent > record.faults_end + bounds.settle && call.version.is_none();
    let calls: Vec<&Call> = record.calls.iter().filter(after_faults).collect();
    let served = |call: &&&Call| matches!(call.outcome, CallOutcome::Answered { status: 200, .. });
    let served = calls.iter().filter(served).count();
    if calls.is_empty() || (served as f64) < calls.len() as f64 * MIN_SERVED_RATIO {
        report(Guarantee::Recovered, format!("{served} of {} calls served", calls.len()));
    }
}
