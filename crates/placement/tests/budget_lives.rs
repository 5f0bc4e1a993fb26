//! The fleet-wide retry limit holds across any number of process restarts, whatever the processes
//! know of each other.

mod budget_fleet;

use budget_fleet::{worst_excess, Budget, Fault, WindowSums};
use placement::RetryBudget;

const SEEDS: std::ops::Range<u64> = 0..24;
const FLEETS: [usize; 4] = [1, 3, 12, 76];

/// Fleet sizes and seeds whose simulation exceeds the limit, each with its worst excess.
fn violations<B: Budget>(fault: Fault) -> Vec<(usize, u64, f64)> {
    let cases = FLEETS.into_iter().flat_map(|nodes| SEEDS.map(move |seed| (nodes, seed)));
    let excesses = cases.map(|(nodes, seed)| (nodes, seed, worst_excess::<B>(nodes, fault, seed)));
    excesses.filter(|(_, _, excess)| *excess > 0.0).collect()
}

// Guards against retries exceeding the limit: killed processes that had used up their share earned
// it anew after the restart.
#[test]
fn processes_that_start_again_do_not_spend_the_bound_again() {
    for fault in [Fault::None, Fault::MassRestarts, Fault::RollingRestart] {
        let violations = violations::<RetryBudget>(fault);
        assert!(violations.is_empty(), "{fault:?}, (nodes, seed, too many): {violations:?}");
    }
}

// Guards against retries exceeding the limit: processes that knew few other nodes took larger
// shares of the slack.
#[test]
fn processes_that_know_few_others_do_not_take_their_shares() {
    for fault in [Fault::FullOutage, Fault::Partitions] {
        let violations = violations::<RetryBudget>(fault);
        assert!(violations.is_empty(), "{fault:?}, (nodes, seed, too many): {violations:?}");
    }
}

#[test]
fn the_check_notices_sums_that_end_with_their_process() {
    assert!(violations::<WindowSums<false>>(Fault::None).is_empty());
    assert!(!violations::<WindowSums<false>>(Fault::MassRestarts).is_empty());
    assert!(!violations::<WindowSums<false>>(Fault::RollingRestart).is_empty());
}

#[test]
fn the_check_notices_shares_by_short_lists() {
    assert!(violations::<WindowSums<true>>(Fault::MassRestarts).is_empty());
    assert!(!violations::<WindowSums<true>>(Fault::FullOutage).is_empty());
}
