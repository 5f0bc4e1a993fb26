//! Accuracy of weighted splits, and the fleet-wide retry limit.

use bundle::Target;
use placement::{BudgetBounds, RequestOrigin, RetryBudget, WeightedSplit};
use std::collections::BTreeMap;

fn targets(weights: &[u32]) -> Vec<Target> {
    let named = weights.iter().enumerate();
    named.map(|(part, weight)| Target { service: format!("s{part}"), weight: *weight }).collect()
}

/// Largest deviation of a target's share from its weight, over a fleet of nodes that each draw
/// `draws` times.
fn worst_deviation(weights: &[u32], nodes: u64, draws: u32, seed: u64) -> f64 {
    let targets = targets(weights);
    let mut counts: BTreeMap<String, f64> = BTreeMap::new();
    for node in 0..nodes {
        let mut random = fastrand::Rng::with_seed(seed * 1_000 + node);
        let mut split = WeightedSplit::new(&targets, &mut random);
        for _ in 0..draws {
            let service = split.draw().expect("some weight is above zero").to_owned();
            *counts.entry(service).or_default() += 1.0;
        }
    }
    let sum: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
    let all = f64::from(draws) * nodes as f64;
    let deviation = |target: &Target| {
        let share = counts.get(&target.service).copied().unwrap_or(0.0) / all;
        (share - f64::from(target.weight) / sum).abs()
    };
    targets.iter().map(deviation).fold(0.0, f64::max)
}

#[test]
fn shares_are_close_to_the_weights_over_a_few_hundred_calls() {
    for seed in 0..200 {
        for weights in [&[90, 10][..], &[50, 50], &[99, 1], &[1, 2, 3], &[0, 5, 5]] {
            let worst = worst_deviation(weights, 12, 25, seed);
            assert!(worst < 0.03, "{weights:?}, seed {seed}: off by {worst}");
        }
    }
}

#[test]
fn a_part_without_weight_gets_nothing() {
    let mut split = WeightedSplit::new(&targets(&[0, 1]), &mut fastrand::Rng::with_seed(1));
    assert!((0..100).all(|_| split.draw() == Some("s1")));
    let mut split = WeightedSplit::new(&targets(&[0, 0]), &mut fastrand::Rng::with_seed(1));
    assert_eq!(split.draw(), None);
}

const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.2, slack: 60.0, window_ms: 10_000 };

/// Simulates a fleet whose calls all fail from some moment on, and returns the worst excess of
/// retries over the limit in any window.
fn worst_excess(nodes: usize, known_nodes: usize, seed: u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(BOUNDS)).collect();
    let mut events: Vec<(u64, bool)> = Vec::new();
    let fails_from = random.u64(0..20_000);
    let mut now = 0;
    while now < 40_000 {
        now += random.u64(0..4);
        // The load varies, so that some windows have few requests at their start or end.
        if (now / 5_000) % 2 == 1 && random.u8(0..10) > 0 {
            continue;
        }
        let budget = &mut budgets[random.usize(0..nodes)];
        let origin =
            if random.bool() { RequestOrigin::RunningRequest } else { RequestOrigin::Caller };
        budget.note_request("s", origin, now);
        events.push((now, false));
        if now < fails_from {
            budget.note_nodes(known_nodes, now);
            continue;
        }
        while budget.allows("s", origin, known_nodes, now) {
            budget.note_retry("s", origin, now);
            events.push((now, true));
        }
    }
    let count = |from: u64, retries: bool| {
        let to = from + BOUNDS.window_ms;
        let found = events.iter().filter(|(at, kind)| (from..to).contains(at) && *kind == retries);
        found.count() as f64
    };
    let excess = |from: u64| {
        let starts = [from, from.saturating_sub(5_000), from.saturating_sub(10_000)];
        let requests = starts.iter().map(|start| count(*start, false)).fold(0.0, f64::max);
        count(from, true) - BOUNDS.ratio * requests - BOUNDS.slack
    };
    (0..30_000).step_by(500).map(|from| excess(from as u64)).fold(f64::MIN, f64::max)
}

#[test]
fn the_fleet_keeps_the_bound_when_every_call_fails() {
    for seed in 0..20 {
        for nodes in [1, 3, 12] {
            let worst = worst_excess(nodes, nodes, seed);
            assert!(worst <= 0.0, "{nodes} nodes, seed {seed}: {worst} too many");
        }
    }
}

#[test]
fn the_check_notices_nodes_that_each_take_the_whole_slack() {
    assert!((0..20).any(|seed| worst_excess(12, 1, seed) > 0.0));
}

#[test]
fn callers_leave_runs_what_their_requests_earned() {
    let bounds = BudgetBounds { slack: 0.0, ..BOUNDS };
    // Requests of callers and of running requests in a window; retries granted to callers, which
    // ask first, and then to running requests.
    let rows = [(105, 0, 8, 0), (84, 21, 6, 2), (0, 105, 0, 8), (70, 70, 5, 6)];
    for (from_callers, from_running, to_callers, to_running) in rows {
        let mut budget = RetryBudget::new(bounds);
        let end = 2 * bounds.window_ms - 1;
        for now in 0..end {
            for (requests, origin) in [
                (from_callers, RequestOrigin::Caller),
                (from_running, RequestOrigin::RunningRequest),
            ] {
                let so_far = |now: u64| requests * now / bounds.window_ms;
                (so_far(now)..so_far(now + 1)).for_each(|_| budget.note_request("s", origin, now));
            }
        }
        let mut taken = |origin| {
            let mut retries = 0;
            while budget.allows("s", origin, 1, end) {
                budget.note_retry("s", origin, end);
                retries += 1;
            }
            retries
        };
        let found = (taken(RequestOrigin::Caller), taken(RequestOrigin::RunningRequest));
        assert_eq!(
            found,
            (to_callers, to_running),
            "of {from_callers} and {from_running} requests"
        );
    }
}
