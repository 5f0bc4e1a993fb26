//! The header names and message formats that callers and upstreams use. A dialect only translates
//! them; the decisions are made by the runtime.

use http1::Headers;
use mesh::{CallRate, Incarnation, InstanceRecord};
use statements::RateStatement;

/// Names of the headers between callers, sidecars and upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, chosen by the caller.
    pub attempt_id: &'static str,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: &'static str,
    /// Proof by the upstream that it produced the answer.
    pub seal: &'static str,
    /// Incarnation that must run the request.
    pub expect_instance: &'static str,
    /// Set by an upstream that did not run the request.
    pub not_run: &'static str,
    /// Service on whose machine the request originated.
    pub caller: &'static str,
    /// API key of the caller's tenant; never passed on.
    pub api_key: &'static str,
    /// Name of the tenant, for upstreams.
    pub tenant: &'static str,
    /// Load that an upstream reports with an answer.
    pub load: &'static str,
    /// Rate of requests that an upstream in need takes from all callers together.
    pub rate_limit: &'static str,
    /// Set by an upstream that is leaving.
    pub leaving: &'static str,
}

/// The load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests it is working on.
    pub running: u32,
    /// Requests that are queued there.
    pub waiting: u32,
    /// Requests it works on at once.
    pub slots: u32,
    /// Current duration of its work, in percent of the usual duration at its service.
    pub service_time_percent: Option<u32>,
}

/// What an upstream states of itself with an answer, for all senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// Its rate limit.
    pub rate: RateStatement,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl UpstreamStatement {
    /// Reads the headers of an answer.
    pub fn read(
        headers: &Headers,
        names: &HeaderNames,
        dialect: &impl RegistrationDialect,
    ) -> Self {
        let leaving = headers.text(names.leaving).is_some_and(|value| dialect.read_leaving(value));
        UpstreamStatement { rate: read_rate(headers, names, dialect), leaving }
    }
}

/// Reads the rate limit of an answer. If several are given, the strictest counts; if one of them is
/// invalid, none does.
fn read_rate(
    headers: &Headers,
    names: &HeaderNames,
    dialect: &impl RegistrationDialect,
) -> RateStatement {
    let mut strictest = RateStatement::Unlimited;
    for value in headers.all(names.rate_limit) {
        let text = std::str::from_utf8(value).ok();
        let Some(rate) = text.and_then(|text| dialect.read_rate_limit(text)) else {
            return RateStatement::Invalid;
        };
        strictest = match strictest {
            RateStatement::Limited(held) => RateStatement::Limited(held.min(rate)),
            RateStatement::Unlimited | RateStatement::Invalid => RateStatement::Limited(rate),
        };
    }
    strictest
}

/// A registration message from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationCall {
    /// The upstream is alive.
    Heartbeat {
        /// State of the incarnation.
        record: InstanceRecord,
        /// The service that it claims to belong to.
        service: String,
        /// Sequence number of the message.
        sequence: u64,
    },
    /// The upstream is ending.
    Leave {
        /// The incarnation; without the time of its start, the one known by that id.
        incarnation: Incarnation,
    },
    /// The message is invalid.
    Unreadable {
        /// The reason.
        reason: String,
    },
}

/// Translates between an upstream's format and the product's types, without making decisions.
pub trait RegistrationDialect {
    /// Reads a request; `None` if it is not a registration message.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Option<RegistrationCall>;

    /// Reads the load that an upstream reports with an answer; `None` if it is missing or invalid.
    fn read_load(&self, value: &str) -> Option<ReportedLoad>;

    /// Reads the rate limit that an upstream states with an answer; `None` if it is invalid.
    fn read_rate_limit(&self, value: &str) -> Option<CallRate>;

    /// Whether an upstream states with an answer that it is leaving.
    fn read_leaving(&self, value: &str) -> bool;

    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;
}
