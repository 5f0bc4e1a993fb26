//! Evidence that a relay's view is current, for proxies that start without stored state.
//!
//! Such a proxy may have applied a newer generation before it restarted. Whatever it had applied
//! was committed before its first request arrived here, so a read confirmed by a quorum that
//! *began after* that request returns a revision at least as new. No clock is compared, so
//! frozen and cut-off processes cannot give false evidence. One read serves every proxy whose
//! request arrived before the read began.

/// Tickets of waiting proxies, and what was confirmed.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    last_ticket: u64,
    confirmed_ticket: u64,
    confirmed_revision: u64,
}

/// Proof of having asked at a certain moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

impl Confirmations {
    /// A proxy's first request arrived.
    pub fn issue(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    /// Whether a read is wanted; the ticket must be taken before the read is sent.
    pub fn wanted(&self) -> Option<Ticket> {
        (self.last_ticket > self.confirmed_ticket).then_some(Ticket(self.last_ticket))
    }

    /// A read that began after `ticket` was issued returned `revision`.
    pub fn confirm(&mut self, ticket: Ticket, revision: u64) {
        self.confirmed_ticket = self.confirmed_ticket.max(ticket.0);
        self.confirmed_revision = self.confirmed_revision.max(revision);
    }

    /// Whether a view of `revision` is current for the holder of `ticket`.
    pub fn covers(&self, ticket: Ticket, revision: u64) -> bool {
        ticket.0 <= self.confirmed_ticket && revision >= self.confirmed_revision
    }
}
