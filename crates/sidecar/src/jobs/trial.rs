//! Call outcomes during a canary of the service, and whether the version of the local upstream may
//! receive calls.

use crate::Millis;
use mesh::{CallClass, ClassEvidence, ClassOutcomes, Track, VersionEvidence, VersionPolicy};
use std::collections::BTreeMap;

/// Limit on the number of call classes; a service uses only a few routes.
const MAX_CLASSES: usize = 16;
/// Time between two reports, in milliseconds; a bad version is detected within a few seconds.
const REPORT_INTERVAL_MS: u64 = 400;

/// The part of one upstream in the canary of its service.
#[derive(Debug, Default)]
pub(super) struct CanaryTrial {
    policy: Option<VersionPolicy>,
    classes: BTreeMap<CallClass, ClassOutcomes>,
    changed: bool,
    reported_at: Millis,
}

impl CanaryTrial {
    fn run(&self) -> Option<u64> {
        self.policy.as_ref()?.candidate.as_ref().map(|candidate| candidate.run)
    }

    /// Sets which versions may receive calls. The counts start anew with each canary.
    pub fn set_policy(&mut self, policy: Option<VersionPolicy>) {
        let former = self.run();
        self.policy = policy;
        if self.run() != former {
            self.classes.clear();
            self.changed = false;
        }
    }

    /// Whether upstreams of this version may not receive calls.
    pub fn is_barred(&self, version: &str) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.track(version) == Track::Barred)
    }

    fn outcomes(&mut self, class: CallClass) -> Option<&mut ClassOutcomes> {
        self.run()?;
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            return None;
        }
        self.changed = true;
        Some(self.classes.entry(class).or_default())
    }

    /// Records a call that the upstream failed.
    pub fn note_failed(&mut self, class: CallClass) {
        if let Some(outcomes) = self.outcomes(class) {
            outcomes.failed += 1;
        }
    }

    /// Records the duration of an answered call.
    pub fn note_answered(&mut self, class: CallClass, milliseconds: u64) {
        if let Some(outcomes) = self.outcomes(class) {
            outcomes.note_answered(milliseconds);
        }
    }

    /// The evidence to report now for an upstream of this service and version, if it is due.
    pub fn due_report(
        &mut self,
        service: &str,
        version: &str,
        now: Millis,
    ) -> Option<VersionEvidence> {
        let run = self.run()?;
        if !self.changed || now < self.reported_at + REPORT_INTERVAL_MS {
            return None;
        }
        self.changed = false;
        self.reported_at = now;
        let of_class = |(class, outcomes): (&CallClass, &ClassOutcomes)| ClassEvidence {
            class: *class,
            outcomes: outcomes.clone(),
        };
        Some(VersionEvidence {
            run,
            service: service.to_owned(),
            version: version.to_owned(),
            classes: self.classes.iter().map(of_class).collect(),
        })
    }
}
