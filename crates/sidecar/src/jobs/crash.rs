//! Whether a run that ended without an answer is one lost answer, or the end of the upstream.
//!
//! An upstream that lost one answer still takes connections. So the job is held, its slot taken,
//! until a connection was tried: some milliseconds on one machine. Senders that were told at once
//! would carry what crashed this upstream to the next one before anybody knew. An upstream ends bit
//! by bit, and may take a connection while it does: so one that was taken is looked at once more.

use super::{JobAction, Jobs, UpstreamEnd};
use crate::Millis;
use admission::JobId;
use http1::ExchangeError;
use mesh::{Fingerprint, Incarnation};

/// Longest wait for the connection that is tried, milliseconds. An upstream that ended refuses it
/// at once; one that neither takes nor refuses it is not known to have ended.
const LONGEST_PROBE_MS: u64 = 100;

/// From a connection that was taken to the second look, milliseconds: longer than a process takes to
/// close what it holds; stand-ins of the soak closed their listener up to 2 ms late.
const SECOND_LOOK_MS: u64 = 5;

/// Runs that ended without an answer, and what is known of the upstream.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    held: Vec<(JobId, ExchangeError)>,
    probing_since: Option<Millis>,
    /// When the connection that was taken is looked at once more.
    second_look_at: Option<Millis>,
    /// Whether this is the second look.
    again: bool,
    /// The incarnation that is known to have ended.
    ended_instance: Option<Incarnation>,
}

impl CrashWatch {
    /// Whether an incarnation is known to have ended.
    pub fn has_ended(&self, instance: Option<&Incarnation>) -> bool {
        instance.is_some() && instance == self.ended_instance.as_ref()
    }

    /// Takes in that an incarnation was heard of: if it was taken for ended, it was not.
    pub fn note_registered(&mut self, instance: Option<&Incarnation>) {
        if self.has_ended(instance) {
            self.ended_instance = None;
        }
    }
}

impl Jobs {
    /// Takes in that a run ended without a whole answer.
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
        self.crash.held.push((id, error));
        if self.crash.probing_since.is_some() {
            return Vec::new();
        }
        self.crash.probing_since = Some(now);
        self.crash.again = false;
        vec![JobAction::Probe { again: false }]
    }

    /// Takes in whether the upstream took a connection after runs had ended without an answer.
    pub fn probed(&mut self, taken: bool, now: Millis) -> Vec<JobAction> {
        if self.crash.probing_since.is_none() {
            return Vec::new();
        }
        if taken && !self.crash.again {
            self.crash.second_look_at = Some(now + SECOND_LOOK_MS);
            return Vec::new();
        }
        self.conclude(taken, now)
    }

    fn conclude(&mut self, alive: bool, now: Millis) -> Vec<JobAction> {
        self.crash.probing_since = None;
        self.crash.second_look_at = None;
        if !alive {
            self.note_upstream_ended(now);
        }
        let held = std::mem::take(&mut self.crash.held);
        let finish = |(id, error)| self.finish(id, UpstreamEnd::Failed(error), now);
        held.into_iter().flat_map(finish).collect()
    }

    fn note_upstream_ended(&mut self, now: Millis) {
        let Some(instance) = self.gate.incarnation().cloned() else {
            return;
        };
        let running = self.jobs.values().filter(|job| job.started.is_some());
        let running: Vec<Fingerprint> = running.map(|job| self.fingerprint(&job.request)).collect();
        // Under its id alone, a second end would be taken for the first, told twice.
        self.poison.upstream_ended(&instance.name(), &running, now);
        // Its peers must not take it for idle: it refuses at once, and would be tried first.
        self.instance_changed |= self.gate.on_crash(&instance.id);
        self.crash.ended_instance = Some(instance);
    }

    /// Looks once more, or gives up waiting for the connection that is tried.
    pub(super) fn tick_probe(&mut self, now: Millis) -> Vec<JobAction> {
        let due = |at: Option<Millis>| at.is_some_and(|at| at <= now);
        if due(self.crash.probing_since.map(|since| since + LONGEST_PROBE_MS)) {
            return self.conclude(true, now);
        }
        if !due(self.crash.second_look_at) {
            return Vec::new();
        }
        self.crash.second_look_at = None;
        self.crash.again = true;
        vec![JobAction::Probe { again: true }]
    }

    pub(super) fn next_probe_tick(&self) -> Option<Millis> {
        let expiry = self.crash.probing_since.map(|since| since + LONGEST_PROBE_MS);
        self.crash.second_look_at.into_iter().chain(expiry).min()
    }
}
