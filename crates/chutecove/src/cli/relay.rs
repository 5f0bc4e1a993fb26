//! The subcommand `chutecove relay`.

use crate::cli::{parse_options, role_options, start_logging};
use crate::exit::Failure;
use telemetry::StopSignal;

const BRIEF: &str = "Usage: chutecove relay --settings FILE";

/// Runs a relay until it receives a stop signal.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some(matches) = parse_options(role_options(), BRIEF, arguments)? else {
        return Ok(());
    };
    let (path, overrides) = start_logging(&matches)?;
    let settings = settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let running = relay::run(settings, stop).map_err(Failure::usage)?;
    running.wait();
    Ok(())
}
