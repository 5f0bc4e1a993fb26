//! HTTP client for the API of a coordinator, and the arguments of the commands that use it.

use crate::cli::parse_options;
use crate::exit::{Failure, MAY_HAVE_RUN, UNREACHABLE};
use getopts::{Matches, Options};
use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::http::Response;
use ureq::Body;

/// A coordinator answers from memory, or forwards a change to the leader and answers within a second;
/// one that has not answered by then is treated as failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const OK: u16 = 200;

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// JSON as received from the coordinator.
    Json,
}

/// Client for the API of one coordinator, with the output format of the command.
pub struct CoordinatorClient {
    base: String,
    output: Output,
}

/// Response of a coordinator to a change.
pub struct OrderResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body, which gives the reason of a refusal.
    pub reason: String,
}

impl CoordinatorClient {
    /// Parses the arguments of a command that calls a coordinator. Prints the usage and returns `None` if
    /// help was requested.
    pub fn parse(brief: &str, arguments: &[String]) -> Result<Option<(Matches, Self)>, Failure> {
        let mut options = Options::new();
        options.reqopt("", "coordinator", "address of the API of a coordinator", "IP:PORT");
        options.optopt("", "output", "text or json (text)", "FORMAT");
        let Some(matches) = parse_options(options, brief, arguments)? else {
            return Ok(None);
        };
        let output = match matches.opt_str("output").as_deref() {
            None | Some("text") => Output::Text,
            Some("json") => Output::Json,
            Some(other) => {
                return Err(Failure::usage(format!("--output: '{other}' is not text or json")))
            }
        };
        let base = format!("http://{}", matches.opt_str("coordinator").unwrap_or_default());
        Ok(Some((matches, CoordinatorClient { base, output })))
    }

    /// Fetches a list and prints it as JSON, or as the text that `format_table` makes of its rows.
    pub fn print_list<T: DeserializeOwned>(
        &self,
        path: &str,
        format_table: impl Fn(&[T]) -> String,
    ) -> Result<(), Failure> {
        let mut response = http_agent().get(self.url(path)).call().map_err(unreachable_failure)?;
        let text = response.body_mut().read_to_string().map_err(unreachable_failure)?;
        if response.status() != OK {
            return Err(Failure::refused(format!(
                "the coordinator answered {}",
                response.status()
            )));
        }
        match self.output {
            Output::Json => println!("{text}"),
            Output::Text => {
                let rows: Vec<T> = serde_json::from_str(&text).map_err(Failure::refused)?;
                print!("{}", format_table(&rows));
            }
        }
        Ok(())
    }

    /// Sends a `PUT` request; `uncertainty` tells the operator what may have happened if there is no
    /// response.
    pub fn put(&self, path: &str, uncertainty: &str) -> Result<OrderResponse, Failure> {
        to_order_response(http_agent().put(self.url(path)).send_empty(), uncertainty)
    }

    /// Sends a `DELETE` request; `uncertainty` is as in [`Self::put`].
    pub fn delete(&self, path: &str, uncertainty: &str) -> Result<OrderResponse, Failure> {
        to_order_response(http_agent().delete(self.url(path)).call(), uncertainty)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

impl OrderResponse {
    /// Returns the error to report for a status other than 200.
    pub fn failure(&self) -> Failure {
        Failure::refused(format!(
            "the coordinator answered {}: {}",
            self.status,
            self.reason.trim()
        ))
    }

    /// Returns whether the change was applied.
    pub fn is_ok(&self) -> bool {
        self.status == OK
    }
}

fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(RESPONSE_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

fn unreachable_failure(error: impl std::fmt::Display) -> Failure {
    Failure { message: format!("the coordinator did not answer: {error}"), code: UNREACHABLE }
}

fn to_order_response(
    result: Result<Response<Body>, ureq::Error>,
    uncertainty: &str,
) -> Result<OrderResponse, Failure> {
    let mut response = result.map_err(|error| Failure {
        message: format!("the coordinator did not answer, {uncertainty}: {error}"),
        code: MAY_HAVE_RUN,
    })?;
    // The status decides, so a body that cannot be read is not an error.
    let reason = response.body_mut().read_to_string().unwrap_or_else(|error| error.to_string());
    Ok(OrderResponse { status: response.status().as_u16(), reason })
}
