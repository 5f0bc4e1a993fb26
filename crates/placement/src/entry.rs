//! How much new work is refused where it enters, by how long calls wait for a service's upstreams.
//!
//! The load it is for: more enters than a service can run, for seconds or longer. What is refused at
//! its upstreams then has cost messages and, for a call within a run, the slot of that run. So each
//! node refuses a part of its callers' work at once. The part follows a proportional-integral
//! controller (PIE, RFC 8033): it rises while calls wait for longer than they should and while the wait
//! grows, and falls otherwise. The wait is the one that all upstreams of the service tell, so that
//! nodes come to about the same part, and a handful of own calls does not sway it.
//!
//! What runs wait for is never refused here: work counts where it enters, at the service that runs it
//! and at those that its runs call.

use crate::{Millis, Urgency};
use std::collections::BTreeMap;

/// Time between two looks, milliseconds: loads come two to five times a second.
const LOOK_MS: Millis = 100;
/// Most looks that one makes up for, after a pause without calls.
const MOST_LOOKS: u64 = 10;
/// Wait aimed at, as a part of the longest that is of use to those that come: some must wait, so that no
/// slot rests until the next load is heard, and what would wait for longer is refused at upstreams, so
/// that longer waits are not seen.
const AIM_PART: f64 = 0.4;
/// Least and most wait aimed at, in turns (the time that a call holds its slot), whatever is told.
const AIM_TURNS: std::ops::RangeInclusive<f64> = 0.1..=0.5;
/// Weight of a new call for the longest wait of use.
const PATIENCE_WEIGHT: f64 = 0.02;
/// What a turn of wait beyond the aim adds to the part refused with each look, and what a turn by which
/// the wait grew adds. Loads are up to 0.5 s old, in which a queue fills or empties whole, so small steps
/// are steadier: with twice the first the part ran to its bound where 0.33 was right, and the service
/// ran 5% less; with half of it most was refused at upstreams that let calls wait for half a turn
/// (virtual time, 1.5 times the capacity, 30 to 300 senders).
const INTEGRAL: f64 = 0.03;
const PROPORTIONAL: f64 = 0.3;
/// What is left of the part refused after a look that found no wait; after one that found some below
/// the aim, more is left. Half is gone after 0.4 s, so that callers find room again within 2 s of a
/// load's end, the age of loads included.
const KEPT_WITHOUT_WAIT: f64 = 0.85;
/// Most of all work that is refused here; upstreams refuse the rest. A part that ran up further would
/// be as long in falling.
const MOST_OF_ALL: f64 = 0.6;
/// Some work of each urgency is always sent: it tells when there is room again.
const MOST_OF_ITS_LIKE: f64 = 0.85;
/// Time in which the memory of which work comes loses half of its weight, milliseconds: longer than a
/// clump, shorter than a change of the load.
const MIX_HALF_LIFE_MS: f64 = 3_000.0;
/// Weight below which work is forgotten: that of one call after 20 s.
const LEAST_WEIGHT: f64 = 0.01;
/// A part refused from which on a service is overloaded, and the time after which that lasts,
/// milliseconds: by then those refused first are back.
const OVERLOADED_PART: f64 = 0.05;
const LASTING_MS: Millis = 1_000;

/// How long calls wait at the upstreams of a service, in turns: the time that a call holds its slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    told: u32,
    sum: f64,
    longest: f64,
    turn_ms: f64,
}

/// How long calls wait for a slot at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    /// In turns: the time that a call holds its slot.
    pub turns: f64,
    /// Length of a turn, milliseconds.
    pub turn_ms: f64,
}

impl Waits {
    /// Takes in what one upstream tells: calls that wait, slots, and how long calls hold one. More than
    /// one turn counts as one, since a full queue is all that it can tell.
    pub fn note(&mut self, queued: u32, slots: u32, turn_ms: f64) {
        let turns = (f64::from(queued) / f64::from(slots.max(1))).min(1.0);
        self.told += 1;
        self.sum += turns;
        self.turn_ms += turn_ms;
        self.longest = self.longest.max(turns);
    }

    /// The average without the longest, if `live` upstreams are there: one that lies, or has more than
    /// its share, does not speak for its service. `None` if less than half of them told.
    pub fn typical(&self, live: u32) -> Option<Wait> {
        if self.told == 0 || self.told * 2 <= live {
            return None;
        }
        let turns = match self.told {
            1 => self.sum,
            told => (self.sum - self.longest) / f64::from(told - 1),
        };
        Some(Wait { turns, turn_ms: self.turn_ms / f64::from(self.told) })
    }
}

/// The controller of one service.
#[derive(Clone, Debug, Default)]
struct Control {
    refused: f64,
    wait_turns: f64,
    looked_at: Millis,
    overloaded_since: Option<Millis>,
    /// Calls that work which entered here asks for, by urgency.
    mix: BTreeMap<Urgency, f64>,
    mixed_at: Millis,
    /// Longest wait of use to those that come, milliseconds.
    patience_ms: f64,
}

impl Control {
    /// Wait aimed at, in turns.
    fn aim(&self, turn_ms: f64) -> f64 {
        let aim = AIM_PART * self.patience_ms / turn_ms.max(1.0);
        aim.clamp(*AIM_TURNS.start(), *AIM_TURNS.end())
    }

    fn look(&mut self, wait: Option<Wait>, now: Millis) {
        let looks = ((now - self.looked_at) / LOOK_MS).min(MOST_LOOKS) as f64;
        self.looked_at = now;
        let wait = wait.filter(|wait| wait.turns.is_finite());
        let wait_turns = wait.map_or(0.0, |wait| wait.turns);
        let aim = self.aim(wait.map_or(0.0, |wait| wait.turn_ms));
        let beyond = looks * INTEGRAL * (wait_turns - aim);
        let grown = PROPORTIONAL * (wait_turns - self.wait_turns);
        self.refused = (self.refused + beyond + grown).clamp(0.0, MOST_OF_ALL);
        let below = (1.0 - wait_turns / aim).clamp(0.0, 1.0);
        self.refused *= KEPT_WITHOUT_WAIT.powf(looks * below);
        self.wait_turns = wait_turns;
        self.overloaded_since = match self.refused >= OVERLOADED_PART {
            true => self.overloaded_since.or(Some(now)),
            false => None,
        };
    }

    fn arrive(&mut self, work: Work, now: Millis) {
        let Work { urgency, calls, patience_ms } = work;
        let weight = if self.mix.is_empty() { 1.0 } else { PATIENCE_WEIGHT };
        self.patience_ms += (patience_ms as f64 - self.patience_ms) * weight;
        let age = now.saturating_sub(self.mixed_at) as f64;
        let kept = 0.5_f64.powf(age / MIX_HALF_LIFE_MS);
        self.mix.values_mut().for_each(|weight| *weight *= kept);
        self.mix.retain(|_, weight| *weight > LEAST_WEIGHT);
        self.mixed_at = now;
        *self.mix.entry(urgency).or_default() += calls;
    }

    /// The least urgent work is refused first, as far as it suffices.
    fn refused_of(&self, urgency: Urgency) -> f64 {
        let all: f64 = self.mix.values().sum();
        let alike = self.mix.get(&urgency).copied().unwrap_or(0.0);
        let less_urgent: f64 =
            self.mix.range(urgency..).map(|(_, weight)| weight).sum::<f64>() - alike;
        let beyond = self.refused * all - less_urgent;
        (beyond / alike.max(1.0)).clamp(0.0, MOST_OF_ITS_LIKE)
    }

    fn has_shortest_target(&self, urgency: Urgency) -> bool {
        let shortest = self.mix.keys().all(|other| urgency.target_ms <= other.target_ms);
        shortest && self.mix.len() > 1
    }
}

/// Work of a caller, as it comes to one service.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// How urgent it is.
    pub urgency: Urgency,
    /// Calls that it will ask the service for.
    pub calls: f64,
    /// Longest wait for a slot that is of use to it, milliseconds.
    pub patience_ms: u64,
}

/// The controllers of all services on one node.
#[derive(Clone, Debug, Default)]
pub struct EntryControl {
    services: BTreeMap<String, Control>,
    lineage_known: bool,
}

impl EntryControl {
    /// Notes that ids tell here which calls runs ask for. Until then those with the shortest target of
    /// a service are taken for them, and not refused.
    pub fn note_lineage(&mut self) {
        self.lineage_known = true;
    }

    /// Takes in work that comes to a service, and when a look is due, how long calls wait there (`None`
    /// if too little was heard to tell).
    pub fn arrive(
        &mut self,
        service: &str,
        work: Work,
        wait: impl FnOnce() -> Option<Wait>,
        now: Millis,
    ) {
        if !self.services.contains_key(service) {
            let fresh = Control { looked_at: now, mixed_at: now, ..Control::default() };
            self.services.insert(service.to_owned(), fresh);
        }
        let control = self.services.get_mut(service).expect("inserted above");
        control.arrive(work, now);
        if now >= control.looked_at + LOOK_MS {
            control.look(wait(), now);
        }
    }

    /// Part of the work of this urgency that is refused now for a service, 0 to 1.
    pub fn refused(&self, service: &str, urgency: Urgency) -> f64 {
        let Some(control) = self.services.get(service) else {
            return 0.0;
        };
        if !self.lineage_known && control.has_shortest_target(urgency) {
            return 0.0;
        }
        control.refused_of(urgency)
    }

    /// Whether a service has less room than is asked for.
    pub fn is_overloaded(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|control| control.overloaded_since.is_some())
    }

    /// Whether a service has been overloaded for so long that those refused first are back.
    pub fn is_lasting(&self, service: &str, now: Millis) -> bool {
        let since = self.services.get(service).and_then(|control| control.overloaded_since);
        since.is_some_and(|since| now >= since + LASTING_MS)
    }
}
