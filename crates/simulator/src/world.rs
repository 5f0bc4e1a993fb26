//! A simulation run: all processes and faults, driven by events until the deployment has converged.

mod convergence;
mod injection;
mod outside;
mod processes;
mod repair;

use crate::checker::{Checker, Violation};
use crate::control_node::{initial_snapshot, ControlNode, ControlWeakness, TICK_MS};
use crate::faults::{schedule, Fault};
use crate::host::{Event, Hosts, NetworkFaults};
use crate::operators::{OperatorNode, SharedStatus};
use crate::packet::{Node, Packet, Timer};
use crate::proxy_node::ProxyNode;
use crate::relay_node::RelayNode;
use crate::scenario::{BrokenVariant, Scenario};
use crate::workload::initial_endpoints;
use consensus::Membership;
use endpoints::Endpoint;
use proxy::ProxyWeakness;
use repair::Repair;
use rollout::RolloutWeakness;
use std::collections::BTreeMap;
use storage::MemoryStore;

const ZONES: usize = 3;
const RELAYS: usize = 3;
const PROXIES: usize = 6;
const OPERATORS: usize = 2;
/// Virtual time at which faults and operator actions end.
const FAULTS_END_MS: u64 = 8_000;
/// Limit from the end of all faults until convergence.
const CONVERGENCE_LIMIT_MS: u64 = 20_000;
/// Time of the operators' first action: the replicas have elected a leader by then.
const FIRST_OPERATOR_ACTION_MS: u64 = 600;
const STEP_MS: u64 = 50;
const KEYED_CALL_INTERVAL_MS: u64 = 150;
const REPAIR_INTERVAL_MS: u64 = 100;
/// Time after which no proxy may use a leaving back end, in runs without faults.
const LEAVING_LIMIT_MS: u64 = 5_000;
const BACKEND_RETURN_DELAY_MS: u64 = 7_000;
const MAX_LIST_LAG_MS: u64 = 1_500;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunParameters {
    /// Seed of all random choices.
    pub seed: u64,
    /// Faults to inject.
    pub scenario: Scenario,
    /// Safety mechanism to disable, if any.
    pub broken: Option<BrokenVariant>,
    /// Whether to print faults and process restarts to standard error.
    pub trace: bool,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Violated invariants; empty if the run passed.
    pub violations: Vec<Violation>,
    /// Virtual time from the end of faults until convergence, milliseconds.
    pub convergence_ms: u64,
    /// Number of requests that would create a generation if accepted.
    pub generations: u64,
    /// Number of events handled.
    pub events: u64,
}

/// Runs the simulation of one seed.
pub fn run_seed(parameters: RunParameters) -> RunOutcome {
    World::new(parameters).run()
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
    shared_status: SharedStatus,
    faults: Vec<(u64, Fault)>,
    restarts: Vec<(u64, Node)>,
    cut_ends: Vec<(u64, (usize, usize))>,
    platform_lists: Vec<(u64, Vec<Endpoint>)>,
    list_lag_ms: Vec<u64>,
    backend_return_times: Vec<(u64, usize)>,
    leaving_checks: Vec<(u64, Endpoint)>,
    repair: Option<Repair>,
    next_member: u64,
    second_loss_pending: bool,
    next_key: u64,
    issued_keys: Vec<(u64, String)>,
    next_repair_ms: u64,
    next_keyed_call_ms: u64,
    events: u64,
}

impl World {
    fn new(parameters: RunParameters) -> Self {
        let mut hosts = Hosts::new(parameters.seed);
        hosts.clocks_stop_in_sleep = parameters.broken == Some(BrokenVariant::SteadyClocks);
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
            shared_status: SharedStatus::default(),
            faults,
            restarts: Vec::new(),
            cut_ends: Vec::new(),
            platform_lists: vec![(0, initial_endpoints(ZONES))],
            list_lag_ms,
            backend_return_times: Vec::new(),
            leaving_checks: Vec::new(),
            repair: None,
            next_member: voters + 1,
            second_loss_pending: parameters.scenario == Scenario::RepairThenLoss,
            next_key: 0,
            issued_keys: Vec::new(),
            next_repair_ms: 0,
            next_keyed_call_ms: 500,
            events: 0,
        };
        world.start_all(voters);
        world
    }

    fn start_all(&mut self, voters: u64) {
        let membership = Membership::of_voters(1..=voters);
        for id in 1..=voters {
            let mut store = MemoryStore::new(initial_snapshot(membership.clone()));
            if self.is_broken(BrokenVariant::LyingDisks) {
                store.acknowledge_unsynced();
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
            let mut proxy = ProxyNode::new(number, zone, &relay_zones, weakness, controls, seed);
            proxy.reports_lost_as_not_run = self.is_broken(BrokenVariant::LostAnswerToldNotRun);
            self.proxies.push(proxy);
            self.start_proxy(number);
        }
        let (action_interval_ms, reuses_versions) = match self.parameters.scenario {
            Scenario::Behind => (5..=25, false),
            Scenario::Race => (20..=120, true),
            _ => (50..=400, self.parameters.seed.is_multiple_of(2)),
        };
        for number in 0..OPERATORS {
            let controls = self.control_ids();
            self.operators.push(OperatorNode::new(
                number,
                controls,
                action_interval_ms.clone(),
                reuses_versions,
            ));
            self.hosts.start(Node::Operator(number), number);
            self.hosts.set_timer(Node::Operator(number), FIRST_OPERATOR_ACTION_MS, Timer::Act);
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
                weakness.rollout = Some(RolloutWeakness::ReusesGeneration);
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

    fn trace(&self, message: impl FnOnce() -> String) {
        if self.parameters.trace {
            eprintln!("{:>6} ms  {}", self.hosts.now_ms, message());
        }
    }

    fn run(mut self) -> RunOutcome {
        let mut now_ms = 0;
        while now_ms < FAULTS_END_MS && self.checker.violations.is_empty() {
            now_ms += STEP_MS;
            self.advance(now_ms);
        }
        self.end_faults();
        let mut convergence_ms = 0;
        while !self.is_finished(convergence_ms) {
            now_ms += STEP_MS;
            convergence_ms += STEP_MS;
            self.advance(now_ms);
        }
        self.check_end(convergence_ms);
        RunOutcome {
            violations: self.checker.violations,
            convergence_ms,
            generations: self.shared_status.generation_requests.len() as u64,
            events: self.events,
        }
    }

    fn is_finished(&self, convergence_ms: u64) -> bool {
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
        for pair in take_due(&mut self.cut_ends, now_ms) {
            self.hosts.faults.cut.remove(&pair);
        }
        for position in take_due(&mut self.backend_return_times, now_ms) {
            self.return_backend(position);
        }
        for endpoint in take_due(&mut self.leaving_checks, now_ms) {
            self.check_leaving(&endpoint);
        }
        if now_ms >= self.next_repair_ms {
            self.next_repair_ms = now_ms + REPAIR_INTERVAL_MS;
            self.continue_repair();
        }
        if now_ms >= self.next_keyed_call_ms && now_ms < FAULTS_END_MS {
            self.next_keyed_call_ms = now_ms + KEYED_CALL_INTERVAL_MS;
            self.send_keyed_call();
        }
        self.restart_after_torn_writes();
    }

    /// Schedules restarts of replicas that crashed during a write; they recover from their disks.
    fn restart_after_torn_writes(&mut self) {
        let dead: Vec<(u64, u64)> = self
            .controls
            .values()
            .filter_map(|node| Some((node.id, node.restart_after_ms?)))
            .collect();
        for (id, restart_ms) in dead {
            self.trace(|| format!("control {id} crashed during a write"));
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
                let (shared_status, hosts) = (&mut self.shared_status, &mut self.hosts);
                match event {
                    Event::Timer(Timer::SendReport) => operator.resend(hosts),
                    Event::Timer(timer) => operator.on_timer(&timer, shared_status, hosts),
                    Event::Deliver { packet, .. } => {
                        operator.on_packet(packet, shared_status, hosts, &mut self.checker);
                    }
                }
            }
        }
    }

    fn handle_control(&mut self, id: u64, event: Event) {
        let Some(control) = self.controls.get_mut(&id) else { return };
        let (hosts, checker) = (&mut self.hosts, &mut self.checker);
        if let Some(slept_ms) = hosts.take_unnoticed_sleep(Node::Control(id)) {
            control.on_machine_sleep(slept_ms);
        }
        match event {
            Event::Timer(timer) => {
                control.on_timer(&timer, hosts, checker);
                // As in production, one tick follows a pause, however long it was.
                let tick_ms = self.tick_ms.get(&id).copied().unwrap_or(TICK_MS);
                hosts.set_timer(Node::Control(id), tick_ms, Timer::Tick);
            }
            Event::Deliver { from, packet } => control.on_packet(from, packet, hosts, checker),
        }
    }

    fn handle_relay(&mut self, number: usize, event: Event) {
        let platform_list = match &event {
            Event::Timer(Timer::PollPlatform) => self.platform_list_seen_by(number),
            _ => Vec::new(),
        };
        let Some(relay) = &mut self.relays[number] else { return };
        match event {
            Event::Timer(timer) => relay.on_timer(&timer, &platform_list, &mut self.hosts),
            Event::Deliver { packet: Packet::LeavingMarks(marks), .. } => {
                if relay.on_leaving_marks(marks.clone(), &mut self.hosts) {
                    for other in (0..RELAYS).filter(|other| *other != number) {
                        let packet = Packet::LeavingMarks(marks.clone());
                        self.hosts.send(Node::Relay(number), Node::Relay(other), packet);
                    }
                }
            }
            Event::Deliver { from, packet } => relay.on_packet(from, packet, &mut self.hosts),
        }
    }

    fn end_faults(&mut self) {
        self.trace(|| "all faults have ended".to_owned());
        self.shared_status.stopped = true;
        self.faults.clear();
        self.cut_ends.clear();
        self.hosts.faults = NetworkFaults::default();
        self.hosts.clear_freezes_and_isolation();
        for (_, node) in std::mem::take(&mut self.restarts) {
            if !self.hosts.is_up(node) {
                self.start(node);
            }
        }
        for node in self.controls.values_mut() {
            node.tear_next_write = None;
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
