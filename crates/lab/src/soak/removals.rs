//! Core machines are removed for good, with and without a signal, and replaced by empty ones at other
//! addresses; soon after, another one loses its disk.

use super::faults::Faults;
use super::machines::{first_successor, UPSTREAMS};
use soak::FaultKind;
use std::thread;
use std::time::{Duration, Instant};

/// A machine that is new, or returns, has caught up by then, and the one that it replaces counts no more.
const CATCH_UP: Duration = Duration::from_secs(4);
/// From a removal with a signal, or the acknowledgement after one without, until the next lost disk.
const UNTIL_LOSS_MS: std::ops::Range<u64> = 0..4_000;
const DOWNTIME_MS: std::ops::Range<u64> = 50..900;
/// A stopping coordinator is killed after this time.
const STOP_LIMIT: Duration = Duration::from_secs(6);
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(10);

impl Faults<'_> {
    /// Replaces coordinators for `time`, or until no address is left.
    pub fn run_removals(&mut self, time: Duration) -> std::io::Result<()> {
        let deadline = Instant::now() + time;
        let mut successor = first_successor();
        while Instant::now() < deadline && successor < UPSTREAMS[0] {
            self.replace_one(successor)?;
            self.lose_a_disk()?;
            self.operator.send_next_version(ACKNOWLEDGE_TIMEOUT);
            successor += 1;
        }
        Ok(())
    }

    /// Replaces one coordinator, whose successor starts before or after its end.
    fn replace_one(&mut self, successor: u8) -> std::io::Result<()> {
        let removed = self.pick_coordinator();
        let starts_before = self.random.u32(0..4) > 0;
        if starts_before {
            self.add_coordinator(successor)?;
            thread::sleep(CATCH_UP);
        }
        let from = self.clock.now();
        let is_planned = self.random.bool();
        match is_planned {
            true => self.stop_for_good(removed),
            false => self.kill_for_good(removed),
        }
        self.machines.remove(removed)?;
        self.operator.call(self.machines.coordinator_addresses());
        if !starts_before {
            self.sleep(DOWNTIME_MS);
            self.add_coordinator(successor)?;
            thread::sleep(CATCH_UP);
        }
        self.record_fault(FaultKind::Wipe, removed, from);
        if !is_planned {
            // Until then a lost disk may end the group (docs/design/0027).
            self.operator.send_next_version(ACKNOWLEDGE_TIMEOUT);
        }
        self.sleep(UNTIL_LOSS_MS);
        Ok(())
    }

    fn pick_coordinator(&mut self) -> u8 {
        let coordinators = self.machines.coordinators().to_vec();
        self.pick_host(&coordinators)
    }

    fn add_coordinator(&mut self, host: u8) -> std::io::Result<()> {
        self.machines.add_coordinator(host)?;
        self.operator.call(self.machines.coordinator_addresses());
        Ok(())
    }

    fn stop_for_good(&mut self, host: u8) {
        if let Some(process) = self.machines.process(host) {
            process.terminate();
            process.wait_exit(STOP_LIMIT);
            process.kill();
        }
    }

    fn kill_for_good(&mut self, host: u8) {
        if let Some(process) = self.machines.process(host) {
            process.kill();
        }
    }

    /// Another coordinator loses its disk and returns; it counts as lost until it has caught up.
    fn lose_a_disk(&mut self) -> std::io::Result<()> {
        let host = self.pick_coordinator();
        let from = self.clock.now();
        self.kill_for_good(host);
        self.machines.delete_data_dir(host)?;
        self.sleep(DOWNTIME_MS);
        self.machines.start(host, false)?;
        thread::sleep(CATCH_UP);
        self.record_fault(FaultKind::Wipe, host, from);
        Ok(())
    }
}
