//! Checks that statements of upstreams bind the machines that passed them on to callers.

use crate::{Bounds, Fault, FaultKind, Guarantee, LimitBounds, Millis, PassedOn, Record, Run};
use std::collections::BTreeMap;

/// One incarnation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpstreamId {
    machine: u8,
    incarnation: u64,
}

/// The limit that an upstream stated, from a time on; `None` without a limit.
type Statement = (Millis, Option<f64>);

/// Evaluates the runs of a record by what their upstreams had stated.
struct Judge<'a> {
    record: &'a Record,
    /// Machine and time of sending of each call.
    calls: BTreeMap<u64, (u8, Millis)>,
}

/// Checks the number of runs that upstreams got in any window after they stated a limit. Only calls
/// of machines that had passed on such a statement count.
pub fn check_limits(record: &Record, bounds: &Bounds, report: &mut impl FnMut(Guarantee, String)) {
    let judge = Judge::new(record);
    let mut statements: BTreeMap<UpstreamId, Vec<Statement>> = BTreeMap::new();
    for stated in &record.limits {
        let id = UpstreamId { machine: stated.machine, incarnation: stated.incarnation };
        statements.entry(id).or_default().push((stated.at, stated.per_s));
    }
    for (id, statements) in statements {
        let excess = judge.worst_excess(id, &statements, &bounds.limits);
        if let Some(details) = excess {
            report(Guarantee::LimitKept, details);
        }
    }
}

/// Checks that no machine sent new calls to an upstream after it had passed on that the upstream is
/// leaving.
pub fn check_leaving(record: &Record, bounds: &Bounds, report: &mut impl FnMut(Guarantee, String)) {
    let judge = Judge::new(record);
    for run in &record.runs {
        let Some((machine, sent)) = judge.calls.get(&run.call).copied() else {
            continue;
        };
        let binds = |told: &&PassedOn| {
            told.leaving && told.at + bounds.drain < sent && judge.binds(told, machine, run)
        };
        if let Some(told) = record.passed_on.iter().find(binds) {
            let (call, upstream, late) = (run.call, run.machine, sent - told.at);
            let details = format!(
                "call {call}, sent {late} ms after machine {machine} had passed on that upstream \
                 {upstream} leaves, reached it"
            );
            report(Guarantee::Drained, details);
        }
    }
}

impl<'a> Judge<'a> {
    fn new(record: &'a Record) -> Self {
        let of_call = |call: &crate::Call| (call.id, (call.machine, call.sent));
        Judge { record, calls: record.calls.iter().map(of_call).collect() }
    }

    /// Whether a statement that was passed on binds the machine where a run's call began.
    fn binds(&self, told: &PassedOn, machine: u8, run: &Run) -> bool {
        let same_upstream = told.upstream == run.machine && told.incarnation == run.incarnation;
        same_upstream && told.machine == machine && !self.is_excused(machine, told.at, run.at)
    }

    /// Whether a machine was restarted or frozen in between.
    fn is_excused(&self, machine: u8, from: Millis, to: Millis) -> bool {
        let disrupts = |fault: &&Fault| {
            fault.machine == machine
                && fault.kind != FaultKind::Drain
                && fault.from <= to
                && from <= fault.to
        };
        self.record.faults.iter().any(|fault| disrupts(&fault))
    }

    /// When the counted runs of an upstream began.
    fn counted(&self, id: UpstreamId, bounds: &LimitBounds) -> Vec<Millis> {
        let is_told = |run: &&Run| {
            let machine = self.calls.get(&run.call).map(|(machine, _)| *machine);
            let binds = |told: &PassedOn| {
                let noticed = told.limited && told.at + bounds.notice <= run.at;
                noticed && machine.is_some_and(|machine| self.binds(told, machine, run))
            };
            self.record.passed_on.iter().any(binds)
        };
        let of_upstream =
            |run: &&Run| run.machine == id.machine && run.incarnation == id.incarnation;
        let counted = self.record.runs.iter().filter(of_upstream).filter(is_told);
        let mut times: Vec<Millis> = counted.map(|run| run.at).collect();
        times.sort_unstable();
        times
    }

    /// Describes the window with the largest excess over what the upstream's statements allow.
    fn worst_excess(
        &self,
        id: UpstreamId,
        statements: &[Statement],
        bounds: &LimitBounds,
    ) -> Option<String> {
        let first = statements.iter().find(|(_, per_s)| per_s.is_some()).map(|(at, _)| *at)?;
        let times = self.counted(id, bounds);
        let mut worst: Option<(f64, String)> = None;
        for to in times.iter().copied().filter(|at| *at >= first + bounds.contact) {
            let from = to.saturating_sub(bounds.window);
            let Some(allowed) = allowed(statements, from, to, bounds) else {
                continue;
            };
            let found = times.iter().filter(|at| (from..=to).contains(at)).count();
            let excess = found as f64 - allowed;
            if excess > 0.0 && worst.as_ref().is_none_or(|(held, _)| excess > *held) {
                let UpstreamId { machine, .. } = id;
                let details = format!(
                    "upstream {machine} got {found} calls in {} ms up to {to} ms from machines \
                     that it had told; allowed {allowed:.0}",
                    bounds.window
                );
                worst = Some((excess, details));
            }
        }
        worst.map(|(_, details)| details)
    }
}

/// Number of calls that statements allow from `from` to `to`; `None` if there was no limit for a
/// part of that time. A statement counts from the time when it could have been noticed, or at once
/// if it allows more.
fn allowed(
    statements: &[Statement],
    from: Millis,
    to: Millis,
    bounds: &LimitBounds,
) -> Option<f64> {
    let first = statements.iter().find(|(_, per_s)| per_s.is_some()).map(|(at, _)| *at)?;
    let mut calls = 0.0;
    for at in from..to {
        // The rule looks back to before the first statement; its limit counts there as well.
        let at = at.max(first);
        let since = at.saturating_sub(bounds.notice);
        let of_window = statements.iter().enumerate().filter(|(index, (stated_at, _))| {
            let ended_at = statements.get(index + 1).map_or(Millis::MAX, |(next, _)| *next);
            *stated_at <= at && since < ended_at && (*stated_at >= first)
        });
        let mut largest = 0.0_f64;
        for (_, (_, per_s)) in of_window {
            largest = largest.max((*per_s)?);
        }
        calls += largest / 1_000.0;
    }
    Some(bounds.factor * calls + bounds.slack)
}
