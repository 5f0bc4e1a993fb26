//! A small fleet keeps serving calls while processes and disks are lost.

mod fleet;

use fleet::{checksum, send_random_bytes, wait_until, Fleet, RunningProcess, SERVICE};
use std::fs;
use std::sync::atomic::Ordering;

#[test]
fn a_small_fleet_serves_calls_through_losses() {
    let fleet = Fleet::new(1);
    let mut coordinators: Vec<Option<RunningProcess>> =
        (1..=3).map(|host| Some(fleet.start_coordinator(host, true))).collect();
    let _callers_sidecar = fleet.start_sidecar(11, "callers");
    let mut upstreams_sidecar = Some(fleet.start_sidecar(12, SERVICE));
    let upstream = fleet.start_upstream(12);

    assert!(!fleet.is_ready(11), "no sidecar is ready without a configuration");
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    wait_until("sidecars are ready", || fleet.is_ready(11) && fleet.is_ready(12));
    wait_until("the upstream registers", || fleet.register(12, "i-1", 1, false));
    wait_until("a call is served", || {
        fleet.call(11, "/one/x") == Some((200, "/one/x from 12".to_owned()))
    });
    let callers = upstream.callers.lock().expect("not poisoned").clone();
    assert!(callers.iter().all(|caller| caller == "callers"), "{callers:?}");
    assert_eq!(fleet.status_when_configured(11, "/nowhere/"), 404);

    // Random bytes on any port do not affect the fleet.
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
    wait_until("calls are served", || {
        fleet.call(11, "/one/y").is_some_and(|(status, _)| status == 200)
    });

    // Bodies arrive intact: short, at and above the size that is sent without a grant, and in many grants.
    for bytes in [1, 8 * 1024, 8 * 1024 + 1, 300_000] {
        let body: Vec<u8> = (0..bytes).map(|position: u32| (position % 251) as u8).collect();
        let expected = format!("{bytes} bytes, {}", checksum(&body));
        wait_until("a body arrives intact", || {
            fleet.upload(11, "/one/upload", &body) == Some((200, expected.clone()))
        });
    }

    // Configurations with a stale precondition, with an old version, and sent again.
    assert_eq!(fleet.put_configuration_until_decided(1, 4, 6, "two"), 412);
    assert_eq!(fleet.put_configuration_until_decided(1, 5, 5, "two"), 400);
    assert_eq!(
        fleet.put_configuration_until_decided(3, 0, 5, "one"),
        200,
        "a retry is acknowledged again"
    );
    wait_until("the next configuration is accepted", || {
        fleet.put_configuration(1, 5, 6, "two") == Some(200)
    });
    wait_until("the new configuration is in force", || {
        fleet.call(11, "/two/x").is_some_and(|(status, _)| status == 200)
    });
    assert_eq!(fleet.status_when_configured(11, "/one/x"), 404);

    // A coordinator loses its disk and returns as a new member.
    drop(coordinators[0].take());
    fs::remove_dir_all(fleet.data_dir(1)).expect("removed");
    coordinators[0] = Some(fleet.start_coordinator(1, false));
    wait_until("a configuration is accepted while a disk is lost", || {
        fleet.put_configuration(2, 6, 7, "three") == Some(200)
    });

    // The sidecar of the upstream is killed; after the restart it still knows its upstream.
    drop(upstreams_sidecar.take());
    let restarted_sidecar = fleet.start_sidecar(12, SERVICE);
    wait_until("calls are served without a new heartbeat", || {
        fleet.call(11, "/three/x").is_some_and(|(status, _)| status == 200)
    });

    // The upstream drains, its sidecar is killed, and a delayed heartbeat arrives.
    assert!(fleet.register(12, "i-1", 9, true));
    drop(restarted_sidecar);
    let _restarted_again = fleet.start_sidecar(12, SERVICE);
    wait_until("the delayed heartbeat arrives", || fleet.register(12, "i-1", 8, false));
    wait_until("no call is forwarded", || {
        fleet.call(11, "/three/x").is_some_and(|(status, _)| status == 503)
    });
    let before = upstream.request_count.load(Ordering::SeqCst);
    for _ in 0..5 {
        assert_eq!(fleet.call(11, "/three/x").map(|(status, _)| status), Some(503));
    }
    assert_eq!(upstream.request_count.load(Ordering::SeqCst), before);

    // All coordinators are killed at once; the accepted configuration is not lost.
    coordinators.clear();
    let _restarted_coordinators: Vec<RunningProcess> =
        (1..=3).map(|host| fleet.start_coordinator(host, false)).collect();
    wait_until("the accepted configuration is read", || {
        fleet.read_configuration() == Some((7, "three".to_owned()))
    });
}
