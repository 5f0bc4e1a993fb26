//! What a coordinator passes on of crashes and suspects; soft state.

use crate::{Millis, Quarantine, Verdict, CRASH_MEMORY_MS};
use mesh::{Fingerprint, PoisonNews, PoisonNotice, QuarantineEntry};
use std::collections::VecDeque;

/// Most notices kept for nodes that start later; at some 200 bytes each, 50 kB.
const MOST_NOTICES: usize = 256;

#[derive(Clone, Debug)]
struct Held {
    position: u64,
    at: Millis,
    /// Whether a sidecar told it here.
    here: bool,
    news: PoisonNews,
}

/// Notices in the order in which they came, each once, and what they come to.
#[derive(Clone, Debug, Default)]
pub struct NoticeBoard {
    position: u64,
    notices: VecDeque<Held>,
    quarantine: Quarantine,
}

impl NoticeBoard {
    /// Takes in what a sidecar told (`here`) or another coordinator passed on; what a notice came to
    /// if it is new.
    pub fn take(&mut self, notice: PoisonNotice, here: bool, now: Millis) -> Option<Verdict> {
        let PoisonNotice { age_ms, news } = notice;
        let at = now.saturating_sub(age_ms);
        let verdict = match &news {
            PoisonNews::Crash(report) => match self.quarantine.note_crash(report, at) {
                Verdict::Known => return None,
                verdict => verdict,
            },
            PoisonNews::Cleared(fingerprint) => {
                match self.quarantine.note_cleared(*fingerprint, now) {
                    true => Verdict::Known,
                    false => return None,
                }
            }
            PoisonNews::Quarantined(entry) => match self.quarantine.note_quarantined(*entry, at) {
                true => Verdict::Quarantined(vec![*entry]),
                false => return None,
            },
        };
        self.position += 1;
        self.notices.push_back(Held { position: self.position, at, here, news });
        if self.notices.len() > MOST_NOTICES {
            self.notices.pop_front();
        }
        Some(verdict)
    }

    /// Clears a request as an operator asks; whether anything was held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let news = PoisonNews::Cleared(fingerprint);
        self.take(PoisonNotice { age_ms: 0, news }, true, now).is_some()
    }

    /// Forgets what is too old to tell anything.
    pub fn expire(&mut self, now: Millis) {
        self.quarantine.expire(now);
        while self.notices.front().is_some_and(|held| held.at + CRASH_MEMORY_MS <= now) {
            self.notices.pop_front();
        }
    }

    /// Position of the newest notice.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Notices after a position, for a subscriber; 0 asks for all.
    pub fn since(&self, position: u64, now: Millis) -> Vec<PoisonNotice> {
        self.newer(position, now, |_| true)
    }

    /// Notices after a position that sidecars told here, for other coordinators.
    pub fn told_since(&self, position: u64, now: Millis) -> Vec<PoisonNotice> {
        self.newer(position, now, |held| held.here)
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
            news: held.news.clone(),
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
