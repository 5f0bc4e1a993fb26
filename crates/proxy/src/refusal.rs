//! Refusals the proxy itself gives, each with its verdict.

use std::fmt;
use touche::{Response, StatusCode};
use verdict::{Verdict, VERDICT_HEADER};

/// Header that marks an answer as a proxy's refusal: the hop next to the failure has already
/// retried, so no other hop may.
pub const HOP_HEADER: &str = "X-Chutecove-Hop";
/// When a caller may come back, seconds; HTTP knows no smaller unit.
const RETRY_AFTER_S: &str = "1";

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// No configuration is in force yet.
    NotConfigured,
    /// The configuration may be older than the route allows.
    TooStale,
    /// No route matches.
    NoRoute,
    /// A header of ours is malformed, or the request cannot be read.
    BadRequest,
    /// The body is too large.
    BodyTooLarge,
    /// The call passed too many proxies.
    TooDeep,
    /// No live upstream is known.
    NoUpstream,
    /// There is no room for the call now.
    Overloaded,
    /// The caller's time was over before anything was sent.
    Expired,
    /// No upstream could be reached.
    Unreachable,
    /// The upstream was lost, or its answer is not whole.
    UpstreamLost,
    /// The upstream did not answer in time.
    UpstreamTimeout,
    /// The claim for a keyed call could not be recorded by a quorum.
    NoQuorum,
    /// The key was used for another request.
    KeyReused,
    /// An earlier try with this key may have run; its outcome is not known.
    OutcomeUnknown,
    /// An earlier try ran, but its answer was too long to be kept.
    OutcomeNotKept,
}

impl RefusalKind {
    /// The stable spelling.
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

    /// Whether coming back later may help.
    fn is_transient(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// For people.
    pub message: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} ({})", self.kind.as_str(), self.message, self.verdict)
    }
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// A refusal before anything was sent.
    pub fn not_run(kind: RefusalKind, message: impl ToString) -> Self {
        Refusal { kind, verdict: Verdict::NotRun, message: message.to_string() }
    }

    /// The HTTP answer.
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
