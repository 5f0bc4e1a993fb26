//! Planned work only: stops, reloads, new versions and departures, in series and overlapping. No call may
//! be lost in it.

use super::faults::Faults;
use super::machines::{host_bit, CALLERS, COORDINATORS, DRAIN_MS, STOP_LIMIT_MS, UPSTREAMS};
use soak::FaultKind;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const PAUSE_MS: std::ops::Range<u64> = 20..600;
/// Between the signals to two processes that stop at the same time.
const OVERLAP_MS: std::ops::Range<u64> = 1..900;
const VERSIONS_IN_SERIES: std::ops::RangeInclusive<u32> = 1..=5;
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(4);

impl Faults<'_> {
    /// Plans work for `time`.
    pub fn run_planned(&mut self, time: Duration) -> std::io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            match self.random.u32(0..9) {
                0..=2 => self.stop_one(&CALLERS)?,
                3 => self.stop_one(&UPSTREAMS)?,
                4 => self.stop_two()?,
                5 => self.stop_one(&COORDINATORS)?,
                6 => self.leave_in_order(),
                7 => self.stop_in_turn()?,
                _ => self.reload_all(),
            }
            for _ in 0..self.random.u32(VERSIONS_IN_SERIES) {
                self.operator.send_next_version(ACKNOWLEDGE_TIMEOUT);
            }
            self.sleep(PAUSE_MS);
        }
        Ok(())
    }

    fn stop_one(&mut self, hosts: &[u8]) -> std::io::Result<()> {
        let host = self.pick_host(hosts);
        self.stop_together(&[host])
    }

    /// Stops a sidecar of callers and one of an upstream, the second while the first is stopping. The
    /// other sidecar of callers and three upstreams stay.
    fn stop_two(&mut self) -> std::io::Result<()> {
        let hosts = [self.pick_host(&CALLERS), self.pick_host(&UPSTREAMS)];
        self.stop_together(&hosts)
    }

    /// Stops processes one shortly after the other and starts them again; new versions come meanwhile.
    fn stop_together(&mut self, hosts: &[u8]) -> std::io::Result<()> {
        let mut signaled = Vec::new();
        for host in hosts {
            signaled.push(self.clock.now());
            if let Some(process) = self.machines.process(*host) {
                process.terminate();
            }
            self.sleep(OVERLAP_MS);
        }
        self.operator.send_next_version(ACKNOWLEDGE_TIMEOUT);
        for (host, from) in hosts.iter().zip(signaled) {
            self.wait_until_stopped(*host);
            self.machines.start(*host, false)?;
            self.wait_ready(*host);
            self.tell_callers(*host, true);
            self.record_fault(FaultKind::Stop, *host, from);
        }
        Ok(())
    }

    /// Waits for the end of a process; callers that watch the readiness open no connections meanwhile.
    fn wait_until_stopped(&mut self, host: u8) {
        thread::sleep(super::faults::READINESS_NOTICE_DELAY);
        self.tell_callers(host, false);
        if let Some(process) = self.machines.process(host) {
            process.wait_exit(Duration::from_millis(STOP_LIMIT_MS));
        }
    }

    pub(super) fn tell_callers(&self, host: u8, is_ready: bool) {
        match is_ready {
            true => self.inactive_callers.fetch_and(!host_bit(host), Ordering::SeqCst),
            false => self.inactive_callers.fetch_or(host_bit(host), Ordering::SeqCst),
        };
    }

    /// An upstream says that it leaves, serves on for its time, and comes back as a new incarnation.
    fn leave_in_order(&mut self) {
        let host = self.pick_host(&UPSTREAMS);
        let Some(upstream) = self.upstreams.get(&host) else {
            return;
        };
        if upstream.announce_draining() {
            let from = self.clock.now();
            thread::sleep(Duration::from_millis(2 * DRAIN_MS));
            self.record_fault(FaultKind::Drain, host, from);
        }
        upstream.begin_new_incarnation();
    }

    pub(super) fn reload_all(&mut self) {
        for host in CALLERS.into_iter().chain(UPSTREAMS).chain(COORDINATORS) {
            if let Some(process) = self.machines.process(host) {
                process.reload();
            }
        }
    }
}
