//! The relay's two connections to control: one to watch for new views, one to send reports.

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

/// Maximum wait for a watch reply: control's hold time plus a margin. The relay leaves an
/// unresponsive leader after this time.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time between reports; without changes, they tell control that the relay is alive.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two reports, so that acknowledgements are batched.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_CAP_MS: u64 = 400;

/// Connection to the control leader, which follows leader changes.
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
        let reply = connection.call(request, timeout)?;
        self.connection = Some(connection);
        Ok(reply)
    }

    /// Switches to the given leader, or to the next replica after a delay.
    fn redirect(&mut self, leader: Option<u64>) {
        self.connection = None;
        let leader_position = self.replicas.iter().position(|replica| Some(replica.id) == leader);
        match leader_position {
            Some(position) if position != self.current => self.current = position,
            _ => {
                self.current = (self.current + 1) % self.replicas.len();
                thread::sleep(self.backoff.next_delay());
            }
        }
    }

    fn reset_backoff(&mut self) {
        self.backoff.reset();
    }
}

/// Starts the watching and the reporting thread.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    let watch_shared = shared.clone();
    thread::spawn(move || watch(&watch_shared));
    let report_shared = shared.clone();
    thread::spawn(move || report(&report_shared));
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
                link.reset_backoff();
                handle_watch_reply(shared, reply);
            }
            Err(error) => {
                debug!(%error, "control_watch_failed");
                link.redirect(None);
            }
        }
    }
}

fn handle_watch_reply(shared: &Shared, reply: WatchReply) {
    let mut locked = shared.lock();
    if !locked.core.on_watch_reply(reply, shared.clock.now_ms()) {
        return;
    }
    let generation = locked.core.view().map_or(0, |view| view.newest_generation());
    shared.metrics.generation.set(generation as i64);
    shared.report_changed(&mut locked);
    drop(locked);
    shared.update_available.notify_all();
    info!(generation, "view_adopted");
}

fn report(shared: &Shared) {
    let mut link = ControlLink::new(&shared.settings.control, Purpose::RelayReport);
    let mut reported_version = 0;
    while !shared.stop.is_set() {
        let (request, ticket, version) = wait_for_report(shared, reported_version);
        match link.call(&shared.tls, &request, REPORT_TIMEOUT) {
            Ok(ReportReply::Done { confirmed_revision }) => {
                link.reset_backoff();
                reported_version = version;
                if let (Some(ticket), Some(revision)) = (ticket, confirmed_revision) {
                    shared.lock().core.on_confirmed(ticket, revision);
                    shared.update_available.notify_all();
                }
            }
            Ok(ReportReply::NotLeader { leader }) => link.redirect(leader),
            Err(error) => {
                debug!(%error, "control_report_failed");
                link.redirect(None);
            }
        }
        thread::sleep(MIN_REPORT_INTERVAL);
    }
}

type PendingReport = (ReportRequest, Option<crate::confirmation::Ticket>, u64);

/// Waits until there is something to report or the interval has passed.
fn wait_for_report(shared: &Shared, reported_version: u64) -> PendingReport {
    let deadline = BootInstant::now() + MAX_REPORT_INTERVAL;
    let mut locked = shared.lock();
    loop {
        // The ticket is taken before the request is sent, so that the read begins after it was
        // issued.
        let ticket = locked.core.pending_confirmation();
        let remaining = deadline.saturating_duration_since(BootInstant::now());
        let version = locked.report_version;
        if ticket.is_some() || version != reported_version || remaining.is_zero() {
            let report = locked.core.report(shared.clock.now_ms());
            return (ReportRequest { report, confirm: ticket.is_some() }, ticket, version);
        }
        let (guard, _) = shared
            .report_changed_signal
            .wait_timeout(locked, remaining)
            .unwrap_or_else(PoisonError::into_inner);
        locked = guard;
    }
}
