//! Verdict carried by every refusal and error: whether the request may have run.
//!
//! Callers decide from the verdict alone whether a request can safely be retried, so all crates of
//! the workspace report failures with this type.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// Name of the HTTP response header that carries the verdict.
pub const VERDICT_HEADER: &str = "X-Chutecove-Verdict";

/// Whether a request had an effect, as far as the responder can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Readable, Writable)]
pub enum Verdict {
    /// The request certainly had no effect, so it can safely be retried.
    NotRun,
    /// The request may have taken effect, so it may only be retried if it is repeatable.
    MayHaveRun,
    /// The request took effect, and the response is its outcome.
    Ran,
}

impl Verdict {
    /// Stable name used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Error for a text that is not the name of a verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownVerdict(pub String);

impl fmt::Display for UnknownVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "'{}' is not a verdict (not-run, may-have-run, ran)", self.0)
    }
}

impl std::error::Error for UnknownVerdict {}

impl FromStr for Verdict {
    type Err = UnknownVerdict;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Verdict::NotRun),
            "may-have-run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            other => Err(UnknownVerdict(other.to_owned())),
        }
    }
}
