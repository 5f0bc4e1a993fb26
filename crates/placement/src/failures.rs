//! How often upstreams fail the calls of a route.
//!
//! The load it is for: a shared cause makes all of a route's calls fail. Another try of each would
//! double that load, and fail alike; where failures are rare, another try is likely to succeed.

use std::collections::BTreeMap;

/// Failures up to this part are chance; a call that met one is worth another try.
const FAILURES_BY_CHANCE: f64 = 0.08;
/// Weight of one end.
const END_WEIGHT: f64 = 0.06;

/// The part of each route's calls that its upstreams failed of late.
#[derive(Clone, Debug, Default)]
pub struct RouteFailures {
    routes: BTreeMap<String, f64>,
}

impl RouteFailures {
    /// Takes in how an upstream ended a call.
    pub fn note_end(&mut self, route: &str, failed: bool) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), 0.0);
        }
        let failing = self.routes.get_mut(route).expect("inserted above");
        let seen = if failed { 1.0 } else { 0.0 };
        *failing += (seen - *failing) * END_WEIGHT;
    }

    /// Whether failures of a route are rare, so that another try is likely to succeed.
    pub fn are_rare(&self, route: &str) -> bool {
        self.routes.get(route).is_none_or(|failing| *failing <= FAILURES_BY_CHANCE)
    }
}
