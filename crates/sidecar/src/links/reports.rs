//! Messages to the coordinators: the record of this sidecar, the load of its upstream, canary
//! evidence, and notices about crashes.

use super::{send, Links};
use crate::net::Net;
use crate::Millis;
use mesh::{NodeRecord, PoisonNotice, ToCoordinator, UpstreamLoad, VersionEvidence};

/// Minimum time between two load reports, in milliseconds: about the duration of a call with a
/// short target, so that the report of an occupied or released slot arrives while it is still
/// useful.
const LOAD_INTERVAL_MS: u64 = 150;
/// Change of the pace that is reported at once, in percent. A smaller change affects the estimated
/// risk of being late by less than the random variation in the choice of an upstream.
const PACE_STEP: u16 = 20;
/// An unchanged load is reported again after this time, in milliseconds, because receivers treat
/// old reports as stale.
const LOAD_REPEAT_MS: u64 = 800;

impl Links {
    /// Reports the changed record of this sidecar to all coordinators; returns the sequence number
    /// of the report.
    pub fn report(&mut self, net: &mut Net, change: impl FnOnce(&mut NodeRecord)) -> u64 {
        change(&mut self.record);
        self.record.sequence += 1;
        let message = ToCoordinator::Report(self.record.clone());
        for link in self.links.values_mut().filter(|link| link.open) {
            send(net, link, &message);
        }
        self.record.sequence
    }

    /// Reports the load of the local upstream if it changed and the last report is not too recent.
    /// An unchanged load is repeated periodically so that receivers keep trusting it.
    pub fn send_load(&mut self, net: &mut Net, load: UpstreamLoad, now: Millis) {
        let age_ms = now.saturating_sub(self.load_sent_at);
        let counts =
            |load: UpstreamLoad| (load.running, load.queued, load.service_time_percent / PACE_STEP);
        let changed = self.sent_load.map(counts) != Some(counts(load));
        let due_ms = if changed { LOAD_INTERVAL_MS } else { LOAD_REPEAT_MS };
        if age_ms < due_ms {
            return;
        }
        self.sent_load = Some(load);
        self.load_sent_at = now;
        for link in self.links.values().filter(|link| link.open && link.subscribed) {
            send(net, link, &ToCoordinator::Load(load));
        }
    }

    /// Sends canary evidence to every coordinator, since any of them may become the leader.
    pub fn send_evidence(&mut self, net: &mut Net, evidence: VersionEvidence) {
        let message = ToCoordinator::Evidence(evidence);
        for link in self.links.values().filter(|link| link.open) {
            send(net, link, &message);
        }
    }

    /// Sends notices about requests that may crash upstreams to every coordinator; each forwards
    /// them at once to its subscribers.
    pub fn send_poison_notices(&mut self, net: &mut Net, notices: Vec<PoisonNotice>) {
        if notices.is_empty() {
            return;
        }
        let message = ToCoordinator::Poison { notices };
        for link in self.links.values().filter(|link| link.open) {
            send(net, link, &message);
        }
    }

    /// The number of coordinators that acknowledged a report, and the number of linked ones.
    pub fn acknowledged_by(&self, sequence: u64) -> (usize, usize) {
        let open = self.links.values().filter(|link| link.welcomed);
        let acknowledged = open.clone().filter(|link| link.acked_sequence >= sequence);
        (acknowledged.count(), open.count())
    }
}
