//! Credits of tenants' quotas: who goes on, who waits for one, and what is answered without one.

use super::{refusal, CallAction, Calls, Origin};
use crate::call_metrics::CallOutcome;
use crate::config::Config;
use crate::quota::WaitingCall;
use crate::tenants::KeyHolder;
use crate::Millis;
use ::quota::{Outcome, Refusal};
use http1::{Request, Response};

/// Answer to a call of a tenant that sends more than it may.
const ABOVE_QUOTA_STATUS: u16 = 429;

/// Whether a call has its credit.
#[derive(Clone, Copy, Debug)]
pub(super) enum Credit {
    /// It has just come.
    Wanted,
    /// It waited, and this became of it.
    Settled(Outcome),
}

impl Calls {
    /// Goes on with the calls that waited for a credit and need not wait any more.
    pub fn settle_quotas(&mut self, config: &Config, now: Millis) -> Vec<CallAction> {
        let mut actions = Vec::new();
        for (call, outcome) in self.quota.settle(now) {
            actions.extend(self.begin_with(Credit::Settled(outcome), call, config, now));
        }
        actions
    }

    /// Gives a call back that may go on. One that may not is answered; one that waits is kept.
    pub(super) fn take_credit(
        &mut self,
        credit: Credit,
        holder: Option<&KeyHolder>,
        call: WaitingCall,
        route: &str,
        now: Millis,
    ) -> Result<Request, Vec<CallAction>> {
        let Some(holder) = holder else {
            return Ok(call.request);
        };
        let entered = match credit {
            Credit::Wanted => self.quota.enter(&holder.tenant, call, now),
            Credit::Settled(outcome) => Some((call, outcome)),
        };
        match entered {
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

    /// A call that took a credit reached no upstream.
    pub(super) fn return_credit(&mut self, holder: Option<&KeyHolder>, now: Millis) {
        if let Some(holder) = holder {
            self.quota.refund(&holder.tenant, now);
        }
    }

    /// Answers the calls that wait for a credit, because the process ends.
    pub(super) fn refuse_waiting(&mut self, retry_after_ms: u64) -> Vec<CallAction> {
        let waiting = self.quota.take_waiting();
        self.counts.refused += waiting.len() as u64;
        waiting.into_iter().map(|call| refusal(call.origin, retry_after_ms)).collect()
    }
}

/// The answer to a call above its tenant's quota: it has not run. While no coordinator answers it is
/// not known to be above, and the answer does not say so.
fn above_quota(origin: Origin, refused: Refusal) -> CallAction {
    let Refusal { retry_after_ms, told_ms_ago } = refused;
    if told_ms_ago.is_none() {
        return refusal(origin, retry_after_ms);
    }
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
    let response = Response::empty(ABOVE_QUOTA_STATUS).with_header("Retry-After", seconds);
    CallAction::Answer { origin, response }
}
