//! A member's in-memory log: the entries after the compaction point, and the latest snapshot.

use crate::message::SharedSnapshot;
use crate::{Entry, Index, Membership, Payload, Snapshot, SnapshotMeta, Term};
use std::sync::Arc;

/// Entries retained before a snapshot, so that a follower that lags slightly needs no snapshot.
pub const RETAINED_ENTRIES: u64 = 512;

/// Log entries with the committed, persisted and delivered positions.
#[derive(Clone, Debug)]
pub struct RaftLog {
    /// Index of the entry before the first one in `entries`.
    base_index: Index,
    base_term: Term,
    entries: Vec<Entry>,
    snapshot: SharedSnapshot,
    /// Highest index known to be committed.
    pub committed: Index,
    /// Highest index persisted by the driver.
    pub persisted: Index,
    /// Highest index delivered to the driver to be applied.
    pub delivered: Index,
}

impl RaftLog {
    /// Rebuilds the log from recovered storage.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let snapshot_index = snapshot.meta.index;
        let (base_index, base_term, skipped) = match entries.first() {
            Some(first) if first.index <= snapshot_index => (first.index, first.term, 1),
            _ => (snapshot_index, snapshot.meta.term, 0),
        };
        let entries: Vec<Entry> = entries.into_iter().skip(skipped).collect();
        let persisted = entries.last().map_or(base_index, |entry| entry.index);
        RaftLog {
            base_index,
            base_term,
            entries,
            snapshot: Arc::new(snapshot),
            committed: snapshot_index,
            persisted,
            delivered: snapshot_index,
        }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.base_index, |entry| entry.index)
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Term of the entry at `index`, if it is not compacted.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        if index == self.snapshot.meta.index {
            return Some(self.snapshot.meta.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it exists and is not compacted.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `limit` entries starting at `from`, or `None` if `from` is compacted. Exceeds `byte_limit`
    /// only if the first entry alone does.
    pub fn slice(&self, from: Index, limit: usize, byte_limit: usize) -> Option<Vec<Entry>> {
        let offset = from.checked_sub(self.base_index + 1)? as usize;
        let mut bytes = 0;
        let candidates = self.entries.iter().skip(offset).take(limit);
        Some(
            candidates
                .take_while(|entry| {
                    let first = bytes == 0;
                    bytes += entry_bytes(entry);
                    first || bytes <= byte_limit
                })
                .cloned()
                .collect(),
        )
    }

    /// Appends an entry created by this member as leader.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Appends entries from the leader, truncating a conflicting suffix (section 3.5). Returns the
    /// entries that are new and must be persisted.
    pub fn merge(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut new_entries = Vec::new();
        for entry in entries {
            if new_entries.is_empty() && self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.last_index() {
                self.truncate_from(entry.index);
            }
            if entry.index == self.last_index() + 1 {
                self.entries.push(entry.clone());
                new_entries.push(entry);
            }
        }
        new_entries
    }

    fn truncate_from(&mut self, index: Index) {
        assert!(index > self.committed, "a committed entry must not be truncated");
        let keep = index.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
        self.persisted = self.persisted.min(index - 1);
    }

    /// Takes the entries that are committed and persisted but not delivered yet.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let last = self.committed.min(self.persisted);
        let from = self.delivered + 1;
        if last < from {
            return Vec::new();
        }
        let count = (last - from + 1) as usize;
        let entries = self.slice(from, count, usize::MAX).unwrap_or_default();
        self.delivered = last;
        entries
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &SharedSnapshot {
        &self.snapshot
    }

    /// Installs a snapshot received from the leader. Keeps the log if it contains the last entry
    /// covered by the snapshot, and replaces it otherwise.
    pub fn install(&mut self, snapshot: Snapshot) {
        let meta = snapshot.meta.clone();
        if self.term_at(meta.index) == Some(meta.term) && meta.index > self.base_index {
            self.snapshot = Arc::new(snapshot);
        } else {
            self.entries.clear();
            self.base_index = meta.index;
            self.base_term = meta.term;
            self.snapshot = Arc::new(snapshot);
            self.persisted = meta.index;
        }
        self.committed = self.committed.max(meta.index);
        self.delivered = self.delivered.max(meta.index);
        self.persisted = self.persisted.max(meta.index);
    }

    /// Records a snapshot taken by the driver, and drops entries more than `RETAINED_ENTRIES` before
    /// it.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        if index <= self.snapshot.meta.index {
            return;
        }
        self.snapshot = Arc::new(snapshot);
        let new_base = index.saturating_sub(RETAINED_ENTRIES);
        if new_base > self.base_index {
            if let Some(term) = self.term_at(new_base) {
                let dropped = (new_base - self.base_index) as usize;
                self.entries.drain(..dropped);
                self.base_index = new_base;
                self.base_term = term;
            }
        }
    }

    /// Entries after the compaction point, which the storage must keep.
    pub fn retained(&self) -> &[Entry] {
        &self.entries
    }

    /// Index of the first entry that is not compacted.
    pub fn first_index(&self) -> Index {
        self.base_index + 1
    }

    /// The current membership with its index: the last one appended, otherwise that of the snapshot
    /// (section 4.1).
    pub fn membership(&self) -> (Membership, Index) {
        let appended = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((membership.clone(), entry.index)),
            _ => None,
        });
        let from_snapshot = || (self.snapshot.meta.membership.clone(), self.snapshot.meta.index);
        match appended {
            Some(found) if found.1 > self.snapshot.meta.index => found,
            _ => from_snapshot(),
        }
    }

    /// Metadata of a snapshot taken at `index`, or `None` if that entry is not in the log.
    pub fn meta_at(&self, index: Index) -> Option<SnapshotMeta> {
        let term = self.term_at(index)?;
        let appended = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Membership(membership) if entry.index <= index => Some(membership.clone()),
            _ => None,
        });
        let membership = appended.unwrap_or_else(|| self.snapshot.meta.membership.clone());
        Some(SnapshotMeta { index, term, membership })
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    const OVERHEAD_BYTES: usize = 32;
    match &entry.payload {
        Payload::Command(command) => command.len() + OVERHEAD_BYTES,
        _ => OVERHEAD_BYTES,
    }
}
