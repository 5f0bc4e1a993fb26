//! How long the callers of each route wait at first, and so how long ago a call was begun.
//!
//! A caller tells how long it still waits. Callers of one route mostly begin with the same time, and
//! tell less when they come back; so a call that tells less than is usual has been on its way for the
//! difference.

use std::collections::BTreeMap;

/// Times told that differ by less than this part are the same.
const ALIKE: f64 = 0.02;
/// Most calls that speak for a time; so many others make another one the usual.
const MOST_VOTES: u32 = 32;
/// A longer time is taken for the usual at once while fewer calls speak for the held one.
const FEW_VOTES: u32 = 3;

/// The time that most callers of a route tell.
#[derive(Clone, Copy, Debug)]
struct Usual {
    ms: u64,
    votes: u32,
}

impl Usual {
    /// Whether a time told speaks for this one.
    fn is_like(&self, told_ms: u64) -> bool {
        let apart = self.ms.abs_diff(told_ms) as f64;
        apart <= self.ms as f64 * ALIKE
    }

    /// A vote of the majority: others take votes away until one of them takes over.
    fn note(&mut self, told_ms: u64) {
        if self.is_like(told_ms) {
            self.votes = (self.votes + 1).min(MOST_VOTES);
            return;
        }
        let longer = told_ms > self.ms && self.votes < FEW_VOTES;
        if longer || self.votes == 0 {
            *self = Usual { ms: told_ms, votes: 1 };
            return;
        }
        self.votes -= 1;
    }
}

/// What callers tell, by route.
#[derive(Clone, Debug, Default)]
pub struct CallerPatience {
    routes: BTreeMap<String, Usual>,
}

impl CallerPatience {
    /// Takes in what a caller told; returns how long ago its call was begun, milliseconds.
    pub fn note(&mut self, route: &str, told_ms: u64) -> u64 {
        let Some(usual) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_owned(), Usual { ms: told_ms, votes: 1 });
            return 0;
        };
        usual.note(told_ms);
        match usual.is_like(told_ms) {
            true => 0,
            false => usual.ms.saturating_sub(told_ms),
        }
    }
}
