//! Bodies that peers offer: when they may come over this machine's link.
//!
//! Nothing of an offer has reached the upstream, so each of them can be refused with certainty, and
//! one whose sender is gone leaves nothing behind.

use super::arrival::Way;
use super::{JobAction, Jobs, Refusal, Source};
use crate::net::ConnectionId;
use crate::Millis;
use admission::{Grant, SlotRequest, Transfer, TransferId, Transfers};
use http1::Slot;
use mesh::HopRequest;
use std::collections::BTreeMap;
use tracing::info;

#[derive(Debug)]
struct Offered {
    attempt_id: String,
    transfer: TransferId,
    since: Millis,
}

/// Offers without an end, by who made them.
pub(super) struct Offers {
    transfers: Transfers,
    by_source: BTreeMap<Source, Offered>,
    sources: BTreeMap<TransferId, Source>,
    next: TransferId,
}

impl Offers {
    pub fn new(link_bytes_per_ms: Option<f64>) -> Self {
        Self {
            transfers: Transfers::new(link_bytes_per_ms),
            by_source: BTreeMap::new(),
            sources: BTreeMap::new(),
            next: 1,
        }
    }

    pub fn len(&self) -> usize {
        self.by_source.len()
    }

    pub fn wait_ms(&self) -> u64 {
        self.transfers.wait_ms()
    }

    pub fn bytes_per_ms(&self) -> f64 {
        self.transfers.bytes_per_ms()
    }

    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        self.transfers.next_expiry(now)
    }

    /// What a connection offers.
    pub fn of(&self, connection: ConnectionId) -> Option<Source> {
        let first = Source::Peer { connection, slot: 0 };
        let last = Source::Peer { connection, slot: Slot::MAX };
        self.by_source.range(first..=last).map(|(source, _)| *source).next()
    }

    /// Forgets an offer; returns how long ago it was made, milliseconds.
    pub fn end(&mut self, source: Source, now: Millis) -> Option<u64> {
        let offered = self.by_source.remove(&source)?;
        self.sources.remove(&offered.transfer);
        self.transfers.end(offered.transfer);
        Some(now.saturating_sub(offered.since))
    }
}

impl Jobs {
    /// Takes in the offer of a call with a body of so many bytes; the call follows with
    /// [`Jobs::begin`] once its body is here.
    pub fn offer(
        &mut self,
        source: Source,
        attempt_id: &str,
        hop: &HopRequest,
        bytes: u64,
        now: Millis,
    ) -> Vec<JobAction> {
        if self.offers.by_source.contains_key(&source) {
            return Vec::new();
        }
        if let Some((reason, retry_after_ms)) = self.why_not(hop, bytes, now) {
            let refusal = Refusal { id: attempt_id, reason, retry_after_ms, ..Refusal::default() };
            return vec![self.refuse(source, refusal, now)];
        }
        let transfer = self.offers.next;
        self.offers.next += 1;
        let attempt_id = attempt_id.to_owned();
        self.offers.by_source.insert(source, Offered { attempt_id, transfer, since: now });
        self.offers.sources.insert(transfer, source);
        self.grant(now)
    }

    /// Refuses an offer that does not say how long its body is: it would hold up who made it for as long as a
    /// body may take to come.
    pub fn refuse_unsized(&self, source: Source, attempt_id: &str, now: Millis) -> JobAction {
        let refusal = Refusal { id: attempt_id, reason: "length_unknown", ..Refusal::default() };
        self.refuse(source, refusal, now)
    }

    /// Why an offer is refused, and when to come back, milliseconds; one that is not waits for its
    /// grants from now on.
    fn why_not(
        &mut self,
        hop: &HopRequest,
        bytes: u64,
        now: Millis,
    ) -> Option<(&'static str, u64)> {
        let waited_ms = self.since_departure_ms(hop, now);
        let way = Way { waited_ms, offered_ms: 0 };
        if let Some(reason) = self.mismatch(hop, now).or(way.too_late(hop)) {
            return Some((reason, waited_ms));
        }
        let HopRequest { begun, rank, target_ms, .. } = *hop;
        let patience_ms = hop.patience_ms.saturating_sub(waited_ms);
        let deadline = now + hop.deadline_ms.saturating_sub(waited_ms);
        // Whose it is comes with its head, once it is here.
        let tenant = None;
        let ticket = SlotRequest { job: 0, begun, rank, tenant, target_ms, patience_ms, deadline };
        if let Err(retry_after_ms) = self.admission.check_room(ticket, now) {
            return Some(("no_room", retry_after_ms));
        }
        let transfer = Transfer { id: self.offers.next, bytes, rank, target_ms, patience_ms };
        let taken = self.offers.transfers.offer(transfer, now);
        taken.err().map(|retry_after_ms| ("link_busy", retry_after_ms))
    }

    /// Notes how much of the body that a connection offered is here.
    pub fn body_arrived(
        &mut self,
        connection: ConnectionId,
        bytes: u64,
        now: Millis,
    ) -> Vec<JobAction> {
        let source = self.offers.of(connection);
        let Some(offered) = source.and_then(|source| self.offers.by_source.get(&source)) else {
            return Vec::new();
        };
        self.offers.transfers.arrived(offered.transfer, bytes, now);
        self.grant(now)
    }

    /// Lets bodies come for which the link has room.
    pub(super) fn grant(&mut self, now: Millis) -> Vec<JobAction> {
        let grants = self.offers.transfers.grant(now);
        let action = |Grant { id, bytes }: Grant| {
            let source = *self.offers.sources.get(&id)?;
            Some(JobAction::Grant { source, bytes })
        };
        grants.into_iter().filter_map(action).collect()
    }

    /// Refuses the offers that waited too long.
    pub(super) fn expire_offers(&mut self, now: Millis) -> Vec<JobAction> {
        let expired = self.offers.transfers.expire(now);
        self.refuse_transfers(expired, "link_busy", now)
    }

    /// Refuses all offers of which nothing was granted.
    pub(super) fn refuse_offers(&mut self, reason: &str, now: Millis) -> Vec<JobAction> {
        let waiting = self.offers.transfers.clear_waiting();
        self.refuse_transfers(waiting, reason, now)
    }

    fn refuse_transfers(
        &mut self,
        transfers: Vec<TransferId>,
        reason: &str,
        now: Millis,
    ) -> Vec<JobAction> {
        let mut actions = Vec::new();
        for transfer in transfers {
            let Some(source) = self.offers.sources.remove(&transfer) else {
                continue;
            };
            let Some(offered) = self.offers.by_source.remove(&source) else {
                continue;
            };
            let held_ms = now.saturating_sub(offered.since);
            let retry_after_ms = self.offers.wait_ms();
            let id = &offered.attempt_id;
            info!(%id, held_ms, waiting = self.offers.len(), "offer_expired");
            let refusal = Refusal { id, reason, held_ms, retry_after_ms, ..Refusal::default() };
            actions.push(self.refuse(source, refusal, now));
        }
        actions
    }
}
