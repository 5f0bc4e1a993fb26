//! The proxy's side of configuration and endpoints, without I/O.

use bundle::{Bundle, Digest, UpdateError};
use endpoints::{EndpointUpdate, EndpointView};
use rollout::ProxyName;
use std::collections::BTreeSet;
use wire::{ConfigUpdate, ProxyPoll, ProxyReply, ProxyState, ProxyUpdate, RefusedGeneration};

/// Mechanisms that can be switched off, only to prove that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyWeakness {
    /// Applies whatever generation arrives.
    AcceptsOlder,
    /// Applies the objects of a delta without looking at the result.
    AppliesUnchecked,
    /// Forgets its own leaving marks when a relay lists the endpoint as live.
    ForgetsLeaving,
}

/// A configuration that was checked and can be put in force.
#[derive(Clone, Debug)]
pub struct PreparedConfig {
    /// Its generation.
    pub generation: u64,
    /// Its content.
    pub bundle: Bundle,
}

/// What a relay's answer asks of the runtime.
#[derive(Debug)]
pub enum ReplyEffect {
    /// Nothing, or only endpoints that are already taken in.
    None {
        /// Whether endpoints changed.
        endpoints_changed: bool,
    },
    /// Put this in force, then call [`ProxyCore::commit`], or [`ProxyCore::refuse`].
    Prepare {
        /// What to put in force.
        prepared: PreparedConfig,
        /// Sign-off to check.
        approval: Option<bundle::Approval>,
    },
    /// Come back to this relay after so many milliseconds.
    Retry {
        /// Milliseconds.
        after_ms: u32,
    },
    /// Go to another relay.
    Leave,
}

/// State of a proxy's control side.
#[derive(Clone, Debug)]
pub struct ProxyCore {
    name: ProxyName,
    generation: Option<u64>,
    bundle: Bundle,
    refused: Option<RefusedGeneration>,
    services: BTreeSet<String>,
    endpoints: EndpointView,
    /// Asks for a whole snapshot because a delta did not fit.
    needs_snapshot: bool,
    must_say_state: bool,
    current_at_ms: Option<u64>,
    weakness: Option<ProxyWeakness>,
}

impl ProxyCore {
    /// A proxy with what it had stored, if it has a disk.
    pub fn new(name: ProxyName, stored: Option<PreparedConfig>) -> Self {
        let generation = stored.as_ref().map(|stored| stored.generation);
        let bundle = stored.map(|stored| stored.bundle).unwrap_or_default();
        let services = used_services(&bundle);
        ProxyCore {
            name,
            generation,
            bundle,
            refused: None,
            services,
            endpoints: EndpointView::default(),
            needs_snapshot: false,
            must_say_state: true,
            current_at_ms: None,
            weakness: None,
        }
    }

    /// Switches a mechanism off for checker tests.
    pub fn weaken(&mut self, weakness: ProxyWeakness) {
        self.weakness = Some(weakness);
    }

    /// Who it is.
    pub fn name(&self) -> &ProxyName {
        &self.name
    }

    /// The generation in force; `None` before the first.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// The bundle in force.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// The target refused last, if it still is the target.
    pub fn refused(&self) -> Option<&RefusedGeneration> {
        self.refused.as_ref()
    }

    /// The endpoints known.
    pub fn endpoints(&self) -> &EndpointView {
        &self.endpoints
    }

    /// The endpoints known, to take own observations in.
    pub fn endpoints_mut(&mut self) -> &mut EndpointView {
        &mut self.endpoints
    }

    /// Time since the configuration was last known to be current, milliseconds.
    pub fn staleness_ms(&self, now_ms: u64) -> Option<u64> {
        self.current_at_ms.map(|at| now_ms.saturating_sub(at))
    }

    /// A new connection begins with the whole state.
    pub fn on_connect(&mut self) {
        self.must_say_state = true;
    }

    /// The next request.
    pub fn poll(&mut self) -> ProxyPoll {
        if !std::mem::take(&mut self.must_say_state) {
            return ProxyPoll::Applied;
        }
        let (endpoint_epoch, endpoint_sequence) = self.endpoints.position();
        let unknown_base = Digest([0; 32]);
        let digest = if self.needs_snapshot { unknown_base } else { self.bundle.digest() };
        ProxyPoll::State(ProxyState {
            name: self.name.clone(),
            generation: self.generation,
            digest,
            refused: self.refused.clone(),
            services: self.services.iter().cloned().collect(),
            endpoint_epoch,
            endpoint_sequence,
        })
    }

    /// Takes a relay's answer in.
    pub fn on_reply(&mut self, reply: ProxyReply, now_ms: u64) -> ReplyEffect {
        match reply {
            ProxyReply::Unchanged { source_age_ms } => {
                self.note_currency(source_age_ms, now_ms);
                ReplyEffect::None { endpoints_changed: false }
            }
            ProxyReply::Update(update) => self.on_update(update, now_ms),
            ProxyReply::Busy { retry_after_ms } => ReplyEffect::Retry { after_ms: retry_after_ms },
            ProxyReply::Leaving => ReplyEffect::Leave,
        }
    }

    fn note_currency(&mut self, source_age_ms: u32, now_ms: u64) {
        let at = now_ms.saturating_sub(u64::from(source_age_ms));
        if self.generation.is_some() && source_age_ms != u32::MAX {
            self.current_at_ms = Some(self.current_at_ms.map_or(at, |known| known.max(at)));
        }
    }

    fn on_update(&mut self, update: ProxyUpdate, now_ms: u64) -> ReplyEffect {
        // Endpoints first: they belong to the services this proxy asked for. If the configuration
        // changes the services, `commit` forgets the position and asks for all endpoints again.
        let endpoints_changed = self.take_endpoints(update.endpoints);
        let unchanged = ReplyEffect::None { endpoints_changed };
        let Some(config) = update.config else {
            self.note_currency(update.source_age_ms, now_ms);
            return unchanged;
        };
        if !self.may_apply(&config) {
            self.must_say_state = true;
            return unchanged;
        }
        match self.rebuild(&config) {
            Ok(bundle) => {
                let at = now_ms.saturating_sub(u64::from(update.source_age_ms));
                self.current_at_ms = Some(self.current_at_ms.map_or(at, |known| known.max(at)));
                let prepared = PreparedConfig { generation: config.generation, bundle };
                ReplyEffect::Prepare { prepared, approval: config.approval }
            }
            Err(error) => {
                self.on_update_error(config.generation, &error);
                unchanged
            }
        }
    }

    /// The rules of never going back.
    fn may_apply(&self, config: &ConfigUpdate) -> bool {
        match self.generation {
            Some(held) => {
                config.generation > held || self.weakness == Some(ProxyWeakness::AcceptsOlder)
            }
            None => config.confirmed,
        }
    }

    fn rebuild(&self, config: &ConfigUpdate) -> Result<Bundle, UpdateError> {
        if self.weakness == Some(ProxyWeakness::AppliesUnchecked) {
            if let bundle::BundleUpdate::Delta(delta) = &config.update {
                let held = self.bundle.objects().values().map(|hashed| hashed.object.clone());
                let first = delta.upserts.iter().take(1).cloned();
                return Ok(Bundle::from_objects(held.chain(first).collect()));
            }
        }
        config.update.apply(&self.bundle)
    }

    fn on_update_error(&mut self, generation: u64, error: &UpdateError) {
        self.must_say_state = true;
        match error {
            UpdateError::Invalid { .. } => {
                let error = error.to_string();
                self.refused = Some(RefusedGeneration { generation, error });
            }
            // Something else than this proxy's bundle was the base: the whole will fit.
            _ => self.needs_snapshot = true,
        }
    }

    /// What was prepared is in force now.
    pub fn commit(&mut self, prepared: PreparedConfig) {
        let services = used_services(&prepared.bundle);
        if services != self.services {
            self.endpoints.forget_position();
            self.services = services;
            self.must_say_state = true;
        }
        self.must_say_state |= self.refused.is_some() || self.needs_snapshot;
        self.refused = None;
        self.needs_snapshot = false;
        self.generation = Some(prepared.generation);
        self.bundle = prepared.bundle;
    }

    /// What was prepared cannot be put in force; the configuration held stays.
    pub fn refuse(&mut self, generation: u64, error: String) {
        self.must_say_state = true;
        self.refused = Some(RefusedGeneration { generation, error });
    }

    /// Takes endpoint news in; true if there were any.
    fn take_endpoints(&mut self, update: Option<EndpointUpdate>) -> bool {
        let Some(update) = update else { return false };
        if self.weakness == Some(ProxyWeakness::ForgetsLeaving) {
            self.endpoints = EndpointView::default();
        }
        self.endpoints.apply(update);
        true
    }
}

fn used_services(bundle: &Bundle) -> BTreeSet<String> {
    let targets = bundle.routes().flat_map(|route| &route.targets);
    targets.map(|target| target.service.clone()).collect()
}
