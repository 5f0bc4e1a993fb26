//! How many sends one call becomes when the last of eight hops fails.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::{FleetLayout, RunningFleet, ServiceShape};
use crate::stand_in::caller::RunningLoad;
use std::net::SocketAddr;
use std::time::Duration;

/// Proxies in the chain.
pub const HOPS: usize = 8;
const BACKENDS_PER_HOP: usize = 2;
const RATE: f64 = 100.0;
const THREADS: usize = 32;
const RUN_TIME: Duration = Duration::from_secs(10);
const MOST_AMPLIFICATION: f64 = 1.2;

/// Runs it.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let layout = FleetLayout::create(folder.path(), fleets::spec(1, HOPS))?;
    let mut fleet = RunningFleet::prepare(layout)?;
    let services: Vec<ServiceShape> =
        (1..=HOPS).map(|hop| ServiceShape::reads(&service(hop), 64, 512)).collect();
    start_chain(&mut fleet)?;
    fleet.start_all()?;
    fleets::first_bundle(&fleet, &services)?;
    let mut findings = Findings::new("amplification", "hop", "sends per call");
    let healthy = offer(&fleet)?;
    let last: Vec<SocketAddr> =
        fleet.backends.iter().rev().take(BACKENDS_PER_HOP).map(|place| place.address).collect();
    for address in last {
        fleet.get(address, "/admin/break/1").ok_or("the last hop cannot be broken")?;
    }
    let broken = offer(&fleet)?;
    fleet.stop_all();
    let amplification = broken.last().copied().unwrap_or(0.0);
    findings.set("sends_per_call_at_the_last_hop_healthy", healthy[HOPS - 1]);
    findings.set("sends_per_call_at_the_last_hop_failing", amplification);
    let all: f64 = broken.iter().sum();
    findings.set("sends_per_call_over_all_hops_failing", all / HOPS as f64);
    let within = amplification <= MOST_AMPLIFICATION;
    findings.check(within, format!("one call became {amplification:.2} sends at the last hop"));
    let healthy_enough = (0.9..1.1).contains(&healthy[HOPS - 1]);
    findings.check(healthy_enough, format!("the healthy chain is not one: {healthy:?}"));
    findings.series.push(line("all hops healthy", &healthy));
    findings.series.push(line("the last hop fails", &broken));
    Ok(findings)
}

/// Service of a hop, from 1.
pub fn service(hop: usize) -> String {
    format!("hop-{hop}")
}

/// Back ends of each hop call the proxy of the next.
pub fn start_chain(fleet: &mut RunningFleet) -> Result<(), crate::Failure> {
    for hop in 1..=HOPS {
        let mut options = vec!["--slots".to_owned(), "64".to_owned()];
        if hop < HOPS {
            let next = fleet.layout.proxies[hop].settings.listen;
            options.extend(["--next".to_owned(), next.to_string()]);
            options.extend(["--next-service".to_owned(), service(hop + 1)]);
        }
        for _ in 0..BACKENDS_PER_HOP {
            fleet.start_backend(&service(hop), 0, &options)?;
        }
    }
    Ok(())
}

/// Sends per call at each hop.
fn offer(fleet: &RunningFleet) -> Result<Vec<f64>, crate::Failure> {
    let before = sends(fleet)?;
    let targets = vec![fleet.layout.proxies[0].settings.listen];
    let running = RunningLoad::start(&fleets::reads(&service(1), targets, THREADS, RATE));
    std::thread::sleep(RUN_TIME);
    let offered = running.finish().sent.max(1) as f64;
    let after = sends(fleet)?;
    Ok(after.iter().zip(before).map(|(after, before)| (after - before) / offered).collect())
}

fn sends(fleet: &RunningFleet) -> Result<Vec<f64>, crate::Failure> {
    let metric = |metrics| fleet.metric(metrics, "chutecove_proxy_sends_total");
    let proxies = fleet.layout.proxies.iter();
    let values: Option<Vec<f64>> =
        proxies.map(|proxy| metric(proxy.settings.metrics_listen)).collect();
    values.ok_or_else(|| "a proxy has no metrics".to_owned())
}

fn line(name: &str, sends: &[f64]) -> Series {
    let points = sends.iter().enumerate().map(|(hop, sends)| ((hop + 1) as f64, *sends));
    Series { name: name.to_owned(), points: points.collect() }
}
