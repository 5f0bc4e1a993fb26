//! Requests credits for tenants' quotas from a coordinator.

use super::{send, Links};
use crate::net::Net;
use crate::Millis;
use mesh::ToCoordinator;
use quota::Gate;
use std::net::Ipv4Addr;

impl Links {
    /// Requests credits if any are wanted, from the coordinator of the own zone, or from the next
    /// one while that one does not answer.
    pub fn ask_credits<T>(&mut self, net: &mut Net, gate: &mut Gate<T>, now: Millis) {
        let link = self.credits_request.and_then(|address| self.links.get(&address));
        if self.credits_request.is_some() && !link.is_some_and(|link| link.welcomed) {
            self.credits_request = None;
            gate.link_lost();
        }
        let mut healthy: Vec<Ipv4Addr> = self.healthy(now).collect();
        healthy.sort_by_key(|address| !self.links[address].same_zone);
        gate.set_linked(!healthy.is_empty());
        let first = usize::from(gate.is_unanswered(now) && healthy.len() > 1);
        let Some(to) = healthy.get(first).copied() else {
            return;
        };
        if let Some(request) = gate.request(u64::from(u32::from(to)), now) {
            self.credits_request = Some(to);
            send(net, &self.links[&to], &ToCoordinator::Credits(request));
        }
    }

    fn healthy(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> + '_ {
        let links = self.links.iter().filter(move |(_, link)| link.is_healthy(now));
        links.map(|(address, _)| *address)
    }
}
