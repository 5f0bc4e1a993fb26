//! Log of crash and quarantine notices that a coordinator forwards. It is soft state.

use crate::{Millis, Quarantine, Verdict, CRASH_RETENTION_MS};
use mesh::{Clearing, CrashId, Fingerprint, PoisonEvent, PoisonNotice, QuarantineEntry};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of notices kept for nodes that start later; at about 200 bytes each, 50 kB.
const MAX_NOTICES: usize = 256;

#[derive(Clone, Debug)]
struct StoredNotice {
    position: u64,
    at: Millis,
    /// Whether this coordinator forwards it to other coordinators.
    forwarded: bool,
    event: PoisonEvent,
}

/// Notices in order of arrival, without duplicates, and the quarantine state that results from them.
#[derive(Clone, Debug, Default)]
pub struct NoticeLog {
    position: u64,
    notices: VecDeque<StoredNotice>,
    quarantine: Quarantine,
    /// Requests that were cleared here and whose clearing no other coordinator has sent back yet.
    awaiting_replication: BTreeSet<Fingerprint>,
}

impl NoticeLog {
    /// Applies a notice from a sidecar (`is_local`) or from another coordinator. Returns its verdict if it
    /// is new.
    pub fn apply(&mut self, notice: PoisonNotice, is_local: bool, now: Millis) -> Option<Verdict> {
        let PoisonNotice { age_ms, event } = notice;
        let at = now.saturating_sub(age_ms);
        if let (PoisonEvent::Cleared(clearing), false) = (&event, is_local) {
            self.awaiting_replication.remove(&clearing.fingerprint);
        }
        let verdict = match &event {
            PoisonEvent::Crash(report) => match self.quarantine.note_crash(report, at) {
                Verdict::Known => return None,
                verdict => verdict,
            },
            PoisonEvent::Cleared(clearing) => match self.quarantine.note_cleared(clearing, at) {
                true => Verdict::Known,
                false => return None,
            },
            PoisonEvent::Quarantined(entry) => match self.quarantine.note_quarantined(entry, at) {
                true => Verdict::Quarantined(vec![entry.clone()]),
                false => return None,
            },
        };
        self.store(event, is_local, at);
        Some(verdict)
    }

    fn store(&mut self, event: PoisonEvent, is_local: bool, at: Millis) {
        // A clearing that ends a quarantine is forwarded once by every coordinator that receives it: the
        // one that sent it first may have terminated before the others received it.
        let ends_quarantine =
            matches!(&event, PoisonEvent::Cleared(clearing) if clearing.ends_quarantine());
        let forwarded = is_local || ends_quarantine;
        self.position += 1;
        self.notices.push_back(StoredNotice { position: self.position, at, forwarded, event });
        if self.notices.len() > MAX_NOTICES {
            self.notices.pop_front();
        }
    }

    /// Clears a request on behalf of an operator; returns whether there was any evidence against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let Some(clearing) = self.quarantine.clear(fingerprint, now) else {
            return false;
        };
        // Other coordinators send back a clearing that ends a quarantine, but not that of a suspect.
        if clearing.ends_quarantine() {
            self.awaiting_replication.insert(fingerprint);
        }
        self.store(PoisonEvent::Cleared(clearing), true, now);
        true
    }

    /// Whether a request was cleared here and no other coordinator has sent the clearing back yet.
    pub fn awaits_replication(&self, fingerprint: Fingerprint) -> bool {
        self.awaiting_replication.contains(&fingerprint)
    }

    /// Stops waiting until another coordinator has received the clearing.
    pub fn stop_awaiting_replication(&mut self, fingerprint: Fingerprint) {
        self.awaiting_replication.remove(&fingerprint);
    }

    /// Drops expired notices and entries.
    pub fn expire(&mut self, now: Millis) {
        self.quarantine.expire(now);
        while self.notices.front().is_some_and(|stored| stored.at + CRASH_RETENTION_MS <= now) {
            self.notices.pop_front();
        }
    }

    /// Returns the position of the newest notice.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the notices after a position, for a subscriber. A subscriber at position 0, or one that has
    /// missed notices no longer kept, gets the complete state.
    pub fn since(&self, position: u64, now: Millis) -> Vec<PoisonNotice> {
        let missed_some = self.notices.front().is_some_and(|first| position + 1 < first.position);
        match position == 0 || missed_some {
            true => self.all(now),
            false => self.notices_after(position, now, |_| true),
        }
    }

    /// Returns the complete state, for a node that may have missed any of it: first the clearings that are
    /// no longer among the notices, because they are remembered for longer, then all notices in order.
    pub fn all(&self, now: Millis) -> Vec<PoisonNotice> {
        let older_clearings = self.quarantine.clearings().filter_map(|(at, clearing)| {
            let Clearing { fingerprint, mut crashes } = clearing;
            let stored = self.cleared_in_notices(fingerprint);
            crashes.retain(|crash| !stored.contains(crash));
            let event = PoisonEvent::Cleared(Clearing { fingerprint, crashes: crashes.clone() });
            let age_ms = now.saturating_sub(at);
            (!crashes.is_empty()).then_some(PoisonNotice { age_ms, event })
        });
        older_clearings.chain(self.notices_after(0, now, |_| true)).collect()
    }

    fn cleared_in_notices(&self, fingerprint: Fingerprint) -> BTreeSet<CrashId> {
        let crashes = |stored: &StoredNotice| match &stored.event {
            PoisonEvent::Cleared(clearing) if clearing.fingerprint == fingerprint => {
                clearing.crashes.clone()
            }
            _ => Vec::new(),
        };
        self.notices.iter().flat_map(crashes).collect()
    }

    /// Returns the notices after a position that are forwarded to other coordinators.
    pub fn forwarded_since(&self, position: u64, now: Millis) -> Vec<PoisonNotice> {
        self.notices_after(position, now, |stored| stored.forwarded)
    }

    fn notices_after(
        &self,
        position: u64,
        now: Millis,
        filter: impl Fn(&StoredNotice) -> bool,
    ) -> Vec<PoisonNotice> {
        let is_wanted = |stored: &&StoredNotice| stored.position > position && filter(stored);
        let notice = |stored: &StoredNotice| PoisonNotice {
            age_ms: now.saturating_sub(stored.at),
            event: stored.event.clone(),
        };
        self.notices.iter().filter(is_wanted).map(notice).collect()
    }

    /// Returns the requests that are currently quarantined.
    pub fn entries(&self, now: Millis) -> Vec<QuarantineEntry> {
        self.quarantine.entries(now)
    }

    /// Returns the number of suspects.
    pub fn suspects(&self, now: Millis) -> usize {
        self.quarantine.suspects(now)
    }
}
