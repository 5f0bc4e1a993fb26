//! Runs one case of the review: `review-case NAME RECORD`. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod broken_off;
mod configuration;
mod cut;
mod fleet;
mod forgotten_leave;
mod http;
mod planned_replacement;
mod record;
mod sys;
mod upstream;

use record::Record;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::process::exit;

pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = &words[..] else {
        eprintln!("usage: review-case NAME RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(path)).unwrap_or_else(|error| {
        eprintln!("cannot write {path}: {error}");
        exit(2);
    });
    record
        .note(format!("case {case}, {}", if trouble { "with trouble" } else { "without trouble" }));
    // A stand-in that cannot do its part panics; the processes are ended on the way out.
    let outcome = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "broken-off" => broken_off::run(&record, trouble),
        "forgotten-leave" => forgotten_leave::run(&record, trouble),
        "planned-replacement" => planned_replacement::run(&record, trouble),
        _ => Err(format!("no case {case}")),
    }));
    let outcome = outcome.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    let (text, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.note(&text);
    println!("{case}: {text}");
    exit(code);
}
