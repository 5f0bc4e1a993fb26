//! This coordinator's participation in the consensus group: its replica, its peers, and the loops
//! that join the group and manage its membership.

use crate::autopilot::{Autopilot, Change, Facts, MemberFacts, Reason};
use crate::hub::Hub;
use crate::transport::Transport;
use crate::Millis;
use bundle::{Bundle, Digest};
use consensus::{Membership, Message};
use control::{ConfigState, Replica};
use mesh::{CoordinatorFrame, MemberId, MemberLocation, NodeAddress, VersionEvidence};
use rollout::{ApprovalPolicy, CanaryRecord, Command, EvacuationRecord, Request, CONTROL_OPERATOR};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::{BootInstant, Clock};
use tracing::{info, warn};

const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
const RESIGN_TIMEOUT: Duration = Duration::from_millis(1_000);
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(50);
const WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// The consensus group.
pub(crate) struct Group {
    pub own: MemberId,
    pub replica: Replica<ConfigState>,
    transport: Arc<Transport>,
    clock: Clock,
    heard_at: Mutex<BTreeMap<MemberId, Millis>>,
    autopilot: Mutex<Autopilot>,
    seeds: Vec<Ipv4Addr>,
    /// Zones of coordinators, as reported by them.
    zones: Mutex<BTreeMap<Ipv4Addr, String>>,
    /// Whether this coordinator stops, and whether its vote was taken.
    stopping: AtomicBool,
    vote_taken: AtomicBool,
    /// Whether maintenance is due before its interval has passed.
    maintenance_due: Mutex<bool>,
    maintenance_wake: Condvar,
}

/// The latest configuration known to this coordinator.
pub(crate) struct KnownConfiguration {
    /// Its generation; 0 if there is none.
    pub generation: u64,
    /// Whether a leader is known; otherwise this coordinator may be outdated.
    pub confirmed: bool,
    /// The configuration that the requesting sidecar has, if it is known here.
    pub held: Option<Bundle>,
    /// Its content.
    pub bundle: Bundle,
}

/// The canaries known to this coordinator.
pub(crate) struct KnownVersions {
    /// Log position of the latest change; 0 before the first.
    pub revision: u64,
    /// The latest canary of each service that ever had one.
    pub canaries: BTreeMap<String, CanaryRecord>,
}

/// The evacuated zones known to this coordinator.
pub(crate) struct KnownEvacuations {
    /// Log position of the latest change; 0 before the first.
    pub revision: u64,
    /// Evacuations by zone.
    pub zones: BTreeMap<String, EvacuationRecord>,
}

impl Group {
    pub fn new(
        own: MemberId,
        replica: Replica<ConfigState>,
        transport: Arc<Transport>,
        clock: Clock,
        autopilot: Autopilot,
        seeds: Vec<Ipv4Addr>,
    ) -> Self {
        Group {
            own,
            replica,
            transport,
            clock,
            heard_at: Mutex::default(),
            autopilot: Mutex::new(autopilot),
            seeds,
            zones: Mutex::default(),
            stopping: AtomicBool::new(false),
            vote_taken: AtomicBool::new(false),
            maintenance_due: Mutex::new(false),
            maintenance_wake: Condvar::new(),
        }
    }

    /// Passes a message of a peer to the replica.
    pub fn receive(&self, message: Message) {
        let sender = MemberId(message.from);
        let now = self.clock.now_ms();
        self.heard_at.lock().unwrap_or_else(PoisonError::into_inner).insert(sender, now);
        if self.leads_without_member(sender) {
            // The member was removed while it was disconnected and has not noticed.
            self.join(sender);
            return;
        }
        self.replica.step(message);
    }

    fn leads_without_member(&self, member: MemberId) -> bool {
        let published = self.replica.lock();
        let membership = &published.status.membership;
        published.status.is_leader && !membership.members().any(|id| id == member.0)
    }

    /// Handles a join request: the leader records it, other members forward it to the leader.
    pub fn join(&self, member: MemberId) {
        let (is_leader, leader) = {
            let published = self.replica.lock();
            (published.status.is_leader, published.status.leader)
        };
        if is_leader {
            let now = self.clock.now_ms();
            self.lock_autopilot().wants_to_join(member, now);
        } else if let Some(leader) = leader.map(MemberId).filter(|leader| *leader != self.own) {
            self.transport.send(leader, CoordinatorFrame::Join { member: member.0 });
        }
    }

    /// Hands the vote of this coordinator over before it stops, if another member can take it. Asks
    /// whoever leads until `deadline`, and hands the leadership over first if it is still here.
    pub fn hand_over_vote(&self, deadline: BootInstant) {
        self.stopping.store(true, Ordering::Release);
        self.replica.retire();
        if !self.has_vote() || self.replica.lock().status.membership.learners.is_empty() {
            return;
        }
        while self.has_vote() && BootInstant::now() < deadline {
            let leader = self.replica.lock().status.leader.map(MemberId);
            match leader {
                Some(leader) if leader == self.own => {
                    self.replica.transfer_leadership(HAND_OVER_INTERVAL);
                }
                Some(leader) => {
                    self.transport.send(leader, CoordinatorFrame::Stopping { member: self.own.0 });
                }
                None => {}
            }
            thread::sleep(HAND_OVER_INTERVAL);
        }
        info!(handed_over = !self.has_vote(), "vote_handed_over");
    }

    /// Whether this coordinator has a vote, as far as it knows.
    fn has_vote(&self) -> bool {
        let published = self.replica.lock();
        let status = &published.status;
        let is_voter = status.membership.voters.contains(&self.own.0);
        (is_voter || !status.membership_committed) && !self.vote_taken.load(Ordering::Acquire)
    }

    /// Handles the announcement that a member stops: the leader takes its vote, and confirms that it
    /// has none any more once that is committed. A removal that is lost with its leader is none.
    pub fn stops(&self, member: MemberId) {
        let (is_leader, is_voter, is_committed) = {
            let status = &self.replica.lock().status;
            let is_voter = status.membership.voters.contains(&member.0);
            (status.is_leader, is_voter, status.membership_committed)
        };
        if !is_leader {
            return;
        }
        let now = self.clock.now_ms();
        self.lock_autopilot().stops(member, now);
        if is_voter {
            self.wake_maintenance();
        } else if is_committed {
            self.transport.send(member, CoordinatorFrame::Removed { member: member.0 });
        }
    }

    /// The leader confirmed that this coordinator has no vote.
    pub fn removed(&self, member: MemberId) {
        if member == self.own {
            self.vote_taken.store(true, Ordering::Release);
        }
    }

    fn wake_maintenance(&self) {
        *self.maintenance_due.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.maintenance_wake.notify_one();
    }

    /// Waits until maintenance is due.
    fn wait_for_maintenance(&self) {
        let due = self.maintenance_due.lock().unwrap_or_else(PoisonError::into_inner);
        let waited =
            self.maintenance_wake.wait_timeout_while(due, MAINTENANCE_INTERVAL, |due| !*due);
        let (mut due, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *due = false;
    }

    fn lock_autopilot(&self) -> std::sync::MutexGuard<'_, Autopilot> {
        self.autopilot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All members of the current membership.
    pub fn members(&self) -> Vec<MemberId> {
        self.replica.lock().status.membership.members().map(MemberId).collect()
    }

    /// All current members with their zones, as far as known.
    pub fn locations(&self) -> Vec<MemberLocation> {
        let members = self.members();
        let zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        let location = |member: MemberId| MemberLocation {
            address: member.address(),
            zone: zones.get(&member.address()).cloned().unwrap_or_default(),
        };
        members.into_iter().map(location).collect()
    }

    /// Records the zone of a coordinator.
    pub fn note_zone(&self, member: MemberId, zone: &str) {
        let mut zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        if zones.get(&member.address()).is_none_or(|known| known != zone) {
            zones.insert(member.address(), zone.to_owned());
        }
    }

    /// Forwards canary evidence of a sidecar to the leader, which evaluates it.
    pub fn forward_evidence(&self, node: NodeAddress, boot_id: u64, evidence: &VersionEvidence) {
        let leader = self.replica.lock().status.leader.map(MemberId);
        if let Some(leader) = leader.filter(|leader| *leader != self.own) {
            let evidence = evidence.clone();
            self.transport.send(leader, CoordinatorFrame::Evidence { node, boot_id, evidence });
        }
    }

    /// The latest generation known here, and whether a leader is known.
    pub fn newest(&self) -> (u64, bool) {
        let published = self.replica.lock();
        let generation = published.machine.0.in_force_generation();
        (generation, published.status.current_leader().is_some())
    }

    /// The latest generation that may be announced to sidecars; 0 while no leader is known.
    pub fn announced_generation(&self) -> u64 {
        let published = self.replica.lock();
        match published.status.current_leader() {
            Some(_) => published.machine.0.newest_generation(),
            None => 0,
        }
    }

    /// The canaries known here.
    pub fn versions(&self) -> KnownVersions {
        let published = self.replica.lock();
        let machine = &published.machine.0;
        let (revision, canaries) = (machine.canaries_revision(), machine.canaries().clone());
        KnownVersions { revision, canaries }
    }

    /// The evacuated zones known here.
    pub fn evacuations(&self) -> KnownEvacuations {
        let published = self.replica.lock();
        let machine = &published.machine.0;
        let (revision, zones) = (machine.evacuations_revision(), machine.evacuations().clone());
        KnownEvacuations { revision, zones }
    }

    /// Whether this coordinator leads the group.
    pub fn leads(&self) -> bool {
        self.replica.lock().status.is_leader
    }

    /// The latest configuration known here, and the one with the digest `held`, if known.
    pub fn configuration(&self, held: Digest) -> KnownConfiguration {
        let published = self.replica.lock();
        let machine = &published.machine.0;
        let (target, bundle) = machine.in_force();
        KnownConfiguration {
            generation: target.generation,
            confirmed: published.status.current_leader().is_some(),
            held: machine.content(&held),
            bundle,
        }
    }

    fn is_member(&self) -> bool {
        let published = self.replica.lock();
        let is_member = published.status.membership.members().any(|id| id == self.own.0);
        is_member
    }

    /// Starts the background loops.
    pub fn spawn(self: &Arc<Self>, trusted_source: String, hub: Arc<Hub>) {
        let group = self.clone();
        thread::spawn(move || loop {
            group.wait_for_maintenance();
            group.maintain(&trusted_source);
        });
        let group = self.clone();
        thread::spawn(move || group.watch(&hub));
    }

    /// Notifies the link thread of every change of the replica.
    fn watch(&self, hub: &Hub) {
        let mut observed = (0, None, Membership::default());
        loop {
            let published = self.replica.lock();
            let published = self.replica.wait_for_change(published, WATCH_INTERVAL);
            let status = &published.status;
            let now = (status.applied, status.leader, status.membership.clone());
            drop(published);
            if now != observed {
                observed = now;
                hub.note_group_change();
            }
        }
    }

    fn maintain(&self, trusted_source: &str) {
        // One that was a learner when it went down does not campaign, and may have been removed since.
        let is_member = self.is_member();
        let is_lost = !is_member || self.replica.lock().status.leader.is_none();
        if is_lost && !self.stopping.load(Ordering::Acquire) {
            self.ask_to_join();
        }
        if !is_member {
            return;
        }
        if !self.replica.lock().status.is_leader {
            return;
        }
        self.set_policy(trusted_source);
        let facts = self.facts();
        let step = self.lock_autopilot().next_step(&facts);
        if let Some((change, reason)) = step {
            self.apply(change, reason, &facts);
        }
    }

    fn ask_to_join(&self) {
        let join = CoordinatorFrame::Join { member: self.own.0 };
        let others = self.seeds.iter().filter(|seed| **seed != self.own.address());
        for seed in others {
            self.transport.send_to_address(*seed, join.clone());
        }
    }

    fn set_policy(&self, trusted_source: &str) {
        if trusted_source.is_empty() {
            return;
        }
        let policy = ApprovalPolicy::TrustedSource { principal: trusted_source.to_owned() };
        if *self.replica.lock().machine.0.approval_policy() == policy {
            return;
        }
        let request = Request {
            operator: CONTROL_OPERATOR.to_owned(),
            request_id: format!("policy-{:x}", fastrand::u64(..)),
            command: Command::SetApprovalPolicy { policy },
        };
        match self.replica.propose(request, CHANGE_TIMEOUT) {
            Ok(_) => info!(principal = trusted_source, "approval_policy_set"),
            Err(error) => warn!(%error, "approval_policy_not_set"),
        }
    }

    fn facts(&self) -> Facts {
        let heard_at = self.heard_at.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let published = self.replica.lock();
        let status = &published.status;
        let facts_of = |id: u64| {
            let member = MemberId(id);
            let matched = status.matched.get(&id).copied().unwrap_or(0);
            let caught_up = matched >= status.applied && matched > 0;
            (member, MemberFacts { heard_at: heard_at.get(&member).copied(), caught_up })
        };
        Facts {
            own: self.own,
            membership: status.membership.clone(),
            members: status.membership.members().map(facts_of).collect(),
            now: self.clock.now_ms(),
        }
    }

    /// Number of learners that have caught up, as far as this coordinator leads.
    pub fn learners_caught_up(&self) -> usize {
        let facts = self.facts();
        let learners = facts.membership.learners.iter().map(|id| MemberId(*id));
        let members = &facts.members;
        learners.filter(|id| members.get(id).is_some_and(|known| known.caught_up)).count()
    }

    fn apply(&self, change: Change, reason: Reason, facts: &Facts) {
        let mut next = facts.membership.clone();
        match change {
            Change::AddLearners(ref members) => {
                next.learners.extend(members.iter().map(|member| member.0));
            }
            Change::Promote(member) => {
                next.learners.remove(&member.0);
                next.voters.insert(member.0);
            }
            Change::Remove(member) => {
                next.learners.remove(&member.0);
                next.voters.remove(&member.0);
            }
            Change::Demote(member) if member == self.own => {
                info!("leadership_resigned");
                self.replica.transfer_leadership(RESIGN_TIMEOUT);
                return;
            }
            Change::Demote(member) => {
                next.voters.remove(&member.0);
                next.learners.insert(member.0);
            }
        }
        match self.replica.change_membership(next, CHANGE_TIMEOUT) {
            Ok(_) => info!(?change, ?reason, "membership_changed"),
            Err(error) => warn!(?change, ?reason, %error, "membership_not_changed"),
        }
    }
}
