//! When a departure is acknowledged, and when a record from before a restart is trusted.

use mesh::{LastRecord, NodeAddress, NodeRecord};
use sidecar::{is_last_word, ConnectionId, Registrar};
use std::net::Ipv4Addr;

/// When an acknowledgement that no coordinator holds is sent.
const UNHELD_MS: u64 = 600;

fn last(link_ended_ms: Option<u32>) -> LastRecord {
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
    LastRecord { record, link_ended_ms }
}

#[test]
fn an_acknowledgement_waits_for_the_linked_coordinators_but_not_for_ever() {
    let connection = ConnectionId::for_tests(1);
    let rows = [
        ("two of three hold it", 10, (2, 3), true),
        ("one of three", 10, (1, 3), false),
        ("the only one that is linked", 10, (1, 1), true),
        ("none is linked", UNHELD_MS - 1, (0, 0), false),
        ("none is linked for long", UNHELD_MS, (0, 0), true),
        ("none holds it for long", UNHELD_MS, (0, 3), true),
    ];
    for (name, now, holders, sent) in rows {
        let mut registrar = Registrar::default();
        registrar.defer(connection, 0, 4, 0);
        assert_eq!(!registrar.ready(|_| holders, now).is_empty(), sent, "{name}");
        assert_eq!(registrar.next_tick().is_none(), sent, "{name}");
    }
}

/// Guards against a record from before a cut that opens the gate: an unheld acknowledgement may have
/// followed it.
#[test]
fn a_record_is_trusted_only_if_no_unheld_acknowledgement_can_have_followed_it() {
    let rows = [
        ("killed and started again at once", Some(350), 50, true),
        ("a slow start takes nothing from it", Some(2_300), 2_000, true),
        ("down as long as an unheld acknowledgement takes", Some(600), 0, false),
        ("down a moment less", Some(599), 0, true),
        ("a process lived between, or it was down for long", Some(5_000), 100, false),
        ("the link broke off", None, 50, false),
    ];
    for (name, ended_ms, reported_at, trusted) in rows {
        assert_eq!(is_last_word(&last(ended_ms), reported_at), trusted, "{name}");
    }
}
