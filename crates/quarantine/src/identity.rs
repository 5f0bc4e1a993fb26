//! What makes two requests the same, whoever sends them and under whatever id; and two ends of an
//! upstream, whoever tells of them.

use mesh::{CrashId, CrashReport, Fingerprint};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// All nodes must give a request the same name, so the key is one for all. It keeps names of this
/// use apart from other uses of the hash; it is no secret.
const KEY: (u64, u64) = (0x6368_7574_6563_6f76, 0x7175_6172_616e_7469);
/// Bytes at each end of a body that are looked at besides its length: a whole one of 64 MB would
/// hold up its node for 60 ms (at 1 GB/s, as the hash is published).
const BODY_END_BYTES: usize = 16 * 1024;

/// What an upstream sees of a request that is the same each time it comes. Not its headers: ids,
/// deadlines and user agents differ between repeats. Not its caller: what crashes an upstream does
/// so whoever asks.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Host it is addressed to; empty if it names none.
    pub host: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Names the request on all nodes.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = SipHasher24::new_with_keys(KEY.0, KEY.1);
        for part in [self.service, self.method, self.target, self.host] {
            // The length keeps neighbours apart.
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

/// Names the end that a report tells of, on all nodes.
pub fn crash_id(report: &CrashReport) -> CrashId {
    let mut hasher = SipHasher24::new_with_keys(KEY.0, KEY.1);
    hasher.write(&report.node.ip.octets());
    hasher.write_u16(report.node.port);
    hasher.write(report.instance.as_bytes());
    CrashId(hasher.finish())
}
