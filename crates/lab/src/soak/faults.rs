//! The faults of one round, drawn from its seed.

use super::callers::repeat_poison;
use super::clock::Clock;
use super::machines::{Machines, CALLERS, COORDINATORS, DRAIN_MS, STOP_MS, UPSTREAMS};
use super::operator::Operator;
use super::upstream::Upstream;
use soak::{Fault, FaultKind, Millis};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
const DOWN_MS: std::ops::Range<u64> = 50..900;
const FREEZE_MS: std::ops::Range<u64> = 500..2_500;
/// One of so many faults comes with a poison request.
const POISON_ONE_OF: u32 = 5;
const POISON_MS: std::ops::Range<u64> = 1_000..6_000;
/// After a fault on a coordinator, until the next one there: the group mends itself meanwhile.
const GROUP_REST: Duration = Duration::from_millis(2_500);
/// Callers that look at the readiness have gone by then.
const NOTICE: Duration = Duration::from_millis(1_500);
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(2);
const READY_LIMIT: Duration = Duration::from_secs(10);
const AFTER_DRAIN: Duration = Duration::from_millis(DRAIN_MS + 1_000);

/// What faults act on.
pub struct Faults<'a> {
    /// The processes.
    pub machines: &'a mut Machines,
    /// The upstreams by machine.
    pub upstreams: &'a BTreeMap<u8, Arc<Upstream>>,
    /// Sends versions between faults.
    pub operator: &'a mut Operator,
    /// Machines whose callers have gone, as bits of the place in [`CALLERS`].
    pub away: &'a Arc<AtomicU64>,
    /// Time.
    pub clock: Clock,
    /// Draws.
    pub random: fastrand::Rng,
    /// What was done.
    pub done: Vec<Fault>,
    group_rests_until: Instant,
    poisons: Vec<JoinHandle<()>>,
}

impl<'a> Faults<'a> {
    /// Nothing done yet.
    pub fn new(
        machines: &'a mut Machines,
        upstreams: &'a BTreeMap<u8, Arc<Upstream>>,
        operator: &'a mut Operator,
        away: &'a Arc<AtomicU64>,
        clock: Clock,
        seed: u64,
    ) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let done = Vec::new();
        let group_rests_until = Instant::now();
        Faults {
            machines,
            upstreams,
            operator,
            away,
            clock,
            random,
            done,
            group_rests_until,
            poisons: Vec::new(),
        }
    }

    /// Strikes for a time.
    pub fn run(&mut self, time: Duration) -> std::io::Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.random.u32(0..POISON_ONE_OF) == 0 {
                self.begin_poison();
            }
            match self.random.u32(0..10) {
                0 | 1 => self.kill_sidecar()?,
                2 => self.freeze_sidecar(),
                3 => self.stop_sidecar()?,
                4 | 5 => self.drain_upstream(),
                6 => self.strike_coordinator(FaultKind::Kill)?,
                7 => self.strike_coordinator(FaultKind::Freeze)?,
                8 => self.strike_coordinator(FaultKind::Wipe)?,
                _ => self.kill_all_coordinators()?,
            }
            self.operator.send_next(ACKNOWLEDGE_LIMIT);
            self.sleep(PAUSE_MS);
        }
        for poison in self.poisons.drain(..) {
            drop(poison.join());
        }
        Ok(())
    }

    /// A caller begins to repeat a request that crashes upstreams, beside the faults that follow.
    fn begin_poison(&mut self) {
        let number = self.random.u64(1..=u64::MAX);
        let time = Duration::from_millis(self.random.u64(POISON_MS));
        self.poisons.push(repeat_poison(self.machines, number, time));
    }

    pub(super) fn sleep(&mut self, span_ms: std::ops::Range<u64>) {
        thread::sleep(Duration::from_millis(self.random.u64(span_ms)));
    }

    fn any_of(&mut self, hosts: &[u8]) -> u8 {
        hosts[self.random.usize(..hosts.len())]
    }

    pub(super) fn note(&mut self, kind: FaultKind, machine: u8, from: Millis) {
        let to = self.clock.now();
        let coordinators = COORDINATORS.contains(&machine);
        self.done.push(Fault { kind, machine, coordinators, from, to });
    }

    fn kill_sidecar(&mut self) -> std::io::Result<()> {
        let hosts = [&UPSTREAMS[..], &CALLERS[..]].concat();
        let host = self.any_of(&hosts);
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.kill();
        }
        self.sleep(DOWN_MS);
        self.machines.start(host, false)?;
        self.note(FaultKind::Kill, host, from);
        Ok(())
    }

    fn freeze_sidecar(&mut self) {
        let host = self.any_of(&UPSTREAMS);
        self.freeze(host);
    }

    fn freeze(&mut self, host: u8) {
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.freeze();
        }
        self.sleep(FREEZE_MS);
        if let Some(process) = self.machines.process(host) {
            process.wake();
        }
        self.note(FaultKind::Freeze, host, from);
    }

    /// A planned stop; callers of the machine notice it by its readiness.
    fn stop_sidecar(&mut self) -> std::io::Result<()> {
        let hosts = [&UPSTREAMS[..], &CALLERS[..]].concat();
        let host = self.any_of(&hosts);
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.terminate();
        }
        let bit = CALLERS.iter().position(|caller| *caller == host).map_or(0, |place| 1 << place);
        thread::sleep(NOTICE);
        self.away.fetch_or(bit, Ordering::SeqCst);
        if let Some(process) = self.machines.process(host) {
            process.wait_ended(Duration::from_millis(STOP_MS));
        }
        self.machines.start(host, false)?;
        self.wait_ready(host);
        self.away.fetch_and(!bit, Ordering::SeqCst);
        self.note(FaultKind::Stop, host, from);
        Ok(())
    }

    fn wait_ready(&self, host: u8) {
        let end = Instant::now() + READY_LIMIT;
        while !self.machines.is_ready(host) && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn drain_upstream(&mut self) {
        let host = self.any_of(&UPSTREAMS);
        let Some(upstream) = self.upstreams.get(&host) else {
            return;
        };
        let incarnation = upstream.incarnation();
        if upstream.drain() {
            let from = self.clock.now();
            thread::sleep(AFTER_DRAIN);
            if upstream.incarnation() != incarnation {
                // A poison request ended it meanwhile; the next one did not say that it leaves.
                return;
            }
            self.note(FaultKind::Drain, host, from);
        }
        upstream.return_anew();
    }

    fn strike_coordinator(&mut self, kind: FaultKind) -> std::io::Result<()> {
        self.let_group_rest();
        let host = self.any_of(&COORDINATORS);
        if kind == FaultKind::Freeze {
            self.freeze(host);
        } else {
            let from = self.clock.now();
            if let Some(process) = self.machines.process(host) {
                process.kill();
            }
            if kind == FaultKind::Wipe {
                self.machines.wipe(host)?;
            }
            self.sleep(DOWN_MS);
            self.machines.start(host, false)?;
            self.note(kind, host, from);
        }
        self.group_rests_until = Instant::now() + GROUP_REST;
        Ok(())
    }

    pub(super) fn kill_all_coordinators(&mut self) -> std::io::Result<()> {
        self.let_group_rest();
        let from = self.clock.now();
        for host in COORDINATORS {
            if let Some(process) = self.machines.process(host) {
                process.kill();
            }
        }
        self.sleep(DOWN_MS);
        for host in COORDINATORS {
            self.machines.start(host, false)?;
        }
        self.note(FaultKind::Kill, COORDINATORS[0], from);
        self.group_rests_until = Instant::now() + GROUP_REST;
        Ok(())
    }

    fn let_group_rest(&self) {
        thread::sleep(self.group_rests_until.saturating_duration_since(Instant::now()));
    }
}
