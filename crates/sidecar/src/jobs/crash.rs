//! Distinguishes a single lost answer from a crash of the upstream.
//!
//! An upstream that lost only one answer still accepts connections. A job that ended without an
//! answer is therefore held back, with its slot occupied, until a connection attempt has shown
//! whether the upstream is alive; this takes a few milliseconds on one machine. If the senders were
//! notified at once, they would retry the request that crashed this upstream at the next one before
//! the crash was known. A terminating process closes its sockets one after the other and may still
//! accept a connection, so a successful probe is repeated once.

use super::{JobAction, Jobs, UpstreamEnd};
use crate::Millis;
use admission::JobId;
use http1::ExchangeError;
use mesh::{Fingerprint, Incarnation};

/// Longest wait for the result of a probe, in milliseconds. A crashed upstream refuses the
/// connection immediately; if it neither accepts nor refuses, a crash is not assumed.
const PROBE_TIMEOUT_MS: u64 = 100;

/// Delay between a successful probe and the second one, in milliseconds: longer than a process
/// takes to close its sockets. In soak tests, processes closed their listener up to 2 ms late.
const SECOND_PROBE_DELAY_MS: u64 = 5;

/// Jobs that ended without an answer, and the state of the probe for them.
#[derive(Debug, Default)]
pub(super) struct CrashDetector {
    pending: Vec<(JobId, ExchangeError)>,
    probing_since: Option<Millis>,
    /// When the second probe is due, after the first one succeeded.
    second_probe_at: Option<Millis>,
    /// Whether the current probe is the second one.
    second_probe: bool,
    /// The last incarnation that is known to have ended.
    ended_instance: Option<Incarnation>,
}

impl CrashDetector {
    /// Whether an incarnation is known to have ended.
    pub fn has_ended(&self, instance: Option<&Incarnation>) -> bool {
        instance.is_some() && instance == self.ended_instance.as_ref()
    }

    /// Records a registration message from an incarnation, which is then no longer considered ended.
    pub fn note_registered(&mut self, instance: Option<&Incarnation>) {
        if self.has_ended(instance) {
            self.ended_instance = None;
        }
    }
}

impl Jobs {
    /// Handles a job that ended without a complete answer.
    pub(super) fn ended_unanswered(
        &mut self,
        id: JobId,
        error: ExchangeError,
        now: Millis,
    ) -> Vec<JobAction> {
        let given_to = self.jobs.get(&id).and_then(|job| job.given_to.as_ref());
        if self.crash.has_ended(given_to) {
            return self.finish(id, UpstreamEnd::Failed(error), now);
        }
        self.crash.pending.push((id, error));
        if self.crash.probing_since.is_some() {
            return Vec::new();
        }
        self.crash.probing_since = Some(now);
        self.crash.second_probe = false;
        vec![JobAction::Probe { again: false }]
    }

    /// Handles the result of a probe: whether the upstream accepted a connection.
    pub fn probed(&mut self, accepted: bool, now: Millis) -> Vec<JobAction> {
        if self.crash.probing_since.is_none() {
            return Vec::new();
        }
        if accepted && !self.crash.second_probe {
            self.crash.second_probe_at = Some(now + SECOND_PROBE_DELAY_MS);
            return Vec::new();
        }
        self.finish_probe(accepted, now)
    }

    fn finish_probe(&mut self, alive: bool, now: Millis) -> Vec<JobAction> {
        self.crash.probing_since = None;
        self.crash.second_probe_at = None;
        if !alive {
            self.note_upstream_ended(now);
        }
        let pending = std::mem::take(&mut self.crash.pending);
        let finish = |(id, error)| self.finish(id, UpstreamEnd::Failed(error), now);
        pending.into_iter().flat_map(finish).collect()
    }

    fn note_upstream_ended(&mut self, now: Millis) {
        let Some(instance) = self.gate.incarnation().cloned() else {
            return;
        };
        let running = self.jobs.values().filter(|job| job.started.is_some());
        let running: Vec<Fingerprint> = running.map(|job| self.fingerprint(&job.request)).collect();
        // Identified by the id alone, a second crash under the same id would be mistaken for a
        // duplicate report of the first.
        self.poison.upstream_ended(&instance.name(), &running, now);
        // Peers must learn of it: an ended upstream refuses immediately, would look idle, and would
        // be tried first.
        self.instance_changed |= self.gate.on_crash(&instance.id);
        self.crash.ended_instance = Some(instance);
    }

    /// Starts the second probe when it is due, or gives up a probe that got no result in time.
    pub(super) fn tick_probe(&mut self, now: Millis) -> Vec<JobAction> {
        let due = |at: Option<Millis>| at.is_some_and(|at| at <= now);
        if due(self.crash.probing_since.map(|since| since + PROBE_TIMEOUT_MS)) {
            return self.finish_probe(true, now);
        }
        if !due(self.crash.second_probe_at) {
            return Vec::new();
        }
        self.crash.second_probe_at = None;
        self.crash.second_probe = true;
        vec![JobAction::Probe { again: true }]
    }

    pub(super) fn next_probe_tick(&self) -> Option<Millis> {
        let expiry = self.crash.probing_since.map(|since| since + PROBE_TIMEOUT_MS);
        self.crash.second_probe_at.into_iter().chain(expiry).min()
    }
}
