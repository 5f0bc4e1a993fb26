//! `chutecove-lab soak`: the real programs of a small fleet under seeded faults, checked while they
//! run from what callers, upstreams and the operator see.

mod callers;
mod clearing;
mod clock;
mod faults;
mod kept;
mod lost_answers;
mod machines;
mod operator;
mod options;
mod server;
mod upstream;

use self::callers::Callers;
use self::clearing::Clearing;
use self::clock::{Clock, Shared};
use self::faults::Faults;
use self::machines::{
    Machines, CALLERS, COORDINATORS, DRAIN_MS, REPEAT_RATIO, REPEAT_SLACK, REPEAT_WINDOW_S,
    UPSTREAMS,
};
use self::operator::Operator;
use self::options::{Plan, Strain};
use self::upstream::{Surroundings, Upstream};
use soak::{check_record, Bounds, Call, Crash, Record, RepeatBounds, Run, Violation};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const FAULTS_TIME: Duration = Duration::from_secs(40);
const CALM_TIME: Duration = Duration::from_secs(6);
const START_LIMIT: Duration = Duration::from_secs(20);
const READ_LIMIT: Duration = Duration::from_secs(10);
const CALLERS_PER_MACHINE: usize = 8;
const BOUNDS: Bounds = Bounds {
    apply: 2_000,
    drain: DRAIN_MS + 300,
    settle: 3_500,
    repeats: RepeatBounds {
        ratio: REPEAT_RATIO,
        slack: REPEAT_SLACK,
        window: REPEAT_WINDOW_S * 1_000,
    },
};
const MOST_PRINTED: usize = 8;

/// Runs rounds until the time is over; an error means that a promise did not hold.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let Some(plan) = Plan::parse(arguments)? else {
        print!("{}", options::usage());
        return Ok(());
    };
    let mut failures = Vec::new();
    let mut rounds: u64 = 0;
    for seed in plan.seeds() {
        rounds += 1;
        if let Err(failure) = round(seed, plan.network, plan.strain) {
            println!("{failure}");
            failures.push(seed);
        }
    }
    report(rounds, &failures)
}

fn report(rounds: u64, failures: &[u64]) -> Result<(), crate::Failure> {
    println!("{rounds} rounds, {} with a promise broken: {failures:?}", failures.len());
    match failures.first() {
        None => Ok(()),
        Some(seed) => Err(format!("replay one with --seed {seed}")),
    }
}

/// One fleet from its first start to its end.
fn round(seed: u64, network: u8, strain: Strain) -> Result<(), crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let clock = Clock::start();
    let mut machines = Machines::new(folder.path(), network);
    let (calls, runs) = (Shared::<Call>::default(), Shared::<Run>::default());
    let crashes = Shared::<Crash>::default();
    let lossy = Arc::new(AtomicBool::new(false));
    let around =
        Surroundings { clock, runs: runs.clone(), crashes: crashes.clone(), lossy: lossy.clone() };
    for host in COORDINATORS.into_iter().chain(UPSTREAMS).chain(CALLERS) {
        machines.start(host, true).map_err(|error| error.to_string())?;
    }
    let mut upstreams = BTreeMap::new();
    for host in UPSTREAMS {
        upstreams.insert(host, Upstream::start(&machines, host, around.clone())?);
    }
    let mut operator = Operator::new(&machines, clock);
    if !operator.send_next(START_LIMIT) {
        return Err(format!("seed {seed}: the first version was not taken"));
    }
    let away = Arc::new(AtomicU64::new(0));
    let version = operator.version.clone();
    wait_served(&machines)?;
    let callers = Callers::start(&machines, &away, CALLERS_PER_MACHINE, &version, clock, &calls);
    let clearing = (strain == Strain::Clearings).then(|| Clearing::start(&machines, clock, seed));
    let mut faults = Faults::new(&mut machines, &upstreams, &mut operator, &away, clock, seed);
    let struck = match strain {
        Strain::Faults | Strain::Clearings => faults.run(FAULTS_TIME),
        Strain::LostAnswers => faults.run_lost_answers(&lossy),
    };
    struck.map_err(|error| error.to_string())?;
    let faults = std::mem::take(&mut faults.done);
    let clearings = clearing.map(Clearing::finish).unwrap_or_default();
    let calm_from = clock.now();
    thread::sleep(CALM_TIME);
    callers.finish();
    let record = Record {
        calls: calls.take(),
        runs: runs.take(),
        crashes: crashes.take(),
        quarantine_clears: clearings,
        submissions: operator.orders.clone(),
        faults,
        faults_end: calm_from,
        read_back: operator.read_back(READ_LIMIT),
    };
    upstreams.values().for_each(|upstream| upstream.finish());
    let breaches = check_record(&record, &BOUNDS);
    println!("{}", summary(seed, &record, &breaches));
    if breaches.is_empty() {
        return Ok(());
    }
    let kept = folder.keep();
    let shown: Vec<String> = breaches.iter().take(MOST_PRINTED).map(Violation::to_string).collect();
    Err(format!("seed {seed}: logs in {}\n  {}", kept.display(), shown.join("\n  ")))
}

fn wait_served(machines: &Machines) -> Result<(), crate::Failure> {
    let end = Instant::now() + START_LIMIT;
    while !UPSTREAMS.into_iter().chain(CALLERS).all(|host| machines.is_ready(host)) {
        if Instant::now() >= end {
            return Err("sidecars are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    // Upstreams register every 0.3 s.
    thread::sleep(Duration::from_millis(700));
    Ok(())
}

fn summary(seed: u64, record: &Record, breaches: &[Violation]) -> String {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in &record.calls {
        let word = match call.outcome {
            soak::CallOutcome::Answered { status, .. } => status.to_string(),
            soak::CallOutcome::Cut => "cut".to_owned(),
            soak::CallOutcome::ClosedBetween => "closed_between".to_owned(),
            soak::CallOutcome::NotConnected => "not_connected".to_owned(),
        };
        *ends.entry(word).or_default() += 1;
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

/// A client of its own for each call: no connection is kept, so each end belongs to its call.
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
