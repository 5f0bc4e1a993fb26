//! The fleet-wide retry budget: records calls and retries, checks retries against it, and logs its
//! use.

use super::call::Call;
use super::{CallId, Calls, Initiator};
use crate::Millis;
use tracing::info;

/// How long an upstream gets no hedges after its repeated runs made more calls than the retry
/// budget allows, milliseconds: one slice of the budget's window, after which the oldest retries
/// expire.
const HEDGES_BARRED_MS: u64 = 1_000;
const REPORT_INTERVAL_MS: u64 = 1_000;

impl Calls {
    /// Records a new call in the retry budget of its service.
    pub(super) fn note_request(&mut self, initiator: Initiator, service: &str, now: Millis) {
        if initiator != Initiator::RepeatedRun {
            self.budget.note_request(service, initiator.asked_by(), now);
            return;
        }
        if !self.budget.allows(service, initiator.asked_by(), self.view.nodes(), now) {
            self.hedges_barred_until = now + HEDGES_BARRED_MS;
        }
        self.budget.note_retry(service, initiator.asked_by(), now);
    }

    /// Time until which the local upstream should get no hedges, because the calls made by repeated
    /// runs exceed the retry budget.
    pub fn hedges_barred_until(&self) -> Millis {
        self.hedges_barred_until
    }

    /// Whether the retry budget allows another attempt of a call.
    pub(super) fn may_retry(&mut self, id: CallId, now: Millis) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let allowed = self.budget.allows(&call.service, call.asked_by(), self.view.nodes(), now);
        if !allowed {
            let Call { attempt_id, service, .. } = call;
            info!(id = %attempt_id, %service, "retry_budget_spent");
            self.counts.repeats_refused += 1;
        }
        allowed
    }

    /// Once a second, records how many nodes share the retry budget and logs the retries of each
    /// service that had any.
    pub fn report_retries(&mut self, now: Millis) {
        if now < self.retries_reported_at + REPORT_INTERVAL_MS {
            return;
        }
        self.retries_reported_at = now;
        self.budget.note_nodes(self.view.nodes(), now);
        for (service, tally) in self.budget.take_counts() {
            if tally.retries + tally.refused == 0 {
                continue;
            }
            info!(
                %service, requests = tally.requests, repeats = tally.retries, hedges = tally.hedges,
                refused = tally.refused, nodes = self.view.nodes(), "retry_budget"
            );
        }
    }
}
