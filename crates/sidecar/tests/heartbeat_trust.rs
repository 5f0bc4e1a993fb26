//! Which heartbeats a process that has just started takes for proof that the upstream is ready.

use mesh::{Incarnation, InstanceRecord, InstanceState};
use sidecar::HeartbeatTrust;

fn ready(id: &str) -> InstanceRecord {
    let incarnation = Incarnation { id: id.to_owned(), born_ms: 0 };
    InstanceRecord { state: InstanceState::Ready, ..InstanceRecord::departed(&incarnation) }
}

#[test]
fn a_heartbeat_waits_for_what_the_coordinators_know() {
    let mut trust = HeartbeatTrust::default();
    assert!(!trust.admits(&ready("i-1"), 4, 100));
    let held = trust.informed().expect("it is held");
    assert_eq!((held.record.id.as_str(), held.sequence), ("i-1", 4));
    assert!(trust.admits(&ready("i-1"), 5, 200));
}

#[test]
fn a_departure_never_waits() {
    let leaving = InstanceRecord { state: InstanceState::Draining, ..ready("i-1") };
    assert!(HeartbeatTrust::default().admits(&leaving, 4, 0));
}

#[test]
fn without_coordinators_the_second_heartbeat_counts_if_it_is_late_enough() {
    for (name, first, second, now, admitted) in [
        ("the next one, late", ("i-1", 4), ("i-1", 5), 3_000, true),
        ("the next one, early", ("i-1", 4), ("i-1", 5), 2_999, false),
        ("an older one", ("i-1", 4), ("i-1", 3), 9_000, false),
        ("the same once more", ("i-1", 4), ("i-1", 4), 9_000, false),
        ("another incarnation", ("i-1", 4), ("i-2", 9), 9_000, false),
    ] {
        let mut trust = HeartbeatTrust::default();
        assert!(!trust.admits(&ready(first.0), first.1, 1_500), "{name}");
        assert_eq!(trust.admits(&ready(second.0), second.1, now), admitted, "{name}");
    }
}

/// Guards against a late heartbeat that opens the gate after a departure that was acknowledged though no
/// coordinator held it: they know of all but that one.
#[test]
fn an_incarnation_that_may_have_left_unheld_needs_a_second_heartbeat() {
    let mut trust = HeartbeatTrust::default();
    trust.doubt(Incarnation { id: "i-1".to_owned(), born_ms: 0 });
    assert!(!trust.admits(&ready("i-1"), 4, 100));
    assert_eq!(trust.informed(), None);
    assert!(trust.admits(&ready("i-2"), 1, 200), "another upstream is in no doubt");
    assert!(!trust.admits(&ready("i-1"), 5, 2_000));
    assert!(trust.admits(&ready("i-1"), 6, 3_500));
    assert!(trust.admits(&ready("i-1"), 7, 3_600));
}
