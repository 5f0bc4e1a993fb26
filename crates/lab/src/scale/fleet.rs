//! A large fleet: shape, processes and what is in force where.

use super::usage::Usage;
use crate::fleet::{
    bundle_toml, FleetLayout, FleetSpec, ProxyPlace, RunningFleet, ServiceShape, ZoneSpec,
};
use crate::hollow::HollowStatus;
use crate::stand_in::caller::{CallKind, LoadPlan, RunningLoad};
use crate::stand_in::link::DelayPlan;
use crate::stand_in::platform::ListedMachine;
use rollout::Stage;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Hollow proxies in one process.
const HOLLOW_PER_PROCESS: usize = 50;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(90);
const POLL: Duration = Duration::from_millis(50);
/// Calls a second to all real proxies together, so that they are not idle.
const CALL_RATE: f64 = 100.0;
const CALLER_THREADS: usize = 4;

/// How large a fleet is.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Proxies in all.
    pub nodes: usize,
    /// Proxies with a process of their own and with calls.
    pub real: usize,
    /// Control replicas.
    pub voters: usize,
    /// Regions.
    pub regions: usize,
    /// Zones, each with a relay.
    pub zones: usize,
    /// Services.
    pub services: usize,
    /// Delays.
    pub delays: DelayPlan,
}

impl FleetShape {
    /// The size of letter 1, or a part of it with as many zones.
    pub fn two_years(nodes: usize) -> Self {
        FleetShape {
            nodes,
            real: 20.min(nodes),
            voters: 5,
            regions: 5,
            zones: 16,
            services: 59,
            delays: DelayPlan {
                between_zones: Duration::from_micros(1_500),
                between_regions: Duration::from_millis(25),
            },
        }
    }

    /// A deployment of today's shape: the fare firm's zones and delays.
    pub fn today(nodes: usize) -> Self {
        FleetShape {
            nodes,
            real: 10.min(nodes),
            voters: 3,
            regions: 1,
            zones: 4,
            services: 4,
            delays: DelayPlan {
                between_zones: Duration::from_micros(1_500),
                between_regions: Duration::from_millis(25),
            },
        }
    }

    fn spec(&self) -> FleetSpec {
        let share =
            |total: usize, zone: usize| total / self.zones + usize::from(zone < total % self.zones);
        let zones = (0..self.zones)
            .map(|zone| ZoneSpec {
                name: format!("zone-{}", zone + 1),
                region: format!("region-{}", zone % self.regions + 1),
                relays: 1,
                proxies: share(self.real, zone),
                hollow_proxies: share(self.nodes - self.real, zone),
            })
            .collect();
        FleetSpec {
            fleet: "scale".to_owned(),
            voters: self.voters,
            claim_groups: 2,
            zones,
            proxy_disks: false,
            delays: Some(self.delays),
        }
    }

    /// Services of the bundle.
    pub fn service_shapes(&self) -> Vec<ServiceShape> {
        let mut services = ServiceShape::fare_firm();
        for number in services.len()..self.services {
            services.push(ServiceShape::reads(&format!("service-{number}"), 20, 130));
        }
        services
    }
}

/// A running fleet of a shape.
pub struct ScaleFleet {
    /// Its shape.
    pub shape: FleetShape,
    /// Processes and addresses.
    pub fleet: RunningFleet,
    services: Vec<ServiceShape>,
    hollow: Vec<(String, SocketAddr)>,
    generation: u64,
    load: Option<RunningLoad>,
}

impl ScaleFleet {
    /// Starts everything and puts a first bundle in force.
    pub fn start(folder: &Path, shape: FleetShape) -> Result<Self, crate::Failure> {
        let layout = FleetLayout::create(folder, shape.spec())?;
        let mut fleet = RunningFleet::prepare(layout)?;
        let services = shape.service_shapes();
        for service in services.iter().take(3) {
            for zone in [0, 1] {
                fleet.start_backend(&service.name, zone, &[])?;
            }
        }
        list_other_upstreams(&mut fleet, &services, shape.nodes);
        fleet.start_all()?;
        let mut scale =
            ScaleFleet { shape, fleet, services, hollow: Vec::new(), generation: 0, load: None };
        scale.start_hollow()?;
        scale.change()?;
        scale.wait_in_force(scale.generation)?;
        scale.start_load();
        Ok(scale)
    }

    /// Starts all hollow processes.
    pub fn start_hollow(&mut self) -> Result<(), crate::Failure> {
        let places: Vec<Vec<ProxyPlace>> = self
            .fleet
            .layout
            .hollow_proxies
            .chunks(HOLLOW_PER_PROCESS)
            .map(<[ProxyPlace]>::to_vec)
            .collect();
        self.hollow.clear();
        for (number, places) in places.iter().enumerate() {
            let name = format!("hollow-{}", number + 1);
            let status = self.fleet.layout.ports.next_address();
            let mut arguments =
                vec!["hollow".to_owned(), "--status".to_owned(), status.to_string()];
            arguments.extend(places.iter().map(|place| place.settings_file.display().to_string()));
            self.fleet.start(&name, &arguments)?;
            self.hollow.push((name, status));
        }
        Ok(())
    }

    /// Ends every proxy at once and starts all again.
    pub fn restart_all_proxies(&mut self) -> Result<(), crate::Failure> {
        for (name, process) in &mut self.fleet.processes {
            if name.starts_with("hollow-") || name.starts_with("proxy-") {
                process.kill();
            }
        }
        self.start_hollow()?;
        for position in 0..self.fleet.layout.proxies.len() {
            self.fleet.start_proxy(position)?;
        }
        Ok(())
    }

    fn start_load(&mut self) {
        let targets = self.fleet.layout.proxies.iter().map(|place| place.settings.listen).collect();
        let kinds = self.services.iter().take(3).map(|service| CallKind {
            service: service.name.clone(),
            is_charge: false,
            answer_bytes: 256,
        });
        self.load = Some(RunningLoad::start(&LoadPlan {
            targets,
            kinds: kinds.collect(),
            threads: CALLER_THREADS,
            rate: CALL_RATE,
            key_prefix: "scale".to_owned(),
            deadline: None,
        }));
    }

    /// Rolls a bundle out in which one route changed; returns its generation, and when the
    /// operator sent the roll, microseconds since 1970.
    pub fn change(&mut self) -> Result<(u64, u64), crate::Failure> {
        let revision = self.generation as u32 + 1;
        let text = bundle_toml(&self.services, revision);
        let version = u64::from(revision);
        let before = self.fleet.submit_and_approve(&text, version)?;
        let asked_at = now_us();
        let generation = self.fleet.roll(before, self.generation, vec![Stage::All], None)?;
        self.generation = generation;
        Ok((generation, asked_at))
    }

    /// Size of the newest bundle as a compressed snapshot, bytes.
    pub fn snapshot_bytes(&self) -> Result<usize, crate::Failure> {
        let path = self.fleet.layout.folder.join(format!("bundle-{}.toml", self.generation));
        let key = self.fleet.layout.keys.seal_key();
        let bundle = bundle::source::load(&path, Some(key)).map_err(|error| error.to_string())?;
        Ok(bundle::BundleUpdate::compress(&bundle).len())
    }

    /// Newest generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// When each proxy applied each generation, microseconds since 1970, hollow and real ones.
    pub fn applied(&self) -> Vec<(u64, u64)> {
        let mut applied: Vec<(u64, u64)> =
            self.hollow_status().into_iter().flat_map(|status| status.applied).collect();
        for place in &self.fleet.layout.proxies {
            let log = self.fleet.layout.folder.join(format!("{}.log", place.settings.name));
            let text = std::fs::read_to_string(log).unwrap_or_default();
            applied.extend(text.lines().filter_map(applied_in_line));
        }
        applied
    }

    /// What every hollow process says.
    pub fn hollow_status(&self) -> Vec<HollowStatus> {
        let read = |status| -> Option<HollowStatus> {
            serde_json::from_str(&self.fleet.get(status, "/")?).ok()
        };
        self.hollow.iter().filter_map(|(_, status)| read(*status)).collect()
    }

    /// Number of proxies that have at least this generation in force.
    pub fn count_in_force(&self, generation: u64) -> usize {
        let hollow = self.hollow_status();
        let hollow = hollow.iter().flat_map(|status| &status.generations);
        let hollow = hollow.filter(|held| **held >= generation).count();
        let real = self.fleet.generations();
        hollow + real.values().filter(|held| **held >= Some(generation)).count()
    }

    /// Waits until a generation is in force on every proxy.
    pub fn wait_in_force(&self, generation: u64) -> Result<Duration, crate::Failure> {
        let start = Instant::now();
        loop {
            let count = self.count_in_force(generation);
            if count == self.shape.nodes {
                return Ok(start.elapsed());
            }
            if start.elapsed() > IN_FORCE_LIMIT {
                let nodes = self.shape.nodes;
                return Err(format!("generation {generation} is on {count} of {nodes} proxies"));
            }
            std::thread::sleep(POLL);
        }
    }

    /// Bytes of frames between all proxies and relays so far.
    pub fn control_bytes(&self) -> u64 {
        let hollow: u64 = self
            .hollow_status()
            .iter()
            .map(|status| status.sent_bytes + status.received_bytes)
            .sum();
        let names = [
            "chutecove_proxy_control_sent_bytes_total",
            "chutecove_proxy_control_received_bytes_total",
        ];
        let of = |metrics| -> f64 {
            names.iter().filter_map(|name| self.fleet.metric(metrics, name)).sum()
        };
        let places = &self.fleet.layout.proxies;
        let real: f64 = places.iter().map(|place| of(place.settings.metrics_listen)).sum();
        hollow + real as u64
    }

    /// Position of the leader among the control replicas.
    pub fn leader(&self) -> Option<usize> {
        let voters = &self.fleet.layout.voters;
        let status =
            voters.iter().find_map(|voter| self.fleet.status(voter.settings.metrics_listen))?;
        let leader = status["groups"]["config"]["leader"].as_u64().or(status["leader"].as_u64())?;
        voters.iter().position(|voter| voter.id == leader)
    }

    /// Lists an upstream again as another incarnation, or as leaving.
    pub fn set_upstream(&self, number: usize, incarnation: u64, state: &str) {
        let (service, address) = other_upstream(&self.services, number);
        self.fleet.platform.set(listed(&self.fleet, service, address, number, incarnation, state));
    }

    /// Processor time and memory of every process, by name.
    pub fn usage(&self) -> BTreeMap<String, Usage> {
        let usage = |process: &crate::fleet::ManagedProcess| Usage::of(process.id());
        let processes = self.fleet.processes.iter();
        processes.filter_map(|(name, process)| Some((name.clone(), usage(process)?))).collect()
    }

    /// Number of processes that run.
    pub fn process_count(&self) -> usize {
        self.usage().len()
    }

    /// Resident memory of all processes, MB.
    pub fn total_memory_mb(&self) -> f64 {
        self.usage().values().map(|usage| usage.resident_bytes as f64 / 1e6).sum()
    }

    /// Ends everything.
    pub fn stop(&mut self) {
        if let Some(load) = self.load.take() {
            let tally = load.finish();
            println!(
                "calls through real proxies: sent {}, answered {}, refused {:?}, cut {}, wrong {}",
                tally.sent, tally.answered, tally.refused, tally.cut, tally.wrong
            );
        }
        for problem in self.fleet.stop_all() {
            eprintln!("{problem}");
        }
    }
}

/// Microseconds since 1970.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn applied_in_line(line: &str) -> Option<(u64, u64)> {
    if !line.contains("generation_applied") {
        return None;
    }
    let field = |name: &str| line.split(' ').find_map(|word| word.strip_prefix(name));
    let at = humantime::parse_rfc3339(field("time=")?).ok()?;
    let at_us = at.duration_since(UNIX_EPOCH).ok()?.as_micros() as u64;
    Some((field("generation=")?.parse().ok()?, at_us))
}

/// One upstream a node; those beyond the few real back ends are only listed.
fn list_other_upstreams(fleet: &mut RunningFleet, services: &[ServiceShape], nodes: usize) {
    for number in 0..nodes {
        let (service, address) = other_upstream(services, number);
        let machine = listed(fleet, service, address, number, 1, "live");
        fleet.platform.set(machine);
    }
}

/// The first three services have real back ends, unless there are no others.
fn other_upstream(services: &[ServiceShape], number: usize) -> (&str, SocketAddr) {
    let others = if services.len() > 3 { &services[3..] } else { services };
    let service = &others[number % others.len()].name;
    // Addresses that nothing listens on: on another loopback address, where nothing is sent.
    let address = SocketAddr::from(([127, 1, (number / 200) as u8, (number % 200) as u8 + 1], 9));
    (service, address)
}

fn listed(
    fleet: &RunningFleet,
    service: &str,
    address: SocketAddr,
    number: usize,
    incarnation: u64,
    state: &str,
) -> ListedMachine {
    let zones = &fleet.layout.spec.zones;
    let zone = &zones[number % zones.len()];
    ListedMachine {
        service: service.to_owned(),
        address,
        incarnation,
        state: state.to_owned(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
    }
}
