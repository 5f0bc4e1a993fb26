//! The subcommand `chutecove status`.

use crate::cli::{operator_client, operator_options, parse_options};
use crate::exit::Failure;
use getopts::Options;
use serde_json::Value;
use std::thread;
use std::time::Duration;

const BRIEF: &str = "Usage: chutecove status [--watch] [--json]";
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Moves the cursor to the top left and clears the screen (ECMA-48).
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Prints the rollout progress of each generation.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    operator_options(&mut options);
    options.optflag("w", "watch", "refresh every second");
    options.optflag("", "json", "print JSON");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let client = operator_client(&matches)?;
    loop {
        let status: Value = client.get("/v1/status")?;
        let text = match matches.opt_present("json") {
            true => format!("{status}\n"),
            false => format_status(&status),
        };
        if !matches.opt_present("watch") {
            print!("{text}");
            return Ok(());
        }
        print!("{CLEAR_SCREEN}{text}");
        thread::sleep(WATCH_INTERVAL);
    }
}

fn format_status(status: &Value) -> String {
    let progress = &status["spread"];
    let mut lines = vec![
        format!("newest generation   {}", status["newest_generation"]),
        format!("base generation     {}", status["base_generation"]),
    ];
    if !status["candidate_generation"].is_null() {
        let paused = if status["paused"] == true { ", paused" } else { "" };
        let (reached, total) = (&status["stages"][0], &status["stages"][1]);
        lines.push(format!(
            "rolling out         {} (stage {reached} of {total}{paused}; {} of {} in it applied)",
            status["candidate_generation"], progress["staged_applied"], progress["staged"]
        ));
    }
    lines.push(format!(
        "proxies             {} connected, {} unknown, {} refused their target",
        progress["proxies"], progress["unknown"], progress["errors"]
    ));
    for entry in progress["by_generation"].as_array().into_iter().flatten() {
        lines.push(format!("  generation {:<8} {} proxies", entry[0].to_string(), entry[1]));
    }
    lines.push(format!("relays              {} connected", progress["relays"]));
    for relay in progress["silent_relays"].as_array().into_iter().flatten() {
        lines.push(format!("  silent            {relay}"));
    }
    for laggard in progress["laggards"].as_array().into_iter().flatten() {
        lines.push(format!(
            "  behind            {} has {}, should have {}{}",
            laggard["proxy"].as_str().unwrap_or("?"),
            laggard["generation"],
            laggard["target"],
            laggard["error"].as_str().map(|error| format!(": {error}")).unwrap_or_default()
        ));
    }
    lines.join("\n") + "\n"
}
