//! Real processes: a core machine that is removed without a signal while its successor stands by, and a
//! disk that is lost right after the next acknowledgement.

mod fleet;

use fleet::{wait_until, Fleet, RunningProcess};
use std::collections::BTreeMap;
use std::fs;

/// The machine that is added as the successor.
const SUCCESSOR: u8 = 4;

/// Sends a configuration to each machine in turn until one acknowledges it; returns that one.
fn acknowledged_by(fleet: &Fleet, hosts: &[u8], expected: u64, version: u64) -> u8 {
    let mut acknowledged_by = None;
    wait_until("a configuration is acknowledged", || {
        let acknowledges =
            |host: &&u8| fleet.put_configuration_at(**host, expected, version, "one") == Some(200);
        acknowledged_by = hosts.iter().find(acknowledges).copied();
        acknowledged_by.is_some()
    });
    acknowledged_by.expect("set above")
}

/// Guards against a configuration that is acknowledged while the vote of a killed machine has not moved: one
/// lost disk then left a group without a quorum, and no read was ever answered again.
#[test]
fn a_configuration_outlives_the_disk_that_is_lost_after_a_removal() {
    let fleet = Fleet::new(26);
    let mut running: BTreeMap<u8, RunningProcess> =
        (1..=3).map(|host| (host, fleet.start_coordinator(host, true))).collect();
    acknowledged_by(&fleet, &[1, 2, 3], 0, 5);
    running.insert(SUCCESSOR, fleet.start_coordinator(SUCCESSOR, false));
    wait_until("the successor is a member", || {
        let added = &["membership_changed", "AddLearners"];
        running.values().any(|coordinator| coordinator.has_logged(added))
    });
    wait_until("the successor has the log", || {
        running[&SUCCESSOR].has_logged(&["leader_changed", "leader=Some"])
    });
    drop(running.remove(&1));
    let lost = acknowledged_by(&fleet, &[2, 3], 5, 6);
    drop(running.remove(&lost));
    fs::remove_dir_all(fleet.data_dir(lost)).expect("the disk is lost");
    running.insert(lost, fleet.start_coordinator(lost, false));
    wait_until("the configuration is read back", || {
        fleet.read_configuration_at(2..=SUCCESSOR).is_some_and(|(version, _)| version == 6)
    });
}
