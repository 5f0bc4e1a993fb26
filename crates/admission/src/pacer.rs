//! Which bytes go to this machine's link next.
//!
//! Whatever is written to a socket is out of this process' hands: a small answer that is written
//! after large ones stands behind all that the buffers of the kernel and the link hold. So bytes
//! for other machines are handed over only as fast as the link carries them (a token bucket of some
//! milliseconds), and what waits, waits here, where it has an order.
//!
//! The load that it answers: large answers that ask for more than the link carries, beside small
//! ones that runs elsewhere wait for.

use std::collections::BTreeMap;

/// Credit that is kept while nothing is sent, milliseconds of the link: with a piece, the longest
/// that a small message stands behind what was handed over before it.
const BURST_MS: f64 = 6.0;
/// Time on the link of one piece, milliseconds.
const PIECE_MS: f64 = 2.0;
/// Least and most of a piece, bytes: a packet's worth; a write's worth.
const LEAST_PIECE_BYTES: f64 = 1_400.0;
const MOST_PIECE_BYTES: f64 = 16.0 * 1024.0;
/// Longest message that goes at once, bytes: a head with a short body.
const MOST_SMALL_BYTES: usize = 4 * 1024;
/// Part of the told rate that is used. A link that is given all that it carries never empties the
/// queue that a few milliseconds too much have left in it: at 0.95 without the packets' own bytes, the
/// small answers of a machine whose link was full for 38 s waited 20 ms there at first and 250 at last.
const USED_PART: f64 = 0.95;
/// Most bytes of messages in a packet, and its own on the link: Ethernet, IP, TCP with timestamps.
const PACKET_BYTES: usize = 1_448;
const PACKET_OWN_BYTES: usize = 66;
/// Packets received for which one is sent back.
const PACKETS_ACKNOWLEDGED: usize = 2;
/// Most part of the credit that messages take that did not wait for it; a rate that is told too low
/// leaves the rest to those that wait.
const MOST_PART_AT_ONCE: f64 = 0.75;
/// Most that is owed for such messages, milliseconds of the link.
const MOST_OWED_MS: f64 = 100.0;
/// Time over which messages that did not wait are averaged, milliseconds.
const AT_ONCE_WINDOW_MS: f64 = 400.0;
/// Connections that may hold back what they were given at once: each fills a window of its own, which
/// no credit bounds where the rate is told too high.
const MOST_HELD_UP: usize = 4;
/// A connection that takes nothing for this long has a peer that does not read, or none: it does not
/// hold up the others, milliseconds. Twice the time of a lost packet's repetition within a region.
const STALL_MS: f64 = 150.0;

/// What is left of the rate once as many are held up, how long until it is taken down once more,
/// milliseconds, and the part of itself that the rate gains again in a millisecond without any. A link
/// slower than told by ten is found within 1.4 s, and one that only lost packets for a while is used
/// again as before some 2 s later.
const SLOWED_PART: f64 = 0.7;
const SLOWED_EVERY_MS: f64 = 200.0;
const REGAINED_PER_MS: f64 = 0.5 / 1_000.0;
/// Least part of the told rate.
const LEAST_PART: f64 = 1.0 / 16.0;

/// Order of a message among those that wait for the link; the least goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendUrgency {
    /// Whether nobody holds a slot until it is there.
    pub deferrable: bool,
    /// Rank of its route; 0 goes first.
    pub rank: u32,
    /// Target latency of its route, milliseconds; of one rank, the shorter goes first.
    pub target_ms: u64,
}

/// Urgency and order of arrival.
type Place = (SendUrgency, u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    place: Place,
    bytes: usize,
    since_ms: f64,
    /// Since when its socket takes nothing.
    held_up_ms: Option<f64>,
}

/// Bytes that may be handed over now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece<K> {
    /// On which connection.
    pub key: K,
    /// At most so many.
    pub bytes: usize,
}

/// Counts of what was handed over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PacerCounts {
    /// Bytes that did not wait.
    pub bytes_unpaced: u64,
    /// Bytes that waited for credit.
    pub bytes_paced: u64,
    /// Messages that waited, and how long together until they were handed over, milliseconds.
    pub messages_paced: u64,
    /// See there.
    pub waited_ms: f64,
    /// Longest such wait, milliseconds.
    pub longest_ms: f64,
}

/// Messages for other machines that wait for this machine's link, by connection.
#[derive(Clone, Debug)]
pub struct Pacer<K> {
    told_bytes_per_ms: Option<f64>,
    /// Part of that which the link was found to carry.
    part: f64,
    slowed_at_ms: f64,
    credit: f64,
    owed: f64,
    at_ms: f64,
    order: BTreeMap<Place, K>,
    waiting: BTreeMap<K, Waiting>,
    arrivals: u64,
    bytes: usize,
    at_once: AtOnce,
    counts: PacerCounts,
}

/// Bytes that went without waiting, each weighing less with its age.
#[derive(Clone, Copy, Debug, Default)]
struct AtOnce {
    weighed_bytes: f64,
    at_ms: f64,
}

impl AtOnce {
    fn weighed(&self, now_ms: f64) -> f64 {
        self.weighed_bytes * (-(now_ms - self.at_ms).max(0.0) / AT_ONCE_WINDOW_MS).exp()
    }

    fn note(&mut self, bytes: usize, now_ms: f64) {
        self.weighed_bytes = self.weighed(now_ms) + bytes as f64;
        self.at_ms = now_ms;
    }

    fn bytes_per_ms(&self, now_ms: f64) -> f64 {
        self.weighed(now_ms) / AT_ONCE_WINDOW_MS
    }
}

impl<K: Copy + Ord> Pacer<K> {
    /// Nothing waits yet, for a link of so many bytes a millisecond; nothing ever does if that is
    /// not known.
    pub fn new(link_bytes_per_ms: Option<f64>) -> Self {
        let told = link_bytes_per_ms.filter(|rate| rate.is_finite() && *rate > 0.0);
        let bytes_per_ms = told.map(|rate| rate * USED_PART);
        Pacer {
            told_bytes_per_ms: bytes_per_ms,
            part: 1.0,
            slowed_at_ms: -SLOWED_EVERY_MS,
            credit: bytes_per_ms.unwrap_or(0.0) * BURST_MS,
            owed: 0.0,
            at_ms: 0.0,
            order: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            bytes: 0,
            at_once: AtOnce::default(),
            counts: PacerCounts::default(),
        }
    }

    /// What the link is taken to carry, bytes a millisecond; `None` if nothing is paced. Never more
    /// than was told: that a socket takes bytes says nothing of the link.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.told_bytes_per_ms.map(|told| told * self.part)
    }

    /// What is left of the link for messages that wait, bytes a millisecond; `None` if it is not
    /// known.
    pub fn available_bytes_per_ms(&self, now_ms: f64) -> Option<f64> {
        let least = 1.0 - MOST_PART_AT_ONCE;
        let whole = PACKET_BYTES as f64 / carried_bytes(PACKET_BYTES) as f64;
        let left = |rate: f64| (rate - self.at_once.bytes_per_ms(now_ms)).max(rate * least) * whole;
        self.bytes_per_ms().map(left)
    }

    /// Bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What was handed over since the start.
    pub fn counts(&self) -> PacerCounts {
        self.counts
    }

    /// Whether a message of this length and urgency goes to its socket without waiting.
    pub fn bypasses_pacing(&self, bytes: usize, urgency: SendUrgency) -> bool {
        let Some(rate) = self.bytes_per_ms() else {
            return true;
        };
        !urgency.deferrable || bytes <= most_small_bytes(rate)
    }

    /// Notes bytes that went to a socket without waiting.
    pub fn note_unpaced(&mut self, bytes: usize, now_ms: f64) {
        self.counts.bytes_unpaced += bytes as u64;
        let Some(rate) = self.bytes_per_ms() else {
            return;
        };
        self.refill(now_ms);
        let carried = carried_bytes(bytes);
        self.at_once.note(carried, now_ms);
        self.owed = (self.owed + carried as f64).min(rate * MOST_OWED_MS);
    }

    /// Notes bytes that came from other machines: they are acknowledged over the same link.
    pub fn note_received(&mut self, bytes: usize, now_ms: f64) {
        let Some(rate) = self.bytes_per_ms() else {
            return;
        };
        self.refill(now_ms);
        let packets = bytes.div_ceil(PACKET_BYTES).div_ceil(PACKETS_ACKNOWLEDGED);
        let carried = packets * PACKET_OWN_BYTES;
        self.at_once.note(carried, now_ms);
        self.owed = (self.owed + carried as f64).min(rate * MOST_OWED_MS);
    }

    /// Takes in bytes for a connection; behind those of it that wait already, if any do.
    pub fn push(&mut self, key: K, bytes: usize, urgency: SendUrgency, now_ms: f64) {
        self.bytes += bytes;
        if let Some(held) = self.waiting.get_mut(&key) {
            held.bytes += bytes;
            return;
        }
        let place = (urgency, self.arrivals);
        self.arrivals += 1;
        self.order.insert(place, key);
        self.waiting.insert(key, Waiting { place, bytes, since_ms: now_ms, held_up_ms: None });
    }

    /// Whether bytes of a connection wait.
    pub fn is_waiting(&self, key: K) -> bool {
        self.waiting.contains_key(&key)
    }

    /// What may be handed over next, if the credit lasts.
    pub fn next(&mut self, now_ms: f64) -> Option<Piece<K>> {
        self.refill(now_ms);
        if self.credit <= 0.0 {
            return None;
        }
        let key = self.first(now_ms)?;
        let held = self.waiting.get(&key)?;
        Some(Piece { key, bytes: self.piece_bytes().min(held.bytes) })
    }

    /// The first connection that is not held up; none while too many are, since all that they were
    /// given stands in the link.
    fn first(&self, now_ms: f64) -> Option<K> {
        let counts =
            |held: &&Waiting| held.held_up_ms.is_some_and(|since_ms| now_ms < since_ms + STALL_MS);
        if self.waiting.values().filter(counts).count() >= MOST_HELD_UP {
            return None;
        }
        let free = |key: &&K| self.waiting.get(*key).is_some_and(|held| held.held_up_ms.is_none());
        self.order.values().find(free).copied()
    }

    /// Connections that are held up, but for those whose peers do not read.
    fn held_up(&self, now_ms: f64) -> usize {
        let counts =
            |held: &&Waiting| held.held_up_ms.is_some_and(|since_ms| now_ms < since_ms + STALL_MS);
        self.waiting.values().filter(counts).count()
    }

    fn piece_bytes(&self) -> usize {
        let rate = self.bytes_per_ms().unwrap_or(MOST_PIECE_BYTES);
        (rate * PIECE_MS).clamp(LEAST_PIECE_BYTES, MOST_PIECE_BYTES) as usize
    }

    /// Notes that a socket took so many bytes of a piece.
    pub fn note_written(&mut self, key: K, bytes: usize, now_ms: f64) {
        self.credit -= carried_bytes(bytes) as f64;
        self.counts.bytes_paced += bytes as u64;
        let Some(held) = self.waiting.get_mut(&key) else {
            return;
        };
        let bytes = bytes.min(held.bytes);
        held.bytes -= bytes;
        self.bytes -= bytes;
        if held.bytes > 0 {
            return;
        }
        let waited_ms = (now_ms - held.since_ms).max(0.0);
        self.counts.messages_paced += 1;
        self.counts.waited_ms += waited_ms;
        self.counts.longest_ms = self.counts.longest_ms.max(waited_ms);
        self.remove(key);
    }

    /// Notes that a socket takes no more for now.
    pub fn note_blocked(&mut self, key: K, now_ms: f64) {
        if let Some(held) = self.waiting.get_mut(&key) {
            held.held_up_ms.get_or_insert(now_ms);
        }
        let often = now_ms < self.slowed_at_ms + SLOWED_EVERY_MS;
        if !often && self.held_up(now_ms) >= MOST_HELD_UP {
            self.slowed_at_ms = now_ms;
            self.part = (self.part * SLOWED_PART).max(LEAST_PART);
        }
    }

    /// Notes that a socket takes bytes again.
    pub fn note_writable(&mut self, key: K) {
        if let Some(held) = self.waiting.get_mut(&key) {
            held.held_up_ms = None;
        }
    }

    /// Forgets what waits for a connection: it is closed.
    pub fn remove(&mut self, key: K) {
        if let Some(held) = self.waiting.remove(&key) {
            self.order.remove(&held.place);
            self.bytes -= held.bytes;
        }
    }

    /// Time until something may be handed over, milliseconds; `None` if nothing waits that a socket
    /// would take.
    pub fn due_in_ms(&self, now_ms: f64) -> Option<f64> {
        let rate = self.bytes_per_ms()?;
        let free = self.waiting.values().any(|held| held.held_up_ms.is_none());
        if !free {
            return None;
        }
        let stalls = self.waiting.values().filter_map(|held| held.held_up_ms);
        let next_stall = stalls.map(|since| since + STALL_MS - now_ms).filter(|left| *left > 0.0);
        if self.first(now_ms).is_none() {
            return next_stall.reduce(f64::min);
        }
        // Half of the bucket at a time, so that the loop does not turn for each packet.
        let wanted = BURST_MS / 2.0 * rate;
        let earned = rate * (now_ms - self.at_ms).max(0.0);
        let paid = self.owed.min(earned * MOST_PART_AT_ONCE);
        let missing = wanted - (self.credit + earned - paid);
        Some((missing / rate).max(0.0))
    }

    fn refill(&mut self, now_ms: f64) {
        let Some(rate) = self.bytes_per_ms() else {
            return;
        };
        let passed_ms = (now_ms - self.at_ms).max(0.0);
        let earned = rate * passed_ms;
        self.at_ms = self.at_ms.max(now_ms);
        if self.part < 1.0 && self.held_up(now_ms) == 0 {
            self.part = (self.part * (1.0 + passed_ms * REGAINED_PER_MS)).min(1.0);
        }
        let paid = self.owed.min(earned * MOST_PART_AT_ONCE);
        self.owed -= paid;
        self.credit = (self.credit + earned - paid).min(rate * BURST_MS);
    }
}

/// What a message of so many bytes takes of the link.
fn carried_bytes(bytes: usize) -> usize {
    bytes + bytes.div_ceil(PACKET_BYTES) * PACKET_OWN_BYTES
}

/// Longest message that goes at once over a link of this rate, bytes: one that takes more than a
/// piece's time is no small one there.
pub(crate) fn most_small_bytes(bytes_per_ms: f64) -> usize {
    let carried = (bytes_per_ms * PIECE_MS).max(LEAST_PIECE_BYTES);
    MOST_SMALL_BYTES.min(carried as usize)
}
