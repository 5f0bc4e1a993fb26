//! Latency and CPU time that a proxy adds to a call, compared with calling the backend directly.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::{RunningFleet, ServiceShape};
use crate::scale::Usage;
use crate::stand_in::caller::{RunningLoad, Tally};
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: &str = "balance";
/// The share of one node at the size expected in two years, and a rate well above it; calls per
/// second.
const CALLS_PER_S: [f64; 2] = [300.0, 2_000.0];
/// Direct and proxied runs alternate, so that noise affects both.
const ROUNDS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(2);
const CALLER_THREADS: usize = 32;
const QUANTILES: [f64; 6] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.999];

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::reads(SERVICE, 64, 512)];
    let options = ["--slots", "64"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), fleets::spec(1, 1), &services, 4, &options)?;
    let mut findings = Findings::new("calls", "quantile of calls, per cent", "latency, ms");
    for rate in CALLS_PER_S {
        measure(&fleet, rate, &mut findings)?;
    }
    fleet.stop_all();
    Ok(findings)
}

fn measure(fleet: &RunningFleet, rate: f64, findings: &mut Findings) -> Result<(), crate::Failure> {
    let backends: Vec<SocketAddr> = fleet.backends.iter().map(|backend| backend.address).collect();
    let proxies = fleets::proxy_addresses(fleet);
    run_load(&proxies, rate, WARM_UP);
    let mut added_ms = [Vec::new(), Vec::new()];
    let mut cpu_us = Vec::new();
    let mut last_tallies = None;
    for _ in 0..ROUNDS {
        let direct_tally = run_load(&backends, rate, RUN_TIME);
        let before = proxy_usage(fleet)?;
        let proxied_tally = run_load(&proxies, rate, RUN_TIME);
        let after = proxy_usage(fleet)?;
        for (added_ms, quantile) in added_ms.iter_mut().zip([0.5, 0.99]) {
            added_ms
                .push(latency_ms(&proxied_tally, quantile) - latency_ms(&direct_tally, quantile));
        }
        cpu_us.push((after.cpu_s - before.cpu_s) * 1e6 / proxied_tally.answered.max(1) as f64);
        let succeeded =
            proxied_tally.wrong == 0 && proxied_tally.cut == 0 && proxied_tally.refused.is_empty();
        findings
            .check(succeeded, format!("calls failed at {rate}/s: {:?}", proxied_tally.examples));
        last_tallies = Some((direct_tally, proxied_tally));
    }
    findings.set(format!("added_p50_at_{rate:.0}_per_s_ms"), Findings::median(&added_ms[0]));
    findings.set(format!("added_p99_at_{rate:.0}_per_s_ms"), Findings::median(&added_ms[1]));
    findings.set(format!("proxy_cpu_per_call_at_{rate:.0}_per_s_us"), Findings::median(&cpu_us));
    let memory_mb = proxy_usage(fleet)?.resident_bytes as f64 / 1e6;
    findings.set(format!("proxy_memory_at_{rate:.0}_per_s_mb"), memory_mb);
    if let Some((direct_tally, proxied_tally)) = last_tallies {
        findings.series.push(latency_series(format!("direct, {rate:.0}/s"), &direct_tally));
        findings
            .series
            .push(latency_series(format!("through a proxy, {rate:.0}/s"), &proxied_tally));
    }
    Ok(())
}

fn run_load(targets: &[SocketAddr], rate: f64, time: Duration) -> Tally {
    let load =
        RunningLoad::start(&fleets::read_load(SERVICE, targets.to_vec(), CALLER_THREADS, rate));
    std::thread::sleep(time);
    load.finish()
}

fn proxy_usage(fleet: &RunningFleet) -> Result<Usage, crate::Failure> {
    let name = &fleet.layout.proxies[0].settings.name;
    let process = fleet.processes.get(name).ok_or("the proxy is not running")?;
    Usage::of(process.id()).ok_or_else(|| "the proxy is not running".to_owned())
}

fn latency_ms(tally: &Tally, quantile: f64) -> f64 {
    tally.latency.value_at_quantile(quantile) as f64 / 1_000.0
}

fn latency_series(name: String, tally: &Tally) -> Series {
    let point = |quantile: &f64| (quantile * 100.0, latency_ms(tally, *quantile));
    Series { name, points: QUANTILES.iter().map(point).collect() }
}
