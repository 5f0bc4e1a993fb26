//! What eight proxies in a row add to a call, against the same chain without proxies.

use super::amplification::{service, start_chain, HOPS};
use super::fleets;
use super::{Findings, Series};
use crate::fleet::{FleetLayout, RunningFleet, ServiceShape};
use crate::stand_in::caller::{RunningLoad, Tally};
use std::net::SocketAddr;
use std::time::Duration;

const RATE: f64 = 150.0;
const THREADS: usize = 16;
const ROUNDS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(2);
const QUANTILES: [f64; 5] = [0.5, 0.75, 0.9, 0.95, 0.99];

/// Runs it.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let layout = FleetLayout::create(folder.path(), fleets::spec(1, HOPS))?;
    let mut fleet = RunningFleet::prepare(layout)?;
    let services: Vec<ServiceShape> =
        (1..=HOPS).map(|hop| ServiceShape::reads(&service(hop), 64, 512)).collect();
    start_chain(&mut fleet)?;
    let first_direct = start_direct_chain(&mut fleet)?;
    fleet.start_all()?;
    fleets::first_bundle(&fleet, &services)?;
    let through = fleet.layout.proxies[0].settings.listen;
    let mut findings = Findings::new("chain", "quantile of calls, per cent", "latency, ms");
    load(through, WARM_UP);
    let mut added = [Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        let plain = load(first_direct, RUN_TIME);
        let proxied = load(through, RUN_TIME);
        for (added, quantile) in added.iter_mut().zip([0.5, 0.99]) {
            added.push(millis(&proxied, quantile) - millis(&plain, quantile));
        }
        let whole = proxied.wrong + proxied.cut == 0 && proxied.refused.is_empty();
        findings.check(whole, format!("calls failed: {:?}", proxied.examples));
        findings.series =
            vec![line("8 hops, no proxy", &plain), line("8 hops, 8 proxies", &proxied)];
    }
    fleet.stop_all();
    let [p50, p99] = added.map(|added| Findings::median(&added));
    findings.set("added_by_8_proxies_p50_ms", p50);
    findings.set("added_by_8_proxies_p99_ms", p99);
    findings.set("added_by_each_of_8_p50_ms", p50 / HOPS as f64);
    findings.set("added_by_each_of_8_p99_ms", p99 / HOPS as f64);
    Ok(findings)
}

/// Back ends that call the next back end themselves; returns the first.
fn start_direct_chain(fleet: &mut RunningFleet) -> Result<SocketAddr, crate::Failure> {
    let mut next: Option<SocketAddr> = None;
    for hop in (1..=HOPS).rev() {
        let mut options = vec!["--slots".to_owned(), "64".to_owned()];
        if let Some(next) = next {
            options.extend(["--next".to_owned(), next.to_string()]);
            options.extend(["--next-service".to_owned(), service(hop + 1)]);
        }
        let position = fleet.start_unlisted_backend(&service(hop), &options)?;
        next = Some(fleet.backends[position].address);
    }
    next.ok_or_else(|| "the chain is empty".to_owned())
}

fn load(target: SocketAddr, time: Duration) -> Tally {
    let plan = fleets::reads(&service(1), vec![target], THREADS, RATE);
    let running = RunningLoad::start(&plan);
    std::thread::sleep(time);
    running.finish()
}

fn millis(tally: &Tally, quantile: f64) -> f64 {
    tally.latency.value_at_quantile(quantile) as f64 / 1_000.0
}

fn line(name: &str, tally: &Tally) -> Series {
    let point = |quantile: &f64| (quantile * 100.0, millis(tally, *quantile));
    Series { name: name.to_owned(), points: QUANTILES.iter().map(point).collect() }
}
