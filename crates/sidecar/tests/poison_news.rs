//! What happened: after an operator cleared a request that had crashed upstreams, sidecars went on
//! refusing it, for 40 s and more; and one that was rightly in quarantine again was let through, and
//! ended up to two more upstreams a sidecar, whenever a coordinator or a link had come back.
//!
//! Cause, one matter with three faces. A clearing did not say what it clears, and was told once:
//! - A coordinator that was cut off, or started anew, at that moment never heard of it. It went on telling
//!   sidecars the crashes (seed 2: cleared at 1004120 at coordinator 0, cut off from 1 since 1003840; at
//!   1005840 coordinator 1 tells a sidecar that links anew: `request_quarantined`, no `clearing_learned`).
//! - What sidecars tell a coordinator that is new to them held quarantines and no clearings, so one that
//!   had not heard brought it back for all (seed 8: `quarantine_told ... taken=true` at 1005300).
//! - A clearing that came again, 40 s old, ended whatever quarantine was held by then
//!   (`clearing_learned ... age_ms=3420 held=true` behind `request_quarantined` in each new link).
//!
//! And one that died with the coordinator at which an operator made it was gone, though the operator had
//! been told that it was done.
//!
//! Since then a quarantine names the crashes that it rests on, and a clearing those that it ends; both may
//! come in any order, late or again. Clearings are remembered, told with each new link and connection, and
//! an operator is answered once a second coordinator has his.
//!
//! A fleet in virtual time over the real cores (`PoisonWatch`, `NoticeLog`). Frames of one
//! connection come in order and late; a connection that ends loses those under way. Coordinators
//! start anew and are cut off from each other, just while a request is cleared.

mod poison_fleet;

use poison_fleet::{Fleet, SERVE_ALL_MS, SPREAD_MS};

/// Draws of faults; each is another order of arrival.
const SEEDS: u64 = 300;
/// How long faults come after a clearing, milliseconds.
const FAULTS_MS: u64 = 5_000;

/// Fails with the first seeds that show what a fleet must not do.
fn assert_holds(play: impl Fn(&mut Fleet) -> Result<(), String>) {
    let broken = |seed| {
        let problem = play(&mut Fleet::new(seed)).err()?;
        Some(format!("seed {seed}: {problem}"))
    };
    let broken: Vec<String> = (0..SEEDS).filter_map(broken).collect();
    let first = broken.iter().take(5).cloned().collect::<Vec<_>>().join("\n");
    assert!(broken.is_empty(), "{} of {SEEDS} seeds:\n{first}", broken.len());
}

/// The upstreams were mended, and an operator says so.
fn clear_a_mended_one(fleet: &mut Fleet, called_meanwhile: bool) -> Result<(), String> {
    fleet.crash_until_in_quarantine()?;
    fleet.mend_upstreams();
    let end = fleet.clear_it() + FAULTS_MS;
    fleet.faults_until(end);
    if called_meanwhile {
        fleet.call_often_until(end);
    }
    fleet.run_until(end + SERVE_ALL_MS);
    fleet.who_keeps_it_away().map_or(Ok(()), Err)
}

#[test]
fn a_request_that_was_cleared_is_run_again_through_every_sidecar() {
    assert_holds(|fleet| clear_a_mended_one(fleet, false));
}

#[test]
fn a_request_that_was_cleared_stays_so_while_it_is_called() {
    assert_holds(|fleet| clear_a_mended_one(fleet, true));
}

/// The upstreams were not mended: it is found out again, and stays found out.
#[test]
fn a_quarantine_that_is_newer_than_the_clearing_outlasts_lost_links_and_coordinators() {
    assert_holds(|fleet| {
        fleet.crash_until_in_quarantine()?;
        fleet.clear_it();
        fleet.crash_until_in_quarantine()?;
        let in_quarantine_at = fleet.now();
        fleet.faults_until(in_quarantine_at + 20_000);
        fleet.run_until(in_quarantine_at + SPREAD_MS);
        let before = fleet.crashes();
        fleet.call_often_until(in_quarantine_at + 50_000);
        match fleet.crashes() - before {
            0 => Ok(()),
            more => Err(format!("{more} upstreams ended after all had heard of it")),
        }
    });
}
