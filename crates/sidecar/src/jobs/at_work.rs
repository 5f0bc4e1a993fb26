//! Tracks the running jobs by call id, to recognise the calls that these jobs make.

use super::Jobs;
use crate::calls::Initiator;

/// Separates the id of a job from the suffix that distinguishes the calls it makes.
const ID_SEPARATOR: char = '.';

/// Running jobs that share one call id.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ActiveRuns {
    jobs: u32,
    /// Whether any of the jobs is a retry of a call that another upstream received before.
    repeated: bool,
}

impl ActiveRuns {
    /// Records the start of a job; `repeat` is true if another upstream received the call before.
    pub fn note_start(&mut self, repeat: bool) {
        self.jobs += 1;
        self.repeated |= repeat;
    }
}

impl Jobs {
    /// Records that a job with this id has ended.
    pub(super) fn release_run(&mut self, attempt_id: &str) {
        let Some(work) = self.active_runs.get_mut(attempt_id) else {
            return;
        };
        work.jobs -= 1;
        if work.jobs == 0 {
            self.active_runs.remove(attempt_id);
        }
    }

    /// Determines the origin of a call made on this machine from its id. Calls made by a job carry
    /// the id of the job followed by a dot and a suffix, like hierarchical trace ids. If no running
    /// job has the prefix as its id, the call is attributed to a caller.
    pub fn initiator(&self, attempt_id: &str) -> Initiator {
        let run = attempt_id.rsplit_once(ID_SEPARATOR).map(|(run, _)| run);
        match run.and_then(|run| self.active_runs.get(run)) {
            Some(ActiveRuns { repeated: true, .. }) => Initiator::RepeatedRun,
            Some(_) => Initiator::LocalRun,
            None => Initiator::Caller,
        }
    }
}
