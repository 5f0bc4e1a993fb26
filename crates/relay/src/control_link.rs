//! The relay's two conversations with control: watching targets, and reporting.

use crate::runtime::Shared;
use settings::ControlAddressSettings;
use speedy::{LittleEndian, Readable, Writable};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::BootInstant;
use tracing::{debug, info};
use wire::{
    connect, Backoff, ClientConnection, Purpose, ReportReply, ReportRequest, Role, TlsIdentity,
    WatchReply, WireError,
};

/// Longest wait for an answer: control's holding time and some slack. A frozen leader is left
/// after this time.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Reports without a change, so that control knows the relay is alive.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reports, so that acknowledgements are gathered.
const REPORT_GAP: Duration = Duration::from_millis(10);
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_CAP_MS: u64 = 400;

/// A connection to the leader, wherever it is now.
struct ControlLink {
    replicas: Vec<ControlAddressSettings>,
    current: usize,
    purpose: Purpose,
    connection: Option<ClientConnection>,
    backoff: Backoff,
}

impl ControlLink {
    fn new(replicas: &[ControlAddressSettings], purpose: Purpose) -> Self {
        let current = fastrand::usize(..replicas.len());
        let backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_CAP_MS, fastrand::u64(..));
        ControlLink { replicas: replicas.to_vec(), current, purpose, connection: None, backoff }
    }

    fn call<Q, A>(
        &mut self,
        tls: &TlsIdentity,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, WireError>
    where
        Q: Writable<LittleEndian>,
        A: for<'a> Readable<'a, LittleEndian>,
    {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => connect(tls, self.replicas[self.current].address, Role::Control, self.purpose)?,
        };
        let answer = connection.call(request, timeout)?;
        self.connection = Some(connection);
        Ok(answer)
    }

    /// Goes to the leader named, or to the next replica after a pause.
    fn redirect(&mut self, leader: Option<u64>) {
        self.connection = None;
        let named = self.replicas.iter().position(|replica| Some(replica.id) == leader);
        match named {
            Some(position) if position != self.current => self.current = position,
            _ => {
                self.current = (self.current + 1) % self.replicas.len();
                thread::sleep(self.backoff.next_delay());
            }
        }
    }

    fn succeeded(&mut self) {
        self.backoff.reset();
    }
}

/// Starts both conversations.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    let watcher = shared.clone();
    thread::spawn(move || watch(&watcher));
    let reporter = shared.clone();
    thread::spawn(move || report(&reporter));
}

fn watch(shared: &Shared) {
    let mut link = ControlLink::new(&shared.settings.control, Purpose::RelayWatch);
    while !shared.stop.is_set() {
        let request = shared.lock().core.watch_request();
        match link.call(&shared.tls, &request, WATCH_TIMEOUT) {
            Ok(WatchReply::NotLeader { leader }) => link.redirect(leader),
            Ok(WatchReply::Busy { retry_after_ms }) => {
                thread::sleep(Duration::from_millis(u64::from(retry_after_ms)));
            }
            Ok(reply) => {
                link.succeeded();
                take_view(shared, reply);
            }
            Err(error) => {
                debug!(%error, "control_watch_failed");
                link.redirect(None);
            }
        }
    }
}

fn take_view(shared: &Shared, reply: WatchReply) {
    let mut locked = shared.lock();
    if !locked.core.on_watch_reply(reply, shared.clock.now_ms()) {
        return;
    }
    let generation = locked.core.view().map_or(0, |view| view.newest_generation());
    shared.metrics.generation.set(generation as i64);
    shared.report_changed(&mut locked);
    drop(locked);
    shared.news.notify_all();
    info!(generation, "view_adopted");
}

fn report(shared: &Shared) {
    let mut link = ControlLink::new(&shared.settings.control, Purpose::RelayReport);
    let mut reported_version = 0;
    while !shared.stop.is_set() {
        let (request, ticket, version) = next_report(shared, reported_version);
        match link.call(&shared.tls, &request, REPORT_TIMEOUT) {
            Ok(ReportReply::Done { confirmed_revision }) => {
                link.succeeded();
                reported_version = version;
                if let (Some(ticket), Some(revision)) = (ticket, confirmed_revision) {
                    shared.lock().core.on_confirmed(ticket, revision);
                    shared.news.notify_all();
                }
            }
            Ok(ReportReply::NotLeader { leader }) => link.redirect(leader),
            Err(error) => {
                debug!(%error, "control_report_failed");
                link.redirect(None);
            }
        }
        thread::sleep(REPORT_GAP);
    }
}

type NextReport = (ReportRequest, Option<crate::confirmation::Ticket>, u64);

/// Waits until there is something to report, or the interval is over.
fn next_report(shared: &Shared, reported_version: u64) -> NextReport {
    let deadline = BootInstant::now() + REPORT_INTERVAL;
    let mut locked = shared.lock();
    loop {
        // The ticket is taken before the request is sent, so that the read begins after it.
        let ticket = locked.core.pending_confirmation();
        let left = deadline.saturating_duration_since(BootInstant::now());
        let version = locked.report_version;
        if ticket.is_some() || version != reported_version || left.is_zero() {
            let report = locked.core.report(shared.clock.now_ms());
            return (ReportRequest { report, confirm: ticket.is_some() }, ticket, version);
        }
        let (guard, _) =
            shared.reports.wait_timeout(locked, left).unwrap_or_else(PoisonError::into_inner);
        locked = guard;
    }
}
