//! How many calls a cold upstream is given.
//!
//! An upstream that has just started bears a bounded rate of calls and falls over well above it. The
//! load that this answers is a herd: an upstream that comes back idle looks best to all senders at
//! once, and after a loss of all power every upstream of a service is cold while all callers return.
//! Calls are let through at an even rate (the generic cell rate algorithm), a few at once, so that
//! those admitted wait least; the others are refused at once with the time at which there is room,
//! instead of ending in an upstream that falls over under all of them.

use crate::Millis;

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Time between two looks while it is not known what a cold upstream bears, milliseconds.
const UNKNOWN_LOOK_MS: Millis = 20;

/// What a cold upstream is given, at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Calls a second, evenly.
    pub per_s: f64,
    /// Calls beyond that at any moment, after a pause.
    pub burst: f64,
}

/// What is known of the rate that cold upstreams of a service bear.
#[derive(Clone, Copy, Debug, Default)]
enum RateBound {
    /// Nothing yet: there may be one.
    #[default]
    Unknown,
    /// They are given no more than this.
    Bounded(ColdRate),
    /// They are given whatever comes.
    Unbounded,
}

/// The calls given to an upstream, against what it bears while it is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    rate: RateBound,
    until: Millis,
    /// When the next call would be given if all of them came evenly, milliseconds.
    due: f64,
}

impl ColdStart {
    /// Takes in what cold upstreams of the service bear; `None` if that is not bounded. The burst counts
    /// as given when a rate is first known, by the process before this one.
    pub fn set_rate(&mut self, rate: Option<ColdRate>, now: Millis) {
        let known = rate.filter(|rate| rate.per_s > 0.0);
        if let (RateBound::Unknown, Some(rate)) = (self.rate, known) {
            self.due = now as f64 + burst_ms(rate);
        }
        self.rate = known.map_or(RateBound::Unbounded, RateBound::Bounded);
    }

    /// Takes in until when the upstream is cold.
    pub fn set_until(&mut self, until: Millis) {
        self.until = until;
    }

    /// Takes in that another incarnation is there, which was given nothing yet. What was given to the
    /// one before counts as its burst: word of the two may cross.
    pub fn restarted(&mut self, now: Millis) {
        if let RateBound::Bounded(rate) = self.rate {
            self.due = self.due.min(now as f64 + burst_ms(rate));
        }
    }

    /// When the next call may be given; `now` if it may be at once.
    pub fn next_at(&self, now: Millis) -> Millis {
        self.room_at(0, now)
    }

    /// When a call behind so many others may be given.
    pub fn room_at(&self, ahead: usize, now: Millis) -> Millis {
        if now >= self.until {
            return now;
        }
        let rate = match self.rate {
            RateBound::Unknown => return self.until.min(now + UNKNOWN_LOOK_MS),
            RateBound::Unbounded => return now,
            RateBound::Bounded(rate) => rate,
        };
        let each_ms = MILLIS_PER_SECOND / rate.per_s;
        let due = self.due.max(now as f64) + each_ms * ahead as f64;
        let at = (due - rate.burst * each_ms).ceil().max(now as f64) as Millis;
        at.min(self.until)
    }

    /// Notes that a call is given now. Those of its last second count also if they were given while
    /// it was warm: it may have become cold before that was told.
    pub fn note_start(&mut self, now: Millis) {
        if let RateBound::Bounded(rate) = self.rate {
            let latest = now as f64 + MILLIS_PER_SECOND;
            let each_ms = MILLIS_PER_SECOND / rate.per_s;
            self.due = (self.due.max(now as f64) + each_ms).min(latest);
        }
    }
}

fn burst_ms(rate: ColdRate) -> f64 {
    rate.burst * MILLIS_PER_SECOND / rate.per_s
}
