//! The promises, each as a check over a record.

use crate::{
    Bounds, Call, CallOutcome, ConfigSubmission, Fault, FaultKind, Millis, Record, RepeatBounds,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const NOT_FOUND: u16 = 404;
/// Statuses that promise that a call did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Part of the calls after the last fault that must be served.
const SERVED_WHEN_CALM: f64 = 0.95;

/// Most upstreams that one poison request may end: two make it known, and four run it at most until
/// that is told, also while coordinators are killed.
const MOST_CRASHES: usize = 6;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    /// A success carries the whole answer to its own call.
    OwnAnswer,
    /// A call that may not be repeated runs at most once.
    AtMostOnce,
    /// A call that was refused did not run.
    TrueRefusal,
    /// A route of every version is never denied.
    NotDenied,
    /// A version is in force in time.
    InForce,
    /// A planned stop cuts no call.
    StopCutsNothing,
    /// An upstream that leaves gets no new work.
    Drained,
    /// What was acknowledged is not lost.
    Kept,
    /// Calls are served again after the last fault.
    Recovered,
    /// A request that crashes upstreams is kept from them.
    PoisonContained,
    /// Calls are sent again no more often than the fleet's bound allows.
    RepeatsBounded,
}

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub guarantee: Guarantee,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.details)
    }
}

/// All breaches of a record.
pub fn check_record(record: &Record, bounds: &Bounds) -> Vec<Violation> {
    let mut breaches = Vec::new();
    let mut note = |promise, what| breaches.push(Violation { guarantee: promise, details: what });
    let runs = runs_by_call(record);
    for call in &record.calls {
        let ran = runs.get(&call.id).copied().unwrap_or(0);
        check_call(call, ran, &mut note);
        check_version(call, record, bounds, &mut note);
        check_cut(call, ran, record, bounds, &mut note);
    }
    check_drains(record, bounds, &mut note);
    check_read_back(record, &mut note);
    check_recovery(record, bounds, &mut note);
    check_poison(record, &mut note);
    check_repeats(record, bounds, &mut note);
    breaches
}

fn runs_by_call(record: &Record) -> BTreeMap<u64, u32> {
    let mut runs = BTreeMap::new();
    for run in &record.runs {
        *runs.entry(run.call).or_default() += 1;
    }
    runs
}

fn check_call(call: &Call, ran: u32, note: &mut impl FnMut(Guarantee, String)) {
    if !call.repeatable && ran > 1 {
        note(Guarantee::AtMostOnce, format!("call {} ran {ran} times", call.id));
    }
    let CallOutcome::Answered { status, body_matches } = call.outcome else {
        return;
    };
    if status == 200 && !body_matches {
        note(Guarantee::OwnAnswer, format!("call {} got another answer", call.id));
    }
    if !call.repeatable && PROMISES.contains(&status) && ran > 0 {
        note(Guarantee::TrueRefusal, format!("call {} got {status} and ran", call.id));
    }
    if call.version.is_none() && status == NOT_FOUND {
        let Call { id, machine, sent, .. } = call;
        note(Guarantee::NotDenied, format!("call {id} at {sent} ms on machine {machine}"));
    }
}

/// Whether something that may delay a version at a machine disturbed it, or its coordinators,
/// shortly before a moment.
fn disturbed(record: &Record, bounds: &Bounds, machine: u8, from: Millis, to: Millis) -> bool {
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
    note: &mut impl FnMut(Guarantee, String),
) {
    let (Some(version), CallOutcome::Answered { status, .. }) = (call.version, call.outcome) else {
        return;
    };
    let due = |order: &ConfigSubmission| {
        order.acknowledged.is_some_and(|at| at + bounds.apply < call.sent)
    };
    let newest_due =
        record.submissions.iter().filter(|order| due(order)).map(|order| order.version);
    let Some(newest_due) = newest_due.max() else {
        return;
    };
    // A version that was sent later may be in force already.
    let only_this_far = record.submissions.iter().all(|order| order.version <= newest_due);
    let old = version < newest_due && status == 200;
    let missing = version == newest_due && status == NOT_FOUND && only_this_far;
    if (old || missing)
        && !disturbed(
            record,
            bounds,
            call.machine,
            call.sent.saturating_sub(bounds.apply),
            call.sent,
        )
    {
        let Call { id, machine, sent, .. } = call;
        let what = format!(
            "call {id} at {sent} ms on machine {machine} used version {version}, got {status}; \
             version {newest_due} was due"
        );
        note(Guarantee::InForce, what);
    }
}

/// A call that was cut although nothing but planned stops disturbed its time.
fn check_cut(
    call: &Call,
    ran: u32,
    record: &Record,
    bounds: &Bounds,
    note: &mut impl FnMut(Guarantee, String),
) {
    // A call that crossed a close was not read; one that ran was.
    let cut =
        call.outcome == CallOutcome::Cut || (call.outcome == CallOutcome::ClosedBetween && ran > 0);
    if !cut {
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
        note(
            Guarantee::StopCutsNothing,
            format!("call {id} on machine {machine}, {sent} to {ended} ms"),
        );
    }
}

fn check_drains(record: &Record, bounds: &Bounds, note: &mut impl FnMut(Guarantee, String)) {
    let drains = record.faults.iter().filter(|fault| fault.kind == FaultKind::Drain);
    for drain in drains {
        let late = record.runs.iter().find(|run| {
            let after = run.at > drain.from + bounds.drain && run.at < drain.to;
            run.machine == drain.machine && after
        });
        if let Some(run) = late {
            let (call, machine) = (run.call, run.machine);
            let after = run.at - drain.from;
            let what =
                format!("call {call} on machine {machine} {after} ms after the acknowledgement");
            note(Guarantee::Drained, what);
        }
    }
}

fn check_read_back(record: &Record, note: &mut impl FnMut(Guarantee, String)) {
    let acknowledged = record.submissions.iter().filter(|order| order.acknowledged.is_some());
    let newest = acknowledged.map(|order| order.version).max();
    if record.read_back < newest {
        note(Guarantee::Kept, format!("read back {:?}, acknowledged {newest:?}", record.read_back));
    }
}

/// Upstreams that one poison request ends: as many as are needed to know it, and those that ran it
/// before word of that was everywhere; as many again after each clearing meanwhile.
fn check_poison(record: &Record, note: &mut impl FnMut(Guarantee, String)) {
    let mut ended: BTreeMap<u64, Vec<Millis>> = BTreeMap::new();
    for crash in &record.crashes {
        ended.entry(crash.poison).or_default().push(crash.at);
    }
    for (poison, at) in ended {
        let (first, last) = (at.iter().min(), at.iter().max());
        let meanwhile = |at: &&Millis| first <= Some(*at) && Some(*at) <= last;
        let quarantine_clears = record.quarantine_clears.iter().filter(meanwhile).count();
        if at.len() > MOST_CRASHES * (1 + quarantine_clears) {
            let count = at.len();
            note(Guarantee::PoisonContained, format!("request {poison} ended {count} upstreams"));
        }
    }
}

/// Runs past the first of their call, in any window, against the calls of that window, the one before,
/// or the one half a window before.
fn check_repeats(record: &Record, bounds: &Bounds, note: &mut impl FnMut(Guarantee, String)) {
    let RepeatBounds { ratio, slack, window } = bounds.repeats;
    let mut sent: Vec<Millis> = record.calls.iter().map(|call| call.sent).collect();
    sent.sort_unstable();
    let repeats = repeated_runs(record);
    let count = |times: &[Millis], from: Millis| {
        let place = |at: Millis| times.partition_point(|time| *time < at);
        place(from + window) - place(from)
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
        let what = format!("{found} repeats from {from} ms on, {allowed:.0} allowed");
        note(Guarantee::RepeatsBounded, what);
    }
}

/// When runs past the first of their call began.
fn repeated_runs(record: &Record) -> Vec<Millis> {
    let mut runs: Vec<(Millis, u64)> = record.runs.iter().map(|run| (run.at, run.call)).collect();
    runs.sort_unstable();
    let mut seen = BTreeSet::new();
    runs.retain(|(_, call)| !seen.insert(*call));
    runs.into_iter().map(|(at, _)| at).collect()
}

fn check_recovery(record: &Record, bounds: &Bounds, note: &mut impl FnMut(Guarantee, String)) {
    let calm =
        |call: &&Call| call.sent > record.faults_end + bounds.settle && call.version.is_none();
    let calls: Vec<&Call> = record.calls.iter().filter(calm).collect();
    let served = |call: &&&Call| matches!(call.outcome, CallOutcome::Answered { status: 200, .. });
    let served = calls.iter().filter(served).count();
    if calls.is_empty() || (served as f64) < calls.len() as f64 * SERVED_WHEN_CALM {
        note(Guarantee::Recovered, format!("{served} of {} calls served", calls.len()));
    }
}
