//! The subcommand `chutecove explain`.

use crate::cli::{parse_options, positional_argument};
use crate::exit::Failure;
use crate::explain::{explain, format_line, parse_line, LogLine, Query};
use getopts::{Matches, Options};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::time::UNIX_EPOCH;

const BRIEF: &str = "\
Usage: chutecove explain ID FILE...
       chutecove explain --generation N FILE...
       chutecove explain --around TIME [--within MS] FILE...

Prints the log lines of one request, of one generation, or of the state changes of each node around
a time (2026-12-02T09:13:25Z), merged from the log files of several nodes. The name of a file is the
name of its node.";
const DEFAULT_WITHIN_MS: f64 = 2_000.0;

/// Prints the timeline of a request, a generation or a time window.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optopt("g", "generation", "print the log lines of a generation", "N");
    options.optopt("", "around", "print the state changes of each node around a time", "TIME");
    options.optopt("", "within", "milliseconds before and after (2000)", "MS");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let (query, files) = parse_query(&matches)?;
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_file(Path::new(file))?);
    }
    let timeline = explain(&lines, &query);
    let Some(first) = timeline.first() else {
        return Err(Failure::refused("no log line in these files matches"));
    };
    for line in &timeline {
        println!("{}", format_line(line, first.time_ms));
    }
    Ok(())
}

fn parse_query(matches: &Matches) -> Result<(Query, &[String]), Failure> {
    if let Some(number) = matches.opt_str("generation") {
        let generation =
            number.parse().map_err(|_| Failure::usage("--generation must be a number"))?;
        return Ok((Query::Generation(generation), &matches.free));
    }
    if let Some(time) = matches.opt_str("around") {
        let time = humantime::parse_rfc3339(&time).map_err(Failure::usage)?;
        let since_epoch = time.duration_since(UNIX_EPOCH).map_err(Failure::usage)?;
        let within = matches.opt_str("within").map(|text| text.parse::<f64>()).transpose();
        let within_ms = within.map_err(Failure::usage)?.unwrap_or(DEFAULT_WITHIN_MS);
        let time_ms = since_epoch.as_secs_f64() * 1_000.0;
        return Ok((Query::Around { time_ms, within_ms }, &matches.free));
    }
    let id = positional_argument(matches, 0, "ID")?.to_owned();
    Ok((Query::Request(id), &matches.free[1..]))
}

fn read_file(path: &Path) -> Result<Vec<LogLine>, Failure> {
    let to_failure = |error: std::io::Error| Failure::usage(format!("{}: {error}", path.display()));
    let file = File::open(path).map_err(to_failure)?;
    let node = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let node = node.unwrap_or_default();
    let mut lines = Vec::new();
    for text in BufReader::new(file).lines() {
        lines.extend(parse_line(&node, &text.map_err(to_failure)?));
    }
    Ok(lines)
}
