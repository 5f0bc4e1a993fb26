//! Selection of the upstreams that one proxy connects to, so that no upstream exceeds its
//! connection limit.
//!
//! Uses rendezvous hashing (Thaler and Ravishankar, 1998): each proxy ranks the endpoints by a hash
//! of both names, so a change of one endpoint affects only the proxies that used it.

use crate::{Endpoint, EndpointKey};

/// Percentage of an upstream's connections that subsets are planned with. The rest is headroom for
/// fleet changes that have not propagated yet.
const PLANNED_CONNECTIONS_PERCENT: u32 = 70;
/// Minimum number of upstreams in a subset, so that another one is available after a failure.
const MIN_SUBSET: usize = 2;

/// Inputs of the subset size.
#[derive(Clone, Copy, Debug)]
pub struct SubsetParameters {
    /// Total number of connections that one upstream accepts.
    pub upstream_connections: u32,
    /// Number of proxies that subscribe to the service.
    pub subscribers: u32,
    /// Number of live upstreams.
    pub upstreams: usize,
    /// Number of connections that a proxy wants to one upstream.
    pub desired_connections: u32,
}

/// Number of upstreams that one proxy uses, and of connections that it may open to each.
pub fn subset_size(parameters: SubsetParameters) -> (usize, u32) {
    let upstreams = parameters.upstreams.max(1);
    let planned = parameters.upstream_connections * PLANNED_CONNECTIONS_PERCENT / 100;
    let total = u64::from(planned) * upstreams as u64;
    let share = (total / u64::from(parameters.subscribers.max(1))).max(1) as u32;
    let desired = parameters.desired_connections.max(1);
    let size = (share / desired) as usize;
    let size = size.clamp(MIN_SUBSET.min(upstreams), upstreams);
    let connections = (share / size as u32).clamp(1, planned.max(1));
    (size, connections)
}

/// Ranks the endpoints for a proxy and returns the first `size`: local zone first, then local
/// region, then the others.
pub fn choose_subset<'a>(
    proxy: &str,
    zone: &str,
    region: &str,
    endpoints: impl Iterator<Item = &'a Endpoint>,
    size: usize,
) -> Vec<&'a Endpoint> {
    let mut ranked: Vec<(u8, u64, &Endpoint)> = endpoints
        .map(|endpoint| {
            let distance = distance(zone, region, endpoint);
            (distance, rendezvous_rank(proxy, &endpoint.key), endpoint)
        })
        .collect();
    ranked.sort_unstable_by_key(|(distance, rank, _)| (*distance, *rank));
    ranked.into_iter().take(size).map(|(_, _, endpoint)| endpoint).collect()
}

fn distance(zone: &str, region: &str, endpoint: &Endpoint) -> u8 {
    if endpoint.zone == zone {
        0
    } else if endpoint.region == region {
        1
    } else {
        2
    }
}

fn rendezvous_rank(proxy: &str, key: &EndpointKey) -> u64 {
    let text = format!("{proxy}\n{}\n{}", key.service, key.socket_address());
    let digest = ring::digest::digest(&ring::digest::SHA256, text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_ref()[..8]);
    u64::from_le_bytes(first)
}
