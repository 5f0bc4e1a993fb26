//! Where a call goes, and what its try tells the sidecar there.

use super::call::{Call, Try};
use super::{Attempt, CallAction, CallId, Calls};
use crate::tenants::KeyHolder;
use crate::Millis;
use http1::Request;
use mesh::{Departure, HopRequest, NodeAddress, Track, HOP_HEADER};
use placement::WeightedSplit;
use tracing::info;

/// Usual time of a route without a target or an answer yet, milliseconds.
const UNKNOWN_TIME_MS: f64 = 100.0;
/// Part of a route's target latency taken for its usual time before the first answer.
const USUAL_PART_OF_TARGET: f64 = 0.35;
/// How much longer than usual an answer is planned to take.
const PLANNED_TIME_FACTOR: f64 = 1.25;
/// Most part of the target latency that a call waits for a slot: one refused so early can still
/// be in time when it comes back, and a longer queue makes all who wait late.
const MOST_PATIENCE_PART: f64 = 0.25;
/// A call may wait this long for a slot whatever its target, if its time allows, milliseconds.
/// Those with short targets are mostly asked for within other calls, which would fail with a slot
/// in their hands.
const LEAST_PATIENCE_MS: f64 = 120.0;
/// Most upstreams that a call is offered to for which a run waits with a slot: as many as any call
/// while there is room. An offer in vain costs two messages, the run in vain its whole slot time.
const BEGUN_OFFERS: u32 = 5;
/// The hop's deadline ends this much before the caller's, so that its answer is in time, ms.
const HOP_MARGIN_MS: u64 = 8;

impl Calls {
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

    /// Whether the next call of a service belongs to the share of a canary.
    pub(super) fn draw_track(&mut self, service: &str) -> Track {
        let policy = self.view.policy(service);
        let Some(share) = policy.and_then(|policy| policy.candidate.as_ref()) else {
            return Track::Stable;
        };
        self.canaries.draw(service, share, &mut self.random)
    }

    /// The request as it goes to the peer: without what only the caller's connection concerns,
    /// without what only sidecars may say, and without keys.
    pub(super) fn prepared(&self, mut request: Request, holder: Option<&KeyHolder>) -> Request {
        let names = &self.names;
        let headers = &mut request.headers;
        headers.remove_connection_headers();
        for name in [names.expect_instance, names.deadline_ms, HOP_HEADER, "expect"] {
            headers.remove(name);
        }
        headers.remove(names.api_key);
        headers.set(names.caller, self.service.as_bytes());
        self.name_tenant(&mut request, holder);
        request
    }

    /// Tells upstreams whose call it is, whatever the caller said.
    pub(super) fn name_tenant(&self, request: &mut Request, holder: Option<&KeyHolder>) {
        request.headers.remove(self.names.tenant);
        if let Some(holder) = holder {
            request.headers.push(self.names.tenant, holder.tenant.name.as_bytes());
        }
    }

    pub(super) fn usual_ms(&self, call: &Call) -> f64 {
        let guessed = match call.target_ms {
            0 => UNKNOWN_TIME_MS,
            target => target as f64 * USUAL_PART_OF_TARGET,
        };
        self.times.usual_ms(&call.route).unwrap_or(guessed)
    }

    /// Chooses an upstream for a call that has no try, or gives it up.
    pub(super) fn place(&mut self, id: CallId, now: Millis) -> Vec<CallAction> {
        // A call with a try under way waits for it.
        if self.is_under_way(id) {
            return Vec::new();
        }
        if let Some(ended) = self.settle_key(id, now) {
            return ended;
        }
        let Some(call) = self.calls.get(&id) else {
            return Vec::new();
        };
        let usual_ms = self.usual_ms(call);
        let mut random = self.random.clone();
        let wanted = self.wanted(call, now);
        let most_offers = match call.begun {
            true => BEGUN_OFFERS,
            false => self.pressure.max_attempts(&call.service, now),
        };
        let chosen = match call.tries < most_offers {
            true => self.view.choose(&wanted, now, &mut random),
            false => None,
        };
        self.random = random;
        let Some(to) = chosen else {
            return self.without_upstream(id, now);
        };
        let hop = self.hop_request(call, &to, usual_ms, now);
        let call = self.calls.get_mut(&id).expect("looked up above");
        call.tries += 1;
        let attempt = Attempt { call: id, number: call.tries };
        call.current = Some(Try { attempt, to, since: now });
        call.parked_until = None;
        call.tried.push(to);
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
                rank = call.rank, target_ms = call.target_ms, try_number = call.tries,
                %to, patience_ms = hop.patience_ms, left_ms = hop.deadline_ms,
                told_ms = call.told_ms, "call_placed"
            );
        }
        let moved_bytes = self.times.moved_bytes(&call.route).unwrap_or(0.0);
        self.view.note_sent(&to, moved_bytes - request.body.len() as f64, now);
        self.plan_hedge(id, offered, now);
        vec![CallAction::Send { attempt, to, request, hop, offered }]
    }

    /// What a call's choice of an upstream depends on.
    pub(super) fn wanted<'a>(&'a self, call: &'a Call, now: Millis) -> placement::Request<'a> {
        let elapsed = now.saturating_sub(call.arrived);
        let body_bytes = call.request.body.len();
        placement::Request {
            service: &call.service,
            // What the version under trial failed is not tried there again.
            track: if call.arrivals > 0 { Track::Stable } else { call.track },
            urgency: call.urgency(),
            usual_ms: self.usual_ms(call),
            spread: self.times.spread(&call.route),
            moved_bytes: self.times.moved_bytes(&call.route).unwrap_or(body_bytes as f64),
            target_ms: call.target_ms.saturating_sub(elapsed).max(1) as f64,
            body_bytes,
            tried: &call.tried,
        }
    }

    pub(super) fn hop_request(
        &self,
        call: &Call,
        to: &NodeAddress,
        usual_ms: f64,
        now: Millis,
    ) -> HopRequest {
        let left = call.deadline.saturating_sub(now).saturating_sub(HOP_MARGIN_MS).max(1);
        let pace = self.view.get(to).map_or(1.0, |upstream| upstream.pace(now));
        let planned = usual_ms * pace * PLANNED_TIME_FACTOR;
        let target = call.target_ms as f64;
        let elapsed = now.saturating_sub(call.arrived) as f64;
        let useful = (target - elapsed - planned).min(target * MOST_PATIENCE_PART);
        let possible = (left as f64 - planned).max(0.0);
        let patience = match call.begun {
            // Late, it still serves the run that waits for it.
            true => possible,
            false => useful.max(LEAST_PATIENCE_MS.min(possible)),
        };
        let record = self.view.get(to).and_then(|upstream| upstream.record.instance.as_ref());
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
            begun: call.begun,
            repeat: call.arrivals > 0,
            hedge: false,
            usual_ms: self.times.usual_ms(&call.route).map_or(0, |ms| ms.round() as u32),
        }
    }
}
