//! Canaries over real processes: a new version of a service's upstreams takes over, or is taken back,
//! while a coordinator is killed.

mod fleet;

use fleet::{wait, Fleet, Running, Upstream, SERVICE};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const CALLERS: u8 = 11;
const FORMER: u8 = 12;
const NEW: u8 = 13;
const DURATION_MS: u64 = 8_000;

/// A fleet with one upstream of each version, a canary under way, and one coordinator less.
struct Trial {
    fleet: Fleet,
    _processes: Vec<Running>,
    former: Arc<Upstream>,
    new: Arc<Upstream>,
}

fn begin(network: u8, new_fails: bool) -> Trial {
    let fleet = Fleet::new(network);
    let mut processes: Vec<Running> =
        (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
    processes.push(fleet.start_sidecar(CALLERS, "callers"));
    for host in [FORMER, NEW] {
        processes.push(fleet.start_sidecar(host, SERVICE));
    }
    wait("the first order is taken", || fleet.order(2, 0, 5, "one") == Some(200));
    let (former, new) = (fleet.start_upstream(FORMER), fleet.start_upstream(NEW));
    wait("the upstream in use registers", || fleet.register_version(FORMER, "i-1", "v1", 1, false));
    wait("a call is served", || status(&fleet) == Some(200));
    assert_eq!(fleet.order_canary("", DURATION_MS), 400);
    assert_eq!(fleet.order_canary("v2", DURATION_MS), 200);
    assert_eq!(fleet.order_canary("v2", DURATION_MS), 200, "a resend is acknowledged again");
    assert_eq!(fleet.order_canary("v3", DURATION_MS), 409, "another one is under way");
    new.fails.store(new_fails, Ordering::SeqCst);
    wait("the new upstream registers", || fleet.register_version(NEW, "i-2", "v2", 1, false));
    drop(processes.remove(0));
    Trial { fleet, _processes: processes, former, new }
}

fn status(fleet: &Fleet) -> Option<u16> {
    fleet.call(CALLERS, "/one/x").map(|(status, _)| status)
}

/// Calls until the canary has ended; the phase it ended in.
fn call_until_end(trial: &Trial) -> String {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !ended.load(Ordering::SeqCst) {
                    status(&trial.fleet);
                }
            });
        }
        let mut phase = String::new();
        wait("the canary ends", || {
            phase = trial.fleet.canary_phase().unwrap_or(phase.clone());
            ["promoted", "rolled_back"].contains(&phase.as_str())
        });
        ended.store(true, Ordering::SeqCst);
        phase
    })
}

/// Whether calls are served, and none by this upstream.
fn is_left_out(fleet: &Fleet, upstream: &Upstream) -> bool {
    let before = upstream.runs.load(Ordering::SeqCst);
    let served = (0..20).all(|_| status(fleet) == Some(200));
    served && upstream.runs.load(Ordering::SeqCst) == before
}

#[test]
fn a_good_version_takes_over() {
    let trial = begin(2, false);
    assert_eq!(call_until_end(&trial), "promoted");
    wait("the former version is left out", || is_left_out(&trial.fleet, &trial.former));
    assert!(trial.new.runs.load(Ordering::SeqCst) > 0);
}

#[test]
fn a_bad_version_is_taken_back() {
    let trial = begin(3, true);
    assert_eq!(call_until_end(&trial), "rolled_back");
    wait("the new version is left out", || is_left_out(&trial.fleet, &trial.new));
    assert_eq!(
        trial.fleet.order_canary("v2", DURATION_MS),
        200,
        "a resend does not begin it again"
    );
    assert_eq!(trial.fleet.canary_phase().as_deref(), Some("rolled_back"));
}
