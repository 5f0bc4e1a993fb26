//! `chutecove-lab scale`: runs a large fleet on one machine through changes and faults.
//!
//! Control replicas, relays and a few proxies run in their own processes; the other proxies are
//! hollow and share processes. Links between zones and regions have an emulated delay.

mod fleet;
mod phases;
mod report;
mod usage;

pub use fleet::{FleetShape, ScaleFleet};
pub use phases::{run_phase, Phase};
pub use report::ScaleReport;
pub use usage::Usage;

use getopts::Options;
use std::path::PathBuf;
use std::time::Instant;

const BRIEF: &str = "Usage: chutecove-lab scale [--nodes N] [--shape two-years|today] \
                     [--phases LIST] [--json FILE]";

struct Request {
    shape: FleetShape,
    phases: Vec<Phase>,
    json: Option<PathBuf>,
}

/// Runs the phases one after another and prints the measurements.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let Some(request) = parse(arguments)? else { return Ok(()) };
    let report = measure(request.shape, &request.phases)?;
    report.print();
    if let Some(path) = request.json {
        let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        std::fs::write(path, text).map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// Runs phases on a fleet of the given shape and returns the measurements.
pub fn measure(shape: FleetShape, phases: &[Phase]) -> Result<ScaleReport, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let started = Instant::now();
    let mut fleet = ScaleFleet::start(folder.path(), shape)?;
    let mut report = ScaleReport::new(&fleet, started.elapsed());
    for phase in phases {
        eprintln!("phase {phase} ...");
        let phase_report = run_phase(&mut fleet, *phase)?;
        phase_report.print();
        report.phases.push(phase_report);
    }
    report.processes = fleet.process_count();
    report.total_memory_mb = fleet.total_memory_mb();
    fleet.stop();
    Ok(report)
}

fn parse(arguments: &[String]) -> Result<Option<Request>, crate::Failure> {
    let mut options = Options::new();
    options.optopt("", "nodes", "proxies in all (2200)", "N");
    options.optopt("", "shape", "two-years (5 regions, 16 zones) or today (1 region)", "NAME");
    options.optopt("", "phases", "comma-separated (all)", "LIST");
    options.optopt("", "json", "write the report here too", "FILE");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        let names: Vec<String> = Phase::ALL.iter().map(ToString::to_string).collect();
        println!("Phases: {}", names.join(","));
        return Ok(None);
    }
    let nodes = matches.opt_get_default("nodes", 2_200_usize).map_err(|error| error.to_string())?;
    let shape = match matches.opt_str("shape").as_deref() {
        None | Some("two-years") => FleetShape::two_years(nodes),
        Some("today") => FleetShape::today(nodes),
        Some(other) => return Err(format!("--shape: '{other}' is neither two-years nor today")),
    };
    let phases = match matches.opt_str("phases") {
        None => Phase::ALL.to_vec(),
        Some(list) => list.split(',').map(str::parse).collect::<Result<_, _>>()?,
    };
    Ok(Some(Request { shape, phases, json: matches.opt_str("json").map(PathBuf::from) }))
}
