//! What a node knows of the outgoing link of an upstream's machine.

use crate::upstream::{FIGURES_AGE_MS, LONGEST_REFUSAL_MS};
use crate::Millis;

/// What is known of the outgoing link of its machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EgressSeen {
    wait_ms: f64,
    told_at: Millis,
    /// Of the answers that this node asked for since then, bytes.
    asked_bytes: f64,
    /// 0 if that is not known.
    bytes_per_ms: f64,
    /// Until when a refusal for want of room there is believed, and when there may be room, as told.
    full_until: Millis,
    room_at: Millis,
}

impl EgressSeen {
    /// Takes in how long a large answer would wait for it, milliseconds.
    pub fn tell(&mut self, wait_ms: f64, now: Millis) {
        self.wait_ms = wait_ms;
        self.told_at = now;
        self.asked_bytes = 0.0;
    }

    /// Takes in what it carries of large answers, bytes a millisecond; 0 if that is not known.
    pub fn set_speed(&mut self, bytes_per_ms: f64) {
        self.bytes_per_ms = bytes_per_ms;
    }

    /// Notes that a call was refused since its answer would have waited too long for it.
    pub fn note_full(&mut self, retry_after_ms: u64, now: Millis) {
        self.full_until = now + retry_after_ms.min(LONGEST_REFUSAL_MS);
        self.room_at = now + retry_after_ms;
    }

    /// Whether such a refusal is still believed.
    pub fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }

    /// When there may be room, as it told.
    pub fn room_at(&self) -> Millis {
        self.room_at
    }

    /// Notes that an answer of this length was asked for.
    pub fn note_asked(&mut self, answer_bytes: f64) {
        self.asked_bytes += answer_bytes;
    }

    /// Time that an answer of this length takes over it after a run of `work_ms`, the wait for it
    /// included, milliseconds; 0 if nothing is known of it.
    pub fn answer_ms(&self, answer_bytes: f64, work_ms: f64, now: Millis) -> f64 {
        let EgressSeen { wait_ms, told_at, asked_bytes, bytes_per_ms, .. } = *self;
        if bytes_per_ms <= 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(told_at) as f64;
        let belief = 1.0 - (age / FIGURES_AGE_MS as f64).min(1.0);
        let ahead_ms = (wait_ms + asked_bytes / bytes_per_ms) * belief;
        // What is ahead leaves while it runs.
        (ahead_ms - work_ms).max(0.0) + answer_bytes / bytes_per_ms
    }
}
