//! The verdict every refusal and error carries: whether the request may have run.
//!
//! A caller decides from the verdict alone whether repeating a request is safe, so every crate of
//! the workspace reports failures with this one type.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// Name of the HTTP response header that carries the verdict.
pub const VERDICT_HEADER: &str = "X-Chutecove-Verdict";

/// Whether a request had an effect, as far as the party that answers can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Readable, Writable)]
pub enum Verdict {
    /// The request certainly had no effect; repeating it is safe.
    NotRun,
    /// The request may have taken effect; only a repeatable request may be sent again.
    MayHaveRun,
    /// The request took effect and this is its outcome.
    Ran,
}

impl Verdict {
    /// The stable spelling used in headers, JSON and logs.
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

/// The text was not one of the three verdict spellings.
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
