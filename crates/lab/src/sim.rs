//! `chutecove-lab sim`: runs many simulator seeds in parallel on all cores.

use getopts::Options;
use hdrhistogram::Histogram;
use simulator::{run_seed, BrokenVariant, RunOutcome, RunParameters, Scenario};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

const BRIEF: &str = "Usage: chutecove-lab sim [--seeds N] [--first S] [--scenario NAME] [--json]";
const MAX_REPORTED: usize = 10;

struct Request {
    seeds: u64,
    first: u64,
    scenario: Option<Scenario>,
    broken: Option<BrokenVariant>,
    trace: bool,
    json: bool,
}

#[derive(Default)]
struct Summary {
    failures: Vec<(u64, Scenario, RunOutcome)>,
    by_scenario: BTreeMap<&'static str, u64>,
    convergence: Option<Histogram<u64>>,
    events: u64,
    generations: u64,
}

/// Runs the seeds; returns an error if any of them violated an invariant.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let Some(request) = parse(arguments)? else { return Ok(()) };
    let started = Instant::now();
    let summary = run_all(&request);
    let seconds = started.elapsed().as_secs_f64();
    print_summary(&request, &summary, seconds);
    match summary.failures.is_empty() {
        true => Ok(()),
        false => Err(format!(
            "{} of {} seeds violated an invariant",
            summary.failures.len(),
            request.seeds
        )),
    }
}

fn parse(arguments: &[String]) -> Result<Option<Request>, crate::Failure> {
    let mut options = Options::new();
    options.optopt("", "seeds", "number of seeds (300)", "N");
    options.optopt("", "first", "first seed (1)", "S");
    options.optopt("", "scenario", "only this family of faults", "NAME");
    options.optopt("", "broken", "switch a mechanism off", "VARIANT");
    options.optflag("", "trace", "print what happens");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        let names: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.as_str()).collect();
        println!("Scenarios: {}", names.join(" "));
        let names: Vec<&str> = BrokenVariant::ALL.iter().map(|variant| variant.as_str()).collect();
        println!("Variants: {}", names.join(" "));
        return Ok(None);
    }
    let number = |name: &str, default: u64| {
        matches.opt_get_default(name, default).map_err(|error| format!("--{name}: {error}"))
    };
    Ok(Some(Request {
        seeds: number("seeds", 300)?,
        first: number("first", 1)?,
        scenario: matches.opt_str("scenario").map(|text| text.parse()).transpose()?,
        broken: matches.opt_str("broken").map(|text| text.parse()).transpose()?,
        trace: matches.opt_present("trace"),
        json: matches.opt_present("json"),
    }))
}

fn run_all(request: &Request) -> Summary {
    let next_seed = AtomicU64::new(request.first);
    let end_seed = request.first + request.seeds;
    let summary = Mutex::new(Summary::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= end_seed {
                    return;
                }
                let scenario = request.scenario.unwrap_or_else(|| Scenario::for_seed(seed));
                let (broken, trace) = (request.broken, request.trace);
                let outcome = run_seed(RunParameters { seed, scenario, broken, trace });
                let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
                summary.add(seed, scenario, outcome);
            });
        }
    });
    summary.into_inner().unwrap_or_else(PoisonError::into_inner)
}

impl Summary {
    fn add(&mut self, seed: u64, scenario: Scenario, outcome: RunOutcome) {
        *self.by_scenario.entry(scenario.as_str()).or_default() += 1;
        self.events += outcome.events;
        self.generations += outcome.generations;
        let histogram = self.convergence.get_or_insert_with(|| {
            Histogram::new(3).expect("3 significant digits are a valid precision")
        });
        let _ = histogram.record(outcome.convergence_ms);
        if !outcome.violations.is_empty() {
            self.failures.push((seed, scenario, outcome));
        }
    }

    fn quantile(&self, quantile: f64) -> u64 {
        self.convergence.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile))
    }
}

fn print_summary(request: &Request, summary: &Summary, seconds: f64) {
    if request.json {
        let failures: Vec<serde_json::Value> = summary
            .failures
            .iter()
            .map(|(seed, scenario, outcome)| {
                let first = &outcome.violations[0];
                serde_json::json!({
                    "seed": seed, "scenario": scenario.as_str(),
                    "invariant": first.invariant, "what": first.details, "at_ms": first.at_ms,
                })
            })
            .collect();
        let report = serde_json::json!({
            "seeds": request.seeds, "seconds": seconds, "events": summary.events,
            "by_scenario": summary.by_scenario, "failures": failures,
            "convergence_ms": { "p50": summary.quantile(0.5), "p99": summary.quantile(0.99),
                                "max": summary.quantile(1.0) },
        });
        println!("{report}");
        return;
    }
    for (seed, scenario, outcome) in summary.failures.iter().take(MAX_REPORTED) {
        let first = &outcome.violations[0];
        println!(
            "seed {seed} ({scenario}) broke {} at {} ms: {}",
            first.invariant, first.at_ms, first.details
        );
        let broken = request.broken.map(|variant| format!(" --broken {variant}"));
        println!(
            "  replay: chutecove-lab sim --first {seed} --seeds 1 --scenario {scenario}{} --trace",
            broken.unwrap_or_default()
        );
    }
    println!("scenarios: {:?}", summary.by_scenario);
    println!(
        "{} seeds in {seconds:.1} s ({:.0} a minute), {} events, {} requests for a generation",
        request.seeds,
        request.seeds as f64 / seconds * 60.0,
        summary.events,
        summary.generations
    );
    println!(
        "converged after the faults within p50 {} ms, p99 {} ms, max {} ms (virtual)",
        summary.quantile(0.5),
        summary.quantile(0.99),
        summary.quantile(1.0)
    );
}
