//! Upstreams state limits and that they are leaving, in their answers only, while the processes
//! that read them are killed, frozen and stopped.

use super::faults::Faults;
use super::machines::{CALLERS, DRAIN_MS, UPSTREAMS};
use super::upstream::Upstream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limits in calls per second; without one, each upstream gets more than the largest of them.
const LIMITS_PER_S: [f64; 7] = [0.0, 0.2, 2.0, 5.0, 10.0, 20.0, 40.0];
/// Pauses are short, so that restarts follow each other within the window of the check.
const PAUSE_MS: std::ops::Range<u64> = 100..1_200;
/// A new incarnation is known to its sidecar by then, and what it states counts for it.
const REGISTERED_DELAY: Duration = Duration::from_millis(700);
const LEAVING_WAIT: Duration = Duration::from_millis(DRAIN_MS + 1_500);
/// Lifting all limits takes effect by then: an upstream with the lowest limit is called every 5 s.
const LIFTED_DELAY: Duration = Duration::from_secs(6);

impl Faults<'_> {
    /// Changes what upstreams state, and ends processes meanwhile.
    pub fn run_statements(&mut self, time: Duration) -> std::io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            match self.random.u32(0..12) {
                0..=4 => self.change_limit(),
                5 => self.leave_in_answers_only(),
                6 | 7 => self.kill_one_of(&UPSTREAMS)?,
                8 => self.kill_one_of(&CALLERS)?,
                9 => self.freeze_sidecar(),
                10 => self.stop_sidecar()?,
                _ => self.kill_all_coordinators()?,
            }
            self.sleep(PAUSE_MS);
        }
        for upstream in self.upstreams.values() {
            upstream.state_limit(None);
        }
        thread::sleep(LIFTED_DELAY);
        Ok(())
    }

    fn pick_upstream(&mut self) -> Option<Arc<Upstream>> {
        let host = self.pick_host(&UPSTREAMS);
        self.upstreams.get(&host).cloned()
    }

    fn change_limit(&mut self) {
        let lifted = self.random.u32(0..3) == 0;
        let per_s = LIMITS_PER_S[self.random.usize(..LIMITS_PER_S.len())];
        if let Some(upstream) = self.pick_upstream() {
            upstream.state_limit((!lifted).then_some(per_s));
        }
    }

    fn leave_in_answers_only(&mut self) {
        let Some(upstream) = self.pick_upstream() else {
            return;
        };
        upstream.state_leaving();
        thread::sleep(LEAVING_WAIT);
        upstream.begin_new_incarnation();
        thread::sleep(REGISTERED_DELAY);
    }
}
