//! Credits that one pool granted in the last window.

use crate::limit::WINDOW_MS;
use crate::Millis;
use std::collections::BTreeMap;

/// Width of the bins in which amounts are summed, milliseconds; an amount counts for up to this
/// much longer than a window.
const BIN_MS: Millis = 100;

/// Sum of amounts over a sliding window, in bins of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    bins: BTreeMap<Millis, f64>,
    sum: f64,
}

impl Window {
    /// Adds an amount that counts until a window after `at`, which may be in the future; negative
    /// for credit received from another pool.
    pub fn add(&mut self, amount: f64, at: Millis) {
        if amount != 0.0 {
            *self.bins.entry(at / BIN_MS).or_default() += amount;
            self.sum += amount;
        }
    }

    /// Removes amounts older than a window.
    pub fn expire(&mut self, now: Millis) {
        while let Some(first) = self.bins.first_entry() {
            if now < expires_at(*first.key()) {
                return;
            }
            self.sum -= first.remove();
        }
        // Without bins, the sum consists of rounding errors only.
        self.sum = 0.0;
    }

    /// Multiplies all amounts by `factor`.
    pub fn scale(&mut self, factor: f64) {
        for amount in self.bins.values_mut() {
            *amount *= factor;
        }
        self.sum *= factor;
    }

    /// Sum of all amounts that have not expired.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Time until at least `amount` of the sum has expired, milliseconds.
    pub fn frees_in_ms(&self, amount: f64, now: Millis) -> Millis {
        let mut freed = 0.0;
        for (bin, in_bin) in &self.bins {
            if freed >= amount {
                break;
            }
            freed += in_bin;
            if freed >= amount {
                return expires_at(*bin).saturating_sub(now);
            }
        }
        if amount <= 0.0 {
            0
        } else {
            WINDOW_MS
        }
    }
}

fn expires_at(bin: Millis) -> Millis {
    (bin + 1) * BIN_MS + WINDOW_MS
}
