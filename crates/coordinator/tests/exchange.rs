//! Coordinators that are connected to different sidecars converge to the same list.

use coordinator::{Registry, RegistryExchange};
use mesh::{CoordinatorFrame, InstanceRecord, InstanceState, MemberId, NodeAddress, NodeRecord};
use std::net::Ipv4Addr;

const LEASE_MS: u64 = 3_000;
const STEP_MS: u64 = 250;
const PING_MS: u64 = 1_000;

fn member(host: u8) -> MemberId {
    MemberId::first_at(Ipv4Addr::new(10, 0, 1, host))
}

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(host: u8, boot_id: u64, sequence: u64, state: InstanceState) -> NodeRecord {
    let id = format!("i-{host}-{boot_id}");
    NodeRecord {
        address: address(host),
        boot_id,
        sequence,
        zone: "a".to_owned(),
        service: "s".to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id,
            state,
            slots: 9,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: String::new(),
        }),
    }
}

struct Coordinator {
    id: MemberId,
    registry: Registry,
    exchange: RegistryExchange,
}

/// Coordinators and sidecars in virtual time. Frames between coordinators arrive immediately;
/// sidecars reach a coordinator immediately or, over a cut link, not at all.
struct Fleet {
    now: u64,
    coordinators: Vec<Coordinator>,
    sidecars: Vec<NodeRecord>,
    /// Cut links: index of the coordinator, host of the sidecar.
    cut: Vec<(usize, u8)>,
    frames: Vec<&'static str>,
    /// Kind of frames that are lost, in broken variants.
    lost: &'static str,
}

impl Fleet {
    fn new(coordinators: u8) -> Self {
        let new = |host| Coordinator {
            id: member(host),
            registry: Registry::new(LEASE_MS),
            exchange: RegistryExchange::new(member(host), "a", u64::from(host) + 1),
        };
        Fleet {
            now: 0,
            coordinators: (0..coordinators).map(new).collect(),
            sidecars: Vec::new(),
            cut: Vec::new(),
            frames: Vec::new(),
            lost: "",
        }
    }

    fn report(&mut self, record: NodeRecord) {
        self.sidecars.retain(|held| held.address != record.address);
        self.sidecars.push(record);
        self.contact_all(true);
    }

    fn contact_all(&mut self, reports: bool) {
        for (number, coordinator) in self.coordinators.iter_mut().enumerate() {
            let reached = |record: &&NodeRecord| {
                !self.cut.iter().any(|(at, host)| *at == number && address(*host) == record.address)
            };
            for record in self.sidecars.iter().filter(reached) {
                match reports {
                    true => drop(coordinator.registry.report(record.clone(), self.now)),
                    false => coordinator.registry.alive(&record.address, record.boot_id, self.now),
                }
            }
        }
    }

    fn run(&mut self, time_ms: u64) {
        let end = self.now + time_ms;
        while self.now < end {
            self.now += STEP_MS;
            if self.now.is_multiple_of(PING_MS) {
                self.contact_all(false);
            }
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let ids: Vec<MemberId> = self.coordinators.iter().map(|held| held.id).collect();
        let mut in_transit = Vec::new();
        for coordinator in &mut self.coordinators {
            coordinator.registry.expire(self.now);
            let peers: Vec<MemberId> =
                ids.iter().copied().filter(|id| *id != coordinator.id).collect();
            in_transit.extend(coordinator.exchange.tick(&coordinator.registry, &peers, self.now));
        }
        while let Some((to, frame)) = in_transit.pop() {
            self.frames.push(name_of(&frame));
            if name_of(&frame) == self.lost {
                continue;
            }
            let receiver = self.coordinators.iter_mut().find(|held| held.id == to);
            let Coordinator { registry, exchange, .. } =
                receiver.expect("frames are addressed to known coordinators");
            in_transit.extend(exchange.receive(registry, frame, self.now).0);
        }
    }

    fn listed(&self, number: usize) -> Vec<(u8, u64, InstanceState)> {
        let nodes = self.coordinators[number].registry.changes_since(None).changed;
        let row = |node: &NodeRecord| {
            let state = node.instance.as_ref().expect("each record has an instance").state;
            (node.address.ip.octets()[3], node.sequence, state)
        };
        nodes.iter().map(row).collect()
    }
}

fn name_of(frame: &CoordinatorFrame) -> &'static str {
    match frame {
        CoordinatorFrame::ListHeartbeat { .. } => "list_heartbeat",
        CoordinatorFrame::ListChanges { .. } => "list_changes",
        CoordinatorFrame::ListRequest { .. } => "list_request",
        CoordinatorFrame::RecordsRequest { .. } => "records_request",
        CoordinatorFrame::Records { .. } => "records",
        _ => "other",
    }
}

#[test]
fn a_sidecar_that_one_coordinator_does_not_hear_stays_listed_there() {
    let mut fleet = Fleet::new(3);
    fleet.report(record(1, 7, 1, InstanceState::Ready));
    fleet.report(record(2, 7, 1, InstanceState::Ready));
    fleet.run(2_000);
    fleet.cut.push((0, 1));
    fleet.run(20_000);
    let ready = InstanceState::Ready;
    assert_eq!(fleet.listed(0), [(1, 1, ready), (2, 1, ready)]);
    // The sidecar fails: one lease after any coordinator last heard from it, all have removed it.
    fleet.sidecars.retain(|held| held.address != address(1));
    fleet.run(LEASE_MS + PING_MS);
    for number in 0..3 {
        assert_eq!(fleet.listed(number), [(2, 1, ready)], "coordinator {number}");
    }
}

#[test]
fn changes_behind_a_cut_are_told_by_others() {
    let mut fleet = Fleet::new(3);
    fleet.report(record(1, 7, 1, InstanceState::Ready));
    fleet.cut.extend([(0, 1), (0, 2)]);
    fleet.run(2_000);
    fleet.report(record(1, 7, 2, InstanceState::Draining));
    fleet.report(record(2, 9, 1, InstanceState::Ready));
    fleet.run(3_000);
    let expected = [(1, 2, InstanceState::Draining), (2, 1, InstanceState::Ready)];
    assert_eq!(fleet.listed(0), expected);
}

#[test]
fn a_coordinator_that_restarts_asks_for_all_at_once() {
    let mut fleet = Fleet::new(3);
    fleet.report(record(1, 7, 1, InstanceState::Ready));
    fleet.run(2_000);
    fleet.coordinators[0].registry = Registry::new(LEASE_MS);
    fleet.coordinators[0].exchange = RegistryExchange::new(member(0), "a", 100);
    fleet.exchange();
    assert_eq!(fleet.listed(0), [(1, 1, InstanceState::Ready)]);
}

#[test]
fn coordinators_that_agree_send_each_other_beats_only() {
    let mut fleet = Fleet::new(3);
    for host in 1..=40 {
        fleet.report(record(host, 7, 1, InstanceState::Ready));
    }
    fleet.run(3_000);
    fleet.frames.clear();
    fleet.run(10_000);
    assert_eq!(fleet.frames, ["list_heartbeat"; 120]);
}

#[test]
fn coordinators_that_start_together_list_what_any_of_them_hears() {
    let mut fleet = Fleet::new(2);
    fleet.cut.extend([(0, 1), (1, 2)]);
    fleet.run(500);
    fleet.report(record(1, 7, 1, InstanceState::Ready));
    fleet.report(record(2, 7, 1, InstanceState::Ready));
    fleet.run(STEP_MS);
    for number in 0..2 {
        assert_eq!(fleet.listed(number).len(), 2, "coordinator {number}");
    }
}

/// The lists of the coordinators after random cuts, failures and restarts followed by one lease
/// without any, and the expected list.
struct Outcome {
    listed: Vec<Vec<(u8, u64, InstanceState)>>,
    expected: Vec<u8>,
}

impl Outcome {
    /// Whether all lists are equal and contain exactly the live sidecars.
    fn holds(&self) -> bool {
        let hosts = |listed: &Vec<(u8, u64, InstanceState)>| -> Vec<u8> {
            listed.iter().map(|row| row.0).collect()
        };
        let first = self.listed.first().expect("there are coordinators");
        self.listed.iter().all(|listed| listed == first && hosts(listed) == self.expected)
    }
}

/// `heals`: whether all cuts end, or one coordinator stays disconnected from some sidecars.
fn after_faults(seed: u64, lost: &'static str, heals: bool) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(random.u8(2..7));
    fleet.lost = lost;
    let count = fleet.coordinators.len();
    for step in 1..40_u64 {
        let host = random.u8(1..10);
        match random.u8(0..10) {
            0..2 => fleet.report(record(host, step, step, InstanceState::Ready)),
            2..4 => {
                let held = fleet.sidecars.iter().find(|held| held.address == address(host));
                if let Some(boot_id) = held.map(|held| held.boot_id) {
                    fleet.report(record(host, boot_id, step, InstanceState::Draining));
                }
            }
            4 => fleet.sidecars.retain(|held| held.address != address(host)),
            5..7 => fleet.cut.push((random.usize(0..count), host)),
            7 => fleet.cut.clear(),
            8 => {
                let restarted = &mut fleet.coordinators[random.usize(0..count)];
                restarted.registry = Registry::new(LEASE_MS);
                restarted.exchange = RegistryExchange::new(restarted.id, "a", 100 + step);
            }
            _ => fleet.run(random.u64(1..8) * STEP_MS),
        }
    }
    match heals {
        true => fleet.cut.clear(),
        false => fleet.cut = vec![(0, 1), (0, 2), (0, 3)],
    }
    fleet.contact_all(true);
    fleet.run(LEASE_MS + 2 * PING_MS);
    let mut expected: Vec<u8> =
        fleet.sidecars.iter().map(|held| held.address.ip.octets()[3]).collect();
    expected.sort_unstable();
    Outcome { listed: (0..count).map(|number| fleet.listed(number)).collect(), expected }
}

#[test]
fn all_agree_a_while_after_faults_end() {
    for seed in 0..2_000 {
        assert!(after_faults(seed, "", true).holds(), "seed {seed}");
    }
}

#[test]
fn all_agree_while_one_coordinator_stays_cut_off_from_some() {
    for seed in 0..2_000 {
        assert!(after_faults(seed, "", false).holds(), "seed {seed}");
    }
}

#[test]
fn broken_variants_are_noticed() {
    for lost in ["records", "list_heartbeat", "list_changes", "list_request", "records_request"] {
        let noticed = (0..200).find(|seed| !after_faults(*seed, lost, false).holds());
        assert!(noticed.is_some(), "no seed detects the loss of `{lost}` frames");
    }
}
