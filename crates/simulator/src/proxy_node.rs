//! A simulated proxy around the product's core, with callers of keyed calls on its node.

use crate::checker::Checker;
use crate::host::Hosts;
use crate::packet::{CallId, Node, Packet, ProposalReply, SimCommand, Timer};
use claims::{ClaimAnswer, ClaimCommand, Outcome};
use endpoints::{EndpointKey, LeavingMark};
use proxy::{PreparedConfig, ProxyCore, ProxyWeakness, RelayAddress, RelayChooser, ReplyEffect};
use rollout::ProxyName;
use wire::ProxyReply;

const REPLY_TIMEOUT_MS: u64 = 4_000;
const RECONNECT_MS: std::ops::RangeInclusive<u64> = 0..=200;
const CLAIM_TIMEOUT_MS: u64 = 700;
/// Longest time for one try of a keyed call, ms.
const CLAIM_LIMIT_MS: u64 = 2_000;
const CLAIM_KEEP_MS: u64 = 3_600_000;

/// A try of a keyed call in progress at this proxy.
struct KeyedTry {
    key: String,
    attempt: u64,
    call: CallId,
    target: usize,
    give_up_ms: u64,
}

pub(crate) struct ProxyNode {
    pub number: usize,
    pub core: ProxyCore,
    pub has_disk: bool,
    pub disk: Option<PreparedConfig>,
    pub process: u64,
    chooser: RelayChooser,
    /// What a new process begins with: its own zone's relay.
    first_chooser: RelayChooser,
    relays: Vec<usize>,
    call: Option<CallId>,
    next_call: CallId,
    weakness: Option<ProxyWeakness>,
    /// Broken variant: a lost answer is told to be not run.
    pub mistells: bool,
    controls: Vec<u64>,
    tries: Vec<KeyedTry>,
}

impl ProxyNode {
    pub fn new(
        number: usize,
        zone: usize,
        relay_zones: &[usize],
        weakness: Option<ProxyWeakness>,
        controls: Vec<u64>,
        seed: u64,
    ) -> Self {
        let relays: Vec<RelayAddress> = relay_zones
            .iter()
            .enumerate()
            .map(|(relay, zone)| RelayAddress {
                address: ([127, 0, 0, 1], relay as u16 + 1).into(),
                zone: format!("zone-{zone}"),
                region: "region".to_owned(),
            })
            .collect();
        let name = ProxyName { id: format!("proxy-{number}"), zone: format!("zone-{zone}") };
        let chooser = RelayChooser::new(&relays, &name.zone, "region", seed);
        ProxyNode {
            number,
            core: ProxyCore::new(name, None),
            has_disk: number % 2 == 1,
            disk: None,
            process: 0,
            first_chooser: chooser.clone(),
            chooser,
            relays: (0..relay_zones.len()).collect(),
            call: None,
            next_call: 0,
            weakness,
            mistells: false,
            controls,
            tries: Vec::new(),
        }
    }

    fn node(&self) -> Node {
        Node::Proxy(self.number)
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }

    pub fn set_controls(&mut self, controls: Vec<u64>) {
        self.controls = controls;
    }

    /// A new process begins with what its disk holds.
    pub fn restart(&mut self, hosts: &mut Hosts) {
        self.process += 1;
        let stored = self.disk.clone().filter(|_| self.has_disk);
        self.core = ProxyCore::new(self.core.name().clone(), stored);
        if let Some(weakness) = self.weakness {
            self.core.weaken(weakness);
        }
        self.chooser = self.first_chooser.clone();
        self.call = None;
        self.tries.clear();
        hosts.timer(self.node(), 0, Timer::Connect);
    }

    /// The relay in use and the open call to it.
    pub fn open_call(&self) -> Option<(usize, CallId)> {
        self.call.map(|call| (self.relay(), call))
    }

    fn relay(&self) -> usize {
        self.relays[usize::from(self.chooser.current().address.port()) - 1]
    }

    pub fn on_timer(&mut self, timer: &Timer, hosts: &mut Hosts, checker: &mut Checker) {
        match timer {
            Timer::Connect if self.call.is_none() => {
                self.core.on_connect();
                self.send_poll(hosts);
            }
            Timer::CallTimeout(call) => self.on_lost(*call, hosts, checker),
            _ => {}
        }
    }

    pub fn on_packet(&mut self, packet: Packet, hosts: &mut Hosts, checker: &mut Checker) {
        match packet {
            Packet::PollAnswer(call, reply) if self.call == Some(call) => {
                self.call = None;
                self.on_reply(reply, hosts, checker);
            }
            Packet::ProposeAnswer(call, reply) => self.on_claim_reply(call, reply, hosts, checker),
            Packet::Reset(call) => self.on_lost(call, hosts, checker),
            _ => {}
        }
    }

    fn send_poll(&mut self, hosts: &mut Hosts) {
        let call = self.new_call();
        self.call = Some(call);
        let poll = self.core.poll();
        hosts.send(self.node(), Node::Relay(self.relay()), Packet::Poll(call, poll));
        hosts.timer(self.node(), REPLY_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn on_lost(&mut self, call: CallId, hosts: &mut Hosts, checker: &mut Checker) {
        if self.call == Some(call) {
            self.call = None;
            self.chooser.on_failure(hosts.clock_ms(self.node()));
            self.reconnect(hosts);
        } else if let Some(position) = self.tries.iter().position(|one| one.call == call) {
            self.try_next_control(position, None, hosts, checker);
        }
    }

    fn reconnect(&mut self, hosts: &mut Hosts) {
        let pause_ms = hosts.random.u64(RECONNECT_MS);
        hosts.timer(self.node(), pause_ms, Timer::Connect);
    }

    fn on_reply(&mut self, reply: ProxyReply, hosts: &mut Hosts, checker: &mut Checker) {
        let now_ms = hosts.clock_ms(self.node());
        let source_age_ms = match &reply {
            ProxyReply::Unchanged { source_age_ms } => *source_age_ms,
            ProxyReply::Update(update) => update.source_age_ms,
            _ => 0,
        };
        match self.core.on_reply(reply, now_ms) {
            ReplyEffect::None { .. } => {}
            ReplyEffect::Prepare { prepared, .. } => {
                checker.on_in_force(self.number, prepared.generation, &prepared.bundle);
                if self.has_disk {
                    self.disk = Some(prepared.clone());
                }
                self.core.commit(prepared);
            }
            ReplyEffect::Retry { after_ms } => {
                hosts.timer(self.node(), u64::from(after_ms), Timer::Connect);
                return;
            }
            ReplyEffect::Leave => {
                self.chooser.on_failure(now_ms);
                self.reconnect(hosts);
                return;
            }
        }
        checker.on_endpoints(self.number, self.process, self.core.endpoints());
        let stale = self.chooser.on_source_age(source_age_ms, now_ms);
        if stale || self.chooser.try_return_to_nearest(now_ms) {
            self.reconnect(hosts);
        } else {
            self.send_poll(hosts);
        }
    }

    /// A back end told this proxy that it leaves.
    pub fn observe_leaving(
        &mut self,
        key: &EndpointKey,
        checker: &mut Checker,
    ) -> Option<LeavingMark> {
        let mark = self.core.endpoints_mut().observe_leaving(key);
        checker.on_endpoints(self.number, self.process, self.core.endpoints());
        mark
    }

    /// The relay to which observations are told.
    pub fn current_relay(&self) -> usize {
        self.relay()
    }

    /// A caller sends a keyed call through this proxy.
    pub fn begin_keyed(&mut self, key: &str, hosts: &mut Hosts) {
        let attempt = hosts.random.u64(..);
        let target = hosts.random.usize(..self.controls.len());
        let give_up_ms = hosts.clock_ms(self.node()) + CLAIM_LIMIT_MS;
        let one = KeyedTry { key: key.to_owned(), attempt, call: 0, target, give_up_ms };
        self.tries.push(one);
        self.send_begin(self.tries.len() - 1, hosts);
    }

    fn send_begin(&mut self, position: usize, hosts: &mut Hosts) {
        let call = self.new_call();
        let node = self.node();
        let one = &mut self.tries[position];
        one.call = call;
        let command = ClaimCommand::Begin {
            key: one.key.clone(),
            request: [0; 32],
            attempt: one.attempt,
            now_ms: hosts.now_ms,
            keep_ms: CLAIM_KEEP_MS,
        };
        let control = Node::Control(self.controls[one.target % self.controls.len()]);
        hosts.send(node, control, Packet::Propose(call, SimCommand::Claim(command)));
        hosts.timer(node, CLAIM_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn try_next_control(
        &mut self,
        position: usize,
        leader: Option<u64>,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        let named = self.controls.iter().position(|control| Some(*control) == leader);
        let now_ms = hosts.clock_ms(self.node());
        let one = &mut self.tries[position];
        if now_ms >= one.give_up_ms {
            // Nothing was sent to a back end: the caller is told so, and the claim released.
            let one = self.tries.remove(position);
            checker.on_told(&one.key, true);
            self.tell_control(ClaimCommand::Release { key: one.key, attempt: one.attempt }, hosts);
            return;
        }
        one.target = named.unwrap_or(one.target + 1);
        self.send_begin(position, hosts);
    }

    fn on_claim_reply(
        &mut self,
        call: CallId,
        reply: ProposalReply,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        let Some(position) = self.tries.iter().position(|one| one.call == call) else { return };
        match reply {
            ProposalReply::Claim(answer) => {
                let one = self.tries.remove(position);
                self.on_claim_answer(&one, &answer, hosts, checker);
            }
            ProposalReply::NotLeader { leader } => {
                self.try_next_control(position, leader, hosts, checker);
            }
            _ => self.try_next_control(position, None, hosts, checker),
        }
    }

    fn on_claim_answer(
        &mut self,
        one: &KeyedTry,
        answer: &ClaimAnswer,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        let (key, attempt) = (one.key.clone(), one.attempt);
        match answer {
            ClaimAnswer::Started => {
                checker.on_run(&key);
                // The back end's answer is lost in a third of the runs.
                let answered = hosts.random.u32(0..3) > 0;
                checker.on_told(&key, self.mistells && !answered);
                if answered {
                    let outcome = Outcome { status: 200, content_type: String::new(), body: None };
                    self.tell_control(ClaimCommand::Finish { key, attempt, outcome }, hosts);
                }
            }
            ClaimAnswer::MayHaveRun => checker.on_told(&key, self.mistells),
            ClaimAnswer::Recorded(_) => checker.on_told(&key, false),
            _ => checker.on_told(&key, true),
        }
    }

    fn tell_control(&mut self, command: ClaimCommand, hosts: &mut Hosts) {
        let call = self.new_call();
        let target = hosts.random.usize(..self.controls.len());
        let control = Node::Control(self.controls[target]);
        hosts.send(self.node(), control, Packet::Propose(call, SimCommand::Claim(command)));
    }
}
