//! Starting, watching and ending the processes of a fleet.

use super::keys::{APPROVER, SUBMITTER};
use super::layout::FleetLayout;
use super::process::ManagedProcess;
use crate::stand_in::platform::{ListedMachine, PlatformList};
use bundle::Digest;
use chutecove::operator::OperatorClient;
use rollout::{Accepted, Command, Stage};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const START_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(5);

/// One stand-in back end.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// File that counts its runs.
    pub runs_file: PathBuf,
}

/// A fleet whose processes run.
pub struct RunningFleet {
    /// Files and addresses.
    pub layout: FleetLayout,
    /// The platform's list.
    pub platform: PlatformList,
    /// Stand-in back ends.
    pub backends: Vec<BackendConfig>,
    /// Processes by name.
    pub processes: BTreeMap<String, ManagedProcess>,
    agent: ureq::Agent,
}

impl RunningFleet {
    /// Serves the platform's list; nothing else runs yet.
    pub fn prepare(layout: FleetLayout) -> Result<Self, crate::Failure> {
        let platform = PlatformList::serve(layout.platform)?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(2)))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Ok(RunningFleet {
            layout,
            platform,
            backends: Vec::new(),
            processes: BTreeMap::new(),
            agent: config.into(),
        })
    }

    /// Starts a process of the fleet.
    pub fn start(&mut self, name: &str, arguments: &[String]) -> Result<(), crate::Failure> {
        let log = self.layout.folder.join(format!("{name}.log"));
        let process = ManagedProcess::start(name, arguments, &log)
            .map_err(|error| format!("cannot start {name}: {error}"))?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn product(&self, role: &str, settings_file: &std::path::Path, more: &[&str]) -> Vec<String> {
        let path = settings_file.display().to_string();
        let fixed = ["product", role, "--settings", &path];
        fixed.iter().chain(more).map(|argument| (*argument).to_owned()).collect()
    }

    /// Starts one control replica; `flag` is `--bootstrap`, `--join` or nothing.
    pub fn start_voter(
        &mut self,
        position: usize,
        flag: Option<&str>,
    ) -> Result<(), crate::Failure> {
        let voter = &self.layout.voters[position];
        let name = format!("control-{}", voter.id);
        let more: Vec<&str> = flag.into_iter().collect();
        let arguments = self.product("control", &voter.settings_file, &more);
        self.start(&name, &arguments)
    }

    /// Starts one relay.
    pub fn start_relay(&mut self, position: usize) -> Result<(), crate::Failure> {
        let relay = &self.layout.relays[position];
        let name = relay.settings.name.clone();
        let arguments = self.product("relay", &relay.settings_file, &[]);
        self.start(&name, &arguments)
    }

    /// Starts one proxy.
    pub fn start_proxy(&mut self, position: usize) -> Result<(), crate::Failure> {
        let proxy = &self.layout.proxies[position];
        let name = proxy.settings.name.clone();
        let arguments = self.product("proxy", &proxy.settings_file, &[]);
        self.start(&name, &arguments)
    }

    /// Starts one back end that no proxy knows of.
    pub fn start_unlisted_backend(
        &mut self,
        service: &str,
        more: &[String],
    ) -> Result<usize, crate::Failure> {
        let name = format!("backend-{service}-{}", self.backends.len() + 1);
        let address = self.layout.ports.next_address();
        let runs_file = self.layout.folder.join(format!("{name}.runs"));
        let place = BackendConfig { name, service: service.to_owned(), address, runs_file };
        self.backends.push(place);
        self.run_backend(self.backends.len() - 1, more)?;
        Ok(self.backends.len() - 1)
    }

    /// Starts one back end and lists it as live.
    pub fn start_backend(
        &mut self,
        service: &str,
        zone: usize,
        more: &[String],
    ) -> Result<usize, crate::Failure> {
        let zone = self.layout.spec.zones[zone].clone();
        let position = self.start_unlisted_backend(service, more)?;
        let address = self.backends[position].address;
        self.platform.set(ListedMachine {
            service: service.to_owned(),
            address,
            incarnation: 1,
            state: "live".to_owned(),
            zone: zone.name,
            region: zone.region,
        });
        Ok(position)
    }

    /// Starts the process of a placed back end, again after it was ended.
    pub fn run_backend(&mut self, position: usize, more: &[String]) -> Result<(), crate::Failure> {
        let place = self.backends[position].clone();
        let mut arguments: Vec<String> = [
            "backend",
            "--listen",
            &place.address.to_string(),
            "--service",
            &place.service,
            "--runs-file",
            &place.runs_file.display().to_string(),
        ]
        .iter()
        .map(|argument| (*argument).to_owned())
        .collect();
        arguments.extend(more.iter().cloned());
        self.start(&place.name, &arguments)
    }

    /// Starts all control replicas, relays and proxies of the layout, and waits for a leader.
    pub fn start_all(&mut self) -> Result<(), crate::Failure> {
        for position in 0..self.layout.voters.len() {
            self.start_voter(position, Some("--bootstrap"))?;
        }
        for position in 0..self.layout.relays.len() {
            self.start_relay(position)?;
        }
        for position in 0..self.layout.proxies.len() {
            self.start_proxy(position)?;
        }
        self.wait_until("a leader", START_LIMIT, |fleet| {
            fleet.layout.voters.iter().any(|voter| fleet.is_ready(voter.settings.metrics_listen))
        })
    }

    /// Waits for a condition.
    pub fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), crate::Failure> {
        let deadline = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() >= deadline {
                return Err(format!("{what} did not come about within {limit:?}"));
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    /// Reads a text over HTTP; `None` if there is no answer with status 200.
    pub fn get(&self, address: SocketAddr, path: &str) -> Option<String> {
        let mut answer = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        if answer.status() != 200 {
            return None;
        }
        answer.body_mut().read_to_string().ok()
    }

    /// Whether a process says that it is ready.
    pub fn is_ready(&self, metrics: SocketAddr) -> bool {
        self.get(metrics, "/readyz").is_some()
    }

    /// A process's status.
    pub fn status(&self, metrics: SocketAddr) -> Option<Value> {
        serde_json::from_str(&self.get(metrics, "/status")?).ok()
    }

    /// The value of a metric.
    pub fn metric(&self, metrics: SocketAddr, name: &str) -> Option<f64> {
        let text = self.get(metrics, "/metrics")?;
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Generations in force on the proxies, by name; `None` for one that does not answer.
    pub fn generations(&self) -> BTreeMap<String, Option<u64>> {
        let generation = |metrics| self.status(metrics).and_then(|s| s["generation"].as_u64());
        self.layout
            .proxies
            .iter()
            .map(|proxy| (proxy.settings.name.clone(), generation(proxy.settings.metrics_listen)))
            .collect()
    }

    /// Waits until no proxy uses an upstream any more; returns how long that took.
    pub fn wait_until_unused(
        &self,
        upstream: SocketAddr,
        limit: Duration,
    ) -> Result<Duration, crate::Failure> {
        let start = Instant::now();
        let address = upstream.to_string();
        self.wait_until("no new work for the leaving back end", limit, |fleet| {
            fleet.layout.proxies.iter().all(|proxy| {
                let status = fleet.status(proxy.settings.metrics_listen);
                status.is_some_and(|status| !status["upstreams"].to_string().contains(&address))
            })
        })?;
        Ok(start.elapsed())
    }

    /// Waits until all proxies have at least this generation; returns the time it took.
    pub fn wait_in_force(
        &self,
        generation: u64,
        limit: Duration,
    ) -> Result<Duration, crate::Failure> {
        let start = Instant::now();
        let mut missing: Vec<SocketAddr> =
            self.layout.proxies.iter().map(|proxy| proxy.settings.metrics_listen).collect();
        while !missing.is_empty() {
            missing.retain(|metrics| {
                let held = self.status(*metrics).and_then(|s| s["generation"].as_u64());
                held.is_none_or(|held| held < generation)
            });
            if start.elapsed() > limit {
                return Err(format!("generation {generation} is not in force on {missing:?}"));
            }
        }
        Ok(start.elapsed())
    }

    /// A connection as the operator who submits.
    pub fn submitter(&self) -> Result<OperatorClient, crate::Failure> {
        self.layout.keys.client(SUBMITTER, self.layout.api())
    }

    /// A connection as the operator who approves.
    pub fn approver(&self) -> Result<OperatorClient, crate::Failure> {
        self.layout.keys.client(APPROVER, self.layout.api())
    }

    /// Submits, approves and rolls a bundle; returns the generation.
    pub fn roll_out(
        &self,
        text: &str,
        version: u64,
        expected: u64,
        stages: Vec<Stage>,
        advance_after_s: Option<u32>,
    ) -> Result<u64, crate::Failure> {
        let digest = self.submit_and_approve(text, version)?;
        self.roll(digest, expected, stages, advance_after_s)
    }

    /// Submits a bundle as one operator and approves it as another.
    pub fn submit_and_approve(&self, text: &str, version: u64) -> Result<Digest, crate::Failure> {
        let (submitter, approver) = (self.submitter()?, self.approver()?);
        let path = self.layout.folder.join(format!("bundle-{version}.toml"));
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        let bundle = bundle::source::load(&path, Some(self.layout.keys.seal_key()))
            .map_err(|error| error.to_string())?;
        let digest = bundle.digest();
        let compressed = bundle::BundleUpdate::compress(&bundle);
        let submit = format!("/v1/submit?version={version}");
        let _: Accepted =
            submitter.post(&submit, &compressed, None).map_err(|failure| failure.message)?;
        let signature = approver.sign(&bundle::approval_message(&digest));
        send(&approver, &Command::Approve { digest, signature })?;
        Ok(digest)
    }

    /// Rolls an approved bundle; returns the generation.
    pub fn roll(
        &self,
        digest: Digest,
        expected: u64,
        stages: Vec<Stage>,
        advance_after_s: Option<u32>,
    ) -> Result<u64, crate::Failure> {
        let roll = Command::Roll { digest, expected_generation: expected, stages, advance_after_s };
        match send(&self.submitter()?, &roll)? {
            Accepted::Rolled { generation } => Ok(generation),
            other => Err(format!("unexpected answer {other:?}")),
        }
    }

    /// Ends all processes, the planned way where they still run.
    pub fn stop_all(&mut self) -> Vec<String> {
        for process in self.processes.values_mut() {
            process.terminate();
        }
        let mut failed = Vec::new();
        for process in self.processes.values_mut() {
            match process.wait_exit(Duration::from_secs(15)) {
                Some(status) if status.success() => {}
                Some(status) => failed.push(format!("{} ended with {status}", process.name())),
                None => failed.push(format!("{} did not stop", process.name())),
            }
            process.kill();
        }
        failed
    }
}

/// Sends an operator's command.
pub fn send(client: &OperatorClient, command: &Command) -> Result<Accepted, crate::Failure> {
    let body = serde_json::to_vec(command).map_err(|error| error.to_string())?;
    client.post("/v1/commands", &body, None).map_err(|failure| failure.message)
}
