//! Configuration and endpoint state of a proxy, without I/O.

use bundle::{Bundle, Digest, UpdateError};
use endpoints::{EndpointUpdate, EndpointView};
use rollout::ProxyName;
use std::collections::BTreeSet;
use wire::{ConfigUpdate, ProxyPoll, ProxyReply, ProxyState, ProxyUpdate, RefusedGeneration};

/// Safety mechanisms that can be disabled to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyWeakness {
    /// Applies a generation even if it is older than the current one.
    AcceptsOlder,
    /// Applies only the first object of a delta and does not verify the result.
    AppliesUnchecked,
    /// Discards its endpoint view, own leaving marks included, with every update from a relay.
    ForgetsLeaving,
}

/// A verified configuration that is ready to be applied.
#[derive(Clone, Debug)]
pub struct PreparedConfig {
    /// Generation of the configuration.
    pub generation: u64,
    /// Content of the configuration.
    pub bundle: Bundle,
}

/// What the runtime must do after a reply of the relay.
#[derive(Debug)]
pub enum ReplyEffect {
    /// There is no new configuration; endpoint changes are already applied.
    None {
        /// Whether endpoints changed.
        endpoints_changed: bool,
    },
    /// Apply the configuration, then call [`ProxyCore::commit`] or, on failure,
    /// [`ProxyCore::refuse`].
    Prepare {
        /// Configuration to apply.
        prepared: PreparedConfig,
        /// Approval to verify.
        approval: Option<bundle::Approval>,
    },
    /// Reconnect to the same relay after a delay.
    Retry {
        /// Delay, in milliseconds.
        after_ms: u32,
    },
    /// Connect to another relay.
    Leave,
}

/// State of the control side of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyCore {
    name: ProxyName,
    generation: Option<u64>,
    bundle: Bundle,
    refused: Option<RefusedGeneration>,
    services: BTreeSet<String>,
    endpoints: EndpointView,
    /// Whether to request a full snapshot because the last update could not be applied.
    needs_snapshot: bool,
    /// Whether the next poll must contain the full state.
    must_send_state: bool,
    /// Last time at which the configuration is known to have been current.
    current_as_of_ms: Option<u64>,
    weakness: Option<ProxyWeakness>,
}

impl ProxyCore {
    /// Creates a proxy that starts with its stored configuration, if it has one.
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
            must_send_state: true,
            current_as_of_ms: None,
            weakness: None,
        }
    }

    /// Disables a mechanism, for tests of the checks.
    pub fn weaken(&mut self, weakness: ProxyWeakness) {
        self.weakness = Some(weakness);
    }

    /// Name and zone of the proxy.
    pub fn name(&self) -> &ProxyName {
        &self.name
    }

    /// Applied generation; `None` before the first.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Applied bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Generation that was refused, if none was applied since.
    pub fn refused(&self) -> Option<&RefusedGeneration> {
        self.refused.as_ref()
    }

    /// Known endpoints.
    pub fn endpoints(&self) -> &EndpointView {
        &self.endpoints
    }

    /// Known endpoints, for adding the proxy's own observations.
    pub fn endpoints_mut(&mut self) -> &mut EndpointView {
        &mut self.endpoints
    }

    /// Time since the configuration was last known to be current, in milliseconds.
    pub fn staleness_ms(&self, now_ms: u64) -> Option<u64> {
        self.current_as_of_ms.map(|at| now_ms.saturating_sub(at))
    }

    /// Handles a new connection, whose first poll must contain the full state.
    pub fn on_connect(&mut self) {
        self.must_send_state = true;
    }

    /// Returns the next request for the relay.
    pub fn poll(&mut self) -> ProxyPoll {
        if !std::mem::take(&mut self.must_send_state) {
            return ProxyPoll::Applied;
        }
        let (endpoint_epoch, endpoint_sequence) = self.endpoints.position();
        let unknown_digest = Digest([0; 32]);
        let digest = if self.needs_snapshot { unknown_digest } else { self.bundle.digest() };
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

    /// Handles a reply of the relay.
    pub fn on_reply(&mut self, reply: ProxyReply, now_ms: u64) -> ReplyEffect {
        match reply {
            ProxyReply::Unchanged { source_age_ms } => {
                self.update_current_as_of(source_age_ms, now_ms);
                ReplyEffect::None { endpoints_changed: false }
            }
            ProxyReply::Update(update) => self.on_update(update, now_ms),
            ProxyReply::Busy { retry_after_ms } => ReplyEffect::Retry { after_ms: retry_after_ms },
            ProxyReply::Leaving => ReplyEffect::Leave,
        }
    }

    fn update_current_as_of(&mut self, source_age_ms: u32, now_ms: u64) {
        let at = now_ms.saturating_sub(u64::from(source_age_ms));
        if self.generation.is_some() && source_age_ms != u32::MAX {
            self.current_as_of_ms =
                Some(self.current_as_of_ms.map_or(at, |previous| previous.max(at)));
        }
    }

    fn on_update(&mut self, update: ProxyUpdate, now_ms: u64) -> ReplyEffect {
        // Endpoints are applied first because they are for the services that this proxy subscribed
        // to. If the configuration changes the services, `commit` resets the position to request
        // all endpoints again.
        let endpoints_changed = self.apply_endpoints(update.endpoints);
        let unchanged = ReplyEffect::None { endpoints_changed };
        let Some(config) = update.config else {
            self.update_current_as_of(update.source_age_ms, now_ms);
            return unchanged;
        };
        if !self.may_apply(&config) {
            self.must_send_state = true;
            return unchanged;
        }
        match self.build_bundle(&config) {
            Ok(bundle) => {
                let at = now_ms.saturating_sub(u64::from(update.source_age_ms));
                self.current_as_of_ms =
                    Some(self.current_as_of_ms.map_or(at, |previous| previous.max(at)));
                let prepared = PreparedConfig { generation: config.generation, bundle };
                ReplyEffect::Prepare { prepared, approval: config.approval }
            }
            Err(error) => {
                self.on_update_error(config.generation, &error);
                unchanged
            }
        }
    }

    /// Whether an update may be applied: the generation must be newer than the current one, and a
    /// proxy without a generation requires confirmation by a quorum.
    fn may_apply(&self, config: &ConfigUpdate) -> bool {
        match self.generation {
            Some(current) => {
                config.generation > current || self.weakness == Some(ProxyWeakness::AcceptsOlder)
            }
            None => config.confirmed,
        }
    }

    fn build_bundle(&self, config: &ConfigUpdate) -> Result<Bundle, UpdateError> {
        if self.weakness == Some(ProxyWeakness::AppliesUnchecked) {
            if let bundle::BundleUpdate::Delta(delta) = &config.update {
                let current = self.bundle.objects().values().map(|hashed| hashed.object.clone());
                let first = delta.upserts.iter().take(1).cloned();
                return Ok(Bundle::from_objects(current.chain(first).collect()));
            }
        }
        config.update.apply(&self.bundle)
    }

    fn on_update_error(&mut self, generation: u64, error: &UpdateError) {
        self.must_send_state = true;
        match error {
            UpdateError::Invalid { .. } => {
                let error = error.to_string();
                self.refused = Some(RefusedGeneration { generation, error });
            }
            // The update does not match this proxy's bundle, such as a delta with another base; a
            // snapshot needs no base.
            _ => self.needs_snapshot = true,
        }
    }

    /// Records that a prepared configuration was applied.
    pub fn commit(&mut self, prepared: PreparedConfig) {
        let services = used_services(&prepared.bundle);
        if services != self.services {
            self.endpoints.forget_position();
            self.services = services;
            self.must_send_state = true;
        }
        self.must_send_state |= self.refused.is_some() || self.needs_snapshot;
        self.refused = None;
        self.needs_snapshot = false;
        self.generation = Some(prepared.generation);
        self.bundle = prepared.bundle;
    }

    /// Records that a configuration could not be applied; the current one stays.
    pub fn refuse(&mut self, generation: u64, error: String) {
        self.must_send_state = true;
        self.refused = Some(RefusedGeneration { generation, error });
    }

    /// Applies an endpoint update; returns whether there was one.
    fn apply_endpoints(&mut self, update: Option<EndpointUpdate>) -> bool {
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
