//! A control replica loses its disk, is replaced, and a second machine is lost right after.

use super::fleets;
use super::Findings;
use crate::fleet::{bundle_toml, RunningFleet, ServiceShape};
use rollout::Stage;
use std::time::{Duration, Instant};

const LOST: usize = 2;
const SECOND_LOST: usize = 0;
const REPLACEMENT: u64 = 4;
const LIMIT: Duration = Duration::from_secs(30);

/// Runs it.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = ServiceShape::fare_firm();
    let mut fleet = fleets::start(folder.path(), fleets::spec(1, 2), &services, 1, &[])?;
    let mut findings = Findings::new("repair", "", "");
    lose_disk(&mut fleet, LOST)?;
    fleet.start_voter(LOST, None)?;
    let refused = ends_with_failure(&mut fleet, "control-3");
    findings.check(refused, "a replica started under its old id with an empty disk");
    let started = Instant::now();
    replace(&mut fleet)?;
    findings.set("repair_ms", started.elapsed().as_secs_f64() * 1_000.0);
    lose_disk(&mut fleet, SECOND_LOST)?;
    let began = Instant::now();
    let generation = fleet.roll_out(&bundle_toml(&services, 1), 2, 1, vec![Stage::All], None)?;
    fleet.wait_in_force(generation, LIMIT)?;
    findings.set("in_force_after_second_loss_ms", began.elapsed().as_secs_f64() * 1_000.0);
    findings.check(generation == 2, format!("generation {generation} follows generation 1"));
    let history: serde_json::Value =
        fleet.submitter()?.get("/v1/history").map_err(|failure| failure.message)?;
    let generations = history.as_array().map_or(0, Vec::len);
    findings.set("generations_kept", generations as f64);
    findings.check(generations >= 2, format!("history has {generations} generations"));
    fleet.stop_all();
    Ok(findings)
}

fn lose_disk(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let voter = fleet.layout.voters[position].clone();
    if let Some(process) = fleet.processes.get_mut(&format!("control-{}", voter.id)) {
        process.kill();
    }
    std::fs::remove_dir_all(&voter.settings.data_dir).map_err(|error| error.to_string())
}

fn ends_with_failure(fleet: &mut RunningFleet, name: &str) -> bool {
    let process = fleet.processes.get_mut(name);
    let ended = process.and_then(|process| process.wait_exit(LIMIT));
    ended.is_some_and(|status| !status.success())
}

/// The operator's procedure, with the operator's own commands.
fn replace(fleet: &mut RunningFleet) -> Result<(), crate::Failure> {
    fleet.layout.add_voter(REPLACEMENT)?;
    let newcomer = fleet.layout.voters.len() - 1;
    fleet.start_voter(newcomer, Some("--join"))?;
    for position in 0..fleet.layout.relays.len() {
        restart_relay(fleet, position)?;
    }
    let config = fleet.layout.write_operator_settings()?;
    for (verb, id) in [("add", REPLACEMENT), ("remove", LOST as u64 + 1), ("promote", REPLACEMENT)]
    {
        let arguments = ["product", "members", verb, &id.to_string(), "--config", &config];
        let name = format!("members-{verb}");
        fleet.start(&name, &arguments.map(str::to_owned))?;
        let process = fleet.processes.get_mut(&name).ok_or("it was just started")?;
        let ended = process.wait_exit(LIMIT);
        if ended.is_none_or(|status| !status.success()) {
            let log = fleet.layout.folder.join(format!("{name}.log"));
            let told = std::fs::read_to_string(log).unwrap_or_default();
            return Err(format!("members {verb} {id}: {told}"));
        }
    }
    Ok(())
}

fn restart_relay(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let name = fleet.layout.relays[position].settings.name.clone();
    if let Some(process) = fleet.processes.get_mut(&name) {
        process.terminate();
        process.wait_exit(LIMIT);
    }
    fleet.start_relay(position)
}
