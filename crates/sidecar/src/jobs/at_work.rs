//! What the upstream works on, by the ids of calls, and who asks for what a run asks for.

use super::Jobs;
use crate::calls::Initiator;

/// Between the id of a run and what tells its calls apart.
const ID_SEPARATOR: char = '.';

/// Jobs of one id that the upstream works on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AtWork {
    jobs: u32,
    /// Whether another upstream had the call before.
    repeated: bool,
}

impl AtWork {
    /// Notes that a job begins; `repeat`: another upstream had the call before.
    pub fn note_start(&mut self, repeat: bool) {
        self.jobs += 1;
        self.repeated |= repeat;
    }
}

impl Jobs {
    /// Notes that a job of this id is over.
    pub(super) fn forget_work(&mut self, attempt_id: &str) {
        let Some(work) = self.at_work.get_mut(attempt_id) else {
            return;
        };
        work.jobs -= 1;
        if work.jobs == 0 {
            self.at_work.remove(attempt_id);
        }
    }

    /// Who asks for a call of this id, given on this machine. Ids of calls made by a run are those
    /// of the run with a part of their own behind a dot, as hierarchical trace ids are; an id that
    /// extends none of a run under way here is taken for a caller's.
    pub fn initiator(&self, attempt_id: &str) -> Initiator {
        let run = attempt_id.rsplit_once(ID_SEPARATOR).map(|(run, _)| run);
        match run.and_then(|run| self.at_work.get(run)) {
            Some(AtWork { repeated: true, .. }) => Initiator::RepeatedRun,
            Some(_) => Initiator::LocalRun,
            None => Initiator::Caller,
        }
    }
}
