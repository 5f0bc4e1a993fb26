//! The subcommand `chutecove sidecar`.

use crate::cli::{parse_options, role_arguments, role_options};
use crate::dialect::{NativeRegistrationDialect, HEADERS};
use crate::exit::Failure;
use telemetry::{ReloadSignal, StopSignal};

const BRIEF: &str = "Usage: chutecove sidecar --settings FILE";

/// Runs a sidecar until it receives a stop signal.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some(matches) = parse_options(role_options(), BRIEF, arguments)? else {
        return Ok(());
    };
    let (level, path, overrides) = role_arguments(&matches)?;
    let _log_guard = telemetry::init_logging_to_stdout(level);
    let settings = settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let reload = ReloadSignal::install().map_err(Failure::refused)?;
    let dialect = NativeRegistrationDialect;
    sidecar::run(settings, Some(path), HEADERS, dialect, &stop, &reload).map_err(Failure::usage)
}
