//! Which coordinators a sidecar links to.
//!
//! In a small group it links to all. In a larger one to a few, drawn by rendezvous hashing of its own
//! address and theirs: each coordinator has about as many links as the others, a member that joins or
//! leaves moves only the links that become its own or were, and a sidecar that starts again finds the
//! coordinators that knew it.

use mesh::{MemberLocation, NodeAddress};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Members up to which all are linked: each then hears every sidecar itself, and a link costs a ping a
/// second.
pub(super) const MOST_LINKED_ALL: usize = 8;
/// Links within the own zone: what is long comes from there, and one may be lost.
const NEAR_LINKS: usize = 2;
/// Links to other zones, one a zone: with the near ones, any two coordinators or a zone may be lost, and
/// an end is still acknowledged by two.
const FAR_LINKS: usize = 2;
/// One key for all nodes; it is no secret.
const KEY: (u64, u64) = (0x6c69_6e6b_2063_686f, 0x6963_6520_6279_7465);

/// How high a coordinator ranks for a sidecar.
pub(super) fn rank(own: &NodeAddress, member: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEY.0, KEY.1);
    hasher.write_u32(own.ip.to_bits());
    hasher.write_u16(own.port);
    hasher.write_u32(member.to_bits());
    hasher.finish()
}

/// The coordinators to be linked, those of the own zone first. One that cannot be reached (`is_down`)
/// stays among them, to be tried again, and the next in rank takes its place beside it.
pub fn chosen(
    own: &NodeAddress,
    zone: &str,
    members: &[MemberLocation],
    is_down: impl Fn(Ipv4Addr) -> bool,
) -> Vec<Ipv4Addr> {
    if members.len() <= MOST_LINKED_ALL {
        return members.iter().map(|member| member.address).collect();
    }
    let mut ranked: Vec<&MemberLocation> = members.iter().collect();
    ranked.sort_by_key(|member| (std::cmp::Reverse(rank(own, member.address)), member.address));
    ranked.dedup_by_key(|member| member.address);
    let (near, far): (Vec<&MemberLocation>, Vec<&MemberLocation>) =
        ranked.into_iter().partition(|member| !zone.is_empty() && member.zone == zone);
    let mut found = Vec::new();
    let near_links = take(&near, NEAR_LINKS, false, &is_down, &mut found);
    // A zone with fewer coordinators is made up for by others.
    let missing = NEAR_LINKS - near_links;
    take(&far, FAR_LINKS + missing, true, &is_down, &mut found);
    found
}

/// Takes so many that can be reached, in order of rank, of different zones first if asked to, and at
/// most as many that cannot; returns how many can.
fn take(
    ranked: &[&MemberLocation],
    wanted: usize,
    spread: bool,
    is_down: &impl Fn(Ipv4Addr) -> bool,
    found: &mut Vec<Ipv4Addr>,
) -> usize {
    let mut zones = BTreeSet::new();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    for member in ranked {
        // Where zones are not known, or fewer than links, those passed over come next.
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
