//! Event queue, process states (crashed, frozen, suspended) and the network between processes.

use crate::packet::{Node, Packet, Timer};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Event delivered to a process.
#[expect(clippy::large_enum_variant, reason = "boxing every packet would slow the runs down")]
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Deliver { from: Node, packet: Packet },
    Timer(Timer),
}

#[derive(Clone, Debug)]
struct Scheduled {
    at_ms: u64,
    sequence: u64,
    to: Node,
    incarnation: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_ms, other.sequence).cmp(&(self.at_ms, self.sequence))
    }
}

#[derive(Clone, Debug, Default)]
struct Host {
    zone: usize,
    up: bool,
    incarnation: u64,
    frozen_until_ms: u64,
    /// How long the machine has been suspended since the process started.
    slept_ms: u64,
    /// Part of `slept_ms` that the process has not detected yet.
    unnoticed_sleep_ms: u64,
}

/// Network faults currently in effect.
#[derive(Clone, Debug, Default)]
pub(crate) struct NetworkFaults {
    /// Pairs of zones (from, to) between which all packets are dropped.
    pub cut: BTreeSet<(usize, usize)>,
    /// Upper bound of the random extra delay of a packet.
    pub extra_delay_ms: u64,
    /// Percentage of consensus messages that are duplicated.
    pub duplicate_percent: u32,
    /// Percentage of consensus messages that are lost.
    pub loss_percent: u32,
}

/// The simulated processes, their pending events and the network between them.
pub(crate) struct Hosts {
    pub now_ms: u64,
    pub random: fastrand::Rng,
    pub faults: NetworkFaults,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    hosts: BTreeMap<Node, Host>,
    isolated_until_ms: BTreeMap<Node, u64>,
    /// Broken variant: clocks stop while machines are suspended.
    pub clocks_stop_in_sleep: bool,
}

const SAME_ZONE_DELAY_MS: u64 = 1;
const OTHER_ZONE_DELAY_MS: u64 = 2;

impl Hosts {
    pub fn new(seed: u64) -> Self {
        Hosts {
            now_ms: 0,
            random: fastrand::Rng::with_seed(seed),
            faults: NetworkFaults::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            hosts: BTreeMap::new(),
            isolated_until_ms: BTreeMap::new(),
            clocks_stop_in_sleep: false,
        }
    }

    /// Starts or restarts a process.
    pub fn start(&mut self, node: Node, zone: usize) {
        let host = self.hosts.entry(node).or_default();
        host.zone = zone;
        host.up = true;
        host.incarnation += 1;
        host.frozen_until_ms = 0;
        host.slept_ms = 0;
        host.unnoticed_sleep_ms = 0;
    }

    /// Stops a process. Events in flight to it are lost.
    pub fn stop(&mut self, node: Node) {
        if let Some(host) = self.hosts.get_mut(&node) {
            host.up = false;
        }
    }

    pub fn is_up(&self, node: Node) -> bool {
        self.hosts.get(&node).is_some_and(|host| host.up)
    }

    pub fn freeze(&mut self, node: Node, until_ms: u64) {
        if let Some(host) = self.hosts.get_mut(&node) {
            host.frozen_until_ms = host.frozen_until_ms.max(until_ms);
        }
    }

    /// Suspends the machine of a process: it handles no events, and in the broken variant its clock
    /// stops.
    pub fn sleep(&mut self, node: Node, until_ms: u64) {
        let now_ms = self.now_ms;
        if let Some(host) = self.hosts.get_mut(&node) {
            let asleep_until_ms = host.frozen_until_ms.max(now_ms);
            let more_ms = until_ms.saturating_sub(asleep_until_ms);
            host.slept_ms += more_ms;
            host.unnoticed_sleep_ms += more_ms;
        }
        self.freeze(node, until_ms);
    }

    /// Returns the current time according to the clock of a process.
    pub fn clock_ms(&self, node: Node) -> u64 {
        let slept_ms = self.hosts.get(&node).map_or(0, |host| host.slept_ms);
        match self.clocks_stop_in_sleep {
            true => self.now_ms.saturating_sub(slept_ms),
            false => self.now_ms,
        }
    }

    /// Returns how long the machine was suspended since the last call, if the process can detect
    /// it.
    pub fn take_unnoticed_sleep(&mut self, node: Node) -> Option<u64> {
        let host = self.hosts.get_mut(&node)?;
        let slept_ms = std::mem::take(&mut host.unnoticed_sleep_ms);
        (slept_ms > 0 && !self.clocks_stop_in_sleep).then_some(slept_ms)
    }

    /// Drops all packets between a process and control replicas until `until_ms`. Other traffic is
    /// unaffected.
    pub fn isolate_from_control(&mut self, node: Node, until_ms: u64) {
        self.isolated_until_ms.insert(node, until_ms);
    }

    fn is_isolated(&self, from: Node, to: Node) -> bool {
        let isolated = |node| self.isolated_until_ms.get(&node).is_some_and(|at| self.now_ms < *at);
        let is_control = |node| matches!(node, Node::Control(_));
        (isolated(from) && is_control(to)) || (isolated(to) && is_control(from))
    }

    pub fn clear_freezes_and_isolation(&mut self) {
        self.isolated_until_ms.clear();
        for host in self.hosts.values_mut() {
            host.frozen_until_ms = 0;
        }
    }

    pub fn is_frozen(&self, node: Node) -> bool {
        self.hosts.get(&node).is_some_and(|host| self.now_ms < host.frozen_until_ms)
    }

    fn push(&mut self, at_ms: u64, to: Node, event: Event) {
        let incarnation = self.hosts.get(&to).map_or(0, |host| host.incarnation);
        self.sequence += 1;
        self.queue.push(Scheduled { at_ms, sequence: self.sequence, to, incarnation, event });
    }

    pub fn set_timer(&mut self, node: Node, after_ms: u64, timer: Timer) {
        self.push(self.now_ms + after_ms, node, Event::Timer(timer));
    }

    /// Sends a packet. A request to a process that is down is answered with a reset.
    pub fn send(&mut self, from: Node, to: Node, packet: Packet) {
        let (from_zone, to_zone) = (self.zone(from), self.zone(to));
        if self.faults.cut.contains(&(from_zone, to_zone)) || self.is_isolated(from, to) {
            return;
        }
        let is_raft = matches!(packet, Packet::Raft(_));
        if is_raft && self.random.u32(0..100) < self.faults.loss_percent {
            return;
        }
        let delay_ms = self.delay_ms(from_zone, to_zone);
        if !self.is_up(to) {
            if let Some(call) = packet.request_call_id() {
                let reset = Event::Deliver { from: to, packet: Packet::Reset(call) };
                self.push(self.now_ms + 2 * delay_ms, from, reset);
            }
            return;
        }
        if is_raft && self.random.u32(0..100) < self.faults.duplicate_percent {
            let later_ms = self.delay_ms(from_zone, to_zone) + self.random.u64(0..200);
            let event = Event::Deliver { from, packet: packet.clone() };
            self.push(self.now_ms + later_ms, to, event);
        }
        self.push(self.now_ms + delay_ms, to, Event::Deliver { from, packet });
    }

    fn delay_ms(&mut self, from: usize, to: usize) -> u64 {
        let base = if from == to { SAME_ZONE_DELAY_MS } else { OTHER_ZONE_DELAY_MS };
        base + self.random.u64(0..=self.faults.extra_delay_ms)
    }

    fn zone(&self, node: Node) -> usize {
        self.hosts.get(&node).map_or(0, |host| host.zone)
    }

    /// Advances the time to the next event and returns it, or advances to `until_ms` if there is
    /// none before. Events of frozen processes are deferred until they resume.
    pub fn next(&mut self, until_ms: u64) -> Option<(Node, Event)> {
        while let Some(scheduled) = self.queue.peek() {
            if scheduled.at_ms > until_ms {
                break;
            }
            let mut scheduled = self.queue.pop()?;
            self.now_ms = self.now_ms.max(scheduled.at_ms);
            let Some(host) = self.hosts.get(&scheduled.to) else { continue };
            if !host.up || host.incarnation != scheduled.incarnation {
                continue;
            }
            if self.now_ms < host.frozen_until_ms {
                // Keeps the sequence number, so that buffered packets arrive in order.
                scheduled.at_ms = host.frozen_until_ms;
                self.queue.push(scheduled);
                continue;
            }
            return Some((scheduled.to, scheduled.event));
        }
        self.now_ms = until_ms;
        None
    }
}
