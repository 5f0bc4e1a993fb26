//! Keeps the registry and the loads: ends leases, and exchanges both with the other coordinators.

use crate::exchange::{Outgoing, RegistryExchange};
use crate::hub::Hub;
use crate::loads::ServiceLoad;
use crate::membership::Group;
use crate::quotas::Quotas;
use crate::transport::Transport;
use crate::Millis;
use mesh::{CoordinatorFrame, MemberId, NodeAddress, NodeLoad};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use telemetry::{BootInstant, Clock};
use tracing::info;

/// Time between two looks at what changed for the other coordinators: a sidecar that leaves is known to
/// all of them after this time and a question.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks at leases, and at what is not urgent.
const LEASES_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two tellings of loads to coordinators of the own zone, and the least to others.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// What loads for coordinators of other zones may take together, bytes a second: calls stay in their
/// zone while it has room, and bytes between zones are dear.
const FAR_LOAD_BYTES_PER_S: f64 = 16_000.0;

/// Time between two looks at how busy services are.
const SUM_INTERVAL: Duration = Duration::from_secs(1);

/// Positions up to which other coordinators were told, and when they are told again.
#[derive(Debug)]
struct Told {
    near_loads: u64,
    near_due: BootInstant,
    far_loads: u64,
    far_due: BootInstant,
    poison: u64,
    /// How often each of the others may have missed frames when it was told all of poison requests.
    gaps: BTreeMap<MemberId, u64>,
    leases_at: BootInstant,
}

impl Told {
    fn nothing() -> Self {
        let now = BootInstant::now();
        Told {
            near_loads: 0,
            near_due: now,
            far_loads: 0,
            far_due: now,
            poison: 0,
            gaps: BTreeMap::new(),
            leases_at: now,
        }
    }
}

/// The registry's loop and what it needs.
pub(crate) struct RegistryLoop {
    zone: String,
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
        zone: &str,
    ) -> Self {
        group.note_zone(group.own, zone);
        let exchange = RegistryExchange::new(group.own, zone, fastrand::u64(1..));
        let (zone, exchange) = (zone.to_owned(), Mutex::new(exchange));
        RegistryLoop { zone, hub, group, transport, clock, quotas, exchange }
    }

    /// Starts the loop.
    pub fn spawn(self: &Arc<Self>) {
        let registry_loop = self.clone();
        thread::spawn(move || {
            let mut told = Told::nothing();
            let mut summed_at = BootInstant::now();
            loop {
                registry_loop.look(&mut told);
                if summed_at.elapsed() >= SUM_INTERVAL {
                    summed_at = BootInstant::now();
                    registry_loop.log_waiting();
                    registry_loop.quotas.log_scarce();
                }
                thread::sleep(LOOK_INTERVAL);
            }
        });
    }

    /// Does what is due.
    fn look(&self, told: &mut Told) {
        let now = self.clock.now_ms();
        let members = self.group.members();
        let peers: Vec<MemberId> =
            members.into_iter().filter(|member| *member != self.group.own).collect();
        if told.leases_at.elapsed() >= LEASES_INTERVAL {
            told.leases_at = BootInstant::now();
            self.hub.expire(now);
            let state = self.hub.lock();
            let listed = state.registry.records().map(|node| (node.address, node.stopping));
            let listed: Vec<(NodeAddress, bool)> = listed.collect();
            drop(state);
            self.quotas.look(listed, &peers, now);
        }
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let due = exchange.tick(&self.hub.lock().registry, &peers, now);
        drop(exchange);
        self.send(due);
        self.tell_loads(told, &peers);
        self.tell_poison(told, &peers, now);
    }

    /// Tells other coordinators what is new of poison requests, and all of it to those that may have
    /// missed some: a clearing that one of them never heard of would leave its quarantine with all
    /// sidecars that it tells.
    fn tell_poison(&self, told: &mut Told, peers: &[MemberId], now: Millis) {
        let missed = |peer: &MemberId| {
            let gaps = self.transport.gaps(*peer);
            told.gaps.insert(*peer, gaps).unwrap_or(0) != gaps
        };
        let (behind, others): (Vec<MemberId>, Vec<MemberId>) =
            peers.iter().copied().partition(missed);
        let state = self.hub.lock();
        let all = if behind.is_empty() { Vec::new() } else { state.poison.all(now) };
        let news = state.poison.forwarded_since(told.poison, now);
        told.poison = state.poison.position();
        drop(state);
        for (peers, notices) in [(behind, all), (others, news)] {
            if !notices.is_empty() {
                self.send_all(&peers, CoordinatorFrame::Poison { notices });
            }
        }
    }

    /// Tells other coordinators of loads that sidecars told here, if it is time to.
    fn tell_loads(&self, told: &mut Told, peers: &[MemberId]) {
        let now = BootInstant::now();
        let (near, far) = self.by_zone(peers);
        if now >= told.near_due {
            told.near_due = now + LOADS_INTERVAL;
            self.tell_loads_since(&mut told.near_loads, &near);
        }
        if now >= told.far_due {
            let loads = self.tell_loads_since(&mut told.far_loads, &far);
            let bytes = (loads * NodeLoad::BYTES * far.len()) as f64;
            let pause = Duration::from_secs_f64(bytes / FAR_LOAD_BYTES_PER_S);
            told.far_due = now + pause.max(LOADS_INTERVAL);
        }
    }

    /// Coordinators of the own zone, and all others.
    fn by_zone(&self, peers: &[MemberId]) -> (Vec<MemberId>, Vec<MemberId>) {
        let places = self.group.places();
        let near = |member: &MemberId| {
            let place = places.iter().find(|place| place.address == member.address());
            place.is_some_and(|place| place.zone == self.zone)
        };
        peers.iter().partition(|member| near(member))
    }

    /// Tells some coordinators of loads after a position, and moves it on; returns how many.
    fn tell_loads_since(&self, position: &mut u64, peers: &[MemberId]) -> usize {
        let state = self.hub.lock();
        let loads = state.loads.told_since(*position);
        *position = state.loads.position();
        drop(state);
        let count = loads.len();
        if count > 0 {
            self.send_all(peers, CoordinatorFrame::Loads { loads });
        }
        count
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
        if let CoordinatorFrame::ListHeartbeat { member, zone, .. } = &frame {
            self.quotas.heard_peer(*member, now);
            self.group.note_zone(MemberId(*member), zone);
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
            self.hub.wake();
        }
        self.send(answer);
    }

    fn send(&self, frames: impl IntoIterator<Item = Outgoing>) {
        for (to, frame) in frames {
            self.transport.send(to, frame);
        }
    }
}
