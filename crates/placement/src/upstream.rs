//! State of one upstream as this node knows it.

use crate::cold_limit::ColdLimit;
use crate::egress_seen::EgressEstimate;
use crate::stated_limit::StatedLimit;
use crate::Millis;
use mesh::{
    max_unoffered_bytes, CallRate, HopReply, Incarnation, InstanceState, NodeAddress, NodeRecord,
    Track, UpstreamLoad, VersionPolicy,
};
use statements::Statements;

/// Identifies an upstream by the address of its sidecar.
pub type UpstreamKey = NodeAddress;

/// Age at which the figures of an upstream's reply no longer count, milliseconds.
pub(crate) const REPLY_MAX_AGE_MS: u64 = 1_000;
/// How long a load reported through coordinators counts in full, and the time it then takes to
/// decay to zero, milliseconds. An unchanged load is reported about once a second.
const LOAD_FRESH_MS: u64 = 1_200;
const LOAD_DECAY_MS: u64 = 1_000;
/// For this time after a reply, its load is not replaced by one from coordinators, which is older,
/// milliseconds.
const REPLY_PRECEDENCE_MS: u64 = 300;
/// Initial and maximum backoff after failures, milliseconds.
const MIN_BACKOFF_MS: u64 = 300;
const MAX_BACKOFF_MS: u64 = 3_000;
/// Maximum time for which a refusal stays in effect, milliseconds, since the queue keeps moving.
pub(crate) const MAX_REFUSAL_MS: u64 = 150;
/// Time in which a reported failure rate loses half of its weight, milliseconds.
const FAILURE_RATE_HALF_LIFE_MS: f64 = 2_500.0;
/// Time in which the delay of unanswered calls loses half of its weight, milliseconds.
const UNANSWERED_HALF_LIFE_MS: f64 = 1_500.0;
/// Weight of a new sample in the learned pace.
const PACE_WEIGHT: f64 = 0.08;
/// How long a reply proves that an upstream is reachable although no coordinator lists it,
/// milliseconds.
const REACHABLE_MS: u64 = 5_000;
/// Typical error of a reported load when a call arrives, slots: about four requests start or end
/// between two reports at an upstream of a dozen slots, and the error is the square root of that.
const LOAD_ERROR_SLOTS: f64 = 2.0;
/// Pace assumed for an upstream without samples, cold or not: that of a fast one. With an average
/// pace it would get no calls while fast upstreams are idle, so its pace would never be learned.
/// Applies only while this node has no call in flight to it, so that each sender has one call there
/// until samples exist.
const UNKNOWN_PACE: f64 = 0.5;
/// How long a learned pace is used without new samples or reports, milliseconds: a slow upstream
/// costs each sender without reports one slow call per period.
const LEARNED_PACE_TTL_MS: u64 = 10_000;
/// How long a reported pace is used, milliseconds: it is reported every 0.8 s, and one report in
/// three may be lost.
const REPORTED_PACE_TTL_MS: u64 = 2_400;
const MAX_PACE: f64 = 30.0;
const MIN_PACE: f64 = 0.1;
/// Assumed slowdown of an upstream that has just started.
const COLD_FACTOR: f64 = 1.8;

/// State of one upstream as this node knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Latest record from the coordinators.
    pub record: NodeRecord,
    /// This node's calls in flight to it.
    pub outstanding: u32,
    /// Which calls its version may receive.
    pub track: Track,
    /// Service time relative to the average of its service, learned from this node's own calls;
    /// above 1 is slower. A pace reported by the upstream's sidecar takes precedence, see
    /// [`Upstream::pace`].
    pub learned_pace: f64,
    reported_pace: Option<ReportedPace>,
    /// When `learned_pace` was last updated.
    pace_learned_at: Option<Millis>,
    cold: ColdLimit,
    stated_limit: StatedLimit,
    /// Whether an answer to this node stated that it is leaving.
    leaving: bool,
    last_reply: Option<LastReply>,
    load_sample: Option<LoadSample>,
    /// When coordinators last reported its load.
    load_reported_at: Option<Millis>,
    backoff_until: Millis,
    failures: u32,
    refusal: Option<Refusal>,
    listed: bool,
    /// Whether its zone is evacuated.
    evacuated: bool,
    replied_at: Option<Millis>,
    unanswered: UnansweredDelay,
    egress: EgressEstimate,
}

/// Priority of a call in an upstream's queue; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority rank of its route.
    pub rank: u32,
    /// Target latency of its route, milliseconds.
    pub target_ms: u64,
}

impl Urgency {
    /// Urgency of calls made by a request that holds a slot: ahead of all new work.
    pub const IN_PROGRESS: Self = Self { rank: 0, target_ms: 0 };
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    urgency: Urgency,
    /// When the refusal expires.
    until: Millis,
    /// When the call may be retried, as stated by the upstream.
    retry_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct LastReply {
    reply: HopReply,
    at: Millis,
}

impl LastReply {
    /// Weight by age, 0 to 1.
    fn age_weight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        1.0 - (age as f64 / REPLY_MAX_AGE_MS as f64).min(1.0)
    }
}

/// Load of an upstream at some time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    /// Calls of other nodes at the upstream.
    others: f64,
    /// Average time that its calls occupied a slot, milliseconds; 0 if it had none.
    service_ms: f64,
    at: Millis,
    /// Whether it came with a reply; otherwise coordinators reported it.
    from_reply: bool,
}

impl LoadSample {
    /// Weight by age, 0 to 1. A load from coordinators counts in full at first, since the next
    /// report follows soon; a reply may not be followed by another.
    fn age_weight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        let (fresh_ms, decay_ms) = match self.from_reply {
            true => (0, REPLY_MAX_AGE_MS),
            false => (LOAD_FRESH_MS, LOAD_DECAY_MS),
        };
        let stale_ms = age.saturating_sub(fresh_ms);
        1.0 - (stale_ms as f64 / decay_ms as f64).min(1.0)
    }
}

/// Pace reported by the upstream's sidecar.
#[derive(Clone, Copy, Debug)]
struct ReportedPace {
    pace: f64,
    at: Millis,
}

/// Expected latency of a call at an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedLatency {
    /// Wait for a slot, milliseconds.
    pub wait_ms: f64,
    /// Average time from then until the answer, milliseconds.
    pub work_ms: f64,
    /// Probability that no slot is free when the call arrives, 0 to 1.
    pub no_slot_probability: f64,
}

/// Longest wait in excess of the expected latency among calls that got no answer; decays with age.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredDelay {
    ms: f64,
    at: Millis,
}

impl Upstream {
    /// Creates the state of an upstream that was not known before.
    pub fn new(record: NodeRecord, now: Millis) -> Self {
        let mut upstream = Upstream {
            record: record.clone(),
            outstanding: 0,
            track: Track::Stable,
            learned_pace: 1.0,
            reported_pace: None,
            pace_learned_at: None,
            cold: ColdLimit::default(),
            stated_limit: StatedLimit::default(),
            leaving: false,
            last_reply: None,
            load_sample: None,
            load_reported_at: None,
            backoff_until: 0,
            failures: 0,
            refusal: None,
            listed: true,
            evacuated: false,
            replied_at: None,
            unanswered: UnansweredDelay::default(),
            egress: EgressEstimate::default(),
        };
        upstream.update(record, now);
        upstream
    }

    /// Applies a record from the coordinators. A new process or instance resets what depends on the
    /// former.
    pub fn update(&mut self, record: NodeRecord, now: Millis) {
        let incarnation =
            |record: &NodeRecord| record.instance.as_ref().map(mesh::InstanceRecord::incarnation);
        let other_instance = incarnation(&self.record) != incarnation(&record);
        if other_instance || self.record.boot_id != record.boot_id {
            self.backoff_until = 0;
            self.failures = 0;
            self.refusal = None;
            self.last_reply = None;
            self.load_sample = None;
            self.load_reported_at = None;
            self.unanswered = UnansweredDelay::default();
        }
        if other_instance {
            self.cold.restarted(now);
            self.learned_pace = 1.0;
            self.reported_pace = None;
            self.pace_learned_at = None;
        }
        if let Some(instance) = &record.instance {
            self.cold.report_remaining(u64::from(instance.cold_remaining_ms), now);
        }
        self.record = record;
        self.listed = true;
    }

    /// Sets whether its zone is evacuated. A restored upstream counts as cold until it reports.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool, now: Millis) {
        if self.evacuated && !evacuated {
            self.cold.assume_cold(now);
        }
        self.evacuated = evacuated;
    }

    /// Whether its zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Whether it still is slow after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold.is_cold(now)
    }

    /// This node's rate limit for it while it is cold.
    pub(crate) fn cold_limit(&self) -> &ColdLimit {
        &self.cold
    }

    /// Mutable access to that rate limit.
    pub(crate) fn cold_limit_mut(&mut self) -> &mut ColdLimit {
        &mut self.cold
    }

    /// Sets what its present incarnation has stated in answers to this node.
    pub(crate) fn set_statements(&mut self, statements: Statements, now: Millis) {
        self.stated_limit.set(statements.rate_limit, now);
        self.leaving = statements.leaving;
    }

    /// The rate limit that it states, with this node's share.
    pub(crate) fn stated_limit(&self) -> &StatedLimit {
        &self.stated_limit
    }

    /// Mutable access to that rate limit.
    pub(crate) fn stated_limit_mut(&mut self) -> &mut StatedLimit {
        &mut self.stated_limit
    }

    /// Rate of calls that it states to take from all nodes together.
    pub fn stated_rate(&self) -> Option<CallRate> {
        self.stated_limit.rate()
    }

    /// Its present incarnation.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.record.instance.as_ref().map(mesh::InstanceRecord::incarnation)
    }

    /// Sets whether a coordinator lists it.
    pub fn set_listed(&mut self, listed: bool) {
        self.listed = listed;
    }

    /// Whether it is presumed to exist: a coordinator lists it, or it replied to this node recently
    /// and may only have lost its connection to the coordinators.
    pub fn is_present(&self, now: Millis) -> bool {
        self.listed || self.replied_at.is_some_and(|at| now < at + REACHABLE_MS)
    }

    /// Whether it may receive calls at all.
    pub fn is_live(&self) -> bool {
        let ready = |state| state == InstanceState::Ready;
        let instance_ready = self.record.instance.as_ref().is_some_and(|held| ready(held.state));
        let reply_ready = self.last_reply.is_none_or(|last_reply| ready(last_reply.reply.state));
        let barred = self.track == Track::Barred || self.evacuated || self.leaving;
        instance_ready && reply_ready && !self.record.stopping && !barred
    }

    /// Whether its sidecar is stopping, and ends before a call with `left_ms` until its deadline.
    pub fn ends_within(&self, left_ms: u64, now: Millis) -> bool {
        let accepts = |last_reply: &LastReply| {
            let accepts_ms = last_reply.reply.accepts_ms?;
            Some((last_reply.at + u64::from(accepts_ms)).saturating_sub(now))
        };
        let accepts_ms = self.last_reply.as_ref().and_then(accepts);
        accepts_ms.is_some_and(|accepts_ms| left_ms > accepts_ms)
    }

    /// Whether it is live and runs a stable version rather than a canary.
    pub fn is_stable(&self) -> bool {
        self.track == Track::Stable && self.is_live()
    }

    /// Applies the policy on which versions of its service may receive calls.
    pub(crate) fn apply_policy(&mut self, policy: Option<&VersionPolicy>) {
        let version = self.record.instance.as_ref().map_or("", |instance| &instance.version);
        self.track = policy.map_or(Track::Stable, |policy| policy.track(version));
    }

    /// Whether it is in backoff after failures.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Whether it recently refused a call of this urgency, or a more urgent one, for lack of
    /// capacity.
    pub fn is_full(&self, urgency: Urgency, now: Millis) -> bool {
        self.refusal.is_some_and(|refusal| now < refusal.until && urgency >= refusal.urgency)
    }

    /// Earliest time at which a recently refused call may be retried, as the upstream reported;
    /// `None` if that time has passed or it refused no call.
    pub fn retry_at(&self, now: Millis) -> Option<Millis> {
        let slot = self.refusal.map(|refusal| refusal.retry_at);
        let times = slot.into_iter().chain([self.egress.retry_at()]);
        times.filter(|at| *at > now).min()
    }

    /// Maximum number of calls it executes at once, also by the rate that it states.
    pub fn limit(&self) -> u32 {
        let reported = self.last_reply.map(|last_reply| last_reply.reply.limit);
        let slots = self.record.instance.as_ref().map_or(1, |instance| instance.slots);
        let slots = reported.unwrap_or(slots);
        let service_ms = self.load_sample.map_or(0.0, |sample| sample.service_ms);
        let usable = self.stated_limit.usable_slots(service_ms);
        usable.map_or(slots, |usable| usable.min(slots)).max(1)
    }

    /// Estimated number of calls at the upstream: its last known load, corrected by this node's own
    /// calls.
    pub fn load(&self, now: Millis) -> f64 {
        let others = self.load_sample.map_or(0.0, |sample| sample.others * sample.age_weight(now));
        f64::from(self.outstanding) + others
    }

    /// Estimated number of free slots; `None` unless its load was reported recently. Zero while a
    /// refusal is in effect, whatever the reported load.
    pub fn free_slots(&self, now: Millis) -> Option<f64> {
        let is_reported = self.load_reported_at.is_some_and(|at| now < at + LOAD_FRESH_MS);
        let refused = self.refusal.is_some_and(|refusal| now < refusal.until);
        let free = (f64::from(self.limit()) - self.load(now)).max(0.0);
        is_reported.then_some(if refused { 0.0 } else { free })
    }

    /// Current service time relative to the average of its service. The pace reported by the
    /// upstream's sidecar, which observes all requests there, takes precedence over the one this
    /// node learned.
    pub fn pace(&self, now: Millis) -> f64 {
        if let Some(reported) =
            self.reported_pace.filter(|reported| now < reported.at + REPORTED_PACE_TTL_MS)
        {
            return reported.pace;
        }
        if !self.has_learned_pace(now) && self.outstanding == 0 {
            return UNKNOWN_PACE;
        }
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        self.learned_pace * cold
    }

    /// Whether the learned pace is recent. Without an expiry, an upstream whose first call was slow
    /// would never get another one while a faster one is idle, and its sidecar reports no pace
    /// before it has executed some requests.
    fn has_learned_pace(&self, now: Millis) -> bool {
        self.pace_learned_at.is_some_and(|at| now < at + LEARNED_PACE_TTL_MS)
    }

    fn note_pace(&mut self, percent: u32, now: Millis) {
        if percent > 0 {
            let pace = (f64::from(percent) / 100.0).clamp(MIN_PACE, MAX_PACE);
            self.reported_pace = Some(ReportedPace { pace, at: now });
        }
    }

    /// Records its load as its sidecar reported it through coordinators.
    pub fn note_load(&mut self, load: UpstreamLoad, now: Millis) {
        self.load_reported_at = Some(now);
        self.egress.report_wait(f64::from(load.egress_wait_ms), now);
        let has_newer_reply =
            |sample: LoadSample| sample.from_reply && now < sample.at + REPLY_PRECEDENCE_MS;
        if !self.load_sample.is_some_and(has_newer_reply) {
            self.set_load(load.total_calls(), f64::from(load.service_ms), false, now);
            self.note_pace(u32::from(load.service_time_percent), now);
        }
    }

    fn set_load(&mut self, total: u32, service_ms: f64, from_reply: bool, now: Millis) {
        let others = f64::from(total.saturating_sub(self.outstanding));
        self.load_sample = Some(LoadSample { others, service_ms, at: now, from_reply });
    }

    /// Expected latency of a call sent now; `usual_ms` is its latency at an upstream of average
    /// speed.
    pub(crate) fn expected(&self, usual_ms: f64, now: Millis) -> ExpectedLatency {
        let work_ms = usual_ms * self.pace(now);
        let limit = f64::from(self.limit());
        let ahead = self.load(now) - limit + 1.0;
        let reported_ms = self.load_sample.map(|sample| sample.service_ms);
        let per_call_ms = reported_ms.filter(|reported_ms| *reported_ms > 0.0).unwrap_or(work_ms);
        let wait_ms = if ahead > 0.0 { ahead * per_call_ms / limit } else { 0.0 };
        let no_slot_probability = 1.0 / (1.0 + (-ahead / LOAD_ERROR_SLOTS).exp());
        ExpectedLatency { wait_ms, work_ms, no_slot_probability }
    }

    /// Records that a call was given up without an answer after it had waited for `excess_ms`
    /// longer than expected.
    pub fn note_unanswered(&mut self, excess_ms: f64, now: Millis) {
        let held = self.unanswered_delay_ms(now);
        self.unanswered = UnansweredDelay { ms: held.max(excess_ms), at: now };
    }

    /// Extra latency to expect, derived from unanswered calls; it decays, so that the upstream is
    /// tried again.
    pub fn unanswered_delay_ms(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.unanswered.at) as f64;
        self.unanswered.ms * 0.5_f64.powf(age / UNANSWERED_HALF_LIFE_MS)
    }

    /// Reported utilization of its machine's link, 0 to 1.
    pub fn link_utilization(&self, now: Millis) -> f64 {
        let Some(last_reply) = self.last_reply else {
            return 0.0;
        };
        f64::from(last_reply.reply.link_percent) / 100.0 * last_reply.age_weight(now)
    }

    /// Reported throughput of its machine's link for request bodies, bytes per millisecond.
    fn transfer_bytes_per_ms(&self) -> Option<f64> {
        let reported = self.last_reply.map(|last_reply| last_reply.reply.transfer_bytes_per_ms);
        reported.filter(|rate| *rate > 0).map(f64::from)
    }

    /// Whether a body of this length must be offered to it before it is sent. The slower of the two
    /// links decides; `own_bytes_per_ms` is the speed of this node's.
    pub fn is_offered(&self, body_bytes: usize, own_bytes_per_ms: Option<f64>) -> bool {
        let rates = own_bytes_per_ms.into_iter().chain(self.transfer_bytes_per_ms());
        body_bytes > max_unoffered_bytes(rates.reduce(f64::min))
    }

    /// Time to transfer an offered body of this length over its machine's link, including the wait
    /// for the link, milliseconds; 0 if nothing is known of that link.
    pub fn transfer_ms(&self, body_bytes: usize, now: Millis) -> f64 {
        let (Some(last_reply), Some(rate)) = (self.last_reply, self.transfer_bytes_per_ms()) else {
            return 0.0;
        };
        let wait_ms = f64::from(last_reply.reply.transfer_wait_ms) * last_reply.age_weight(now);
        wait_ms + body_bytes as f64 / rate
    }

    /// Reported fraction of its recent calls that failed, 0 to 1; it decays, so that the upstream
    /// is tried again.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let Some(last_reply) = self.last_reply else {
            return 0.0;
        };
        let age = now.saturating_sub(last_reply.at) as f64;
        let reported = f64::from(last_reply.reply.failing_percent) / 100.0;
        reported * 0.5_f64.powf(age / FAILURE_RATE_HALF_LIFE_MS)
    }

    /// Records the state that came with a reply.
    pub fn note_reply(&mut self, reply: HopReply, now: Millis) {
        self.last_reply = Some(LastReply { reply, at: now });
        let service_ms = f64::from(reply.service_ms);
        self.set_load(reply.running + reply.queued, service_ms, true, now);
        self.egress.report_wait(f64::from(reply.egress_wait_ms), now);
        self.egress.set_throughput(f64::from(reply.egress_bytes_per_ms));
        self.note_pace(reply.service_time_percent, now);
        self.unanswered = UnansweredDelay::default();
        self.replied_at = Some(now);
    }

    /// Records the latency of a call whose expected latency at average speed is `usual_ms`.
    pub fn note_latency(&mut self, spent_ms: f64, usual_ms: f64, now: Millis) {
        if usual_ms <= 0.0 {
            return;
        }
        let sampled_pace = (spent_ms / usual_ms).clamp(MIN_PACE, MAX_PACE);
        if !self.has_learned_pace(now) {
            self.learned_pace = 1.0;
        }
        self.pace_learned_at = Some(now);
        self.learned_pace += (sampled_pace - self.learned_pace) * PACE_WEIGHT;
    }

    /// Records that it answered, which ends the backoff.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.backoff_until = 0;
    }

    /// Records that it refused a call of this urgency for lack of capacity.
    pub fn note_full(&mut self, urgency: Urgency, retry_after_ms: u64, now: Millis) {
        let until = now + retry_after_ms.min(MAX_REFUSAL_MS);
        self.refusal = Some(Refusal { urgency, until, retry_at: now + retry_after_ms });
    }

    /// Records that it refused a call because its response would have waited too long for the link.
    pub fn note_link_full(&mut self, retry_after_ms: u64, now: Millis) {
        self.egress.note_full(retry_after_ms, now);
    }

    /// Whether it recently refused a large response for lack of capacity on its machine's link.
    pub fn is_link_full(&self, now: Millis) -> bool {
        self.egress.is_full(now)
    }

    /// Records that a call was sent to it whose response has this expected length.
    pub fn note_requested(&mut self, answer_bytes: f64) {
        self.egress.note_requested(answer_bytes);
    }

    /// Time from the end of an execution of `work_ms` until a response of this length has been sent
    /// over its machine's link, including the wait for the link, milliseconds; 0 if nothing is
    /// known of that link.
    pub(crate) fn answer_ms(&self, answer_bytes: f64, work_ms: f64, now: Millis) -> f64 {
        self.egress.answer_ms(answer_bytes, work_ms, now)
    }

    /// Records a failure; the backoff grows with consecutive failures.
    pub fn note_failure(&mut self, now: Millis) {
        let backoff_ms = (MIN_BACKOFF_MS << self.failures.min(6)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.replied_at = None;
        self.backoff_until = now + backoff_ms;
    }
}
