//! The planned stop: what is served, what is refused, and when the process ends.

use sidecar::{Activity, StopPhase, StopPlan};

const LIMIT_MS: u64 = 6_000;
const BEGUN: u64 = 10_000;

fn plan() -> StopPlan {
    let mut plan = StopPlan::new(LIMIT_MS);
    assert!(plan.begin(BEGUN));
    assert!(!plan.begin(BEGUN + 100), "a second signal changes nothing");
    plan
}

fn phase(after_ms: u64, in_flight: usize, last_request_after_ms: u64) -> StopPhase {
    let last_request = BEGUN + last_request_after_ms;
    plan().phase(Activity { in_flight, last_request, unsent: false }, BEGUN + after_ms)
}

#[test]
fn nothing_changes_before_the_signal() {
    let plan = StopPlan::new(LIMIT_MS);
    let activity = Activity { in_flight: 0, last_request: 0, unsent: false };
    assert_eq!(plan.phase(activity, 1_000_000), StopPhase::Running);
    assert!(!plan.refuses(1_000_000));
}

#[test]
fn phases_follow_time_and_activity() {
    let rows = [
        // after, in flight, last request after, phase
        (0, 0, 0, StopPhase::Serving),
        (2_000, 0, 0, StopPhase::Serving),
        (2_250, 0, 2_200, StopPhase::Serving),
        (2_250, 0, 1_000, StopPhase::Over),
        (2_250, 3, 1_000, StopPhase::Serving),
        (2_700, 3, 2_700, StopPhase::Refusing),
        // Callers that have nowhere else to go never become quiet.
        (2_700, 0, 2_700, StopPhase::Over),
        (5_000, 1, 5_000, StopPhase::Refusing),
        // Nothing is cut: what is left gets its answer first.
        (5_500, 1, 5_500, StopPhase::Ending),
        (5_500, 0, 5_500, StopPhase::Over),
        (5_900, 1, 5_500, StopPhase::Over),
    ];
    for (after, in_flight, last, expected) in rows {
        assert_eq!(phase(after, in_flight, last), expected, "{after} ms, {in_flight} in flight");
    }
}

#[test]
fn nothing_taken_in_late_is_cut_off_at_the_end() {
    // What is accepted must have more than half of the time to finish.
    let plan = plan();
    let last_accepted = (0..LIMIT_MS).rev().find(|after| !plan.refuses(BEGUN + after));
    assert!(last_accepted.is_some_and(|after| after <= LIMIT_MS / 2));
}

#[test]
fn the_process_does_not_end_before_its_answers_are_out() {
    let unsent = Activity { in_flight: 0, last_request: BEGUN, unsent: true };
    assert_eq!(plan().phase(unsent, BEGUN + 2_700), StopPhase::Refusing);
    assert_eq!(plan().phase(unsent, BEGUN + 5_550), StopPhase::Ending);
    let out = Activity { unsent: false, ..unsent };
    assert_eq!(plan().phase(out, BEGUN + 5_550), StopPhase::Over);
}

#[test]
fn upstreams_at_work_are_given_all_but_the_last_sixth_of_any_limit() {
    for limit_ms in [600, 1_200, 3_000, 6_000, 30_000] {
        let mut plan = StopPlan::new(limit_ms);
        plan.begin(BEGUN);
        let activity = Activity { in_flight: 1, last_request: BEGUN, unsent: false };
        let ends = (0..limit_ms).find(|after| {
            matches!(plan.phase(activity, BEGUN + after), StopPhase::Ending | StopPhase::Over)
        });
        assert!(ends.is_some_and(|after| after >= limit_ms * 5 / 6), "{limit_ms}: {ends:?}");
    }
}
