//! Confirmation that a relay's view is current, for proxies that start without stored state.
//!
//! Such a proxy may have applied a newer generation before it restarted. Whatever it had applied was
//! committed before its first request arrived at the relay, so a quorum-confirmed read that
//! *began after* that request returns a revision that is at least as new. Clocks are not compared,
//! so suspended or partitioned processes cannot cause a false confirmation. One read serves every
//! proxy whose request arrived before the read began.

/// Issued tickets and the latest confirmation.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    last_ticket: u64,
    confirmed_ticket: u64,
    confirmed_revision: u64,
}

/// Orders the first requests of proxies relative to confirmed reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

impl Confirmations {
    /// Issues a ticket for the first request of a proxy.
    pub fn issue(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    /// Returns the latest ticket if a read is needed; must be called before the read is sent.
    pub fn pending(&self) -> Option<Ticket> {
        (self.last_ticket > self.confirmed_ticket).then_some(Ticket(self.last_ticket))
    }

    /// Records that a read that began after `ticket` was issued returned `revision`.
    pub fn confirm(&mut self, ticket: Ticket, revision: u64) {
        self.confirmed_ticket = self.confirmed_ticket.max(ticket.0);
        self.confirmed_revision = self.confirmed_revision.max(revision);
    }

    /// Whether a view with `revision` is confirmed to be current for the proxy with `ticket`.
    pub fn covers(&self, ticket: Ticket, revision: u64) -> bool {
        ticket.0 <= self.confirmed_ticket && revision >= self.confirmed_revision
    }
}
