//! Latency that a chain of eight proxies adds to a call, compared with the same chain without
//! proxies.

use super::amplification::{hop_service, start_chain, HOPS};
use super::fleets;
use super::{Findings, Series};
use crate::fleet::{FleetLayout, RunningFleet, ServiceShape};
use crate::stand_in::caller::{RunningLoad, Tally};
use std::net::SocketAddr;
use std::time::Duration;

const CALLS_PER_S: f64 = 150.0;
const CALLER_THREADS: usize = 16;
const ROUNDS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(2);
const QUANTILES: [f64; 5] = [0.5, 0.75, 0.9, 0.95, 0.99];

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let layout = FleetLayout::create(folder.path(), fleets::spec(1, HOPS))?;
    let mut fleet = RunningFleet::prepare(layout)?;
    let services: Vec<ServiceShape> =
        (1..=HOPS).map(|hop| ServiceShape::reads(&hop_service(hop), 64, 512)).collect();
    start_chain(&mut fleet)?;
    let first_backend = start_direct_chain(&mut fleet)?;
    fleet.start_all()?;
    fleets::roll_out_first_bundle(&fleet, &services)?;
    let proxy = fleet.layout.proxies[0].settings.listen;
    let mut findings = Findings::new("chain", "quantile of calls, per cent", "latency, ms");
    run_load(proxy, WARM_UP);
    let mut added_ms = [Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        let direct = run_load(first_backend, RUN_TIME);
        let proxied = run_load(proxy, RUN_TIME);
        for (added_ms, quantile) in added_ms.iter_mut().zip([0.5, 0.99]) {
            added_ms.push(latency_ms(&proxied, quantile) - latency_ms(&direct, quantile));
        }
        let succeeded = proxied.wrong + proxied.cut == 0 && proxied.refused.is_empty();
        findings.check(succeeded, format!("calls failed: {:?}", proxied.examples));
        findings.series = vec![
            latency_series("8 hops, no proxy", &direct),
            latency_series("8 hops, 8 proxies", &proxied),
        ];
    }
    fleet.stop_all();
    let [p50, p99] = added_ms.map(|added_ms| Findings::median(&added_ms));
    findings.set("added_by_8_proxies_p50_ms", p50);
    findings.set("added_by_8_proxies_p99_ms", p99);
    findings.set("added_by_each_of_8_p50_ms", p50 / HOPS as f64);
    findings.set("added_by_each_of_8_p99_ms", p99 / HOPS as f64);
    Ok(findings)
}

/// Starts backends that call the next backend directly; returns the address of the first.
fn start_direct_chain(fleet: &mut RunningFleet) -> Result<SocketAddr, crate::Failure> {
    let mut next: Option<SocketAddr> = None;
    for hop in (1..=HOPS).rev() {
        let mut options = vec!["--slots".to_owned(), "64".to_owned()];
        if let Some(next) = next {
            options.extend(["--next".to_owned(), next.to_string()]);
            options.extend(["--next-service".to_owned(), hop_service(hop + 1)]);
        }
        let position = fleet.start_unlisted_backend(&hop_service(hop), &options)?;
        next = Some(fleet.backends[position].address);
    }
    next.ok_or_else(|| "the chain has no hops".to_owned())
}

fn run_load(target: SocketAddr, time: Duration) -> Tally {
    let plan = fleets::read_load(&hop_service(1), vec![target], CALLER_THREADS, CALLS_PER_S);
    let load = RunningLoad::start(&plan);
    std::thread::sleep(time);
    load.finish()
}

fn latency_ms(tally: &Tally, quantile: f64) -> f64 {
    tally.latency.value_at_quantile(quantile) as f64 / 1_000.0
}

fn latency_series(name: &str, tally: &Tally) -> Series {
    let point = |quantile: &f64| (quantile * 100.0, latency_ms(tally, *quantile));
    Series { name: name.to_owned(), points: QUANTILES.iter().map(point).collect() }
}
