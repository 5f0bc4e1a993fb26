//! Client for the operator API of control replicas. It signs requests, follows redirects to the leader
//! and retries under the same request id.

use crate::exit::{Failure, MAY_HAVE_RUN, REFUSED, UNREACHABLE};
use bundle::{SealKey, SealKeys};
use control::{
    signing_message, ApiError, OPERATOR_HEADER, REQUEST_ID_HEADER, SIGNATURE_HEADER, TIME_HEADER,
};
use ring::signature::Ed25519KeyPair;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use telemetry::BootInstant;
use verdict::Verdict;

/// Time limit of one attempt. A replica that has not responded by then may be frozen or partitioned, so the
/// request is sent to another one; the request id makes retries idempotent. A leader commits in a fraction
/// of this time, also across regions.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for retries of a request under the same id until a leader answers.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of an operator's client, as read from `operator.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator, as listed in the operators file of the control replicas.
    pub operator: String,
    /// File with the operator's private key.
    pub key_file: PathBuf,
    /// File with the keys that seal secrets; needed to submit bundles that contain secrets.
    #[serde(default)]
    pub seal_key_file: Option<PathBuf>,
    /// Addresses of the operator API of the control replicas.
    pub api: Vec<SocketAddr>,
}

/// A client that signs its requests with the operator's key.
pub struct OperatorClient {
    settings: OperatorSettings,
    key: Ed25519KeyPair,
    agent: ureq::Agent,
}

impl OperatorSettings {
    /// Reads a settings file.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Failure::usage(format!("{}: {error}", path.display())))?;
        toml::from_str(&text)
            .map_err(|error| Failure::usage(format!("{}: {error}", path.display())))
    }

    /// Returns the newest sealing key, if a file is configured.
    pub fn seal_key(&self) -> Result<Option<SealKey>, Failure> {
        self.seal_key_file.as_deref().map(read_seal_key).transpose()
    }
}

/// Reads the newest key from a file of sealing keys.
pub fn read_seal_key(path: &Path) -> Result<SealKey, Failure> {
    let to_failure = |reason: String| Failure::usage(format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| to_failure(error.to_string()))?;
    let keys = SealKeys::parse(&text).map_err(|error| to_failure(error.to_string()))?;
    keys.newest().cloned().ok_or_else(|| to_failure("the file holds no key".to_owned()))
}

/// A request to a control replica.
struct ApiRequest<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a [u8],
    request_id: &'a str,
}

enum AttemptOutcome {
    Success(String),
    ErrorResponse(ApiError, u16),
    NoResponse(Verdict, String),
}

impl OperatorClient {
    /// Creates a client with the operator's private key, read from the configured file.
    pub fn new(settings: OperatorSettings) -> Result<Self, Failure> {
        let path = &settings.key_file;
        let to_failure = |reason: String| Failure::usage(format!("{}: {reason}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| to_failure(error.to_string()))?;
        let bytes = decode_hex(text.trim())
            .ok_or_else(|| to_failure("the key is not hexadecimal".to_owned()))?;
        let key =
            Ed25519KeyPair::from_pkcs8(&bytes).map_err(|error| to_failure(error.to_string()))?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Ok(OperatorClient { settings, key, agent: config.into() })
    }

    /// Returns the settings of the client.
    pub fn settings(&self) -> &OperatorSettings {
        &self.settings
    }

    /// Signs a message with the operator's private key.
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        self.key.sign(message).as_ref().to_vec()
    }

    /// Sends a `GET` request.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request_id = new_request_id();
        self.call(&ApiRequest { method: "GET", path, body: &[], request_id: &request_id })
    }

    /// Sends a `POST` request. Retries carry the same request id, so that the change is applied once.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &[u8],
        request_id: Option<&str>,
    ) -> Result<T, Failure> {
        let request_id = request_id.map_or_else(new_request_id, str::to_owned);
        self.call(&ApiRequest { method: "POST", path, body, request_id: &request_id })
    }

    fn call<T: DeserializeOwned>(&self, api_request: &ApiRequest<'_>) -> Result<T, Failure> {
        let deadline = BootInstant::now() + TOTAL_TIMEOUT;
        let mut next_replica = 0;
        let mut leader_hint: Option<SocketAddr> = None;
        let mut worst_verdict = Verdict::NotRun;
        loop {
            let address = leader_hint.take().unwrap_or_else(|| {
                next_replica += 1;
                self.settings.api[(next_replica - 1) % self.settings.api.len()]
            });
            let message = match self.send(address, api_request) {
                AttemptOutcome::Success(text) => return parse_response(&text),
                AttemptOutcome::ErrorResponse(error, 421) => {
                    leader_hint = error.leader_api.filter(|leader| *leader != address);
                    error.message
                }
                AttemptOutcome::ErrorResponse(error, 504) => {
                    worst_verdict = combine_verdicts(worst_verdict, error.verdict);
                    error.message
                }
                AttemptOutcome::ErrorResponse(error, _) => return Err(api_failure(&error)),
                AttemptOutcome::NoResponse(verdict, message) => {
                    worst_verdict = combine_verdicts(worst_verdict, verdict);
                    message
                }
            };
            if BootInstant::now() >= deadline {
                return Err(timeout_failure(worst_verdict, api_request.request_id, &message));
            }
            if leader_hint.is_none() {
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }

    fn send(&self, address: SocketAddr, api_request: &ApiRequest<'_>) -> AttemptOutcome {
        let time_s = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_secs());
        let operator = &self.settings.operator;
        let message = signing_message(
            api_request.method,
            api_request.path,
            operator,
            api_request.request_id,
            time_s,
            api_request.body,
        );
        let request = ureq::http::Request::builder()
            .method(api_request.method)
            .uri(format!("http://{address}{}", api_request.path))
            .header(OPERATOR_HEADER, operator)
            .header(REQUEST_ID_HEADER, api_request.request_id)
            .header(TIME_HEADER, time_s.to_string())
            .header(SIGNATURE_HEADER, encode_hex(&self.sign(&message)))
            .body(api_request.body);
        let response = request
            .map_err(ureq::Error::from)
            .and_then(|request| self.agent.run(request))
            .and_then(|mut reply| {
                Ok((reply.status().as_u16(), reply.body_mut().read_to_string()?))
            });
        match response {
            Ok((200, text)) => AttemptOutcome::Success(text),
            Ok((status, text)) => AttemptOutcome::ErrorResponse(parse_error(&text), status),
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                AttemptOutcome::NoResponse(Verdict::NotRun, format!("{address}: {error}"))
            }
            Err(error) => {
                AttemptOutcome::NoResponse(Verdict::MayHaveRun, format!("{address}: {error}"))
            }
        }
    }
}

fn parse_response<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text)
        .map_err(|error| Failure::refused(format!("unexpected response: {error}")))
}

fn parse_error(text: &str) -> ApiError {
    serde_json::from_str(text).unwrap_or_else(|_| ApiError {
        error: "unexpected_answer".to_owned(),
        message: text.to_owned(),
        verdict: Verdict::MayHaveRun,
        leader_api: None,
    })
}

fn combine_verdicts(earlier: Verdict, latest: Verdict) -> Verdict {
    if earlier == Verdict::NotRun && latest == Verdict::NotRun {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

fn api_failure(error: &ApiError) -> Failure {
    let code = if error.verdict == Verdict::NotRun { REFUSED } else { MAY_HAVE_RUN };
    Failure { message: format!("{}: {} [{}]", error.error, error.message, error.verdict), code }
}

fn timeout_failure(verdict: Verdict, request_id: &str, message: &str) -> Failure {
    if verdict == Verdict::NotRun {
        let message = format!("no control replica answered: {message} [not-run]");
        return Failure { message, code: UNREACHABLE };
    }
    let message = format!(
        "not answered in time: {message} [may-have-run]; repeat it with \
         --request-id {request_id} to learn the outcome without applying it twice"
    );
    Failure { message, code: MAY_HAVE_RUN }
}

fn new_request_id() -> String {
    let mut bytes = [0; 16];
    let random = ring::rand::SystemRandom::new();
    ring::rand::SecureRandom::fill(&random, &mut bytes).expect("the system random generator works");
    encode_hex(&bytes)
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok()).collect()
}
