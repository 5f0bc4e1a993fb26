//! What the upstream states of itself with its answers, and what that means for its calls.
//!
//! Every answer of the upstream passes this side first and every call passes it last, so a limit is
//! kept here without messages. A process that has just started knows of no statement; senders that
//! do tell it with their calls.

use super::{Job, JobAction, Jobs};
use crate::dialect::UpstreamStatement;
use crate::Millis;
use admission::JobId;
use http1::Response;
use mesh::{CallRate, HopRequest, Incarnation, LimitReport};
use statements::{RateStatement, StatedRate};
use tracing::{info, warn};

impl Jobs {
    /// Records what the upstream states with the answer to a job. What another incarnation states
    /// is ignored. Queued calls that a lower limit does not admit in time are refused.
    pub fn note_statement(
        &mut self,
        id: JobId,
        statement: UpstreamStatement,
        answer: &Response,
        now: Millis,
    ) -> Vec<JobAction> {
        let Some(job) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        if answer.status == super::WRONG_INSTANCE_STATUS {
            return Vec::new();
        }
        job.upstream_leaving = statement.leaving;
        let sent_at = job.started.unwrap_or(now);
        let given_to = job.given_to.clone();
        if !self.is_current(given_to.as_ref()) {
            return Vec::new();
        }
        if statement.leaving {
            self.note_leaving(given_to.as_ref(), now);
        }
        self.note_rate(statement.rate, sent_at, now)
    }

    /// The rate limit that the upstream states.
    pub fn stated_rate(&self) -> Option<CallRate> {
        self.stated_rate.rate()
    }

    /// Number of calls refused so far because of the limit that the upstream states.
    pub fn rate_refusals(&self) -> u64 {
        self.rate_refusals
    }

    /// Adopts the limit that the sender of a call knows of, unless the upstream has answered this
    /// process.
    pub(super) fn adopt_rate(&mut self, hop: &HopRequest, now: Millis) {
        let Some(rate) = hop.rate_limit.filter(|_| hop.instance.as_deref() == self.gate.id())
        else {
            return;
        };
        if self.stated_rate.adopt(rate) {
            info!(instance = ?self.gate.id(), per_s = rate.per_s(), "rate_limit_adopted");
            self.admission.set_stated_rate(Some(rate), now);
        }
    }

    /// Tells the sender of a job that the limit it knows of is not in force any more, which only an
    /// answer of the upstream to this process can show.
    pub(super) fn lifted(&self, job: &Job) -> Option<LimitReport> {
        let is_lifted = self.stated_rate.is_heard() && self.stated_rate.rate().is_none();
        (job.told_limit && is_lifted).then_some(LimitReport::Lifted)
    }

    /// Forgets the statements of the former incarnation when another one has taken over.
    pub(super) fn refresh_statements(&mut self, now: Millis) {
        if self.is_current(self.stated_by.as_ref()) {
            return;
        }
        self.stated_by = self.gate.incarnation().cloned();
        self.stated_rate = StatedRate::default();
        self.admission.set_stated_rate(None, now);
    }

    fn is_current(&self, incarnation: Option<&Incarnation>) -> bool {
        match (incarnation, self.gate.incarnation()) {
            (Some(incarnation), Some(current)) => incarnation.may_equal(current),
            _ => false,
        }
    }

    fn note_leaving(&mut self, incarnation: Option<&Incarnation>, now: Millis) {
        if incarnation.is_some_and(|incarnation| self.gate.on_leaving(incarnation, now)) {
            info!(instance = ?self.gate.id(), state = "draining", "endpoint_state");
            self.instance_changed = true;
        }
    }

    fn note_rate(
        &mut self,
        statement: RateStatement,
        sent_at: Millis,
        now: Millis,
    ) -> Vec<JobAction> {
        let previous = self.logged_rate();
        if statement == RateStatement::Invalid && self.statements_logged.allows(now) {
            warn!(instance = ?self.gate.id(), in_force = ?previous, "rate_limit_invalid");
        }
        if !self.stated_rate.note(statement, sent_at, now) {
            return Vec::new();
        }
        self.admission.set_stated_rate(self.stated_rate.rate(), now);
        if self.statements_logged.allows(now) {
            let (running, queued) = self.load();
            info!(
                instance = ?self.gate.id(), per_s = ?self.logged_rate(), ?previous, running,
                queued, "rate_limit_stated"
            );
        }
        self.refuse_unservable(now)
    }

    /// Refuses the queued calls that the stated limit does not admit in time.
    pub(super) fn refuse_unservable(&mut self, now: Millis) -> Vec<JobAction> {
        let unservable = self.admission.drop_unservable(now);
        let refuse = |id| self.refuse_queued(id, "rate_limit", now);
        unservable.into_iter().filter_map(refuse).collect()
    }

    fn logged_rate(&self) -> Option<f64> {
        self.stated_rate.rate().map(CallRate::per_s)
    }
}
