//! An acknowledged departure binds the sidecar and its next processes: simulated histories of the
//! real gate, acknowledgements, registries and their exchange.

mod departure_fleet;

use departure_fleet::{Outcome, Simulation, Variant};

/// Histories drawn by default; `DEPARTURE_SEEDS` draws more.
const SEEDS: u64 = 1_500;
/// Histories drawn with each broken variant.
const BROKEN_SEEDS: u64 = 1_500;
const SEEDS_VARIABLE: &str = "DEPARTURE_SEEDS";

fn histories(seeds: u64, variant: Variant) -> impl Iterator<Item = (u64, Outcome)> {
    (0..seeds).map(move |seed| (seed, Simulation::new(seed, variant).run()))
}

#[test]
fn no_history_opens_the_gate_to_an_upstream_whose_departure_was_acknowledged() {
    let drawn = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    let (mut acknowledged, mut unheld, mut restored, mut awaited, mut linked) = (0, 0, 0, 0, 0);
    let (mut over, mut shut) = (Vec::new(), Vec::new());
    for (seed, outcome) in histories(drawn.unwrap_or(SEEDS), Variant::Whole) {
        acknowledged += outcome.acknowledged;
        unheld += outcome.unheld;
        restored += outcome.restored;
        awaited += outcome.awaited;
        linked += usize::from(outcome.over_linked > 0);
        over.extend((outcome.over + outcome.over_linked > 0).then_some(seed));
        shut.extend((outcome.shut > 0).then_some(seed));
    }
    println!(
        "{acknowledged} acknowledged, {unheld} of them unheld; {restored} records restored, \
         {awaited} not trusted; over while linked but not in touch: {linked}"
    );
    assert!(unheld > 0 && restored > 0 && awaited > 0, "the draws provoke each case");
    assert_eq!((over, shut), (Vec::new(), Vec::new()));
}

#[test]
fn the_checks_notice_each_broken_variant() {
    let noticed = |variant| {
        let outcomes = histories(BROKEN_SEEDS, variant);
        let is_broken = |outcome: &Outcome| outcome.over + outcome.over_linked + outcome.shut > 0;
        outcomes.filter(|(_, outcome)| is_broken(outcome)).count()
    };
    for variant in [
        Variant::Former,
        Variant::UnknownLeaveForgotten,
        Variant::RecordTrusted,
        Variant::UnheldAtOnce,
        Variant::TrustedForLong,
        Variant::ForgottenWithTheCore,
        Variant::NeverOpens,
    ] {
        let count = noticed(variant);
        println!("{variant:?}: {count} of {BROKEN_SEEDS}");
        assert!(count > 0, "{variant:?}");
    }
}
