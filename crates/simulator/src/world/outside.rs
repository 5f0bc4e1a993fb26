//! Back ends, the platform's list and callers.

use super::{World, FAULTS_END_MS, LEAVING_LIMIT_MS, PROXIES, RETURN_AFTER_MS};
use crate::packet::{Node, Packet};
use crate::scenario::{BrokenVariant, Scenario};
use endpoints::{Endpoint, EndpointState};

impl World {
    pub(super) fn backend_leaves(&mut self) {
        let now_ms = self.hosts.now_ms;
        let Some((_, list)) = self.lists.last() else { return };
        let mut list = list.clone();
        let position = self.hosts.random.usize(..list.len());
        if list[position].state == EndpointState::Leaving {
            return;
        }
        list[position].state = EndpointState::Leaving;
        let endpoint = list[position].clone();
        self.lists.push((now_ms, list));
        self.returns.push((now_ms + RETURN_AFTER_MS, position));
        self.leaving_checks.push((now_ms + LEAVING_LIMIT_MS, endpoint.clone()));
        // One proxy hears it from the back end itself, before any list says so.
        let number = self.hosts.random.usize(..PROXIES);
        if self.hosts.is_up(Node::Proxy(number)) {
            let proxy = &mut self.proxies[number];
            if let Some(mark) = proxy.observe_leaving(&endpoint.key, &mut self.checker) {
                let relay = Node::Relay(proxy.current_relay());
                self.hosts.send(Node::Proxy(number), relay, Packet::Marks(vec![mark]));
            }
        }
    }

    pub(super) fn backend_returns(&mut self, position: usize) {
        let Some((_, list)) = self.lists.last() else { return };
        let mut list = list.clone();
        list[position].incarnation += 1;
        list[position].state = EndpointState::Live;
        self.lists.push((self.hosts.now_ms, list));
    }

    pub(super) fn check_leaving(&mut self, endpoint: &Endpoint) {
        if self.parameters.scenario != Scenario::Calm {
            return;
        }
        for proxy in &self.proxies {
            let view = proxy.core.endpoints();
            let live = view
                .live(&endpoint.key.service)
                .any(|one| one.key == endpoint.key && one.incarnation == endpoint.incarnation);
            if live {
                let what = format!("proxy {} still uses {:?}", proxy.number, endpoint.key);
                self.checker.violate("leaving-gets-no-work", what);
            }
        }
    }

    pub(super) fn listed_for(&self, relay: usize) -> Vec<Endpoint> {
        let seen_ms = self.hosts.now_ms.saturating_sub(self.list_lag_ms[relay]);
        let older = self.lists.iter().rev().find(|(at_ms, _)| *at_ms <= seen_ms);
        let mut list = older.map(|(_, list)| list.clone()).unwrap_or_default();
        if self.is_broken(BrokenVariant::RelayIgnoresLeaving) {
            list.iter_mut().for_each(|endpoint| endpoint.state = EndpointState::Live);
        }
        list
    }

    /// A caller sends a keyed call, or sends an earlier one again through another proxy.
    pub(super) fn keyed_call(&mut self) {
        let now_ms = self.hosts.now_ms;
        if now_ms < FAULTS_END_MS {
            self.next_key += 1;
            self.open_keys.push((now_ms, format!("key-{}", self.next_key)));
        }
        let again = self.hosts.random.usize(..self.open_keys.len().max(1));
        let newest = self.open_keys.len().saturating_sub(1);
        for position in [newest, again] {
            let Some((_, key)) = self.open_keys.get(position).cloned() else { continue };
            let number = self.hosts.random.usize(..PROXIES);
            if self.hosts.is_up(Node::Proxy(number)) && !self.hosts.is_frozen(Node::Proxy(number)) {
                self.proxies[number].begin_keyed(&key, &mut self.hosts);
            }
        }
    }
}
