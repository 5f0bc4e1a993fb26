//! An operator's connection to control: signs requests, follows the leader, keeps the request id.

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

/// A replica that is silent for this long may be frozen or cut off, so another is asked; the request
/// id makes that harmless. A leader commits in a fraction of it, also across regions.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a request is repeated under the same id until a leader answers.
const TOTAL_LIMIT: Duration = Duration::from_secs(15);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The operator's own settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name, as listed in the operators file of control.
    pub operator: String,
    /// File with the private key.
    pub key_file: PathBuf,
    /// File with the sealing keys, for submitting secrets.
    #[serde(default)]
    pub seal_key_file: Option<PathBuf>,
    /// Addresses of the control replicas for operators.
    pub api: Vec<SocketAddr>,
}

/// A signing client.
pub struct OperatorClient {
    settings: OperatorSettings,
    key: Ed25519KeyPair,
    agent: ureq::Agent,
}

impl OperatorSettings {
    /// Reads the file.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Failure::usage(format!("{}: {error}", path.display())))?;
        toml::from_str(&text)
            .map_err(|error| Failure::usage(format!("{}: {error}", path.display())))
    }

    /// The newest sealing key, if a file is named.
    pub fn seal_key(&self) -> Result<Option<SealKey>, Failure> {
        self.seal_key_file.as_deref().map(read_seal_key).transpose()
    }
}

/// Reads the newest key of a sealing key file.
pub fn read_seal_key(path: &Path) -> Result<SealKey, Failure> {
    let fail = |reason: String| Failure::usage(format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let keys = SealKeys::parse(&text).map_err(|error| fail(error.to_string()))?;
    keys.newest().cloned().ok_or_else(|| fail("the file holds no key".to_owned()))
}

/// A body with its path.
struct Call<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a [u8],
    request_id: &'a str,
}

enum Outcome {
    Answered(String),
    Failed(ApiError, u16),
    Lost(Verdict, String),
}

impl OperatorClient {
    /// Reads the operator's key.
    pub fn new(settings: OperatorSettings) -> Result<Self, Failure> {
        let path = &settings.key_file;
        let fail = |reason: String| Failure::usage(format!("{}: {reason}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
        let bytes = decode_hex(text.trim()).ok_or_else(|| fail("not hexadecimal".to_owned()))?;
        let key = Ed25519KeyPair::from_pkcs8(&bytes).map_err(|error| fail(error.to_string()))?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Ok(OperatorClient { settings, key, agent: config.into() })
    }

    /// The operator's settings.
    pub fn settings(&self) -> &OperatorSettings {
        &self.settings
    }

    /// Signs a text.
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        self.key.sign(message).as_ref().to_vec()
    }

    /// Reads.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request_id = new_request_id();
        self.call(&Call { method: "GET", path, body: &[], request_id: &request_id })
    }

    /// Changes something. Resends carry the same request id, so that the change is made once.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &[u8],
        request_id: Option<&str>,
    ) -> Result<T, Failure> {
        let request_id = request_id.map_or_else(new_request_id, str::to_owned);
        self.call(&Call { method: "POST", path, body, request_id: &request_id })
    }

    fn call<T: DeserializeOwned>(&self, call: &Call<'_>) -> Result<T, Failure> {
        let deadline = BootInstant::now() + TOTAL_LIMIT;
        let mut next = 0;
        let mut hint: Option<SocketAddr> = None;
        let mut worst = Verdict::NotRun;
        loop {
            let address = hint.take().unwrap_or_else(|| {
                next += 1;
                self.settings.api[(next - 1) % self.settings.api.len()]
            });
            let message = match self.send(address, call) {
                Outcome::Answered(text) => return parse(&text),
                Outcome::Failed(error, 421) => {
                    hint = error.leader_api.filter(|leader| *leader != address);
                    error.message
                }
                Outcome::Failed(error, 504) => {
                    worst = combine(worst, error.verdict);
                    error.message
                }
                Outcome::Failed(error, _) => return Err(refusal(&error)),
                Outcome::Lost(verdict, message) => {
                    worst = combine(worst, verdict);
                    message
                }
            };
            if BootInstant::now() >= deadline {
                return Err(gave_up(worst, call.request_id, &message));
            }
            if hint.is_none() {
                std::thread::sleep(RETRY_PAUSE);
            }
        }
    }

    fn send(&self, address: SocketAddr, call: &Call<'_>) -> Outcome {
        let time_s =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        let operator = &self.settings.operator;
        let message =
            signing_message(call.method, call.path, operator, call.request_id, time_s, call.body);
        let request = ureq::http::Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .header(OPERATOR_HEADER, operator)
            .header(REQUEST_ID_HEADER, call.request_id)
            .header(TIME_HEADER, time_s.to_string())
            .header(SIGNATURE_HEADER, encode_hex(&self.sign(&message)))
            .body(call.body);
        let answered = request
            .map_err(ureq::Error::from)
            .and_then(|request| self.agent.run(request))
            .and_then(|mut answer| {
                Ok((answer.status().as_u16(), answer.body_mut().read_to_string()?))
            });
        match answered {
            Ok((200, text)) => Outcome::Answered(text),
            Ok((status, text)) => Outcome::Failed(parse_error(&text), status),
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                Outcome::Lost(Verdict::NotRun, format!("{address}: {error}"))
            }
            Err(error) => Outcome::Lost(Verdict::MayHaveRun, format!("{address}: {error}")),
        }
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text)
        .map_err(|error| Failure::refused(format!("unexpected answer: {error}")))
}

fn parse_error(text: &str) -> ApiError {
    serde_json::from_str(text).unwrap_or_else(|_| ApiError {
        error: "unexpected_answer".to_owned(),
        message: text.to_owned(),
        verdict: Verdict::MayHaveRun,
        leader_api: None,
    })
}

fn combine(known: Verdict, new: Verdict) -> Verdict {
    if known == Verdict::NotRun && new == Verdict::NotRun {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

fn refusal(error: &ApiError) -> Failure {
    let code = if error.verdict == Verdict::NotRun { REFUSED } else { MAY_HAVE_RUN };
    Failure { message: format!("{}: {} [{}]", error.error, error.message, error.verdict), code }
}

fn gave_up(verdict: Verdict, request_id: &str, message: &str) -> Failure {
    if verdict == Verdict::NotRun {
        let message = format!("no control replica answered: {message} [not-run]");
        return Failure { message, code: UNREACHABLE };
    }
    let message = format!(
        "not answered in time: {message} [may-have-run]; send it again with \
         --request-id {request_id} to learn the outcome without doing it twice"
    );
    Failure { message, code: MAY_HAVE_RUN }
}

fn new_request_id() -> String {
    let mut bytes = [0; 16];
    let random = ring::rand::SystemRandom::new();
    ring::rand::SecureRandom::fill(&random, &mut bytes).expect("the system gives random bytes");
    encode_hex(&bytes)
}

/// Lower-case hexadecimal digits.
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
