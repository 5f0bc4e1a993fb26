//! `chutecove quarantine`

use crate::cli::free_argument;
use crate::cli::interface::Interface;
use crate::dialect::QuarantinedRequest;
use crate::exit::Failure;

const BRIEF: &str = "\
Usage: chutecove quarantine list --coordinator IP:PORT [--output json]
       chutecove quarantine clear FINGERPRINT --coordinator IP:PORT

Requests that upstreams ended under, and that no upstream is given for now. Any coordinator will do;
PORT is its api_listen. A request that is cleared and ends two more upstreams is back.";
const PATH: &str = "/v1/quarantine";
const NOT_FOUND: u16 = 404;
const ACCEPTED: u16 = 202;

/// Lists or clears requests in quarantine.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some((matches, interface)) = Interface::parse(BRIEF, arguments)? else {
        return Ok(());
    };
    match free_argument(&matches, 0, "VERB")? {
        "list" => interface.print_list(PATH, table),
        "clear" => clear(&interface, free_argument(&matches, 1, "FINGERPRINT")?),
        _ => Err(Failure::usage(BRIEF)),
    }
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

fn clear(interface: &Interface, fingerprint: &str) -> Result<(), Failure> {
    let answer = interface.delete(&format!("{PATH}/{fingerprint}"), "it may be cleared")?;
    match answer.status {
        ACCEPTED => {
            println!("cleared at this coordinator, which is the only one that is known to have it");
            Ok(())
        }
        _ if answer.is_ok() => {
            println!("cleared");
            Ok(())
        }
        NOT_FOUND => Err(Failure::refused(format!("{fingerprint} is not in quarantine"))),
        _ => Err(answer.refused()),
    }
}
