//! A large fleet: its shape, its processes and the generation in force on each proxy.

use super::usage::Usage;
use crate::fleet::{
    bundle_toml, FleetLayout, FleetSpec, ProxyConfig, RunningFleet, ServiceShape, ZoneSpec,
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

/// Hollow proxies per process.
const HOLLOW_PER_PROCESS: usize = 50;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Calls per second to all real proxies together, so that they are not idle.
const CALLS_PER_S: f64 = 100.0;
const CALLER_THREADS: usize = 4;

/// Size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Number of proxies, real and hollow.
    pub nodes: usize,
    /// Number of real proxies, which run in their own process and receive calls.
    pub real: usize,
    /// Number of control replicas.
    pub voters: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones, each with one relay.
    pub zones: usize,
    /// Number of services.
    pub services: usize,
    /// Delays between zones and regions.
    pub delays: DelayPlan,
}

impl FleetShape {
    /// The size expected in two years (5 regions, 16 zones, 59 services) with `nodes` proxies.
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

    /// The current size of a deployment (1 region, 4 zones, 4 services) with `nodes` proxies.
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

    /// Returns the services of the bundle.
    pub fn service_shapes(&self) -> Vec<ServiceShape> {
        let mut services = ServiceShape::reference_services();
        for number in services.len()..self.services {
            services.push(ServiceShape::reads(&format!("service-{number}"), 20, 130));
        }
        services
    }
}

/// A running fleet of a shape.
pub struct ScaleFleet {
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Processes and addresses of the fleet.
    pub running: RunningFleet,
    services: Vec<ServiceShape>,
    hollow_processes: Vec<(String, SocketAddr)>,
    generation: u64,
    load: Option<RunningLoad>,
}

impl ScaleFleet {
    /// Starts all processes, waits until a first bundle is in force and starts the calls.
    pub fn start(folder: &Path, shape: FleetShape) -> Result<Self, crate::Failure> {
        let layout = FleetLayout::create(folder, shape.spec())?;
        let mut running = RunningFleet::prepare(layout)?;
        let services = shape.service_shapes();
        for service in services.iter().take(3) {
            for zone in [0, 1] {
                running.start_backend(&service.name, zone, &[])?;
            }
        }
        list_placeholder_upstreams(&mut running, &services, shape.nodes);
        running.start_all()?;
        let mut scale = ScaleFleet {
            shape,
            running,
            services,
            hollow_processes: Vec::new(),
            generation: 0,
            load: None,
        };
        scale.start_hollow()?;
        scale.roll_out_change()?;
        scale.wait_in_force(scale.generation)?;
        scale.start_load();
        Ok(scale)
    }

    /// Starts all hollow processes.
    pub fn start_hollow(&mut self) -> Result<(), crate::Failure> {
        let configs: Vec<Vec<ProxyConfig>> = self
            .running
            .layout
            .hollow_proxies
            .chunks(HOLLOW_PER_PROCESS)
            .map(<[ProxyConfig]>::to_vec)
            .collect();
        self.hollow_processes.clear();
        for (number, configs) in configs.iter().enumerate() {
            let name = format!("hollow-{}", number + 1);
            let status = self.running.layout.ports.next_address();
            let mut arguments =
                vec!["hollow".to_owned(), "--status".to_owned(), status.to_string()];
            arguments
                .extend(configs.iter().map(|config| config.settings_file.display().to_string()));
            self.running.start(&name, &arguments)?;
            self.hollow_processes.push((name, status));
        }
        Ok(())
    }

    /// Kills all proxies and starts them again.
    pub fn restart_all_proxies(&mut self) -> Result<(), crate::Failure> {
        for (name, process) in &mut self.running.processes {
            if name.starts_with("hollow-") || name.starts_with("proxy-") {
                process.kill();
            }
        }
        self.start_hollow()?;
        for position in 0..self.running.layout.proxies.len() {
            self.running.start_proxy(position)?;
        }
        Ok(())
    }

    fn start_load(&mut self) {
        let targets =
            self.running.layout.proxies.iter().map(|config| config.settings.listen).collect();
        let kinds = self.services.iter().take(3).map(|service| CallKind {
            service: service.name.clone(),
            is_charge: false,
            answer_bytes: 256,
        });
        self.load = Some(RunningLoad::start(&LoadPlan {
            targets,
            kinds: kinds.collect(),
            threads: CALLER_THREADS,
            rate: CALLS_PER_S,
            key_prefix: "scale".to_owned(),
            deadline: None,
        }));
    }

    /// Rolls out a bundle in which one route changed. Returns its generation and the time at which
    /// the operator requested the rollout, microseconds since 1970.
    pub fn roll_out_change(&mut self) -> Result<(u64, u64), crate::Failure> {
        let revision = self.generation as u32 + 1;
        let text = bundle_toml(&self.services, revision);
        let version = u64::from(revision);
        let digest = self.running.submit_and_approve(&text, version)?;
        let requested_at = now_us();
        let generation = self.running.roll(digest, self.generation, vec![Stage::All], None)?;
        self.generation = generation;
        Ok((generation, requested_at))
    }

    /// Returns the size of the newest bundle as a compressed snapshot, bytes.
    pub fn snapshot_bytes(&self) -> Result<usize, crate::Failure> {
        let path = self.running.layout.folder.join(format!("bundle-{}.toml", self.generation));
        let key = self.running.layout.keys.seal_key();
        let bundle = bundle::source::load(&path, Some(key)).map_err(|error| error.to_string())?;
        Ok(bundle::BundleUpdate::compress(&bundle).len())
    }

    /// Returns the newest generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the generation and time (microseconds since 1970) of every application on a real or
    /// hollow proxy.
    pub fn applied(&self) -> Vec<(u64, u64)> {
        let mut applied: Vec<(u64, u64)> =
            self.hollow_status().into_iter().flat_map(|status| status.applied).collect();
        for config in &self.running.layout.proxies {
            let log = self.running.layout.folder.join(format!("{}.log", config.settings.name));
            let text = std::fs::read_to_string(log).unwrap_or_default();
            applied.extend(text.lines().filter_map(parse_applied_line));
        }
        applied
    }

    /// Returns the status of every hollow process that responds.
    pub fn hollow_status(&self) -> Vec<HollowStatus> {
        let fetch = |status| -> Option<HollowStatus> {
            serde_json::from_str(&self.running.get(status, "/")?).ok()
        };
        self.hollow_processes.iter().filter_map(|(_, status)| fetch(*status)).collect()
    }

    /// Returns the number of proxies that have at least this generation in force.
    pub fn count_in_force(&self, generation: u64) -> usize {
        let hollow = self.hollow_status();
        let hollow = hollow.iter().flat_map(|status| &status.generations);
        let hollow = hollow.filter(|in_force| **in_force >= generation).count();
        let real = self.running.generations();
        hollow + real.values().filter(|in_force| **in_force >= Some(generation)).count()
    }

    /// Waits until a generation is in force on every proxy and returns how long that took.
    pub fn wait_in_force(&self, generation: u64) -> Result<Duration, crate::Failure> {
        let start = Instant::now();
        loop {
            let count = self.count_in_force(generation);
            if count == self.shape.nodes {
                return Ok(start.elapsed());
            }
            if start.elapsed() > IN_FORCE_TIMEOUT {
                let nodes = self.shape.nodes;
                return Err(format!("generation {generation} is on {count} of {nodes} proxies"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the frame bytes exchanged between proxies and relays so far.
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
        let control_bytes_of = |metrics| -> f64 {
            names.iter().filter_map(|name| self.running.metric(metrics, name)).sum()
        };
        let proxies = &self.running.layout.proxies;
        let real: f64 =
            proxies.iter().map(|proxy| control_bytes_of(proxy.settings.metrics_listen)).sum();
        hollow + real as u64
    }

    /// Returns the index of the leader among the control replicas.
    pub fn leader(&self) -> Option<usize> {
        let voters = &self.running.layout.voters;
        let status =
            voters.iter().find_map(|voter| self.running.status(voter.settings.metrics_listen))?;
        let leader = status["groups"]["config"]["leader"].as_u64().or(status["leader"].as_u64())?;
        voters.iter().position(|voter| voter.id == leader)
    }

    /// Updates the incarnation and state of a placeholder upstream in the platform's list.
    pub fn set_upstream(&self, number: usize, incarnation: u64, state: &str) {
        let (service, address) = placeholder_upstream(&self.services, number);
        self.running.platform.set(platform_entry(
            &self.running,
            service,
            address,
            number,
            incarnation,
            state,
        ));
    }

    /// Returns the CPU time and memory of every process, by name.
    pub fn usage(&self) -> BTreeMap<String, Usage> {
        let usage = |process: &crate::fleet::ManagedProcess| Usage::of(process.id());
        let processes = self.running.processes.iter();
        processes.filter_map(|(name, process)| Some((name.clone(), usage(process)?))).collect()
    }

    /// Returns the number of running processes.
    pub fn process_count(&self) -> usize {
        self.usage().len()
    }

    /// Returns the resident memory of all processes, MB.
    pub fn total_memory_mb(&self) -> f64 {
        self.usage().values().map(|usage| usage.resident_bytes as f64 / 1e6).sum()
    }

    /// Stops the calls, prints their counts and stops all processes.
    pub fn stop(&mut self) {
        if let Some(load) = self.load.take() {
            let tally = load.finish();
            println!(
                "calls through real proxies: sent {}, answered {}, refused {:?}, cut {}, wrong {}",
                tally.sent, tally.answered, tally.refused, tally.cut, tally.wrong
            );
        }
        for problem in self.running.stop_all() {
            eprintln!("{problem}");
        }
    }
}

/// Returns the current time, microseconds since 1970.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn parse_applied_line(line: &str) -> Option<(u64, u64)> {
    if !line.contains("generation_applied") {
        return None;
    }
    let field = |name: &str| line.split(' ').find_map(|word| word.strip_prefix(name));
    let at = humantime::parse_rfc3339(field("time=")?).ok()?;
    let at_us = at.duration_since(UNIX_EPOCH).ok()?.as_micros() as u64;
    Some((field("generation=")?.parse().ok()?, at_us))
}

/// Lists one placeholder upstream per node, in addition to the few real backends.
fn list_placeholder_upstreams(fleet: &mut RunningFleet, services: &[ServiceShape], nodes: usize) {
    for number in 0..nodes {
        let (service, address) = placeholder_upstream(services, number);
        let machine = platform_entry(fleet, service, address, number, 1, "live");
        fleet.platform.set(machine);
    }
}

/// Returns service and address of a placeholder upstream. The first three services have real
/// backends and get no placeholders, unless there are no other services.
fn placeholder_upstream(services: &[ServiceShape], number: usize) -> (&str, SocketAddr) {
    let placeholder_services = if services.len() > 3 { &services[3..] } else { services };
    let service = &placeholder_services[number % placeholder_services.len()].name;
    // Nothing listens on these loopback addresses, and no calls are sent to these services.
    let address = SocketAddr::from(([127, 1, (number / 200) as u8, (number % 200) as u8 + 1], 9));
    (service, address)
}

fn platform_entry(
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
