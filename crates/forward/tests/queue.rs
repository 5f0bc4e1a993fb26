//! The admission queue: order, priority, wait deadlines, and load shedding under sustained
//! overload.

use bundle::Priority;
use forward::{AdmissionQueue, QueueDecision};

const SECOND_US: u64 = 1_000_000;

#[test]
fn the_first_of_the_most_important_goes() {
    let mut queue = AdmissionQueue::new(4);
    let report = queue.join(Priority::Normal, 0, SECOND_US).unwrap();
    let charge = queue.join(Priority::High, 1, SECOND_US).unwrap();
    let later = queue.join(Priority::High, 2, SECOND_US).unwrap();
    assert_eq!(queue.decide(charge, 3), QueueDecision::Proceed);
    assert_eq!(queue.decide(later, 3), QueueDecision::Wait);
    assert_eq!(queue.decide(report, 3), QueueDecision::Wait);
    queue.leave(charge);
    assert_eq!(queue.decide(later, 4), QueueDecision::Proceed);
}

#[test]
fn a_full_queue_refuses_at_once_unless_the_call_is_more_important() {
    let mut queue = AdmissionQueue::new(2);
    let first = queue.join(Priority::Normal, 0, SECOND_US).unwrap();
    let second = queue.join(Priority::Normal, 1, SECOND_US).unwrap();
    assert_eq!(queue.join(Priority::Normal, 2, SECOND_US), None);
    let charge = queue.join(Priority::High, 3, SECOND_US).unwrap();
    assert_eq!(queue.decide(second, 4), QueueDecision::Shed, "the newest is displaced");
    assert_eq!(queue.decide(first, 4), QueueDecision::Wait);
    assert_eq!(queue.decide(charge, 4), QueueDecision::Proceed);
}

#[test]
fn waiting_ends_when_its_time_is_over() {
    let mut queue = AdmissionQueue::new(2);
    let call = queue.join(Priority::Normal, 10, 50).unwrap();
    assert_eq!(queue.wait_deadline_us(call), Some(60));
    assert_eq!(queue.decide(call, 59), QueueDecision::Proceed);
    assert_eq!(queue.decide(call, 60), QueueDecision::Shed);
}

/// Without the shorter wait in a standing queue, at a load of four times the capacity 62% of the
/// answers came after their deadline.
#[test]
fn in_a_standing_queue_calls_wait_only_briefly() {
    let mut queue = AdmissionQueue::new(100);
    let mut now_us = 0;
    let mut queued = queue.join(Priority::Normal, now_us, SECOND_US).unwrap();
    for _ in 0..20 {
        now_us += 10_000;
        let next = queue.join(Priority::Normal, now_us, SECOND_US).unwrap();
        queue.leave(queued);
        queued = next;
    }
    assert!(queue.wait_deadline_us(queued).unwrap() - now_us <= 20_000);
    queue.leave(queued);
    let after_overload = queue.join(Priority::Normal, now_us + 1, SECOND_US).unwrap();
    assert_eq!(
        queue.wait_deadline_us(after_overload),
        Some(now_us + 1 + SECOND_US),
        "the overload is over"
    );
}
