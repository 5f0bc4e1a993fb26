//! Canary commands in the replicated log, valid and invalid, and their results.

mod common;

use bundle::{best_update, Bundle, Object, Service};
use canary::Phase;
use common::{Fleet, SOURCE};
use rollout::{Accepted, Answer, Command, ConfigMachine, Refusal, CONTROL_OPERATOR};

const FARES: &str = "fares";
const BALANCE: &str = "balance";
const DURATION_MS: u64 = 16_000;

impl Fleet {
    fn new() -> Self {
        let mut fleet = Fleet::with_trusted_source();
        let service = |name: &str| {
            Object::Service(Service {
                name: name.to_owned(),
                upstream_slots: 1,
                upstream_connections: 1,
                cold_start: None,
                annotation: String::new(),
            })
        };
        let bundle = Bundle::from_objects(vec![service(FARES), service(BALANCE)]);
        let update = best_update(Some(&Bundle::default()), &bundle);
        let digest = bundle.digest();
        let replace = Command::Replace { expected_version: 0, version: 1, digest, update };
        fleet.apply(SOURCE, replace).expect("the replacement is accepted");
        fleet
    }

    fn start(&mut self, service: &str, version: &str, duration_ms: u64) -> Answer {
        let (service, version) = (service.to_owned(), version.to_owned());
        self.apply(SOURCE, Command::StartCanary { service, version, duration_ms })
    }

    fn step(&mut self, service: &str, run: u64, from: Phase, to: Phase) -> Answer {
        self.step_by(CONTROL_OPERATOR, service, run, from, to)
    }

    fn step_by(
        &mut self,
        operator: &str,
        service: &str,
        run: u64,
        from: Phase,
        to: Phase,
    ) -> Answer {
        let replaced = vec!["v1".to_owned()];
        let service = service.to_owned();
        let step = Command::MoveCanary { service, run, from, to, elapsed_ms: 5, replaced };
        self.apply(operator, step)
    }

    fn phase(&self, service: &str) -> Phase {
        self.machine.canaries()[service].phase
    }

    fn promote(&mut self, service: &str, run: u64) {
        for (from, to) in [
            (Phase::Trial, Phase::Ramp),
            (Phase::Ramp, Phase::Shift),
            (Phase::Shift, Phase::Promoted),
        ] {
            assert_eq!(
                self.step(service, run, from, to),
                Ok(Accepted::CanaryMoved { run, phase: to })
            );
        }
    }
}

fn started_run(answer: Answer) -> u64 {
    match answer {
        Ok(Accepted::CanaryStarted { run }) => run,
        other => panic!("the canary was not started: {other:?}"),
    }
}

#[test]
fn an_order_that_was_taken_is_acknowledged_again_whatever_became_of_it() {
    let mut fleet = Fleet::new();
    let run = started_run(fleet.start(FARES, "v2", DURATION_MS));
    let revision = fleet.machine.canaries_revision();
    assert_eq!(started_run(fleet.start(FARES, "v2", DURATION_MS)), run);
    assert_eq!(fleet.machine.canaries_revision(), revision, "a resend must not change the state");
    fleet.promote(FARES, run);
    assert_eq!(started_run(fleet.start(FARES, "v2", DURATION_MS)), run);
    assert_eq!(fleet.phase(FARES), Phase::Promoted);
    let run = started_run(fleet.start(BALANCE, "v2", DURATION_MS));
    fleet.step(BALANCE, run, Phase::Trial, Phase::RolledBack).expect("valid step");
    assert_eq!(started_run(fleet.start(BALANCE, "v2", DURATION_MS)), run);
    assert_eq!(fleet.phase(BALANCE), Phase::RolledBack, "a resend must not restart the canary");
}

#[test]
fn another_order_waits_for_the_end_of_the_one_under_way() {
    let mut fleet = Fleet::new();
    let run = started_run(fleet.start(FARES, "v2", DURATION_MS));
    for (version, duration_ms) in [("v3", DURATION_MS), ("v2", DURATION_MS + 1)] {
        let answer = fleet.start(FARES, version, duration_ms);
        assert!(matches!(answer, Err(Refusal::CanaryUnderWay { .. })), "{answer:?}");
    }
    let other = started_run(fleet.start(BALANCE, "v2", DURATION_MS));
    assert_ne!(run, other, "each service has its own canary");
    fleet.promote(FARES, run);
    assert_ne!(started_run(fleet.start(FARES, "v3", DURATION_MS)), run);
}

#[test]
fn bad_orders_are_refused_and_leave_nothing() {
    let mut fleet = Fleet::new();
    let too_long = "v".repeat(129);
    for (service, version, duration_ms) in [
        (FARES, "", DURATION_MS),
        (FARES, too_long.as_str(), DURATION_MS),
        (FARES, "v2", 0),
        (FARES, "v2", u64::MAX),
        ("unknown", "v2", DURATION_MS),
    ] {
        let answer = fleet.start(service, version, duration_ms);
        assert!(matches!(answer, Err(Refusal::BadCanary { .. })), "{answer:?}");
    }
    let (service, version) = (FARES.to_owned(), "v2".to_owned());
    let command = Command::StartCanary { service, version, duration_ms: DURATION_MS };
    assert!(matches!(fleet.apply("somebody", command), Err(Refusal::NotTrusted { .. })));
    assert!(fleet.machine.canaries().is_empty());
    assert_eq!(fleet.machine.canaries_revision(), 0);
}

#[test]
fn phases_only_go_forward_and_never_after_the_end() {
    let mut fleet = Fleet::new();
    let run = started_run(fleet.start(FARES, "v2", DURATION_MS));
    fleet.step(FARES, run, Phase::Trial, Phase::Ramp).expect("valid step");
    for (run, from, to) in [
        (run, Phase::Trial, Phase::RolledBack),
        (run, Phase::Ramp, Phase::Trial),
        (run, Phase::Ramp, Phase::Ramp),
        (run + 1, Phase::Ramp, Phase::Shift),
    ] {
        let answer = fleet.step(FARES, run, from, to);
        assert!(matches!(answer, Err(Refusal::NoSuchCanary { .. })), "{answer:?}");
    }
    let by_other_operator = fleet.step_by(SOURCE, FARES, run, Phase::Ramp, Phase::Shift);
    assert!(matches!(by_other_operator, Err(Refusal::NotTrusted { .. })), "{by_other_operator:?}");
    fleet.step(FARES, run, Phase::Ramp, Phase::RolledBack).expect("valid step");
    let answer = fleet.step(FARES, run, Phase::RolledBack, Phase::Promoted);
    assert!(matches!(answer, Err(Refusal::NoSuchCanary { .. })), "{answer:?}");
    assert_eq!(fleet.phase(FARES), Phase::RolledBack);
}

#[test]
fn replaced_and_rejected_versions_are_barred_until_they_are_ordered_again() {
    let mut fleet = Fleet::new();
    let run = started_run(fleet.start(FARES, "v2", DURATION_MS));
    fleet.promote(FARES, run);
    assert_eq!(fleet.machine.canaries()[FARES].barred, ["v1"]);
    let run = started_run(fleet.start(FARES, "v3", DURATION_MS));
    fleet.step(FARES, run, Phase::Trial, Phase::RolledBack).expect("valid step");
    assert_eq!(fleet.machine.canaries()[FARES].barred, ["v1", "v3"]);
    started_run(fleet.start(FARES, "v1", DURATION_MS));
    assert_eq!(fleet.machine.canaries()[FARES].barred, ["v3"]);
    for number in 0..100 {
        let run = fleet.machine.canaries()[FARES].run;
        fleet.step(FARES, run, Phase::Trial, Phase::RolledBack).expect("valid step");
        started_run(fleet.start(FARES, &format!("w{number}"), DURATION_MS));
    }
    assert!(fleet.machine.canaries()[FARES].barred.len() <= 16);
}

#[test]
fn a_checkpoint_holds_canaries_and_one_without_them_is_read() {
    let mut fleet = Fleet::new();
    let before = fleet.machine.encode();
    started_run(fleet.start(FARES, "v2", DURATION_MS));
    let restored =
        ConfigMachine::decode(&fleet.machine.encode()).expect("the encoded state is readable");
    assert_eq!(restored.canaries(), fleet.machine.canaries());
    assert_eq!(restored.canaries_revision(), fleet.machine.canaries_revision());
    // Checkpoints of earlier releases end after the current version: they have neither the number of
    // canary records (4 bytes) nor their revision (8 bytes).
    let earlier = &before[..before.len() - 4 - 8];
    let restored =
        ConfigMachine::decode(earlier).expect("checkpoints of earlier releases are readable");
    assert!(restored.canaries().is_empty());
}
