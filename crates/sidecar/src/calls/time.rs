//! Ends calls on deadlines, caller disconnects and process shutdown.

use super::call::{format_history, ActiveAttempt, Call};
use super::{refusal, Attempt, CallAction, CallId, Calls, Origin, PARKED_POLL_MS};
use crate::call_metrics::CallOutcome;
use crate::net::ConnectionId;
use crate::Millis;
use http1::{Request, Response, Slot};
use placement::CallEnd;
use tracing::{info, warn};

impl Calls {
    /// Refuses a call because the process is stopping.
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

    /// Cancels all calls of a caller that disconnected.
    pub fn connection_ended(&mut self, connection: ConnectionId, now: Millis) -> Vec<CallAction> {
        let first = Origin { connection, slot: 0 };
        let last = Origin { connection, slot: Slot::MAX };
        let ids: Vec<CallId> = self.by_origin.range(first..=last).map(|(_, id)| *id).collect();
        let mut actions = Vec::new();
        self.counts.cancelled += self.quota.connection_ended(connection) as u64;
        for id in ids {
            if let Some(call) = self.remove(id) {
                self.counts.cancelled += 1;
                info!(id = %call.attempt_id, tries = call.attempts, "call_cancelled");
                self.note_outcome(&call, CallOutcome::Cancelled, now);
                self.note_unanswered(&call, now);
                actions.extend(self.abort(&call));
            }
        }
        actions
    }

    /// Records unanswered attempts that took longer than usual: the upstream, its sidecar or the
    /// network in between is slow.
    fn note_unanswered(&mut self, call: &Call, now: Millis) {
        let usual_ms = self.usual_ms(call);
        for ActiveAttempt { to, since, .. } in call.active_attempts() {
            let elapsed = now.saturating_sub(since) as f64;
            if let Some(upstream) = self.view.get_mut(&to) {
                let excess_ms = elapsed - usual_ms * upstream.pace(now);
                if excess_ms > 0.0 {
                    upstream.note_unanswered(excess_ms, now);
                }
            }
        }
    }

    /// Stops the active attempts of a call.
    pub(super) fn abort(&mut self, call: &Call) -> Vec<CallAction> {
        let active: Vec<ActiveAttempt> = call.active_attempts().collect();
        for ActiveAttempt { to, .. } in &active {
            if let Some(upstream) = self.view.get_mut(to) {
                upstream.outstanding = upstream.outstanding.saturating_sub(1);
            }
        }
        active.into_iter().map(|active| CallAction::Abort(active.attempt)).collect()
    }

    /// Logs an answer that this sidecar gives itself while it is stopping, with the peers that still have the
    /// call.
    pub(super) fn log_answer_in_stop(&self, call: &Call, status: u16, now: Millis) {
        let Some(stop_began_at) = self.stop_began_at else {
            return;
        };
        let peers: Vec<String> =
            call.active_attempts().map(|active| active.to.to_string()).collect();
        info!(
            id = %call.attempt_id, status, arrivals = call.arrivals, peers = %peers.join(","),
            held_ms = now.saturating_sub(call.arrived),
            left_ms = call.deadline.saturating_sub(now),
            stopping_ms = now.saturating_sub(stop_began_at), "call_answered_in_stop"
        );
    }

    /// Logs the calls that the exit of the process leaves without an answer.
    pub fn log_left(&self, now: Millis) {
        for call in self.calls.values() {
            let peers: Vec<String> =
                call.active_attempts().map(|active| active.to.to_string()).collect();
            info!(
                id = %call.attempt_id, peers = %peers.join(","),
                held_ms = now.saturating_sub(call.arrived),
                left_ms = call.deadline.saturating_sub(now), "call_cut"
            );
        }
    }

    /// Gives every call its final answer, because the process is stopping. `was_sent` returns whether
    /// an attempt was sent completely; one that was not cannot have run.
    pub fn end_all(
        &mut self,
        was_sent: impl Fn(Attempt) -> bool,
        retry_after_ms: u64,
        now: Millis,
    ) -> Vec<CallAction> {
        let mut actions = self.refuse_waiting(retry_after_ms);
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let sent = call.active_attempts().filter(|active| was_sent(active.attempt)).count();
            call.arrivals += sent as u32;
            actions.extend(self.give_up(id, retry_after_ms, now));
        }
        actions
    }

    /// Ends calls whose deadline passed, sends hedges that are due, and tries again to place parked
    /// calls.
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
            self.pressure.note(&call.service, call.urgency(), CallEnd::Missed, now);
            let held_ms = now.saturating_sub(call.arrived);
            warn!(
                id = %call.attempt_id, route = %call.route, service = %call.service,
                tries = call.attempts, held_ms, trail = %format_history(&call.history),
                at = ?call.current.map(|current| current.to.to_string()),
                verdict = "may-have-run", "call_timed_out"
            );
            self.note_unanswered(&call, now);
            let response = call.fallback.clone().unwrap_or_else(|| Response::empty(504));
            self.log_answer_in_stop(&call, response.status, now);
            actions.extend(self.abort(&call));
            actions.push(CallAction::Answer { origin: call.origin, response });
        }
        actions.extend(self.tick_hedges(now));
        let parked: Vec<CallId> = self.parked.iter().copied().collect();
        for id in parked {
            actions.extend(self.place(id, now));
        }
        actions
    }

    /// Next time at which `tick` has something to do.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let parked = (!self.parked.is_empty()).then_some(now + PARKED_POLL_MS);
        let hedge = self.hedges_due.first().map(|(due, _)| *due);
        deadline.into_iter().chain(parked).chain(hedge).min()
    }
}
