//! What callers were told about charges, held against what back ends ran.

use std::collections::BTreeMap;

/// What the caller of one key knows at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Every try was refused as not run.
    NotRun,
    /// Some try may have run.
    MayHaveRun,
    /// An answer arrived.
    Answered,
}

/// Charges by key.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    told: BTreeMap<String, Told>,
}

impl Ledger {
    /// Records what a try of a charge was told.
    pub fn record(&mut self, key: &str, told: Told) {
        let held = self.told.entry(key.to_owned()).or_insert(told);
        *held = match (*held, told) {
            (Told::Answered, _) | (_, Told::Answered) => Told::Answered,
            (Told::MayHaveRun, _) | (_, Told::MayHaveRun) => Told::MayHaveRun,
            _ => Told::NotRun,
        };
    }

    /// Adds another ledger's charges.
    pub fn merge(&mut self, other: Ledger) {
        for (key, told) in other.told {
            self.record(&key, told);
        }
    }

    /// Number of charges.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Every contradiction between what was told and what ran.
    pub fn contradictions(&self, runs: &BTreeMap<String, u64>) -> Vec<String> {
        let mut found = Vec::new();
        for (key, count) in runs {
            if *count > 1 {
                found.push(format!("charge {key} ran {count} times"));
            }
        }
        for (key, told) in &self.told {
            let count = runs.get(key).copied().unwrap_or(0);
            match told {
                Told::NotRun if count > 0 => found.push(format!("charge {key} ran, told not-run")),
                Told::Answered if count == 0 => {
                    found.push(format!("charge {key} was answered but never ran"));
                }
                _ => {}
            }
        }
        found
    }
}
