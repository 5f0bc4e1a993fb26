//! 100,000 calls to real processes during kills, freezes, drains and rollouts.

use super::fleets;
use super::Findings;
use crate::fleet::{bundle_toml, RunningFleet, ServiceShape};
use crate::stand_in::backend::read_runs;
use crate::stand_in::caller::{CallKind, LoadPlan, RunningLoad, Tally};
use rollout::Stage;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CALLS_PER_S: f64 = 1_000.0;
const CALLER_THREADS: usize = 96;
const MIN_CALLS: u64 = 100_000;
const RUN_TIME: Duration = Duration::from_secs(110);
const PAUSE: Duration = Duration::from_millis(700);
const FREEZE_DURATION: Duration = Duration::from_secs(2);
const SEED: u64 = 1;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = ServiceShape::reference_services();
    let mut fleet = fleets::start(folder.path(), fleets::spec(2, 3), &services, 2, &[])?;
    let load = RunningLoad::start(&load_plan(&fleet, &services));
    let mut faults = Faults::new(services);
    let result = faults.run(&mut fleet);
    let tally = load.finish();
    let converged = fleet.wait_in_force(faults.generation, IN_FORCE_TIMEOUT);
    let mut findings = Findings::new("faults", "", "");
    record_results(&fleet, &tally, &faults, &mut findings);
    findings.check(converged.is_ok(), format!("not converged: {converged:?}"));
    let failed = fleet.stop_all();
    findings.check(failed.is_empty(), format!("planned stops failed: {failed:?}"));
    result?;
    Ok(findings)
}

fn load_plan(fleet: &RunningFleet, services: &[ServiceShape]) -> LoadPlan {
    let kind = |service: &ServiceShape| CallKind {
        service: service.name.clone(),
        is_charge: service.takes_charges,
        answer_bytes: 512,
    };
    LoadPlan {
        targets: fleets::proxy_addresses(fleet),
        kinds: services.iter().map(kind).collect(),
        threads: CALLER_THREADS,
        rate: CALLS_PER_S,
        key_prefix: "faults".to_owned(),
        deadline: None,
    }
}

/// Fault injector; counts the faults injected so far.
struct Faults {
    random: fastrand::Rng,
    services: Vec<ServiceShape>,
    counts: BTreeMap<&'static str, u32>,
    generation: u64,
}

impl Faults {
    fn new(services: Vec<ServiceShape>) -> Self {
        let random = fastrand::Rng::with_seed(SEED);
        Faults { random, services, counts: BTreeMap::new(), generation: 1 }
    }

    fn run(&mut self, fleet: &mut RunningFleet) -> Result<(), crate::Failure> {
        let end = Instant::now() + RUN_TIME;
        while Instant::now() < end {
            self.inject_fault(fleet)?;
            std::thread::sleep(PAUSE);
        }
        Ok(())
    }

    fn inject_fault(&mut self, fleet: &mut RunningFleet) -> Result<(), crate::Failure> {
        let kind = self.random.u32(0..7);
        let name = match kind {
            0 => self.kill_backend(fleet)?,
            1 => self.kill_relay(fleet)?,
            2 => self.kill_voter(fleet)?,
            3 => self.freeze(fleet, "control")?,
            4 => self.freeze(fleet, "relay")?,
            5 => self.drain_backend(fleet)?,
            _ => self.roll(fleet)?,
        };
        *self.counts.entry(name).or_default() += 1;
        Ok(())
    }

    fn kill_backend(&mut self, fleet: &mut RunningFleet) -> Result<&'static str, crate::Failure> {
        let position = self.random.usize(..fleet.backends.len());
        let backend = fleet.backends[position].clone();
        kill(fleet, &backend.name);
        std::thread::sleep(PAUSE / 2);
        fleet.run_backend(position, &[])?;
        fleet.platform.next_incarnation(&backend.service, backend.address);
        Ok("backend_killed")
    }

    fn kill_relay(&mut self, fleet: &mut RunningFleet) -> Result<&'static str, crate::Failure> {
        let position = self.random.usize(..fleet.layout.relays.len());
        let name = fleet.layout.relays[position].settings.name.clone();
        kill(fleet, &name);
        std::thread::sleep(PAUSE / 2);
        fleet.start_relay(position)?;
        Ok("relay_killed")
    }

    fn kill_voter(&mut self, fleet: &mut RunningFleet) -> Result<&'static str, crate::Failure> {
        let position = self.random.usize(..fleet.layout.voters.len());
        kill(fleet, &format!("control-{}", fleet.layout.voters[position].id));
        std::thread::sleep(PAUSE / 2);
        fleet.start_voter(position, None)?;
        Ok("control_killed")
    }

    fn freeze(
        &mut self,
        fleet: &mut RunningFleet,
        role: &str,
    ) -> Result<&'static str, crate::Failure> {
        let prefix = format!("{role}-");
        let names: Vec<String> =
            fleet.processes.keys().filter(|name| name.starts_with(&prefix)).cloned().collect();
        let name = &names[self.random.usize(..names.len())];
        if let Some(process) = fleet.processes.get_mut(name) {
            process.freeze();
            std::thread::sleep(FREEZE_DURATION);
            process.resume();
        }
        Ok(if role == "control" { "control_frozen" } else { "relay_frozen" })
    }

    fn drain_backend(&mut self, fleet: &mut RunningFleet) -> Result<&'static str, crate::Failure> {
        let position = self.random.usize(..fleet.backends.len());
        let backend = fleet.backends[position].clone();
        fleet.platform.set_state(&backend.service, backend.address, "leaving");
        std::thread::sleep(PAUSE);
        if let Some(process) = fleet.processes.get_mut(&backend.name) {
            process.terminate();
            process.wait_exit(IN_FORCE_TIMEOUT);
        }
        fleet.run_backend(position, &[])?;
        fleet.platform.next_incarnation(&backend.service, backend.address);
        Ok("backend_drained")
    }

    fn roll(&mut self, fleet: &mut RunningFleet) -> Result<&'static str, crate::Failure> {
        let revision = self.generation as u32 + 1;
        let text = bundle_toml(&self.services, revision);
        let version = u64::from(revision);
        let rolled = fleet.roll_out(&text, version, self.generation, vec![Stage::All], None)?;
        self.generation = rolled;
        Ok("bundle_rolled")
    }
}

fn kill(fleet: &mut RunningFleet, name: &str) {
    if let Some(process) = fleet.processes.get_mut(name) {
        process.kill();
    }
}

fn record_results(fleet: &RunningFleet, tally: &Tally, faults: &Faults, findings: &mut Findings) {
    let mut runs = BTreeMap::new();
    for backend in &fleet.backends {
        read_runs(&backend.runs_file, &mut runs);
    }
    let contradictions = tally.ledger.contradictions(&runs);
    findings.set("calls_sent", tally.sent as f64);
    findings.set("calls_answered", tally.answered as f64);
    findings.set("calls_cut", tally.cut as f64);
    findings.set("calls_wrong", tally.wrong as f64);
    findings.set("calls_unreachable", tally.unreachable as f64);
    for (verdict, count) in &tally.refused {
        findings.set(format!("calls_refused_{verdict}"), *count as f64);
    }
    findings.set("charges", tally.ledger.len() as f64);
    findings.set("charges_doubled_or_mistold", contradictions.len() as f64);
    findings.set("latency_p99_ms", tally.latency.value_at_quantile(0.99) as f64 / 1_000.0);
    for (name, count) in &faults.counts {
        findings.set(format!("faults_{name}"), f64::from(*count));
    }
    findings.check(tally.sent >= MIN_CALLS, format!("only {} calls", tally.sent));
    findings.check(tally.wrong == 0, format!("wrong answers: {:?}", tally.examples));
    findings.check(tally.cut == 0, format!("cut calls: {:?}", tally.examples));
    findings.check(contradictions.is_empty(), contradictions.join("; "));
}
