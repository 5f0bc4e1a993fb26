//! How busy the upstreams are, for those that choose among them; soft state, pure.
//!
//! A sidecar sends too few calls to hear of each upstream often enough. So each one tells its
//! coordinator a few bytes when its load changes, coordinators pass on what their own subscribers
//! told, and each tells its subscribers of all. A load is only a hint: it is not repeated when it
//! is lost, and readers let it age.

use crate::Registry;
use mesh::{InstanceState, NodeAddress, NodeLoad, NodeRecord, UpstreamLoad};
use std::collections::BTreeMap;

/// A load with where it came from.
#[derive(Clone, Copy, Debug)]
struct Told {
    load: UpstreamLoad,
    /// Whether the sidecar told it here.
    here: bool,
    changed_at: u64,
}

/// How busy the upstreams of a service are together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Upstreams that take calls.
    pub upstreams: u32,
    /// Calls they work on at once, at most.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
    /// Upstreams that use less than half of their slots.
    pub idle: u32,
    /// Calls that wait for an upstream.
    pub queued: u32,
    /// Upstreams for which calls wait.
    pub with_queue: u32,
}

/// Sidecars by how far they are from a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reach<'a> {
    /// Those in the zone; all, where no zone is named.
    Near(&'a str),
    /// All others.
    Far(&'a str),
}

impl Reach<'_> {
    /// Whether a sidecar is among them; one that is not listed is in no zone.
    pub fn holds(self, node: &NodeAddress, registry: &Registry) -> bool {
        let is_in = |zone: &str| zone.is_empty() || registry.zone(node) == Some(zone);
        match self {
            Reach::Near(zone) => is_in(zone),
            Reach::Far(zone) => !is_in(zone),
        }
    }
}

/// The newest load of each upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    position: u64,
    loads: BTreeMap<NodeAddress, Told>,
}

impl LoadBoard {
    /// Takes in what a sidecar told on its own link.
    pub fn told(&mut self, address: NodeAddress, load: UpstreamLoad) {
        self.take(address, load, true);
    }

    /// Takes in what another coordinator passed on.
    pub fn passed_on(&mut self, loads: &[NodeLoad]) {
        for NodeLoad { address, load } in loads {
            self.take(*address, *load, false);
        }
    }

    fn take(&mut self, address: NodeAddress, load: UpstreamLoad, here: bool) {
        self.position += 1;
        self.loads.insert(address, Told { load, here, changed_at: self.position });
    }

    /// Forgets the upstreams that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&NodeAddress) -> bool) {
        self.loads.retain(|address, _| is_listed(address));
    }

    /// The newest load of an upstream, if it told any.
    pub fn load(&self, address: &NodeAddress) -> Option<UpstreamLoad> {
        self.loads.get(address).map(|told| told.load)
    }

    /// Position of the newest load.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Loads of some upstreams that came after a position, for subscribers.
    pub fn since(&self, position: u64, of: impl Fn(&NodeAddress) -> bool) -> Vec<NodeLoad> {
        self.newer(position, |address, _| of(address))
    }

    /// Loads that sidecars told here after a position, for other coordinators.
    pub fn told_since(&self, position: u64) -> Vec<NodeLoad> {
        self.newer(position, |_, told| told.here)
    }

    /// The upstreams that take calls, summed up by service.
    pub fn by_service<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeRecord>,
    ) -> BTreeMap<&'a str, ServiceLoad> {
        let mut services: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        for node in nodes.filter(|node| !node.stopping) {
            let instance = node.instance.as_ref();
            let Some(instance) = instance.filter(|held| held.state == InstanceState::Ready) else {
                continue;
            };
            let told = self.loads.get(&node.address);
            let load = told.map_or(UpstreamLoad::default(), |told| told.load);
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

    fn newer(&self, position: u64, wanted: impl Fn(&NodeAddress, &Told) -> bool) -> Vec<NodeLoad> {
        let newer = |address: &NodeAddress, told: &Told| {
            told.changed_at > position && wanted(address, told)
        };
        let found = self.loads.iter().filter(|(address, told)| newer(address, told));
        found.map(|(address, told)| NodeLoad { address: *address, load: told.load }).collect()
    }
}
