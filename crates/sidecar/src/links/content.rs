//! Requests the content of a generation: from which coordinator, and when.

use super::subscription::OWN_ZONE_WAIT_MS;
use super::{send, Link, Links};
use crate::net::Net;
use crate::Millis;
use bundle::Digest;
use mesh::ToCoordinator;

/// A coordinator that has not sent the requested content after this time is passed over, in
/// milliseconds.
const CONFIG_TIMEOUT_MS: u64 = 400;

impl Links {
    /// Reports that a generation is in force here, and requests a newer one if one was announced.
    pub fn applied(&mut self, net: &mut Net, generation: u64, held: Digest, now: Millis) {
        if let Some((from, _)) = self.config_request.take() {
            if let Some(link) = self.links.get_mut(&from).filter(|link| link.open) {
                send(net, link, &ToCoordinator::Applied { generation });
            }
        }
        self.request_config(net, generation, held, now);
    }

    /// Requests a newer configuration from one coordinator, if one was announced.
    pub fn request_config(&mut self, net: &mut Net, applied: u64, held: Digest, now: Millis) {
        let pending = self.config_request.filter(|(_, at)| now < *at + CONFIG_TIMEOUT_MS);
        if pending.is_some() {
            return;
        }
        let skipped = self.config_request.map(|(from, _)| from);
        let newer = |link: &Link| link.open && link.announced > applied;
        let found = self.links.iter().filter(|(_, link)| newer(link));
        let best = found.max_by_key(|(address, link)| {
            let rank = self.rank(**address);
            (Some(**address) != skipped, link.announced, link.same_zone, rank)
        });
        let Some((address, link)) = best else {
            return;
        };
        let near = self.links.values().any(|link| link.same_zone && link.is_healthy(now));
        let waits =
            self.waits_for_own_zone(now) || near && now < self.announced_at + OWN_ZONE_WAIT_MS;
        if waits && !link.same_zone && skipped.is_none() {
            return;
        }
        send(net, link, &ToCoordinator::ConfigRequest { held });
        self.config_request = Some((*address, now));
    }

    /// Requests whatever configuration a coordinator holds, without waiting for a leader to be
    /// known: when all processes start together, the content has arrived by the time it is
    /// confirmed. Returns true once a request was sent, or if a generation was announced so that
    /// this request is not needed.
    pub fn request_first_config(&mut self, net: &mut Net, held: Digest, now: Millis) -> bool {
        if self.config_request.is_some() || self.announced() > 0 {
            return true;
        }
        let welcomed = self.links.iter().filter(|(_, link)| link.open && link.welcomed);
        let nearest = welcomed.max_by_key(|(address, link)| (link.same_zone, self.rank(**address)));
        let waits = self.waits_for_own_zone(now);
        let Some((address, link)) = nearest.filter(|(_, link)| link.same_zone || !waits) else {
            return false;
        };
        send(net, link, &ToCoordinator::ConfigRequest { held });
        self.config_request = Some((*address, now));
        true
    }

    /// The newest generation announced by a linked coordinator; 0 if there is none.
    pub fn announced(&self) -> u64 {
        let open = self.links.values().filter(|link| link.open);
        open.map(|link| link.announced).max().unwrap_or(0)
    }
}
