//! A control replica loses its disk and is replaced; right after that, a second one loses its disk.

use super::fleets;
use super::Findings;
use crate::fleet::{bundle_toml, RunningFleet, ServiceShape};
use rollout::Stage;
use std::time::{Duration, Instant};

const LOST_REPLICA: usize = 2;
const SECOND_LOST_REPLICA: usize = 0;
const REPLACEMENT_ID: u64 = 4;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = ServiceShape::reference_services();
    let mut fleet = fleets::start(folder.path(), fleets::spec(1, 2), &services, 1, &[])?;
    let mut findings = Findings::new("repair", "", "");
    kill_and_delete_data(&mut fleet, LOST_REPLICA)?;
    fleet.start_voter(LOST_REPLICA, None)?;
    let refused = exits_with_failure(&mut fleet, "control-3");
    findings.check(refused, "a replica started under its old id with an empty disk");
    let repair_started = Instant::now();
    replace_lost_replica(&mut fleet)?;
    findings.set("repair_ms", repair_started.elapsed().as_secs_f64() * 1_000.0);
    kill_and_delete_data(&mut fleet, SECOND_LOST_REPLICA)?;
    let second_lost_at = Instant::now();
    let generation = fleet.roll_out(&bundle_toml(&services, 1), 2, 1, vec![Stage::All], None)?;
    fleet.wait_in_force(generation, TIMEOUT)?;
    findings.set("in_force_after_second_loss_ms", second_lost_at.elapsed().as_secs_f64() * 1_000.0);
    findings.check(generation == 2, format!("generation {generation} follows generation 1"));
    let history: serde_json::Value =
        fleet.submitter()?.get("/v1/history").map_err(|failure| failure.message)?;
    let generations = history.as_array().map_or(0, Vec::len);
    findings.set("generations_kept", generations as f64);
    findings.check(generations >= 2, format!("history has {generations} generations"));
    fleet.stop_all();
    Ok(findings)
}

fn kill_and_delete_data(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let voter = fleet.layout.voters[position].clone();
    if let Some(process) = fleet.processes.get_mut(&format!("control-{}", voter.id)) {
        process.kill();
    }
    std::fs::remove_dir_all(&voter.settings.data_dir).map_err(|error| error.to_string())
}

fn exits_with_failure(fleet: &mut RunningFleet, name: &str) -> bool {
    let process = fleet.processes.get_mut(name);
    let exit_status = process.and_then(|process| process.wait_exit(TIMEOUT));
    exit_status.is_some_and(|status| !status.success())
}

/// Replaces the lost replica as an operator does, with the commands of the product.
fn replace_lost_replica(fleet: &mut RunningFleet) -> Result<(), crate::Failure> {
    fleet.layout.add_voter(REPLACEMENT_ID)?;
    let replacement = fleet.layout.voters.len() - 1;
    fleet.start_voter(replacement, Some("--join"))?;
    for position in 0..fleet.layout.relays.len() {
        restart_relay(fleet, position)?;
    }
    let config = fleet.layout.write_operator_settings()?;
    for (verb, id) in
        [("add", REPLACEMENT_ID), ("remove", LOST_REPLICA as u64 + 1), ("promote", REPLACEMENT_ID)]
    {
        let arguments = ["product", "members", verb, &id.to_string(), "--config", &config];
        let name = format!("members-{verb}");
        fleet.start(&name, &arguments.map(str::to_owned))?;
        let process = fleet
            .processes
            .get_mut(&name)
            .ok_or("the process that was just started is not listed")?;
        let exit_status = process.wait_exit(TIMEOUT);
        if exit_status.is_none_or(|status| !status.success()) {
            let log = fleet.layout.folder.join(format!("{name}.log"));
            let output = std::fs::read_to_string(log).unwrap_or_default();
            return Err(format!("members {verb} {id}: {output}"));
        }
    }
    Ok(())
}

fn restart_relay(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let name = fleet.layout.relays[position].settings.name.clone();
    if let Some(process) = fleet.processes.get_mut(&name) {
        process.terminate();
        process.wait_exit(TIMEOUT);
    }
    fleet.start_relay(position)
}
