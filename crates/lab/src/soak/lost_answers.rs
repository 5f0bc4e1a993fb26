//! Loses the responses of all upstreams while series of processes are killed. However many calls
//! need a retry, and however often the processes that count retries restart, the service must not
//! receive more retries than the fleet's retry budget allows.

use super::faults::Faults;
use super::machines::{CALLERS, UPSTREAMS};
use soak::{FaultKind, Millis};
use std::sync::atomic::{AtomicBool, Ordering};

/// Responses arrive for long enough that sidecars accumulate their full retry budget.
const BUDGET_REFILL_MS: std::ops::Range<Millis> = 9_000..13_000;
/// From the first lost response to the first kill; the accumulated budget is spent by then.
const BUDGET_SPENT_MS: std::ops::Range<Millis> = 2_000..3_500;
const KILL_PAUSE_MS: std::ops::Range<Millis> = 500..1_500;
const SERIES_COUNT: usize = 2;
const KILLS_PER_SERIES: usize = 6;

impl Faults<'_> {
    /// Runs series of kills while responses are lost.
    pub fn run_lost_answers(&mut self, lose_responses: &AtomicBool) -> std::io::Result<()> {
        for _ in 0..SERIES_COUNT {
            self.sleep(BUDGET_REFILL_MS);
            lose_responses.store(true, Ordering::SeqCst);
            self.sleep(BUDGET_SPENT_MS);
            for _ in 0..KILLS_PER_SERIES {
                self.kill_sidecars()?;
                self.sleep(KILL_PAUSE_MS);
            }
            lose_responses.store(false, Ordering::SeqCst);
        }
        Ok(())
    }

    /// Kills and restarts the callers' sidecars, and at random also those of upstreams or all
    /// coordinators.
    fn kill_sidecars(&mut self) -> std::io::Result<()> {
        if self.random.u32(0..4) == 0 {
            self.kill_all_coordinators()?;
        }
        let with_upstreams = self.random.u32(0..3) == 0;
        let upstreams = if with_upstreams { &UPSTREAMS[..] } else { &[] };
        let hosts = [&CALLERS[..], upstreams].concat();
        let from = self.clock.now();
        for host in &hosts {
            if let Some(process) = self.machines.process(*host) {
                process.kill();
            }
        }
        for host in hosts {
            self.machines.start(host, false)?;
            self.record_fault(FaultKind::Kill, host, from);
        }
        Ok(())
    }
}
