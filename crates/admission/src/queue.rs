//! Concurrency slots of an upstream and the bounded queue in front of them.

use crate::shares::{TenantKey, TenantShares};
use crate::stated_limit::StatedLimit;
use crate::{ColdStart, Millis, RateLimit};
use mesh::CallRate;
use std::collections::BTreeMap;

/// Identifies a call at this upstream.
pub type JobId = u64;

/// Weight of a new sample in the moving average of slot occupancy. The first samples weigh more, as in
/// a plain average: upstreams are slow when they all start at once, and with the initial estimate
/// below the queue would grow to several times the length that can be served in time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;
const INITIAL_SERVICE_MS: f64 = 100.0;
const MIN_RETRY_MS: u64 = 50;
/// Half-life of the refusal count, milliseconds: about as long as refused callers wait before they
/// retry.
const REFUSALS_HALF_LIFE_MS: f64 = 700.0;

/// A call that requests a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Id of the call.
    pub job: JobId,
    /// Whether a call that occupies a slot at another upstream waits for this one. Such calls precede
    /// all new work, whatever their rank: refusing or delaying them also wastes the other slot.
    pub nested: bool,
    /// Priority rank among waiting calls; 0 is the highest.
    pub rank: u32,
    /// Tenant of the call; tenants of the same rank take turns.
    pub tenant: Option<TenantKey>,
    /// Target latency of the route, milliseconds; within a turn, the shorter one is served first.
    /// Where request ids do not show which calls are nested, the nested ones mostly have the
    /// shortest target.
    pub target_ms: u64,
    /// Longest useful wait in the queue, milliseconds.
    pub patience_ms: u64,
    /// Time at which the caller stops waiting for the response.
    pub deadline: Millis,
}

/// Outcome of submitting a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward it to the upstream now.
    Run,
    /// It is queued.
    Wait,
    /// It is rejected.
    Refuse {
        /// Time after which there may be room, milliseconds.
        retry_after_ms: u64,
    },
}

/// The rate limit that delays calls although a slot is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Throttling {
    /// The upstream is cold.
    ColdStart,
    /// The upstream states a limit.
    StatedLimit,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: JobId,
    tenant: Option<TenantKey>,
    latest_start: Millis,
}

/// Sort key in the queue: nested calls before new work, then by rank, the tenant's turn, target
/// latency and arrival.
type QueueKey = (bool, u32, u64, u64, u64);

/// Admission control for the slots of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    waiting: BTreeMap<QueueKey, Waiting>,
    shares: TenantShares,
    cold_start: ColdStart,
    stated_limit: StatedLimit,
    arrivals: u64,
    service_ms: f64,
    /// Number of occupancy samples so far; it only matters while it is small.
    samples: u32,
    /// Recently refused calls that are expected to retry.
    refused: f64,
    refused_at: Millis,
}

impl Admission {
    /// Creates the state of an idle upstream with `limit` slots.
    pub fn new(limit: u32) -> Self {
        Admission {
            limit: limit.max(1),
            running: 0,
            waiting: BTreeMap::new(),
            shares: TenantShares::default(),
            cold_start: ColdStart::default(),
            stated_limit: StatedLimit::default(),
            arrivals: 0,
            service_ms: INITIAL_SERVICE_MS,
            samples: 0,
            refused: 0.0,
            refused_at: 0,
        }
    }

    /// Sets the number of slots.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Sets the rate limit for cold upstreams of the service.
    pub fn set_cold_rate(&mut self, rate: Option<RateLimit>, now: Millis) {
        self.cold_start.set_rate(rate, now);
    }

    /// Sets the end of the cold phase.
    pub fn set_cold_until(&mut self, until: Millis) {
        self.cold_start.set_until(until);
    }

    /// Sets the rate limit that the upstream states.
    pub fn set_stated_rate(&mut self, rate: Option<CallRate>, now: Millis) {
        self.stated_limit.set(rate, now);
    }

    /// Records that another incarnation has taken over.
    pub fn restarted(&mut self, now: Millis) {
        self.cold_start.restarted(now);
    }

    /// Whether a call that arrives now can start without waiting.
    fn is_free(&self, now: Millis) -> bool {
        let has_slot = self.running < self.limit && self.waiting.is_empty();
        has_slot && self.rate_room_at(0, now) <= now
    }

    /// Returns when the rate limits admit a call with `ahead` calls in front of it.
    fn rate_room_at(&self, ahead: usize, now: Millis) -> Millis {
        let cold_room_at = self.cold_start.room_at(ahead, now);
        cold_room_at.max(self.stated_limit.room_at(ahead, now))
    }

    fn note_start(&mut self, now: Millis) {
        self.cold_start.note_start(now);
        self.stated_limit.note_start(now);
    }

    /// The rate limit that delays calls; `None` if there is none, or if no slot is free.
    pub fn throttling(&self, now: Millis) -> Option<Throttling> {
        if self.running >= self.limit || self.rate_room_at(0, now) <= now {
            return None;
        }
        Some(match self.stated_limit.is_set() {
            true => Throttling::StatedLimit,
            false => Throttling::ColdStart,
        })
    }

    /// Returns the number of slots.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of calls at the upstream.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting calls.
    pub fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the moving average of the time that a call occupies a slot, milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Starts, queues or refuses a new call.
    pub fn submit(&mut self, request: SlotRequest, now: Millis) -> Decision {
        if self.is_free(now) {
            self.running += 1;
            self.note_start(now);
            let turn = self.shares.turn(request.rank, request.tenant);
            self.shares.on_admitted(request.rank, request.tenant, turn);
            self.shares.on_started(request.rank, turn);
            return Decision::Run;
        }
        if let Err(retry_after_ms) = self.check_room(request, now) {
            return Decision::Refuse { retry_after_ms };
        }
        let latest_start = request.deadline.min(now + request.patience_ms);
        let key = self.key(request);
        self.arrivals += 1;
        let SlotRequest { job, rank, tenant, .. } = request;
        self.shares.on_admitted(rank, tenant, key.2);
        self.waiting.insert(key, Waiting { job, tenant, latest_start });
        Decision::Wait
    }

    /// Checks whether a call would be admitted now. The error is the time after which there may be room,
    /// milliseconds.
    pub fn check_room(&mut self, request: SlotRequest, now: Millis) -> Result<(), u64> {
        if self.is_free(now) {
            return Ok(());
        }
        let ahead = self.waiting.range(..self.key(request)).count();
        if self.wait_behind(ahead, now) <= request.patience_ms {
            return Ok(());
        }
        let retry_after_ms = self.retry_after_ms(request.patience_ms, now);
        self.note_refusal(now);
        Err(retry_after_ms)
    }

    fn key(&self, request: SlotRequest) -> QueueKey {
        let turn = self.shares.turn(request.rank, request.tenant);
        (!request.nested, request.rank, turn, request.target_ms, self.arrivals)
    }

    /// Returns the expected wait of a call with this many ahead of it, milliseconds. It covers the wait
    /// for a slot and for the rate limits.
    fn wait_behind(&self, ahead: usize, now: Millis) -> u64 {
        let turns = (ahead + 1) as f64 / f64::from(self.limit);
        let until_slot = (turns * self.service_ms) as u64;
        let until_room = self.rate_room_at(ahead, now) - now;
        // A call that is admitted at the very end of its patience has been taken out by then.
        until_slot.max(until_room + u64::from(until_room > 0))
    }

    /// Estimates after how long a call with this patience would be admitted, milliseconds, from the rate
    /// at which slots become free. Waiting calls and refused calls that will retry are counted as ahead
    /// of it.
    pub fn retry_after_ms(&self, patience_ms: u64, now: Millis) -> u64 {
        let retrying = self.refused * self.refusal_decay(now);
        let all = self.wait_behind(self.waiting.len() + retrying as usize, now);
        all.saturating_sub(patience_ms).max(MIN_RETRY_MS)
    }

    fn refusal_decay(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.refused_at) as f64;
        0.5_f64.powf(age / REFUSALS_HALF_LIFE_MS)
    }

    fn note_refusal(&mut self, now: Millis) {
        self.refused = self.refused * self.refusal_decay(now) + 1.0;
        self.refused_at = now;
    }

    /// Frees the slot of a call. `occupied_ms` is how long the call held it, or `None` if that is not a
    /// usable sample.
    pub fn release(&mut self, occupied_ms: Option<u64>) {
        self.running = self.running.saturating_sub(1);
        if let Some(occupied) = occupied_ms {
            self.samples = self.samples.saturating_add(1);
            let weight = SERVICE_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
            self.service_ms += (occupied as f64 - self.service_ms) * weight;
        }
    }

    /// Starts the next waiting call if a slot is free and the rate limits allow it.
    pub fn start_next(&mut self, now: Millis) -> Option<JobId> {
        if self.running >= self.limit || self.rate_room_at(0, now) > now {
            return None;
        }
        let ((_, rank, turn, ..), waiting) = self.waiting.pop_first()?;
        self.shares.on_started(rank, turn);
        self.note_start(now);
        self.running += 1;
        Some(waiting.job)
    }

    /// Removes a waiting call; returns `false` if it was not waiting.
    pub fn cancel(&mut self, job: JobId) -> bool {
        !self.remove_where(|waiting| waiting.job == job).is_empty()
    }

    /// Removes the calls whose maximum wait has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<JobId> {
        self.remove_where(|waiting| waiting.latest_start <= now)
    }

    /// Removes the calls that a stated limit does not admit before their maximum wait has passed:
    /// the limit was lowered, or calls that precede them have arrived since.
    pub fn drop_unservable(&mut self, now: Millis) -> Vec<JobId> {
        if !self.stated_limit.is_set() {
            return Vec::new();
        }
        let mut unservable = Vec::new();
        let mut ahead = 0;
        for waiting in self.waiting.values() {
            if self.rate_room_at(ahead, now) >= waiting.latest_start {
                unservable.push(waiting.job);
            } else {
                ahead += 1;
            }
        }
        self.remove_where(|waiting| unservable.contains(&waiting.job))
    }

    fn remove_where(&mut self, should_remove: impl Fn(&Waiting) -> bool) -> Vec<JobId> {
        let mut jobs = Vec::new();
        let shares = &mut self.shares;
        self.waiting.retain(|(_, rank, ..), waiting| {
            if !should_remove(waiting) {
                return true;
            }
            shares.on_abandoned(*rank, waiting.tenant);
            jobs.push(waiting.job);
            false
        });
        jobs
    }

    /// Removes all waiting calls.
    pub fn clear(&mut self) -> Vec<JobId> {
        self.remove_where(|_| true)
    }

    /// Returns when the next waiting call may start without a slot being freed; `None` if no call waits
    /// or all slots are taken.
    pub fn next_start(&self, now: Millis) -> Option<Millis> {
        let waits = !self.waiting.is_empty() && self.running < self.limit;
        waits.then(|| self.rate_room_at(0, now))
    }

    /// Returns when the next waiting call expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.waiting.values().map(|waiting| waiting.latest_start).min()
    }
}
