//! The subcommands, one module each.

pub mod bundle;
pub mod control;
pub mod coordinator;
pub mod data;
pub mod explain;
pub mod interface;
pub mod keys;
mod manifest;
pub mod members;
pub mod proxy;
pub mod quarantine;
pub mod relay;
pub mod settings;
pub mod sidecar;
pub mod status;
pub mod zone;

use crate::exit::Failure;
use crate::operator::{OperatorClient, OperatorSettings};
use getopts::{Matches, Options};
use std::path::{Path, PathBuf};

/// Path of the operator's settings file unless `--config` is given.
const DEFAULT_OPERATOR_CONFIG: &str = "operator.toml";

/// Adds `--help` and parses the arguments. Prints the usage and returns `None` if help was requested.
pub fn parse_options(
    mut options: Options,
    brief: &str,
    arguments: &[String],
) -> Result<Option<Matches>, Failure> {
    options.optflag("h", "help", "print this help");
    // Checked before parsing, which would fail on missing required options.
    if arguments.iter().any(|argument| argument == "-h" || argument == "--help") {
        print!("{}", options.usage(brief));
        return Ok(None);
    }
    let matches = options
        .parse(arguments)
        .map_err(|error| Failure::usage(format!("{error}\n\n{}", options.usage(brief))))?;
    Ok(Some(matches))
}

/// Returns the options that all roles share.
pub fn role_options() -> Options {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings file (TOML)", "FILE");
    options.optmulti("", "set", "override one setting", "KEY=VALUE");
    options.optopt("", "log-level", "error, warn, info, debug or trace (info)", "LEVEL");
    options
}

/// Starts logging to standard error; returns the path of the settings file and its overrides.
pub fn start_logging(matches: &Matches) -> Result<(PathBuf, Vec<String>), Failure> {
    let (level, path, overrides) = role_arguments(matches)?;
    telemetry::init_logging(level);
    Ok((path, overrides))
}

/// Returns the log level, the path of the settings file and its overrides.
pub fn role_arguments(
    matches: &Matches,
) -> Result<(tracing::Level, PathBuf, Vec<String>), Failure> {
    let level = matches.opt_str("log-level").unwrap_or_else(|| "info".to_owned());
    let level = telemetry::parse_level(&level).map_err(Failure::usage)?;
    let path = matches.opt_str("settings").unwrap_or_default();
    Ok((level, PathBuf::from(path), matches.opt_strs("set")))
}

/// Adds the options of commands that send signed requests as an operator.
pub fn operator_options(options: &mut Options) {
    options.optopt("c", "config", "operator's settings file (operator.toml)", "FILE");
    options.optopt("", "request-id", "retry an earlier request under its id", "ID");
}

/// Creates the client of an operator.
pub fn operator_client(matches: &Matches) -> Result<OperatorClient, Failure> {
    let path = matches.opt_str("config").unwrap_or_else(|| DEFAULT_OPERATOR_CONFIG.to_owned());
    OperatorClient::new(OperatorSettings::load(Path::new(&path))?)
}

/// Returns the positional argument at a position; the verb is at position 0.
pub fn positional_argument<'a>(
    matches: &'a Matches,
    position: usize,
    name: &str,
) -> Result<&'a str, Failure> {
    let argument = matches.free.get(position).map(String::as_str);
    argument.ok_or_else(|| Failure::usage(format!("missing argument {name}")))
}
