//! The subcommand `chutecove settings`.

use crate::cli::{parse_options, positional_argument};
use crate::exit::Failure;
use ::settings::{
    load, to_toml, ControlSettings, CoordinatorSettings, ProxySettings, RelaySettings,
    SidecarSettings, Validate,
};
use getopts::Options;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::Path;

const BRIEF: &str =
    "Usage: chutecove settings check ROLE FILE (control, relay, proxy, coordinator, sidecar)";

/// Validates a settings file and prints it with the defaults filled in.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optmulti("", "set", "override one setting", "KEY=VALUE");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    if positional_argument(&matches, 0, "check")? != "check" {
        return Err(Failure::usage(BRIEF));
    }
    let role = positional_argument(&matches, 1, "ROLE")?;
    let path = Path::new(positional_argument(&matches, 2, "FILE")?);
    let overrides = matches.opt_strs("set");
    let effective_settings = match role {
        "control" => load_as_toml::<ControlSettings>(path, &overrides)?,
        "relay" => load_as_toml::<RelaySettings>(path, &overrides)?,
        "proxy" => load_as_toml::<ProxySettings>(path, &overrides)?,
        "coordinator" => load_as_toml::<CoordinatorSettings>(path, &overrides)?,
        "sidecar" => load_as_toml::<SidecarSettings>(path, &overrides)?,
        other => return Err(Failure::usage(format!("'{other}' is not a role\n\n{BRIEF}"))),
    };
    print!("{effective_settings}");
    Ok(())
}

fn load_as_toml<T>(path: &Path, overrides: &[String]) -> Result<String, Failure>
where
    T: DeserializeOwned + Serialize + Validate,
{
    Ok(to_toml(&load::<T>(path, overrides).map_err(Failure::usage)?))
}
