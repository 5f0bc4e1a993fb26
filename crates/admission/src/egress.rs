//! Admission by outgoing bandwidth: checks whether the response of a call can be sent in time.
//!
//! A call with a large response uses a share of the link as well as a slot. If the link is ignored,
//! the call is processed in vain when its response queues behind others until its caller has given
//! up. So each admitted call reserves the response size that is typical of its class, and a call whose
//! response would wait longer than its caller's patience is refused at once.
//!
//! This covers downloads of tens of kilobytes that exceed the capacity of the link while slots are
//! idle.

use crate::pacer::max_small_bytes;
use crate::queue::JobId;
use crate::Millis;
use std::collections::BTreeMap;

/// Weight of a new response in the averages of its class: they cover about the last twenty responses.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum number of classes with averages; calls of further classes count as small. No known fleet
/// has that many combinations of rank and target latency.
const MAX_CLASSES: usize = 256;
const MIN_RETRY_MS: u64 = 50;
/// Longest retry delay that is returned, milliseconds. With a link rate configured far too low, or
/// after one extremely long response, a longer estimate would be meaningless.
const MAX_RETRY_MS: f64 = 10_000.0;
/// Half-life of the refused bytes, milliseconds; the same as for slots.
const REFUSALS_HALF_LIFE_MS: f64 = 700.0;

/// Traffic class of a call. Classes are ordered by priority; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EgressClass {
    /// Rank of the route.
    pub rank: u32,
    /// Target latency of the route, milliseconds.
    pub target_ms: u64,
}

/// Moving averages of a traffic class.
#[derive(Clone, Copy, Debug)]
struct ClassAverages {
    response_bytes: f64,
    run_ms: f64,
}

/// Current state of the outgoing link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Rate available to large responses, bytes per millisecond; `None` if it is not known.
    pub bytes_per_ms: Option<f64>,
    /// Bytes that wait for the link.
    pub waiting_bytes: usize,
}

/// How long the caller of a call is willing to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EgressTimeLimits {
    /// Longest useful wait before the response is sent, milliseconds.
    pub patience_ms: u64,
    /// Time left until nobody waits for the response, milliseconds.
    pub deadline_ms: u64,
}

/// Link capacity reserved for the responses of running calls.
#[derive(Clone, Debug, Default)]
pub struct EgressReservations {
    link: LinkState,
    averages: BTreeMap<EgressClass, ClassAverages>,
    reserved: BTreeMap<JobId, (EgressClass, f64)>,
    /// Recently refused bytes that are expected to be requested again.
    refused_bytes: f64,
    refused_at: Millis,
}

impl EgressReservations {
    /// Updates the state of the link.
    pub fn set_link_state(&mut self, link: LinkState) {
        self.link = link;
    }

    /// Returns the rate available to large responses, bytes per millisecond; 0 if it is not known.
    pub fn bytes_per_ms(&self) -> f64 {
        self.link.bytes_per_ms.unwrap_or(0.0)
    }

    /// Returns the averages of a class and the link rate if responses of this class are large enough to
    /// be reserved.
    fn reservable(&self, class: EgressClass) -> Option<(ClassAverages, f64)> {
        let rate = self.link.bytes_per_ms.filter(|rate| *rate > 0.0)?;
        let averages = self.averages.get(&class)?;
        (averages.response_bytes > max_small_bytes(rate) as f64).then_some((*averages, rate))
    }

    /// Checks whether the response of a call would be sent in time. The error is the time after which
    /// there may be room, milliseconds.
    pub fn check_room(
        &mut self,
        class: EgressClass,
        limits: EgressTimeLimits,
        now: Millis,
    ) -> Result<(), u64> {
        let Some((averages, rate)) = self.reservable(class) else {
            return Ok(());
        };
        let ahead = self.bytes_ahead(class);
        // Responses ahead are sent while the call runs.
        let wait_ms = (ahead / rate - averages.run_ms).max(0.0);
        let total_ms = averages.run_ms + wait_ms + averages.response_bytes / rate;
        let excess_ms =
            (wait_ms - limits.patience_ms as f64).max(total_ms - limits.deadline_ms as f64);
        // With nothing ahead the call is admitted whatever its average size: the average can only be
        // corrected by new responses.
        if excess_ms <= 0.0 || wait_ms <= 0.0 {
            return Ok(());
        }
        let retrying_ms = self.refused_bytes * self.refusal_decay(now) / rate;
        self.refused_bytes = self.refused_bytes * self.refusal_decay(now) + averages.response_bytes;
        self.refused_at = now;
        let retry_ms = (excess_ms + retrying_ms).min(MAX_RETRY_MS) as u64;
        Err(retry_ms.max(MIN_RETRY_MS))
    }

    fn refusal_decay(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.refused_at) as f64;
        0.5_f64.powf(age / REFUSALS_HALF_LIFE_MS)
    }

    /// Returns the bytes that would be sent before a response of this class.
    fn bytes_ahead(&self, class: EgressClass) -> f64 {
        let ahead = self.reserved.values().filter(|(other, _)| *other <= class);
        let reserved: f64 = ahead.map(|(_, bytes)| bytes).sum();
        reserved + self.link.waiting_bytes as f64
    }

    /// Returns how long a large response of the lowest priority would wait for the link, milliseconds;
    /// 0 if the link rate is not known.
    pub fn wait_ms(&self) -> u64 {
        let Some(rate) = self.link.bytes_per_ms.filter(|rate| *rate > 0.0) else {
            return 0;
        };
        let reserved: f64 = self.reserved.values().map(|(_, bytes)| bytes).sum();
        ((reserved + self.link.waiting_bytes as f64) / rate) as u64
    }

    /// Reserves the link for the response of an admitted call.
    pub fn reserve(&mut self, job: JobId, class: EgressClass) {
        if let Some((averages, _)) = self.reservable(class) {
            self.reserved.insert(job, (class, averages.response_bytes));
        }
    }

    /// Releases the reservation of a call that has ended.
    pub fn release(&mut self, job: JobId) {
        self.reserved.remove(&job);
    }

    /// Records that a response was queued for the link.
    pub fn note_sent(&mut self, bytes: usize) {
        // Counted here until the next update of the link state.
        self.link.waiting_bytes = self.link.waiting_bytes.saturating_add(bytes);
    }

    /// Records the size of a response and how long its call ran, milliseconds.
    pub fn note_answer(&mut self, class: EgressClass, bytes: usize, run_ms: u64) {
        let (bytes, run_ms) = (bytes as f64, run_ms as f64);
        if let Some(averages) = self.averages.get_mut(&class) {
            averages.response_bytes += (bytes - averages.response_bytes) * SAMPLE_WEIGHT;
            averages.run_ms += (run_ms - averages.run_ms) * SAMPLE_WEIGHT;
        } else if self.averages.len() < MAX_CLASSES {
            self.averages.insert(class, ClassAverages { response_bytes: bytes, run_ms });
        }
    }
}
