//! Relative pace of the upstream next to this sidecar: how long calls take compared with what is usual
//! in its service.
//!
//! Upstreams of a service differ in speed, and other work on their machines slows them down for tenths
//! of a second at a time. A single sender sees one call at a given upstream every few seconds, whereas
//! this sidecar sees all of them. There are two sources. Upstreams of some services report a pace with
//! each response, which is accurate immediately but only for a short time. In addition, the duration
//! of each call is compared with the usual duration of its route as stated by the sender, which also
//! exposes a false report. The module does no I/O; callers pass in the time as milliseconds.

use crate::Millis;

/// How long a reported pace is used as it is, milliseconds: about as long as a noisy neighbour slows
/// down a machine. After that, the mean of the reports is used.
const REPORT_FRESH_MS: u64 = 600;
/// Half-life of the mean of the reports, milliseconds: several times the above.
const MEAN_HALF_LIFE_MS: f64 = 2_500.0;
/// Weight of one call. An upstream completes about 30 calls in a second, and their average gives the
/// pace to within a tenth, although the durations of single calls vary by as much as their mean.
const CALL_WEIGHT: f64 = 0.03;
/// Number of calls before their average is used.
const MIN_CALLS: u32 = 15;
/// Half-life of the average over calls while no more calls complete, milliseconds. It makes sure that
/// an upstream that gets no calls because it was slow is tried again.
const CALLS_HALF_LIFE_MS: f64 = 5_000.0;
/// Upper bound for a single call, as a multiple of the expected duration: a call from the long tail
/// does not show that the upstream is slow.
const MAX_RATIO: f64 = 3.0;
/// Plausible range of a reported pace, percent; no upstream of a service can be outside of it.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<u32> = 10..=3_000;
const PERCENT: f64 = 100.0;

#[derive(Clone, Copy, Debug)]
struct Report {
    pace: f64,
    at: Millis,
    /// Mean of the reported values.
    mean: f64,
}

/// Pace of one upstream: 1 means that calls take as long as usual, 2 twice as long.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    reported: Option<Report>,
    /// Average duration of calls, relative to what the reported pace predicts.
    measured: f64,
    calls: u32,
    last_call_at: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { reported: None, measured: 1.0, calls: 0, last_call_at: 0 }
    }
}

impl Pace {
    /// Records the pace that the upstream reported about itself, percent. Implausible values are ignored.
    pub fn note_reported(&mut self, percent: u32, now: Millis) {
        if !PLAUSIBLE_PERCENT.contains(&percent) {
            return;
        }
        let pace = f64::from(percent) / PERCENT;
        let mean = self.reported.map_or(pace, |previous| {
            let age = now.saturating_sub(previous.at) as f64;
            let decay = 0.5_f64.powf(age / MEAN_HALF_LIFE_MS);
            previous.mean * decay + pace * (1.0 - decay)
        });
        self.reported = Some(Report { pace, at: now, mean });
    }

    /// Records a call that took `spent_ms` where `usual_ms` is usual for its route; 0 if the sender did
    /// not state it.
    pub fn note_run(&mut self, spent_ms: u64, usual_ms: u32, now: Millis) {
        if usual_ms == 0 {
            return;
        }
        let expected_ms = f64::from(usual_ms) * self.reported(now).unwrap_or(1.0);
        let ratio = (spent_ms as f64 / expected_ms).min(MAX_RATIO);
        let previous = self.measured(now);
        self.measured = previous + (ratio - previous) * CALL_WEIGHT;
        self.last_call_at = now;
        self.calls = self.calls.saturating_add(1);
    }

    /// Returns the average over calls, decayed to the current time.
    fn measured(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.last_call_at) as f64;
        1.0 + (self.measured - 1.0) * 0.5_f64.powf(age / CALLS_HALF_LIFE_MS)
    }

    /// Returns the reported pace: the last value while it is fresh, otherwise the mean.
    fn reported(&self, now: Millis) -> Option<f64> {
        let reported = self.reported?;
        let fresh = now < reported.at + REPORT_FRESH_MS;
        Some(if fresh { reported.pace } else { reported.mean })
    }

    /// Returns the pace reported by the upstream, percent; 0 if it reports none.
    pub fn reported_percent(&self, now: Millis) -> u32 {
        self.reported(now).map_or(0, percent)
    }

    /// Returns how long calls currently take, percent of the usual duration; 0 if it is not known yet.
    pub fn percent(&self, now: Millis) -> u32 {
        let measured = (self.calls >= MIN_CALLS).then(|| self.measured(now));
        match (self.reported(now), measured) {
            (None, None) => 0,
            (reported, measured) => percent(reported.unwrap_or(1.0) * measured.unwrap_or(1.0)),
        }
    }
}

fn percent(pace: f64) -> u32 {
    // 0 means that the pace is not known.
    ((pace * PERCENT).round() as u32).max(1)
}
