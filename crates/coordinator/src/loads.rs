//! How busy the upstreams are, for those that choose among them; soft state, pure.
//!
//! A sidecar sends too few calls to hear of each upstream often enough. So each one tells its
//! coordinator a few bytes when its load changes, coordinators pass on what their own subscribers
//! told, and each tells its subscribers of all. A load is only a hint: it is not repeated when it
//! is lost, and readers let it age.

use mesh::{NodeAddress, NodeLoad, UpstreamLoad};
use std::collections::BTreeMap;

/// A load with where it came from.
#[derive(Clone, Copy, Debug)]
struct Told {
    load: UpstreamLoad,
    /// Whether the sidecar told it here.
    here: bool,
    changed_at: u64,
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

    /// Position of the newest load.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Loads that came after a position, for a subscriber.
    pub fn since(&self, position: u64) -> Vec<NodeLoad> {
        self.newer(position, |_| true)
    }

    /// Loads that sidecars told here after a position, for other coordinators.
    pub fn told_since(&self, position: u64) -> Vec<NodeLoad> {
        self.newer(position, |told| told.here)
    }

    fn newer(&self, position: u64, wanted: impl Fn(&Told) -> bool) -> Vec<NodeLoad> {
        let newer = |told: &Told| told.changed_at > position && wanted(told);
        let found = self.loads.iter().filter(|(_, told)| newer(told));
        found.map(|(address, told)| NodeLoad { address: *address, load: told.load }).collect()
    }
}
