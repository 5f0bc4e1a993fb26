//! Measures the utilization of this machine's link and logs when it is saturated.

use super::Sidecar;
use crate::dialect::RegistrationDialect;
use crate::link_meter::LinkChange;
use crate::Millis;
use tracing::info;

impl<D: RegistrationDialect> Sidecar<D> {
    pub(super) fn measure_link(&mut self) {
        let now = self.now();
        let passed = self.net.take_traffic();
        self.link_meter.received(passed.received, now);
        self.link_meter.sent(passed.sent, now);
        self.jobs.link_percent = self.link_meter.percent(now);
        self.jobs.set_link_state(self.net.link_state());
    }

    /// Logs when large answers begin to wait for the link, and when they stop waiting.
    pub(super) fn watch_link(&mut self, now: Millis) {
        let wait_ms = self.jobs.link_wait_ms();
        let Some(change) = self.link_full_detector.note(wait_ms, now) else {
            return;
        };
        let waiting_bytes = self.net.link_state().waiting_bytes;
        let refusals = self.jobs.link_refusals();
        let counts = self.net.pacer_counts();
        let (paced, longest_ms) = (counts.messages_paced, counts.longest_ms as u64);
        match change {
            LinkChange::Full => {
                info!(wait_ms, waiting_bytes, refusals, paced, longest_ms, "link_full");
            }
            LinkChange::Free { lasted_ms } => {
                info!(lasted_ms, refusals, paced, longest_ms, "link_free");
            }
        }
    }
}
