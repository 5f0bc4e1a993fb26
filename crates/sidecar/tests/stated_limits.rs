//! What upstreams state in their answers binds all machines together: simulated fleets of the real
//! outbound and inbound sides.

mod common;
mod limit_fleet;

use expect_test::expect;
use limit_fleet::{Disruptions, Outcome, Plan, Simulation, Variant, DRAIN_MS};
use soak::{check_record, Bounds, Guarantee, LimitBounds, RepeatBounds, Violation};
use std::fmt::Write;

/// Histories drawn by default; `STATED_LIMIT_SEEDS` draws more.
const SEEDS: u64 = 60;
/// Histories drawn with each broken variant.
const BROKEN_SEEDS: u64 = 30;
const SEEDS_VARIABLE: &str = "STATED_LIMIT_SEEDS";
const BOUNDS: Bounds = Bounds {
    apply: 2_000,
    drain: DRAIN_MS,
    loss_slack: 200,
    stop_limit: 0,
    route_timeout: 0,
    settle: 3_500,
    repeats: RepeatBounds { ratio: 0.2, slack: 60.0, window: 10_000 },
    limits: LimitBounds { factor: 1.5, slack: 5.0, window: 4_000, contact: 3_000, notice: 500 },
};

fn violations(outcome: &Outcome) -> Vec<Violation> {
    let judged = [Guarantee::LimitKept, Guarantee::Drained, Guarantee::AtMostOnce];
    let all = check_record(&outcome.record, &BOUNDS);
    all.into_iter().filter(|violation| judged.contains(&violation.guarantee)).collect()
}

fn disrupted(seed: u64, variant: Variant) -> Plan {
    Plan {
        seed,
        variant,
        duration_ms: 12_000,
        upstreams: 3,
        callers: 3,
        calls_per_s: 90.0,
        limits: Vec::new(),
        disruptions: Disruptions::All { every_ms: 400 },
    }
}

fn calm(upstreams: usize, calls_per_s: f64, limits: &[Option<f64>]) -> Plan {
    Plan {
        seed: 1,
        variant: Variant::Whole,
        duration_ms: 30_000,
        upstreams,
        callers: 8,
        calls_per_s,
        limits: limits.to_vec(),
        disruptions: Disruptions::None,
    }
}

#[test]
fn no_history_breaks_a_limit_or_reaches_an_upstream_that_leaves() {
    let drawn = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    let mut broken = Vec::new();
    for seed in 0..drawn.unwrap_or(SEEDS) {
        let outcome = Simulation::new(disrupted(seed, Variant::Whole)).run();
        let violations = violations(&outcome);
        broken.extend(violations.first().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn each_broken_variant_is_noticed() {
    let rows = [
        (Variant::Unread, Guarantee::LimitKept),
        (Variant::ForgottenAtRestart, Guarantee::LimitKept),
        (Variant::LeavingForgotten, Guarantee::Drained),
    ];
    for (variant, guarantee) in rows {
        let is_noticed = |seed: &u64| {
            let outcome = Simulation::new(disrupted(*seed, variant)).run();
            violations(&outcome).iter().any(|violation| violation.guarantee == guarantee)
        };
        let noticed = (0..BROKEN_SEEDS).filter(is_noticed).count();
        assert!(noticed > 0, "{variant:?}");
        println!("{variant:?}: noticed in {noticed} of {BROKEN_SEEDS}");
    }
}

/// Describes how the limits were used and what callers got.
fn describe(plan: Plan) -> String {
    let limit: Option<f64> = plan.limits.iter().copied().sum();
    let seconds = plan.duration_ms as f64 / 1_000.0;
    let calls_per_s = plan.calls_per_s;
    let outcome = Simulation::new(plan).run();
    let Outcome { record, mut answered_ms, mut refused, refused_offers, returned, refused_again } =
        outcome;
    answered_ms.sort_unstable();
    refused.sort_unstable();
    let percent = |part: usize, whole: usize| 100.0 * part as f64 / whole.max(1) as f64;
    let mut text = String::new();
    let calls = record.calls.len();
    let in_time = answered_ms.iter().filter(|ms| **ms <= 600).count();
    write!(text, "{calls_per_s} calls/s, in time {:.0}%", percent(in_time, calls))
        .expect("written");
    if let Some(limit) = limit {
        let used = 100.0 * record.runs.len() as f64 / seconds / limit;
        write!(text, ", {used:.0}% of the limits used").expect("written");
    }
    let slowest = refused.last().map_or(0, |(ms, _)| *ms);
    let late = refused.iter().filter(|(ms, _)| *ms >= 20).count();
    let offers = percent(refused_offers, calls);
    writeln!(
        text,
        ", refused {:.0}% ({late} after 20 ms, the last after {slowest}), {offers:.0} offers refused \
         per 100 calls, {refused_again} of {returned} that returned refused again",
        percent(refused.len(), calls)
    )
    .expect("written");
    text
}

#[test]
fn limits_are_used_up_and_what_they_do_not_admit_is_refused_at_once() {
    let mut text = String::new();
    let mut row = |name: &str, plan: Plan| write!(text, "{name}: {}", describe(plan)).expect("ok");
    let uneven = [40.0, 8.0, 5.0, 13.0].map(Some);
    row("no limits", calm(4, 55.0, &[None; 4]));
    row("together 1.2 times the demand, unevenly", calm(4, 55.0, &uneven));
    row("half of the demand", calm(4, 132.0, &uneven));
    row("one of four limited", calm(4, 100.0, &[Some(5.0), None, None, None]));
    row("all, low", calm(4, 100.0, &[Some(2.0); 4]));
    row("far above the demand", calm(4, 55.0, &[Some(1e6); 4]));
    let disruptions = Disruptions::Restarts { every_ms: 1_500 };
    let restarts = Plan { disruptions, ..calm(4, 132.0, &uneven) };
    row("half of the demand, sidecars restart", restarts);
    expect![[r#"
        no limits: 55 calls/s, in time 97%, refused 0% (0 after 20 ms, the last after 0), 0 offers refused per 100 calls, 0 of 0 that returned refused again
        together 1.2 times the demand, unevenly: 55 calls/s, in time 97%, 81% of the limits used, refused 0% (0 after 20 ms, the last after 0), 4 offers refused per 100 calls, 0 of 0 that returned refused again
        half of the demand: 132 calls/s, in time 37%, 99% of the limits used, refused 62% (0 after 20 ms, the last after 16), 39 offers refused per 100 calls, 753 of 1174 that returned refused again
        one of four limited: 100 calls/s, in time 97%, refused 0% (0 after 20 ms, the last after 0), 0 offers refused per 100 calls, 0 of 0 that returned refused again
        all, low: 100 calls/s, in time 6%, 105% of the limits used, refused 93% (0 after 20 ms, the last after 17), 39 offers refused per 100 calls, 793 of 848 that returned refused again
        far above the demand: 55 calls/s, in time 97%, 0% of the limits used, refused 0% (0 after 20 ms, the last after 0), 0 offers refused per 100 calls, 0 of 0 that returned refused again
        half of the demand, sidecars restart: 132 calls/s, in time 37%, 94% of the limits used, refused 61% (143 after 20 ms, the last after 835), 44 offers refused per 100 calls, 628 of 1018 that returned refused again
    "#]].assert_eq(&text);
}
