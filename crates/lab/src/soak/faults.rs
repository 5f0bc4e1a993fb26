//! Injects the faults of one round, drawn from its seed.

use super::callers::repeat_poison;
use super::clock::Clock;
use super::machines::{
    host_bit, is_coordinator, Machines, CALLERS, COORDINATORS, DRAIN_MS, STOP_LIMIT_MS, UPSTREAMS,
};
use super::operator::Operator;
use super::upstream::Upstream;
use soak::{Fault, FaultKind, Millis};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const FAULT_PAUSE_MS: std::ops::Range<u64> = 300..1_500;
const DOWNTIME_MS: std::ops::Range<u64> = 50..900;
const FREEZE_MS: std::ops::Range<u64> = 500..2_500;
/// One in this many faults, on average, comes with a poison request.
const POISON_ODDS: u32 = 5;
const POISON_MS: std::ops::Range<u64> = 1_000..6_000;
/// Pause between two faults on coordinators, in which their group recovers.
const GROUP_RECOVERY: Duration = Duration::from_millis(2_500);
/// Time after which callers that watch the readiness have stopped calling.
pub(super) const READINESS_NOTICE_DELAY: Duration = Duration::from_millis(1_500);
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_WAIT: Duration = Duration::from_millis(DRAIN_MS + 1_000);

/// Fault injector of one round.
pub struct Faults<'a> {
    /// Processes of the fleet.
    pub machines: &'a mut Machines,
    /// Upstreams by host number.
    pub upstreams: &'a BTreeMap<u8, Arc<Upstream>>,
    /// Sends versions between faults.
    pub operator: &'a mut Operator,
    /// Machines whose callers are told to open no connections, by [`host_bit`].
    pub inactive_callers: &'a Arc<AtomicU64>,
    /// Clock of the round.
    pub clock: Clock,
    /// Random generator of the seed.
    pub random: fastrand::Rng,
    /// Faults injected so far.
    pub done: Vec<Fault>,
    group_recovered_at: Instant,
    poison_callers: Vec<JoinHandle<()>>,
}

impl<'a> Faults<'a> {
    /// Creates an injector that has injected no fault.
    pub fn new(
        machines: &'a mut Machines,
        upstreams: &'a BTreeMap<u8, Arc<Upstream>>,
        operator: &'a mut Operator,
        inactive_callers: &'a Arc<AtomicU64>,
        clock: Clock,
        seed: u64,
    ) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let done = Vec::new();
        let group_recovered_at = Instant::now();
        Faults {
            machines,
            upstreams,
            operator,
            inactive_callers,
            clock,
            random,
            done,
            group_recovered_at,
            poison_callers: Vec::new(),
        }
    }

    /// Injects faults for `time`, and a new configuration version after each.
    pub fn run(&mut self, time: Duration) -> std::io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            if self.random.u32(0..POISON_ODDS) == 0 {
                self.start_poison_caller();
            }
            match self.random.u32(0..10) {
                0 | 1 => self.kill_sidecar()?,
                2 => self.freeze_sidecar(),
                3 => self.stop_sidecar()?,
                4 | 5 => self.drain_upstream(),
                6 => self.inject_coordinator_fault(FaultKind::Kill)?,
                7 => self.inject_coordinator_fault(FaultKind::Freeze)?,
                8 => self.inject_coordinator_fault(FaultKind::Wipe)?,
                _ => self.kill_all_coordinators()?,
            }
            self.operator.send_next_version(ACKNOWLEDGE_TIMEOUT);
            self.sleep(FAULT_PAUSE_MS);
        }
        for poison_caller in self.poison_callers.drain(..) {
            drop(poison_caller.join());
        }
        Ok(())
    }

    /// Starts a caller that repeats a request that crashes upstreams during the following faults.
    fn start_poison_caller(&mut self) {
        let number = self.random.u64(1..=u64::MAX);
        let time = Duration::from_millis(self.random.u64(POISON_MS));
        self.poison_callers.push(repeat_poison(self.machines, number, time));
    }

    pub(super) fn sleep(&mut self, span_ms: std::ops::Range<u64>) {
        thread::sleep(Duration::from_millis(self.random.u64(span_ms)));
    }

    pub(super) fn pick_host(&mut self, hosts: &[u8]) -> u8 {
        hosts[self.random.usize(..hosts.len())]
    }

    pub(super) fn record_fault(&mut self, kind: FaultKind, machine: u8, from: Millis) {
        let to = self.clock.now();
        let coordinators = is_coordinator(machine);
        self.done.push(Fault { kind, machine, coordinators, from, to });
    }

    fn kill_sidecar(&mut self) -> std::io::Result<()> {
        self.kill_one_of(&[&UPSTREAMS[..], &CALLERS[..]].concat())
    }

    /// Kills and restarts the sidecar of one of these machines.
    pub(super) fn kill_one_of(&mut self, hosts: &[u8]) -> std::io::Result<()> {
        let host = self.pick_host(hosts);
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.kill();
        }
        self.sleep(DOWNTIME_MS);
        self.machines.start(host, false)?;
        self.record_fault(FaultKind::Kill, host, from);
        Ok(())
    }

    pub(super) fn freeze_sidecar(&mut self) {
        let host = self.pick_host(&UPSTREAMS);
        self.freeze(host);
    }

    fn freeze(&mut self, host: u8) {
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.freeze();
        }
        self.sleep(FREEZE_MS);
        if let Some(process) = self.machines.process(host) {
            process.resume();
        }
        self.record_fault(FaultKind::Freeze, host, from);
    }

    /// Stops a sidecar with SIGTERM and restarts it; its callers notice through its readiness.
    pub(super) fn stop_sidecar(&mut self) -> std::io::Result<()> {
        let hosts = [&UPSTREAMS[..], &CALLERS[..]].concat();
        let host = self.pick_host(&hosts);
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.terminate();
        }
        thread::sleep(READINESS_NOTICE_DELAY);
        self.inactive_callers.fetch_or(host_bit(host), Ordering::SeqCst);
        if let Some(process) = self.machines.process(host) {
            process.wait_exit(Duration::from_millis(STOP_LIMIT_MS));
        }
        self.machines.start(host, false)?;
        self.wait_ready(host);
        self.inactive_callers.fetch_and(!host_bit(host), Ordering::SeqCst);
        self.record_fault(FaultKind::Stop, host, from);
        Ok(())
    }

    pub(super) fn wait_ready(&self, host: u8) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_coordinator(host) && !self.machines.is_ready(host) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn drain_upstream(&mut self) {
        let host = self.pick_host(&UPSTREAMS);
        let Some(upstream) = self.upstreams.get(&host) else {
            return;
        };
        let incarnation = upstream.incarnation();
        if upstream.announce_draining() {
            let from = self.clock.now();
            thread::sleep(DRAIN_WAIT);
            if upstream.incarnation() != incarnation {
                // A poison request crashed it meanwhile; the new incarnation did not announce
                // draining.
                return;
            }
            self.record_fault(FaultKind::Drain, host, from);
        }
        upstream.begin_new_incarnation();
    }

    fn inject_coordinator_fault(&mut self, kind: FaultKind) -> std::io::Result<()> {
        self.wait_for_group_recovery();
        let host = self.pick_host(&COORDINATORS);
        if kind == FaultKind::Freeze {
            self.freeze(host);
        } else {
            let from = self.clock.now();
            if let Some(process) = self.machines.process(host) {
                process.kill();
            }
            if kind == FaultKind::Wipe {
                self.machines.delete_data_dir(host)?;
            }
            self.sleep(DOWNTIME_MS);
            self.machines.start(host, false)?;
            self.record_fault(kind, host, from);
        }
        self.group_recovered_at = Instant::now() + GROUP_RECOVERY;
        Ok(())
    }

    pub(super) fn kill_all_coordinators(&mut self) -> std::io::Result<()> {
        self.wait_for_group_recovery();
        let from = self.clock.now();
        for host in COORDINATORS {
            if let Some(process) = self.machines.process(host) {
                process.kill();
            }
        }
        self.sleep(DOWNTIME_MS);
        for host in COORDINATORS {
            self.machines.start(host, false)?;
        }
        self.record_fault(FaultKind::Kill, COORDINATORS[0], from);
        self.group_recovered_at = Instant::now() + GROUP_RECOVERY;
        Ok(())
    }

    fn wait_for_group_recovery(&self) {
        thread::sleep(self.group_recovered_at.saturating_duration_since(Instant::now()));
    }
}
