//! Simulation in virtual time of sidecars and coordinators that exchange notices of poison requests.

use http1::{Headers, Request};
use mesh::{Fingerprint, HopReply, NodeAddress, PoisonNotice};
use quarantine::{NoticeLog, RequestIdentity, RequestStatus};
use sidecar::PoisonWatch;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use tracing::info;

/// Maximum time after the last fault until every sidecar runs a cleared request, milliseconds: the
/// specified time for any change to be in force everywhere.
pub const CLEARING_SPREAD_MS: u64 = 6_000;
/// The same limit for a quarantine.
pub const QUARANTINE_SPREAD_MS: u64 = 6_000;
/// Maximum time until a poison request that is being called is quarantined, milliseconds.
const DETECTION_MS: u64 = 20_000;

const SERVICE: &str = "svc";
const STEP_MS: u64 = 10;
const CALLERS: usize = 2;
const SIDECARS: usize = 6;
const COORDINATORS: usize = 3;
/// Number of coordinators that a sidecar is linked to; it subscribes to one of them.
const LINKS: usize = 2;
/// Interval at which a coordinator sends its notices to the others, as in its production loop.
const EXCHANGE_INTERVAL_MS: u64 = 50;
/// Interval between calls.
const CALL_INTERVAL_MS: u64 = 60;
/// Time from the crash of an upstream to its restart.
const RESTART_MS: u64 = 1_000;
/// Time until an operator clears a quarantined request.
const OPERATOR_DELAY_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Node {
    Sidecar(usize),
    Coordinator(usize),
}

/// One direction of a connection between two processes.
#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Increases with each connection, so that frames of earlier connections are recognized.
    number: u64,
    delay_ms: u64,
    /// Arrival time of the last frame; later frames do not arrive before it.
    last_at: u64,
}

struct Frame {
    from: Node,
    to: Node,
    number: u64,
    notices: Vec<PoisonNotice>,
}

struct Upstream {
    starts: u32,
    back_at: u64,
}

pub struct Fleet {
    random: fastrand::Rng,
    now: u64,
    sequence: u64,
    frames: BTreeMap<(u64, u64), Frame>,
    connections: BTreeMap<(Node, Node), Connection>,
    /// Connections that cannot be opened, with the time when they can be again.
    down: BTreeMap<(Node, Node), u64>,
    next_number: u64,
    watches: Vec<PoisonWatch>,
    boards: Vec<NoticeLog>,
    upstreams: Vec<Upstream>,
    /// Coordinators that each sidecar is linked to; it subscribes to the first that is reachable.
    linked: Vec<Vec<usize>>,
    subscribed: Vec<Option<usize>>,
    /// Position on the sender's notice board up to which the receiver has been sent notices.
    sent_up_to: BTreeMap<(Node, Node), u64>,
    /// Number of restarts of each coordinator.
    restarts: [u32; COORDINATORS],
    crashes: u32,
    fixed: bool,
    next_fault: Option<u64>,
    faults_end: u64,
}

fn address(sidecar: usize) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, sidecar as u8 + 10), port: 8_300 }
}

fn request() -> Request {
    Request {
        method: "GET".to_owned(),
        target: "/poison".to_owned(),
        headers: Headers::default(),
        body: bytes::Bytes::new(),
    }
}

fn poison() -> Fingerprint {
    let identity =
        RequestIdentity { service: SERVICE, method: "GET", target: "/poison", host: "", body: b"" };
    identity.fingerprint()
}

fn refusal() -> HopReply {
    HopReply::decode("r 0 0 9 0 0 0 r").expect("valid reply")
}

impl Fleet {
    /// Creates a connected fleet without faults.
    pub fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let linked = (0..SIDECARS).map(|_| {
            let mut all: Vec<usize> = (0..COORDINATORS).collect();
            random.shuffle(&mut all);
            all.truncate(LINKS);
            all
        });
        let linked: Vec<Vec<usize>> = linked.collect();
        let mut fleet = Fleet {
            random,
            now: 1_000_000,
            sequence: 0,
            frames: BTreeMap::new(),
            connections: BTreeMap::new(),
            down: BTreeMap::new(),
            next_number: 1,
            watches: (0..SIDECARS).map(|sidecar| PoisonWatch::new(address(sidecar))).collect(),
            boards: (0..COORDINATORS).map(|_| NoticeLog::default()).collect(),
            upstreams: (0..SIDECARS).map(|_| Upstream { starts: 1, back_at: 0 }).collect(),
            linked,
            subscribed: vec![None; SIDECARS],
            sent_up_to: BTreeMap::new(),
            restarts: [0; COORDINATORS],
            crashes: 0,
            fixed: false,
            next_fault: None,
            faults_end: 0,
        };
        fleet.run_until(fleet.now + 1_000);
        fleet
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    /// Number of upstream crashes so far.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    pub fn fix_upstreams(&mut self) {
        self.fixed = true;
    }

    /// Injects faults from now until `end`.
    pub fn inject_faults_until(&mut self, end: u64) {
        self.next_fault = Some(self.now);
        self.faults_end = end;
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }

    /// Calls with the request until two more upstreams crashed and a coordinator lists the
    /// quarantine. Fails if that does not happen in time.
    pub fn crash_until_in_quarantine(&mut self) -> Result<(), String> {
        let (before, end) = (self.crashes, self.now + DETECTION_MS);
        while self.crashes < before + 2 || !self.is_listed() {
            if self.now >= end {
                let quarantine = self.find_quarantine();
                return Err(format!(
                    "not run and quarantined in {DETECTION_MS} ms: {quarantine:?}"
                ));
            }
            self.call();
            self.run_until(self.now + CALL_INTERVAL_MS);
        }
        Ok(())
    }

    pub fn call_repeatedly_until(&mut self, end: u64) {
        while self.now < end {
            self.call();
            self.run_until(self.now + CALL_INTERVAL_MS);
        }
    }

    fn is_listed(&self) -> bool {
        self.boards.iter().any(|board| !board.entries(self.now).is_empty())
    }

    /// Lets an operator clear the request at a coordinator that lists it, and again at another one
    /// if the first restarts before it has passed the clearing on. Returns the time of completion.
    /// Faults start shortly before.
    pub fn clear_request(&mut self) -> u64 {
        let clears_at = self.now + OPERATOR_DELAY_MS;
        let ahead_ms = self.random.u64(0..300);
        self.run_until(clears_at - ahead_ms);
        self.inject_faults_until(clears_at + 1_000);
        self.run_until(clears_at);
        while !self.clear_once() {}
        self.now
    }

    /// Clears the request at one coordinator. Returns whether the request is cleared: no
    /// coordinator lists it, or a second one has the clearing.
    fn clear_once(&mut self) -> bool {
        let clear = |board: &mut NoticeLog| board.clear(poison(), self.now);
        let Some(coordinator) = self.boards.iter_mut().position(clear) else {
            return true;
        };
        info!(at_ms = self.now, coordinator, "cleared");
        let restarts = self.restarts[coordinator];
        let end = self.now + DETECTION_MS;
        while self.restarts[coordinator] == restarts {
            assert!(self.now < end, "no other coordinator got the clearing");
            if !self.boards[coordinator].awaits_replication(poison()) {
                return true;
            }
            self.step();
        }
        false
    }

    /// Describes a sidecar that has the request in quarantine, if there is one.
    pub fn find_quarantine(&self) -> Option<String> {
        let has_quarantine = |sidecar: &usize| self.left_ms(*sidecar).is_some();
        let sidecar = (0..SIDECARS).find(has_quarantine)?;
        let board = self.boards.iter().position(|board| !board.entries(self.now).is_empty());
        Some(format!(
            "sidecar {sidecar} has it in quarantine; a coordinator that lists it: {board:?}"
        ))
    }

    fn left_ms(&self, sidecar: usize) -> Option<u64> {
        match self.watches[sidecar].request_status(SERVICE, &request(), self.now) {
            RequestStatus::Quarantined { left_ms } => Some(left_ms),
            RequestStatus::Suspect | RequestStatus::Clear => None,
        }
    }

    /// Sends the request from a random caller to a random upstream.
    pub fn call(&mut self) {
        let caller = self.random.usize(..CALLERS);
        let upstream = self.random.usize(CALLERS..SIDECARS);
        if self.left_ms(caller).is_some() || self.now < self.upstreams[upstream].back_at {
            return;
        }
        if let Some(left_ms) = self.left_ms(upstream) {
            let quarantine_crashes = self.watches[upstream].newest_crashes(SERVICE, &request());
            let quarantine_left_ms = left_ms as u32;
            let refusal = HopReply { quarantine_left_ms, quarantine_crashes, ..refusal() };
            self.watches[caller].note_quarantine_refusal(SERVICE, &request(), &refusal, self.now);
            return;
        }
        if self.fixed {
            self.watches[upstream].note_completed(poison(), self.now);
            return;
        }
        self.crashes += 1;
        let Upstream { starts, back_at } = &mut self.upstreams[upstream];
        let instance = format!("i-{upstream}-{starts}");
        *starts += 1;
        *back_at = self.now + RESTART_MS;
        self.watches[upstream].upstream_ended(&instance, &[poison()], self.now);
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.inject_fault();
        self.connect();
        self.deliver();
        self.send_news();
    }

    /// Opens all links and connections between coordinators that are not down.
    fn connect(&mut self) {
        let now = self.now;
        self.down.retain(|_, until| now < *until);
        for sidecar in 0..SIDECARS {
            for coordinator in self.linked[sidecar].clone() {
                let (here, there) = (Node::Sidecar(sidecar), Node::Coordinator(coordinator));
                if self.connections.contains_key(&(here, there)) || self.is_down(here, there) {
                    continue;
                }
                self.open(here, there);
                self.open(there, here);
                let report = self.watches[sidecar].full_report(now);
                self.send(here, there, report);
            }
            self.subscribe(sidecar);
        }
        for from in 0..COORDINATORS {
            for to in (0..COORDINATORS).filter(|to| *to != from) {
                let (from, to) = (Node::Coordinator(from), Node::Coordinator(to));
                if !self.connections.contains_key(&(from, to)) && !self.is_down(from, to) {
                    self.open(from, to);
                    self.sent_up_to.remove(&(from, to));
                }
            }
        }
    }

    /// Subscribes a sidecar to the first reachable coordinator, unless its subscription is active.
    fn subscribe(&mut self, sidecar: usize) {
        let linked = |coordinator: &usize| {
            let ends = (Node::Coordinator(*coordinator), Node::Sidecar(sidecar));
            self.connections.contains_key(&ends)
        };
        if self.subscribed[sidecar].as_ref().is_some_and(linked) {
            return;
        }
        let next = self.linked[sidecar].iter().copied().find(linked);
        self.subscribed[sidecar] = next;
        if let Some(coordinator) = next {
            self.sent_up_to.remove(&(Node::Coordinator(coordinator), Node::Sidecar(sidecar)));
        }
    }

    fn is_down(&self, from: Node, to: Node) -> bool {
        self.down.contains_key(&(from, to)) || self.down.contains_key(&(to, from))
    }

    fn open(&mut self, from: Node, to: Node) {
        let no_faults = self.next_fault.is_none();
        let slow = !no_faults && self.random.u8(..) < 40;
        let delay_ms = if slow { self.random.u64(300..1_500) } else { self.random.u64(1..40) };
        let number = self.next_number;
        self.next_number += 1;
        self.connections.insert((from, to), Connection { number, delay_ms, last_at: 0 });
    }

    fn close(&mut self, one: Node, other: Node, until: u64) {
        self.connections.remove(&(one, other));
        self.connections.remove(&(other, one));
        self.down.insert((one, other), until);
    }

    fn send(&mut self, from: Node, to: Node, notices: Vec<PoisonNotice>) {
        let Some(connection) = self.connections.get_mut(&(from, to)) else {
            return;
        };
        if notices.is_empty() {
            return;
        }
        let at = connection.last_at.max(self.now + connection.delay_ms);
        connection.last_at = at;
        self.sequence += 1;
        let frame = Frame { from, to, number: connection.number, notices };
        self.frames.insert((at, self.sequence), frame);
    }

    fn deliver(&mut self) {
        let later = self.frames.split_off(&(self.now + 1, 0));
        for (_, frame) in std::mem::replace(&mut self.frames, later) {
            let connection = self.connections.get(&(frame.from, frame.to));
            if connection.is_none_or(|connection| connection.number != frame.number) {
                continue;
            }
            match frame.to {
                Node::Sidecar(sidecar) => {
                    info!(at_ms = self.now, sidecar, from = ?frame.from, "told");
                    self.watches[sidecar].apply_notices(frame.notices, self.now);
                }
                Node::Coordinator(coordinator) => {
                    let from_sidecar = matches!(frame.from, Node::Sidecar(_));
                    for notice in frame.notices {
                        let (age_ms, news) = (notice.age_ms, notice.event.clone());
                        let taken = self.boards[coordinator]
                            .apply(notice, from_sidecar, self.now)
                            .is_some();
                        let at_ms = self.now;
                        info!(at_ms, coordinator, from = ?frame.from, age_ms, ?news, taken, "told");
                    }
                }
            }
        }
    }

    /// Sends the notices of sidecars to their coordinators, and notices of coordinators to
    /// subscribers.
    fn send_news(&mut self) {
        for sidecar in 0..SIDECARS {
            let unsent = self.watches[sidecar].take_unsent();
            for coordinator in self.linked[sidecar].clone() {
                self.send(Node::Sidecar(sidecar), Node::Coordinator(coordinator), unsent.clone());
            }
            if let Some(coordinator) = self.subscribed[sidecar] {
                let ends = (Node::Coordinator(coordinator), Node::Sidecar(sidecar));
                let position = self.sent_up_to.get(&ends).copied().unwrap_or(0);
                let notices = self.boards[coordinator].since(position, self.now);
                self.sent_up_to.insert(ends, self.boards[coordinator].position());
                self.send(ends.0, ends.1, notices);
            }
        }
        if self.now.is_multiple_of(EXCHANGE_INTERVAL_MS) {
            self.exchange();
        }
    }

    /// Sends notices that coordinators got from sidecars to the other coordinators.
    fn exchange(&mut self) {
        for from in 0..COORDINATORS {
            for to in (0..COORDINATORS).filter(|to| *to != from) {
                let ends = (Node::Coordinator(from), Node::Coordinator(to));
                let notices = match self.sent_up_to.get(&ends) {
                    Some(position) => self.boards[from].forwarded_since(*position, self.now),
                    None => self.boards[from].all(self.now),
                };
                self.sent_up_to.insert(ends, self.boards[from].position());
                self.send(ends.0, ends.1, notices);
            }
        }
    }

    /// Injects a fault if one is due: loses a link, cuts off or restarts a coordinator, or restarts
    /// a sidecar without an upstream.
    fn inject_fault(&mut self) {
        let due = self.next_fault.is_some_and(|at| at <= self.now);
        if !due {
            return;
        }
        if self.now >= self.faults_end {
            self.next_fault = None;
            return;
        }
        self.next_fault = Some(self.now + self.random.u64(100..1_200));
        let until = self.now + self.random.u64(20..2_000);
        let coordinator = Node::Coordinator(self.random.usize(..COORDINATORS));
        let fault = self.random.u8(..4);
        info!(at_ms = self.now, fault, ?coordinator, until, "fault");
        match fault {
            0 => {
                let sidecar = Node::Sidecar(self.random.usize(..SIDECARS));
                info!(?sidecar, "link_lost");
                self.close(sidecar, coordinator, until);
            }
            1 => self.cut_off_from_others(coordinator, until),
            2 => self.restart_coordinator(coordinator, until),
            _ => {
                let sidecar = self.random.usize(..CALLERS);
                for other in 0..COORDINATORS {
                    let ends = (Node::Sidecar(sidecar), Node::Coordinator(other));
                    self.close(ends.0, ends.1, self.now + 50);
                }
                self.watches[sidecar] = PoisonWatch::new(address(sidecar));
            }
        }
    }

    fn cut_off_from_others(&mut self, coordinator: Node, until: u64) {
        for other in (0..COORDINATORS).map(Node::Coordinator).filter(|other| *other != coordinator)
        {
            self.close(coordinator, other, until);
        }
    }

    fn restart_coordinator(&mut self, coordinator: Node, until: u64) {
        self.cut_off_from_others(coordinator, until);
        for sidecar in 0..SIDECARS {
            self.close(Node::Sidecar(sidecar), coordinator, until);
        }
        let Node::Coordinator(index) = coordinator else { return };
        self.boards[index] = NoticeLog::default();
        self.restarts[index] += 1;
        self.sent_up_to.retain(|(from, _), _| *from != coordinator);
    }
}
