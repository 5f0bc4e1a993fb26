//! What a tenant may send.

use mesh::TenantId;
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// The rate is promised over windows of this length, milliseconds.
pub const WINDOW_MS: u64 = 5_000;
/// Least depth of a bucket as a part of its rate, seconds: credit that is on its way between nodes
/// for some ten milliseconds must fit.
const LEAST_DEPTH_S: f64 = 0.2;
/// How much deeper than the burst a bucket is, in square roots of the rate a second. Calls that come
/// at random, some of them two at once, exceed their mean by that much in one of some ten thousand
/// cases, so a bucket as deep as a small burst refuses calls of tenants far below their rate.
const RANDOM_DEPTH: f64 = 6.0;
/// The same as a part of what the rate allows in a window, at most.
const MOST_RANDOM_DEPTH: f64 = 0.5;

/// Names a tenant in frames.
pub fn tenant_id(name: &str) -> TenantId {
    // One key for all nodes: the id is no secret, and operators, not callers, choose names.
    let mut hasher = SipHasher24::new();
    hasher.write(name.as_bytes());
    TenantId(hasher.finish())
}

/// Rate and burst of a tenant over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests, thousandths a second; 0 means no limit.
    pub rate_milli: u64,
    /// Requests at once on top.
    pub burst: u64,
}

impl Limit {
    /// Whether there is a limit at all.
    pub fn is_bounded(&self) -> bool {
        self.rate_milli > 0
    }

    /// Depth of the bucket, requests. It may be deeper than the burst, because what is let on in a
    /// window is bounded by [`Self::in_window`] beside.
    pub fn depth(&self) -> f64 {
        (self.burst as f64 + self.extra_depth()).max(1.0)
    }

    /// How much deeper the bucket is than the burst, requests.
    pub fn extra_depth(&self) -> f64 {
        let rate = self.rate();
        let random = RANDOM_DEPTH * rate.sqrt();
        let most = rate * WINDOW_MS as f64 / 1_000.0 * MOST_RANDOM_DEPTH;
        let least = rate * LEAST_DEPTH_S - self.burst as f64;
        random.min(most).max(least)
    }

    /// Requests a second by which the bucket refills.
    pub fn refill_per_s(&self) -> f64 {
        self.rate()
    }

    /// Requests that may run in any window of [`WINDOW_MS`].
    pub fn in_window(&self) -> f64 {
        (self.rate() * WINDOW_MS as f64 / 1_000.0 + self.burst as f64).max(1.0)
    }

    fn rate(&self) -> f64 {
        self.rate_milli as f64 / 1_000.0
    }

    /// Whether this one allows less than another.
    pub fn is_below(&self, other: &Limit) -> bool {
        let bounded = self.is_bounded() && !other.is_bounded();
        bounded || self.rate_milli < other.rate_milli || self.burst < other.burst
    }
}
