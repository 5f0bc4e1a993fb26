//! Concurrency towards one upstream: grows while calls succeed, shrinks when they are shed.
//!
//! Additive increase, multiplicative decrease, as in Chiu and Jain (1989): proxies that do not
//! know of each other converge to fair shares of an upstream's slots.

const INITIAL_LIMIT: f64 = 8.0;
const MIN_LIMIT: f64 = 1.0;
const DECREASE_FACTOR: f64 = 0.7;
/// Shortest time between two decreases, so that one burst of refusals counts once, ms.
const DECREASE_INTERVAL_MS: u64 = 100;

/// An adaptive limit on calls in flight.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    ceiling: u32,
    decreased_ms: Option<u64>,
}

impl AdaptiveLimit {
    /// A limit that never exceeds `ceiling`.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        AdaptiveLimit { limit: INITIAL_LIMIT.min(f64::from(ceiling)), ceiling, decreased_ms: None }
    }

    /// Changes the ceiling, for example when the fleet grew.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.limit = self.limit.min(f64::from(self.ceiling));
    }

    /// Calls allowed in flight now.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// A call was answered while `in_flight` calls, itself included, were running.
    pub fn on_success(&mut self, in_flight: u32) {
        // An unused limit must not grow: it would say nothing about the upstream.
        if f64::from(in_flight) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.ceiling));
        }
    }

    /// A call was shed or ran out of time.
    pub fn on_overload(&mut self, now_ms: u64) {
        let recently = self.decreased_ms.is_some_and(|at| now_ms < at + DECREASE_INTERVAL_MS);
        if !recently {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_ms = Some(now_ms);
        }
    }
}
