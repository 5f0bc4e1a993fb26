//! A coordinator's interface as the operators' verbs ask it.

use crate::cli::parse;
use crate::exit::{Failure, MAY_HAVE_RUN, UNREACHABLE};
use getopts::{Matches, Options};
use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::http::Response;
use ureq::Body;

/// A coordinator answers from its memory, or passes an order on to the leader and answers within a
/// second; one that has not within this time is ill.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
const OK: u16 = 200;

/// How a verb's answer is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Lines for people.
    Text,
    /// As it came.
    Json,
}

/// One coordinator.
pub struct Interface {
    base: String,
    output: Output,
}

/// What a coordinator answered to an order: the status and the reason it gave.
pub struct Answered {
    /// Status code.
    pub status: u16,
    /// Text of the answer.
    pub reason: String,
}

impl Interface {
    /// Parses the arguments of a verb that asks a coordinator; `None` if that was to print the usage.
    pub fn parse(brief: &str, arguments: &[String]) -> Result<Option<(Matches, Self)>, Failure> {
        let mut options = Options::new();
        options.reqopt("", "coordinator", "address of a coordinator's interface", "IP:PORT");
        options.optopt("", "output", "text or json (text)", "FORMAT");
        let Some(matches) = parse(options, brief, arguments)? else {
            return Ok(None);
        };
        let output = match matches.opt_str("output").as_deref() {
            None | Some("text") => Output::Text,
            Some("json") => Output::Json,
            Some(other) => return Err(Failure::usage(format!("--output: '{other}' is unknown"))),
        };
        let base = format!("http://{}", matches.opt_str("coordinator").unwrap_or_default());
        Ok(Some((matches, Interface { base, output })))
    }

    /// Prints a list: as it came, or by a table of its rows.
    pub fn print_list<T: DeserializeOwned>(
        &self,
        path: &str,
        table: impl Fn(&[T]) -> String,
    ) -> Result<(), Failure> {
        let mut answer = agent().get(self.url(path)).call().map_err(unreachable)?;
        let text = answer.body_mut().read_to_string().map_err(unreachable)?;
        if answer.status() != OK {
            return Err(Failure::refused(format!("answered {}", answer.status())));
        }
        match self.output {
            Output::Json => println!("{text}"),
            Output::Text => {
                let rows: Vec<T> = serde_json::from_str(&text).map_err(Failure::refused)?;
                print!("{}", table(&rows));
            }
        }
        Ok(())
    }

    /// Sends an order to put something in force; `done` says what may have been done if there is no
    /// answer.
    pub fn put(&self, path: &str, done: &str) -> Result<Answered, Failure> {
        answered(agent().put(self.url(path)).send_empty(), done)
    }

    /// Sends an order to take something back.
    pub fn delete(&self, path: &str, done: &str) -> Result<Answered, Failure> {
        answered(agent().delete(self.url(path)).call(), done)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

impl Answered {
    /// A refusal that says what came.
    pub fn refused(&self) -> Failure {
        Failure::refused(format!("answered {}: {}", self.status, self.reason.trim()))
    }

    /// Whether it was done.
    pub fn is_ok(&self) -> bool {
        self.status == OK
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

fn answered(answer: Result<Response<Body>, ureq::Error>, done: &str) -> Result<Answered, Failure> {
    let mut answer = answer.map_err(|error| Failure {
        message: format!("not answered, {done}: {error}"),
        code: MAY_HAVE_RUN,
    })?;
    // A reason that cannot be read leaves the status, which decides.
    let reason = answer.body_mut().read_to_string().unwrap_or_else(|error| error.to_string());
    Ok(Answered { status: answer.status().as_u16(), reason })
}
