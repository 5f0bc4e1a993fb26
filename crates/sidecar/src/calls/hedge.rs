//! Hedging: a second attempt in parallel to one that takes longer than nearly all similar calls.
//!
//! Only repeatable calls are hedged, and only to an upstream with an idle slot while the service
//! has free slots and the retry budget allows it. The first successful answer is passed on and the
//! other attempt is aborted; a failed attempt does not end the other.

use super::call::{ActiveAttempt, Call};
use super::{Attempt, CallAction, CallId, Calls};
use crate::Millis;
use placement::{HedgePlan, Upstream};
use tracing::info;

/// Fraction of a service's slots that must be free for hedging. With fewer, a hedge would take a
/// slot from a call that has none, and senders would hedge too often because each knows little
/// about the others.
const HEDGE_MIN_FREE_FRACTION: f64 = 0.25;

/// Maximum size of a call and its answer together for hedging, bytes: the same limit as for bodies
/// that are sent without an offer. Larger ones wait for link capacity, and a hedge would wait on a
/// second link.
const MAX_HEDGED_BYTES: f64 = 8.0 * 1024.0;

impl Calls {
    /// Schedules when to consider a hedge for a call that was just sent.
    pub(super) fn plan_hedge(&mut self, id: CallId, offered: bool, now: Millis) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let large =
            self.times.moved_bytes(&call.route).is_some_and(|bytes| bytes > MAX_HEDGED_BYTES);
        if !self.hedging || offered || large || !may_be_hedged(call) {
            return;
        }
        let upstream = call.current.and_then(|current| self.view.get(&current.to));
        let plan = HedgePlan {
            usual_ms: self.usual_ms(call),
            pace: upstream.map_or(1.0, |upstream| upstream.pace(now)),
            spread: self.times.spread(&call.route),
            target_ms: (call.arrived + call.target_ms).saturating_sub(now) as f64,
            deadline_ms: call.deadline.saturating_sub(now) as f64,
        };
        let Some(delay_ms) = plan.delay_ms() else {
            return;
        };
        let due = now + delay_ms as u64;
        if let Some(call) = self.calls.get_mut(&id) {
            let previous = call.hedge_at.replace(due);
            self.forget_hedge(id, previous);
            self.hedges_due.insert((due, id));
        }
    }

    /// Usual size of a call on this call's route and its answer, bytes; 0 if unknown.
    fn moved_bytes(&self, id: CallId) -> f64 {
        let route = self.calls.get(&id).map(|call| call.route.as_str());
        route.and_then(|route| self.times.moved_bytes(route)).unwrap_or(0.0)
    }

    pub(super) fn forget_hedge(&mut self, id: CallId, due: Option<Millis>) {
        if let Some(due) = due {
            self.hedges_due.remove(&(due, id));
        }
    }

    /// Sends the hedges that are due.
    pub(super) fn tick_hedges(&mut self, now: Millis) -> Vec<CallAction> {
        let mut actions = Vec::new();
        while let Some((due, id)) = self.hedges_due.first().copied() {
            if due > now {
                break;
            }
            self.hedges_due.pop_first();
            actions.extend(self.hedge(id, now));
        }
        actions
    }

    /// Sends a second attempt of a call if the free slots and the retry budget allow it.
    fn hedge(&mut self, id: CallId, now: Millis) -> Option<CallAction> {
        let call = self.calls.get_mut(&id)?;
        call.hedge_at = None;
        let first = call.current?;
        let (service, asked_by) = (call.service.clone(), call.asked_by());
        let has_room = self
            .view
            .free_slot_fraction(&service, now)
            .is_some_and(|free| free >= HEDGE_MIN_FREE_FRACTION);
        if !has_room || !self.budget.allows_hedge(&service, asked_by, self.view.nodes(), now) {
            return None;
        }
        let mut random = self.random.clone();
        let call = self.calls.get(&id).filter(|call| may_be_hedged(call))?;
        let usual_ms = self.usual_ms(call);
        let chosen = self.view.choose_idle(&self.placement_request(call, now), now, &mut random);
        if now + usual_ms as u64 >= call.deadline {
            return None;
        }
        self.random = random;
        let to = chosen?;
        let call = &self.calls[&id];
        let mut hop = self.hop_request(call, &to, usual_ms, now);
        let meant_for = self.view.get(&to).and_then(Upstream::incarnation);
        // A hedge that has to queue is useless.
        hop.patience_ms = 0;
        (hop.repeat, hop.hedge) = (true, true);
        let call = self.calls.get_mut(&id)?;
        let number = call.note_attempt(to, meant_for);
        let attempt = Attempt { call: id, number };
        call.hedge = Some(ActiveAttempt { attempt, to, since: now });
        let request = call.request.clone();
        if self.sample.includes(&call.attempt_id) {
            info!(
                id = %call.attempt_id, route = %call.route, %service, first = %first.to, %to,
                first_ms = now.saturating_sub(first.since), usual_ms = usual_ms as u64,
                "call_hedged"
            );
        }
        self.budget.note_hedge(&service, asked_by, now);
        self.counts.repeats += 1;
        self.counts.hedges += 1;
        let moved_bytes = self.moved_bytes(id);
        self.view.note_sent(&to, moved_bytes - request.body.len() as f64, now);
        let offered = self.view.is_offered(&to, request.body.len());
        Some(CallAction::Send { attempt, to, request, hop, offered })
    }

    /// Whether a call has an attempt that has not ended.
    pub(super) fn has_active_attempt(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.current.is_some())
    }

    /// Records which of two attempts brought the answer. If the hedge won, the elapsed time of the
    /// first attempt is a lower bound of its duration, from which the usual time of the route and
    /// the pace of that upstream are updated.
    pub(super) fn note_hedge_end(&mut self, winner: Attempt, now: Millis) {
        let Some(call) = self.calls.get(&winner.call) else {
            return;
        };
        let Some(ActiveAttempt { attempt, to, since }) = call.current else {
            return;
        };
        let won = winner.number > attempt.number;
        let spent_ms = now.saturating_sub(since);
        if self.sample.includes(&call.attempt_id) {
            info!(
                id = %call.attempt_id, route = %call.route, won, loser = %to,
                loser_ms = spent_ms, held_ms = now.saturating_sub(call.arrived), "call_hedge_ended"
            );
        }
        self.counts.hedges_won += u64::from(won);
        let (usual_ms, route) = (self.usual_ms(call), call.route.clone());
        if let Some(upstream) = self.view.get_mut(&to).filter(|_| won) {
            upstream.note_latency(spent_ms as f64, usual_ms, now);
            self.times.note_cancelled(&route, spent_ms as f64, upstream.pace(now));
        }
    }
}

/// Whether a call qualifies for a hedge, regardless of free slots: it is repeatable, its route
/// allows one more upstream, it is not suspected of crashing upstreams, and its key still belongs
/// to the tenant it was sent for.
fn may_be_hedged(call: &Call) -> bool {
    let one_more = call.arrivals + 2 <= call.max_arrivals;
    let unsuspicious = !call.suspect && call.key_change.is_none();
    call.repeatable && one_more && unsuspicious && call.hedge.is_none()
}
