//! Keeps the registry and the loads: ends leases, and exchanges both with the other coordinators.

use crate::exchange::{Outgoing, RegistryExchange};
use crate::hub::Hub;
use crate::loads::ServiceLoad;
use crate::membership::Group;
use crate::transport::Transport;
use mesh::{CoordinatorFrame, MemberId};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use telemetry::Clock;
use tracing::info;

/// Time between two looks at leases and at what is due for the other coordinators.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks at how busy services are.
const SUM_INTERVAL: Duration = Duration::from_secs(1);

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
        thread::spawn(move || {
            let mut loads_position = 0;
            let mut summed_at = Instant::now();
            loop {
                loads_position = registry_loop.look(loads_position);
                if summed_at.elapsed() >= SUM_INTERVAL {
                    summed_at = Instant::now();
                    registry_loop.log_waiting();
                }
                thread::sleep(LOOK_INTERVAL);
            }
        });
    }

    /// Does what is due; returns up to where loads were passed on.
    fn look(&self, loads_position: u64) -> u64 {
        let now = self.clock.now_ms();
        self.hub.expire(now);
        let members = self.group.members();
        let peers: Vec<MemberId> =
            members.into_iter().filter(|member| *member != self.group.own).collect();
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.hub.lock();
        let due = exchange.tick(&state.registry, &peers, now);
        let (loads, position) = (state.loads.told_since(loads_position), state.loads.position());
        drop(state);
        drop(exchange);
        self.send(due);
        if !loads.is_empty() {
            let frame = CoordinatorFrame::Loads { loads };
            self.send(peers.into_iter().map(|peer| (peer, frame.clone())));
        }
        position
    }

    /// Logs the services of which calls wait, with the slots that are free all the same.
    fn log_waiting(&self) {
        let state = self.hub.lock();
        let services = state.loads.by_service(state.registry.records());
        for (service, load) in services.into_iter().filter(|(_, load)| load.queued > 0) {
            let ServiceLoad { upstreams, slots, free, idle, queued, with_queue } = load;
            info!(%service, upstreams, slots, free, idle, queued, with_queue, "calls_wait");
        }
    }

    /// Takes in a frame of another coordinator.
    pub fn receive(&self, frame: CoordinatorFrame) {
        if let CoordinatorFrame::Loads { loads } = &frame {
            self.hub.lock().loads.passed_on(loads);
            return;
        }
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
