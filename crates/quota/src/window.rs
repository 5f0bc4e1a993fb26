//! What one pool gave out in the last window.

use crate::limit::WINDOW_MS;
use crate::Millis;
use std::collections::BTreeMap;

/// Amounts are added up over this time, milliseconds; each counts for up to that much longer.
const BIN_MS: Millis = 100;

/// Amounts by the time at which they count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    bins: BTreeMap<Millis, f64>,
    sum: f64,
}

impl Window {
    /// Adds what counts from a time on. What another pool gave counts against it.
    pub fn add(&mut self, amount: f64, at: Millis) {
        if amount != 0.0 {
            *self.bins.entry(at / BIN_MS).or_default() += amount;
            self.sum += amount;
        }
    }

    /// Forgets what is older than a window.
    pub fn expire(&mut self, now: Millis) {
        while let Some(first) = self.bins.first_entry() {
            if now < leaves_at(*first.key()) {
                return;
            }
            self.sum -= first.remove();
        }
        // Nothing is left but the rounding of sums.
        self.sum = 0.0;
    }

    /// Makes all amounts a part of what they were.
    pub fn scale(&mut self, factor: f64) {
        for amount in self.bins.values_mut() {
            *amount *= factor;
        }
        self.sum *= factor;
    }

    /// All that counts now.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Time until so much of it counts no more, milliseconds.
    pub fn frees_in_ms(&self, amount: f64, now: Millis) -> Millis {
        let mut freed = 0.0;
        for (bin, in_bin) in &self.bins {
            if freed >= amount {
                break;
            }
            freed += in_bin;
            if freed >= amount {
                return leaves_at(*bin).saturating_sub(now);
            }
        }
        if amount <= 0.0 {
            0
        } else {
            WINDOW_MS
        }
    }
}

fn leaves_at(bin: Millis) -> Millis {
    (bin + 1) * BIN_MS + WINDOW_MS
}
