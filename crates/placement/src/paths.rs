//! Which services the runs of each route call.
//!
//! The load it is for: a service that others call has no room. Work that will need it is refused where
//! it enters, instead of failing halfway with a slot in its hands.

use std::collections::BTreeMap;

/// Weight of a new run.
const WEIGHT: f64 = 0.05;
/// Calls for each run below which a service is forgotten.
const LEAST_CALLS: f64 = 0.01;
/// Most services remembered for a route.
const MOST_SERVICES: usize = 16;
/// Most calls of one run to one service that count.
const MOST_CALLS: u32 = 100;

/// Calls that a run of each route makes, by service.
#[derive(Clone, Debug, Default)]
pub struct RoutePaths {
    routes: BTreeMap<String, BTreeMap<String, f64>>,
}

impl RoutePaths {
    /// Takes in the calls that one run of a route made.
    pub fn note(&mut self, route: &str, calls: &[(String, u32)]) {
        if calls.is_empty() && !self.routes.contains_key(route) {
            return;
        }
        let services = self.routes.entry(route.to_owned()).or_default();
        for (service, made) in services.iter_mut() {
            let seen = calls.iter().find(|(name, _)| name == service);
            let seen = seen.map_or(0, |(_, count)| (*count).min(MOST_CALLS));
            *made += (f64::from(seen) - *made) * WEIGHT;
        }
        services.retain(|_, made| *made >= LEAST_CALLS);
        for (service, count) in calls {
            if services.len() < MOST_SERVICES && !services.contains_key(service) {
                services.insert(service.clone(), f64::from((*count).min(MOST_CALLS)));
            }
        }
    }

    /// The services that runs of a route call, and how often each run does.
    pub fn of(&self, route: &str) -> impl Iterator<Item = (&str, f64)> {
        let services = self.routes.get(route).into_iter().flatten();
        services.map(|(service, calls)| (service.as_str(), *calls))
    }
}
