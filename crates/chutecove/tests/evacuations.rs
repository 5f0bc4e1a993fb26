//! An evacuated zone receives no calls until it is restored, even after all coordinators are killed.

mod fleet;

use fleet::{wait_until, Fleet, RunningProcess, SERVICE};
use std::net::Ipv4Addr;
use std::process::{Command, Output};
use std::sync::atomic::Ordering;

/// Zone of all sidecars in the fleet.
const ZONE: &str = "a";

fn run_zone_command(fleet: &Fleet, host: u8, arguments: &[&str]) -> Output {
    let address: Ipv4Addr = fleet.ip(host);
    Command::new(env!("CARGO_BIN_EXE_chutecove"))
        .arg("zone")
        .args(arguments)
        .args(["--coordinator", &format!("{address}:{}", fleet.ports.api)])
        .output()
        .expect("the command runs")
}

fn is_accepted(fleet: &Fleet, arguments: &[&str]) -> bool {
    (1..=3).any(|host| run_zone_command(fleet, host, arguments).status.success())
}

fn list_zones(fleet: &Fleet) -> Option<String> {
    (1..=3).find_map(|host| {
        let output = run_zone_command(fleet, host, &["list"]);
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    })
}

#[test]
fn an_evacuated_zone_gets_no_calls_until_it_is_restored() {
    let fleet = Fleet::new(6);
    let start = |bootstrap| -> Vec<RunningProcess> {
        (1..=3).map(|host| fleet.start_coordinator(host, bootstrap)).collect()
    };
    let mut coordinators = start(true);
    let _callers_sidecar = fleet.start_sidecar(11, "callers");
    let _upstream_sidecar = fleet.start_sidecar(12, SERVICE);
    let upstream = fleet.start_upstream(12);
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    wait_until("the upstream registers", || fleet.register(12, "i-1", 1, false));
    let is_served = || fleet.call(11, "/one/x").is_some_and(|(status, _)| status == 200);
    let is_refused = || fleet.call(11, "/one/x").is_some_and(|(status, _)| status == 503);
    wait_until("a call is served", is_served);
    assert_eq!(list_zones(&fleet).as_deref(), Some("no zone is evacuated\n"));

    wait_until("the order is accepted", || is_accepted(&fleet, &["evacuate", ZONE]));
    wait_until("calls are refused", is_refused);
    assert!(is_accepted(&fleet, &["evacuate", ZONE]), "a retry is acknowledged again");
    let list = list_zones(&fleet).expect("a coordinator returns the list");
    assert!(list.starts_with("a  evacuated for "), "{list}");

    // All coordinators are killed at once, and a sidecar without any state starts.
    coordinators.clear();
    coordinators.extend(start(false));
    let _new_sidecar = fleet.start_sidecar(13, "callers");
    wait_until("the new sidecar knows its configuration", || fleet.is_ready(13));
    let before = upstream.request_count.load(Ordering::SeqCst);
    wait_until("the new sidecar refuses calls of known routes", || {
        fleet.call(13, "/one/x").is_some_and(|(status, _)| status == 503)
    });
    assert!(is_refused());
    assert_eq!(upstream.request_count.load(Ordering::SeqCst), before);

    wait_until("the order is accepted", || is_accepted(&fleet, &["restore", ZONE]));
    wait_until("calls are served", is_served);
    assert_eq!(list_zones(&fleet).as_deref(), Some("no zone is evacuated\n"));
}
