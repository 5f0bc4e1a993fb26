//! Automatic advancing of rollouts.

use crate::{Command, ConfigMachine, SpreadSummary};

/// Advances a rollout once its stages have been healthy for long enough.
#[derive(Clone, Debug, Default)]
pub struct Advancer {
    healthy_stage: Option<HealthyStage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HealthyStage {
    generation: u64,
    stage: u32,
    since_ms: u64,
}

impl Advancer {
    /// Returns the command to propose once all reachable proxies in the reached stages have had the
    /// generation applied without errors for the time configured in the rollout. A silent relay, or
    /// the absence of relays, counts as unhealthy.
    pub fn tick(
        &mut self,
        now_ms: u64,
        machine: &ConfigMachine,
        spread: &SpreadSummary,
    ) -> Option<Command> {
        let Some((generation, stage, seconds)) = machine.automatic_advance() else {
            self.healthy_stage = None;
            return None;
        };
        let healthy = spread.errors == 0
            && spread.silent_relays.is_empty()
            && spread.relays > 0
            && spread.staged == spread.staged_applied;
        if !healthy {
            self.healthy_stage = None;
            return None;
        }
        let current = self
            .healthy_stage
            .filter(|previous| previous.generation == generation && previous.stage == stage)
            .unwrap_or(HealthyStage { generation, stage, since_ms: now_ms });
        self.healthy_stage = Some(current);
        let healthy_long_enough =
            now_ms.saturating_sub(current.since_ms) >= u64::from(seconds) * 1_000;
        healthy_long_enough.then_some(Command::Advance { generation, from_stage: stage })
    }
}
