//! Planned stops under load: no call in flight may be interrupted.

use super::fleets;
use super::Findings;
use crate::fleet::{RunningFleet, ServiceShape};
use crate::stand_in::caller::RunningLoad;
use std::time::Duration;

const SERVICE: &str = "balance";
const CALLS_PER_S: f64 = 400.0;
const CALLER_THREADS: usize = 24;
const ROUNDS: usize = 4;
const PAUSE: Duration = Duration::from_secs(1);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a leaving backend must stop receiving new calls.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::reads(SERVICE, 20, 130)];
    let options = ["--work-us", "5000"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), fleets::spec(2, 2), &services, 2, &options)?;
    let mut findings = Findings::new("drain", "", "");
    let targets = fleets::proxy_addresses(&fleet);
    let load =
        RunningLoad::start(&fleets::read_load(SERVICE, targets, CALLER_THREADS, CALLS_PER_S));
    let mut drain_times_ms = Vec::new();
    for round in 0..ROUNDS {
        drain_times_ms.push(stop_backend_listed_as_leaving(&mut fleet, round % 4)?);
        stop_backend_by_signal(&mut fleet, (round + 1) % 4)?;
        stop_proxy(&mut fleet, round % 4)?;
        stop_relay(&mut fleet, round % 2)?;
    }
    let tally = load.finish();
    fleet.stop_all();
    findings.set("planned_stops", (4 * ROUNDS) as f64);
    findings.set("calls_sent", tally.sent as f64);
    findings.set("calls_answered", tally.answered as f64);
    findings.set("calls_cut", tally.cut as f64);
    findings.set("calls_wrong", tally.wrong as f64);
    findings.set("calls_not_accepted_by_a_stopped_proxy", tally.unreachable as f64);
    let refused: u64 = tally.refused.values().sum();
    findings.set("calls_refused", refused as f64);
    findings.set("leaving_until_no_new_work_ms", Findings::median(&drain_times_ms));
    let uninterrupted = tally.cut == 0 && tally.wrong == 0;
    findings.check(uninterrupted, format!("calls were cut: {:?}", tally.examples));
    findings.check(refused == 0, format!("refused: {:?} {:?}", tally.refused, tally.examples));
    Ok(findings)
}

fn stop_process(fleet: &mut RunningFleet, name: &str) -> Result<(), crate::Failure> {
    let process = fleet.processes.get_mut(name).ok_or_else(|| format!("no process {name}"))?;
    process.terminate();
    match process.wait_exit(STOP_TIMEOUT) {
        Some(status) if status.success() => Ok(()),
        other => Err(format!("{name} ended with {other:?}")),
    }
}

/// Marks a backend as leaving in the platform's list, waits until no proxy uses it, and stops it.
/// Returns the time until no proxy used it, milliseconds.
fn stop_backend_listed_as_leaving(
    fleet: &mut RunningFleet,
    position: usize,
) -> Result<f64, crate::Failure> {
    let config = fleet.backends[position].clone();
    fleet.platform.set_state(&config.service, config.address, "leaving");
    let elapsed = fleet.wait_until_unused(config.address, LEAVING_TIMEOUT)?;
    stop_process(fleet, &config.name)?;
    restart_backend(fleet, position)?;
    Ok(elapsed.as_secs_f64() * 1_000.0)
}

/// Stops a backend with SIGTERM only; its own responses tell the proxies that it is draining.
fn stop_backend_by_signal(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let name = fleet.backends[position].name.clone();
    stop_process(fleet, &name)?;
    restart_backend(fleet, position)
}

fn restart_backend(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let options = ["--work-us", "5000"].map(str::to_owned);
    fleet.run_backend(position, &options)?;
    let config = fleet.backends[position].clone();
    std::thread::sleep(PAUSE / 4);
    fleet.platform.next_incarnation(&config.service, config.address);
    std::thread::sleep(PAUSE);
    Ok(())
}

fn stop_proxy(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let config = fleet.layout.proxies[position].settings.clone();
    stop_process(fleet, &config.name)?;
    fleet.start_proxy(position)?;
    fleet.wait_until("the proxy to be ready", STOP_TIMEOUT, |fleet| {
        fleet.is_ready(config.metrics_listen)
    })?;
    std::thread::sleep(PAUSE);
    Ok(())
}

fn stop_relay(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let config = fleet.layout.relays[position].settings.clone();
    stop_process(fleet, &config.name)?;
    fleet.start_relay(position)?;
    std::thread::sleep(PAUSE);
    Ok(())
}
