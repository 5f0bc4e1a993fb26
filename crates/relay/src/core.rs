//! The relay's decisions, without I/O.

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

/// Digests named to control as possible bases.
const MAX_BASES: usize = 8;
/// Updates longer than this count as catch-ups, whose number is limited, bytes.
const CATCH_UP_BYTES: usize = 4 * 1024;
/// Shortest and longest time after which a proxy that was not admitted comes back, ms.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u32> = 50..=500;

/// Mechanisms that can be switched off, only to prove that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayWeakness {
    /// A starting proxy is served without confirmation by a quorum.
    NoConfirmation,
    /// A proxy that is ahead of this relay is sent the older target.
    SendsOlder,
}

/// Fixed parameters of a relay.
#[derive(Clone, Debug)]
pub struct RelayParameters {
    /// Unique name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Differs between starts.
    pub epoch: u64,
    /// A proxy not heard from for this long is unknown, milliseconds.
    pub proxy_lease_ms: u64,
    /// Large updates sent at once.
    pub max_catch_ups: usize,
    /// When a large loss of endpoints is believed.
    pub guard: MassExpiryGuard,
    /// Broken variant for checker tests; `None` in the product.
    pub weakness: Option<RelayWeakness>,
}

/// As many large updates as allowed are on their way.
struct CatchUpsFull;

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
    source_heard_ms: Option<u64>,
    /// Connected proxies by service, kept up to date session by session.
    own_subscribers: BTreeMap<String, u32>,
    peer_subscribers: BTreeMap<String, Vec<(String, u32)>>,
    random: fastrand::Rng,
}

impl RelayCore {
    /// A relay that knows nothing yet.
    pub fn new(parameters: RelayParameters) -> Self {
        RelayCore {
            view: None,
            history: BundleHistory::default(),
            endpoints: EndpointTable::new(parameters.epoch, parameters.guard),
            sessions: BTreeMap::new(),
            next_session: 1,
            proxies: BTreeMap::new(),
            confirmations: Confirmations::default(),
            source_heard_ms: None,
            own_subscribers: BTreeMap::new(),
            peer_subscribers: BTreeMap::new(),
            random: fastrand::Rng::with_seed(parameters.epoch),
            parameters,
        }
    }

    /// The view held; `None` until control was reached once.
    pub fn view(&self) -> Option<&TargetView> {
        self.view.as_ref()
    }

    /// The endpoint table.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The endpoint table, to merge news into.
    pub fn endpoints_mut(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }

    /// Number of connected proxies.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    // ---- towards control ----

    /// What to ask control for.
    pub fn watch_request(&self) -> WatchRequest {
        let revision = self.view.as_ref().map_or(0, |view| view.revision);
        let held = self.history.newest_first().take(MAX_BASES).copied().collect();
        WatchRequest { revision, held }
    }

    /// Takes an answer of control in; true if there is news for proxies.
    pub fn on_watch_reply(&mut self, reply: WatchReply, now_ms: u64) -> bool {
        match reply {
            WatchReply::Changed { view, updates } => {
                self.source_heard_ms = Some(now_ms);
                self.adopt(view, &updates)
            }
            WatchReply::Unchanged => {
                self.source_heard_ms = Some(now_ms);
                false
            }
            WatchReply::NotLeader { .. } | WatchReply::Busy { .. } => false,
        }
    }

    /// Takes over a newer view, if every bundle it names is there.
    fn adopt(&mut self, view: TargetView, updates: &[BundleUpdate]) -> bool {
        let held = self.view.as_ref().map(|view| view.revision);
        if held.is_some_and(|revision| view.revision <= revision) {
            return false;
        }
        let in_use: Vec<Digest> = view.targets().map(|target| target.digest).collect();
        for update in updates {
            if let Some(bundle) = self.rebuild(update) {
                self.history.insert(bundle, &in_use);
            }
        }
        let complete = in_use.iter().all(|digest| self.history.get(digest).is_some());
        if complete {
            self.view = Some(view);
        }
        complete
    }

    fn rebuild(&self, update: &BundleUpdate) -> Option<bundle::Bundle> {
        let empty = bundle::Bundle::default();
        let base = match update {
            BundleUpdate::Delta(delta) => self.history.get(&delta.base)?,
            _ => &empty,
        };
        update.apply(base).ok()
    }

    /// The aggregated state of this relay's proxies.
    pub fn report(&mut self, now_ms: u64) -> RelayReport {
        let empty = TargetView::empty();
        let view = self.view.as_ref().unwrap_or(&empty);
        let parameters = &self.parameters;
        let (name, zone) = (&parameters.name, &parameters.zone);
        build_report(name, zone, view, &mut self.proxies, parameters.proxy_lease_ms, now_ms)
    }

    /// Whether a confirmed read is wanted; taken before the read is sent.
    pub fn pending_confirmation(&self) -> Option<Ticket> {
        self.confirmations.wanted()
    }

    /// A read that began after `ticket` was taken returned `revision`.
    pub fn on_confirmed(&mut self, ticket: Ticket, revision: u64) {
        self.confirmations.confirm(ticket, revision);
    }

    /// Time since control's leader was last heard from, milliseconds.
    pub fn source_age_ms(&self, now_ms: u64) -> u32 {
        let age = self.source_heard_ms.map(|heard| now_ms.saturating_sub(heard));
        age.map_or(u32::MAX, |age| u32::try_from(age).unwrap_or(u32::MAX))
    }

    // ---- towards proxies ----

    /// A proxy connected.
    pub fn open_session(&mut self, state: &ProxyState, now_ms: u64) -> SessionId {
        let id = SessionId(self.next_session);
        self.next_session += 1;
        let ticket = state.generation.is_none().then(|| self.confirmations.issue());
        let session = Session::new(state, ticket, now_ms);
        self.note_proxy(&session);
        self.count_subscriptions(&session.services, 1);
        self.sessions.insert(id, session);
        self.refresh_subscribers();
        id
    }

    /// A proxy's next request arrived.
    pub fn on_poll(&mut self, id: SessionId, poll: &ProxyPoll, now_ms: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let earlier = session.services.clone();
        session.on_poll(poll, now_ms);
        let session = session.clone();
        self.note_proxy(&session);
        if session.services != earlier {
            self.count_subscriptions(&earlier, -1);
            self.count_subscriptions(&session.services, 1);
            self.refresh_subscribers();
        }
    }

    /// A proxy's connection ended.
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

    fn note_proxy(&mut self, session: &Session) {
        let known = KnownProxy {
            name: session.name.clone(),
            generation: session.position.generation,
            refused: session.refused.clone(),
            last_heard_ms: session.last_heard_ms,
        };
        self.proxies.insert(session.name.id.clone(), known);
    }

    /// The answer to a proxy's request, or `None` to hold it until there is news.
    pub fn answer(&mut self, id: SessionId, now_ms: u64) -> Option<ProxyReply> {
        let source_age_ms = self.source_age_ms(now_ms);
        if self.view.is_none() {
            return Some(self.busy());
        }
        let session = self.sessions.get(&id)?.clone();
        let config = match self.config_for(&session) {
            Ok(config) => config,
            Err(CatchUpsFull) => return Some(self.busy()),
        };
        // Until a starting proxy has its configuration it has no routes to use endpoints for.
        let waits = config.is_none() && session.position.generation.is_none();
        let endpoints = if waits { None } else { self.endpoints_for(&session) };
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

    /// The answer when the holding time is over.
    pub fn unchanged(&self, now_ms: u64) -> ProxyReply {
        ProxyReply::Unchanged { source_age_ms: self.source_age_ms(now_ms) }
    }

    fn busy(&mut self) -> ProxyReply {
        ProxyReply::Busy { retry_after_ms: self.random.u32(RETRY_AFTER_MS) }
    }

    fn config_for(&mut self, session: &Session) -> Result<Option<ConfigUpdate>, CatchUpsFull> {
        let Some(view) = &self.view else {
            return Ok(None);
        };
        let target = view.target_for(&session.name).clone();
        let sends_older = self.parameters.weakness == Some(RelayWeakness::SendsOlder);
        let behind = session.position.generation.is_none_or(|held| {
            held < target.generation || (sends_older && held != target.generation)
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
        if is_large(&update) && self.catch_ups() >= self.parameters.max_catch_ups {
            return Err(CatchUpsFull);
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
        let needs = session.position.generation.is_none();
        let covered = |ticket| self.confirmations.covers(ticket, revision);
        !needs || session.ticket.is_some_and(covered)
    }

    fn catch_ups(&self) -> usize {
        self.sessions.values().filter(|session| session.catching_up).count()
    }

    fn endpoints_for(&self, session: &Session) -> Option<endpoints::EndpointUpdate> {
        let position = &session.position;
        let (epoch, sequence) = (position.endpoint_epoch, position.endpoint_sequence);
        self.endpoints.update_since(epoch, sequence, &session.services)
    }

    // ---- towards other relays ----

    /// Takes in that back ends leave; returns how many of the marks were news.
    pub fn observe_leaving(&mut self, marks: Vec<LeavingMark>) -> u32 {
        marks.into_iter().map(|mark| u32::from(self.endpoints.mark_leaving(mark))).sum()
    }

    /// Answers a peer, or `None` to hold its request until there are marks.
    pub fn answer_mirror(&self, request: &MirrorRequest) -> Option<MirrorReply> {
        let known = request.epoch == self.endpoints.epoch();
        let since = if known { request.sequence } else { 0 };
        let marks = self.endpoints.marks_since(since);
        if known && marks.is_empty() {
            return None;
        }
        Some(self.mirror_reply(marks))
    }

    /// What a peer gets when the holding time is over.
    pub fn mirror_reply(&self, marks: Vec<LeavingMark>) -> MirrorReply {
        MirrorReply {
            epoch: self.endpoints.epoch(),
            sequence: self.endpoints.sequence(),
            marks,
            subscribers: self.own_subscribers.clone().into_iter().collect(),
        }
    }

    /// Takes a peer's answer in; true if there is news for proxies.
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
