//! Which requests are suspects, and which are kept from upstreams.

use crate::Millis;
use mesh::{CrashReport, Fingerprint, NodeAddress, QuarantineEntry};
use std::collections::{BTreeMap, BTreeSet};

/// How long a crash is remembered, milliseconds: a caller that repeats every few minutes is still
/// recognized.
pub const CRASH_MEMORY_MS: u64 = 600_000;
/// Most crashes remembered; a fleet of 2,200 has nine failed machines and 870 restarts a day.
const MOST_CRASHES: usize = 256;
/// Most requests of one crash that are remembered; an upstream has some tens of slots.
const MOST_RUNNING: usize = 256;
/// Most requests in quarantine; the ones with the least time left go first.
const MOST_ENTRIES: usize = 1_024;
/// First time in quarantine, milliseconds. One more crash follows it at most, and doubles it.
const FIRST_SPAN_MS: u64 = 60_000;
/// Longest time in quarantine, milliseconds: a mended upstream is tried again within an hour, and a
/// request that is still poison costs at most 24 upstreams a day.
const LONGEST_SPAN_MS: u64 = 3_600_000;
/// Ends of one quarantine differ by this much from node to node, milliseconds: by the ways of what is
/// told of it, over links that are busy. One that begins anew within this time of the one before is known
/// by its crashes, which are told to all.
const CLEARED_SLACK_MS: u64 = 5_000;
/// Several suspects that stood in this many crashes together are all put in quarantine.
const CERTAIN_CRASHES: usize = 3;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clear,
    /// An upstream ended while it ran, and nothing else explains that.
    Suspect,
    /// It is kept from upstreams.
    Quarantined {
        /// How much longer, milliseconds.
        left_ms: u64,
    },
}

/// What a crash showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was known already.
    Known,
    /// Any of these may have caused it.
    Suspects(usize),
    /// These did, and are in quarantine from now on.
    Quarantined(Vec<QuarantineEntry>),
    /// A request in quarantine did, which ran because word of it was late.
    Explained(Fingerprint),
}

#[derive(Clone, Debug)]
struct Crash {
    node: NodeAddress,
    instance: String,
    at: Millis,
    /// Whether a request in quarantine is known to have caused it.
    explained: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    until: Millis,
    span_ms: u64,
}

impl Entry {
    fn holds(&self, now: Millis) -> bool {
        now < self.until
    }

    /// After its time it is a suspect for as long again.
    fn is_on_probation(&self, now: Millis) -> bool {
        !self.holds(now) && now < self.until + self.span_ms
    }
}

/// Suspects and requests in quarantine, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    next_crash: u64,
    crashes: BTreeMap<u64, Crash>,
    /// In which crashes a request ran, since it last ran well.
    suspects: BTreeMap<Fingerprint, BTreeSet<u64>>,
    entries: BTreeMap<Fingerprint, Entry>,
    /// Requests that were cleared, and until when the quarantine that was cleared would have held: who
    /// has not heard of it yet still tells of that one.
    cleared: BTreeMap<Fingerprint, Millis>,
}

impl Quarantine {
    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.entries.is_empty()
    }

    /// How a request stands.
    pub fn standing(&self, fingerprint: Fingerprint, now: Millis) -> Standing {
        if let Some(entry) = self.entries.get(&fingerprint) {
            if entry.holds(now) {
                return Standing::Quarantined { left_ms: entry.until - now };
            }
            if entry.is_on_probation(now) {
                return Standing::Suspect;
            }
        }
        let unexplained = |id: &u64| self.crashes.get(id).is_some_and(|crash| !crash.explained);
        match self.suspects.get(&fingerprint) {
            Some(crashes) if crashes.iter().any(unexplained) => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Takes in that an upstream ended.
    pub fn note_crash(&mut self, report: &CrashReport, now: Millis) -> Verdict {
        let same = |crash: &Crash| crash.node == report.node && crash.instance == report.instance;
        if self.crashes.values().any(same) {
            return Verdict::Known;
        }
        self.expire(now);
        let running: BTreeSet<Fingerprint> =
            report.running.iter().copied().take(MOST_RUNNING).collect();
        let verdict = self.judge(&running, now);
        let explained = !matches!(verdict, Verdict::Suspects(_));
        let id = self.next_crash;
        self.next_crash += 1;
        let instance = report.instance.clone();
        self.crashes.insert(id, Crash { node: report.node, instance, at: now, explained });
        // Also of a crash that is explained: should the wrong one have been blamed, the right one
        // is known by its next crash.
        for fingerprint in running {
            if !self.entries.contains_key(&fingerprint) {
                self.suspects.entry(fingerprint).or_default().insert(id);
            }
        }
        self.bound_crashes();
        verdict
    }

    /// Who caused a crash.
    fn judge(&mut self, running: &BTreeSet<Fingerprint>, now: Millis) -> Verdict {
        for fingerprint in running {
            if let Some(entry) = self.entries.get_mut(fingerprint).filter(|held| held.holds(now)) {
                entry.crashes += 1;
                entry.until = entry.until.max(now + entry.span_ms);
                return Verdict::Explained(*fingerprint);
            }
        }
        let culprits = self.culprits(running);
        if culprits.is_empty() {
            return Verdict::Suspects(running.len());
        }
        let entries = culprits.into_iter().map(|fingerprint| self.put_in(fingerprint, now));
        Verdict::Quarantined(entries.collect())
    }

    /// The one that ran in most crashes before this, if there is only one; all of them once they ran
    /// in enough together.
    fn culprits(&self, running: &BTreeSet<Fingerprint>) -> Vec<Fingerprint> {
        let former = |fingerprint: &Fingerprint| self.crashes_of(fingerprint);
        let most = running.iter().map(former).max().unwrap_or(0);
        if most == 0 {
            return Vec::new();
        }
        let found: Vec<Fingerprint> =
            running.iter().filter(|held| former(held) == most).copied().collect();
        match found.len() == 1 || most + 1 >= CERTAIN_CRASHES {
            true => found,
            false => Vec::new(),
        }
    }

    fn crashes_of(&self, fingerprint: &Fingerprint) -> usize {
        let suspected = self.suspects.get(fingerprint).map_or(0, BTreeSet::len);
        let before = self.entries.get(fingerprint).map_or(0, |entry| entry.crashes as usize);
        suspected + before
    }

    /// Puts a request in quarantine for this crash and those before, which it explains.
    fn put_in(&mut self, fingerprint: Fingerprint, now: Millis) -> QuarantineEntry {
        let crashes = self.crashes_of(&fingerprint) as u32 + 1;
        for id in self.suspects.remove(&fingerprint).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&id) {
                crash.explained = true;
            }
        }
        let former = self.entries.get(&fingerprint);
        let span_ms =
            former.map_or(FIRST_SPAN_MS, |entry| (entry.span_ms * 2).min(LONGEST_SPAN_MS));
        self.insert(fingerprint, Entry { crashes, until: now + span_ms, span_ms });
        QuarantineEntry { fingerprint, crashes, left_ms: span_ms }
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: Entry) {
        self.entries.insert(fingerprint, entry);
        if self.entries.len() > MOST_ENTRIES {
            let next = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(fingerprint) = next.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }

    /// Takes over that a request is in quarantine; returns whether that is new. A quarantine that was
    /// cleared here does not come back by the word of a node that has not heard of that.
    pub fn note_quarantined(&mut self, told: QuarantineEntry, now: Millis) -> bool {
        let left_ms = told.left_ms.min(LONGEST_SPAN_MS);
        let held = self.entries.get(&told.fingerprint);
        let was_cleared = |until: &Millis| now + left_ms <= until + CLEARED_SLACK_MS;
        let is_old = self.cleared.get(&told.fingerprint).is_some_and(was_cleared);
        if left_ms == 0 || is_old || held.is_some_and(|entry| entry.holds(now)) {
            return false;
        }
        let entry = Entry {
            crashes: told.crashes,
            until: now + left_ms,
            span_ms: left_ms.max(FIRST_SPAN_MS),
        };
        self.suspects.remove(&told.fingerprint);
        self.insert(told.fingerprint, entry);
        true
    }

    /// Takes in that an upstream ran a request and did not end, or that an operator says so;
    /// returns whether anything was held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let suspected = self.suspects.remove(&fingerprint).is_some();
        let entry = self.entries.remove(&fingerprint);
        if let Some(entry) = entry {
            self.remember_cleared(fingerprint, entry.until);
        }
        entry.is_some() || suspected
    }

    /// Takes in word that a request was cleared elsewhere; returns whether anything was held against it
    /// here. If nothing was, word of its quarantine may be on its way.
    pub fn note_cleared(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let held = self.clear(fingerprint);
        self.remember_cleared(fingerprint, now + FIRST_SPAN_MS - CLEARED_SLACK_MS);
        held
    }

    fn remember_cleared(&mut self, fingerprint: Fingerprint, until: Millis) {
        let held = self.cleared.entry(fingerprint).or_default();
        *held = until.max(*held);
        if self.cleared.len() > MOST_ENTRIES {
            let next = self.cleared.iter().min_by_key(|(_, until)| **until);
            if let Some(fingerprint) = next.map(|(fingerprint, _)| *fingerprint) {
                self.cleared.remove(&fingerprint);
            }
        }
    }

    /// Requests that are kept from upstreams now.
    pub fn entries(&self, now: Millis) -> Vec<QuarantineEntry> {
        let held = self.entries.iter().filter(|(_, entry)| entry.holds(now));
        held.map(|(fingerprint, entry)| QuarantineEntry {
            fingerprint: *fingerprint,
            crashes: entry.crashes,
            left_ms: entry.until - now,
        })
        .collect()
    }

    /// Requests that ran in a crash that nothing explains.
    pub fn suspects(&self, now: Millis) -> usize {
        let known = self.suspects.keys().chain(self.entries.keys());
        known.filter(|fingerprint| self.standing(**fingerprint, now) == Standing::Suspect).count()
    }

    /// Forgets what is too old to tell anything.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.holds(now) || entry.is_on_probation(now));
        self.cleared.retain(|_, until| now < *until + CLEARED_SLACK_MS);
        let old = |crash: &Crash| crash.at + CRASH_MEMORY_MS <= now;
        while self.crashes.first_key_value().is_some_and(|(_, crash)| old(crash)) {
            self.forget_first_crash();
        }
    }

    fn bound_crashes(&mut self) {
        while self.crashes.len() > MOST_CRASHES {
            self.forget_first_crash();
        }
    }

    fn forget_first_crash(&mut self) {
        let Some((id, _)) = self.crashes.pop_first() else {
            return;
        };
        self.suspects.retain(|_, crashes| {
            crashes.remove(&id);
            !crashes.is_empty()
        });
    }
}
