//! Aggregation of the relays' reports on how many proxies have applied each generation.

use serde::Serialize;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Milliseconds after which the last report of a relay expires.
pub const REPORT_LEASE_MS: u64 = 3_000;
/// Maximum number of laggards listed in the summary.
const MAX_LAGGARDS: usize = 32;

/// A proxy that has not applied its target generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
pub struct Laggard {
    /// Id of the proxy.
    pub proxy: String,
    /// The generation it has applied.
    pub generation: u64,
    /// The generation it should apply.
    pub target: u64,
    /// Why it rejected the target, if it did.
    pub error: Option<String>,
}

/// Report of a relay on its proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RelayReport {
    /// Id of the relay.
    pub relay: String,
    /// Zone of the relay.
    pub zone: String,
    /// Number of proxies by applied generation.
    pub by_generation: Vec<(u64, u32)>,
    /// Number of proxies not heard from for longer than their lease.
    pub unknown: u32,
    /// Number of connected proxies in the reached stages of a rollout.
    pub staged: u32,
    /// Number of these that have applied the generation.
    pub staged_applied: u32,
    /// Number of proxies that rejected their target.
    pub errors: u32,
    /// Some of the proxies that have not applied their target.
    pub laggards: Vec<Laggard>,
}

/// The latest reports of all relays, each valid for [`REPORT_LEASE_MS`].
#[derive(Clone, Debug, Default)]
pub struct FleetSpread {
    /// By relay: when the report was received, and the report.
    reports: BTreeMap<String, (u64, RelayReport)>,
}

/// Summary of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadSummary {
    /// Number of proxies by applied generation, newest generation first.
    pub by_generation: Vec<(u64, u32)>,
    /// Number of proxies in valid reports.
    pub proxies: u32,
    /// Number of proxies not heard from for longer than their lease, and of all proxies of silent
    /// relays.
    pub unknown: u32,
    /// Number of connected proxies in the reached stages of the rollout.
    pub staged: u32,
    /// Number of these that have applied the generation.
    pub staged_applied: u32,
    /// Number of proxies that rejected their target.
    pub errors: u32,
    /// Number of relays with a valid report.
    pub relays: u32,
    /// Relays whose last report has expired.
    pub silent_relays: Vec<String>,
    /// Some of the proxies that have not applied their target.
    pub laggards: Vec<Laggard>,
}

impl FleetSpread {
    /// Records a report received at `now_ms`, in milliseconds of the monotonic clock.
    pub fn record(&mut self, now_ms: u64, report: RelayReport) {
        self.reports.insert(report.relay.clone(), (now_ms, report));
    }

    /// Discards all reports; a new leader starts without any.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Summarizes the reports that are still valid at `now_ms`.
    pub fn summary(&self, now_ms: u64) -> SpreadSummary {
        let mut summary = SpreadSummary::default();
        let mut by_generation: BTreeMap<u64, u32> = BTreeMap::new();
        for (reported_ms, report) in self.reports.values() {
            if now_ms.saturating_sub(*reported_ms) > REPORT_LEASE_MS {
                summary.silent_relays.push(report.relay.clone());
                let silent_proxies: u32 = report.by_generation.iter().map(|(_, count)| count).sum();
                summary.unknown += silent_proxies + report.unknown;
                continue;
            }
            summary.relays += 1;
            summary.unknown += report.unknown;
            summary.staged += report.staged;
            summary.staged_applied += report.staged_applied;
            summary.errors += report.errors;
            for (generation, count) in &report.by_generation {
                *by_generation.entry(*generation).or_default() += count;
                summary.proxies += count;
            }
            let remaining = MAX_LAGGARDS.saturating_sub(summary.laggards.len());
            summary.laggards.extend(report.laggards.iter().take(remaining).cloned());
        }
        summary.by_generation = by_generation.into_iter().rev().collect();
        summary
    }
}
