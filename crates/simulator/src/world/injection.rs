//! Fault injection.

use super::{World, ZONES};
use crate::control_node::{TornWrite, TICK_MS};
use crate::faults::{Fault, ProcessKind};
use crate::packet::Node;

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        self.trace(|| format!("fault {fault:?}"));
        match fault {
            Fault::KillOne { kind, restart_ms } => {
                if let Some(node) = self.pick_node(kind) {
                    self.kill(node, restart_ms);
                }
            }
            Fault::KillAll { kind, restart_ms } => {
                for node in self.nodes_of(kind) {
                    let after_ms = self.hosts.random.u64(1..=restart_ms);
                    self.kill(node, after_ms);
                }
            }
            Fault::LoseDisk => self.lose_disk(),
            Fault::TearWrite { bytes, restart_ms } => {
                if let Some(Node::Control(id)) = self.pick_node(ProcessKind::Control) {
                    if let Some(node) = self.controls.get_mut(&id) {
                        node.tear_next_write = Some(TornWrite { bytes, restart_ms });
                    }
                }
            }
            Fault::Cut { both_ways, heal_ms } => self.partition_zone(both_ways, heal_ms),
            Fault::Freeze { kind, wake_ms } => {
                if let Some(node) = self.pick_node(kind) {
                    let until_ms = self.hosts.now_ms + wake_ms;
                    self.hosts.freeze(node, until_ms);
                }
            }
            Fault::Sleep { kind, wake_ms, heal_ms } => self.sleep_machine(kind, wake_ms, heal_ms),
            Fault::Isolate { kind, heal_ms } => {
                if let Some(node) = self.pick_node(kind) {
                    let until_ms = self.hosts.now_ms + heal_ms;
                    self.hosts.isolate_from_control(node, until_ms);
                }
            }
            Fault::PauseTogether { wake_ms, heal_ms } => self.pause_together(wake_ms, heal_ms),
            Fault::Disturb { extra_delay_ms } => {
                self.hosts.faults.extra_delay_ms = extra_delay_ms;
                self.hosts.faults.duplicate_percent = 10;
                self.hosts.faults.loss_percent = 10;
            }
            Fault::Skew => {
                for id in self.control_ids() {
                    let tick_ms = self.hosts.random.u64(TICK_MS / 2..=2 * TICK_MS);
                    self.tick_ms.insert(id, tick_ms);
                }
            }
            Fault::BackendLeaves => self.start_backend_leaving(),
        }
    }

    /// Suspends a machine. With a leader, suspends a relay too, which may poll that leader when
    /// both wake up.
    fn sleep_machine(&mut self, kind: ProcessKind, wake_ms: u64, heal_ms: u64) {
        let now_ms = self.hosts.now_ms;
        if let Some(node) = self.pick_node(kind) {
            self.hosts.sleep(node, now_ms + wake_ms);
            self.hosts.isolate_from_control(node, now_ms + heal_ms);
        }
        if kind == ProcessKind::Leader {
            if let Some(relay) = self.pick_node(ProcessKind::Relay) {
                self.hosts.sleep(relay, now_ms + wake_ms);
            }
        }
    }

    pub(super) fn pause_together(&mut self, wake_ms: u64, heal_ms: u64) {
        let now_ms = self.hosts.now_ms;
        if let Some(leader) = self.pick_node(ProcessKind::Leader) {
            self.hosts.freeze(leader, now_ms + wake_ms);
            self.hosts.isolate_from_control(leader, now_ms + heal_ms);
        }
        if let Some(relay) = self.pick_node(ProcessKind::Relay) {
            self.hosts.freeze(relay, now_ms + wake_ms);
        }
    }

    pub(super) fn partition_zone(&mut self, both_ways: bool, heal_ms: u64) {
        let zone = self.hosts.random.usize(..ZONES);
        let at_ms = self.hosts.now_ms + heal_ms;
        for other in (0..ZONES).filter(|other| *other != zone) {
            let mut pairs = vec![(zone, other)];
            if both_ways {
                pairs.push((other, zone));
            }
            for pair in pairs {
                self.hosts.faults.cut.insert(pair);
                self.cut_ends.push((at_ms, pair));
            }
        }
    }
}
