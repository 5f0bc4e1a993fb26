//! Which coordinator is asked for the content of a generation, and when.

use super::subscription::NEAR_WAIT_MS;
use super::{send, Link, Links};
use crate::net::Net;
use crate::Millis;
use bundle::Digest;
use mesh::ToCoordinator;

/// A coordinator that does not send what it was asked for is passed over after this time.
const CONFIG_WAIT_MS: u64 = 400;

impl Links {
    /// Tells that a generation is in force here, and goes on to a newer one that was announced.
    pub fn applied(&mut self, net: &mut Net, generation: u64, held: Digest, now: Millis) {
        if let Some((from, _)) = self.config_asked.take() {
            if let Some(link) = self.links.get_mut(&from).filter(|link| link.open) {
                send(net, link, &ToCoordinator::Applied { generation });
            }
        }
        self.want_config(net, generation, held, now);
    }

    /// Asks one coordinator for a newer configuration, if one was announced.
    pub fn want_config(&mut self, net: &mut Net, applied: u64, held: Digest, now: Millis) {
        let asked = self.config_asked.filter(|(_, at)| now < *at + CONFIG_WAIT_MS);
        if asked.is_some() {
            return;
        }
        let passed_over = self.config_asked.map(|(from, _)| from);
        let newer = |link: &Link| link.open && link.announced > applied;
        let found = self.links.iter().filter(|(_, link)| newer(link));
        let best = found.max_by_key(|(address, link)| {
            let rank = self.rank(**address);
            (Some(**address) != passed_over, link.announced, link.same_zone, rank)
        });
        let Some((address, link)) = best else {
            return;
        };
        let near = self.links.values().any(|link| link.same_zone && link.is_healthy(now));
        let waits = self.waits_for_near(now) || near && now < self.announced_at + NEAR_WAIT_MS;
        if waits && !link.same_zone && passed_over.is_none() {
            return;
        }
        send(net, link, &ToCoordinator::ConfigRequest { held });
        self.config_asked = Some((*address, now));
    }

    /// Asks a coordinator for what it knows, without waiting for a leader to be known: when all
    /// start together, the content is here by the time it is confirmed. True once one was asked, or
    /// a generation was announced, so that this is not needed.
    pub fn want_first_config(&mut self, net: &mut Net, held: Digest, now: Millis) -> bool {
        if self.config_asked.is_some() || self.announced() > 0 {
            return true;
        }
        let welcomed = self.links.iter().filter(|(_, link)| link.open && link.welcomed);
        let nearest = welcomed.max_by_key(|(address, link)| (link.same_zone, self.rank(**address)));
        let waits = self.waits_for_near(now);
        let Some((address, link)) = nearest.filter(|(_, link)| link.same_zone || !waits) else {
            return false;
        };
        send(net, link, &ToCoordinator::ConfigRequest { held });
        self.config_asked = Some((*address, now));
        true
    }

    /// The newest generation that a linked coordinator announced; 0 if there is none.
    pub fn announced(&self) -> u64 {
        let open = self.links.values().filter(|link| link.open);
        open.map(|link| link.announced).max().unwrap_or(0)
    }
}
