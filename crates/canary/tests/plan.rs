//! The plan of a canary, as a run of looks in virtual time.

use canary::{Facts, Flaw, Phase, Plan, StepReason, Verdict};
use expect_test::{expect, Expect};
use mesh::CallClass;
use speedy::Writable;
use std::fmt::Write;

const LOOK_MS: u64 = 200;
const EXPOSED_PART: f64 = 0.1;

fn flaw() -> Flaw {
    let class = CallClass { rank: 1, target_ms: 600 };
    Flaw { class, bad: 9, ended: 30, usual_part: 0.01 }
}

/// What the looks see at a time since the begin.
type World = fn(u64, &mut Facts);

fn run(duration_ms: u64, world: World) -> String {
    let plan = Plan::new(duration_ms, EXPOSED_PART);
    let (mut phase, mut began, mut seen) = (Phase::Trial, 0, String::new());
    for look in 0..(duration_ms / LOOK_MS + 10) {
        let now = look * LOOK_MS;
        let mut facts = Facts {
            phase,
            elapsed_ms: now,
            in_phase_ms: now - began,
            verdict: Verdict::Sound,
            candidate_ended: (now / 100) as u32,
            candidate_slots: 40,
            stable_slots: 40,
            stable_calls: 3,
        };
        world(now, &mut facts);
        if let Some(step) = plan.next(&facts) {
            let reason = match step.reason {
                StepReason::Due => "due",
                StepReason::Flawed(_) => "flawed",
                StepReason::InDoubt(_) => "in doubt",
                StepReason::NotReady => "not ready",
            };
            let permille = plan.permille(step.phase);
            let _ = writeln!(seen, "{now}: {} {permille} {reason}", step.phase.as_str());
            (phase, began) = (step.phase, now);
        }
    }
    seen
}

fn check(duration_ms: u64, world: World, expected: Expect) {
    expected.assert_eq(&run(duration_ms, world));
}

#[test]
fn a_good_version_takes_over_in_time() {
    let idle_soon: World = |now, facts| {
        if now > 13_200 {
            facts.stable_calls = 0;
        }
    };
    check(
        16_000,
        idle_soon,
        expect![[r#"
            10800: ramp 200 due
            11800: settle 35 due
            12600: shift 1000 due
            13400: promoted 1000 due
        "#]],
    );
    check(
        16_000,
        |_, _| {},
        expect![[r#"
            10800: ramp 200 due
            11800: settle 35 due
            12600: shift 1000 due
            14200: promoted 1000 due
        "#]],
    );
    check(
        4_000,
        |_, facts| facts.candidate_ended += 20,
        expect![[r#"
            2800: ramp 200 due
            3200: settle 35 due
            3400: shift 1000 due
            3800: promoted 1000 due
        "#]],
    );
}

#[test]
fn a_flaw_ends_it_in_every_phase() {
    let at = [1_000, 11_000, 12_000, 13_000];
    let worlds: [World; 4] = [
        |now, facts| flawed_from(1_000, now, facts),
        |now, facts| flawed_from(11_000, now, facts),
        |now, facts| flawed_from(12_000, now, facts),
        |now, facts| flawed_from(13_000, now, facts),
    ];
    let ends: Vec<String> = worlds.iter().map(|world| last_line(&run(16_000, *world))).collect();
    let expected: Vec<String> = at.iter().map(|at| format!("{at}: rolled-back 0 flawed")).collect();
    assert_eq!(ends, expected);
}

fn flawed_from(at: u64, now: u64, facts: &mut Facts) {
    if now >= at {
        facts.verdict = Verdict::Bad(flaw());
    }
}

fn last_line(text: &str) -> String {
    text.lines().last().unwrap_or_default().to_owned()
}

#[test]
fn a_version_without_room_or_calls_never_takes_over() {
    let no_room: World = |_, facts| facts.candidate_slots = 29;
    check(
        16_000,
        no_room,
        expect![[r#"
        16000: rolled-back 0 not ready
    "#]],
    );
    let no_upstreams: World = |_, facts| (facts.candidate_slots, facts.stable_slots) = (0, 0);
    check(
        16_000,
        no_upstreams,
        expect![[r#"
        16000: rolled-back 0 not ready
    "#]],
    );
    let no_calls: World = |_, facts| facts.candidate_ended = 19;
    check(
        16_000,
        no_calls,
        expect![[r#"
            10800: ramp 200 due
            11800: settle 35 due
            16000: rolled-back 0 not ready
        "#]],
    );
}

#[test]
fn the_step_to_all_calls_waits_while_there_is_doubt() {
    let cleared_later: World = |now, facts| {
        if now < 13_000 {
            facts.verdict = Verdict::Unclear;
        }
    };
    check(
        16_000,
        cleared_later,
        expect![[r#"
        10800: ramp 200 due
        11800: settle 35 due
        13000: shift 1000 due
        14600: promoted 1000 due
    "#]],
    );
    let unclear: World = |_, facts| facts.verdict = Verdict::Unclear;
    check(
        16_000,
        unclear,
        expect![[r#"
        10800: ramp 200 due
        11800: settle 35 due
        14000: shift 1000 due
        15600: promoted 1000 due
    "#]],
    );
    let doubtful: World = |_, facts| facts.verdict = Verdict::Doubtful(flaw());
    check(
        16_000,
        doubtful,
        expect![[r#"
        10800: ramp 200 due
        11800: settle 35 due
        14000: rolled-back 0 in doubt
    "#]],
    );
}

#[test]
fn a_version_whose_upstreams_come_late_is_still_judged() {
    let late_room: World = |now, facts| {
        if now < 15_800 {
            facts.candidate_slots = 29;
        }
    };
    check(
        16_000,
        late_room,
        expect![[r#"
        15800: ramp 200 due
        16800: settle 35 due
        17600: shift 1000 due
    "#]],
    );
}

#[test]
fn phases_keep_their_numbers_in_the_log() {
    let phases = [
        Phase::Trial,
        Phase::Ramp,
        Phase::Settle,
        Phase::Shift,
        Phase::Promoted,
        Phase::RolledBack,
    ];
    let numbers = phases.map(|phase| phase.write_to_vec().expect("a phase is written"));
    assert_eq!(numbers, [[0], [1], [5], [2], [3], [4]]);
}

#[test]
fn an_ended_canary_takes_no_step() {
    let plan = Plan::new(16_000, EXPOSED_PART);
    for phase in [Phase::Promoted, Phase::RolledBack] {
        let facts = Facts {
            phase,
            elapsed_ms: 20_000,
            in_phase_ms: 5_000,
            verdict: Verdict::Bad(flaw()),
            candidate_ended: 900,
            candidate_slots: 40,
            stable_slots: 0,
            stable_calls: 0,
        };
        assert_eq!(plan.next(&facts), None);
    }
}
