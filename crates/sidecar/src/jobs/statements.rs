//! What the upstream states of itself with its answers.

use super::Jobs;
use crate::dialect::UpstreamStatement;
use crate::Millis;
use admission::JobId;
use http1::Response;
use mesh::{CallRate, Incarnation};
use statements::RateStatement;
use tracing::{info, warn};

impl Jobs {
    /// Records what the upstream states with the answer to a job. What another incarnation states
    /// is ignored.
    pub fn note_statement(
        &mut self,
        id: JobId,
        statement: UpstreamStatement,
        answer: &Response,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let sent_at = job.started.unwrap_or(now);
        let is_current = self.is_current(job.given_to.as_ref());
        if answer.status == super::WRONG_INSTANCE_STATUS || !is_current {
            return;
        }
        self.note_rate(statement.rate, sent_at, now);
    }

    /// The rate limit that the upstream states.
    pub fn stated_rate(&self) -> Option<CallRate> {
        self.stated_rate.rate()
    }

    pub(super) fn is_current(&self, incarnation: Option<&Incarnation>) -> bool {
        match (incarnation, self.gate.incarnation()) {
            (Some(given_to), Some(current)) => given_to.may_equal(current),
            _ => false,
        }
    }

    fn note_rate(&mut self, statement: RateStatement, sent_at: Millis, now: Millis) {
        if statement == RateStatement::Invalid && self.statements_logged.allows(now) {
            warn!(instance = ?self.gate.id(), in_force = ?self.log_rate(), "rate_limit_invalid");
        }
        let previous = self.log_rate();
        let changed = self.stated_rate.note(statement, sent_at, now);
        if changed && self.statements_logged.allows(now) {
            let (running, queued) = self.load();
            info!(
                instance = ?self.gate.id(), per_s = ?self.log_rate(), ?previous, running, queued,
                "rate_limit_stated"
            );
        }
    }

    fn log_rate(&self) -> Option<f64> {
        self.stated_rate.rate().map(CallRate::per_s)
    }
}
