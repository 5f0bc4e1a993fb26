//! Paces and prioritizes outgoing traffic on this machine's link.
//!
//! Once bytes are written to a socket, this process can no longer reorder them: a small response
//! written after large ones queues behind everything in the buffers of the kernel and the link. So
//! bytes for other machines are written only as fast as the link transmits them (a token bucket of a
//! few milliseconds), and the rest waits here, where it is sorted by priority.
//!
//! This covers large responses that exceed the capacity of the link next to small responses that
//! calls running elsewhere wait for.

use std::collections::BTreeMap;

/// Maximum credit, milliseconds of link time. Together with one piece it bounds how long a small
/// message waits behind bytes that were written before it.
const BURST_MS: f64 = 6.0;
/// Link time of one piece, milliseconds.
const PIECE_MS: f64 = 2.0;
/// Bounds of the piece size, bytes: one packet, and one write call.
const MIN_PIECE_BYTES: f64 = 1_400.0;
const MAX_PIECE_BYTES: f64 = 16.0 * 1024.0;
/// Longest message that bypasses pacing, bytes: a message head with a short body.
const MAX_SMALL_BYTES: usize = 4 * 1024;
/// Fraction of the configured rate that is used. At the full rate, a queue left in the link by a few
/// milliseconds of excess never drains. With 0.95 but without counting the packet overhead, small
/// responses of a machine whose link was saturated for 38 s were delayed by 20 ms at first and by
/// 250 ms at the end.
const USABLE_FRACTION: f64 = 0.95;
/// Maximum payload of a packet and its overhead on the link, bytes: Ethernet, IP, and TCP with
/// timestamps.
const PACKET_BYTES: usize = 1_448;
const PACKET_OVERHEAD_BYTES: usize = 66;
/// Received packets per acknowledgement that is sent.
const PACKETS_PER_ACK: usize = 2;
/// Maximum fraction of the credit that unpaced messages use up. If the configured rate is too low,
/// the rest remains for paced messages.
const MAX_UNPACED_FRACTION: f64 = 0.75;
/// Maximum debt for unpaced messages, milliseconds of link time.
const MAX_DEBT_MS: f64 = 100.0;
/// Averaging window for the rate of unpaced messages, milliseconds.
const UNPACED_WINDOW_MS: f64 = 400.0;
/// Number of blocked connections at which sending stops: each of them has filled a send window of its
/// own, which the credit does not bound if the configured rate is too high.
const MAX_BLOCKED: usize = 4;
/// A connection that is blocked for this long, milliseconds, has a peer that is gone or does not read,
/// and no longer delays the others. This is twice the retransmission time of a lost packet within a
/// region.
const STALL_MS: f64 = 150.0;

/// Factor applied to the rate when [`MAX_BLOCKED`] connections are blocked, minimum interval between
/// two such reductions (milliseconds), and relative growth of the rate per millisecond without blocked
/// connections. A link that is ten times slower than configured is detected within 1.4 s, and a link
/// that only lost packets for a while is back at its full rate about 2 s later.
const SLOWDOWN_FACTOR: f64 = 0.7;
const SLOWDOWN_INTERVAL_MS: f64 = 200.0;
const RECOVERY_PER_MS: f64 = 0.5 / 1_000.0;
/// Lower bound of the rate, as a fraction of the configured one.
const MIN_RATE_FACTOR: f64 = 1.0 / 16.0;

/// Priority of a message among those that wait for the link; the lowest value goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendUrgency {
    /// Whether no caller holds an upstream slot while waiting for this message.
    pub deferrable: bool,
    /// Rank of the route; 0 goes first.
    pub rank: u32,
    /// Target latency of the route, milliseconds; within a rank, the shorter one goes first.
    pub target_ms: u64,
}

/// Urgency and order of arrival.
type QueueKey = (SendUrgency, u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    order_key: QueueKey,
    bytes: usize,
    since_ms: f64,
    /// Time since when the socket accepts no data.
    blocked_since_ms: Option<f64>,
}

/// Bytes that may be written to a socket now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece<K> {
    /// Connection to write to.
    pub key: K,
    /// Maximum number of bytes.
    pub bytes: usize,
}

/// Counters of the bytes and messages written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PacerCounts {
    /// Bytes that bypassed pacing.
    pub bytes_unpaced: u64,
    /// Bytes that waited for credit.
    pub bytes_paced: u64,
    /// Messages that waited for credit.
    pub messages_paced: u64,
    /// Total time that these messages waited until they were written, milliseconds.
    pub waited_ms: f64,
    /// Longest wait of a message, milliseconds.
    pub longest_ms: f64,
}

/// Messages for other machines that wait for this machine's link, by connection.
#[derive(Clone, Debug)]
pub struct Pacer<K> {
    usable_bytes_per_ms: Option<f64>,
    /// Fraction of that rate that the link is currently believed to sustain.
    rate_factor: f64,
    slowed_down_at_ms: f64,
    credit: f64,
    debt: f64,
    updated_at_ms: f64,
    order: BTreeMap<QueueKey, K>,
    waiting: BTreeMap<K, Waiting>,
    arrivals: u64,
    bytes: usize,
    unpaced: UnpacedRate,
    counts: PacerCounts,
}

/// Exponentially decaying average of the unpaced bytes.
#[derive(Clone, Copy, Debug, Default)]
struct UnpacedRate {
    decayed_bytes: f64,
    updated_at_ms: f64,
}

impl UnpacedRate {
    fn decayed_at(&self, now_ms: f64) -> f64 {
        self.decayed_bytes * (-(now_ms - self.updated_at_ms).max(0.0) / UNPACED_WINDOW_MS).exp()
    }

    fn note(&mut self, bytes: usize, now_ms: f64) {
        self.decayed_bytes = self.decayed_at(now_ms) + bytes as f64;
        self.updated_at_ms = now_ms;
    }

    fn bytes_per_ms(&self, now_ms: f64) -> f64 {
        self.decayed_at(now_ms) / UNPACED_WINDOW_MS
    }
}

impl<K: Copy + Ord> Pacer<K> {
    /// Creates a pacer for a link with this rate, bytes per millisecond. If the rate is not known,
    /// nothing is paced.
    pub fn new(link_bytes_per_ms: Option<f64>) -> Self {
        let configured = link_bytes_per_ms.filter(|rate| rate.is_finite() && *rate > 0.0);
        let bytes_per_ms = configured.map(|rate| rate * USABLE_FRACTION);
        Pacer {
            usable_bytes_per_ms: bytes_per_ms,
            rate_factor: 1.0,
            slowed_down_at_ms: -SLOWDOWN_INTERVAL_MS,
            credit: bytes_per_ms.unwrap_or(0.0) * BURST_MS,
            debt: 0.0,
            updated_at_ms: 0.0,
            order: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            bytes: 0,
            unpaced: UnpacedRate::default(),
            counts: PacerCounts::default(),
        }
    }

    /// Returns the assumed link rate, bytes per millisecond; `None` if nothing is paced. It never exceeds
    /// the configured rate, because a socket that accepts bytes says nothing about the link.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.usable_bytes_per_ms.map(|usable| usable * self.rate_factor)
    }

    /// Returns the rate that remains for paced messages, bytes per millisecond; `None` if the link rate
    /// is not known.
    pub fn available_bytes_per_ms(&self, now_ms: f64) -> Option<f64> {
        let min_fraction = 1.0 - MAX_UNPACED_FRACTION;
        let payload_fraction = PACKET_BYTES as f64 / bytes_on_wire(PACKET_BYTES) as f64;
        let remaining = |rate: f64| {
            (rate - self.unpaced.bytes_per_ms(now_ms)).max(rate * min_fraction) * payload_fraction
        };
        self.bytes_per_ms().map(remaining)
    }

    /// Returns the number of waiting bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> PacerCounts {
        self.counts
    }

    /// Whether a message of this length and urgency is written to its socket without waiting.
    pub fn bypasses_pacing(&self, bytes: usize, urgency: SendUrgency) -> bool {
        let Some(rate) = self.bytes_per_ms() else {
            return true;
        };
        !urgency.deferrable || bytes <= max_small_bytes(rate)
    }

    /// Records bytes that were written to a socket without waiting.
    pub fn note_unpaced(&mut self, bytes: usize, now_ms: f64) {
        self.counts.bytes_unpaced += bytes as u64;
        let Some(rate) = self.bytes_per_ms() else {
            return;
        };
        self.refill(now_ms);
        let wire_bytes = bytes_on_wire(bytes);
        self.unpaced.note(wire_bytes, now_ms);
        self.debt = (self.debt + wire_bytes as f64).min(rate * MAX_DEBT_MS);
    }

    /// Records bytes received from other machines: their acknowledgements use the same link.
    pub fn note_received(&mut self, bytes: usize, now_ms: f64) {
        let Some(rate) = self.bytes_per_ms() else {
            return;
        };
        self.refill(now_ms);
        let packets = bytes.div_ceil(PACKET_BYTES).div_ceil(PACKETS_PER_ACK);
        let wire_bytes = packets * PACKET_OVERHEAD_BYTES;
        self.unpaced.note(wire_bytes, now_ms);
        self.debt = (self.debt + wire_bytes as f64).min(rate * MAX_DEBT_MS);
    }

    /// Queues bytes for a connection, behind any bytes of it that already wait.
    pub fn push(&mut self, key: K, bytes: usize, urgency: SendUrgency, now_ms: f64) {
        self.bytes += bytes;
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.bytes += bytes;
            return;
        }
        let order_key = (urgency, self.arrivals);
        self.arrivals += 1;
        self.order.insert(order_key, key);
        self.waiting
            .insert(key, Waiting { order_key, bytes, since_ms: now_ms, blocked_since_ms: None });
    }

    /// Whether bytes of this connection are waiting.
    pub fn is_waiting(&self, key: K) -> bool {
        self.waiting.contains_key(&key)
    }

    /// Returns the next piece to write, if there is credit for it.
    pub fn next(&mut self, now_ms: f64) -> Option<Piece<K>> {
        self.refill(now_ms);
        if self.credit <= 0.0 {
            return None;
        }
        let key = self.first(now_ms)?;
        let waiting = self.waiting.get(&key)?;
        Some(Piece { key, bytes: self.piece_bytes().min(waiting.bytes) })
    }

    /// Returns the first connection that is not blocked. Returns `None` while too many are blocked, since
    /// the bytes written to them may still be queued in the link.
    fn first(&self, now_ms: f64) -> Option<K> {
        let is_blocked = |waiting: &&Waiting| {
            waiting.blocked_since_ms.is_some_and(|since_ms| now_ms < since_ms + STALL_MS)
        };
        if self.waiting.values().filter(is_blocked).count() >= MAX_BLOCKED {
            return None;
        }
        let is_writable = |key: &&K| {
            self.waiting.get(*key).is_some_and(|waiting| waiting.blocked_since_ms.is_none())
        };
        self.order.values().find(is_writable).copied()
    }

    /// Counts blocked connections, without those whose peers do not read.
    fn blocked_count(&self, now_ms: f64) -> usize {
        let is_blocked = |waiting: &&Waiting| {
            waiting.blocked_since_ms.is_some_and(|since_ms| now_ms < since_ms + STALL_MS)
        };
        self.waiting.values().filter(is_blocked).count()
    }

    fn piece_bytes(&self) -> usize {
        let rate = self.bytes_per_ms().unwrap_or(MAX_PIECE_BYTES);
        (rate * PIECE_MS).clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES) as usize
    }

    /// Records that a socket accepted this many bytes of a piece.
    pub fn note_written(&mut self, key: K, bytes: usize, now_ms: f64) {
        self.credit -= bytes_on_wire(bytes) as f64;
        self.counts.bytes_paced += bytes as u64;
        let Some(waiting) = self.waiting.get_mut(&key) else {
            return;
        };
        let bytes = bytes.min(waiting.bytes);
        waiting.bytes -= bytes;
        self.bytes -= bytes;
        if waiting.bytes > 0 {
            return;
        }
        let waited_ms = (now_ms - waiting.since_ms).max(0.0);
        self.counts.messages_paced += 1;
        self.counts.waited_ms += waited_ms;
        self.counts.longest_ms = self.counts.longest_ms.max(waited_ms);
        self.remove(key);
    }

    /// Records that a socket currently accepts no more data.
    pub fn note_blocked(&mut self, key: K, now_ms: f64) {
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.blocked_since_ms.get_or_insert(now_ms);
        }
        let is_too_soon = now_ms < self.slowed_down_at_ms + SLOWDOWN_INTERVAL_MS;
        if !is_too_soon && self.blocked_count(now_ms) >= MAX_BLOCKED {
            self.slowed_down_at_ms = now_ms;
            self.rate_factor = (self.rate_factor * SLOWDOWN_FACTOR).max(MIN_RATE_FACTOR);
        }
    }

    /// Records that a socket accepts data again.
    pub fn note_writable(&mut self, key: K) {
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.blocked_since_ms = None;
        }
    }

    /// Drops the waiting bytes of a connection that was closed.
    pub fn remove(&mut self, key: K) {
        if let Some(waiting) = self.waiting.remove(&key) {
            self.order.remove(&waiting.order_key);
            self.bytes -= waiting.bytes;
        }
    }

    /// Returns the time until something may be written, milliseconds; `None` if nothing waits for a
    /// socket that accepts data.
    pub fn due_in_ms(&self, now_ms: f64) -> Option<f64> {
        let rate = self.bytes_per_ms()?;
        let any_writable = self.waiting.values().any(|waiting| waiting.blocked_since_ms.is_none());
        if !any_writable {
            return None;
        }
        let stalls = self.waiting.values().filter_map(|waiting| waiting.blocked_since_ms);
        let next_stall =
            stalls.map(|since| since + STALL_MS - now_ms).filter(|remaining| *remaining > 0.0);
        if self.first(now_ms).is_none() {
            return next_stall.reduce(f64::min);
        }
        // Waits for half of the bucket, so that the event loop does not wake up for every packet.
        let target = BURST_MS / 2.0 * rate;
        let earned = rate * (now_ms - self.updated_at_ms).max(0.0);
        let repaid = self.debt.min(earned * MAX_UNPACED_FRACTION);
        let missing = target - (self.credit + earned - repaid);
        Some((missing / rate).max(0.0))
    }

    fn refill(&mut self, now_ms: f64) {
        let Some(rate) = self.bytes_per_ms() else {
            return;
        };
        let passed_ms = (now_ms - self.updated_at_ms).max(0.0);
        let earned = rate * passed_ms;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        if self.rate_factor < 1.0 && self.blocked_count(now_ms) == 0 {
            self.rate_factor = (self.rate_factor * (1.0 + passed_ms * RECOVERY_PER_MS)).min(1.0);
        }
        let repaid = self.debt.min(earned * MAX_UNPACED_FRACTION);
        self.debt -= repaid;
        self.credit = (self.credit + earned - repaid).min(rate * BURST_MS);
    }
}

/// Returns the bytes that a message occupies on the link, with packet overhead.
fn bytes_on_wire(bytes: usize) -> usize {
    bytes + bytes.div_ceil(PACKET_BYTES) * PACKET_OVERHEAD_BYTES
}

/// Returns the length of the longest message that bypasses pacing on a link of this rate, bytes. A
/// message that takes longer than one piece does not count as small on that link.
pub(crate) fn max_small_bytes(bytes_per_ms: f64) -> usize {
    let wire_bytes = (bytes_per_ms * PIECE_MS).max(MIN_PIECE_BYTES);
    MAX_SMALL_BYTES.min(wire_bytes as usize)
}
