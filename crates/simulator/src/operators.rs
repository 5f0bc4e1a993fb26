//! Simulated operators: they submit, approve, roll, advance and withdraw, race one another, and
//! resend what got no answer under the same request id.

use crate::checker::Checker;
use crate::host::Hosts;
use crate::packet::{CallId, Node, Packet, ProposalReply, SimCommand, Timer};
use crate::workload::bundle_of;
use bundle::{BundleUpdate, Digest};
use rollout::{Accepted, Answer, Command, Refusal, Request, Stage};
use std::collections::BTreeSet;

const ANSWER_TIMEOUT_MS: u64 = 1_000;
const RESEND_PAUSE_MS: std::ops::RangeInclusive<u64> = 5..=100;

/// What both operators know, as from `status`.
#[derive(Default)]
pub(crate) struct Desk {
    next_version: u64,
    next_revision: u64,
    submitted: Vec<(Digest, usize)>,
    approved: Vec<Digest>,
    generation: u64,
    rollout: Option<(u64, u32)>,
    /// Requests that would make a generation.
    pub making_requests: BTreeSet<String>,
    pub stopped: bool,
}

struct Pending {
    request: Request,
    digest: Digest,
    call: CallId,
    target: usize,
}

pub(crate) struct OperatorNode {
    pub number: usize,
    controls: Vec<u64>,
    pending: Option<Pending>,
    next_call: CallId,
    next_request: u64,
    pace_ms: std::ops::RangeInclusive<u64>,
    races: bool,
}

impl OperatorNode {
    pub fn new(
        number: usize,
        controls: Vec<u64>,
        pace_ms: std::ops::RangeInclusive<u64>,
        races: bool,
    ) -> Self {
        let (next_call, next_request) = (0, 0);
        OperatorNode { number, controls, pending: None, next_call, next_request, pace_ms, races }
    }

    fn node(&self) -> Node {
        Node::Operator(self.number)
    }

    pub fn set_controls(&mut self, controls: Vec<u64>) {
        self.controls = controls;
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    pub fn on_timer(&mut self, timer: &Timer, desk: &mut Desk, hosts: &mut Hosts) {
        match timer {
            Timer::Act => {
                if self.pending.is_none() && !desk.stopped {
                    self.act(desk, hosts);
                }
                let pause_ms = hosts.random.u64(self.pace_ms.clone());
                hosts.timer(self.node(), pause_ms, Timer::Act);
            }
            Timer::CallTimeout(call) => self.on_lost(*call, None, hosts),
            _ => {}
        }
    }

    fn act(&mut self, desk: &mut Desk, hosts: &mut Hosts) {
        let Some((command, digest)) = self.choose(desk, hosts) else { return };
        self.next_request += 1;
        let request_id = format!("{}-{}", self.number, self.next_request);
        if matches!(command, Command::Roll { .. } | Command::Withdraw { .. }) {
            desk.making_requests.insert(request_id.clone());
        }
        let operator = format!("operator-{}", self.number);
        let request = Request { operator, request_id, command };
        let target = hosts.random.usize(..self.controls.len());
        self.pending = Some(Pending { request, digest, call: 0, target });
        self.send(hosts);
    }

    fn choose(&self, desk: &mut Desk, hosts: &mut Hosts) -> Option<(Command, Digest)> {
        if let Some((generation, from_stage)) = desk.rollout {
            if hosts.random.u32(0..100) < 70 {
                return Some((Command::Advance { generation, from_stage }, Digest([0; 32])));
            }
        }
        match hosts.random.u32(0..100) {
            0..=29 => Some(self.submit(desk, hosts)),
            30..=54 => {
                let other = desk.submitted.iter().rev().find(|(_, by)| *by != self.number);
                let digest = other.map(|(digest, _)| *digest)?;
                Some((Command::Approve { digest, signature: Vec::new() }, digest))
            }
            55..=91 => {
                let digest = *desk.approved.last()?;
                let stages = stages(hosts);
                let expected_generation = desk.generation;
                let advance_after_s = None;
                let command =
                    Command::Roll { digest, expected_generation, stages, advance_after_s };
                Some((command, digest))
            }
            _ => {
                let expected_generation = desk.generation;
                Some((Command::Withdraw { expected_generation, to: None }, Digest([0; 32])))
            }
        }
    }

    fn submit(&self, desk: &mut Desk, hosts: &mut Hosts) -> (Command, Digest) {
        let same_version = self.races && hosts.random.u32(0..100) < 50;
        if !same_version || desk.next_version == 0 {
            desk.next_version += 1;
        }
        desk.next_revision += 1;
        let bundle = bundle_of(desk.next_revision);
        let compressed = BundleUpdate::compress(&bundle);
        (Command::Submit { version: desk.next_version, compressed }, bundle.digest())
    }

    fn send(&mut self, hosts: &mut Hosts) {
        self.next_call += 1;
        let (call, node) = (self.next_call, self.node());
        let Some(pending) = &mut self.pending else { return };
        pending.call = call;
        let control = Node::Control(self.controls[pending.target % self.controls.len()]);
        let command = SimCommand::Config(pending.request.clone());
        hosts.send(node, control, Packet::Propose(call, command));
        hosts.timer(node, ANSWER_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn on_lost(&mut self, call: CallId, leader: Option<u64>, hosts: &mut Hosts) {
        let Some(pending) = &mut self.pending else { return };
        if pending.call != call {
            return;
        }
        let named = self.controls.iter().position(|control| Some(*control) == leader);
        pending.target = named.unwrap_or(pending.target + 1);
        // A pause by way of a timer of the old call: the new one is sent when it fires.
        let pause_ms = hosts.random.u64(RESEND_PAUSE_MS);
        pending.call = 0;
        hosts.timer(self.node(), pause_ms, Timer::SendReport);
    }

    /// The pause before a resend is over.
    pub fn resend(&mut self, hosts: &mut Hosts) {
        if self.pending.as_ref().is_some_and(|pending| pending.call == 0) {
            self.send(hosts);
        }
    }

    pub fn on_packet(
        &mut self,
        packet: Packet,
        desk: &mut Desk,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        match packet {
            Packet::ProposeAnswer(call, ProposalReply::Config(answer))
                if self.pending.as_ref().is_some_and(|pending| pending.call == call) =>
            {
                let pending = self.pending.take().expect("it was just there");
                learn(self.number, &pending, &answer, desk, checker);
            }
            Packet::ProposeAnswer(call, ProposalReply::NotLeader { leader }) => {
                self.on_lost(call, leader, hosts);
            }
            Packet::ProposeAnswer(call, _) | Packet::Reset(call) => self.on_lost(call, None, hosts),
            _ => {}
        }
    }
}

fn stages(hosts: &mut Hosts) -> Vec<Stage> {
    match hosts.random.u32(0..4) {
        0 => vec![Stage::Percent(40), Stage::All],
        1 => vec![Stage::Zones(vec!["zone-1".to_owned()]), Stage::Percent(50), Stage::All],
        2 => vec![Stage::Proxies(vec!["proxy-0".to_owned()]), Stage::All],
        _ => vec![Stage::All],
    }
}

fn learn(
    operator: usize,
    pending: &Pending,
    answer: &Answer,
    desk: &mut Desk,
    checker: &mut Checker,
) {
    if answer.is_err() {
        checker.on_refused(&pending.request.request_id);
    }
    match answer {
        Ok(accepted) => {
            let digest = match accepted {
                Accepted::Withdrawn { digest, .. } => *digest,
                _ => pending.digest,
            };
            checker.on_accepted(&pending.request.request_id, digest, accepted);
            learn_accepted(operator, accepted, pending, desk);
        }
        Err(Refusal::GenerationConflict { current, .. }) => desk.generation = *current,
        Err(Refusal::RolloutInProgress { generation }) => {
            desk.rollout.get_or_insert((*generation, 1));
        }
        Err(Refusal::NoSuchRollout { .. }) => {
            // Another operator advanced or withdrew it: look at the next stage, then give up.
            desk.rollout = match desk.rollout {
                Some((generation, stage)) if stage < 3 => Some((generation, stage + 1)),
                _ => None,
            };
        }
        Err(_) => {}
    }
}

fn learn_accepted(operator: usize, accepted: &Accepted, pending: &Pending, desk: &mut Desk) {
    match accepted {
        Accepted::Submitted { digest, .. } => desk.submitted.push((*digest, operator)),
        Accepted::Approved { digest } => desk.approved.push(*digest),
        Accepted::Rolled { generation } => {
            desk.generation = desk.generation.max(*generation);
            let staged = matches!(&pending.request.command,
                Command::Roll { stages, .. } if stages.len() > 1);
            desk.rollout = staged.then_some((*generation, 1));
        }
        Accepted::Advanced { generation, stages, complete } => {
            desk.rollout = (!complete).then_some((*generation, *stages));
        }
        Accepted::Withdrawn { generation, .. } => {
            desk.generation = desk.generation.max(*generation);
            desk.rollout = None;
        }
        _ => {}
    }
}
