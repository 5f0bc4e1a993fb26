//! The fleet-wide limit on the calls sent to a cold upstream.

use mesh::{InstanceRecord, InstanceState, NodeAddress, NodeRecord, Track};
use placement::{LatencyHistogram, Locality, PlacementView, Request, Urgency};
use std::net::Ipv4Addr;

const SERVICE: &str = "fares";
const UPSTREAMS: u8 = 10;
const COLD: u8 = 3;
const COLD_MS: u32 = 3_000;
const PER_S: f64 = 20.0;

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(host: u8, cold_remaining_ms: u32) -> NodeRecord {
    NodeRecord {
        address: address(host),
        boot_id: 1,
        sequence: 1 + u64::from(cold_remaining_ms > 0),
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{host}"),
            state: InstanceState::Ready,
            slots: 9,
            cold_remaining_ms,
            born_ms: 0,
            version: String::new(),
        }),
    }
}

/// Nodes that know `UPSTREAMS` upstreams of a service, of which those selected by `cold` just
/// became cold.
fn nodes(cold: impl Fn(u8) -> bool, limited: bool) -> Vec<PlacementView> {
    let node = |own: u8| {
        let mut view = PlacementView::new(Locality::new(address(own), "a"));
        for host in 0..UPSTREAMS {
            view.update(record(host, 0), 0);
        }
        for other in 100..130 {
            view.update(NodeRecord { service: "other".to_owned(), ..record(other, 0) }, 0);
        }
        for host in (0..UPSTREAMS).filter(|host| cold(*host)) {
            view.update(record(host, COLD_MS), 0);
        }
        if limited {
            view.set_cold_rates([(SERVICE.into(), PER_S)].into());
        }
        view
    };
    (100..130).map(node).collect()
}

/// Calls sent to each upstream within one second, in which each node makes one call every 20 ms.
fn sent_in_a_second(views: &mut [PlacementView]) -> Vec<usize> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut sent = vec![0; usize::from(UPSTREAMS)];
    for now in (0..1_000).step_by(20) {
        for view in &mut *views {
            let request = Request {
                service: SERVICE,
                track: Track::Stable,
                urgency: Urgency { rank: 1, target_ms: 400 },
                usual_ms: 100.0,
                spread: &LatencyHistogram::default(),
                moved_bytes: 1_500.0,
                target_ms: 400.0,
                left_ms: 2_000,
                body_bytes: 0,
                tried: &[],
            };
            let chosen = view.choose(&request, now, &mut random).expect("all are live");
            view.note_sent(&chosen, 0.0, now);
            view.get_mut(&chosen).expect("chosen").outstanding -= 1;
            sent[usize::from(chosen.ip.octets()[3])] += 1;
        }
    }
    sent
}

#[test]
fn all_nodes_together_send_a_cold_upstream_what_it_bears() {
    let sent = sent_in_a_second(&mut nodes(|host| host == COLD, true));
    let cold = sent[usize::from(COLD)];
    assert!((5..=30).contains(&cold), "{sent:?}");
    let all: usize = sent.iter().sum();
    assert_eq!(all, 30 * 50, "every call gets an upstream");
}

#[test]
fn without_the_rate_the_same_check_fails() {
    let sent = sent_in_a_second(&mut nodes(|host| host == COLD, false));
    assert!(sent[usize::from(COLD)] > 30, "{sent:?}");
}

#[test]
fn where_all_are_cold_calls_are_sent_all_the_same() {
    // Each upstream refuses excess calls itself; a sender does not know what others send.
    let sent = sent_in_a_second(&mut nodes(|_| true, true));
    assert_eq!(sent.iter().sum::<usize>(), 30 * 50, "{sent:?}");
}

// Guards against nodes exceeding their share of the limit after their list of known nodes shrank.
#[test]
fn nodes_that_lost_sight_of_others_send_a_cold_upstream_no_more() {
    let mut views = nodes(|host| host == COLD, true);
    for view in &mut views {
        view.retain(|key| key.ip.octets()[3] <= 100, 0);
        assert_eq!(view.nodes(), usize::from(UPSTREAMS) + 1);
    }
    let sent = sent_in_a_second(&mut views);
    assert!((5..=30).contains(&sent[usize::from(COLD)]), "{sent:?}");
}
