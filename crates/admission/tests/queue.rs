//! Tests of the queue in front of an upstream: order, refusals, expiry.

use admission::{Admission, Decision, SlotRequest};

const LIMIT: u32 = 2;

fn request(job: u64, rank: u32, patience_ms: u64) -> SlotRequest {
    request_with_target(job, rank, 1_000, patience_ms)
}

fn request_with_target(job: u64, rank: u32, target_ms: u64, patience_ms: u64) -> SlotRequest {
    let (nested, tenant, deadline) = (false, None, 1_000_000);
    SlotRequest { job, nested, rank, tenant, target_ms, patience_ms, deadline }
}

fn full() -> Admission {
    let mut admission = Admission::new(LIMIT);
    for job in 0..u64::from(LIMIT) {
        assert_eq!(admission.submit(request(job, 1, 1_000), 0), Decision::Run);
    }
    admission
}

fn next(admission: &mut Admission) -> Option<u64> {
    admission.release(None);
    admission.start_next(0)
}

#[test]
fn a_more_urgent_rank_goes_first() {
    let mut admission = full();
    assert_eq!(admission.submit(request(10, 2, 900), 0), Decision::Wait);
    assert_eq!(admission.submit(request(11, 1, 900), 1), Decision::Wait);
    assert_eq!(next(&mut admission), Some(11));
    assert_eq!(next(&mut admission), Some(10));
}

#[test]
fn of_one_rank_the_call_with_the_shortest_target_goes_first() {
    let mut admission = full();
    // The call with the long target has nearly used up its time but still goes second. Otherwise every
    // nested call would queue behind such calls under overload.
    assert_eq!(admission.submit(request_with_target(10, 1, 400, 200), 0), Decision::Wait);
    assert_eq!(admission.submit(request_with_target(11, 1, 100, 90), 190), Decision::Wait);
    assert_eq!(next(&mut admission), Some(11), "a nested call blocks its parent's slot");
    assert_eq!(next(&mut admission), Some(10));
}

#[test]
fn a_call_is_refused_at_once_when_its_wait_would_be_too_long() {
    let mut admission = full();
    // Two slots of 100 ms each: the fifth call in the queue waits for 250 ms.
    for job in 10..14 {
        assert_eq!(admission.submit(request(job, 1, 300), 0), Decision::Wait);
    }
    let refused = admission.submit(request(20, 1, 301), 0);
    let Decision::Wait = refused else { panic!("250 ms fit in 301: {refused:?}") };
    match admission.submit(request(21, 1, 302), 0) {
        Decision::Wait => {}
        other => panic!("300 ms fit in 302: {other:?}"),
    }
    match admission.submit(request(22, 1, 310), 0) {
        Decision::Refuse { retry_after_ms } => assert!(retry_after_ms >= 50),
        other => panic!("350 ms do not fit in 310: {other:?}"),
    }
}

#[test]
fn a_call_that_waited_too_long_is_taken_out() {
    let mut admission = full();
    admission.submit(request(10, 1, 200), 0);
    assert_eq!(admission.next_expiry(), Some(200));
    assert!(admission.expire(199).is_empty());
    assert_eq!(admission.expire(200), vec![10]);
    assert_eq!(next(&mut admission), None);
}

#[test]
fn no_more_than_the_limit_run() {
    let mut admission = full();
    admission.submit(request(10, 1, 900), 0);
    assert_eq!(admission.start_next(0), None);
    assert_eq!(admission.running(), LIMIT);
    assert!(admission.cancel(10));
    assert!(!admission.cancel(10));
}

#[test]
fn who_is_refused_is_told_to_come_back_behind_those_refused_before() {
    let mut admission = full();
    for job in 10..16 {
        admission.submit(request(job, 1, 300), 0);
    }
    let mut refuse = |job, now| match admission.submit(request(job, 1, 300), now) {
        Decision::Refuse { retry_after_ms } => retry_after_ms,
        other => panic!("no room: {other:?}"),
    };
    let first = refuse(20, 0);
    let tenth = (21..30).map(|job| refuse(job, 0)).last().expect("nine more");
    // Two slots of 100 ms each: nine more calls ahead take 450 ms.
    assert!((400..=500).contains(&(tenth - first)), "{first} and {tenth} ms");
    // By then the refused calls have retried or given up.
    assert!(refuse(40, 8_000) < first + 100);
}

#[test]
fn what_a_run_waits_for_goes_before_all_new_work() {
    let nested =
        |job, rank, patience_ms| SlotRequest { nested: true, ..request(job, rank, patience_ms) };
    let mut admission = full();
    assert_eq!(admission.submit(request(10, 0, 900), 0), Decision::Wait);
    assert_eq!(admission.submit(nested(11, 2, 900), 1), Decision::Wait);
    assert_eq!(admission.submit(nested(12, 1, 900), 2), Decision::Wait);
    assert_eq!(next(&mut admission), Some(12), "nested calls are ordered by rank");
    assert_eq!(next(&mut admission), Some(11), "before new work of a higher priority");
    assert_eq!(next(&mut admission), Some(10));
}

#[test]
fn new_work_that_waits_takes_no_room_from_what_a_run_waits_for() {
    let mut admission = full();
    for job in 10..20 {
        assert_eq!(admission.submit(request(job, 0, 900), 0), Decision::Wait);
    }
    // Two slots of 100 ms each: behind ten others a call would wait for 550 ms.
    let nested = |job| SlotRequest { nested: true, ..request(job, 1, 60) };
    assert!(admission.check_room(request(20, 1, 60), 0).is_err(), "new work is refused");
    assert_eq!(admission.submit(nested(21), 0), Decision::Wait);
    assert!(
        admission.check_room(nested(22), 0).is_err(),
        "behind another nested call it would be late"
    );
}

#[test]
fn how_long_calls_take_is_known_after_the_first_ones() {
    let mut admission = full();
    for _ in 0..3 {
        admission.release(Some(400));
        assert_eq!(admission.submit(request(30, 1, 1_000), 0), Decision::Run);
    }
    assert_eq!(admission.service_ms(), 400.0);
    // Two slots of 400 ms each: the next in the queue waits for 200 ms.
    assert!(admission.check_room(request(40, 1, 150), 0).is_err());
    assert_eq!(admission.submit(request(41, 1, 250), 0), Decision::Wait);
    // Later, a single outlier has little effect.
    (0..100).for_each(|_| admission.release(Some(400)));
    admission.release(Some(0));
    assert_eq!(admission.service_ms(), 380.0);
}

#[test]
fn those_that_were_refused_and_will_come_back_count_also_while_a_slot_is_free() {
    // An upstream that sheds load frees slots at once: no call waits, but many will retry.
    let mut admission = full();
    for job in 10..14 {
        assert_eq!(admission.submit(request(job, 1, 300), 0), Decision::Wait);
    }
    for job in 20..40 {
        assert!(matches!(admission.submit(request(job, 1, 10), 0), Decision::Refuse { .. }));
    }
    for job in 10..14 {
        assert!(admission.cancel(job));
    }
    admission.release(None);
    // Twenty calls will retry, at two slots of 100 ms each.
    assert!(admission.retry_after_ms(0, 0) >= 1_000, "{}", admission.retry_after_ms(0, 0));
}
