//! Tracks the upstream instance next to this sidecar and whether it still accepts calls.
//!
//! Within one incarnation the state only moves forward, and a replaced incarnation never becomes
//! current again, however late its messages arrive. A departure is remembered for its incarnation
//! even if that is not the current one: this process may have started after its last heartbeat. A
//! delayed message may also come from an incarnation that was never seen before and replace the live
//! one by mistake. When the upstream then rejects a call because it was addressed to another
//! instance, the most recently replaced incarnation is reinstated.
//!
//! An incarnation is identified by its id and its start time, because an upstream may restart under
//! the same id. After such a restart its sequence numbers start over, and a shutdown reported by the
//! previous incarnation does not apply to it.

use crate::departures::Departures;
use crate::Millis;
use mesh::{Incarnation, InstanceRecord, InstanceState, MAX_VERSION_BYTES};
use std::collections::VecDeque;

/// Fraction of the drain time during which the gate still admits calls that are already in transit.
const OPEN_FRACTION: f64 = 0.5;
/// The end of the cold phase must move back by more than this before peers are notified, milliseconds.
/// Each heartbeat repeats the remaining time, and its transit time makes the value vary.
const COLD_CHANGE_MS: u64 = 200;
/// Maximum number of replaced incarnations that are remembered.
const MAX_RETIRED: usize = 64;

/// Whether calls are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// No upstream is registered.
    Absent,
    /// Calls are admitted.
    Open,
    /// Calls in transit are still admitted, but peers should stop sending.
    Closing,
    /// No calls are admitted.
    Closed,
}

impl GateState {
    /// Lower-case name of the state.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Closed => "closed",
        }
    }
}

/// Admission state of the upstream next to a sidecar.
#[derive(Clone, Debug)]
pub struct DrainGate {
    drain_ms: u64,
    current: Option<Current>,
    /// The most recently replaced incarnation, until the upstream has answered a call that was
    /// addressed to the current one.
    previous: Option<Current>,
    /// The incarnation that terminated without deregistering, until another one registers.
    crashed: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
    departures: Departures,
}

#[derive(Clone, Debug)]
struct Current {
    incarnation: Incarnation,
    /// Taken from the first report; the software version is constant within an incarnation.
    version: String,
    state: InstanceState,
    slots: u32,
    cold_until: Millis,
    newest_sequence: u64,
    /// Time until which calls are still admitted; set once the incarnation starts to shut down.
    open_until: Option<Millis>,
}

impl DrainGate {
    /// Creates a gate without an upstream. An upstream that announces its shutdown has to finish its
    /// calls within `drain_ms`; the gate closes after a fraction of that time.
    pub fn new(drain_ms: u64) -> Self {
        DrainGate {
            drain_ms,
            current: None,
            previous: None,
            crashed: None,
            retired: VecDeque::new(),
            departures: Departures::default(),
        }
    }

    /// Restores a record that coordinators kept from before this sidecar started. One that states
    /// that the upstream is ready changes nothing unless it is the last word of the process before:
    /// that may have acknowledged a departure since. Returns whether the record was restored.
    pub fn restore(&mut self, record: &InstanceRecord, is_last_word: bool, now: Millis) -> bool {
        let record = &self.with_departure(record);
        let incarnation = record.incarnation();
        if record.state == InstanceState::Ready && !is_last_word {
            return false;
        }
        self.note_departure(&incarnation, record.state);
        self.learn_start(&incarnation);
        if self.current.is_none() && !self.is_retired(&incarnation) {
            self.replace(record, 0, now);
        }
        if self.advance(&incarnation, record.state, now) {
            self.close_now(&incarnation);
        }
        true
    }

    /// Applies a report by the upstream about itself. `sequence` orders the reports of an incarnation.
    /// Returns whether other nodes need to be notified.
    pub fn on_report(&mut self, record: &InstanceRecord, sequence: u64, now: Millis) -> bool {
        let reported_state = record.state;
        let record = &self.with_departure(record);
        let incarnation = record.incarnation();
        self.note_departure(&incarnation, record.state);
        if self.is_retired(&incarnation) {
            return false;
        }
        let known = self
            .current
            .as_ref()
            .is_some_and(|current| current.incarnation.may_equal(&incarnation));
        if !known {
            let sent_before_departure = reported_state != record.state;
            if self.is_stale(record) || (sent_before_departure && self.current.is_some()) {
                return false;
            }
            self.replace(record, sequence, now);
            return true;
        }
        self.learn_start(&incarnation);
        let Some(current) = &mut self.current else {
            return false;
        };
        let newer = sequence > current.newest_sequence;
        let slots_changed = newer && current.slots != record.slots;
        let mut cold_changed = false;
        if newer {
            current.newest_sequence = sequence;
            current.slots = record.slots;
            let cold_until = now + u64::from(record.cold_remaining_ms);
            cold_changed = current.cold_until.max(now) + COLD_CHANGE_MS < cold_until;
            current.cold_until = cold_until;
        }
        self.advance(&incarnation, record.state, now) || slots_changed || cold_changed
    }

    /// Records that an incarnation deregistered; returns whether other nodes need to be notified.
    pub fn on_leave(&mut self, incarnation: &Incarnation, now: Millis) -> bool {
        self.note_departure(incarnation, InstanceState::Left);
        if self.is_unknown(incarnation) && !self.is_serving(now) {
            // The departure must reach the coordinators, which may hold a record of this
            // incarnation from before this process started.
            let record = InstanceRecord::departed(incarnation);
            self.replace(&record, 0, now);
            return true;
        }
        self.advance(incarnation, InstanceState::Left, now)
    }

    /// Records that an incarnation stated in an answer that it is leaving; returns whether other nodes
    /// need to be notified.
    pub fn on_leaving(&mut self, incarnation: &Incarnation, now: Millis) -> bool {
        self.note_departure(incarnation, InstanceState::Draining);
        self.advance(incarnation, InstanceState::Draining, now)
    }

    /// Applies a departure that coordinators know of; returns whether other nodes need to be notified.
    /// It was acknowledged a while ago, so the gate closes at once.
    pub fn on_known_departure(
        &mut self,
        incarnation: &Incarnation,
        state: InstanceState,
        now: Millis,
    ) -> bool {
        self.note_departure(incarnation, state);
        let changed = self.advance(incarnation, state, now);
        if changed {
            self.close_now(incarnation);
        }
        changed
    }

    fn note_departure(&mut self, incarnation: &Incarnation, state: InstanceState) {
        if state == InstanceState::Ready {
            return;
        }
        let known = self.incarnation().filter(|current| current.may_equal(incarnation)).cloned();
        self.departures.note(known.as_ref().unwrap_or(incarnation), state);
    }

    /// The record with the departure that is known of its incarnation.
    fn with_departure(&mut self, record: &InstanceRecord) -> InstanceRecord {
        let departed = self.departures.state_of(&record.incarnation());
        let state = departed.map_or(record.state, |departed| departed.max(record.state));
        InstanceRecord { state, ..record.clone() }
    }

    /// Takes the start time of the current incarnation from a report that states it.
    fn learn_start(&mut self, reported: &Incarnation) {
        if let Some(current) = &mut self.current {
            if current.incarnation.may_equal(reported) {
                current.incarnation.born_ms = current.incarnation.born_ms.max(reported.born_ms);
            }
        }
    }

    /// Whether an incarnation is neither the current one nor a replaced one.
    fn is_unknown(&self, incarnation: &Incarnation) -> bool {
        let is_current = self.incarnation().is_some_and(|current| current.may_equal(incarnation));
        !is_current && !self.is_retired(incarnation)
    }

    /// Whether calls of the current incarnation are still admitted.
    fn is_serving(&self, now: Millis) -> bool {
        matches!(self.state(now), GateState::Open | GateState::Closing)
    }

    fn is_retired(&self, incarnation: &Incarnation) -> bool {
        self.retired.iter().any(|retired| retired.may_equal(incarnation))
    }

    /// Whether a report is stale: it comes from an earlier start under the current id, or it is the
    /// first report of an incarnation, announces its shutdown, and another incarnation is serving.
    /// In the second case the reporting incarnation ran before the serving one and its messages were
    /// delayed.
    fn is_stale(&self, record: &InstanceRecord) -> bool {
        let incarnation = record.incarnation();
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.incarnation.is_restart_of(&incarnation))
        {
            return true;
        }
        let serving = self.current.as_ref().is_some_and(|current| current.open_until.is_none());
        serving && record.state != InstanceState::Ready
    }

    /// Treats the upstream as cold at least until the given time; its next report replaces this.
    pub fn presume_cold(&mut self, until: Millis) {
        if let Some(current) = &mut self.current {
            current.cold_until = current.cold_until.max(until);
        }
    }

    /// Records that the upstream answered a call that was addressed to this instance id.
    pub fn on_confirmed(&mut self, id: &str) {
        if self.previous.is_some() && self.id() == Some(id) {
            self.previous = None;
        }
    }

    /// Records that the upstream rejected a call because it is not the instance with this id. The most
    /// recently replaced incarnation becomes current again; without one, the next incarnation that
    /// reports does. Returns whether the state changed.
    pub fn on_wrong_instance(&mut self, id: &str) -> bool {
        let Some(rejected) = self.current.take_if(|current| current.incarnation.id == id) else {
            return false;
        };
        if let Some(mut previous) = self.previous.take() {
            self.retired.retain(|retired| *retired != previous.incarnation);
            if let Some(departed) = self.departures.state_of(&previous.incarnation) {
                // It announced its shutdown while it was not current.
                previous.state = previous.state.max(departed);
                previous.open_until.get_or_insert(0);
            }
            self.current = Some(previous);
            self.retire(rejected);
        }
        true
    }

    /// Records that a serving incarnation terminated without deregistering; returns whether the state
    /// changed. If it is still alive, its next heartbeat makes it current again.
    pub fn on_crash(&mut self, id: &str) -> bool {
        let serving =
            |current: &mut Current| current.incarnation.id == id && current.open_until.is_none();
        let Some(crashed) = self.current.take_if(serving) else {
            return false;
        };
        self.previous = None;
        self.crashed = Some(crashed.incarnation);
        true
    }

    fn retire(&mut self, replaced: Current) {
        self.add_retired(replaced.incarnation.clone());
        self.previous = Some(replaced);
    }

    fn add_retired(&mut self, incarnation: Incarnation) {
        self.retired.push_back(incarnation);
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }

    fn replace(&mut self, record: &InstanceRecord, sequence: u64, now: Millis) {
        let incarnation = record.incarnation();
        if let Some(crashed) =
            self.crashed.take().filter(|crashed| !crashed.may_equal(&incarnation))
        {
            self.add_retired(crashed);
        }
        if let Some(replaced) = self.current.take() {
            self.retire(replaced);
        }
        // An incarnation first seen while it shuts down may have announced that to an earlier process
        // of this sidecar, which acknowledged it long ago. So it gets no time for calls in transit.
        let leaving = record.state != InstanceState::Ready;
        self.current = Some(Current {
            incarnation,
            version: truncate_version(&record.version),
            state: record.state,
            slots: record.slots,
            cold_until: now + u64::from(record.cold_remaining_ms),
            newest_sequence: sequence,
            open_until: leaving.then_some(0),
        });
    }

    fn advance(&mut self, of: &Incarnation, state: InstanceState, now: Millis) -> bool {
        let matches = |current: &&mut Current| current.incarnation.may_equal(of);
        let Some(current) = self.current.as_mut().filter(matches) else {
            return false;
        };
        if state <= current.state {
            return false;
        }
        current.state = state;
        let open_for = (self.drain_ms as f64 * OPEN_FRACTION) as u64;
        current.open_until.get_or_insert(now + open_for);
        true
    }

    fn close_now(&mut self, of: &Incarnation) {
        let matches = |current: &&mut Current| current.incarnation.may_equal(of);
        if let Some(current) = self.current.as_mut().filter(matches) {
            current.open_until = Some(0);
        }
    }

    /// Returns whether calls are admitted now.
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

    /// Returns the id of the current incarnation.
    pub fn id(&self) -> Option<&str> {
        self.incarnation().map(|incarnation| incarnation.id.as_str())
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Option<&Incarnation> {
        self.current.as_ref().map(|current| &current.incarnation)
    }

    /// Returns the software version of the upstream.
    pub fn version(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.version.as_str())
    }

    /// Whether the upstream is still slow after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.current.as_ref().is_some_and(|current| now < current.cold_until)
    }

    /// Returns the end of the cold phase; a time in the past if the upstream is warm.
    pub fn cold_until(&self) -> Millis {
        self.current.as_ref().map_or(0, |current| current.cold_until)
    }

    /// Returns how many calls the upstream processes concurrently.
    pub fn slots(&self) -> Option<u32> {
        self.current.as_ref().map(|current| current.slots)
    }

    /// Returns the record to publish to other nodes.
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

/// Truncates a version name to the longest one that a command may name, because every node stores it.
fn truncate_version(version: &str) -> String {
    let longest = version.len().min(MAX_VERSION_BYTES);
    let end = (0..=longest).rev().find(|end| version.is_char_boundary(*end));
    version[..end.unwrap_or(0)].to_owned()
}
