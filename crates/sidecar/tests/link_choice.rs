//! The selection of coordinators: how evenly the links are spread, and which links move when the
//! membership changes.

use mesh::{MemberLocation, NodeAddress};
use sidecar::chosen_coordinators;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Maximum number of links of one coordinator, as a multiple of the mean.
const MAX_RATIO_TO_MEAN: f64 = 2.0;
const LINKS: usize = 4;

fn zone(number: usize) -> String {
    format!("zone-{number}")
}

fn members(coordinators: usize, zones: usize) -> Vec<MemberLocation> {
    let place = |number: usize| MemberLocation {
        address: Ipv4Addr::new(10, 0, (number / 200) as u8, (number % 200) as u8),
        zone: zone(number % zones),
    };
    (0..coordinators).map(place).collect()
}

fn sidecars(count: usize, zones: usize) -> Vec<(NodeAddress, String)> {
    let sidecar = |number: usize| {
        let ip = Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8);
        (NodeAddress { ip, port: 8_300 }, zone(number % zones))
    };
    (0..count).map(sidecar).collect()
}

/// The links of all sidecars while some coordinators are down.
fn links(
    sidecars: &[(NodeAddress, String)],
    members: &[MemberLocation],
    down: &BTreeSet<Ipv4Addr>,
) -> Vec<Vec<Ipv4Addr>> {
    let up = |found: Vec<Ipv4Addr>| found.into_iter().filter(|at| !down.contains(at)).collect();
    let of = |(own, zone): &(NodeAddress, String)| {
        up(chosen_coordinators(own, zone, members, |member| down.contains(&member)))
    };
    sidecars.iter().map(of).collect()
}

/// The maximum number of links of one coordinator as a multiple of the mean, and the minimum number
/// of links of a sidecar.
fn balance(links: &[Vec<Ipv4Addr>], up: usize) -> (f64, usize) {
    let mut counts: BTreeMap<Ipv4Addr, usize> = BTreeMap::new();
    for coordinator in links.iter().flatten() {
        *counts.entry(*coordinator).or_default() += 1;
    }
    let all: usize = counts.values().sum();
    let most = counts.values().max().copied().unwrap_or(0);
    let fewest = links.iter().map(Vec::len).min().unwrap_or(0);
    (most as f64 * up as f64 / all as f64, fewest)
}

const SIZES: [(usize, usize, usize); 3] = [(12, 300, 6), (24, 982, 6), (48, 2_208, 16)];

#[test]
fn links_are_spread_over_all_coordinators_also_after_losses() {
    for (coordinators, count, zones) in SIZES {
        let (members, sidecars) = (members(coordinators, zones), sidecars(count, zones));
        let lost: [(&str, usize, BTreeSet<Ipv4Addr>); 4] = [
            ("none", 0, BTreeSet::new()),
            ("one", 1, members.iter().take(1).map(|member| member.address).collect()),
            (
                "a zone",
                coordinators / zones,
                members
                    .iter()
                    .filter(|member| member.zone == zone(0))
                    .map(|member| member.address)
                    .collect(),
            ),
            (
                "half",
                coordinators / 2,
                members.iter().take(coordinators / 2).map(|member| member.address).collect(),
            ),
        ];
        for (name, number, down) in lost {
            let (most, fewest) = balance(&links(&sidecars, &members, &down), coordinators - number);
            assert!(
                most <= MAX_RATIO_TO_MEAN,
                "{coordinators}, {name} lost: {most:.2} of the mean"
            );
            assert_eq!(fewest, LINKS, "{coordinators}, {name} lost");
        }
    }
}

#[test]
fn the_lowest_addresses_would_carry_all() {
    // A deliberately bad selection: every sidecar links to the first four.
    let (members, sidecars) = (members(24, 6), sidecars(982, 6));
    let first: Vec<Ipv4Addr> = members.iter().take(LINKS).map(|member| member.address).collect();
    let links: Vec<Vec<Ipv4Addr>> = sidecars.iter().map(|_| first.clone()).collect();
    assert!(balance(&links, 24).0 > MAX_RATIO_TO_MEAN);
}

#[test]
fn two_links_stay_in_the_zone_and_two_leave_it_for_different_ones() {
    let (members, sidecars) = (members(24, 6), sidecars(982, 6));
    let zone_of = |address: &Ipv4Addr| {
        let found = members.iter().find(|member| member.address == *address);
        found.map(|member| member.zone.clone()).expect("the address of a member")
    };
    for ((_, zone), links) in sidecars.iter().zip(links(&sidecars, &members, &BTreeSet::new())) {
        let zones: Vec<String> = links.iter().map(zone_of).collect();
        assert_eq!(zones.iter().filter(|found| *found == zone).count(), 2, "{zones:?}");
        let distinct: BTreeSet<&String> = zones.iter().collect();
        assert_eq!(distinct.len(), 3, "{zones:?}");
    }
}

#[test]
fn a_member_that_joins_moves_only_the_links_that_become_its_own() {
    let sidecars = sidecars(982, 6);
    let all = members(24, 6);
    let before = links(&sidecars, &all[..23], &BTreeSet::new());
    let after = links(&sidecars, &all, &BTreeSet::new());
    let newcomer = all[23].address;
    let mut moved = 0;
    for (before, after) in before.iter().zip(&after) {
        let lost = before.iter().filter(|at| !after.contains(at)).count();
        let won: Vec<&Ipv4Addr> = after.iter().filter(|at| !before.contains(at)).collect();
        assert!(won.iter().all(|at| **at == newcomer), "{before:?} {after:?}");
        assert_eq!(lost, won.len(), "{before:?} {after:?}");
        moved += lost;
    }
    let part = moved as f64 / (982 * LINKS) as f64;
    assert!(part < 0.1, "{part}");
}

#[test]
fn what_members_may_look_like() {
    let own = NodeAddress { ip: Ipv4Addr::new(10, 1, 0, 1), port: 8_300 };
    let chosen = |members: &[MemberLocation], zone: &str| {
        chosen_coordinators(&own, zone, members, |_| false)
    };
    assert!(chosen(&[], "zone-0").is_empty(), "no members");
    let few = members(8, 4);
    assert_eq!(chosen(&few, "zone-0").len(), 8, "a small group is linked completely");
    let many = members(10_000, 6);
    assert_eq!(chosen(&many, "zone-0").len(), LINKS, "ten thousand members");
    let mut twice = members(12, 6);
    twice.extend(members(12, 6));
    let links = chosen(&twice, "zone-0");
    let distinct: BTreeSet<&Ipv4Addr> = links.iter().collect();
    assert_eq!((links.len(), distinct.len()), (LINKS, LINKS), "every member listed twice");
    let unknown: Vec<MemberLocation> = members(12, 6)
        .into_iter()
        .map(|member| MemberLocation { zone: String::new(), ..member })
        .collect();
    assert_eq!(chosen(&unknown, "zone-0").len(), LINKS, "unknown zones");
    assert_eq!(chosen(&members(12, 6), "elsewhere").len(), LINKS, "no member in the own zone");
    assert_eq!(chosen(&members(12, 6), "").len(), LINKS, "a sidecar without a zone");
    let itself = [MemberLocation { address: own.ip, zone: "zone-0".to_owned() }];
    assert_eq!(chosen(&itself, "zone-0"), [own.ip], "a member on the same machine");
}

#[test]
fn all_that_cannot_be_reached_are_not_tried_without_end() {
    let own = NodeAddress { ip: Ipv4Addr::new(10, 1, 0, 1), port: 8_300 };
    let links = chosen_coordinators(&own, "zone-0", &members(48, 6), |_| true);
    assert!((LINKS..=2 * LINKS).contains(&links.len()), "{links:?}");
}
