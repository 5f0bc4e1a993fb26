//! Retry amplification: how often a call is sent at each hop when the last of eight hops fails.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::{FleetLayout, RunningFleet, ServiceShape};
use crate::stand_in::caller::RunningLoad;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of proxies in the chain.
pub const HOPS: usize = 8;
const BACKENDS_PER_HOP: usize = 2;
const CALLS_PER_S: f64 = 100.0;
const CALLER_THREADS: usize = 32;
const RUN_TIME: Duration = Duration::from_secs(10);
const MAX_AMPLIFICATION: f64 = 1.2;

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let layout = FleetLayout::create(folder.path(), fleets::spec(1, HOPS))?;
    let mut fleet = RunningFleet::prepare(layout)?;
    let services: Vec<ServiceShape> =
        (1..=HOPS).map(|hop| ServiceShape::reads(&hop_service(hop), 64, 512)).collect();
    start_chain(&mut fleet)?;
    fleet.start_all()?;
    fleets::roll_out_first_bundle(&fleet, &services)?;
    let mut findings = Findings::new("amplification", "hop", "sends per call");
    let healthy = run_load(&fleet)?;
    let last: Vec<SocketAddr> =
        fleet.backends.iter().rev().take(BACKENDS_PER_HOP).map(|backend| backend.address).collect();
    for address in last {
        fleet
            .get(address, "/admin/break/1")
            .ok_or("a backend of the last hop did not accept the fault")?;
    }
    let broken = run_load(&fleet)?;
    fleet.stop_all();
    let amplification = broken.last().copied().unwrap_or(0.0);
    findings.set("sends_per_call_at_the_last_hop_healthy", healthy[HOPS - 1]);
    findings.set("sends_per_call_at_the_last_hop_failing", amplification);
    let total: f64 = broken.iter().sum();
    findings.set("sends_per_call_over_all_hops_failing", total / HOPS as f64);
    let within = amplification <= MAX_AMPLIFICATION;
    findings.check(within, format!("one call became {amplification:.2} sends at the last hop"));
    let healthy_is_one = (0.9..1.1).contains(&healthy[HOPS - 1]);
    findings.check(
        healthy_is_one,
        format!("sends per call at the last hop of the healthy chain are not near 1: {healthy:?}"),
    );
    findings.series.push(sends_series("all hops healthy", &healthy));
    findings.series.push(sends_series("the last hop fails", &broken));
    Ok(findings)
}

/// Returns the service of a hop, counted from 1.
pub fn hop_service(hop: usize) -> String {
    format!("hop-{hop}")
}

/// Starts the backends of each hop, which call the proxy of the next hop.
pub fn start_chain(fleet: &mut RunningFleet) -> Result<(), crate::Failure> {
    for hop in 1..=HOPS {
        let mut options = vec!["--slots".to_owned(), "64".to_owned()];
        if hop < HOPS {
            let next = fleet.layout.proxies[hop].settings.listen;
            options.extend(["--next".to_owned(), next.to_string()]);
            options.extend(["--next-service".to_owned(), hop_service(hop + 1)]);
        }
        for _ in 0..BACKENDS_PER_HOP {
            fleet.start_backend(&hop_service(hop), 0, &options)?;
        }
    }
    Ok(())
}

/// Runs the load and returns the sends per call at each hop.
fn run_load(fleet: &RunningFleet) -> Result<Vec<f64>, crate::Failure> {
    let before = sends(fleet)?;
    let targets = vec![fleet.layout.proxies[0].settings.listen];
    let load = RunningLoad::start(&fleets::read_load(
        &hop_service(1),
        targets,
        CALLER_THREADS,
        CALLS_PER_S,
    ));
    std::thread::sleep(RUN_TIME);
    let offered = load.finish().sent.max(1) as f64;
    let after = sends(fleet)?;
    Ok(after.iter().zip(before).map(|(after, before)| (after - before) / offered).collect())
}

fn sends(fleet: &RunningFleet) -> Result<Vec<f64>, crate::Failure> {
    let metric = |metrics| fleet.metric(metrics, "chutecove_proxy_sends_total");
    let proxies = fleet.layout.proxies.iter();
    let values: Option<Vec<f64>> =
        proxies.map(|proxy| metric(proxy.settings.metrics_listen)).collect();
    values.ok_or_else(|| "a proxy does not report its sends".to_owned())
}

fn sends_series(name: &str, sends: &[f64]) -> Series {
    let points = sends.iter().enumerate().map(|(hop, sends)| ((hop + 1) as f64, *sends));
    Series { name: name.to_owned(), points: points.collect() }
}
