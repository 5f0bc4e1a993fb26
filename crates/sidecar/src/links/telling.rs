//! What coordinators are told: what this sidecar is, how busy its upstream is, what a canary showed.

use super::{send, Links};
use crate::net::Net;
use crate::Millis;
use mesh::{NodeRecord, PoisonNotice, ToCoordinator, UpstreamLoad, VersionEvidence};

/// Time between two tellings of this upstream's load, milliseconds: about as long as a call with a
/// short target, so that a slot taken or given back is told while that still helps.
const LOAD_INTERVAL_MS: u64 = 150;
/// Change of the pace that is told at once, percent: it moves the risk of being late by less than
/// a choice is varied by.
const PACE_STEP: u16 = 20;
/// A load that stays as it is is told again after this time, milliseconds; readers let it age.
const LOAD_REPEAT_MS: u64 = 800;

impl Links {
    /// Tells all coordinators what this sidecar is now; returns the sequence of this report.
    pub fn report(&mut self, net: &mut Net, change: impl FnOnce(&mut NodeRecord)) -> u64 {
        change(&mut self.record);
        self.record.sequence += 1;
        let message = ToCoordinator::Report(self.record.clone());
        for link in self.links.values_mut().filter(|link| link.open) {
            send(net, link, &message);
        }
        self.record.sequence
    }

    /// Tells how busy the upstream beside this sidecar is, if that changed and was not told a moment
    /// ago. One that stays as it is is told again now and then, so that readers trust it.
    pub fn tell_load(&mut self, net: &mut Net, load: UpstreamLoad, now: Millis) {
        let age_ms = now.saturating_sub(self.load_told_at);
        let counts =
            |load: UpstreamLoad| (load.running, load.queued, load.pace_percent / PACE_STEP);
        let changed = self.load_told.map(counts) != Some(counts(load));
        let due_ms = if changed { LOAD_INTERVAL_MS } else { LOAD_REPEAT_MS };
        if age_ms < due_ms {
            return;
        }
        self.load_told = Some(load);
        self.load_told_at = now;
        for link in self.links.values().filter(|link| link.open && link.subscribed) {
            send(net, link, &ToCoordinator::Load(load));
        }
    }

    /// Tells every coordinator what a canary is judged by: any of them may lead in a moment.
    pub fn tell_evidence(&mut self, net: &mut Net, evidence: VersionEvidence) {
        let message = ToCoordinator::Evidence(evidence);
        for link in self.links.values().filter(|link| link.open) {
            send(net, link, &message);
        }
    }

    /// Tells every coordinator what is known of requests that may crash upstreams: each passes it on
    /// at once to those that subscribed to it.
    pub fn tell_poison(&mut self, net: &mut Net, notices: Vec<PoisonNotice>) {
        if notices.is_empty() {
            return;
        }
        let message = ToCoordinator::Poison { notices };
        for link in self.links.values().filter(|link| link.open) {
            send(net, link, &message);
        }
    }

    /// How many coordinators know a report, and how many are linked.
    pub fn taken_by(&self, sequence: u64) -> (usize, usize) {
        let open = self.links.values().filter(|link| link.welcomed);
        let taken = open.clone().filter(|link| link.taken >= sequence);
        (taken.count(), open.count())
    }
}
