//! The subcommand `chutecove zone`.

use crate::cli::interface::CoordinatorClient;
use crate::cli::positional_argument;
use crate::dialect::EvacuatedZone;
use crate::exit::Failure;

const BRIEF: &str = "\
Usage: chutecove zone list --coordinator IP:PORT [--output json]
       chutecove zone evacuate ZONE --coordinator IP:PORT
       chutecove zone restore ZONE --coordinator IP:PORT

Evacuates a zone: within a second its upstreams receive no more calls, until the zone is restored.
Other zones serve the callers of the zone. Both verbs are idempotent. Any coordinator accepts them;
PORT is the port of its api_listen. A zone that has no upstreams yet may be evacuated, and so may the
last zone, after which all calls are refused.";
const EVACUATIONS_PATH: &str = "/v1/evacuations";
const MS_PER_S: u64 = 1_000;

/// Lists, evacuates or restores zones.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some((matches, client)) = CoordinatorClient::parse(BRIEF, arguments)? else {
        return Ok(());
    };
    let verb = positional_argument(&matches, 0, "VERB")?;
    if verb == "list" {
        return client.print_list(EVACUATIONS_PATH, format_table);
    }
    let zone = positional_argument(&matches, 1, "ZONE")?;
    let path = format!("{EVACUATIONS_PATH}/{zone}");
    let (response, state) = match verb {
        "evacuate" => {
            (client.put(&path, "the zone may be evacuated; repeat the command")?, "evacuated")
        }
        "restore" => {
            (client.delete(&path, "the zone may be restored; repeat the command")?, "restored")
        }
        _ => return Err(Failure::usage(BRIEF)),
    };
    if !response.is_ok() {
        return Err(response.failure());
    }
    println!("{zone} is {state}");
    Ok(())
}

/// Formats one line for each zone, longest evacuated first.
fn format_table(rows: &[EvacuatedZone]) -> String {
    if rows.is_empty() {
        return "no zone is evacuated\n".to_owned();
    }
    let mut rows: Vec<&EvacuatedZone> = rows.iter().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.age_ms));
    let line =
        |row: &&EvacuatedZone| format!("{}  evacuated for {} s\n", row.zone, row.age_ms / MS_PER_S);
    rows.iter().map(line).collect()
}
