//! A small fleet serves calls through losses of its processes and disks.

mod fleet;

use fleet::{check_sum, send_random_bytes, wait, Fleet, Running, SERVICE};
use std::fs;
use std::sync::atomic::Ordering;

#[test]
fn a_small_fleet_serves_calls_through_losses() {
    let fleet = Fleet::new(1);
    let mut coordinators: Vec<Option<Running>> =
        (1..=3).map(|host| Some(fleet.start_coordinator(host, true))).collect();
    let _callers_sidecar = fleet.start_sidecar(11, "callers");
    let mut upstreams_sidecar = Some(fleet.start_sidecar(12, SERVICE));
    let upstream = fleet.start_upstream(12);

    assert!(!fleet.is_ready(11), "nobody is ready without a configuration");
    wait("the first order is taken", || fleet.order(2, 0, 5, "one") == Some(200));
    wait("sidecars are ready", || fleet.is_ready(11) && fleet.is_ready(12));
    wait("the upstream registers", || fleet.register(12, "i-1", 1, false));
    wait("a call is served", || {
        fleet.call(11, "/one/x") == Some((200, "/one/x from 12".to_owned()))
    });
    let callers = upstream.callers.lock().expect("not poisoned").clone();
    assert!(callers.iter().all(|caller| caller == "callers"), "{callers:?}");
    assert_eq!(fleet.sure_status(11, "/nowhere/"), 404);

    // Random bytes on every port disturb nothing.
    let ports = &fleet.ports;
    for (host, port) in [
        (1, ports.mesh),
        (1, ports.api),
        (1, ports.metrics),
        (11, ports.outbound),
        (12, ports.inbound),
        (12, ports.registration),
        (12, ports.ready),
        (12, ports.metrics),
    ] {
        send_random_bytes(fleet.ip(host), port);
    }
    wait("calls are served", || fleet.call(11, "/one/y").is_some_and(|(status, _)| status == 200));

    // Bodies short, as long as is sent unasked, and in many grants arrive as they are.
    for bytes in [1, 8 * 1024, 8 * 1024 + 1, 300_000] {
        let body: Vec<u8> = (0..bytes).map(|place: u32| (place % 251) as u8).collect();
        let expected = format!("{bytes} bytes, {}", check_sum(&body));
        wait("a body arrives whole", || {
            fleet.upload(11, "/one/upload", &body) == Some((200, expected.clone()))
        });
    }

    // Orders: a lost race, an old version, a resend, an invalid one.
    assert_eq!(fleet.settled_order(1, 4, 6, "two"), 412);
    assert_eq!(fleet.settled_order(1, 5, 5, "two"), 400);
    assert_eq!(fleet.settled_order(3, 0, 5, "one"), 200, "a resend is acknowledged again");
    wait("the next order is taken", || fleet.order(1, 5, 6, "two") == Some(200));
    wait("it is in force", || fleet.call(11, "/two/x").is_some_and(|(status, _)| status == 200));
    assert_eq!(fleet.sure_status(11, "/one/x"), 404);

    // One coordinator loses its disk and returns as a new member.
    drop(coordinators[0].take());
    fs::remove_dir_all(fleet.data_dir(1)).expect("removed");
    coordinators[0] = Some(fleet.start_coordinator(1, false));
    wait("an order is taken meanwhile", || fleet.order(2, 6, 7, "three") == Some(200));

    // The sidecar beside the upstream is killed: it comes back knowing its upstream.
    drop(upstreams_sidecar.take());
    let restarted = fleet.start_sidecar(12, SERVICE);
    wait("calls are served without a new heartbeat", || {
        fleet.call(11, "/three/x").is_some_and(|(status, _)| status == 200)
    });

    // The upstream leaves, its sidecar is killed, and a late heartbeat comes.
    assert!(fleet.register(12, "i-1", 9, true));
    drop(restarted);
    let _restarted = fleet.start_sidecar(12, SERVICE);
    wait("the late heartbeat arrives", || fleet.register(12, "i-1", 8, false));
    wait("no call passes", || fleet.call(11, "/three/x").is_some_and(|(status, _)| status == 503));
    let before = upstream.runs.load(Ordering::SeqCst);
    for _ in 0..5 {
        assert_eq!(fleet.call(11, "/three/x").map(|(status, _)| status), Some(503));
    }
    assert_eq!(upstream.runs.load(Ordering::SeqCst), before);

    // All coordinators are killed at once; nothing that was taken is lost.
    coordinators.clear();
    let _again: Vec<Running> = (1..=3).map(|host| fleet.start_coordinator(host, false)).collect();
    wait("what was taken is read", || fleet.read() == Some((7, "three".to_owned())));
}
