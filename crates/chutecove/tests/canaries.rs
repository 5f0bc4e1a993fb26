//! Canaries over real processes: a new version of a service's upstreams is promoted or rolled back while
//! a coordinator is killed.

mod fleet;

use fleet::{wait_until, Fleet, RunningProcess, Upstream, SERVICE};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const CALLERS: u8 = 11;
const FORMER: u8 = 12;
const NEW: u8 = 13;
const DURATION_MS: u64 = 8_000;

/// A fleet with one upstream of each version, a running canary, and one of three coordinators killed.
struct CanaryFleet {
    fleet: Fleet,
    _processes: Vec<RunningProcess>,
    former: Arc<Upstream>,
    new: Arc<Upstream>,
}

fn start(network: u8, new_fails: bool) -> CanaryFleet {
    let fleet = Fleet::new(network);
    let mut processes: Vec<RunningProcess> =
        (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
    processes.push(fleet.start_sidecar(CALLERS, "callers"));
    for host in [FORMER, NEW] {
        processes.push(fleet.start_sidecar(host, SERVICE));
    }
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    let (former, new) = (fleet.start_upstream(FORMER), fleet.start_upstream(NEW));
    wait_until("the upstream of the current version registers", || {
        fleet.register_version(FORMER, "i-1", "v1", 1, false)
    });
    wait_until("a call is served", || status(&fleet) == Some(200));
    assert_eq!(fleet.start_canary("", DURATION_MS), 400);
    assert_eq!(fleet.start_canary("v2", DURATION_MS), 200);
    assert_eq!(fleet.start_canary("v2", DURATION_MS), 200, "a retry is acknowledged again");
    assert_eq!(fleet.start_canary("v3", DURATION_MS), 409, "another canary is running");
    new.fails.store(new_fails, Ordering::SeqCst);
    wait_until("the new upstream registers", || fleet.register_version(NEW, "i-2", "v2", 1, false));
    drop(processes.remove(0));
    CanaryFleet { fleet, _processes: processes, former, new }
}

fn status(fleet: &Fleet) -> Option<u16> {
    fleet.call(CALLERS, "/one/x").map(|(status, _)| status)
}

/// Sends calls until the canary ends; returns the phase in which it ended.
fn call_until_ended(canary: &CanaryFleet) -> String {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !ended.load(Ordering::SeqCst) {
                    status(&canary.fleet);
                }
            });
        }
        let mut phase = String::new();
        wait_until("the canary ends", || {
            phase = canary.fleet.canary_phase().unwrap_or(phase.clone());
            ["promoted", "rolled_back"].contains(&phase.as_str())
        });
        ended.store(true, Ordering::SeqCst);
        phase
    })
}

/// Returns whether calls are served, none of them by this upstream.
fn receives_no_calls(fleet: &Fleet, upstream: &Upstream) -> bool {
    let before = upstream.request_count.load(Ordering::SeqCst);
    let served = (0..20).all(|_| status(fleet) == Some(200));
    served && upstream.request_count.load(Ordering::SeqCst) == before
}

#[test]
fn a_good_version_takes_over() {
    let canary = start(2, false);
    assert_eq!(call_until_ended(&canary), "promoted");
    wait_until("the former version receives no calls", || {
        receives_no_calls(&canary.fleet, &canary.former)
    });
    assert!(canary.new.request_count.load(Ordering::SeqCst) > 0);
}

#[test]
fn a_bad_version_is_taken_back() {
    let canary = start(3, true);
    assert_eq!(call_until_ended(&canary), "rolled_back");
    wait_until("the new version receives no calls", || {
        receives_no_calls(&canary.fleet, &canary.new)
    });
    assert_eq!(
        canary.fleet.start_canary("v2", DURATION_MS),
        200,
        "a retry does not start it again"
    );
    assert_eq!(canary.fleet.canary_phase().as_deref(), Some("rolled_back"));
}
