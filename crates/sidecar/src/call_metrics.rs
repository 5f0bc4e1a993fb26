//! Figures that the cores take down while they work: how calls end, and where their time goes.

use crate::Millis;
use std::collections::BTreeSet;
use telemetry::{CallCounters, CallLabels, Histogram, Registry};

const MS_PER_SECOND: f64 = 1_000.0;
/// Most routes counted apart since the start; the others share one name, so that a configuration
/// whose routes change for months does not fill the memory.
const MOST_ROUTES: usize = 4_000;
const OTHER_ROUTES: &str = "other";

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// An upstream's answer was passed on.
    Answered,
    /// An upstream's own failure was passed on.
    UpstreamFailed,
    /// Refused after it was offered, or for want of upstreams; it did not run.
    Refused,
    /// Refused without being offered, because its like are late or fail.
    HeldBack,
    /// Refused without being offered, because its like crash upstreams.
    Quarantined,
    /// Refused because it shows no key of a tenant where one is needed.
    Denied,
    /// Refused because its tenant sends more than it may.
    AboveQuota,
    /// No proper answer; it may have run.
    Failed,
    /// Its time was over.
    TimedOut,
    /// Its caller left.
    Cancelled,
}

impl CallOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamFailed => "upstream_failed",
            Self::Refused => "refused",
            Self::HeldBack => "held_back",
            Self::Quarantined => "quarantined",
            Self::Denied => "denied",
            Self::AboveQuota => "above_quota",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Figures of the outbound side.
#[derive(Clone)]
pub struct CallMetrics {
    ended: CallCounters,
    routes: BTreeSet<String>,
    call: Histogram,
    added: Histogram,
}

impl CallMetrics {
    /// Registers them.
    pub fn new(registry: &Registry) -> Self {
        CallMetrics {
            ended: registry.calls("sidecar_calls_ended", "Calls by route and outcome"),
            routes: BTreeSet::new(),
            call: registry.seconds("sidecar_call", "From a call to its final answer"),
            added: registry.seconds(
                "sidecar_added",
                "Time of answered calls that was not spent with an upstream",
            ),
        }
    }

    pub(crate) fn note_end(&mut self, route: &str, outcome: CallOutcome, held_ms: Millis) {
        let mut route = route;
        if !self.routes.contains(route) {
            match self.routes.len() < MOST_ROUTES {
                true => {
                    self.routes.insert(route.to_owned());
                }
                false => route = OTHER_ROUTES,
            }
        }
        let labels = CallLabels { route: route.to_owned(), outcome: outcome.as_str() };
        self.ended.get_or_create(&labels).inc();
        self.call.observe(seconds(held_ms));
    }

    pub(crate) fn note_added(&self, added_ms: Millis) {
        self.added.observe(seconds(added_ms));
    }
}

/// Figures of the inbound side.
#[derive(Clone)]
pub struct JobMetrics {
    queue: Histogram,
    upstream: Histogram,
}

impl JobMetrics {
    /// Registers them.
    pub fn new(registry: &Registry) -> Self {
        JobMetrics {
            queue: registry
                .seconds("sidecar_queue", "Wait of calls that were given to the upstream"),
            upstream: registry.seconds("sidecar_upstream", "Time of calls with the upstream"),
        }
    }

    pub(crate) fn note_start(&self, waited_ms: Millis) {
        self.queue.observe(seconds(waited_ms));
    }

    pub(crate) fn note_end(&self, spent_ms: Millis) {
        self.upstream.observe(seconds(spent_ms));
    }
}

fn seconds(ms: Millis) -> f64 {
    ms as f64 / MS_PER_SECOND
}
