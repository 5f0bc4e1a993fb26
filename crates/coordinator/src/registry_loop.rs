//! Maintains the registry and the loads: expires leases, and exchanges both with other
//! coordinators.

use crate::departure_exchange::DepartureExchange;
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

/// Interval between checks for changes to send to other coordinators. All of them learn of a
/// leaving sidecar after this time and one request.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks of leases and other tasks that are not urgent.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between load updates to coordinators of the own zone, and minimum interval to others.
const LOADS_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum total rate of loads to coordinators of other zones, bytes per second: calls stay in
/// their zone while it has capacity, and traffic between zones is expensive.
const FAR_LOAD_BYTES_PER_S: f64 = 16_000.0;

/// Interval between logs of services with queued calls.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Positions up to which other coordinators were updated, and the times of the next updates.
#[derive(Debug)]
struct SentState {
    near_loads: u64,
    near_due_at: BootInstant,
    far_loads: u64,
    far_due_at: BootInstant,
    poison: u64,
    /// [`Transport::gaps`] of each other coordinator when it was last sent everything.
    gaps: BTreeMap<MemberId, u64>,
    leases_checked_at: BootInstant,
}

impl SentState {
    fn initial() -> Self {
        let now = BootInstant::now();
        SentState {
            near_loads: 0,
            near_due_at: now,
            far_loads: 0,
            far_due_at: now,
            poison: 0,
            gaps: BTreeMap::new(),
            leases_checked_at: now,
        }
    }
}

/// The loop that maintains the registry.
pub(crate) struct RegistryLoop {
    zone: String,
    hub: Arc<Hub>,
    group: Arc<Group>,
    transport: Arc<Transport>,
    clock: Clock,
    quotas: Arc<Quotas>,
    exchange: Mutex<RegistryExchange>,
    departures: Mutex<DepartureExchange>,
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
        let departures = Mutex::new(DepartureExchange::new(group.own));
        RegistryLoop { zone, hub, group, transport, clock, quotas, exchange, departures }
    }

    /// Starts the loop.
    pub fn spawn(self: &Arc<Self>) {
        let registry_loop = self.clone();
        thread::spawn(move || {
            let mut sent = SentState::initial();
            let mut logged_at = BootInstant::now();
            loop {
                registry_loop.tick(&mut sent);
                if logged_at.elapsed() >= LOAD_LOG_INTERVAL {
                    logged_at = BootInstant::now();
                    registry_loop.log_queued();
                    registry_loop.quotas.log_refusals();
                }
                thread::sleep(TICK_INTERVAL);
            }
        });
    }

    /// Performs the tasks that are due.
    fn tick(&self, sent: &mut SentState) {
        let now = self.clock.now_ms();
        let members = self.group.members();
        let peers: Vec<MemberId> =
            members.into_iter().filter(|member| *member != self.group.own).collect();
        if sent.leases_checked_at.elapsed() >= LEASE_CHECK_INTERVAL {
            sent.leases_checked_at = BootInstant::now();
            self.hub.expire(now);
            let state = self.hub.lock();
            let listed = state.registry.records().map(|node| (node.address, node.stopping));
            let listed: Vec<(NodeAddress, bool)> = listed.collect();
            drop(state);
            self.quotas.update(listed, &peers, now);
        }
        let mut exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner);
        let due = exchange.tick(&self.hub.lock().registry, &peers, now);
        drop(exchange);
        self.send(due);
        self.send_loads(sent, &peers);
        let may_have_missed = |peer: &MemberId| {
            let gaps = self.transport.gaps(*peer);
            sent.gaps.insert(*peer, gaps).unwrap_or(0) != gaps
        };
        let (behind, others): (Vec<MemberId>, Vec<MemberId>) =
            peers.iter().copied().partition(may_have_missed);
        self.send_poison_events(sent, &behind, &others, now);
        self.send_departures(&behind, &others, now);
    }

    /// Sends new departures to other coordinators, and all recent ones to those that may have missed
    /// some.
    fn send_departures(&self, behind: &[MemberId], others: &[MemberId], now: Millis) {
        let mut exchange = self.departures.lock().unwrap_or_else(PoisonError::into_inner);
        let due = exchange.due(self.hub.lock().registry.departures(), behind, others, now);
        let complete = exchange.is_complete(&self.group.members());
        drop(exchange);
        self.hub.set_departures_complete(complete);
        self.send(due);
    }

    /// Sends new poison events to other coordinators, and all events to those that may have missed
    /// some: a coordinator that missed a clearing would keep the request in quarantine at all its
    /// sidecars.
    fn send_poison_events(
        &self,
        sent: &mut SentState,
        behind: &[MemberId],
        others: &[MemberId],
        now: Millis,
    ) {
        let state = self.hub.lock();
        let all_notices = if behind.is_empty() { Vec::new() } else { state.poison.all(now) };
        let new_notices = state.poison.forwarded_since(sent.poison, now);
        sent.poison = state.poison.position();
        drop(state);
        for (peers, notices) in [(behind, all_notices), (others, new_notices)] {
            if !notices.is_empty() {
                self.send_all(peers, CoordinatorFrame::Poison { notices });
            }
        }
    }

    /// Sends loads that sidecars reported here to other coordinators, if an update is due.
    fn send_loads(&self, sent: &mut SentState, peers: &[MemberId]) {
        let now = BootInstant::now();
        let (near, far) = self.by_zone(peers);
        if now >= sent.near_due_at {
            sent.near_due_at = now + LOADS_INTERVAL;
            self.send_loads_since(&mut sent.near_loads, &near);
        }
        if now >= sent.far_due_at {
            let loads = self.send_loads_since(&mut sent.far_loads, &far);
            let bytes = (loads * NodeLoad::BYTES * far.len()) as f64;
            let pause = Duration::from_secs_f64(bytes / FAR_LOAD_BYTES_PER_S);
            sent.far_due_at = now + pause.max(LOADS_INTERVAL);
        }
    }

    /// Coordinators of the own zone, and all others.
    fn by_zone(&self, peers: &[MemberId]) -> (Vec<MemberId>, Vec<MemberId>) {
        let locations = self.group.locations();
        let near = |member: &MemberId| {
            let location = locations.iter().find(|location| location.address == member.address());
            location.is_some_and(|location| location.zone == self.zone)
        };
        peers.iter().partition(|member| near(member))
    }

    /// Sends loads after a position to some coordinators and advances the position; returns their
    /// number.
    fn send_loads_since(&self, position: &mut u64, peers: &[MemberId]) -> usize {
        let state = self.hub.lock();
        let loads = state.loads.reported_since(*position);
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

    /// Logs the services with queued calls, and their free slots.
    fn log_queued(&self) {
        let state = self.hub.lock();
        let services = state.loads.by_service(state.registry.records());
        for (service, load) in services.into_iter().filter(|(_, load)| load.queued > 0) {
            let ServiceLoad { upstreams, slots, free, idle, queued, with_queue } = load;
            info!(%service, upstreams, slots, free, idle, queued, with_queue, "calls_wait");
        }
    }

    /// Handles a frame of another coordinator.
    pub fn receive(&self, frame: CoordinatorFrame) {
        if let CoordinatorFrame::Loads { loads } = &frame {
            self.hub.lock().loads.merge_forwarded(loads);
            return;
        }
        let now = self.clock.now_ms();
        if let CoordinatorFrame::ListHeartbeat { member, zone, .. } = &frame {
            self.quotas.heard_peer(*member, now);
            self.group.note_zone(MemberId(*member), zone);
        }
        let frame = match frame {
            CoordinatorFrame::Poison { notices } => {
                self.hub.receive_poison(notices, false, now);
                return;
            }
            CoordinatorFrame::Departures { member, whole, departures } => {
                if whole {
                    let mut exchange =
                        self.departures.lock().unwrap_or_else(PoisonError::into_inner);
                    exchange.heard_whole(MemberId(member));
                }
                self.hub.receive_departures(departures, now);
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
