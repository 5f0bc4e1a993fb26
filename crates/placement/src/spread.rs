//! How the times of a route's calls are spread around what is usual.
//!
//! The mean says little of the risk of being late: where work varies much, a call that takes a third
//! of its target on average is late now and then, and more often at a slow upstream. So the times
//! seen are kept as a histogram of their ratio to the usual time at the upstream that had the call,
//! and the risk is the part of them beyond the time that is left.

/// Bins for each doubling of the ratio.
const BINS_PER_DOUBLING: f64 = 4.0;
/// Doublings below and above the usual time that are told apart.
const DOUBLINGS_BELOW: f64 = 2.0;
const DOUBLINGS_ABOVE: f64 = 4.0;
const BINS: usize = (BINS_PER_DOUBLING * (DOUBLINGS_BELOW + DOUBLINGS_ABOVE)) as usize;
/// What remains of the weight of older times with each new one; about 500 are remembered.
const KEPT: f32 = 0.998;
/// Weight of what is assumed before anything was seen, as a number of times.
const ASSUMED: f64 = 20.0;
/// How steeply the assumed risk falls with the time left, as a multiple of the usual time.
const ASSUMED_EXPONENT: i32 = 6;

/// Ratios of times to the usual time, older ones weighing less.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// Weight of the ratios in each bin, and of those beyond the last.
    bins: [f32; BINS + 1],
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram { bins: [0.0; BINS + 1] }
    }
}

impl LatencyHistogram {
    /// Takes in a time as a multiple of the usual one.
    pub fn note(&mut self, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        for weight in &mut self.bins {
            *weight *= KEPT;
        }
        self.bins[place(ratio) as usize] += 1.0;
    }

    /// Number of times remembered, older ones weighing less.
    pub fn seen(&self) -> f64 {
        f64::from(self.bins.iter().sum::<f32>())
    }

    /// Least multiple of the usual time beyond which at most this part of times lies, at an edge of a
    /// bin; `None` if more than that lie beyond all that are told apart.
    pub fn quantile_beyond(&self, part: f64) -> Option<f64> {
        let edge = |bin: usize| (bin as f64 / BINS_PER_DOUBLING - DOUBLINGS_BELOW).exp2();
        (0..=BINS).map(edge).find(|ratio| self.beyond(*ratio) <= part)
    }

    /// Part of times that are longer than `ratio` times the usual, 0 to 1.
    pub fn beyond(&self, ratio: f64) -> f64 {
        if ratio.is_nan() || ratio <= 0.0 {
            return 1.0;
        }
        let place = place(ratio);
        let (bin, within) = (place as usize, place.fract());
        let weight = |bins: &[f32]| f64::from(bins.iter().sum::<f32>());
        let seen = weight(&self.bins[bin + 1..]) + f64::from(self.bins[bin]) * (1.0 - within);
        let assumed = ratio.powi(-ASSUMED_EXPONENT).min(1.0) * ASSUMED;
        let risk = (seen + assumed) / (weight(&self.bins) + ASSUMED);
        // Sums of small weights are rounded.
        risk.min(1.0)
    }
}

/// Bin of a ratio, with the part of the bin that lies below it.
fn place(ratio: f64) -> f64 {
    let doublings = ratio.max(f64::MIN_POSITIVE).log2() + DOUBLINGS_BELOW;
    (doublings * BINS_PER_DOUBLING).clamp(0.0, BINS as f64)
}
