//! Tests of `DrainGate`: which incarnation is current and how its shutdown is remembered.

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
    assert_eq!(
        gate.state(12_000),
        GateState::Closed,
        "a second shutdown report does not reopen the gate"
    );
}

#[test]
fn a_late_heartbeat_does_not_bring_an_incarnation_back() {
    let mut gate = serving();
    gate.on_report(&record("i-1", InstanceState::Draining), 3, 10_000);
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 2, 10_100), "an older report");
    assert!(
        !gate.on_report(&record("i-1", InstanceState::Ready), 4, 10_100),
        "a newer report after the shutdown"
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
    gate.restore(&record("i-1", InstanceState::Draining), true, 50);
    assert_eq!(gate.state(50), GateState::Closed);

    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record("i-1", InstanceState::Ready), 7, 20);
    gate.restore(&record("i-1", InstanceState::Left), true, 50);
    assert_eq!(gate.state(50), GateState::Closed);

    // After a kill of the sidecar the first report is a shutdown, which the previous process may have
    // acknowledged already.
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record("i-1", InstanceState::Draining), 7, 20);
    assert_eq!(gate.state(20), GateState::Closed);
}

#[test]
fn what_coordinators_remember_does_not_replace_a_newer_incarnation() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record("i-2", InstanceState::Ready), 1, 20);
    gate.restore(&record("i-1", InstanceState::Left), true, 50);
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

/// An event that arrives at a sidecar.
#[derive(Clone, Copy)]
enum Arrival {
    Heartbeat(&'static str, u64),
    Drain(&'static str, u64),
    Leave(&'static str),
    /// The upstream answered a call that was addressed to this instance.
    Answers(&'static str),
    /// The upstream rejected a call because it is not this instance.
    Rejects(&'static str),
    /// It terminated without deregistering.
    Crashes(&'static str),
    /// Coordinators pass on its record, ready, from before a restart of the sidecar.
    Restored(&'static str),
}

fn state_after(arrivals: &[Arrival]) -> (Option<String>, GateState) {
    let mut gate = DrainGate::new(DRAIN_MS);
    for (step, arrival) in arrivals.iter().enumerate() {
        let now = step as u64 * 100;
        match *arrival {
            Arrival::Heartbeat(id, sequence) => {
                gate.on_report(&record(id, InstanceState::Ready), sequence, now);
            }
            Arrival::Drain(id, sequence) => {
                gate.on_report(&record(id, InstanceState::Draining), sequence, now);
            }
            Arrival::Leave(id) => {
                gate.on_leave(&incarnation(id), now);
            }
            Arrival::Answers(id) => gate.on_confirmed(id),
            Arrival::Rejects(id) => {
                gate.on_wrong_instance(id);
            }
            Arrival::Crashes(id) => {
                gate.on_crash(id);
            }
            Arrival::Restored(id) => {
                gate.restore(&record(id, InstanceState::Ready), true, now);
            }
        }
    }
    (gate.id().map(str::to_owned), gate.state(60_000))
}

#[test]
fn late_messages_of_an_earlier_incarnation_never_bring_it_back() {
    use Arrival::{Answers, Crashes, Drain, Heartbeat, Leave, Rejects};
    use GateState::{Absent, Closed, Open};
    let rows: [(&str, &[Arrival], Option<&str>, GateState); 15] = [
        ("register, crash, register", &[Heartbeat("a", 1), Heartbeat("b", 1)], Some("b"), Open),
        (
            "a late heartbeat of a known incarnation",
            &[Heartbeat("a", 1), Heartbeat("b", 1), Heartbeat("a", 9)],
            Some("b"),
            Open,
        ),
        (
            "its late shutdown report",
            &[Heartbeat("a", 1), Heartbeat("b", 1), Drain("a", 9)],
            Some("b"),
            Open,
        ),
        (
            "its late deregistration",
            &[Heartbeat("a", 1), Heartbeat("b", 1), Leave("a")],
            Some("b"),
            Open,
        ),
        (
            "the shutdown report of an unknown incarnation",
            &[Heartbeat("b", 1), Drain("a", 4)],
            Some("b"),
            Open,
        ),
        (
            "a late heartbeat of an unknown incarnation that the upstream rejects",
            &[Heartbeat("b", 1), Heartbeat("a", 3), Rejects("a")],
            Some("b"),
            Open,
        ),
        (
            "the same, followed by another late heartbeat",
            &[
                Heartbeat("b", 1),
                Heartbeat("a", 3),
                Rejects("a"),
                Heartbeat("a", 4),
                Heartbeat("b", 2),
            ],
            Some("b"),
            Open,
        ),
        (
            "rejected by mistake: it is reinstated",
            &[Heartbeat("a", 1), Heartbeat("b", 1), Rejects("b"), Rejects("a")],
            Some("b"),
            Open,
        ),
        (
            "rejected by mistake after an answer",
            &[Heartbeat("a", 1), Heartbeat("b", 1), Answers("b"), Rejects("b"), Heartbeat("b", 2)],
            Some("b"),
            Open,
        ),
        ("it crashed", &[Heartbeat("a", 1), Crashes("a")], None, Absent),
        (
            "it is alive after a reported crash",
            &[Heartbeat("a", 1), Crashes("a"), Heartbeat("a", 2)],
            Some("a"),
            Open,
        ),
        (
            "a late heartbeat of the crashed incarnation",
            &[Heartbeat("a", 1), Crashes("a"), Heartbeat("b", 1), Heartbeat("a", 2)],
            Some("b"),
            Open,
        ),
        (
            "it crashed while draining",
            &[Heartbeat("a", 1), Drain("a", 2), Crashes("a")],
            Some("a"),
            Closed,
        ),
        ("the only one is rejected", &[Heartbeat("a", 1), Rejects("a")], None, Absent),
        (
            "drained, then a late heartbeat of its own",
            &[Heartbeat("a", 1), Drain("a", 3), Heartbeat("a", 2)],
            Some("a"),
            Closed,
        ),
    ];
    for (name, arrivals, id, state) in rows {
        assert_eq!(state_after(arrivals), (id.map(str::to_owned), state), "{name}");
    }
}

/// Guards against a departure that is lost because the sidecar has just started and does not know the
/// incarnation: an old record or a late heartbeat then opened the gate for as long as it lived.
#[test]
fn a_departure_holds_in_whatever_order_it_arrives_with_older_messages() {
    use Arrival::{Heartbeat, Leave, Restored};
    let old = [Heartbeat("a", 9), Restored("a")];
    let orders: [&[Arrival]; 7] = [
        &[Leave("a")],
        &[Leave("a"), old[0]],
        &[Leave("a"), old[1]],
        &[Leave("a"), old[0], old[1]],
        &[Leave("a"), old[1], old[0]],
        &[old[0], Leave("a"), old[1]],
        &[old[1], Leave("a"), old[0]],
    ];
    for order in orders {
        assert_eq!(state_after(order), (Some("a".to_owned()), GateState::Closed));
    }
}

#[test]
fn a_departure_of_one_that_is_not_current_is_remembered() {
    use Arrival::{Drain, Heartbeat, Leave, Rejects, Restored};
    use GateState::{Closed, Open};
    let rows: [(&str, &[Arrival], Option<&str>, GateState); 6] = [
        (
            "it left while another served, then its late heartbeat",
            &[Heartbeat("b", 1), Leave("a"), Heartbeat("a", 9)],
            Some("b"),
            Open,
        ),
        (
            "it left while another was leaving, then its late heartbeat",
            &[Heartbeat("b", 1), Drain("b", 2), Leave("a"), Heartbeat("a", 9)],
            Some("b"),
            Closed,
        ),
        (
            "it drained while a late heartbeat had replaced it, and is reinstated",
            &[Heartbeat("b", 1), Heartbeat("a", 3), Drain("b", 2), Rejects("a")],
            Some("b"),
            Closed,
        ),
        (
            "it left while a late heartbeat had replaced it, and is reinstated",
            &[Heartbeat("b", 1), Heartbeat("a", 3), Leave("b"), Rejects("a")],
            Some("b"),
            Closed,
        ),
        (
            "the departure of an earlier one, then the next one registers",
            &[Leave("a"), Heartbeat("b", 1), Restored("a"), Heartbeat("a", 9)],
            Some("b"),
            Open,
        ),
        (
            "two departures, then late heartbeats of both",
            &[Leave("a"), Leave("b"), Heartbeat("a", 9), Heartbeat("b", 9)],
            Some("b"),
            Closed,
        ),
    ];
    for (name, arrivals, id, state) in rows {
        assert_eq!(state_after(arrivals), (id.map(str::to_owned), state), "{name}");
    }
}

#[test]
fn a_departure_without_a_start_time_belongs_to_the_first_start_that_is_heard_of() {
    let mut gate = DrainGate::new(DRAIN_MS);
    assert!(gate.on_leave(&incarnation("i-1"), 0), "coordinators must hear of it");
    gate.restore(&record_with_start("i-1", 1_000, InstanceState::Ready), true, 100);
    assert_eq!(gate.state(100), GateState::Closed);
    assert!(gate.on_report(&record_with_start("i-1", 9_000, InstanceState::Ready), 1, 5_000));
    assert_eq!(gate.state(5_000), GateState::Open);
}

#[test]
fn many_departures_later_the_oldest_is_forgotten_and_the_newest_still_hold() {
    let mut gate = DrainGate::new(DRAIN_MS);
    for number in 0..200 {
        gate.on_leave(&incarnation(&format!("i-{number}")), number);
    }
    gate.restore(&record("i-199", InstanceState::Ready), true, 300);
    assert!(!gate.on_report(&record("i-190", InstanceState::Ready), 9, 300));
    assert_eq!((gate.id(), gate.state(300)), (Some("i-199"), GateState::Closed));
}

/// Record of an upstream that reports its start time.
fn record_with_start(id: &str, born_ms: u64, state: InstanceState) -> InstanceRecord {
    InstanceRecord { born_ms, ..record(id, state) }
}

#[test]
fn one_that_starts_again_under_its_id_serves_though_the_earlier_start_had_left() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Ready), 7, 0);
    gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Draining), 8, 100);
    gate.on_leave(&record_with_start("i-1", 1_000, InstanceState::Left).incarnation(), 200);
    assert_eq!(gate.state(5_000), GateState::Closed);
    // Its sequence numbers start over.
    assert!(gate.on_report(&record_with_start("i-1", 9_000, InstanceState::Ready), 1, 5_000));
    assert_eq!(gate.state(5_000), GateState::Open);
    assert_eq!(gate.record(5_000).map(|record| record.born_ms), Some(9_000));
}

#[test]
fn words_of_an_earlier_start_change_nothing_after_the_later_one() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Ready), 7, 0);
    gate.on_report(&record_with_start("i-1", 9_000, InstanceState::Ready), 1, 500);
    assert!(
        !gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Ready), 9, 600),
        "a delayed heartbeat"
    );
    assert!(
        !gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Draining), 10, 700),
        "a delayed shutdown report"
    );
    assert!(
        !gate.on_leave(&record_with_start("i-1", 1_000, InstanceState::Left).incarnation(), 800)
    );
    assert_eq!(gate.state(900), GateState::Open);
    // A sidecar that never saw the earlier incarnation recognizes it by its start time.
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record_with_start("i-1", 9_000, InstanceState::Ready), 1, 0);
    assert!(!gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Ready), 30, 100));
    assert_eq!(gate.record(200).map(|record| record.born_ms), Some(9_000));
}

#[test]
fn a_restart_within_one_beat_is_another_incarnation() {
    let mut gate = DrainGate::new(DRAIN_MS);
    gate.on_report(&record_with_start("i-1", 1_000, InstanceState::Ready), 5, 0);
    let again = InstanceRecord {
        cold_remaining_ms: 3_000,
        ..record_with_start("i-1", 1_900, InstanceState::Ready)
    };
    assert!(
        gate.on_report(&again, 1, 1_500),
        "a lower sequence number, but a different start time"
    );
    assert!(gate.is_cold(2_000));
}

#[test]
fn without_times_of_start_one_id_is_one_incarnation() {
    let mut gate = serving();
    gate.on_report(&record_with_start("i-1", 9_000, InstanceState::Ready), 2, 100);
    assert!(gate.on_leave(&incarnation("i-1"), 200), "a deregistration without a body");
    assert_eq!(gate.state(5_000), GateState::Closed);
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 9, 5_100), "it has deregistered");
}

#[test]
fn one_that_becomes_cold_again_is_news() {
    let mut gate = serving();
    let cold = InstanceRecord { cold_remaining_ms: 3_000, ..record("i-1", InstanceState::Ready) };
    assert!(gate.on_report(&cold, 2, 1_000));
    let later = InstanceRecord { cold_remaining_ms: 1_500, ..cold.clone() };
    assert!(!gate.on_report(&later, 3, 2_500), "the cold phase ends when it was expected to");
    assert!(!gate.on_report(&record("i-1", InstanceState::Ready), 4, 4_000));
    assert!(!gate.is_cold(4_000));
}
