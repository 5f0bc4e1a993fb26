//! Authentication and authorization of operator requests.

use bundle::{ApprovalError, Digest, OperatorKeys};
use settings::{OperatorEntry, SettingsError};
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Header that carries the operator's name.
pub const OPERATOR_HEADER: &str = "X-Chutecove-Operator";
/// Header that carries the request id, which makes a repeated request idempotent.
pub const REQUEST_ID_HEADER: &str = "X-Chutecove-Request-Id";
/// Header that carries the signing time, in seconds since the Unix epoch.
pub const TIME_HEADER: &str = "X-Chutecove-Time";
/// Header that carries the Ed25519 signature, in hexadecimal.
pub const SIGNATURE_HEADER: &str = "X-Chutecove-Signature";

/// Maximum difference between the signing time and the local clock, in seconds.
const MAX_CLOCK_SKEW_S: u64 = 300;
/// Domain separation: a request signature is never valid as a bundle approval.
const REQUEST_CONTEXT: &str = "chutecove operator request v1";

/// Reason a request was rejected before execution.
#[derive(Debug, Snafu)]
pub enum AuthenticationError {
    /// A required header is missing.
    #[snafu(display("header {header} is missing"))]
    Missing {
        /// Name of the header.
        header: &'static str,
    },
    /// The value of a header cannot be parsed.
    #[snafu(display("header {header} cannot be read"))]
    Malformed {
        /// Name of the header.
        header: &'static str,
    },
    /// The signing time is too far from the local clock.
    #[snafu(display("the signature's time differs by more than {MAX_CLOCK_SKEW_S} s"))]
    Expired,
    /// The signature could not be verified.
    #[snafu(display("{source}"))]
    Signature {
        /// Underlying error.
        source: ApprovalError,
    },
    /// The operator lacks the required role.
    #[snafu(display("operator '{operator}' does not have the role '{role}'"))]
    Forbidden {
        /// Name of the operator.
        operator: String,
        /// Required role.
        role: &'static str,
    },
    /// The operators file could not be loaded.
    #[snafu(display("{source}"))]
    Operators {
        /// Underlying error.
        source: SettingsError,
    },
}

/// Builds the message that an operator signs for a request.
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

/// Operators listed in a file, which is read for each request so that changes take effect at once.
#[derive(Clone, Debug)]
pub struct OperatorDirectory {
    path: PathBuf,
}

/// The parts of an incoming HTTP request that authentication uses.
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
    /// Creates a directory that reads the operators file at `path`.
    pub fn new(path: PathBuf) -> Self {
        OperatorDirectory { path }
    }

    /// Checks that the operators file can be loaded.
    pub fn check(&self) -> Result<(), SettingsError> {
        settings::load_operators(&self.path).map(|_| ())
    }

    /// Verifies the signature of a request and, if `role` is given, that the operator has that
    /// role.
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
        ensure!(unix_time_s().abs_diff(time_s) <= MAX_CLOCK_SKEW_S, ExpiredSnafu);
        let operators = settings::load_operators(&self.path).context(OperatorsSnafu)?.operator;
        let keys = operator_keys(&operators).context(SignatureSnafu)?;
        let (method, path, body) = (request.method, request.path, request.body);
        let message = signing_message(method, path, operator, request_id, time_s, body);
        keys.verify(operator, &message, &signature).context(SignatureSnafu)?;
        let Some(role) = role else { return Ok(()) };
        let entry = operators.iter().find(|entry| entry.name == operator);
        let allowed =
            entry.is_some_and(|entry| entry.roles.iter().any(|assigned| assigned == role));
        ensure!(allowed, ForbiddenSnafu { operator, role });
        Ok(())
    }

    /// Verifies an operator's approval signature over a bundle digest.
    pub(crate) fn verify_approval(
        &self,
        digest: &Digest,
        approval: &bundle::Approval,
    ) -> Result<(), AuthenticationError> {
        let operators = settings::load_operators(&self.path).context(OperatorsSnafu)?.operator;
        let keys = operator_keys(&operators).context(SignatureSnafu)?;
        keys.verify_approval(digest, approval).context(SignatureSnafu)
    }
}

fn operator_keys(operators: &[OperatorEntry]) -> Result<OperatorKeys, ApprovalError> {
    let mut keys = OperatorKeys::default();
    for entry in operators {
        keys.insert_hex(&entry.name, &entry.public_key)?;
    }
    Ok(keys)
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok()).collect()
}
