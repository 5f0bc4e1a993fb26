//! The subcommands, one file each.

pub mod bundle;
pub mod control;
pub mod coordinator;
pub mod data;
pub mod explain;
pub mod interface;
pub mod keys;
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

/// Where an operator's own settings are looked for.
const DEFAULT_OPERATOR_CONFIG: &str = "operator.toml";

/// Adds `--help`, parses, and prints the usage if asked; `None` means that was all.
pub fn parse(
    mut options: Options,
    brief: &str,
    arguments: &[String],
) -> Result<Option<Matches>, Failure> {
    options.optflag("h", "help", "print this text");
    // Looked for before parsing, which would first ask for the required options.
    if arguments.iter().any(|argument| argument == "-h" || argument == "--help") {
        print!("{}", options.usage(brief));
        return Ok(None);
    }
    let matches = options
        .parse(arguments)
        .map_err(|error| Failure::usage(format!("{error}\n\n{}", options.usage(brief))))?;
    Ok(Some(matches))
}

/// Options of every role.
pub fn role_options() -> Options {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings file (TOML)", "FILE");
    options.optmulti("", "set", "override one setting", "KEY=VALUE");
    options.optopt("", "log-level", "error, warn, info, debug or trace (info)", "LEVEL");
    options
}

/// Starts logging and returns the settings file with its overrides.
pub fn start_role(matches: &Matches) -> Result<(PathBuf, Vec<String>), Failure> {
    let (level, path, overrides) = role_settings_path(matches)?;
    telemetry::init_logging(level);
    Ok((path, overrides))
}

/// The log level, and the settings file with its overrides.
pub fn role_settings_path(
    matches: &Matches,
) -> Result<(tracing::Level, PathBuf, Vec<String>), Failure> {
    let level = matches.opt_str("log-level").unwrap_or_else(|| "info".to_owned());
    let level = telemetry::parse_level(&level).map_err(Failure::usage)?;
    let path = matches.opt_str("settings").unwrap_or_default();
    Ok((level, PathBuf::from(path), matches.opt_strs("set")))
}

/// Adds the options of an operator's connection.
pub fn operator_options(options: &mut Options) {
    options.optopt("c", "config", "operator's settings file (operator.toml)", "FILE");
    options.optopt("", "request-id", "repeat an earlier request under its id", "ID");
}

/// Opens an operator's connection.
pub fn operator_client(matches: &Matches) -> Result<OperatorClient, Failure> {
    let path = matches.opt_str("config").unwrap_or_else(|| DEFAULT_OPERATOR_CONFIG.to_owned());
    OperatorClient::new(OperatorSettings::load(Path::new(&path))?)
}

/// The argument at a position after the verb.
pub fn free_argument<'a>(
    matches: &'a Matches,
    position: usize,
    name: &str,
) -> Result<&'a str, Failure> {
    let found = matches.free.get(position).map(String::as_str);
    found.ok_or_else(|| Failure::usage(format!("argument {name} is missing")))
}
