//! Advances canaries through their phases on the leader, based on evidence reported by sidecars.

use crate::hub::{Hub, HubState};
use crate::membership::Group;
use crate::Millis;
use canary::{judge, Evidence, Facts, Judgement, Phase, Plan, Step, Sums, Verdict};
use mesh::{CandidateShare, InstanceState, NodeRecord, VersionPolicy};
use rollout::{CanaryRecord, Command, Request, CONTROL_OPERATOR};
use std::collections::{BTreeMap, BTreeSet};
use std::mem::Discriminant;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use telemetry::Clock;
use tracing::{info, warn};

/// Interval between checks of the canaries: short compared to the second within which a candidate's
/// share of calls may be used up.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Derives the version policies sent to sidecars from the state of canaries.
#[derive(Clone, Copy, Debug)]
pub struct CanaryPolicies {
    exposed_part: f64,
}

impl CanaryPolicies {
    /// `exposed_part` is the maximum share of calls that a bad version may have received, from 0 to
    /// 1.
    pub fn new(exposed_part: f64) -> Self {
        CanaryPolicies { exposed_part }
    }

    fn plan(&self, record: &CanaryRecord) -> Plan {
        Plan::new(record.duration_ms, self.exposed_part)
    }

    /// The version policies of all services with a canary.
    pub fn of(&self, canaries: &BTreeMap<String, CanaryRecord>) -> Vec<VersionPolicy> {
        let of_service = |(service, record): (&String, &CanaryRecord)| VersionPolicy {
            service: service.clone(),
            candidate: record.phase.is_running().then(|| CandidateShare {
                version: record.version.clone(),
                run: record.run,
                permille: self.plan(record).permille(record.phase),
            }),
            barred: record.barred.clone(),
        };
        canaries.iter().map(of_service).collect()
    }
}

/// A phase of a canary, and when this process first observed it.
#[derive(Clone, Copy, Debug)]
struct ObservedPhase {
    run: u64,
    phase: Phase,
    at: Millis,
    /// The last logged verdict.
    verdict: Option<Discriminant<Verdict>>,
}

/// The loop that advances canaries.
pub(crate) struct CanaryLoop {
    hub: Arc<Hub>,
    group: Arc<Group>,
    clock: Clock,
    policies: CanaryPolicies,
    observed: BTreeMap<String, ObservedPhase>,
}

impl CanaryLoop {
    pub fn new(hub: Arc<Hub>, group: Arc<Group>, clock: Clock, policies: CanaryPolicies) -> Self {
        CanaryLoop { hub, group, clock, policies, observed: BTreeMap::new() }
    }

    /// Starts the loop.
    pub fn spawn(mut self) {
        thread::spawn(move || loop {
            thread::sleep(CHECK_INTERVAL);
            self.check();
        });
    }

    fn check(&mut self) {
        let now = self.clock.now_ms();
        let mut running = self.group.versions().canaries;
        running.retain(|_, record| record.phase.is_running());
        self.hub.lock().evidence.retain(|service, _| running.contains_key(service));
        self.observed.retain(|service, _| running.contains_key(service));
        for (service, record) in &running {
            let in_phase_ms = now.saturating_sub(self.phase_since(service, record, now));
            self.prepare_evidence(service, record, now);
            if self.group.leads() {
                self.advance(service, record, in_phase_ms);
            }
        }
    }

    /// When this process first observed the current phase of a canary.
    fn phase_since(&mut self, service: &str, record: &CanaryRecord, now: Millis) -> Millis {
        let CanaryRecord { run, phase, .. } = *record;
        let known = self
            .observed
            .get(service)
            .filter(|observed| observed.run == run && observed.phase == phase);
        let observed =
            known.copied().unwrap_or(ObservedPhase { run, phase, at: now, verdict: None });
        self.observed.insert(service.to_owned(), observed);
        observed.at
    }

    fn prepare_evidence(&self, service: &str, record: &CanaryRecord, now: Millis) {
        let mut state = self.hub.lock();
        let known = state.evidence.get(service).map(Evidence::run);
        if known != Some(record.run) {
            let evidence = Evidence::new(record.run, &record.version);
            state.evidence.insert(service.to_owned(), evidence);
        }
        if let Some(evidence) = state.evidence.get_mut(service) {
            evidence.take_snapshot(now);
        }
    }

    fn advance(&mut self, service: &str, record: &CanaryRecord, in_phase_ms: Millis) {
        let Some(evidence) = EvidenceSnapshot::of(&self.hub.lock(), service) else {
            return;
        };
        let judgement = judge(&evidence.whole, &evidence.recent);
        self.log_verdict(service, record, &judgement);
        let loads = ServiceLoads::of(&self.hub.lock(), service, record);
        let facts = Facts {
            phase: record.phase,
            elapsed_ms: record.elapsed_ms + in_phase_ms,
            in_phase_ms,
            verdict: judgement.verdict,
            candidate_ended: evidence.whole.candidate_ended(),
            candidate_slots: loads.candidate_slots,
            stable_slots: loads.stable_slots,
            stable_calls: loads.stable_calls,
        };
        let Some(Step { phase, reason }) = self.policies.plan(record).next(&facts) else {
            return;
        };
        let version = &record.version;
        info!(
            %service, %version, from = record.phase.as_str(), to = phase.as_str(), ?reason,
            ratio = judgement.ratio, ?facts, "canary_step"
        );
        let command = Command::MoveCanary {
            service: service.to_owned(),
            run: record.run,
            from: record.phase,
            to: phase,
            elapsed_ms: facts.elapsed_ms,
            replaced: self.other_versions(service, version),
        };
        let request = Request {
            operator: CONTROL_OPERATOR.to_owned(),
            request_id: format!("canary-{}-{}", record.run, phase.as_str()),
            command,
        };
        match self.group.replica.propose(request, PROPOSE_TIMEOUT) {
            Ok(Ok(accepted)) => info!(%service, ?accepted, "canary_stepped"),
            Ok(Err(refusal)) => warn!(%service, %refusal, "canary_not_stepped"),
            Err(error) => warn!(%service, %error, "canary_not_stepped"),
        }
    }

    /// Logs the verdict whenever it changes.
    fn log_verdict(&mut self, service: &str, record: &CanaryRecord, judgement: &Judgement) {
        let Judgement { verdict, ratio } = judgement;
        let Some(observed) = self.observed.get_mut(service) else {
            return;
        };
        let kind = std::mem::discriminant(verdict);
        if observed.verdict.replace(kind) != Some(kind) {
            info!(%service, version = %record.version, ?verdict, ratio, "canary_verdict");
        }
    }

    fn other_versions(&self, service: &str, version: &str) -> Vec<String> {
        let state = self.hub.lock();
        let of_service = state.registry.records().filter(|record| record.service == service);
        let versions = of_service.filter_map(|record| record.instance.as_ref());
        let others = versions.map(|instance| &instance.version).filter(|other| *other != version);
        others.cloned().collect::<BTreeSet<String>>().into_iter().collect()
    }
}

/// Copy of a canary's evidence, so that it can be judged without holding the hub's lock.
struct EvidenceSnapshot {
    whole: Sums,
    recent: Sums,
}

impl EvidenceSnapshot {
    fn of(state: &HubState, service: &str) -> Option<Self> {
        let evidence = state.evidence.get(service)?;
        Some(EvidenceSnapshot { whole: evidence.whole().clone(), recent: evidence.recent() })
    }
}

/// Slots and calls of a service, by stable and candidate versions.
#[derive(Default)]
struct ServiceLoads {
    candidate_slots: u32,
    stable_slots: u32,
    stable_calls: u32,
}

impl ServiceLoads {
    fn of(state: &HubState, service: &str, record: &CanaryRecord) -> Self {
        let mut loads = ServiceLoads::default();
        let of_service = |node: &&NodeRecord| node.service == service;
        for node in state.registry.records().filter(of_service) {
            let Some(instance) = &node.instance else {
                continue;
            };
            let ready = instance.state == InstanceState::Ready && !node.stopping;
            let slots = if ready { instance.slots } else { 0 };
            if instance.version == record.version {
                loads.candidate_slots += slots;
            } else {
                loads.stable_slots += slots;
                loads.stable_calls +=
                    state.loads.load(&node.address).map_or(0, |load| load.total_calls());
            }
        }
        loads
    }
}
