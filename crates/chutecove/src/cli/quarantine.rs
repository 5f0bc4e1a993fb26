//! `chutecove quarantine`

use crate::cli::{free_argument, parse};
use crate::dialect::QuarantinedRequest;
use crate::exit::{Failure, MAY_HAVE_RUN, UNREACHABLE};
use getopts::Options;
use std::time::Duration;

const BRIEF: &str = "\
Usage: chutecove quarantine list --coordinator IP:PORT [--output json]
       chutecove quarantine clear FINGERPRINT --coordinator IP:PORT

Requests that upstreams ended under, and that no upstream is given for now. Any coordinator will do;
PORT is its api_listen. A request that is cleared and ends two more upstreams is back.";
/// A coordinator answers from its memory; one that has not within this time is ill.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
const NOT_FOUND: u16 = 404;

/// Lists or clears requests in quarantine.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.reqopt("", "coordinator", "address of a coordinator's interface", "IP:PORT");
    options.optopt("", "output", "text or json (text)", "FORMAT");
    let Some(matches) = parse(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let coordinator = matches.opt_str("coordinator").unwrap_or_default();
    let url = format!("http://{coordinator}/v1/quarantine");
    let as_json = match matches.opt_str("output").as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => return Err(Failure::usage(format!("--output: '{other}' is unknown"))),
    };
    match free_argument(&matches, 0, "VERB")? {
        "list" => list(&url, as_json),
        "clear" => clear(&url, free_argument(&matches, 1, "FINGERPRINT")?),
        _ => Err(Failure::usage(BRIEF)),
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(ANSWER_LIMIT))
        .http_status_as_error(false)
        .build()
        .into()
}

fn unreachable(error: impl std::fmt::Display) -> Failure {
    Failure { message: format!("the coordinator does not answer: {error}"), code: UNREACHABLE }
}

fn list(url: &str, as_json: bool) -> Result<(), Failure> {
    let mut answer = agent().get(url).call().map_err(unreachable)?;
    let text = answer.body_mut().read_to_string().map_err(unreachable)?;
    if answer.status() != 200 {
        return Err(Failure::refused(format!("answered {}", answer.status())));
    }
    if as_json {
        println!("{text}");
        return Ok(());
    }
    let rows: Vec<QuarantinedRequest> = serde_json::from_str(&text).map_err(Failure::refused)?;
    print!("{}", table(&rows));
    Ok(())
}

/// One line for each request, the one that ended most upstreams first.
fn table(rows: &[QuarantinedRequest]) -> String {
    if rows.is_empty() {
        return "no request is in quarantine\n".to_owned();
    }
    let mut rows: Vec<&QuarantinedRequest> = rows.iter().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.crashes));
    let line = |row: &&QuarantinedRequest| {
        let left_s = row.left_ms.div_ceil(1_000);
        format!("{}  {} upstreams ended  {left_s} s left\n", row.fingerprint, row.crashes)
    };
    rows.iter().map(line).collect()
}

fn clear(url: &str, fingerprint: &str) -> Result<(), Failure> {
    let answer = agent().delete(format!("{url}/{fingerprint}")).call();
    let answer = answer.map_err(|error| Failure {
        message: format!("not answered, it may be cleared: {error}"),
        code: MAY_HAVE_RUN,
    })?;
    match answer.status().as_u16() {
        200 => {
            println!("cleared");
            Ok(())
        }
        NOT_FOUND => Err(Failure::refused(format!("{fingerprint} is not in quarantine"))),
        other => Err(Failure::refused(format!("answered {other}"))),
    }
}
