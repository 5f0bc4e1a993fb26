//! `chutecove settings`

use crate::cli::{free_argument, parse};
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

/// Checks a settings file and prints it with its defaults.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optmulti("", "set", "override one setting", "KEY=VALUE");
    let Some(matches) = parse(options, BRIEF, arguments)? else {
        return Ok(());
    };
    if free_argument(&matches, 0, "check")? != "check" {
        return Err(Failure::usage(BRIEF));
    }
    let role = free_argument(&matches, 1, "ROLE")?;
    let path = Path::new(free_argument(&matches, 2, "FILE")?);
    let overrides = matches.opt_strs("set");
    let printed = match role {
        "control" => checked::<ControlSettings>(path, &overrides)?,
        "relay" => checked::<RelaySettings>(path, &overrides)?,
        "proxy" => checked::<ProxySettings>(path, &overrides)?,
        "coordinator" => checked::<CoordinatorSettings>(path, &overrides)?,
        "sidecar" => checked::<SidecarSettings>(path, &overrides)?,
        other => return Err(Failure::usage(format!("'{other}' is no role\n\n{BRIEF}"))),
    };
    print!("{printed}");
    Ok(())
}

fn checked<T>(path: &Path, overrides: &[String]) -> Result<String, Failure>
where
    T: DeserializeOwned + Serialize + Validate,
{
    Ok(to_toml(&load::<T>(path, overrides).map_err(Failure::usage)?))
}
