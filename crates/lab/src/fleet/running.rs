//! Starts, observes and stops the processes of a fleet.

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

const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of a stub backend.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Name of the process.
    pub name: String,
    /// Service that the backend belongs to.
    pub service: String,
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// File with one line per run of a keyed call.
    pub runs_file: PathBuf,
}

/// A fleet with running processes.
pub struct RunningFleet {
    /// Settings files and addresses.
    pub layout: FleetLayout,
    /// The platform's list of machines.
    pub platform: PlatformList,
    /// Stub backends.
    pub backends: Vec<BackendConfig>,
    /// Processes by name.
    pub processes: BTreeMap<String, ManagedProcess>,
    agent: ureq::Agent,
}

impl RunningFleet {
    /// Serves the platform's list without starting any process.
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

    /// Starts this binary as a process of the fleet, with its log in the folder of the fleet.
    pub fn start(&mut self, name: &str, arguments: &[String]) -> Result<(), crate::Failure> {
        let log = self.layout.folder.join(format!("{name}.log"));
        let process = ManagedProcess::start(name, arguments, &log)
            .map_err(|error| format!("cannot start {name}: {error}"))?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn product_arguments(
        &self,
        role: &str,
        settings_file: &std::path::Path,
        extra_arguments: &[&str],
    ) -> Vec<String> {
        let path = settings_file.display().to_string();
        let base_arguments = ["product", role, "--settings", &path];
        base_arguments
            .iter()
            .chain(extra_arguments)
            .map(|argument| (*argument).to_owned())
            .collect()
    }

    /// Starts one control replica; `flag` is `--bootstrap`, `--join` or `None`.
    pub fn start_voter(
        &mut self,
        position: usize,
        flag: Option<&str>,
    ) -> Result<(), crate::Failure> {
        let voter = &self.layout.voters[position];
        let name = format!("control-{}", voter.id);
        let extra_arguments: Vec<&str> = flag.into_iter().collect();
        let arguments = self.product_arguments("control", &voter.settings_file, &extra_arguments);
        self.start(&name, &arguments)
    }

    /// Starts one relay.
    pub fn start_relay(&mut self, position: usize) -> Result<(), crate::Failure> {
        let relay = &self.layout.relays[position];
        let name = relay.settings.name.clone();
        let arguments = self.product_arguments("relay", &relay.settings_file, &[]);
        self.start(&name, &arguments)
    }

    /// Starts one proxy.
    pub fn start_proxy(&mut self, position: usize) -> Result<(), crate::Failure> {
        let proxy = &self.layout.proxies[position];
        let name = proxy.settings.name.clone();
        let arguments = self.product_arguments("proxy", &proxy.settings_file, &[]);
        self.start(&name, &arguments)
    }

    /// Starts one backend that is not in the platform's list, and returns its position.
    pub fn start_unlisted_backend(
        &mut self,
        service: &str,
        extra_arguments: &[String],
    ) -> Result<usize, crate::Failure> {
        let name = format!("backend-{service}-{}", self.backends.len() + 1);
        let address = self.layout.ports.next_address();
        let runs_file = self.layout.folder.join(format!("{name}.runs"));
        let config = BackendConfig { name, service: service.to_owned(), address, runs_file };
        self.backends.push(config);
        self.run_backend(self.backends.len() - 1, extra_arguments)?;
        Ok(self.backends.len() - 1)
    }

    /// Starts one backend, adds it to the platform's list as live, and returns its position.
    pub fn start_backend(
        &mut self,
        service: &str,
        zone: usize,
        extra_arguments: &[String],
    ) -> Result<usize, crate::Failure> {
        let zone = self.layout.spec.zones[zone].clone();
        let position = self.start_unlisted_backend(service, extra_arguments)?;
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

    /// Starts or restarts the process of a configured backend.
    pub fn run_backend(
        &mut self,
        position: usize,
        extra_arguments: &[String],
    ) -> Result<(), crate::Failure> {
        let config = self.backends[position].clone();
        let mut arguments: Vec<String> = [
            "backend",
            "--listen",
            &config.address.to_string(),
            "--service",
            &config.service,
            "--runs-file",
            &config.runs_file.display().to_string(),
        ]
        .iter()
        .map(|argument| (*argument).to_owned())
        .collect();
        arguments.extend(extra_arguments.iter().cloned());
        self.start(&config.name, &arguments)
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
        self.wait_until("a leader", START_TIMEOUT, |fleet| {
            fleet.layout.voters.iter().any(|voter| fleet.is_ready(voter.settings.metrics_listen))
        })
    }

    /// Polls until a condition holds; `what` names it in the error message.
    pub fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), crate::Failure> {
        let deadline = Instant::now() + timeout;
        while !condition(self) {
            if Instant::now() >= deadline {
                return Err(format!("timed out after {timeout:?} waiting for {what}"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a GET request; returns `None` unless the response has status 200.
    pub fn get(&self, address: SocketAddr, path: &str) -> Option<String> {
        let mut answer = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        if answer.status() != 200 {
            return None;
        }
        answer.body_mut().read_to_string().ok()
    }

    /// Returns whether a process reports that it is ready.
    pub fn is_ready(&self, metrics: SocketAddr) -> bool {
        self.get(metrics, "/readyz").is_some()
    }

    /// Returns the status document of a process.
    pub fn status(&self, metrics: SocketAddr) -> Option<Value> {
        serde_json::from_str(&self.get(metrics, "/status")?).ok()
    }

    /// Returns the value of a metric of a process.
    pub fn metric(&self, metrics: SocketAddr, name: &str) -> Option<f64> {
        let text = self.get(metrics, "/metrics")?;
        let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Returns the generation in force on each proxy, by name; `None` if the proxy does not respond
    /// or has none.
    pub fn generations(&self) -> BTreeMap<String, Option<u64>> {
        let generation =
            |metrics| self.status(metrics).and_then(|status| status["generation"].as_u64());
        self.layout
            .proxies
            .iter()
            .map(|proxy| (proxy.settings.name.clone(), generation(proxy.settings.metrics_listen)))
            .collect()
    }

    /// Waits until no proxy lists an upstream any more, and returns how long that took.
    pub fn wait_until_unused(
        &self,
        upstream: SocketAddr,
        timeout: Duration,
    ) -> Result<Duration, crate::Failure> {
        let start = Instant::now();
        let address = upstream.to_string();
        self.wait_until("the leaving backend to receive no new work", timeout, |fleet| {
            fleet.layout.proxies.iter().all(|proxy| {
                let status = fleet.status(proxy.settings.metrics_listen);
                status.is_some_and(|status| !status["upstreams"].to_string().contains(&address))
            })
        })?;
        Ok(start.elapsed())
    }

    /// Waits until all proxies have at least this generation in force, and returns how long that
    /// took.
    pub fn wait_in_force(
        &self,
        generation: u64,
        timeout: Duration,
    ) -> Result<Duration, crate::Failure> {
        let start = Instant::now();
        let mut pending: Vec<SocketAddr> =
            self.layout.proxies.iter().map(|proxy| proxy.settings.metrics_listen).collect();
        while !pending.is_empty() {
            pending.retain(|metrics| {
                let in_force =
                    self.status(*metrics).and_then(|status| status["generation"].as_u64());
                in_force.is_none_or(|in_force| in_force < generation)
            });
            if start.elapsed() > timeout {
                return Err(format!("generation {generation} is not in force on {pending:?}"));
            }
        }
        Ok(start.elapsed())
    }

    /// Returns an API client that acts as the submitting operator.
    pub fn submitter(&self) -> Result<OperatorClient, crate::Failure> {
        self.layout.keys.client(SUBMITTER, self.layout.api())
    }

    /// Returns an API client that acts as the approving operator.
    pub fn approver(&self) -> Result<OperatorClient, crate::Failure> {
        self.layout.keys.client(APPROVER, self.layout.api())
    }

    /// Submits, approves and rolls out a bundle, and returns its generation.
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

    /// Rolls out an approved bundle and returns its generation.
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
            other => Err(format!("unexpected response to the roll command: {other:?}")),
        }
    }

    /// Stops all running processes with SIGTERM, kills those that do not exit, and returns a
    /// message for each that failed to stop cleanly.
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

/// Sends a command as an operator.
pub fn send(client: &OperatorClient, command: &Command) -> Result<Accepted, crate::Failure> {
    let body = serde_json::to_vec(command).map_err(|error| error.to_string())?;
    client.post("/v1/commands", &body, None).map_err(|failure| failure.message)
}
