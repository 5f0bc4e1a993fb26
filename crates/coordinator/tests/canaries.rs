//! Version policies that sidecars receive for each phase of a canary.

use canary::Phase;
use coordinator::CanaryPolicies;
use expect_test::expect;
use rollout::CanaryRecord;
use std::collections::BTreeMap;

fn record(phase: Phase, barred: &[&str]) -> CanaryRecord {
    CanaryRecord {
        run: 7,
        version: "v2".to_owned(),
        duration_ms: 16_000,
        phase,
        elapsed_ms: 0,
        barred: barred.iter().map(|version| (*version).to_owned()).collect(),
    }
}

#[test]
fn each_phase_has_its_share() {
    let policies = CanaryPolicies::new(0.1);
    let cases = [
        (Phase::Trial, vec![]),
        (Phase::Ramp, vec![]),
        (Phase::Settle, vec![]),
        (Phase::Shift, vec!["v0"]),
        (Phase::Promoted, vec!["v0", "v1"]),
        (Phase::RolledBack, vec!["v2"]),
    ];
    let mut output = String::new();
    for (phase, barred) in cases {
        let canaries = BTreeMap::from([("fares".to_owned(), record(phase, &barred))]);
        let policy = policies.of(&canaries).remove(0);
        let share = policy.candidate.map(|candidate| candidate.permille);
        output += &format!("{}: {share:?}, barred {:?}\n", phase.as_str(), policy.barred);
    }
    expect![[r#"
        trial: Some(35), barred []
        ramp: Some(200), barred []
        settle: Some(35), barred []
        shift: Some(1000), barred ["v0"]
        promoted: None, barred ["v0", "v1"]
        rolled-back: None, barred ["v2"]
    "#]]
    .assert_eq(&output);
}
