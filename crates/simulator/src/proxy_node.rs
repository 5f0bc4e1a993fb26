//! Simulated proxy, which drives the production proxy core, with local callers that send calls with
//! idempotency keys (keyed calls).

use crate::checker::Checker;
use crate::host::Hosts;
use crate::packet::{CallId, Node, Packet, ProposalReply, SimCommand, Timer};
use claims::{ClaimAnswer, ClaimCommand, Outcome};
use endpoints::{EndpointKey, LeavingMark};
use proxy::{PreparedConfig, ProxyCore, ProxyWeakness, RelayAddress, RelayChooser, ReplyEffect};
use rollout::ProxyName;
use wire::ProxyReply;

const REPLY_TIMEOUT_MS: u64 = 4_000;
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=200;
const CLAIM_TIMEOUT_MS: u64 = 700;
/// Deadline of one attempt of a keyed call.
const KEYED_ATTEMPT_LIMIT_MS: u64 = 2_000;
const CLAIM_KEEP_MS: u64 = 3_600_000;

/// Attempt of a keyed call in progress at this proxy.
struct KeyedAttempt {
    key: String,
    attempt: u64,
    call: CallId,
    target: usize,
    deadline_ms: u64,
}

pub(crate) struct ProxyNode {
    pub number: usize,
    pub core: ProxyCore,
    pub has_disk: bool,
    pub disk: Option<PreparedConfig>,
    pub process: u64,
    chooser: RelayChooser,
    /// Initial state of a new process, which prefers a relay of its own zone.
    initial_chooser: RelayChooser,
    relays: Vec<usize>,
    call: Option<CallId>,
    next_call: CallId,
    weakness: Option<ProxyWeakness>,
    /// Broken variant: a call whose answer was lost is reported as not executed.
    pub reports_lost_as_not_run: bool,
    controls: Vec<u64>,
    attempts: Vec<KeyedAttempt>,
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
            initial_chooser: chooser.clone(),
            chooser,
            relays: (0..relay_zones.len()).collect(),
            call: None,
            next_call: 0,
            weakness,
            reports_lost_as_not_run: false,
            controls,
            attempts: Vec::new(),
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

    /// Starts a new process from what its disk holds.
    pub fn restart(&mut self, hosts: &mut Hosts) {
        self.process += 1;
        let stored = self.disk.clone().filter(|_| self.has_disk);
        self.core = ProxyCore::new(self.core.name().clone(), stored);
        if let Some(weakness) = self.weakness {
            self.core.weaken(weakness);
        }
        self.chooser = self.initial_chooser.clone();
        self.call = None;
        self.attempts.clear();
        hosts.set_timer(self.node(), 0, Timer::Connect);
    }

    /// Returns the current relay and the open call to it.
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
            Timer::CallTimeout(call) => self.on_call_lost(*call, hosts, checker),
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
            Packet::Reset(call) => self.on_call_lost(call, hosts, checker),
            _ => {}
        }
    }

    fn send_poll(&mut self, hosts: &mut Hosts) {
        let call = self.new_call();
        self.call = Some(call);
        let poll = self.core.poll();
        hosts.send(self.node(), Node::Relay(self.relay()), Packet::Poll(call, poll));
        hosts.set_timer(self.node(), REPLY_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn on_call_lost(&mut self, call: CallId, hosts: &mut Hosts, checker: &mut Checker) {
        if self.call == Some(call) {
            self.call = None;
            self.chooser.on_failure(hosts.clock_ms(self.node()));
            self.reconnect(hosts);
        } else if let Some(position) = self.attempts.iter().position(|keyed| keyed.call == call) {
            self.try_next_control(position, None, hosts, checker);
        }
    }

    fn reconnect(&mut self, hosts: &mut Hosts) {
        let delay_ms = hosts.random.u64(RECONNECT_DELAY_MS);
        hosts.set_timer(self.node(), delay_ms, Timer::Connect);
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
                hosts.set_timer(self.node(), u64::from(after_ms), Timer::Connect);
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

    /// Records that a back end told this proxy that it is leaving.
    pub fn observe_leaving(
        &mut self,
        key: &EndpointKey,
        checker: &mut Checker,
    ) -> Option<LeavingMark> {
        let mark = self.core.endpoints_mut().observe_leaving(key);
        checker.on_endpoints(self.number, self.process, self.core.endpoints());
        mark
    }

    /// Returns the relay to which observations are reported.
    pub fn current_relay(&self) -> usize {
        self.relay()
    }

    /// Starts an attempt of a keyed call.
    pub fn begin_keyed_call(&mut self, key: &str, hosts: &mut Hosts) {
        let attempt = hosts.random.u64(..);
        let target = hosts.random.usize(..self.controls.len());
        let deadline_ms = hosts.clock_ms(self.node()) + KEYED_ATTEMPT_LIMIT_MS;
        let keyed = KeyedAttempt { key: key.to_owned(), attempt, call: 0, target, deadline_ms };
        self.attempts.push(keyed);
        self.send_begin(self.attempts.len() - 1, hosts);
    }

    fn send_begin(&mut self, position: usize, hosts: &mut Hosts) {
        let call = self.new_call();
        let node = self.node();
        let keyed = &mut self.attempts[position];
        keyed.call = call;
        let command = ClaimCommand::Begin {
            key: keyed.key.clone(),
            request: [0; 32],
            attempt: keyed.attempt,
            now_ms: hosts.now_ms,
            keep_ms: CLAIM_KEEP_MS,
        };
        let control = Node::Control(self.controls[keyed.target % self.controls.len()]);
        hosts.send(node, control, Packet::Propose(call, SimCommand::Claim(command)));
        hosts.set_timer(node, CLAIM_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn try_next_control(
        &mut self,
        position: usize,
        leader: Option<u64>,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        let hinted = self.controls.iter().position(|control| Some(*control) == leader);
        let now_ms = hosts.clock_ms(self.node());
        let keyed = &mut self.attempts[position];
        if now_ms >= keyed.deadline_ms {
            // Nothing was sent to a back end: reports the call as not executed, releases the claim.
            let keyed = self.attempts.remove(position);
            checker.on_verdict(&keyed.key, true);
            self.propose_claim(
                ClaimCommand::Release { key: keyed.key, attempt: keyed.attempt },
                hosts,
            );
            return;
        }
        keyed.target = hinted.unwrap_or(keyed.target + 1);
        self.send_begin(position, hosts);
    }

    fn on_claim_reply(
        &mut self,
        call: CallId,
        reply: ProposalReply,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        let Some(index) = self.attempts.iter().position(|keyed| keyed.call == call) else { return };
        match reply {
            ProposalReply::Claim(answer) => {
                let keyed = self.attempts.remove(index);
                self.on_claim_answer(&keyed, &answer, hosts, checker);
            }
            ProposalReply::NotLeader { leader } => {
                self.try_next_control(index, leader, hosts, checker);
            }
            _ => self.try_next_control(index, None, hosts, checker),
        }
    }

    fn on_claim_answer(
        &mut self,
        keyed: &KeyedAttempt,
        answer: &ClaimAnswer,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        let (key, attempt) = (keyed.key.clone(), keyed.attempt);
        match answer {
            ClaimAnswer::Started => {
                checker.on_run(&key);
                // The back end's answer is lost in a third of the executions.
                let answered = hosts.random.u32(0..3) > 0;
                checker.on_verdict(&key, self.reports_lost_as_not_run && !answered);
                if answered {
                    let outcome = Outcome { status: 200, content_type: String::new(), body: None };
                    self.propose_claim(ClaimCommand::Finish { key, attempt, outcome }, hosts);
                }
            }
            ClaimAnswer::MayHaveRun => checker.on_verdict(&key, self.reports_lost_as_not_run),
            ClaimAnswer::Recorded(_) => checker.on_verdict(&key, false),
            _ => checker.on_verdict(&key, true),
        }
    }

    fn propose_claim(&mut self, command: ClaimCommand, hosts: &mut Hosts) {
        let call = self.new_call();
        let target = hosts.random.usize(..self.controls.len());
        let control = Node::Control(self.controls[target]);
        hosts.send(self.node(), control, Packet::Propose(call, SimCommand::Claim(command)));
    }
}
