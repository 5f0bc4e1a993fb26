//! The planned stop: which calls are accepted, and when the process exits.

use sidecar::{Activity, StopPhase, StopPlan};

const LIMIT_MS: u64 = 6_000;
const STOPPED_AT: u64 = 10_000;
/// How long all calls are served after the signal.
const SERVING_MS: u64 = 2_300;
/// The time at the end in which the remaining calls get their final answers.
const ENDING_MS: u64 = 500;

fn plan() -> StopPlan {
    let mut plan = StopPlan::new(LIMIT_MS);
    assert!(plan.begin(STOPPED_AT));
    assert!(!plan.begin(STOPPED_AT + 100), "a second signal changes nothing");
    plan
}

/// The phase of a process that has or has not notified its peers.
fn phase(closed: bool, after_ms: u64, in_flight: usize, last_request_after_ms: u64) -> StopPhase {
    let mut plan = plan();
    if closed {
        assert!(plan.close(None, STOPPED_AT + SERVING_MS));
    }
    let last_request = STOPPED_AT + last_request_after_ms;
    plan.phase(Activity { in_flight, last_request, unsent: false }, STOPPED_AT + after_ms)
}

#[test]
fn nothing_changes_before_the_signal() {
    let mut plan = StopPlan::new(LIMIT_MS);
    let activity = Activity { in_flight: 0, last_request: 0, unsent: false };
    assert_eq!(plan.phase(activity, 1_000_000), StopPhase::Running);
    assert!(plan.accepts(u64::MAX, 1_000_000));
    assert!(!plan.close(None, 1_000_000));
}

#[test]
fn phases_follow_time_and_activity() {
    let rows = [
        // peers notified, time since the signal, in flight, time of the last request, phase
        (false, 0, 0, 0, StopPhase::Serving),
        (false, 2_000, 0, 0, StopPhase::Serving),
        (false, 2_250, 0, 2_200, StopPhase::Serving),
        (false, 2_250, 0, 1_000, StopPhase::Done),
        (false, 2_250, 3, 1_000, StopPhase::Serving),
        (false, 2_700, 3, 2_700, StopPhase::Finishing),
        (true, 2_700, 3, 2_700, StopPhase::Closed),
        // Callers without an alternative keep sending requests.
        (true, 2_700, 0, 2_700, StopPhase::Done),
        (true, 5_000, 1, 5_000, StopPhase::Closed),
        // The remaining calls get their answers before the process exits.
        (true, 5_500, 1, 5_500, StopPhase::Ending),
        (false, 5_500, 1, 5_500, StopPhase::Ending),
        (true, 5_500, 0, 5_500, StopPhase::Done),
        (true, 5_900, 1, 5_500, StopPhase::Done),
    ];
    for (closed, after, in_flight, last, expected) in rows {
        let found = phase(closed, after, in_flight, last);
        assert_eq!(found, expected, "{after} ms, {in_flight} in flight");
    }
}

#[test]
fn peers_are_told_once_the_calls_of_the_time_before_are_finished() {
    let rows = [
        // arrival of the oldest call, first time at which peers are notified
        (None, 2_300),
        (Some(100), 3_300),
        (Some(2_299), 3_300),
        (Some(2_300), 2_300),
    ];
    for (oldest, expected) in rows {
        let mut plan = plan();
        let oldest = oldest.map(|after| STOPPED_AT + after);
        let told = (0..LIMIT_MS).find(|after| plan.close(oldest, STOPPED_AT + after));
        assert_eq!(told, Some(expected), "oldest call {oldest:?}");
        assert!(!plan.close(oldest, STOPPED_AT + LIMIT_MS), "peers are told only once");
    }
}

#[test]
fn nothing_taken_in_late_is_cut_off_at_the_end() {
    // An accepted call must have more than half of the limit to finish, or a deadline before the
    // remaining calls are ended.
    for closed in [false, true] {
        let mut plan = plan();
        for after in 0..LIMIT_MS {
            if closed {
                plan.close(None, STOPPED_AT + after);
            }
            for left in [1, 600, 1_300, 1_301, 3_000, 6_000, u64::MAX] {
                let accepted = plan.accepts(left, STOPPED_AT + after);
                let in_time = after.saturating_add(left) <= LIMIT_MS - ENDING_MS;
                assert!(!accepted || after <= LIMIT_MS / 2 || in_time, "{after} ms, {left} ms");
            }
        }
    }
}

#[test]
fn calls_within_running_jobs_are_taken_in_for_a_while_after_peers_were_told() {
    let mut plan = plan();
    assert!(plan.accepts(3_000, STOPPED_AT + SERVING_MS));
    assert!(!plan.accepts(6_000, STOPPED_AT + SERVING_MS));
    plan.close(None, STOPPED_AT + SERVING_MS);
    assert!(plan.accepts(600, STOPPED_AT + SERVING_MS + 1_000));
    assert!(!plan.accepts(3_000, STOPPED_AT + SERVING_MS), "a call with a longer deadline");
    assert!(
        !plan.accepts(600, STOPPED_AT + SERVING_MS + 1_300),
        "otherwise the process might never exit"
    );
}

#[test]
fn the_process_does_not_end_before_its_answers_are_out() {
    let mut plan = plan();
    plan.close(None, STOPPED_AT + SERVING_MS);
    let unsent = Activity { in_flight: 0, last_request: STOPPED_AT, unsent: true };
    assert_eq!(plan.phase(unsent, STOPPED_AT + 2_700), StopPhase::Closed);
    assert_eq!(plan.phase(unsent, STOPPED_AT + 5_550), StopPhase::Ending);
    let out = Activity { unsent: false, ..unsent };
    assert_eq!(plan.phase(out, STOPPED_AT + 5_550), StopPhase::Done);
}

#[test]
fn upstreams_at_work_are_given_all_but_the_last_sixth_of_any_limit() {
    for limit_ms in [600, 1_200, 3_000, 6_000, 30_000] {
        let mut plan = StopPlan::new(limit_ms);
        plan.begin(STOPPED_AT);
        let activity = Activity { in_flight: 1, last_request: STOPPED_AT, unsent: false };
        let ends = (0..limit_ms).find(|after| {
            matches!(plan.phase(activity, STOPPED_AT + after), StopPhase::Ending | StopPhase::Done)
        });
        assert!(ends.is_some_and(|after| after >= limit_ms * 5 / 6), "{limit_ms}: {ends:?}");
    }
}

#[test]
fn peers_are_told_a_deadline_before_the_remaining_calls_are_ended() {
    assert_eq!(StopPlan::new(LIMIT_MS).latest_deadline(), None);
    assert_eq!(plan().latest_deadline(), Some(STOPPED_AT + LIMIT_MS - ENDING_MS));
}
