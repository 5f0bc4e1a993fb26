//! Tenant quotas at this sidecar: the calls that wait for a credit, and logging of refusals.

use crate::calls::{Initiator, Origin};
use crate::net::ConnectionId;
use crate::sample::LogSample;
use crate::tenants::CompiledTenant;
use crate::Millis;
use ::quota::{tenant_id, Gate, GateCounts, Limit, Outcome, Refusal};
use http1::Request;
use mesh::{CreditAnswer, CreditRequest};
use tracing::{info, warn};

/// A call that waits for a credit. It is routed and authenticated again once it has one, because
/// its route, key or tenant may have been removed in the meantime.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub initiator: Initiator,
    pub origin: Origin,
    pub request: Request,
    pub arrived: Millis,
}

/// Quota checks of the outbound side.
#[derive(Debug)]
pub struct Quota {
    gate: Gate<WaitingCall>,
    sample: LogSample,
    logged: GateCounts,
}

impl Quota {
    /// Creates the quota checks without any credits.
    pub(crate) fn new(sample: LogSample, seed: u64) -> Self {
        Quota { gate: Gate::new(seed), sample, logged: GateCounts::default() }
    }

    /// The underlying gate, for the code that exchanges its messages with coordinators.
    pub(crate) fn gate(&mut self) -> &mut Gate<WaitingCall> {
        &mut self.gate
    }

    /// Requests a credit for a call of a tenant. Returns the call with the outcome if that is
    /// known, or keeps the call until `settle` returns it.
    pub(crate) fn admit(
        &mut self,
        tenant: &CompiledTenant,
        call: WaitingCall,
        now: Millis,
    ) -> Option<(WaitingCall, Outcome)> {
        let limit = Limit { rate_milli: tenant.rate_milli, burst: tenant.burst };
        self.gate.admit(tenant_id(&tenant.name), limit, call, now)
    }

    /// Takes the calls whose wait is over, with their outcomes.
    pub(crate) fn settle(&mut self, now: Millis) -> Vec<(WaitingCall, Outcome)> {
        self.gate.settle(now)
    }

    /// Applies an answer of a coordinator.
    pub fn answered(&mut self, answer: CreditAnswer, now: Millis) {
        self.gate.handle_answer(answer, now);
    }

    /// Charges a call to its tenant without waiting for a credit: a retry, or a call whose key
    /// moved to this tenant.
    pub(crate) fn charge(&mut self, tenant: &CompiledTenant, now: Millis) {
        self.gate.charge(tenant_id(&tenant.name), now);
    }

    /// Returns the credit of a call that reached no upstream.
    pub(crate) fn refund(&mut self, tenant: &CompiledTenant, now: Millis) {
        self.gate.refund(tenant_id(&tenant.name), now);
    }

    /// Drops the waiting calls of a caller that disconnected, and returns their number.
    pub(crate) fn connection_ended(&mut self, connection: ConnectionId) -> usize {
        let before = self.gate.waiting();
        self.gate.retain(|call| call.origin.connection != connection);
        before - self.gate.waiting()
    }

    /// Takes all waiting calls, because the process is stopping.
    pub(crate) fn take_waiting(&mut self) -> Vec<WaitingCall> {
        self.gate.take_waiting()
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.gate.waiting()
    }

    /// Next time at which a timer is due.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        self.gate.next_tick(now)
    }

    /// Sets whether a coordinator is connected.
    pub fn set_linked(&mut self, linked: bool) {
        self.gate.set_linked(linked);
    }

    /// The request to send to coordinator `to` now, if any.
    pub fn request(&mut self, to: u64, now: Millis) -> Option<CreditRequest> {
        self.gate.request(to, now)
    }

    /// Expires old state and logs failures to reach a coordinator; to be called periodically.
    /// `any_limit` states whether any tenant has a limit.
    pub fn run_maintenance(&mut self, any_limit: bool, now: Millis) {
        self.gate.set_any_limit(any_limit);
        self.gate.expire(now);
        let GateCounts { unanswered, alone, .. } = self.gate.counts;
        if (unanswered, alone) != (self.logged.unanswered, self.logged.alone) {
            let waiting = self.gate.waiting();
            warn!(unanswered, alone, waiting, "quota_without_coordinator");
            self.logged = self.gate.counts;
        }
    }

    /// Totals since the process started.
    pub fn counts(&self) -> GateCounts {
        self.gate.counts
    }

    /// Logs a refusal if the call is sampled.
    pub(crate) fn log_refused(&self, id: &str, tenant: &CompiledTenant, refusal: Refusal) {
        if !self.sample.includes(id) {
            return;
        }
        let Refusal { retry_after_ms, told_ms_ago } = refusal;
        let CompiledTenant { name, rate_milli, burst, .. } = tenant;
        let reason = match told_ms_ago {
            Some(_) => "above_quota",
            None => "no_coordinator",
        };
        info!(
            %id, tenant = %name, rate_milli, burst, reason, ?told_ms_ago, retry_after_ms,
            verdict = "not-run", "quota_refused"
        );
    }
}
