//! Selection of an upstream among those of a service.

use crate::locality::link_cost;
use crate::service_keys::ServiceKeys;
use crate::upstream::ExpectedLatency;
use crate::{Distance, LatencyHistogram, Millis, PlacementView, Upstream, UpstreamKey, Urgency};
use mesh::Track;

/// Failure rate that may be due to chance, or to a dependency that all upstreams share.
const TOLERATED_FAILURE_RATE: f64 = 0.15;
/// Cost of a failed call, where 1 is an answer that is certainly late. If all upstreams of a
/// service fail at the same rate, all pay the same, so only those that fail more than others are
/// avoided.
const FAILURE_COST: f64 = 1.0;
/// Cost of finding no free slot: the call waits or is refused, and only few more upstreams are
/// tried. Without it, all senders pick the fastest upstreams by loads that are some tenths of a
/// second old, and are refused there while slower upstreams are idle.
const NO_SLOT_COST: f64 = 0.1;
/// Weight of the expected latency itself, so that of equal risks the faster upstream wins.
const TIME_COST: f64 = 0.03;
/// Cost of exceeding the target, per multiple of the remaining time: if all upstreams would be
/// late, the call goes to the one that finishes it soonest.
const OVERDUE_COST: f64 = 1.0;
/// Random variation of the expected latency, as a fraction of it, so that nodes do not all pick the
/// same upstream.
const LATENCY_JITTER: f64 = 0.15;
/// Random variation of the expected transfer time, as a fraction of it. All nodes receive the same
/// reported wait at the same time, so the link that looks least busy to all of them would be full a
/// moment later.
const LINK_JITTER: f64 = 1.0;
/// Response length above which the wait for links is considered, bytes; shorter responses do not
/// queue for them.
const LARGE_ANSWER_BYTES: f64 = 4.0 * 1024.0;
/// Minimum number of free slots, by the reported load, for an upstream to count as idle. One slot
/// of margin allows for a call on its way, since loads are some tenths of a second old.
const IDLE_SLOTS: f64 = 2.0;

/// Inputs of the selection of an upstream for a call.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service to call.
    pub service: &'a str,
    /// Whether the call is part of a canary's share. If no upstream of the canary is available, it
    /// goes to a stable one.
    pub track: Track,
    /// Urgency of the call.
    pub urgency: Urgency,
    /// Expected latency at an upstream of average speed, milliseconds.
    pub usual_ms: f64,
    /// Distribution of the route's latencies relative to that.
    pub spread: &'a LatencyHistogram,
    /// Expected bytes of the request and response bodies.
    pub moved_bytes: f64,
    /// Remaining time until the target latency, milliseconds.
    pub target_ms: f64,
    /// Remaining time until its deadline, milliseconds.
    pub left_ms: u64,
    /// Length of the request body, bytes.
    pub body_bytes: usize,
    /// Upstreams that already received or refused the call.
    pub tried: &'a [UpstreamKey],
}

/// How the links of the upstreams' machines affect the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkPolicy {
    /// Waits for links add to the expected latency, and a full link rules out large responses.
    Considered,
    /// Like `Considered`, and only upstreams in the local zone qualify.
    LocalZoneOnly,
    /// All links are treated as idle.
    Ignored,
}

impl Request<'_> {
    /// Expected length of the response body, bytes.
    fn answer_bytes(&self) -> f64 {
        (self.moved_bytes - self.body_bytes as f64).max(0.0)
    }
}

/// The call to place and the upstreams that qualify for it.
struct Selection<'a, F> {
    track: Track,
    qualifies: F,
    request: &'a Request<'a>,
}

/// Whether an upstream is used only as a fallback; lower values are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fallback {
    No,
    /// It is cold or states a limit, and this node's share of its rate is used up.
    ShareUsed,
    /// It is in backoff after failures of this node's calls.
    BackingOff,
}

impl PlacementView {
    /// Selects the upstream for a call; `None` if no upstream is live, untried and believed to have
    /// capacity. An upstream that refused a similar call a moment ago is skipped, since asking it
    /// again costs two messages for the same answer. One in backoff is selected only if there is no
    /// other.
    pub fn choose(
        &self,
        request: &Request<'_>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let chosen = self.choose_of(
            &Selection { track: request.track, qualifies: any, request },
            now,
            random,
        );
        if chosen.is_some() || request.track == Track::Stable {
            return chosen;
        }
        self.choose_of(&Selection { track: Track::Stable, qualifies: any, request }, now, random)
    }

    /// Selects the upstream for a hedge: a stable one that is neither in backoff nor cold, states no
    /// limit, and has an idle slot by its reported load.
    pub fn choose_idle(
        &self,
        request: &Request<'_>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let idle = |held: &Upstream| {
            let free = held.free_slots(now).is_some_and(|free| free >= IDLE_SLOTS);
            let limited = held.is_cold(now) || held.stated_rate().is_some();
            free && !held.is_backing_off(now) && !limited
        };
        self.choose_of(&Selection { track: Track::Stable, qualifies: idle, request }, now, random)
    }

    /// Selects among the qualifying upstreams, restricted to the local zone if a response is too
    /// large to leave it.
    fn choose_of<F: Fn(&Upstream) -> bool>(
        &self,
        selection: &Selection<'_, F>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let link_policy = match self.stays_in_zone(selection, now, random) {
            true => LinkPolicy::LocalZoneOnly,
            false => LinkPolicy::Considered,
        };
        self.best_of(selection, link_policy, now, random)
    }

    /// Whether only upstreams of the local zone may serve the call: the response is too large to
    /// transfer between zones, and only busy links would make the call leave the zone.
    fn stays_in_zone<F: Fn(&Upstream) -> bool>(
        &self,
        selection: &Selection<'_, F>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> bool {
        if !Distance::OtherZone.is_too_costly(selection.request.answer_bytes()) {
            return false;
        }
        let best = self.best_of(selection, LinkPolicy::Ignored, now, random);
        let held = best.and_then(|key| self.upstreams.get(&key));
        held.is_some_and(|held| !self.locality.distance(&held.record).leaves_zone())
    }

    /// Selects the upstream with the lowest cost. If no upstream of a sample qualifies, as for a
    /// new version that few upstreams run, or while most are full, all upstreams are evaluated
    /// before the call is given up.
    fn best_of<F: Fn(&Upstream) -> bool>(
        &self,
        selection: &Selection<'_, F>,
        link_policy: LinkPolicy,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let service = selection.request.service;
        let sample: Vec<_> = self.candidates(service, random).collect();
        let best = self.best_among(sample.into_iter(), selection, link_policy, now, random);
        if best.is_some() || !self.is_sampled(service) {
            return best;
        }
        self.best_among(self.of_service(service), selection, link_policy, now, random)
    }

    fn best_among<'a, F: Fn(&Upstream) -> bool>(
        &self,
        candidates: impl Iterator<Item = (&'a UpstreamKey, &'a Upstream)>,
        selection: &Selection<'_, F>,
        link_policy: LinkPolicy,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let Selection { track, ref qualifies, request } = *selection;
        let mut best: Option<((Fallback, f64), UpstreamKey)> = None;
        let cold_spacing_ms = self.cold_spacing_ms(request.service);
        let sharers = self.sharers();
        for (key, held) in candidates {
            let distance = self.locality.distance(&held.record);
            let ends_first = distance != Distance::Local && held.ends_within(request.left_ms, now);
            let usable = held.track == track && held.is_live() && !ends_first;
            if !usable || held.is_full(request.urgency, now) || !qualifies(held) {
                continue;
            }
            let tried = request.tried.contains(key);
            let answer_bytes = request.answer_bytes();
            let is_large_transfer =
                distance != Distance::Local && answer_bytes > LARGE_ANSWER_BYTES;
            let link_full = is_large_transfer && held.is_link_full(now);
            let excluded = match link_policy {
                LinkPolicy::Considered => tried || link_full,
                LinkPolicy::LocalZoneOnly => tried || link_full || distance.leaves_zone(),
                // An upstream that refused only because of its link would have been selected.
                LinkPolicy::Ignored => tried && !link_full,
            };
            if excluded {
                continue;
            }
            let jitter = 1.0 + LATENCY_JITTER * random.f64();
            let expected = held.expected(request.usual_ms * jitter, now);
            let transfer_ms =
                match distance != Distance::Local && self.must_offer(held, request.body_bytes) {
                    true => held.transfer_ms(request.body_bytes, now),
                    false => 0.0,
                };
            let answer_ms = match is_large_transfer && link_policy != LinkPolicy::Ignored {
                true => {
                    let jitter = 1.0 + LINK_JITTER * (random.f64() - 0.5);
                    held.answer_ms(answer_bytes, expected.work_ms, now) * jitter
                }
                false => 0.0,
            };
            // The local upstream is reached without a link.
            let link_cost_of_upstream =
                match distance == Distance::Local || link_policy == LinkPolicy::Ignored {
                    true => 0.0,
                    false => link_cost(held.link_utilization(now)),
                };
            let cost = cost(held, distance, expected, transfer_ms + answer_ms, request, now);
            let fallback = match held.is_backing_off(now) {
                true => Fallback::BackingOff,
                false
                    if distance != Distance::Local
                        && !held.cold_limit().permits(cold_spacing_ms, now) =>
                {
                    Fallback::ShareUsed
                }
                false if !held.stated_limit().permits(sharers, now) => Fallback::ShareUsed,
                false => Fallback::No,
            };
            let cost = (fallback, cost + link_cost_of_upstream);
            if best.as_ref().is_none_or(|(held_cost, _)| {
                cost.partial_cmp(held_cost).is_some_and(std::cmp::Ordering::is_lt)
            }) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Upstreams of a service to evaluate for one call: a sample if the service is large, plus the
    /// upstream local to this node.
    fn candidates(
        &self,
        service: &str,
        random: &mut fastrand::Rng,
    ) -> impl Iterator<Item = (&UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service);
        let sampled = keys.is_some_and(ServiceKeys::is_sampled);
        let local = self.upstreams.get_key_value(self.locality.own());
        let local = local.filter(|(_, held)| sampled && held.record.service == service);
        let sample = keys.map_or_else(Vec::new, |keys| keys.candidates(random));
        local
            .into_iter()
            .chain(sample.into_iter().filter_map(|key| self.upstreams.get_key_value(key)))
    }

    /// Whether only a sample of the upstreams of a service is evaluated per call.
    fn is_sampled(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(ServiceKeys::is_sampled)
    }
}

/// Accepts every upstream.
fn any(_: &Upstream) -> bool {
    true
}

/// Cost of sending a call to an upstream, as a fraction of the value of a call answered in time.
fn cost(
    held: &Upstream,
    distance: Distance,
    expected: ExpectedLatency,
    transfer_ms: f64,
    request: &Request<'_>,
    now: Millis,
) -> f64 {
    let before_ms =
        expected.wait_ms + distance.base_rtt_ms() + transfer_ms + held.unanswered_delay_ms(now);
    let left_ms = request.target_ms - before_ms;
    let target_fraction = (before_ms + expected.work_ms) / request.target_ms.max(1.0);
    let lateness_risk = request.spread.beyond(left_ms / expected.work_ms.max(1.0));
    let latency = target_fraction * TIME_COST + (target_fraction - 1.0).max(0.0) * OVERDUE_COST;
    let failures = (held.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0) * FAILURE_COST;
    let no_slot = expected.no_slot_probability * NO_SLOT_COST;
    lateness_risk + latency + no_slot + failures + distance.cost(request.moved_bytes)
}
