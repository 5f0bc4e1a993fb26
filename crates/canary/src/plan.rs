//! The schedule of a canary: a small share of calls for most of its time, a larger share for a moment,
//! the small share again until the outcomes of those calls are judged, then all calls, until the
//! previous versions have no calls left.
//!
//! The version may turn bad at any moment, so what matters is how many calls it has received by then.
//! The calls that a bad version may receive are spent on evidence before the step to all calls, and on
//! about one second of all calls, until their outcomes are reported and the rollback reaches the
//! sidecars. The step to all calls therefore waits while there is doubt.

use crate::analysis::{Flaw, Verdict};
use crate::Millis;
use mesh::WHOLE_PERMILLE;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Duration of a canary from which its steps have the lengths below; in a shorter canary they are
/// scaled down.
const FULL_DURATION_MS: f64 = 16_000.0;
/// Length of the step with the larger share, milliseconds.
const RAMP_MS: f64 = 1_000.0;
/// Time after that step until its outcomes are reported and judged, milliseconds.
const SETTLE_MS: f64 = 800.0;
/// Maximum wait until the previous versions have no calls left, milliseconds: several times the
/// duration of a call.
const MAX_SHIFT_MS: f64 = 1_500.0;
/// Minimum wait, milliseconds, after which every sidecar has received the step and the calls that it
/// sent before have arrived.
const MIN_SHIFT_MS: Millis = 500;
/// Time reserved at the end, milliseconds, for a leader that fails during it and for clients
/// that poll the result rarely.
const MARGIN_MS: f64 = 2_000.0;
/// Time reserved at the end if the step to all calls was delayed by doubt, milliseconds.
const MIN_MARGIN_MS: f64 = 500.0;
/// Fraction of the calls that a bad version may receive which the small share uses.
const TRIAL_FRACTION: f64 = 0.35;
/// The larger share, per mille.
const RAMP_PERMILLE: u16 = 200;
/// Minimum number of calls that must have ended at the new version before it receives all.
const MIN_ENDED: u32 = 20;
/// Minimum number of slots of the new version before it takes over, as a fraction of the slots of the
/// previous versions.
const MIN_SLOTS_FRACTION: f64 = 0.75;

/// The phase of a canary.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Readable, Writable,
)]
#[serde(rename_all = "snake_case")]
#[speedy(tag_type = u8)]
pub enum Phase {
    /// The new version receives a small share of calls.
    Trial,
    /// It receives a larger share.
    Ramp,
    /// It receives the small share again, until the evidence is clear.
    #[speedy(tag = 5)]
    Settle,
    /// It receives all new calls; the previous versions finish theirs.
    #[speedy(tag = 2)]
    Shift,
    /// It has taken over.
    #[speedy(tag = 3)]
    Promoted,
    /// It was rejected.
    #[speedy(tag = 4)]
    RolledBack,
}

impl Phase {
    /// Whether the canary has not ended.
    pub fn is_running(self) -> bool {
        self < Phase::Promoted
    }

    /// The name in lower case, as used in logs and requests.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Trial => "trial",
            Phase::Ramp => "ramp",
            Phase::Settle => "settle",
            Phase::Shift => "shift",
            Phase::Promoted => "promoted",
            Phase::RolledBack => "rolled-back",
        }
    }
}

/// The inputs of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// The current phase.
    pub phase: Phase,
    /// Time since the canary began, milliseconds.
    pub elapsed_ms: Millis,
    /// Time since the phase began, milliseconds.
    pub in_phase_ms: Millis,
    /// The verdict on the new version.
    pub verdict: Verdict,
    /// Calls that ended at the new version.
    pub candidate_ended: u32,
    /// Slots of ready upstreams of the new version.
    pub candidate_slots: u32,
    /// Slots of ready upstreams of other versions.
    pub stable_slots: u32,
    /// Calls in progress at upstreams of other versions.
    pub stable_calls: u32,
}

/// The reason of a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StepReason {
    /// It is due according to the plan, and there is no evidence against it.
    Due,
    /// The new version is worse than those in use.
    Flawed(Flaw),
    /// The canary ran out of time, and the evidence against the version outweighs that for it.
    InDoubt(Flaw),
    /// The canary ran out of time, and the version had too few slots or too few calls ended there.
    NotReady,
}

/// A step to the next phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The next phase.
    pub phase: Phase,
    /// Its reason.
    pub reason: StepReason,
}

/// The plan of one canary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    duration_ms: Millis,
    /// Maximum fraction of all calls that a bad version may receive, from 0 to 1.
    exposed_part: f64,
}

impl Plan {
    /// Creates the plan of a canary that must end within `duration_ms`, in which a bad version may
    /// receive `exposed_part` of all calls.
    pub fn new(duration_ms: Millis, exposed_part: f64) -> Self {
        Plan { duration_ms, exposed_part }
    }

    /// Share of calls that the new version receives in a phase, per mille.
    pub fn permille(&self, phase: Phase) -> u16 {
        let trial = self.exposed_part * TRIAL_FRACTION * f64::from(WHOLE_PERMILLE);
        match phase {
            Phase::Trial | Phase::Settle => (trial.round() as u16).clamp(1, RAMP_PERMILLE),
            Phase::Ramp => RAMP_PERMILLE,
            Phase::Shift | Phase::Promoted => WHOLE_PERMILLE,
            Phase::RolledBack => 0,
        }
    }

    fn scaled(&self, step_ms: f64) -> Millis {
        let scale = (self.duration_ms as f64 / FULL_DURATION_MS).min(1.0);
        (step_ms * scale) as Millis
    }

    fn ramp_at(&self) -> Millis {
        let evidence_ms = self.scaled(RAMP_MS) + self.scaled(SETTLE_MS);
        let end_ms = self.scaled(MAX_SHIFT_MS) + self.scaled(MARGIN_MS);
        self.duration_ms.saturating_sub(evidence_ms + end_ms)
    }

    /// Until when the step to all calls may be delayed.
    fn latest_shift_at(&self) -> Millis {
        let end_ms = self.scaled(MAX_SHIFT_MS) + self.scaled(MIN_MARGIN_MS);
        self.duration_ms.saturating_sub(end_ms)
    }

    /// The step to take now, if any.
    pub fn next(&self, facts: &Facts) -> Option<Step> {
        if !facts.phase.is_running() {
            return None;
        }
        if let Verdict::Bad(flaw) = facts.verdict {
            return step(Phase::RolledBack, StepReason::Flawed(flaw));
        }
        let out_of_time = facts.elapsed_ms >= self.duration_ms;
        match facts.phase {
            Phase::Trial if facts.elapsed_ms >= self.ramp_at() && has_capacity(facts) => {
                step(Phase::Ramp, StepReason::Due)
            }
            Phase::Ramp if facts.in_phase_ms >= self.scaled(RAMP_MS) => {
                step(Phase::Settle, StepReason::Due)
            }
            Phase::Settle if has_capacity(facts) && facts.candidate_ended >= MIN_ENDED => {
                self.after_settling(facts)
            }
            Phase::Trial | Phase::Settle if out_of_time => {
                step(Phase::RolledBack, StepReason::NotReady)
            }
            Phase::Shift if self.shift_is_complete(facts) => step(Phase::Promoted, StepReason::Due),
            _ => None,
        }
    }

    /// The step to all calls, once the outcomes of the larger share are known.
    fn after_settling(&self, facts: &Facts) -> Option<Step> {
        if facts.in_phase_ms < self.scaled(SETTLE_MS) {
            return None;
        }
        let may_wait = facts.elapsed_ms < self.latest_shift_at();
        match facts.verdict {
            Verdict::Sound => step(Phase::Shift, StepReason::Due),
            _ if may_wait => None,
            Verdict::Unclear => step(Phase::Shift, StepReason::Due),
            Verdict::Doubtful(flaw) | Verdict::Bad(flaw) => {
                step(Phase::RolledBack, StepReason::InDoubt(flaw))
            }
        }
    }

    fn shift_is_complete(&self, facts: &Facts) -> bool {
        let min_ms = MIN_SHIFT_MS.min(self.scaled(MAX_SHIFT_MS));
        let idle = facts.stable_calls == 0 && facts.in_phase_ms >= min_ms;
        idle || facts.in_phase_ms >= self.scaled(MAX_SHIFT_MS)
    }
}

fn step(phase: Phase, reason: StepReason) -> Option<Step> {
    Some(Step { phase, reason })
}

fn has_capacity(facts: &Facts) -> bool {
    let enough =
        f64::from(facts.candidate_slots) >= f64::from(facts.stable_slots) * MIN_SLOTS_FRACTION;
    enough && facts.candidate_slots > 0
}
