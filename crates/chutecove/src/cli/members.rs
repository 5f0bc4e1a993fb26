//! The subcommand `chutecove members`.

use crate::cli::{operator_client, operator_options, parse_options, positional_argument};
use crate::exit::Failure;
use control::{MemberChange, MembersView};
use getopts::Options;

const BRIEF: &str = "\
Usage: chutecove members list
       chutecove members add ID      (adds a learner; list it in every replica's settings first)
       chutecove members promote ID  (makes a learner that has caught up a voter)
       chutecove members remove ID   (permanent; the id must not be used again)";

/// Lists the members, or changes the membership of all consensus groups.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    operator_options(&mut options);
    options.optopt("", "groups", "number of claim groups, as in control's settings (2)", "N");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let client = operator_client(&matches)?;
    let verb = positional_argument(&matches, 0, "VERB")?;
    if verb == "list" {
        let view: MembersView = client.get("/v1/members")?;
        print_members(&view);
        return Ok(());
    }
    let id = positional_argument(&matches, 1, "ID")?;
    let id: u64 = id.parse().map_err(|_| Failure::usage(format!("'{id}' is not a member id")))?;
    let change = match verb {
        "add" => MemberChange::AddLearner(id),
        "promote" => MemberChange::Promote(id),
        "remove" => MemberChange::Remove(id),
        _ => return Err(Failure::usage(BRIEF)),
    };
    let claim_groups: u32 = matches
        .opt_get_default("groups", 2)
        .map_err(|error| Failure::usage(format!("--groups: {error}")))?;
    for group in 0..=claim_groups {
        let body = serde_json::json!({ "group": group, "change": change }).to_string();
        let _: MembersView = client.post("/v1/members", body.as_bytes(), None)?;
        println!("group {group}: done");
    }
    Ok(())
}

fn print_members(view: &MembersView) {
    println!("leader    {}", view.leader.map_or("none".to_owned(), |id| id.to_string()));
    println!("voters    {:?}", view.voters);
    println!("learners  {:?}", view.learners);
    for (id, entries) in &view.behind {
        println!("member {id} lacks {entries} entries");
    }
}
