//! Selection among the upstreams of a large service: local zone first, evenly within a zone, and no
//! upstream overlooked by the sampling.

use mesh::{
    CandidateShare, InstanceRecord, InstanceState, NodeAddress, NodeRecord, Track, VersionPolicy,
};
use placement::{LatencyHistogram, Locality, PlacementView, Regions, Request, Urgency};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const SERVICE: &str = "fares";
const UPSTREAMS: u32 = 394;
const ZONES: u32 = 6;
const OWN_ZONE: u32 = 2;
const CALLS: u64 = 4_000;

fn address(number: u32) -> NodeAddress {
    // Addresses are allocated zone by zone.
    let zone = (number % ZONES) as u8;
    NodeAddress { ip: Ipv4Addr::new(10, zone, (number / 200) as u8, (number % 200) as u8), port: 1 }
}

fn record(number: u32, version: &str) -> NodeRecord {
    NodeRecord {
        address: address(number),
        boot_id: 1,
        sequence: 1,
        zone: format!("zone-{}", number % ZONES),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{number}"),
            state: InstanceState::Ready,
            slots: 14,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: version.to_owned(),
        }),
    }
}

fn view() -> PlacementView {
    let own = NodeAddress { ip: Ipv4Addr::new(10, 200, 0, 1), port: 1 };
    let mut view = PlacementView::new(Locality::new(own, &format!("zone-{OWN_ZONE}")));
    for number in 0..UPSTREAMS {
        view.update(record(number, "v1"), 0);
    }
    view
}

fn request(track: Track, spread: &LatencyHistogram) -> Request<'_> {
    Request {
        service: SERVICE,
        track,
        urgency: Urgency { rank: 1, target_ms: 400 },
        usual_ms: 100.0,
        spread,
        moved_bytes: 1_500.0,
        target_ms: 400.0,
        left_ms: 2_000,
        body_bytes: 0,
        tried: &[],
    }
}

/// Number of times each upstream is chosen, with a view that is not updated between choices.
fn chosen(view: &PlacementView) -> BTreeMap<NodeAddress, u64> {
    let spread = LatencyHistogram::default();
    let mut counts = BTreeMap::new();
    for call in 0..CALLS {
        let mut random = fastrand::Rng::with_seed(call);
        let chosen_upstream = view.choose(&request(Track::Stable, &spread), 0, &mut random);
        *counts.entry(chosen_upstream.expect("all upstreams are idle")).or_default() += 1;
    }
    counts
}

fn zone_of(address: &NodeAddress) -> u32 {
    u32::from(address.ip.octets()[1])
}

#[test]
fn calls_stay_in_the_zone_while_it_has_room() {
    let counts = chosen(&view());
    assert!(counts.keys().all(|address| zone_of(address) == OWN_ZONE));
}

#[test]
fn all_upstreams_of_the_zone_are_chosen_alike() {
    let counts = chosen(&view());
    let expected = (0..UPSTREAMS).filter(|number| number % ZONES == OWN_ZONE).count();
    assert_eq!(counts.len(), expected);
    let mean = CALLS / expected as u64;
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most < mean * 2, "maximum {most}, mean {mean}");
}

#[test]
fn while_the_zone_is_full_calls_go_to_all_other_zones_alike() {
    let mut view = view();
    for number in (0..UPSTREAMS).filter(|number| number % ZONES == OWN_ZONE) {
        let held = view.get_mut(&address(number)).expect("known upstream");
        held.note_full(Urgency { rank: 1, target_ms: 400 }, 500, 0);
    }
    let mut by_zone: BTreeMap<u32, u64> = BTreeMap::new();
    for (address, count) in chosen(&view) {
        *by_zone.entry(zone_of(&address)).or_default() += count;
    }
    assert_eq!(by_zone.len() as u32, ZONES - 1, "{by_zone:?}");
    let least = by_zone.values().min().copied().unwrap_or(0);
    assert!(least > CALLS / u64::from(ZONES) / 2, "{by_zone:?}");
}

#[test]
fn the_only_one_with_room_is_found() {
    let mut view = view();
    let only = 101;
    for number in (0..UPSTREAMS).filter(|number| *number != only) {
        let held = view.get_mut(&address(number)).expect("known upstream");
        held.note_full(Urgency { rank: 1, target_ms: 400 }, 500, 0);
    }
    let counts = chosen(&view);
    assert_eq!(counts.keys().collect::<Vec<_>>(), [&address(only)]);
}

#[test]
fn a_version_that_one_upstream_runs_gets_its_share_of_calls() {
    let mut view = view();
    view.update(NodeRecord { sequence: 2, ..record(77, "v2") }, 0);
    let candidate = CandidateShare { version: "v2".to_owned(), run: 1, permille: 100 };
    view.set_policies(&[VersionPolicy {
        service: SERVICE.to_owned(),
        candidate: Some(candidate),
        barred: Vec::new(),
    }]);
    let spread = LatencyHistogram::default();
    for call in 0..200 {
        let mut random = fastrand::Rng::with_seed(call);
        let chosen_upstream = view.choose(&request(Track::Candidate, &spread), 0, &mut random);
        assert_eq!(chosen_upstream, Some(address(77)));
    }
}

#[test]
fn one_that_moves_to_another_zone_is_looked_at_where_it_is() {
    let mut view = view();
    let moved = 8;
    assert_eq!(moved % ZONES, OWN_ZONE);
    let elsewhere = NodeRecord { sequence: 2, zone: "zone-5".to_owned(), ..record(moved, "v1") };
    view.update(elsewhere, 0);
    assert!(!chosen(&view).contains_key(&address(moved)));
}

/// A view of upstreams in two regions: zones 0 to 2 in one, the others in the other.
fn view_of_regions(upstreams: u32) -> PlacementView {
    let own = NodeAddress { ip: Ipv4Addr::new(10, 200, 0, 1), port: 1 };
    let region = |zone: u32| if zone < 3 { "west" } else { "east" };
    let regions = (0..ZONES).map(|zone| (format!("zone-{zone}"), region(zone).to_owned()));
    let locality = Locality::new(own, &format!("zone-{OWN_ZONE}"))
        .with_regions(Regions::new(regions.collect()));
    let mut view = PlacementView::new(locality);
    for number in 0..upstreams {
        view.update(record(number, "v1"), 0);
    }
    view
}

fn fill(view: &mut PlacementView, upstreams: u32, zones: &[u32]) {
    for number in (0..upstreams).filter(|number| zones.contains(&(number % ZONES))) {
        let held = view.get_mut(&address(number)).expect("known upstream");
        held.note_full(Urgency { rank: 1, target_ms: 400 }, 500, 0);
    }
}

#[test]
fn calls_stay_in_their_region_while_it_has_room_and_leave_it_then() {
    for upstreams in [36, UPSTREAMS] {
        let mut view = view_of_regions(upstreams);
        fill(&mut view, upstreams, &[OWN_ZONE]);
        let zones: Vec<u32> = chosen(&view).keys().map(zone_of).collect();
        assert!(zones.iter().all(|zone| *zone < 3), "{upstreams}: {zones:?}");
        fill(&mut view, upstreams, &[0, 1, 2]);
        let zones: Vec<u32> = chosen(&view).keys().map(zone_of).collect();
        assert!(!zones.is_empty() && zones.iter().all(|zone| *zone >= 3), "{upstreams}: {zones:?}");
    }
}
