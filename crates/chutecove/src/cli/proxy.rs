//! `chutecove proxy`

use crate::cli::{parse, role_options, start_role};
use crate::exit::Failure;
use telemetry::StopSignal;

const BRIEF: &str = "Usage: chutecove proxy --settings FILE";

/// Runs a proxy until it is asked to stop.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some(matches) = parse(role_options(), BRIEF, arguments)? else {
        return Ok(());
    };
    let (path, overrides) = start_role(&matches)?;
    let settings = settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let running = proxy::run(settings, stop).map_err(Failure::usage)?;
    running.wait();
    Ok(())
}
