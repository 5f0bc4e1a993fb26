//! The subcommand `chutecove coordinator`.

use crate::cli::{parse_options, role_arguments, role_options};
use crate::dialect::NativeOperatorDialect;
use crate::exit::Failure;
use settings::CoordinatorSettings;
use std::sync::Arc;
use telemetry::StopSignal;

const BRIEF: &str = "Usage: chutecove coordinator --settings FILE";

/// Runs a coordinator until it receives a stop signal.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some(matches) = parse_options(role_options(), BRIEF, arguments)? else {
        return Ok(());
    };
    let (level, path, overrides) = role_arguments(&matches)?;
    let _log_guard = telemetry::init_logging_to_stdout(level);
    let settings: CoordinatorSettings =
        settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let running = coordinator::run(&settings, Arc::new(NativeOperatorDialect), stop);
    running.map_err(Failure::usage)?.wait();
    Ok(())
}
