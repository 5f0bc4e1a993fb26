//! Answering our own processes: peers, relays, and claims.

use crate::machine::ConfigState;
use crate::replica::{Published, RequestError};
use crate::runtime::Shared;
use bundle::{best_update, Bundle, BundleUpdate};
use claims::{group_of, ClaimCommand};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::debug;
use wire::{
    ClaimReply, ClaimRequest, GroupMessage, Purpose, ReportReply, ReportRequest, ServerConnection,
    WatchReply, WatchRequest, WireError,
};

/// Longest silence on a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// When a relay beyond the limit on readers comes back, milliseconds.
const READER_RETRY_AFTER_MS: std::ops::RangeInclusive<u32> = 200..=1_000;

/// Serves one connection to its end.
pub(crate) fn serve(shared: &Shared, mut connection: ServerConnection) {
    let result = match connection.purpose() {
        Purpose::Consensus => serve_peer(shared, &mut connection),
        Purpose::RelayWatch => serve_watch(shared, &mut connection),
        Purpose::RelayReport => serve_reports(shared, &mut connection),
        Purpose::Claims => serve_claims(shared, &mut connection),
        _ => Ok(()),
    };
    if let Err(error) = result {
        debug!(peer = %connection.peer().name, %error, "connection_ended");
    }
}

fn serve_peer(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let message: GroupMessage = connection.receive(REQUEST_TIMEOUT)?;
        if connection.peer().name != format!("control-{}", message.message.from) {
            return Ok(());
        }
        match message.group {
            0 => shared.groups.config.step(message.message),
            group => {
                if let Some(replica) = shared.groups.claims.get(group as usize - 1) {
                    replica.step(message.message);
                }
            }
        }
    }
}

fn serve_watch(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    let readers = shared.readers.fetch_add(1, Ordering::SeqCst);
    let result = if readers >= shared.settings.max_readers as usize {
        shared.metrics.readers_turned_away.inc();
        turn_away(connection)
    } else {
        shared.metrics.readers.set(readers as i64 + 1);
        answer_watches(shared, connection)
    };
    let left = shared.readers.fetch_sub(1, Ordering::SeqCst);
    shared.metrics.readers.set(left as i64 - 1);
    result
}

fn turn_away(connection: &mut ServerConnection) -> Result<(), WireError> {
    let _: WatchRequest = connection.receive(REQUEST_TIMEOUT)?;
    connection.send(&WatchReply::Busy { retry_after_ms: fastrand::u32(READER_RETRY_AFTER_MS) })
}

fn answer_watches(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let request: WatchRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = wait_for_view(shared, &request);
        connection.send(&reply)?;
        let (sent, received) = connection.take_byte_counts();
        shared.metrics.relay_sent_bytes.inc_by(sent);
        shared.metrics.relay_received_bytes.inc_by(received);
    }
}

fn wait_for_view(shared: &Shared, request: &WatchRequest) -> WatchReply {
    let deadline = Instant::now() + Duration::from_millis(shared.settings.hold_ms);
    let replica = &shared.groups.config;
    let mut published = replica.lock();
    loop {
        if !published.status.is_leader {
            return WatchReply::NotLeader { leader: published.status.leader };
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let newer = published.machine.0.view().revision > request.revision;
        if newer || left.is_zero() {
            break;
        }
        published = replica.wait_changed(published, left);
    }
    // A leader that was frozen or cut off still believes it leads; what it would say is only
    // passed on if a quorum answered it a moment ago.
    if !quorum_is_recent(shared, &published) {
        return WatchReply::NotLeader { leader: None };
    }
    changed_since(&published, request)
}

fn quorum_is_recent(shared: &Shared, published: &Published<ConfigState>) -> bool {
    let longest = Duration::from_millis(shared.settings.election_ms);
    published.status.quorum_contact.is_some_and(|contact| contact.elapsed() < longest)
}

fn changed_since(published: &Published<ConfigState>, request: &WatchRequest) -> WatchReply {
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

fn serve_reports(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let request: ReportRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = take_report(shared, request);
        connection.send(&reply)?;
        let (sent, received) = connection.take_byte_counts();
        shared.metrics.relay_sent_bytes.inc_by(sent);
        shared.metrics.relay_received_bytes.inc_by(received);
    }
}

fn take_report(shared: &Shared, request: ReportRequest) -> ReportReply {
    let replica = &shared.groups.config;
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
    shared.lock_spread().record(shared.clock.now_ms(), request.report);
    ReportReply::Done { confirmed_revision }
}

fn serve_claims(shared: &Shared, connection: &mut ServerConnection) -> Result<(), WireError> {
    loop {
        let request: ClaimRequest = connection.receive(REQUEST_TIMEOUT)?;
        let reply = decide_claim(shared, request);
        connection.send(&reply)?;
    }
}

fn decide_claim(shared: &Shared, request: ClaimRequest) -> ClaimReply {
    let groups = shared.groups.claims.len() as u32;
    let group = group_of(request.command.key(), groups);
    let Some(replica) = shared.groups.claims.get(group as usize) else {
        return ClaimReply::Unavailable { verdict: verdict::Verdict::NotRun };
    };
    let command = stamp(request.command);
    match replica.propose(command, CLAIM_TIMEOUT) {
        Ok(answer) => ClaimReply::Answer(answer),
        Err(RequestError::NotLeader { leader }) => ClaimReply::NotLeader { leader },
        Err(error) => ClaimReply::Unavailable { verdict: error.verdict() },
    }
}

/// Replaces the proxy's clock by the leader's.
fn stamp(command: ClaimCommand) -> ClaimCommand {
    match command {
        ClaimCommand::Begin { key, request, attempt, keep_ms, .. } => {
            ClaimCommand::Begin { key, request, attempt, keep_ms, now_ms: wall_clock_ms() }
        }
        other => other,
    }
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
