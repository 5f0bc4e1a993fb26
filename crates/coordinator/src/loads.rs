//! Loads of upstreams, for the sidecars that choose among them: soft state, without I/O.
//!
//! A single sidecar sends too few calls to learn the load of each upstream often enough. Therefore
//! each sidecar reports load changes to its coordinator in a few bytes, coordinators forward the
//! loads that were reported to them, and each sends all loads to its subscribers. A load is only a
//! hint: a lost one is not repeated, and readers discount old ones.

use crate::Registry;
use mesh::{InstanceState, NodeAddress, NodeLoad, NodeRecord, UpstreamLoad};
use std::collections::BTreeMap;

/// A load with its origin.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    load: UpstreamLoad,
    /// Whether the sidecar reported it to this coordinator.
    is_local: bool,
    changed_at: u64,
}

/// Total load of the upstreams of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Upstreams that accept calls.
    pub upstreams: u32,
    /// Total number of calls that they execute concurrently.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Upstreams that use less than half of their slots.
    pub idle: u32,
    /// Queued calls.
    pub queued: u32,
    /// Upstreams with queued calls.
    pub with_queue: u32,
}

/// Selects sidecars by their distance from a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ZoneDistance<'a> {
    /// Sidecars in the zone; all sidecars if the zone is empty.
    Near(&'a str),
    /// All other sidecars.
    Far(&'a str),
}

impl ZoneDistance<'_> {
    /// Whether a sidecar is selected; an unlisted sidecar is in no zone.
    pub fn includes(self, node: &NodeAddress, registry: &Registry) -> bool {
        let is_in = |zone: &str| zone.is_empty() || registry.zone(node) == Some(zone);
        match self {
            ZoneDistance::Near(zone) => is_in(zone),
            ZoneDistance::Far(zone) => !is_in(zone),
        }
    }
}

/// The latest load of each upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    position: u64,
    loads: BTreeMap<NodeAddress, ReportedLoad>,
}

impl LoadTable {
    /// Records a load that a sidecar reported on its own link.
    pub fn report(&mut self, address: NodeAddress, load: UpstreamLoad) {
        self.insert(address, load, true);
    }

    /// Records loads that another coordinator forwarded.
    pub fn merge_forwarded(&mut self, loads: &[NodeLoad]) {
        for NodeLoad { address, load } in loads {
            self.insert(*address, *load, false);
        }
    }

    fn insert(&mut self, address: NodeAddress, load: UpstreamLoad, is_local: bool) {
        self.position += 1;
        self.loads.insert(address, ReportedLoad { load, is_local, changed_at: self.position });
    }

    /// Removes the loads of upstreams that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&NodeAddress) -> bool) {
        self.loads.retain(|address, _| is_listed(address));
    }

    /// The latest load of an upstream, if any was reported.
    pub fn load(&self, address: &NodeAddress) -> Option<UpstreamLoad> {
        self.loads.get(address).map(|report| report.load)
    }

    /// Position of the latest load.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Loads after a position, of the upstreams selected by `of`; for subscribers.
    pub fn since(&self, position: u64, of: impl Fn(&NodeAddress) -> bool) -> Vec<NodeLoad> {
        self.loads_after(position, |address, _| of(address))
    }

    /// Loads after a position that sidecars reported to this coordinator; for other coordinators.
    pub fn reported_since(&self, position: u64) -> Vec<NodeLoad> {
        self.loads_after(position, |_, report| report.is_local)
    }

    /// Total load of the upstreams that accept calls, by service.
    pub fn by_service<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeRecord>,
    ) -> BTreeMap<&'a str, ServiceLoad> {
        let mut services: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        for node in nodes.filter(|node| !node.stopping) {
            let instance = node.instance.as_ref();
            let Some(instance) = instance.filter(|instance| instance.state == InstanceState::Ready)
            else {
                continue;
            };
            let report = self.loads.get(&node.address);
            let load = report.map_or(UpstreamLoad::default(), |report| report.load);
            let sum = services.entry(&node.service).or_default();
            let (running, queued) = (u32::from(load.running), u32::from(load.queued));
            sum.upstreams += 1;
            sum.slots += instance.slots;
            sum.free += instance.slots.saturating_sub(running);
            sum.idle += u32::from(running * 2 < instance.slots);
            sum.queued += queued;
            sum.with_queue += u32::from(queued > 0);
        }
        services
    }

    fn loads_after(
        &self,
        position: u64,
        wanted: impl Fn(&NodeAddress, &ReportedLoad) -> bool,
    ) -> Vec<NodeLoad> {
        let is_wanted = |address: &NodeAddress, report: &ReportedLoad| {
            report.changed_at > position && wanted(address, report)
        };
        let found = self.loads.iter().filter(|(address, report)| is_wanted(address, report));
        found.map(|(address, report)| NodeLoad { address: *address, load: report.load }).collect()
    }
}
