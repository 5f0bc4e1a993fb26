//! Calls and the fleet's bound on repeats: what is taken down, what is allowed, what is told of it.

use super::call::Call;
use super::{CallId, Calls, Initiator};
use crate::Millis;
use tracing::info;

/// How long second tries are kept from an upstream whose repeated runs asked for more than the bound on
/// repeats allows, milliseconds: a slice of the bound's window, after which some are forgotten.
const HEDGES_BARRED_MS: u64 = 1_000;
const TOLD_EVERY_MS: u64 = 1_000;

impl Calls {
    /// Takes down a call for the bound on repeats.
    pub(super) fn note_asked(&mut self, initiator: Initiator, service: &str, now: Millis) {
        if initiator != Initiator::RepeatedRun {
            self.budget.note_request(service, initiator.asked_by(), now);
            return;
        }
        if !self.budget.allows(service, initiator.asked_by(), self.view.nodes(), now) {
            self.hedges_barred_until = now + HEDGES_BARRED_MS;
        }
        self.budget.note_retry(service, initiator.asked_by(), now);
    }

    /// Until when the upstream beside this node should be given no second tries, since what their runs
    /// ask for is beyond the bound on repeats.
    pub fn hedges_barred_until(&self) -> Millis {
        self.hedges_barred_until
    }

    /// Whether the bound allows to send a call once more.
    pub(super) fn may_repeat(&mut self, id: CallId, now: Millis) -> bool {
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

    /// Takes down once a second how many nodes share the bound, and logs what was done about repeats at
    /// each service, if anything was.
    pub fn report_repeats(&mut self, now: Millis) {
        if now < self.repeats_told_at + TOLD_EVERY_MS {
            return;
        }
        self.repeats_told_at = now;
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
