//! What upstreams stated in answers to a node binds the node, whatever becomes of their records.

use mesh::{
    CallRate, Incarnation, InstanceRecord, InstanceState, LimitReport, NodeAddress, NodeRecord,
    Track,
};
use placement::{LatencyHistogram, Locality, PlacementView, Request, Urgency};
use statements::StatementReport;
use std::net::Ipv4Addr;

const SERVICE: &str = "fares";
const UPSTREAMS: u8 = 4;
const NODES: u8 = 20;
const LIMITED: u8 = 2;
const LEAVING: StatementReport = StatementReport { rate_limit: None, leaving: true };

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(host: u8, boot_id: u64, born_ms: u64) -> NodeRecord {
    NodeRecord {
        address: address(host),
        boot_id,
        sequence: 1,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{host}"),
            state: InstanceState::Ready,
            slots: 9,
            cold_remaining_ms: 0,
            born_ms,
            version: String::new(),
        }),
    }
}

fn incarnation(host: u8, born_ms: u64) -> Incarnation {
    Incarnation { id: format!("i-{host}"), born_ms }
}

/// A node that knows the upstreams and as many other nodes as there are.
fn view(own: u8) -> PlacementView {
    let mut view = PlacementView::new(Locality::new(address(own), "a"));
    for host in 0..UPSTREAMS {
        view.update(record(host, 1, 100), 0);
    }
    for other in UPSTREAMS..NODES {
        view.update(NodeRecord { service: "other".to_owned(), ..record(other, 1, 100) }, 0);
    }
    view
}

fn limited(per_s: f64) -> StatementReport {
    let rate = CallRate::from_per_s(per_s).expect("a rate");
    StatementReport { rate_limit: Some(LimitReport::Limited(rate)), leaving: false }
}

fn chosen(view: &PlacementView, tried: &[NodeAddress], now: u64) -> Option<u8> {
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
        tried,
    };
    let mut random = fastrand::Rng::with_seed(now + 1);
    view.choose(&request, now, &mut random).map(|key| key.ip.octets()[3])
}

/// The upstreams that get calls when each call goes to one that no call has tried yet.
fn reachable(view: &PlacementView, now: u64) -> Vec<u8> {
    let mut tried = Vec::new();
    while let Some(host) = chosen(view, &tried, now) {
        tried.push(address(host));
    }
    let mut hosts: Vec<u8> = tried.iter().map(|key| key.ip.octets()[3]).collect();
    hosts.sort_unstable();
    hosts
}

#[test]
fn an_upstream_that_leaves_is_never_chosen_again_whatever_its_records_say() {
    let mut view = view(100);
    assert_eq!(reachable(&view, 10), [0, 1, 2, 3]);
    assert!(view.note_statements(&address(1), &incarnation(1, 100), LEAVING, 0, 10));
    assert_eq!(reachable(&view, 10), [0, 2, 3]);
    view.update(record(1, 2, 100), 20);
    assert_eq!(reachable(&view, 20), [0, 2, 3], "its sidecar has restarted and knows nothing");
    view.retain(|key| *key != address(1), 60_000);
    assert!(view.get(&address(1)).is_none(), "nobody lists it");
    view.update(record(1, 3, 100), 70_000);
    assert_eq!(reachable(&view, 70_000), [0, 2, 3], "the same incarnation is listed again");
    view.update(record(1, 4, 200), 80_000);
    assert_eq!(reachable(&view, 80_000), [0, 1, 2, 3], "a new incarnation has stated nothing");
}

#[test]
fn a_limit_is_remembered_until_it_is_lifted_or_the_upstream_replaced() {
    let mut view = view(100);
    let rate = |view: &PlacementView| {
        view.get(&address(1)).and_then(placement::Upstream::stated_rate).map(CallRate::per_s)
    };
    view.note_statements(&address(1), &incarnation(1, 100), limited(13.3), 0, 10);
    view.update(record(1, 2, 100), 20);
    assert_eq!(rate(&view), Some(13.3), "its sidecar has restarted");
    let lifted = StatementReport { rate_limit: Some(LimitReport::Lifted), leaving: false };
    view.note_statements(&address(1), &incarnation(1, 100), lifted, 5, 30);
    assert_eq!(rate(&view), Some(13.3), "a reply that was slow");
    view.note_statements(&address(1), &incarnation(1, 100), lifted, 31, 40);
    assert_eq!(rate(&view), None);
    view.note_statements(&address(1), &incarnation(1, 100), limited(2.0), 41, 50);
    view.update(record(1, 3, 200), 60);
    assert_eq!(rate(&view), None, "a new incarnation");
}

/// Calls that all nodes send to each upstream within a second, one call every 20 ms each.
fn sent_in_a_second(limits: &[Option<f64>; UPSTREAMS as usize]) -> Vec<usize> {
    let mut views: Vec<PlacementView> = (100..100 + NODES).map(view).collect();
    for view in &mut views {
        for (host, per_s) in (0..UPSTREAMS).zip(limits) {
            let Some(per_s) = per_s else { continue };
            view.note_statements(&address(host), &incarnation(host, 100), limited(*per_s), 0, 0);
        }
    }
    let mut sent = vec![0; usize::from(UPSTREAMS)];
    for now in (0..1_000).step_by(20) {
        for view in &mut views {
            let host = chosen(view, &[], now).expect("all are live");
            view.note_sent(&address(host), 0.0, now);
            view.get_mut(&address(host)).expect("chosen").outstanding -= 1;
            sent[usize::from(host)] += 1;
        }
    }
    sent
}

#[test]
fn calls_beyond_the_limit_of_one_go_to_the_others() {
    let mut limits = [None; UPSTREAMS as usize];
    limits[usize::from(LIMITED)] = Some(20.0);
    let sent = sent_in_a_second(&limits);
    assert!((10..=30).contains(&sent[usize::from(LIMITED)]), "{sent:?}");
    assert_eq!(sent.iter().sum::<usize>(), usize::from(NODES) * 50);
}

#[test]
fn where_all_are_limited_calls_are_sent_all_the_same() {
    let sent = sent_in_a_second(&[Some(5.0); UPSTREAMS as usize]);
    assert_eq!(sent.iter().sum::<usize>(), usize::from(NODES) * 50, "{sent:?}");
}

#[test]
fn a_hedge_never_takes_the_rest_of_a_limit() {
    let mut view = view(100);
    let load = mesh::UpstreamLoad::new(0, 0, 100);
    for host in 0..UPSTREAMS {
        view.note_load(&address(host), load, 10);
    }
    for host in 0..UPSTREAMS - 1 {
        view.note_statements(&address(host), &incarnation(host, 100), limited(1e6), 0, 10);
    }
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
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let chosen = view.choose_idle(&request, 20, &mut random);
        assert_eq!(chosen, Some(address(UPSTREAMS - 1)));
    }
}
