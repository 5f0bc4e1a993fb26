//! The fleet's bound on repeats holds for any number of lives of its processes, and whatever they
//! know of each other.

mod budget_fleet;

use budget_fleet::{worst_excess, Budget, Trouble, WindowSums};
use placement::RetryBudget;

const SEEDS: std::ops::Range<u64> = 0..24;
const FLEETS: [usize; 4] = [1, 3, 12, 76];

/// Draws beyond the bound, with the worst of them.
fn broken<B: Budget>(trouble: Trouble) -> Vec<(usize, u64, f64)> {
    let draws = FLEETS.into_iter().flat_map(|nodes| SEEDS.map(move |seed| (nodes, seed)));
    let played = draws.map(|(nodes, seed)| (nodes, seed, worst_excess::<B>(nodes, trouble, seed)));
    played.filter(|(_, _, excess)| *excess > 0.0).collect()
}

// Repeats passed the bound when processes that had spent their part were killed and earned it anew.
#[test]
fn processes_that_start_again_do_not_spend_the_bound_again() {
    for trouble in [Trouble::None, Trouble::Herds, Trouble::Rolling] {
        let broken = broken::<RetryBudget>(trouble);
        assert!(broken.is_empty(), "{trouble:?}, (nodes, seed, too many): {broken:?}");
    }
}

// Repeats passed the bound when processes that knew few others took larger shares of the slack.
#[test]
fn processes_that_know_few_others_do_not_take_their_shares() {
    for trouble in [Trouble::PowerLoss, Trouble::Cuts] {
        let broken = broken::<RetryBudget>(trouble);
        assert!(broken.is_empty(), "{trouble:?}, (nodes, seed, too many): {broken:?}");
    }
}

#[test]
fn the_check_notices_sums_that_end_with_their_process() {
    assert!(broken::<WindowSums<false>>(Trouble::None).is_empty());
    assert!(!broken::<WindowSums<false>>(Trouble::Herds).is_empty());
    assert!(!broken::<WindowSums<false>>(Trouble::Rolling).is_empty());
}

#[test]
fn the_check_notices_shares_by_short_lists() {
    assert!(broken::<WindowSums<true>>(Trouble::Herds).is_empty());
    assert!(!broken::<WindowSums<true>>(Trouble::PowerLoss).is_empty());
}
