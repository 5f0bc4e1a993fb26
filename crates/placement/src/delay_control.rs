//! How many calls for a service are refused where they come in, by the queueing delay at its
//! upstreams.
//!
//! A proportional-integral controller (PIE, RFC 8033): the part of calls refused rises while calls
//! wait for longer than they should, and while the wait grows, and falls otherwise. The delay is the
//! one that all upstreams of the service tell together, so all nodes come to about the same part, and
//! a handful of own calls does not sway it.

use crate::{Millis, Urgency};
use std::collections::BTreeMap;

/// Time between two looks, milliseconds: loads are told about as often.
const LOOK_MS: Millis = 100;
/// Delay aimed at, as a part of the time that calls hold a slot: some wait, so that no slot rests.
const AIM_PART: f64 = 0.35;
/// What a second of delay beyond the aim adds to the part refused with each look.
const INTEGRAL: f64 = 0.3;
/// What a second by which the delay grew adds.
const PROPORTIONAL: f64 = 1.5;
/// What is left of the part refused after a look that found no delay.
const KEPT_WITHOUT_DELAY: f64 = 0.85;
/// Some calls of each kind are always sent: they tell when there is room again.
const MOST_REFUSED: f64 = 0.85;
/// Time in which the memory of which calls come loses half of its weight, milliseconds.
const MIX_HALF_LIFE_MS: f64 = 3_000.0;

/// How long calls wait for the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceDelay {
    /// Until a slot is free for a call that comes now, milliseconds.
    pub wait_ms: f64,
    /// For how long calls hold a slot, milliseconds.
    pub service_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Control {
    refused: f64,
    delay_s: f64,
    looked_at: Millis,
    /// Calls that came, by urgency.
    mix: BTreeMap<Urgency, f64>,
    mixed_at: Millis,
}

impl Control {
    fn look(&mut self, delay: Option<ServiceDelay>, now: Millis) {
        if now < self.looked_at + LOOK_MS {
            return;
        }
        self.looked_at = now;
        let Some(ServiceDelay { wait_ms, service_ms }) = delay else {
            self.refused *= KEPT_WITHOUT_DELAY;
            return;
        };
        let (delay_s, aim_s) = (wait_ms / 1_000.0, service_ms * AIM_PART / 1_000.0);
        let change = INTEGRAL * (delay_s - aim_s) + PROPORTIONAL * (delay_s - self.delay_s);
        self.refused = (self.refused + change).clamp(0.0, 0.6);
        if delay_s == 0.0 {
            self.refused *= KEPT_WITHOUT_DELAY;
        }
        self.delay_s = delay_s;
    }

    fn note(&mut self, urgency: Urgency, now: Millis) {
        let age = now.saturating_sub(self.mixed_at) as f64;
        let kept = 0.5_f64.powf(age / MIX_HALF_LIFE_MS);
        for weight in self.mix.values_mut() {
            *weight *= kept;
        }
        self.mixed_at = now;
        *self.mix.entry(urgency).or_default() += 1.0;
    }

    fn refused_of(&self, urgency: Urgency) -> f64 {
        if self.mix.keys().all(|other| urgency.target_ms <= other.target_ms) && self.mix.len() > 1 {
            return 0.0;
        }
        let all: f64 = self.mix.values().sum();
        let less_urgent: f64 = self.mix.range(urgency..).skip(1).map(|(_, weight)| weight).sum();
        let alike = self.mix.get(&urgency).copied().unwrap_or(1.0);
        ((self.refused * all - less_urgent) / alike).clamp(0.0, MOST_REFUSED)
    }
}

/// The controllers of all services on one node.
#[derive(Clone, Debug, Default)]
pub struct DelayControl {
    services: BTreeMap<String, Control>,
}

impl DelayControl {
    /// Takes in a call that comes; the part of its like that is refused now, 0 to 1.
    pub fn refused(
        &mut self,
        service: &str,
        urgency: Urgency,
        delay: impl FnOnce() -> Option<ServiceDelay>,
        now: Millis,
    ) -> f64 {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Control::default());
        }
        let control = self.services.get_mut(service).expect("inserted above");
        control.note(urgency, now);
        if now >= control.looked_at + LOOK_MS {
            control.look(delay(), now);
        }
        control.refused_of(urgency)
    }
}
