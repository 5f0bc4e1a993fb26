//! Request bodies offered by peers: when they may be sent over this machine's link.
//!
//! Nothing of an offered call has reached the upstream, so it can be refused with the certainty
//! that it has not run, and an offer whose sender is gone leaves no state behind.

use super::arrival::TransitDelay;
use super::{JobAction, Jobs, Refusal, Source};
use crate::net::ConnectionId;
use crate::Millis;
use admission::{Grant, SlotRequest, Transfer, TransferId, Transfers};
use http1::Slot;
use mesh::HopRequest;
use std::collections::BTreeMap;
use tracing::info;

/// When a body for which there was no memory may be offered again, milliseconds: about the time that one
/// of some tens of megabytes takes to be passed on.
const MEMORY_RETRY_AFTER_MS: u64 = 500;

#[derive(Debug)]
struct PendingOffer {
    attempt_id: String,
    transfer: TransferId,
    since: Millis,
}

/// All pending offers, by their sender.
pub(super) struct Offers {
    transfers: Transfers,
    by_source: BTreeMap<Source, PendingOffer>,
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

    /// The pending offer of a connection.
    pub fn of_connection(&self, connection: ConnectionId) -> Option<Source> {
        let first = Source::Peer { connection, slot: 0 };
        let last = Source::Peer { connection, slot: Slot::MAX };
        self.by_source.range(first..=last).map(|(source, _)| *source).next()
    }

    /// Removes an offer; returns how long ago it was made, in milliseconds.
    pub fn end(&mut self, source: Source, now: Millis) -> Option<u64> {
        let offered = self.by_source.remove(&source)?;
        self.sources.remove(&offered.transfer);
        self.transfers.end(offered.transfer);
        Some(now.saturating_sub(offered.since))
    }
}

impl Jobs {
    /// Handles the offer of a call with a body of `bytes` bytes. [`Jobs::begin`] follows once the
    /// body has arrived.
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
        let deadline = now + hop.deadline_ms;
        if let Some(reason) = self.outlasts_stop(source, deadline) {
            let refusal = self.stop_refusal(attempt_id, reason, 0);
            return vec![self.refuse(source, refusal, now)];
        }
        if let Some((reason, retry_after_ms)) = self.refusal_reason(hop, bytes, now) {
            let refusal = Refusal { id: attempt_id, reason, retry_after_ms, ..Refusal::default() };
            return vec![self.refuse(source, refusal, now)];
        }
        let transfer = self.offers.next;
        self.offers.next += 1;
        let attempt_id = attempt_id.to_owned();
        self.offers.by_source.insert(source, PendingOffer { attempt_id, transfer, since: now });
        self.offers.sources.insert(transfer, source);
        self.grant_transfers(now)
    }

    /// Refuses an offer of unknown length: its sender would be held up for as long as the longest
    /// body may take.
    pub fn refuse_unsized(&self, source: Source, attempt_id: &str, now: Millis) -> JobAction {
        let refusal = Refusal { id: attempt_id, reason: "length_unknown", ..Refusal::default() };
        self.refuse(source, refusal, now)
    }

    /// Refuses an offer for whose body there is no memory now.
    pub fn refuse_unfunded(&self, source: Source, attempt_id: &str, now: Millis) -> JobAction {
        let (reason, retry_after_ms) = ("memory_full", MEMORY_RETRY_AFTER_MS);
        let refusal = Refusal { id: attempt_id, reason, retry_after_ms, ..Refusal::default() };
        self.refuse(source, refusal, now)
    }

    /// The reason to refuse an offer and the time after which it may be retried, in milliseconds.
    /// An offer that is not refused is queued for grants.
    fn refusal_reason(
        &mut self,
        hop: &HopRequest,
        bytes: u64,
        now: Millis,
    ) -> Option<(&'static str, u64)> {
        let waited_ms = self.since_departure_ms(hop, now);
        let delay = TransitDelay { waited_ms, offered_ms: 0 };
        if let Some(reason) = self.ineligible_reason(hop, now).or(delay.late_reason(hop)) {
            return Some((reason, waited_ms));
        }
        self.adopt_rate(hop, now);
        let HopRequest { nested, rank, target_ms, .. } = *hop;
        let patience_ms = hop.patience_ms.saturating_sub(waited_ms);
        let deadline = now + hop.deadline_ms.saturating_sub(waited_ms);
        // The tenant is read from the complete request later.
        let tenant = None;
        let slot_request =
            SlotRequest { job: 0, nested, rank, tenant, target_ms, patience_ms, deadline };
        if let Err(retry_after_ms) = self.admission.check_room(slot_request, now) {
            return Some((self.no_room_reason(now), retry_after_ms));
        }
        let transfer = Transfer { id: self.offers.next, bytes, rank, target_ms, patience_ms };
        let result = self.offers.transfers.offer(transfer, now);
        result.err().map(|retry_after_ms| ("link_busy", retry_after_ms))
    }

    /// Records how many bytes of an offered body have arrived on a connection.
    pub fn body_arrived(
        &mut self,
        connection: ConnectionId,
        bytes: u64,
        now: Millis,
    ) -> Vec<JobAction> {
        let source = self.offers.of_connection(connection);
        let Some(offered) = source.and_then(|source| self.offers.by_source.get(&source)) else {
            return Vec::new();
        };
        self.offers.transfers.arrived(offered.transfer, bytes, now);
        self.grant_transfers(now)
    }

    /// Grants offered bodies as far as the link has room.
    pub(super) fn grant_transfers(&mut self, now: Millis) -> Vec<JobAction> {
        let grants = self.offers.transfers.grant(now);
        let action = |Grant { id, bytes }: Grant| {
            let source = *self.offers.sources.get(&id)?;
            Some(JobAction::Grant { source, bytes })
        };
        grants.into_iter().filter_map(action).collect()
    }

    /// Refuses offers that waited too long.
    pub(super) fn expire_offers(&mut self, now: Millis) -> Vec<JobAction> {
        let expired = self.offers.transfers.expire(now);
        self.refuse_transfers(expired, "link_busy", now)
    }

    /// Refuses all offers that received no grant yet.
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
