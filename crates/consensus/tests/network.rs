//! Elections, replication, membership changes and reads in a group simulated in one thread.

use consensus::{
    Body, Config, Entry, HardState, Membership, MembershipError, Message, NodeId, Payload,
    ProposeError, Raft, Snapshot, SnapshotMeta, Weakness,
};
use std::collections::{BTreeMap, BTreeSet};

const ELECTION_TICKS: u32 = 10;
/// Limit on the messages delivered at a time, above what any test needs.
const MAX_MESSAGES: usize = 5_000;

struct Network {
    members: BTreeMap<NodeId, Raft>,
    isolated: BTreeSet<NodeId>,
    queue: Vec<Message>,
    applied: BTreeMap<NodeId, Vec<Vec<u8>>>,
    confirmed_reads: Vec<u64>,
    failed_reads: Vec<u64>,
    delivered: usize,
}

fn empty_member(id: NodeId, membership: &Membership) -> Raft {
    member_with_weakness(id, membership, None)
}

fn member_with_weakness(id: NodeId, membership: &Membership, weakness: Option<Weakness>) -> Raft {
    let config =
        Config { id, election_ticks: ELECTION_TICKS, heartbeat_ticks: 2, seed: 1, weakness };
    let meta = SnapshotMeta { index: 0, term: 0, membership: membership.clone() };
    Raft::new(config, HardState::default(), Snapshot { meta, data: Vec::new() }, Vec::new())
}

impl Network {
    fn with_members(count: u64) -> Self {
        let membership = Membership::of_voters(1..=count);
        Network {
            members: (1..=count).map(|id| (id, empty_member(id, &membership))).collect(),
            isolated: BTreeSet::new(),
            queue: Vec::new(),
            applied: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            failed_reads: Vec::new(),
            delivered: 0,
        }
    }

    fn with_leader(count: u64) -> (Self, NodeId) {
        let mut network = Network::with_members(count);
        let leader = network.elect();
        (network, leader)
    }

    fn tick(&mut self, times: u32) {
        for _ in 0..times {
            for member in self.members.values_mut() {
                member.tick();
            }
            self.deliver_messages();
        }
    }

    fn elect(&mut self) -> NodeId {
        for _ in 0..20 * ELECTION_TICKS {
            self.tick(1);
            if let Some(leader) = self.current_leader() {
                return leader;
            }
        }
        panic!("no leader was elected");
    }

    fn current_leader(&self) -> Option<NodeId> {
        let connected =
            self.members.values().filter(|member| !self.isolated.contains(&member.id()));
        connected.filter(|member| member.is_leader()).map(Raft::id).next()
    }

    fn member(&mut self, id: NodeId) -> &mut Raft {
        self.members.get_mut(&id).expect("the member exists")
    }

    fn propose(&mut self, leader: NodeId, command: &str) {
        self.member(leader).propose(command.as_bytes().to_vec()).expect("the member is the leader");
        self.deliver_messages();
    }

    /// Delivers messages until none are left or [`MAX_MESSAGES`] were delivered.
    fn deliver_messages(&mut self) {
        let limit = self.delivered + MAX_MESSAGES;
        loop {
            self.process_ready();
            if self.queue.is_empty() || self.delivered >= limit {
                return;
            }
            for message in std::mem::take(&mut self.queue) {
                self.delivered += 1;
                let dropped =
                    self.isolated.contains(&message.from) || self.isolated.contains(&message.to);
                if let (false, Some(member)) = (dropped, self.members.get_mut(&message.to)) {
                    member.step(message);
                }
            }
        }
    }

    fn process_ready(&mut self) {
        for (id, member) in &mut self.members {
            while member.has_ready() {
                let ready = member.ready();
                let last = member.log().last_index();
                member.on_persisted(last);
                self.queue.extend(ready.messages);
                let commands =
                    ready.committed.into_iter().filter_map(|entry| match entry.payload {
                        Payload::Command(command) => Some(command),
                        _ => None,
                    });
                self.applied.entry(*id).or_default().extend(commands);
                self.confirmed_reads.extend(ready.reads.iter().map(|read| read.context));
                self.failed_reads.extend(ready.failed_reads);
            }
        }
    }

    fn applied_by(&self, id: NodeId) -> Vec<String> {
        let commands = self.applied.get(&id).cloned().unwrap_or_default();
        commands
            .into_iter()
            .map(|command| String::from_utf8(command).expect("commands are valid UTF-8"))
            .collect()
    }

    fn followers(&self, leader: NodeId) -> Vec<NodeId> {
        self.members.keys().copied().filter(|id| *id != leader).collect()
    }
}

#[test]
fn one_leader_is_elected_and_replicates() {
    for count in [1, 3, 5] {
        let (mut network, leader) = Network::with_leader(count);
        network.propose(leader, "first");
        network.tick(3);
        for id in 1..=count {
            assert_eq!(network.applied_by(id), ["first"], "member {id} of {count}");
        }
    }
}

#[test]
fn a_minority_commits_nothing() {
    let (mut network, leader) = Network::with_leader(5);
    let followers = network.followers(leader);
    network.isolated.extend(&followers[..3]);
    network.propose(leader, "lost");
    assert!(network.applied_by(leader).is_empty());
}

#[test]
fn a_leader_without_a_quorum_steps_down_and_fails_its_reads() {
    let (mut network, leader) = Network::with_leader(3);
    network.isolated.insert(leader);
    network.member(leader).read_index(7).expect("the isolated member has not stepped down yet");
    network.tick(3 * ELECTION_TICKS);
    assert!(!network.members[&leader].is_leader());
    assert_eq!(network.confirmed_reads, Vec::<u64>::new());
    assert_eq!(network.failed_reads, [7]);
}

#[test]
fn a_member_that_was_cut_off_does_not_disturb_the_term() {
    let (mut network, leader) = Network::with_leader(3);
    let isolated_follower = network.followers(leader)[0];
    let term = network.members[&leader].term();
    network.isolated.insert(isolated_follower);
    network.tick(20 * ELECTION_TICKS);
    network.isolated.clear();
    network.tick(2 * ELECTION_TICKS);
    assert_eq!(network.members[&leader].term(), term, "pre-votes must not increase the term");
    assert!(network.members[&leader].is_leader());
}

#[test]
fn an_uncommitted_entry_of_a_deposed_leader_gives_way() {
    let (mut network, old) = Network::with_leader(3);
    network.isolated.insert(old);
    network.propose(old, "never");
    let new = network.elect();
    network.propose(new, "kept");
    network.isolated.clear();
    network.tick(ELECTION_TICKS);
    for id in 1..=3 {
        assert_eq!(network.applied_by(id), ["kept"]);
    }
}

#[test]
fn office_is_handed_over_on_request() {
    let (mut network, leader) = Network::with_leader(3);
    let next = network.followers(leader)[0];
    network.member(leader).transfer_leadership(next);
    network.deliver_messages();
    network.tick(1);
    assert_eq!(network.current_leader(), Some(next));
}

/// Guards against an office that is handed to a voter that is gone: it matches as well as the others
/// until the next entry, and the group waits for an election.
#[test]
fn office_is_handed_to_a_voter_that_is_heard() {
    for gone in 0..2 {
        let (mut network, leader) = Network::with_leader(3);
        let followers = network.followers(leader);
        network.isolated.insert(followers[gone]);
        network.tick(ELECTION_TICKS);
        network.member(leader).resign();
        network.deliver_messages();
        assert_eq!(network.current_leader(), Some(followers[1 - gone]), "{gone} is gone");
    }
}

#[test]
fn a_member_far_behind_gets_a_snapshot_in_chunks() {
    const SNAPSHOT_BYTES: usize = 700 * 1024;
    let (mut network, leader) = Network::with_leader(3);
    let lagging = network.followers(leader)[0];
    network.isolated.insert(lagging);
    // More entries than a leader retains before its snapshot.
    for number in 0..600 {
        network.propose(leader, &number.to_string());
    }
    let index = network.members[&leader].log().last_index();
    let compacted = network.member(leader).compact(index, vec![9; SNAPSHOT_BYTES]);
    assert!(compacted.is_some());
    network.isolated.clear();
    network.tick(2 * ELECTION_TICKS);
    network.propose(leader, "after");
    let log = network.members[&lagging].log();
    assert_eq!(log.snapshot().data.len(), SNAPSHOT_BYTES);
    assert_eq!(network.applied_by(lagging).last().map(String::as_str), Some("after"));
}

/// A snapshot that breaks off with its leader is not continued by the next one's, even if that has the
/// same index and membership.
#[test]
fn a_snapshot_of_two_leaders_is_never_put_together() {
    const PIECE: usize = 1_000;
    let membership = Membership::of_voters(1..=3);
    let mut member = empty_member(3, &membership);
    let meta = SnapshotMeta { index: 50, term: 1, membership };
    let chunk = |from, offset: usize| {
        let data = vec![from as u8; PIECE];
        let (meta, offset, total) = (meta.clone(), offset as u64, 2 * PIECE as u64);
        let body = Body::SnapshotChunk { meta, offset, total, data, round: 1 };
        Message { from, to: 3, term: 1 + from, body }
    };
    member.step(chunk(1, 0));
    member.step(chunk(2, PIECE));
    assert_eq!(member.log().snapshot().meta.index, 0, "the first half is of another leader");
    member.step(chunk(2, 0));
    member.step(chunk(1, PIECE));
    assert_eq!(member.log().snapshot().meta.index, 0, "the second half is of a former leader");
    member.step(chunk(2, PIECE));
    assert_eq!(member.log().snapshot().data, vec![2; 2 * PIECE]);
}

#[test]
fn membership_changes_are_refused_when_two_majorities_could_form() {
    let (mut network, leader) = Network::with_leader(3);
    let cases: [(Membership, MembershipError); 3] = [
        (Membership::of_voters([leader]), MembershipError::MoreThanOneVoter),
        (Membership::of_voters([]), MembershipError::NoVoters),
        (Membership::of_voters(1..=4), MembershipError::NotALearner),
    ];
    for (next, expected) in cases {
        let rejected = network.member(leader).propose_membership(next);
        assert_eq!(rejected, Err(ProposeError::Membership { source: expected }));
    }
    let followers = network.followers(leader);
    network.isolated.extend(&followers);
    let mut with_learner = Membership::of_voters(1..=3);
    with_learner.learners.insert(4);
    network
        .member(leader)
        .propose_membership(with_learner.clone())
        .expect("adding a learner is allowed");
    let second = network.member(leader).propose_membership(Membership::of_voters(1..=2));
    let source = MembershipError::ChangeInProgress;
    assert_eq!(second, Err(ProposeError::Membership { source }));
}

/// One step of a replacement of member 3 by member 4.
#[derive(Clone, Copy, Debug)]
enum Step {
    Add,
    Promote,
    Remove,
}

/// Takes the steps, the first `taken` of them, and then loses one of the members that vote for good.
/// Returns whether the others go on.
fn goes_on_after_a_loss(steps: &[Step], taken: usize, lost: NodeId) -> bool {
    let (mut network, _) = Network::with_leader(3);
    network.members.insert(4, empty_member(4, &Membership::default()));
    for step in &steps[..taken] {
        let leader = network.elect();
        network.propose(leader, "before the step");
        let mut next = network.member(leader).membership().clone();
        match step {
            Step::Add => drop(next.learners.insert(4)),
            Step::Promote => {
                next.learners.remove(&4);
                next.voters.insert(4);
            }
            Step::Remove => drop(next.voters.remove(&3)),
        }
        network.member(leader).propose_membership(next).expect("one member may change");
        network.deliver_messages();
        network.tick(ELECTION_TICKS);
    }
    network.isolated.insert(lost);
    network.tick(10 * ELECTION_TICKS);
    let Some(leader) = network.current_leader() else {
        return false;
    };
    network.propose(leader, "after the loss");
    network.applied_by(leader).contains(&"after the loss".to_owned())
}

/// The order in which an operator replaces a member that still runs: the newcomer votes before the old
/// one goes, and any one member may be lost at any moment. The other way round two voters are left.
#[test]
fn a_planned_replacement_bears_a_loss_at_each_step_if_the_newcomer_votes_first() {
    let votes_first = [Step::Add, Step::Promote, Step::Remove];
    let goes_first = [Step::Add, Step::Remove, Step::Promote];
    for lost in 1..=4 {
        for taken in 0..=3 {
            assert!(goes_on_after_a_loss(&votes_first, taken, lost), "{taken} steps, {lost} lost");
        }
    }
    assert!(!goes_on_after_a_loss(&goes_first, 2, 1) && !goes_on_after_a_loss(&goes_first, 2, 2));
}

#[test]
fn a_learner_is_promoted_only_once_it_has_caught_up() {
    let (mut network, leader) = Network::with_leader(3);
    network.propose(leader, "before");
    let mut next = Membership::of_voters(1..=3);
    next.learners.insert(4);
    network.member(leader).propose_membership(next).expect("adding a learner is allowed");
    network.deliver_messages();
    let early = network.member(leader).propose_membership(Membership::of_voters(1..=4));
    let source = MembershipError::LearnerBehind;
    assert_eq!(early, Err(ProposeError::Membership { source }));
    network.members.insert(4, empty_member(4, &Membership::default()));
    network.tick(ELECTION_TICKS);
    network.member(leader).propose_membership(Membership::of_voters(1..=4)).expect("caught up");
    network.deliver_messages();
    assert_eq!(network.applied_by(4), ["before"]);
}

/// Guards against an endless exchange of messages with a peer that lost entries it had acknowledged.
/// Such a peer rejects every append, and the leader used to reply to each rejection immediately
/// instead of waiting for the next heartbeat.
#[test]
fn a_peer_that_lost_acknowledged_entries_is_not_answered_without_end() {
    let (mut network, leader) = Network::with_leader(3);
    let peer = network.followers(leader)[0];
    network.propose(leader, "acknowledged");
    network.propose(leader, "too");
    network.members.insert(peer, empty_member(peer, &Membership::of_voters(1..=3)));
    let before = network.delivered;
    network.propose(leader, "after the loss");
    network.tick(4);
    assert!(network.delivered - before < 200, "{} messages", network.delivered - before);
}

#[test]
fn members_that_start_together_elect_early() {
    for count in 3..6 {
        let mut network = Network::with_members(count);
        // Half of the minimum election timeout, plus a tick for the messages of both votes.
        network.tick(ELECTION_TICKS / 2 + 1);
        assert!(network.current_leader().is_some(), "{count} members");
    }
}

#[test]
fn a_member_that_starts_does_not_disturb_a_live_leader() {
    let (mut network, leader) = Network::with_leader(3);
    let term = network.member(leader).term();
    let restarted = (1..=3).find(|id| *id != leader).expect("another member");
    let membership = network.member(leader).membership().clone();
    network.members.insert(restarted, empty_member(restarted, &membership));
    network.tick(4 * ELECTION_TICKS);
    assert_eq!(network.current_leader(), Some(leader));
    assert_eq!(network.member(leader).term(), term);
}

#[test]
fn members_that_start_apart_elect_soon_after_most_are_there() {
    let membership = Membership::of_voters(1..=3);
    for alone_ticks in [ELECTION_TICKS / 2, ELECTION_TICKS, 4 * ELECTION_TICKS] {
        // Only the first member has the newest entry, so only it can be elected. Its elections fail
        // while it is alone.
        let config = Config {
            id: 1,
            election_ticks: ELECTION_TICKS,
            heartbeat_ticks: 2,
            seed: 1,
            weakness: None,
        };
        let meta = SnapshotMeta { index: 0, term: 0, membership: membership.clone() };
        let hard = HardState { term: 1, ..HardState::default() };
        let newest = vec![Entry { index: 1, term: 1, payload: Payload::Noop }];
        let first = Raft::new(config, hard, Snapshot { meta, data: Vec::new() }, newest);
        let mut network = Network::with_members(3);
        network.members = BTreeMap::from([(1, first)]);
        network.tick(alone_ticks);
        network.members.insert(2, empty_member(2, &membership));
        network.tick(ELECTION_TICKS / 2 + 1);
        assert_eq!(network.current_leader(), Some(1), "alone for {alone_ticks} ticks");
    }
}

/// Starts a member whose elections all end in split votes, and returns the ticks before each of its
/// first `times` elections.
fn ticks_between_split_votes(times: usize) -> Vec<u32> {
    let mut member = empty_member(1, &Membership::of_voters(1..=3));
    let mut ticks = Vec::new();
    let mut waited_ticks = 0;
    while ticks.len() < times {
        member.tick();
        waited_ticks += 1;
        while member.has_ready() {
            let ready = member.ready();
            let request = ready.messages.iter().find(|message| message.to == 2);
            let Some(Message { term, body: Body::RequestVote { pre, .. }, .. }) = request else {
                continue;
            };
            if *pre {
                // The other member grants the pre-vote, and then votes for itself.
                let body = Body::VoteReply { pre: true, granted: true };
                member.step(Message { from: 2, to: 1, term: *term, body });
            } else {
                ticks.push(waited_ticks);
                waited_ticks = 0;
            }
        }
    }
    ticks
}

#[test]
fn split_votes_are_asked_for_again_early_a_few_times() {
    let ticks = ticks_between_split_votes(8);
    let (early, late) = ticks.split_at(4);
    assert!(early.iter().all(|waited_ticks| *waited_ticks <= ELECTION_TICKS / 2), "{ticks:?}");
    assert!(late.iter().all(|waited_ticks| *waited_ticks >= ELECTION_TICKS), "{ticks:?}");
}

/// Suspends a leader while the other members elect a new one. Returns whether it is still a leader
/// and which leader it knows after it resumes, before any message reaches it, and the commands that
/// it has applied in the end.
/// Guards against a learner that follows a leader of the past for good: cut off, it vouched for its state,
/// and once its addition was discarded with the leader that proposed it, it never asked to join again.
#[test]
fn a_learner_that_hears_nothing_knows_no_leader() {
    let (mut network, leader) = Network::with_leader(3);
    let learner = 4;
    let mut membership = network.member(leader).membership().clone();
    membership.learners.insert(learner);
    network.members.insert(learner, empty_member(learner, &Membership::default()));
    network.member(leader).propose_membership(membership).expect("one learner may be added");
    network.deliver_messages();
    assert_eq!(network.member(learner).leader(), Some(leader));
    network.tick(5 * ELECTION_TICKS);
    assert_eq!(network.member(learner).leader(), Some(leader), "the leader is heard");
    network.isolated.insert(learner);
    network.tick(2 * ELECTION_TICKS);
    assert_eq!(network.member(learner).leader(), None);
    network.isolated.clear();
    network.tick(ELECTION_TICKS);
    assert_eq!(network.member(learner).leader(), Some(leader));
}

fn leader_that_slept(weakness: Option<Weakness>) -> (bool, Option<NodeId>, Vec<String>) {
    let membership = Membership::of_voters(1..=3);
    let mut network = Network::with_members(3);
    for id in 1..=3 {
        network.members.insert(id, member_with_weakness(id, &membership, weakness));
    }
    let leader = network.elect();
    network.propose(leader, "before");
    // A suspended member receives no messages and no ticks.
    let mut asleep = network.members.remove(&leader).expect("the leader is a member");
    let next = network.elect();
    network.propose(next, "meanwhile");
    if weakness != Some(Weakness::KeepsRoleAfterSleep) {
        assert!(asleep.is_leader(), "it has not noticed the new leader");
    }
    asleep.note_sleep();
    let (is_leader, known_leader) = (asleep.is_leader(), asleep.leader());
    network.members.insert(leader, asleep);
    network.tick(3 * ELECTION_TICKS);
    (is_leader, known_leader, network.applied_by(leader))
}

#[test]
fn a_member_that_slept_knows_no_leader_until_it_hears_of_one() {
    let after = vec!["before".to_owned(), "meanwhile".to_owned()];
    assert_eq!(leader_that_slept(None), (false, None, after));
    let (is_leader, known_leader, _) = leader_that_slept(Some(Weakness::KeepsRoleAfterSleep));
    assert!(is_leader && known_leader.is_some(), "the test must detect the disabled mechanism");
}

#[test]
fn members_that_all_slept_elect_again_and_lose_nothing() {
    let (mut network, leader) = Network::with_leader(3);
    network.propose(leader, "before");
    for member in network.members.values_mut() {
        member.note_sleep();
    }
    assert_eq!(network.current_leader(), None);
    let next = network.elect();
    network.propose(next, "after");
    network.tick(3);
    for id in 1..=3 {
        assert_eq!(network.applied_by(id), ["before", "after"]);
    }
}

#[test]
fn a_follower_that_sleeps_again_and_again_disturbs_nobody() {
    let (mut network, leader) = Network::with_leader(3);
    let sleeper = network.followers(leader)[0];
    let term = network.members[&leader].term();
    for _ in 0..20 {
        network.member(sleeper).note_sleep();
        network.tick(2);
    }
    assert_eq!(network.current_leader(), Some(leader));
    assert_eq!(network.members[&leader].term(), term);
}
