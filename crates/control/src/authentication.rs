//! Who an operator's request comes from, and what that operator may do.

use bundle::{ApprovalError, Digest, OperatorKeys};
use settings::{OperatorEntry, SettingsError};
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Header with the operator's name.
pub const OPERATOR_HEADER: &str = "X-Chutecove-Operator";
/// Header with the id that makes a resend harmless.
pub const REQUEST_ID_HEADER: &str = "X-Chutecove-Request-Id";
/// Header with the time of signing, seconds since 1970.
pub const TIME_HEADER: &str = "X-Chutecove-Time";
/// Header with the Ed25519 signature, hexadecimal.
pub const SIGNATURE_HEADER: &str = "X-Chutecove-Signature";

/// A signature older or newer than this is refused, seconds.
const MAX_CLOCK_DIFFERENCE_S: u64 = 300;
/// Domain separation from bundle approvals.
const REQUEST_CONTEXT: &str = "chutecove operator request v1";

/// Why a request was not let in; it has not run.
#[derive(Debug, Snafu)]
pub enum AuthenticationError {
    /// A header is missing.
    #[snafu(display("header {header} is missing"))]
    Missing {
        /// Which.
        header: &'static str,
    },
    /// A header cannot be read.
    #[snafu(display("header {header} cannot be read"))]
    Malformed {
        /// Which.
        header: &'static str,
    },
    /// Signed too long ago, or the clocks differ.
    #[snafu(display("the signature's time differs by more than {MAX_CLOCK_DIFFERENCE_S} s"))]
    Expired,
    /// The signature is not the operator's.
    #[snafu(display("{source}"))]
    Signature {
        /// Cause.
        source: ApprovalError,
    },
    /// The operator may not do this.
    #[snafu(display("operator '{operator}' does not have the role '{role}'"))]
    Forbidden {
        /// Who.
        operator: String,
        /// What it takes.
        role: &'static str,
    },
    /// The list of operators cannot be read.
    #[snafu(display("{source}"))]
    Operators {
        /// Cause.
        source: SettingsError,
    },
}

/// The text an operator signs for a request.
pub fn signing_message(
    method: &str,
    path: &str,
    operator: &str,
    request_id: &str,
    time_s: u64,
    body: &[u8],
) -> Vec<u8> {
    let digest = Digest::of(body);
    format!("{REQUEST_CONTEXT}\n{method}\n{path}\n{operator}\n{request_id}\n{time_s}\n{digest}")
        .into_bytes()
}

/// The operators listed in a file, read for each request so that changes count at once.
#[derive(Clone, Debug)]
pub struct OperatorDirectory {
    path: PathBuf,
}

/// A request as it arrived.
pub(crate) struct IncomingRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub operator: Option<&'a str>,
    pub request_id: Option<&'a str>,
    pub time_s: Option<&'a str>,
    pub signature: Option<&'a str>,
    pub body: &'a [u8],
}

impl OperatorDirectory {
    /// Uses a list of operators.
    pub fn new(path: PathBuf) -> Self {
        OperatorDirectory { path }
    }

    /// Checks that the list can be read.
    pub fn check(&self) -> Result<(), SettingsError> {
        settings::load_operators(&self.path).map(|_| ())
    }

    /// Checks a request's signature and the operator's role; `None` asks for no role.
    pub(crate) fn authenticate(
        &self,
        request: &IncomingRequest<'_>,
        role: Option<&'static str>,
    ) -> Result<(), AuthenticationError> {
        let operator = request.operator.context(MissingSnafu { header: OPERATOR_HEADER })?;
        let request_id = request.request_id.context(MissingSnafu { header: REQUEST_ID_HEADER })?;
        let time = request.time_s.context(MissingSnafu { header: TIME_HEADER })?;
        let time_s: u64 = time.parse().ok().context(MalformedSnafu { header: TIME_HEADER })?;
        let signature = request.signature.context(MissingSnafu { header: SIGNATURE_HEADER })?;
        let signature =
            decode_hex(signature).context(MalformedSnafu { header: SIGNATURE_HEADER })?;
        ensure!(unix_time_s().abs_diff(time_s) <= MAX_CLOCK_DIFFERENCE_S, ExpiredSnafu);
        let listed = settings::load_operators(&self.path).context(OperatorsSnafu)?.operator;
        let keys = operator_keys(&listed).context(SignatureSnafu)?;
        let (method, path, body) = (request.method, request.path, request.body);
        let message = signing_message(method, path, operator, request_id, time_s, body);
        keys.verify(operator, &message, &signature).context(SignatureSnafu)?;
        let Some(role) = role else { return Ok(()) };
        let entry = listed.iter().find(|entry| entry.name == operator);
        let allowed = entry.is_some_and(|entry| entry.roles.iter().any(|held| held == role));
        ensure!(allowed, ForbiddenSnafu { operator, role });
        Ok(())
    }

    /// Checks an approver's signature over a bundle.
    pub(crate) fn verify_approval(
        &self,
        digest: &Digest,
        approval: &bundle::Approval,
    ) -> Result<(), AuthenticationError> {
        let listed = settings::load_operators(&self.path).context(OperatorsSnafu)?.operator;
        let keys = operator_keys(&listed).context(SignatureSnafu)?;
        keys.verify_approval(digest, approval).context(SignatureSnafu)
    }
}

fn operator_keys(listed: &[OperatorEntry]) -> Result<OperatorKeys, ApprovalError> {
    let mut keys = OperatorKeys::default();
    for entry in listed {
        keys.insert_hex(&entry.name, &entry.public_key)?;
    }
    Ok(keys)
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok()).collect()
}
