//! The operator API of a coordinator, in the dialect with which the coordinator was started.

use crate::dialect::{CanaryOrder, OperatorCall, OperatorDialect, Replacement};
use crate::hub::Hub;
use crate::membership::Group;
use bundle::best_update;
use control::RequestError;
use mesh::{Fingerprint, MemberId};
use rollout::{Accepted, Command, Refusal, Request};
use rouille::Response;
use std::io::Read;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};
use telemetry::{BootInstant, Clock, RequestCounter};
use tracing::info;

/// Operator tools try another coordinator after one second, so the response must be sent earlier.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(800);
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Other coordinators receive a clearing within some tens of milliseconds and send it back.
const HELD_ELSEWHERE_TIMEOUT: Duration = Duration::from_millis(700);
const HELD_ELSEWHERE_POLL_INTERVAL: Duration = Duration::from_millis(10);
const ACCEPTED_STATUS: u16 = 202;
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const RETRY_AFTER_S: &str = "0.2";

/// State of the API server.
pub(crate) struct Api {
    pub group: Arc<Group>,
    pub hub: Arc<Hub>,
    pub clock: Clock,
    pub dialect: Arc<dyn OperatorDialect>,
    pub listen: SocketAddrV4,
    pub trusted_source: String,
    pub requests: Arc<RequestCounter>,
}

/// Starts the API server.
pub(crate) fn spawn(api: Api) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let address = api.listen;
    let server = rouille::Server::new(address, move |request| api.handle(request))?;
    thread::spawn(move || server.run());
    Ok(())
}

impl Api {
    fn handle(&self, request: &rouille::Request) -> Response {
        let _in_flight = self.requests.enter();
        match self.dialect.classify(request.method(), request.raw_url()) {
            Some(OperatorCall::Replace) => self.replace(request),
            Some(OperatorCall::Read) => self.read(request),
            Some(OperatorCall::StartCanary) => self.start_canary(request),
            Some(OperatorCall::ReadCanary { service }) => self.read_canary(request, &service),
            Some(OperatorCall::EvacuateZone { zone }) => {
                info!(%zone, "evacuation_ordered");
                let command = Command::EvacuateZone { zone, ordered_ms: unix_ms() };
                self.propose_order(request, command)
            }
            Some(OperatorCall::RestoreZone { zone }) => {
                info!(%zone, "restoration_ordered");
                self.propose_order(request, Command::RestoreZone { zone })
            }
            Some(OperatorCall::ListEvacuations) => self.list_evacuations(request),
            Some(OperatorCall::ListQuarantine) => self.list_quarantine(),
            Some(OperatorCall::ClearQuarantine { fingerprint }) => {
                self.clear_quarantine(fingerprint)
            }
            None => Response::empty_404(),
        }
    }

    /// Lists the entries known to this coordinator; every coordinator knows them within a second.
    fn list_quarantine(&self) -> Response {
        let entries = self.hub.lock().poison.entries(self.clock.now_ms());
        Response::from_data("application/json", self.dialect.write_quarantine(&entries))
    }

    fn clear_quarantine(&self, fingerprint: Fingerprint) -> Response {
        let cleared = self.hub.clear_quarantine(fingerprint, self.clock.now_ms());
        if !cleared {
            info!(%fingerprint, cleared, "quarantine_cleared_by_operator");
            return Response::empty_404();
        }
        let held_elsewhere = self.wait_until_held_elsewhere(fingerprint);
        info!(%fingerprint, cleared, held_elsewhere, "quarantine_cleared_by_operator");
        match held_elsewhere {
            true => Response::text("cleared\n"),
            false => Response::text("cleared here only\n").with_status_code(ACCEPTED_STATUS),
        }
    }

    /// Waits until another coordinator has a clearing; returns whether it does, or whether there is
    /// no other. Clearings are kept only in memory, and one that was confirmed to an operator must
    /// survive the end of this process.
    fn wait_until_held_elsewhere(&self, fingerprint: Fingerprint) -> bool {
        let is_alone = self.group.members().len() <= 1;
        let end = BootInstant::now() + HELD_ELSEWHERE_TIMEOUT;
        let is_held = || is_alone || !self.hub.lock().poison.awaits_replication(fingerprint);
        while !is_held() && BootInstant::now() < end {
            thread::sleep(HELD_ELSEWHERE_POLL_INTERVAL);
        }
        let held = is_held();
        self.hub.lock().poison.stop_awaiting_replication(fingerprint);
        held
    }

    fn replace(&self, request: &rouille::Request) -> Response {
        let Some(body) = read_body(request) else {
            return Response::empty_400();
        };
        let precondition = request.header(self.dialect.precondition_header());
        let replacement = match self.dialect.read_replacement(precondition, &body) {
            Ok(replacement) => replacement,
            Err(reason) => return rejection(400, 0, &reason),
        };
        if let Some(problem) = replacement.bundle.check().first() {
            return rejection(400, replacement.version, &problem.to_string());
        }
        let version = replacement.version;
        let command = self.command(replacement);
        let operator = self.trusted_source.clone();
        let request_id = format!("replace-{version}-{:x}", fastrand::u64(..));
        let proposal = Request { operator, request_id, command };
        match self.group.replica.propose_settled(proposal, PROPOSE_TIMEOUT) {
            Ok(answer) => proposal_response(version, answer),
            Err(error) => self.proposal_error(request, version, &error),
        }
    }

    fn start_canary(&self, request: &rouille::Request) -> Response {
        let Some(body) = read_body(request) else {
            return Response::empty_400();
        };
        let order = match self.dialect.read_canary_order(&body) {
            Ok(order) => order,
            Err(reason) => return rejection(400, 0, &reason),
        };
        let CanaryOrder { service, version, duration_ms } = order;
        info!(%service, %version, duration_ms, "canary_ordered");
        self.propose_order(request, Command::StartCanary { service, version, duration_ms })
    }

    /// Proposes an idempotent order.
    fn propose_order(&self, request: &rouille::Request, command: Command) -> Response {
        let operator = self.trusted_source.clone();
        let request_id = format!("order-{:x}", fastrand::u64(..));
        let proposal = Request { operator, request_id, command };
        match self.group.replica.propose_settled(proposal, PROPOSE_TIMEOUT) {
            Ok(answer) => proposal_response(0, answer),
            Err(error) => self.proposal_error(request, 0, &error),
        }
    }

    fn list_evacuations(&self, request: &rouille::Request) -> Response {
        if let Err(error) = self.group.replica.read(READ_TIMEOUT) {
            return self.proposal_error(request, 0, &error);
        }
        let zones = self.group.evacuations().zones;
        let body = self.dialect.write_evacuations(&zones, unix_ms());
        Response::from_data("application/json", body)
    }

    fn read_canary(&self, request: &rouille::Request, service: &str) -> Response {
        if let Err(error) = self.group.replica.read(READ_TIMEOUT) {
            return self.proposal_error(request, 0, &error);
        }
        let found = self.group.replica.lock().machine.0.canaries().get(service).cloned();
        match found {
            Some(canary) => {
                Response::from_data("application/json", self.dialect.write_canary(&canary))
            }
            None => Response::empty_404(),
        }
    }

    fn command(&self, replacement: Replacement) -> Command {
        let digest = replacement.bundle.digest();
        let (_, base) = self.group.replica.lock().machine.0.in_force();
        Command::Replace {
            expected_version: replacement.expected_version,
            version: replacement.version,
            digest,
            update: best_update(Some(&base), &replacement.bundle),
        }
    }

    /// Redirects to the leader if it is another coordinator; the operator's tool follows redirects.
    fn proposal_error(
        &self,
        request: &rouille::Request,
        version: u64,
        error: &RequestError,
    ) -> Response {
        if let RequestError::NotLeader { leader: Some(leader) } = error {
            let leader = MemberId(*leader);
            if leader != self.group.own {
                info!(version, %leader, "order_redirected");
                let address = SocketAddrV4::new(leader.address(), self.listen.port());
                let location = format!("http://{address}{}", request.raw_url());
                return Response::redirect_307(location);
            }
        }
        info!(version, %error, verdict = ?error.verdict(), "order_not_answered");
        Response::empty_400()
            .with_status_code(503)
            .with_additional_header("Retry-After", RETRY_AFTER_S)
    }

    fn read(&self, request: &rouille::Request) -> Response {
        if let Err(error) = self.group.replica.read(READ_TIMEOUT) {
            return self.proposal_error(request, 0, &error);
        }
        let (version, bundle) = {
            let published = self.group.replica.lock();
            let machine = &published.machine.0;
            (machine.current_version(), machine.in_force().1)
        };
        let body = self.dialect.write_configuration(version, &bundle);
        info!(version, digest = ?bundle.digest(), "configuration_read");
        Response::from_data("application/json", body)
    }
}

/// Wall-clock time, Unix milliseconds; only used for display.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 only causes a wrong age to be displayed.
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn read_body(request: &rouille::Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let reader = request.data()?;
    reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body).ok()?;
    (body.len() as u64 <= MAX_BODY_BYTES).then_some(body)
}

fn proposal_response(version: u64, answer: rollout::Answer) -> Response {
    match answer {
        Ok(Accepted::CanaryStarted { run }) => {
            info!(run, "canary_accepted");
            Response::text("accepted\n")
        }
        Ok(Accepted::ZoneEvacuated { zone }) => {
            info!(%zone, "zone_evacuated");
            Response::text("accepted\n")
        }
        Ok(Accepted::ZoneRestored { zone }) => {
            info!(%zone, "zone_restored");
            Response::text("accepted\n")
        }
        Ok(accepted) => {
            let generation = match accepted {
                Accepted::Replaced { generation, .. } => generation,
                _ => 0,
            };
            info!(version, generation, "order_accepted");
            Response::text("accepted\n")
        }
        Err(refusal @ Refusal::CanaryUnderWay { .. }) => {
            rejection(409, version, &refusal.to_string())
        }
        Err(refusal @ (Refusal::VersionChanged { .. } | Refusal::VersionConflict { .. })) => {
            rejection(412, version, &refusal.to_string())
        }
        Err(refusal @ Refusal::NotTrusted { .. }) => {
            // A new leader sets the policy shortly after its election.
            info!(version, reason = %refusal, "order_early");
            Response::empty_400()
                .with_status_code(503)
                .with_additional_header("Retry-After", RETRY_AFTER_S)
        }
        Err(refusal) => rejection(400, version, &refusal.to_string()),
    }
}

fn rejection(status: u16, version: u64, reason: &str) -> Response {
    info!(version, status, reason, "order_refused");
    Response::text(format!("{reason}\n")).with_status_code(status)
}
