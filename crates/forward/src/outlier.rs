//! Leaving out upstreams whose calls keep failing, whatever their health endpoint says.

/// When an upstream is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct OutlierPolicy {
    /// Failures in a row that eject.
    pub consecutive_failures: u32,
    /// First ejection, milliseconds; each further one doubles it.
    pub base_ejection_ms: u64,
    /// Longest ejection, milliseconds.
    pub max_ejection_ms: u64,
    /// Share of a service's upstreams that may be ejected at once, per cent.
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

/// The health of one upstream as its own calls show it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    ejections: u32,
    ejected_until_ms: Option<u64>,
}

impl Health {
    /// Whether it is left out now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms.is_some_and(|until| now_ms < until)
    }

    /// A call was answered.
    pub fn on_success(&mut self) {
        self.failures_in_row = 0;
        self.ejections = self.ejections.saturating_sub(1);
        self.ejected_until_ms = None;
    }

    /// A call failed; returns true if the upstream should be ejected now.
    pub fn on_failure(&mut self, policy: &OutlierPolicy, now_ms: u64) -> bool {
        self.failures_in_row += 1;
        self.failures_in_row >= policy.consecutive_failures && !self.is_ejected(now_ms)
    }

    /// Leaves it out for a time.
    pub fn eject(&mut self, policy: &OutlierPolicy, now_ms: u64) {
        let doubled = policy.base_ejection_ms.saturating_mul(1 << self.ejections.min(16));
        self.ejected_until_ms = Some(now_ms + doubled.min(policy.max_ejection_ms));
        self.ejections += 1;
        // One more failure after its return ejects it again.
        self.failures_in_row = policy.consecutive_failures.saturating_sub(1);
    }
}
