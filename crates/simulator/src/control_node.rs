//! Simulated control replica, which drives the production consensus core and state machines.

use crate::checker::Checker;
use crate::host::Hosts;
use crate::packet::{CallId, Node, Packet, ProposalReply, SimCommand, Timer};
use bundle::{best_update, Bundle, BundleUpdate};
use claims::ClaimMachine;
use consensus::{
    Config, Entry, Index, Membership, Message, Payload, ProposeError, Raft, Ready, Snapshot,
    SnapshotMeta,
};
use rollout::{ConfigMachine, RolloutWeakness};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, VecDeque};
use storage::{CrashPoint, LogStore, MemoryStore, Record};
use wire::{ReportReply, ReportRequest, WatchReply, WatchRequest};

pub(crate) const TICK_MS: u64 = 20;
pub(crate) const ELECTION_TICKS: u32 = 20;
const HEARTBEAT_TICKS: u32 = 4;
const LONG_POLL_MS: u64 = 500;
/// Small enough that checkpoints and snapshot transfers happen in every run.
const CHECKPOINT_BYTES: u64 = 24 * 1024;

/// Mechanisms of a replica that the broken variant disables.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlWeakness {
    pub consensus: Option<consensus::Weakness>,
    pub rollout: Option<RolloutWeakness>,
    pub claims: Option<claims::ClaimWeakness>,
}

struct HeldWatch {
    relay: Node,
    call: CallId,
    request: WatchRequest,
    deadline_ms: u64,
}

/// Pending linearizable read of the newest revision for a relay.
#[derive(Clone, Copy)]
struct PendingRead {
    relay: Node,
    call: CallId,
    /// Newest revision that any replica had applied when the read began.
    min_revision: u64,
}

pub(crate) struct ControlNode {
    pub id: u64,
    pub raft: Raft,
    pub store: MemoryStore,
    pub config: ConfigMachine,
    pub claims: ClaimMachine,
    applied: Index,
    weakness: ControlWeakness,
    proposals: BTreeMap<Index, (u64, Node, CallId)>,
    reads: BTreeMap<u64, PendingRead>,
    confirmed_reads: Vec<(Index, PendingRead)>,
    next_read: u64,
    held_watches: Vec<HeldWatch>,
    heartbeat_rounds: VecDeque<(u64, RoundStart)>,
    quorum_contact: Option<RoundStart>,
    /// If set, the next write is torn and the process crashes.
    pub tear_next_write: Option<TornWrite>,
    /// Set when the process crashed during a write: delay until its restart.
    pub restart_after_ms: Option<u64>,
}

/// A write that reaches the disk only partially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TornWrite {
    /// Number of bytes that are durable.
    pub bytes: usize,
    /// Delay until the process restarts.
    pub restart_ms: u64,
}

pub(crate) fn initial_snapshot(membership: Membership) -> Snapshot {
    Snapshot { meta: SnapshotMeta { index: 0, term: 0, membership }, data: Vec::new() }
}

/// Start of a heartbeat round, by the node's own clock and in real (simulated) time.
#[derive(Clone, Copy, Debug)]
struct RoundStart {
    clock_ms: u64,
    real_ms: u64,
}

impl ControlNode {
    /// Recovers the replica from its disk.
    pub fn start(id: u64, mut store: MemoryStore, weakness: ControlWeakness, seed: u64) -> Self {
        let recovered = store.recover();
        let (config, claims) = decode_state(&recovered.snapshot.data, weakness);
        let consensus = Config {
            id,
            election_ticks: ELECTION_TICKS,
            heartbeat_ticks: HEARTBEAT_TICKS,
            seed,
            weakness: weakness.consensus,
        };
        let raft =
            Raft::new(consensus, recovered.hard_state, recovered.snapshot, recovered.entries);
        ControlNode {
            id,
            applied: raft.log().delivered,
            raft,
            store,
            config,
            claims,
            weakness,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            next_read: 1,
            held_watches: Vec::new(),
            heartbeat_rounds: VecDeque::new(),
            quorum_contact: None,
            tear_next_write: None,
            restart_after_ms: None,
        }
    }

    pub fn on_timer(&mut self, timer: &Timer, hosts: &mut Hosts, checker: &mut Checker) {
        if *timer == Timer::Tick {
            self.raft.tick();
            self.process_ready(hosts, checker);
        }
    }

    pub fn on_packet(
        &mut self,
        from: Node,
        packet: Packet,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) {
        match packet {
            Packet::Raft(message) => self.raft.step(message),
            Packet::Propose(call, command) => self.propose(from, call, &command, hosts),
            Packet::Watch(call, request) => {
                let deadline_ms = hosts.clock_ms(Node::Control(self.id)) + LONG_POLL_MS;
                self.held_watches.push(HeldWatch { relay: from, call, request, deadline_ms });
            }
            Packet::Report(call, request) => self.report(from, call, &request, hosts, checker),
            _ => {}
        }
        self.process_ready(hosts, checker);
    }

    fn propose(&mut self, from: Node, call: CallId, command: &SimCommand, hosts: &mut Hosts) {
        let bytes = command.write_to_vec().expect("encoding to memory cannot fail");
        match self.raft.propose(bytes) {
            Ok((term, index)) => {
                self.proposals.insert(index, (term, from, call));
            }
            Err(ProposeError::NotLeader { leader }) => {
                let reply = ProposalReply::NotLeader { leader };
                hosts.send(Node::Control(self.id), from, Packet::ProposeAnswer(call, reply));
            }
            Err(_) => {
                let reply = ProposalReply::NotRun;
                hosts.send(Node::Control(self.id), from, Packet::ProposeAnswer(call, reply));
            }
        }
    }

    fn report(
        &mut self,
        from: Node,
        call: CallId,
        request: &ReportRequest,
        hosts: &mut Hosts,
        checker: &Checker,
    ) {
        if request.confirm {
            let context = self.next_read;
            self.next_read += 1;
            if self.raft.read_index(context).is_ok() {
                let min_revision = checker.newest_revision();
                self.reads.insert(context, PendingRead { relay: from, call, min_revision });
                return;
            }
        }
        let reply = match self.raft.is_leader() && !request.confirm {
            true => ReportReply::Done { confirmed_revision: None },
            false => ReportReply::NotLeader { leader: self.raft.leader() },
        };
        hosts.send(Node::Control(self.id), from, Packet::ReportAnswer(call, reply));
    }

    /// Proposes a membership change, as the operators' tool does. Returns whether the proposal was
    /// accepted.
    pub fn change_membership(
        &mut self,
        next: Membership,
        hosts: &mut Hosts,
        checker: &mut Checker,
    ) -> bool {
        let accepted = self.raft.propose_membership(next).is_ok();
        self.process_ready(hosts, checker);
        accepted
    }

    fn process_ready(&mut self, hosts: &mut Hosts, checker: &mut Checker) {
        while self.raft.has_ready() && self.restart_after_ms.is_none() {
            let ready = self.raft.ready();
            if !self.save(&ready) {
                return;
            }
            for message in &ready.messages {
                self.send_message(message.clone(), hosts);
            }
            self.apply(ready, hosts, checker);
        }
        let clock_ms = hosts.clock_ms(Node::Control(self.id));
        self.track_heartbeat_rounds(RoundStart { clock_ms, real_ms: hosts.now_ms });
        self.answer_watches(hosts, checker);
        if self.store.bytes_since_checkpoint() >= CHECKPOINT_BYTES {
            self.checkpoint();
        }
    }

    fn send_message(&self, message: Message, hosts: &mut Hosts) {
        hosts.send(Node::Control(self.id), Node::Control(message.to), Packet::Raft(message));
    }

    /// Saves to disk. Returns false if the process crashed during the write.
    fn save(&mut self, ready: &Ready) -> bool {
        if !ready.must_save() {
            return true;
        }
        if let Some(snapshot) = &ready.snapshot {
            let retained = self.raft.log().retained().to_vec();
            let hard_state = self.raft.hard_state();
            self.store
                .checkpoint(hard_state, snapshot, &retained)
                .expect("memory store cannot fail");
        } else {
            let record = Record { hard_state: ready.hard_state, entries: ready.entries.clone() };
            if let Some(torn) = self.tear_next_write.take() {
                let point = CrashPoint::DuringSave { bytes: torn.bytes };
                self.store.crash(point, Some(&record));
                self.restart_after_ms = Some(torn.restart_ms);
                return false;
            }
            self.store.save(record.hard_state, &record.entries).expect("memory store cannot fail");
        }
        self.raft.on_persisted(self.raft.log().last_index());
        true
    }

    fn apply(&mut self, ready: Ready, hosts: &mut Hosts, checker: &mut Checker) {
        if let Some(snapshot) = &ready.snapshot {
            (self.config, self.claims) = decode_state(&snapshot.data, self.weakness);
            self.applied = snapshot.meta.index;
        }
        for entry in &ready.committed {
            self.apply_entry(entry, hosts, checker);
            self.applied = entry.index;
        }
        for read in ready.reads {
            if let Some(pending) = self.reads.remove(&read.context) {
                self.confirmed_reads.push((read.index, pending));
            }
        }
        for context in ready.failed_reads {
            if let Some(PendingRead { relay, call, .. }) = self.reads.remove(&context) {
                let reply = ReportReply::NotLeader { leader: self.raft.leader() };
                hosts.send(Node::Control(self.id), relay, Packet::ReportAnswer(call, reply));
            }
        }
        self.answer_reads(hosts, checker);
    }

    fn answer_reads(&mut self, hosts: &mut Hosts, checker: &mut Checker) {
        let revision = self.config.view().revision;
        let applied = self.applied;
        let id = self.id;
        self.confirmed_reads.retain(|(index, read)| {
            if *index > applied {
                return true;
            }
            checker.on_confirmed_read(id, read.min_revision, revision);
            let reply = ReportReply::Done { confirmed_revision: Some(revision) };
            hosts.send(Node::Control(id), read.relay, Packet::ReportAnswer(read.call, reply));
            false
        });
    }

    fn apply_entry(&mut self, entry: &Entry, hosts: &mut Hosts, checker: &mut Checker) {
        let proposal = self.proposals.remove(&entry.index);
        let own = proposal.filter(|(term, _, _)| *term == entry.term);
        if let (Some((_, node, call)), None) = (proposal, own) {
            let answer = Packet::ProposeAnswer(call, ProposalReply::NotRun);
            hosts.send(Node::Control(self.id), node, answer);
        }
        let Payload::Command(bytes) = &entry.payload else { return };
        checker.on_apply(self.id, entry.index, bytes);
        let Ok(command) = SimCommand::read_from_buffer(bytes) else { return };
        let reply = match &command {
            SimCommand::Config(request) => {
                let answer = self.config.apply(entry.index, request);
                checker.on_history(self.id, &self.config);
                if answer.is_ok() {
                    checker.on_executed(&request.request_id, self.config.view().revision);
                }
                ProposalReply::Config(answer)
            }
            SimCommand::Claim(command) => ProposalReply::Claim(self.claims.apply(command)),
        };
        if let Some((_, node, call)) = own {
            hosts.send(Node::Control(self.id), node, Packet::ProposeAnswer(call, reply));
        }
    }

    /// Reports a suspension of the machine to the consensus core, as the production replica does
    /// before it handles input. Suspensions shorter than an election timeout are ignored.
    pub fn on_machine_sleep(&mut self, slept_ms: u64) {
        if slept_ms >= TICK_MS * u64::from(ELECTION_TICKS) {
            self.raft.note_sleep();
        }
    }

    fn track_heartbeat_rounds(&mut self, now: RoundStart) {
        if !self.raft.is_leader() {
            self.heartbeat_rounds.clear();
            self.quorum_contact = None;
            return;
        }
        let newest = self.raft.round();
        if self.heartbeat_rounds.back().is_none_or(|(round, _)| *round < newest) {
            self.heartbeat_rounds.push_back((newest, now));
        }
        let confirmed = self.raft.confirmed_round();
        while let Some((round, started)) = self.heartbeat_rounds.front().copied() {
            if round > confirmed {
                break;
            }
            self.quorum_contact = Some(started);
            self.heartbeat_rounds.pop_front();
        }
    }

    fn answer_watches(&mut self, hosts: &mut Hosts, checker: &mut Checker) {
        let now_ms = hosts.clock_ms(Node::Control(self.id));
        let mut unanswered = Vec::new();
        for watch in std::mem::take(&mut self.held_watches) {
            match self.watch_reply(&watch, now_ms) {
                Some(reply) => {
                    self.check_quorum_contact(&reply, hosts.now_ms, checker);
                    let answer = Packet::WatchAnswer(watch.call, reply);
                    hosts.send(Node::Control(self.id), watch.relay, answer);
                }
                None => unanswered.push(watch),
            }
        }
        self.held_watches = unanswered;
    }

    /// Checks that a replica that answers as leader had contact with a quorum within an election
    /// timeout of real time.
    fn check_quorum_contact(&self, reply: &WatchReply, now_ms: u64, checker: &mut Checker) {
        if matches!(reply, WatchReply::NotLeader { .. }) {
            return;
        }
        let age_ms = self.quorum_contact.map(|at| now_ms.saturating_sub(at.real_ms));
        let longest_ms = TICK_MS * u64::from(ELECTION_TICKS);
        if age_ms.is_none_or(|age_ms| age_ms >= longest_ms) {
            checker.on_stale_leader(self.id, age_ms);
        }
    }

    fn watch_reply(&self, watch: &HeldWatch, now_ms: u64) -> Option<WatchReply> {
        if !self.raft.is_leader() {
            return Some(WatchReply::NotLeader { leader: self.raft.leader() });
        }
        let view = self.config.view();
        let newer = view.revision > watch.request.revision;
        if !newer && now_ms < watch.deadline_ms {
            return None;
        }
        let longest = TICK_MS * u64::from(ELECTION_TICKS);
        let recent = self.quorum_contact.is_some_and(|at| now_ms < at.clock_ms + longest);
        if !recent {
            return Some(WatchReply::NotLeader { leader: None });
        }
        if !newer {
            return Some(WatchReply::Unchanged);
        }
        let held = &watch.request.held;
        let base: Option<Bundle> = held.iter().find_map(|digest| self.config.content(digest));
        let updates: Vec<BundleUpdate> = view
            .targets()
            .filter(|target| !held.contains(&target.digest))
            .filter_map(|target| self.config.content(&target.digest))
            .map(|target| best_update(base.as_ref(), &target))
            .collect();
        Some(WatchReply::Changed { view, updates })
    }

    fn checkpoint(&mut self) {
        let data = (self.config.encode(), self.claims.encode())
            .write_to_vec()
            .expect("encoding to memory cannot fail");
        if let Some(snapshot) = self.raft.compact(self.applied, data) {
            let retained = self.raft.log().retained().to_vec();
            let hard_state = self.raft.hard_state();
            self.store
                .checkpoint(hard_state, &snapshot, &retained)
                .expect("memory store cannot fail");
        }
    }
}

fn decode_state(data: &[u8], weakness: ControlWeakness) -> (ConfigMachine, ClaimMachine) {
    let (config, claims) = match data.is_empty() {
        true => (Vec::new(), Vec::new()),
        false => <(Vec<u8>, Vec<u8>)>::read_from_buffer(data).expect("snapshot data is valid"),
    };
    let mut config = ConfigMachine::decode(&config).expect("snapshot data is valid");
    let mut claims = ClaimMachine::decode(&claims).expect("snapshot data is valid");
    if let Some(weakness) = weakness.rollout {
        config.weaken(weakness);
    }
    if let Some(weakness) = weakness.claims {
        claims.weaken(weakness);
    }
    (config, claims)
}
