//! Replacements by a trusted source: compare-and-set of versions, resends, races and the approval
//! policy.

mod common;

use bundle::{best_update, Bundle, Object, Service};
use common::{Fleet, SOURCE};
use rollout::{Accepted, Answer, Command, ConfigMachine, Refusal, RolloutWeakness};
use std::collections::BTreeMap;

fn content(number: u64) -> Bundle {
    let service = Service {
        name: format!("service-{number}"),
        upstream_slots: 1,
        upstream_connections: 1,
        cold_start: None,
        annotation: format!("as sent {number}"),
    };
    Bundle::from_objects(vec![Object::Service(service)])
}

impl Fleet {
    fn replace_command(&self, expected_version: u64, version: u64, bundle: &Bundle) -> Command {
        let (_, base) = self.machine.in_force();
        let update = best_update(Some(&base), bundle);
        Command::Replace { expected_version, version, digest: bundle.digest(), update }
    }

    fn replace(&mut self, expected: u64, version: u64, bundle: &Bundle) -> Answer {
        let command = self.replace_command(expected, version, bundle);
        self.apply(SOURCE, command)
    }
}

#[test]
fn only_the_trusted_source_may_replace() {
    let mut fleet = Fleet::default();
    let refused = fleet.replace(0, 1, &content(1));
    assert!(
        matches!(refused, Err(Refusal::NotTrusted { .. })),
        "by default, a second operator must approve"
    );
    let mut fleet = Fleet::with_trusted_source();
    let command = fleet.replace_command(0, 1, &content(1));
    assert!(matches!(fleet.apply("mallory", command), Err(Refusal::NotTrusted { .. })));
}

#[test]
fn a_replacement_is_approved_and_in_force_in_one_commit() {
    let mut fleet = Fleet::with_trusted_source();
    assert_eq!(
        fleet.replace(0, 12, &content(1)),
        Ok(Accepted::Replaced { version: 12, generation: 1 })
    );
    let (target, bundle) = fleet.machine.in_force();
    assert_eq!((target.generation, bundle.digest()), (1, content(1).digest()));
    assert_eq!(target.approval.map(|approval| approval.operator), Some(SOURCE.to_owned()));
    assert_eq!(fleet.machine.current_version(), 12);
}

#[test]
fn of_two_orders_on_one_version_one_wins() {
    let mut fleet = Fleet::with_trusted_source();
    fleet.replace(0, 5, &content(1)).expect("the replacement is accepted");
    let first = fleet.replace_command(5, 7, &content(2));
    let second = fleet.replace_command(5, 7, &content(3));
    fleet.apply(SOURCE, first.clone()).expect("the first replacement is accepted");
    let refused = fleet.apply(SOURCE, second);
    assert!(matches!(refused, Err(Refusal::VersionChanged { expected: 5, current: 7 })));
    assert_eq!(fleet.machine.in_force().1.digest(), content(2).digest());
}

#[test]
fn a_resend_of_what_was_taken_is_taken_again_whatever_came_since() {
    let mut fleet = Fleet::with_trusted_source();
    let first = fleet.replace_command(0, 5, &content(1));
    let accepted = fleet.apply(SOURCE, first.clone());
    assert_eq!(fleet.apply(SOURCE, first.clone()), accepted);
    for version in 6..400 {
        fleet
            .replace(version - 1, version, &content(version))
            .expect("the replacement is accepted");
    }
    assert_eq!(fleet.apply(SOURCE, first), accepted);
    assert_eq!(
        fleet.machine.current_version(),
        399,
        "a resend must not bring back an earlier version"
    );
}

#[test]
fn versions_climb() {
    let mut fleet = Fleet::with_trusted_source();
    fleet.replace(0, 5, &content(1)).expect("the replacement is accepted");
    for version in [3, 5] {
        let refused = fleet.replace(5, version, &content(2));
        assert!(matches!(refused, Err(Refusal::VersionNotAbove { .. })), "{version}: {refused:?}");
    }
}

#[test]
fn the_whole_state_survives_a_snapshot() {
    let mut fleet = Fleet::with_trusted_source();
    for version in 1..20 {
        fleet
            .replace(version - 1, version, &content(version))
            .expect("the replacement is accepted");
    }
    let restored =
        ConfigMachine::decode(&fleet.machine.encode()).expect("the encoded state is readable");
    assert_eq!(restored, fleet.machine);
    assert_eq!(restored.current_version(), 19);
}

/// Simulates racing and resending operators. Returns whether two different replacements based on the
/// same version were both accepted.
fn two_winners(weakness: Option<RolloutWeakness>, seed: u64) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::with_trusted_source();
    if let Some(weakness) = weakness {
        fleet.machine.weaken(weakness);
    }
    let mut commands: Vec<(u64, u64, Command)> = Vec::new();
    let mut winners: BTreeMap<u64, u64> = BTreeMap::new();
    let mut conflict = false;
    for step in 0..80 {
        let resend = !commands.is_empty() && rng.u8(0..3) == 0;
        let (expected, version, command) = if resend {
            commands[rng.usize(..commands.len())].clone()
        } else {
            let current = fleet.machine.current_version();
            let expected = current.saturating_sub(rng.u64(0..2));
            let version = current + rng.u64(1..4);
            (expected, version, fleet.replace_command(expected, version, &content(1_000 + step)))
        };
        commands.push((expected, version, command.clone()));
        if let Ok(Accepted::Replaced { generation, .. }) = fleet.apply(SOURCE, command) {
            conflict |= *winners.entry(expected).or_insert(generation) != generation;
        }
    }
    conflict
}

#[test]
fn two_orders_on_one_version_are_never_both_taken() {
    for seed in 0..300 {
        assert!(!two_winners(None, seed), "seed {seed}");
    }
}

#[test]
fn the_check_notices_orders_taken_on_any_version() {
    let weakness = Some(RolloutWeakness::IgnoresExpectedVersion);
    assert!((0..20).any(|seed| two_winners(weakness, seed)));
}
