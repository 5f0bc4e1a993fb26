//! How long callers have waited already, as the deadlines that they tell show.
//!
//! A caller that comes back after a refusal waits no longer in all, so it tells a shorter deadline
//! than one that comes for the first time. In a lasting overload those that come first are served
//! first: they can still be in time.

use crate::Millis;
use std::collections::BTreeMap;

/// A deadline that nobody told for this long is forgotten, milliseconds.
const KEPT_MS: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Longest {
    told_ms: u64,
    at: Millis,
}

/// The longest deadline of each route's callers.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: BTreeMap<String, Longest>,
}

impl CallerAges {
    /// Takes in the deadline that a caller tells; how long it has waited already, milliseconds.
    pub fn age_ms(&mut self, route: &str, told_ms: u64, now: Millis) -> u64 {
        let seen = Longest { told_ms, at: now };
        match self.routes.get_mut(route) {
            Some(held) if told_ms >= held.told_ms || held.at + KEPT_MS < now => *held = seen,
            Some(_) => {}
            None => {
                self.routes.insert(route.to_owned(), seen);
            }
        }
        self.routes[route].told_ms.saturating_sub(told_ms)
    }
}
