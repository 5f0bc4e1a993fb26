//! Stops of all sidecars in turn, overlapping: each is told to stop while earlier ones are still stopping, and
//! starts again at once. In half of the rolls the processes stand still for a part of the time, like ones that
//! have used up their share of a processor.

use super::faults::{Faults, READINESS_NOTICE_DELAY};
use super::machines::{CALLERS, STOP_LIMIT_MS, UPSTREAMS};
use soak::{FaultKind, Millis};
use std::thread;
use std::time::{Duration, Instant};

const PAUSE_MS: std::ops::Range<u64> = 100..1_500;
/// Between the signals to two processes.
const GAP_MS: std::ops::Range<u64> = 50..1_300;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Of each period, processes that stand still run for the rest.
const STALL_MS: u64 = 50;
const STALL_PERIOD_MS: u64 = 100;
/// One in this many stops is followed by a new version or by a SIGHUP to all.
const CHANGE_ODDS: u32 = 3;

/// What became of a machine in a roll.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its process was told to stop.
    Stopping {
        since: Instant,
        from: Millis,
        callers_know: bool,
    },
    /// Its next process is not ready yet.
    Starting {
        since: Instant,
    },
    Ready,
}

impl Faults<'_> {
    /// Plans rolls for `time`.
    pub fn run_rolls(&mut self, time: Duration) -> std::io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            self.stop_in_turn()?;
            self.sleep(PAUSE_MS);
        }
        Ok(())
    }

    /// Stops all sidecars, each a moment after the one before, and starts each again once it has ended.
    pub(super) fn stop_in_turn(&mut self) -> std::io::Result<()> {
        let mut waiting = [&UPSTREAMS[..], &CALLERS[..]].concat();
        self.random.shuffle(&mut waiting);
        let mut stages: Vec<(u8, Stage)> = Vec::new();
        let stands_still = self.random.bool();
        let began = Instant::now();
        let mut next_at = began;
        let mut is_frozen = false;
        while !waiting.is_empty() || stages.iter().any(|(_, stage)| *stage != Stage::Ready) {
            let phase_ms = began.elapsed().as_millis() as u64 % STALL_PERIOD_MS;
            if stands_still && is_frozen != (phase_ms < STALL_MS) {
                is_frozen = !is_frozen;
                self.set_frozen(is_frozen);
            }
            if is_frozen {
                // Nobody answers whether it is ready.
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            if Instant::now() >= next_at {
                if let Some(host) = waiting.pop() {
                    stages.push((host, self.tell_to_stop(host)));
                }
                next_at = Instant::now() + Duration::from_millis(self.random.u64(GAP_MS));
                self.change_something();
            }
            for (host, stage) in &mut stages {
                *stage = self.next_stage(*host, *stage)?;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.set_frozen(false);
        Ok(())
    }

    fn tell_to_stop(&mut self, host: u8) -> Stage {
        let from = self.clock.now();
        if let Some(process) = self.machines.process(host) {
            process.terminate();
        }
        Stage::Stopping { since: Instant::now(), from, callers_know: false }
    }

    /// Now and then sends a new version, or tells all sidecars to read their settings again.
    fn change_something(&mut self) {
        match self.random.u32(0..CHANGE_ODDS * 2) {
            0 => {
                self.operator.send_next_version(ACKNOWLEDGE_TIMEOUT);
            }
            1 => self.reload_all(),
            _ => {}
        }
    }

    /// Starts a process that has ended, kills one at the end of its time, and tells callers of both.
    fn next_stage(&mut self, host: u8, stage: Stage) -> std::io::Result<Stage> {
        match stage {
            Stage::Stopping { since, from, callers_know } => {
                let limit = Duration::from_millis(STOP_LIMIT_MS);
                let Some(process) = self.machines.process(host) else {
                    return Ok(Stage::Ready);
                };
                if process.is_running() && since.elapsed() >= limit {
                    process.kill();
                }
                if !process.is_running() {
                    self.record_fault(FaultKind::Stop, host, from);
                    self.machines.start(host, false)?;
                    return Ok(Stage::Starting { since: Instant::now() });
                }
                let notices = !callers_know && since.elapsed() >= READINESS_NOTICE_DELAY;
                if notices {
                    self.tell_callers(host, false);
                }
                Ok(Stage::Stopping { since, from, callers_know: callers_know || notices })
            }
            Stage::Starting { since } => {
                let is_over = since.elapsed() >= super::faults::READY_TIMEOUT;
                let is_ready = self.machines.is_ready(host);
                if !is_over && !is_ready {
                    return Ok(stage);
                }
                if let Some(process) = self.machines.process(host).filter(|_| !is_ready) {
                    println!("not ready in time: {}", process.describe());
                }
                self.tell_callers(host, true);
                Ok(Stage::Ready)
            }
            Stage::Ready => Ok(Stage::Ready),
        }
    }

    fn set_frozen(&mut self, is_frozen: bool) {
        for host in UPSTREAMS.into_iter().chain(CALLERS) {
            let Some(process) = self.machines.process(host) else {
                continue;
            };
            match is_frozen {
                true => process.freeze(),
                false => process.resume(),
            }
        }
    }
}
