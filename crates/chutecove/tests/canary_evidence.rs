//! What might have happened: in a group of more than eight coordinators each sidecar is linked to four
//! of them only, so the leader, which judges a canary, may be none of those. Evidence that stays where it
//! was told leaves the leader without any, and it gives a bad version more and more.
//!
//! Each coordinator passes evidence on to the leader. Hollow sidecars link to one that does not lead, and
//! say that the new version fails.

mod fleet;

use fleet::hollow::Hollow;
use fleet::{wait, Fleet, Running, SERVICE};
use mesh::{
    CallClass, ClassEvidence, ClassOutcomes, InstanceRecord, InstanceState, ToCoordinator,
    ToSidecar, VersionEvidence,
};

const COORDINATORS: u8 = 9;
const FORMER: &str = "v1";
const NEW: &str = "v2";
/// Long enough that only evidence can end it within the patience of a wait.
const DURATION_MS: u64 = 120_000;
/// Answers that one upstream tells of.
const ANSWERS: u32 = 200;
const ANSWER_MS: u64 = 40;

fn start(fleet: &Fleet) -> Vec<Running> {
    (1..=COORDINATORS).map(|host| fleet.start_coordinator(host, host <= 3)).collect()
}

/// The coordinator that leads: others send an order on to it.
fn leader(fleet: &Fleet) -> Option<u8> {
    (1..=COORDINATORS).find(|host| fleet.order_at(*host, 0, 5, "one") == Some(200))
}

fn instance(version: &str) -> InstanceRecord {
    InstanceRecord {
        id: format!("i-{version}"),
        state: InstanceState::Ready,
        slots: 4,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: version.to_owned(),
    }
}

/// The run of the canary, as a sidecar is told it.
fn told_run(link: &mut Hollow) -> u64 {
    loop {
        if let ToSidecar::Versions { policies, .. } = link.next() {
            if let Some(candidate) = policies.first().and_then(|it| it.candidate.as_ref()) {
                return candidate.run;
            }
        }
    }
}

/// What the upstream of a version came to.
fn evidence(run: u64, version: &str, failed: u32) -> ToCoordinator {
    let mut outcomes = ClassOutcomes::default();
    (failed..ANSWERS).for_each(|_| outcomes.note_answered(ANSWER_MS));
    outcomes.failed = failed;
    let class = CallClass { rank: 1, target_ms: 500 };
    ToCoordinator::Evidence(VersionEvidence {
        run,
        service: SERVICE.to_owned(),
        version: version.to_owned(),
        classes: vec![ClassEvidence { class, outcomes }],
    })
}

#[test]
fn the_leader_of_a_large_group_hears_what_sidecars_that_are_not_linked_to_it_tell() {
    let fleet = Fleet::new(12);
    let _processes = start(&fleet);
    let mut leading = None;
    wait("the first order is taken", || {
        leading = leader(&fleet);
        leading.is_some()
    });
    let elsewhere = (1..=COORDINATORS).find(|host| Some(*host) != leading).expect("eight others");
    let link = |number, version| {
        Hollow::link_of(&fleet, elsewhere, number, SERVICE, Some(instance(version)))
    };
    let mut former = link(1, FORMER);
    assert_eq!(fleet.order_canary(NEW, DURATION_MS), 200);
    let mut new = link(2, NEW);
    let run = told_run(&mut new);
    let mut asked_at = 1;
    wait("the canary is rolled back", || {
        former.say(&evidence(run, FORMER, 0));
        new.say(&evidence(run, NEW, ANSWERS / 2));
        former.is_served(asked_at);
        new.is_served(asked_at);
        asked_at += 1;
        fleet.canary_phase().as_deref() == Some("rolled_back")
    });
}
