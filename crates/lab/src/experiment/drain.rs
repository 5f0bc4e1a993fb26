//! Planned stops under load: nothing that was in flight may be cut.

use super::fleets;
use super::Findings;
use crate::fleet::{RunningFleet, ServiceShape};
use crate::stand_in::caller::RunningLoad;
use std::time::Duration;

const SERVICE: &str = "balance";
const RATE: f64 = 400.0;
const THREADS: usize = 24;
const ROUNDS: usize = 4;
const PAUSE: Duration = Duration::from_secs(1);
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// A leaving back end must have no new work after this time.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);

/// Runs it.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::reads(SERVICE, 20, 130)];
    let options = ["--work-us", "5000"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), fleets::spec(2, 2), &services, 2, &options)?;
    let mut findings = Findings::new("drain", "", "");
    let targets = fleets::proxy_addresses(&fleet);
    let running = RunningLoad::start(&fleets::reads(SERVICE, targets, THREADS, RATE));
    let mut drains = Vec::new();
    for round in 0..ROUNDS {
        drains.push(stop_backend_by_list(&mut fleet, round % 4)?);
        stop_backend_by_its_word(&mut fleet, (round + 1) % 4)?;
        stop_proxy(&mut fleet, round % 4)?;
        stop_relay(&mut fleet, round % 2)?;
    }
    let tally = running.finish();
    fleet.stop_all();
    findings.set("planned_stops", (4 * ROUNDS) as f64);
    findings.set("calls_sent", tally.sent as f64);
    findings.set("calls_answered", tally.answered as f64);
    findings.set("calls_cut", tally.cut as f64);
    findings.set("calls_wrong", tally.wrong as f64);
    findings.set("calls_not_accepted_by_a_stopped_proxy", tally.unreachable as f64);
    let refused: u64 = tally.refused.values().sum();
    findings.set("calls_refused", refused as f64);
    findings.set("leaving_until_no_new_work_ms", Findings::median(&drains));
    let whole = tally.cut == 0 && tally.wrong == 0;
    findings.check(whole, format!("calls were cut: {:?}", tally.examples));
    findings.check(refused == 0, format!("refused: {:?} {:?}", tally.refused, tally.examples));
    Ok(findings)
}

fn end(fleet: &mut RunningFleet, name: &str) -> Result<(), crate::Failure> {
    let process = fleet.processes.get_mut(name).ok_or_else(|| format!("no {name}"))?;
    process.terminate();
    match process.wait_exit(STOP_LIMIT) {
        Some(status) if status.success() => Ok(()),
        other => Err(format!("{name} ended with {other:?}")),
    }
}

/// The list says that it leaves, it is used no more, then it stops. Returns how long that took.
fn stop_backend_by_list(fleet: &mut RunningFleet, position: usize) -> Result<f64, crate::Failure> {
    let place = fleet.backends[position].clone();
    fleet.platform.set_state(&place.service, place.address, "leaving");
    let took = fleet.wait_unused(place.address, LEAVING_LIMIT)?;
    end(fleet, &place.name)?;
    restart_backend(fleet, position)?;
    Ok(took.as_secs_f64() * 1_000.0)
}

/// It is only told to stop; its own answers say that it is draining.
fn stop_backend_by_its_word(
    fleet: &mut RunningFleet,
    position: usize,
) -> Result<(), crate::Failure> {
    let name = fleet.backends[position].name.clone();
    end(fleet, &name)?;
    restart_backend(fleet, position)
}

fn restart_backend(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let options = ["--work-us", "5000"].map(str::to_owned);
    fleet.run_backend(position, &options)?;
    let place = fleet.backends[position].clone();
    std::thread::sleep(PAUSE / 4);
    fleet.platform.next_incarnation(&place.service, place.address);
    std::thread::sleep(PAUSE);
    Ok(())
}

fn stop_proxy(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let place = fleet.layout.proxies[position].settings.clone();
    end(fleet, &place.name)?;
    fleet.start_proxy(position)?;
    fleet.wait_until("the proxy to be ready", STOP_LIMIT, |fleet| {
        fleet.is_ready(place.metrics_listen)
    })?;
    std::thread::sleep(PAUSE);
    Ok(())
}

fn stop_relay(fleet: &mut RunningFleet, position: usize) -> Result<(), crate::Failure> {
    let place = fleet.layout.relays[position].settings.clone();
    end(fleet, &place.name)?;
    fleet.start_relay(position)?;
    std::thread::sleep(PAUSE);
    Ok(())
}
