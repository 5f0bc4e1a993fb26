//! Guards against quarantines that come back after an operator cleared a request, and against
//! clearings that end a newer quarantine.
//!
//! Both happened while a clearing did not say what it clears and was sent only once. Sidecars went
//! on refusing a cleared request for 40 s and more, and a request that was rightly in quarantine
//! again crashed up to two more upstreams per sidecar after a coordinator or a link had come back:
//!
//! - A coordinator that was cut off or restarted at that moment missed the clearing and kept
//!   sending the crashes to sidecars that connected to it (seen with seed 2).
//! - The report of a sidecar to a new coordinator contained quarantines but no clearings, so a
//!   coordinator that had missed a clearing reinstated the quarantine on all nodes (seed 8).
//! - A clearing that was received again 40 s later ended whatever quarantine was in force by then.
//! - A clearing was lost if the coordinator at which the operator made it failed after confirming
//!   it.
//!
//! Quarantines therefore name the crashes that they are based on and clearings the crashes that
//! they end, so both may arrive in any order, late or repeatedly. Clearings are remembered and sent
//! on each new link and connection, and the operator gets the confirmation once a second
//! coordinator has the clearing.
//!
//! The test simulates a fleet in virtual time with the production types `PoisonWatch` and
//! `NoticeLog`. Frames on one connection arrive in order but late, and are lost if the connection
//! ends. Coordinators restart and are cut off from each other while a request is cleared.

mod poison_fleet;

use poison_fleet::{Fleet, CLEARING_SPREAD_MS, QUARANTINE_SPREAD_MS};

/// Number of seeds; each draws different faults and delays.
const SEEDS: u64 = 300;
/// How long faults continue after a clearing, milliseconds.
const FAULTS_MS: u64 = 5_000;

/// Runs a scenario with each seed and fails with the first seeds for which it reports a problem.
fn assert_holds(scenario: impl Fn(&mut Fleet) -> Result<(), String>) {
    let broken = |seed| {
        let problem = scenario(&mut Fleet::new(seed)).err()?;
        Some(format!("seed {seed}: {problem}"))
    };
    let broken: Vec<String> = (0..SEEDS).filter_map(broken).collect();
    let first = broken.iter().take(5).cloned().collect::<Vec<_>>().join("\n");
    assert!(broken.is_empty(), "{} of {SEEDS} seeds:\n{first}", broken.len());
}

/// The upstreams are fixed and an operator clears the request, which then must run everywhere.
fn clear_after_fix(fleet: &mut Fleet, called_meanwhile: bool) -> Result<(), String> {
    fleet.crash_until_in_quarantine()?;
    fleet.fix_upstreams();
    let end = fleet.clear_request() + FAULTS_MS;
    fleet.inject_faults_until(end);
    if called_meanwhile {
        fleet.call_repeatedly_until(end);
    }
    fleet.run_until(end + CLEARING_SPREAD_MS);
    fleet.find_quarantine().map_or(Ok(()), Err)
}

#[test]
fn a_request_that_was_cleared_is_run_again_through_every_sidecar() {
    assert_holds(|fleet| clear_after_fix(fleet, false));
}

#[test]
fn a_request_that_was_cleared_stays_so_while_it_is_called() {
    assert_holds(|fleet| clear_after_fix(fleet, true));
}

/// The upstreams are not fixed, so the request is quarantined again and must stay in quarantine.
#[test]
fn a_quarantine_that_is_newer_than_the_clearing_outlasts_lost_links_and_coordinators() {
    assert_holds(|fleet| {
        fleet.crash_until_in_quarantine()?;
        fleet.clear_request();
        fleet.crash_until_in_quarantine()?;
        let in_quarantine_at = fleet.now();
        fleet.inject_faults_until(in_quarantine_at + 20_000);
        fleet.run_until(in_quarantine_at + QUARANTINE_SPREAD_MS);
        let before = fleet.crashes();
        fleet.call_repeatedly_until(in_quarantine_at + 50_000);
        match fleet.crashes() - before {
            0 => Ok(()),
            more => Err(format!("{more} upstreams crashed after the quarantine had spread")),
        }
    });
}
