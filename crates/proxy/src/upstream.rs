//! Sending one call to one upstream, and what its failure proves.

use crate::ip_resolver::IpResolver;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use touche::http;
use touche::{HeaderMap, Method, StatusCode};
use ureq::unversioned::transport::DefaultConnector;
use verdict::Verdict;

/// Header in which a back end reports the share of its slots in use, 0 to 1.
pub const LOAD_HEADER: &str = "X-Chutecove-Load";
/// Header in which a back end says `draining`.
pub const BACKEND_STATE_HEADER: &str = "X-Chutecove-Backend-State";

/// Idle connections kept per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;
const MAX_IDLE: usize = 1_024;
/// A back end on the same network that has not accepted by then is not going to, ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are not used after this time, since the back end may have closed them.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);

/// Whether the call may be repeated, which decides which connection it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPolicy {
    /// May run twice: uses an idle connection, which may turn out to be dead.
    Repeatable,
    /// Must not run twice: opens a connection, so that a failure to connect proves that the call
    /// did not run. The client library does not tell how far a request got on an idle one.
    Once,
}

/// A call as it leaves for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers, without those of the connection.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
    /// Time left.
    pub timeout: Duration,
    /// Which connection it may use.
    pub policy: SendPolicy,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The whole body; its length was checked.
    pub body: Vec<u8>,
}

/// A call that has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether time ran out.
    pub timed_out: bool,
    /// For people.
    pub message: String,
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for SendError {}

/// Connections to upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pooled: ureq::Agent,
    fresh: ureq::Agent,
    max_body_bytes: u64,
}

impl UpstreamClient {
    /// A client that refuses longer answers than `max_body_bytes`.
    pub fn new(max_body_bytes: u64) -> Self {
        UpstreamClient {
            pooled: agent(MAX_IDLE, MAX_IDLE_PER_UPSTREAM),
            fresh: agent(0, 0),
            max_body_bytes,
        }
    }

    /// Sends a call and reads its whole answer.
    pub fn send(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest<'_>,
    ) -> Result<UpstreamResponse, SendError> {
        let agent = match request.policy {
            SendPolicy::Repeatable => &self.pooled,
            SendPolicy::Once => &self.fresh,
        };
        let prepared = prepare(address, request)?;
        let configured =
            agent.configure_request(prepared).timeout_global(Some(request.timeout)).build();
        let answer = agent.run(configured).map_err(|error| classify(&error))?;
        let (parts, mut body) = answer.into_parts();
        // The library checks the length announced; a short answer is an error here, and its
        // connection is dropped.
        let read = body.with_config().limit(self.max_body_bytes).read_to_vec();
        let body = read.map_err(|error| after_head(&error))?;
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
    ureq::Agent::with_parts(config, DefaultConnector::default(), IpResolver)
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

/// What an error before the answer's head proves.
fn classify(error: &ureq::Error) -> SendError {
    let message = error.to_string();
    let (verdict, timed_out) = match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            (Verdict::NotRun, false)
        }
        ureq::Error::Timeout(_) => (Verdict::MayHaveRun, true),
        ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) | ureq::Error::HostNotFound => {
            (Verdict::NotRun, false)
        }
        // Only connecting is refused; an open connection is reset.
        ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            (Verdict::NotRun, false)
        }
        _ => (Verdict::MayHaveRun, false),
    };
    SendError { verdict, timed_out, message }
}

fn after_head(error: &ureq::Error) -> SendError {
    let timed_out = matches!(error, ureq::Error::Timeout(_));
    SendError { verdict: Verdict::MayHaveRun, timed_out, message: error.to_string() }
}
