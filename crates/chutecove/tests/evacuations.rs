//! An evacuated zone gets no calls, also after all coordinators were killed, until it is restored.

mod fleet;

use fleet::{wait, Fleet, Running, SERVICE};
use std::net::Ipv4Addr;
use std::process::{Command, Output};
use std::sync::atomic::Ordering;

/// Zone of all sidecars of the fleet.
const ZONE: &str = "a";

fn zone_verb(fleet: &Fleet, host: u8, arguments: &[&str]) -> Output {
    let address: Ipv4Addr = fleet.ip(host);
    Command::new(env!("CARGO_BIN_EXE_chutecove"))
        .arg("zone")
        .args(arguments)
        .args(["--coordinator", &format!("{address}:{}", fleet.ports.api)])
        .output()
        .expect("the program runs")
}

fn is_taken(fleet: &Fleet, arguments: &[&str]) -> bool {
    (1..=3).any(|host| zone_verb(fleet, host, arguments).status.success())
}

fn listed(fleet: &Fleet) -> Option<String> {
    (1..=3).find_map(|host| {
        let output = zone_verb(fleet, host, &["list"]);
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    })
}

#[test]
fn an_evacuated_zone_gets_no_calls_until_it_is_restored() {
    let fleet = Fleet::new(6);
    let start = |bootstrap| -> Vec<Running> {
        (1..=3).map(|host| fleet.start_coordinator(host, bootstrap)).collect()
    };
    let mut coordinators = start(true);
    let _callers = fleet.start_sidecar(11, "callers");
    let _beside = fleet.start_sidecar(12, SERVICE);
    let upstream = fleet.start_upstream(12);
    wait("the first order is taken", || fleet.order(2, 0, 5, "one") == Some(200));
    wait("the upstream registers", || fleet.register(12, "i-1", 1, false));
    let is_served = || fleet.call(11, "/one/x").is_some_and(|(status, _)| status == 200);
    let is_refused = || fleet.call(11, "/one/x").is_some_and(|(status, _)| status == 503);
    wait("a call is served", is_served);
    assert_eq!(listed(&fleet).as_deref(), Some("no zone is evacuated\n"));

    wait("the order is taken", || is_taken(&fleet, &["evacuate", ZONE]));
    wait("calls are refused", is_refused);
    assert!(is_taken(&fleet, &["evacuate", ZONE]), "it is acknowledged again");
    let list = listed(&fleet).expect("a coordinator is sure");
    assert!(list.starts_with("a  evacuated for "), "{list}");

    // All coordinators are killed at once, and a sidecar starts that knows nothing.
    coordinators.clear();
    coordinators.extend(start(false));
    let _late = fleet.start_sidecar(13, "callers");
    wait("the new sidecar knows its configuration", || fleet.is_ready(13));
    let before = upstream.runs.load(Ordering::SeqCst);
    wait("it refuses calls of known routes", || {
        fleet.call(13, "/one/x").is_some_and(|(status, _)| status == 503)
    });
    assert!(is_refused());
    assert_eq!(upstream.runs.load(Ordering::SeqCst), before);

    wait("the order is taken", || is_taken(&fleet, &["restore", ZONE]));
    wait("calls are served", is_served);
    assert_eq!(listed(&fleet).as_deref(), Some("no zone is evacuated\n"));
}
