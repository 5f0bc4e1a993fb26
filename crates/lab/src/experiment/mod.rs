//! `chutecove-lab experiment NAME`: runs one measurement, compares it with an earlier run and plots
//! it.

mod amplification;
mod calls;
mod chain;
mod claims;
mod drain;
mod faults;
mod fleets;
mod overload;
mod plot;
mod repair;
pub mod report;
mod spread;

use getopts::Options;
use indicatif::ProgressBar;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
const BRIEF: &str = "Usage: chutecove-lab experiment NAME [--out DIR] [--against FILE]";

/// Measured values by name; the name ends in the unit.
pub type Figures = BTreeMap<String, f64>;

/// One line of a plot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Label of the line.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Results of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Findings {
    /// Name of the experiment.
    pub name: String,
    /// Measured values.
    pub figures: Figures,
    /// Label of the horizontal axis, with its unit.
    pub x_label: String,
    /// Label of the vertical axis, with its unit.
    pub y_label: String,
    /// Lines of the plot.
    pub series: Vec<Series>,
    /// Violated bounds and guarantees.
    pub problems: Vec<String>,
}

impl Findings {
    /// Creates results without values.
    pub fn new(name: &str, x_label: &str, y_label: &str) -> Self {
        Findings {
            name: name.to_owned(),
            figures: Figures::new(),
            x_label: x_label.to_owned(),
            y_label: y_label.to_owned(),
            series: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// Sets a measured value.
    pub fn set(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Records `problem` if a check does not hold.
    pub fn check(&mut self, holds: bool, problem: impl Into<String>) {
        if !holds {
            self.problems.push(problem.into());
        }
    }

    /// Returns the median of the values (the upper one for an even count), or 0 without values.
    pub fn median(values: &[f64]) -> f64 {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
    }
}

type ExperimentFn = fn() -> Result<Findings, crate::Failure>;

const EXPERIMENTS: [(&str, &str, ExperimentFn); 12] = [
    (
        "convergence",
        "time until a change is in force, calm and with the leader killed",
        spread::convergence,
    ),
    ("bytes", "control bytes of a change, against a full push and against polling", spread::bytes),
    ("storm", "all proxies restart at once", spread::storm),
    ("catchup", "a proxy 500 changes behind", spread::catchup),
    ("calls", "time and processor time a proxy adds to a call", calls::run),
    ("chain", "time that eight proxies in a row add", chain::run),
    ("claims", "what a call that runs at most once costs", claims::run),
    ("repair", "a lost disk, its replacement, and a second loss right after", repair::run),
    ("overload", "goodput at 0.5 to 4 times the capacity", overload::run),
    ("amplification", "sends at the last of 8 hops when it fails", amplification::run),
    ("drain", "planned stops under load", drain::run),
    ("faults", "100,000 calls through kills, freezes, drains and rollouts", faults::run),
];

/// Runs the named experiment; returns an error if a bound or guarantee was violated.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let mut options = Options::new();
    options.optopt("", "out", "folder for JSON and plot (results)", "DIR");
    options.optopt("", "against", "compare with an earlier run", "FILE");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let Some(name) = matches.free.first().filter(|_| !matches.opt_present("help")) else {
        print!("{}", options.usage(BRIEF));
        for (name, question, _) in EXPERIMENTS {
            println!("    {name:<14} {question}");
        }
        return Ok(());
    };
    let experiment = EXPERIMENTS.iter().find(|(known, _, _)| known == name);
    let (_, _, run) = experiment.ok_or_else(|| format!("'{name}' is not an experiment"))?;
    let progress = ProgressBar::new_spinner();
    progress.set_message(format!("measuring {name}"));
    progress.enable_steady_tick(PROGRESS_INTERVAL);
    let findings = run();
    progress.finish_and_clear();
    let findings = findings?;
    let out = PathBuf::from(matches.opt_str("out").unwrap_or_else(|| "results".to_owned()));
    save(&findings, &out)?;
    let earlier = matches.opt_str("against").map(|path| load(&PathBuf::from(path))).transpose()?;
    print(&findings, earlier.as_ref());
    match findings.problems.is_empty() {
        true => Ok(()),
        false => Err(format!("BROKEN:\n  {}", findings.problems.join("\n  "))),
    }
}

fn save(findings: &Findings, out: &std::path::Path) -> Result<(), crate::Failure> {
    std::fs::create_dir_all(out).map_err(|error| error.to_string())?;
    let text = serde_json::to_string_pretty(findings).map_err(|error| error.to_string())?;
    let path = out.join(format!("{}.json", findings.name));
    std::fs::write(path, text).map_err(|error| error.to_string())?;
    if findings.series.is_empty() {
        return Ok(());
    }
    plot::draw(findings, &out.join(format!("{}.svg", findings.name)))
}

fn load(path: &std::path::Path) -> Result<Findings, crate::Failure> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}

fn print(findings: &Findings, earlier: Option<&Findings>) {
    for (name, value) in &findings.figures {
        let earlier_value = earlier.and_then(|earlier| earlier.figures.get(name));
        match earlier_value {
            Some(earlier_value) if *earlier_value != 0.0 => {
                println!(
                    "{name:<44} {value:>12.3}   {:>6.2} times {earlier_value:.3}",
                    value / earlier_value
                );
            }
            _ => println!("{name:<44} {value:>12.3}"),
        }
    }
}
