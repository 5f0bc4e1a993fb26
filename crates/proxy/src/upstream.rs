//! Sends one call to one upstream and determines from a failure whether the call may have run.

use crate::ip_resolver::IpResolver;
use crate::transport::ResetAwareConnector;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http::{self, HeaderMap, Method, StatusCode};
use ureq::unversioned::transport::{Connector, DefaultConnector};
use verdict::Verdict;

/// Response header with the fraction of a backend's slots that are in use, from 0 to 1.
pub const LOAD_HEADER: &str = "X-Chutecove-Load";
/// Response header with which a backend announces that it is `draining`.
pub const BACKEND_STATE_HEADER: &str = "X-Chutecove-Backend-State";

/// Maximum number of idle connections kept per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;
const MAX_IDLE: usize = 1_024;
/// Maximum time to connect. Backends are on the same network, so one that has not accepted the
/// connection by then will not accept it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are not reused after this time because the backend may have closed them.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);

/// Whether a call may be repeated, which determines the connections that it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPolicy {
    /// The call may run twice: it may use an idle connection, which may turn out to be closed.
    Repeatable,
    /// The call must not run twice: it uses a new connection, so that a failure to connect proves
    /// that the call did not run. On an idle connection, the client library does not report how
    /// much of the request was sent.
    Once,
}

/// A call to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers, without connection headers.
    pub headers: &'a HeaderMap,
    /// Request body.
    pub body: &'a [u8],
    /// Remaining time.
    pub timeout: Duration,
    /// Whether the call may be repeated.
    pub policy: SendPolicy,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body, whose length was verified.
    pub body: Vec<u8>,
}

/// Failure to get a complete response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Whether the call timed out.
    pub timed_out: bool,
    /// Human-readable description.
    pub message: String,
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for SendError {}

/// HTTP client for upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pooled: ureq::Agent,
    unpooled: ureq::Agent,
    max_body_bytes: u64,
}

impl UpstreamClient {
    /// Creates a client that fails on response bodies longer than `max_body_bytes`.
    pub fn new(max_body_bytes: u64) -> Self {
        UpstreamClient {
            pooled: agent(MAX_IDLE, MAX_IDLE_PER_UPSTREAM),
            unpooled: agent(0, 0),
            max_body_bytes,
        }
    }

    /// Sends a call and reads the complete response.
    pub fn send(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest<'_>,
    ) -> Result<UpstreamResponse, SendError> {
        let agent = match request.policy {
            SendPolicy::Repeatable => &self.pooled,
            SendPolicy::Once => &self.unpooled,
        };
        let prepared = prepare(address, request)?;
        let configured =
            agent.configure_request(prepared).timeout_global(Some(request.timeout)).build();
        let response = agent.run(configured).map_err(|error| head_error(&error))?;
        let (parts, mut body) = response.into_parts();
        // The library verifies the announced length: a body that is too short is an error, and its
        // connection is dropped.
        let read = body.with_config().limit(self.max_body_bytes).read_to_vec();
        let body = read.map_err(|error| body_error(&error))?;
        Ok(UpstreamResponse { status: parts.status, headers: parts.headers, body })
    }
}

fn agent(max_idle: usize, max_idle_per_host: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .no_delay(true)
        .allow_non_standard_methods(true)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle_per_host)
        .max_idle_age(MAX_IDLE_AGE)
        .user_agent(ureq::config::AutoHeaderValue::None)
        .accept(ureq::config::AutoHeaderValue::None)
        .accept_encoding(ureq::config::AutoHeaderValue::None)
        .build();
    let connector = DefaultConnector::default().chain(ResetAwareConnector);
    ureq::Agent::with_parts(config, connector, IpResolver)
}

fn prepare<'a>(
    address: SocketAddr,
    request: &UpstreamRequest<'a>,
) -> Result<http::Request<&'a [u8]>, SendError> {
    let uri = format!("http://{address}{}", request.path);
    let mut builder = http::Request::builder().method(request.method).uri(uri);
    if let Some(headers) = builder.headers_mut() {
        headers.extend(request.headers.iter().map(|(name, value)| (name.clone(), value.clone())));
    }
    builder.body(request.body).map_err(|error| SendError {
        verdict: Verdict::NotRun,
        timed_out: false,
        message: error.to_string(),
    })
}

/// Determines whether the call may have run from an error before the response head was received.
fn head_error(error: &ureq::Error) -> SendError {
    let message = error.to_string();
    let (verdict, timed_out) = match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            (Verdict::NotRun, false)
        }
        ureq::Error::Timeout(_) => (Verdict::MayHaveRun, true),
        ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) | ureq::Error::HostNotFound => {
            (Verdict::NotRun, false)
        }
        // Only a connection attempt can be refused; an established connection is reset instead.
        ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            (Verdict::NotRun, false)
        }
        _ => (Verdict::MayHaveRun, false),
    };
    SendError { verdict, timed_out, message }
}

fn body_error(error: &ureq::Error) -> SendError {
    let timed_out = matches!(error, ureq::Error::Timeout(_));
    SendError { verdict: Verdict::MayHaveRun, timed_out, message: error.to_string() }
}
