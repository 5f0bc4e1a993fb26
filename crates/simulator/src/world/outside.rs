//! Back ends, the platform's endpoint list and callers.

use super::{World, BACKEND_RETURN_DELAY_MS, FAULTS_END_MS, LEAVING_LIMIT_MS, PROXIES};
use crate::packet::{Node, Packet};
use crate::scenario::{BrokenVariant, Scenario};
use endpoints::{Endpoint, EndpointState};

impl World {
    pub(super) fn start_backend_leaving(&mut self) {
        let now_ms = self.hosts.now_ms;
        let Some((_, list)) = self.platform_lists.last() else { return };
        let mut list = list.clone();
        let position = self.hosts.random.usize(..list.len());
        if list[position].state == EndpointState::Leaving {
            return;
        }
        list[position].state = EndpointState::Leaving;
        let endpoint = list[position].clone();
        self.platform_lists.push((now_ms, list));
        self.backend_return_times.push((now_ms + BACKEND_RETURN_DELAY_MS, position));
        self.leaving_checks.push((now_ms + LEAVING_LIMIT_MS, endpoint.clone()));
        // One proxy learns it from the back end itself, before any list shows it.
        let number = self.hosts.random.usize(..PROXIES);
        if self.hosts.is_up(Node::Proxy(number)) {
            let proxy = &mut self.proxies[number];
            if let Some(mark) = proxy.observe_leaving(&endpoint.key, &mut self.checker) {
                let relay = Node::Relay(proxy.current_relay());
                self.hosts.send(Node::Proxy(number), relay, Packet::LeavingMarks(vec![mark]));
            }
        }
    }

    pub(super) fn return_backend(&mut self, position: usize) {
        let Some((_, list)) = self.platform_lists.last() else { return };
        let mut list = list.clone();
        list[position].incarnation += 1;
        list[position].state = EndpointState::Live;
        self.platform_lists.push((self.hosts.now_ms, list));
    }

    pub(super) fn check_leaving(&mut self, endpoint: &Endpoint) {
        if self.parameters.scenario != Scenario::Calm {
            return;
        }
        for proxy in &self.proxies {
            let view = proxy.core.endpoints();
            let live = view.live(&endpoint.key.service).any(|other| {
                other.key == endpoint.key && other.incarnation == endpoint.incarnation
            });
            if live {
                let details = format!("proxy {} still uses {:?}", proxy.number, endpoint.key);
                self.checker.report("leaving-gets-no-work", details);
            }
        }
    }

    pub(super) fn platform_list_seen_by(&self, relay: usize) -> Vec<Endpoint> {
        let listed_ms = self.hosts.now_ms.saturating_sub(self.list_lag_ms[relay]);
        let visible = self.platform_lists.iter().rev().find(|(at_ms, _)| *at_ms <= listed_ms);
        let mut list = visible.map(|(_, list)| list.clone()).unwrap_or_default();
        if self.is_broken(BrokenVariant::RelayIgnoresLeaving) {
            list.iter_mut().for_each(|endpoint| endpoint.state = EndpointState::Live);
        }
        list
    }

    /// Sends the newest keyed call and a random issued one, each through a random proxy.
    pub(super) fn send_keyed_call(&mut self) {
        let now_ms = self.hosts.now_ms;
        if now_ms < FAULTS_END_MS {
            self.next_key += 1;
            self.issued_keys.push((now_ms, format!("key-{}", self.next_key)));
        }
        let resent = self.hosts.random.usize(..self.issued_keys.len().max(1));
        let newest = self.issued_keys.len().saturating_sub(1);
        for position in [newest, resent] {
            let Some((_, key)) = self.issued_keys.get(position).cloned() else { continue };
            let number = self.hosts.random.usize(..PROXIES);
            if self.hosts.is_up(Node::Proxy(number)) && !self.hosts.is_frozen(Node::Proxy(number)) {
                self.proxies[number].begin_keyed_call(&key, &mut self.hosts);
            }
        }
    }
}
