//! Placement of calls with large responses by the load of links and by zone.

use mesh::{
    HopOutcome, HopReply, InstanceRecord, InstanceState, NodeAddress, NodeRecord, Track,
    UpstreamLoad,
};
use placement::{LatencyHistogram, Locality, PlacementView, Request, Urgency};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const SERVICE: &str = "prints";
const LARGE_BYTES: f64 = 90_000.0;
const SMALL_BYTES: f64 = 700.0;
/// A link of 16 Mbit/s.
const LINK_BYTES_PER_MS: u32 = 2_000;

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(host: u8, zone: &str) -> NodeRecord {
    NodeRecord {
        address: address(host),
        boot_id: 1,
        sequence: 1,
        zone: zone.to_owned(),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{host}"),
            state: InstanceState::Ready,
            slots: 12,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: String::new(),
        }),
    }
}

fn reply(egress_wait_ms: u32) -> HopReply {
    HopReply {
        outcome: HopOutcome::Answered,
        running: 0,
        queued: 0,
        limit: 12,
        service_ms: 100,
        spent_ms: 100,
        retry_after_ms: 0,
        state: InstanceState::Ready,
        failing_percent: 0,
        link_percent: 0,
        transfer_wait_ms: 0,
        transfer_bytes_per_ms: 0,
        upstream_ended: false,
        quarantine_left_ms: 0,
        quarantine_crashes: Default::default(),
        service_time_percent: 0,
        reported_service_time_percent: 0,
        egress_wait_ms,
        egress_bytes_per_ms: LINK_BYTES_PER_MS,
        link_full: false,
        rate_limit: None,
        upstream_leaving: false,
        accepts_ms: None,
    }
}

/// The view of a node in zone `a`; the links of all upstreams are idle.
fn view(hosts: &[(u8, &str)]) -> PlacementView {
    let mut view = PlacementView::new(Locality::new(address(200), "a"));
    for (host, zone) in hosts {
        view.update(record(*host, zone), 0);
        view.get_mut(&address(*host)).expect("known upstream").note_reply(reply(0), 0);
    }
    view
}

fn chosen(view: &PlacementView, answer_bytes: f64, now: u64, seed: u64) -> Option<u8> {
    let request = Request {
        service: SERVICE,
        track: Track::Stable,
        urgency: Urgency { rank: 1, target_ms: 1_500 },
        usual_ms: 140.0,
        spread: &LatencyHistogram::default(),
        moved_bytes: answer_bytes,
        target_ms: 1_500.0,
        left_ms: 2_000,
        body_bytes: 0,
        tried: &[],
    };
    let mut random = fastrand::Rng::with_seed(seed);
    view.choose(&request, now, &mut random).map(|key| key.ip.octets()[3])
}

fn counts(view: &PlacementView, answer_bytes: f64, now: u64) -> BTreeMap<u8, u32> {
    let mut counts = BTreeMap::new();
    for seed in 0..100 {
        let host = chosen(view, answer_bytes, now, seed).expect("some upstream has capacity");
        *counts.entry(host).or_default() += 1;
    }
    counts
}

#[test]
fn a_large_answer_is_asked_for_where_the_link_has_room_and_a_small_one_anywhere() {
    let mut view = view(&[(1, "a"), (2, "a")]);
    view.get_mut(&address(1)).expect("known upstream").note_reply(reply(900), 0);
    assert_eq!(counts(&view, LARGE_BYTES, 10), BTreeMap::from([(2, 100)]));
    let small = counts(&view, SMALL_BYTES, 10);
    assert!(small[&1] > 25 && small[&2] > 25, "{small:?}");
    // The report has expired.
    let later = counts(&view, LARGE_BYTES, 2_000);
    assert!(later[&1] > 25 && later[&2] > 25, "{later:?}");
}

#[test]
fn a_wait_told_with_loads_counts_like_one_told_with_an_answer() {
    let mut view = view(&[(1, "a"), (2, "a")]);
    let load = UpstreamLoad::new(0, 0, 100).with_egress_wait(900);
    view.note_load(&address(1), load, 500);
    view.note_load(&address(2), UpstreamLoad::new(0, 0, 100), 500);
    assert_eq!(counts(&view, LARGE_BYTES, 510), BTreeMap::from([(2, 100)]));
}

#[test]
fn nodes_that_are_told_the_same_do_not_all_go_to_the_same_machine() {
    let mut view = view(&[(1, "a"), (2, "a"), (3, "a")]);
    for (host, wait_ms) in [(1, 400), (2, 500), (3, 450)] {
        view.get_mut(&address(host)).expect("known upstream").note_reply(reply(wait_ms), 0);
    }
    let spread = counts(&view, LARGE_BYTES, 10);
    assert!(spread.values().all(|count| *count < 60), "{spread:?}");
    assert_eq!(spread.len(), 3, "{spread:?}");
}

#[test]
fn what_this_node_asked_for_since_it_was_told_counts() {
    let mut view = view(&[(1, "a"), (2, "a")]);
    for _ in 0..20 {
        view.get_mut(&address(1)).expect("known upstream").note_requested(LARGE_BYTES);
    }
    assert_eq!(counts(&view, LARGE_BYTES, 10), BTreeMap::from([(2, 100)]));
    view.get_mut(&address(1)).expect("known upstream").note_reply(reply(0), 20);
    assert!(counts(&view, LARGE_BYTES, 20)[&1] > 25, "its own report includes them");
}

#[test]
fn one_whose_link_is_full_is_not_asked_for_large_answers_and_tells_when_to_return() {
    let mut view = view(&[(1, "a")]);
    view.get_mut(&address(1)).expect("known upstream").note_link_full(400, 10);
    assert_eq!(chosen(&view, LARGE_BYTES, 11, 1), None);
    assert_eq!(view.earliest_retry_at(SERVICE, 11), Some(410));
    assert_eq!(
        chosen(&view, SMALL_BYTES, 11, 1),
        Some(1),
        "a small response does not need the link"
    );
    assert_eq!(chosen(&view, LARGE_BYTES, 161, 1), Some(1), "the refusal has expired");
}

#[test]
fn a_large_answer_comes_from_another_zone_only_if_there_is_nobody_in_the_own() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.get_mut(&address(1)).expect("known upstream").note_reply(reply(60_000), 0);
    assert_eq!(
        chosen(&view, LARGE_BYTES, 10, 1),
        Some(1),
        "a late answer is preferred to one from another zone"
    );
    view.get_mut(&address(1)).expect("known upstream").note_link_full(400, 10);
    assert_eq!(
        chosen(&view, LARGE_BYTES, 11, 1),
        None,
        "a refusal is preferred to an answer from another zone"
    );
    // The transfer of 16,667 bytes costs as much as a call is worth; shorter responses may cross
    // zones.
    assert_eq!(chosen(&view, 16_000.0, 11, 1), Some(2));
    assert_eq!(chosen(&view, 17_000.0, 11, 1), None);
    view.get_mut(&address(1)).expect("known upstream").note_failure(12);
    assert_eq!(
        chosen(&view, LARGE_BYTES, 13, 1),
        Some(2),
        "the local one is in backoff after a failure"
    );
    view.retain(|key| *key == address(2), 20_000);
    assert_eq!(chosen(&view, LARGE_BYTES, 20_000, 1), Some(2), "the local one was removed");
}
