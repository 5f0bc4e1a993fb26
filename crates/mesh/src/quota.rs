//! Credits of tenant quotas, which sidecars request and coordinators transfer to each other.

use speedy::{Readable, Writable};

/// Identifies a tenant in these frames: a hash of its name, equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct TenantId(pub u64);

/// A sidecar's demand for one tenant. One credit admits one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditAsk {
    /// The tenant.
    pub tenant: TenantId,
    /// Credits for calls that are waiting.
    pub need: u16,
    /// Credits to prefetch for the calls expected next.
    pub prefetch: u16,
    /// Unspent credits held by the sidecar.
    pub held: u16,
    /// Requests sent to upstreams without a credit (retries) and not reported yet.
    pub debt: u16,
    /// Calls that the sidecar refused for lack of credit since its last credit request.
    pub refused: u16,
}

/// Credits granted to a sidecar for one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditGrant {
    /// The tenant.
    pub tenant: TenantId,
    /// Credits for calls that are waiting.
    pub granted: u16,
    /// Prefetched credits to hold.
    pub prefetch: u16,
    /// Delay after which more credit is expected, milliseconds; used if calls are still waiting.
    pub retry_ms: u16,
    /// Whether credit was requested from another coordinator, so that more may arrive shortly.
    pub pulling: bool,
}

/// An amount of a tenant's credit, in thousandths of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditAmount {
    /// The tenant.
    pub tenant: TenantId,
    /// The amount.
    pub milli: u32,
}

/// A sidecar's credit request to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditRequest {
    /// When it was sent, in milliseconds of the sidecar's clock.
    pub asked_at: u64,
    /// Whether the sidecar lends its own share of all quotas to this coordinator's pool for a short
    /// time; it lends to one coordinator at a time.
    pub lends: bool,
    /// Demand by tenant.
    pub asks: Vec<CreditAsk>,
}

/// The answer to a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CreditAnswer {
    /// Copied from the request; the validity of the credits starts at this time.
    pub asked_at: u64,
    /// Number of sidecars among which quotas are divided; 0 if not known yet.
    pub nodes: u32,
    /// Grants by tenant.
    pub grants: Vec<CreditGrant>,
}
