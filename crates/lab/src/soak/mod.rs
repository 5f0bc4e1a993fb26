//! `chutecove-lab soak`: runs the real processes of a small fleet under seeded faults and checks
//! the product's guarantees from what callers, upstreams and the operator observe.

mod callers;
mod clearing;
mod clock;
mod cut;
mod departures;
mod faults;
mod kept;
mod lost_answers;
mod machines;
mod operator;
mod options;
mod planned;
mod removals;
mod rolls;
mod server;
mod statements;
mod stops;
mod upstream;

use self::callers::{CallerPlan, Callers, Observations};
use self::clearing::QuarantineClearer;
use self::clock::{Clock, EventList};
use self::faults::Faults;
use self::machines::{
    Machines, CALLERS, COORDINATORS, DRAIN_MS, RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK,
    RETRY_BUDGET_WINDOW_S, STOP_LIMIT_MS, UPSTREAMS,
};
use self::operator::{Operator, ROUTE_TIMEOUT_MS};
use self::options::{FaultProfile, Plan};
use self::stops::LoggedStops;
use self::upstream::{Upstream, UpstreamEnvironment};
use soak::{
    check_record, Bounds, Crash, LimitBounds, LimitStatement, Record, RepeatBounds, Run, Violation,
};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const FAULTS_DURATION: Duration = Duration::from_secs(40);
const RECOVERY_DURATION: Duration = Duration::from_secs(6);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);
const CALLERS_PER_MACHINE: usize = 8;
/// With callers at every sidecar, as many calls as the upstreams have slots for.
const CALLERS_PER_MACHINE_IN_ROLLS: usize = 4;
const BOUNDS: Bounds = Bounds {
    apply: 2_000,
    drain: DRAIN_MS + 300,
    loss_slack: 200,
    stop_limit: STOP_LIMIT_MS,
    route_timeout: ROUTE_TIMEOUT_MS,
    settle: 3_500,
    repeats: RepeatBounds {
        ratio: RETRY_BUDGET_RATIO,
        slack: RETRY_BUDGET_SLACK,
        window: RETRY_BUDGET_WINDOW_S * 1_000,
    },
    limits: LimitBounds { factor: 1.5, slack: 5.0, window: 4_000, contact: 3_000, notice: 500 },
};
const MAX_PRINTED: usize = 8;

/// Runs all rounds of the plan; returns an error if a guarantee was violated in any of them.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let Some(plan) = Plan::parse(arguments)? else {
        print!("{}", options::usage());
        return Ok(());
    };
    let mut failures = Vec::new();
    let mut rounds: u64 = 0;
    for seed in plan.seeds() {
        rounds += 1;
        if let Err(failure) = run_round(seed, plan.network, plan.fault_profile) {
            println!("{failure}");
            failures.push(seed);
        }
    }
    report_failures(rounds, &failures)
}

fn report_failures(rounds: u64, failures: &[u64]) -> Result<(), crate::Failure> {
    println!("{rounds} rounds, {} with a promise broken: {failures:?}", failures.len());
    match failures.first() {
        None => Ok(()),
        Some(seed) => Err(format!("replay one with --seed {seed}")),
    }
}

/// Runs one round: starts a fleet, injects faults, waits for recovery and checks the record.
fn run_round(seed: u64, network: u8, fault_profile: FaultProfile) -> Result<(), crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let clock = Clock::start();
    let mut machines = Machines::new(folder.path(), network);
    let observations = Observations::default();
    let (runs, limits) = (EventList::<Run>::default(), EventList::<LimitStatement>::default());
    let crashes = EventList::<Crash>::default();
    let lose_responses = Arc::new(AtomicBool::new(false));
    let environment = UpstreamEnvironment {
        clock,
        runs: runs.clone(),
        limits: limits.clone(),
        crashes: crashes.clone(),
        lose_responses: lose_responses.clone(),
        is_sound: fault_profile.is_planned(),
        long_work_probability: long_work_probability(fault_profile),
    };
    if fault_profile == FaultProfile::Departures {
        machines.make_cuttable(departures::HOST).map_err(|error| error.to_string())?;
    }
    for host in COORDINATORS.into_iter().chain(UPSTREAMS).chain(CALLERS) {
        machines.start(host, true).map_err(|error| error.to_string())?;
    }
    let mut upstreams = BTreeMap::new();
    for host in UPSTREAMS {
        upstreams.insert(host, Upstream::start(&machines, host, environment.clone())?);
    }
    let mut operator = Operator::new(&machines, clock);
    if !operator.send_next_version(START_TIMEOUT) {
        return Err(format!("seed {seed}: the first configuration version was not acknowledged"));
    }
    let inactive_callers = Arc::new(AtomicU64::new(0));
    let version = operator.version.clone();
    wait_until_registered(&machines)?;
    let callers = Callers::start(
        &machines,
        &inactive_callers,
        &caller_plan(fault_profile),
        &version,
        clock,
        &observations,
    );
    let clearer = (fault_profile == FaultProfile::RandomWithClearing)
        .then(|| QuarantineClearer::start(&machines, clock, seed));
    let mut faults =
        Faults::new(&mut machines, &upstreams, &mut operator, &inactive_callers, clock, seed);
    let fault_result = match fault_profile {
        FaultProfile::Random | FaultProfile::RandomWithClearing => faults.run(FAULTS_DURATION),
        FaultProfile::LostAnswers => faults.run_lost_answers(&lose_responses),
        FaultProfile::Statements => faults.run_statements(FAULTS_DURATION),
        FaultProfile::Departures => faults.run_departures(FAULTS_DURATION),
        FaultProfile::Planned => faults.run_planned(FAULTS_DURATION),
        FaultProfile::Rolls => faults.run_rolls(FAULTS_DURATION),
        FaultProfile::Removals => faults.run_removals(FAULTS_DURATION),
    };
    fault_result.map_err(|error| error.to_string())?;
    let faults = std::mem::take(&mut faults.done);
    let clearings = clearer.map(QuarantineClearer::finish).unwrap_or_default();
    let calm_from = clock.now();
    thread::sleep(RECOVERY_DURATION);
    callers.finish();
    let record = Record {
        calls: observations.calls.take(),
        runs: runs.take(),
        limits: limits.take(),
        passed_on: observations.passed_on.take(),
        crashes: crashes.take(),
        quarantine_clears: clearings,
        submissions: operator.orders.clone(),
        faults,
        faults_end: calm_from,
        read_back: operator.read_back(READ_BACK_TIMEOUT),
        sound_upstreams: fault_profile.is_planned(),
    };
    upstreams.values().for_each(|upstream| upstream.stop());
    let breaches = check_record(&record, &BOUNDS);
    println!("{}", summary(seed, &record, &breaches));
    println!("seed {seed}: {}", LoggedStops::read(folder.path()));
    if breaches.is_empty() {
        return Ok(());
    }
    let log_folder = folder.keep();
    let printed: Vec<String> =
        breaches.iter().take(MAX_PRINTED).map(Violation::to_string).collect();
    Err(format!("seed {seed}: logs in {}\n  {}", log_folder.display(), printed.join("\n  ")))
}

fn wait_until_registered(machines: &Machines) -> Result<(), crate::Failure> {
    let end = Instant::now() + START_TIMEOUT;
    while !UPSTREAMS.into_iter().chain(CALLERS).all(|host| machines.is_ready(host)) {
        if Instant::now() >= end {
            return Err("sidecars did not become ready in time".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    // Upstreams send a heartbeat to their sidecar every 0.3 s; wait until each has registered.
    thread::sleep(Duration::from_millis(700));
    Ok(())
}

fn summary(seed: u64, record: &Record, breaches: &[Violation]) -> String {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in &record.calls {
        let label = match call.outcome {
            soak::CallOutcome::Answered { status, .. } => status.to_string(),
            soak::CallOutcome::Cut => "cut".to_owned(),
            soak::CallOutcome::ClosedBetween => "closed_between".to_owned(),
            soak::CallOutcome::NotConnected => "not_connected".to_owned(),
        };
        *ends.entry(label).or_default() += 1;
    }
    let acknowledged =
        record.submissions.iter().filter(|order| order.acknowledged.is_some()).count();
    format!(
        "seed {seed}: {} calls {ends:?}, {} runs, {} crashes, {} clearings, {} faults, {acknowledged} of {} versions \
         acknowledged, {} promises broken",
        record.calls.len(),
        record.runs.len(),
        record.crashes.len(),
        record.quarantine_clears.len(),
        record.faults.len(),
        record.submissions.len(),
        breaches.len()
    )
}

/// Rolls have callers beside the upstreams as well, so that each sidecar that stops serves both sides.
fn caller_plan(fault_profile: FaultProfile) -> CallerPlan {
    let some_return = fault_profile.is_planned();
    match fault_profile {
        FaultProfile::Rolls => {
            let hosts = CALLERS.into_iter().chain(UPSTREAMS).collect();
            CallerPlan { hosts, per_machine: CALLERS_PER_MACHINE_IN_ROLLS, some_return }
        }
        _ => CallerPlan { hosts: CALLERS.to_vec(), per_machine: CALLERS_PER_MACHINE, some_return },
    }
}

/// Probability that a request works for longer than usual, up to more than half of a planned stop.
fn long_work_probability(fault_profile: FaultProfile) -> f64 {
    match fault_profile {
        FaultProfile::Rolls => 0.25,
        FaultProfile::Planned => 0.06,
        _ => 0.0,
    }
}

/// Creates an HTTP client for a single call. Connections are not pooled, so a closed connection
/// always belongs to that call.
fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(4)))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .build()
        .into()
}
