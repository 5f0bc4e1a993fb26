//! HTTP API for operators, described in docs/API.md.

use crate::address_book::AddressBook;
use crate::authentication::OperatorDirectory;
use crate::authentication::{
    AuthenticationError, IncomingRequest, OPERATOR_HEADER, REQUEST_ID_HEADER, SIGNATURE_HEADER,
    TIME_HEADER,
};
use crate::members::{change_group, Groups, MemberChange as Change};
use crate::propagation::SharedSpread;
use crate::replica::RequestError;
use bundle::{Approval, Digest, LIMITS};
use consensus::Membership;
use rollout::{Command, GenerationRecord, Refusal, Request, SpreadSummary, VersionSummary};
use rouille::Response;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Clock, RequestCounter};
use tracing::info;
use verdict::{Verdict, VERDICT_HEADER};

pub use crate::members::MemberChange;

const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a request body. A compressed bundle never exceeds the bundle limit plus framing.
const MAX_BODY_BYTES: u64 = LIMITS.bundle_bytes as u64 + 64 * 1024;

/// Error response, encoded as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Stable error code.
    pub error: String,
    /// Human-readable message.
    pub message: String,
    /// Whether the request may have taken effect.
    pub verdict: Verdict,
    /// Address of the leader's API, if another member is known to lead.
    pub leader_api: Option<SocketAddr>,
}

/// Response of `GET /v1/status`.
#[derive(Clone, Debug, Serialize)]
pub struct StatusView {
    /// Id of the responding member.
    pub member: u64,
    /// Consensus term of the responding member.
    pub term: u64,
    /// Newest accepted generation.
    pub newest_generation: u64,
    /// Generation served to proxies that are not part of a rollout.
    pub base_generation: u64,
    /// Generation being rolled out, if any.
    pub candidate_generation: Option<u64>,
    /// Number of stages reached and total number of stages.
    pub stages: Option<(u32, usize)>,
    /// Whether the rollout is paused until an operator resumes it.
    pub paused: bool,
    /// Propagation of each generation through the fleet.
    pub spread: SpreadSummary,
}

/// Response of `GET /v1/members`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersView {
    /// Leader of the configuration group.
    pub leader: Option<u64>,
    /// Ids of the voting members.
    pub voters: Vec<u64>,
    /// Ids of the learners.
    pub learners: Vec<u64>,
    /// Id of each peer with the number of log entries it is missing, as known to the leader.
    pub behind: Vec<(u64, u64)>,
}

/// State of the operator API.
pub(crate) struct OperatorApi {
    pub member_id: u64,
    pub listen: SocketAddr,
    pub groups: Groups,
    pub operators: OperatorDirectory,
    pub addresses: Arc<AddressBook>,
    pub spread: SharedSpread,
    pub clock: Clock,
    pub requests: Arc<RequestCounter>,
}

type ApiResult = Result<Response, (u16, ApiError)>;

/// Starts the API server; returns the bound address.
pub(crate) fn spawn(
    api: Arc<OperatorApi>,
) -> Result<SocketAddr, Box<dyn std::error::Error + Send + Sync>> {
    let address = api.listen;
    let server = rouille::Server::new(address, move |request| handle(&api, request))?;
    let bound = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(bound)
}

fn handle(api: &OperatorApi, request: &rouille::Request) -> Response {
    let _in_flight = api.requests.enter();
    let result = read_body(request).and_then(|body| route(api, request, &body));
    result.unwrap_or_else(|(status, error)| {
        let verdict = error.verdict.as_str();
        Response::json(&error).with_status_code(status).with_unique_header(VERDICT_HEADER, verdict)
    })
}

fn error(status: u16, kind: &str, message: impl ToString) -> (u16, ApiError) {
    let error = kind.to_owned();
    let message = message.to_string();
    (status, ApiError { error, message, verdict: Verdict::NotRun, leader_api: None })
}

fn read_body(request: &rouille::Request) -> Result<Vec<u8>, (u16, ApiError)> {
    let mut body = Vec::new();
    let Some(reader) = request.data() else {
        return Ok(body);
    };
    let read = reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
    read.map_err(|cause| error(400, "body_unreadable", cause))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(error(413, "body_too_large", format!("at most {MAX_BODY_BYTES} bytes")));
    }
    Ok(body)
}

fn route(api: &OperatorApi, request: &rouille::Request, body: &[u8]) -> ApiResult {
    let path = request.url();
    match (request.method(), path.as_str()) {
        ("POST", "/v1/submit") => {
            authenticate(api, request, body, Some("submit"))?;
            let version = request.get_param("version").and_then(|text| text.parse().ok());
            let version = version
                .ok_or_else(|| error(400, "bad_version", "?version= must be a whole number"))?;
            execute(api, request, Command::Submit { version, compressed: body.to_vec() })
        }
        ("POST", "/v1/commands") => run_command(api, request, body),
        ("POST", "/v1/members") => change_members(api, request, body),
        ("GET", "/v1/status") => confirmed_read(api, request, body, status),
        ("GET", "/v1/bundles") => confirmed_read(api, request, body, list_bundles),
        ("GET", "/v1/history") => confirmed_read(api, request, body, list_history),
        ("GET", "/v1/members") => confirmed_read(api, request, body, list_members),
        ("GET", path) if path.starts_with("/v1/bundles/") => {
            let digest = path.trim_start_matches("/v1/bundles/").to_owned();
            confirmed_read(api, request, body, move |api| show_bundle(api, &digest))
        }
        _ => Err(error(404, "no_such_path", "see docs/API.md")),
    }
}

fn authenticate(
    api: &OperatorApi,
    request: &rouille::Request,
    body: &[u8],
    role: Option<&'static str>,
) -> Result<(), (u16, ApiError)> {
    let path = request.raw_url();
    let incoming = IncomingRequest {
        method: request.method(),
        path,
        operator: request.header(OPERATOR_HEADER),
        request_id: request.header(REQUEST_ID_HEADER),
        time_s: request.header(TIME_HEADER),
        signature: request.header(SIGNATURE_HEADER),
        body,
    };
    api.operators.authenticate(&incoming, role).map_err(|cause| match cause {
        AuthenticationError::Forbidden { .. } => error(403, "forbidden", cause),
        AuthenticationError::Operators { .. } => error(500, "operators_unreadable", cause),
        _ => error(401, "not_authenticated", cause),
    })
}

fn run_command(api: &OperatorApi, request: &rouille::Request, body: &[u8]) -> ApiResult {
    let command: Command =
        serde_json::from_slice(body).map_err(|cause| error(400, "bad_command", cause))?;
    let role = match &command {
        Command::Submit { .. } => "submit",
        Command::Approve { .. } => "approve",
        _ => "roll",
    };
    authenticate(api, request, body, Some(role))?;
    if let Command::Approve { digest, signature } = &command {
        let operator = request.header(OPERATOR_HEADER).unwrap_or_default().to_owned();
        let approval = Approval { operator, signature: signature.clone() };
        let verified = api.operators.verify_approval(digest, &approval);
        verified.map_err(|cause| error(401, "bad_approval", cause))?;
    }
    execute(api, request, command)
}

fn execute(api: &OperatorApi, request: &rouille::Request, command: Command) -> ApiResult {
    let proposal = Request {
        operator: request.header(OPERATOR_HEADER).unwrap_or_default().to_owned(),
        request_id: request.header(REQUEST_ID_HEADER).unwrap_or_default().to_owned(),
        command,
    };
    let operator = proposal.operator.clone();
    let answer = api.groups.config.propose(proposal, PROPOSE_TIMEOUT);
    match answer.map_err(|cause| request_error(api, &cause))? {
        Ok(accepted) => {
            info!(%operator, accepted = ?accepted, "command_accepted");
            Ok(Response::json(&accepted))
        }
        Err(refusal) => {
            info!(%operator, refusal = %refusal, "command_refused");
            Err(refusal_error(&refusal))
        }
    }
}

fn refusal_error(refusal: &Refusal) -> (u16, ApiError) {
    let kind = serde_json::to_value(refusal).ok();
    let kind = kind.as_ref().and_then(|value| value.get("kind")).and_then(|kind| kind.as_str());
    let (status, mut body) = error(409, kind.unwrap_or("refused"), refusal);
    body.verdict = refusal.verdict();
    (status, body)
}

fn request_error(api: &OperatorApi, cause: &RequestError) -> (u16, ApiError) {
    let (status, kind) = match cause {
        RequestError::NotLeader { .. } => (421, "not_leader"),
        RequestError::Refused { .. } => (409, "refused"),
        RequestError::Unanswered { .. } => (504, "unanswered"),
    };
    let (status, mut body) = error(status, kind, cause);
    body.verdict = cause.verdict();
    if let RequestError::NotLeader { leader: Some(leader) } = cause {
        body.leader_api = api.addresses.get(*leader).map(|peer| peer.api_address);
    }
    (status, body)
}

/// Serves a read on the leader after a quorum has confirmed its leadership.
fn confirmed_read(
    api: &OperatorApi,
    request: &rouille::Request,
    body: &[u8],
    respond: impl FnOnce(&OperatorApi) -> ApiResult,
) -> ApiResult {
    authenticate(api, request, body, None)?;
    let confirmed = api.groups.config.read(READ_TIMEOUT);
    confirmed.map_err(|cause| request_error(api, &cause))?;
    respond(api)
}

fn status(api: &OperatorApi) -> ApiResult {
    let spread = api.spread.lock().summary(api.clock.now_ms());
    let published = api.groups.config.lock();
    let machine = &published.machine.0;
    let view = machine.view();
    Ok(Response::json(&StatusView {
        member: api.member_id,
        term: published.status.term,
        newest_generation: machine.newest_generation(),
        base_generation: view.base.generation,
        candidate_generation: view.candidate.as_ref().map(|candidate| candidate.target.generation),
        stages: machine.rollout_stages(),
        paused: machine.paused(),
        spread,
    }))
}

fn list_bundles(api: &OperatorApi) -> ApiResult {
    let versions: Vec<VersionSummary> = api.groups.config.lock().machine.0.versions();
    Ok(Response::json(&versions))
}

fn list_history(api: &OperatorApi) -> ApiResult {
    let published = api.groups.config.lock();
    let history: Vec<GenerationRecord> = published.machine.0.history().cloned().collect();
    Ok(Response::json(&history))
}

/// A bundle object as shown to operators; secrets are shown without their value.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum ObjectView<'a> {
    Service(&'a bundle::Service),
    Route(&'a bundle::Route),
    Secret {
        name: &'a str,
        key_id: u32,
    },
    Limits(&'a bundle::CallLimits),
    /// Keys are secret, so only their fingerprints are shown.
    Tenant {
        name: &'a str,
        keys: Vec<String>,
        rate_milli: u64,
        burst: u64,
        rank: Option<u32>,
    },
}

fn show_bundle(api: &OperatorApi, digest: &str) -> ApiResult {
    let digest: Digest = digest.parse().map_err(|cause| error(400, "bad_digest", cause))?;
    let published = api.groups.config.lock();
    let stored = published.machine.0.bundle(&digest);
    let stored = stored.ok_or_else(|| error(404, "unknown_bundle", "no such bundle"))?;
    let objects = stored.bundle.objects().values().map(|hashed| object_view(&hashed.object));
    Ok(Response::json(&objects.collect::<Vec<_>>()))
}

fn object_view(object: &bundle::Object) -> ObjectView<'_> {
    match object {
        bundle::Object::Service(service) => ObjectView::Service(service),
        bundle::Object::Route(route) => ObjectView::Route(route),
        bundle::Object::Secret(secret) => {
            ObjectView::Secret { name: &secret.name, key_id: secret.key_id }
        }
        bundle::Object::Limits(limits) => ObjectView::Limits(limits),
        bundle::Object::Tenant(tenant) => ObjectView::Tenant {
            name: &tenant.name,
            keys: tenant.fingerprints().iter().map(ToString::to_string).collect(),
            rate_milli: tenant.rate_milli,
            burst: tenant.burst,
            rank: tenant.rank,
        },
    }
}

fn list_members(api: &OperatorApi) -> ApiResult {
    let published = api.groups.config.lock();
    let status = &published.status;
    let applied = status.applied;
    let behind = status
        .matched
        .iter()
        .map(|(id, matched)| (*id, applied.saturating_sub(*matched)))
        .collect();
    Ok(Response::json(&members_view(&status.membership, status.leader, behind)))
}

fn members_view(
    membership: &Membership,
    leader: Option<u64>,
    behind: Vec<(u64, u64)>,
) -> MembersView {
    MembersView {
        leader,
        voters: membership.voters.iter().copied().collect(),
        learners: membership.learners.iter().copied().collect(),
        behind,
    }
}

fn change_members(api: &OperatorApi, request: &rouille::Request, body: &[u8]) -> ApiResult {
    authenticate(api, request, body, Some("members"))?;
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Body {
        group: u32,
        change: Change,
    }
    let body: Body =
        serde_json::from_slice(body).map_err(|cause| error(400, "bad_change", cause))?;
    if let Change::AddLearner(id) | Change::Promote(id) = body.change {
        // The operator may just have added the member to the settings file; reload it now instead
        // of waiting for the next periodic check.
        let reloaded = api.addresses.reload_if_changed();
        reloaded.map_err(|cause| error(500, "settings_unreadable", cause))?;
        if api.addresses.get(id).is_none() {
            let message = format!("member {id} is not in the settings of this replica");
            return Err(error(409, "unknown_member", message));
        }
    }
    // Each group has its own leader, so the operator's tool sends one request per group.
    let changed = match body.group {
        0 => change_group(&api.groups.config, body.change),
        group => match api.groups.claims.get(group as usize - 1) {
            Some(replica) => change_group(replica, body.change),
            None => return Err(error(404, "no_such_group", "no such group")),
        },
    };
    changed.map_err(|cause| request_error(api, &cause))?;
    let published = api.groups.config.lock();
    let status = &published.status;
    Ok(Response::json(&members_view(&status.membership, status.leader, Vec::new())))
}
