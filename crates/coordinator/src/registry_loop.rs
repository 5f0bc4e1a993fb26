//! Keeps the registry and the loads: ends leases, and exchanges both with the other coordinators.

use crate::exchange::{Outgoing, RegistryExchange};
use crate::hub::Hub;
use crate::loads::ServiceLoad;
use crate::membership::Group;
use crate::quotas::Quotas;
use crate::transport::Transport;
use mesh::{CoordinatorFrame, MemberId, NodeAddress};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::{BootInstant, Clock};
use tracing::info;

/// Time between two looks at leases and at what is due for the other coordinators.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks at how busy services are.
const SUM_INTERVAL: Duration = Duration::from_secs(1);

/// Positions up to which other coordinators were told.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    loads: u64,
    poison: u64,
}

/// The registry's loop and what it needs.
pub(crate) struct RegistryLoop {
    hub: Arc<Hub>,
    group: Arc<Group>,
    transport: Arc<Transport>,
    clock: Clock,
    quotas: Arc<Quotas>,
    exchange: Mutex<RegistryExchange>,
}

impl RegistryLoop {
    pub fn new(
        hub: Arc<Hub>,
        group: Arc<Group>,
        transport: Arc<Transport>,
        clock: Clock,
        quotas: Arc<Quotas>,
    ) -> Self {
        let exchange = Mutex::new(RegistryExchange::new(group.own));
        RegistryLoop { hub, group, transport, clock, quotas, exchange }
    }

    /// Starts the loop.
    pub fn spawn(self: &Arc<Self>) {
        let registry_loop = self.clone();
        thread::spawn(move || {
            let mut told = Told::default();
            let mut summed_at = BootInstant::now();
            loop {
                told = registry_loop.look(told);
                if summed_at.elapsed() >= SUM_INTERVAL {
                    summed_at = BootInstant::now();
                    registry_loop.log_waiting();
                    registry_loop.quotas.log_scarce();
                }
                thread::sleep(LOOK_INTERVAL);
            }
        });
    }

    /// Does what is due; returns up to where others were told.
    fn look(&self, told: Told) -> Told {
        let now = self.clock.now_ms();
        self.hub.expire(now);
        let members = self.group.members();
        let peers: Vec<MemberId> =
            members.into_iter().filter(|member| *member != self.group.own).collect();
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.hub.lock();
        let due = exchange.tick(&state.registry, &peers, now);
        let loads = state.loads.told_since(told.loads);
        let notices = state.poison.told_since(told.poison, now);
        let told = Told { loads: state.loads.position(), poison: state.poison.position() };
        let listed = state.registry.records().map(|node| (node.address, node.stopping));
        let listed: Vec<(NodeAddress, bool)> = listed.collect();
        drop(state);
        drop(exchange);
        self.quotas.look(listed, &peers, now);
        self.send(due);
        if !loads.is_empty() {
            self.send_all(&peers, CoordinatorFrame::Loads { loads });
        }
        if !notices.is_empty() {
            self.send_all(&peers, CoordinatorFrame::Poison { notices });
        }
        told
    }

    fn send_all(&self, peers: &[MemberId], frame: CoordinatorFrame) {
        self.send(peers.iter().map(|peer| (*peer, frame.clone())));
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
        if let CoordinatorFrame::RegistryDigest { member, .. } = &frame {
            self.quotas.heard_peer(*member, now);
        }
        let frame = match frame {
            CoordinatorFrame::Poison { notices } => {
                self.hub.take_poison(notices, false, now);
                return;
            }
            frame => frame,
        };
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
