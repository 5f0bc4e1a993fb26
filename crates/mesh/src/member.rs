//! Ids of coordinators: where one is reached, and which of its lives is meant.
//!
//! A coordinator that lost its disk returns at its old address as a new member, because it may
//! have forgotten votes and entries; the second half of its id tells the two apart.

use std::fmt;
use std::net::Ipv4Addr;

/// Id of a member of the coordinators' group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The member that a new fleet starts with at an address.
    pub fn first_at(address: Ipv4Addr) -> Self {
        MemberId::new(address, 0)
    }

    /// A member at an address; `life` is 0 only for one that a new fleet starts with.
    pub fn new(address: Ipv4Addr, life: u32) -> Self {
        MemberId(u64::from(u32::from(address)) << 32 | u64::from(life))
    }

    /// Where it is reached.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from((self.0 >> 32) as u32)
    }

    /// Which of the lives at that address.
    pub fn life(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{:x}", self.address(), self.life())
    }
}
