//! The subcommand `chutecove control`.

use crate::cli::{parse_options, role_options, start_logging};
use crate::exit::Failure;
use control::StartMode;
use telemetry::StopSignal;

const BRIEF: &str = "Usage: chutecove control --settings FILE [--bootstrap | --join]";

/// Runs a control replica until it receives a stop signal.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = role_options();
    options.optflag("", "bootstrap", "start a new fleet with the replicas in the settings");
    options.optflag("", "join", "start a new member that waits until it is added");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let mode = match (matches.opt_present("bootstrap"), matches.opt_present("join")) {
        (true, true) => {
            return Err(Failure::usage("--bootstrap and --join are mutually exclusive"))
        }
        (true, false) => StartMode::Bootstrap,
        (false, true) => StartMode::Join,
        (false, false) => StartMode::Resume,
    };
    let (path, overrides) = start_logging(&matches)?;
    let settings = settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let running = control::run(settings, Some(path), mode, stop).map_err(Failure::usage)?;
    running.wait();
    Ok(())
}
