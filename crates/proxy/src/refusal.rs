//! Refusals by the proxy itself, each with a verdict on whether the call may have run.

use std::fmt;
use ureq::http::{Response, StatusCode};
use verdict::{Verdict, VERDICT_HEADER};

/// Header that marks a response as a refusal by a proxy. The hop next to the failure has already
/// retried, so no other hop may retry.
pub const HOP_HEADER: &str = "X-Chutecove-Hop";
/// Value of `Retry-After`, whose smallest unit is a second.
const RETRY_AFTER_S: &str = "1";

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// No configuration has been applied yet.
    NotConfigured,
    /// The configuration may be older than the route allows.
    TooStale,
    /// No route matches the request.
    NoRoute,
    /// A Chutecove header is malformed, or the request cannot be read.
    BadRequest,
    /// The request body is too large.
    BodyTooLarge,
    /// The call passed through too many proxies.
    TooDeep,
    /// No live upstream is known, or all of them were tried.
    NoUpstream,
    /// A limit on concurrent calls, queued calls or claims is reached.
    Overloaded,
    /// The caller's deadline passed before anything was sent.
    Expired,
    /// No upstream could be reached.
    Unreachable,
    /// The connection to the upstream was lost, or its response is incomplete.
    UpstreamLost,
    /// The upstream did not respond in time.
    UpstreamTimeout,
    /// The claim of a call with an idempotency key could not be recorded by a quorum.
    NoQuorum,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// An earlier attempt with this key may have run; its outcome is unknown.
    OutcomeUnknown,
    /// An earlier attempt ran, but its response was too long to be kept.
    OutcomeNotKept,
}

impl RefusalKind {
    /// Stable identifier used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalKind::NotConfigured => "not_configured",
            RefusalKind::TooStale => "too_stale",
            RefusalKind::NoRoute => "no_route",
            RefusalKind::BadRequest => "bad_request",
            RefusalKind::BodyTooLarge => "body_too_large",
            RefusalKind::TooDeep => "too_deep",
            RefusalKind::NoUpstream => "no_upstream",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::Expired => "expired",
            RefusalKind::Unreachable => "unreachable",
            RefusalKind::UpstreamLost => "upstream_lost",
            RefusalKind::UpstreamTimeout => "upstream_timeout",
            RefusalKind::NoQuorum => "no_quorum",
            RefusalKind::KeyReused => "key_reused",
            RefusalKind::OutcomeUnknown => "outcome_unknown",
            RefusalKind::OutcomeNotKept => "outcome_not_kept",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalKind::NoRoute => StatusCode::NOT_FOUND,
            RefusalKind::BadRequest => StatusCode::BAD_REQUEST,
            RefusalKind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalKind::TooDeep => StatusCode::LOOP_DETECTED,
            RefusalKind::UpstreamLost => StatusCode::BAD_GATEWAY,
            RefusalKind::UpstreamTimeout | RefusalKind::Expired => StatusCode::GATEWAY_TIMEOUT,
            RefusalKind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalKind::OutcomeUnknown | RefusalKind::OutcomeNotKept => StatusCode::CONFLICT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether a later retry may succeed.
    fn is_transient(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }
}

/// A call that the proxy refused or could not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Human-readable description.
    pub message: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} ({})", self.kind.as_str(), self.message, self.verdict)
    }
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Creates a refusal of a call that was not sent.
    pub fn not_run(kind: RefusalKind, message: impl ToString) -> Self {
        Refusal { kind, verdict: Verdict::NotRun, message: message.to_string() }
    }

    /// Converts the refusal to the HTTP response of the named proxy.
    pub fn to_response(&self, proxy: &str) -> Response<Vec<u8>> {
        let body = serde_json::json!({
            "error": self.kind.as_str(),
            "message": self.message,
            "verdict": self.verdict,
        });
        let mut builder = Response::builder()
            .status(self.kind.status())
            .header("Content-Type", "application/json")
            .header(VERDICT_HEADER, self.verdict.as_str())
            .header(HOP_HEADER, proxy);
        if self.kind.is_transient() {
            builder = builder.header("Retry-After", RETRY_AFTER_S);
        }
        builder.body(body.to_string().into_bytes()).expect("all headers are valid")
    }
}
