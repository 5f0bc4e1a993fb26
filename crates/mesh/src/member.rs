//! Member ids of coordinators: an IP address and an incarnation.
//!
//! A coordinator that lost its disk rejoins at its old address as a new member, because it may have
//! lost votes and log entries. The lower half of the id distinguishes the two members.

use std::fmt;
use std::net::Ipv4Addr;

/// Id of a member of the coordinators' consensus group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The initial member of a new fleet at an address.
    pub fn first_at(address: Ipv4Addr) -> Self {
        MemberId::new(address, 0)
    }

    /// A member at an address; `incarnation` is 0 only for the initial members of a new fleet.
    pub fn new(address: Ipv4Addr, incarnation: u32) -> Self {
        MemberId(u64::from(u32::from(address)) << 32 | u64::from(incarnation))
    }

    /// Address at which the member is reached.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from((self.0 >> 32) as u32)
    }

    /// Distinguishes the members that used this address one after the other.
    pub fn incarnation(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{:x}", self.address(), self.incarnation())
    }
}
