//! How far each generation has spread, from the relays' aggregated reports.

use serde::Serialize;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// A relay whose last report is older than this says nothing about its proxies any more, ms.
pub const REPORT_LEASE_MS: u64 = 3_000;
/// Laggards named in the summary.
const MAX_LAGGARDS: usize = 32;

/// A proxy that does not have its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
pub struct Laggard {
    /// The proxy's id.
    pub proxy: String,
    /// What it has applied.
    pub generation: u64,
    /// What it should have.
    pub target: u64,
    /// Why it refused the target, if it did.
    pub error: Option<String>,
}

/// What one relay knows of its proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RelayReport {
    /// The relay.
    pub relay: String,
    /// Its zone.
    pub zone: String,
    /// Number of proxies per applied generation.
    pub by_generation: Vec<(u64, u32)>,
    /// Proxies out of touch longer than their lease.
    pub unknown: u32,
    /// Connected proxies that a rollout's stages cover.
    pub staged: u32,
    /// How many of those have applied it.
    pub staged_applied: u32,
    /// Proxies that refused their target.
    pub errors: u32,
    /// Some of the proxies without their target.
    pub laggards: Vec<Laggard>,
}

/// The reports of all relays, each valid for a lease.
#[derive(Clone, Debug, Default)]
pub struct FleetSpread {
    reports: BTreeMap<String, (u64, RelayReport)>,
}

/// The whole fleet at a glance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadSummary {
    /// Number of proxies per applied generation, highest first.
    pub by_generation: Vec<(u64, u32)>,
    /// Proxies in touch with a relay.
    pub proxies: u32,
    /// Proxies out of touch longer than their lease.
    pub unknown: u32,
    /// Connected proxies covered by the rollout's stages.
    pub staged: u32,
    /// How many of those have applied it.
    pub staged_applied: u32,
    /// Proxies that refused their target.
    pub errors: u32,
    /// Relays heard from within the lease.
    pub relays: u32,
    /// Relays whose last report is older than the lease.
    pub silent_relays: Vec<String>,
    /// Some of the proxies without their target.
    pub laggards: Vec<Laggard>,
}

impl FleetSpread {
    /// Takes a report in at time `now_ms` of the monotonic clock.
    pub fn record(&mut self, now_ms: u64, report: RelayReport) {
        self.reports.insert(report.relay.clone(), (now_ms, report));
    }

    /// Forgets everything; a new leader starts from nothing.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Adds up the reports that are still valid.
    pub fn summary(&self, now_ms: u64) -> SpreadSummary {
        let mut summary = SpreadSummary::default();
        let mut by_generation: BTreeMap<u64, u32> = BTreeMap::new();
        for (reported_ms, report) in self.reports.values() {
            if now_ms.saturating_sub(*reported_ms) > REPORT_LEASE_MS {
                summary.silent_relays.push(report.relay.clone());
                let lost: u32 = report.by_generation.iter().map(|(_, count)| count).sum();
                summary.unknown += lost + report.unknown;
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
            let room = MAX_LAGGARDS.saturating_sub(summary.laggards.len());
            summary.laggards.extend(report.laggards.iter().take(room).cloned());
        }
        summary.by_generation = by_generation.into_iter().rev().collect();
        summary
    }
}
