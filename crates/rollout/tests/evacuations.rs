//! Evacuated zones in the replicated log: repeated commands, limits and snapshots.

mod common;

use common::{Fleet, SOURCE};
use rollout::{Accepted, Answer, Command, ConfigMachine, Refusal};

const ZONE: &str = "zone-a";

fn evacuate(fleet: &mut Fleet, zone: &str, ordered_ms: u64) -> Answer {
    fleet.apply(SOURCE, Command::EvacuateZone { zone: zone.to_owned(), ordered_ms })
}

fn restore(fleet: &mut Fleet, zone: &str) -> Answer {
    fleet.apply(SOURCE, Command::RestoreZone { zone: zone.to_owned() })
}

fn evacuated(machine: &ConfigMachine) -> Vec<(&str, u64)> {
    let zones = machine.evacuations().iter();
    zones.map(|(zone, record)| (zone.as_str(), record.ordered_ms)).collect()
}

#[test]
fn an_order_that_comes_again_is_acknowledged_and_changes_nothing() {
    let mut fleet = Fleet::with_trusted_source();
    let accepted = Ok(Accepted::ZoneEvacuated { zone: ZONE.to_owned() });
    assert_eq!(evacuate(&mut fleet, ZONE, 5), accepted);
    let revision = fleet.machine.evacuations_revision();
    assert_eq!(evacuate(&mut fleet, ZONE, 9), accepted);
    assert_eq!(evacuated(&fleet.machine), [(ZONE, 5)], "the time of the first command is kept");
    assert_eq!(
        fleet.machine.evacuations_revision(),
        revision,
        "a repeated command must not change the revision"
    );

    let restored = Ok(Accepted::ZoneRestored { zone: ZONE.to_owned() });
    assert_eq!(restore(&mut fleet, ZONE), restored);
    let revision = fleet.machine.evacuations_revision();
    assert_eq!(restore(&mut fleet, ZONE), restored);
    assert_eq!(fleet.machine.evacuations_revision(), revision);
    assert!(evacuated(&fleet.machine).is_empty());
}

#[test]
fn several_zones_are_evacuated_apart() {
    let mut fleet = Fleet::with_trusted_source();
    evacuate(&mut fleet, ZONE, 1).expect("the command is accepted");
    evacuate(&mut fleet, "zone-b", 2).expect("the command is accepted");
    restore(&mut fleet, ZONE).expect("the command is accepted");
    assert_eq!(evacuated(&fleet.machine), [("zone-b", 2)]);
}

#[test]
fn a_snapshot_keeps_them() {
    let mut fleet = Fleet::with_trusted_source();
    evacuate(&mut fleet, ZONE, 7).expect("the command is accepted");
    let restored =
        ConfigMachine::decode(&fleet.machine.encode()).expect("the encoded state is readable");
    assert_eq!(evacuated(&restored), [(ZONE, 7)]);
    assert_eq!(restored.evacuations_revision(), fleet.machine.evacuations_revision());
    assert_eq!(restored, fleet.machine);
}

#[test]
fn names_without_end_and_zones_without_end_are_refused() {
    let mut fleet = Fleet::with_trusted_source();
    for name in [String::new(), "z".repeat(129)] {
        let answer = evacuate(&mut fleet, &name, 1);
        assert!(matches!(answer, Err(Refusal::BadZone { .. })), "{answer:?}");
    }
    for number in 0..64 {
        evacuate(&mut fleet, &format!("zone-{number}"), 1).expect("the command is accepted");
    }
    let answer = evacuate(&mut fleet, "one-more", 1);
    assert!(matches!(answer, Err(Refusal::BadZone { .. })), "{answer:?}");
    evacuate(&mut fleet, "zone-3", 2).expect("an evacuated zone is acknowledged again");
}

#[test]
fn only_the_trusted_source_evacuates() {
    let mut fleet = Fleet::with_trusted_source();
    let command = Command::EvacuateZone { zone: ZONE.to_owned(), ordered_ms: 1 };
    let answer = fleet.apply("somebody", command);
    assert!(matches!(answer, Err(Refusal::NotTrusted { .. })), "{answer:?}");
    assert!(evacuated(&fleet.machine).is_empty());
}
