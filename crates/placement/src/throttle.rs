//! Holding back calls of a route whose upstreams fail, before they fail with a slot in their hands.
//!
//! An upstream that needs another service answers 500 when that service has no room. Its callers
//! ask again, each time with calls of its own behind, and the load that broke it grows. So a node
//! refuses a part of the route's calls itself, which runs nothing. The part admitted falls by a
//! factor while many of the calls sent fail, and rises by steps when few do.

use crate::Millis;
use std::collections::BTreeMap;

/// Shortest time between two changes of the part admitted, milliseconds.
const LOOK_MS: u64 = 300;
/// Fewest ends between two changes.
const LOOK_ENDS: u32 = 4;
/// Fewer failures than this between two changes are chance.
const LEAST_FAILURES: u32 = 3;
/// Part of failures beyond which less is admitted.
const FAILURES_BORNE: f64 = 0.2;
const FALL: f64 = 0.8;
const RISE: f64 = 0.1;
const LEAST_ADMITTED: f64 = 0.15;
/// Failures up to this part are chance; a call that met one is worth another try.
const FAILURES_BY_CHANCE: f64 = 0.08;
const FAILURE_WEIGHT: f64 = 0.06;

#[derive(Clone, Copy, Debug)]
struct Remembered {
    admitted: f64,
    failing: f64,
    ended: u32,
    failed: u32,
    looked_at: Millis,
}

/// What became of the calls of each route on one node.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    routes: BTreeMap<String, Remembered>,
}

impl Throttle {
    fn route(&mut self, route: &str, now: Millis) -> &mut Remembered {
        if !self.routes.contains_key(route) {
            let fresh =
                Remembered { admitted: 1.0, failing: 0.0, ended: 0, failed: 0, looked_at: now };
            self.routes.insert(route.to_owned(), fresh);
        }
        self.routes.get_mut(route).expect("inserted above")
    }

    /// Part of a route's new calls that is sent, 0 to 1.
    pub fn admitted(&mut self, route: &str, now: Millis) -> f64 {
        self.route(route, now).admitted
    }

    /// Notes how an upstream ended a call.
    pub fn note_end(&mut self, route: &str, succeeded: bool, now: Millis) {
        let remembered = self.route(route, now);
        let failed = u32::from(!succeeded);
        remembered.ended += 1;
        remembered.failed += failed;
        remembered.failing += (f64::from(failed) - remembered.failing) * FAILURE_WEIGHT;
        let due = now >= remembered.looked_at + LOOK_MS && remembered.ended >= LOOK_ENDS;
        if !due {
            return;
        }
        let part = f64::from(remembered.failed) / f64::from(remembered.ended);
        let many = part > FAILURES_BORNE && remembered.failed >= LEAST_FAILURES;
        remembered.admitted = if many {
            (remembered.admitted * FALL).max(LEAST_ADMITTED)
        } else {
            (remembered.admitted + RISE).min(1.0)
        };
        remembered.looked_at = now;
        remembered.ended = 0;
        remembered.failed = 0;
    }

    /// Whether failures of a route are rare, so that another try is likely to succeed.
    pub fn fails_rarely(&mut self, route: &str, now: Millis) -> bool {
        self.route(route, now).failing <= FAILURES_BY_CHANCE
    }
}
