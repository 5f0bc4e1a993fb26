//! Canaries in the replicated log: a row for each order that can come, and what becomes of it.

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
        let mut fleet = Fleet::trusting();
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
        fleet.apply(SOURCE, replace).expect("replaced");
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

fn run_of(answer: Answer) -> u64 {
    match answer {
        Ok(Accepted::CanaryStarted { run }) => run,
        other => panic!("not started: {other:?}"),
    }
}

#[test]
fn an_order_that_was_taken_is_acknowledged_again_whatever_became_of_it() {
    let mut fleet = Fleet::new();
    let run = run_of(fleet.start(FARES, "v2", DURATION_MS));
    let revision = fleet.machine.canaries_revision();
    assert_eq!(run_of(fleet.start(FARES, "v2", DURATION_MS)), run);
    assert_eq!(fleet.machine.canaries_revision(), revision, "nothing changed");
    fleet.promote(FARES, run);
    assert_eq!(run_of(fleet.start(FARES, "v2", DURATION_MS)), run);
    assert_eq!(fleet.phase(FARES), Phase::Promoted);
    let run = run_of(fleet.start(BALANCE, "v2", DURATION_MS));
    fleet.step(BALANCE, run, Phase::Trial, Phase::RolledBack).expect("rolled back");
    assert_eq!(run_of(fleet.start(BALANCE, "v2", DURATION_MS)), run);
    assert_eq!(fleet.phase(BALANCE), Phase::RolledBack, "a resend does not begin it again");
}

#[test]
fn another_order_waits_for_the_end_of_the_one_under_way() {
    let mut fleet = Fleet::new();
    let run = run_of(fleet.start(FARES, "v2", DURATION_MS));
    for (version, duration_ms) in [("v3", DURATION_MS), ("v2", DURATION_MS + 1)] {
        let answer = fleet.start(FARES, version, duration_ms);
        assert!(matches!(answer, Err(Refusal::CanaryUnderWay { .. })), "{answer:?}");
    }
    let other = run_of(fleet.start(BALANCE, "v2", DURATION_MS));
    assert_ne!(run, other, "another service has its own");
    fleet.promote(FARES, run);
    assert_ne!(run_of(fleet.start(FARES, "v3", DURATION_MS)), run);
}

#[test]
fn bad_orders_are_refused_and_leave_nothing() {
    let mut fleet = Fleet::new();
    let long = "v".repeat(129);
    for (service, version, duration_ms) in [
        (FARES, "", DURATION_MS),
        (FARES, long.as_str(), DURATION_MS),
        (FARES, "v2", 0),
        (FARES, "v2", u64::MAX),
        ("unknown", "v2", DURATION_MS),
    ] {
        let answer = fleet.start(service, version, duration_ms);
        assert!(matches!(answer, Err(Refusal::BadCanary { .. })), "{answer:?}");
    }
    let (service, version) = (FARES.to_owned(), "v2".to_owned());
    let order = Command::StartCanary { service, version, duration_ms: DURATION_MS };
    assert!(matches!(fleet.apply("somebody", order), Err(Refusal::NotTrusted { .. })));
    assert!(fleet.machine.canaries().is_empty());
    assert_eq!(fleet.machine.canaries_revision(), 0);
}

#[test]
fn phases_only_go_forward_and_never_after_the_end() {
    let mut fleet = Fleet::new();
    let run = run_of(fleet.start(FARES, "v2", DURATION_MS));
    fleet.step(FARES, run, Phase::Trial, Phase::Ramp).expect("goes on");
    for (run, from, to) in [
        (run, Phase::Trial, Phase::RolledBack),
        (run, Phase::Ramp, Phase::Trial),
        (run, Phase::Ramp, Phase::Ramp),
        (run + 1, Phase::Ramp, Phase::Shift),
    ] {
        let answer = fleet.step(FARES, run, from, to);
        assert!(matches!(answer, Err(Refusal::NoSuchCanary { .. })), "{answer:?}");
    }
    let by_others = fleet.step_by(SOURCE, FARES, run, Phase::Ramp, Phase::Shift);
    assert!(matches!(by_others, Err(Refusal::NotTrusted { .. })), "{by_others:?}");
    fleet.step(FARES, run, Phase::Ramp, Phase::RolledBack).expect("ends");
    let answer = fleet.step(FARES, run, Phase::RolledBack, Phase::Promoted);
    assert!(matches!(answer, Err(Refusal::NoSuchCanary { .. })), "{answer:?}");
    assert_eq!(fleet.phase(FARES), Phase::RolledBack);
}

#[test]
fn replaced_and_rejected_versions_are_barred_until_they_are_ordered_again() {
    let mut fleet = Fleet::new();
    let run = run_of(fleet.start(FARES, "v2", DURATION_MS));
    fleet.promote(FARES, run);
    assert_eq!(fleet.machine.canaries()[FARES].barred, ["v1"]);
    let run = run_of(fleet.start(FARES, "v3", DURATION_MS));
    fleet.step(FARES, run, Phase::Trial, Phase::RolledBack).expect("ends");
    assert_eq!(fleet.machine.canaries()[FARES].barred, ["v1", "v3"]);
    run_of(fleet.start(FARES, "v1", DURATION_MS));
    assert_eq!(fleet.machine.canaries()[FARES].barred, ["v3"]);
    for number in 0..100 {
        let run = fleet.machine.canaries()[FARES].run;
        fleet.step(FARES, run, Phase::Trial, Phase::RolledBack).expect("ends");
        run_of(fleet.start(FARES, &format!("w{number}"), DURATION_MS));
    }
    assert!(fleet.machine.canaries()[FARES].barred.len() <= 16);
}

#[test]
fn a_checkpoint_holds_canaries_and_one_without_them_is_read() {
    let mut fleet = Fleet::new();
    let before = fleet.machine.encode();
    run_of(fleet.start(FARES, "v2", DURATION_MS));
    let restored = ConfigMachine::decode(&fleet.machine.encode()).expect("reads");
    assert_eq!(restored.canaries(), fleet.machine.canaries());
    assert_eq!(restored.canaries_revision(), fleet.machine.canaries_revision());
    // An earlier version wrote nothing after the configuration's version: no count of records and
    // no revision.
    let former = &before[..before.len() - 4 - 8];
    let restored = ConfigMachine::decode(former).expect("reads what an earlier version wrote");
    assert!(restored.canaries().is_empty());
}
