//! What the sidecars of a round say in their logs of their planned stops.

use super::machines::{log_name, CALLERS, UPSTREAMS};
use std::fmt;
use std::fs;
use std::path::Path;

/// The planned stops of all sidecars.
#[derive(Debug, Default)]
pub struct LoggedStops {
    /// From the signal to the exit, milliseconds.
    times_ms: Vec<u64>,
    /// Stops that their limit ended.
    at_limit: usize,
}

impl LoggedStops {
    /// Reads the logs in `folder`; a log that cannot be read has no stops.
    pub fn read(folder: &Path) -> Self {
        let mut stops = LoggedStops::default();
        for host in UPSTREAMS.into_iter().chain(CALLERS) {
            let log = fs::read_to_string(folder.join(log_name(host))).unwrap_or_default();
            log.lines()
                .filter(|line| line.contains("sidecar_stopped"))
                .for_each(|line| stops.note(line));
        }
        stops
    }

    fn note(&mut self, line: &str) {
        let value = |key: &str| line.split(' ').find_map(|word| word.strip_prefix(key));
        self.at_limit += usize::from(value("at_limit=") == Some("true"));
        self.times_ms.extend(value("stopping_ms=").and_then(|text| text.parse::<u64>().ok()));
    }
}

impl fmt::Display for LoggedStops {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.times_ms.len();
        let mean_ms = self.times_ms.iter().sum::<u64>() / (count as u64).max(1);
        let longest_ms = self.times_ms.iter().max().copied().unwrap_or(0);
        let at_limit = self.at_limit;
        write!(
            f,
            "{count} stops, mean {mean_ms} ms, longest {longest_ms} ms, {at_limit} at the limit"
        )
    }
}
