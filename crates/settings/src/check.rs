//! Collects all problems of a settings file.

use std::fmt;

/// An invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong, usually with the allowed values.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.reason)
    }
}

/// Validation helpers that collect the problems found.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    problems: Vec<Problem>,
}

impl Checks {
    /// Requires `min <= value <= max`.
    pub fn range(&mut self, field: &'static str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.problem(field, format!("{value} is outside {min} to {max}"));
        }
    }

    /// Requires a value that is valid as a DNS label: 1 to 63 characters of a-z, 0-9 and -.
    pub fn name(&mut self, field: &'static str, value: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let valid = !value.is_empty() && value.len() <= 63 && value.chars().all(allowed);
        if !valid {
            let reason = format!("'{value}' is not 1 to 63 characters out of a-z 0-9 -");
            self.problem(field, reason);
        }
    }

    /// Requires a condition; `reason` describes the problem if it is false.
    pub fn require(&mut self, field: &'static str, condition: bool, reason: &str) {
        if !condition {
            self.problem(field, reason.to_owned());
        }
    }

    fn problem(&mut self, field: &'static str, reason: String) {
        self.problems.push(Problem { field, reason });
    }

    /// All problems found.
    pub fn into_problems(self) -> Vec<Problem> {
        self.problems
    }
}
