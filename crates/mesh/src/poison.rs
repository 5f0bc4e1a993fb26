//! Requests that may crash their upstreams, as nodes tell each other of them.

use speedy::{Readable, Writable};
use std::fmt;

/// Names a request by what upstreams see of it; the same on all nodes and for all its repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
