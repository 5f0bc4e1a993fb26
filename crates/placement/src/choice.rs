//! The choice among the upstreams of a service.

use crate::locality::link_cost;
use crate::service_keys::ServiceKeys;
use crate::upstream::Expected;
use crate::{Distance, LatencyHistogram, Millis, PlacementView, Upstream, UpstreamKey, Urgency};
use mesh::Track;

/// Share of failures that may be chance, or the fault of others that all need.
const FAILING_BORNE: f64 = 0.15;
/// What a failed call costs, where one is an answer that is certainly late. All upstreams of a
/// service that fails alike pay the same, so only those that fail more than others are avoided.
const FAILURE_COST: f64 = 1.0;
/// What it costs to find no slot free: the call waits or is refused, and few more upstreams are asked.
/// Without it all senders go to the quickest upstreams by loads some tenths of a second old, and
/// their calls are refused there while slower ones are idle.
const FULL_COST: f64 = 0.1;
/// Weight of the expected time itself, so that of equal risks the faster is taken.
const TIME_COST: f64 = 0.03;
/// What each part of the time left costs by which an answer is expected to come too late: where all
/// are late, a call goes where it is over soonest.
const OVERDUE_COST: f64 = 1.0;
/// Part of the expected time by which choices are varied, so that nodes do not choose alike.
const VARIATION: f64 = 0.15;
/// Part of the expected time on a link by which choices are varied: all nodes are told the same
/// wait at the same time, and one that looks least busy to all of them is full a moment later.
const LINK_VARIATION: f64 = 1.0;
/// Answers longer than this are counted against links, bytes: shorter ones do not wait for them.
const LARGE_ANSWER_BYTES: f64 = 4.0 * 1024.0;
/// Slots that an upstream must have free, by what it told, to be taken for idle: one may be taken by a
/// call that is on its way, since loads are some tenths of a second old.
const IDLE_SLOTS: f64 = 2.0;

/// What a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// Whether it belongs to the share of a canary; without an upstream for it, it goes to those in
    /// use.
    pub track: Track,
    /// How urgent it is.
    pub urgency: Urgency,
    /// What the call takes at an upstream of average speed, milliseconds.
    pub usual_ms: f64,
    /// How the times of its like are spread around that.
    pub spread: &'a LatencyHistogram,
    /// What such a call and its answer move over links, bytes.
    pub moved_bytes: f64,
    /// Time left until its answer is worth less, milliseconds.
    pub target_ms: f64,
    /// Length of its body, bytes.
    pub body_bytes: usize,
    /// Upstreams that had it or refused it.
    pub tried: &'a [UpstreamKey],
}

/// How the links of upstreams' machines take part in a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Links {
    /// Their waits are part of the expected time, and full ones bar large answers.
    Counted,
    /// The same, of upstreams in the own zone.
    CountedHere,
    /// As if they were free.
    Ignored,
}

impl Request<'_> {
    /// What its like are answered with, bytes.
    fn answer_bytes(&self) -> f64 {
        (self.moved_bytes - self.body_bytes as f64).max(0.0)
    }
}

/// Which upstreams a choice is made among, and for what.
struct Wanted<'a, F> {
    track: Track,
    fits: F,
    request: &'a Request<'a>,
}

/// Whether an upstream is only taken if there is no other, and after which of its like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standby {
    No,
    /// It is cold, and had this node's part of what it bears.
    Cold,
    /// It failed this node lately.
    Resting,
}

impl PlacementView {
    /// The upstream that should have a call; `None` if none is live, untried and has room for all
    /// that is known: to ask one that refused a like call a moment ago costs two messages and
    /// brings the same answer. One that rests after failures is taken only if there is no other.
    pub fn choose(
        &self,
        request: &Request<'_>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let chosen =
            self.choose_of(&Wanted { track: request.track, fits: any, request }, now, random);
        if chosen.is_some() || request.track == Track::Stable {
            return chosen;
        }
        self.choose_of(&Wanted { track: Track::Stable, fits: any, request }, now, random)
    }

    /// The upstream that should have a second try of a call: one in use, that neither rests nor is cold
    /// and has an idle slot for all that is known.
    pub fn choose_idle(
        &self,
        request: &Request<'_>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let idle = |held: &Upstream| {
            let free = held.free_slots(now).is_some_and(|free| free >= IDLE_SLOTS);
            free && !held.is_backing_off(now) && !held.is_cold(now)
        };
        self.choose_of(&Wanted { track: Track::Stable, fits: idle, request }, now, random)
    }

    /// The one of the upstreams wanted that should have a call.
    fn choose_of<F: Fn(&Upstream) -> bool>(
        &self,
        wanted: &Wanted<'_, F>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let counted = match self.stays_in_zone(wanted, now, random) {
            true => Links::CountedHere,
            false => Links::Counted,
        };
        self.best_of(wanted, counted, now, random)
    }

    /// Whether an answer is only asked for in the own zone: it costs too much to be brought from
    /// another, and that would be done for busy links alone.
    fn stays_in_zone<F: Fn(&Upstream) -> bool>(
        &self,
        wanted: &Wanted<'_, F>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> bool {
        if !Distance::OtherZone.is_too_costly(wanted.request.answer_bytes()) {
            return false;
        }
        let best = self.best_of(wanted, Links::Ignored, now, random);
        let held = best.and_then(|key| self.upstreams.get(&key));
        held.is_some_and(|held| !self.locality.distance(&held.record).leaves_zone())
    }

    /// The upstream that costs least. Where none of a sample will do, as for a new version that few
    /// run, or while most are full, all are looked at before the call is given up.
    fn best_of<F: Fn(&Upstream) -> bool>(
        &self,
        wanted: &Wanted<'_, F>,
        links: Links,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let service = wanted.request.service;
        let drawn: Vec<_> = self.candidates(service, random).collect();
        let best = self.best_among(drawn.into_iter(), wanted, links, now, random);
        if best.is_some() || !self.is_sampled(service) {
            return best;
        }
        self.best_among(self.of_service(service), wanted, links, now, random)
    }

    fn best_among<'a, F: Fn(&Upstream) -> bool>(
        &self,
        candidates: impl Iterator<Item = (&'a UpstreamKey, &'a Upstream)>,
        wanted: &Wanted<'_, F>,
        links: Links,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let Wanted { track, ref fits, request } = *wanted;
        let mut best: Option<((Standby, f64), UpstreamKey)> = None;
        let cold_spacing_ms = self.cold_spacing_ms(request.service);
        for (key, held) in candidates {
            let distance = self.locality.distance(&held.record);
            let usable = held.track == track && held.is_live();
            if !usable || held.is_full(request.urgency, now) || !fits(held) {
                continue;
            }
            let tried = request.tried.contains(key);
            let answer_bytes = request.answer_bytes();
            let leaves = distance != Distance::Local && answer_bytes > LARGE_ANSWER_BYTES;
            let link_full = leaves && held.is_link_full(now);
            let barred = match links {
                Links::Counted => tried || link_full,
                Links::CountedHere => tried || link_full || distance.leaves_zone(),
                // One that refused for its link alone would have been taken.
                Links::Ignored => tried && !link_full,
            };
            if barred {
                continue;
            }
            let varied = 1.0 + VARIATION * random.f64();
            let expected = held.expected(request.usual_ms * varied, now);
            let transfer_ms =
                match distance != Distance::Local && self.offers(held, request.body_bytes) {
                    true => held.transfer_ms(request.body_bytes, now),
                    false => 0.0,
                };
            let answer_ms = match leaves && links != Links::Ignored {
                true => {
                    let varied = 1.0 + LINK_VARIATION * (random.f64() - 0.5);
                    held.answer_ms(answer_bytes, expected.work_ms, now) * varied
                }
                false => 0.0,
            };
            // The upstream beside this node needs no link.
            let in_use = match distance == Distance::Local || links == Links::Ignored {
                true => 0.0,
                false => link_cost(held.link_in_use(now)),
            };
            let cost = cost(held, distance, expected, transfer_ms + answer_ms, request, now);
            let standby = match held.is_backing_off(now) {
                true => Standby::Resting,
                false
                    if distance != Distance::Local
                        && !held.cold_part().has_room(cold_spacing_ms, now) =>
                {
                    Standby::Cold
                }
                false => Standby::No,
            };
            let cost = (standby, cost + in_use);
            if best.as_ref().is_none_or(|(held_cost, _)| {
                cost.partial_cmp(held_cost).is_some_and(std::cmp::Ordering::is_lt)
            }) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// The upstreams of a service that one choice looks at; of a large one a sample, with the upstream
    /// beside this node.
    fn candidates(
        &self,
        service: &str,
        random: &mut fastrand::Rng,
    ) -> impl Iterator<Item = (&UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service);
        let sampled = keys.is_some_and(ServiceKeys::is_sampled);
        let beside = self.upstreams.get_key_value(self.locality.own());
        let beside = beside.filter(|(_, held)| sampled && held.record.service == service);
        let drawn = keys.map_or_else(Vec::new, |keys| keys.candidates(random));
        beside
            .into_iter()
            .chain(drawn.into_iter().filter_map(|key| self.upstreams.get_key_value(key)))
    }

    /// Whether a choice looks at a sample of the upstreams of a service only.
    fn is_sampled(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(ServiceKeys::is_sampled)
    }
}

/// Fits every upstream.
fn any(_: &Upstream) -> bool {
    true
}

/// What it costs to go to an upstream, as a part of the worth of a call that is in time.
fn cost(
    held: &Upstream,
    distance: Distance,
    expected: Expected,
    transfer_ms: f64,
    request: &Request<'_>,
    now: Millis,
) -> f64 {
    let before_ms = expected.wait_ms + distance.usual_ms() + transfer_ms + held.silence_ms(now);
    let left_ms = request.target_ms - before_ms;
    let part = (before_ms + expected.work_ms) / request.target_ms.max(1.0);
    let late = request.spread.beyond(left_ms / expected.work_ms.max(1.0));
    let time = part * TIME_COST + (part - 1.0).max(0.0) * OVERDUE_COST;
    let failing = (held.failing(now) - FAILING_BORNE).max(0.0) * FAILURE_COST;
    let full = expected.full * FULL_COST;
    late + time + full + failing + distance.cost(request.moved_bytes)
}
