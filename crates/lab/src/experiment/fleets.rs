//! Small fleets without hollow proxies for experiments with calls.

use crate::fleet::{bundle_toml, FleetLayout, FleetSpec, RunningFleet, ServiceShape, ZoneSpec};
use crate::stand_in::caller::{CallKind, LoadPlan};
use rollout::Stage;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns the spec of a fleet with one region, equal zones and three control replicas.
pub fn spec(zones: usize, proxies_per_zone: usize) -> FleetSpec {
    let zone = |number| ZoneSpec {
        name: format!("zone-{number}"),
        region: "region-1".to_owned(),
        relays: 1,
        proxies: proxies_per_zone,
        hollow_proxies: 0,
    };
    FleetSpec {
        fleet: "experiment".to_owned(),
        voters: 3,
        claim_groups: 2,
        zones: (1..=zones).map(zone).collect(),
        proxy_disks: false,
        delays: None,
    }
}

/// Starts a fleet with `backends_per_zone` backends of each service in each zone, and rolls out the
/// first bundle.
pub fn start(
    folder: &Path,
    spec: FleetSpec,
    services: &[ServiceShape],
    backends_per_zone: usize,
    backend_options: &[String],
) -> Result<RunningFleet, crate::Failure> {
    let zones = spec.zones.len();
    let layout = FleetLayout::create(folder, spec)?;
    let mut fleet = RunningFleet::prepare(layout)?;
    for service in services {
        for number in 0..zones * backends_per_zone {
            fleet.start_backend(&service.name, number % zones, backend_options)?;
        }
    }
    fleet.start_all()?;
    roll_out_first_bundle(&fleet, services)?;
    Ok(fleet)
}

/// Rolls out the first bundle and waits until every proxy knows backend addresses.
pub fn roll_out_first_bundle(
    fleet: &RunningFleet,
    services: &[ServiceShape],
) -> Result<(), crate::Failure> {
    let text = bundle_toml(services, 0);
    let generation = fleet.roll_out(&text, 1, 0, vec![Stage::All], None)?;
    fleet.wait_in_force(generation, IN_FORCE_TIMEOUT)?;
    fleet.wait_until("endpoints on every proxy", IN_FORCE_TIMEOUT, |fleet| {
        fleet.layout.proxies.iter().all(|proxy| {
            let status = fleet.status(proxy.settings.metrics_listen);
            status.is_some_and(|status| status["upstreams"].to_string().contains("127.0.0.1"))
        })
    })
}

/// Returns a load of read calls to the given proxies or backends.
pub fn read_load(service: &str, targets: Vec<SocketAddr>, threads: usize, rate: f64) -> LoadPlan {
    LoadPlan {
        targets,
        kinds: vec![CallKind { service: service.to_owned(), is_charge: false, answer_bytes: 256 }],
        threads,
        rate,
        key_prefix: format!("run-{}", fastrand::u32(..)),
        deadline: None,
    }
}

/// Returns the addresses on which the proxies listen for callers.
pub fn proxy_addresses(fleet: &RunningFleet) -> Vec<SocketAddr> {
    fleet.layout.proxies.iter().map(|proxy| proxy.settings.listen).collect()
}
