//! Compares what callers were told about charges with what backends ran.

use std::collections::BTreeMap;

/// What the attempts of a charge reported to its caller, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// Every attempt was refused with the verdict that it did not run.
    NotRun,
    /// At least one attempt may have run, and none was answered.
    MayHaveRun,
    /// An attempt was answered.
    Answered,
}

/// Reported outcomes of charges, by key.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    reported: BTreeMap<String, ReportedOutcome>,
}

impl Ledger {
    /// Records the outcome that an attempt of a charge reported.
    pub fn record(&mut self, key: &str, reported: ReportedOutcome) {
        let combined = self.reported.entry(key.to_owned()).or_insert(reported);
        *combined = match (*combined, reported) {
            (ReportedOutcome::Answered, _) | (_, ReportedOutcome::Answered) => {
                ReportedOutcome::Answered
            }
            (ReportedOutcome::MayHaveRun, _) | (_, ReportedOutcome::MayHaveRun) => {
                ReportedOutcome::MayHaveRun
            }
            _ => ReportedOutcome::NotRun,
        };
    }

    /// Adds the charges of another ledger.
    pub fn merge(&mut self, other: Ledger) {
        for (key, reported) in other.reported {
            self.record(&key, reported);
        }
    }

    /// Returns the number of charges.
    pub fn len(&self) -> usize {
        self.reported.len()
    }

    /// Returns a message for each charge that ran twice, or whose reported outcome contradicts the
    /// runs.
    pub fn contradictions(&self, runs: &BTreeMap<String, u64>) -> Vec<String> {
        let mut found = Vec::new();
        for (key, count) in runs {
            if *count > 1 {
                found.push(format!("charge {key} ran {count} times"));
            }
        }
        for (key, reported) in &self.reported {
            let count = runs.get(key).copied().unwrap_or(0);
            match reported {
                ReportedOutcome::NotRun if count > 0 => {
                    found.push(format!("charge {key} ran, but was reported as not-run"))
                }
                ReportedOutcome::Answered if count == 0 => {
                    found.push(format!("charge {key} was answered but never ran"));
                }
                _ => {}
            }
        }
        found
    }
}
