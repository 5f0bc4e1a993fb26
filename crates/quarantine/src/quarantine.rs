//! Tracks suspect and quarantined requests.

use crate::clearings::Clearings;
use crate::identity::crash_id;
use crate::Millis;
use mesh::{Clearing, CrashId, CrashReport, Fingerprint, QuarantineEntry};
use std::collections::{BTreeMap, BTreeSet};

/// How long a crash is remembered, milliseconds: long enough to recognize a request that is repeated
/// every few minutes.
pub const CRASH_RETENTION_MS: u64 = 600_000;
/// Maximum number of remembered crashes; a fleet of 2,200 machines has nine machine failures and 870
/// restarts a day.
const MAX_CRASHES: usize = 256;
/// Maximum number of remembered requests per crash; an upstream has a few tens of slots.
const MAX_RUNNING: usize = 256;
/// Maximum number of quarantined requests; those with the least time left are dropped first.
const MAX_ENTRIES: usize = 1_024;
/// Duration of the first quarantine, milliseconds. At most one more crash follows it, which doubles the
/// duration.
const INITIAL_QUARANTINE_MS: u64 = 60_000;
/// Longest duration of a quarantine, milliseconds: a fixed upstream gets the request again within an
/// hour, and a request that is still poison crashes at most 24 upstreams a day.
const MAX_QUARANTINE_MS: u64 = 3_600_000;
/// Maximum number of crashes recorded as evidence for a quarantine; the newest are kept.
const MAX_EVIDENCE: usize = 64;
/// Minimum number of crashes as evidence for a quarantine.
const MIN_EVIDENCE: usize = 2;
/// Number of crashes after which suspects that were present in all of them are quarantined together.
const CERTAIN_CRASHES: usize = 3;

/// Status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// There is no evidence against it.
    Clear,
    /// An upstream crashed while processing it, and nothing else explains the crash.
    Suspect,
    /// It is not sent to upstreams.
    Quarantined {
        /// Remaining time, milliseconds.
        left_ms: u64,
    },
}

/// Conclusion drawn from a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The crash was known already.
    Known,
    /// Any of this number of requests may have caused it.
    Suspects(usize),
    /// These requests caused it and are quarantined from now on.
    Quarantined(Vec<QuarantineEntry>),
    /// A quarantined request caused it, which was processed because the notice of its quarantine came
    /// too late.
    Explained(Fingerprint),
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at: Millis,
    /// Whether a quarantined request is known to have caused it.
    explained: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Crashes that are evidence for it; empty if they were not reported.
    crashes: Vec<CrashId>,
    until: Millis,
    duration_ms: u64,
}

impl Entry {
    fn is_active(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Whether the request is still a suspect after its quarantine, which lasts as long as the quarantine.
    fn is_on_probation(&self, now: Millis) -> bool {
        !self.is_active(now) && now < self.until + self.duration_ms
    }

    fn add_evidence(&mut self, crashes: &[CrashId]) {
        for crash in crashes {
            if !self.crashes.contains(crash) {
                self.crashes.push(*crash);
            }
        }
        let surplus = self.crashes.len().saturating_sub(MAX_EVIDENCE);
        self.crashes.drain(..surplus);
    }
}

/// Suspect and quarantined requests known to one node.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    next_crash: u64,
    crashes: BTreeMap<u64, Crash>,
    /// Crashes during which a request was processed since it last succeeded.
    suspects: BTreeMap<Fingerprint, BTreeSet<u64>>,
    entries: BTreeMap<Fingerprint, Entry>,
    clearings: Clearings,
}

impl Quarantine {
    /// Whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.entries.is_empty()
    }

    /// Returns the status of a request.
    pub fn status(&self, fingerprint: Fingerprint, now: Millis) -> RequestStatus {
        if let Some(entry) = self.entries.get(&fingerprint) {
            if entry.is_active(now) {
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

    /// Records the crash of an upstream.
    pub fn note_crash(&mut self, report: &CrashReport, now: Millis) -> Verdict {
        let id = crash_id(report);
        if self.crashes.values().any(|crash| crash.id == id) {
            return Verdict::Known;
        }
        self.expire(now);
        let running = report.running.iter().copied().take(MAX_RUNNING);
        let running: BTreeSet<Fingerprint> =
            running.filter(|fingerprint| !self.clearings.covers(*fingerprint, id)).collect();
        let verdict = self.determine_cause(&running, id, now);
        let explained = !matches!(verdict, Verdict::Suspects(_));
        let number = self.next_crash;
        self.next_crash += 1;
        self.crashes.insert(number, Crash { id, at: now, explained });
        // Explained crashes count as well: if the wrong request was blamed, the next crash identifies the
        // right one.
        for fingerprint in running {
            if !self.entries.contains_key(&fingerprint) {
                self.suspects.entry(fingerprint).or_default().insert(number);
            }
        }
        self.evict_oldest_crashes();
        verdict
    }

    /// Determines which requests caused a crash.
    fn determine_cause(
        &mut self,
        running: &BTreeSet<Fingerprint>,
        id: CrashId,
        now: Millis,
    ) -> Verdict {
        for fingerprint in running {
            if let Some(entry) =
                self.entries.get_mut(fingerprint).filter(|entry| entry.is_active(now))
            {
                entry.add_evidence(&[id]);
                entry.until = entry.until.max(now + entry.duration_ms);
                return Verdict::Explained(*fingerprint);
            }
        }
        let culprits = self.culprits(running);
        if culprits.is_empty() {
            return Verdict::Suspects(running.len());
        }
        let entries =
            culprits.into_iter().map(|fingerprint| self.quarantine_request(fingerprint, id, now));
        Verdict::Quarantined(entries.collect())
    }

    /// Returns the request that was present in the most earlier crashes. If several were, returns none of
    /// them until they have been present in [`CERTAIN_CRASHES`] crashes, then all of them.
    fn culprits(&self, running: &BTreeSet<Fingerprint>) -> Vec<Fingerprint> {
        let earlier_crashes = |fingerprint: &Fingerprint| self.crashes_of(fingerprint);
        let most = running.iter().map(earlier_crashes).max().unwrap_or(0);
        if most == 0 {
            return Vec::new();
        }
        let found: Vec<Fingerprint> = running
            .iter()
            .filter(|fingerprint| earlier_crashes(fingerprint) == most)
            .copied()
            .collect();
        match found.len() == 1 || most + 1 >= CERTAIN_CRASHES {
            true => found,
            false => Vec::new(),
        }
    }

    fn crashes_of(&self, fingerprint: &Fingerprint) -> usize {
        let suspected = self.suspects.get(fingerprint).map_or(0, BTreeSet::len);
        let earlier = self.entries.get(fingerprint).map_or(0, |entry| entry.crashes.len());
        suspected + earlier
    }

    /// Quarantines a request for this crash and the earlier ones, which it explains.
    fn quarantine_request(
        &mut self,
        fingerprint: Fingerprint,
        id: CrashId,
        now: Millis,
    ) -> QuarantineEntry {
        let previous = self.entries.get(&fingerprint);
        let duration_ms = previous
            .map_or(INITIAL_QUARANTINE_MS, |entry| (entry.duration_ms * 2).min(MAX_QUARANTINE_MS));
        let mut crashes = previous.map(|entry| entry.crashes.clone()).unwrap_or_default();
        for number in self.suspects.remove(&fingerprint).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&number) {
                crash.explained = true;
                crashes.push(crash.id);
            }
        }
        let mut entry = Entry { crashes: Vec::new(), until: now + duration_ms, duration_ms };
        entry.add_evidence(&crashes);
        entry.add_evidence(&[id]);
        let crashes = entry.crashes.clone();
        self.insert(fingerprint, entry);
        QuarantineEntry { fingerprint, crashes, left_ms: duration_ms }
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: Entry) {
        self.entries.insert(fingerprint, entry);
        if self.entries.len() > MAX_ENTRIES {
            let next = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(fingerprint) = next.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }

    /// Applies a notice that a request is quarantined; returns whether it was new. Crashes of which the
    /// request was cleared do not count, so that a node that has not learned of the clearing cannot
    /// restore the quarantine.
    pub fn note_quarantined(&mut self, reported: &QuarantineEntry, now: Millis) -> bool {
        let fingerprint = reported.fingerprint;
        let left_ms = reported.left_ms.min(MAX_QUARANTINE_MS);
        let counts = |crash: &&CrashId| !self.clearings.covers(fingerprint, **crash);
        let crashes: Vec<CrashId> = reported.crashes.iter().filter(counts).copied().collect();
        let has_evidence = match reported.crashes.is_empty() {
            true => !self.clearings.contains(fingerprint),
            false => crashes.len() >= MIN_EVIDENCE,
        };
        if left_ms == 0 || !has_evidence {
            return false;
        }
        let entry = self.entries.get_mut(&fingerprint);
        if let Some(entry) = entry.filter(|entry| entry.is_active(now)) {
            entry.add_evidence(&crashes);
            return false;
        }
        let previous = self.entries.remove(&fingerprint);
        let (until, duration_ms) = (now + left_ms, left_ms.max(INITIAL_QUARANTINE_MS));
        let evidence = previous.map(|entry| entry.crashes).unwrap_or_default();
        let mut entry = Entry { crashes: evidence, until, duration_ms };
        entry.add_evidence(&crashes);
        self.suspects.remove(&fingerprint);
        self.insert(fingerprint, entry);
        true
    }

    /// Clears a request because an upstream survived processing it or an operator asked for it. All
    /// evidence known to this node is dropped; returns `None` if there was none.
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

    /// Applies a notice that a request was cleared elsewhere; returns whether it was new. It can be new
    /// even without evidence against the request here, because the notice of its quarantine may be in
    /// transit.
    pub fn note_cleared(&mut self, clearing: &Clearing, at: Millis) -> bool {
        let is_new = self.clearings.note(clearing, at);
        self.release(clearing.fingerprint);
        is_new
    }

    /// Drops the crashes of which a request was cleared. If too few are left for a quarantine, the request
    /// is released and remains a suspect in those.
    fn release(&mut self, fingerprint: Fingerprint) {
        let Self { clearings, crashes, suspects, entries, .. } = self;
        let cleared = |id: CrashId| clearings.covers(fingerprint, id);
        if let Some(numbers) = suspects.get_mut(&fingerprint) {
            numbers.retain(|number| crashes.get(number).is_some_and(|crash| !cleared(crash.id)));
        }
        if let Some(entry) = entries.get_mut(&fingerprint) {
            entry.crashes.retain(|id| !cleared(*id));
            if entry.crashes.len() < MIN_EVIDENCE {
                let remaining = std::mem::take(&mut entry.crashes);
                entries.remove(&fingerprint);
                for (number, crash) in
                    crashes.iter_mut().filter(|(_, crash)| remaining.contains(&crash.id))
                {
                    crash.explained = false;
                    suspects.entry(fingerprint).or_default().insert(*number);
                }
            }
        }
        if suspects.get(&fingerprint).is_some_and(BTreeSet::is_empty) {
            suspects.remove(&fingerprint);
        }
    }

    /// Returns the remembered clearings and their times.
    pub fn clearings(&self) -> impl Iterator<Item = (Millis, Clearing)> + '_ {
        self.clearings.all()
    }

    /// Returns the newest two crashes that are evidence for the quarantine of a request; zeros if it is
    /// not quarantined or the crashes were not reported.
    pub fn newest_crashes(&self, fingerprint: Fingerprint) -> [CrashId; MIN_EVIDENCE] {
        let crashes = self.entries.get(&fingerprint).map_or(&[][..], |entry| &entry.crashes);
        crashes.last_chunk().copied().unwrap_or_default()
    }

    /// Returns the requests that are currently quarantined.
    pub fn entries(&self, now: Millis) -> Vec<QuarantineEntry> {
        let active = self.entries.iter().filter(|(_, entry)| entry.is_active(now));
        active
            .map(|(fingerprint, entry)| QuarantineEntry {
                fingerprint: *fingerprint,
                crashes: entry.crashes.clone(),
                left_ms: entry.until - now,
            })
            .collect()
    }

    /// Returns the number of suspects.
    pub fn suspects(&self, now: Millis) -> usize {
        let known = self.suspects.keys().chain(self.entries.keys());
        known
            .filter(|fingerprint| self.status(**fingerprint, now) == RequestStatus::Suspect)
            .count()
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.is_active(now) || entry.is_on_probation(now));
        self.clearings.expire(now);
        let is_expired = |crash: &Crash| crash.at + CRASH_RETENTION_MS <= now;
        while self.crashes.first_key_value().is_some_and(|(_, crash)| is_expired(crash)) {
            self.remove_oldest_crash();
        }
    }

    fn evict_oldest_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            self.remove_oldest_crash();
        }
    }

    fn remove_oldest_crash(&mut self) {
        let Some((id, _)) = self.crashes.pop_first() else {
            return;
        };
        self.suspects.retain(|_, crashes| {
            crashes.remove(&id);
            !crashes.is_empty()
        });
    }
}
