//! `chutecove-lab demo`: takes a small fleet of separate processes through two rollouts and a drain
//! under load, in under half a minute.

use crate::fleet::{
    bundle_toml, send, FleetLayout, FleetSpec, RunningFleet, ServiceShape, ZoneSpec,
};
use crate::stand_in::backend::read_runs;
use crate::stand_in::caller::{CallKind, LoadPlan, RunningLoad, Tally};
use rollout::{Command, Stage};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CALLS_PER_S: f64 = 300.0;
const CALLER_THREADS: usize = 12;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

fn fleet_spec() -> FleetSpec {
    let zone = |name: &str| ZoneSpec {
        name: name.to_owned(),
        region: "region-1".to_owned(),
        relays: 1,
        proxies: 3,
        hollow_proxies: 0,
    };
    FleetSpec {
        fleet: "demo".to_owned(),
        voters: 3,
        claim_groups: 2,
        zones: vec![zone("zone-a"), zone("zone-b")],
        proxy_disks: false,
        delays: None,
    }
}

/// Violations found so far; printed at the end.
#[derive(Default)]
struct Report {
    problems: Vec<String>,
}

impl Report {
    fn check(&mut self, holds: bool, problem: impl Into<String>) {
        if !holds {
            self.problems.push(problem.into());
        }
    }
}

/// Runs the demo; returns an error if an invariant was violated.
pub fn run(_arguments: &[String]) -> Result<(), crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let started = Instant::now();
    let layout = FleetLayout::create(folder.path(), fleet_spec())?;
    let mut fleet = RunningFleet::prepare(layout)?;
    let mut report = Report::default();
    let result = run_steps(&mut fleet, &mut report);
    let failed = fleet.stop_all();
    report.check(failed.is_empty(), format!("planned stops failed: {failed:?}"));
    if let Err(failure) = result {
        report.problems.push(failure);
    }
    println!("\ntook {:.1} s", started.elapsed().as_secs_f64());
    if report.problems.is_empty() {
        println!("every invariant held");
        return Ok(());
    }
    print_logs(folder.path());
    Err(format!("BROKEN:\n  {}", report.problems.join("\n  ")))
}

/// Prints the first lines above level info from each process's log, to help find the cause.
fn print_logs(folder: &std::path::Path) {
    let Ok(files) = std::fs::read_dir(folder) else {
        return;
    };
    for path in files.flatten().map(|file| file.path()) {
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let above_info = text.lines().filter(|line| !line.contains("level=info"));
        for line in above_info.take(5) {
            eprintln!("{}: {line}", path.file_name().unwrap_or_default().display());
        }
    }
}

fn run_steps(fleet: &mut RunningFleet, report: &mut Report) -> Result<(), crate::Failure> {
    let services = ServiceShape::reference_services();
    for service in &services {
        for zone in 0..2 {
            fleet.start_backend(&service.name, zone, &[])?;
        }
    }
    fleet.start_all()?;
    println!(
        "started {} processes: {} control replicas, {} relays, {} proxies, {} back ends",
        fleet.processes.len(),
        fleet.layout.voters.len(),
        fleet.layout.relays.len(),
        fleet.layout.proxies.len(),
        fleet.backends.len()
    );
    roll_out_first_bundle(fleet, &services)?;
    let load = RunningLoad::start(&load_plan(fleet, &services));
    std::thread::sleep(Duration::from_secs(1));
    let bytes_before = control_bytes(fleet);
    roll_out_second_bundle(fleet, &services)?;
    let bytes = control_bytes(fleet) - bytes_before;
    let bytes_per_proxy = bytes / fleet.layout.proxies.len() as f64;
    println!("control bytes per proxy over the staged rollout: {bytes_per_proxy:.0}");
    drain_one_backend(fleet, report)?;
    let tally = load.finish();
    println!("{}", describe_generations(fleet)?);
    print_calls(fleet, &tally, report);
    Ok(())
}

fn roll_out_first_bundle(
    fleet: &RunningFleet,
    services: &[ServiceShape],
) -> Result<(), crate::Failure> {
    let stages = vec![Stage::Zones(vec!["zone-a".to_owned()]), Stage::All];
    let generation = fleet.roll_out(&bundle_toml(services, 0), 1, 0, stages, None)?;
    fleet.wait_until("generation 1 in zone-a", IN_FORCE_TIMEOUT, |fleet| {
        let generations = fleet.generations();
        let zone_a = generations.iter().filter(|(name, _)| name.contains("zone-a"));
        zone_a.clone().count() > 0 && zone_a.into_iter().all(|(_, in_force)| *in_force >= Some(1))
    })?;
    println!(
        "generation {generation} is in force in zone-a only: {}",
        describe_generations(fleet)?
    );
    send(&fleet.submitter()?, &Command::Advance { generation, from_stage: 1 })?;
    let elapsed = fleet.wait_in_force(generation, IN_FORCE_TIMEOUT)?;
    println!(
        "generation {generation} is in force everywhere {:.0} ms after acceptance",
        to_millis(elapsed)
    );
    Ok(())
}

fn roll_out_second_bundle(
    fleet: &RunningFleet,
    services: &[ServiceShape],
) -> Result<(), crate::Failure> {
    let stages = vec![Stage::Percent(30), Stage::All];
    let generation = fleet.roll_out(&bundle_toml(services, 1), 2, 1, stages, None)?;
    std::thread::sleep(Duration::from_millis(500));
    println!("generation {generation} is rolling: {}", describe_generations(fleet)?);
    send(&fleet.submitter()?, &Command::Advance { generation, from_stage: 1 })?;
    let elapsed = fleet.wait_in_force(generation, IN_FORCE_TIMEOUT)?;
    println!(
        "generation {generation} is in force everywhere {:.0} ms after acceptance",
        to_millis(elapsed)
    );
    Ok(())
}

fn drain_one_backend(fleet: &mut RunningFleet, report: &mut Report) -> Result<(), crate::Failure> {
    let backend = fleet.backends[0].clone();
    fleet.platform.set_state(&backend.service, backend.address, "leaving");
    let elapsed = fleet.wait_until_unused(backend.address, DRAIN_TIMEOUT)?;
    println!(
        "{} gets no new work {:.0} ms after the platform's list said so",
        backend.name,
        to_millis(elapsed)
    );
    let process =
        fleet.processes.get_mut(&backend.name).ok_or("the backend to drain has no process")?;
    process.terminate();
    let exit_status = process.wait_exit(DRAIN_TIMEOUT + Duration::from_secs(10));
    report.check(
        exit_status.is_some_and(|status| status.success()),
        "the drained backend did not exit cleanly",
    );
    fleet.platform.remove(&backend.service, backend.address);
    std::thread::sleep(Duration::from_secs(1));
    Ok(())
}

fn load_plan(fleet: &RunningFleet, services: &[ServiceShape]) -> LoadPlan {
    let kinds = services
        .iter()
        .map(|service| CallKind {
            service: service.name.clone(),
            is_charge: service.takes_charges,
            answer_bytes: 512,
        })
        .collect();
    LoadPlan {
        targets: fleet.layout.proxies.iter().map(|proxy| proxy.settings.listen).collect(),
        kinds,
        threads: CALLER_THREADS,
        rate: CALLS_PER_S,
        key_prefix: "demo".to_owned(),
        deadline: None,
    }
}

fn control_bytes(fleet: &RunningFleet) -> f64 {
    let names = [
        "chutecove_proxy_control_sent_bytes_total",
        "chutecove_proxy_control_received_bytes_total",
    ];
    let control_bytes_of =
        |metrics| -> f64 { names.iter().filter_map(|name| fleet.metric(metrics, name)).sum() };
    fleet.layout.proxies.iter().map(|proxy| control_bytes_of(proxy.settings.metrics_listen)).sum()
}

fn describe_generations(fleet: &RunningFleet) -> Result<String, crate::Failure> {
    let status: serde_json::Value =
        fleet.submitter()?.get("/v1/status").map_err(|failure| failure.message)?;
    let spread = &status["spread"];
    let mut counts = Vec::new();
    for entry in spread["by_generation"].as_array().into_iter().flatten() {
        counts.push(format!("generation {} on {} proxies", entry[0], entry[1]));
    }
    Ok(format!("{}, {} unknown", counts.join(", "), spread["unknown"]))
}

fn print_calls(fleet: &RunningFleet, tally: &Tally, report: &mut Report) {
    let mut runs = BTreeMap::new();
    for backend in &fleet.backends {
        read_runs(&backend.runs_file, &mut runs);
    }
    let contradictions = tally.ledger.contradictions(&runs);
    println!(
        "calls: sent {}, answered {}, refused {:?}, cut {}, wrong answers {}",
        tally.sent, tally.answered, tally.refused, tally.cut, tally.wrong
    );
    println!(
        "latency: p50 {:.2} ms, p99 {:.2} ms",
        tally.latency.value_at_quantile(0.5) as f64 / 1_000.0,
        tally.latency.value_at_quantile(0.99) as f64 / 1_000.0
    );
    println!("charges: {}, run twice or mistold: {}", tally.ledger.len(), contradictions.len());
    report.check(tally.answered > 0, "no call was answered");
    report.check(tally.wrong == 0, format!("wrong answers: {:?}", tally.examples));
    report.check(tally.cut == 0, format!("cut calls: {:?}", tally.examples));
    report.check(contradictions.is_empty(), contradictions.join("; "));
}

fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
