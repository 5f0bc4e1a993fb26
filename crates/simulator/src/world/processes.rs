//! Starting, stopping and selecting processes.

use super::{World, PROXIES, RELAYS, ZONES};
use crate::control_node::{ControlNode, TICK_MS};
use crate::faults::ProcessKind;
use crate::packet::{Node, Packet, Timer};
use crate::relay_node::RelayNode;
use crate::scenario::BrokenVariant;
use relay::RelayWeakness;
use storage::CrashPoint;

impl World {
    pub(super) fn start_control(&mut self, id: u64) {
        let Some(store) = self.disks.get(&id).cloned() else { return };
        self.hosts.start(Node::Control(id), id as usize % ZONES);
        let seed = self.hosts.random.u64(..);
        let node = ControlNode::start(id, store, self.control_weakness(), seed);
        self.controls.insert(id, node);
        let tick_ms = self.tick_ms.get(&id).copied().unwrap_or(TICK_MS);
        self.hosts.set_timer(Node::Control(id), tick_ms, Timer::Tick);
    }

    pub(super) fn stop_control(&mut self, id: u64) {
        let Some(mut node) = self.controls.remove(&id) else { return };
        if node.restart_after_ms.is_none() {
            node.store.crash(CrashPoint::Clean, None);
        }
        self.disks.insert(id, node.store);
        self.hosts.stop(Node::Control(id));
        let relays = self.relays.iter().flatten();
        let resets: Vec<(usize, u64)> = relays
            .flat_map(|relay| relay.open_calls_to(id).into_iter().map(|call| (relay.number, call)))
            .collect();
        for (relay, call) in resets {
            self.hosts.send(Node::Control(id), Node::Relay(relay), Packet::Reset(call));
        }
    }

    pub(super) fn start_relay(&mut self, number: usize) {
        self.hosts.start(Node::Relay(number), number % ZONES);
        let weakness = match self.parameters.broken {
            Some(BrokenVariant::RelayWithoutConfirmation) => Some(RelayWeakness::NoConfirmation),
            Some(BrokenVariant::AcceptsOlder) => Some(RelayWeakness::SendsOlder),
            _ => None,
        };
        let stays = self.is_broken(BrokenVariant::RelayStaysWithDeadLeader);
        let controls = self.control_ids();
        let zone = number % ZONES;
        let relay = RelayNode::start(number, zone, controls, weakness, stays, &mut self.hosts);
        self.relays[number] = Some(relay);
    }

    pub(super) fn stop_relay(&mut self, number: usize) {
        self.relays[number] = None;
        self.hosts.stop(Node::Relay(number));
        let open = self.proxies.iter().filter_map(|proxy| {
            let (relay, call) = proxy.open_call()?;
            (relay == number).then_some((proxy.number, call))
        });
        for (proxy, call) in open.collect::<Vec<_>>() {
            self.hosts.send(Node::Relay(number), Node::Proxy(proxy), Packet::Reset(call));
        }
    }

    pub(super) fn start_proxy(&mut self, number: usize) {
        self.hosts.start(Node::Proxy(number), number % ZONES);
        self.proxies[number].restart(&mut self.hosts);
    }

    pub(super) fn start(&mut self, node: Node) {
        self.trace(|| format!("start {node:?}"));
        match node {
            Node::Control(id) => self.start_control(id),
            Node::Relay(number) => self.start_relay(number),
            Node::Proxy(number) => self.start_proxy(number),
            Node::Operator(_) => {}
        }
    }

    pub(super) fn kill(&mut self, node: Node, restart_ms: u64) {
        if !self.hosts.is_up(node) {
            return;
        }
        self.trace(|| format!("kill {node:?} for {restart_ms} ms"));
        match node {
            Node::Control(id) => self.stop_control(id),
            Node::Relay(number) => self.stop_relay(number),
            _ => self.hosts.stop(node),
        }
        self.restarts.push((self.hosts.now_ms + restart_ms, node));
    }

    pub(super) fn leader(&self) -> Option<u64> {
        let leaders = self.controls.values().filter(|node| node.raft.is_leader());
        leaders.max_by_key(|node| node.raft.term()).map(|node| node.id)
    }

    pub(super) fn pick_node(&mut self, kind: ProcessKind) -> Option<Node> {
        match kind {
            ProcessKind::Leader => self.leader().map(Node::Control),
            ProcessKind::Control => {
                let ids: Vec<u64> = self.controls.keys().copied().collect();
                let position = self.hosts.random.usize(..ids.len().max(1));
                ids.get(position).map(|id| Node::Control(*id))
            }
            ProcessKind::Relay => Some(Node::Relay(self.hosts.random.usize(..RELAYS))),
            ProcessKind::Proxy => Some(Node::Proxy(self.hosts.random.usize(..PROXIES))),
        }
    }

    pub(super) fn nodes_of(&self, kind: ProcessKind) -> Vec<Node> {
        match kind {
            ProcessKind::Control | ProcessKind::Leader => {
                self.controls.keys().map(|id| Node::Control(*id)).collect()
            }
            ProcessKind::Relay => (0..RELAYS).map(Node::Relay).collect(),
            ProcessKind::Proxy => (0..PROXIES).map(Node::Proxy).collect(),
        }
    }
}
