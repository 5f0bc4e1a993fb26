//! Receiver-driven flow control for long request bodies on this machine's link.
//!
//! If callers send long bodies whenever they like, they fill the link of the receiving machine, and
//! small messages queue behind them. So a sender offers a long body first, and the receiver grants it
//! piece by piece. Only some tens of milliseconds of link time are in flight at any time, the most
//! urgent body goes first, and a body that would wait too long is refused before any of it is sent.

use crate::Millis;
use std::collections::BTreeMap;

/// Identifies a transfer.
pub type TransferId = u64;

/// Bounds of a single grant, bytes. The lower one is the payload of a packet, which limits the number
/// of grants.
const MAX_GRANT_BYTES: u64 = 8 * 1024;
const MIN_GRANT_BYTES: u64 = 1_400;
/// Link time of one grant, milliseconds, within those bounds: about half of the window.
const GRANT_MS: f64 = 16.0;
/// Minimum window, in grants: one is being sent while the next one is on its way to the sender.
const MIN_WINDOW_GRANTS: u64 = 2;
/// Window of granted bytes that have not arrived yet, milliseconds of link time.
const WINDOW_MS: f64 = 30.0;
/// A sender that sends nothing of its grant for this long, milliseconds, no longer delays the others.
const STALL_MS: u64 = 150;
/// Assumed rate before anything was measured if the link rate is not known, bytes per millisecond.
const UNKNOWN_BYTES_PER_MS: f64 = 1_000.0;
/// Fraction of the nominal link rate that bodies are assumed to get before anything was measured.
const BODIES_FRACTION: f64 = 0.85;
/// Measuring interval of the rate while bodies keep the link busy, milliseconds.
const MEASURING_INTERVAL_MS: u64 = 100;
const RATE_SAMPLE_WEIGHT: f64 = 0.15;
const MIN_RETRY_MS: u64 = 50;

/// An offered body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Id of the transfer.
    pub id: TransferId,
    /// Length of the body, bytes.
    pub bytes: u64,
    /// Priority rank among waiting bodies; 0 goes first.
    pub rank: u32,
    /// Target latency of the route, milliseconds; within a rank, the shorter one goes first.
    pub target_ms: u64,
    /// Longest useful wait for the first grant, milliseconds.
    pub patience_ms: u64,
}

/// Permission to send some bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Id of the transfer.
    pub id: TransferId,
    /// Number of additional bytes.
    pub bytes: u64,
}

/// Rank, target latency and order of arrival; the lowest goes first.
type QueueKey = (u32, u64, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    order_key: QueueKey,
    bytes: u64,
    granted: u64,
    arrived: u64,
    latest_start: Millis,
    /// When bytes of it were last granted or arrived.
    last_progress_at: Millis,
}

impl Entry {
    /// Returns the bytes that have not arrived yet.
    fn missing(&self) -> u64 {
        self.bytes.saturating_sub(self.arrived)
    }

    /// Returns the granted bytes that have not arrived yet.
    fn in_flight(&self) -> u64 {
        self.granted.saturating_sub(self.arrived)
    }

    /// Whether the sender has stopped sending granted bytes.
    fn is_stalled(&self, now: Millis) -> bool {
        self.in_flight() > 0 && now >= self.last_progress_at + STALL_MS
    }

    /// Returns how much of the window this body occupies.
    fn outstanding(&self, now: Millis) -> u64 {
        if self.is_stalled(now) {
            return 0;
        }
        self.in_flight()
    }
}

/// Bytes that arrived in an interval in which at least one granted body was always in flight.
#[derive(Clone, Copy, Debug)]
struct RateSample {
    since: Millis,
    bytes: u64,
}

/// Scheduler for bodies that are being sent to this machine or wait for a grant.
#[derive(Clone, Debug)]
pub struct Transfers {
    entries: BTreeMap<TransferId, Entry>,
    order: BTreeMap<QueueKey, TransferId>,
    offers: u64,
    bytes_per_ms: f64,
    sample: Option<RateSample>,
}

impl Transfers {
    /// Creates a scheduler for a link with this rate, bytes per millisecond; `None` if it is not known.
    pub fn new(link_bytes_per_ms: Option<f64>) -> Self {
        let configured = link_bytes_per_ms.filter(|rate| rate.is_finite() && *rate > 0.0);
        Transfers {
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            offers: 0,
            bytes_per_ms: configured.map_or(UNKNOWN_BYTES_PER_MS, |rate| rate * BODIES_FRACTION),
            sample: None,
        }
    }

    /// Returns the number of bodies that wait or are in flight.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no body waits or is in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the rate at which bodies are received, bytes per millisecond.
    pub fn bytes_per_ms(&self) -> f64 {
        self.bytes_per_ms
    }

    /// Returns how long a body of the lowest priority would wait for its first grant, milliseconds.
    pub fn wait_ms(&self) -> u64 {
        self.transmission_ms(self.entries.values().map(Entry::missing).sum())
    }

    fn transmission_ms(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_ms.max(f64::MIN_POSITIVE)) as u64
    }

    /// Accepts an offer or refuses it with the time after which there may be room, milliseconds.
    pub fn offer(&mut self, transfer: Transfer, now: Millis) -> Result<(), u64> {
        let order_key = (transfer.rank, transfer.target_ms, self.offers);
        let ahead =
            self.entries.values().filter(|entry| entry.granted > 0 || entry.order_key < order_key);
        let bytes_ahead = ahead.map(Entry::missing).sum();
        let wait_ms = self.transmission_ms(bytes_ahead);
        if wait_ms > transfer.patience_ms {
            return Err((wait_ms - transfer.patience_ms).max(MIN_RETRY_MS));
        }
        self.offers += 1;
        let entry = Entry {
            order_key,
            bytes: transfer.bytes,
            granted: 0,
            arrived: 0,
            latest_start: now + transfer.patience_ms,
            last_progress_at: now,
        };
        self.entries.insert(transfer.id, entry);
        self.order.insert(order_key, transfer.id);
        Ok(())
    }

    fn grant_bytes(&self) -> u64 {
        let bytes = (self.bytes_per_ms * GRANT_MS) as u64;
        bytes.clamp(MIN_GRANT_BYTES, MAX_GRANT_BYTES)
    }

    /// Grants the bytes that fit into the window now. Bodies that have started are completed first, since
    /// one complete body is useful to its caller and two halves are not.
    pub fn grant(&mut self, now: Millis) -> Vec<Grant> {
        let mut grants: Vec<Grant> = Vec::new();
        let max_grant = self.grant_bytes();
        let window = (max_grant * MIN_WINDOW_GRANTS).max((self.bytes_per_ms * WINDOW_MS) as u64);
        let mut outstanding: u64 = self.entries.values().map(|entry| entry.outstanding(now)).sum();
        while outstanding < window {
            let Some(id) = self.next(now) else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                break;
            };
            let bytes = max_grant.min(entry.bytes - entry.granted);
            entry.granted += bytes;
            entry.last_progress_at = now;
            outstanding += bytes;
            match grants.last_mut().filter(|last| last.id == id) {
                Some(last) => last.bytes += bytes,
                None => grants.push(Grant { id, bytes }),
            }
        }
        if !grants.is_empty() && self.sample.is_none() {
            self.sample = Some(RateSample { since: now, bytes: 0 });
        }
        grants
    }

    /// Returns the body that gets the next grant: the first one that has started and is not stalled, or
    /// else the first waiting one.
    fn next(&self, now: Millis) -> Option<TransferId> {
        let is_grantable = |id: &&TransferId| {
            let entry = &self.entries[*id];
            entry.granted < entry.bytes && !entry.is_stalled(now)
        };
        let has_started = |id: &&TransferId| self.entries[*id].granted > 0;
        let mut started = self.order.values().filter(is_grantable).filter(has_started);
        let waiting = || self.order.values().find(is_grantable);
        started.next().or_else(waiting).copied()
    }

    /// Records the total number of bytes of a body that have arrived.
    pub fn arrived(&mut self, id: TransferId, bytes: u64, now: Millis) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let new = bytes.saturating_sub(entry.arrived);
        entry.arrived += new;
        entry.last_progress_at = now;
        self.measure(new, now);
    }

    fn measure(&mut self, bytes: u64, now: Millis) {
        let Some(sample) = &mut self.sample else {
            return;
        };
        sample.bytes += bytes;
        let measured_ms = now.saturating_sub(sample.since);
        if measured_ms >= MEASURING_INTERVAL_MS {
            let measured = sample.bytes as f64 / measured_ms as f64;
            self.bytes_per_ms += (measured - self.bytes_per_ms) * RATE_SAMPLE_WEIGHT;
            self.sample = Some(RateSample { since: now, bytes: 0 });
        }
    }

    /// Removes a body that is complete or refused, or whose sender is gone. Its outstanding grant no
    /// longer counts.
    pub fn end(&mut self, id: TransferId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.order.remove(&entry.order_key);
        }
        // The rate is not measured while nothing is in flight.
        if self.entries.values().all(|entry| entry.in_flight() == 0) {
            self.sample = None;
        }
    }

    /// Removes the bodies whose maximum wait has passed without a grant.
    pub fn expire(&mut self, now: Millis) -> Vec<TransferId> {
        let is_late = |entry: &Entry| entry.granted == 0 && entry.latest_start <= now;
        let found = self.entries.iter().filter(|(_, entry)| is_late(entry));
        let expired: Vec<TransferId> = found.map(|(id, _)| *id).collect();
        for id in &expired {
            self.end(*id);
        }
        expired
    }

    /// Removes all bodies without a grant.
    pub fn clear_waiting(&mut self) -> Vec<TransferId> {
        self.expire(Millis::MAX)
    }

    /// Returns when the next waiting body expires or the next granted one counts as stalled.
    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        let waiting = self.entries.values().filter(|entry| entry.granted == 0);
        let moving = self.entries.values().filter(|entry| entry.outstanding(now) > 0);
        let stalls = moving.map(|entry| entry.last_progress_at + STALL_MS);
        waiting.map(|entry| entry.latest_start).chain(stalls).min()
    }
}
