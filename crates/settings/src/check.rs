//! Collecting what is wrong with a settings file.

use std::fmt;

/// One field that is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong, with the allowed values.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.reason)
    }
}

/// Problems found so far.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    problems: Vec<Problem>,
}

impl Checks {
    /// Requires `least <= value <= most`.
    pub fn range(&mut self, field: &'static str, value: u64, least: u64, most: u64) {
        if !(least..=most).contains(&value) {
            self.problem(field, format!("{value} is outside {least} to {most}"));
        }
    }

    /// Requires a name usable in a DNS label.
    pub fn name(&mut self, field: &'static str, value: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let valid = !value.is_empty() && value.len() <= 63 && value.chars().all(allowed);
        if !valid {
            let reason = format!("'{value}' is not 1 to 63 characters out of a-z 0-9 -");
            self.problem(field, reason);
        }
    }

    /// Requires a condition.
    pub fn require(&mut self, field: &'static str, condition: bool, reason: &str) {
        if !condition {
            self.problem(field, reason.to_owned());
        }
    }

    fn problem(&mut self, field: &'static str, reason: String) {
        self.problems.push(Problem { field, reason });
    }

    /// Everything found.
    pub fn into_problems(self) -> Vec<Problem> {
        self.problems
    }
}
