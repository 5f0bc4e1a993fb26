//! Keeps the registry: ends leases and exchanges it with the other coordinators.

use crate::exchange::{Outgoing, RegistryExchange};
use crate::hub::Hub;
use crate::membership::Group;
use crate::transport::Transport;
use mesh::{CoordinatorFrame, MemberId};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::Clock;

/// Time between two looks at leases and at what is due for the other coordinators.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The registry's loop and what it needs.
pub(crate) struct RegistryLoop {
    hub: Arc<Hub>,
    group: Arc<Group>,
    transport: Arc<Transport>,
    clock: Clock,
    exchange: Mutex<RegistryExchange>,
}

impl RegistryLoop {
    pub fn new(hub: Arc<Hub>, group: Arc<Group>, transport: Arc<Transport>, clock: Clock) -> Self {
        let exchange = Mutex::new(RegistryExchange::new(group.own));
        RegistryLoop { hub, group, transport, clock, exchange }
    }

    /// Starts the loop.
    pub fn spawn(self: &Arc<Self>) {
        let registry_loop = self.clone();
        thread::spawn(move || loop {
            registry_loop.look();
            thread::sleep(LOOK_INTERVAL);
        });
    }

    fn look(&self) {
        let now = self.clock.now_ms();
        self.hub.expire(now);
        let members = self.group.members();
        let peers: Vec<MemberId> =
            members.into_iter().filter(|member| *member != self.group.own).collect();
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let due = exchange.tick(&self.hub.lock().registry, &peers, now);
        drop(exchange);
        self.send(due);
    }

    /// Takes in a frame of another coordinator.
    pub fn receive(&self, frame: CoordinatorFrame) {
        let now = self.clock.now_ms();
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let (answer, changed) = exchange.receive(&mut self.hub.lock().registry, frame, now);
        drop(exchange);
        if changed {
            self.hub.notify();
        }
        self.send(answer);
    }

    fn send(&self, frames: impl IntoIterator<Item = Outgoing>) {
        for (to, frame) in frames {
            self.transport.send(to, frame);
        }
    }
}
