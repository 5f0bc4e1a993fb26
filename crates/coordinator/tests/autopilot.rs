//! Automatic membership changes, as a table of situations.

use consensus::Membership;
use coordinator::{choose_member, Autopilot, Change, Facts, MemberFacts, Reason};
use mesh::MemberId;
use std::net::Ipv4Addr;

const VOTERS: usize = 3;
const SILENCE_MS: u64 = 2_000;
const NOW: u64 = 100_000;

fn at(host: u8, incarnation: u32) -> MemberId {
    MemberId::new(Ipv4Addr::new(10, 0, 0, host), incarnation)
}

/// Facts with the first voter as leader; all members are caught up, and all but `silent` were heard
/// from.
fn facts(voters: &[MemberId], learners: &[MemberId], silent: &[MemberId]) -> Facts {
    let membership = Membership {
        voters: voters.iter().map(|member| member.0).collect(),
        learners: learners.iter().map(|member| member.0).collect(),
    };
    let facts_of = |member: &MemberId| {
        let heard_at = if silent.contains(member) { NOW - SILENCE_MS - 1 } else { NOW - 100 };
        (*member, MemberFacts { heard_at: Some(heard_at), caught_up: true })
    };
    let members = voters.iter().chain(learners).map(facts_of).collect();
    Facts { own: voters[0], membership, members, now: NOW }
}

fn next(facts: &Facts, joining: &[MemberId]) -> Option<Change> {
    let mut autopilot = Autopilot::new(VOTERS, SILENCE_MS);
    for member in joining {
        autopilot.wants_to_join(*member, NOW - 10);
    }
    autopilot.next_change(facts)
}

#[test]
fn steps_follow_the_situation() {
    let (a, b, c, d) = (at(1, 0), at(2, 0), at(3, 0), at(4, 9));
    let b_replaced = at(2, 77);
    let rows: Vec<(&str, Facts, Vec<MemberId>, Option<Change>)> = vec![
        ("all members are live", facts(&[a, b, c], &[d], &[]), vec![], None),
        ("a new member", facts(&[a, b, c], &[], &[]), vec![d], Some(Change::AddLearners(vec![d]))),
        ("too few voters", facts(&[a, b], &[d], &[]), vec![], Some(Change::Promote(d))),
        ("a silent voter without a spare", facts(&[a, b, c], &[], &[b]), vec![], None),
        (
            "a silent voter with a spare",
            facts(&[a, b, c], &[d], &[b]),
            vec![],
            Some(Change::Promote(d)),
        ),
        (
            "a silent voter that was replaced",
            facts(&[a, b, c, d], &[], &[b]),
            vec![],
            Some(Change::Remove(b)),
        ),
        (
            "one voter too many, none silent",
            facts(&[a, b, c, d], &[], &[]),
            vec![],
            Some(Change::Demote(d)),
        ),
        ("a lost disk", facts(&[a, b, c], &[], &[b]), vec![b_replaced], Some(Change::Remove(b))),
        (
            "a lost disk, after the removal",
            facts(&[a, c], &[], &[]),
            vec![b_replaced],
            Some(Change::AddLearners(vec![b_replaced])),
        ),
        (
            "a lost disk of a learner",
            facts(&[a, b, c], &[d], &[d]),
            vec![at(4, 10)],
            Some(Change::Remove(d)),
        ),
        (
            "two wipes in a row",
            facts(&[a, c], &[b_replaced], &[b_replaced]),
            vec![at(2, 78)],
            Some(Change::Remove(b_replaced)),
        ),
        (
            "no quorum would remain",
            facts(&[a, b, c], &[], &[b, c]),
            vec![b_replaced],
            Some(Change::AddLearners(vec![b_replaced])),
        ),
        (
            "disconnected together with a silent spare",
            facts(&[a, b, c], &[d], &[c, d]),
            vec![],
            None,
        ),
        (
            "removed while disconnected",
            facts(&[a, b, d], &[], &[]),
            vec![c],
            Some(Change::AddLearners(vec![c])),
        ),
    ];
    for (name, facts, joining, expected) in rows {
        assert_eq!(next(&facts, &joining), expected, "{name}");
    }
}

#[test]
fn a_learner_that_is_behind_does_not_vote() {
    let (a, b, d) = (at(1, 0), at(2, 0), at(4, 9));
    let mut facts = facts(&[a, b], &[d], &[]);
    facts.members.insert(d, MemberFacts { heard_at: Some(NOW), caught_up: false });
    assert_eq!(next(&facts, &[]), None);
}

#[test]
fn the_leader_never_removes_itself() {
    let (a, b, c) = (at(1, 0), at(2, 0), at(3, 0));
    assert_eq!(
        next(&facts(&[a, b, c], &[], &[]), &[at(1, 5)]),
        Some(Change::AddLearners(vec![at(1, 5)]))
    );
}

#[test]
fn only_a_seed_of_a_new_fleet_begins_with_a_known_id() {
    let mut random = fastrand::Rng::with_seed(1);
    let (own, other) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
    assert_eq!(choose_member(own, &[own, other], true, &mut random), at(1, 0));
    assert_ne!(choose_member(own, &[own, other], false, &mut random).incarnation(), 0);
    assert_ne!(choose_member(own, &[other], true, &mut random).incarnation(), 0);
}

/// A situation, the members that stop, and the step that follows.
type StoppingRow = (&'static str, Facts, Vec<MemberId>, Option<(Change, Reason)>);

/// Guards against a vote that goes with its machine: the group could not bear the next loss.
#[test]
fn a_voter_that_stops_hands_its_vote_over() {
    let (a, b, c, d) = (at(1, 0), at(2, 0), at(3, 0), at(4, 9));
    let rows: Vec<StoppingRow> = vec![
        ("nobody can take it", facts(&[a, b, c], &[], &[]), vec![b], None),
        (
            "a spare can",
            facts(&[a, b, c], &[d], &[]),
            vec![b],
            Some((Change::Promote(d), Reason::VoterStops)),
        ),
        ("the spare is silent", facts(&[a, b, c], &[d], &[d]), vec![b], None),
        ("the spare stops too", facts(&[a, b, c], &[d], &[]), vec![b, d], None),
        (
            "it was taken",
            facts(&[a, b, c, d], &[], &[]),
            vec![b],
            Some((Change::Remove(b), Reason::VoterStops)),
        ),
        (
            "no quorum would remain without it: a silent voter goes first",
            facts(&[a, b, c, d], &[], &[c, d]),
            vec![b],
            Some((Change::Remove(c), Reason::VoterReplaced)),
        ),
        ("a member without a vote stops", facts(&[a, b, c], &[d], &[]), vec![d], None),
    ];
    for (name, facts, stopping, expected) in rows {
        let mut autopilot = Autopilot::new(VOTERS, SILENCE_MS);
        for member in stopping {
            autopilot.stops(member, NOW - 100);
            // Its messages go on until it has ended.
            autopilot.wants_to_join(member, NOW - 50);
        }
        assert_eq!(autopilot.next_step(&facts), expected, "{name}");
    }
    // One that ended and returned joins again.
    let mut autopilot = Autopilot::new(VOTERS, SILENCE_MS);
    autopilot.stops(b, NOW - 3_000);
    autopilot.wants_to_join(b, NOW - 10);
    let joins = Some((Change::AddLearners(vec![b]), Reason::Joins));
    assert_eq!(autopilot.next_step(&facts(&[a, c, d], &[], &[])), joins);
}

#[test]
fn a_first_member_that_returns_gets_its_vote_back_when_all_is_calm() {
    let (a, b, c, d) = (at(1, 0), at(2, 0), at(3, 0), at(4, 9));
    let after = |ms: u64, facts: Facts| {
        let heard = |known: MemberFacts| MemberFacts {
            heard_at: known.heard_at.map(|at| at + ms),
            ..known
        };
        let members = facts.members.iter().map(|(id, known)| (*id, heard(*known))).collect();
        Facts { members, now: NOW + ms, ..facts }
    };
    let returned = || facts(&[a, c, d], &[b], &[]);
    let mut autopilot = Autopilot::new(VOTERS, SILENCE_MS);
    assert_eq!(autopilot.next_change(&returned()), None, "it has just returned");
    assert_eq!(autopilot.next_change(&after(SILENCE_MS - 1, returned())), None);
    let promoted = autopilot.next_step(&after(SILENCE_MS, returned()));
    assert_eq!(promoted, Some((Change::Promote(b), Reason::FirstMemberReturned)));
    let four = facts(&[a, b, c, d], &[], &[]);
    assert_eq!(autopilot.next_change(&after(SILENCE_MS, four)), Some(Change::Demote(d)));
    // A later member waits for no vote.
    let mut autopilot = Autopilot::new(VOTERS, SILENCE_MS);
    let spare = || facts(&[a, b, c], &[d], &[]);
    assert_eq!(autopilot.next_change(&spare()), None);
    assert_eq!(autopilot.next_change(&after(SILENCE_MS * 2, spare())), None);
    // A leader that is the one too many resigns first.
    let led_by_later = Facts { own: d, ..facts(&[a, b, c, d], &[], &[]) };
    assert_eq!(
        Autopilot::new(VOTERS, SILENCE_MS).next_change(&led_by_later),
        Some(Change::Demote(d))
    );
}
