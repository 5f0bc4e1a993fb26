//! Client-side throttling of routes whose upstreams fail.
//!
//! An upstream that depends on another service answers 500 while that service has no capacity. Its
//! callers retry, each attempt making nested calls of its own, which increases the load that caused
//! the failure. The node therefore refuses a fraction of the route's calls itself, before they
//! occupy a slot. The admitted fraction decreases by a factor while many calls fail, and increases
//! in steps when few do.

use crate::Millis;
use std::collections::BTreeMap;

/// Minimum time between two adjustments of the admitted fraction, milliseconds.
const MIN_INTERVAL_MS: u64 = 300;
/// Minimum number of ended calls between two adjustments.
const MIN_ENDED: u32 = 4;
/// Fewer failures than this between two adjustments are treated as chance.
const MIN_FAILURES: u32 = 3;
/// Failure rate above which the admitted fraction decreases.
const MAX_FAILURE_RATE: f64 = 0.2;
const DECREASE_FACTOR: f64 = 0.8;
const INCREASE_STEP: f64 = 0.1;
const MIN_ADMITTED: f64 = 0.15;
/// Failure rate up to which failures are treated as chance, so that a failed call is worth a retry.
const CHANCE_FAILURE_RATE: f64 = 0.08;
const FAILURE_WEIGHT: f64 = 0.06;

#[derive(Clone, Copy, Debug)]
struct RouteState {
    admitted: f64,
    failure_rate: f64,
    ended: u32,
    failed: u32,
    adjusted_at: Millis,
}

/// Throttling state of each route on one node.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    routes: BTreeMap<String, RouteState>,
}

impl Throttle {
    fn route(&mut self, route: &str, now: Millis) -> &mut RouteState {
        if !self.routes.contains_key(route) {
            let initial = RouteState {
                admitted: 1.0,
                failure_rate: 0.0,
                ended: 0,
                failed: 0,
                adjusted_at: now,
            };
            self.routes.insert(route.to_owned(), initial);
        }
        self.routes.get_mut(route).expect("inserted above")
    }

    /// Fraction of a route's new calls to send, 0 to 1.
    pub fn admitted(&mut self, route: &str, now: Millis) -> f64 {
        self.route(route, now).admitted
    }

    /// Records how an upstream ended a call.
    pub fn note_end(&mut self, route: &str, succeeded: bool, now: Millis) {
        let state = self.route(route, now);
        let failed = u32::from(!succeeded);
        state.ended += 1;
        state.failed += failed;
        state.failure_rate += (f64::from(failed) - state.failure_rate) * FAILURE_WEIGHT;
        let due = now >= state.adjusted_at + MIN_INTERVAL_MS && state.ended >= MIN_ENDED;
        if !due {
            return;
        }
        let observed_rate = f64::from(state.failed) / f64::from(state.ended);
        let many = observed_rate > MAX_FAILURE_RATE && state.failed >= MIN_FAILURES;
        state.admitted = if many {
            (state.admitted * DECREASE_FACTOR).max(MIN_ADMITTED)
        } else {
            (state.admitted + INCREASE_STEP).min(1.0)
        };
        state.adjusted_at = now;
        state.ended = 0;
        state.failed = 0;
    }

    /// Whether failures of a route are rare, so that a retry is likely to succeed.
    pub fn fails_rarely(&mut self, route: &str, now: Millis) -> bool {
        self.route(route, now).failure_rate <= CHANCE_FAILURE_RATE
    }
}
