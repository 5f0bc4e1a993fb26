//! Which incarnation is beside this sidecar, and whether it may still be given calls.
//!
//! States only go forward within one incarnation, and an incarnation that was replaced never
//! comes back, however late its messages arrive. Messages of one that was never heard of may come
//! late, too: so the upstream's own word, that it is another one than a call was meant for, brings
//! back the one that was replaced last.
//!
//! An incarnation is named by its id and the time of its start: an upstream may start again under its
//! id, and then knows nothing of before, its sequence begins anew, and no end of before binds it.

use crate::Millis;
use mesh::{Incarnation, InstanceRecord, InstanceState, MAX_VERSION_BYTES};
use std::collections::VecDeque;

/// Part of the drain time during which the gate stays open for calls already on their way.
const OPEN_PART: f64 = 0.5;
/// An upstream that is cold for this much longer than was known is news to its peers, milliseconds:
/// beats repeat what is left to within their own way.
const COLD_NEWS_MS: u64 = 200;
/// Replaced incarnations remembered.
const RETIRED_KEPT: usize = 64;

/// Whether calls may pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// There is no upstream yet.
    Absent,
    /// Calls pass.
    Open,
    /// Calls that come now still pass; peers should send no more.
    Closing,
    /// Nothing passes.
    Closed,
}

/// The upstream beside a sidecar.
#[derive(Clone, Debug)]
pub struct DrainGate {
    drain_ms: u64,
    current: Option<Current>,
    /// The one replaced last, until the upstream has answered a call as the current one.
    former: Option<Current>,
    /// The one that ended without a word, until another registers.
    ended: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
}

#[derive(Clone, Debug)]
struct Current {
    incarnation: Incarnation,
    /// Told once; an incarnation does not change its software.
    version: String,
    state: InstanceState,
    slots: u32,
    cold_until: Millis,
    newest_sequence: u64,
    /// Until when calls still pass, once it was told that it ends.
    open_until: Option<Millis>,
}

impl DrainGate {
    /// No upstream yet; one that says it leaves is given nothing after `drain_ms`.
    pub fn new(drain_ms: u64) -> Self {
        DrainGate { drain_ms, current: None, former: None, ended: None, retired: VecDeque::new() }
    }

    /// Takes in what coordinators know from before this sidecar's start.
    pub fn restore(&mut self, record: &InstanceRecord, now: Millis) {
        let incarnation = record.incarnation();
        if self.current.is_none() && !self.is_retired(&incarnation) {
            self.replace(record, 0, now);
        }
        if self.advance(&incarnation, record.state, now) {
            self.close_now(&incarnation);
        }
    }

    /// Takes in what the upstream tells of itself; true if that is news to others. `sequence`
    /// orders its messages.
    pub fn on_report(&mut self, record: &InstanceRecord, sequence: u64, now: Millis) -> bool {
        let incarnation = record.incarnation();
        if self.is_retired(&incarnation) {
            return false;
        }
        let known =
            self.current.as_ref().is_some_and(|held| held.incarnation.may_equal(&incarnation));
        if !known {
            if self.is_late(record) {
                return false;
            }
            self.replace(record, sequence, now);
            return true;
        }
        let Some(current) = &mut self.current else {
            return false;
        };
        current.incarnation.born_ms = current.incarnation.born_ms.max(record.born_ms);
        let newer = sequence > current.newest_sequence;
        let slots_changed = newer && current.slots != record.slots;
        let mut cold_changed = false;
        if newer {
            current.newest_sequence = sequence;
            current.slots = record.slots;
            let cold_until = now + u64::from(record.cold_remaining_ms);
            cold_changed = current.cold_until.max(now) + COLD_NEWS_MS < cold_until;
            current.cold_until = cold_until;
        }
        self.advance(&incarnation, record.state, now) || slots_changed || cold_changed
    }

    /// Takes in that an incarnation ends; true if that is news to others.
    pub fn on_leave(&mut self, incarnation: &Incarnation, now: Millis) -> bool {
        self.advance(incarnation, InstanceState::Left, now)
    }

    fn is_retired(&self, incarnation: &Incarnation) -> bool {
        self.retired.iter().any(|retired| retired.may_equal(incarnation))
    }

    /// Whether the first that is heard of an incarnation is its end, while another one serves: it
    /// began and ended before that one, and its messages were held up. So is any word of an earlier
    /// start under the id of the one that is there.
    fn is_late(&self, record: &InstanceRecord) -> bool {
        let incarnation = record.incarnation();
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.incarnation.is_restart_of(&incarnation))
        {
            return true;
        }
        let serves = self.current.as_ref().is_some_and(|current| current.open_until.is_none());
        serves && record.state != InstanceState::Ready
    }

    /// Takes the upstream for cold until it tells, or for so long.
    pub fn presume_cold(&mut self, until: Millis) {
        if let Some(current) = &mut self.current {
            current.cold_until = current.cold_until.max(until);
        }
    }

    /// Takes in that the upstream answered a call that was meant for this incarnation.
    pub fn on_confirmed(&mut self, id: &str) {
        if self.former.is_some() && self.id() == Some(id) {
            self.former = None;
        }
    }

    /// Takes in that the upstream is not this incarnation, as it says itself; true if that is news.
    /// The one replaced last is the current one again. Without any, the next that is heard of is.
    pub fn on_wrong_instance(&mut self, id: &str) -> bool {
        let Some(denied) = self.current.take_if(|current| current.incarnation.id == id) else {
            return false;
        };
        if let Some(former) = self.former.take() {
            self.retired.retain(|retired| *retired != former.incarnation);
            self.current = Some(former);
            self.retire(denied);
        }
        true
    }

    /// Takes in that a serving incarnation ended without a word; true if that is news. Should it
    /// live after all, its next heartbeat brings it back.
    pub fn on_crash(&mut self, id: &str) -> bool {
        let serves =
            |current: &mut Current| current.incarnation.id == id && current.open_until.is_none();
        let Some(ended) = self.current.take_if(serves) else {
            return false;
        };
        self.former = None;
        self.ended = Some(ended.incarnation);
        true
    }

    fn retire(&mut self, replaced: Current) {
        self.forget(replaced.incarnation.clone());
        self.former = Some(replaced);
    }

    fn forget(&mut self, incarnation: Incarnation) {
        self.retired.push_back(incarnation);
        if self.retired.len() > RETIRED_KEPT {
            self.retired.pop_front();
        }
    }

    fn replace(&mut self, record: &InstanceRecord, sequence: u64, now: Millis) {
        let incarnation = record.incarnation();
        if let Some(ended) = self.ended.take().filter(|ended| !ended.may_equal(&incarnation)) {
            self.forget(ended);
        }
        if let Some(replaced) = self.current.take() {
            self.retire(replaced);
        }
        // An end that is news was acknowledged by this process; any other may have been
        // acknowledged long ago, by an earlier life.
        let leaving = record.state != InstanceState::Ready;
        self.current = Some(Current {
            incarnation,
            version: bounded(&record.version),
            state: record.state,
            slots: record.slots,
            cold_until: now + u64::from(record.cold_remaining_ms),
            newest_sequence: sequence,
            open_until: leaving.then_some(0),
        });
    }

    fn advance(&mut self, of: &Incarnation, state: InstanceState, now: Millis) -> bool {
        let is_it = |current: &&mut Current| current.incarnation.may_equal(of);
        let Some(current) = self.current.as_mut().filter(is_it) else {
            return false;
        };
        if state <= current.state {
            return false;
        }
        current.state = state;
        let open_for = (self.drain_ms as f64 * OPEN_PART) as u64;
        current.open_until.get_or_insert(now + open_for);
        true
    }

    fn close_now(&mut self, of: &Incarnation) {
        let is_it = |current: &&mut Current| current.incarnation.may_equal(of);
        if let Some(current) = self.current.as_mut().filter(is_it) {
            current.open_until = Some(0);
        }
    }

    /// Whether calls may pass now.
    pub fn state(&self, now: Millis) -> GateState {
        let Some(current) = &self.current else {
            return GateState::Absent;
        };
        match current.open_until {
            None => GateState::Open,
            Some(until) if now < until => GateState::Closing,
            Some(_) => GateState::Closed,
        }
    }

    /// Id of the incarnation beside this sidecar.
    pub fn id(&self) -> Option<&str> {
        self.incarnation().map(|incarnation| incarnation.id.as_str())
    }

    /// The incarnation beside this sidecar.
    pub fn incarnation(&self) -> Option<&Incarnation> {
        self.current.as_ref().map(|current| &current.incarnation)
    }

    /// Version of its software.
    pub fn version(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.version.as_str())
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.current.as_ref().is_some_and(|current| now < current.cold_until)
    }

    /// Until when it is slow after its start; in the past if it is not.
    pub fn cold_until(&self) -> Millis {
        self.current.as_ref().map_or(0, |current| current.cold_until)
    }

    /// Calls it works on at once.
    pub fn slots(&self) -> Option<u32> {
        self.current.as_ref().map(|current| current.slots)
    }

    /// What others should know.
    pub fn record(&self, now: Millis) -> Option<InstanceRecord> {
        self.current.as_ref().map(|current| InstanceRecord {
            id: current.incarnation.id.clone(),
            version: current.version.clone(),
            state: current.state,
            slots: current.slots,
            cold_remaining_ms: current.cold_until.saturating_sub(now) as u32,
            born_ms: current.incarnation.born_ms,
        })
    }
}

/// A version's name, cut where it is longer than any that can be ordered: every node keeps it.
fn bounded(version: &str) -> String {
    let longest = version.len().min(MAX_VERSION_BYTES);
    let end = (0..=longest).rev().find(|end| version.is_char_boundary(*end));
    version[..end.unwrap_or(0)].to_owned()
}
