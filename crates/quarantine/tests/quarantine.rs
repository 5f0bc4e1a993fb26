//! Tests of `Quarantine`: which request is blamed for upstream crashes.

use expect_test::expect;
use mesh::{Clearing, CrashId, CrashReport, Fingerprint, NodeAddress, QuarantineEntry};
use quarantine::{crash_id, Quarantine, RecentSuccesses, RequestStatus, Verdict};
use std::net::Ipv4Addr;

const NODE: NodeAddress = NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 9), port: 8_300 };

const POISON: u64 = 999;
const MINUTE: u64 = 60_000;

fn report(instance: &str, running: impl IntoIterator<Item = u64>) -> CrashReport {
    let running = running.into_iter().map(Fingerprint).collect();
    CrashReport { node: NODE, instance: instance.to_owned(), running }
}

fn is_suspect(quarantine: &Quarantine, request: u64, now: u64) -> bool {
    quarantine.status(Fingerprint(request), now) == RequestStatus::Suspect
}

fn is_quarantined(quarantine: &Quarantine, request: u64, now: u64) -> bool {
    matches!(quarantine.status(Fingerprint(request), now), RequestStatus::Quarantined { .. })
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Known => "known".to_owned(),
        Verdict::Suspects(count) => format!("{count} suspects"),
        Verdict::Explained(fingerprint) => format!("explained by {}", fingerprint.0),
        Verdict::Quarantined(entries) => {
            let describe_entry = |entry: &QuarantineEntry| {
                let QuarantineEntry { fingerprint, crashes, left_ms } = entry;
                let crashes = crashes.len();
                format!("{} after {crashes} crashes, for {left_ms} ms", fingerprint.0)
            };
            entries.iter().map(describe_entry).collect::<Vec<_>>().join("; ")
        }
    }
}

/// Returns the verdict of each crash, one per line.
fn verdicts(crashes: &[(&str, &[u64])]) -> String {
    let mut quarantine = Quarantine::default();
    let judge = |(at, (instance, running)): (usize, &(&str, &[u64]))| {
        let report = report(instance, running.iter().copied());
        describe(&quarantine.note_crash(&report, at as u64 * 1_000))
    };
    crashes.iter().enumerate().map(judge).collect::<Vec<_>>().join("\n")
}

#[test]
fn the_one_that_ran_at_two_ends_is_blamed() {
    expect![[r#"
        4 suspects
        999 after 2 crashes, for 60000 ms
        explained by 999"#]]
    .assert_eq(&verdicts(&[
        ("i-1", &[1, 2, 3, POISON]),
        ("i-2", &[4, 5, POISON]),
        ("i-3", &[6, POISON]),
    ]));
}

#[test]
fn a_crash_told_twice_counts_once() {
    expect![[r#"
        2 suspects
        known
        known"#]]
    .assert_eq(&verdicts(&[("i-1", &[1, POISON]), ("i-1", &[1, POISON]), ("i-1", &[POISON])]));
}

#[test]
fn of_several_that_ran_at_two_ends_none_is_blamed_before_a_third() {
    expect![[r#"
        3 suspects
        3 suspects
        999 after 3 crashes, for 60000 ms"#]]
    .assert_eq(&verdicts(&[
        ("i-1", &[1, 2, POISON]),
        ("i-2", &[1, 2, POISON]),
        ("i-3", &[7, POISON]),
    ]));
    expect![[r#"
        2 suspects
        2 suspects
        1 after 3 crashes, for 60000 ms; 999 after 3 crashes, for 60000 ms"#]]
    .assert_eq(&verdicts(&[("i-1", &[1, POISON]), ("i-2", &[1, POISON]), ("i-3", &[1, POISON])]));
}

#[test]
fn upstreams_that_end_with_nothing_in_common_blame_nobody() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..40 {
        let running = (upstream * 20)..(upstream * 20 + 18);
        let verdict = quarantine.note_crash(&report(&format!("i-{upstream}"), running), upstream);
        assert_eq!(verdict, Verdict::Suspects(18));
    }
    assert!(quarantine.entries(100).is_empty());
}

#[test]
fn the_blamed_one_explains_its_crashes_and_the_others_are_free() {
    let mut quarantine = Quarantine::default();
    quarantine.note_crash(&report("i-1", [1, 2, POISON]), 0);
    quarantine.note_crash(&report("i-9", [8, 9]), 0);
    assert!(is_suspect(&quarantine, 1, 10));
    quarantine.note_crash(&report("i-2", [3, POISON]), 20);
    let suspects = (1..=9).filter(|request| is_suspect(&quarantine, *request, 30));
    assert_eq!(suspects.collect::<Vec<u64>>(), [8, 9], "the crash of i-9 is not explained");
    assert!(is_quarantined(&quarantine, POISON, 30));
}

#[test]
fn should_the_wrong_one_be_blamed_the_right_one_is_known_by_its_next_crash() {
    let mut quarantine = Quarantine::default();
    // A machine that processed request 1 lost power. The request then runs on another one together with
    // the poison.
    quarantine.note_crash(&report("i-1", [1, 2]), 0);
    quarantine.note_crash(&report("i-2", [1, POISON, 5]), 100);
    assert!(is_quarantined(&quarantine, 1, 200) && !is_quarantined(&quarantine, POISON, 200));
    quarantine.note_crash(&report("i-3", [POISON, 6]), 300);
    assert!(is_quarantined(&quarantine, POISON, 400));
}

#[test]
fn a_good_run_clears_a_suspect_and_one_in_quarantine() {
    let mut quarantine = Quarantine::default();
    quarantine.note_crash(&report("i-1", [1, 2]), 0);
    assert!(quarantine.clear(Fingerprint(1), 0).is_some());
    assert!(quarantine.clear(Fingerprint(1), 0).is_none(), "there is no evidence left against it");
    assert_eq!(quarantine.note_crash(&report("i-2", [1, 3]), 10), Verdict::Suspects(2));
    quarantine.note_crash(&report("i-3", [2, 4]), 20);
    assert!(is_quarantined(&quarantine, 2, 30));
    assert!(quarantine.clear(Fingerprint(2), 0).is_some());
    assert_eq!(quarantine.status(Fingerprint(2), 30), RequestStatus::Clear);
}

#[test]
fn after_its_time_it_is_a_suspect_and_one_more_crash_doubles_its_time() {
    let mut quarantine = Quarantine::default();
    quarantine.note_crash(&report("i-1", [POISON]), 0);
    quarantine.note_crash(&report("i-2", [POISON]), 0);
    assert!(is_quarantined(&quarantine, POISON, MINUTE - 1));
    assert!(is_suspect(&quarantine, POISON, MINUTE), "it is a suspect again");
    let verdict = quarantine.note_crash(&report("i-3", [1, 2, POISON]), MINUTE + 5);
    expect!["999 after 3 crashes, for 120000 ms"].assert_eq(&describe(&verdict));
    let mut now = MINUTE + 5;
    let mut crashes = 0;
    while now < 24 * 60 * MINUTE {
        let RequestStatus::Quarantined { left_ms } = quarantine.status(Fingerprint(POISON), now)
        else {
            crashes += 1;
            quarantine.note_crash(&report(&format!("later-{crashes}"), [POISON]), now);
            continue;
        };
        now += left_ms;
    }
    assert!(crashes <= 30, "a day of repeats crashes {crashes} upstreams");
}

#[test]
fn one_that_does_not_come_again_is_forgotten() {
    let mut quarantine = Quarantine::default();
    quarantine.note_crash(&report("i-1", [1, POISON]), 0);
    quarantine.note_crash(&report("i-2", [2, POISON]), 0);
    quarantine.expire(11 * MINUTE);
    assert!(quarantine.is_empty());
    quarantine.note_crash(&report("i-3", [3]), 12 * MINUTE);
    quarantine.expire(23 * MINUTE);
    assert!(quarantine.is_empty());
}

#[test]
fn thousands_at_once_take_bounded_memory() {
    let mut quarantine = Quarantine::default();
    for request in 0..5_000 {
        for crash in 0..2 {
            let running = [request, 100_000 + request * 2 + crash];
            quarantine.note_crash(&report(&format!("i-{request}-{crash}"), running), request);
        }
    }
    assert_eq!(quarantine.entries(5_000).len(), 1_024);
    assert!(is_quarantined(&quarantine, 4_999, 5_000), "the newest stay");
    assert!(quarantine.suspects(5_000) <= 512);
    let flood = report("i-flood", 0..100_000);
    quarantine.note_crash(&flood, 5_000);
    assert!(quarantine.suspects(5_000) <= 1_024);
}

#[test]
fn a_node_that_forgot_all_is_told_of_those_in_quarantine() {
    let mut quarantine = Quarantine::default();
    let reported = quarantine_of(&["i-1", "i-2"], 30_000);
    assert!(quarantine.note_quarantined(&reported, 100));
    assert!(!quarantine.note_quarantined(&reported, 200), "it is already known");
    assert_eq!(quarantine.entries(10_100)[0].left_ms, 20_000);
    let endless =
        QuarantineEntry { fingerprint: Fingerprint(5), ..quarantine_of(&["i-1", "i-2"], u64::MAX) };
    quarantine.note_quarantined(&endless, 100);
    assert!(
        !is_quarantined(&quarantine, 5, 61 * MINUTE),
        "a report cannot quarantine it for more than an hour"
    );
}

#[test]
fn good_runs_speak_for_five_seconds() {
    let mut recent = RecentSuccesses::default();
    recent.note(Fingerprint(1), 100);
    recent.note(Fingerprint(1), 3_000);
    assert!(recent.contains(Fingerprint(1), 7_999));
    assert!(!recent.contains(Fingerprint(1), 8_000));
    assert!(!recent.contains(Fingerprint(2), 100));
    for request in 10..2_000 {
        recent.note(Fingerprint(request), 8_100);
    }
    assert!(!recent.contains(Fingerprint(10), 8_200), "the oldest are dropped first");
    assert!(recent.contains(Fingerprint(1_999), 8_200));
}

/// Simulates a fleet in virtual time in which upstreams process requests, one of them poison, and
/// machines lose power. Whatever the seed, the poison causes no crash after its second one (calls that
/// are already running aside), and few other requests are blamed by chance.
#[test]
fn whatever_else_ends_poison_is_found_by_its_second_crash_and_few_others_are_blamed() {
    let (mut others, mut late, mut losses) = (0, 0, 0);
    for seed in 0..400 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut quarantine = Quarantine::default();
        let mut poison_crashes = 0;
        for step in 0..60_u64 {
            let now = step * 500;
            let by_poison = random.u8(..) < 128;
            let innocent = (0..17).map(|_| random.u64(1_000..2_000_000));
            let mut running: Vec<u64> = innocent.collect();
            if by_poison {
                if is_quarantined(&quarantine, POISON, now) {
                    continue;
                }
                running.push(POISON);
                poison_crashes += 1;
            } else {
                losses += 1;
            }
            quarantine.note_crash(&report(&format!("i-{step}"), running), now);
        }
        late += u32::from(poison_crashes > 2);
        others += quarantine.entries(30_000).iter().filter(|it| it.fingerprint.0 != POISON).count();
    }
    assert_eq!(late, 0);
    assert!(others * 50 <= losses, "{others} blamed by chance in {losses} power losses");
}

#[test]
fn incarnations_of_two_nodes_may_have_one_id() {
    let mut quarantine = Quarantine::default();
    let here = report("i-1", [1, POISON]);
    let there = CrashReport {
        node: NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 10), port: 8_300 },
        ..report("i-1", [2, POISON])
    };
    quarantine.note_crash(&here, 0);
    quarantine.note_crash(&there, 10);
    assert!(is_quarantined(&quarantine, POISON, 20));
}

/// Report of a quarantine based on the crashes of these instances.
fn quarantine_of(instances: &[&str], left_ms: u64) -> QuarantineEntry {
    QuarantineEntry { fingerprint: Fingerprint(POISON), crashes: ids(instances), left_ms }
}

fn ids(instances: &[&str]) -> Vec<CrashId> {
    instances.iter().map(|instance| crash_id(&report(instance, []))).collect()
}

fn clearing(instances: &[&str]) -> Clearing {
    Clearing { fingerprint: Fingerprint(POISON), crashes: ids(instances) }
}

#[test]
fn a_quarantine_that_was_cleared_does_not_come_back_by_who_has_not_heard() {
    let mut quarantine = Quarantine::default();
    let first = ["i-1", "i-2"];
    assert!(quarantine.note_quarantined(&quarantine_of(&first, MINUTE), 1_000));
    assert!(quarantine.note_cleared(&clearing(&first), 3_000));
    // A sidecar that has not received the clearing still rejects the request and reports the remaining
    // time.
    assert!(!quarantine.note_quarantined(&quarantine_of(&first, MINUTE - 2_500), 3_500));
    assert!(!is_quarantined(&quarantine, POISON, 3_500));
    // The same report, delayed by longer than the quarantine lasts.
    assert!(!quarantine.note_quarantined(&quarantine_of(&first, MINUTE), 2 * MINUTE));
    // Two later crashes quarantine the request again, even shortly after the clearing, and that report
    // is accepted.
    assert!(quarantine.note_quarantined(&quarantine_of(&["i-3", "i-4"], MINUTE), 3_600));
    assert!(is_quarantined(&quarantine, POISON, 30_000));
    assert!(
        !quarantine.note_cleared(&clearing(&first), 31_000),
        "the clearing arrives a second time"
    );
    assert!(
        is_quarantined(&quarantine, POISON, 31_000),
        "the clearing does not cover the second quarantine"
    );
}

#[test]
fn word_of_a_clearing_may_come_before_word_of_the_quarantine() {
    let mut quarantine = Quarantine::default();
    let first = ["i-1", "i-2"];
    assert!(
        quarantine.note_cleared(&clearing(&first), 3_000),
        "other nodes may receive news of the quarantine"
    );
    assert!(!quarantine.note_quarantined(&quarantine_of(&first, MINUTE - 2_000), 3_100));
    assert!(
        quarantine.note_quarantined(&quarantine_of(&["i-2", "i-3", "i-4"], MINUTE), 3_000 + MINUTE)
    );
}

#[test]
fn one_that_was_cleared_of_all_ends_but_one_is_a_suspect_of_that() {
    let mut quarantine = Quarantine::default();
    for instance in ["i-1", "i-2", "i-3"] {
        quarantine.note_crash(&report(instance, [POISON]), 0);
    }
    assert!(quarantine.note_cleared(&clearing(&["i-1", "i-2"]), 100));
    assert!(
        is_suspect(&quarantine, POISON, 100),
        "the node that cleared it did not know of the third crash"
    );
    assert!(quarantine.note_cleared(&clearing(&["i-3"]), 200));
    assert_eq!(quarantine.status(Fingerprint(POISON), 200), RequestStatus::Clear);
}

#[test]
fn a_long_quarantine_is_cleared_for_as_long_as_anybody_tells_of_it() {
    let mut quarantine = Quarantine::default();
    quarantine.note_cleared(&clearing(&["i-1", "i-2"]), 0);
    for now in [2 * MINUTE, 59 * MINUTE, 119 * MINUTE] {
        quarantine.expire(now);
        assert!(
            !quarantine.note_quarantined(&quarantine_of(&["i-1", "i-2"], 60 * MINUTE), now),
            "{now}"
        );
    }
    quarantine.expire(120 * MINUTE);
    assert_eq!(quarantine.clearings().count(), 0);
}

#[test]
fn clearings_without_end_take_bounded_memory() {
    let mut quarantine = Quarantine::default();
    for number in 0..5_000 {
        let crashes = ids(&["i-1", "i-2"]);
        quarantine.note_cleared(&Clearing { fingerprint: Fingerprint(number), crashes }, number);
    }
    let times: Vec<u64> = quarantine.clearings().map(|(at, _)| at).collect();
    assert_eq!((times.len(), times.first()), (256, Some(&4_744)), "the newest stay");
}

#[test]
fn two_ends_after_a_clearing_put_it_in_quarantine_again() {
    let mut quarantine = Quarantine::default();
    quarantine.note_crash(&report("i-1", [POISON]), 0);
    quarantine.note_crash(&report("i-2", [POISON]), 100);
    assert!(quarantine.clear(Fingerprint(POISON), 0).is_some());
    quarantine.note_crash(&report("i-3", [POISON]), 1_000);
    quarantine.note_crash(&report("i-4", [POISON]), 1_100);
    assert!(
        is_quarantined(&quarantine, POISON, 1_200),
        "the node quarantines it without a report from others"
    );
}
