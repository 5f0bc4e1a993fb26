//! Simulates coordinators and sidecars in virtual time, over a network with delays.
#![allow(dead_code)]

use mesh::{encode_frame, CreditAmount, CreditAnswer, CreditRequest, NodeAddress, TenantId};
use quota::{Gate, Limit, Outcome, Pools, WINDOW_MS};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

pub type Millis = u64;

const ZONES: usize = 3;
const MAINTENANCE_INTERVAL_MS: Millis = 50;
const TICK_MS: Millis = 200;
/// Time without requests after which a sidecar is not listed any more.
const LISTING_TTL_MS: Millis = 1_500;

/// A deliberate defect, which the tests must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// A restarted coordinator starts with full pools.
    FullAfterRestart,
    /// A coordinator does not remove granted credit from its pool.
    UndebitedGrants,
    /// A sidecar lends its share to the coordinator of its own zone only.
    LendsInZoneOnly,
    /// Coordinators and sidecars apply a lowered limit late.
    LateLimit,
}

/// Messages with the sidecar or coordinator that sent them; an answer names its receiver.
enum Message {
    Request(usize, CreditRequest),
    Answer(usize, CreditAnswer),
    Pull(usize, Vec<CreditAmount>),
    Transfer(usize, Vec<CreditAmount>),
}

enum Event {
    /// `to` is a coordinator, or for an answer the incarnation of the receiving sidecar.
    Deliver {
        from_zone: usize,
        to: usize,
        message: Message,
    },
    Call {
        tenant: usize,
    },
    Maintenance(usize),
    Wake(usize),
    Tick(usize),
}

pub struct Sidecar {
    pub gate: Gate<WaitingCall>,
    up: bool,
    /// Number of restarts; answers to earlier processes are dropped.
    incarnation: u64,
    /// The coordinator that the last request was sent to.
    asked: Option<usize>,
}

impl Sidecar {
    pub fn is_up(&self) -> bool {
        self.up
    }
}

#[derive(Debug)]
pub struct WaitingCall {
    tenant: usize,
    since: Millis,
}

struct Coordinator {
    pools: Pools,
    up: bool,
    heard_peers: BTreeMap<usize, Millis>,
    listed: BTreeMap<usize, Millis>,
    /// Whether its pools are still to be filled ([`Defect::FullAfterRestart`]).
    starts_full: bool,
}

/// Times and outcomes of the calls of one tenant.
#[derive(Clone, Debug, Default)]
pub struct CallRecord {
    pub arrived: Vec<Millis>,
    pub admitted: Vec<Millis>,
    pub refused: Vec<Millis>,
    /// Retry times of refused calls, milliseconds.
    pub retry_after: Vec<Millis>,
    /// Waits of admitted calls, milliseconds.
    pub waits: Vec<Millis>,
}

impl CallRecord {
    /// Maximum number of admitted calls in any window that begins at `start` or later.
    pub fn max_in_window(&self, start: Millis) -> usize {
        let admitted: Vec<Millis> =
            self.admitted.iter().copied().filter(|at| *at >= start).collect();
        let mut first = 0;
        let mut max = 0;
        for (last, at) in admitted.iter().enumerate() {
            while admitted[first] + WINDOW_MS <= *at {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        max
    }

    pub fn refused_between(&self, span: std::ops::Range<Millis>) -> usize {
        self.refused.iter().filter(|at| span.contains(at)).count()
    }

    pub fn admitted_between(&self, span: std::ops::Range<Millis>) -> usize {
        self.admitted.iter().filter(|at| span.contains(at)).count()
    }
}

#[derive(Clone, Debug)]
pub struct Demand {
    pub per_s: f64,
    /// Number of calls that arrive together.
    pub batch: usize,
    /// Zone of the callers; `None` for all zones.
    pub zone: Option<usize>,
}

pub struct Fleet {
    pub now: Millis,
    pub random: fastrand::Rng,
    defect: Defect,
    coordinators: Vec<Coordinator>,
    pub sidecars: Vec<Sidecar>,
    pub limits: Vec<Limit>,
    /// The limits that sidecars have applied.
    sidecar_limits: Vec<Limit>,
    pub demands: Vec<Demand>,
    pub records: Vec<CallRecord>,
    /// Zone without links to the others.
    cut: Option<usize>,
    /// Times and numbers of the pending events.
    events: BinaryHeap<Reverse<(Millis, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    next_event: u64,
    /// Frames and bytes exchanged between sidecars and coordinators.
    pub frames: usize,
    pub bytes: usize,
    /// Frames and bytes exchanged between coordinators.
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
    pub fn new(seed: u64, nodes: usize, tenants: &[(Limit, Demand)], defect: Defect) -> Self {
        let mut fleet = Fleet {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            defect,
            coordinators: Vec::new(),
            sidecars: Vec::new(),
            limits: tenants.iter().map(|(limit, _)| *limit).collect(),
            sidecar_limits: tenants.iter().map(|(limit, _)| *limit).collect(),
            demands: tenants.iter().map(|(_, demand)| demand.clone()).collect(),
            records: vec![CallRecord::default(); tenants.len()],
            cut: None,
            events: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            next_event: 0,
            frames: 0,
            bytes: 0,
            peer_frames: 0,
            peer_bytes: 0,
        };
        for coordinator in 0..ZONES {
            let new = fleet.new_coordinator(false);
            fleet.coordinators.push(new);
            let at = fleet.random.u64(0..TICK_MS);
            fleet.push(at, Event::Tick(coordinator));
        }
        for node in 0..nodes {
            let gate = fleet.new_gate();
            fleet.sidecars.push(Sidecar { gate, up: true, incarnation: 0, asked: None });
            let at = fleet.random.u64(0..MAINTENANCE_INTERVAL_MS);
            fleet.push(at, Event::Maintenance(node));
        }
        for tenant in 0..tenants.len() {
            fleet.schedule_call(tenant);
        }
        fleet
    }

    fn new_coordinator(&self, restarted: bool) -> Coordinator {
        let (since, starts_full) = (self.now, restarted && self.defect == Defect::FullAfterRestart);
        let mut pools = Pools::new(since);
        pools.set_limits(self.limits.iter().enumerate().map(|(t, l)| (id(t), *l)), since);
        let (heard_peers, listed) = (BTreeMap::new(), BTreeMap::new());
        Coordinator { pools, up: true, heard_peers, listed, starts_full }
    }

    fn new_gate(&mut self) -> Gate<WaitingCall> {
        let mut gate = Gate::new(self.random.u64(..));
        gate.set_any_limit(true);
        gate
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.pending_events.insert(self.next_event, event);
    }

    fn schedule_call(&mut self, tenant: usize) {
        let Demand { per_s, batch, .. } = self.demands[tenant];
        if per_s <= 0.0 {
            return;
        }
        let mean_ms = 1_000.0 * batch as f64 / per_s;
        let gap = -(1.0 - self.random.f64()).ln() * mean_ms;
        let at = self.now + gap.round() as Millis;
        self.push(at, Event::Call { tenant });
    }

    /// Changes the demand of a tenant's callers.
    pub fn set_demand(&mut self, tenant: usize, demand: Demand) {
        let was_idle = self.demands[tenant].per_s <= 0.0;
        self.demands[tenant] = demand;
        if was_idle {
            self.schedule_call(tenant);
        }
    }

    fn zone_of_node(&self, node: usize) -> usize {
        node % ZONES
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cut != Some(from) && self.cut != Some(to)
    }

    fn delay(&mut self, from: usize, to: usize) -> Millis {
        let min_ms = if from == to { 1 } else { 2 };
        // Occasional delays by thread scheduling or retransmission.
        let extra_ms = if self.random.u32(0..100) == 0 { self.random.u64(0..60) } else { 0 };
        min_ms + self.random.u64(0..2) + extra_ms
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
            if let Some(event) = self.pending_events.remove(&key) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { tenant } => {
                for _ in 0..self.demands[tenant].batch {
                    self.call(tenant);
                }
                self.schedule_call(tenant);
            }
            Event::Maintenance(node) => {
                let now = self.now;
                self.sidecars[node].gate.expire(now);
                self.run_sidecar(node);
                let at = self.now + MAINTENANCE_INTERVAL_MS;
                self.push(at, Event::Maintenance(node));
            }
            Event::Wake(node) => self.run_sidecar(node),
            Event::Tick(coordinator) => {
                self.tick_coordinator(coordinator);
                let at = self.now + TICK_MS;
                self.push(at, Event::Tick(coordinator));
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
        self.records[tenant].arrived.push(now);
        let limit = self.sidecar_limits[tenant];
        let waiting = WaitingCall { tenant, since: now };
        let settled = self.sidecars[node].gate.admit(id(tenant), limit, waiting, now);
        self.record_outcomes(settled);
        self.run_sidecar(node);
    }

    fn record_outcomes(&mut self, settled: impl IntoIterator<Item = (WaitingCall, Outcome)>) {
        for (WaitingCall { tenant, since }, outcome) in settled {
            let record = &mut self.records[tenant];
            match outcome {
                Outcome::Admitted => {
                    record.admitted.push(self.now);
                    record.waits.push(self.now - since);
                }
                Outcome::Refused(refusal) => {
                    record.refused.push(self.now);
                    record.retry_after.push(refusal.retry_after_ms);
                }
            }
        }
    }

    fn run_sidecar(&mut self, node: usize) {
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
        let index = usize::from(sidecar.gate.is_unanswered(now) && linked.len() > 1);
        if let Some(to) = linked.get(index).copied() {
            if let Some(mut request) = sidecar.gate.request(to as u64, now) {
                request.lends &= self.defect != Defect::LendsInZoneOnly || to == zone;
                sidecar.asked = Some(to);
                let mut bytes = Vec::new();
                encode_frame(&mesh::ToCoordinator::Credits(request.clone()), &mut bytes);
                self.frames += 1;
                self.bytes += bytes.len();
                self.send(zone, to, Message::Request(node, request));
            }
        }
        self.record_outcomes(settled);
        if let Some(at) = self.sidecars[node].gate.next_tick(now) {
            let soon = now + MAINTENANCE_INTERVAL_MS;
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
        let at = self.now + self.delay(from_zone, to_zone);
        self.push(at, Event::Deliver { from_zone, to, message });
    }

    fn deliver(&mut self, from_zone: usize, to: usize, message: Message) {
        let now = self.now;
        if let Message::Answer(node, answer) = message {
            let sidecar = &mut self.sidecars[node];
            if sidecar.up && sidecar.incarnation == to as u64 {
                sidecar.gate.handle_answer(answer, now);
                self.run_sidecar(node);
            }
            return;
        }
        if !self.coordinators[to].up || !self.reaches(from_zone, to) {
            return;
        }
        match message {
            Message::Request(node, request) => {
                let incarnation = self.sidecars[node].incarnation;
                let response = self.coordinators[to].pools.request(address(node), request, now);
                if self.defect == Defect::UndebitedGrants {
                    let undo_debit = |grant: &mesh::CreditGrant| CreditAmount {
                        tenant: grant.tenant,
                        milli: u32::from(grant.granted) * 1_000,
                    };
                    let amounts: Vec<CreditAmount> =
                        response.answer.grants.iter().map(undo_debit).collect();
                    self.coordinators[to].pools.receive(u64::MAX, &amounts, now);
                }
                self.coordinators[to].listed.insert(node, now);
                let mut bytes = Vec::new();
                encode_frame(&mesh::ToSidecar::Credits(response.answer.clone()), &mut bytes);
                self.frames += 1;
                self.bytes += bytes.len();
                let answer = Message::Answer(node, response.answer);
                let zone = self.zone_of_node(node);
                if self.reaches(to, zone) {
                    let at = now + self.delay(to, zone);
                    let event =
                        Event::Deliver { from_zone: to, to: incarnation as usize, message: answer };
                    self.push(at, event);
                }
                for (peer, missing) in response.pulls {
                    self.count_peer_bytes(to, &missing);
                    self.send(to, peer as usize, Message::Pull(to, missing));
                }
            }
            Message::Pull(from, missing) => {
                let credits = self.coordinators[to].pools.give(&missing, now);
                self.count_peer_bytes(to, &credits);
                self.send(to, from, Message::Transfer(to, credits));
            }
            Message::Transfer(from, credits) => {
                self.coordinators[to].pools.receive(from as u64, &credits, now);
            }
            Message::Answer(..) => {}
        }
    }

    fn count_peer_bytes(&mut self, member: usize, amounts: &[CreditAmount]) {
        let (member, missing) = (member as u64, amounts.to_vec());
        let mut bytes = Vec::new();
        encode_frame(&mesh::CoordinatorFrame::CreditPull { member, missing }, &mut bytes);
        self.peer_frames += 1;
        self.peer_bytes += bytes.len();
    }

    fn tick_coordinator(&mut self, own: usize) {
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
                let latest = listed.entry(node).or_insert(at);
                *latest = at.max(*latest);
            }
            self.coordinators[own].heard_peers.insert(peer, now);
        }
        listed.retain(|_, at| now < *at + LISTING_TTL_MS);
        let coordinator = &mut self.coordinators[own];
        for (peer, at) in &coordinator.heard_peers {
            coordinator.pools.fleet.heard_peer(*peer as u64, *at);
        }
        let peers: Vec<u64> = (0..ZONES as u64).filter(|peer| *peer != own as u64).collect();
        let nodes = listed.keys().map(|node| (address(*node), false));
        coordinator.pools.tick(nodes, &peers, now);
        if coordinator.starts_full && coordinator.pools.share() > 0.2 {
            coordinator.starts_full = false;
            let full = |(tenant, limit): (usize, &Limit)| CreditAmount {
                tenant: id(tenant),
                milli: (limit.depth() * 1_000.0 / ZONES as f64) as u32,
            };
            let amounts: Vec<CreditAmount> = self.limits.iter().enumerate().map(full).collect();
            coordinator.pools.receive(u64::MAX, &amounts, now);
        }
    }

    pub fn kill_coordinator(&mut self, index: usize) {
        self.coordinators[index].up = false;
    }

    pub fn start_coordinator(&mut self, index: usize) {
        self.coordinators[index] = self.new_coordinator(true);
    }

    pub fn kill_sidecar(&mut self, node: usize) {
        self.sidecars[node].up = false;
    }

    pub fn start_sidecar(&mut self, node: usize) {
        let incarnation = self.sidecars[node].incarnation + 1;
        let gate = self.new_gate();
        self.sidecars[node] = Sidecar { gate, up: true, incarnation, asked: None };
    }

    pub fn cut(&mut self, zone: Option<usize>) {
        self.cut = zone;
    }

    /// Puts a limit in force at all coordinators and sidecars.
    pub fn set_limit(&mut self, tenant: usize, limit: Limit) {
        self.limits[tenant] = limit;
        if self.defect != Defect::LateLimit {
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
