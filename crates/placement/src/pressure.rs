//! Holding back calls for a service that does not answer in time, before they fill links and slots.
//!
//! While a service has less room than its callers want, or links are full, each call that is sent
//! all the same costs slots and messages that others need. So a node sends only somewhat more calls
//! than were answered in time of late, and refuses the rest itself, at once. What is sent beyond
//! that is how it notices that there is room again. The least urgent calls are held back first:
//! those with short targets are mostly asked for within other calls, which would fail with a slot
//! in their hands.

use crate::{Millis, Urgency};
use std::collections::BTreeMap;

/// Calls sent for each one that was answered in time, while many of those sent are not.
const SENT_FOR_EACH: f64 = 1.2;
/// Part of the calls sent that are answered in time, from which on more are sent for each; about so
/// many are in time while some are held back.
const FEW_MISS: f64 = 0.7;
/// How steeply what is sent grows when nearly all sent are answered in time: if all are, 2.4 calls are
/// sent for each. Twice that showed no gain (docs/DECISIONS.md).
const GROWTH: f64 = 4.0;
/// So many calls may miss their time before any is held back: a node remembers some twenty, and one
/// or two of them are late by the spread of work alone. An estimate, not measured.
const BORNE: f64 = 2.0;
/// Some calls are always sent: they tell when a service is there again.
const MOST_HELD_BACK: f64 = 0.85;
/// Time in which what was seen loses half of its weight, milliseconds.
const HALF_LIFE_MS: f64 = 700.0;
/// Most upstreams a call is offered to while there is room, and while there is little.
const MOST_OFFERS: u32 = 5;
const FEW_OFFERS: u32 = 2;
/// Part of calls that missed their time beyond which there is little room.
const LITTLE_ROOM: f64 = 0.3;

/// What became of calls, each weighing less with its age.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    in_time: f64,
    missed: f64,
    held_back: f64,
}

impl Ends {
    fn all(self) -> f64 {
        self.in_time + self.missed + self.held_back
    }

    fn times(self, weight: f64) -> Self {
        Self {
            in_time: self.in_time * weight,
            missed: self.missed * weight,
            held_back: self.held_back * weight,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            missed: self.missed + other.missed,
            held_back: self.held_back + other.held_back,
        }
    }

    /// Calls beyond what may be sent.
    fn beyond(self) -> f64 {
        let sent = (self.in_time + self.missed).max(1.0);
        let part = self.in_time / sent;
        let sent_for_each = SENT_FOR_EACH + GROWTH * (part - FEW_MISS).max(0.0);
        self.all() - self.in_time * sent_for_each - BORNE
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered within its target.
    InTime,
    /// Answered late, failed, refused, or not answered.
    Missed,
    /// Never sent.
    Shed,
}

/// The calls of one service, by urgency.
#[derive(Clone, Debug, Default)]
struct Seen {
    ends: BTreeMap<Urgency, Ends>,
    at: Millis,
}

impl Seen {
    fn kept(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        0.5_f64.powf(age / HALF_LIFE_MS)
    }

    fn sum(&self, now: Millis) -> Ends {
        let ends = self.ends.values().copied().fold(Ends::default(), Ends::plus);
        ends.times(self.kept(now))
    }

    fn note(&mut self, urgency: Urgency, end: CallEnd, now: Millis) {
        let kept = self.kept(now);
        for ends in self.ends.values_mut() {
            *ends = ends.times(kept);
        }
        self.at = now;
        let ends = self.ends.entry(urgency).or_default();
        match end {
            CallEnd::InTime => ends.in_time += 1.0,
            CallEnd::Missed => ends.missed += 1.0,
            CallEnd::Shed => ends.held_back += 1.0,
        }
    }
}

/// What became of the calls for each service on one node.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    services: BTreeMap<String, Seen>,
}

impl LoadShedder {
    /// Takes in how a call ended.
    pub fn note(&mut self, service: &str, urgency: Urgency, end: CallEnd, now: Millis) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Seen::default());
        }
        let seen = self.services.get_mut(service).expect("inserted above");
        seen.note(urgency, end, now);
    }

    /// Part of new calls of this urgency that is held back, 0 to 1.
    pub fn shed_probability(&self, service: &str, urgency: Urgency, now: Millis) -> f64 {
        let Some(seen) = self.services.get(service) else {
            return 0.0;
        };
        let beyond = seen.sum(now).beyond();
        let kept = seen.kept(now);
        let of = |(_, ends): (&Urgency, &Ends)| ends.all() * kept;
        let less_urgent: f64 =
            seen.ends.iter().filter(|(other, _)| **other > urgency).map(of).sum();
        let alike: f64 = seen.ends.iter().filter(|(other, _)| **other == urgency).map(of).sum();
        ((beyond - less_urgent) / (alike + 1.0)).clamp(0.0, MOST_HELD_BACK)
    }

    /// Most upstreams that a call is offered to now.
    pub fn max_attempts(&self, service: &str, now: Millis) -> u32 {
        let sum = self.services.get(service).map_or(Ends::default(), |seen| seen.sum(now));
        match sum.missed + sum.held_back > sum.all() * LITTLE_ROOM + 1.0 {
            true => FEW_OFFERS,
            false => MOST_OFFERS,
        }
    }
}
