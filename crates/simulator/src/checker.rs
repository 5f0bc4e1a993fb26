//! The invariants of the brief, checked whenever something happens that could break one.

use bundle::{Bundle, Digest};
use endpoints::{EndpointState, EndpointView, LeavingMark};
use rollout::{Accepted, ConfigMachine};
use std::collections::{BTreeMap, BTreeSet};

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Stable name of the invariant.
    pub invariant: &'static str,
    /// What happened.
    pub details: String,
    /// When, virtual milliseconds.
    pub at_ms: u64,
}

/// Everything that must stay true.
#[derive(Default)]
pub(crate) struct Checker {
    pub now_ms: u64,
    pub violations: Vec<Violation>,
    /// Command at each log index, by digest.
    applied: BTreeMap<u64, Digest>,
    /// Content of each generation.
    generations: BTreeMap<u64, Digest>,
    /// Highest generation each proxy ever had in force.
    in_force: BTreeMap<usize, u64>,
    /// Digests accepted under each version.
    versions: BTreeMap<u64, Digest>,
    /// What operators were told was accepted.
    promised: BTreeMap<u64, Digest>,
    /// Generations made by each request.
    made_by: BTreeMap<String, BTreeSet<u64>>,
    /// Requests whose execution made something, from the replicas.
    executed: BTreeSet<String>,
    /// Newest revision that any replica applied.
    newest_revision: u64,
    /// Runs of each keyed call.
    runs: BTreeMap<String, u32>,
    /// Keys all of whose tries were told not-run so far.
    told_not_run: BTreeMap<String, bool>,
    /// Incarnations each proxy process saw leaving.
    seen_leaving: BTreeMap<(usize, u64), BTreeSet<LeavingMark>>,
}

impl Checker {
    pub fn violate(&mut self, invariant: &'static str, what: String) {
        self.violations.push(Violation { invariant, details: what, at_ms: self.now_ms });
    }

    /// A replica applied a command.
    pub fn on_apply(&mut self, replica: u64, index: u64, command: &[u8]) {
        let digest = Digest::of(command);
        let known = *self.applied.entry(index).or_insert(digest);
        if known != digest {
            self.violate("log-agreement", format!("replica {replica} differs at index {index}"));
        }
    }

    /// A replica's history after applying.
    pub fn on_history(&mut self, replica: u64, machine: &ConfigMachine) {
        let Some(record) = machine.history().next_back() else { return };
        let (generation, digest) = (record.generation, record.digest);
        let known = *self.generations.entry(generation).or_insert(digest);
        if known != digest {
            let what = format!("replica {replica} has another content for generation {generation}");
            self.violate("one-content-per-generation", what);
        }
    }

    /// A proxy put a configuration in force.
    pub fn on_in_force(&mut self, proxy: usize, generation: u64, bundle: &Bundle) {
        let held = self.in_force.get(&proxy).copied().unwrap_or(0);
        if generation < held {
            let what = format!("proxy {proxy} went from generation {held} to {generation}");
            self.violate("never-back", what);
        }
        self.in_force.insert(proxy, held.max(generation));
        if let Some(problem) = bundle.check().first() {
            self.violate("no-dangling-reference", format!("proxy {proxy}: {problem}"));
        }
        let empty = Bundle::default().digest();
        let accepted = self.generations.get(&generation).copied();
        let expected = if generation == 0 { Some(empty) } else { accepted };
        if expected != Some(bundle.digest()) {
            let what = format!(
                "proxy {proxy} has {:?} in force as generation {generation}, accepted was {expected:?}",
                bundle.digest()
            );
            self.violate("all-or-nothing", what);
        }
    }

    /// A leader answered a relay though no quorum had answered it for so long.
    pub fn on_stale_leader(&mut self, replica: u64, age_ms: Option<u64>) {
        let what =
            format!("replica {replica} answered as leader, quorum contact {age_ms:?} ms ago");
        self.violate("leader-has-a-quorum", what);
    }

    /// A replica executed an operator's request, and made something.
    pub fn on_executed(&mut self, request_id: &str, revision: u64) {
        self.executed.insert(request_id.to_owned());
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Newest revision that any replica has applied: no read that begins now may return less.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// Control confirmed to a relay that `revision` is current, in a read that began when
    /// `floor` was the newest.
    pub fn on_confirmed_read(&mut self, replica: u64, floor: u64, revision: u64) {
        if revision < floor {
            let what = format!("replica {replica} confirmed {revision} after {floor} was applied");
            self.violate("reads-are-current", what);
        }
    }

    /// An operator was told that a request was refused.
    pub fn on_refused(&mut self, request_id: &str) {
        if self.executed.contains(request_id) {
            let what = format!("request {request_id} was executed, then told refused");
            self.violate("resend-gets-its-answer", what);
        }
    }

    /// An operator was told that a request was accepted.
    pub fn on_accepted(&mut self, request_id: &str, digest: Digest, accepted: &Accepted) {
        match accepted {
            Accepted::Submitted { version, digest } => {
                let known = *self.versions.entry(*version).or_insert(*digest);
                if known != *digest {
                    let what = format!("version {version} was accepted with two contents");
                    self.violate("one-winner-per-version", what);
                }
            }
            Accepted::Rolled { generation } | Accepted::Withdrawn { generation, .. } => {
                self.promised.insert(*generation, digest);
                let made = self.made_by.entry(request_id.to_owned()).or_default();
                made.insert(*generation);
                if made.len() > 1 {
                    let what = format!("request {request_id} made generations {made:?}");
                    self.violate("resend-executes-once", what);
                }
            }
            _ => {}
        }
    }

    /// The state at the end must hold everything that was promised, each request once.
    pub fn on_final_state(&mut self, machine: &ConfigMachine) {
        let history: BTreeMap<u64, Digest> =
            machine.history().map(|record| (record.generation, record.digest)).collect();
        let lost: Vec<u64> = self
            .promised
            .iter()
            .filter(|(generation, digest)| history.get(generation) != Some(digest))
            .map(|(generation, _)| *generation)
            .collect();
        if !lost.is_empty() {
            self.violate("accepted-is-kept", format!("accepted generations {lost:?} are lost"));
        }
    }

    /// The number of generations must be the number of requests that made one.
    pub fn on_final_count(&mut self, generations: u64, requests: u64) {
        if generations > requests {
            let what = format!("{generations} generations from {requests} requests");
            self.violate("resend-executes-once", what);
        }
    }

    /// A proxy sent a keyed call to a back end, which ran it.
    pub fn on_run(&mut self, key: &str) {
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        let count = *runs;
        if count > 1 {
            self.violate("at-most-once", format!("call {key} ran {count} times"));
        }
    }

    /// A caller was told the verdict of a try.
    pub fn on_told(&mut self, key: &str, not_run: bool) {
        let only_not_run = self.told_not_run.entry(key.to_owned()).or_insert(true);
        *only_not_run &= not_run;
    }

    /// No call that was only ever told not-run may have run.
    pub fn on_final_calls(&mut self) {
        let mistold: Vec<String> = self
            .told_not_run
            .iter()
            .filter(|(key, only_not_run)| **only_not_run && self.runs.contains_key(*key))
            .map(|(key, _)| key.clone())
            .collect();
        if !mistold.is_empty() {
            self.violate("not-run-is-true", format!("calls {mistold:?} ran, told not-run"));
        }
    }

    /// A proxy's view of endpoints changed.
    pub fn on_endpoints(&mut self, proxy: usize, process: u64, view: &EndpointView) {
        let seen = self.seen_leaving.entry((proxy, process)).or_default();
        let mut broken = None;
        for endpoint in view.endpoints() {
            let mark = LeavingMark { key: endpoint.key.clone(), incarnation: endpoint.incarnation };
            match endpoint.state {
                EndpointState::Leaving => {
                    seen.insert(mark);
                }
                EndpointState::Live if seen.contains(&mark) => {
                    broken = Some(format!("proxy {proxy} sees {:?} live again", endpoint.key));
                }
                EndpointState::Live => {}
            }
        }
        if let Some(what) = broken {
            self.violate("leaving-stays", what);
        }
    }

    /// Highest generation that an operator was promised.
    pub fn newest_promised(&self) -> u64 {
        self.promised.keys().next_back().copied().unwrap_or(0)
    }
}
