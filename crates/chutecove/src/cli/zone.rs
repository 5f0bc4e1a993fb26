//! `chutecove zone`

use crate::cli::free_argument;
use crate::cli::interface::Interface;
use crate::dialect::EvacuatedZone;
use crate::exit::Failure;

const BRIEF: &str = "\
Usage: chutecove zone list --coordinator IP:PORT [--output json]
       chutecove zone evacuate ZONE --coordinator IP:PORT
       chutecove zone restore ZONE --coordinator IP:PORT

Evacuates a zone: nothing more is sent to its upstreams, within a second, until it is restored.
Callers there are served by other zones. Both verbs may be repeated. Any coordinator will do; PORT is
its api_listen. A zone may be named that has no upstreams yet; the last zone may be evacuated, too,
and all calls are then refused.";
const PATH: &str = "/v1/evacuations";
const SECOND_MS: u64 = 1_000;

/// Evacuates and restores zones.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let Some((matches, interface)) = Interface::parse(BRIEF, arguments)? else {
        return Ok(());
    };
    let verb = free_argument(&matches, 0, "VERB")?;
    if verb == "list" {
        return interface.print_list(PATH, table);
    }
    let zone = free_argument(&matches, 1, "ZONE")?;
    let path = format!("{PATH}/{zone}");
    let (answer, done) = match verb {
        "evacuate" => (interface.put(&path, "it may be evacuated, repeat the order")?, "evacuated"),
        "restore" => (interface.delete(&path, "it may be restored, repeat the order")?, "restored"),
        _ => return Err(Failure::usage(BRIEF)),
    };
    if !answer.is_ok() {
        return Err(answer.refused());
    }
    println!("{zone} is {done}");
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
