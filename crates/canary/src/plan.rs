//! When a canary goes on: a small share for most of its time, a larger one for a moment, a small one
//! again until that was judged, then all calls, and the end once the former versions have none left.
//!
//! The version may turn bad at any moment, so what it has been given by then is what counts. What may be
//! given to a bad one pays for the evidence before the step to all calls, and for about a second of all
//! calls, until what they show has come and word of it is out. So that step waits while there is doubt.

use crate::analysis::{Flaw, Verdict};
use crate::Millis;
use mesh::WHOLE_PERMILLE;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// A canary of this length has steps of the lengths below; a shorter one has shorter steps.
const FULL_STEPS_MS: f64 = 16_000.0;
/// Length of the step with a larger share, milliseconds.
const RAMP_MS: f64 = 1_000.0;
/// Time after it until what it showed was told and judged, milliseconds.
const SETTLE_MS: f64 = 800.0;
/// Longest wait for the former versions to have no calls left, milliseconds: several times as long
/// as calls take.
const SHIFT_MS: f64 = 1_500.0;
/// Shortest such wait: every sidecar heard of the step, and what it had sent has arrived, ms.
const LEAST_SHIFT_MS: Millis = 500;
/// Time left at the end, for a leader that fails meanwhile and for readers that look seldom, ms.
const MARGIN_MS: f64 = 2_000.0;
/// The same where the step to all calls was put off for doubt, ms.
const LEAST_MARGIN_MS: f64 = 500.0;
/// Part of what a bad version may be given at most that the small share uses.
const TRIAL_PART: f64 = 0.35;
/// The larger share, in a thousand.
const RAMP_PERMILLE: u16 = 200;
/// Fewest calls that must have ended at the new version before it is given all.
const LEAST_ENDED: u32 = 20;
/// Part of the slots of the former versions that the new one must have to take over.
const LEAST_SLOTS: f64 = 0.75;

/// How far a canary is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Readable, Writable,
)]
#[serde(rename_all = "snake_case")]
#[speedy(tag_type = u8)]
pub enum Phase {
    /// The new version gets a small share.
    Trial,
    /// It gets a larger one.
    Ramp,
    /// It gets the small one again, until the evidence is clear.
    #[speedy(tag = 5)]
    Settle,
    /// It gets all calls; the former versions finish theirs.
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
    /// Whether it goes on.
    pub fn is_running(self) -> bool {
        self < Phase::Promoted
    }

    /// One lower-case word.
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

/// What a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// The phase it is in.
    pub phase: Phase,
    /// Time since the canary began, milliseconds.
    pub elapsed_ms: Millis,
    /// Time since the phase began, milliseconds.
    pub in_phase_ms: Millis,
    /// The verdict on its calls.
    pub verdict: Verdict,
    /// Calls that ended at the new version.
    pub candidate_ended: u32,
    /// Slots of upstreams of the new version that are ready.
    pub candidate_slots: u32,
    /// Slots of ready upstreams of other versions.
    pub stable_slots: u32,
    /// Calls that upstreams of other versions still have.
    pub stable_calls: u32,
}

/// Why a step is taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StepReason {
    /// It is time, and nothing speaks against it.
    Due,
    /// The version is worse than those in use.
    Flawed(Flaw),
    /// The time is over, and more speaks against the version than for it.
    InDoubt(Flaw),
    /// The time is over, and the version has too few slots or too few calls ended there.
    NotReady,
}

/// The next phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Which.
    pub phase: Phase,
    /// Why.
    pub reason: StepReason,
}

/// The plan of one canary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    duration_ms: Millis,
    /// Part of all calls that a bad version may be given at most, 0 to 1.
    exposed_part: f64,
}

impl Plan {
    /// A canary that must have ended after `duration_ms`; a bad version may be given `exposed_part`
    /// of all calls until then.
    pub fn new(duration_ms: Millis, exposed_part: f64) -> Self {
        Plan { duration_ms, exposed_part }
    }

    /// Calls that go to the new version in a phase, in a thousand.
    pub fn permille(&self, phase: Phase) -> u16 {
        let trial = self.exposed_part * TRIAL_PART * f64::from(WHOLE_PERMILLE);
        match phase {
            Phase::Trial | Phase::Settle => (trial.round() as u16).clamp(1, RAMP_PERMILLE),
            Phase::Ramp => RAMP_PERMILLE,
            Phase::Shift | Phase::Promoted => WHOLE_PERMILLE,
            Phase::RolledBack => 0,
        }
    }

    fn scaled(&self, step_ms: f64) -> Millis {
        let scale = (self.duration_ms as f64 / FULL_STEPS_MS).min(1.0);
        (step_ms * scale) as Millis
    }

    fn ramp_at(&self) -> Millis {
        let evidence = self.scaled(RAMP_MS) + self.scaled(SETTLE_MS);
        let end = self.scaled(SHIFT_MS) + self.scaled(MARGIN_MS);
        self.duration_ms.saturating_sub(evidence + end)
    }

    /// Until when the step to all calls may be put off.
    fn latest_shift_at(&self) -> Millis {
        let end = self.scaled(SHIFT_MS) + self.scaled(LEAST_MARGIN_MS);
        self.duration_ms.saturating_sub(end)
    }

    /// The step that is to be taken now, if any.
    pub fn next(&self, facts: &Facts) -> Option<Step> {
        if !facts.phase.is_running() {
            return None;
        }
        if let Verdict::Bad(flaw) = facts.verdict {
            return step(Phase::RolledBack, StepReason::Flawed(flaw));
        }
        let is_over = facts.elapsed_ms >= self.duration_ms;
        match facts.phase {
            Phase::Trial if facts.elapsed_ms >= self.ramp_at() && has_room(facts) => {
                step(Phase::Ramp, StepReason::Due)
            }
            Phase::Ramp if facts.in_phase_ms >= self.scaled(RAMP_MS) => {
                step(Phase::Settle, StepReason::Due)
            }
            Phase::Settle if has_room(facts) && facts.candidate_ended >= LEAST_ENDED => {
                self.settled(facts)
            }
            Phase::Trial | Phase::Settle if is_over => {
                step(Phase::RolledBack, StepReason::NotReady)
            }
            Phase::Shift if self.is_shifted(facts) => step(Phase::Promoted, StepReason::Due),
            _ => None,
        }
    }

    /// The step to all calls, once what the larger share showed is known.
    fn settled(&self, facts: &Facts) -> Option<Step> {
        if facts.in_phase_ms < self.scaled(SETTLE_MS) {
            return None;
        }
        let waits = facts.elapsed_ms < self.latest_shift_at();
        match facts.verdict {
            Verdict::Sound => step(Phase::Shift, StepReason::Due),
            _ if waits => None,
            Verdict::Unclear => step(Phase::Shift, StepReason::Due),
            Verdict::Doubtful(flaw) | Verdict::Bad(flaw) => {
                step(Phase::RolledBack, StepReason::InDoubt(flaw))
            }
        }
    }

    fn is_shifted(&self, facts: &Facts) -> bool {
        let least = LEAST_SHIFT_MS.min(self.scaled(SHIFT_MS));
        let idle = facts.stable_calls == 0 && facts.in_phase_ms >= least;
        idle || facts.in_phase_ms >= self.scaled(SHIFT_MS)
    }
}

fn step(phase: Phase, reason: StepReason) -> Option<Step> {
    Some(Step { phase, reason })
}

fn has_room(facts: &Facts) -> bool {
    let enough = f64::from(facts.candidate_slots) >= f64::from(facts.stable_slots) * LEAST_SLOTS;
    enough && facts.candidate_slots > 0
}
