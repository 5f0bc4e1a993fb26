//! Which offered bodies may come over this machine's link, and when.
//!
//! Long bodies that are sent whenever a caller likes fill the link of the machine they go to, and
//! whatever is small stands behind them. So a sender offers a long body first, and the receiver
//! grants it piece by piece: only some tens of milliseconds of the link are ever on their way, the
//! most urgent body goes first, and one that would wait too long is refused before a byte of it is
//! sent.

use crate::Millis;
use std::collections::BTreeMap;

/// Names a transfer.
pub type TransferId = u64;

/// Most and fewest bytes granted at once: a packet's worth, so that grants stay few.
const MOST_GRANT_BYTES: u64 = 8 * 1024;
const LEAST_GRANT_BYTES: u64 = 1_400;
/// Time on the link that one grant takes, milliseconds, within those bounds: about half of the window.
const GRANT_MS: f64 = 16.0;
/// Fewest grants on their way before no more are granted: one is sent while the next is asked for.
const LEAST_WINDOW_GRANTS: u64 = 2;
/// So much of the link's time may be granted and not here yet, milliseconds.
const WINDOW_MS: f64 = 30.0;
/// A sender that sends nothing of its grant for this long does not hold up the others, ms.
const STALL_MS: u64 = 150;
/// What a link is taken to bring before anything was measured, bytes a millisecond.
const UNKNOWN_BYTES_PER_MS: f64 = 1_000.0;
/// Part of a link's nominal rate that bodies are taken to get before anything was measured.
const BODIES_PART: f64 = 0.85;
/// Time over which the rate is measured while bodies keep the link busy, milliseconds.
const MEASURE_MS: u64 = 100;
const RATE_WEIGHT: f64 = 0.15;
const SHORTEST_RETRY_MS: u64 = 50;

/// What is known of an offered body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Its id.
    pub id: TransferId,
    /// Its length, bytes.
    pub bytes: u64,
    /// Order among those that wait; 0 goes first.
    pub rank: u32,
    /// Target latency of its kind, milliseconds; of one rank, the shorter goes first.
    pub target_ms: u64,
    /// Longest useful wait for its first grant, milliseconds.
    pub patience_ms: u64,
}

/// Bytes of a body that may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Which body.
    pub id: TransferId,
    /// How many more.
    pub bytes: u64,
}

/// Rank, target and order of arrival; the least goes first.
type Place = (u32, u64, u64);

#[derive(Clone, Copy, Debug)]
struct Held {
    place: Place,
    bytes: u64,
    granted: u64,
    arrived: u64,
    latest_start: Millis,
    /// When something of it was last granted or arrived.
    moved_at: Millis,
}

impl Held {
    /// Not here yet.
    fn missing(&self) -> u64 {
        self.bytes.saturating_sub(self.arrived)
    }

    /// Granted and not here yet.
    fn under_way(&self) -> u64 {
        self.granted.saturating_sub(self.arrived)
    }

    /// Whether its sender does not send what it may.
    fn is_stalled(&self, now: Millis) -> bool {
        self.under_way() > 0 && now >= self.moved_at + STALL_MS
    }

    /// What it takes of the window.
    fn outstanding(&self, now: Millis) -> u64 {
        if self.is_stalled(now) {
            return 0;
        }
        self.under_way()
    }
}

/// Bytes that arrived while at least one granted body was on its way all the time.
#[derive(Clone, Copy, Debug)]
struct Busy {
    since: Millis,
    bytes: u64,
}

/// Bodies that are on their way to this machine, and those that wait.
#[derive(Clone, Debug)]
pub struct Transfers {
    held: BTreeMap<TransferId, Held>,
    order: BTreeMap<Place, TransferId>,
    offers: u64,
    bytes_per_ms: f64,
    busy: Option<Busy>,
}

impl Transfers {
    /// No bodies yet, over a link of so many bytes a millisecond; `None` if that is not known.
    pub fn new(link_bytes_per_ms: Option<f64>) -> Self {
        let told = link_bytes_per_ms.filter(|rate| rate.is_finite() && *rate > 0.0);
        Transfers {
            held: BTreeMap::new(),
            order: BTreeMap::new(),
            offers: 0,
            bytes_per_ms: told.map_or(UNKNOWN_BYTES_PER_MS, |rate| rate * BODIES_PART),
            busy: None,
        }
    }

    /// Bodies that wait or are on their way.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// What the link brings of bodies, bytes a millisecond.
    pub fn bytes_per_ms(&self) -> f64 {
        self.bytes_per_ms
    }

    /// How long a body that is less urgent than all others would wait for its first grant, ms.
    pub fn wait_ms(&self) -> u64 {
        self.time_of(self.held.values().map(Held::missing).sum())
    }

    fn time_of(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_ms.max(f64::MIN_POSITIVE)) as u64
    }

    /// Takes in an offer; refused with the time after which there may be room, milliseconds.
    pub fn offer(&mut self, transfer: Transfer, now: Millis) -> Result<(), u64> {
        let place = (transfer.rank, transfer.target_ms, self.offers);
        let ahead = self.held.values().filter(|held| held.granted > 0 || held.place < place);
        let bytes_ahead = ahead.map(Held::missing).sum();
        let wait_ms = self.time_of(bytes_ahead);
        if wait_ms > transfer.patience_ms {
            return Err((wait_ms - transfer.patience_ms).max(SHORTEST_RETRY_MS));
        }
        self.offers += 1;
        let held = Held {
            place,
            bytes: transfer.bytes,
            granted: 0,
            arrived: 0,
            latest_start: now + transfer.patience_ms,
            moved_at: now,
        };
        self.held.insert(transfer.id, held);
        self.order.insert(place, transfer.id);
        Ok(())
    }

    fn grant_bytes(&self) -> u64 {
        let carried = (self.bytes_per_ms * GRANT_MS) as u64;
        carried.clamp(LEAST_GRANT_BYTES, MOST_GRANT_BYTES)
    }

    /// Grants what fits on the link now. Bodies that have begun are finished first: one that is
    /// whole helps its caller, two halves help nobody.
    pub fn grant(&mut self, now: Millis) -> Vec<Grant> {
        let mut grants: Vec<Grant> = Vec::new();
        let most = self.grant_bytes();
        let window = (most * LEAST_WINDOW_GRANTS).max((self.bytes_per_ms * WINDOW_MS) as u64);
        let mut outstanding: u64 = self.held.values().map(|held| held.outstanding(now)).sum();
        while outstanding < window {
            let Some(id) = self.next(now) else {
                break;
            };
            let Some(held) = self.held.get_mut(&id) else {
                break;
            };
            let bytes = most.min(held.bytes - held.granted);
            held.granted += bytes;
            held.moved_at = now;
            outstanding += bytes;
            match grants.last_mut().filter(|last| last.id == id) {
                Some(last) => last.bytes += bytes,
                None => grants.push(Grant { id, bytes }),
            }
        }
        if !grants.is_empty() && self.busy.is_none() {
            self.busy = Some(Busy { since: now, bytes: 0 });
        }
        grants
    }

    /// The body that is granted more next: the first of those that have begun and move, or else the
    /// first of those that wait.
    fn next(&self, now: Millis) -> Option<TransferId> {
        let open = |id: &&TransferId| {
            let held = &self.held[*id];
            held.granted < held.bytes && !held.is_stalled(now)
        };
        let begun = |id: &&TransferId| self.held[*id].granted > 0;
        let mut first = self.order.values().filter(open).filter(begun);
        let waiting = || self.order.values().find(open);
        first.next().or_else(waiting).copied()
    }

    /// Notes how many bytes of a body are here.
    pub fn arrived(&mut self, id: TransferId, bytes: u64, now: Millis) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let new = bytes.saturating_sub(held.arrived);
        held.arrived += new;
        held.moved_at = now;
        self.measure(new, now);
    }

    fn measure(&mut self, bytes: u64, now: Millis) {
        let Some(busy) = &mut self.busy else {
            return;
        };
        busy.bytes += bytes;
        let measured_ms = now.saturating_sub(busy.since);
        if measured_ms >= MEASURE_MS {
            let seen = busy.bytes as f64 / measured_ms as f64;
            self.bytes_per_ms += (seen - self.bytes_per_ms) * RATE_WEIGHT;
            self.busy = Some(Busy { since: now, bytes: 0 });
        }
    }

    /// Forgets a body: it is whole, refused, or its sender is gone. What was granted to it is
    /// taken back.
    pub fn end(&mut self, id: TransferId) {
        if let Some(held) = self.held.remove(&id) {
            self.order.remove(&held.place);
        }
        // While nothing is on its way, the link is not measured.
        if self.held.values().all(|held| held.under_way() == 0) {
            self.busy = None;
        }
    }

    /// Removes the bodies that waited as long as they would and were granted nothing.
    pub fn expire(&mut self, now: Millis) -> Vec<TransferId> {
        let late = |held: &Held| held.granted == 0 && held.latest_start <= now;
        let found = self.held.iter().filter(|(_, held)| late(held));
        let expired: Vec<TransferId> = found.map(|(id, _)| *id).collect();
        for id in &expired {
            self.end(*id);
        }
        expired
    }

    /// Removes every body that was granted nothing.
    pub fn clear_waiting(&mut self) -> Vec<TransferId> {
        self.expire(Millis::MAX)
    }

    /// When a body that waits expires, or one that is granted stalls.
    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        let waiting = self.held.values().filter(|held| held.granted == 0);
        let moving = self.held.values().filter(|held| held.outstanding(now) > 0);
        let stalls = moving.map(|held| held.moved_at + STALL_MS);
        waiting.map(|held| held.latest_start).chain(stalls).min()
    }
}
