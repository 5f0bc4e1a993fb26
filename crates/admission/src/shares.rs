//! Shares of one upstream among tenants: against one that sends many times its usual, inside its
//! quota or not, and would fill every slot and the whole queue of a service with its calls.
//!
//! Start-time fair queueing, with a cost of one a call: of those that wait with one rank, each tenant
//! has one call a turn, so that what there is is shared max-min; one that asks for less than its
//! share never waits for another's second call. All calls for the upstream come through here:
//! nothing has to be told between nodes, and nothing that is decided by is old.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Ranks with turns of their own. There are as many as configurations give tenants and routes, some
/// ten; beyond this all begin anew, which costs no more than a moment's fairness.
const MOST_RANKS: usize = 256;
/// Tenants of a rank that are remembered; beyond that the next turn begins. More than wait or run at
/// one upstream.
const MOST_REMEMBERED: usize = 256;

/// Tells tenants apart; two that met by chance would share one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(u64);

impl TenantKey {
    /// The key of a tenant's name.
    pub fn of(name: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Turns of one rank.
#[derive(Clone, Debug, Default)]
struct Turns {
    /// Turn of the call that was started last.
    now: u64,
    /// Turn of each tenant's next call, where it is not this one.
    next: BTreeMap<TenantKey, u64>,
}

/// Whose turn it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantShares {
    ranks: BTreeMap<u32, Turns>,
}

impl TenantShares {
    /// The turn that a new call would have; the least go first. Calls without a tenant have none to
    /// wait for: most are those that runs wait for, and without tenants nothing is shared.
    pub fn turn(&self, rank: u32, tenant: Option<TenantKey>) -> u64 {
        let (Some(tenant), Some(turns)) = (tenant, self.ranks.get(&rank)) else {
            return 0;
        };
        turns.next.get(&tenant).copied().unwrap_or(0).max(turns.now)
    }

    /// A call was taken in with its turn.
    pub fn taken(&mut self, rank: u32, tenant: Option<TenantKey>, turn: u64) {
        let Some(tenant) = tenant else {
            return;
        };
        if self.ranks.len() >= MOST_RANKS && !self.ranks.contains_key(&rank) {
            self.ranks.clear();
        }
        let turns = self.ranks.entry(rank).or_default();
        turns.next.insert(tenant, turn + 1);
        while turns.next.len() > MOST_REMEMBERED {
            turns.now = turns.next.values().copied().min().unwrap_or(0).max(turns.now);
            let now = turns.now;
            turns.next.retain(|_, next| *next > now);
        }
    }

    /// A call was given to the upstream.
    pub fn started(&mut self, rank: u32, turn: u64) {
        if let Some(turns) = self.ranks.get_mut(&rank) {
            turns.now = turns.now.max(turn);
        }
    }

    /// A call that was taken in will not be started: its tenant has that turn again.
    pub fn given_up(&mut self, rank: u32, tenant: Option<TenantKey>) {
        let turns = self.ranks.get_mut(&rank);
        let next = tenant.and_then(|tenant| turns?.next.get_mut(&tenant));
        if let Some(next) = next {
            *next = next.saturating_sub(1);
        }
    }
}
