//! Some coordinators and sidecars with their cores, in virtual time, over a network with delays.
#![allow(dead_code)]

use mesh::{encode_frame, CreditAmount, CreditAnswer, CreditRequest, NodeAddress, TenantId};
use quota::{Gate, Limit, Outcome, Pools, WINDOW_MS};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

pub type Millis = u64;

const ZONES: usize = 3;
const HOUSEKEEPING_MS: Millis = 50;
const LOOK_MS: Millis = 200;
/// Time after which a sidecar that is not heard is not listed any more.
const LISTED_MS: Millis = 1_500;

/// Which promise is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    /// A restarted coordinator starts with full pools.
    RefilledBurst,
    /// What a coordinator gives is not taken out of its pool.
    SpentTwice,
    /// The part of a sidecar is lent to the coordinator of its zone only.
    LostPart,
    /// Coordinators and sidecars learn of a lowered limit late.
    LateLimit,
}

enum Message {
    Request(usize, CreditRequest),
    Answer(usize, CreditAnswer),
    Pull(usize, Vec<CreditAmount>),
    Gift(usize, Vec<CreditAmount>),
}

enum Event {
    Deliver { from_zone: usize, to: usize, message: Message },
    Call { tenant: usize },
    Housekeeping(usize),
    Wake(usize),
    Look(usize),
}

pub struct Sidecar {
    pub gate: Gate<Waiting>,
    up: bool,
    lives: u64,
    asked: Option<usize>,
}

impl Sidecar {
    pub fn is_up(&self) -> bool {
        self.up
    }
}

#[derive(Debug)]
pub struct Waiting {
    tenant: usize,
    since: Millis,
}

struct Coordinator {
    pools: Pools,
    up: bool,
    heard: BTreeMap<usize, Millis>,
    listed: BTreeMap<usize, Millis>,
    refills: bool,
}

/// What became of the calls of one tenant.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub asked: Vec<Millis>,
    pub run: Vec<Millis>,
    pub refused: Vec<Millis>,
    pub retry_after: Vec<Millis>,
    pub waits: Vec<Millis>,
}

impl Seen {
    /// Most runs in any window that begins at a time or later.
    pub fn most_in_window(&self, begins: Millis) -> usize {
        let runs: Vec<Millis> = self.run.iter().copied().filter(|at| *at >= begins).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in runs.iter().enumerate() {
            while runs[first] + WINDOW_MS <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    pub fn refused_between(&self, span: std::ops::Range<Millis>) -> usize {
        self.refused.iter().filter(|at| span.contains(at)).count()
    }

    pub fn run_between(&self, span: std::ops::Range<Millis>) -> usize {
        self.run.iter().filter(|at| span.contains(at)).count()
    }
}

#[derive(Clone, Debug)]
pub struct Demand {
    pub per_s: f64,
    /// Calls that come together.
    pub clump: usize,
    /// Zone of its callers, or all.
    pub zone: Option<usize>,
}

pub struct Fleet {
    pub now: Millis,
    pub random: fastrand::Rng,
    broken: Broken,
    coordinators: Vec<Coordinator>,
    pub sidecars: Vec<Sidecar>,
    pub limits: Vec<Limit>,
    sidecar_limits: Vec<Limit>,
    pub demands: Vec<Demand>,
    pub seen: Vec<Seen>,
    cut: Option<usize>,
    events: BinaryHeap<Reverse<(Millis, u64)>>,
    bodies: BTreeMap<u64, Event>,
    next: u64,
    /// Frames and bytes from and to sidecars, and between coordinators.
    pub frames: usize,
    pub bytes: usize,
    pub peer_frames: usize,
    pub peer_bytes: usize,
}

fn id(tenant: usize) -> TenantId {
    TenantId(tenant as u64)
}

fn address(node: usize) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::from(0x0a00_0000 + node as u32), port: 15_100 }
}

impl Fleet {
    pub fn new(seed: u64, nodes: usize, tenants: &[(Limit, Demand)], broken: Broken) -> Self {
        let mut fleet = Fleet {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            broken,
            coordinators: Vec::new(),
            sidecars: Vec::new(),
            limits: tenants.iter().map(|(limit, _)| *limit).collect(),
            sidecar_limits: tenants.iter().map(|(limit, _)| *limit).collect(),
            demands: tenants.iter().map(|(_, demand)| demand.clone()).collect(),
            seen: vec![Seen::default(); tenants.len()],
            cut: None,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next: 0,
            frames: 0,
            bytes: 0,
            peer_frames: 0,
            peer_bytes: 0,
        };
        for coordinator in 0..ZONES {
            let made = fleet.new_coordinator(false);
            fleet.coordinators.push(made);
            let at = fleet.random.u64(0..LOOK_MS);
            fleet.push(at, Event::Look(coordinator));
        }
        for node in 0..nodes {
            let gate = fleet.new_gate();
            fleet.sidecars.push(Sidecar { gate, up: true, lives: 0, asked: None });
            let at = fleet.random.u64(0..HOUSEKEEPING_MS);
            fleet.push(at, Event::Housekeeping(node));
        }
        for tenant in 0..tenants.len() {
            fleet.push_call(tenant);
        }
        fleet
    }

    fn new_coordinator(&self, restarted: bool) -> Coordinator {
        let (since, refills) = (self.now, restarted && self.broken == Broken::RefilledBurst);
        let mut pools = Pools::new(since);
        pools.set_limits(self.limits.iter().enumerate().map(|(t, l)| (id(t), *l)), since);
        let (heard, listed) = (BTreeMap::new(), BTreeMap::new());
        Coordinator { pools, up: true, heard, listed, refills }
    }

    fn new_gate(&mut self) -> Gate<Waiting> {
        let mut gate = Gate::new(self.random.u64(..));
        gate.set_any_limit(true);
        gate
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.bodies.insert(self.next, event);
    }

    fn push_call(&mut self, tenant: usize) {
        let Demand { per_s, clump, .. } = self.demands[tenant];
        if per_s <= 0.0 {
            return;
        }
        let mean_ms = 1_000.0 * clump as f64 / per_s;
        let gap = -(1.0 - self.random.f64()).ln() * mean_ms;
        let at = self.now + gap.round() as Millis;
        self.push(at, Event::Call { tenant });
    }

    /// Changes what a tenant's callers ask.
    pub fn set_demand(&mut self, tenant: usize, demand: Demand) {
        let silent = self.demands[tenant].per_s <= 0.0;
        self.demands[tenant] = demand;
        if silent {
            self.push_call(tenant);
        }
    }

    fn zone_of_node(&self, node: usize) -> usize {
        node % ZONES
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cut != Some(from) && self.cut != Some(to)
    }

    fn way(&mut self, from: usize, to: usize) -> Millis {
        let least = if from == to { 1 } else { 2 };
        // Now and then a thread waits for its turn, or a packet is sent again.
        let late = if self.random.u32(0..100) == 0 { self.random.u64(0..60) } else { 0 };
        least + self.random.u64(0..2) + late
    }

    pub fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, _))) = self.events.peek() {
            if *at >= end {
                break;
            }
            let Some(Reverse((at, key))) = self.events.pop() else {
                break;
            };
            self.now = at;
            if let Some(event) = self.bodies.remove(&key) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { tenant } => {
                for _ in 0..self.demands[tenant].clump {
                    self.call(tenant);
                }
                self.push_call(tenant);
            }
            Event::Housekeeping(node) => {
                let now = self.now;
                self.sidecars[node].gate.expire(now);
                self.pump(node);
                let at = self.now + HOUSEKEEPING_MS;
                self.push(at, Event::Housekeeping(node));
            }
            Event::Wake(node) => self.pump(node),
            Event::Look(coordinator) => {
                self.look(coordinator);
                let at = self.now + LOOK_MS;
                self.push(at, Event::Look(coordinator));
            }
            Event::Deliver { from_zone, to, message } => self.deliver(from_zone, to, message),
        }
    }

    fn call(&mut self, tenant: usize) {
        let zone = self.demands[tenant].zone;
        let up = |node: &usize| {
            self.sidecars[*node].up && zone.is_none_or(|zone| self.zone_of_node(*node) == zone)
        };
        let nodes: Vec<usize> = (0..self.sidecars.len()).filter(up).collect();
        if nodes.is_empty() {
            return;
        }
        let node = nodes[self.random.usize(0..nodes.len())];
        self.call_at(tenant, node);
    }

    pub fn call_at(&mut self, tenant: usize, node: usize) {
        let now = self.now;
        self.seen[tenant].asked.push(now);
        let limit = self.sidecar_limits[tenant];
        let waiting = Waiting { tenant, since: now };
        let settled = self.sidecars[node].gate.admit(id(tenant), limit, waiting, now);
        self.note(settled);
        self.pump(node);
    }

    fn note(&mut self, settled: impl IntoIterator<Item = (Waiting, Outcome)>) {
        for (Waiting { tenant, since }, outcome) in settled {
            let seen = &mut self.seen[tenant];
            match outcome {
                Outcome::Admitted => {
                    seen.run.push(self.now);
                    seen.waits.push(self.now - since);
                }
                Outcome::Refused(refusal) => {
                    seen.refused.push(self.now);
                    seen.retry_after.push(refusal.retry_after_ms);
                }
            }
        }
    }

    fn pump(&mut self, node: usize) {
        if !self.sidecars[node].up {
            return;
        }
        let (now, zone) = (self.now, self.zone_of_node(node));
        let linked: Vec<usize> = (0..ZONES)
            .map(|step| (zone + step) % ZONES)
            .filter(|to| self.coordinators[*to].up && self.reaches(zone, *to))
            .collect();
        let sidecar = &mut self.sidecars[node];
        if sidecar.asked.is_some_and(|asked| !linked.contains(&asked)) {
            sidecar.asked = None;
            sidecar.gate.link_lost();
        }
        sidecar.gate.set_linked(!linked.is_empty());
        let settled = sidecar.gate.settle(now);
        let turn = usize::from(sidecar.gate.is_unanswered(now) && linked.len() > 1);
        if let Some(to) = linked.get(turn).copied() {
            if let Some(mut request) = sidecar.gate.request(to as u64, now) {
                request.lends &= self.broken != Broken::LostPart || to == zone;
                sidecar.asked = Some(to);
                let mut bytes = Vec::new();
                encode_frame(&mesh::ToCoordinator::Credits(request.clone()), &mut bytes);
                self.frames += 1;
                self.bytes += bytes.len();
                self.send(zone, to, Message::Request(node, request));
            }
        }
        self.note(settled);
        if let Some(at) = self.sidecars[node].gate.next_tick(now) {
            let soon = now + HOUSEKEEPING_MS;
            if at > now && at < soon {
                self.push(at, Event::Wake(node));
            }
        }
    }

    fn send(&mut self, from_zone: usize, to: usize, message: Message) {
        let to_zone = match &message {
            Message::Answer(node, _) => self.zone_of_node(*node),
            _ => to,
        };
        let at = self.now + self.way(from_zone, to_zone);
        self.push(at, Event::Deliver { from_zone, to, message });
    }

    fn deliver(&mut self, from_zone: usize, to: usize, message: Message) {
        let now = self.now;
        if let Message::Answer(node, answer) = message {
            let sidecar = &mut self.sidecars[node];
            if sidecar.up && sidecar.lives == to as u64 {
                sidecar.gate.handle_answer(answer, now);
                self.pump(node);
            }
            return;
        }
        if !self.coordinators[to].up || !self.reaches(from_zone, to) {
            return;
        }
        match message {
            Message::Request(node, request) => {
                let lives = self.sidecars[node].lives;
                let answered = self.coordinators[to].pools.request(address(node), request, now);
                if self.broken == Broken::SpentTwice {
                    let put_back = |grant: &mesh::CreditGrant| CreditAmount {
                        tenant: grant.tenant,
                        milli: u32::from(grant.granted) * 1_000,
                    };
                    let amounts: Vec<CreditAmount> =
                        answered.answer.grants.iter().map(put_back).collect();
                    self.coordinators[to].pools.receive(u64::MAX, &amounts, now);
                }
                self.coordinators[to].listed.insert(node, now);
                let mut bytes = Vec::new();
                encode_frame(&mesh::ToSidecar::Credits(answered.answer.clone()), &mut bytes);
                self.frames += 1;
                self.bytes += bytes.len();
                let answer = Message::Answer(node, answered.answer);
                let zone = self.zone_of_node(node);
                if self.reaches(to, zone) {
                    let at = now + self.way(to, zone);
                    let event =
                        Event::Deliver { from_zone: to, to: lives as usize, message: answer };
                    self.push(at, event);
                }
                for (peer, lacks) in answered.pulls {
                    self.note_peer_bytes(to, &lacks);
                    self.send(to, peer as usize, Message::Pull(to, lacks));
                }
            }
            Message::Pull(from, lacks) => {
                let gifts = self.coordinators[to].pools.give(&lacks, now);
                self.note_peer_bytes(to, &gifts);
                self.send(to, from, Message::Gift(to, gifts));
            }
            Message::Gift(from, gifts) => {
                self.coordinators[to].pools.receive(from as u64, &gifts, now);
            }
            Message::Answer(..) => {}
        }
    }

    fn note_peer_bytes(&mut self, member: usize, amounts: &[CreditAmount]) {
        let (member, lacks) = (member as u64, amounts.to_vec());
        let mut bytes = Vec::new();
        encode_frame(&mesh::CoordinatorFrame::CreditPull { member, lacks }, &mut bytes);
        self.peer_frames += 1;
        self.peer_bytes += bytes.len();
    }

    fn look(&mut self, own: usize) {
        if !self.coordinators[own].up {
            return;
        }
        let now = self.now;
        let mut listed = self.coordinators[own].listed.clone();
        for peer in (0..ZONES).filter(|peer| *peer != own) {
            if !self.coordinators[peer].up || !self.reaches(own, peer) {
                continue;
            }
            for (node, at) in self.coordinators[peer].listed.clone() {
                let held = listed.entry(node).or_insert(at);
                *held = at.max(*held);
            }
            self.coordinators[own].heard.insert(peer, now);
        }
        listed.retain(|_, at| now < *at + LISTED_MS);
        let coordinator = &mut self.coordinators[own];
        for (peer, at) in &coordinator.heard {
            coordinator.pools.fleet.heard_peer(*peer as u64, *at);
        }
        let peers: Vec<u64> = (0..ZONES as u64).filter(|peer| *peer != own as u64).collect();
        let nodes = listed.keys().map(|node| (address(*node), false));
        coordinator.pools.tick(nodes, &peers, now);
        if coordinator.refills && coordinator.pools.share() > 0.2 {
            coordinator.refills = false;
            let full = |(tenant, limit): (usize, &Limit)| CreditAmount {
                tenant: id(tenant),
                milli: (limit.depth() * 1_000.0 / ZONES as f64) as u32,
            };
            let amounts: Vec<CreditAmount> = self.limits.iter().enumerate().map(full).collect();
            coordinator.pools.receive(u64::MAX, &amounts, now);
        }
    }

    // Faults.

    pub fn kill_coordinator(&mut self, which: usize) {
        self.coordinators[which].up = false;
    }

    pub fn start_coordinator(&mut self, which: usize) {
        self.coordinators[which] = self.new_coordinator(true);
    }

    pub fn kill_sidecar(&mut self, node: usize) {
        self.sidecars[node].up = false;
    }

    pub fn start_sidecar(&mut self, node: usize) {
        let lives = self.sidecars[node].lives + 1;
        let gate = self.new_gate();
        self.sidecars[node] = Sidecar { gate, up: true, lives, asked: None };
    }

    pub fn cut(&mut self, zone: Option<usize>) {
        self.cut = zone;
    }

    /// Puts a limit in force at all coordinators and sidecars.
    pub fn set_limit(&mut self, tenant: usize, limit: Limit) {
        self.limits[tenant] = limit;
        if self.broken != Broken::LateLimit {
            self.apply_limits();
        }
    }

    pub fn apply_limits(&mut self) {
        let now = self.now;
        self.sidecar_limits = self.limits.clone();
        for coordinator in &mut self.coordinators {
            let limits = self.limits.iter().enumerate().map(|(t, l)| (id(t), *l));
            coordinator.pools.set_limits(limits, now);
        }
    }

    pub fn nodes(&self) -> usize {
        self.sidecars.len()
    }
}
