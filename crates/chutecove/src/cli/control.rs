//! `chutecove control`

use crate::cli::{parse, role_options, start_role};
use crate::exit::Failure;
use control::StartMode;
use telemetry::StopSignal;

const BRIEF: &str = "Usage: chutecove control --settings FILE [--bootstrap | --join]";

/// Runs a control replica until it is asked to stop.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = role_options();
    options.optflag("", "bootstrap", "start a new fleet with the replicas of the settings");
    options.optflag("", "join", "start a new member that waits to be added");
    let Some(matches) = parse(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let mode = match (matches.opt_present("bootstrap"), matches.opt_present("join")) {
        (true, true) => return Err(Failure::usage("--bootstrap and --join exclude each other")),
        (true, false) => StartMode::Bootstrap,
        (false, true) => StartMode::Join,
        (false, false) => StartMode::Resume,
    };
    let (path, overrides) = start_role(&matches)?;
    let settings = settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let running = control::run(settings, Some(path), mode, stop).map_err(Failure::usage)?;
    running.wait();
    Ok(())
}
