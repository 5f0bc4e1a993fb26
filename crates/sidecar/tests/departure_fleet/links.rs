//! The links between the sidecar and the coordinators. What a cut holds up arrives afterwards, in
//! order, unless its sender reset the connection; nobody sees the end of a connection behind a cut.

use super::coordinators::{Coordinators, Welcome, COORDINATORS};
use super::Millis;
use coordinator::Contacts;
use fastrand::Rng;
use mesh::{KnownDeparture, NodeRecord};
use std::collections::VecDeque;

const DELAY_MS: std::ops::Range<Millis> = 1..15;
const PING_MS: Millis = 1_000;
const RETRY_MS: std::ops::Range<Millis> = 50..400;
/// Each side gives a silent link up after this time.
const SIDECAR_SILENCE_MS: Millis = 3_000;
const COORDINATOR_SILENCE_MS: Millis = 3_500;

/// What the sidecar receives.
#[derive(Clone, Debug)]
pub enum ToSidecar {
    Welcome(Welcome),
    Departures { complete: bool, departures: Vec<KnownDeparture> },
    Held { member: usize, sequence: u64 },
}

#[derive(Clone, Debug)]
enum ToCoordinator {
    Open { record: NodeRecord, at: Millis },
    Report(NodeRecord),
    Ping,
    End,
}

/// One connection; each side may have closed its end.
#[derive(Debug)]
struct Connection {
    boot_id: u64,
    up: VecDeque<(Millis, ToCoordinator)>,
    down: VecDeque<(Millis, ToSidecar)>,
    /// Whether the sidecar's end is open, and whether it was reset.
    sidecar_open: bool,
    reset: bool,
    coordinator_open: bool,
    welcomed: bool,
    /// Whether the coordinator has received the first report.
    is_linked: bool,
    held_sequence: u64,
    pinged_at: Millis,
    heard_by_sidecar: Millis,
    heard_by_coordinator: Millis,
    contacts: Contacts,
}

#[derive(Debug, Default)]
struct Link {
    cut_until: Millis,
    retry_at: Millis,
    /// The sidecar's connection is the last one, if its end is open.
    connections: Vec<Connection>,
}

#[derive(Debug)]
pub struct Links {
    links: Vec<Link>,
}

impl Default for Links {
    fn default() -> Self {
        Links { links: (0..COORDINATORS).map(|_| Link::default()).collect() }
    }
}

impl Link {
    fn own(&self) -> Option<&Connection> {
        self.connections.last().filter(|connection| connection.sidecar_open)
    }

    fn own_mut(&mut self) -> Option<&mut Connection> {
        self.connections.last_mut().filter(|connection| connection.sidecar_open)
    }
}

fn pop_due<T>(frames: &mut VecDeque<(Millis, T)>, now: Millis) -> Option<(Millis, T)> {
    frames.front().filter(|(due, _)| *due <= now)?;
    frames.pop_front()
}

impl Connection {
    fn open(boot_id: u64, now: Millis) -> Self {
        Connection {
            boot_id,
            up: VecDeque::new(),
            down: VecDeque::new(),
            sidecar_open: true,
            reset: false,
            coordinator_open: true,
            welcomed: false,
            is_linked: false,
            held_sequence: 0,
            pinged_at: now,
            heard_by_sidecar: now,
            heard_by_coordinator: now,
            contacts: Contacts::first(now),
        }
    }

    fn send(&mut self, frame: ToCoordinator, random: &mut Rng, now: Millis) {
        let earliest = self.up.back().map_or(0, |(due, _)| *due);
        self.up.push_back((earliest.max(now + random.u64(DELAY_MS)), frame));
    }

    fn answer(&mut self, frame: ToSidecar, now: Millis) {
        let earliest = self.down.back().map_or(0, |(due, _)| *due);
        self.down.push_back((earliest.max(now + DELAY_MS.start), frame));
    }
}

impl Links {
    pub fn any_cut(&self, now: Millis) -> bool {
        self.links.iter().any(|link| now < link.cut_until)
    }

    pub fn cut(&mut self, number: usize, until: Millis) {
        let link = &mut self.links[number];
        link.cut_until = link.cut_until.max(until);
    }

    /// The sidecar's process is gone: its connections end in order if it has read all that arrived,
    /// and are reset otherwise.
    pub fn kill_sidecar(&mut self, reads_all: bool) {
        for link in &mut self.links {
            if let Some(connection) = link.own_mut() {
                connection.sidecar_open = false;
                connection.reset = !reads_all;
                let due = connection.up.back().map_or(0, |(due, _)| *due);
                connection.up.push_back((due, ToCoordinator::End));
            }
        }
    }

    pub fn kill_coordinator(&mut self, number: usize, now: Millis) {
        for connection in &mut self.links[number].connections {
            connection.coordinator_open = false;
            connection.up.clear();
            // What waits for its disk is never sent.
            connection.down.retain(|(due, _)| *due <= now + DELAY_MS.end);
        }
    }

    pub fn report(&mut self, record: &NodeRecord, random: &mut Rng, now: Millis) {
        for link in &mut self.links {
            if let Some(connection) = link.own_mut() {
                connection.send(ToCoordinator::Report(record.clone()), random, now);
            }
        }
    }

    /// Number of coordinators that hold a report, and of linked ones.
    pub fn acknowledged_by(&self, sequence: u64) -> (usize, usize) {
        let welcomed = || {
            let own = self.links.iter().filter_map(Link::own);
            own.filter(|connection| connection.welcomed)
        };
        let holders = welcomed().filter(|connection| connection.held_sequence >= sequence);
        (holders.count(), welcomed().count())
    }

    /// A coordinator acknowledged a report.
    pub fn held(&mut self, member: usize, sequence: u64) {
        if let Some(connection) = self.links[member].own_mut() {
            connection.held_sequence = connection.held_sequence.max(sequence);
        }
    }

    /// Moves all frames; returns what the sidecar receives. `report` is its record while it runs.
    pub fn step(
        &mut self,
        report: Option<NodeRecord>,
        coordinators: &mut Coordinators,
        random: &mut Rng,
        now: Millis,
    ) -> Vec<ToSidecar> {
        let mut received = Vec::new();
        for (number, link) in self.links.iter_mut().enumerate() {
            let is_cut = now < link.cut_until;
            if let Some(record) = &report {
                link.tend(number, record, coordinators, is_cut, random, now);
            }
            for connection in &mut link.connections {
                connection.give_up(number, coordinators, now);
                if !is_cut {
                    connection.deliver_up(number, coordinators, now);
                    connection.tell_departures(number, coordinators, now);
                    received.extend(connection.deliver_down(now));
                }
            }
            link.connections.retain(|held| held.sidecar_open || held.coordinator_open);
        }
        received
    }
}

impl Link {
    /// Connects, pings, and notices the end of its connection.
    fn tend(
        &mut self,
        number: usize,
        record: &NodeRecord,
        coordinators: &Coordinators,
        is_cut: bool,
        random: &mut Rng,
        now: Millis,
    ) {
        if let Some(connection) = self.own_mut() {
            let is_ended = !connection.coordinator_open && !is_cut;
            if is_ended || now >= connection.heard_by_sidecar + SIDECAR_SILENCE_MS {
                connection.sidecar_open = false;
                let due = connection.up.back().map_or(0, |(due, _)| *due);
                connection.up.push_back((due, ToCoordinator::End));
                self.retry_at = now + random.u64(RETRY_MS);
            } else if now >= connection.pinged_at + PING_MS {
                connection.pinged_at = now;
                connection.send(ToCoordinator::Ping, random, now);
            }
            return;
        }
        if now < self.retry_at {
            return;
        }
        self.retry_at = now + random.u64(RETRY_MS);
        if is_cut || !coordinators.is_up(number) {
            return;
        }
        let mut connection = Connection::open(record.boot_id, now);
        connection.send(ToCoordinator::Open { record: record.clone(), at: now }, random, now);
        self.connections.push(connection);
    }
}

impl Connection {
    /// The coordinator closes a connection on which it has heard nothing for long.
    fn give_up(&mut self, number: usize, coordinators: &mut Coordinators, now: Millis) {
        if self.coordinator_open && now >= self.heard_by_coordinator + COORDINATOR_SILENCE_MS {
            self.end(number, coordinators, now);
        }
    }

    fn deliver_up(&mut self, number: usize, coordinators: &mut Coordinators, now: Millis) {
        if self.reset {
            // What was on its way is lost with the connection.
            self.up.retain(|(_, frame)| matches!(frame, ToCoordinator::End));
        }
        while let Some((_, frame)) = pop_due(&mut self.up, now) {
            if !self.coordinator_open {
                continue;
            }
            self.heard_by_coordinator = now;
            if !matches!(frame, ToCoordinator::End) {
                self.contacts.note(now);
            }
            match frame {
                ToCoordinator::Open { record, at } => {
                    let (sequence, held) = (record.sequence, record.clone());
                    if let Some(welcome) = coordinators.open(number, record, at, now) {
                        self.answer(ToSidecar::Welcome(welcome), now);
                        if let Some((complete, departures)) =
                            coordinators.departures_for(number, true, now)
                        {
                            self.answer(ToSidecar::Departures { complete, departures }, now);
                        }
                        self.is_linked = true;
                        let synced_at = coordinators.synced_at(number, &held, now);
                        self.answer(ToSidecar::Held { member: number, sequence }, synced_at);
                    }
                }
                ToCoordinator::Report(record) => {
                    let sequence = record.sequence;
                    coordinators.report(number, record.clone(), now);
                    let synced_at = coordinators.synced_at(number, &record, now);
                    self.answer(ToSidecar::Held { member: number, sequence }, synced_at);
                }
                ToCoordinator::Ping => {
                    coordinators.alive(number, self.boot_id, now);
                    self.answer(ToSidecar::Held { member: number, sequence: 0 }, now);
                }
                ToCoordinator::End => self.end(number, coordinators, now),
            }
        }
    }

    /// The coordinator tells the sidecar what is new about departures.
    fn tell_departures(&mut self, number: usize, coordinators: &mut Coordinators, now: Millis) {
        if !self.coordinator_open || !self.is_linked {
            return;
        }
        if let Some((complete, departures)) = coordinators.departures_for(number, false, now) {
            self.answer(ToSidecar::Departures { complete, departures }, now);
        }
    }

    /// The coordinator closes its end.
    fn end(&mut self, number: usize, coordinators: &mut Coordinators, now: Millis) {
        self.coordinator_open = false;
        coordinators.closed(number, self.boot_id, self.contacts.last_before(now));
    }

    fn deliver_down(&mut self, now: Millis) -> Vec<ToSidecar> {
        let mut received = Vec::new();
        while let Some((_, frame)) = pop_due(&mut self.down, now) {
            if self.sidecar_open {
                self.heard_by_sidecar = now;
                self.welcomed |= matches!(frame, ToSidecar::Welcome(_));
                received.push(frame);
            }
        }
        received
    }
}
