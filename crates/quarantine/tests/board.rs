//! Tests of `NoticeLog`: which notices a coordinator forwards.

use mesh::{Clearing, CrashId, CrashReport, Fingerprint, NodeAddress, PoisonEvent, PoisonNotice};
use quarantine::{crash_id, NoticeLog, Quarantine, RequestStatus};
use std::net::Ipv4Addr;

const NODE: NodeAddress = NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 9), port: 8_300 };

fn crash(instance: &str, running: &[u64]) -> PoisonNotice {
    let running = running.iter().copied().map(Fingerprint).collect();
    let report = CrashReport { node: NODE, instance: instance.to_owned(), running };
    PoisonNotice { age_ms: 0, event: PoisonEvent::Crash(report) }
}

fn id(instance: &str) -> CrashId {
    crash_id(&CrashReport { node: NODE, instance: instance.to_owned(), running: Vec::new() })
}

/// A clearing of a request that covers the crashes of these instances.
fn clearing(request: u64, instances: &[&str]) -> Clearing {
    let crashes = instances.iter().map(|instance| id(instance)).collect();
    Clearing { fingerprint: Fingerprint(request), crashes }
}

fn cleared(request: u64, instances: &[&str]) -> PoisonNotice {
    PoisonNotice { age_ms: 0, event: PoisonEvent::Cleared(clearing(request, instances)) }
}

#[test]
fn each_notice_is_passed_on_once_and_with_its_age() {
    let mut log = NoticeLog::default();
    assert!(log.apply(crash("i-1", &[1, 2]), true, 1_000).is_some());
    assert!(log.apply(crash("i-1", &[1, 2]), false, 1_100).is_none(), "a duplicate");
    assert!(log.apply(cleared(7, &[]), true, 1_200).is_none(), "there was no evidence against it");
    let position = log.position();
    assert!(log.apply(cleared(1, &["i-1"]), false, 1_300).is_some());
    assert!(log.apply(cleared(1, &["i-1"]), false, 1_350).is_none(), "a duplicate");
    assert_eq!(log.since(0, 2_000).len(), 2);
    assert_eq!(log.since(0, 2_000)[0].age_ms, 1_000);
    assert_eq!(log.since(position, 2_000).len(), 1);
    assert_eq!(
        log.forwarded_since(0, 2_000).len(),
        1,
        "other coordinators forward their own notices"
    );
}

#[test]
fn a_sidecar_that_starts_later_judges_as_those_that_heard_all() {
    let mut log = NoticeLog::default();
    for (at, notice) in [
        (0, crash("i-1", &[1, 2, 3])),
        (100, cleared(2, &["i-1"])),
        (200, crash("i-2", &[2, 3])),
        (300, crash("i-3", &[2, 9])),
    ] {
        log.apply(notice, true, at);
    }
    let mut late = Quarantine::default();
    let now = 50_000;
    for PoisonNotice { age_ms, event } in log.since(0, now) {
        match event {
            PoisonEvent::Crash(report) => {
                late.note_crash(&report, now - age_ms);
            }
            PoisonEvent::Cleared(clearing) => {
                late.note_cleared(&clearing, now - age_ms);
            }
            PoisonEvent::Quarantined(_) => panic!("no quarantine was reported"),
        }
    }
    assert_eq!(late.entries(now), log.entries(now));
    assert_eq!(late.status(Fingerprint(3), now), RequestStatus::Quarantined { left_ms: 10_200 });
}

#[test]
fn an_operator_clears_a_request() {
    let mut log = NoticeLog::default();
    log.apply(crash("i-1", &[1]), true, 0);
    log.apply(crash("i-2", &[1]), true, 0);
    assert_eq!(log.entries(10).len(), 1);
    assert!(log.clear(Fingerprint(1), 20));
    assert!(!log.clear(Fingerprint(1), 20));
    assert!(log.entries(30).is_empty());
    let last = log.since(0, 30).pop().map(|notice| notice.event);
    assert_eq!(
        last,
        Some(PoisonEvent::Cleared(clearing(1, &["i-1", "i-2"]))),
        "sidecars receive the clearing"
    );
}

#[test]
fn notices_without_end_take_bounded_memory() {
    let mut log = NoticeLog::default();
    for number in 0..10_000_u64 {
        log.apply(crash(&format!("i-{number}"), &[number]), true, number);
    }
    assert_eq!(log.since(0, 10_000).len(), 256);
}

#[test]
fn notices_end_with_time_though_nothing_more_happens() {
    let mut log = NoticeLog::default();
    log.apply(crash("i-1", &[1]), true, 0);
    log.expire(599_999);
    assert_eq!((log.since(0, 599_999).len(), log.suspects(599_999)), (1, 1));
    log.expire(600_000);
    assert_eq!((log.since(0, 600_000).len(), log.suspects(600_000)), (0, 0));
}

// News of the quarantine may reach a coordinator and its sidecars after the clearing, so a coordinator
// without any evidence against the request forwards the clearing too.
#[test]
fn a_clearing_is_passed_on_also_by_who_holds_nothing_against_the_request() {
    let mut log = NoticeLog::default();
    assert!(log.apply(cleared(1, &["i-1", "i-2"]), false, 0).is_some());
    assert_eq!(log.since(0, 10).len(), 1, "sidecars receive it");
    assert_eq!(
        log.forwarded_since(0, 10).len(),
        1,
        "coordinators receive it even if its sender has terminated"
    );
    assert!(log.apply(cleared(1, &["i-1", "i-2"]), false, 20).is_none(), "only once");
    assert!(log.apply(crash("i-1", &[1]), true, 30).is_some());
    assert!(log.apply(crash("i-2", &[1]), true, 30).is_some());
    assert!(log.entries(40).is_empty(), "the crash reports arrived after the clearing");
}

#[test]
fn a_subscriber_that_is_behind_is_told_all_clearings_that_are_remembered() {
    let mut log = NoticeLog::default();
    log.apply(crash("i-1", &[1]), true, 0);
    log.apply(crash("i-2", &[1]), true, 0);
    log.clear(Fingerprint(1), 1_000);
    let position = log.position();
    for number in 0..300_u64 {
        log.apply(crash(&format!("i-{number}-x"), &[100 + number]), true, 2_000);
    }
    let first = |position| log.since(position, 3_000).into_iter().next().expect("a notice");
    let mut both = clearing(1, &["i-1", "i-2"]);
    both.crashes.sort();
    assert_eq!(first(0).event, PoisonEvent::Cleared(both));
    assert_eq!(
        (first(0).age_ms, first(position)),
        (2_000, first(0)),
        "also for a subscriber that missed notices no longer kept"
    );
}

#[test]
fn a_clearing_is_known_to_be_held_elsewhere_once_another_tells_it_back() {
    let mut log = NoticeLog::default();
    log.apply(crash("i-1", &[1]), true, 0);
    log.apply(crash("i-2", &[1]), true, 0);
    assert!(log.clear(Fingerprint(1), 20));
    assert!(log.awaits_replication(Fingerprint(1)));
    log.apply(cleared(1, &["i-1", "i-2"]), true, 30);
    assert!(log.awaits_replication(Fingerprint(1)), "a sidecar does not count as a coordinator");
    log.apply(cleared(1, &["i-1", "i-2"]), false, 40);
    assert!(!log.awaits_replication(Fingerprint(1)));
    log.apply(crash("i-3", &[2]), true, 50);
    assert!(log.clear(Fingerprint(2), 60));
    assert!(!log.awaits_replication(Fingerprint(2)), "the clearing of a suspect is not sent back");
}
