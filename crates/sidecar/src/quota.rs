//! Quotas of tenants at this sidecar: which calls wait for a credit, and what was refused.

use crate::calls::{Initiator, Origin};
use crate::net::ConnectionId;
use crate::sample::LogSample;
use crate::tenants::CompiledTenant;
use crate::Millis;
use ::quota::{tenant_id, Gate, GateCounts, Limit, Outcome, Refusal};
use http1::Request;
use mesh::{CreditAnswer, CreditRequest};
use tracing::{info, warn};

/// A call that waits for a credit. It is looked at anew when it has one: its route, its key or its
/// tenant may be gone by then.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub initiator: Initiator,
    pub origin: Origin,
    pub request: Request,
    pub arrived: Millis,
}

/// Quotas as the outbound side uses them.
#[derive(Debug)]
pub struct Quota {
    gate: Gate<WaitingCall>,
    sample: LogSample,
    logged: GateCounts,
}

impl Quota {
    /// Nothing held, nothing known.
    pub(crate) fn new(sample: LogSample, seed: u64) -> Self {
        Quota { gate: Gate::new(seed), sample, logged: GateCounts::default() }
    }

    /// The core, for whoever carries its messages.
    pub(crate) fn gate(&mut self) -> &mut Gate<WaitingCall> {
        &mut self.gate
    }

    /// Takes in a call of a tenant; it is given back with what becomes of it, or kept.
    pub(crate) fn enter(
        &mut self,
        tenant: &CompiledTenant,
        call: WaitingCall,
        now: Millis,
    ) -> Option<(WaitingCall, Outcome)> {
        let limit = Limit { rate_milli: tenant.rate_milli, burst: tenant.burst };
        self.gate.enter(tenant_id(&tenant.name), limit, call, now)
    }

    /// Calls that need not wait any more.
    pub(crate) fn settle(&mut self, now: Millis) -> Vec<(WaitingCall, Outcome)> {
        self.gate.settle(now)
    }

    /// Takes in an answer of a coordinator.
    pub fn answered(&mut self, answer: CreditAnswer, now: Millis) {
        self.gate.answered(answer, now);
    }

    /// A call reached an upstream once more.
    pub(crate) fn charge(&mut self, tenant: &CompiledTenant, now: Millis) {
        self.gate.charge(tenant_id(&tenant.name), now);
    }

    /// A call with a credit reached no upstream.
    pub(crate) fn refund(&mut self, tenant: &CompiledTenant, now: Millis) {
        self.gate.refund(tenant_id(&tenant.name), now);
    }

    /// A caller went away; returns how many of its calls waited.
    pub(crate) fn connection_ended(&mut self, connection: ConnectionId) -> usize {
        let before = self.gate.waiting();
        self.gate.retain(|call| call.origin.connection != connection);
        before - self.gate.waiting()
    }

    /// All calls that wait, because the process ends.
    pub(crate) fn take_waiting(&mut self) -> Vec<WaitingCall> {
        self.gate.take_waiting()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.gate.waiting()
    }

    /// When something is due though nothing comes.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        self.gate.next_tick(now)
    }

    /// Takes in whether a coordinator can be asked.
    pub fn set_linked(&mut self, linked: bool) {
        self.gate.set_linked(linked);
    }

    /// What to send to a coordinator now, if anything.
    pub fn request(&mut self, to: u64, now: Millis) -> Option<CreditRequest> {
        self.gate.request(to, now)
    }

    /// Does what is due now and then; `bounded`: whether any tenant has a limit.
    pub fn run_maintenance(&mut self, bounded: bool, now: Millis) {
        self.gate.set_bounded(bounded);
        self.gate.expire(now);
        let GateCounts { unanswered, alone, .. } = self.gate.counts;
        if (unanswered, alone) != (self.logged.unanswered, self.logged.alone) {
            let waiting = self.gate.waiting();
            warn!(unanswered, alone, waiting, "quota_without_coordinator");
            self.logged = self.gate.counts;
        }
    }

    /// Totals since the start.
    pub fn counts(&self) -> GateCounts {
        self.gate.counts
    }

    /// Logs a refusal.
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
