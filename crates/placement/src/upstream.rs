//! What a node believes of one upstream.

use crate::cold_part::ColdPart;
use crate::egress_seen::EgressSeen;
use crate::Millis;
use mesh::{
    max_unoffered_bytes, HopReply, InstanceState, NodeAddress, NodeRecord, Track, UpstreamLoad,
    VersionPolicy,
};

/// Names an upstream by the sidecar beside it.
pub type UpstreamKey = NodeAddress;

/// Longest that an upstream's own figures are believed, milliseconds.
pub(crate) const FIGURES_AGE_MS: u64 = 1_000;
/// How long a load that came through coordinators is believed whole, and how long it takes from
/// then on to count for nothing, milliseconds. One that does not change is told about once a
/// second.
const LOAD_FRESH_MS: u64 = 1_200;
const LOAD_FADING_MS: u64 = 1_000;
/// A load told with an answer is not replaced within this time, milliseconds: what coordinators
/// bring is older than that.
const ANSWER_FIRST_MS: u64 = 300;
/// First and longest time without calls after failures, milliseconds.
const FIRST_REST_MS: u64 = 300;
const LONGEST_REST_MS: u64 = 3_000;
/// Longest time for which a refusal is believed, milliseconds: the queue moves on.
pub(crate) const LONGEST_REFUSAL_MS: u64 = 150;
/// Time in which the share of failures that it told loses half of its weight, milliseconds.
const FAILING_HALF_LIFE_MS: f64 = 2_500.0;
/// Time in which the word of calls without an answer loses half of its weight, milliseconds.
const SILENCE_HALF_LIFE_MS: f64 = 1_500.0;
/// Weight of a new observation of speed.
const SPEED_WEIGHT: f64 = 0.08;
/// How long an answer proves that an upstream can be reached though no coordinator lists it, ms.
const PROOF_MS: u64 = 5_000;
/// How far a told load is off when a call arrives, slots: what changes hands between two tellings at an
/// upstream of a dozen slots, by the root of some four runs.
const LOAD_ERROR_SLOTS: f64 = 2.0;
/// Pace that an upstream is taken to have of which nothing is known, cold or not: that of the quick ones.
/// One taken for average would be given nothing beside quick ones that are idle, and nobody would learn
/// how quick it is; a sender has one call with it until something is known.
const UNTRIED_PACE: f64 = 0.5;
/// How long a speed is believed that nobody tells and no call shows anew, milliseconds: an upstream that is
/// slow indeed costs each sender without other word one slow call in this time.
const LEARNED_MS: u64 = 10_000;
/// How long a pace that was told is believed, milliseconds: it is told again each 0.8 s, and one word of
/// three may be lost.
const PACE_FRESH_MS: u64 = 2_400;
const SLOWEST: f64 = 30.0;
const FASTEST: f64 = 0.1;
/// How much slower a freshly started upstream is taken to be.
const COLD_FACTOR: f64 = 1.8;

/// One upstream as this node sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the coordinators say.
    pub record: NodeRecord,
    /// Own calls that are with it.
    pub outstanding: u32,
    /// How its version takes part in its service.
    pub track: Track,
    /// How long it takes, relative to the others of its service, as this node learned alone; what the
    /// sidecar beside it tells goes first, see [`Upstream::pace`].
    pub learned_pace: f64,
    told_pace: Option<ToldPace>,
    /// When this node last learned anything of its speed.
    timed_at: Option<Millis>,
    cold: ColdPart,
    figures: Option<Figures>,
    load_seen: Option<LoadSeen>,
    /// When coordinators last brought its load.
    load_told_at: Option<Millis>,
    rest_until: Millis,
    failures: u32,
    refusal: Option<Refusal>,
    listed: bool,
    /// Whether its zone is evacuated.
    evacuated: bool,
    answered_at: Option<Millis>,
    silence: Silence,
    link: EgressSeen,
}

/// How urgent a call is among those that wait for an upstream; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank of its route.
    pub rank: u32,
    /// Target latency of its route, milliseconds.
    pub target_ms: u64,
}

impl Urgency {
    /// That of calls that a run with a slot waits for: ahead of all new work.
    pub const IN_PROGRESS: Self = Self { rank: 0, target_ms: 0 };
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    urgency: Urgency,
    /// Until when it is believed.
    until: Millis,
    /// When there may be room, as it told.
    room_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Figures {
    reply: HopReply,
    at: Millis,
}

impl Figures {
    /// How far they are believed, 0 to 1.
    fn belief(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        1.0 - (age as f64 / FIGURES_AGE_MS as f64).min(1.0)
    }
}

/// How busy an upstream was.
#[derive(Clone, Copy, Debug)]
struct LoadSeen {
    /// Calls with it that were not this node's.
    others: f64,
    /// Time that its calls occupied a slot, milliseconds; 0 if it had none.
    service_ms: f64,
    at: Millis,
    /// Whether an answer brought it.
    answered: bool,
}

impl LoadSeen {
    /// How far it is believed, 0 to 1. Coordinators bring the next one soon, answers may not.
    fn belief(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        let (fresh_ms, fading_ms) = match self.answered {
            true => (0, FIGURES_AGE_MS),
            false => (LOAD_FRESH_MS, LOAD_FADING_MS),
        };
        let beyond = age.saturating_sub(fresh_ms);
        1.0 - (beyond as f64 / fading_ms as f64).min(1.0)
    }
}

/// How long work takes there, as the sidecar beside it told.
#[derive(Clone, Copy, Debug)]
struct ToldPace {
    pace: f64,
    at: Millis,
}

/// What a call would take at an upstream, milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    /// Until it has a slot.
    pub wait_ms: f64,
    /// From then on, on average.
    pub work_ms: f64,
    /// Chance that no slot is free when it arrives, 0 to 1.
    pub full: f64,
}

/// The longest wait beyond the usual of calls that were given up.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    ms: f64,
    at: Millis,
}

impl Upstream {
    /// An upstream heard of for the first time.
    pub fn new(record: NodeRecord, now: Millis) -> Self {
        let mut upstream = Upstream {
            record: record.clone(),
            outstanding: 0,
            track: Track::Stable,
            learned_pace: 1.0,
            told_pace: None,
            timed_at: None,
            cold: ColdPart::default(),
            figures: None,
            load_seen: None,
            load_told_at: None,
            rest_until: 0,
            failures: 0,
            refusal: None,
            listed: true,
            evacuated: false,
            answered_at: None,
            silence: Silence::default(),
            link: EgressSeen::default(),
        };
        upstream.update(record, now);
        upstream
    }

    /// Takes in news of the coordinators.
    pub fn update(&mut self, record: NodeRecord, now: Millis) {
        let incarnation =
            |record: &NodeRecord| record.instance.as_ref().map(mesh::InstanceRecord::incarnation);
        let other_instance = incarnation(&self.record) != incarnation(&record);
        if other_instance || self.record.boot_id != record.boot_id {
            self.rest_until = 0;
            self.failures = 0;
            self.refusal = None;
            self.figures = None;
            self.load_seen = None;
            self.load_told_at = None;
            self.silence = Silence::default();
        }
        if other_instance {
            self.cold.restarted(now);
            self.learned_pace = 1.0;
            self.told_pace = None;
            self.timed_at = None;
        }
        if let Some(instance) = &record.instance {
            self.cold.told(u64::from(instance.cold_remaining_ms), now);
        }
        self.record = record;
        self.listed = true;
    }

    /// Takes in whether its zone is evacuated. One that is restored is taken for cold until it tells.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool, now: Millis) {
        if self.evacuated && !evacuated {
            self.cold.presume(now);
        }
        self.evacuated = evacuated;
    }

    /// Whether its zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Whether it is slow after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold.is_cold(now)
    }

    /// This node's part of what it bears while it is cold.
    pub(crate) fn cold_part(&self) -> &ColdPart {
        &self.cold
    }

    /// The same, to be changed.
    pub(crate) fn cold_part_mut(&mut self) -> &mut ColdPart {
        &mut self.cold
    }

    /// Notes whether a coordinator lists it.
    pub fn set_listed(&mut self, listed: bool) {
        self.listed = listed;
    }

    /// Whether it is there for all this node knows: a coordinator lists it, or it answered this
    /// node a moment ago and was only cut off from the coordinators.
    pub fn is_present(&self, now: Millis) -> bool {
        self.listed || self.answered_at.is_some_and(|at| now < at + PROOF_MS)
    }

    /// Whether it may be given calls at all.
    pub fn is_live(&self) -> bool {
        let ready = |state| state == InstanceState::Ready;
        let instance_ready = self.record.instance.as_ref().is_some_and(|held| ready(held.state));
        let says_ready = self.figures.is_none_or(|figures| ready(figures.reply.state));
        let barred = self.track == Track::Barred || self.evacuated;
        instance_ready && says_ready && !self.record.stopping && !barred
    }

    /// Whether it is live and its version is in use, not only tried out.
    pub fn is_stable(&self) -> bool {
        self.track == Track::Stable && self.is_live()
    }

    /// Takes in which versions of its service may be given calls.
    pub(crate) fn apply_policy(&mut self, policy: Option<&VersionPolicy>) {
        let version = self.record.instance.as_ref().map_or("", |instance| &instance.version);
        self.track = policy.map_or(Track::Stable, |policy| policy.track(version));
    }

    /// Whether it rests after failures.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.rest_until
    }

    /// Whether it lately refused a call of this urgency, or a more urgent one, for want of room.
    pub fn is_full(&self, urgency: Urgency, now: Millis) -> bool {
        self.refusal.is_some_and(|refusal| now < refusal.until && urgency >= refusal.urgency)
    }

    /// When it may have room for a call like the one it refused, as it told; `None` if that is
    /// over, or it refused none.
    pub fn room_at(&self, now: Millis) -> Option<Millis> {
        let slot = self.refusal.map(|refusal| refusal.room_at);
        let rooms = slot.into_iter().chain([self.link.room_at()]);
        rooms.filter(|at| *at > now).min()
    }

    /// Most calls it works on at once.
    pub fn limit(&self) -> u32 {
        let told = self.figures.map(|figures| figures.reply.limit);
        let slots = self.record.instance.as_ref().map_or(1, |instance| instance.slots);
        told.unwrap_or(slots).max(1)
    }

    /// Calls with it, its own figures corrected by what was sent since.
    pub fn load(&self, now: Millis) -> f64 {
        let others = self.load_seen.map_or(0.0, |seen| seen.others * seen.belief(now));
        f64::from(self.outstanding) + others
    }

    /// Slots that are free for all this node knows; `None` unless it told its load of late. One that
    /// refused a call a moment ago has none, whatever it told.
    pub fn free_slots(&self, now: Millis) -> Option<f64> {
        let told = self.load_told_at.is_some_and(|at| now < at + LOAD_FRESH_MS);
        let refused = self.refusal.is_some_and(|refusal| now < refusal.until);
        let free = (f64::from(self.limit()) - self.load(now)).max(0.0);
        told.then_some(if refused { 0.0 } else { free })
    }

    /// How long work takes there now, relative to what is usual at its service: as the sidecar beside it
    /// tells, which sees all of its runs, else as this node learned.
    pub fn pace(&self, now: Millis) -> f64 {
        if let Some(told) = self.told_pace.filter(|told| now < told.at + PACE_FRESH_MS) {
            return told.pace;
        }
        if !self.is_learned(now) && self.outstanding == 0 {
            return UNTRIED_PACE;
        }
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        self.learned_pace * cold
    }

    /// Whether this node learned its speed of late. One whose first call took long would never be given
    /// another while a quicker one is idle, and the sidecar beside it tells nothing before some runs.
    fn is_learned(&self, now: Millis) -> bool {
        self.timed_at.is_some_and(|at| now < at + LEARNED_MS)
    }

    fn note_pace(&mut self, percent: u32, now: Millis) {
        if percent > 0 {
            let pace = (f64::from(percent) / 100.0).clamp(FASTEST, SLOWEST);
            self.told_pace = Some(ToldPace { pace, at: now });
        }
    }

    /// Takes in how busy it was a moment ago, as the sidecar beside it told through coordinators.
    pub fn note_load(&mut self, load: UpstreamLoad, now: Millis) {
        self.load_told_at = Some(now);
        self.link.tell(f64::from(load.egress_wait_ms), now);
        let newer = |seen: LoadSeen| seen.answered && now < seen.at + ANSWER_FIRST_MS;
        if !self.load_seen.is_some_and(newer) {
            self.see_load(load.total_calls(), f64::from(load.service_ms), false, now);
            self.note_pace(u32::from(load.pace_percent), now);
        }
    }

    fn see_load(&mut self, all: u32, service_ms: f64, answered: bool, now: Millis) {
        let others = f64::from(all.saturating_sub(self.outstanding));
        self.load_seen = Some(LoadSeen { others, service_ms, at: now, answered });
    }

    /// What a call sent now would take here; `usual_ms` is what it takes at an upstream of average
    /// speed.
    pub(crate) fn expected(&self, usual_ms: f64, now: Millis) -> Expected {
        let work_ms = usual_ms * self.pace(now);
        let limit = f64::from(self.limit());
        let ahead = self.load(now) - limit + 1.0;
        let told = self.load_seen.map(|seen| seen.service_ms);
        let each = told.filter(|told| *told > 0.0).unwrap_or(work_ms);
        let wait_ms = if ahead > 0.0 { ahead * each / limit } else { 0.0 };
        let full = 1.0 / (1.0 + (-ahead / LOAD_ERROR_SLOTS).exp());
        Expected { wait_ms, work_ms, full }
    }

    /// Notes that a call was given up after it had waited for so much longer than usual,
    /// milliseconds.
    pub fn note_unanswered(&mut self, beyond_ms: f64, now: Millis) {
        let held = self.silence_ms(now);
        self.silence = Silence { ms: held.max(beyond_ms), at: now };
    }

    /// How much longer than usual an answer may take, as calls that were given up tell; an old word
    /// weighs less, so that it is tried again.
    pub fn silence_ms(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.silence.at) as f64;
        self.silence.ms * 0.5_f64.powf(age / SILENCE_HALF_LIFE_MS)
    }

    /// Part of its machine's link that is in use, as it told, 0 to 1.
    pub fn link_in_use(&self, now: Millis) -> f64 {
        let Some(figures) = self.figures else {
            return 0.0;
        };
        f64::from(figures.reply.link_percent) / 100.0 * figures.belief(now)
    }

    /// What its machine's link brings of bodies, as it told, bytes a millisecond.
    fn transfer_bytes_per_ms(&self) -> Option<f64> {
        let told = self.figures.map(|figures| figures.reply.transfer_bytes_per_ms);
        told.filter(|rate| *rate > 0).map(f64::from)
    }

    /// Whether a body of this length is offered to it, over a link of this node that carries
    /// `own_bytes_per_ms`: the slower of the two links decides.
    pub fn is_offered(&self, body_bytes: usize, own_bytes_per_ms: Option<f64>) -> bool {
        let rates = own_bytes_per_ms.into_iter().chain(self.transfer_bytes_per_ms());
        body_bytes > max_unoffered_bytes(rates.reduce(f64::min))
    }

    /// Time that an offered body of this length takes over its machine's link, the wait for the
    /// link included, milliseconds; 0 if nothing is known of that link.
    pub fn transfer_ms(&self, body_bytes: usize, now: Millis) -> f64 {
        let (Some(figures), Some(rate)) = (self.figures, self.transfer_bytes_per_ms()) else {
            return 0.0;
        };
        let wait_ms = f64::from(figures.reply.transfer_wait_ms) * figures.belief(now);
        wait_ms + body_bytes as f64 / rate
    }

    /// Share of its recent calls that it failed, as it told, 0 to 1; an old word weighs less, so
    /// that it is tried again.
    pub fn failing(&self, now: Millis) -> f64 {
        let Some(figures) = self.figures else {
            return 0.0;
        };
        let age = now.saturating_sub(figures.at) as f64;
        let told = f64::from(figures.reply.failing_percent) / 100.0;
        told * 0.5_f64.powf(age / FAILING_HALF_LIFE_MS)
    }

    /// Takes in what it said with an answer.
    pub fn note_reply(&mut self, reply: HopReply, now: Millis) {
        self.figures = Some(Figures { reply, at: now });
        let service_ms = f64::from(reply.service_ms);
        self.see_load(reply.running + reply.queued, service_ms, true, now);
        self.link.tell(f64::from(reply.egress_wait_ms), now);
        self.link.set_speed(f64::from(reply.egress_bytes_per_ms));
        self.note_pace(reply.pace_percent, now);
        self.silence = Silence::default();
        self.answered_at = Some(now);
    }

    /// Notes the time a call spent with it, where `usual_ms` is usual.
    pub fn note_latency(&mut self, spent_ms: f64, usual_ms: f64, now: Millis) {
        if usual_ms <= 0.0 {
            return;
        }
        let seen = (spent_ms / usual_ms).clamp(FASTEST, SLOWEST);
        if !self.is_learned(now) {
            self.learned_pace = 1.0;
        }
        self.timed_at = Some(now);
        self.learned_pace += (seen - self.learned_pace) * SPEED_WEIGHT;
    }

    /// Notes an answer: it can be reached.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.rest_until = 0;
    }

    /// Notes that it refused a call of this urgency for want of room.
    pub fn note_full(&mut self, urgency: Urgency, retry_after_ms: u64, now: Millis) {
        let until = now + retry_after_ms.min(LONGEST_REFUSAL_MS);
        self.refusal = Some(Refusal { urgency, until, room_at: now + retry_after_ms });
    }

    /// Notes that it refused a call since its answer would have waited too long for the link.
    pub fn note_link_full(&mut self, retry_after_ms: u64, now: Millis) {
        self.link.note_full(retry_after_ms, now);
    }

    /// Whether it lately refused a large answer for want of room on its machine's link.
    pub fn is_link_full(&self, now: Millis) -> bool {
        self.link.is_full(now)
    }

    /// Notes that it was asked for an answer of this length.
    pub fn note_asked(&mut self, answer_bytes: f64) {
        self.link.note_asked(answer_bytes);
    }

    /// Time that an answer of this length takes over its machine's link after a run of `work_ms`,
    /// the wait for the link included, milliseconds; 0 if nothing is known of that link.
    pub(crate) fn answer_ms(&self, answer_bytes: f64, work_ms: f64, now: Millis) -> f64 {
        self.link.answer_ms(answer_bytes, work_ms, now)
    }

    /// Notes a failure; it rests for a growing time.
    pub fn note_failure(&mut self, now: Millis) {
        let rest = (FIRST_REST_MS << self.failures.min(6)).min(LONGEST_REST_MS);
        self.failures += 1;
        self.answered_at = None;
        self.rest_until = now + rest;
    }
}
