//! The consensus group as this coordinator takes part in it: its replica, its peers, and the
//! loops that join the group and look after its members.

use crate::autopilot::{Autopilot, Change, Facts, MemberFacts};
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
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::Clock;
use tracing::{info, warn};

const LOOK_INTERVAL: Duration = Duration::from_millis(250);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
const WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// The group.
pub(crate) struct Group {
    pub own: MemberId,
    pub replica: Replica<ConfigState>,
    transport: Arc<Transport>,
    clock: Clock,
    heard: Mutex<BTreeMap<MemberId, Millis>>,
    autopilot: Mutex<Autopilot>,
    seeds: Vec<Ipv4Addr>,
    /// Zones of coordinators, as they told.
    zones: Mutex<BTreeMap<Ipv4Addr, String>>,
}

/// The newest configuration that a coordinator knows.
pub(crate) struct KnownConfiguration {
    /// Its generation; 0 if there is none.
    pub generation: u64,
    /// Whether a leader is known; without one this coordinator may be behind.
    pub confirmed: bool,
    /// The content that the sidecar which asks holds, if that is known here.
    pub held: Option<Bundle>,
    /// Its content.
    pub bundle: Bundle,
}

/// The canaries that a coordinator knows.
pub(crate) struct KnownVersions {
    /// Log position of the newest change; 0 before the first.
    pub revision: u64,
    /// The newest canary of each service that ever had one.
    pub canaries: BTreeMap<String, CanaryRecord>,
}

/// The evacuated zones that a coordinator knows.
pub(crate) struct KnownEvacuations {
    /// Log position of the newest change; 0 before the first.
    pub revision: u64,
    /// By zone.
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
            heard: Mutex::default(),
            autopilot: Mutex::new(autopilot),
            seeds,
            zones: Mutex::default(),
        }
    }

    /// Hands a message of a peer to the replica.
    pub fn receive(&self, message: Message) {
        let from = MemberId(message.from);
        let now = self.clock.now_ms();
        self.heard.lock().unwrap_or_else(PoisonError::into_inner).insert(from, now);
        if self.is_known_stranger(from) {
            // It was removed while it was away, and does not know.
            self.join(from);
            return;
        }
        self.replica.step(message);
    }

    fn is_known_stranger(&self, member: MemberId) -> bool {
        let published = self.replica.lock();
        let membership = &published.status.membership;
        published.status.is_leader && !membership.members().any(|id| id == member.0)
    }

    /// A member asks to be added: the leader remembers it, others pass it on.
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

    fn lock_autopilot(&self) -> std::sync::MutexGuard<'_, Autopilot> {
        self.autopilot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All members in force.
    pub fn members(&self) -> Vec<MemberId> {
        self.replica.lock().status.membership.members().map(MemberId).collect()
    }

    /// All members in force with their zones, as far as they told.
    pub fn places(&self) -> Vec<MemberLocation> {
        let members = self.members();
        let zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        let place = |member: MemberId| MemberLocation {
            address: member.address(),
            zone: zones.get(&member.address()).cloned().unwrap_or_default(),
        };
        members.into_iter().map(place).collect()
    }

    /// Notes the zone of a coordinator.
    pub fn note_zone(&self, member: MemberId, zone: &str) {
        let mut zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        if zones.get(&member.address()).is_none_or(|known| known != zone) {
            zones.insert(member.address(), zone.to_owned());
        }
    }

    /// Hands what a sidecar told of a canary on to the leader, which judges it.
    pub fn pass_evidence(&self, node: NodeAddress, boot_id: u64, told: &VersionEvidence) {
        let leader = self.replica.lock().status.leader.map(MemberId);
        if let Some(leader) = leader.filter(|leader| *leader != self.own) {
            let told = told.clone();
            self.transport
                .send(leader, CoordinatorFrame::Evidence { node, boot_id, evidence: told });
        }
    }

    /// The newest generation known here, and whether a leader is.
    pub fn newest(&self) -> (u64, bool) {
        let published = self.replica.lock();
        let generation = published.machine.0.in_force_generation();
        (generation, published.status.trusted_leader().is_some())
    }

    /// The newest generation this replica may tell sidecars of; 0 while it hears of no leader.
    pub fn announced_generation(&self) -> u64 {
        let published = self.replica.lock();
        match published.status.trusted_leader() {
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

    /// The newest configuration known here, and the content that a sidecar holds, if known.
    pub fn configuration(&self, held: Digest) -> KnownConfiguration {
        let published = self.replica.lock();
        let machine = &published.machine.0;
        let (target, bundle) = machine.in_force();
        KnownConfiguration {
            generation: target.generation,
            confirmed: published.status.trusted_leader().is_some(),
            held: machine.content(&held),
            bundle,
        }
    }

    fn is_member(&self) -> bool {
        let published = self.replica.lock();
        let found = published.status.membership.members().any(|id| id == self.own.0);
        found
    }

    /// Starts the loops of this group.
    pub fn spawn(self: &Arc<Self>, trusted_source: String, hub: Arc<Hub>) {
        let group = self.clone();
        thread::spawn(move || loop {
            thread::sleep(LOOK_INTERVAL);
            group.look(&trusted_source);
        });
        let group = self.clone();
        thread::spawn(move || group.watch(&hub));
    }

    /// Wakes the links after every change of the replica.
    fn watch(&self, hub: &Hub) {
        let mut seen = (0, None, Membership::default());
        loop {
            let published = self.replica.lock();
            let published = self.replica.wait_changed(published, WATCH_INTERVAL);
            let status = &published.status;
            let now = (status.applied, status.leader, status.membership.clone());
            drop(published);
            if now != seen {
                seen = now;
                hub.bump();
            }
        }
    }

    fn look(&self, trusted_source: &str) {
        if !self.is_member() {
            self.ask_to_join();
            return;
        }
        if !self.replica.lock().status.is_leader {
            return;
        }
        self.set_policy(trusted_source);
        let facts = self.facts();
        let change = self.lock_autopilot().next_change(&facts);
        if let Some(change) = change {
            self.apply(change, &facts);
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
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let published = self.replica.lock();
        let status = &published.status;
        let facts_of = |id: u64| {
            let member = MemberId(id);
            let matched = status.matched.get(&id).copied().unwrap_or(0);
            let caught_up = matched >= status.applied && matched > 0;
            (member, MemberFacts { heard_at: heard.get(&member).copied(), caught_up })
        };
        Facts {
            own: self.own,
            membership: status.membership.clone(),
            members: status.membership.members().map(facts_of).collect(),
            now: self.clock.now_ms(),
        }
    }

    fn apply(&self, change: Change, facts: &Facts) {
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
        }
        match self.replica.change_membership(next, CHANGE_TIMEOUT) {
            Ok(_) => info!(?change, "membership_changed"),
            Err(error) => warn!(?change, %error, "membership_not_changed"),
        }
    }
}
