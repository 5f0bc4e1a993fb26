//! The cases of the second independent review that are scripts: `standins-2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0`
//! leaves the disruption out.

mod client;
mod departure;
mod fleet;
mod http;
mod operator;
mod record;
mod removal;
mod uploads;
mod upstream;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("{path} cannot be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    record.say(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "departure" => departure::run(trouble, &record),
        "removal" => removal::run(trouble, &record),
        "uploads" => uploads::run(trouble, &record),
        _ => Ok(Outcome::NotRun("no such case")),
    };
    match outcome {
        Ok(Outcome::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Outcome::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::NotRun(reason)) => {
            record.say(&format!("not run: {reason}"));
            ExitCode::from(2)
        }
        Err(error) => {
            record.say(&format!("not run: {error}"));
            ExitCode::from(2)
        }
    }
}
