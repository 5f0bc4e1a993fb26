//! Bytes to be written to a connection.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;

/// Shared bytes from this length on are queued without being copied.
const MIN_SHARED_BYTES: usize = 16 * 1024;

/// Where encoded messages go.
pub trait Output {
    /// Appends bytes.
    fn put(&mut self, bytes: &[u8]);

    /// Appends shared bytes.
    fn put_shared(&mut self, bytes: &Bytes);
}

impl Output for Vec<u8> {
    fn put(&mut self, bytes: &[u8]) {
        self.extend_from_slice(bytes);
    }

    fn put_shared(&mut self, bytes: &Bytes) {
        self.extend_from_slice(bytes);
    }
}

/// A queue of bytes that shares long bodies with whoever else holds them.
#[derive(Debug, Default)]
pub struct OutputQueue {
    /// Complete pieces, which go first.
    pieces: VecDeque<Bytes>,
    /// Short messages behind them.
    tail: Vec<u8>,
    /// Bytes of the tail that were taken already.
    tail_taken: usize,
    length: usize,
}

impl OutputQueue {
    /// Number of bytes that are left.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The next bytes; empty if none are left.
    pub fn front(&self) -> &[u8] {
        match self.pieces.front() {
            Some(piece) => piece,
            None => &self.tail[self.tail_taken..],
        }
    }

    /// Drops the next `count` bytes, which must not be more than [`OutputQueue::front`] has.
    pub fn advance(&mut self, count: usize) {
        self.length -= count;
        let Some(piece) = self.pieces.front_mut() else {
            self.tail_taken += count;
            if self.tail_taken == self.tail.len() {
                self.tail = Vec::new();
                self.tail_taken = 0;
            }
            return;
        };
        piece.advance(count);
        if piece.is_empty() {
            self.pieces.pop_front();
        }
    }

    /// Appends all of another queue.
    pub fn append(&mut self, other: OutputQueue) {
        for piece in other.pieces {
            self.push(piece);
        }
        self.put(&other.tail[other.tail_taken..]);
    }

    /// Appends bytes without copying them, however few they are.
    pub fn push(&mut self, bytes: Bytes) {
        self.end_tail();
        self.length += bytes.len();
        self.pieces.push_back(bytes);
    }

    fn end_tail(&mut self) {
        let tail = Bytes::from(std::mem::take(&mut self.tail));
        let rest = tail.slice(std::mem::take(&mut self.tail_taken)..);
        if !rest.is_empty() {
            self.pieces.push_back(rest);
        }
    }
}

impl Output for OutputQueue {
    fn put(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        self.tail.extend_from_slice(bytes);
    }

    fn put_shared(&mut self, bytes: &Bytes) {
        if bytes.len() < MIN_SHARED_BYTES {
            self.put(bytes);
            return;
        }
        self.push(bytes.clone());
    }
}
