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
use self::upstream::{Surroundings, Upstream};
use getopts::Options;
use soak::{judge, Bounds, Breach, Call, Crash, Record, RepeatBounds, Run};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const BRIEF: &str = "\
Usage: chutecove-lab soak [--minutes N]                    fresh seeds
       chutecove-lab soak --seed S [--rounds N] [--network K] [--clear | --lose-answers]
                                                           seeds S, S+1, ...

Rounds that run at the same time need networks (1 to 200) of their own.";
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
const SECONDS_PER_MINUTE: f64 = 60.0;

/// What a round strikes with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Strain {
    /// Drawn faults.
    Faults,
    /// The same, while an operator clears what is in quarantine.
    Clearings,
    /// Lost answers, while processes end in series.
    LostAnswers,
}

/// Runs rounds until the time is over; an error means that a promise did not hold.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let mut options = Options::new();
    options.optopt("", "minutes", "how long (1)", "N");
    options.optopt("", "seed", "the round of this seed", "S");
    options.optopt("", "rounds", "rounds from that seed on (1)", "N");
    options.optopt("", "network", "addresses 127.x.K.y of the fleets (1)", "K");
    options.optflag("", "clear", "an operator clears what is in quarantine meanwhile");
    options.optflag("", "lose-answers", "answers are lost while processes end, and nothing else");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return Ok(());
    }
    let minutes: f64 = matches
        .opt_get_default("minutes", 1.0)
        .map_err(|error: std::num::ParseFloatError| error.to_string())?;
    let seed: Option<u64> =
        matches.opt_get("seed").map_err(|error: std::num::ParseIntError| error.to_string())?;
    let parse = |error: std::num::ParseIntError| error.to_string();
    let rounds: u64 = matches.opt_get_default("rounds", 1).map_err(parse)?;
    let network: u8 = matches.opt_get_default("network", 1).map_err(parse)?;
    let strain = match (matches.opt_present("clear"), matches.opt_present("lose-answers")) {
        (_, true) => Strain::LostAnswers,
        (true, false) => Strain::Clearings,
        (false, false) => Strain::Faults,
    };
    if let Some(first) = seed {
        let failures: Vec<u64> = (first..first + rounds)
            .filter(|seed| match round(*seed, network, strain) {
                Ok(()) => false,
                Err(failure) => {
                    println!("{failure}");
                    true
                }
            })
            .collect();
        return report(rounds, &failures);
    }
    let end = Instant::now() + Duration::from_secs_f64(minutes * SECONDS_PER_MINUTE);
    let mut failures = Vec::new();
    let mut rounds: u64 = 0;
    while Instant::now() < end {
        rounds += 1;
        let seed = fastrand::u64(..);
        if let Err(failure) = round(seed, network, strain) {
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
        clearings,
        orders: operator.orders.clone(),
        faults,
        calm_from,
        read_back: operator.read_back(READ_LIMIT),
    };
    upstreams.values().for_each(|upstream| upstream.finish());
    let breaches = judge(&record, &BOUNDS);
    println!("{}", summary(seed, &record, &breaches));
    if breaches.is_empty() {
        return Ok(());
    }
    let kept = folder.keep();
    let shown: Vec<String> = breaches.iter().take(MOST_PRINTED).map(Breach::to_string).collect();
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

fn summary(seed: u64, record: &Record, breaches: &[Breach]) -> String {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in &record.calls {
        let word = match call.end {
            soak::End::Answered { status, .. } => status.to_string(),
            soak::End::Cut => "cut".to_owned(),
            soak::End::ClosedBetween => "closed_between".to_owned(),
            soak::End::NotConnected => "not_connected".to_owned(),
        };
        *ends.entry(word).or_default() += 1;
    }
    let acknowledged = record.orders.iter().filter(|order| order.acknowledged.is_some()).count();
    format!(
        "seed {seed}: {} calls {ends:?}, {} runs, {} crashes, {} clearings, {} faults, {acknowledged} of {} versions \
         acknowledged, {} promises broken",
        record.calls.len(),
        record.runs.len(),
        record.crashes.len(),
        record.clearings.len(),
        record.faults.len(),
        record.orders.len(),
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
