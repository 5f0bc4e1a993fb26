//! The upstreams that run on the machine, one after the other.

use super::{ready_record, Millis, DRAIN_MS};
use fastrand::Rng;
use mesh::{Incarnation, InstanceRecord, InstanceState};
use std::collections::BTreeMap;

const HEARTBEAT_MS: std::ops::Range<Millis> = 1_300..1_700;
const SERVES_MS: std::ops::Range<Millis> = 1_500..10_000;
/// How much longer than the drain time an upstream serves after its departure was acknowledged.
const SERVES_ON_MS: std::ops::Range<Millis> = 200..9_000;
/// An upstream whose departure nobody acknowledges ends this long after it first reported it.
const GIVES_UP_MS: Millis = 6_000;
/// An answer after this time is no acknowledgement.
const ANSWER_MS: Millis = 1_000;
const NEXT_START_MS: std::ops::Range<Millis> = 50..1_500;
const LATE_MS: std::ops::Range<Millis> = 200..3_000;

/// A call of the upstream to the sidecar.
#[derive(Clone, Debug)]
pub enum Message {
    Heartbeat { record: InstanceRecord, sequence: u64 },
    Leave(Incarnation),
}

/// How an upstream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Style {
    /// It announces that it drains, and deregisters at its end.
    Drains,
    /// It deregisters first and serves on.
    Leaves,
    /// It says nothing.
    Crashes,
}

/// What is on its way to the sidecar.
#[derive(Debug)]
struct InTransit {
    call: u64,
    message: Message,
}

/// A call that was not answered yet.
#[derive(Clone, Debug)]
struct OpenCall {
    sent_at: Millis,
    /// Set if the call reports a departure.
    departs: Option<Incarnation>,
}

pub struct Upstream {
    incarnation: Incarnation,
    number: u64,
    style: Style,
    states_leaving: bool,
    /// Whether each start is told. Half of those that tell it use an id again.
    tells_start: bool,
    keeps_ids: bool,
    started_at: Millis,
    leaves_at: Millis,
    sequence: u64,
    next_call: u64,
    heartbeat_at: Millis,
    departure_at: Option<Millis>,
    acknowledged: bool,
    ends_at: Option<Millis>,
    next_starts_at: Option<Millis>,
    /// Whether the last message was lost; no two in a row are.
    lost: bool,
    in_transit: BTreeMap<(Millis, u64), InTransit>,
    open: BTreeMap<u64, OpenCall>,
}

impl Upstream {
    pub fn start(random: &mut Rng, previous: Option<Upstream>, now: Millis) -> Self {
        let number = previous.as_ref().map_or(1, |previous| previous.number + 1);
        let tells_start = previous.as_ref().map_or(random.bool(), |previous| previous.tells_start);
        let keeps_ids =
            previous.as_ref().map_or(tells_start && random.bool(), |previous| previous.keeps_ids);
        let id = match &previous {
            Some(previous) if keeps_ids => previous.incarnation.id.clone(),
            _ => format!("i-{number}"),
        };
        let born_ms = if tells_start { now + 1 } else { 0 };
        let style = match random.u32(..5) {
            0 => Style::Crashes,
            1 | 2 => Style::Drains,
            _ => Style::Leaves,
        };
        let (next_call, in_transit) = previous
            .map_or((0, BTreeMap::new()), |previous| (previous.next_call, previous.in_transit));
        Upstream {
            incarnation: Incarnation { id, born_ms },
            number,
            style,
            states_leaving: random.u32(..3) == 0,
            tells_start,
            keeps_ids,
            started_at: now,
            leaves_at: now + random.u64(SERVES_MS),
            sequence: 0,
            next_call,
            heartbeat_at: now,
            departure_at: None,
            acknowledged: false,
            ends_at: None,
            next_starts_at: None,
            lost: false,
            in_transit,
            open: BTreeMap::new(),
        }
    }

    /// Whether it has begun to leave.
    pub fn is_leaving(&self) -> bool {
        self.departure_at.is_some()
    }

    /// When it begins to leave.
    pub fn leaves_at(&self) -> Millis {
        self.leaves_at
    }

    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    /// The incarnation that answers calls now.
    pub fn serving(&self) -> Option<&Incarnation> {
        self.next_starts_at.is_none().then_some(&self.incarnation)
    }

    /// Whether its answers state that it is leaving.
    pub fn states_leaving(&self) -> bool {
        self.states_leaving && self.is_leaving()
    }

    /// Since when it serves without having begun to leave.
    pub fn ready_for_ms(&self, now: Millis) -> Millis {
        match self.is_leaving() || self.serving().is_none() {
            true => 0,
            false => now - self.started_at,
        }
    }

    /// An answer arrived in time; returns the incarnation whose departure it acknowledges.
    pub fn answered(&mut self, call: u64, now: Millis) -> Option<Incarnation> {
        let open = self.open.remove(&call).filter(|open| now <= open.sent_at + ANSWER_MS)?;
        let departed = open.departs?;
        if departed == self.incarnation {
            self.acknowledged = true;
        }
        Some(departed)
    }

    /// A report of a departure was not acknowledged; it is sent again.
    pub fn refused(&mut self, call: u64) {
        self.open.remove(&call);
    }

    /// Sends what is due; returns the messages that arrive now.
    pub fn step(
        &mut self,
        sidecar_runs: bool,
        random: &mut Rng,
        now: Millis,
    ) -> Vec<(u64, Message)> {
        self.end_or_start(random, now);
        if sidecar_runs && self.serving().is_some() {
            self.send_due(random, now);
        }
        let mut arrived = Vec::new();
        while let Some(entry) = self.in_transit.first_entry().filter(|next| next.key().0 <= now) {
            let InTransit { call, message } = entry.remove();
            arrived.push((call, message));
        }
        arrived
    }

    fn end_or_start(&mut self, random: &mut Rng, now: Millis) {
        if self.next_starts_at.is_some_and(|at| at <= now) {
            let placeholder = Upstream::start(random, None, now);
            let previous = std::mem::replace(self, placeholder);
            *self = Upstream::start(random, Some(previous), now);
            return;
        }
        if self.next_starts_at.is_none() && self.ends_at.is_some_and(|at| at <= now) {
            self.next_starts_at = Some(now + random.u64(NEXT_START_MS));
        }
        if self.ends_at.is_some() {
            return;
        }
        if self.style == Style::Crashes && now >= self.leaves_at {
            self.ends_at = Some(now);
        } else if self.acknowledged {
            self.ends_at = Some(now + DRAIN_MS + random.u64(SERVES_ON_MS));
        } else if self.departure_at.is_some_and(|at| now >= at + GIVES_UP_MS) {
            self.ends_at = Some(now);
        }
    }

    fn send_due(&mut self, random: &mut Rng, now: Millis) {
        let departs = now >= self.leaves_at && self.style != Style::Crashes;
        let waits = self
            .open
            .values()
            .any(|open| open.departs.is_some() && now <= open.sent_at + ANSWER_MS);
        if departs && !self.acknowledged && !waits {
            self.departure_at.get_or_insert(now);
            let message = match self.style {
                Style::Drains => self.heartbeat(InstanceState::Draining),
                _ => Message::Leave(self.named()),
            };
            self.send(message, true, random, now);
        }
        if now >= self.heartbeat_at && !departs {
            self.heartbeat_at = now + random.u64(HEARTBEAT_MS);
            let message = self.heartbeat(InstanceState::Ready);
            self.send(message, false, random, now);
        }
    }

    fn heartbeat(&mut self, state: InstanceState) -> Message {
        self.sequence += 1;
        let record = InstanceRecord { state, ..ready_record(&self.incarnation) };
        Message::Heartbeat { record, sequence: self.sequence }
    }

    /// How a leave names the incarnation. One whose id may be used again tells its start.
    fn named(&self) -> Incarnation {
        let born_ms = if self.keeps_ids { self.incarnation.born_ms } else { 0 };
        Incarnation { id: self.incarnation.id.clone(), born_ms }
    }

    fn send(&mut self, message: Message, departs: bool, random: &mut Rng, now: Millis) {
        self.next_call += 1;
        let call = self.next_call;
        self.lost = !self.lost && random.u32(..10) == 0;
        if self.lost {
            return;
        }
        // The last heartbeats before a departure are late more often: they contradict it.
        let is_last = now + HEARTBEAT_MS.end >= self.leaves_at;
        let is_late = random.u32(..if is_last { 3 } else { 8 }) == 0;
        let delay_ms = if is_late { random.u64(LATE_MS) } else { 1 };
        let departs = departs.then(|| self.incarnation.clone());
        self.open.insert(call, OpenCall { sent_at: now, departs });
        self.in_transit.insert((now + delay_ms, call), InTransit { call, message });
    }
}
