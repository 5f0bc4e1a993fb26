//! Cost of calls that run at most once: throughput, latency and CPU time of the control replicas.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::{RunningFleet, ServiceShape};
use crate::scale::Usage;
use crate::stand_in::caller::{CallKind, LoadPlan, RunningLoad};
use std::time::Duration;

const SERVICE: &str = "payments";
const GROUP_COUNTS: [u32; 3] = [1, 2, 4];
const CALLS_PER_S: [f64; 3] = [200.0, 800.0, 3_000.0];
const CALLER_THREADS: usize = 128;
const RUN_TIME: Duration = Duration::from_secs(5);

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let mut findings =
        Findings::new("claims", "keyed calls offered, per second", "keyed calls, per second");
    for groups in GROUP_COUNTS {
        measure(groups, &mut findings)?;
    }
    Ok(findings)
}

fn measure(groups: u32, findings: &mut Findings) -> Result<(), crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::charges(SERVICE, 256, 1_024)];
    let mut spec = fleets::spec(1, 2);
    spec.claim_groups = groups;
    let options = ["--slots", "256"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), spec, &services, 4, &options)?;
    let mut throughput = Series { name: format!("{groups} groups"), points: Vec::new() };
    for rate in CALLS_PER_S {
        let before = control_cpu_s(&fleet);
        let load = RunningLoad::start(&load_plan(&fleet, rate));
        std::thread::sleep(RUN_TIME);
        let tally = load.finish();
        let answered = tally.answered as f64;
        let cpu_us = (control_cpu_s(&fleet) - before) * 1e6 / answered.max(1.0);
        let name = |what: &str| format!("{what}_{groups}_groups_at_{rate:.0}_per_s");
        findings.set(name("answered_per_s"), answered / RUN_TIME.as_secs_f64());
        findings.set(name("p50_ms"), tally.latency.value_at_quantile(0.5) as f64 / 1_000.0);
        findings.set(name("p99_ms"), tally.latency.value_at_quantile(0.99) as f64 / 1_000.0);
        findings.set(name("control_cpu_us_per_call"), cpu_us);
        throughput.points.push((rate, answered / RUN_TIME.as_secs_f64()));
        findings.check(tally.wrong + tally.cut == 0, format!("failed: {:?}", tally.examples));
    }
    findings.series.push(throughput);
    fleet.stop_all();
    Ok(())
}

fn load_plan(fleet: &RunningFleet, rate: f64) -> LoadPlan {
    LoadPlan {
        targets: fleets::proxy_addresses(fleet),
        kinds: vec![CallKind { service: SERVICE.to_owned(), is_charge: true, answer_bytes: 128 }],
        threads: CALLER_THREADS,
        rate,
        key_prefix: format!("claims-{rate}"),
        deadline: None,
    }
}

/// Returns the CPU time of all control replicas so far, seconds.
fn control_cpu_s(fleet: &RunningFleet) -> f64 {
    let replicas = fleet.processes.iter().filter(|(name, _)| name.starts_with("control-"));
    replicas.filter_map(|(_, process)| Usage::of(process.id())).map(|usage| usage.cpu_s).sum()
}
