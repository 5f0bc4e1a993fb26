//! The leader takes canaries to their next phases, on what the sidecars told.

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

/// Time between two looks at the canaries: short against the second in which a share may be spent.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(800);

/// What sidecars are told of canaries.
#[derive(Clone, Copy, Debug)]
pub struct CanaryPolicies {
    exposed_part: f64,
}

impl CanaryPolicies {
    /// A version that turns out to be bad may have had `exposed_part` of the calls, 0 to 1.
    pub fn new(exposed_part: f64) -> Self {
        CanaryPolicies { exposed_part }
    }

    fn plan(&self, record: &CanaryRecord) -> Plan {
        Plan::new(record.duration_ms, self.exposed_part)
    }

    /// Which versions may be given calls.
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

/// A phase of a canary, and when it was first seen here.
#[derive(Clone, Copy, Debug)]
struct PhaseSeen {
    run: u64,
    phase: Phase,
    at: Millis,
    /// The verdict that was logged last.
    verdict: Option<Discriminant<Verdict>>,
}

/// The loop that looks after canaries.
pub(crate) struct CanaryLoop {
    hub: Arc<Hub>,
    group: Arc<Group>,
    clock: Clock,
    policies: CanaryPolicies,
    seen: BTreeMap<String, PhaseSeen>,
}

impl CanaryLoop {
    pub fn new(hub: Arc<Hub>, group: Arc<Group>, clock: Clock, policies: CanaryPolicies) -> Self {
        CanaryLoop { hub, group, clock, policies, seen: BTreeMap::new() }
    }

    /// Starts the loop.
    pub fn spawn(mut self) {
        thread::spawn(move || loop {
            thread::sleep(LOOK_INTERVAL);
            self.look();
        });
    }

    fn look(&mut self) {
        let now = self.clock.now_ms();
        let mut running = self.group.versions().canaries;
        running.retain(|_, record| record.phase.is_running());
        self.hub.lock().evidence.retain(|service, _| running.contains_key(service));
        self.seen.retain(|service, _| running.contains_key(service));
        for (service, record) in &running {
            let in_phase_ms = now.saturating_sub(self.phase_since(service, record, now));
            self.gather(service, record, now);
            if self.group.leads() {
                self.step(service, record, in_phase_ms);
            }
        }
    }

    /// When a canary came into its phase, as far as this process saw.
    fn phase_since(&mut self, service: &str, record: &CanaryRecord, now: Millis) -> Millis {
        let CanaryRecord { run, phase, .. } = *record;
        let held = self.seen.get(service).filter(|seen| seen.run == run && seen.phase == phase);
        let seen = held.copied().unwrap_or(PhaseSeen { run, phase, at: now, verdict: None });
        self.seen.insert(service.to_owned(), seen);
        seen.at
    }

    fn gather(&self, service: &str, record: &CanaryRecord, now: Millis) {
        let mut state = self.hub.lock();
        let held = state.evidence.get(service).map(Evidence::run);
        if held != Some(record.run) {
            let evidence = Evidence::new(record.run, &record.version);
            state.evidence.insert(service.to_owned(), evidence);
        }
        if let Some(evidence) = state.evidence.get_mut(service) {
            evidence.mark(now);
        }
    }

    fn step(&mut self, service: &str, record: &CanaryRecord, in_phase_ms: Millis) {
        let Some(told) = Told::of(&self.hub.lock(), service) else {
            return;
        };
        let judgement = judge(&told.whole, &told.recent);
        self.log_verdict(service, record, &judgement);
        let loads = ServiceLoads::of(&self.hub.lock(), service, record);
        let facts = Facts {
            phase: record.phase,
            elapsed_ms: record.elapsed_ms + in_phase_ms,
            in_phase_ms,
            verdict: judgement.verdict,
            candidate_ended: told.whole.candidate_ended(),
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

    /// One line whenever the verdict is another one.
    fn log_verdict(&mut self, service: &str, record: &CanaryRecord, judgement: &Judgement) {
        let Judgement { verdict, ratio } = judgement;
        let Some(seen) = self.seen.get_mut(service) else {
            return;
        };
        let level = std::mem::discriminant(verdict);
        if seen.verdict.replace(level) != Some(level) {
            info!(%service, version = %record.version, ?verdict, ratio, "canary_verdict");
        }
    }

    fn other_versions(&self, service: &str, version: &str) -> Vec<String> {
        let state = self.hub.lock();
        let of_service = state.registry.records().filter(|record| record.service == service);
        let versions = of_service.filter_map(|record| record.instance.as_ref());
        let others = versions.map(|instance| &instance.version).filter(|told| *told != version);
        others.cloned().collect::<BTreeSet<String>>().into_iter().collect()
    }
}

/// What was told of a canary, copied so that it is judged without the hub's lock.
struct Told {
    whole: Sums,
    recent: Sums,
}

impl Told {
    fn of(state: &HubState, service: &str) -> Option<Self> {
        let evidence = state.evidence.get(service)?;
        Some(Told { whole: evidence.whole().clone(), recent: evidence.recent() })
    }
}

/// Slots and calls of the versions of a service.
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
