//! When a departure is acknowledged, and when a record from before a restart is trusted.

use mesh::{LastRecord, NodeAddress, NodeRecord};
use sidecar::{is_last_word, ConnectionId, DepartureAnswer, Registrar};
use std::net::Ipv4Addr;

/// How long a report waits for coordinators to hold it.
const WAIT_MS: u64 = 700;
/// How long a departure is reported in vain before it is acknowledged unheld.
const UNHELD_AFTER_MS: u64 = 2_000;

fn last(ended_ms: Option<u32>) -> LastRecord {
    let address = NodeAddress { ip: Ipv4Addr::LOCALHOST, port: 1 };
    let record = NodeRecord {
        address,
        boot_id: 7,
        sequence: 3,
        zone: "a".to_owned(),
        service: "s".to_owned(),
        stopping: false,
        instance: None,
    };
    LastRecord { record, ended_ms }
}

#[test]
fn an_acknowledgement_waits_for_the_linked_coordinators_but_not_for_ever() {
    use DepartureAnswer::{Acknowledged, NotHeld};
    let long = UNHELD_AFTER_MS - WAIT_MS;
    let rows = [
        ("two of three hold it", 0, 10, (2, 3), Some(Acknowledged)),
        ("one of three", 0, 10, (1, 3), None),
        ("one of three for long", 0, WAIT_MS, (1, 3), Some(Acknowledged)),
        ("the only one that is linked", 0, 10, (1, 1), Some(Acknowledged)),
        ("none is linked", 0, WAIT_MS - 1, (0, 0), None),
        ("none is linked for the wait", 0, WAIT_MS, (0, 0), Some(NotHeld)),
        ("none holds it for the wait", 0, WAIT_MS, (0, 3), Some(NotHeld)),
        ("none is linked, reported again", long, WAIT_MS, (0, 0), Some(Acknowledged)),
        ("none holds it, reported again", long, WAIT_MS, (0, 3), Some(Acknowledged)),
        ("none holds it, reported again too soon", long - 1, WAIT_MS, (0, 3), Some(NotHeld)),
        ("two hold it, reported again", long, 10, (2, 3), Some(Acknowledged)),
    ];
    for (name, again_after_ms, waited_ms, holders, expected) in rows {
        let mut registrar = Registrar::default();
        let first_at = 50_000;
        if again_after_ms > 0 {
            report(&mut registrar, 4, first_at);
            registrar.ready(|_| (0, 0), first_at + WAIT_MS);
        }
        let reported_at = first_at + again_after_ms;
        report(&mut registrar, 4, reported_at);
        let ready = registrar.ready(|_| holders, reported_at + waited_ms);
        assert_eq!(ready.first().map(|(_, answer)| *answer), expected, "{name}");
        assert_eq!(registrar.next_tick().is_none(), expected.is_some(), "{name}");
    }
}

/// Guards against an acknowledgement that counts the wait of an earlier departure: the record that the
/// next process gets may be younger than that.
#[test]
fn each_departure_waits_for_its_own_report() {
    let mut registrar = Registrar::default();
    report(&mut registrar, 4, 0);
    registrar.ready(|_| (0, 3), WAIT_MS);
    report(&mut registrar, 5, UNHELD_AFTER_MS);
    let ready = registrar.ready(|_| (0, 3), UNHELD_AFTER_MS + WAIT_MS);
    assert_eq!(ready.first().map(|(_, answer)| *answer), Some(DepartureAnswer::NotHeld));
}

fn report(registrar: &mut Registrar, sequence: u64, now: u64) {
    registrar.defer(ConnectionId::for_tests(1), 0, sequence, now);
}

/// Guards against a record from before a cut that opens the gate: an unheld acknowledgement may have
/// followed it.
#[test]
fn a_record_is_trusted_only_if_no_unheld_acknowledgement_can_have_followed_it() {
    let rows = [
        ("killed and started again at once", Some(350), 50, true),
        ("a slow start takes nothing from it", Some(3_900), 2_000, true),
        ("as long as a process needs for an unheld acknowledgement", Some(2_000), 0, false),
        ("a moment less", Some(1_999), 0, true),
        ("a process may have run between", Some(5_000), 100, false),
        ("the process was heard of later", None, 50, false),
    ];
    for (name, ended_ms, reported_at, trusted) in rows {
        assert_eq!(is_last_word(&last(ended_ms), reported_at), trusted, "{name}");
    }
}
