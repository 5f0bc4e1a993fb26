//! Invariants, each checked at every event that could violate it.

use bundle::{Bundle, Digest};
use endpoints::{EndpointState, EndpointView, LeavingMark};
use rollout::{Accepted, ConfigMachine};
use std::collections::{BTreeMap, BTreeSet};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant, which must not change.
    pub invariant: &'static str,
    /// Description of the violation.
    pub details: String,
    /// Virtual time, milliseconds.
    pub at_ms: u64,
}

/// Checks the invariants against the observed events of a run.
#[derive(Default)]
pub(crate) struct Checker {
    pub now_ms: u64,
    pub violations: Vec<Violation>,
    /// Digest of the command at each log index.
    applied: BTreeMap<u64, Digest>,
    /// Digest of the bundle of each generation.
    generations: BTreeMap<u64, Digest>,
    /// Highest generation that each proxy ever had in force.
    in_force: BTreeMap<usize, u64>,
    /// Digest of the bundle accepted under each version.
    versions: BTreeMap<u64, Digest>,
    /// Generations whose acceptance was acknowledged to an operator, with their digests.
    accepted_generations: BTreeMap<u64, Digest>,
    /// Generations created by each request.
    generations_by_request: BTreeMap<String, BTreeSet<u64>>,
    /// Requests that a replica executed successfully.
    executed: BTreeSet<String>,
    /// Newest revision that any replica applied.
    newest_revision: u64,
    /// Number of executions of each keyed call.
    runs: BTreeMap<String, u32>,
    /// Whether all attempts of a keyed call were reported as not executed so far.
    only_told_not_run: BTreeMap<String, bool>,
    /// Incarnations of back ends that each proxy process saw leaving.
    seen_leaving: BTreeMap<(usize, u64), BTreeSet<LeavingMark>>,
}

impl Checker {
    pub fn report(&mut self, invariant: &'static str, details: String) {
        self.violations.push(Violation { invariant, details, at_ms: self.now_ms });
    }

    /// Checks a command that a replica applied against the other replicas.
    pub fn on_apply(&mut self, replica: u64, index: u64, command: &[u8]) {
        let digest = Digest::of(command);
        let known = *self.applied.entry(index).or_insert(digest);
        if known != digest {
            self.report("log-agreement", format!("replica {replica} differs at index {index}"));
        }
    }

    /// Checks the newest generation of a replica's history against the other replicas.
    pub fn on_history(&mut self, replica: u64, machine: &ConfigMachine) {
        let Some(record) = machine.history().next_back() else { return };
        let (generation, digest) = (record.generation, record.digest);
        let known = *self.generations.entry(generation).or_insert(digest);
        if known != digest {
            let details =
                format!("replica {replica} has different content for generation {generation}");
            self.report("one-content-per-generation", details);
        }
    }

    /// Checks a configuration that a proxy put in force.
    pub fn on_in_force(&mut self, proxy: usize, generation: u64, bundle: &Bundle) {
        let highest = self.in_force.get(&proxy).copied().unwrap_or(0);
        if generation < highest {
            let details = format!("proxy {proxy} went from generation {highest} to {generation}");
            self.report("never-back", details);
        }
        self.in_force.insert(proxy, highest.max(generation));
        if let Some(problem) = bundle.check().first() {
            self.report("no-dangling-reference", format!("proxy {proxy}: {problem}"));
        }
        let empty = Bundle::default().digest();
        let accepted = self.generations.get(&generation).copied();
        let expected = if generation == 0 { Some(empty) } else { accepted };
        if expected != Some(bundle.digest()) {
            let details = format!(
                "proxy {proxy} has {:?} in force as generation {generation}, accepted was {expected:?}",
                bundle.digest()
            );
            self.report("all-or-nothing", details);
        }
    }

    /// Reports a leader that answered a relay without recent contact with a quorum.
    pub fn on_stale_leader(&mut self, replica: u64, age_ms: Option<u64>) {
        let details =
            format!("replica {replica} answered as leader, quorum contact {age_ms:?} ms ago");
        self.report("leader-has-a-quorum", details);
    }

    /// Records an operator's request that a replica executed successfully.
    pub fn on_executed(&mut self, request_id: &str, revision: u64) {
        self.executed.insert(request_id.to_owned());
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Returns the newest revision that any replica has applied. A read that begins now must not
    /// return an older one.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// Checks a read that confirmed `revision` to a relay; `min_revision` was the newest when the
    /// read began.
    pub fn on_confirmed_read(&mut self, replica: u64, min_revision: u64, revision: u64) {
        if revision < min_revision {
            let details =
                format!("replica {replica} confirmed {revision} after {min_revision} was applied");
            self.report("reads-are-current", details);
        }
    }

    /// Checks a request whose refusal an operator received.
    pub fn on_refused(&mut self, request_id: &str) {
        if self.executed.contains(request_id) {
            let details = format!("request {request_id} was executed but reported as refused");
            self.report("resend-gets-its-answer", details);
        }
    }

    /// Checks a request whose acceptance an operator received.
    pub fn on_accepted(&mut self, request_id: &str, digest: Digest, accepted: &Accepted) {
        match accepted {
            Accepted::Submitted { version, digest } => {
                let known = *self.versions.entry(*version).or_insert(*digest);
                if known != *digest {
                    let details = format!("version {version} was accepted with different contents");
                    self.report("one-winner-per-version", details);
                }
            }
            Accepted::Rolled { generation } | Accepted::Withdrawn { generation, .. } => {
                self.accepted_generations.insert(*generation, digest);
                let made = self.generations_by_request.entry(request_id.to_owned()).or_default();
                made.insert(*generation);
                if made.len() > 1 {
                    let details = format!("request {request_id} made generations {made:?}");
                    self.report("resend-executes-once", details);
                }
            }
            _ => {}
        }
    }

    /// Checks that the final state holds every generation whose acceptance was acknowledged.
    pub fn on_final_state(&mut self, machine: &ConfigMachine) {
        let history: BTreeMap<u64, Digest> =
            machine.history().map(|record| (record.generation, record.digest)).collect();
        let lost: Vec<u64> = self
            .accepted_generations
            .iter()
            .filter(|(generation, digest)| history.get(generation) != Some(digest))
            .map(|(generation, _)| *generation)
            .collect();
        if !lost.is_empty() {
            self.report("accepted-is-kept", format!("accepted generations {lost:?} are lost"));
        }
    }

    /// Checks that there are no more generations than requests that could create one.
    pub fn on_final_count(&mut self, generations: u64, requests: u64) {
        if generations > requests {
            let details = format!("{generations} generations from {requests} requests");
            self.report("resend-executes-once", details);
        }
    }

    /// Counts an execution of a keyed call by a back end.
    pub fn on_run(&mut self, key: &str) {
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        let count = *runs;
        if count > 1 {
            self.report("at-most-once", format!("call {key} ran {count} times"));
        }
    }

    /// Records the verdict on an attempt that its caller received.
    pub fn on_verdict(&mut self, key: &str, not_run: bool) {
        let reported_not_run = self.only_told_not_run.entry(key.to_owned()).or_insert(true);
        *reported_not_run &= not_run;
    }

    /// Checks that no call ran all of whose attempts were reported as not executed.
    pub fn on_final_calls(&mut self) {
        let misreported: Vec<String> = self
            .only_told_not_run
            .iter()
            .filter(|(key, reported_not_run)| **reported_not_run && self.runs.contains_key(*key))
            .map(|(key, _)| key.clone())
            .collect();
        if !misreported.is_empty() {
            self.report(
                "not-run-is-true",
                format!("calls {misreported:?} ran but were reported as not executed"),
            );
        }
    }

    /// Checks a proxy's view of endpoints after a change.
    pub fn on_endpoints(&mut self, proxy: usize, process: u64, view: &EndpointView) {
        let seen = self.seen_leaving.entry((proxy, process)).or_default();
        let mut live_again = None;
        for endpoint in view.endpoints() {
            let mark = LeavingMark { key: endpoint.key.clone(), incarnation: endpoint.incarnation };
            match endpoint.state {
                EndpointState::Leaving => {
                    seen.insert(mark);
                }
                EndpointState::Live if seen.contains(&mark) => {
                    live_again = Some(format!("proxy {proxy} sees {:?} live again", endpoint.key));
                }
                EndpointState::Live => {}
            }
        }
        if let Some(details) = live_again {
            self.report("leaving-stays", details);
        }
    }

    /// Returns the highest generation whose acceptance was acknowledged to an operator.
    pub fn newest_accepted_generation(&self) -> u64 {
        self.accepted_generations.keys().next_back().copied().unwrap_or(0)
    }
}
