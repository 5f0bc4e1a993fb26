//! Allocates free ports below the range that the system uses for outgoing connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// Allocates ports that are free at the time of the call, each one once per pass through the range.
#[derive(Debug)]
pub struct PortRange {
    next: u16,
}

impl Default for PortRange {
    fn default() -> Self {
        PortRange { next: fastrand::u16(FIRST_PORT..LAST_PORT - 4_000) }
    }
}

impl PortRange {
    /// Returns the next free address on the loopback interface.
    pub fn next_address(&mut self) -> SocketAddr {
        loop {
            self.next = if self.next >= LAST_PORT { FIRST_PORT } else { self.next + 1 };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}
