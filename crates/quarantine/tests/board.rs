//! What a coordinator passes on.

use mesh::{CrashReport, Fingerprint, NodeAddress, PoisonNews, PoisonNotice};
use quarantine::{NoticeBoard, Quarantine, Standing};
use std::net::Ipv4Addr;

const NODE: NodeAddress = NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 9), port: 8_300 };

fn crash(instance: &str, running: &[u64]) -> PoisonNotice {
    let running = running.iter().copied().map(Fingerprint).collect();
    let report = CrashReport { node: NODE, instance: instance.to_owned(), running };
    PoisonNotice { age_ms: 0, news: PoisonNews::Crash(report) }
}

fn cleared(request: u64) -> PoisonNotice {
    PoisonNotice { age_ms: 0, news: PoisonNews::Cleared(Fingerprint(request)) }
}

#[test]
fn each_notice_is_passed_on_once_and_with_its_age() {
    let mut board = NoticeBoard::default();
    assert!(board.take(crash("i-1", &[1, 2]), true, 1_000).is_some());
    assert!(board.take(crash("i-1", &[1, 2]), false, 1_100).is_none(), "told twice");
    assert!(board.take(cleared(7), true, 1_200).is_none(), "nothing was held against it");
    let position = board.position();
    assert!(board.take(cleared(1), false, 1_300).is_some());
    assert_eq!(board.since(0, 2_000).len(), 2);
    assert_eq!(board.since(0, 2_000)[0].age_ms, 1_000);
    assert_eq!(board.since(position, 2_000).len(), 1);
    assert_eq!(board.told_since(0, 2_000).len(), 1, "what others told they pass on themselves");
}

#[test]
fn a_sidecar_that_starts_later_judges_as_those_that_heard_all() {
    let mut board = NoticeBoard::default();
    for (at, notice) in [
        (0, crash("i-1", &[1, 2, 3])),
        (100, cleared(2)),
        (200, crash("i-2", &[2, 3])),
        (300, crash("i-3", &[2, 9])),
    ] {
        board.take(notice, true, at);
    }
    let mut late = Quarantine::default();
    let now = 50_000;
    for PoisonNotice { age_ms, news } in board.since(0, now) {
        match news {
            PoisonNews::Crash(report) => {
                late.note_crash(&report, now - age_ms);
            }
            PoisonNews::Cleared(fingerprint) => {
                late.clear(fingerprint);
            }
            PoisonNews::Quarantined(_) => panic!("none was told"),
        }
    }
    assert_eq!(late.entries(now), board.entries(now));
    assert_eq!(late.standing(Fingerprint(3), now), Standing::Quarantined { left_ms: 10_200 });
}

#[test]
fn an_operator_clears_a_request() {
    let mut board = NoticeBoard::default();
    board.take(crash("i-1", &[1]), true, 0);
    board.take(crash("i-2", &[1]), true, 0);
    assert_eq!(board.entries(10).len(), 1);
    assert!(board.clear(Fingerprint(1), 20));
    assert!(!board.clear(Fingerprint(1), 20));
    assert!(board.entries(30).is_empty());
    let last = board.since(0, 30).pop().map(|notice| notice.news);
    assert_eq!(last, Some(PoisonNews::Cleared(Fingerprint(1))), "sidecars are told");
}

#[test]
fn notices_without_end_take_bounded_memory() {
    let mut board = NoticeBoard::default();
    for number in 0..10_000_u64 {
        board.take(crash(&format!("i-{number}"), &[number]), true, number);
    }
    assert_eq!(board.since(0, 10_000).len(), 256);
}

#[test]
fn notices_end_with_time_though_nothing_more_happens() {
    let mut board = NoticeBoard::default();
    board.take(crash("i-1", &[1]), true, 0);
    board.expire(599_999);
    assert_eq!((board.since(0, 599_999).len(), board.suspects(599_999)), (1, 1));
    board.expire(600_000);
    assert_eq!((board.since(0, 600_000).len(), board.suspects(600_000)), (0, 0));
}
