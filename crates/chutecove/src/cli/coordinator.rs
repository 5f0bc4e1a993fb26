//! `chutecove coordinator`

use crate::cli::{parse, role_options, role_settings_path};
use crate::dialect::NativeOperatorDialect;
use crate::exit::Failure;
use settings::CoordinatorSettings;
use std::sync::Arc;
use telemetry::StopSignal;

const BRIEF: &str = "Usage: chutecove coordinator --settings FILE";

/// Runs a coordinator until it is asked to stop.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some(matches) = parse(role_options(), BRIEF, arguments)? else {
        return Ok(());
    };
    let (level, path, overrides) = role_settings_path(&matches)?;
    let _logs = telemetry::init_logging_to_stdout(level);
    let settings: CoordinatorSettings =
        settings::load(&path, &overrides).map_err(Failure::usage)?;
    let stop = StopSignal::install().map_err(Failure::refused)?;
    let running = coordinator::run(&settings, Arc::new(NativeOperatorDialect), stop);
    running.map_err(Failure::usage)?.wait();
    Ok(())
}
