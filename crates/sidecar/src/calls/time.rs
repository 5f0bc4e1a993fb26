//! What ends calls from outside: time, callers that leave, the start and the stop of the process.

use super::call::{trail, Call, Try};
use super::{refusal, Attempt, CallAction, CallId, Calls, Origin, PARKED_LOOK_MS};
use crate::call_metrics::CallOutcome;
use crate::net::ConnectionId;
use crate::Millis;
use http1::{Request, Response, Slot};
use tracing::{info, warn};

impl Calls {
    /// Refuses a call because the process stops.
    pub fn refuse_stopping(
        &mut self,
        origin: Origin,
        request: &Request,
        retry_after_ms: u64,
    ) -> CallAction {
        self.counts.refused += 1;
        let id = request.headers.text(self.names.attempt_id).unwrap_or("-");
        info!(%id, reason = "stopping", retry_after_ms, verdict = "not-run", "call_refused");
        refusal(origin, retry_after_ms)
    }

    /// A caller went away: whatever it waited for stops.
    pub fn connection_ended(&mut self, connection: ConnectionId, now: Millis) -> Vec<CallAction> {
        let first = Origin { connection, slot: 0 };
        let last = Origin { connection, slot: Slot::MAX };
        let ids: Vec<CallId> = self.by_origin.range(first..=last).map(|(_, id)| *id).collect();
        let mut actions = Vec::new();
        for id in ids {
            if let Some(call) = self.remove(id) {
                self.counts.cancelled += 1;
                info!(id = %call.attempt_id, tries = call.tries, "call_cancelled");
                self.note_outcome(&call, CallOutcome::Cancelled, now);
                self.note_unanswered(&call, now);
                actions.extend(self.abort(&call));
            }
        }
        actions
    }

    /// A try that is given up after more than the call usually takes says that the upstream, its
    /// sidecar or the way to it is slow.
    fn note_unanswered(&mut self, call: &Call, now: Millis) {
        let Some(Try { to, since, .. }) = call.current else {
            return;
        };
        let usual_ms = self.usual_ms(call);
        let elapsed = now.saturating_sub(since) as f64;
        if let Some(upstream) = self.view.get_mut(&to) {
            let beyond_ms = elapsed - usual_ms * upstream.speed;
            if beyond_ms > 0.0 {
                upstream.note_unanswered(beyond_ms, now);
            }
        }
    }

    pub(super) fn abort(&mut self, call: &Call) -> Option<CallAction> {
        let Try { attempt, to, .. } = call.current?;
        if let Some(upstream) = self.view.get_mut(&to) {
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
        Some(CallAction::Abort(attempt))
    }

    /// Gives every call its final answer, because the process ends. `was_sent` tells whether a try
    /// left this process whole; one that did not cannot have run.
    pub fn end_all(
        &mut self,
        was_sent: impl Fn(Attempt) -> bool,
        retry_after_ms: u64,
        now: Millis,
    ) -> Vec<CallAction> {
        let mut actions = Vec::new();
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            if call.current.is_some_and(|held| was_sent(held.attempt)) {
                call.arrivals += 1;
            }
            if let Some(aborted) = self.calls.get(&id).and_then(|call| call.current) {
                actions.push(CallAction::Abort(aborted.attempt));
            }
            actions.extend(self.give_up(id, retry_after_ms, now));
        }
        actions
    }

    /// Ends the calls whose time is over, and looks again for the parked ones.
    pub fn tick(&mut self, now: Millis) -> Vec<CallAction> {
        let mut actions = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let Some(call) = self.remove(id) else {
                self.deadlines.remove(&(deadline, id));
                continue;
            };
            self.counts.timed_out += 1;
            self.note_outcome(&call, CallOutcome::TimedOut, now);
            let held_ms = now.saturating_sub(call.arrived);
            warn!(
                id = %call.attempt_id, route = %call.route, service = %call.service,
                tries = call.tries, held_ms, trail = %trail(&call.trail),
                at = ?call.current.map(|held| held.to.to_string()),
                verdict = "may-have-run", "call_timed_out"
            );
            self.note_unanswered(&call, now);
            actions.extend(self.abort(&call));
            let response = call.fallback.unwrap_or_else(|| Response::empty(504));
            actions.push(CallAction::Answer { origin: call.origin, response });
        }
        let parked: Vec<CallId> = self.parked.iter().copied().collect();
        for id in parked {
            actions.extend(self.place(id, now));
        }
        actions
    }

    /// When `tick` has something to do.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let parked = (!self.parked.is_empty()).then_some(now + PARKED_LOOK_MS);
        deadline.into_iter().chain(parked).min()
    }
}
