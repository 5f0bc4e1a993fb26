//! Fair sharing of one upstream among tenants. It guards against a tenant that sends many times its
//! usual load, within its quota or not, and would fill all slots and the whole queue of a service.
//!
//! This is start-time fair queueing with a cost of one per call. Among the waiting calls of a rank,
//! each tenant gets one call per turn, so capacity is shared max-min fairly: a tenant that requests
//! less than its share never waits for the second call of another one. All calls for the upstream pass
//! through here, so nodes need not exchange state and decisions never rely on stale data.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Maximum number of ranks with their own turns. Configurations assign about ten ranks to tenants and
/// routes. Beyond this limit all ranks are reset, which only suspends fairness for a moment.
const MAX_RANKS: usize = 256;
/// Maximum number of tenants remembered per rank; beyond that the rank advances to the next turn. This
/// exceeds the number of tenants with calls waiting or running at one upstream.
const MAX_TENANTS_PER_RANK: usize = 256;

/// Hash that identifies a tenant; tenants whose hashes collide share one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(u64);

impl TenantKey {
    /// Returns the key for a tenant name.
    pub fn of(name: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Turns of one rank.
#[derive(Clone, Debug, Default)]
struct Turns {
    /// Turn of the most recently started call (the virtual time of the rank).
    current: u64,
    /// Turn of each tenant's next call, where it differs from the current turn.
    next: BTreeMap<TenantKey, u64>,
}

/// Turns of all tenants, by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantShares {
    ranks: BTreeMap<u32, Turns>,
}

impl TenantShares {
    /// Returns the turn that a new call would get; the lowest goes first. Calls without a tenant always
    /// get turn 0: most are nested calls that other calls wait for, and without tenants there is nothing
    /// to share.
    pub fn turn(&self, rank: u32, tenant: Option<TenantKey>) -> u64 {
        let (Some(tenant), Some(turns)) = (tenant, self.ranks.get(&rank)) else {
            return 0;
        };
        turns.next.get(&tenant).copied().unwrap_or(0).max(turns.current)
    }

    /// Records that a call was admitted with this turn.
    pub fn on_admitted(&mut self, rank: u32, tenant: Option<TenantKey>, turn: u64) {
        let Some(tenant) = tenant else {
            return;
        };
        if self.ranks.len() >= MAX_RANKS && !self.ranks.contains_key(&rank) {
            self.ranks.clear();
        }
        let turns = self.ranks.entry(rank).or_default();
        turns.next.insert(tenant, turn + 1);
        while turns.next.len() > MAX_TENANTS_PER_RANK {
            turns.current = turns.next.values().copied().min().unwrap_or(0).max(turns.current);
            let current = turns.current;
            turns.next.retain(|_, next| *next > current);
        }
    }

    /// Records that a call was started.
    pub fn on_started(&mut self, rank: u32, turn: u64) {
        if let Some(turns) = self.ranks.get_mut(&rank) {
            turns.current = turns.current.max(turn);
        }
    }

    /// Records that an admitted call will not be started and returns its turn to the tenant.
    pub fn on_abandoned(&mut self, rank: u32, tenant: Option<TenantKey>) {
        let turns = self.ranks.get_mut(&rank);
        let next = tenant.and_then(|tenant| turns?.next.get_mut(&tenant));
        if let Some(next) = next {
            *next = next.saturating_sub(1);
        }
    }
}
