//! Selects the coordinators that a sidecar links to.
//!
//! In a small group a sidecar links to all coordinators. In a larger group it links to a few,
//! selected by rendezvous hashing of its own address and theirs: the links are spread evenly over
//! the coordinators, a joining or leaving member moves only links to itself, and a restarted
//! sidecar finds the coordinators that knew it before.

use mesh::{MemberLocation, NodeAddress};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Up to this group size a sidecar links to all coordinators: each of them then hears every sidecar
/// directly, and a link costs only one ping per second.
pub(super) const MAX_LINKED_ALL: usize = 8;
/// Links within the own zone: large messages come over them, and one of them may be lost.
const OWN_ZONE_LINKS: usize = 2;
/// Links to other zones, each to a different one. Together with the links in the own zone, any two
/// coordinators or a whole zone may be lost, and the end of an upstream is still acknowledged by
/// two coordinators.
const OTHER_ZONE_LINKS: usize = 2;
/// Hash key shared by all nodes; it is not secret.
const HASH_KEY: (u64, u64) = (0x6c69_6e6b_2063_686f, 0x6963_6520_6279_7465);

/// The rank of a coordinator for a sidecar; higher is better.
pub(super) fn rank(own: &NodeAddress, member: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEY.0, HASH_KEY.1);
    hasher.write_u32(own.ip.to_bits());
    hasher.write_u16(own.port);
    hasher.write_u32(member.to_bits());
    hasher.finish()
}

/// Selects the coordinators to link to, those of the own zone first. An unreachable one (`is_down`)
/// remains selected so that it is tried again, and the next one in rank is added in its place.
pub fn chosen(
    own: &NodeAddress,
    zone: &str,
    members: &[MemberLocation],
    is_down: impl Fn(Ipv4Addr) -> bool,
) -> Vec<Ipv4Addr> {
    if members.len() <= MAX_LINKED_ALL {
        return members.iter().map(|member| member.address).collect();
    }
    let mut ranked: Vec<&MemberLocation> = members.iter().collect();
    ranked.sort_by_key(|member| (std::cmp::Reverse(rank(own, member.address)), member.address));
    ranked.dedup_by_key(|member| member.address);
    let (near, far): (Vec<&MemberLocation>, Vec<&MemberLocation>) =
        ranked.into_iter().partition(|member| !zone.is_empty() && member.zone == zone);
    let mut found = Vec::new();
    let near_links = select(&near, OWN_ZONE_LINKS, false, &is_down, &mut found);
    // Other zones make up for missing coordinators in the own zone.
    let missing = OWN_ZONE_LINKS - near_links;
    select(&far, OTHER_ZONE_LINKS + missing, true, &is_down, &mut found);
    found
}

/// Selects up to `wanted` reachable members in order of rank, and at most as many unreachable ones.
/// With `spread`, members of different zones come first. Returns the number of reachable ones.
fn select(
    ranked: &[&MemberLocation],
    wanted: usize,
    spread: bool,
    is_down: &impl Fn(Ipv4Addr) -> bool,
    found: &mut Vec<Ipv4Addr>,
) -> usize {
    let mut zones = BTreeSet::new();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    for member in ranked {
        // If zones are unknown or fewer than the links wanted, the members skipped here are used
        // next.
        match !spread || zones.insert(member.zone.as_str()) {
            true => first.push(*member),
            false => second.push(*member),
        }
    }
    let (mut reached, mut down) = (0, 0);
    for member in first.into_iter().chain(second) {
        if reached == wanted {
            break;
        }
        match is_down(member.address) {
            false => reached += 1,
            true if down < wanted => down += 1,
            true => continue,
        }
        found.push(member.address);
    }
    reached
}
