//! Simulated operators, which concurrently submit, approve, roll out, advance and withdraw
//! configurations, and resend unanswered requests under the same request id.

use crate::checker::Checker;
use crate::host::Hosts;
use crate::packet::{CallId, Node, Packet, ProposalReply, SimCommand, Timer};
use crate::workload::bundle_of;
use bundle::{BundleUpdate, Digest};
use rollout::{Accepted, Answer, Command, Refusal, Request, Stage};
use std::collections::BTreeSet;

const ANSWER_TIMEOUT_MS: u64 = 1_000;
const RESEND_DELAY_MS: std::ops::RangeInclusive<u64> = 5..=100;

/// State of the control plane as known to both operators, as if both read `status`.
#[derive(Default)]
pub(crate) struct SharedStatus {
    next_version: u64,
    next_revision: u64,
    submitted: Vec<(Digest, usize)>,
    approved: Vec<Digest>,
    generation: u64,
    rollout: Option<(u64, u32)>,
    /// Ids of the requests that create a generation if accepted.
    pub generation_requests: BTreeSet<String>,
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
    action_interval_ms: std::ops::RangeInclusive<u64>,
    reuses_versions: bool,
}

impl OperatorNode {
    pub fn new(
        number: usize,
        controls: Vec<u64>,
        action_interval_ms: std::ops::RangeInclusive<u64>,
        reuses_versions: bool,
    ) -> Self {
        let (next_call, next_request) = (0, 0);
        OperatorNode {
            number,
            controls,
            pending: None,
            next_call,
            next_request,
            action_interval_ms,
            reuses_versions,
        }
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

    pub fn on_timer(&mut self, timer: &Timer, shared_status: &mut SharedStatus, hosts: &mut Hosts) {
        match timer {
            Timer::Act => {
                if self.pending.is_none() && !shared_status.stopped {
                    self.act(shared_status, hosts);
                }
                let delay_ms = hosts.random.u64(self.action_interval_ms.clone());
                hosts.set_timer(self.node(), delay_ms, Timer::Act);
            }
            Timer::CallTimeout(call) => self.on_call_lost(*call, None, hosts),
            _ => {}
        }
    }

    fn act(&mut self, shared_status: &mut SharedStatus, hosts: &mut Hosts) {
        let Some((command, digest)) = self.choose_command(shared_status, hosts) else { return };
        self.next_request += 1;
        let request_id = format!("{}-{}", self.number, self.next_request);
        if matches!(command, Command::Roll { .. } | Command::Withdraw { .. }) {
            shared_status.generation_requests.insert(request_id.clone());
        }
        let operator = format!("operator-{}", self.number);
        let request = Request { operator, request_id, command };
        let target = hosts.random.usize(..self.controls.len());
        self.pending = Some(Pending { request, digest, call: 0, target });
        self.send(hosts);
    }

    fn choose_command(
        &self,
        shared_status: &mut SharedStatus,
        hosts: &mut Hosts,
    ) -> Option<(Command, Digest)> {
        if let Some((generation, from_stage)) = shared_status.rollout {
            if hosts.random.u32(0..100) < 70 {
                return Some((Command::Advance { generation, from_stage }, Digest([0; 32])));
            }
        }
        match hosts.random.u32(0..100) {
            0..=29 => Some(self.submit(shared_status, hosts)),
            30..=54 => {
                let other = shared_status.submitted.iter().rev().find(|(_, by)| *by != self.number);
                let digest = other.map(|(digest, _)| *digest)?;
                Some((Command::Approve { digest, signature: Vec::new() }, digest))
            }
            55..=91 => {
                let digest = *shared_status.approved.last()?;
                let stages = random_stages(hosts);
                let expected_generation = shared_status.generation;
                let advance_after_s = None;
                let command =
                    Command::Roll { digest, expected_generation, stages, advance_after_s };
                Some((command, digest))
            }
            _ => {
                let expected_generation = shared_status.generation;
                Some((Command::Withdraw { expected_generation, to: None }, Digest([0; 32])))
            }
        }
    }

    fn submit(&self, shared_status: &mut SharedStatus, hosts: &mut Hosts) -> (Command, Digest) {
        let same_version = self.reuses_versions && hosts.random.u32(0..100) < 50;
        if !same_version || shared_status.next_version == 0 {
            shared_status.next_version += 1;
        }
        shared_status.next_revision += 1;
        let bundle = bundle_of(shared_status.next_revision);
        let compressed = BundleUpdate::compress(&bundle);
        (Command::Submit { version: shared_status.next_version, compressed }, bundle.digest())
    }

    fn send(&mut self, hosts: &mut Hosts) {
        self.next_call += 1;
        let (call, node) = (self.next_call, self.node());
        let Some(pending) = &mut self.pending else { return };
        pending.call = call;
        let control = Node::Control(self.controls[pending.target % self.controls.len()]);
        let command = SimCommand::Config(pending.request.clone());
        hosts.send(node, control, Packet::Propose(call, command));
        hosts.set_timer(node, ANSWER_TIMEOUT_MS, Timer::CallTimeout(call));
    }

    fn on_call_lost(&mut self, call: CallId, leader: Option<u64>, hosts: &mut Hosts) {
        let Some(pending) = &mut self.pending else { return };
        if pending.call != call {
            return;
        }
        let hinted = self.controls.iter().position(|control| Some(*control) == leader);
        pending.target = hinted.unwrap_or(pending.target + 1);
        // Call id 0 marks the request as waiting for its resend timer.
        let delay_ms = hosts.random.u64(RESEND_DELAY_MS);
        pending.call = 0;
        hosts.set_timer(self.node(), delay_ms, Timer::SendReport);
    }

    /// Resends the pending request after the resend delay.
    pub fn resend(&mut self, hosts: &mut Hosts) {
        if self.pending.as_ref().is_some_and(|pending| pending.call == 0) {
            self.send(hosts);
        }
    }

    pub fn on_packet(
        &mut self,
        packet: Packet,
        shared_status: &mut SharedStatus,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        match packet {
            Packet::ProposeAnswer(call, ProposalReply::Config(answer))
                if self.pending.as_ref().is_some_and(|pending| pending.call == call) =>
            {
                let pending = self.pending.take().expect("checked by the guard");
                record_answer(self.number, &pending, &answer, shared_status, checker);
            }
            Packet::ProposeAnswer(call, ProposalReply::NotLeader { leader }) => {
                self.on_call_lost(call, leader, hosts);
            }
            Packet::ProposeAnswer(call, _) | Packet::Reset(call) => {
                self.on_call_lost(call, None, hosts)
            }
            _ => {}
        }
    }
}

fn random_stages(hosts: &mut Hosts) -> Vec<Stage> {
    match hosts.random.u32(0..4) {
        0 => vec![Stage::Percent(40), Stage::All],
        1 => vec![Stage::Zones(vec!["zone-1".to_owned()]), Stage::Percent(50), Stage::All],
        2 => vec![Stage::Proxies(vec!["proxy-0".to_owned()]), Stage::All],
        _ => vec![Stage::All],
    }
}

fn record_answer(
    operator: usize,
    pending: &Pending,
    answer: &Answer,
    shared_status: &mut SharedStatus,
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
            record_accepted(operator, accepted, pending, shared_status);
        }
        Err(Refusal::GenerationConflict { current, .. }) => shared_status.generation = *current,
        Err(Refusal::RolloutInProgress { generation }) => {
            shared_status.rollout.get_or_insert((*generation, 1));
        }
        Err(Refusal::NoSuchRollout { .. }) => {
            // Another operator advanced or withdrew it: tries the next stages, up to the third,
            // then forgets the rollout.
            shared_status.rollout = match shared_status.rollout {
                Some((generation, stage)) if stage < 3 => Some((generation, stage + 1)),
                _ => None,
            };
        }
        Err(_) => {}
    }
}

fn record_accepted(
    operator: usize,
    accepted: &Accepted,
    pending: &Pending,
    shared_status: &mut SharedStatus,
) {
    match accepted {
        Accepted::Submitted { digest, .. } => shared_status.submitted.push((*digest, operator)),
        Accepted::Approved { digest } => shared_status.approved.push(*digest),
        Accepted::Rolled { generation } => {
            shared_status.generation = shared_status.generation.max(*generation);
            let staged = matches!(&pending.request.command,
                Command::Roll { stages, .. } if stages.len() > 1);
            shared_status.rollout = staged.then_some((*generation, 1));
        }
        Accepted::Advanced { generation, stages, complete } => {
            shared_status.rollout = (!complete).then_some((*generation, *stages));
        }
        Accepted::Withdrawn { generation, .. } => {
            shared_status.generation = shared_status.generation.max(*generation);
            shared_status.rollout = None;
        }
        _ => {}
    }
}
