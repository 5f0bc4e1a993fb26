//! API keys of callers: denies calls without a valid key, and handles waiting calls whose key was
//! removed or moved to another tenant.

use super::call::KeyChange;
use super::{refusal, CallAction, CallId, Calls, Origin, UNREADY_RETRY_AFTER_MS};
use crate::call_metrics::CallOutcome;
use crate::config::Config;
use crate::tenants::{combined_rank, CompiledTenant, KeyProblem};
use crate::Millis;
use bundle::KeyFingerprint;
use http1::{Request, Response};
use std::rc::Rc;
use tracing::info;

/// Status of the answer to a call without the required API key of a tenant.
const DENIED_STATUS: u16 = 401;

impl Calls {
    /// Answers a call without a valid key: 401 if the local configuration is known to be the
    /// newest, otherwise a refusal, because a newer generation may have the key.
    pub(super) fn deny(
        &mut self,
        origin: Origin,
        route: &str,
        problem: KeyProblem,
        request: &Request,
        config: &Config,
        now: Millis,
    ) -> CallAction {
        let id = request.headers.text(self.names.attempt_id).unwrap_or("-");
        let (generation, current) = (config.generation(), config.is_current(now));
        if self.denials_logged.allows(now) || self.sample.includes(id) {
            let presented = request.headers.get(self.names.api_key);
            let key = presented.map(|key| KeyFingerprint::of(key.trim_ascii()).to_string());
            let key = key.as_deref().unwrap_or("-");
            info!(
                %id, %route, reason = %problem, generation, current, %key, verdict = "not-run",
                "call_denied"
            );
        }
        if !current {
            self.counts.refused += 1;
            self.metrics.note_end(route, CallOutcome::Refused, 0);
            return refusal(origin, UNREADY_RETRY_AFTER_MS);
        }
        self.counts.denied += 1;
        self.metrics.note_end(route, CallOutcome::Denied, 0);
        CallAction::Answer { origin, response: self.denial() }
    }

    /// A 401 response that names the required header, as every 401 must (RFC 9110, section 15.5.2).
    fn denial(&self) -> Response {
        Response::empty(DENIED_STATUS).with_header("WWW-Authenticate", self.names.api_key)
    }

    /// Called when a new configuration may be in force. Looks up the keys of all calls again, so
    /// that no call is sent for a tenant that no longer has the key.
    pub fn note_configuration(&mut self, config: &Config, now: Millis) {
        if self.keys_checked == config.generation() {
            return;
        }
        self.keys_checked = config.generation();
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            self.recheck_key(id, config, now);
        }
    }

    fn recheck_key(&mut self, id: CallId, config: &Config, now: Millis) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(holder) = &mut call.holder else {
            return;
        };
        call.key_change = match config.tenants().holder(holder.key) {
            Some(tenant) if tenant.name == holder.tenant.name => {
                holder.tenant = tenant.clone();
                call.rank = combined_rank(tenant.rank, call.route_rank);
                None
            }
            Some(tenant) => Some(KeyChange::Moved(tenant.clone())),
            None => Some(KeyChange::Removed { confirmed: config.is_current(now) }),
        };
    }

    /// Applies a key change before a call is placed. A call whose key moved continues under the new
    /// tenant, unless it may have run under the old one. Returns actions if the call must end
    /// instead.
    pub(super) fn apply_key_change(&mut self, id: CallId, now: Millis) -> Option<Vec<CallAction>> {
        let call = self.calls.get_mut(&id)?;
        let change = call.key_change.take()?;
        let never_ran = call.arrivals == 0;
        match change {
            KeyChange::Moved(tenant) if never_ran => {
                self.move_to_tenant(id, tenant, now);
                None
            }
            KeyChange::Removed { confirmed: true } if never_ran => {
                Some(self.end_without_key(id, now))
            }
            _ => Some(self.give_up(id, UNREADY_RETRY_AFTER_MS, now)),
        }
    }

    fn move_to_tenant(&mut self, id: CallId, tenant: Rc<CompiledTenant>, now: Millis) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        call.rank = combined_rank(tenant.rank, call.route_rank);
        if let Some(holder) = &mut call.holder {
            self.quota.refund(&holder.tenant, now);
            self.quota.charge(&tenant, now);
            holder.tenant = tenant;
        }
        self.set_tenant_header(Rc::make_mut(&mut call.request), call.holder.as_ref());
        self.calls.insert(id, call);
    }

    /// Denies a call that never ran and whose key was removed.
    fn end_without_key(&mut self, id: CallId, now: Millis) -> Vec<CallAction> {
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        info!(
            id = %call.attempt_id, route = %call.route, reason = "key_taken_away",
            generation = self.keys_checked, held_ms = now.saturating_sub(call.arrived),
            verdict = "not-run", "call_denied"
        );
        self.return_credit(call.holder.as_ref(), now);
        self.counts.denied += 1;
        self.note_outcome(&call, CallOutcome::Denied, now);
        vec![CallAction::Answer { origin: call.origin, response: self.denial() }]
    }
}
