//! Outlier detection: ejects upstreams whose calls keep failing, whatever their health endpoint
//! says.

/// When an upstream is ejected and for how long.
#[derive(Clone, Copy, Debug)]
pub struct OutlierPolicy {
    /// Number of consecutive failures that ejects an upstream.
    pub consecutive_failures: u32,
    /// Duration of the first ejection in milliseconds; it doubles with each further one.
    pub base_ejection_ms: u64,
    /// Maximum duration of an ejection in milliseconds.
    pub max_ejection_ms: u64,
    /// Maximum percentage of a service's upstreams that may be ejected at once.
    pub max_ejected_percent: usize,
}

impl Default for OutlierPolicy {
    fn default() -> Self {
        OutlierPolicy {
            consecutive_failures: 3,
            base_ejection_ms: 1_000,
            max_ejection_ms: 30_000,
            max_ejected_percent: 50,
        }
    }
}

/// Passive health state of one upstream, derived from the outcomes of its calls.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_streak: u32,
    ejections: u32,
    ejected_until_ms: Option<u64>,
}

impl Health {
    /// Whether the upstream is currently ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms.is_some_and(|until| now_ms < until)
    }

    /// Records an answered call; ends an ejection.
    pub fn on_success(&mut self) {
        self.failure_streak = 0;
        self.ejections = self.ejections.saturating_sub(1);
        self.ejected_until_ms = None;
    }

    /// Records a failed call; returns true if the upstream should be ejected now.
    pub fn on_failure(&mut self, policy: &OutlierPolicy, now_ms: u64) -> bool {
        self.failure_streak += 1;
        self.failure_streak >= policy.consecutive_failures && !self.is_ejected(now_ms)
    }

    /// Ejects the upstream for a duration that grows with each ejection.
    pub fn eject(&mut self, policy: &OutlierPolicy, now_ms: u64) {
        let duration_ms = policy.base_ejection_ms.saturating_mul(1 << self.ejections.min(16));
        self.ejected_until_ms = Some(now_ms + duration_ms.min(policy.max_ejection_ms));
        self.ejections += 1;
        // After the ejection a single further failure ejects it again.
        self.failure_streak = policy.consecutive_failures.saturating_sub(1);
    }
}
