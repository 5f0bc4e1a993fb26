//! Serves connections from other fleet processes: consensus peers and relays.

use crate::machine::ConfigState;
use crate::members::Groups;
use crate::propagation::SharedSpread;
use crate::replica::{Published, RequestError};
use bundle::{best_update, Bundle, BundleUpdate};
use claims::{group_of, ClaimCommand};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use telemetry::{BootInstant, Clock, Counter, Gauge, Registry};
use tracing::debug;
use wire::{
    ClaimReply, ClaimRequest, GroupMessage, Purpose, ReportReply, ReportRequest, ServerConnection,
    WatchReply, WatchRequest, WireError,
};

/// Maximum time to wait for the next message on a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// Retry delay for a relay rejected because of the reader limit, in milliseconds.
const READER_RETRY_AFTER_MS: std::ops::RangeInclusive<u32> = 200..=1_000;

/// State shared by all connections.
pub(crate) struct RelayService {
    pub groups: Groups,
    pub spread: SharedSpread,
    pub clock: Clock,
    pub limits: ServiceLimits,
    pub metrics: ServiceMetrics,
    pub readers: AtomicUsize,
}

/// Limits taken from the settings.
pub(crate) struct ServiceLimits {
    /// Maximum time to hold a watch request while the view is unchanged, in milliseconds.
    pub hold_ms: u64,
    /// Minimum election timeout, in milliseconds.
    pub election_ms: u64,
    /// Maximum number of relays watching at the same time.
    pub max_readers: u64,
}

/// Metrics of the service.
pub(crate) struct ServiceMetrics {
    pub relay_sent_bytes: Counter,
    pub relay_received_bytes: Counter,
    pub readers: Gauge,
    pub rejected_readers: Counter,
}

impl ServiceMetrics {
    pub fn new(registry: &Registry) -> Self {
        ServiceMetrics {
            relay_sent_bytes: registry.counter("control_relay_sent_bytes", "Frames sent to relays"),
            relay_received_bytes: registry
                .counter("control_relay_received_bytes", "Frames received from relays"),
            readers: registry.gauge("control_readers", "Relays served"),
            rejected_readers: registry
                .counter("control_readers_turned_away", "Relays told to come back"),
        }
    }
}

/// Serves one connection until it ends.
pub(crate) fn serve(service: &RelayService, mut connection: ServerConnection) {
    let result = match connection.purpose() {
        Purpose::Consensus => serve_peer(service, &mut connection),
        Purpose::RelayWatch => serve_watch(service, &mut connection),
        Purpose::RelayReport => serve_reports(service, &mut connection),
        Purpose::Claims => serve_claims(service, &mut connection),
        _ => Ok(()),
    };
    if let Err(error) = result {
        debug!(peer = %connection.peer().name, %error, "connection_ended");
    }
}

fn serve_peer(service: &RelayService, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let message: GroupMessage = connection.receive(REQUEST_TIMEOUT)?;
        if connection.peer().name != format!("control-{}", message.message.from) {
            return Ok(());
        }
        match message.group {
            0 => service.groups.config.step(message.message),
            group => {
                if let Some(replica) = service.groups.claims.get(group as usize - 1) {
                    replica.step(message.message);
                }
            }
        }
    }
}

fn serve_watch(service: &RelayService, connection: &mut ServerConnection) -> Result<(), WireError> {
    let readers = service.readers.fetch_add(1, Ordering::SeqCst);
    let result = if readers >= service.limits.max_readers as usize {
        service.metrics.rejected_readers.inc();
        reject_reader(connection)
    } else {
        service.metrics.readers.set(readers as i64 + 1);
        serve_watch_requests(service, connection)
    };
    let previous = service.readers.fetch_sub(1, Ordering::SeqCst);
    service.metrics.readers.set(previous as i64 - 1);
    result
}

fn reject_reader(connection: &mut ServerConnection) -> Result<(), WireError> {
    let _: WatchRequest = connection.receive(REQUEST_TIMEOUT)?;
    connection.send(&WatchReply::Busy { retry_after_ms: fastrand::u32(READER_RETRY_AFTER_MS) })
}

fn serve_watch_requests(
    service: &RelayService,
    connection: &mut ServerConnection,
) -> Result<(), WireError> {
    loop {
        let request: WatchRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = answer_watch(service, &request);
        connection.send(&reply)?;
        let (sent, received) = connection.take_byte_counts();
        service.metrics.relay_sent_bytes.inc_by(sent);
        service.metrics.relay_received_bytes.inc_by(received);
    }
}

fn answer_watch(service: &RelayService, request: &WatchRequest) -> WatchReply {
    let deadline = BootInstant::now() + Duration::from_millis(service.limits.hold_ms);
    let replica = &service.groups.config;
    let mut published = replica.lock();
    loop {
        if !published.status.is_leader {
            return WatchReply::NotLeader { leader: published.status.leader };
        }
        let remaining = deadline.saturating_duration_since(BootInstant::now());
        let newer = published.machine.0.view().revision > request.revision;
        if newer || remaining.is_zero() {
            break;
        }
        published = replica.wait_for_change(published, remaining);
    }
    // A leader that was suspended or partitioned may still consider itself the leader, so its view
    // is served only if a quorum answered it within the election timeout.
    if !quorum_is_recent(service, &published) {
        return WatchReply::NotLeader { leader: None };
    }
    watch_reply(&published, request)
}

fn quorum_is_recent(service: &RelayService, published: &Published<ConfigState>) -> bool {
    let max_age = Duration::from_millis(service.limits.election_ms);
    published.status.quorum_contact.is_some_and(|contact| contact.elapsed() < max_age)
}

fn watch_reply(published: &Published<ConfigState>, request: &WatchRequest) -> WatchReply {
    let machine = &published.machine.0;
    let view = machine.view();
    if view.revision <= request.revision {
        return WatchReply::Unchanged;
    }
    let base: Option<Bundle> = request.held.iter().find_map(|digest| machine.content(digest));
    let needed = view.targets().filter(|target| !request.held.contains(&target.digest));
    let updates: Vec<BundleUpdate> = needed
        .filter_map(|target| machine.content(&target.digest))
        .map(|target| best_update(base.as_ref(), &target))
        .collect();
    WatchReply::Changed { view, updates }
}

fn serve_reports(
    service: &RelayService,
    connection: &mut ServerConnection,
) -> Result<(), WireError> {
    loop {
        let request: ReportRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = record_report(service, request);
        connection.send(&reply)?;
        let (sent, received) = connection.take_byte_counts();
        service.metrics.relay_sent_bytes.inc_by(sent);
        service.metrics.relay_received_bytes.inc_by(received);
    }
}

fn record_report(service: &RelayService, request: ReportRequest) -> ReportReply {
    let replica = &service.groups.config;
    let confirmed = match request.confirm {
        true => replica.read(CONFIRM_TIMEOUT).map(Some),
        false => Ok(None),
    };
    let published = replica.lock();
    let leader = published.status.leader;
    if !published.status.is_leader || confirmed.is_err() {
        return ReportReply::NotLeader { leader };
    }
    let confirmed_revision = confirmed.ok().flatten().map(|_| published.machine.0.view().revision);
    drop(published);
    service.spread.lock().record(service.clock.now_ms(), request.report);
    ReportReply::Done { confirmed_revision }
}

fn serve_claims(
    service: &RelayService,
    connection: &mut ServerConnection,
) -> Result<(), WireError> {
    loop {
        let request: ClaimRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = propose_claim(service, request);
        connection.send(&reply)?;
    }
}

fn propose_claim(service: &RelayService, request: ClaimRequest) -> ClaimReply {
    let groups = service.groups.claims.len() as u32;
    let group = group_of(request.command.key(), groups);
    let Some(replica) = service.groups.claims.get(group as usize) else {
        return ClaimReply::Unavailable { verdict: verdict::Verdict::NotRun };
    };
    let command = with_leader_time(request.command);
    match replica.propose(command, CLAIM_TIMEOUT) {
        Ok(answer) => ClaimReply::Answer(answer),
        Err(RequestError::NotLeader { leader }) => ClaimReply::NotLeader { leader },
        Err(error) => ClaimReply::Unavailable { verdict: error.verdict() },
    }
}

/// Replaces the proxy's timestamp with this process's wall clock.
fn with_leader_time(command: ClaimCommand) -> ClaimCommand {
    match command {
        ClaimCommand::Begin { key, request, attempt, keep_ms, .. } => {
            ClaimCommand::Begin { key, request, attempt, keep_ms, now_ms: wall_clock_ms() }
        }
        other => other,
    }
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
