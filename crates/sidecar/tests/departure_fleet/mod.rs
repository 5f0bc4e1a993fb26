//! Simulation in virtual time of one machine whose upstreams come and go, its sidecar, and three
//! coordinators: the real gate, acknowledgements, registries and their exchange. Sidecar and
//! coordinators are killed, links are cut, and messages are late.

mod coordinators;
mod links;
mod upstream;

use admission::{DrainGate, GateState};
use coordinators::{Coordinators, Welcome, COORDINATORS};
use fastrand::Rng;
use links::{Links, ToSidecar};
use mesh::{Incarnation, InstanceRecord, InstanceState, KnownDeparture, NodeAddress, NodeRecord};
use sidecar::{is_last_word, ConnectionId, DepartureAnswer, HeartbeatTrust, Registrar};
use std::net::Ipv4Addr;
use upstream::{Message, Upstream};

pub type Millis = u64;

pub const DRAIN_MS: Millis = 2_000;
/// Time without disturbance after which a machine counts as in touch.
const CONTACT_MS: Millis = 3_000;
const STEP_MS: Millis = 10;
const DURATION_MS: Millis = 24_000;
/// How long registrations wait for the coordinators' knowledge after a start of the sidecar.
const RESTORE_WAIT_MS: Millis = 800;
const DOWN_MS: std::ops::Range<Millis> = 100..1_200;
/// One in this many steps brings a strike of each kind that no departure draws.
const STRIKE_ODDS: u32 = 1_200;
const CUT_MS: std::ops::Range<Millis> = 200..6_000;
/// A serving upstream must be served this long after its start and the last disturbance: one
/// heartbeat is lost, the next one is late.
const SERVED_AFTER_MS: Millis = 6_000;

/// What the simulated code leaves out, so that the checks can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Whole,
    /// The next three.
    Former,
    /// The leave of an incarnation that is not the current one changes nothing.
    UnknownLeaveForgotten,
    /// Any record from before a restart opens the gate.
    RecordTrusted,
    /// An unheld departure is acknowledged at its first report.
    UnheldAtOnce,
    /// A record opens the gate however long ago the link of its process ended.
    TrustedForLong,
    /// Coordinators keep departures in memory alone.
    ForgottenWithTheCore,
    /// An old record of a ready upstream never opens the gate, and neither does a heartbeat.
    NeverOpens,
}

/// What a history showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Acknowledged departures.
    pub acknowledged: usize,
    /// Those that no coordinator held.
    pub unheld: usize,
    /// Steps at which the gate was open to an upstream too long after its departure was
    /// acknowledged, on a machine in touch.
    pub over: usize,
    /// The same on a machine that is linked but not in touch yet.
    pub over_linked: usize,
    /// Steps at which the gate was closed to a serving upstream long after all disturbances.
    pub shut: usize,
    /// Restarts after which a record opened the gate, and after which it was not trusted.
    pub restored: usize,
    pub awaited: usize,
}

/// The process of the sidecar.
struct Process {
    started_at: Millis,
    gate: DrainGate,
    registrar: Registrar,
    trust: HeartbeatTrust,
    record: NodeRecord,
    welcomed: bool,
    waiting: Vec<(u64, Message)>,
}

pub struct Simulation {
    variant: Variant,
    random: Rng,
    now: Millis,
    process: Option<Process>,
    starts_at: Millis,
    boot_id: u64,
    links: Links,
    coordinators: Coordinators,
    upstream: Upstream,
    /// Acknowledged departures, with the time of the first acknowledgement.
    acknowledged: Vec<(Incarnation, Millis)>,
    disturbed_at: Millis,
    /// What strikes around the departure of the current upstream.
    ambush: Option<Ambush>,
    herd: Option<Herd>,
    outcome: Outcome,
}

/// The whole core and the sidecar are killed at one moment after a departure, once or twice.
#[derive(Clone, Copy, Debug)]
struct Herd {
    /// When each kill comes, and the coordinator that loses its disk then.
    strikes: [Option<(Millis, Option<usize>)>; 2],
}

impl Herd {
    fn draw(leaves_at: Millis, random: &mut Rng) -> Option<Self> {
        if random.u32(..3) > 0 {
            return None;
        }
        let lost_disk = |random: &mut Rng| random.bool().then(|| random.usize(..COORDINATORS));
        let first_at = leaves_at + random.u64(20..1_500);
        let first = Some((first_at, lost_disk(random)));
        let second = (random.u32(..3) == 0)
            .then(|| (first_at + random.u64(5_000..7_000), lost_disk(random)));
        Some(Herd { strikes: [first, second] })
    }
}

/// A cut and one or two kills around a departure.
#[derive(Clone, Copy, Debug)]
struct Ambush {
    cut_at: Millis,
    cut_until: Millis,
    /// Whether all links are cut, or those to two coordinators.
    whole: bool,
    /// When the sidecar is killed, and for how long it is down.
    kills: [(Millis, Millis); 2],
}

impl Ambush {
    /// Draws what strikes around a departure at the given time.
    fn draw(leaves_at: Millis, random: &mut Rng) -> Option<Self> {
        match random.u32(..8) {
            0..3 => Some(Self::around(leaves_at, random)),
            3 => Some(Self::twice(leaves_at, random)),
            4 => Some(Self::at_once(leaves_at, random)),
            _ => None,
        }
    }

    /// The sidecar is killed before the departure or after its acknowledgement, and the cut ends
    /// some time after its next start.
    fn around(leaves_at: Millis, random: &mut Rng) -> Self {
        let cut_at = leaves_at.saturating_sub(random.u64(..1_800));
        let killed_ms = if random.bool() { random.u64(..800) } else { random.u64(800..5_000) };
        let kill_at = cut_at + killed_ms;
        let down_ms = random.u64(DOWN_MS);
        let joined_ms = if random.bool() { random.u64(..500) } else { random.u64(CUT_MS) };
        Ambush {
            cut_at,
            cut_until: kill_at + down_ms + joined_ms,
            whole: random.u32(..4) > 0,
            kills: [(kill_at, down_ms), (0, 0)],
        }
    }

    /// The sidecar is cut off right before the departure, and killed once it may have acknowledged the
    /// first report.
    fn at_once(leaves_at: Millis, random: &mut Rng) -> Self {
        let cut_at = leaves_at.saturating_sub(random.u64(..200));
        let kill_at = leaves_at + random.u64(650..1_200);
        let down_ms = random.u64(50..300);
        Ambush {
            cut_at,
            cut_until: kill_at + down_ms + random.u64(..200),
            whole: true,
            kills: [(kill_at, down_ms), (0, 0)],
        }
    }

    /// The sidecar is killed before the departure and again as soon as the next process may have
    /// acknowledged it, all the while cut off.
    fn twice(leaves_at: Millis, random: &mut Rng) -> Self {
        let kill_at = leaves_at.saturating_sub(random.u64(..600));
        let down_ms = random.u64(50..200);
        let again_at = kill_at + down_ms + random.u64(1_400..1_900);
        Ambush {
            cut_at: kill_at.saturating_sub(random.u64(..150)),
            cut_until: again_at + random.u64(..200),
            whole: true,
            kills: [(kill_at, down_ms), (again_at, random.u64(50..200))],
        }
    }
}

fn address() -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 1), port: 8_300 }
}

impl Simulation {
    pub fn new(seed: u64, variant: Variant) -> Self {
        let mut random = Rng::with_seed(seed);
        let upstream = Upstream::start(&mut random, None, 0);
        Simulation {
            variant,
            now: 0,
            process: None,
            starts_at: 0,
            boot_id: 0,
            links: Links::default(),
            coordinators: Coordinators::new(variant != Variant::ForgottenWithTheCore),
            upstream,
            acknowledged: Vec::new(),
            disturbed_at: 0,
            ambush: None,
            herd: None,
            outcome: Outcome::default(),
            random,
        }
    }

    /// Plays the history to its end.
    pub fn run(mut self) -> Outcome {
        while self.now < DURATION_MS {
            self.now += STEP_MS;
            self.disturb();
            self.start_process();
            self.coordinators.step(self.now);
            self.step_links();
            self.step_upstream();
            self.step_process();
            self.check();
        }
        self.outcome.acknowledged = self.acknowledged.len();
        self.outcome
    }

    /// Draws what strikes the machine, at any time and around departures.
    fn disturb(&mut self) {
        self.strike_ambush();
        self.strike_herd();
        if self.random.u32(..STRIKE_ODDS) == 0 {
            let down_ms = self.random.u64(DOWN_MS);
            self.kill_sidecar(down_ms);
        }
        if self.random.u32(..STRIKE_ODDS) == 0 {
            let until = self.now + self.random.u64(CUT_MS);
            self.links.cut(self.random.usize(..COORDINATORS), until);
        }
        if self.random.u32(..STRIKE_ODDS) == 0 {
            let member = self.random.usize(..COORDINATORS);
            let up_at = self.now + self.random.u64(DOWN_MS);
            self.coordinators.kill(member, up_at);
            self.links.kill_coordinator(member, self.now);
        }
        if self.links.any_cut(self.now) {
            self.disturbed_at = self.now;
        }
    }

    fn strike_ambush(&mut self) {
        if self.upstream.started_at() + STEP_MS == self.now {
            self.ambush = Ambush::draw(self.upstream.leaves_at(), &mut self.random);
            let spared = self.ambush.is_none();
            self.herd =
                spared.then(|| Herd::draw(self.upstream.leaves_at(), &mut self.random)).flatten();
        }
        let Some(ambush) = self.ambush else {
            return;
        };
        if self.now == ambush.cut_at / STEP_MS * STEP_MS {
            let spared =
                if ambush.whole { COORDINATORS } else { self.random.usize(..COORDINATORS) };
            for number in (0..COORDINATORS).filter(|number| *number != spared) {
                self.links.cut(number, ambush.cut_until);
            }
        }
        for (at, down_ms) in ambush.kills {
            if self.now == at / STEP_MS * STEP_MS {
                self.kill_sidecar(down_ms);
            }
        }
    }

    fn strike_herd(&mut self) {
        let strikes = self.herd.map(|herd| herd.strikes).into_iter().flatten().flatten();
        for (at, lost_disk) in strikes {
            if self.now != at / STEP_MS * STEP_MS {
                continue;
            }
            for number in 0..COORDINATORS {
                let up_at = self.now + self.random.u64(DOWN_MS);
                self.coordinators.kill(number, up_at);
                self.links.kill_coordinator(number, self.now);
            }
            if let Some(number) = lost_disk {
                self.coordinators.wipe(number);
            }
            let down_ms = self.random.u64(DOWN_MS);
            self.kill_sidecar(down_ms);
            self.disturbed_at = self.now + DOWN_MS.end;
        }
    }

    fn kill_sidecar(&mut self, down_ms: Millis) {
        if self.process.take().is_some() {
            let reads_all = self.random.bool();
            self.links.kill_sidecar(reads_all);
            self.starts_at = self.now + down_ms;
            self.disturbed_at = self.now;
        }
    }

    fn start_process(&mut self) {
        if self.process.is_some() || self.now < self.starts_at {
            return;
        }
        self.boot_id += 1;
        self.disturbed_at = self.now;
        let record = NodeRecord {
            address: address(),
            boot_id: self.boot_id,
            sequence: 0,
            zone: "a".to_owned(),
            service: "s".to_owned(),
            stopping: false,
            instance: None,
        };
        self.process = Some(Process {
            started_at: self.now,
            gate: DrainGate::new(DRAIN_MS),
            registrar: Registrar::default(),
            trust: HeartbeatTrust::default(),
            record,
            welcomed: false,
            waiting: Vec::new(),
        });
    }

    fn step_links(&mut self) {
        let report = self.process.as_ref().map(|process| process.record.clone());
        let received = self.links.step(report, &mut self.coordinators, &mut self.random, self.now);
        for frame in received {
            match frame {
                ToSidecar::Welcome(welcome) => self.restore(welcome),
                ToSidecar::Departures { complete, departures } => {
                    self.learn_departures(complete, departures);
                }
                ToSidecar::Held { member, sequence } => self.links.held(member, sequence),
            }
        }
    }

    /// What the sidecar does with the record from before its start.
    fn restore(&mut self, Welcome { last, reported_at }: Welcome) {
        let now = self.now;
        let Some(process) = &mut self.process else {
            return;
        };
        process.welcomed = true;
        let uptime_ms = reported_at - process.started_at;
        if let Some(last) = last {
            let trusted = match self.variant {
                Variant::RecordTrusted | Variant::Former => true,
                Variant::TrustedForLong => last.ended_ms.is_some(),
                _ => is_last_word(&last, uptime_ms),
            };
            if let Some(instance) = last.record.instance {
                let was_ready = instance.state == InstanceState::Ready;
                let restored = process.gate.restore(&instance, trusted, now);
                self.outcome.restored += usize::from(restored && was_ready);
                self.outcome.awaited += usize::from(!restored);
                if restored {
                    self.report();
                } else {
                    process.trust.doubt(instance.incarnation());
                }
            }
        }
        self.process_waiting();
    }

    fn learn_departures(&mut self, complete: bool, departures: Vec<KnownDeparture>) {
        let now = self.now;
        let Some(process) = &mut self.process else {
            return;
        };
        let mut changed = false;
        for KnownDeparture { incarnation, state, .. } in departures {
            changed |= process.gate.on_known_departure(&incarnation, state, now);
        }
        let held = match complete && !process.trust.is_informed() {
            true => process.trust.informed(),
            false => None,
        };
        if let Some(held) = held {
            changed |= self.variant != Variant::NeverOpens
                && process.gate.on_report(&held.record, held.sequence, now);
        }
        if changed {
            self.report();
        }
    }

    fn report(&mut self) {
        let Some(process) = &mut self.process else {
            return;
        };
        process.record.instance = process.gate.record(self.now);
        process.record.sequence += 1;
        self.links.report(&process.record, &mut self.random, self.now);
    }

    fn step_upstream(&mut self) {
        let runs = self.process.is_some();
        for (call, message) in self.upstream.step(runs, &mut self.random, self.now) {
            // An opening packet that was lost is sent again: a message may reach the next process.
            if !runs {
                continue;
            }
            let Some(process) = &mut self.process else {
                continue;
            };
            if !process.welcomed && self.now < process.started_at + RESTORE_WAIT_MS {
                process.waiting.push((call, message));
            } else {
                self.register(call, message);
            }
        }
    }

    fn process_waiting(&mut self) {
        let waiting = match &mut self.process {
            Some(process) => std::mem::take(&mut process.waiting),
            None => return,
        };
        for (call, message) in waiting {
            self.register(call, message);
        }
    }

    fn register(&mut self, call: u64, message: Message) {
        let now = self.now;
        let Some(process) = &mut self.process else {
            return;
        };
        let gate = &mut process.gate;
        let (changed, leaving) = match message {
            Message::Heartbeat { record, sequence } => {
                let uptime_ms = now - process.started_at;
                let admitted = process.trust.admits(&record, sequence, uptime_ms);
                let opens = self.variant != Variant::NeverOpens && admitted;
                let changed = opens && gate.on_report(&record, sequence, now);
                (changed, record.state != InstanceState::Ready)
            }
            Message::Leave(incarnation) => {
                let is_current =
                    gate.incarnation().is_some_and(|held| held.may_equal(&incarnation));
                let forgets =
                    matches!(self.variant, Variant::UnknownLeaveForgotten | Variant::Former);
                let forgotten = forgets && !is_current;
                (!forgotten && gate.on_leave(&incarnation, now), true)
            }
        };
        if changed {
            self.report();
        }
        let Some(process) = &mut self.process else {
            return;
        };
        if leaving {
            let connection = ConnectionId::for_tests(1);
            let sequence = process.record.sequence;
            process.registrar.defer(connection, call, sequence, now - process.started_at);
        } else {
            self.upstream.answered(call, now);
        }
    }

    fn step_process(&mut self) {
        let now = self.now;
        let due = self.process.as_ref().is_some_and(|process| {
            !process.welcomed && now >= process.started_at + RESTORE_WAIT_MS
        });
        if due {
            self.process_waiting();
        }
        let Some(process) = &mut self.process else {
            return;
        };
        let links = &self.links;
        let uptime_ms = now - process.started_at;
        let ready = process.registrar.ready(|sequence| links.acknowledged_by(sequence), uptime_ms);
        for (pending, answer) in ready {
            let call = pending.slot;
            let waits = !matches!(self.variant, Variant::UnheldAtOnce | Variant::Former);
            if answer == DepartureAnswer::NotHeld && waits {
                self.upstream.refused(call);
                continue;
            }
            self.outcome.unheld += usize::from(links.acknowledged_by(pending.sequence).0 == 0);
            if let Some(incarnation) = self.upstream.answered(call, now) {
                let known = self.acknowledged.iter().any(|(known, _)| *known == incarnation);
                if !known {
                    self.acknowledged.push((incarnation, now));
                }
            }
        }
        self.call_upstream();
    }

    /// A call reaches the upstream, which may reject it, or state that it is leaving.
    fn call_upstream(&mut self) {
        let now = self.now;
        let Some(process) = &mut self.process else {
            return;
        };
        let gate = &mut process.gate;
        let open = matches!(gate.state(now), GateState::Open | GateState::Closing);
        let Some(incarnation) = gate.incarnation().filter(|_| open).cloned() else {
            return;
        };
        if !now.is_multiple_of(50) {
            return;
        }
        let changed = match self.upstream.serving() {
            Some(serving) if serving.may_equal(&incarnation) => {
                gate.on_confirmed(&incarnation.id);
                self.upstream.states_leaving() && gate.on_leaving(&incarnation, now)
            }
            Some(_) => gate.on_wrong_instance(&incarnation.id),
            None => false,
        };
        if changed {
            self.report();
        }
    }

    fn check(&mut self) {
        let Some(process) = &self.process else {
            return;
        };
        let now = self.now;
        let open = matches!(process.gate.state(now), GateState::Open | GateState::Closing);
        let calm_ms = now - self.disturbed_at;
        let current = process.gate.incarnation();
        let is_over = |(left, at): &(Incarnation, Millis)| {
            now > at + DRAIN_MS && current.is_some_and(|current| current.may_equal(left))
        };
        if open && self.acknowledged.iter().any(is_over) {
            self.outcome.over += usize::from(calm_ms >= CONTACT_MS);
            self.outcome.over_linked += usize::from(process.welcomed);
        }
        let serving_ms = self.upstream.ready_for_ms(now);
        if calm_ms.min(serving_ms) >= SERVED_AFTER_MS && !open {
            self.outcome.shut += 1;
        }
    }
}

/// The record of a ready upstream.
fn ready_record(incarnation: &Incarnation) -> InstanceRecord {
    InstanceRecord {
        id: incarnation.id.clone(),
        version: "v1".to_owned(),
        state: InstanceState::Ready,
        slots: 9,
        cold_remaining_ms: 0,
        born_ms: incarnation.born_ms,
    }
}
