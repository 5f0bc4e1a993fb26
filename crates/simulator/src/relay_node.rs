//! Simulated relay, which drives the production relay core.

use crate::host::Hosts;
use crate::packet::{CallId, Node, Packet, Timer};
use endpoints::{Endpoint, LeavingMark, MassExpiryGuard};
use relay::{RelayCore, RelayParameters, RelayWeakness, SessionId};
use std::collections::BTreeMap;
use wire::{ProxyPoll, ReportReply, ReportRequest, WatchReply};

const WATCH_TIMEOUT_MS: u64 = 1_200;
const REPORT_INTERVAL_MS: u64 = 500;
const LONG_POLL_MS: u64 = 2_500;
const RETRY_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=100;
const PLATFORM_POLL_INTERVAL_MS: u64 = 500;
const PROXY_LEASE_MS: u64 = 6_000;
const MAX_CATCH_UPS: usize = 4;

/// Request channel to a control replica, with at most one open call.
#[derive(Default)]
struct ControlChannel {
    target: usize,
    call: Option<CallId>,
}

#[derive(Clone, Copy)]
struct HeldPoll {
    session: SessionId,
    call: CallId,
    proxy: Node,
}

pub(crate) struct RelayNode {
    pub number: usize,
    pub core: RelayCore,
    controls: Vec<u64>,
    watch: ControlChannel,
    report: ControlChannel,
    confirmation_ticket: Option<ConfirmationTicket>,
    sessions: BTreeMap<Node, SessionId>,
    held_polls: Vec<HeldPoll>,
    stays_with_dead_leader: bool,
    next_call: CallId,
}

type ConfirmationTicket = relay::Ticket;

impl RelayNode {
    pub fn start(
        number: usize,
        zone: usize,
        controls: Vec<u64>,
        weakness: Option<RelayWeakness>,
        stays_with_dead_leader: bool,
        hosts: &mut Hosts,
    ) -> Self {
        let parameters = RelayParameters {
            name: format!("relay-{number}"),
            zone: format!("zone-{zone}"),
            epoch: hosts.random.u64(1..),
            proxy_lease_ms: PROXY_LEASE_MS,
            max_catch_ups: MAX_CATCH_UPS,
            guard: MassExpiryGuard::default(),
            weakness,
        };
        let node = Node::Relay(number);
        hosts.set_timer(node, 0, Timer::SendWatch);
        hosts.set_timer(node, 0, Timer::SendReport);
        hosts.set_timer(node, 0, Timer::PollPlatform);
        let target = hosts.random.usize(..controls.len());
        RelayNode {
            number,
            core: RelayCore::new(parameters),
            watch: ControlChannel { target, call: None },
            report: ControlChannel { target, call: None },
            controls,
            confirmation_ticket: None,
            sessions: BTreeMap::new(),
            held_polls: Vec::new(),
            stays_with_dead_leader,
            // Answers to calls of an earlier process of this relay must not match calls of this
            // one.
            next_call: hosts.now_ms << 20,
        }
    }

    fn node(&self) -> Node {
        Node::Relay(self.number)
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }

    /// Updates the ids of the control replicas after a membership change.
    pub fn set_controls(&mut self, controls: Vec<u64>) {
        self.controls = controls;
        self.watch.target %= self.controls.len();
        self.report.target %= self.controls.len();
    }

    /// Returns the ids of the open calls to a control replica.
    pub fn open_calls_to(&self, control: u64) -> Vec<CallId> {
        [&self.watch, &self.report]
            .into_iter()
            .filter(|channel| self.controls[channel.target] == control)
            .filter_map(|channel| channel.call)
            .collect()
    }

    pub fn on_timer(&mut self, timer: &Timer, platform_list: &[Endpoint], hosts: &mut Hosts) {
        match timer {
            Timer::SendWatch => self.send_watch(hosts),
            Timer::SendReport => self.send_report(hosts),
            Timer::CallTimeout(call) => self.on_call_lost(*call, hosts),
            Timer::HoldExpired(call) => self.on_hold_expired(*call, hosts),
            Timer::PollPlatform => {
                self.core.endpoints_mut().merge_list(platform_list);
                hosts.set_timer(self.node(), PLATFORM_POLL_INTERVAL_MS, Timer::PollPlatform);
                self.answer_held_polls(hosts);
            }
            _ => {}
        }
    }

    pub fn on_packet(&mut self, from: Node, packet: Packet, hosts: &mut Hosts) {
        match packet {
            Packet::WatchAnswer(call, reply) if self.watch.call == Some(call) => {
                self.on_watch_answer(reply, hosts);
            }
            Packet::ReportAnswer(call, reply) if self.report.call == Some(call) => {
                self.on_report_answer(&reply, hosts);
            }
            Packet::Poll(call, poll) => self.on_poll(from, call, &poll, hosts),
            Packet::Reset(call) => self.on_call_lost(call, hosts),
            _ => {}
        }
    }

    /// Records leaving marks from a proxy or another relay. Returns whether any of them was new.
    pub fn on_leaving_marks(&mut self, marks: Vec<LeavingMark>, hosts: &mut Hosts) -> bool {
        let changed = self.core.observe_leaving(marks) > 0;
        if changed {
            self.answer_held_polls(hosts);
        }
        changed
    }

    fn send_watch(&mut self, hosts: &mut Hosts) {
        let call = self.new_call();
        self.watch.call = Some(call);
        let control = Node::Control(self.controls[self.watch.target]);
        hosts.send(self.node(), control, Packet::Watch(call, self.core.watch_request()));
        hosts.set_timer(self.node(), WATCH_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn send_report(&mut self, hosts: &mut Hosts) {
        if self.report.call.is_some() {
            return;
        }
        let call = self.new_call();
        self.report.call = Some(call);
        self.confirmation_ticket = self.core.pending_confirmation();
        let report = self.core.report(hosts.clock_ms(self.node()));
        let confirm = self.confirmation_ticket.is_some();
        let control = Node::Control(self.controls[self.report.target]);
        let request = ReportRequest { report, confirm };
        hosts.send(self.node(), control, Packet::Report(call, request));
        hosts.set_timer(self.node(), WATCH_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn on_call_lost(&mut self, call: CallId, hosts: &mut Hosts) {
        if self.watch.call == Some(call) {
            self.watch.call = None;
            self.redirect_watch(None, hosts);
        } else if self.report.call == Some(call) {
            self.report.call = None;
            self.redirect_report(None, hosts);
        }
    }

    fn redirect_watch(&mut self, leader: Option<u64>, hosts: &mut Hosts) {
        if !self.stays_with_dead_leader {
            self.watch.target = self.next_target(self.watch.target, leader);
        }
        let delay_ms = hosts.random.u64(RETRY_DELAY_MS);
        hosts.set_timer(self.node(), delay_ms, Timer::SendWatch);
    }

    fn redirect_report(&mut self, leader: Option<u64>, hosts: &mut Hosts) {
        self.report.target = self.next_target(self.report.target, leader);
        let delay_ms = hosts.random.u64(RETRY_DELAY_MS);
        hosts.set_timer(self.node(), delay_ms, Timer::SendReport);
    }

    fn next_target(&self, current: usize, leader: Option<u64>) -> usize {
        let hinted = self.controls.iter().position(|control| Some(*control) == leader);
        match hinted {
            Some(position) if position != current => position,
            _ => (current + 1) % self.controls.len(),
        }
    }

    fn on_watch_answer(&mut self, reply: WatchReply, hosts: &mut Hosts) {
        self.watch.call = None;
        match reply {
            WatchReply::NotLeader { leader } => self.redirect_watch(leader, hosts),
            WatchReply::Busy { retry_after_ms } => {
                hosts.set_timer(self.node(), u64::from(retry_after_ms), Timer::SendWatch);
            }
            reply => {
                let changed = self.core.on_watch_reply(reply, hosts.clock_ms(self.node()));
                self.send_watch(hosts);
                if changed {
                    self.answer_held_polls(hosts);
                }
            }
        }
    }

    fn on_report_answer(&mut self, reply: &ReportReply, hosts: &mut Hosts) {
        self.report.call = None;
        match reply {
            ReportReply::NotLeader { leader } => self.redirect_report(*leader, hosts),
            ReportReply::Done { confirmed_revision } => {
                if let (Some(ticket), Some(revision)) =
                    (self.confirmation_ticket.take(), confirmed_revision)
                {
                    self.core.on_confirmed(ticket, *revision);
                    self.answer_held_polls(hosts);
                }
                let wanted = self.core.pending_confirmation().is_some();
                let delay_ms = if wanted { 10 } else { REPORT_INTERVAL_MS };
                hosts.set_timer(self.node(), delay_ms, Timer::SendReport);
            }
        }
    }

    fn on_poll(&mut self, proxy: Node, call: CallId, poll: &ProxyPoll, hosts: &mut Hosts) {
        let now_ms = hosts.clock_ms(self.node());
        self.held_polls.retain(|held| held.proxy != proxy);
        let session = match (self.sessions.get(&proxy), poll) {
            (Some(session), ProxyPoll::Applied) => {
                self.core.on_poll(*session, poll, now_ms);
                *session
            }
            (None, ProxyPoll::Applied) => {
                hosts.send(self.node(), proxy, Packet::Reset(call));
                return;
            }
            (old, ProxyPoll::State(state)) => {
                if let Some(old) = old {
                    self.core.close_session(*old);
                }
                let session = self.core.open_session(state, now_ms);
                self.sessions.insert(proxy, session);
                session
            }
        };
        self.held_polls.push(HeldPoll { session, call, proxy });
        hosts.set_timer(self.node(), LONG_POLL_MS, Timer::HoldExpired(call));
        if self.core.pending_confirmation().is_some() {
            self.send_report(hosts);
        }
        self.answer_held_polls(hosts);
    }

    fn on_hold_expired(&mut self, call: CallId, hosts: &mut Hosts) {
        let position = self.held_polls.iter().position(|held| held.call == call);
        if let Some(held) = position.map(|position| self.held_polls.remove(position)) {
            let reply = self.core.unchanged(hosts.clock_ms(self.node()));
            hosts.send(self.node(), held.proxy, Packet::PollAnswer(call, reply));
        }
    }

    fn answer_held_polls(&mut self, hosts: &mut Hosts) {
        for held in std::mem::take(&mut self.held_polls) {
            match self.core.answer(held.session, hosts.clock_ms(self.node())) {
                Some(reply) => {
                    let answer = Packet::PollAnswer(held.call, reply);
                    hosts.send(self.node(), held.proxy, answer);
                }
                None => self.held_polls.push(held),
            }
        }
    }
}
