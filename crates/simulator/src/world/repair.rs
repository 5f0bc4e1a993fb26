//! Loss of a control replica's disk, and the replacement of the replica.

use super::World;
use crate::control_node::initial_snapshot;
use crate::faults::ProcessKind;
use crate::packet::Node;
use crate::scenario::BrokenVariant;
use consensus::Membership;
use storage::MemoryStore;

/// Replacement in progress of a replica that lost its disk, by member id.
pub(super) struct Repair {
    lost: u64,
    replacement: u64,
}

impl World {
    /// Stops a replica and loses its disk. At most one replica is being replaced at a time: a
    /// second loss before then could lose committed entries, which no replicated system survives.
    pub(super) fn lose_disk(&mut self) {
        if self.repair.is_some() {
            return;
        }
        let Some(Node::Control(lost)) = self.pick_node(ProcessKind::Control) else { return };
        self.stop_control(lost);
        self.disks.remove(&lost);
        if self.is_broken(BrokenVariant::SameIdAfterLostDisk) {
            let members = self.controls.keys().copied().chain([lost]);
            let snapshot = initial_snapshot(Membership::of_voters(members));
            self.disks.insert(lost, MemoryStore::new(snapshot));
            self.start_control(lost);
            if std::mem::take(&mut self.second_loss_pending) {
                self.lose_disk();
            }
            return;
        }
        let replacement = self.next_member;
        self.next_member += 1;
        let empty = initial_snapshot(Membership::default());
        self.disks.insert(replacement, MemoryStore::new(empty));
        self.start_control(replacement);
        self.trace(|| format!("control {lost} lost its disk, {replacement} replaces it"));
        self.repair = Some(Repair { lost, replacement });
        self.update_control_ids();
    }

    pub(super) fn update_control_ids(&mut self) {
        let ids = self.control_ids();
        for relay in self.relays.iter_mut().flatten() {
            relay.set_controls(ids.clone());
        }
        for proxy in &mut self.proxies {
            proxy.set_controls(ids.clone());
        }
        for operator in &mut self.operators {
            operator.set_controls(ids.clone());
        }
    }

    /// Takes the next step of a replacement: add the new member as a learner, remove the lost one,
    /// promote the learner.
    pub(super) fn continue_repair(&mut self) {
        let Some(Repair { lost, replacement }) = &self.repair else { return };
        let (lost, replacement) = (*lost, *replacement);
        let Some(leader) = self.leader() else { return };
        if self.hosts.is_frozen(Node::Control(leader)) {
            return;
        }
        let Some(node) = self.controls.get_mut(&leader) else { return };
        let mut next = node.raft.membership().clone();
        if !next.voters.contains(&lost) && next.voters.contains(&replacement) {
            let committed = node.raft.propose_membership(next).is_ok();
            if committed && node.raft.committed_in_term() {
                self.finish_repair();
            }
            return;
        }
        if !next.learners.contains(&replacement) && !next.voters.contains(&replacement) {
            next.learners.insert(replacement);
        } else if next.voters.contains(&lost) {
            next.voters.remove(&lost);
        } else {
            next.learners.remove(&replacement);
            next.voters.insert(replacement);
        }
        node.change_membership(next, &mut self.hosts, &mut self.checker);
    }

    pub(super) fn finish_repair(&mut self) {
        self.trace(|| "replacement is complete".to_owned());
        self.repair = None;
        if std::mem::take(&mut self.second_loss_pending) {
            self.lose_disk();
        }
    }
}
