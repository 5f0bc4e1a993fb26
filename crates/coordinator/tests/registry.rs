//! The registry of sidecars: leases, boot ids, persistent leaving states, and the changes that
//! readers receive.

use coordinator::{Contacts, DepartureExchange, Outgoing, Registry, Source};
use mesh::{
    CoordinatorFrame, HeardNode, InstanceRecord, InstanceState, KnownDeparture, MemberId,
    NodeAddress, NodeRecord,
};
use std::net::Ipv4Addr;

const LEASE_MS: u64 = 3_000;

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(
    host: u8,
    boot_id: u64,
    sequence: u64,
    instance: Option<(&str, InstanceState)>,
) -> NodeRecord {
    let instance = instance.map(|(id, state)| InstanceRecord {
        id: id.to_owned(),
        state,
        slots: 9,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    });
    NodeRecord {
        address: address(host),
        boot_id,
        sequence,
        zone: "a".to_owned(),
        service: "s".to_owned(),
        stopping: false,
        instance,
    }
}

fn state_of(registry: &Registry, host: u8) -> Option<InstanceState> {
    let all = registry.changes_since(None).changed;
    let found = all.into_iter().find(|node| node.address == address(host));
    found.and_then(|node| node.instance).map(|instance| instance.state)
}

#[test]
fn a_lease_ends_without_signs_of_life() {
    let mut registry = Registry::new(LEASE_MS);
    registry.report(record(1, 7, 1, None), 0);
    registry.alive(&address(1), 7, 2_000);
    assert!(!registry.expire(5_000));
    registry.alive(&address(1), 6, 5_000);
    assert!(registry.expire(5_001), "messages of another boot do not renew the lease");
    assert_eq!(registry.nodes(), 0);
}

/// Guards against a record from before a cut that passes for the last word of a killed sidecar.
#[test]
fn a_link_that_ended_vouches_until_the_process_is_heard_of_again() {
    let ready = Some(("i-1", InstanceState::Ready));
    let ended = || {
        let mut registry = Registry::new(LEASE_MS);
        registry.report(record(1, 7, 1, ready), 0);
        registry.link_ended(&address(1), 7, 1_000);
        registry.disconnected(&address(1), 7);
        registry
    };
    let ended_ms = |registry: &Registry| registry.ended_ms(&address(1), 7, 1_900);
    assert_eq!(ended_ms(&ended()), Some(900), "it certainly ran when it was heard");

    let mut linked_again = ended();
    linked_again.report(record(1, 7, 1, ready), 1_400);
    assert_eq!(ended_ms(&linked_again), None);

    let mut second_link = ended();
    second_link.alive(&address(1), 7, 1_400);
    assert_eq!(ended_ms(&second_link), None);

    let mut heard_elsewhere = ended();
    let later = record(1, 7, 2, ready);
    heard_elsewhere.merge_from_peer(HeardNode { record: later, silent_ms: 0 }, 1_400);
    assert_eq!(ended_ms(&heard_elsewhere), None);

    let mut next_process = ended();
    next_process.report(record(1, 8, 0, None), 1_400);
    next_process.link_ended(&address(1), 8, 1_500);
    assert_eq!(ended_ms(&next_process), None, "its end says nothing of the record of process 7");

    let mut linked_still = Registry::new(LEASE_MS);
    linked_still.report(record(1, 7, 1, ready), 0);
    assert_eq!(ended_ms(&linked_still), None);

    let mut stopped = Registry::new(LEASE_MS);
    stopped.report(NodeRecord { stopping: true, ..record(1, 7, 1, ready) }, 0);
    stopped.link_ended(&address(1), 7, 1_000);
    stopped.disconnected(&address(1), 7);
    assert_eq!(ended_ms(&stopped), Some(900), "a planned stop removes the node, not its record");

    let mut forgotten = ended();
    forgotten.expire(70_000);
    assert_eq!(ended_ms(&forgotten), None);
}

/// Guards against the end of a process that a cut held up: another process may have run since.
#[test]
fn the_end_of_a_link_that_arrives_after_a_cut_counts_from_before_the_cut() {
    let mut contacts = Contacts::first(0);
    contacts.note(1_000);
    // What the cut held up arrives at once, the end of the connection last.
    contacts.note(3_400);
    contacts.note(3_410);
    assert_eq!(contacts.last_before(3_420), 1_000);
    // Without a cut, the last frame but those of the last moment counts.
    let mut contacts = Contacts::first(0);
    contacts.note(1_000);
    assert_eq!(contacts.last_before(1_300), 1_000);
    assert_eq!(contacts.last_before(1_100), 0);
    // While frames arrive often, the end is known closely.
    let mut contacts = Contacts::first(0);
    (0..3_000).step_by(150).for_each(|now| contacts.note(now));
    let ran_at = contacts.last_before(2_900);
    assert!((2_300..=2_900).contains(&ran_at), "{ran_at}");
}

#[test]
fn a_lost_connection_alone_removes_nobody_but_who_was_stopping() {
    let mut registry = Registry::new(LEASE_MS);
    registry.report(record(1, 7, 1, None), 0);
    assert!(!registry.disconnected(&address(1), 7));
    assert_eq!(registry.nodes(), 1);
    let stopping = NodeRecord { stopping: true, ..record(1, 7, 2, None) };
    registry.report(stopping, 10);
    assert!(
        !registry.disconnected(&address(1), 6),
        "the delayed end of an earlier process's connection"
    );
    assert!(registry.disconnected(&address(1), 7));
    assert_eq!(registry.nodes(), 0);
}

#[test]
fn the_end_of_an_incarnation_outlives_its_sidecar() {
    let mut registry = Registry::new(LEASE_MS);
    registry.report(record(1, 7, 1, Some(("i-1", InstanceState::Draining))), 0);
    // The sidecar is killed, loses its state, and receives a delayed heartbeat of its upstream.
    registry.report(record(1, 8, 1, None), 1_000);
    let last = registry.last_record(&address(1)).expect("the last record is kept");
    assert_eq!(last.instance.expect("the last record is kept").state, InstanceState::Draining);
    registry.report(record(1, 8, 2, Some(("i-1", InstanceState::Ready))), 1_500);
    assert_eq!(state_of(&registry, 1), Some(InstanceState::Draining));
    // The leaving state does not apply to a new incarnation at the same address.
    registry.report(record(1, 8, 3, Some(("i-2", InstanceState::Ready))), 2_000);
    assert_eq!(state_of(&registry, 1), Some(InstanceState::Ready));
}

#[test]
fn an_older_report_of_the_same_life_changes_nothing() {
    let mut registry = Registry::new(LEASE_MS);
    assert!(registry.report(record(1, 7, 5, Some(("i-1", InstanceState::Ready))), 0));
    let position = registry.position();
    assert!(!registry.report(record(1, 7, 4, None), 10));
    assert_eq!(registry.position(), position);
}

/// A reader that applies deltas.
#[derive(Default)]
struct Reader {
    position: Option<u64>,
    nodes: std::collections::BTreeMap<NodeAddress, NodeRecord>,
}

impl Reader {
    fn follow(&mut self, registry: &Registry) {
        let changes = registry.changes_since(self.position);
        if changes.whole {
            self.nodes.clear();
        }
        for gone in &changes.gone {
            self.nodes.remove(gone);
        }
        for node in changes.changed {
            self.nodes.insert(node.address, node);
        }
        self.position = Some(changes.position);
    }
}

#[test]
fn a_reader_of_deltas_sees_what_a_new_reader_sees() {
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut registry = Registry::new(LEASE_MS);
        let mut follower = Reader::default();
        let mut now = 0;
        for step in 0..120 {
            now += random.u64(0..800);
            let host = random.u8(1..9);
            let boot_id = random.u64(1..3);
            match random.u8(0..10) {
                0..6 => {
                    let instance = Some(("i", InstanceState::Ready));
                    registry.report(record(host, boot_id, step, instance), now);
                }
                6 => {
                    let node = NodeRecord { stopping: true, ..record(host, boot_id, step, None) };
                    registry.report(node, now);
                    registry.disconnected(&address(host), boot_id);
                }
                _ => {
                    registry.expire(now);
                }
            }
            if random.bool() {
                follower.follow(&registry);
            }
        }
        follower.follow(&registry);
        let mut fresh = Reader::default();
        fresh.follow(&registry);
        assert_eq!(follower.nodes, fresh.nodes, "seed {seed}");
    }
}

fn heard(host: u8, boot_id: u64, sequence: u64, silent_ms: u32) -> HeardNode {
    let instance = Some(("i", InstanceState::Ready));
    HeardNode { record: record(host, boot_id, sequence, instance), silent_ms }
}

fn version_of(registry: &Registry, host: u8) -> Option<(u64, u64)> {
    let found = registry.records().find(|record| record.address == address(host));
    found.map(|record| (record.boot_id, record.sequence))
}

/// A test case: the record known here, the record reported by another coordinator, and the expected
/// entry.
struct MergeCase {
    name: &'static str,
    /// Boot id, sequence, and time of the report here.
    known: Option<(u64, u64, u64)>,
    connected: bool,
    reported: HeardNode,
    listed: Option<(u64, u64)>,
}

#[test]
fn another_coordinator_vouches_for_what_is_not_heard_here() {
    const NOW: u64 = 10_000;
    let cases = [
        MergeCase {
            name: "an unknown sidecar",
            known: None,
            connected: false,
            reported: heard(1, 7, 3, 100),
            listed: Some((7, 3)),
        },
        MergeCase {
            name: "an unknown sidecar whose lease expired",
            known: None,
            connected: false,
            reported: heard(1, 7, 3, 3_001),
            listed: None,
        },
        MergeCase {
            name: "a newer record of the same boot",
            known: Some((7, 3, 9_000)),
            connected: true,
            reported: heard(1, 7, 4, 100),
            listed: Some((7, 4)),
        },
        MergeCase {
            name: "an older record of the same boot",
            known: Some((7, 3, 9_000)),
            connected: false,
            reported: heard(1, 7, 2, 100),
            listed: Some((7, 3)),
        },
        MergeCase {
            name: "another boot of a sidecar that is heard directly",
            known: Some((7, 3, 9_500)),
            connected: true,
            reported: heard(1, 6, 90, 0),
            listed: Some((7, 3)),
        },
        MergeCase {
            name: "a later boot of a sidecar that is no longer heard",
            known: Some((7, 3, 9_000)),
            connected: false,
            reported: heard(1, 8, 1, 100),
            listed: Some((8, 1)),
        },
        MergeCase {
            name: "an earlier boot of a sidecar that is no longer heard",
            known: Some((7, 3, 9_000)),
            connected: false,
            reported: heard(1, 6, 90, 1_400),
            listed: Some((7, 3)),
        },
    ];
    for case in cases {
        let mut registry = Registry::new(LEASE_MS);
        if let Some((boot_id, sequence, at)) = case.known {
            let instance = Some(("i", InstanceState::Ready));
            registry.report(record(1, boot_id, sequence, instance), at);
            if !case.connected {
                registry.disconnected(&address(1), boot_id);
            }
        }
        let before = version_of(&registry, 1);
        let changed = registry.merge_from_peer(case.reported, NOW);
        assert_eq!(version_of(&registry, 1), case.listed, "{}", case.name);
        assert_eq!(
            changed,
            before != case.listed,
            "{}: readers are notified of changes",
            case.name
        );
    }
}

#[test]
fn vouching_lasts_as_long_as_somebody_hears_the_sidecar() {
    let mut registry = Registry::new(LEASE_MS);
    registry.report(record(1, 7, 1, None), 0);
    assert_eq!(registry.heard_entries(1_000).count(), 1);
    assert_eq!(registry.heard_entries(1_500).count(), 0);
    for at in [1_500, 2_500, 3_500, 4_500] {
        registry.merge_from_peer(HeardNode { record: record(1, 7, 1, None), silent_ms: 400 }, at);
        registry.expire(at + 500);
        assert_eq!(registry.nodes(), 1);
        assert!(
            registry.heard(&[address(1)], at).is_empty(),
            "sidecars heard by others are not reported"
        );
    }
    assert!(!registry.expire(7_100), "the lease counts from when it was last heard from");
    assert!(registry.expire(7_101));
}

#[test]
fn a_mark_that_another_coordinator_vouches_for_sticks() {
    let mut registry = Registry::new(LEASE_MS);
    let leaving = record(1, 7, 4, Some(("i-1", InstanceState::Draining)));
    registry.merge_from_peer(HeardNode { record: leaving, silent_ms: 0 }, 0);
    // Its sidecar was killed, lost its state, and receives a delayed heartbeat.
    registry.report(record(1, 8, 1, Some(("i-1", InstanceState::Ready))), 500);
    assert_eq!(state_of(&registry, 1), Some(InstanceState::Draining));
}

#[test]
fn an_end_binds_the_start_that_it_was_told_of() {
    let record_started_at = |sequence, state, born_ms| {
        let mut record = record(1, 7, sequence, Some(("i-1", state)));
        record.instance.as_mut().expect("the record has an instance").born_ms = born_ms;
        record
    };
    let mut registry = Registry::new(LEASE_MS);
    registry.report(record_started_at(1, InstanceState::Left, 1_000), 0);
    registry.report(record_started_at(2, InstanceState::Ready, 1_000), 10);
    let state = |registry: &Registry| {
        let record = registry.last_record(&address(1)).expect("the sidecar is known");
        record.instance.expect("the record has an instance").state
    };
    assert_eq!(state(&registry), InstanceState::Left, "the same incarnation");
    registry.report(record_started_at(3, InstanceState::Ready, 9_000), 20);
    assert_eq!(state(&registry), InstanceState::Ready, "a restart with the same id");
}

#[test]
fn an_upstream_is_cold_for_as_long_as_it_told_and_no_longer_for_those_who_hear_later() {
    let mut cold = record(1, 7, 1, Some(("i-1", InstanceState::Ready)));
    cold.instance.as_mut().expect("the record has an instance").cold_remaining_ms = 3_000;
    let mut registry = Registry::new(LEASE_MS);
    registry.report(cold, 10_000);
    let remaining = |record: &NodeRecord| {
        record.instance.as_ref().expect("the record has an instance").cold_remaining_ms
    };
    let listed_remaining =
        |registry: &Registry| remaining(&registry.changes_since(None).changed[0]);
    assert_eq!(listed_remaining(&registry), 3_000);
    registry.expire(11_000);
    assert_eq!(listed_remaining(&registry), 2_000);
    let heard = registry.heard(&[address(1)], 11_200);
    assert_eq!(remaining(&heard[0].record), 1_800, "for other coordinators");
    // The remaining cold time of a record reported by another coordinator continues to decrease
    // here.
    let mut other = Registry::new(LEASE_MS);
    other.merge_from_peer(heard[0].clone(), 11_300);
    other.expire(12_300);
    assert_eq!(listed_remaining(&other), 800);
    // Its sidecar restarts after the cold time: the upstream is warm.
    registry.alive(&address(1), 7, 13_900);
    registry.expire(14_000);
    let last = registry.last_record(&address(1)).expect("the sidecar is known");
    assert_eq!(remaining(&last), 0);
}

/// The departures that a coordinator keeps on disk and passes on, by the position at which it learned them.
#[test]
fn departures_are_told_from_a_position_on_and_only_move_forward() {
    let mut registry = Registry::new(LEASE_MS);
    registry.report(record(1, 7, 1, Some(("i-1", InstanceState::Draining))), 0);
    let told =
        HeardNode { record: record(2, 7, 1, Some(("i-2", InstanceState::Left))), silent_ms: 0 };
    registry.merge_from_peer(told, 10);
    let ids = |departures: Vec<KnownDeparture>| -> Vec<String> {
        departures.into_iter().map(|known| known.incarnation.id).collect()
    };
    let position = registry.departures().position();
    assert_eq!(ids(registry.departures().since(0)), ["i-1", "i-2"]);
    assert_eq!(ids(registry.departures().own_since(0)), ["i-1"], "others tell theirs themselves");
    assert_eq!(ids(registry.departures().since(position)), [""; 0]);

    registry.report(record(1, 7, 2, Some(("i-1", InstanceState::Left))), 20);
    assert_eq!(ids(registry.departures().since(position)), ["i-1"], "it is further on");
    let left = registry.departures().beside(&address(1));
    assert_eq!(left.iter().map(|known| known.state).collect::<Vec<_>>(), [InstanceState::Left]);

    let older = KnownDeparture { state: InstanceState::Draining, ..left[0].clone() };
    assert!(!registry.add_departures(vec![older], Source::Peer, 30), "it never moves back");
    assert_eq!(ids(registry.departures().recent(600_015)), ["i-1"], "long ago is not passed on");
}

/// What a coordinator tells others about departures, and when it knows of all of them.
#[test]
fn a_coordinator_that_missed_departures_is_told_all_of_them() {
    let members: Vec<MemberId> =
        (1..=3).map(|host| MemberId::first_at(Ipv4Addr::new(10, 0, 1, host))).collect();
    let mut registry = Registry::new(LEASE_MS);
    let mut exchange = DepartureExchange::new(members[0]);
    registry.report(record(1, 7, 1, Some(("i-1", InstanceState::Left))), 0);
    let told = |frames: Vec<Outgoing>| -> Vec<(MemberId, bool, usize)> {
        let told = |(to, frame): Outgoing| match frame {
            CoordinatorFrame::Departures { whole, departures, .. } => (to, whole, departures.len()),
            frame => panic!("{frame:?}"),
        };
        frames.into_iter().map(told).collect()
    };
    let (behind, others) = (&members[1..2], &members[2..]);
    let frames = exchange.due(registry.departures(), behind, others, 10);
    assert_eq!(told(frames), [(members[1], true, 1), (members[2], false, 1)]);
    let frames = exchange.due(registry.departures(), &[], &members[1..], 20);
    assert_eq!(told(frames), [], "nothing is new");
    let frames = exchange.due(registry.departures(), &members[2..], behind, 30);
    assert_eq!(told(frames), [(members[2], true, 1)], "it may have missed some");

    assert!(!exchange.is_complete(&members), "nobody has told anything");
    exchange.heard_whole(members[1]);
    assert!(!exchange.is_complete(&members));
    exchange.heard_whole(members[2]);
    assert!(exchange.is_complete(&members));
    assert!(!exchange.is_complete(&[]), "it is not in the group yet");
}
