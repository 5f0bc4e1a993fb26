//! What a coordinator passes on of crashes and suspects; soft state.

use crate::{Millis, Quarantine, Verdict, CRASH_RETENTION_MS};
use mesh::{Clearing, CrashId, Fingerprint, PoisonEvent, PoisonNotice, QuarantineEntry};
use std::collections::{BTreeSet, VecDeque};

/// Most notices kept for nodes that start later; at some 200 bytes each, 50 kB.
const MOST_NOTICES: usize = 256;

#[derive(Clone, Debug)]
struct Held {
    position: u64,
    at: Millis,
    /// Whether this coordinator tells it to others.
    passed_on: bool,
    event: PoisonEvent,
}

/// Notices in the order in which they came, each once, and what they come to.
#[derive(Clone, Debug, Default)]
pub struct NoticeLog {
    position: u64,
    notices: VecDeque<Held>,
    quarantine: Quarantine,
    /// Requests that were cleared here, and are not known to be cleared at another coordinator yet.
    held_here_only: BTreeSet<Fingerprint>,
}

impl NoticeLog {
    /// Takes in what a sidecar told (`here`) or another coordinator passed on; what a notice came to
    /// if it is new.
    pub fn apply(&mut self, notice: PoisonNotice, here: bool, now: Millis) -> Option<Verdict> {
        let PoisonNotice { age_ms, event } = notice;
        let at = now.saturating_sub(age_ms);
        if let (PoisonEvent::Cleared(clearing), false) = (&event, here) {
            self.held_here_only.remove(&clearing.fingerprint);
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
        self.hold(event, here, at);
        Some(verdict)
    }

    fn hold(&mut self, event: PoisonEvent, here: bool, at: Millis) {
        // What ends a quarantine is passed on by all that hear of it, once: whoever told it first may
        // have ended before others heard.
        let ends_quarantine =
            matches!(&event, PoisonEvent::Cleared(clearing) if clearing.ends_quarantine());
        let passed_on = here || ends_quarantine;
        self.position += 1;
        self.notices.push_back(Held { position: self.position, at, passed_on, event });
        if self.notices.len() > MOST_NOTICES {
            self.notices.pop_front();
        }
    }

    /// Clears a request as an operator asks; whether anything was held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let Some(clearing) = self.quarantine.clear(fingerprint, now) else {
            return false;
        };
        // What ends a quarantine is told back by others; that of a suspect is not.
        if clearing.ends_quarantine() {
            self.held_here_only.insert(fingerprint);
        }
        self.hold(PoisonEvent::Cleared(clearing), true, now);
        true
    }

    /// Whether a request was cleared here and no other coordinator has told that back.
    pub fn awaits_replication(&self, fingerprint: Fingerprint) -> bool {
        self.held_here_only.contains(&fingerprint)
    }

    /// Notes that nobody waits any more for others to have a clearing.
    pub fn stop_awaiting_replication(&mut self, fingerprint: Fingerprint) {
        self.held_here_only.remove(&fingerprint);
    }

    /// Forgets what is too old to tell anything.
    pub fn expire(&mut self, now: Millis) {
        self.quarantine.expire(now);
        while self.notices.front().is_some_and(|held| held.at + CRASH_RETENTION_MS <= now) {
            self.notices.pop_front();
        }
    }

    /// Position of the newest notice.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Notices after a position, for a subscriber. One at position 0, or behind what is held, is told
    /// all that is known.
    pub fn since(&self, position: u64, now: Millis) -> Vec<PoisonNotice> {
        let missed = self.notices.front().is_some_and(|first| position + 1 < first.position);
        match position == 0 || missed {
            true => self.all(now),
            false => self.newer(position, now, |_| true),
        }
    }

    /// All that is known, for who may have heard nothing or lost some of it: clearings first that are
    /// remembered for longer than notices are, then notices as they came.
    pub fn all(&self, now: Millis) -> Vec<PoisonNotice> {
        let unheld = self.quarantine.clearings().filter_map(|(at, clearing)| {
            let Clearing { fingerprint, mut crashes } = clearing;
            let held = self.cleared_in_notices(fingerprint);
            crashes.retain(|crash| !held.contains(crash));
            let event = PoisonEvent::Cleared(Clearing { fingerprint, crashes: crashes.clone() });
            let age_ms = now.saturating_sub(at);
            (!crashes.is_empty()).then_some(PoisonNotice { age_ms, event })
        });
        unheld.chain(self.newer(0, now, |_| true)).collect()
    }

    fn cleared_in_notices(&self, fingerprint: Fingerprint) -> BTreeSet<CrashId> {
        let named = |held: &Held| match &held.event {
            PoisonEvent::Cleared(clearing) if clearing.fingerprint == fingerprint => {
                clearing.crashes.clone()
            }
            _ => Vec::new(),
        };
        self.notices.iter().flat_map(named).collect()
    }

    /// Notices after a position that are passed on to other coordinators.
    pub fn forwarded_since(&self, position: u64, now: Millis) -> Vec<PoisonNotice> {
        self.newer(position, now, |held| held.passed_on)
    }

    fn newer(
        &self,
        position: u64,
        now: Millis,
        wanted: impl Fn(&Held) -> bool,
    ) -> Vec<PoisonNotice> {
        let newer = |held: &&Held| held.position > position && wanted(held);
        let notice = |held: &Held| PoisonNotice {
            age_ms: now.saturating_sub(held.at),
            event: held.event.clone(),
        };
        self.notices.iter().filter(newer).map(notice).collect()
    }

    /// Requests that are kept from upstreams now.
    pub fn entries(&self, now: Millis) -> Vec<QuarantineEntry> {
        self.quarantine.entries(now)
    }

    /// Requests that ran in a crash that nothing explains.
    pub fn suspects(&self, now: Millis) -> usize {
        self.quarantine.suspects(now)
    }
}
