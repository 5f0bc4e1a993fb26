//! Which requests are suspects, and which are kept from upstreams.

use crate::clearings::Clearings;
use crate::identity::crash_id;
use crate::Millis;
use mesh::{Clearing, CrashId, CrashReport, Fingerprint, QuarantineEntry};
use std::collections::{BTreeMap, BTreeSet};

/// How long a crash is remembered, milliseconds: a caller that repeats every few minutes is still
/// recognized.
pub const CRASH_RETENTION_MS: u64 = 600_000;
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
/// Most crashes that a quarantine is known to rest on; the newest stay.
const MOST_NAMED: usize = 64;
/// Crashes that a quarantine must rest on.
const FEWEST_CRASHES: usize = 2;
/// Several suspects that stood in this many crashes together are all put in quarantine.
const CERTAIN_CRASHES: usize = 3;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
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
    id: CrashId,
    at: Millis,
    /// Whether a request in quarantine is known to have caused it.
    explained: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    /// What it rests on; empty if that was not told.
    crashes: Vec<CrashId>,
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

    fn rest_on(&mut self, crashes: &[CrashId]) {
        for crash in crashes {
            if !self.crashes.contains(crash) {
                self.crashes.push(*crash);
            }
        }
        let surplus = self.crashes.len().saturating_sub(MOST_NAMED);
        self.crashes.drain(..surplus);
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
    clearings: Clearings,
}

impl Quarantine {
    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.entries.is_empty()
    }

    /// How a request stands.
    pub fn status(&self, fingerprint: Fingerprint, now: Millis) -> RequestStatus {
        if let Some(entry) = self.entries.get(&fingerprint) {
            if entry.holds(now) {
                return RequestStatus::Quarantined { left_ms: entry.until - now };
            }
            if entry.is_on_probation(now) {
                return RequestStatus::Suspect;
            }
        }
        let unexplained = |id: &u64| self.crashes.get(id).is_some_and(|crash| !crash.explained);
        match self.suspects.get(&fingerprint) {
            Some(crashes) if crashes.iter().any(unexplained) => RequestStatus::Suspect,
            _ => RequestStatus::Clear,
        }
    }

    /// Takes in that an upstream ended.
    pub fn note_crash(&mut self, report: &CrashReport, now: Millis) -> Verdict {
        let id = crash_id(report);
        if self.crashes.values().any(|crash| crash.id == id) {
            return Verdict::Known;
        }
        self.expire(now);
        let running = report.running.iter().copied().take(MOST_RUNNING);
        let running: BTreeSet<Fingerprint> =
            running.filter(|fingerprint| !self.clearings.hold(*fingerprint, id)).collect();
        let verdict = self.judge(&running, id, now);
        let explained = !matches!(verdict, Verdict::Suspects(_));
        let number = self.next_crash;
        self.next_crash += 1;
        self.crashes.insert(number, Crash { id, at: now, explained });
        // Also of a crash that is explained: should the wrong one have been blamed, the right one
        // is known by its next crash.
        for fingerprint in running {
            if !self.entries.contains_key(&fingerprint) {
                self.suspects.entry(fingerprint).or_default().insert(number);
            }
        }
        self.bound_crashes();
        verdict
    }

    /// Who caused a crash.
    fn judge(&mut self, running: &BTreeSet<Fingerprint>, id: CrashId, now: Millis) -> Verdict {
        for fingerprint in running {
            if let Some(entry) = self.entries.get_mut(fingerprint).filter(|held| held.holds(now)) {
                entry.rest_on(&[id]);
                entry.until = entry.until.max(now + entry.span_ms);
                return Verdict::Explained(*fingerprint);
            }
        }
        let culprits = self.culprits(running);
        if culprits.is_empty() {
            return Verdict::Suspects(running.len());
        }
        let entries = culprits.into_iter().map(|fingerprint| self.put_in(fingerprint, id, now));
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
        let before = self.entries.get(fingerprint).map_or(0, |entry| entry.crashes.len());
        suspected + before
    }

    /// Puts a request in quarantine for this crash and those before, which it explains.
    fn put_in(&mut self, fingerprint: Fingerprint, id: CrashId, now: Millis) -> QuarantineEntry {
        let former = self.entries.get(&fingerprint);
        let span_ms =
            former.map_or(FIRST_SPAN_MS, |entry| (entry.span_ms * 2).min(LONGEST_SPAN_MS));
        let mut crashes = former.map(|entry| entry.crashes.clone()).unwrap_or_default();
        for number in self.suspects.remove(&fingerprint).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&number) {
                crash.explained = true;
                crashes.push(crash.id);
            }
        }
        let mut entry = Entry { crashes: Vec::new(), until: now + span_ms, span_ms };
        entry.rest_on(&crashes);
        entry.rest_on(&[id]);
        let crashes = entry.crashes.clone();
        self.insert(fingerprint, entry);
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

    /// Takes over that a request is in quarantine; returns whether that is new. Crashes of which it was
    /// cleared do not count: a node that has not heard of that brings no quarantine back.
    pub fn note_quarantined(&mut self, told: &QuarantineEntry, now: Millis) -> bool {
        let fingerprint = told.fingerprint;
        let left_ms = told.left_ms.min(LONGEST_SPAN_MS);
        let speaks = |crash: &&CrashId| !self.clearings.hold(fingerprint, **crash);
        let crashes: Vec<CrashId> = told.crashes.iter().filter(speaks).copied().collect();
        let rests = match told.crashes.is_empty() {
            true => !self.clearings.know(fingerprint),
            false => crashes.len() >= FEWEST_CRASHES,
        };
        if left_ms == 0 || !rests {
            return false;
        }
        let held = self.entries.get_mut(&fingerprint);
        if let Some(entry) = held.filter(|entry| entry.holds(now)) {
            entry.rest_on(&crashes);
            return false;
        }
        let former = self.entries.remove(&fingerprint);
        let (until, span_ms) = (now + left_ms, left_ms.max(FIRST_SPAN_MS));
        let named = former.map(|entry| entry.crashes).unwrap_or_default();
        let mut entry = Entry { crashes: named, until, span_ms };
        entry.rest_on(&crashes);
        self.suspects.remove(&fingerprint);
        self.insert(fingerprint, entry);
        true
    }

    /// Takes in that an upstream ran a request and did not end, or that an operator says so: nothing
    /// that is known here speaks against it any more. `None` if nothing was held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> Option<Clearing> {
        let suspected = self.suspects.remove(&fingerprint);
        let entry = self.entries.remove(&fingerprint);
        if suspected.is_none() && entry.is_none() {
            return None;
        }
        let mut crashes = entry.map(|entry| entry.crashes).unwrap_or_default();
        let numbers = suspected.unwrap_or_default();
        crashes.extend(numbers.iter().filter_map(|number| Some(self.crashes.get(number)?.id)));
        let clearing = Clearing { fingerprint, crashes };
        self.clearings.note(&clearing, now);
        Some(clearing)
    }

    /// Takes in word that a request was cleared elsewhere; returns whether that is new, also if nothing
    /// was held against it here: word of its quarantine may be on its way.
    pub fn note_cleared(&mut self, clearing: &Clearing, at: Millis) -> bool {
        let is_new = self.clearings.note(clearing, at);
        self.release(clearing.fingerprint);
        is_new
    }

    /// Forgets the crashes that speak against a request no more. It leaves quarantine unless enough
    /// others are left, and is a suspect of those.
    fn release(&mut self, fingerprint: Fingerprint) {
        let Self { clearings, crashes, suspects, entries, .. } = self;
        let cleared = |id: CrashId| clearings.hold(fingerprint, id);
        if let Some(numbers) = suspects.get_mut(&fingerprint) {
            numbers.retain(|number| crashes.get(number).is_some_and(|crash| !cleared(crash.id)));
        }
        if let Some(entry) = entries.get_mut(&fingerprint) {
            entry.crashes.retain(|id| !cleared(*id));
            if entry.crashes.len() < FEWEST_CRASHES {
                let left = std::mem::take(&mut entry.crashes);
                entries.remove(&fingerprint);
                for (number, crash) in crashes.iter_mut().filter(|(_, it)| left.contains(&it.id)) {
                    crash.explained = false;
                    suspects.entry(fingerprint).or_default().insert(*number);
                }
            }
        }
        if suspects.get(&fingerprint).is_some_and(BTreeSet::is_empty) {
            suspects.remove(&fingerprint);
        }
    }

    /// What requests were cleared of, and when.
    pub fn clearings(&self) -> impl Iterator<Item = (Millis, Clearing)> + '_ {
        self.clearings.all()
    }

    /// The newest two crashes that the quarantine of a request rests on; zeros if it is in none, or they
    /// were not told.
    pub fn newest_crashes(&self, fingerprint: Fingerprint) -> [CrashId; FEWEST_CRASHES] {
        let crashes = self.entries.get(&fingerprint).map_or(&[][..], |entry| &entry.crashes);
        crashes.last_chunk().copied().unwrap_or_default()
    }

    /// Requests that are kept from upstreams now.
    pub fn entries(&self, now: Millis) -> Vec<QuarantineEntry> {
        let held = self.entries.iter().filter(|(_, entry)| entry.holds(now));
        held.map(|(fingerprint, entry)| QuarantineEntry {
            fingerprint: *fingerprint,
            crashes: entry.crashes.clone(),
            left_ms: entry.until - now,
        })
        .collect()
    }

    /// Requests that ran in a crash that nothing explains.
    pub fn suspects(&self, now: Millis) -> usize {
        let known = self.suspects.keys().chain(self.entries.keys());
        known
            .filter(|fingerprint| self.status(**fingerprint, now) == RequestStatus::Suspect)
            .count()
    }

    /// Forgets what is too old to tell anything.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.holds(now) || entry.is_on_probation(now));
        self.clearings.expire(now);
        let old = |crash: &Crash| crash.at + CRASH_RETENTION_MS <= now;
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
