//! Sidecars and coordinators that tell each other of poison requests, in virtual time.

use http1::{Headers, Request};
use mesh::{Fingerprint, HopReply, NodeAddress, PoisonNotice};
use quarantine::{NoticeLog, RequestIdentity, RequestStatus};
use sidecar::PoisonWatch;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use tracing::info;

/// Within this time after the last fault every sidecar runs a request that was cleared: the stated
/// time for any change to be in force everywhere, milliseconds.
pub const SERVE_ALL_MS: u64 = 6_000;
/// The same time, for word of a quarantine.
pub const SPREAD_MS: u64 = 6_000;
/// Longest that it may take a poison request to be found out once it is called, milliseconds.
const FOUND_OUT_MS: u64 = 20_000;

const SERVICE: &str = "svc";
const STEP_MS: u64 = 10;
const CALLERS: usize = 2;
const SIDECARS: usize = 6;
const COORDINATORS: usize = 3;
/// Coordinators that a sidecar is linked to; it subscribes to one of them.
const LINKS: usize = 2;
/// Time between two tellings of a coordinator to others, as in its loop.
const EXCHANGE_MS: u64 = 50;
/// Time between two calls, and from the end of an upstream to its next start.
const CALL_MS: u64 = 60;
const RESTART_MS: u64 = 1_000;
/// An operator acts some time after the request was found out.
const OPERATOR_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Node {
    Sidecar(usize),
    Coordinator(usize),
}

/// One way from one process to another.
#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Rises with each connection that is made.
    number: u64,
    delay_ms: u64,
    /// When the last frame arrives: those after it come no earlier.
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
    /// Connections that are down, and until when.
    down: BTreeMap<(Node, Node), u64>,
    next_number: u64,
    watches: Vec<PoisonWatch>,
    boards: Vec<NoticeLog>,
    upstreams: Vec<Upstream>,
    /// Which coordinators a sidecar is linked to; the first that is there tells it of others.
    linked: Vec<Vec<usize>>,
    subscribed: Vec<Option<usize>>,
    told: BTreeMap<(Node, Node), u64>,
    /// How often each coordinator started anew.
    restarts: [u32; COORDINATORS],
    crashes: u32,
    mended: bool,
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
        body: Vec::new(),
    }
}

fn poison() -> Fingerprint {
    let identity =
        RequestIdentity { service: SERVICE, method: "GET", target: "/poison", host: "", body: b"" };
    identity.fingerprint()
}

fn refusal() -> HopReply {
    HopReply::decode("r 0 0 9 0 0 0 r").expect("it is one")
}

impl Fleet {
    /// A fleet that is linked, and calm.
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
            told: BTreeMap::new(),
            restarts: [0; COORDINATORS],
            crashes: 0,
            mended: false,
            next_fault: None,
            faults_end: 0,
        };
        fleet.run_until(fleet.now + 1_000);
        fleet
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    /// Upstreams that ended so far.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    pub fn mend_upstreams(&mut self) {
        self.mended = true;
    }

    /// Faults begin to come now, and end at a time.
    pub fn faults_until(&mut self, end: u64) {
        self.next_fault = Some(self.now);
        self.faults_end = end;
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }

    /// Callers repeat the request until two more upstreams ended and a coordinator says so; an error
    /// if that does not happen.
    pub fn crash_until_in_quarantine(&mut self) -> Result<(), String> {
        let (before, end) = (self.crashes, self.now + FOUND_OUT_MS);
        while self.crashes < before + 2 || !self.is_listed() {
            if self.now >= end {
                let holder = self.who_keeps_it_away();
                return Err(format!("not run again for {FOUND_OUT_MS} ms: {holder:?}"));
            }
            self.call();
            self.run_until(self.now + CALL_MS);
        }
        Ok(())
    }

    pub fn call_often_until(&mut self, end: u64) {
        while self.now < end {
            self.call();
            self.run_until(self.now + CALL_MS);
        }
    }

    fn is_listed(&self) -> bool {
        self.boards.iter().any(|board| !board.entries(self.now).is_empty())
    }

    /// An operator clears the request at a coordinator that lists it, and at another one if that ends
    /// before another has it; returns when it is done. Faults come from a moment before.
    pub fn clear_it(&mut self) -> u64 {
        let clears_at = self.now + OPERATOR_MS;
        let ahead_ms = self.random.u64(0..300);
        self.run_until(clears_at - ahead_ms);
        self.faults_until(clears_at + 1_000);
        self.run_until(clears_at);
        while !self.clear_once() {}
        self.now
    }

    /// Whether it is cleared: no coordinator lists it, or a second one has the clearing.
    fn clear_once(&mut self) -> bool {
        let clears = |board: &mut NoticeLog| board.clear(poison(), self.now);
        let Some(coordinator) = self.boards.iter_mut().position(clears) else {
            return true;
        };
        info!(at_ms = self.now, coordinator, "cleared");
        let restarts = self.restarts[coordinator];
        let end = self.now + FOUND_OUT_MS;
        while self.restarts[coordinator] == restarts {
            assert!(self.now < end, "no other coordinator has the clearing");
            if !self.boards[coordinator].awaits_replication(poison()) {
                return true;
            }
            self.step();
        }
        false
    }

    /// A sidecar that keeps the request from upstreams, if there is one.
    pub fn who_keeps_it_away(&self) -> Option<String> {
        let holds = |sidecar: &usize| self.left_ms(*sidecar).is_some();
        let holder = (0..SIDECARS).find(holds)?;
        let board = self.boards.iter().position(|board| !board.entries(self.now).is_empty());
        Some(format!("sidecar {holder} keeps it away; a coordinator that does: {board:?}"))
    }

    fn left_ms(&self, sidecar: usize) -> Option<u64> {
        match self.watches[sidecar].standing(SERVICE, &request(), self.now) {
            RequestStatus::Quarantined { left_ms } => Some(left_ms),
            RequestStatus::Suspect | RequestStatus::Clear => None,
        }
    }

    /// One caller sends the request to one upstream.
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
        if self.mended {
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
        self.strike();
        self.connect();
        self.deliver();
        self.tell();
    }

    /// Links and connections between coordinators that may be made are made.
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
                let known = self.watches[sidecar].full_report(now);
                self.send(here, there, known);
            }
            self.subscribe(sidecar);
        }
        for from in 0..COORDINATORS {
            for to in (0..COORDINATORS).filter(|to| *to != from) {
                let (from, to) = (Node::Coordinator(from), Node::Coordinator(to));
                if !self.connections.contains_key(&(from, to)) && !self.is_down(from, to) {
                    self.open(from, to);
                    self.told.remove(&(from, to));
                }
            }
        }
    }

    /// A sidecar without a coordinator that tells it of others asks one.
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
            self.told.remove(&(Node::Coordinator(coordinator), Node::Sidecar(sidecar)));
        }
    }

    fn is_down(&self, from: Node, to: Node) -> bool {
        self.down.contains_key(&(from, to)) || self.down.contains_key(&(to, from))
    }

    fn open(&mut self, from: Node, to: Node) {
        let calm = self.next_fault.is_none();
        let slow = !calm && self.random.u8(..) < 40;
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
            let held = self.connections.get(&(frame.from, frame.to));
            if held.is_none_or(|held| held.number != frame.number) {
                continue;
            }
            match frame.to {
                Node::Sidecar(sidecar) => {
                    info!(at_ms = self.now, sidecar, from = ?frame.from, "told");
                    self.watches[sidecar].apply_notices(frame.notices, self.now);
                }
                Node::Coordinator(coordinator) => {
                    let here = matches!(frame.from, Node::Sidecar(_));
                    for notice in frame.notices {
                        let (age_ms, news) = (notice.age_ms, notice.event.clone());
                        let taken =
                            self.boards[coordinator].apply(notice, here, self.now).is_some();
                        let at_ms = self.now;
                        info!(at_ms, coordinator, from = ?frame.from, age_ms, ?news, taken, "told");
                    }
                }
            }
        }
    }

    fn tell(&mut self) {
        for sidecar in 0..SIDECARS {
            let untold = self.watches[sidecar].take_unsent();
            for coordinator in self.linked[sidecar].clone() {
                self.send(Node::Sidecar(sidecar), Node::Coordinator(coordinator), untold.clone());
            }
            if let Some(coordinator) = self.subscribed[sidecar] {
                let ends = (Node::Coordinator(coordinator), Node::Sidecar(sidecar));
                let position = self.told.get(&ends).copied().unwrap_or(0);
                let notices = self.boards[coordinator].since(position, self.now);
                self.told.insert(ends, self.boards[coordinator].position());
                self.send(ends.0, ends.1, notices);
            }
        }
        if self.now.is_multiple_of(EXCHANGE_MS) {
            self.exchange();
        }
    }

    /// Coordinators tell each other what sidecars told them.
    fn exchange(&mut self) {
        for from in 0..COORDINATORS {
            for to in (0..COORDINATORS).filter(|to| *to != from) {
                let ends = (Node::Coordinator(from), Node::Coordinator(to));
                let notices = match self.told.get(&ends) {
                    Some(position) => self.boards[from].forwarded_since(*position, self.now),
                    None => self.boards[from].all(self.now),
                };
                self.told.insert(ends, self.boards[from].position());
                self.send(ends.0, ends.1, notices);
            }
        }
    }

    /// A connection is lost, a coordinator starts anew or is cut off, a sidecar without an upstream
    /// starts anew.
    fn strike(&mut self) {
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
        self.told.retain(|(from, _), _| *from != coordinator);
    }
}
