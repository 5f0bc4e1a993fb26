//! Load shedding for services that do not answer in time, before calls fill links and slots.
//!
//! While a service has less capacity than its callers demand, or links are full, each call that is
//! sent regardless costs slots and messages that others need. A node therefore sends only somewhat
//! more calls than were recently answered in time, and refuses the rest locally and at once. The
//! calls sent in excess detect when capacity returns. The least urgent calls are shed first: those
//! with short targets mostly are nested in other calls, whose upstream requests hold slots and
//! would fail with them.

use crate::{Millis, Urgency};
use std::collections::BTreeMap;

/// Calls sent per call that was answered in time, while many calls miss their target.
const BASE_SENT_PER_TIMELY: f64 = 1.2;
/// Fraction of sent calls answered in time above which more calls are sent per timely answer. While
/// some calls are shed, about this fraction is in time.
const GROWTH_THRESHOLD: f64 = 0.7;
/// Slope of the growth above that threshold: if all calls are in time, 2.4 are sent per timely
/// answer. Twice the slope showed no gain (docs/DECISIONS.md).
const GROWTH_SLOPE: f64 = 4.0;
/// Number of calls that may miss their target before any are shed: a node remembers some twenty
/// calls, of which one or two are late through variation of the work alone. An estimate, not
/// measured.
const TOLERATED_MISSES: f64 = 2.0;
/// Some calls are always sent, so that a recovered service is detected.
const MAX_SHED_PROBABILITY: f64 = 0.85;
/// Time in which recorded outcomes lose half of their weight, milliseconds.
const HALF_LIFE_MS: f64 = 700.0;
/// Maximum number of upstreams to try for a call, in normal operation and while the service is
/// short of capacity.
const MAX_ATTEMPTS: u32 = 5;
const MAX_ATTEMPTS_UNDER_LOAD: u32 = 2;
/// Fraction of calls missed or shed above which the service counts as short of capacity.
const OVERLOAD_THRESHOLD: f64 = 0.3;

/// Decayed counts of call outcomes.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    in_time: f64,
    missed: f64,
    shed: f64,
}

impl Outcomes {
    fn total(self) -> f64 {
        self.in_time + self.missed + self.shed
    }

    fn scaled(self, weight: f64) -> Self {
        Self {
            in_time: self.in_time * weight,
            missed: self.missed * weight,
            shed: self.shed * weight,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            missed: self.missed + other.missed,
            shed: self.shed + other.shed,
        }
    }

    /// Number of calls in excess of what may be sent.
    fn excess(self) -> f64 {
        let sent = (self.in_time + self.missed).max(1.0);
        let timely_fraction = self.in_time / sent;
        let sent_per_timely =
            BASE_SENT_PER_TIMELY + GROWTH_SLOPE * (timely_fraction - GROWTH_THRESHOLD).max(0.0);
        self.total() - self.in_time * sent_per_timely - TOLERATED_MISSES
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered within its target.
    InTime,
    /// Answered late, failed, refused, or not answered.
    Missed,
    /// Not sent, because the node shed it.
    Shed,
}

/// Call outcomes of one service, by urgency.
#[derive(Clone, Debug, Default)]
struct ServiceOutcomes {
    outcomes: BTreeMap<Urgency, Outcomes>,
    updated_at: Millis,
}

impl ServiceOutcomes {
    fn remaining_weight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        0.5_f64.powf(age / HALF_LIFE_MS)
    }

    fn sum(&self, now: Millis) -> Outcomes {
        let outcomes = self.outcomes.values().copied().fold(Outcomes::default(), Outcomes::plus);
        outcomes.scaled(self.remaining_weight(now))
    }

    fn note(&mut self, urgency: Urgency, end: CallEnd, now: Millis) {
        let remaining_weight = self.remaining_weight(now);
        for outcomes in self.outcomes.values_mut() {
            *outcomes = outcomes.scaled(remaining_weight);
        }
        self.updated_at = now;
        let outcomes = self.outcomes.entry(urgency).or_default();
        match end {
            CallEnd::InTime => outcomes.in_time += 1.0,
            CallEnd::Missed => outcomes.missed += 1.0,
            CallEnd::Shed => outcomes.shed += 1.0,
        }
    }
}

/// Recent call outcomes by service on one node, and the shedding derived from them.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    services: BTreeMap<String, ServiceOutcomes>,
}

impl LoadShedder {
    /// Records how a call ended.
    pub fn note(&mut self, service: &str, urgency: Urgency, end: CallEnd, now: Millis) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceOutcomes::default());
        }
        let recorded = self.services.get_mut(service).expect("inserted above");
        recorded.note(urgency, end, now);
    }

    /// Fraction of new calls of this urgency to shed, 0 to 1.
    pub fn shed_probability(&self, service: &str, urgency: Urgency, now: Millis) -> f64 {
        let Some(recorded) = self.services.get(service) else {
            return 0.0;
        };
        let excess = recorded.sum(now).excess();
        let remaining_weight = recorded.remaining_weight(now);
        let weight = |(_, outcomes): (&Urgency, &Outcomes)| outcomes.total() * remaining_weight;
        let less_urgent: f64 =
            recorded.outcomes.iter().filter(|(other, _)| **other > urgency).map(weight).sum();
        let same_urgency: f64 =
            recorded.outcomes.iter().filter(|(other, _)| **other == urgency).map(weight).sum();
        ((excess - less_urgent) / (same_urgency + 1.0)).clamp(0.0, MAX_SHED_PROBABILITY)
    }

    /// Maximum number of upstreams to try for a call now.
    pub fn max_attempts(&self, service: &str, now: Millis) -> u32 {
        let sum =
            self.services.get(service).map_or(Outcomes::default(), |recorded| recorded.sum(now));
        match sum.missed + sum.shed > sum.total() * OVERLOAD_THRESHOLD + 1.0 {
            true => MAX_ATTEMPTS_UNDER_LOAD,
            false => MAX_ATTEMPTS,
        }
    }
}
