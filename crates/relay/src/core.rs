//! Decisions of a relay, without I/O.

use crate::confirmation::{Confirmations, Ticket};
use crate::history::BundleHistory;
use crate::session::{Session, SessionId};
use crate::spread::{build_report, KnownProxy};
use bundle::{BundleUpdate, Digest};
use endpoints::{EndpointTable, LeavingMark, MassExpiryGuard};
use rollout::{RelayReport, TargetView};
use std::collections::{BTreeMap, BTreeSet};
use wire::{
    ConfigUpdate, MirrorReply, MirrorRequest, ProxyPoll, ProxyReply, ProxyState, ProxyUpdate,
    WatchReply, WatchRequest,
};

/// Maximum number of digests sent to control as possible delta bases.
const MAX_DELTA_BASES: usize = 8;
/// Updates larger than this are catch-ups, whose number is limited; in bytes.
const CATCH_UP_BYTES: usize = 4 * 1024;
/// Range of the random retry delay for proxies that were not admitted, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u32> = 50..=500;

/// Safety mechanisms that can be disabled to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayWeakness {
    /// A proxy that starts without stored state is served without confirmation by a quorum.
    NoConfirmation,
    /// A proxy with a newer generation than its target is sent the older target.
    SendsOlder,
}

/// Fixed parameters of a relay.
#[derive(Clone, Debug)]
pub struct RelayParameters {
    /// Unique name of the relay.
    pub name: String,
    /// Zone of the relay.
    pub zone: String,
    /// Identifies this run of the relay; must differ between starts.
    pub epoch: u64,
    /// Time without contact after which a proxy is reported as unknown, in milliseconds.
    pub proxy_lease_ms: u64,
    /// Maximum number of large updates sent at once.
    pub max_catch_ups: usize,
    /// Determines when a large loss of endpoints is accepted.
    pub guard: MassExpiryGuard,
    /// Disabled mechanism, for tests of the checks; `None` in production.
    pub weakness: Option<RelayWeakness>,
}

/// The limit on large updates sent at once is reached.
struct CatchUpLimitReached;

/// State of a relay.
#[derive(Clone, Debug)]
pub struct RelayCore {
    parameters: RelayParameters,
    view: Option<TargetView>,
    history: BundleHistory,
    endpoints: EndpointTable,
    sessions: BTreeMap<SessionId, Session>,
    next_session: u64,
    proxies: BTreeMap<String, KnownProxy>,
    confirmations: Confirmations,
    /// When the control leader last replied.
    source_last_heard_ms: Option<u64>,
    /// Number of connected proxies by service, updated incrementally as sessions change.
    own_subscribers: BTreeMap<String, u32>,
    /// Number of proxies by service that each peer relay last reported.
    peer_subscribers: BTreeMap<String, Vec<(String, u32)>>,
    rng: fastrand::Rng,
}

impl RelayCore {
    /// Creates a relay without a view and without endpoints.
    pub fn new(parameters: RelayParameters) -> Self {
        RelayCore {
            view: None,
            history: BundleHistory::default(),
            endpoints: EndpointTable::new(parameters.epoch, parameters.guard),
            sessions: BTreeMap::new(),
            next_session: 1,
            proxies: BTreeMap::new(),
            confirmations: Confirmations::default(),
            source_last_heard_ms: None,
            own_subscribers: BTreeMap::new(),
            peer_subscribers: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(parameters.epoch),
            parameters,
        }
    }

    /// Current view; `None` until control has sent one.
    pub fn view(&self) -> Option<&TargetView> {
        self.view.as_ref()
    }

    /// Endpoint table.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Endpoint table, for merging changes into it.
    pub fn endpoints_mut(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }

    /// Number of connected proxies.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    // ---- control ----

    /// Returns the next watch request for control.
    pub fn watch_request(&self) -> WatchRequest {
        let revision = self.view.as_ref().map_or(0, |view| view.revision);
        let held = self.history.newest_first().take(MAX_DELTA_BASES).copied().collect();
        WatchRequest { revision, held }
    }

    /// Handles a reply of control; returns whether there is an update for proxies.
    pub fn on_watch_reply(&mut self, reply: WatchReply, now_ms: u64) -> bool {
        match reply {
            WatchReply::Changed { view, updates } => {
                self.source_last_heard_ms = Some(now_ms);
                self.adopt_view(view, &updates)
            }
            WatchReply::Unchanged => {
                self.source_last_heard_ms = Some(now_ms);
                false
            }
            WatchReply::NotLeader { .. } | WatchReply::Busy { .. } => false,
        }
    }

    /// Adopts a newer view if all bundles that it refers to are available.
    fn adopt_view(&mut self, view: TargetView, updates: &[BundleUpdate]) -> bool {
        let current_revision = self.view.as_ref().map(|view| view.revision);
        if current_revision.is_some_and(|revision| view.revision <= revision) {
            return false;
        }
        let used_digests: Vec<Digest> = view.targets().map(|target| target.digest).collect();
        for update in updates {
            if let Some(bundle) = self.build_bundle(update) {
                self.history.insert(bundle, &used_digests);
            }
        }
        let complete = used_digests.iter().all(|digest| self.history.get(digest).is_some());
        if complete {
            self.view = Some(view);
        }
        complete
    }

    fn build_bundle(&self, update: &BundleUpdate) -> Option<bundle::Bundle> {
        let empty = bundle::Bundle::default();
        let base = match update {
            BundleUpdate::Delta(delta) => self.history.get(&delta.base)?,
            _ => &empty,
        };
        update.apply(base).ok()
    }

    /// Aggregates the state of this relay's proxies for control.
    pub fn report(&mut self, now_ms: u64) -> RelayReport {
        let empty = TargetView::empty();
        let view = self.view.as_ref().unwrap_or(&empty);
        let parameters = &self.parameters;
        let (name, zone) = (&parameters.name, &parameters.zone);
        build_report(name, zone, view, &mut self.proxies, parameters.proxy_lease_ms, now_ms)
    }

    /// Ticket for which a confirmed read is needed, if any; must be called before the read is sent.
    pub fn pending_confirmation(&self) -> Option<Ticket> {
        self.confirmations.pending()
    }

    /// Handles a confirmed read that began after `ticket` was issued and returned `revision`.
    pub fn on_confirmed(&mut self, ticket: Ticket, revision: u64) {
        self.confirmations.confirm(ticket, revision);
    }

    /// Time since the control leader last replied, in milliseconds; `u32::MAX` if it never did.
    pub fn source_age_ms(&self, now_ms: u64) -> u32 {
        let age = self.source_last_heard_ms.map(|last_heard| now_ms.saturating_sub(last_heard));
        age.map_or(u32::MAX, |age| u32::try_from(age).unwrap_or(u32::MAX))
    }

    // ---- proxies ----

    /// Opens a session for a proxy that has connected.
    pub fn open_session(&mut self, state: &ProxyState, now_ms: u64) -> SessionId {
        let id = SessionId(self.next_session);
        self.next_session += 1;
        let ticket = state.generation.is_none().then(|| self.confirmations.issue());
        let session = Session::new(state, ticket, now_ms);
        self.record_proxy(&session);
        self.count_subscriptions(&session.services, 1);
        self.sessions.insert(id, session);
        self.refresh_subscribers();
        id
    }

    /// Handles the next request of a proxy.
    pub fn on_poll(&mut self, id: SessionId, poll: &ProxyPoll, now_ms: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let previous_services = session.services.clone();
        session.on_poll(poll, now_ms);
        let session = session.clone();
        self.record_proxy(&session);
        if session.services != previous_services {
            self.count_subscriptions(&previous_services, -1);
            self.count_subscriptions(&session.services, 1);
            self.refresh_subscribers();
        }
    }

    /// Closes the session of a proxy whose connection has ended.
    pub fn close_session(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.count_subscriptions(&session.services, -1);
            self.refresh_subscribers();
        }
    }

    fn count_subscriptions(&mut self, services: &BTreeSet<String>, change: i32) {
        for service in services {
            let count = self.own_subscribers.entry(service.clone()).or_default();
            *count = count.saturating_add_signed(change);
        }
    }

    fn record_proxy(&mut self, session: &Session) {
        let known = KnownProxy {
            name: session.name.clone(),
            generation: session.position.generation,
            refused: session.refused.clone(),
            last_heard_ms: session.last_heard_ms,
        };
        self.proxies.insert(session.name.id.clone(), known);
    }

    /// Returns the reply to a proxy's request, or `None` to hold the request until there is an
    /// update.
    pub fn answer(&mut self, id: SessionId, now_ms: u64) -> Option<ProxyReply> {
        let source_age_ms = self.source_age_ms(now_ms);
        if self.view.is_none() {
            return Some(self.busy());
        }
        let session = self.sessions.get(&id)?.clone();
        let config = match self.config_for(&session) {
            Ok(config) => config,
            Err(CatchUpLimitReached) => return Some(self.busy()),
        };
        // A proxy without a configuration has no routes that use endpoints.
        let awaits_config = config.is_none() && session.position.generation.is_none();
        let endpoints = if awaits_config { None } else { self.endpoints_for(&session) };
        if config.is_none() && endpoints.is_none() {
            return None;
        }
        let large = config.as_ref().is_some_and(|config| is_large(&config.update));
        let reply = ProxyReply::Update(ProxyUpdate { config, endpoints, source_age_ms });
        if let Some(session) = self.sessions.get_mut(&id) {
            session.on_sent(&reply);
            session.catching_up = large;
        }
        Some(reply)
    }

    /// Returns the reply to a held request when the hold time is over.
    pub fn unchanged(&self, now_ms: u64) -> ProxyReply {
        ProxyReply::Unchanged { source_age_ms: self.source_age_ms(now_ms) }
    }

    fn busy(&mut self) -> ProxyReply {
        ProxyReply::Busy { retry_after_ms: self.rng.u32(RETRY_AFTER_MS) }
    }

    fn config_for(
        &mut self,
        session: &Session,
    ) -> Result<Option<ConfigUpdate>, CatchUpLimitReached> {
        let Some(view) = &self.view else {
            return Ok(None);
        };
        let target = view.target_for(&session.name).clone();
        let sends_older = self.parameters.weakness == Some(RelayWeakness::SendsOlder);
        let behind = session.position.generation.is_none_or(|current| {
            current < target.generation || (sends_older && current != target.generation)
        });
        let refused =
            session.refused.as_ref().is_some_and(|refused| refused.generation == target.generation);
        let confirmed = self.is_confirmed(session, view.revision);
        if !behind || refused || !confirmed {
            return Ok(None);
        }
        let Some(update) = self.history.update(&session.position.digest, &target.digest) else {
            return Ok(None);
        };
        if is_large(&update) && self.catch_up_count() >= self.parameters.max_catch_ups {
            return Err(CatchUpLimitReached);
        }
        Ok(Some(ConfigUpdate {
            generation: target.generation,
            approval: target.approval,
            confirmed: session.ticket.is_some(),
            update,
        }))
    }

    fn is_confirmed(&self, session: &Session, revision: u64) -> bool {
        if self.parameters.weakness == Some(RelayWeakness::NoConfirmation) {
            return true;
        }
        let needs_confirmation = session.position.generation.is_none();
        let covered = |ticket| self.confirmations.covers(ticket, revision);
        !needs_confirmation || session.ticket.is_some_and(covered)
    }

    fn catch_up_count(&self) -> usize {
        self.sessions.values().filter(|session| session.catching_up).count()
    }

    fn endpoints_for(&self, session: &Session) -> Option<endpoints::EndpointUpdate> {
        let position = &session.position;
        let (epoch, sequence) = (position.endpoint_epoch, position.endpoint_sequence);
        self.endpoints.update_since(epoch, sequence, &session.services)
    }

    // ---- other relays ----

    /// Marks backends as leaving; returns how many of the marks were new.
    pub fn observe_leaving(&mut self, marks: Vec<LeavingMark>) -> u32 {
        marks.into_iter().map(|mark| u32::from(self.endpoints.mark_leaving(mark))).sum()
    }

    /// Returns the reply to a peer relay, or `None` to hold the request until there are marks.
    pub fn answer_mirror(&self, request: &MirrorRequest) -> Option<MirrorReply> {
        let same_epoch = request.epoch == self.endpoints.epoch();
        let since = if same_epoch { request.sequence } else { 0 };
        let marks = self.endpoints.marks_since(since);
        if same_epoch && marks.is_empty() {
            return None;
        }
        Some(self.mirror_reply(marks))
    }

    /// Builds a reply to a peer relay with the given marks; there are none when the hold time is
    /// over.
    pub fn mirror_reply(&self, marks: Vec<LeavingMark>) -> MirrorReply {
        MirrorReply {
            epoch: self.endpoints.epoch(),
            sequence: self.endpoints.sequence(),
            marks,
            subscribers: self.own_subscribers.clone().into_iter().collect(),
        }
    }

    /// Handles a reply of a peer relay; returns whether there is an update for proxies.
    pub fn on_mirror_reply(&mut self, peer: &str, reply: MirrorReply) -> bool {
        let before = self.endpoints.sequence();
        self.observe_leaving(reply.marks);
        if self.peer_subscribers.get(peer) != Some(&reply.subscribers) {
            self.peer_subscribers.insert(peer.to_owned(), reply.subscribers);
            self.refresh_subscribers();
        }
        self.endpoints.sequence() > before
    }

    fn refresh_subscribers(&mut self) {
        let mut counts = self.own_subscribers.clone();
        for (service, count) in self.peer_subscribers.values().flatten() {
            *counts.entry(service.clone()).or_default() += count;
        }
        self.endpoints.set_subscribers(counts);
    }
}

fn is_large(update: &BundleUpdate) -> bool {
    match update {
        BundleUpdate::Unchanged { .. } => false,
        BundleUpdate::Delta(delta) => delta.encoded_size() > CATCH_UP_BYTES,
        BundleUpdate::Snapshot { compressed, .. } => compressed.len() > CATCH_UP_BYTES,
    }
}
