//! Upstreams that a call may go to while versions are treated differently, and the accuracy of a
//! canary's share.

use mesh::{
    CandidateShare, InstanceRecord, InstanceState, NodeAddress, NodeRecord, Track, VersionPolicy,
};
use placement::{CanaryShares, LatencyHistogram, Locality, PlacementView, Request, Urgency};
use std::net::Ipv4Addr;

const SERVICE: &str = "fares";
const NOW: u64 = 5_000;

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(host: u8, version: &str) -> NodeRecord {
    let instance = InstanceRecord {
        id: format!("i-{host}"),
        version: version.to_owned(),
        state: InstanceState::Ready,
        slots: 9,
        cold_remaining_ms: 0,
        born_ms: 0,
    };
    NodeRecord {
        address: address(host),
        boot_id: 1,
        sequence: 1,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(instance),
    }
}

fn candidate(permille: u16) -> Option<CandidateShare> {
    Some(CandidateShare { version: "v2".to_owned(), run: 1, permille })
}

fn policy(candidate: Option<CandidateShare>, barred: &[&str]) -> VersionPolicy {
    let barred = barred.iter().map(|version| (*version).to_owned()).collect();
    VersionPolicy { service: SERVICE.to_owned(), candidate, barred }
}

/// Hosts 1 and 2 run v1, hosts 11 and 12 run v2.
fn view(policies: &[VersionPolicy]) -> PlacementView {
    let mut view = PlacementView::new(Locality::new(address(200), "a"));
    view.set_policies(policies);
    for (host, version) in [(1, "v1"), (2, "v1"), (11, "v2"), (12, "v2")] {
        view.update(record(host, version), NOW);
    }
    view
}

fn hosts(view: &PlacementView, track: Track) -> Vec<u8> {
    let spread = LatencyHistogram::default();
    let mut random = fastrand::Rng::with_seed(1);
    let mut tried = Vec::new();
    loop {
        let request = Request {
            service: SERVICE,
            track,
            urgency: Urgency { rank: 1, target_ms: 500 },
            usual_ms: 100.0,
            spread: &spread,
            moved_bytes: 100.0,
            target_ms: 500.0,
            left_ms: 2_000,
            body_bytes: 0,
            tried: &tried,
        };
        match view.choose(&request, NOW, &mut random) {
            Some(chosen) => tried.push(chosen),
            None => break,
        }
    }
    let mut hosts: Vec<u8> = tried.iter().map(|node| node.ip.octets()[3]).collect();
    hosts.sort_unstable();
    hosts
}

#[test]
fn versions_nobody_spoke_of_are_all_alike() {
    assert_eq!(hosts(&view(&[]), Track::Stable), [1, 2, 11, 12]);
}

#[test]
fn a_version_under_trial_gets_its_share_only() {
    let view = view(&[policy(candidate(25), &[])]);
    assert_eq!(hosts(&view, Track::Stable), [1, 2]);
    assert_eq!(hosts(&view, Track::Candidate), [1, 2, 11, 12], "the stable ones as a fallback");
    assert_eq!(view.live_and_others(), (4, 0));
}

#[test]
fn former_versions_get_nothing_from_the_shift_on() {
    for policy in [policy(candidate(1_000), &[]), policy(None, &["v1"])] {
        assert_eq!(hosts(&view(&[policy]), Track::Stable), [11, 12]);
    }
}

#[test]
fn a_rejected_version_gets_nothing() {
    let view = view(&[policy(None, &["v2"])]);
    assert_eq!(hosts(&view, Track::Stable), [1, 2]);
    assert_eq!(hosts(&view, Track::Candidate), [1, 2]);
}

#[test]
fn a_policy_that_comes_later_holds_for_all_that_are_known() {
    let mut view = view(&[]);
    view.set_policies(&[policy(None, &["v2"])]);
    assert_eq!(hosts(&view, Track::Stable), [1, 2]);
    let restarted = NodeRecord { boot_id: 2, ..record(1, "v2") };
    view.update(restarted, NOW);
    assert_eq!(hosts(&view, Track::Stable), [2], "it now runs the rejected version");
}

#[test]
fn the_share_of_a_fleet_is_close_to_exact() {
    let share = candidate(25).expect("some share was given");
    let mut drawn = 0;
    for node in 0..81 {
        let mut shares = CanaryShares::default();
        let mut random = fastrand::Rng::with_seed(node);
        let tracks = (0..60).map(|_| shares.draw(SERVICE, &share, &mut random));
        drawn += tracks.filter(|track| *track == Track::Candidate).count();
    }
    // Expected: 121.5 of 4,860.
    assert!((100..=145).contains(&drawn), "{drawn}");
}
