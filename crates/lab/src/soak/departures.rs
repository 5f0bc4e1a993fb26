//! Upstreams of one machine leave while it is cut off from the coordinators, and its sidecar is killed
//! before or after it acknowledged that.

use super::faults::Faults;
use super::machines::{COORDINATORS, DRAIN_MS, UPSTREAMS};
use soak::FaultKind;
use std::thread;
use std::time::{Duration, Instant};

/// The machine that is struck.
pub const HOST: u8 = UPSTREAMS[0];
/// Pauses between the strikes, shorter and longer than an acknowledgement without coordinators takes.
const STRIKE_PAUSE_MS: std::ops::Range<u64> = 0..1_200;
const DOWNTIME_MS: std::ops::Range<u64> = 50..900;
/// From the last strike until the links are joined; a link is given up after 3 s.
const CUT_MS: std::ops::Range<u64> = 0..4_000;
/// An upstream whose departure nobody acknowledges ends after this time.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the upstream serves on after the links were joined.
const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 2_500);
/// From the start of a new incarnation until its sidecar has heard of it and calls reach it.
const REGISTERED_DELAY: Duration = Duration::from_millis(1_000);

impl Faults<'_> {
    /// Strikes the machine around departures, one after the other.
    pub fn run_departures(&mut self, time: Duration) -> std::io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            self.strike_departure()?;
            thread::sleep(REGISTERED_DELAY);
        }
        Ok(())
    }

    fn strike_departure(&mut self) -> std::io::Result<()> {
        let Some(upstream) = self.upstreams.get(&HOST).cloned() else {
            return Ok(());
        };
        let links = self.machines.cuttable_links().cloned();
        let links = links.filter(|_| self.random.u32(0..4) > 0);
        if let Some(links) = &links {
            links.cut();
            self.sleep(STRIKE_PAUSE_MS);
        }
        let killed_before = self.random.bool();
        if killed_before {
            self.kill_beside()?;
        }
        // One that drains goes on with its heartbeats, which tell the next process the same.
        let announces = self.random.u32(0..4) == 0;
        let give_up = Instant::now() + LEAVE_TIMEOUT;
        let mut acknowledged = false;
        while !acknowledged && Instant::now() < give_up {
            acknowledged = if announces { upstream.announce_draining() } else { upstream.leave() };
        }
        let from = self.clock.now();
        if !killed_before || self.random.bool() {
            self.sleep(STRIKE_PAUSE_MS);
            self.kill_beside()?;
        }
        if let Some(links) = &links {
            self.sleep(CUT_MS);
            links.join();
        }
        thread::sleep(SERVES_ON);
        if acknowledged {
            self.record_fault(FaultKind::Drain, HOST, from);
        }
        upstream.begin_new_incarnation();
        Ok(())
    }

    /// Kills the sidecar of the machine, and at times a coordinator at the same moment.
    fn kill_beside(&mut self) -> std::io::Result<()> {
        let from = self.clock.now();
        let with_coordinator = self.random.u32(0..4) == 0;
        let coordinator = with_coordinator.then(|| self.pick_host(&COORDINATORS));
        let hosts: Vec<u8> = [HOST].into_iter().chain(coordinator).collect();
        for host in &hosts {
            if let Some(process) = self.machines.process(*host) {
                process.kill();
            }
        }
        self.sleep(DOWNTIME_MS);
        for host in hosts {
            self.machines.start(host, false)?;
            self.record_fault(FaultKind::Kill, host, from);
        }
        Ok(())
    }
}
