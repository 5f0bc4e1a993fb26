//! The rule that advances a rollout by itself.

use crate::{Command, ConfigMachine, SpreadSummary};

/// Remembers since when the current stage has been healthy.
#[derive(Clone, Debug, Default)]
pub struct Advancer {
    healthy_since: Option<HealthyStage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HealthyStage {
    generation: u64,
    stage: u32,
    since_ms: u64,
}

impl Advancer {
    /// Returns the command to propose when the stage was applied by all reachable proxies in it,
    /// without an error, for the time the rollout asks for.
    pub fn tick(
        &mut self,
        now_ms: u64,
        machine: &ConfigMachine,
        spread: &SpreadSummary,
    ) -> Option<Command> {
        let Some((generation, stage, seconds)) = machine.self_advancing() else {
            self.healthy_since = None;
            return None;
        };
        let healthy = spread.errors == 0
            && spread.silent_relays.is_empty()
            && spread.relays > 0
            && spread.staged == spread.staged_applied;
        if !healthy {
            self.healthy_since = None;
            return None;
        }
        let current = self
            .healthy_since
            .filter(|held| held.generation == generation && held.stage == stage)
            .unwrap_or(HealthyStage { generation, stage, since_ms: now_ms });
        self.healthy_since = Some(current);
        let waited = now_ms.saturating_sub(current.since_ms) >= u64::from(seconds) * 1_000;
        waited.then_some(Command::Advance { generation, from_stage: stage })
    }
}
