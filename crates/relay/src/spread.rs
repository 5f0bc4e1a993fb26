//! Aggregates the acknowledgements of a relay's proxies into a report.

use rollout::{Laggard, ProxyName, RelayReport, TargetView};
use std::collections::BTreeMap;
use wire::RefusedGeneration;

/// Maximum number of laggards listed in one report.
const MAX_LAGGARDS: usize = 8;
/// Number of leases without contact after which a proxy is removed, since it was replaced or moved.
const REMOVE_AFTER_LEASES: u64 = 20;

/// Last known state of a proxy, whether or not it is connected.
#[derive(Clone, Debug)]
pub(crate) struct KnownProxy {
    pub name: ProxyName,
    pub generation: Option<u64>,
    pub refused: Option<RefusedGeneration>,
    pub last_heard_ms: u64,
}

/// Builds the report, and removes proxies without contact for [`REMOVE_AFTER_LEASES`].
pub(crate) fn build_report(
    relay: &str,
    zone: &str,
    view: &TargetView,
    proxies: &mut BTreeMap<String, KnownProxy>,
    lease_ms: u64,
    now_ms: u64,
) -> RelayReport {
    proxies.retain(|_, proxy| {
        now_ms.saturating_sub(proxy.last_heard_ms) <= REMOVE_AFTER_LEASES * lease_ms
    });
    let mut report =
        RelayReport { relay: relay.to_owned(), zone: zone.to_owned(), ..RelayReport::default() };
    let mut by_generation: BTreeMap<u64, u32> = BTreeMap::new();
    for proxy in proxies.values() {
        if now_ms.saturating_sub(proxy.last_heard_ms) > lease_ms {
            report.unknown += 1;
            continue;
        }
        let generation = proxy.generation.unwrap_or(0);
        *by_generation.entry(generation).or_default() += 1;
        add_to_report(&mut report, view, proxy, generation);
    }
    report.by_generation = by_generation.into_iter().collect();
    report
}

fn add_to_report(report: &mut RelayReport, view: &TargetView, proxy: &KnownProxy, generation: u64) {
    let target = view.target_for(&proxy.name).generation;
    let staged = view.candidate.as_ref().is_some_and(|candidate| candidate.covers(&proxy.name));
    let behind = proxy.generation.is_none() || generation < target;
    if staged {
        report.staged += 1;
        report.staged_applied += u32::from(!behind);
    }
    if !behind {
        return;
    }
    let refused = proxy.refused.as_ref().filter(|refused| refused.generation == target);
    report.errors += u32::from(refused.is_some());
    if report.laggards.len() < MAX_LAGGARDS {
        report.laggards.push(Laggard {
            proxy: proxy.name.id.clone(),
            generation,
            target,
            error: refused.map(|refused| refused.error.clone()),
        });
    }
}
