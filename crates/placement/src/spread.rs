//! Distribution of a route's latencies relative to the expected latency.
//!
//! The mean alone underestimates the risk of being late: with variable work, a call that takes a
//! third of its target on average still misses it now and then, and more often at a slow upstream.
//! Samples are therefore kept as a histogram of the ratio of actual to expected latency at the
//! upstream that handled the call. The risk is the fraction of samples beyond the time that is
//! left.

/// Bins per doubling of the ratio.
const BINS_PER_DOUBLING: f64 = 4.0;
/// Doublings below and above the expected latency that the histogram resolves.
const DOUBLINGS_BELOW: f64 = 2.0;
const DOUBLINGS_ABOVE: f64 = 4.0;
const BINS: usize = (BINS_PER_DOUBLING * (DOUBLINGS_BELOW + DOUBLINGS_ABOVE)) as usize;
/// Factor by which each new sample reduces the weight of older ones; the total weight stays at
/// about 500 samples.
const DECAY: f32 = 0.998;
/// Weight of the prior distribution, in samples.
const PRIOR_WEIGHT: f64 = 20.0;
/// The prior risk falls with the remaining time, as a multiple of the expected latency, to this
/// power.
const PRIOR_EXPONENT: i32 = 6;

/// Histogram of the ratio of actual to expected latency, with exponentially decaying weights.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// Weight of each bin; the last one holds all ratios beyond the range.
    bins: [f32; BINS + 1],
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram { bins: [0.0; BINS + 1] }
    }
}

impl LatencyHistogram {
    /// Records a latency as a multiple of the expected one.
    pub fn note(&mut self, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        for weight in &mut self.bins {
            *weight *= DECAY;
        }
        self.bins[bin_position(ratio) as usize] += 1.0;
    }

    /// Total decayed weight of the samples.
    pub fn sample_weight(&self) -> f64 {
        f64::from(self.bins.iter().sum::<f32>())
    }

    /// Lowest bin edge, as a multiple of the expected latency, that at most this fraction of
    /// samples exceeds; `None` if more samples than that lie beyond the histogram's range.
    pub fn quantile_beyond(&self, fraction: f64) -> Option<f64> {
        let edge = |bin: usize| (bin as f64 / BINS_PER_DOUBLING - DOUBLINGS_BELOW).exp2();
        (0..=BINS).map(edge).find(|ratio| self.beyond(*ratio) <= fraction)
    }

    /// Estimated fraction of calls that take longer than `ratio` times the expected latency, 0 to
    /// 1.
    pub fn beyond(&self, ratio: f64) -> f64 {
        if ratio.is_nan() || ratio <= 0.0 {
            return 1.0;
        }
        let bin_position = bin_position(ratio);
        let (bin, within) = (bin_position as usize, bin_position.fract());
        let weight = |bins: &[f32]| f64::from(bins.iter().sum::<f32>());
        let sample_weight =
            weight(&self.bins[bin + 1..]) + f64::from(self.bins[bin]) * (1.0 - within);
        let prior = ratio.powi(-PRIOR_EXPONENT).min(1.0) * PRIOR_WEIGHT;
        let risk = (sample_weight + prior) / (weight(&self.bins) + PRIOR_WEIGHT);
        // Rounding of the `f32` sums can push the result slightly above 1.
        risk.min(1.0)
    }
}

/// Bin index of a ratio; the fractional part is the ratio's position within the bin.
fn bin_position(ratio: f64) -> f64 {
    let doublings = ratio.max(f64::MIN_POSITIVE).log2() + DOUBLINGS_BELOW;
    (doublings * BINS_PER_DOUBLING).clamp(0.0, BINS as f64)
}
