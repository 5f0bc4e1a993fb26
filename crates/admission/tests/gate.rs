//! Which incarnation is beside a sidecar, and how its end is remembered.

use admission::{DrainGate, GateState};
use mesh::{Incarnation, InstanceRecord, InstanceState, MAX_VERSION_BYTES};

const DRAIN_MS: u64 = 2_000;

fn record(id: &str, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        id: id.to_owned(),
        state,
        slots: 18,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    }
}

fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.to_owned(), born_ms: 0 }
}

fn serving() -> DrainGate {
    let mut gate = DrainGate::new(DRAIN_MS);
    assert!(gate.on_report(&record("i-1", InstanceState::Ready), 1, 0));
    gate
}

#[test]
fn it_closes_well_before_the_drain_time_is_over() {
    let mut gate = serving();
    assert!(gate.on_report(&record("i-1", InstanceState::Draining), 2, 10_000));
    assert_eq!(gate.state(10_500), GateState::Closing);
    assert_eq!(gate.state(11_000), GateState::Closed);
    assert!(gate.on_leave(&incarnation("i-1"), 12_000));
    assert_eq!(gate.state(12_000), GateState::Closed, "a second end opens nothing");
}

#[test]
fn a_late_heartbeat_does_not_bring_an_incarnation_back() {
    let mut gate = serving();
    gate.on_report(&record("i-1", InstanceState::Draining), 3, 10_000);
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 2, 10_100), "older");
    assert!(
        !gate.on_report(&record("i-1", InstanceState::Ready), 4, 10_100),
        "newer, but gone is gone"
    );
    assert_eq!(gate.state(20_000), GateState::Closed);
}

#[test]
fn a_replaced_incarnation_never_returns() {
    let mut gate = serving();
    assert!(gate.on_report(&record("i-2", InstanceState::Ready), 1, 5_000));
    assert_eq!(gate.id(), Some("i-2"));
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 9, 5_100));
    assert!(!gate.on_leave(&incarnation("i-1"), 5_200));
    assert_eq!((gate.id(), gate.state(5_300)), (Some("i-2"), GateState::Open));
}

#[test]
fn an_end_known_from_an_earlier_life_closes_it_at_once() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.restore(&record("i-1", InstanceState::Draining), 50);
    assert_eq!(gate.state(50), GateState::Closed);

    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record("i-1", InstanceState::Ready), 7, 20);
    gate.restore(&record("i-1", InstanceState::Left), 50);
    assert_eq!(gate.state(50), GateState::Closed);

    // The first thing heard after a kill is an end that the earlier life may have acknowledged.
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record("i-1", InstanceState::Draining), 7, 20);
    assert_eq!(gate.state(20), GateState::Closed);
}

#[test]
fn what_coordinators_remember_does_not_replace_a_newer_incarnation() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record("i-2", InstanceState::Ready), 1, 20);
    gate.restore(&record("i-1", InstanceState::Left), 50);
    assert_eq!((gate.id(), gate.state(60)), (Some("i-2"), GateState::Open));
}

#[test]
fn without_an_upstream_nothing_passes() {
    let gate = DrainGate::new(DRAIN_MS);
    assert_eq!(gate.state(0), GateState::Absent);
    assert_eq!(gate.record(0), None);
}

#[test]
fn a_version_without_end_is_cut_and_one_life_has_one_version() {
    let mut gate = DrainGate::new(2_000);
    let long =
        InstanceRecord { version: "é".repeat(1_000_000), ..record("i-1", InstanceState::Ready) };
    gate.on_report(&long, 1, 0);
    let kept = gate.version().map(str::len);
    assert!(kept.is_some_and(|bytes| bytes <= MAX_VERSION_BYTES), "{kept:?}");
    gate.on_report(&InstanceRecord { version: "v2".to_owned(), ..long }, 2, 10);
    assert_ne!(gate.version(), Some("v2"), "an incarnation does not change its software");
}

/// What arrives at a sidecar.
#[derive(Clone, Copy)]
enum Arrival {
    Beat(&'static str, u64),
    Drain(&'static str, u64),
    Leave(&'static str),
    /// The upstream answered a call that was meant for this one.
    Answers(&'static str),
    /// It said that it is another one.
    Denies(&'static str),
    /// It ended without a word.
    Ends(&'static str),
}

fn after(arrivals: &[Arrival]) -> (Option<String>, GateState) {
    let mut gate = DrainGate::new(DRAIN_MS);
    for (step, arrival) in arrivals.iter().enumerate() {
        let now = step as u64 * 100;
        match *arrival {
            Arrival::Beat(id, sequence) => {
                gate.on_report(&record(id, InstanceState::Ready), sequence, now);
            }
            Arrival::Drain(id, sequence) => {
                gate.on_report(&record(id, InstanceState::Draining), sequence, now);
            }
            Arrival::Leave(id) => {
                gate.on_leave(&incarnation(id), now);
            }
            Arrival::Answers(id) => gate.on_confirmed(id),
            Arrival::Denies(id) => {
                gate.on_wrong_instance(id);
            }
            Arrival::Ends(id) => {
                gate.on_crash(id);
            }
        }
    }
    (gate.id().map(str::to_owned), gate.state(60_000))
}

#[test]
fn late_messages_of_an_earlier_incarnation_never_bring_it_back() {
    use Arrival::{Answers, Beat, Denies, Drain, Ends, Leave};
    use GateState::{Absent, Closed, Open};
    let rows: [(&str, &[Arrival], Option<&str>, GateState); 15] = [
        ("register, crash, register", &[Beat("a", 1), Beat("b", 1)], Some("b"), Open),
        ("a late one, known", &[Beat("a", 1), Beat("b", 1), Beat("a", 9)], Some("b"), Open),
        ("its late end", &[Beat("a", 1), Beat("b", 1), Drain("a", 9)], Some("b"), Open),
        ("its late leave", &[Beat("a", 1), Beat("b", 1), Leave("a")], Some("b"), Open),
        ("the end of one never heard of", &[Beat("b", 1), Drain("a", 4)], Some("b"), Open),
        (
            "a late one never heard of: the upstream denies it",
            &[Beat("b", 1), Beat("a", 3), Denies("a")],
            Some("b"),
            Open,
        ),
        (
            "and again",
            &[Beat("b", 1), Beat("a", 3), Denies("a"), Beat("a", 4), Beat("b", 2)],
            Some("b"),
            Open,
        ),
        (
            "denied in error: it is believed again",
            &[Beat("a", 1), Beat("b", 1), Denies("b"), Denies("a")],
            Some("b"),
            Open,
        ),
        (
            "denied in error after an answer",
            &[Beat("a", 1), Beat("b", 1), Answers("b"), Denies("b"), Beat("b", 2)],
            Some("b"),
            Open,
        ),
        ("it ended without a word", &[Beat("a", 1), Ends("a")], None, Absent),
        ("it lives after all", &[Beat("a", 1), Ends("a"), Beat("a", 2)], Some("a"), Open),
        (
            "a late beat of the one that ended",
            &[Beat("a", 1), Ends("a"), Beat("b", 1), Beat("a", 2)],
            Some("b"),
            Open,
        ),
        ("it ended while it left", &[Beat("a", 1), Drain("a", 2), Ends("a")], Some("a"), Closed),
        ("the only one is denied", &[Beat("a", 1), Denies("a")], None, Absent),
        (
            "drained, then a late beat of its own",
            &[Beat("a", 1), Drain("a", 3), Beat("a", 2)],
            Some("a"),
            Closed,
        ),
    ];
    for (name, arrivals, id, state) in rows {
        assert_eq!(after(arrivals), (id.map(str::to_owned), state), "{name}");
    }
}

/// An upstream that tells when it started.
fn born(id: &str, born_ms: u64, state: InstanceState) -> InstanceRecord {
    InstanceRecord { born_ms, ..record(id, state) }
}

#[test]
fn one_that_starts_again_under_its_id_serves_though_the_earlier_start_had_left() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&born("i-1", 1_000, InstanceState::Ready), 7, 0);
    gate.on_report(&born("i-1", 1_000, InstanceState::Draining), 8, 100);
    gate.on_leave(&born("i-1", 1_000, InstanceState::Left).incarnation(), 200);
    assert_eq!(gate.state(5_000), GateState::Closed);
    // Its sequence begins anew.
    assert!(gate.on_report(&born("i-1", 9_000, InstanceState::Ready), 1, 5_000));
    assert_eq!(gate.state(5_000), GateState::Open);
    assert_eq!(gate.record(5_000).map(|record| record.born_ms), Some(9_000));
}

#[test]
fn words_of_an_earlier_start_change_nothing_after_the_later_one() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&born("i-1", 1_000, InstanceState::Ready), 7, 0);
    gate.on_report(&born("i-1", 9_000, InstanceState::Ready), 1, 500);
    assert!(!gate.on_report(&born("i-1", 1_000, InstanceState::Ready), 9, 600), "a held up beat");
    assert!(
        !gate.on_report(&born("i-1", 1_000, InstanceState::Draining), 10, 700),
        "a held up end"
    );
    assert!(!gate.on_leave(&born("i-1", 1_000, InstanceState::Left).incarnation(), 800));
    assert_eq!(gate.state(900), GateState::Open);
    // A sidecar that never heard of the earlier one knows by the times of start.
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&born("i-1", 9_000, InstanceState::Ready), 1, 0);
    assert!(!gate.on_report(&born("i-1", 1_000, InstanceState::Ready), 30, 100));
    assert_eq!(gate.record(200).map(|record| record.born_ms), Some(9_000));
}

#[test]
fn a_restart_within_one_beat_is_another_incarnation() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&born("i-1", 1_000, InstanceState::Ready), 5, 0);
    let again =
        InstanceRecord { cold_remaining_ms: 3_000, ..born("i-1", 1_900, InstanceState::Ready) };
    assert!(gate.on_report(&again, 1, 1_500), "the sequence is lower, and the start another");
    assert!(gate.is_cold(2_000));
}

#[test]
fn without_times_of_start_one_id_is_one_incarnation() {
    let mut gate = serving();
    gate.on_report(&born("i-1", 9_000, InstanceState::Ready), 2, 100);
    assert!(gate.on_leave(&incarnation("i-1"), 200), "a leave without a body");
    assert_eq!(gate.state(5_000), GateState::Closed);
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 9, 5_100), "gone is gone");
}

#[test]
fn one_that_becomes_cold_again_is_news() {
    let mut gate = serving();
    let cold = InstanceRecord { cold_remaining_ms: 3_000, ..record("i-1", InstanceState::Ready) };
    assert!(gate.on_report(&cold, 2, 1_000));
    let later = InstanceRecord { cold_remaining_ms: 1_500, ..cold.clone() };
    assert!(!gate.on_report(&later, 3, 2_500), "it is as cold as was known");
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 4, 4_000));
    assert!(!gate.is_cold(4_000));
}
