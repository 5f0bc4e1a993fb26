//! All upstreams, and the choice among them.

use crate::{Millis, Upstream, UpstreamKey, Urgency};
use mesh::NodeRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Cost of a call to another zone, as a part of the worth of a call that is in time.
const OTHER_ZONE_COST: f64 = 0.08;
/// Time to another zone and back that is not part of what an upstream takes, milliseconds.
const OTHER_ZONE_MS: f64 = 3.0;
/// How steeply the risk of being late rises with the expected part of the time left.
const LATENESS_EXPONENT: i32 = 6;
/// Weight of the expected time itself, so that of equal risks the faster is taken.
const TIME_COST: f64 = 0.03;
/// Part of the expected time by which choices are varied, so that nodes do not choose alike.
const VARIATION: f64 = 0.15;
const TIME_WEIGHT: f64 = 0.05;
/// Upstreams looked at for one call; a sample beyond.
const MOST_CANDIDATES: usize = 24;

/// What a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// How urgent it is.
    pub urgency: Urgency,
    /// What the call takes at an upstream of average speed, milliseconds.
    pub usual_ms: f64,
    /// Time left until its answer is worth less, milliseconds.
    pub target_ms: f64,
    /// Upstreams that had it or refused it.
    pub tried: &'a [UpstreamKey],
}

/// What changed about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeChange {
    /// Nothing.
    None,
    /// It is new, or its state is another.
    Changed,
}

/// Every upstream this node knows.
#[derive(Clone, Debug)]
pub struct PlacementView {
    zone: String,
    upstreams: BTreeMap<UpstreamKey, Upstream>,
}

impl PlacementView {
    /// An empty view of a node in `zone`.
    pub fn new(zone: &str) -> Self {
        PlacementView { zone: zone.to_owned(), upstreams: BTreeMap::new() }
    }

    /// Takes in a record; an older one of the same life changes nothing.
    pub fn update(&mut self, record: NodeRecord, now: Millis) -> NodeChange {
        match self.upstreams.get_mut(&record.address) {
            None => {
                self.upstreams.insert(record.address, Upstream::new(record, now));
                NodeChange::Changed
            }
            Some(held) => {
                let older =
                    held.record.life == record.life && held.record.sequence >= record.sequence;
                if older {
                    return NodeChange::None;
                }
                held.update(record, now);
                NodeChange::Changed
            }
        }
    }

    /// Removes the nodes that no coordinator lists any more, but for those that answer this node
    /// all the same. If a service would lose all of its live upstreams at once, they stay until
    /// one returns.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamKey) -> bool, now: Millis) {
        for (key, upstream) in &mut self.upstreams {
            upstream.set_listed(is_listed(key));
        }
        let keep = |upstream: &Upstream| upstream.is_present(now);
        let remaining: BTreeSet<String> = self
            .upstreams
            .values()
            .filter(|upstream| keep(upstream) && upstream.is_live())
            .map(|upstream| upstream.record.service.clone())
            .collect();
        self.upstreams.retain(|_, upstream| {
            let last = upstream.is_live() && !remaining.contains(&upstream.record.service);
            keep(upstream) || last
        });
    }

    /// Number of nodes known.
    pub fn nodes(&self) -> usize {
        self.upstreams.len()
    }

    /// One upstream.
    pub fn get(&self, key: &UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// One upstream, to note something of it.
    pub fn get_mut(&mut self, key: &UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Whether a service has an upstream that may be given calls.
    pub fn has_live(&self, service: &str) -> bool {
        self.upstreams.values().any(|held| held.record.service == service && held.is_live())
    }

    /// When the first of the upstreams of a service that lately refused is expected to have room.
    pub fn room_at(&self, service: &str, now: Millis) -> Option<Millis> {
        let of_service = self.upstreams.values().filter(|held| held.record.service == service);
        of_service.filter(|held| held.is_live()).filter_map(|held| held.room_at(now)).min()
    }

    /// The upstream that should have a call; `None` if none is live, untried and has room for all
    /// that is known: to ask one that refused a like call a moment ago costs two messages and
    /// brings the same answer. One that rests after failures is taken only if there is no other.
    pub fn choose(
        &self,
        request: &Request<'_>,
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let eligible = self.upstreams.iter().filter(|(key, held)| {
            held.record.service == request.service
                && held.is_live()
                && !held.is_full(request.urgency, now)
                && !request.tried.contains(key)
        });
        let mut candidates: Vec<_> = eligible.collect();
        if candidates.len() > MOST_CANDIDATES {
            random.shuffle(&mut candidates);
            candidates.truncate(MOST_CANDIDATES);
        }
        let mut best: Option<((bool, f64), UpstreamKey)> = None;
        for (key, held) in candidates {
            let varied = 1.0 + VARIATION * random.f64();
            let expected = held.expected_ms(request.usual_ms, now) * varied;
            let far = held.record.zone != self.zone;
            let cost = cost_of(expected, request.target_ms, far);
            let cost = (held.is_resting(now), cost);
            if best.as_ref().is_none_or(|(held_cost, _)| {
                cost.partial_cmp(held_cost).is_some_and(std::cmp::Ordering::is_lt)
            }) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// The risk that the answer is late, and what it costs to go to another zone.
fn cost_of(expected_ms: f64, target_ms: f64, other_zone: bool) -> f64 {
    let (way_ms, way_cost) = if other_zone { (OTHER_ZONE_MS, OTHER_ZONE_COST) } else { (0.0, 0.0) };
    let part = (expected_ms + way_ms) / target_ms.max(1.0);
    part.powi(LATENESS_EXPONENT) + part * TIME_COST + way_cost
}

/// How long the calls of each route take at an upstream of average speed.
#[derive(Clone, Debug, Default)]
pub struct ClassTimes {
    times: BTreeMap<String, f64>,
}

impl ClassTimes {
    /// The usual time of a route's calls, milliseconds; `None` before the first answer.
    pub fn usual_ms(&self, route: &str) -> Option<f64> {
        self.times.get(route).copied()
    }

    /// Takes in the time a call spent with an upstream of the given speed.
    pub fn note(&mut self, route: &str, spent_ms: f64, speed: f64) {
        let seen = spent_ms / speed.max(0.05);
        match self.times.get_mut(route) {
            Some(held) => *held += (seen - *held) * TIME_WEIGHT,
            None => {
                self.times.insert(route.to_owned(), seen);
            }
        }
    }
}
