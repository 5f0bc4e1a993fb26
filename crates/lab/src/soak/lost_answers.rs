//! Answers of all upstreams are lost while processes end in series: whatever is to be sent again, and
//! however often those who count it end, the service gets no more than the fleet's bound.

use super::faults::Faults;
use super::machines::{CALLERS, UPSTREAMS};
use soak::{FaultKind, Millis};
use std::sync::atomic::{AtomicBool, Ordering};

/// Answers come for so long that sidecars save up what they may send again.
const CALM_MS: std::ops::Range<Millis> = 9_000..13_000;
/// Until the first kill: what was saved up is spent by then.
const SPENT_MS: std::ops::Range<Millis> = 2_000..3_500;
const NEXT_KILL_MS: std::ops::Range<Millis> = 500..1_500;
const SERIES: usize = 2;
const KILLS: usize = 6;

impl Faults<'_> {
    /// Series of kills while answers are lost.
    pub fn run_lost_answers(&mut self, lossy: &AtomicBool) -> std::io::Result<()> {
        for _ in 0..SERIES {
            self.sleep(CALM_MS);
            lossy.store(true, Ordering::SeqCst);
            self.sleep(SPENT_MS);
            for _ in 0..KILLS {
                self.kill_callers_sidecars()?;
                self.sleep(NEXT_KILL_MS);
            }
            lossy.store(false, Ordering::SeqCst);
        }
        Ok(())
    }

    /// Those of callers, and now and then those of upstreams or all coordinators as well.
    fn kill_callers_sidecars(&mut self) -> std::io::Result<()> {
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
            self.note(FaultKind::Kill, host, from);
        }
        Ok(())
    }
}
