//! Slots and the short queue in front of them.

use crate::shares::{TenantKey, TenantShares};
use crate::{ColdRate, ColdStart, Millis};
use std::collections::BTreeMap;

/// Names a call at this upstream.
pub type JobId = u64;

/// Weight of one more call for how long calls hold a slot. The first ones weigh more, as an average
/// does: upstreams that all start at once are slow, and a queue judged by the guess below is let grow
/// to some times of what is in time.
const SERVICE_WEIGHT: f64 = 0.05;
const INITIAL_SERVICE_MS: f64 = 100.0;
const SHORTEST_RETRY_MS: u64 = 50;
/// Time in which the memory of refusals loses half of its weight, milliseconds: about as long as
/// those refused stay away.
const REFUSALS_HALF_LIFE_MS: f64 = 700.0;

/// What is known of a call that wants a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Its id.
    pub job: JobId,
    /// Whether a run that holds a slot elsewhere waits for it. It goes before all new work, whatever
    /// its rank: refused or late, it wastes that slot as well.
    pub begun: bool,
    /// Order among those waiting; 0 goes first.
    pub rank: u32,
    /// Its tenant; those of one rank take turns.
    pub tenant: Option<TenantKey>,
    /// Target latency of its kind, milliseconds; of one turn, the shorter goes first. Where ids do
    /// not tell which calls are begun work, those that others wait for mostly have the shortest.
    pub target_ms: u64,
    /// Longest useful wait, milliseconds.
    pub patience_ms: u64,
    /// When its caller stops waiting for the answer.
    pub deadline: Millis,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Give it to the upstream now.
    Run,
    /// It waits.
    Wait,
    /// It is not run; there may be room after this time, milliseconds.
    Refuse {
        /// When to come back.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: JobId,
    tenant: Option<TenantKey>,
    latest_start: Millis,
}

/// Place in the queue: begun work before new, then by rank, tenants' turn, target latency and
/// arrival.
type Place = (bool, u32, u64, u64, u64);

/// Slots of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    waiting: BTreeMap<Place, Waiting>,
    shares: TenantShares,
    cold_start: ColdStart,
    arrivals: u64,
    service_ms: f64,
    /// Calls that told how long they held a slot, while they are few.
    told: u32,
    /// Calls refused of late that will come back.
    refused: f64,
    refused_at: Millis,
}

impl Admission {
    /// An idle upstream that is given `limit` calls at once.
    pub fn new(limit: u32) -> Self {
        Admission {
            limit: limit.max(1),
            running: 0,
            waiting: BTreeMap::new(),
            shares: TenantShares::default(),
            cold_start: ColdStart::default(),
            arrivals: 0,
            service_ms: INITIAL_SERVICE_MS,
            told: 0,
            refused: 0.0,
            refused_at: 0,
        }
    }

    /// Changes the number of calls at once.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Takes in what cold upstreams of the service bear.
    pub fn set_cold_rate(&mut self, rate: Option<ColdRate>, now: Millis) {
        self.cold_start.set_rate(rate, now);
    }

    /// Takes in until when the upstream is cold.
    pub fn set_cold_until(&mut self, until: Millis) {
        self.cold_start.set_until(until);
    }

    /// Takes in that another incarnation is there.
    pub fn restarted(&mut self, now: Millis) {
        self.cold_start.restarted(now);
    }

    /// Whether a call that comes now need not wait.
    fn is_free(&self, now: Millis) -> bool {
        let has_slot = self.running < self.limit && self.waiting.is_empty();
        has_slot && self.cold_start.next_at(now) <= now
    }

    /// Whether a slot is free, and only what a cold upstream bears keeps calls from it.
    pub fn is_throttled_by_cold_start(&self, now: Millis) -> bool {
        self.running < self.limit && self.cold_start.next_at(now) > now
    }

    /// Most calls at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Calls the upstream has.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls that wait.
    pub fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Recent time that a call occupies a slot, milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Decides on a new call.
    pub fn submit(&mut self, ticket: SlotRequest, now: Millis) -> Decision {
        if self.is_free(now) {
            self.running += 1;
            self.cold_start.note_start(now);
            let turn = self.shares.turn(ticket.rank, ticket.tenant);
            self.shares.taken(ticket.rank, ticket.tenant, turn);
            self.shares.started(ticket.rank, turn);
            return Decision::Run;
        }
        if let Err(retry_after_ms) = self.check_room(ticket, now) {
            return Decision::Refuse { retry_after_ms };
        }
        let latest_start = ticket.deadline.min(now + ticket.patience_ms);
        let place = self.place(ticket);
        self.arrivals += 1;
        let SlotRequest { job, rank, tenant, .. } = ticket;
        self.shares.taken(rank, tenant, place.2);
        self.waiting.insert(place, Waiting { job, tenant, latest_start });
        Decision::Wait
    }

    /// Whether a call would be taken in now; if not, when there may be room, milliseconds.
    pub fn check_room(&mut self, ticket: SlotRequest, now: Millis) -> Result<(), u64> {
        if self.is_free(now) {
            return Ok(());
        }
        let ahead = self.waiting.range(..self.place(ticket)).count();
        if self.wait_behind(ahead, now) <= ticket.patience_ms {
            return Ok(());
        }
        let retry_after_ms = self.retry_after_ms(ticket.patience_ms, now);
        self.note_refusal(now);
        Err(retry_after_ms)
    }

    fn place(&self, ticket: SlotRequest) -> Place {
        let turn = self.shares.turn(ticket.rank, ticket.tenant);
        (!ticket.begun, ticket.rank, turn, ticket.target_ms, self.arrivals)
    }

    /// Expected wait of a call with this many in front of it, milliseconds: for a slot, and while the
    /// upstream is cold for its room a second.
    fn wait_behind(&self, ahead: usize, now: Millis) -> u64 {
        let turns = (ahead + 1) as f64 / f64::from(self.limit);
        let until_slot = (turns * self.service_ms) as u64;
        until_slot.max(self.cold_start.room_at(ahead, now) - now)
    }

    /// When a call of this patience would be let in, by the rate at which slots become free:
    /// behind those that wait, and behind those that were refused before it and come back.
    pub fn retry_after_ms(&self, patience_ms: u64, now: Millis) -> u64 {
        let returning = self.refused * self.refusals_kept(now);
        let all = self.wait_behind(self.waiting.len() + returning as usize, now);
        all.saturating_sub(patience_ms).max(SHORTEST_RETRY_MS)
    }

    fn refusals_kept(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.refused_at) as f64;
        0.5_f64.powf(age / REFUSALS_HALF_LIFE_MS)
    }

    fn note_refusal(&mut self, now: Millis) {
        self.refused = self.refused * self.refusals_kept(now) + 1.0;
        self.refused_at = now;
    }

    /// Takes back the slot of a call; `occupied_ms` is how long it had it, if that tells anything.
    pub fn release(&mut self, occupied_ms: Option<u64>) {
        self.running = self.running.saturating_sub(1);
        if let Some(occupied) = occupied_ms {
            self.told = self.told.saturating_add(1);
            let weight = SERVICE_WEIGHT.max(1.0 / f64::from(self.told));
            self.service_ms += (occupied as f64 - self.service_ms) * weight;
        }
    }

    /// The next call to run, if a slot is free and the upstream bears it; its slot is taken.
    pub fn start_next(&mut self, now: Millis) -> Option<JobId> {
        if self.running >= self.limit || self.cold_start.next_at(now) > now {
            return None;
        }
        let ((_, rank, turn, ..), waiting) = self.waiting.pop_first()?;
        self.shares.started(rank, turn);
        self.cold_start.note_start(now);
        self.running += 1;
        Some(waiting.job)
    }

    /// Removes a call that waits; false if it does not.
    pub fn cancel(&mut self, job: JobId) -> bool {
        !self.take_out(|waiting| waiting.job == job).is_empty()
    }

    /// Removes the calls that waited as long as they would.
    pub fn expire(&mut self, now: Millis) -> Vec<JobId> {
        self.take_out(|waiting| waiting.latest_start <= now)
    }

    fn take_out(&mut self, goes: impl Fn(&Waiting) -> bool) -> Vec<JobId> {
        let mut jobs = Vec::new();
        let shares = &mut self.shares;
        self.waiting.retain(|(_, rank, ..), waiting| {
            if !goes(waiting) {
                return true;
            }
            shares.given_up(*rank, waiting.tenant);
            jobs.push(waiting.job);
            false
        });
        jobs
    }

    /// Removes every call that waits.
    pub fn clear(&mut self) -> Vec<JobId> {
        self.take_out(|_| true)
    }

    /// When the next waiting call may start though no slot is given back; `None` if it waits for a slot.
    pub fn next_start(&self, now: Millis) -> Option<Millis> {
        let waits = !self.waiting.is_empty() && self.running < self.limit;
        waits.then(|| self.cold_start.next_at(now))
    }

    /// When the next waiting call expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.waiting.values().map(|waiting| waiting.latest_start).min()
    }
}
