//! The rate limit of a tenant.

use mesh::TenantId;
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Length of the windows over which the rate is guaranteed, milliseconds.
pub const WINDOW_MS: u64 = 5_000;
/// Minimum depth of a bucket, in seconds of its rate: credit in transit between nodes, for some ten
/// milliseconds, must fit.
const MIN_DEPTH_S: f64 = 0.2;
/// Depth of a bucket in excess of the burst, in square roots of the rate per second. Calls that
/// arrive at random, some of them in pairs, exceed their mean by this much in about one of ten
/// thousand cases, so a bucket only as deep as a small burst would refuse calls of tenants far
/// below their rate.
const EXTRA_DEPTH_PER_SQRT_RATE: f64 = 6.0;
/// Maximum of that excess, as a fraction of what the rate allows in a window.
const MAX_EXTRA_DEPTH: f64 = 0.5;

/// Identifies a tenant in frames by a hash of its name.
pub fn tenant_id(name: &str) -> TenantId {
    // All nodes use the same fixed key: the id is no secret, and operators, not callers, choose the
    // names.
    let mut hasher = SipHasher24::new();
    hasher.write(name.as_bytes());
    TenantId(hasher.finish())
}

/// Rate and burst of a tenant, for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Thousandths of a request per second; 0 means no limit.
    pub rate_milli: u64,
    /// Requests that may be sent at once in addition.
    pub burst: u64,
}

impl Limit {
    /// Whether requests are limited at all.
    pub fn is_bounded(&self) -> bool {
        self.rate_milli > 0
    }

    /// Depth of the bucket, requests. It may exceed the burst, because [`Self::max_in_window`]
    /// separately bounds the requests admitted in a window.
    pub fn depth(&self) -> f64 {
        (self.burst as f64 + self.extra_depth()).max(1.0)
    }

    /// Depth of the bucket in excess of the burst, requests.
    pub fn extra_depth(&self) -> f64 {
        let rate = self.rate();
        let random = EXTRA_DEPTH_PER_SQRT_RATE * rate.sqrt();
        let max = rate * WINDOW_MS as f64 / 1_000.0 * MAX_EXTRA_DEPTH;
        let min = rate * MIN_DEPTH_S - self.burst as f64;
        random.min(max).max(min)
    }

    /// Refill rate of the bucket, requests per second.
    pub fn refill_per_s(&self) -> f64 {
        self.rate()
    }

    /// Maximum number of requests in any window of [`WINDOW_MS`].
    pub fn max_in_window(&self) -> f64 {
        (self.rate() * WINDOW_MS as f64 / 1_000.0 + self.burst as f64).max(1.0)
    }

    fn rate(&self) -> f64 {
        self.rate_milli as f64 / 1_000.0
    }

    /// Whether this limit is lower than `other` in rate or burst.
    pub fn is_below(&self, other: &Limit) -> bool {
        let bounded = self.is_bounded() && !other.is_bounded();
        bounded || self.rate_milli < other.rate_milli || self.burst < other.burst
    }
}
