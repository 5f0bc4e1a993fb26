//! Bodies in memory: a budget for all bytes that a process holds, and buffers that are charged to it.
//!
//! A body is charged from the moment its length is known until the last reference to it is dropped,
//! whoever holds that: a connection, a queue, or the output of another connection.

use crate::BodyError;
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Bodies up to this length are small ones, in bytes.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Part of a budget that is left to small bodies, in bytes, so that a few long ones never keep them out.
const LEFT_TO_SMALL_BODIES: u64 = 8 * 1024 * 1024;
/// Bodies above this length, in bytes, get an allocation of [`MAPPED_BYTES`] at least.
const LONG_BODY_BYTES: usize = 1024 * 1024;
/// The C library's allocator maps what is longer than 32 MiB by itself and gives it back when it is freed. It
/// would keep shorter allocations of many bodies in its heap. Pages that nothing is written to take no memory.
const MAPPED_BYTES: usize = 33 * 1024 * 1024;
/// The smallest step by which a body of unknown length grows, in bytes.
const MIN_GROWTH: usize = 16 * 1024;

/// A limit on the bytes that are held at the same time. Clones share what is held.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    held: Arc<AtomicU64>,
    limit: u64,
}

impl Default for ByteBudget {
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes. Long bodies leave a part of it to small ones.
    pub fn new(limit: u64) -> Self {
        ByteBudget { held: Arc::default(), limit }
    }

    /// Bytes held now.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Bytes that may be held at the same time.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// The longest body that there may ever be room for, in bytes.
    pub fn longest_body(&self) -> u64 {
        self.limit_for(u64::MAX)
    }

    fn limit_for(&self, body_bytes: u64) -> u64 {
        match body_bytes <= SMALL_BODY_BYTES {
            true => self.limit,
            false => self.limit.saturating_sub(LEFT_TO_SMALL_BODIES).max(SMALL_BODY_BYTES),
        }
    }

    /// Takes more bytes for a body that is `body_bytes` long then.
    fn take(&self, bytes: u64, body_bytes: u64) -> bool {
        let limit = self.limit_for(body_bytes);
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// A part of a budget, which is given back when the value is dropped.
#[derive(Debug)]
struct Reservation {
    budget: ByteBudget,
    bytes: u64,
}

impl Reservation {
    fn grow_to(&mut self, bytes: u64) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let taken = self.budget.take(missing, bytes);
        if taken {
            self.bytes += missing;
        }
        taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body that is being received, charged to a budget.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    data: Vec<u8>,
    reservation: Reservation,
}

/// The complete body, which keeps its reservation.
struct ReservedBytes {
    data: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl BodyBuffer {
    /// An empty body.
    pub fn new(budget: &ByteBudget) -> Self {
        let reservation = Reservation { budget: budget.clone(), bytes: 0 };
        BodyBuffer { data: Vec::new(), reservation }
    }

    /// Makes room for a body of `bytes` bytes; false if the budget has none. Memory is only used for what
    /// arrives.
    pub fn reserve(&mut self, bytes: u64) -> bool {
        let reserved = self.reservation.grow_to(bytes);
        if reserved {
            self.allocate(bytes as usize);
        }
        reserved
    }

    /// Makes the allocation long enough for `bytes` bytes.
    fn allocate(&mut self, bytes: usize) {
        let capacity = if bytes > LONG_BODY_BYTES { bytes.max(MAPPED_BYTES) } else { bytes };
        self.data.reserve_exact(capacity.saturating_sub(self.data.len()));
    }

    /// Bytes received so far.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// The complete body.
    pub fn freeze(self) -> Bytes {
        let BodyBuffer { data, reservation } = self;
        if data.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ReservedBytes { data, _reservation: reservation })
    }
}

/// Where decoded body bytes go.
pub trait BodySink {
    /// Appends bytes; fails if there is no room for them.
    fn put(&mut self, bytes: &[u8]) -> Result<(), BodyError>;
}

impl BodySink for Vec<u8> {
    fn put(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        self.extend_from_slice(bytes);
        Ok(())
    }
}

impl BodySink for BodyBuffer {
    fn put(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let needed = self.data.len() + bytes.len();
        if needed as u64 > self.reservation.bytes {
            // Grows by a quarter, since twice the length may be more than there is room for.
            let wanted = needed.max(self.data.len() + (self.data.len() / 4).max(MIN_GROWTH));
            let has_room = self.reserve(wanted as u64) || self.reserve(needed as u64);
            if !has_room {
                return Err(BodyError::NoRoom);
            }
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }
}
