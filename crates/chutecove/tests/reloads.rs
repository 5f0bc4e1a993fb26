//! SIGHUP says that a settings file may have changed; it ends no process.

mod fleet;

use fleet::{wait_until, Fleet, SERVICE};

#[test]
fn a_signal_to_reload_ends_no_coordinator_and_loses_nothing() {
    let fleet = Fleet::new(42);
    let coordinators = [1, 2, 3].map(|host| fleet.start_coordinator(host, true));
    let sidecar = fleet.start_sidecar(12, SERVICE);
    let _upstream = fleet.start_upstream(12);
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    wait_until("the upstream registers", || fleet.register(12, "i-1", 1, false));
    coordinators.iter().for_each(|coordinator| coordinator.signal("-HUP"));
    sidecar.signal("-HUP");
    assert_eq!(fleet.put_configuration_until_decided(1, 5, 6, "two"), 200);
    assert_eq!(fleet.status_when_configured(12, "/two/x"), 200);
    assert!(coordinators.into_iter().all(|mut coordinator| coordinator.is_running()));
}
