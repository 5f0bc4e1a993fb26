//! Checks that no invariant is violated in a fixed set of seeds, and that every broken variant is
//! detected.

use simulator::{run_seed, BrokenVariant, RunParameters, Scenario};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const SEEDS_PER_SCENARIO: u64 = 60;
/// Upper bound on the seeds until each variant is detected; docs/VERIFICATION.md gives the margin.
const MAX_SEEDS_TO_DETECT: u64 = 200;

fn in_parallel(count: u64, run: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return;
                }
                run(number);
            });
        }
    });
}

#[test]
fn every_invariant_holds_in_every_scenario() {
    let violations = Mutex::new(Vec::new());
    let count = SEEDS_PER_SCENARIO * Scenario::ALL.len() as u64;
    in_parallel(count, |seed| {
        let scenario = Scenario::for_seed(seed);
        let outcome = run_seed(RunParameters { seed, scenario, broken: None, trace: false });
        if let Some(violation) = outcome.violations.first() {
            violations.lock().unwrap().push((seed, scenario, violation.clone()));
        }
    });
    let violations = violations.into_inner().unwrap();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn every_broken_variant_is_noticed() {
    let undetected = Mutex::new(Vec::new());
    in_parallel(BrokenVariant::ALL.len() as u64, |number| {
        let variant = BrokenVariant::ALL[number as usize];
        let scenario = variant.scenario();
        let detected = (1..=MAX_SEEDS_TO_DETECT).any(|seed| {
            let broken = Some(variant);
            let outcome = run_seed(RunParameters { seed, scenario, broken, trace: false });
            !outcome.violations.is_empty()
        });
        if !detected {
            undetected.lock().unwrap().push(variant);
        }
    });
    let undetected = undetected.into_inner().unwrap();
    assert!(undetected.is_empty(), "{undetected:?} were not detected");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let parameters = RunParameters { seed: 7, scenario: Scenario::Two, broken: None, trace: false };
    let (first, second) = (run_seed(parameters), run_seed(parameters));
    assert_eq!((first.events, first.convergence_ms), (second.events, second.convergence_ms));
}
