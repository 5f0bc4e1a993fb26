//! One run: everything put together, driven by events until it has converged.

use crate::checker::{Checker, Violation};
use crate::control_node::{first_snapshot, ControlNode, ControlWeakness, TornWrite, TICK_MS};
use crate::faults::{schedule, Fault, Kind};
use crate::host::{Event, Hosts, NetworkFaults};
use crate::operators::{Desk, OperatorNode};
use crate::packet::{Node, Packet, Timer};
use crate::proxy_node::ProxyNode;
use crate::relay_node::RelayNode;
use crate::scenario::{BrokenVariant, Scenario};
use crate::workload::first_list;
use consensus::Membership;
use endpoints::{Endpoint, EndpointState};
use proxy::ProxyWeakness;
use relay::RelayWeakness;
use rollout::RolloutWeakness;
use std::collections::{BTreeMap, BTreeSet};
use storage::{CrashPoint, MemoryStore};

const ZONES: usize = 3;
const RELAYS: usize = 3;
const PROXIES: usize = 6;
const OPERATORS: usize = 2;
/// When faults and operators end, virtual milliseconds.
const FAULTS_END_MS: u64 = 8_000;
/// Longest time from the end of all faults until everything has converged.
const CONVERGENCE_LIMIT_MS: u64 = 20_000;
/// When operators begin: replicas have elected a leader by then.
const FIRST_ACT_MS: u64 = 600;
const STEP_MS: u64 = 50;
const KEYED_CALL_INTERVAL_MS: u64 = 150;
const REPAIR_INTERVAL_MS: u64 = 100;
/// A leaving back end must be out of every proxy's view after this time, without faults.
const LEAVING_LIMIT_MS: u64 = 5_000;
const RETURN_AFTER_MS: u64 = 7_000;
const MAX_LIST_LAG_MS: u64 = 1_500;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct RunParameters {
    /// Decides everything else.
    pub seed: u64,
    /// Family of faults.
    pub scenario: Scenario,
    /// A mechanism switched off.
    pub broken: Option<BrokenVariant>,
    /// Print what happens.
    pub trace: bool,
}

/// What came out.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Broken invariants; empty for a run that held.
    pub violations: Vec<Violation>,
    /// From the end of faults until everything had converged, virtual milliseconds.
    pub convergence_ms: u64,
    /// Generations made.
    pub generations: u64,
    /// Events handled.
    pub events: u64,
}

/// Runs one seed.
pub fn run_seed(parameters: RunParameters) -> RunOutcome {
    World::new(parameters).run()
}

/// A replica whose disk was lost, and the steps of its replacement.
struct Repair {
    lost: u64,
    replacement: u64,
}

struct World {
    parameters: RunParameters,
    hosts: Hosts,
    checker: Checker,
    controls: BTreeMap<u64, ControlNode>,
    disks: BTreeMap<u64, MemoryStore>,
    tick_ms: BTreeMap<u64, u64>,
    relays: Vec<Option<RelayNode>>,
    proxies: Vec<ProxyNode>,
    operators: Vec<OperatorNode>,
    desk: Desk,
    faults: Vec<(u64, Fault)>,
    restarts: Vec<(u64, Node)>,
    heals: Vec<(u64, (usize, usize))>,
    lists: Vec<(u64, Vec<Endpoint>)>,
    list_lag_ms: Vec<u64>,
    returns: Vec<(u64, usize)>,
    leaving_checks: Vec<(u64, Endpoint)>,
    repair: Option<Repair>,
    next_member: u64,
    second_loss_pending: bool,
    next_key: u64,
    open_keys: Vec<(u64, String)>,
    next_repair_ms: u64,
    next_call_ms: u64,
    events: u64,
}

impl World {
    fn new(parameters: RunParameters) -> Self {
        let mut hosts = Hosts::new(parameters.seed);
        let voters: u64 = if parameters.seed % 4 == 3 { 5 } else { 3 };
        let faults = schedule(parameters.scenario, FAULTS_END_MS, &mut hosts.random);
        let list_lag_ms = (0..RELAYS).map(|_| hosts.random.u64(0..MAX_LIST_LAG_MS)).collect();
        let mut world = World {
            parameters,
            hosts,
            checker: Checker::default(),
            controls: BTreeMap::new(),
            disks: BTreeMap::new(),
            tick_ms: BTreeMap::new(),
            relays: (0..RELAYS).map(|_| None).collect(),
            proxies: Vec::new(),
            operators: Vec::new(),
            desk: Desk::default(),
            faults,
            restarts: Vec::new(),
            heals: Vec::new(),
            lists: vec![(0, first_list(ZONES))],
            list_lag_ms,
            returns: Vec::new(),
            leaving_checks: Vec::new(),
            repair: None,
            next_member: voters + 1,
            second_loss_pending: parameters.scenario == Scenario::RepairThenLoss,
            next_key: 0,
            open_keys: Vec::new(),
            next_repair_ms: 0,
            next_call_ms: 500,
            events: 0,
        };
        world.start_everything(voters);
        world
    }

    fn start_everything(&mut self, voters: u64) {
        let membership = Membership::of_voters(1..=voters);
        for id in 1..=voters {
            let mut store = MemoryStore::new(first_snapshot(membership.clone()));
            if self.is_broken(BrokenVariant::LyingDisks) {
                store.lie_about_sync();
            }
            self.disks.insert(id, store);
            self.start_control(id);
        }
        for relay in 0..RELAYS {
            self.start_relay(relay);
        }
        let relay_zones: Vec<usize> = (0..RELAYS).map(|relay| relay % ZONES).collect();
        let weakness = self.proxy_weakness();
        for number in 0..PROXIES {
            let seed = self.hosts.random.u64(..);
            let zone = number % ZONES;
            let controls = self.control_ids();
            let proxy = ProxyNode::new(number, zone, &relay_zones, weakness, controls, seed);
            self.proxies.push(proxy);
            self.start_proxy(number);
        }
        let (pace, races) = match self.parameters.scenario {
            Scenario::Behind => (5..=25, false),
            Scenario::Race => (20..=120, true),
            _ => (50..=400, self.parameters.seed.is_multiple_of(2)),
        };
        for number in 0..OPERATORS {
            let controls = self.control_ids();
            self.operators.push(OperatorNode::new(number, controls, pace.clone(), races));
            self.hosts.start(Node::Operator(number), number);
            self.hosts.timer(Node::Operator(number), FIRST_ACT_MS, Timer::Act);
        }
    }

    fn is_broken(&self, variant: BrokenVariant) -> bool {
        self.parameters.broken == Some(variant)
    }

    fn control_weakness(&self) -> ControlWeakness {
        let mut weakness = ControlWeakness::default();
        match self.parameters.broken {
            Some(BrokenVariant::DoubleVote) => {
                weakness.consensus = Some(consensus::Weakness::DoubleVote);
            }
            Some(BrokenVariant::UnconfirmedReads) => {
                weakness.consensus = Some(consensus::Weakness::UnconfirmedReads);
            }
            Some(BrokenVariant::ForgetsAnswers) => {
                weakness.rollout = Some(RolloutWeakness::ForgetsAnswers);
            }
            Some(BrokenVariant::AcceptsVersionTwice) => {
                weakness.rollout = Some(RolloutWeakness::AcceptsVersionTwice);
            }
            Some(BrokenVariant::WithdrawCountsDown) => {
                weakness.rollout = Some(RolloutWeakness::CountsDown);
            }
            Some(BrokenVariant::ClaimStartsTwice) => {
                weakness.claims = Some(claims::ClaimWeakness::StartsTwice);
            }
            _ => {}
        }
        weakness
    }

    fn proxy_weakness(&self) -> Option<ProxyWeakness> {
        match self.parameters.broken? {
            BrokenVariant::AcceptsOlder => Some(ProxyWeakness::AcceptsOlder),
            BrokenVariant::ProxyAppliesUnchecked => Some(ProxyWeakness::AppliesUnchecked),
            BrokenVariant::ProxyForgetsLeaving => Some(ProxyWeakness::ForgetsLeaving),
            _ => None,
        }
    }

    fn control_ids(&self) -> Vec<u64> {
        self.disks.keys().copied().collect()
    }

    fn trace(&self, what: impl FnOnce() -> String) {
        if self.parameters.trace {
            eprintln!("{:>6} ms  {}", self.hosts.now_ms, what());
        }
    }

    // ---- processes ----

    fn start_control(&mut self, id: u64) {
        let Some(store) = self.disks.get(&id).cloned() else { return };
        self.hosts.start(Node::Control(id), id as usize % ZONES);
        let seed = self.hosts.random.u64(..);
        let node = ControlNode::start(id, store, self.control_weakness(), seed);
        self.controls.insert(id, node);
        let tick_ms = self.tick_ms.get(&id).copied().unwrap_or(TICK_MS);
        self.hosts.timer(Node::Control(id), tick_ms, Timer::Tick);
    }

    fn stop_control(&mut self, id: u64) {
        let Some(mut node) = self.controls.remove(&id) else { return };
        if node.died_for_ms.is_none() {
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

    fn start_relay(&mut self, number: usize) {
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

    fn stop_relay(&mut self, number: usize) {
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

    fn start_proxy(&mut self, number: usize) {
        self.hosts.start(Node::Proxy(number), number % ZONES);
        self.proxies[number].restart(&mut self.hosts);
    }

    fn start(&mut self, node: Node) {
        self.trace(|| format!("start {node:?}"));
        match node {
            Node::Control(id) => self.start_control(id),
            Node::Relay(number) => self.start_relay(number),
            Node::Proxy(number) => self.start_proxy(number),
            Node::Operator(_) => {}
        }
    }

    fn kill(&mut self, node: Node, restart_ms: u64) {
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

    fn leader(&self) -> Option<u64> {
        let leaders = self.controls.values().filter(|node| node.raft.is_leader());
        leaders.max_by_key(|node| node.raft.term()).map(|node| node.id)
    }

    fn pick(&mut self, kind: Kind) -> Option<Node> {
        match kind {
            Kind::Leader => self.leader().map(Node::Control),
            Kind::Control => {
                let ids: Vec<u64> = self.controls.keys().copied().collect();
                let position = self.hosts.random.usize(..ids.len().max(1));
                ids.get(position).map(|id| Node::Control(*id))
            }
            Kind::Relay => Some(Node::Relay(self.hosts.random.usize(..RELAYS))),
            Kind::Proxy => Some(Node::Proxy(self.hosts.random.usize(..PROXIES))),
        }
    }

    fn all_of(&self, kind: Kind) -> Vec<Node> {
        match kind {
            Kind::Control | Kind::Leader => {
                self.controls.keys().map(|id| Node::Control(*id)).collect()
            }
            Kind::Relay => (0..RELAYS).map(Node::Relay).collect(),
            Kind::Proxy => (0..PROXIES).map(Node::Proxy).collect(),
        }
    }

    // ---- faults ----

    fn inject(&mut self, fault: Fault) {
        self.trace(|| format!("fault {fault:?}"));
        match fault {
            Fault::KillOne { kind, restart_ms } => {
                if let Some(node) = self.pick(kind) {
                    self.kill(node, restart_ms);
                }
            }
            Fault::KillAll { kind, restart_ms } => {
                for node in self.all_of(kind) {
                    let after_ms = self.hosts.random.u64(1..=restart_ms);
                    self.kill(node, after_ms);
                }
            }
            Fault::LoseDisk => self.lose_disk(),
            Fault::TearWrite { bytes, restart_ms } => {
                if let Some(Node::Control(id)) = self.pick(Kind::Control) {
                    if let Some(node) = self.controls.get_mut(&id) {
                        node.tear_next_write = Some(TornWrite { bytes, restart_ms });
                    }
                }
            }
            Fault::Cut { both_ways, heal_ms } => self.cut(both_ways, heal_ms),
            Fault::Freeze { kind, wake_ms } => {
                if let Some(node) = self.pick(kind) {
                    let until_ms = self.hosts.now_ms + wake_ms;
                    self.hosts.freeze(node, until_ms);
                }
            }
            Fault::Isolate { kind, heal_ms } => {
                if let Some(node) = self.pick(kind) {
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
            Fault::BackendLeaves => self.backend_leaves(),
        }
    }

    fn pause_together(&mut self, wake_ms: u64, heal_ms: u64) {
        let now_ms = self.hosts.now_ms;
        if let Some(leader) = self.pick(Kind::Leader) {
            self.hosts.freeze(leader, now_ms + wake_ms);
            self.hosts.isolate_from_control(leader, now_ms + heal_ms);
        }
        if let Some(relay) = self.pick(Kind::Relay) {
            self.hosts.freeze(relay, now_ms + wake_ms);
        }
    }

    fn cut(&mut self, both_ways: bool, heal_ms: u64) {
        let zone = self.hosts.random.usize(..ZONES);
        let at_ms = self.hosts.now_ms + heal_ms;
        for other in (0..ZONES).filter(|other| *other != zone) {
            let mut pairs = vec![(zone, other)];
            if both_ways {
                pairs.push((other, zone));
            }
            for pair in pairs {
                self.hosts.faults.cut.insert(pair);
                self.heals.push((at_ms, pair));
            }
        }
    }

    /// A replica dies with its disk. Only one at a time: a second loss before the repair is done
    /// could take committed entries with it, which no replicated system survives.
    fn lose_disk(&mut self) {
        if self.repair.is_some() {
            return;
        }
        let Some(Node::Control(lost)) = self.pick(Kind::Control) else { return };
        self.stop_control(lost);
        self.disks.remove(&lost);
        if self.is_broken(BrokenVariant::SameIdAfterLostDisk) {
            let members = self.controls.keys().copied().chain([lost]);
            let snapshot = first_snapshot(Membership::of_voters(members));
            self.disks.insert(lost, MemoryStore::new(snapshot));
            self.start_control(lost);
            if std::mem::take(&mut self.second_loss_pending) {
                self.lose_disk();
            }
            return;
        }
        let replacement = self.next_member;
        self.next_member += 1;
        let empty = first_snapshot(Membership::default());
        self.disks.insert(replacement, MemoryStore::new(empty));
        self.start_control(replacement);
        self.trace(|| format!("disk of {lost} is lost, {replacement} joins"));
        self.repair = Some(Repair { lost, replacement });
        self.tell_controls();
    }

    fn tell_controls(&mut self) {
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

    /// The next step of a replacement: learner, removal of the lost one, promotion.
    fn continue_repair(&mut self) {
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

    fn finish_repair(&mut self) {
        self.trace(|| "repair is done".to_owned());
        self.repair = None;
        if std::mem::take(&mut self.second_loss_pending) {
            self.lose_disk();
        }
    }

    // ---- back ends and callers ----

    fn backend_leaves(&mut self) {
        let now_ms = self.hosts.now_ms;
        let Some((_, list)) = self.lists.last() else { return };
        let mut list = list.clone();
        let position = self.hosts.random.usize(..list.len());
        if list[position].state == EndpointState::Leaving {
            return;
        }
        list[position].state = EndpointState::Leaving;
        let endpoint = list[position].clone();
        self.lists.push((now_ms, list));
        self.returns.push((now_ms + RETURN_AFTER_MS, position));
        self.leaving_checks.push((now_ms + LEAVING_LIMIT_MS, endpoint.clone()));
        // One proxy hears it from the back end itself, before any list says so.
        let number = self.hosts.random.usize(..PROXIES);
        if self.hosts.is_up(Node::Proxy(number)) {
            let proxy = &mut self.proxies[number];
            if let Some(mark) = proxy.observe_leaving(&endpoint.key, &mut self.checker) {
                let relay = Node::Relay(proxy.current_relay());
                self.hosts.send(Node::Proxy(number), relay, Packet::Marks(vec![mark]));
            }
        }
    }

    fn backend_returns(&mut self, position: usize) {
        let Some((_, list)) = self.lists.last() else { return };
        let mut list = list.clone();
        list[position].incarnation += 1;
        list[position].state = EndpointState::Live;
        self.lists.push((self.hosts.now_ms, list));
    }

    fn check_leaving(&mut self, endpoint: &Endpoint) {
        if self.parameters.scenario != Scenario::Calm {
            return;
        }
        for proxy in &self.proxies {
            let view = proxy.core.endpoints();
            let live = view
                .live(&endpoint.key.service)
                .any(|one| one.key == endpoint.key && one.incarnation == endpoint.incarnation);
            if live {
                let what = format!("proxy {} still uses {:?}", proxy.number, endpoint.key);
                self.checker.violate("leaving-gets-no-work", what);
            }
        }
    }

    fn listed_for(&self, relay: usize) -> Vec<Endpoint> {
        let seen_ms = self.hosts.now_ms.saturating_sub(self.list_lag_ms[relay]);
        let older = self.lists.iter().rev().find(|(at_ms, _)| *at_ms <= seen_ms);
        older.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// A caller sends a keyed call, or sends an earlier one again through another proxy.
    fn keyed_call(&mut self) {
        let now_ms = self.hosts.now_ms;
        if now_ms < FAULTS_END_MS {
            self.next_key += 1;
            self.open_keys.push((now_ms, format!("key-{}", self.next_key)));
        }
        let again = self.hosts.random.usize(..self.open_keys.len().max(1));
        let newest = self.open_keys.len().saturating_sub(1);
        for position in [newest, again] {
            let Some((_, key)) = self.open_keys.get(position).cloned() else { continue };
            let number = self.hosts.random.usize(..PROXIES);
            if self.hosts.is_up(Node::Proxy(number)) && !self.hosts.is_frozen(Node::Proxy(number)) {
                self.proxies[number].begin_keyed(&key, &mut self.hosts);
            }
        }
    }

    // ---- the run ----

    fn run(mut self) -> RunOutcome {
        let mut now_ms = 0;
        while now_ms < FAULTS_END_MS && self.checker.violations.is_empty() {
            now_ms += STEP_MS;
            self.advance(now_ms);
        }
        self.heal();
        let mut convergence_ms = 0;
        while !self.is_over(convergence_ms) {
            now_ms += STEP_MS;
            convergence_ms += STEP_MS;
            self.advance(now_ms);
        }
        self.check_end(convergence_ms);
        RunOutcome {
            violations: self.checker.violations,
            convergence_ms,
            generations: self.desk.making_requests.len() as u64,
            events: self.events,
        }
    }

    fn is_over(&self, convergence_ms: u64) -> bool {
        self.has_converged()
            || convergence_ms >= CONVERGENCE_LIMIT_MS
            || !self.checker.violations.is_empty()
    }

    fn advance(&mut self, until_ms: u64) {
        while let Some((node, event)) = self.hosts.next(until_ms) {
            self.events += 1;
            self.checker.now_ms = self.hosts.now_ms;
            self.handle(node, event);
        }
        self.checker.now_ms = until_ms;
        self.run_due(until_ms);
    }

    fn run_due(&mut self, now_ms: u64) {
        while self.faults.first().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let (_, fault) = self.faults.remove(0);
            self.inject(fault);
        }
        for node in take_due(&mut self.restarts, now_ms) {
            if !self.hosts.is_up(node) {
                self.start(node);
            }
        }
        for pair in take_due(&mut self.heals, now_ms) {
            self.hosts.faults.cut.remove(&pair);
        }
        for position in take_due(&mut self.returns, now_ms) {
            self.backend_returns(position);
        }
        for endpoint in take_due(&mut self.leaving_checks, now_ms) {
            self.check_leaving(&endpoint);
        }
        if now_ms >= self.next_repair_ms {
            self.next_repair_ms = now_ms + REPAIR_INTERVAL_MS;
            self.continue_repair();
        }
        if now_ms >= self.next_call_ms && now_ms < FAULTS_END_MS {
            self.next_call_ms = now_ms + KEYED_CALL_INTERVAL_MS;
            self.keyed_call();
        }
        self.restart_torn();
    }

    /// Replicas that died in a write restart from what their disks hold.
    fn restart_torn(&mut self) {
        let dead: Vec<(u64, u64)> =
            self.controls.values().filter_map(|node| Some((node.id, node.died_for_ms?))).collect();
        for (id, restart_ms) in dead {
            self.trace(|| format!("control {id} died in a write"));
            self.stop_control(id);
            self.restarts.push((self.hosts.now_ms + restart_ms, Node::Control(id)));
        }
    }

    fn handle(&mut self, node: Node, event: Event) {
        match node {
            Node::Control(id) => self.handle_control(id, event),
            Node::Relay(number) => self.handle_relay(number, event),
            Node::Proxy(number) => {
                let proxy = &mut self.proxies[number];
                match event {
                    Event::Timer(timer) => {
                        proxy.on_timer(&timer, &mut self.hosts, &mut self.checker);
                    }
                    Event::Deliver { packet, .. } => {
                        proxy.on_packet(packet, &mut self.hosts, &mut self.checker);
                    }
                }
            }
            Node::Operator(number) => {
                let operator = &mut self.operators[number];
                let (desk, hosts) = (&mut self.desk, &mut self.hosts);
                match event {
                    Event::Timer(Timer::SendReport) => operator.resend(hosts),
                    Event::Timer(timer) => operator.on_timer(&timer, desk, hosts),
                    Event::Deliver { packet, .. } => {
                        operator.on_packet(packet, desk, hosts, &mut self.checker);
                    }
                }
            }
        }
    }

    fn handle_control(&mut self, id: u64, event: Event) {
        let Some(control) = self.controls.get_mut(&id) else { return };
        let (hosts, checker) = (&mut self.hosts, &mut self.checker);
        match event {
            Event::Timer(timer) => {
                control.on_timer(&timer, hosts, checker);
                // One tick after a pause, however long it was, as in the product.
                let tick_ms = self.tick_ms.get(&id).copied().unwrap_or(TICK_MS);
                hosts.timer(Node::Control(id), tick_ms, Timer::Tick);
            }
            Event::Deliver { from, packet } => control.on_packet(from, packet, hosts, checker),
        }
    }

    fn handle_relay(&mut self, number: usize, event: Event) {
        let listed = match &event {
            Event::Timer(Timer::ReadList) => self.listed_for(number),
            _ => Vec::new(),
        };
        let Some(relay) = &mut self.relays[number] else { return };
        match event {
            Event::Timer(timer) => relay.on_timer(&timer, &listed, &mut self.hosts),
            Event::Deliver { packet: Packet::Marks(marks), .. } => {
                if relay.observe(marks.clone(), &mut self.hosts) {
                    for other in (0..RELAYS).filter(|other| *other != number) {
                        let packet = Packet::Marks(marks.clone());
                        self.hosts.send(Node::Relay(number), Node::Relay(other), packet);
                    }
                }
            }
            Event::Deliver { from, packet } => relay.on_packet(from, packet, &mut self.hosts),
        }
    }

    fn heal(&mut self) {
        self.trace(|| "all faults end".to_owned());
        self.desk.stopped = true;
        self.faults.clear();
        self.heals.clear();
        self.hosts.faults = NetworkFaults::default();
        self.hosts.wake_all();
        for (_, node) in std::mem::take(&mut self.restarts) {
            if !self.hosts.is_up(node) {
                self.start(node);
            }
        }
        for node in self.controls.values_mut() {
            node.tear_next_write = None;
        }
    }

    fn has_converged(&self) -> bool {
        let Some(leader) = self.leader().and_then(|id| self.controls.get(&id)) else {
            return false;
        };
        let view = leader.config.view();
        self.repair.is_none()
            && self.operators.iter().all(OperatorNode::is_idle)
            && leader.config.newest_generation() >= self.checker.newest_promised()
            && self.controls.values().all(|node| node.config == leader.config)
            && self.proxies.iter().all(|proxy| {
                let target = view.target_for(proxy.core.name());
                // Before the first generation there is nothing to put in force.
                proxy.core.generation().unwrap_or(0) == target.generation
                    && proxy.core.bundle().digest() == target.digest
            })
    }

    fn check_end(&mut self, convergence_ms: u64) {
        if !self.checker.violations.is_empty() {
            return;
        }
        if convergence_ms >= CONVERGENCE_LIMIT_MS {
            let state = self.describe_state();
            self.checker.violate("convergence", format!("not within the limit: {state}"));
        }
        if let Some(node) = self.leader().and_then(|id| self.controls.get(&id)) {
            self.checker.on_final_state(&node.config);
            let requests = self.desk.making_requests.len() as u64;
            self.checker.on_final_count(node.config.newest_generation(), requests);
        }
        self.checker.on_final_calls();
        self.check_views();
    }

    fn describe_state(&self) -> String {
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

    /// No proxy may hold a reference to what it lacks.
    fn check_views(&mut self) {
        let broken: BTreeSet<usize> = self
            .proxies
            .iter()
            .filter(|proxy| !proxy.core.bundle().check().is_empty())
            .map(|proxy| proxy.number)
            .collect();
        if !broken.is_empty() {
            self.checker.violate("no-dangling-reference", format!("proxies {broken:?}"));
        }
    }
}

fn take_due<T>(waiting: &mut Vec<(u64, T)>, now_ms: u64) -> Vec<T> {
    let mut due = Vec::new();
    let mut position = 0;
    while position < waiting.len() {
        if waiting[position].0 <= now_ms {
            due.push(waiting.remove(position).1);
        } else {
            position += 1;
        }
    }
    due
}
