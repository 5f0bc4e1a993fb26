//! How long work takes at the upstream beside this sidecar, against what is usual at its service.
//!
//! Load answered: upstreams of one service of uneven speed, slowed for some tenths of a second by what
//! else runs on their machines. One sender sees one run of an upstream in some seconds; this side
//! sees them all. Two sources: the figure that upstreams of some services tell with each answer, true
//! at once and short-lived; and each run's time against the time usual for its route, as its sender
//! told, which also shows a figure that is not true. Pure: time is passed in as milliseconds.

use crate::Millis;

/// How long a told figure is believed as it is, milliseconds: about as long as a neighbour's work
/// slows a machine. Older ones count as their mean.
const FIGURE_FRESH_MS: u64 = 600;
/// Time in which the mean of told figures forgets half, milliseconds: a few such times.
const MEAN_HALF_LIFE_MS: f64 = 2_500.0;
/// Weight of one run: some thirty of them, which an upstream has in about a second, tell its pace to
/// a tenth, where single ones differ by as much as they take.
const RUN_WEIGHT: f64 = 0.03;
/// Runs before they tell anything.
const LEAST_RUNS: u32 = 15;
/// Time in which what runs showed loses half of its weight while there are no more, milliseconds: an
/// upstream that was slow and is given nothing for it is tried again.
const RUNS_HALF_LIFE_MS: f64 = 5_000.0;
/// Most that one run counts, as a multiple of what was expected: one of the long tail of work is no
/// sign of a slow upstream.
const MOST_RATIO: f64 = 3.0;
/// Figures that are taken for true, percent: beyond, no upstream of a service can be.
const CREDIBLE_PERCENT: std::ops::RangeInclusive<u32> = 10..=3_000;
const PERCENT: f64 = 100.0;

#[derive(Clone, Copy, Debug)]
struct Figure {
    pace: f64,
    at: Millis,
    /// Mean of the figures told.
    mean: f64,
}

/// Pace of one upstream: 1 takes as long as is usual.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    figure: Option<Figure>,
    /// What runs took, against what was expected by the figure.
    by_runs: f64,
    runs: u32,
    ran_at: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { figure: None, by_runs: 1.0, runs: 0, ran_at: 0 }
    }
}

impl Pace {
    /// Takes in what the upstream told of itself, percent; one that cannot be true is passed over.
    pub fn note_reported(&mut self, percent: u32, now: Millis) {
        if !CREDIBLE_PERCENT.contains(&percent) {
            return;
        }
        let pace = f64::from(percent) / PERCENT;
        let mean = self.figure.map_or(pace, |held| {
            let age = now.saturating_sub(held.at) as f64;
            let kept = 0.5_f64.powf(age / MEAN_HALF_LIFE_MS);
            held.mean * kept + pace * (1.0 - kept)
        });
        self.figure = Some(Figure { pace, at: now, mean });
    }

    /// Takes in a run that took `spent_ms` where `usual_ms` is usual for its route; 0 if its sender
    /// did not tell.
    pub fn note_run(&mut self, spent_ms: u64, usual_ms: u32, now: Millis) {
        if usual_ms == 0 {
            return;
        }
        let expected_ms = f64::from(usual_ms) * self.figure(now).unwrap_or(1.0);
        let ratio = (spent_ms as f64 / expected_ms).min(MOST_RATIO);
        let held = self.by_runs(now);
        self.by_runs = held + (ratio - held) * RUN_WEIGHT;
        self.ran_at = now;
        self.runs = self.runs.saturating_add(1);
    }

    /// What runs showed, as far as it still counts.
    fn by_runs(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.ran_at) as f64;
        1.0 + (self.by_runs - 1.0) * 0.5_f64.powf(age / RUNS_HALF_LIFE_MS)
    }

    /// What the upstream tells, as far as that is known now.
    fn figure(&self, now: Millis) -> Option<f64> {
        let figure = self.figure?;
        let fresh = now < figure.at + FIGURE_FRESH_MS;
        Some(if fresh { figure.pace } else { figure.mean })
    }

    /// What the upstream tells, percent; 0 if it tells nothing.
    pub fn reported_percent(&self, now: Millis) -> u32 {
        self.figure(now).map_or(0, percent)
    }

    /// How long work takes now, percent of what is usual; 0 if that is not known yet.
    pub fn percent(&self, now: Millis) -> u32 {
        let by_runs = (self.runs >= LEAST_RUNS).then(|| self.by_runs(now));
        match (self.figure(now), by_runs) {
            (None, None) => 0,
            (figure, by_runs) => percent(figure.unwrap_or(1.0) * by_runs.unwrap_or(1.0)),
        }
    }
}

fn percent(pace: f64) -> u32 {
    // 0 stands for what is not known.
    ((pace * PERCENT).round() as u32).max(1)
}
