//! The whole path in separate processes, in under half a minute.

use crate::fleet::{
    bundle_toml, send, FleetLayout, FleetSpec, RunningFleet, ServiceShape, ZoneSpec,
};
use crate::stand_in::backend::read_runs;
use crate::stand_in::caller::{CallKind, LoadPlan, RunningLoad, Tally};
use rollout::{Command, Stage};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CALL_RATE: f64 = 300.0;
const CALLER_THREADS: usize = 12;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

fn spec() -> FleetSpec {
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

/// Problems found so far, printed at the end.
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

/// Runs the demo; an error means that an invariant broke.
pub fn run(_arguments: &[String]) -> Result<(), crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let started = Instant::now();
    let layout = FleetLayout::create(folder.path(), spec())?;
    let mut fleet = RunningFleet::prepare(layout)?;
    let mut report = Report::default();
    let result = drive(&mut fleet, &mut report);
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

/// Warnings and errors of all processes, for finding the cause.
fn print_logs(folder: &std::path::Path) {
    let Ok(files) = std::fs::read_dir(folder) else {
        return;
    };
    for path in files.flatten().map(|file| file.path()) {
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let bad = text.lines().filter(|line| !line.contains("level=info"));
        for line in bad.take(5) {
            eprintln!("{}: {line}", path.file_name().unwrap_or_default().display());
        }
    }
}

fn drive(fleet: &mut RunningFleet, report: &mut Report) -> Result<(), crate::Failure> {
    let services = ServiceShape::fare_firm();
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
    first_bundle(fleet, &services)?;
    let load = RunningLoad::start(&load_plan(fleet, &services));
    std::thread::sleep(Duration::from_secs(1));
    let bytes_before = control_bytes(fleet);
    second_bundle(fleet, &services)?;
    let bytes = control_bytes(fleet) - bytes_before;
    let per_proxy = bytes / fleet.layout.proxies.len() as f64;
    println!("control bytes per proxy over the staged rollout: {per_proxy:.0}");
    drain_one(fleet, report)?;
    let tally = load.finish();
    println!("{}", spread_line(fleet)?);
    print_calls(fleet, &tally, report);
    Ok(())
}

fn first_bundle(fleet: &RunningFleet, services: &[ServiceShape]) -> Result<(), crate::Failure> {
    let stages = vec![Stage::Zones(vec!["zone-a".to_owned()]), Stage::All];
    let generation = fleet.roll_out(&bundle_toml(services, 0), 1, 0, stages, None)?;
    fleet.wait_until("generation 1 in zone-a", IN_FORCE_LIMIT, |fleet| {
        let generations = fleet.generations();
        let zone_a = generations.iter().filter(|(name, _)| name.contains("zone-a"));
        zone_a.clone().count() > 0 && zone_a.into_iter().all(|(_, held)| *held >= Some(1))
    })?;
    println!("generation {generation} is in force in zone-a only: {}", spread_line(fleet)?);
    send(&fleet.submitter()?, &Command::Advance { generation, from_stage: 1 })?;
    let took = fleet.wait_in_force(generation, IN_FORCE_LIMIT)?;
    println!("generation {generation} is in force everywhere {:.0} ms after acceptance", ms(took));
    Ok(())
}

fn second_bundle(fleet: &RunningFleet, services: &[ServiceShape]) -> Result<(), crate::Failure> {
    let stages = vec![Stage::Percent(30), Stage::All];
    let generation = fleet.roll_out(&bundle_toml(services, 1), 2, 1, stages, None)?;
    std::thread::sleep(Duration::from_millis(500));
    println!("generation {generation} is rolling: {}", spread_line(fleet)?);
    send(&fleet.submitter()?, &Command::Advance { generation, from_stage: 1 })?;
    let took = fleet.wait_in_force(generation, IN_FORCE_LIMIT)?;
    println!("generation {generation} is in force everywhere {:.0} ms after acceptance", ms(took));
    Ok(())
}

fn drain_one(fleet: &mut RunningFleet, report: &mut Report) -> Result<(), crate::Failure> {
    let leaving = fleet.backends[0].clone();
    fleet.platform.set_state(&leaving.service, leaving.address, "leaving");
    let took = fleet.wait_unused(leaving.address, DRAIN_LIMIT)?;
    println!(
        "{} gets no new work {:.0} ms after the platform's list said so",
        leaving.name,
        ms(took)
    );
    let process = fleet.processes.get_mut(&leaving.name).ok_or("no such back end")?;
    process.terminate();
    let ended = process.wait_ended(DRAIN_LIMIT + Duration::from_secs(10));
    report.check(ended.is_some_and(|status| status.success()), "the back end did not stop");
    fleet.platform.remove(&leaving.service, leaving.address);
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
        rate: CALL_RATE,
        key_prefix: "demo".to_owned(),
        deadline: None,
    }
}

fn control_bytes(fleet: &RunningFleet) -> f64 {
    let names = [
        "chutecove_proxy_control_sent_bytes_total",
        "chutecove_proxy_control_received_bytes_total",
    ];
    let of = |metrics| -> f64 { names.iter().filter_map(|n| fleet.metric(metrics, n)).sum() };
    fleet.layout.proxies.iter().map(|proxy| of(proxy.settings.metrics_listen)).sum()
}

fn spread_line(fleet: &RunningFleet) -> Result<String, crate::Failure> {
    let status: serde_json::Value =
        fleet.submitter()?.get("/v1/status").map_err(|failure| failure.message)?;
    let spread = &status["spread"];
    let mut parts = Vec::new();
    for entry in spread["by_generation"].as_array().into_iter().flatten() {
        parts.push(format!("generation {} on {} proxies", entry[0], entry[1]));
    }
    Ok(format!("{}, {} unknown", parts.join(", "), spread["unknown"]))
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

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
