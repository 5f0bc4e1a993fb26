//! Credits from tenant quotas: decides which calls proceed, which wait and which are refused.

use super::{refusal, CallAction, Calls, Origin};
use crate::call_metrics::CallOutcome;
use crate::config::Config;
use crate::quota::WaitingCall;
use crate::tenants::KeyHolder;
use crate::Millis;
use ::quota::{Outcome, Refusal};
use http1::{Request, Response};

/// Status of the answer to a call above its tenant's quota.
const ABOVE_QUOTA_STATUS: u16 = 429;

/// Whether a call has requested a credit from its tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(super) enum CreditState {
    /// The call is new and has not requested one.
    NotRequested,
    /// The call waited for a credit, with this outcome.
    Settled(Outcome),
}

impl Calls {
    /// Resumes the calls whose wait for a credit is over.
    pub fn settle_quotas(&mut self, config: &Config, now: Millis) -> Vec<CallAction> {
        let mut actions = Vec::new();
        for (call, outcome) in self.quota.settle(now) {
            actions.extend(self.begin_with(CreditState::Settled(outcome), call, config, now));
        }
        actions
    }

    /// Returns the request if the call may proceed. Otherwise returns its refusal, or nothing while
    /// it waits for a credit.
    pub(super) fn take_credit(
        &mut self,
        credit: CreditState,
        holder: Option<&KeyHolder>,
        call: WaitingCall,
        route: &str,
        now: Millis,
    ) -> Result<Request, Vec<CallAction>> {
        let Some(holder) = holder else {
            return Ok(call.request);
        };
        let decided = match credit {
            CreditState::NotRequested => self.quota.admit(&holder.tenant, call, now),
            CreditState::Settled(outcome) => Some((call, outcome)),
        };
        match decided {
            None => Err(Vec::new()),
            Some((call, Outcome::Admitted)) => Ok(call.request),
            Some((call, Outcome::Refused(refused))) => {
                let id = call.request.headers.text(self.names.attempt_id).unwrap_or("-");
                self.quota.log_refused(id, &holder.tenant, refused);
                self.counts.refused += 1;
                self.metrics.note_end(route, CallOutcome::AboveQuota, 0);
                Err(vec![above_quota(call.origin, refused)])
            }
        }
    }

    /// Returns the credit of a call that reached no upstream.
    pub(super) fn return_credit(&mut self, holder: Option<&KeyHolder>, now: Millis) {
        if let Some(holder) = holder {
            self.quota.refund(&holder.tenant, now);
        }
    }

    /// Refuses the calls that wait for a credit, because the process is stopping.
    pub(super) fn refuse_waiting(&mut self, retry_after_ms: u64) -> Vec<CallAction> {
        let waiting = self.quota.take_waiting();
        self.counts.refused += waiting.len() as u64;
        waiting.into_iter().map(|call| refusal(call.origin, retry_after_ms)).collect()
    }
}

/// Answers a call that got no credit; it has not run. If no coordinator replied, the call is not
/// known to be above its quota, so the answer is a plain refusal instead of 429.
fn above_quota(origin: Origin, refused: Refusal) -> CallAction {
    let Refusal { retry_after_ms, told_ms_ago } = refused;
    if told_ms_ago.is_none() {
        return refusal(origin, retry_after_ms);
    }
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
    let response = Response::empty(ABOVE_QUOTA_STATUS).with_header("Retry-After", seconds);
    CallAction::Answer { origin, response }
}
