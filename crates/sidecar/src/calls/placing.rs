//! Chooses the upstream for a call and builds the hop header for its sidecar.

use super::call::{ActiveAttempt, Call};
use super::{Attempt, CallAction, CallId, Calls};
use crate::tenants::KeyHolder;
use crate::Millis;
use http1::Request;
use mesh::{Departure, HopRequest, NodeAddress, Track, HOP_HEADER};
use placement::{Upstream, WeightedSplit};
use tracing::info;

/// Assumed usual time of a route that has neither a target latency nor an answer yet, milliseconds.
const DEFAULT_USUAL_MS: f64 = 100.0;
/// Fraction of a route's target latency assumed as its usual time before the first answer.
const USUAL_FRACTION_OF_TARGET: f64 = 0.35;
/// Factor on the usual time to plan for answers that take longer.
const PLANNED_TIME_FACTOR: f64 = 1.25;
/// Maximum fraction of the target latency that a call waits for a slot. A call refused that early
/// can still be in time when it is retried, while a longer queue would make every waiting call
/// late.
const MAX_PATIENCE_FRACTION: f64 = 0.25;
/// Minimum time that a call may wait for a slot regardless of its target, if its deadline allows,
/// milliseconds. Calls with short targets are mostly made by other running calls, which would fail
/// after having used a slot.
const MIN_PATIENCE_MS: f64 = 120.0;
/// Maximum number of upstreams that a call made by a running request is offered to: as many as for
/// any call while there are free slots. An unsuccessful offer costs two messages, while a run
/// that fails wastes its whole slot time.
const LOCAL_RUN_MAX_OFFERS: u32 = 5;
/// The hop's deadline is this much earlier than the caller's, so that the answer is in time,
/// milliseconds.
const HOP_MARGIN_MS: u64 = 8;

impl Calls {
    /// Picks the service of the next call on a route by the weights of its targets.
    pub(super) fn draw_service(
        &mut self,
        route: &str,
        targets: &[bundle::Target],
    ) -> Option<String> {
        if let [only] = targets {
            return Some(only.service.clone());
        }
        let current = self.splits.get(route).is_some_and(|split| split.is_for(targets));
        if !current {
            let split = WeightedSplit::new(targets, &mut self.random);
            self.splits.insert(route.to_owned(), split);
        }
        self.splits.get_mut(route)?.draw().map(str::to_owned)
    }

    /// Decides whether the next call of a service goes to the canary version.
    pub(super) fn draw_track(&mut self, service: &str) -> Track {
        let policy = self.view.policy(service);
        let Some(share) = policy.and_then(|policy| policy.candidate.as_ref()) else {
            return Track::Stable;
        };
        self.canaries.draw(service, share, &mut self.random)
    }

    /// The request as sent to the peer: without hop-by-hop headers, headers that only sidecars may
    /// set, and API keys.
    pub(super) fn forwarded_request(
        &self,
        mut request: Request,
        holder: Option<&KeyHolder>,
    ) -> Request {
        let names = &self.names;
        let headers = &mut request.headers;
        headers.remove_connection_headers();
        for name in [names.expect_instance, names.deadline_ms, HOP_HEADER, "expect"] {
            headers.remove(name);
        }
        headers.remove(names.api_key);
        headers.set(names.caller, self.service.as_bytes());
        self.set_tenant_header(&mut request, holder);
        request
    }

    /// Sets the tenant header for the upstream, replacing whatever the caller sent.
    pub(super) fn set_tenant_header(&self, request: &mut Request, holder: Option<&KeyHolder>) {
        request.headers.remove(self.names.tenant);
        if let Some(holder) = holder {
            request.headers.push(self.names.tenant, holder.tenant.name.as_bytes());
        }
    }

    /// Usual time of a call on this route with an upstream, or an estimate before the first answer.
    pub(super) fn usual_ms(&self, call: &Call) -> f64 {
        let estimated = match call.target_ms {
            0 => DEFAULT_USUAL_MS,
            target => target as f64 * USUAL_FRACTION_OF_TARGET,
        };
        self.times.usual_ms(&call.route).unwrap_or(estimated)
    }

    /// Chooses an upstream for a call and sends an attempt, or parks or gives up the call.
    pub(super) fn place(&mut self, id: CallId, now: Millis) -> Vec<CallAction> {
        // The result of an active attempt is awaited first.
        if self.has_active_attempt(id) {
            return Vec::new();
        }
        if let Some(ended) = self.apply_key_change(id, now) {
            return ended;
        }
        let Some(call) = self.calls.get(&id) else {
            return Vec::new();
        };
        let usual_ms = self.usual_ms(call);
        let mut random = self.random.clone();
        let criteria = self.placement_request(call, now);
        let max_offers = match call.from_local_run {
            true => LOCAL_RUN_MAX_OFFERS,
            false => self.pressure.max_attempts(&call.service, now),
        };
        let chosen = match call.attempts < max_offers {
            true => self.view.choose(&criteria, now, &mut random),
            false => None,
        };
        self.random = random;
        let Some(to) = chosen else {
            return self.handle_no_upstream(id, now);
        };
        let hop = self.hop_request(call, &to, usual_ms, now);
        let meant_for = self.view.get(&to).and_then(Upstream::incarnation);
        let call = self.calls.get_mut(&id).expect("looked up above");
        let number = call.note_attempt(to, meant_for);
        let attempt = Attempt { call: id, number };
        call.current = Some(ActiveAttempt { attempt, to, since: now });
        call.parked_until = None;
        self.parked.remove(&id);
        let request = call.request.clone();
        let offered = self.view.is_offered(&to, request.body.len());
        if call.arrivals > 0 {
            self.budget.note_retry(&call.service, call.asked_by(), now);
            self.counts.repeats += 1;
            if let Some(holder) = &call.holder {
                self.quota.charge(&holder.tenant, now);
            }
        }
        if self.sample.includes(&call.attempt_id) {
            info!(
                id = %call.attempt_id, route = %call.route, service = %call.service,
                rank = call.rank, target_ms = call.target_ms, try_number = call.attempts,
                %to, patience_ms = hop.patience_ms, left_ms = hop.deadline_ms,
                told_ms = call.caller_timeout_ms, "call_placed"
            );
        }
        let moved_bytes = self.times.moved_bytes(&call.route).unwrap_or(0.0);
        self.view.note_sent(&to, moved_bytes - request.body.len() as f64, now);
        self.plan_hedge(id, offered, now);
        vec![CallAction::Send { attempt, to, request, hop, offered }]
    }

    /// The criteria for the choice of an upstream.
    pub(super) fn placement_request<'a>(
        &'a self,
        call: &'a Call,
        now: Millis,
    ) -> placement::Request<'a> {
        let elapsed = now.saturating_sub(call.arrived);
        let body_bytes = call.request.body.len();
        placement::Request {
            service: &call.service,
            // A call that may have run on the canary version is retried on the stable one.
            track: if call.arrivals > 0 { Track::Stable } else { call.track },
            urgency: call.urgency(),
            usual_ms: self.usual_ms(call),
            spread: self.times.spread(&call.route),
            moved_bytes: self.times.moved_bytes(&call.route).unwrap_or(body_bytes as f64),
            target_ms: call.target_ms.saturating_sub(elapsed).max(1) as f64,
            left_ms: hop_time_left(call, now),
            body_bytes,
            tried: &call.tried,
        }
    }

    /// The contents of the hop header for an attempt of a call.
    pub(super) fn hop_request(
        &self,
        call: &Call,
        to: &NodeAddress,
        usual_ms: f64,
        now: Millis,
    ) -> HopRequest {
        let left = hop_time_left(call, now);
        let pace = self.view.get(to).map_or(1.0, |upstream| upstream.pace(now));
        let planned = usual_ms * pace * PLANNED_TIME_FACTOR;
        let target = call.target_ms as f64;
        let elapsed = now.saturating_sub(call.arrived) as f64;
        let within_target = (target - elapsed - planned).min(target * MAX_PATIENCE_FRACTION);
        let within_deadline = (left as f64 - planned).max(0.0);
        let patience = match call.from_local_run {
            // Even a late answer is useful to the run that waits for it.
            true => within_deadline,
            false => within_target.max(MIN_PATIENCE_MS.min(within_deadline)),
        };
        let upstream = self.view.get(to);
        let record = upstream.and_then(|upstream| upstream.record.instance.as_ref());
        HopRequest {
            deadline_ms: left,
            patience_ms: (patience as u64).min(left),
            rank: call.rank,
            target_ms: call.target_ms,
            repeatable: call.repeatable,
            service: call.service.clone(),
            instance: record.map(|instance| instance.id.clone()),
            departure: Some(Departure { clock: self.clock, at_ms: now }),
            suspect: call.suspect,
            nested: call.from_local_run,
            repeat: call.arrivals > 0,
            hedge: false,
            usual_ms: self.times.usual_ms(&call.route).map_or(0, |ms| ms.round() as u32),
            rate_limit: upstream.and_then(Upstream::stated_rate),
        }
    }
}

/// Time that a peer is given for a call, in milliseconds.
fn hop_time_left(call: &Call, now: Millis) -> u64 {
    call.deadline.saturating_sub(now).saturating_sub(HOP_MARGIN_MS).max(1)
}
