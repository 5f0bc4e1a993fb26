//! Whether the answer of a run can leave in time: the outgoing link as a resource beside slots.
//!
//! A run whose answer is large takes a part of the link as surely as it takes a slot. Begun without
//! a look at the link, it has run in vain if its answer stands behind others until nobody waits for
//! it. So a run books the bytes that its like answer with, and one whose answer would have to wait
//! longer than its caller's patience is refused at once.
//!
//! The load that it answers: downloads of tens of kilobytes that ask for more than the link
//! carries, while slots are idle.

use crate::pacer::most_small_bytes;
use crate::queue::JobId;
use crate::Millis;
use std::collections::BTreeMap;

/// Weight of a new answer in what is usual for its kind: that of the last twenty.
const WEIGHT: f64 = 0.05;
/// Kinds of calls remembered; further ones are taken to be small. Routes differ by rank and target
/// less than this in any fleet seen.
const MOST_KINDS: usize = 256;
const SHORTEST_RETRY_MS: u64 = 50;
/// Longest time to return that is told, milliseconds: a link that is told far too narrow, or one
/// endless answer, tells no more about later than this.
const LONGEST_RETRY_MS: f64 = 10_000.0;
/// Time in which the memory of refusals loses half of its weight, milliseconds: as for slots.
const REFUSALS_HALF_LIFE_MS: f64 = 700.0;

/// What tells kinds of calls apart, and their order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EgressClass {
    /// Rank of the route.
    pub rank: u32,
    /// Target latency of the route, milliseconds.
    pub target_ms: u64,
}

/// What is usual for a kind of calls.
#[derive(Clone, Copy, Debug)]
struct Usual {
    answer_bytes: f64,
    spent_ms: f64,
}

/// Room of the outgoing link now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// What it carries of large answers, bytes a millisecond; `None` if that is not known.
    pub bytes_per_ms: Option<f64>,
    /// Bytes that wait for it.
    pub waiting_bytes: usize,
}

/// How long the caller of a call waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EgressTimeLimits {
    /// Longest useful wait before the answer leaves, milliseconds.
    pub patience_ms: u64,
    /// Until nobody waits for the answer, milliseconds.
    pub deadline_ms: u64,
}

/// Answers of runs under way, against the link.
#[derive(Clone, Debug, Default)]
pub struct EgressReservations {
    room: LinkState,
    usual: BTreeMap<EgressClass, Usual>,
    booked: BTreeMap<JobId, (EgressClass, f64)>,
    /// Bytes refused of late that will be asked for again.
    refused_bytes: f64,
    refused_at: Millis,
}

impl EgressReservations {
    /// Takes in the room of the link.
    pub fn set_link_state(&mut self, room: LinkState) {
        self.room = room;
    }

    /// What the link carries of large answers, bytes a millisecond; 0 if that is not known.
    pub fn bytes_per_ms(&self) -> f64 {
        self.room.bytes_per_ms.unwrap_or(0.0)
    }

    /// Whether the answers of a kind are large enough to be booked.
    fn large(&self, kind: EgressClass) -> Option<(Usual, f64)> {
        let rate = self.room.bytes_per_ms.filter(|rate| *rate > 0.0)?;
        let usual = self.usual.get(&kind)?;
        (usual.answer_bytes > most_small_bytes(rate) as f64).then_some((*usual, rate))
    }

    /// Whether the answer of a call would leave in time; if not, when there may be room for it,
    /// milliseconds.
    pub fn check_room(
        &mut self,
        kind: EgressClass,
        time: EgressTimeLimits,
        now: Millis,
    ) -> Result<(), u64> {
        let Some((usual, rate)) = self.large(kind) else {
            return Ok(());
        };
        let ahead = self.bytes_ahead(kind);
        // What is ahead leaves while it runs.
        let wait_ms = (ahead / rate - usual.spent_ms).max(0.0);
        let whole_ms = usual.spent_ms + wait_ms + usual.answer_bytes / rate;
        let beyond_ms = (wait_ms - time.patience_ms as f64).max(whole_ms - time.deadline_ms as f64);
        // With nothing ahead it is tried, however long its like were: sizes are learned by answers.
        if beyond_ms <= 0.0 || wait_ms <= 0.0 {
            return Ok(());
        }
        let returning_ms = self.refused_bytes * self.refusals_kept(now) / rate;
        self.refused_bytes = self.refused_bytes * self.refusals_kept(now) + usual.answer_bytes;
        self.refused_at = now;
        let retry_ms = (beyond_ms + returning_ms).min(LONGEST_RETRY_MS) as u64;
        Err(retry_ms.max(SHORTEST_RETRY_MS))
    }

    fn refusals_kept(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.refused_at) as f64;
        0.5_f64.powf(age / REFUSALS_HALF_LIFE_MS)
    }

    /// Bytes that would leave before an answer of this kind.
    fn bytes_ahead(&self, kind: EgressClass) -> f64 {
        let ahead = self.booked.values().filter(|(other, _)| *other <= kind);
        let booked: f64 = ahead.map(|(_, bytes)| bytes).sum();
        booked + self.room.waiting_bytes as f64
    }

    /// How long a large answer that is less urgent than all others would wait for the link,
    /// milliseconds; 0 if the link is not known.
    pub fn wait_ms(&self) -> u64 {
        let Some(rate) = self.room.bytes_per_ms.filter(|rate| *rate > 0.0) else {
            return 0;
        };
        let booked: f64 = self.booked.values().map(|(_, bytes)| bytes).sum();
        ((booked + self.room.waiting_bytes as f64) / rate) as u64
    }

    /// Books the answer of a call that was taken in.
    pub fn reserve(&mut self, job: JobId, kind: EgressClass) {
        if let Some((usual, _)) = self.large(kind) {
            self.booked.insert(job, (kind, usual.answer_bytes));
        }
    }

    /// Gives back what a call booked: it has ended.
    pub fn release(&mut self, job: JobId) {
        self.booked.remove(&job);
    }

    /// Takes in an answer that leaves over the link.
    pub fn note_sent(&mut self, bytes: usize) {
        // Until the next word of the link.
        self.room.waiting_bytes = self.room.waiting_bytes.saturating_add(bytes);
    }

    /// Takes in how long a call ran, milliseconds, and what it answered with.
    pub fn note_answer(&mut self, kind: EgressClass, bytes: usize, spent_ms: u64) {
        let (bytes, spent_ms) = (bytes as f64, spent_ms as f64);
        if let Some(usual) = self.usual.get_mut(&kind) {
            usual.answer_bytes += (bytes - usual.answer_bytes) * WEIGHT;
            usual.spent_ms += (spent_ms - usual.spent_ms) * WEIGHT;
        } else if self.usual.len() < MOST_KINDS {
            self.usual.insert(kind, Usual { answer_bytes: bytes, spent_ms });
        }
    }
}
