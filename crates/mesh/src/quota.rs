//! Credits of tenants' quotas, as sidecars ask for them and coordinators lend them to each other.

use speedy::{Readable, Writable};

/// Names a tenant in these frames: a hash of its name, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct TenantId(pub u64);

/// What a sidecar asks for one tenant. One credit is one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditAsk {
    /// For whom.
    pub tenant: TenantId,
    /// Credits that calls wait for.
    pub need: u16,
    /// Credits that calls of the next moments are likely to want.
    pub ahead: u16,
    /// Credits held and not spent.
    pub kept: u16,
    /// Requests that reached upstreams without a credit, and were not told before: repeats.
    pub debt: u16,
    /// Calls refused here since the last request, because there was no credit a moment before.
    pub refused: u16,
}

/// What one sidecar is given for one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditGrant {
    /// For whom.
    pub tenant: TenantId,
    /// Credits for calls that wait.
    pub granted: u16,
    /// Credits to hold.
    pub ahead: u16,
    /// When more is likely there, milliseconds; read if calls still wait.
    pub retry_ms: u16,
    /// Whether another coordinator is asked meanwhile, so that more may be there in a moment.
    pub pulling: bool,
}

/// An amount of one tenant's credit, thousandths of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditAmount {
    /// Whose.
    pub tenant: TenantId,
    /// How much.
    pub milli: u32,
}

/// What a sidecar tells the pool of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditRequest {
    /// When it was sent, milliseconds of the sidecar's clock.
    pub asked_at: u64,
    /// Whether the sidecar adds its own part of all quotas to this pool for the next moments; it
    /// does so to one coordinator at a time.
    pub lends: bool,
    /// What it asks for.
    pub asks: Vec<CreditAsk>,
}

/// The answer to a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditAnswer {
    /// As in the request: the time from which the credits' lives count.
    pub asked_at: u64,
    /// Sidecars among which quotas are divided; 0 if that is not known yet.
    pub nodes: u32,
    /// What is given.
    pub grants: Vec<CreditGrant>,
}
