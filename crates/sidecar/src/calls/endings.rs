//! Handles the end of attempts: starts another attempt or gives the final answer.

use super::call::{format_history, outcome_label, ActiveAttempt, AttemptRecord, Call};
use super::{
    refusal, Attempt, AttemptEnd, CallAction, CallId, Calls, MIN_RETRY_AFTER_MS,
    NO_UPSTREAM_WAIT_MS,
};
use crate::call_metrics::CallOutcome;
use crate::Millis;
use http1::Response;
use mesh::{HopOutcome, HopReply, InstanceState, LimitReport, NodeAddress};
use placement::{CallEnd, LatencySample};
use statements::StatementReport;
use tracing::{info, warn};

const FIRST_SERVER_ERROR: u16 = 500;
const UNKNOWN_STATUS: u16 = 502;
const REFUSED_STATUS: u16 = 503;

impl Calls {
    /// Handles a call for which no upstream was chosen: parks it for a short time or gives it up.
    pub(super) fn handle_no_upstream(&mut self, id: CallId, now: Millis) -> Vec<CallAction> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.current = None;
        // Waits for an upstream that may be restarting; an evacuated zone does not come back so
        // soon.
        let none_live =
            !self.view.has_live(&call.service) && !self.view.is_evacuated(&call.service);
        if none_live && call.arrivals == 0 {
            let wait = NO_UPSTREAM_WAIT_MS.min(call.target_ms / 2);
            let until = *call.parked_until.get_or_insert(now + wait);
            if now < until {
                self.parked.insert(id);
                return Vec::new();
            }
        }
        // Prefers the time from this call's own refusals. Refusals that other calls received
        // earlier have nearly expired, and calls that all retry at that time would be refused
        // again.
        let room_at = call.room_at.or_else(|| self.view.earliest_retry_at(&call.service, now));
        let wait = room_at.map_or(MIN_RETRY_AFTER_MS * 4, |at| at.saturating_sub(now));
        self.give_up(id, wait, now)
    }

    /// Stops the attempts of a call and gives its final answer.
    pub(super) fn give_up(
        &mut self,
        id: CallId,
        retry_after_ms: u64,
        now: Millis,
    ) -> Vec<CallAction> {
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        let mut actions = self.abort(&call);
        actions.push(self.final_answer(call, retry_after_ms, now));
        actions
    }

    /// The final answer of a call that no upstream answered successfully.
    fn final_answer(&mut self, call: Call, retry_after_ms: u64, now: Millis) -> CallAction {
        if let Some(response) = call.fallback.clone() {
            self.log_answer_in_stop(&call, response.status, now);
            self.counts.answered += 1;
            self.note_outcome(&call, CallOutcome::UpstreamFailed, now);
            return CallAction::Answer { origin: call.origin, response };
        }
        let held_ms = now.saturating_sub(call.arrived);
        if call.arrivals == 0 {
            self.log_answer_in_stop(&call, REFUSED_STATUS, now);
            self.return_credit(call.holder.as_ref(), now);
            self.counts.refused += 1;
            self.note_outcome(&call, CallOutcome::Refused, now);
            self.pressure.note(&call.service, call.urgency(), CallEnd::Missed, now);
            warn!(
                id = %call.attempt_id, route = %call.route, service = %call.service,
                tries = call.attempts, retry_after_ms, held_ms,
                trail = %format_history(&call.history),
                verdict = "not-run", "call_refused"
            );
            return refusal(call.origin, retry_after_ms);
        }
        self.log_answer_in_stop(&call, UNKNOWN_STATUS, now);
        self.counts.failed += 1;
        self.note_outcome(&call, CallOutcome::Failed, now);
        warn!(
            id = %call.attempt_id, route = %call.route, service = %call.service,
            tries = call.attempts, arrivals = call.arrivals, held_ms,
            trail = %format_history(&call.history),
            verdict = "may-have-run",
            "call_failed"
        );
        CallAction::Answer { origin: call.origin, response: Response::empty(UNKNOWN_STATUS) }
    }

    /// Handles the end of an attempt. Late results of abandoned attempts are ignored.
    pub fn ended(&mut self, attempt: Attempt, end: AttemptEnd, now: Millis) -> Vec<CallAction> {
        let call = self.calls.get_mut(&attempt.call);
        let Some(ActiveAttempt { to, since, .. }) =
            call.and_then(|call| call.take_attempt(attempt))
        else {
            return Vec::new();
        };
        if let AttemptEnd::Replied(reply, _) = &end {
            self.note_statements(attempt, &to, reply, since, now);
        }
        if let Some(upstream) = self.view.get_mut(&to) {
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
        self.record_attempt(attempt.call, to, &end, now);
        match end {
            AttemptEnd::NotSent => {
                self.note_failure(&to, attempt, "not_sent", now);
                self.place(attempt.call, now)
            }
            AttemptEnd::Lost => {
                self.note_failure(&to, attempt, "lost", now);
                self.note_arrival(attempt.call);
                self.retry_or_give_up(attempt.call, now)
            }
            AttemptEnd::Replied(reply, response) => self.replied(attempt, to, reply, response, now),
        }
    }

    /// Remembers what the upstream stated of itself, as told with the reply to an attempt.
    fn note_statements(
        &mut self,
        attempt: Attempt,
        to: &NodeAddress,
        reply: &HopReply,
        sent_at: Millis,
        now: Millis,
    ) {
        let call = self.calls.get(&attempt.call);
        let Some(meant_for) = call.and_then(|call| call.incarnation_of(attempt)) else {
            return;
        };
        let told =
            StatementReport { rate_limit: reply.rate_limit, leaving: reply.upstream_leaving };
        if self.view.note_statements(to, meant_for, told, sent_at, now)
            && self.statements_logged.allows(now)
        {
            info!(
                %to, instance = %meant_for.id, rate_limit = ?told.rate_limit,
                leaving = told.leaving, "upstream_stated"
            );
        }
    }

    pub(super) fn record_attempt(
        &mut self,
        id: CallId,
        to: NodeAddress,
        end: &AttemptEnd,
        now: Millis,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let ended_ms = now.saturating_sub(call.arrived);
        let record =
            AttemptRecord { to, ended_ms, outcome: "", status: 0, running: 0, queued: 0, limit: 0 };
        call.history.push(match end {
            AttemptEnd::NotSent => AttemptRecord { outcome: "not-sent", ..record },
            AttemptEnd::Lost => AttemptRecord { outcome: "lost", ..record },
            AttemptEnd::Replied(reply, response) => AttemptRecord {
                outcome: outcome_label(reply.outcome),
                status: response.status,
                running: reply.running,
                queued: reply.queued,
                limit: reply.limit,
                ..record
            },
        });
    }

    pub(super) fn note_failure(
        &mut self,
        to: &NodeAddress,
        attempt: Attempt,
        kind: &str,
        now: Millis,
    ) {
        if let Some(call) = self.calls.get(&attempt.call) {
            let held_ms = now.saturating_sub(call.arrived);
            let left_ms = call.deadline.saturating_sub(now);
            info!(
                id = %call.attempt_id, %to, try_number = attempt.number, outcome = kind, held_ms, left_ms,
                "hop_failed"
            );
        }
        if let Some(upstream) = self.view.get_mut(to) {
            upstream.note_failure(now);
        }
    }

    pub(super) fn note_arrival(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.arrivals += 1;
        }
    }

    pub(super) fn replied(
        &mut self,
        attempt: Attempt,
        to: NodeAddress,
        reply: HopReply,
        response: Response,
        now: Millis,
    ) -> Vec<CallAction> {
        let id = attempt.call;
        let Some(call) = self.calls.get(&id) else {
            return Vec::new();
        };
        let usual_ms = self.usual_ms(call);
        let urgency = call.urgency();
        let route = call.route.clone();
        let arrived = call.arrived;
        let moved_bytes = (call.request.body.len() + response.body.len()) as f64;
        let left_ms = call.deadline.saturating_sub(now);
        let outlasts_stop = reply.accepts_ms.is_some_and(|ms| left_ms > u64::from(ms));
        if self.sample.includes(&call.attempt_id) {
            info!(
                id = %call.attempt_id, %to, try_number = attempt.number, outcome = ?reply.outcome,
                status = response.status, running = reply.running, queued = reply.queued,
                limit = reply.limit, spent_ms = reply.spent_ms, "hop_replied"
            );
        }
        if let Some(upstream) = self.view.get_mut(&to) {
            upstream.note_reply(reply, now);
            match reply.outcome {
                HopOutcome::Answered if response.status < 300 => {
                    let elapsed = now.saturating_sub(arrived);
                    self.metrics.note_added(elapsed.saturating_sub(u64::from(reply.spent_ms)));
                    upstream.note_success();
                    upstream.note_latency(f64::from(reply.spent_ms), usual_ms, now);
                    let (spent_ms, pace) = (f64::from(reply.spent_ms), upstream.pace(now));
                    // 0 means that the upstream did not report a pace.
                    let reported_pace = match reply.reported_service_time_percent {
                        0 => 1.0,
                        percent => f64::from(percent) / 100.0,
                    };
                    self.times
                        .note(&route, LatencySample { spent_ms, pace, reported_pace, moved_bytes });
                }
                HopOutcome::Answered => upstream.note_success(),
                // It has capacity for calls that end before it.
                HopOutcome::Refused if outlasts_stop => {}
                HopOutcome::Refused if reply.link_full => {
                    upstream.note_link_full(u64::from(reply.retry_after_ms), now);
                }
                HopOutcome::Refused => {
                    upstream.note_full(urgency, u64::from(reply.retry_after_ms), now);
                }
                HopOutcome::Rejected => upstream.note_full(urgency, MIN_RETRY_AFTER_MS, now),
                HopOutcome::Unknown => {}
            }
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.suspect |= reply.upstream_ended;
            if reply.outcome == HopOutcome::Refused && reply.state == InstanceState::Ready {
                let room_at = now + u64::from(reply.retry_after_ms);
                call.room_at = Some(call.room_at.map_or(room_at, |held| held.min(room_at)));
            }
        }
        match reply.outcome {
            HopOutcome::Answered => {
                self.note_arrival(id);
                self.answered(attempt, response, now)
            }
            HopOutcome::Refused if self.has_active_attempt(id) => {
                self.refused_while_other_active(id, &reply, now);
                Vec::new()
            }
            HopOutcome::Refused if reply.quarantine_left_ms > 0 => {
                self.refused_in_quarantine(id, &reply, now)
            }
            HopOutcome::Refused => {
                self.refund_refused_retry(id, &reply, now);
                self.place(id, now)
            }
            HopOutcome::Rejected if is_client_error(&response) => self.pass_on(id, response, now),
            HopOutcome::Rejected => self.place_within_budget(id, now),
            HopOutcome::Unknown => {
                self.note_arrival(id);
                self.retry_or_give_up(id, now)
            }
        }
    }

    /// Returns what a retry cost that an upstream's stated limit kept from the upstream.
    fn refund_refused_retry(&mut self, id: CallId, reply: &HopReply, now: Millis) {
        let limited = matches!(reply.rate_limit, Some(LimitReport::Limited(_)));
        let Some(call) = self.calls.get(&id).filter(|call| limited && call.arrivals > 0) else {
            return;
        };
        self.budget.refund_retry(&call.service, call.asked_by(), now);
        if let Some(holder) = &call.holder {
            self.quota.refund(&holder.tenant, now);
        }
    }

    /// Handles the refusal of one attempt while the other is active. If the request is in
    /// quarantine, the other attempt is the last one.
    fn refused_while_other_active(&mut self, id: CallId, reply: &HopReply, now: Millis) {
        let Some(call) = self.calls.get_mut(&id).filter(|_| reply.quarantine_left_ms > 0) else {
            return;
        };
        if self.poison.note_quarantine_refusal(&call.service, &call.request, reply, now) {
            call.max_arrivals = call.arrivals;
        }
    }

    /// Handles a refusal by a peer that has the request in quarantine, which this sidecar did not
    /// know. The call ends here: peers that lack the information would run it, and their upstreams
    /// might crash. If that peer only has not been notified yet that the request was cleared, another
    /// upstream is chosen.
    fn refused_in_quarantine(
        &mut self,
        id: CallId,
        reply: &HopReply,
        now: Millis,
    ) -> Vec<CallAction> {
        let Some(call) = self.calls.get(&id) else {
            return Vec::new();
        };
        if !self.poison.note_quarantine_refusal(&call.service, &call.request, reply, now) {
            return self.place(id, now);
        }
        let left_ms = u64::from(reply.quarantine_left_ms);
        if call.arrivals > 0 {
            return self.give_up(id, 0, now);
        }
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        vec![self.refuse_quarantined(call.origin, &call.attempt_id, &call.route, left_ms)]
    }

    pub(super) fn answered(
        &mut self,
        attempt: Attempt,
        response: Response,
        now: Millis,
    ) -> Vec<CallAction> {
        let id = attempt.call;
        let failed = response.status >= FIRST_SERVER_ERROR;
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        self.throttle.note_end(&call.route, !failed, now);
        if failed && call.current.is_some() {
            call.fallback = Some(response);
            return Vec::new();
        }
        let worthwhile = failed && self.throttle.fails_rarely(&call.route, now);
        match Some(call).filter(|call| worthwhile && call.repeatable) {
            Some(call) => {
                call.fallback = Some(response);
                self.retry_or_give_up(id, now)
            }
            None => {
                self.note_hedge_end(attempt, now);
                self.note_in_time(id, failed, now);
                self.pass_on(id, response, now)
            }
        }
    }

    /// Records whether an upstream answered successfully within the target latency.
    fn note_in_time(&mut self, id: CallId, failed: bool, now: Millis) {
        if let Some(call) = self.calls.get(&id) {
            let in_time = !failed && now <= call.arrived + call.target_ms;
            let end = if in_time { CallEnd::InTime } else { CallEnd::Missed };
            self.pressure.note(&call.service, call.urgency(), end, now);
        }
    }

    pub(super) fn pass_on(
        &mut self,
        id: CallId,
        response: Response,
        now: Millis,
    ) -> Vec<CallAction> {
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        self.counts.answered += 1;
        let outcome = match response.status < FIRST_SERVER_ERROR {
            true => CallOutcome::Answered,
            false => CallOutcome::UpstreamFailed,
        };
        self.note_outcome(&call, outcome, now);
        let mut actions = self.abort(&call);
        actions.push(CallAction::Answer { origin: call.origin, response });
        actions
    }

    /// Retries a call that may have run, if it is repeatable, enough time is left, and neither the
    /// route's limit nor the retry budget is exhausted.
    pub(super) fn retry_or_give_up(&mut self, id: CallId, now: Millis) -> Vec<CallAction> {
        let Some(call) = self.calls.get(&id).filter(|call| call.current.is_none()) else {
            return Vec::new();
        };
        let worthwhile = now + (self.usual_ms(call) as u64) < call.deadline;
        let allowed = call.repeatable && call.arrivals < call.max_arrivals && worthwhile;
        if !allowed {
            return self.give_up(id, 0, now);
        }
        self.place_within_budget(id, now)
    }

    pub(super) fn place_within_budget(&mut self, id: CallId, now: Millis) -> Vec<CallAction> {
        if self.has_active_attempt(id) {
            return Vec::new();
        }
        if !self.may_retry(id, now) {
            return self.give_up(id, MIN_RETRY_AFTER_MS, now);
        }
        if let Some(call) = self.calls.get(&id).filter(|call| call.arrivals == 0) {
            // The rejected attempt is charged to the retry budget although the call did not run.
            self.budget.note_retry(&call.service, call.asked_by(), now);
        }
        self.place(id, now)
    }
}

/// Whether a rejection is due to the request itself, so that any other upstream would reject it
/// too. Excludes 421 and 429, which concern the upstream that answered.
fn is_client_error(response: &Response) -> bool {
    matches!(response.status, 400..=420 | 422..=428 | 430..=499)
}
