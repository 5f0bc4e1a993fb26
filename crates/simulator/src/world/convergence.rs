//! Convergence test and checks of the final state.

use super::{World, CONVERGENCE_LIMIT_MS};
use crate::operators::OperatorNode;
use std::collections::BTreeSet;

impl World {
    pub(super) fn has_converged(&self) -> bool {
        let Some(leader) = self.leader().and_then(|id| self.controls.get(&id)) else {
            return false;
        };
        let view = leader.config.view();
        self.repair.is_none()
            && self.operators.iter().all(OperatorNode::is_idle)
            && leader.config.newest_generation() >= self.checker.newest_accepted_generation()
            && self.controls.values().all(|node| node.config == leader.config)
            && self.proxies.iter().all(|proxy| {
                let target = view.target_for(proxy.core.name());
                // Before the first generation, no configuration is in force.
                proxy.core.generation().unwrap_or(0) == target.generation
                    && proxy.core.bundle().digest() == target.digest
            })
    }

    pub(super) fn check_end(&mut self, convergence_ms: u64) {
        if !self.checker.violations.is_empty() {
            return;
        }
        if convergence_ms >= CONVERGENCE_LIMIT_MS {
            let state = self.describe_state();
            self.checker.report(
                "convergence",
                format!("not converged within {CONVERGENCE_LIMIT_MS} ms: {state}"),
            );
        }
        if let Some(node) = self.leader().and_then(|id| self.controls.get(&id)) {
            self.checker.on_final_state(&node.config);
            let requests = self.shared_status.generation_requests.len() as u64;
            self.checker.on_final_count(node.config.newest_generation(), requests);
        }
        self.checker.on_final_calls();
        self.check_bundles();
    }

    pub(super) fn describe_state(&self) -> String {
        let proxies: Vec<Option<u64>> =
            self.proxies.iter().map(|proxy| proxy.core.generation()).collect();
        let controls: Vec<String> = self
            .controls
            .values()
            .map(|node| {
                let generation = node.config.newest_generation();
                format!("{} term {} generation {generation}", node.id, node.raft.term())
            })
            .collect();
        let idle: Vec<bool> = self.operators.iter().map(OperatorNode::is_idle).collect();
        let repairing = self.repair.is_some();
        format!(
            "leader {:?} controls {controls:?} proxies {proxies:?} idle {idle:?} repairing {repairing}",
            self.leader()
        )
    }

    /// Checks that no proxy's configuration has a dangling reference.
    pub(super) fn check_bundles(&mut self) {
        let broken: BTreeSet<usize> = self
            .proxies
            .iter()
            .filter(|proxy| !proxy.core.bundle().check().is_empty())
            .map(|proxy| proxy.number)
            .collect();
        if !broken.is_empty() {
            self.checker.report("no-dangling-reference", format!("proxies {broken:?}"));
        }
    }
}
