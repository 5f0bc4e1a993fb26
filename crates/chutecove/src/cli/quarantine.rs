//! The subcommand `chutecove quarantine`.

use crate::cli::interface::CoordinatorClient;
use crate::cli::positional_argument;
use crate::dialect::QuarantinedRequest;
use crate::exit::Failure;

const BRIEF: &str = "\
Usage: chutecove quarantine list --coordinator IP:PORT [--output json]
       chutecove quarantine clear FINGERPRINT --coordinator IP:PORT

Lists or clears requests that crashed upstreams and are refused for now. Any coordinator accepts the
verbs; PORT is the port of its api_listen. A cleared request returns to quarantine when it crashes two
more upstreams.";
const QUARANTINE_PATH: &str = "/v1/quarantine";
const NOT_FOUND: u16 = 404;
const ACCEPTED: u16 = 202;

/// Lists or clears requests in quarantine.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some((matches, client)) = CoordinatorClient::parse(BRIEF, arguments)? else {
        return Ok(());
    };
    match positional_argument(&matches, 0, "VERB")? {
        "list" => client.print_list(QUARANTINE_PATH, format_table),
        "clear" => clear(&client, positional_argument(&matches, 1, "FINGERPRINT")?),
        _ => Err(Failure::usage(BRIEF)),
    }
}

/// Formats one line for each request, most crashes first.
fn format_table(rows: &[QuarantinedRequest]) -> String {
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

fn clear(client: &CoordinatorClient, fingerprint: &str) -> Result<(), Failure> {
    let response =
        client.delete(&format!("{QUARANTINE_PATH}/{fingerprint}"), "the request may be cleared")?;
    match response.status {
        ACCEPTED => {
            println!("cleared at this coordinator only; no other coordinator has confirmed it");
            Ok(())
        }
        _ if response.is_ok() => {
            println!("cleared");
            Ok(())
        }
        NOT_FOUND => Err(Failure::refused(format!("{fingerprint} is not in quarantine"))),
        _ => Err(response.failure()),
    }
}
