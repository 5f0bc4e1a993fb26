//! `chutecove zone`

use crate::cli::{free_argument, parse};
use crate::dialect::EvacuatedZone;
use crate::exit::{Failure, MAY_HAVE_RUN, UNREACHABLE};
use getopts::Options;
use std::time::Duration;
use ureq::http::Response;
use ureq::Body;

const BRIEF: &str = "\
Usage: chutecove zone list --coordinator IP:PORT [--output json]
       chutecove zone evacuate ZONE --coordinator IP:PORT
       chutecove zone restore ZONE --coordinator IP:PORT

Evacuates a zone: nothing more is sent to its upstreams, within a second, until it is restored.
Callers there are served by other zones. Both verbs may be repeated. Any coordinator will do; PORT is
its api_listen. A zone may be named that has no upstreams yet; the last zone may be evacuated, too,
and all calls are then refused.";
/// A coordinator passes an order on to the leader and answers within a second.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
const SECOND_MS: u64 = 1_000;

/// Evacuates and restores zones.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.reqopt("", "coordinator", "address of a coordinator's interface", "IP:PORT");
    options.optopt("", "output", "text or json (text)", "FORMAT");
    let Some(matches) = parse(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let coordinator = matches.opt_str("coordinator").unwrap_or_default();
    let url = format!("http://{coordinator}/v1/evacuations");
    let as_json = match matches.opt_str("output").as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => return Err(Failure::usage(format!("--output: '{other}' is unknown"))),
    };
    let zone = || free_argument(&matches, 1, "ZONE");
    match free_argument(&matches, 0, "VERB")? {
        "list" => list(&url, as_json),
        "evacuate" => {
            let answer = agent().put(format!("{url}/{}", zone()?)).send_empty();
            taken(answer, zone()?, "evacuated")
        }
        "restore" => {
            let answer = agent().delete(format!("{url}/{}", zone()?)).call();
            taken(answer, zone()?, "restored")
        }
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
    let rows: Vec<EvacuatedZone> = serde_json::from_str(&text).map_err(Failure::refused)?;
    print!("{}", table(&rows));
    Ok(())
}

/// One line for each zone, the one evacuated longest first.
fn table(rows: &[EvacuatedZone]) -> String {
    if rows.is_empty() {
        return "no zone is evacuated\n".to_owned();
    }
    let mut rows: Vec<&EvacuatedZone> = rows.iter().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.age_ms));
    let line = |row: &&EvacuatedZone| {
        format!("{}  evacuated for {} s\n", row.zone, row.age_ms / SECOND_MS)
    };
    rows.iter().map(line).collect()
}

fn taken(
    answer: Result<Response<Body>, ureq::Error>,
    zone: &str,
    done: &str,
) -> Result<(), Failure> {
    let mut answer = answer.map_err(|error| Failure {
        message: format!("not answered, {zone} may be {done}; repeat the order: {error}"),
        code: MAY_HAVE_RUN,
    })?;
    if answer.status() == 200 {
        println!("{zone} is {done}");
        return Ok(());
    }
    let reason = answer.body_mut().read_to_string().unwrap_or_else(|error| error.to_string());
    Err(Failure::refused(format!("answered {}: {}", answer.status(), reason.trim())))
}
