//! The exchange between 24 coordinators that are each connected to a part of a large fleet: its
//! cost, and that all lists converge.

use coordinator::{Registry, RegistryExchange};
use mesh::{encode_frame, InstanceRecord, InstanceState, MemberId, NodeAddress, NodeRecord};
use std::collections::VecDeque;
use std::net::Ipv4Addr;

const LEASE_MS: u64 = 3_000;
const STEP_MS: u64 = 50;
const PING_MS: u64 = 1_000;
const COORDINATORS: usize = 24;
const LINKS: usize = 4;
/// A small fleet for a fast test; the planned fleet sizes have a separate test.
const SIDECARS: usize = 240;

fn member(number: usize) -> MemberId {
    MemberId::first_at(Ipv4Addr::new(10, 0, 1, number as u8))
}

fn record(number: usize, boot_id: u64, sequence: u64) -> NodeRecord {
    let ip = Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8);
    NodeRecord {
        address: NodeAddress { ip, port: 8_300 },
        boot_id,
        sequence,
        zone: format!("zone-{}", number % 6),
        service: "balance".to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{number:010}"),
            state: InstanceState::Ready,
            slots: 14,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: "v1".to_owned(),
        }),
    }
}

struct Coordinator {
    registry: Registry,
    exchange: RegistryExchange,
}

impl Coordinator {
    fn new(number: usize, epoch: u64) -> Self {
        let exchange = RegistryExchange::new(member(number), "zone", epoch);
        Coordinator { registry: Registry::new(LEASE_MS), exchange }
    }
}

/// Coordinators and sidecars in virtual time.
struct Fleet {
    now: u64,
    coordinators: Vec<Coordinator>,
    sidecars: Vec<NodeRecord>,
    frames: usize,
    bytes: usize,
}

impl Fleet {
    fn new(sidecars: usize) -> Self {
        let coordinators = (0..COORDINATORS).map(|number| Coordinator::new(number, 1)).collect();
        let sidecars = (0..sidecars).map(|number| record(number, 1, 1)).collect();
        let mut fleet = Fleet { now: 0, coordinators, sidecars, frames: 0, bytes: 0 };
        fleet.report_all();
        fleet
    }

    /// Coordinators to which a sidecar is linked.
    fn links(number: usize) -> impl Iterator<Item = usize> {
        (0..LINKS).map(move |link| (number * 7 + link * 5 + number / COORDINATORS) % COORDINATORS)
    }

    fn report_all(&mut self) {
        for (number, record) in self.sidecars.iter().enumerate() {
            for link in Self::links(number) {
                self.coordinators[link].registry.report(record.clone(), self.now);
            }
        }
    }

    fn ping_all(&mut self) {
        for (number, record) in self.sidecars.iter().enumerate() {
            for link in Self::links(number) {
                let registry = &mut self.coordinators[link].registry;
                registry.alive(&record.address, record.boot_id, self.now);
            }
        }
    }

    fn run(&mut self, time_ms: u64) {
        let end = self.now + time_ms;
        while self.now < end {
            self.now += STEP_MS;
            if self.now.is_multiple_of(PING_MS) {
                self.ping_all();
            }
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let ids: Vec<MemberId> = (0..COORDINATORS).map(member).collect();
        // Connections deliver frames in order.
        let mut in_transit = VecDeque::new();
        for (number, coordinator) in self.coordinators.iter_mut().enumerate() {
            coordinator.registry.expire(self.now);
            let peers: Vec<MemberId> =
                ids.iter().copied().filter(|id| *id != member(number)).collect();
            in_transit.extend(coordinator.exchange.tick(&coordinator.registry, &peers, self.now));
        }
        while let Some((to, frame)) = in_transit.pop_front() {
            let mut encoded = Vec::new();
            encode_frame(&frame, &mut encoded);
            self.frames += 1;
            self.bytes += encoded.len();
            let number = ids
                .iter()
                .position(|id| *id == to)
                .expect("frames are addressed to known coordinators");
            let Coordinator { registry, exchange } = &mut self.coordinators[number];
            in_transit.extend(exchange.receive(registry, frame, self.now).0);
        }
    }

    /// Frames and bytes sent during a period.
    fn cost_of(&mut self, time_ms: u64) -> (usize, usize) {
        (self.frames, self.bytes) = (0, 0);
        self.run(time_ms);
        (self.frames, self.bytes)
    }

    /// Whether all coordinators list exactly the live sidecars, in their latest versions.
    fn agrees(&self) -> bool {
        let mut expected: Vec<(NodeAddress, u64, u64)> =
            self.sidecars.iter().map(|held| (held.address, held.boot_id, held.sequence)).collect();
        expected.sort_unstable();
        let lists = |coordinator: &Coordinator| {
            let records = coordinator.registry.records();
            let listed: Vec<_> =
                records.map(|held| (held.address, held.boot_id, held.sequence)).collect();
            listed == expected
        };
        self.coordinators.iter().all(lists)
    }
}

/// Checks the cost of steady state, of one change, and of restarts of one coordinator, of half of
/// the sidecars and of all coordinators.
fn costs_are_linear(sidecars: usize) {
    let pairs = COORDINATORS * (COORDINATORS - 1);
    let mut fleet = Fleet::new(sidecars);
    fleet.run(1_000);
    assert!(fleet.agrees(), "a second after the start of all");

    // Steady state: one heartbeat per pair, twice a second, regardless of the number of sidecars.
    let (frames, bytes) = fleet.cost_of(10_000);
    assert_eq!(frames, pairs * 20);
    assert!(bytes < pairs * 20 * 60, "{bytes}");
    assert!(fleet.agrees(), "after ten seconds without changes");

    // One sidecar changes: the coordinators linked to it announce the change to all, and each that
    // lacks the record requests it.
    let (links, record) = (LINKS, record(3, 1, 2));
    fleet.sidecars[3] = record.clone();
    for link in Fleet::links(3) {
        fleet.coordinators[link].registry.report(record.clone(), fleet.now);
    }
    let (frames, _) = fleet.cost_of(500);
    let limit = pairs + links * COORDINATORS + 2 * COORDINATORS;
    assert!(frames <= limit, "{frames} frames, limit {limit}");
    assert!(fleet.agrees(), "after one change");

    // A restarted coordinator lists all sidecars within 600 ms.
    fleet.coordinators[5] = Coordinator::new(5, 2);
    for (number, record) in fleet.sidecars.iter().enumerate() {
        if Fleet::links(number).any(|link| link == 5) {
            fleet.coordinators[5].registry.report(record.clone(), fleet.now);
        }
    }
    let (_, bytes) = fleet.cost_of(600);
    assert!(bytes < sidecars * 1_000 + pairs * 500, "{bytes}");
    assert!(fleet.agrees(), "after a coordinator's restart");

    // Half of the sidecars restart.
    for number in 0..sidecars / 2 {
        fleet.sidecars[number] = self::record(number, 2, 1);
    }
    for coordinator in &mut fleet.coordinators {
        for number in 0..sidecars / 2 {
            coordinator.registry.disconnected(&self::record(number, 1, 1).address, 1);
        }
    }
    fleet.report_all();
    let (_, bytes) = fleet.cost_of(1_000);
    // Each record is sent to each coordinator, and its version by each coordinator that is linked
    // to it.
    let each = COORDINATORS * (150 + LINKS * 30);
    assert!(bytes < sidecars / 2 * each + pairs * 500, "{bytes}");
    assert!(fleet.agrees(), "after half of the sidecars restarted");

    // All coordinators restart at once.
    for number in 0..COORDINATORS {
        fleet.coordinators[number] = Coordinator::new(number, 3);
    }
    fleet.report_all();
    fleet.run(1_000);
    assert!(fleet.agrees(), "after all coordinators restarted");
}

#[test]
fn what_coordinators_tell_each_other_is_linear_in_the_fleet() {
    costs_are_linear(SIDECARS);
}

#[test]
fn the_same_at_the_sizes_planned_for() {
    costs_are_linear(982);
    costs_are_linear(2_208);
}

#[test]
fn a_sidecar_that_dies_is_gone_everywhere_a_lease_later_and_not_before() {
    let mut fleet = Fleet::new(60);
    fleet.run(2_000);
    let dead = fleet.sidecars.pop().expect("the fleet has sidecars");
    fleet.run(LEASE_MS - PING_MS);
    let lists = |fleet: &Fleet| {
        fleet.coordinators.iter().filter(|held| held.registry.contains(&dead.address)).count()
    };
    assert_eq!(lists(&fleet), COORDINATORS);
    fleet.run(2 * PING_MS);
    assert_eq!(lists(&fleet), 0);
}
