//! The operators' interface of a coordinator, in whatever dialect it was started with.

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

/// Operators go to another coordinator after a second; the answer must be there before.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(800);
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Others are told within some tens of milliseconds, and tell back.
const HELD_ELSEWHERE_TIMEOUT: Duration = Duration::from_millis(700);
const HELD_ELSEWHERE_LOOK: Duration = Duration::from_millis(10);
const ACCEPTED_STATUS: u16 = 202;
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const RETRY_AFTER_S: &str = "0.2";

/// What the interface needs.
pub(crate) struct Api {
    pub group: Arc<Group>,
    pub hub: Arc<Hub>,
    pub clock: Clock,
    pub dialect: Arc<dyn OperatorDialect>,
    pub listen: SocketAddrV4,
    pub trusted_source: String,
    pub requests: Arc<RequestCounter>,
}

/// Starts the interface.
pub(crate) fn spawn(api: Api) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let address = api.listen;
    let server = rouille::Server::new(address, move |request| api.handle(request))?;
    thread::spawn(move || server.run());
    Ok(())
}

impl Api {
    fn handle(&self, request: &rouille::Request) -> Response {
        let _place = self.requests.enter();
        match self.dialect.classify(request.method(), request.raw_url()) {
            Some(OperatorCall::Replace) => self.replace(request),
            Some(OperatorCall::Read) => self.read(request),
            Some(OperatorCall::StartCanary) => self.start_canary(request),
            Some(OperatorCall::ReadCanary { service }) => self.read_canary(request, &service),
            Some(OperatorCall::EvacuateZone { zone }) => {
                info!(%zone, "evacuation_ordered");
                let command = Command::EvacuateZone { zone, ordered_ms: unix_ms() };
                self.order(request, command)
            }
            Some(OperatorCall::RestoreZone { zone }) => {
                info!(%zone, "restoration_ordered");
                self.order(request, Command::RestoreZone { zone })
            }
            Some(OperatorCall::ListEvacuations) => self.list_evacuations(request),
            Some(OperatorCall::ListQuarantine) => self.list_quarantine(),
            Some(OperatorCall::ClearQuarantine { fingerprint }) => {
                self.clear_quarantine(fingerprint)
            }
            None => Response::empty_404(),
        }
    }

    /// What this coordinator was told; any of them knows it within a second.
    fn list_quarantine(&self) -> Response {
        let entries = self.hub.lock().poison.entries(self.clock.now_ms());
        Response::from_data("application/json", self.dialect.write_quarantine(&entries))
    }

    fn clear_quarantine(&self, fingerprint: Fingerprint) -> Response {
        let cleared = self.hub.clear_poison(fingerprint, self.clock.now_ms());
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

    /// Whether a second coordinator has a clearing, if there is another: it is kept in memory only, and
    /// must outlive this process once an operator was told that it is done.
    fn wait_until_held_elsewhere(&self, fingerprint: Fingerprint) -> bool {
        let is_alone = self.group.members().len() <= 1;
        let end = BootInstant::now() + HELD_ELSEWHERE_TIMEOUT;
        let is_held = || is_alone || !self.hub.lock().poison.awaits_replication(fingerprint);
        while !is_held() && BootInstant::now() < end {
            thread::sleep(HELD_ELSEWHERE_LOOK);
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
            Err(reason) => return refused(400, 0, &reason),
        };
        if let Some(problem) = replacement.bundle.check().first() {
            return refused(400, replacement.version, &problem.to_string());
        }
        let version = replacement.version;
        let command = self.command(replacement);
        let operator = self.trusted_source.clone();
        let request_id = format!("replace-{version}-{:x}", fastrand::u64(..));
        let proposal = Request { operator, request_id, command };
        match self.group.replica.propose(proposal, PROPOSE_TIMEOUT) {
            Ok(answer) => answered(version, answer),
            Err(error) => self.not_answered(request, version, &error),
        }
    }

    fn start_canary(&self, request: &rouille::Request) -> Response {
        let Some(body) = read_body(request) else {
            return Response::empty_400();
        };
        let order = match self.dialect.read_canary_order(&body) {
            Ok(order) => order,
            Err(reason) => return refused(400, 0, &reason),
        };
        let CanaryOrder { service, version, duration_ms } = order;
        info!(%service, %version, duration_ms, "canary_ordered");
        self.order(request, Command::StartCanary { service, version, duration_ms })
    }

    /// Proposes an order that has the same effect however often it is taken.
    fn order(&self, request: &rouille::Request, command: Command) -> Response {
        let operator = self.trusted_source.clone();
        let request_id = format!("order-{:x}", fastrand::u64(..));
        let proposal = Request { operator, request_id, command };
        match self.group.replica.propose(proposal, PROPOSE_TIMEOUT) {
            Ok(answer) => answered(0, answer),
            Err(error) => self.not_answered(request, 0, &error),
        }
    }

    fn list_evacuations(&self, request: &rouille::Request) -> Response {
        if let Err(error) = self.group.replica.read(READ_TIMEOUT) {
            return self.not_answered(request, 0, &error);
        }
        let zones = self.group.evacuations().zones;
        let body = self.dialect.write_evacuations(&zones, unix_ms());
        Response::from_data("application/json", body)
    }

    fn read_canary(&self, request: &rouille::Request, service: &str) -> Response {
        if let Err(error) = self.group.replica.read(READ_TIMEOUT) {
            return self.not_answered(request, 0, &error);
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

    /// Whoever leads is asked instead; the operator's tool follows.
    fn not_answered(
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
            return self.not_answered(request, 0, &error);
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

/// Time by this machine's clock, Unix milliseconds; only told to people.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 shows a wrong age and changes nothing else.
    since.map_or(0, |since| since.as_millis() as u64)
}

fn read_body(request: &rouille::Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let reader = request.data()?;
    reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body).ok()?;
    (body.len() as u64 <= MAX_BODY_BYTES).then_some(body)
}

fn answered(version: u64, answer: rollout::Answer) -> Response {
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
            refused(409, version, &refusal.to_string())
        }
        Err(refusal @ (Refusal::VersionChanged { .. } | Refusal::VersionConflict { .. })) => {
            refused(412, version, &refusal.to_string())
        }
        Err(refusal @ Refusal::NotTrusted { .. }) => {
            // The policy is set by a new leader within moments.
            info!(version, reason = %refusal, "order_early");
            Response::empty_400()
                .with_status_code(503)
                .with_additional_header("Retry-After", RETRY_AFTER_S)
        }
        Err(refusal) => refused(400, version, &refusal.to_string()),
    }
}

fn refused(status: u16, version: u64, reason: &str) -> Response {
    info!(version, status, reason, "order_refused");
    Response::text(format!("{reason}\n")).with_status_code(status)
}
