//! `chutecove settings`

use crate::cli::{free_argument, parse};
use crate::exit::Failure;
use ::settings::{load, to_toml, ControlSettings, ProxySettings, RelaySettings};
use getopts::Options;
use std::path::Path;

const BRIEF: &str = "Usage: chutecove settings check control|relay|proxy FILE";

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
        "control" => to_toml(&load::<ControlSettings>(path, &overrides).map_err(Failure::usage)?),
        "relay" => to_toml(&load::<RelaySettings>(path, &overrides).map_err(Failure::usage)?),
        "proxy" => to_toml(&load::<ProxySettings>(path, &overrides).map_err(Failure::usage)?),
        other => return Err(Failure::usage(format!("'{other}' is not control, relay or proxy"))),
    };
    print!("{printed}");
    Ok(())
}
