//! What a proxy adds to a call, against the same call sent to the back end directly.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::{RunningFleet, ServiceShape};
use crate::scale::Usage;
use crate::stand_in::caller::{RunningLoad, Tally};
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: &str = "balance";
/// A node's share at the two-year size, and well above it.
const RATES: [f64; 2] = [300.0, 2_000.0];
/// Direct and proxied runs take turns, so that noise hits both.
const ROUNDS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(2);
const THREADS: usize = 32;
const QUANTILES: [f64; 6] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.999];

/// Runs it.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::reads(SERVICE, 64, 512)];
    let options = ["--slots", "64"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), fleets::spec(1, 1), &services, 4, &options)?;
    let mut findings = Findings::new("calls", "quantile of calls, per cent", "latency, ms");
    for rate in RATES {
        measure(&fleet, rate, &mut findings)?;
    }
    fleet.stop_all();
    Ok(findings)
}

fn measure(fleet: &RunningFleet, rate: f64, findings: &mut Findings) -> Result<(), crate::Failure> {
    let direct: Vec<SocketAddr> = fleet.backends.iter().map(|place| place.address).collect();
    let through = fleets::proxy_addresses(fleet);
    load(&through, rate, WARM_UP);
    let mut added = [Vec::new(), Vec::new()];
    let mut cpu_us = Vec::new();
    let mut last = None;
    for _ in 0..ROUNDS {
        let plain = load(&direct, rate, RUN_TIME);
        let before = proxy_usage(fleet)?;
        let proxied = load(&through, rate, RUN_TIME);
        let after = proxy_usage(fleet)?;
        for (added, quantile) in added.iter_mut().zip([0.5, 0.99]) {
            added.push(millis(&proxied, quantile) - millis(&plain, quantile));
        }
        cpu_us.push((after.cpu_s - before.cpu_s) * 1e6 / proxied.answered.max(1) as f64);
        let whole = proxied.wrong == 0 && proxied.cut == 0 && proxied.refused.is_empty();
        findings.check(whole, format!("calls failed at {rate}/s: {:?}", proxied.examples));
        last = Some((plain, proxied));
    }
    findings.set(format!("added_p50_at_{rate:.0}_per_s_ms"), Findings::median(&added[0]));
    findings.set(format!("added_p99_at_{rate:.0}_per_s_ms"), Findings::median(&added[1]));
    findings.set(format!("proxy_cpu_per_call_at_{rate:.0}_per_s_us"), Findings::median(&cpu_us));
    let memory_mb = proxy_usage(fleet)?.resident_bytes as f64 / 1e6;
    findings.set(format!("proxy_memory_at_{rate:.0}_per_s_mb"), memory_mb);
    if let Some((plain, proxied)) = last {
        findings.series.push(line(format!("direct, {rate:.0}/s"), &plain));
        findings.series.push(line(format!("through a proxy, {rate:.0}/s"), &proxied));
    }
    Ok(())
}

fn load(targets: &[SocketAddr], rate: f64, time: Duration) -> Tally {
    let running = RunningLoad::start(&fleets::reads(SERVICE, targets.to_vec(), THREADS, rate));
    std::thread::sleep(time);
    running.finish()
}

fn proxy_usage(fleet: &RunningFleet) -> Result<Usage, crate::Failure> {
    let name = &fleet.layout.proxies[0].settings.name;
    let process = fleet.processes.get(name).ok_or("the proxy is gone")?;
    Usage::of(process.id()).ok_or_else(|| "the proxy is gone".to_owned())
}

fn millis(tally: &Tally, quantile: f64) -> f64 {
    tally.latency.value_at_quantile(quantile) as f64 / 1_000.0
}

fn line(name: String, tally: &Tally) -> Series {
    let point = |quantile: &f64| (quantile * 100.0, millis(tally, *quantile));
    Series { name, points: QUANTILES.iter().map(point).collect() }
}
