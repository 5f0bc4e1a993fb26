//! Identity of requests, independent of caller and request id, and of upstream crashes, independent of
//! the reporting node.

use mesh::{CrashId, CrashReport, Fingerprint};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Hash key. It is fixed because all nodes must compute the same fingerprint for a request. It separates
/// these hashes from other uses of the function and is not a secret.
const KEY: (u64, u64) = (0x6368_7574_6563_6f76, 0x7175_6172_616e_7469);
/// Number of bytes hashed at each end of a body, in addition to its length. Hashing a whole body of
/// 64 MB would block the node for 60 ms, at the published hash rate of 1 GB/s.
const BODY_END_BYTES: usize = 16 * 1024;

/// The parts of a request that stay the same each time it is repeated. Headers are not included because
/// ids, deadlines and user agents differ between repeats. The caller is not included because a poison
/// request crashes an upstream whoever sends it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Target service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query.
    pub target: &'a str,
    /// Requested host; empty if there is none.
    pub host: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns the fingerprint of the request, which is the same on all nodes.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = SipHasher24::new_with_keys(KEY.0, KEY.1);
        for part in [self.service, self.method, self.target, self.host] {
            // The length marks the boundary between adjacent parts.
            hasher.write_u64(part.len() as u64);
            hasher.write(part.as_bytes());
        }
        hasher.write_u64(self.body.len() as u64);
        if self.body.len() <= 2 * BODY_END_BYTES {
            hasher.write(self.body);
        } else {
            hasher.write(&self.body[..BODY_END_BYTES]);
            hasher.write(&self.body[self.body.len() - BODY_END_BYTES..]);
        }
        Fingerprint(hasher.finish())
    }
}

/// Returns the id of a reported crash, which is the same on all nodes.
pub fn crash_id(report: &CrashReport) -> CrashId {
    let mut hasher = SipHasher24::new_with_keys(KEY.0, KEY.1);
    hasher.write(&report.node.ip.octets());
    hasher.write_u16(report.node.port);
    hasher.write(report.instance.as_bytes());
    CrashId(hasher.finish())
}
