//! `chutecove explain`

use crate::cli::{free_argument, parse};
use crate::exit::Failure;
use crate::explain::{explain, read_line, write_line, Line, Question};
use getopts::{Matches, Options};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::time::UNIX_EPOCH;

const BRIEF: &str = "\
Usage: chutecove explain ID FILE...
       chutecove explain --generation N FILE...
       chutecove explain --around TIME [--within MS] FILE...

Prints what log files of several nodes say of one request, of one generation, or of what each node
believed around a time (2026-12-02T09:13:25Z). A file's name stands for its node.";
const DEFAULT_WITHIN_MS: f64 = 2_000.0;

/// Reads log files and answers one question.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.optopt("g", "generation", "explain a generation", "N");
    options.optopt("", "around", "what each node believed around a time", "TIME");
    options.optopt("", "within", "milliseconds before and after (2000)", "MS");
    let Some(matches) = parse(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let (question, files) = question(&matches)?;
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_file(Path::new(file))?);
    }
    let story = explain(&lines, &question);
    let Some(first) = story.first() else {
        return Err(Failure::refused("no line of these files belongs to it"));
    };
    for line in &story {
        println!("{}", write_line(line, first.time_ms));
    }
    Ok(())
}

fn question(matches: &Matches) -> Result<(Question, &[String]), Failure> {
    if let Some(number) = matches.opt_str("generation") {
        let generation = number.parse().map_err(|_| Failure::usage("--generation: a number"))?;
        return Ok((Question::Generation(generation), &matches.free));
    }
    if let Some(time) = matches.opt_str("around") {
        let time = humantime::parse_rfc3339(&time).map_err(Failure::usage)?;
        let since = time.duration_since(UNIX_EPOCH).map_err(Failure::usage)?;
        let within = matches.opt_str("within").map(|text| text.parse::<f64>()).transpose();
        let within_ms = within.map_err(Failure::usage)?.unwrap_or(DEFAULT_WITHIN_MS);
        let time_ms = since.as_secs_f64() * 1_000.0;
        return Ok((Question::Around { time_ms, within_ms }, &matches.free));
    }
    let id = free_argument(matches, 0, "ID")?.to_owned();
    Ok((Question::Request(id), &matches.free[1..]))
}

fn read_file(path: &Path) -> Result<Vec<Line>, Failure> {
    let told = |error: std::io::Error| Failure::usage(format!("{}: {error}", path.display()));
    let file = File::open(path).map_err(told)?;
    let node = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let node = node.unwrap_or_default();
    let mut lines = Vec::new();
    for text in BufReader::new(file).lines() {
        lines.extend(read_line(&node, &text.map_err(told)?));
    }
    Ok(lines)
}
