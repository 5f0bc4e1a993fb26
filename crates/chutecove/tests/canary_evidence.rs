//! Canary evidence reported to any coordinator must reach the leader, which evaluates the canary.
//!
//! In a group of more than eight coordinators each sidecar connects to only four of them, possibly none of
//! them the leader. If they did not forward evidence, the leader would have none and would shift ever more
//! traffic to a bad version. Here fake sidecars connect to a follower and report that the new version fails.

mod fleet;

use fleet::hollow::FakeSidecar;
use fleet::{wait_until, Fleet, RunningProcess, SERVICE};
use mesh::{
    CallClass, ClassEvidence, ClassOutcomes, InstanceRecord, InstanceState, ToCoordinator,
    ToSidecar, VersionEvidence,
};

const COORDINATORS: u8 = 9;
const FORMER: &str = "v1";
const NEW: &str = "v2";
/// Long enough that only evidence can end the canary within the timeout of a wait.
const DURATION_MS: u64 = 120_000;
/// Number of responses that each evidence message reports.
const RESPONSES: u32 = 200;
const RESPONSE_TIME_MS: u64 = 40;

fn start_coordinators(fleet: &Fleet) -> Vec<RunningProcess> {
    (1..=COORDINATORS).map(|host| fleet.start_coordinator(host, host <= 3)).collect()
}

/// Returns the leader; the other coordinators redirect a configuration request to it.
fn find_leader(fleet: &Fleet) -> Option<u8> {
    (1..=COORDINATORS).find(|host| fleet.put_configuration_at(*host, 0, 5, "one") == Some(200))
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

/// Waits until the coordinator announces the canary to a sidecar; returns its run number.
fn receive_canary_run(link: &mut FakeSidecar) -> u64 {
    loop {
        if let ToSidecar::Versions { policies, .. } = link.receive() {
            if let Some(candidate) = policies.first().and_then(|policy| policy.candidate.as_ref()) {
                return candidate.run;
            }
        }
    }
}

/// Returns evidence about the upstream of a version, with a number of failed responses.
fn evidence(run: u64, version: &str, failed: u32) -> ToCoordinator {
    let mut outcomes = ClassOutcomes::default();
    (failed..RESPONSES).for_each(|_| outcomes.note_answered(RESPONSE_TIME_MS));
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
    let _processes = start_coordinators(&fleet);
    let mut leader_host = None;
    wait_until("the first configuration is accepted", || {
        leader_host = find_leader(&fleet);
        leader_host.is_some()
    });
    let follower = (1..=COORDINATORS)
        .find(|host| Some(*host) != leader_host)
        .expect("there are eight followers");
    let link = |number, version| {
        FakeSidecar::connect_as(&fleet, follower, number, SERVICE, Some(instance(version)))
    };
    let mut former = link(1, FORMER);
    assert_eq!(fleet.start_canary(NEW, DURATION_MS), 200);
    let mut new = link(2, NEW);
    let run = receive_canary_run(&mut new);
    let mut asked_at = 1;
    wait_until("the canary is rolled back", || {
        former.send(&evidence(run, FORMER, 0));
        new.send(&evidence(run, NEW, RESPONSES / 2));
        former.assert_ping_answered(asked_at);
        new.assert_ping_answered(asked_at);
        asked_at += 1;
        fleet.canary_phase().as_deref() == Some("rolled_back")
    });
}
