//! All upstreams, and the choice among them.

use crate::locality::link_cost;
use crate::upstream::Expected;
use crate::{Distance, Locality, Millis, TimeSpread, Upstream, UpstreamKey, Urgency};
use mesh::{NodeRecord, Track, UpstreamLoad, VersionPolicy};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

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
/// Upstreams of a service that are looked at for one call: all up to this number, beyond it a sample
/// drawn anew each time, so that the time a choice takes is bounded however large the service is. With
/// 48 of the own zone the least loaded of them is in the best 6 in 100 nineteen times in twenty (0.94
/// to the power 48 is 0.05); those of other zones are for when there is no room in the own.
const MOST_CANDIDATES: usize = 64;
/// Of those, most of other zones.
const MOST_FAR_CANDIDATES: usize = 16;
/// Of those, at least so many of other regions: for when there is no room in the own.
const MOST_REMOTE_CANDIDATES: usize = 4;

/// Slots that an upstream must have free, by what it told, to be taken for idle: one may be taken by a
/// call that is on its way, since loads are some tenths of a second old.
const IDLE_SLOTS: f64 = 2.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

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
    pub spread: &'a TimeSpread,
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

/// What changed about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeChange {
    /// Nothing.
    None,
    /// It is new, or its state is another.
    Changed,
}

/// The upstreams of a service.
#[derive(Clone, Debug, Default)]
struct ServiceKeys {
    /// In the zone of this node.
    near: Vec<UpstreamKey>,
    /// In other zones of its region.
    far: Vec<UpstreamKey>,
    /// In other regions.
    remote: Vec<UpstreamKey>,
}

impl ServiceKeys {
    fn iter(&self) -> impl Iterator<Item = &UpstreamKey> {
        self.near.iter().chain(&self.far).chain(&self.remote)
    }

    fn len(&self) -> usize {
        self.near.len() + self.far.len() + self.remote.len()
    }

    fn remove(&mut self, key: &UpstreamKey) {
        self.near.retain(|held| held != key);
        self.far.retain(|held| held != key);
        self.remote.retain(|held| held != key);
    }

    /// Those that one choice looks at. A sample is drawn with replacement: one that comes twice is
    /// looked at twice, which changes nothing.
    fn candidates(&self, random: &mut fastrand::Rng) -> Vec<&UpstreamKey> {
        if self.len() <= MOST_CANDIDATES {
            return self.iter().collect();
        }
        let remote = MOST_REMOTE_CANDIDATES.min(self.remote.len());
        let elsewhere = MOST_FAR_CANDIDATES.min(self.far.len() + self.remote.len());
        let mut found = draw(&self.near, MOST_CANDIDATES - elsewhere, random);
        found.extend(draw(&self.far, MOST_CANDIDATES - found.len() - remote, random));
        found.extend(draw(&self.remote, MOST_CANDIDATES - found.len(), random));
        found
    }
}

/// All keys if they are no more than wanted, else so many at random.
fn draw<'a>(
    keys: &'a [UpstreamKey],
    wanted: usize,
    random: &mut fastrand::Rng,
) -> Vec<&'a UpstreamKey> {
    if keys.len() <= wanted {
        return keys.iter().collect();
    }
    (0..wanted).map(|_| &keys[random.usize(0..keys.len())]).collect()
}

/// Every upstream this node knows.
#[derive(Clone, Debug)]
pub struct PlacementView {
    locality: Locality,
    upstreams: BTreeMap<UpstreamKey, Upstream>,
    /// Which of them run each service; a choice looks at no others.
    by_service: BTreeMap<Rc<str>, ServiceKeys>,
    /// Services with versions that are not all alike.
    policies: BTreeMap<String, VersionPolicy>,
    /// What cold upstreams of some services are given by all nodes together, calls a second.
    cold_rates: BTreeMap<Rc<str>, f64>,
    evacuated: BTreeSet<String>,
}

impl PlacementView {
    /// An empty view of the node at `locality`.
    pub fn new(locality: Locality) -> Self {
        PlacementView {
            locality,
            upstreams: BTreeMap::new(),
            by_service: BTreeMap::new(),
            policies: BTreeMap::new(),
            cold_rates: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Takes in which versions of upstreams may be given calls.
    pub fn set_policies(&mut self, policies: &[VersionPolicy]) {
        let by_service = policies.iter().map(|policy| (policy.service.clone(), policy.clone()));
        self.policies = by_service.collect();
        for upstream in self.upstreams.values_mut() {
            upstream.apply_policy(self.policies.get(&upstream.record.service));
        }
    }

    /// Takes in which zones are evacuated: their upstreams are given no calls.
    pub fn set_evacuated(&mut self, zones: Vec<String>, now: Millis) {
        self.evacuated = zones.into_iter().collect();
        for upstream in self.upstreams.values_mut() {
            let evacuated = self.evacuated.contains(&upstream.record.zone);
            upstream.set_evacuated(evacuated, now);
        }
    }

    /// Whether upstreams of a service are there, and all that would be given calls are in evacuated
    /// zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        !self.has_live(service) && self.of_service(service).any(|(_, held)| held.is_evacuated())
    }

    /// Takes in what cold upstreams are given by all nodes together, calls a second; of services that
    /// are not named, as much as others.
    pub fn set_cold_rates(&mut self, rates: BTreeMap<Rc<str>, f64>) {
        self.cold_rates = rates;
    }

    /// This node's part of what a cold upstream of a service is given: the time from one call of it
    /// to the next, milliseconds. Each node keeps to its part, so that all together send a cold
    /// upstream what it bears; nothing has to be told, and no sender has to know of another.
    fn cold_spacing_ms(&self, service: &str) -> Option<f64> {
        let per_s = self.cold_rates.get(service)?;
        Some(MILLIS_PER_SECOND * self.upstreams.len().max(1) as f64 / per_s)
    }

    /// Notes that a call is sent to an upstream, whose like are answered with so many bytes.
    pub fn note_sent(&mut self, key: &UpstreamKey, answer_bytes: f64, now: Millis) {
        let service = self.upstreams.get(key).map(|held| held.record.service.as_str());
        let spacing_ms = service.and_then(|service| self.cold_spacing_ms(service));
        if let Some(held) = self.upstreams.get_mut(key) {
            held.outstanding += 1;
            held.note_asked(answer_bytes.max(0.0));
            held.note_cold_use(spacing_ms.unwrap_or(0.0), now);
        }
    }

    /// What is known of the versions of a service.
    pub fn policy(&self, service: &str) -> Option<&VersionPolicy> {
        self.policies.get(service)
    }

    /// Takes in a record; an older one of the same life changes nothing.
    pub fn update(&mut self, record: NodeRecord, now: Millis) -> NodeChange {
        match self.upstreams.get_mut(&record.address) {
            None => {
                self.index(&record);
                let phase = cold_phase(self.locality.own(), &record.address);
                let mut upstream = Upstream::new(record, now).with_cold_phase(phase);
                upstream.apply_policy(self.policies.get(&upstream.record.service));
                upstream.set_evacuated(self.evacuated.contains(&upstream.record.zone), now);
                self.upstreams.insert(upstream.record.address, upstream);
                NodeChange::Changed
            }
            Some(held) => {
                let older =
                    held.record.life == record.life && held.record.sequence >= record.sequence;
                if older {
                    return NodeChange::None;
                }
                let moved =
                    held.record.service != record.service || held.record.zone != record.zone;
                if moved {
                    let (former, address) = (held.record.service.clone(), record.address);
                    remove_from_index(&mut self.by_service, &former, &address);
                    self.index(&record);
                }
                if let Some(held) = self.upstreams.get_mut(&record.address) {
                    held.update(record, now);
                    held.apply_policy(self.policies.get(&held.record.service));
                    held.set_evacuated(self.evacuated.contains(&held.record.zone), now);
                }
                NodeChange::Changed
            }
        }
    }

    fn index(&mut self, record: &NodeRecord) {
        let distance = self.locality.distance(record);
        let service = record.service.as_str();
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.into(), ServiceKeys::default());
        }
        if let Some(keys) = self.by_service.get_mut(service) {
            match distance {
                Distance::Own | Distance::Zone => keys.near.push(record.address),
                Distance::Far => keys.far.push(record.address),
                Distance::Remote => keys.remote.push(record.address),
            }
        }
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (&UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service).into_iter().flat_map(ServiceKeys::iter);
        keys.filter_map(|key| self.upstreams.get_key_value(key))
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
        let by_service = &mut self.by_service;
        self.upstreams.retain(|key, upstream| {
            let service = &upstream.record.service;
            let last = upstream.is_live() && !remaining.contains(service);
            let kept = keep(upstream) || last;
            if !kept {
                remove_from_index(by_service, service, key);
            }
            kept
        });
    }

    /// Number of nodes known.
    pub fn nodes(&self) -> usize {
        self.upstreams.len()
    }

    /// Upstreams that may be given calls, and the others.
    pub fn live_and_others(&self) -> (usize, usize) {
        let live = self.upstreams.values().filter(|held| held.is_live()).count();
        (live, self.upstreams.len() - live)
    }

    /// One upstream.
    pub fn get(&self, key: &UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// One upstream, to note something of it.
    pub fn get_mut(&mut self, key: &UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Takes in how busy an upstream was a moment ago; one that is not known is passed over.
    pub fn note_load(&mut self, key: &UpstreamKey, load: UpstreamLoad, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.note_load(load, now);
        }
    }

    /// Whether a service has an upstream that may be given calls.
    pub fn has_live(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, held)| held.is_stable())
    }

    /// Part of the slots of a service that is free for all that was heard of late, 0 to 1; `None` if
    /// too little was heard to tell.
    pub fn free_part(&self, service: &str, now: Millis) -> Option<f64> {
        let (mut live, mut heard, mut slots, mut free) = (0, 0, 0.0, 0.0);
        for (_, held) in self.of_service(service).filter(|(_, held)| held.is_stable()) {
            live += 1;
            if let Some(free_slots) = held.free_slots(now) {
                heard += 1;
                slots += f64::from(held.limit());
                free += free_slots;
            }
        }
        let enough = heard * 2 > live;
        enough.then(|| free / slots)
    }

    /// When the first of the upstreams of a service that lately refused is expected to have room.
    pub fn room_at(&self, service: &str, now: Millis) -> Option<Millis> {
        let live = self.of_service(service).filter(|(_, held)| held.is_stable());
        live.filter_map(|(_, held)| held.room_at(now)).min()
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
            free && !held.is_resting(now) && !held.is_cold(now)
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
        if !Distance::Far.is_too_dear(wanted.request.answer_bytes()) {
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
            let leaves = distance != Distance::Own && answer_bytes > LARGE_ANSWER_BYTES;
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
                match distance != Distance::Own && self.offers(held, request.body_bytes) {
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
            let in_use = match distance == Distance::Own || links == Links::Ignored {
                true => 0.0,
                false => link_cost(held.link_in_use(now)),
            };
            let cost = cost(held, distance, expected, transfer_ms + answer_ms, request, now);
            let standby = match held.is_resting(now) {
                true => Standby::Resting,
                false if distance != Distance::Own && !held.has_cold_part(cold_spacing_ms, now) => {
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

    fn offers(&self, upstream: &Upstream, body_bytes: usize) -> bool {
        upstream.is_offered(body_bytes, self.locality.link_bytes_per_ms())
    }

    /// Whether a body of this length is only offered to an upstream at first, since it would occupy
    /// one of the two links for long; the sidecar there grants it when its link has room.
    pub fn is_offered(&self, key: &UpstreamKey, body_bytes: usize) -> bool {
        let elsewhere = key != self.locality.own();
        elsewhere && self.get(key).is_some_and(|upstream| self.offers(upstream, body_bytes))
    }

    /// The upstreams of a service that one choice looks at; of a large one a sample, with the upstream
    /// beside this node.
    fn candidates(
        &self,
        service: &str,
        random: &mut fastrand::Rng,
    ) -> impl Iterator<Item = (&UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service);
        let sampled = keys.is_some_and(|keys| keys.len() > MOST_CANDIDATES);
        let beside = self.upstreams.get_key_value(self.locality.own());
        let beside = beside.filter(|(_, held)| sampled && held.record.service == service);
        let drawn = keys.map_or_else(Vec::new, |keys| keys.candidates(random));
        beside
            .into_iter()
            .chain(drawn.into_iter().filter_map(|key| self.upstreams.get_key_value(key)))
    }

    /// Whether a choice looks at a sample of the upstreams of a service only.
    fn is_sampled(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(|keys| keys.len() > MOST_CANDIDATES)
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

/// When the first part of a cold upstream comes to a node, as a part of the time between two, 0 to 1:
/// drawn from both addresses, so that the parts of all nodes are spread over that time.
fn cold_phase(own: &UpstreamKey, upstream: &UpstreamKey) -> f64 {
    let bits = |key: &UpstreamKey| u64::from(key.ip.to_bits()) ^ u64::from(key.port) << 32;
    let seed = bits(own).rotate_left(32) ^ bits(upstream);
    fastrand::Rng::with_seed(seed).f64()
}

/// Fits every upstream.
fn any(_: &Upstream) -> bool {
    true
}

fn remove_from_index(
    by_service: &mut BTreeMap<Rc<str>, ServiceKeys>,
    service: &str,
    key: &UpstreamKey,
) {
    if let Some(keys) = by_service.get_mut(service) {
        keys.remove(key);
        if keys.len() == 0 {
            by_service.remove(service);
        }
    }
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
