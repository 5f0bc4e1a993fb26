//! Metrics recorded while calls are processed: outcomes and durations.

use crate::Millis;
use std::collections::BTreeSet;
use telemetry::{CallCounters, CallLabels, Histogram, Registry};

const MS_PER_SECOND: f64 = 1_000.0;
/// Maximum number of routes with their own label since the process started. Further routes share
/// one label, so that memory stays bounded if the routes of the configuration change for months.
const MAX_ROUTES: usize = 4_000;
const OTHER_ROUTES: &str = "other";

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// An upstream's answer was passed on.
    Answered,
    /// A 5xx answer of an upstream was passed on.
    UpstreamFailed,
    /// Refused by all upstreams it was offered to, or because none was available; it did not run.
    Refused,
    /// Shed without being offered to an upstream, because similar calls are late or fail.
    HeldBack,
    /// Refused without being offered to an upstream, because its request is in quarantine.
    Quarantined,
    /// Refused because the required API key of a tenant is missing or invalid.
    Denied,
    /// Refused because its tenant exceeded its quota.
    AboveQuota,
    /// No upstream gave a definite answer; the call may have run.
    Failed,
    /// Its deadline passed.
    TimedOut,
    /// Its caller disconnected.
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

/// Metrics of the outbound side.
#[derive(Clone)]
pub struct CallMetrics {
    ended: CallCounters,
    routes: BTreeSet<String>,
    call: Histogram,
    added: Histogram,
}

impl CallMetrics {
    /// Registers the metrics.
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

    /// Records the end of a call and how long it was held here.
    pub(crate) fn note_end(&mut self, route: &str, outcome: CallOutcome, held_ms: Millis) {
        let mut route = route;
        if !self.routes.contains(route) {
            match self.routes.len() < MAX_ROUTES {
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

    /// Records the part of an answered call's time that was not spent with the upstream.
    pub(crate) fn note_added(&self, added_ms: Millis) {
        self.added.observe(seconds(added_ms));
    }
}

/// Metrics of the inbound side.
#[derive(Clone)]
pub struct JobMetrics {
    queue: Histogram,
    upstream: Histogram,
}

impl JobMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Self {
        JobMetrics {
            queue: registry
                .seconds("sidecar_queue", "Wait of calls that were given to the upstream"),
            upstream: registry.seconds("sidecar_upstream", "Time of calls with the upstream"),
        }
    }

    /// Records how long a call waited before it was given to the upstream.
    pub(crate) fn note_start(&self, waited_ms: Millis) {
        self.queue.observe(seconds(waited_ms));
    }

    /// Records how long a call was with the upstream.
    pub(crate) fn note_end(&self, spent_ms: Millis) {
        self.upstream.observe(seconds(spent_ms));
    }
}

fn seconds(ms: Millis) -> f64 {
    ms as f64 / MS_PER_SECOND
}
