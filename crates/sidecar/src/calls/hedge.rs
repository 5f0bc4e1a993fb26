//! A second try beside one that takes longer than nearly all of its like.
//!
//! Only of calls that may run twice, onto an upstream with an idle slot, while the service has room and
//! the bound on repeats allows it. The first good answer is passed on, the other try is stopped; a
//! try that fails does not end the other.

use super::call::{Call, Try};
use super::{Attempt, CallAction, CallId, Calls};
use crate::Millis;
use placement::HedgePlan;
use tracing::info;

/// Part of a service's slots that must be free for second tries: while fewer are, each would take one
/// from a call that has none, and by what senders know of each other it is sent too often.
const HEDGE_ROOM_PART: f64 = 0.25;

/// Most that a call and its answer move, bytes, for a second try: as long as a body that is sent unasked.
/// Larger ones wait for links, and two of them would wait for two.
const MOST_HEDGED_BYTES: f64 = 8.0 * 1024.0;

impl Calls {
    /// Takes down when it is looked at whether a second try of a call, just sent, pays.
    pub(super) fn plan_hedge(&mut self, id: CallId, offered: bool, now: Millis) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let large =
            self.times.moved_bytes(&call.route).is_some_and(|bytes| bytes > MOST_HEDGED_BYTES);
        if !self.hedging || offered || large || !may_be_hedged(call) {
            return;
        }
        let pace = call.current.and_then(|held| self.view.get(&held.to));
        let plan = HedgePlan {
            usual_ms: self.usual_ms(call),
            pace: pace.map_or(1.0, |upstream| upstream.pace(now)),
            spread: self.times.spread(&call.route),
            target_ms: (call.arrived + call.target_ms).saturating_sub(now) as f64,
            deadline_ms: call.deadline.saturating_sub(now) as f64,
        };
        let Some(delay_ms) = plan.delay_ms() else {
            return;
        };
        let due = now + delay_ms as u64;
        if let Some(call) = self.calls.get_mut(&id) {
            let former = call.hedge_at.replace(due);
            self.forget_hedge(id, former);
            self.hedges_due.insert((due, id));
        }
    }

    /// What a call's route is known to move, bytes.
    fn moved_bytes(&self, id: CallId) -> f64 {
        let route = self.calls.get(&id).map(|call| call.route.as_str());
        route.and_then(|route| self.times.moved_bytes(route)).unwrap_or(0.0)
    }

    pub(super) fn forget_hedge(&mut self, id: CallId, due: Option<Millis>) {
        if let Some(due) = due {
            self.hedges_due.remove(&(due, id));
        }
    }

    /// Sends the second tries that are due.
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

    /// Sends a second try of a call, if there is room for it.
    fn hedge(&mut self, id: CallId, now: Millis) -> Option<CallAction> {
        let call = self.calls.get_mut(&id)?;
        call.hedge_at = None;
        let first = call.current?;
        let (service, asked_by) = (call.service.clone(), call.asked_by());
        let roomy =
            self.view.free_slot_fraction(&service, now).is_some_and(|free| free >= HEDGE_ROOM_PART);
        if !roomy || !self.budget.allows_hedge(&service, asked_by, self.view.nodes(), now) {
            return None;
        }
        let mut random = self.random.clone();
        let call = self.calls.get(&id).filter(|call| may_be_hedged(call))?;
        let usual_ms = self.usual_ms(call);
        let chosen = self.view.choose_idle(&self.wanted(call, now), now, &mut random);
        if now + usual_ms as u64 >= call.deadline {
            return None;
        }
        self.random = random;
        let to = chosen?;
        let call = &self.calls[&id];
        let mut hop = self.hop_request(call, &to, usual_ms, now);
        // Where it would wait, it is of no use.
        hop.patience_ms = 0;
        (hop.repeat, hop.hedge) = (true, true);
        let call = self.calls.get_mut(&id)?;
        call.tries += 1;
        let attempt = Attempt { call: id, number: call.tries };
        call.hedge = Some(Try { attempt, to, since: now });
        call.tried.push(to);
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

    /// Whether a call has a try without an end.
    pub(super) fn is_under_way(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.current.is_some())
    }

    /// Takes down that one of two tries brought the answer. The other would have taken longer than it
    /// did: what is usual, and the speed of its upstream, are learned from that, too.
    pub(super) fn note_hedge_end(&mut self, winner: Attempt, now: Millis) {
        let Some(call) = self.calls.get(&winner.call) else {
            return;
        };
        let Some(Try { attempt, to, since }) = call.current else {
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

/// Whether a second try of a call may be sent beside its first, whatever the room for it: it may run
/// twice, its route allows one more upstream, nothing says that it crashes upstreams, and its key is
/// still that of the tenant it was sent for.
fn may_be_hedged(call: &Call) -> bool {
    let one_more = call.arrivals + 2 <= call.most_arrivals;
    let settled = !call.suspect && call.key_change.is_none();
    call.repeatable && one_more && settled && call.hedge.is_none()
}
