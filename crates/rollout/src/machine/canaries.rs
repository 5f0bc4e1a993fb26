//! Canaries: moves of a service from one version of its upstreams to another.

use crate::command::{BadCanarySnafu, CanaryUnderWaySnafu, NoSuchCanarySnafu};
use crate::{Accepted, Answer};
use canary::Phase;
use mesh::MAX_VERSION_BYTES;
use serde::Serialize;
use snafu::{ensure, OptionExt};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Maximum duration of a canary in milliseconds: one week.
const MAX_DURATION_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// Maximum number of barred versions retained per service.
const RETAINED_BARRED_VERSIONS: usize = 16;

/// The newest canary of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
pub struct CanaryRecord {
    /// Log index of the command that started it; identifies the canary.
    pub run: u64,
    /// The version to move to.
    pub version: String,
    /// Time within which the version should receive all calls, in milliseconds.
    pub duration_ms: u64,
    /// The current phase.
    pub phase: Phase,
    /// Time from the start of the canary to the start of this phase, in milliseconds.
    pub elapsed_ms: u64,
    /// Versions that receive no calls: those that were rolled back or replaced.
    pub barred: Vec<String>,
}

/// The newest canary of each service that ever had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(super) struct Canaries {
    pub records: BTreeMap<String, CanaryRecord>,
    /// Log index of the newest change; 0 before the first.
    pub revision: u64,
}

impl Canaries {
    /// Starts a canary. A resent command is acknowledged again, even if the canary has ended.
    pub fn start(
        &mut self,
        index: u64,
        service: &str,
        version: &str,
        duration_ms: u64,
        service_exists: bool,
    ) -> Answer {
        let previous = self.records.get(service);
        if let Some(previous) = previous {
            let same = previous.version == version && previous.duration_ms == duration_ms;
            if same || (previous.phase == Phase::Promoted && previous.version == version) {
                return Ok(Accepted::CanaryStarted { run: previous.run });
            }
            let running = previous.phase.is_running();
            let version = &previous.version;
            ensure!(!running, CanaryUnderWaySnafu { service, version });
        }
        let length = 1..=MAX_VERSION_BYTES;
        let valid_name = length.contains(&version.len());
        ensure!(valid_name, BadCanarySnafu { reason: "a version has a name of 1 to 128 bytes" });
        let valid_duration = (1..=MAX_DURATION_MS).contains(&duration_ms);
        ensure!(valid_duration, BadCanarySnafu { reason: "a canary lasts up to a week" });
        ensure!(service_exists, BadCanarySnafu { reason: format!("no service {service}") });
        let mut barred = previous.map_or_else(Vec::new, |previous| previous.barred.clone());
        barred.retain(|barred_version| barred_version != version);
        let version = version.to_owned();
        let phase = Phase::Trial;
        let record =
            CanaryRecord { run: index, version, duration_ms, phase, elapsed_ms: 0, barred };
        self.records.insert(service.to_owned(), record);
        self.revision = index;
        Ok(Accepted::CanaryStarted { run: index })
    }

    /// Moves a canary from one phase to a later one.
    pub fn step(&mut self, index: u64, service: &str, step: &CanaryStep<'_>) -> Answer {
        let CanaryStep { run, from, to, elapsed_ms, replaced } = *step;
        let matches_step = |record: &&mut CanaryRecord| record.run == run && record.phase == from;
        let found = self.records.get_mut(service).filter(matches_step);
        let record = found.context(NoSuchCanarySnafu { service, run })?;
        ensure!(from.is_running() && from < to, NoSuchCanarySnafu { service, run });
        record.phase = to;
        record.elapsed_ms = elapsed_ms;
        match to {
            Phase::RolledBack => record.barred.push(record.version.clone()),
            Phase::Promoted => {
                let others = replaced.iter().filter(|version| **version != record.version);
                record.barred.extend(others.cloned());
            }
            Phase::Trial | Phase::Ramp | Phase::Settle | Phase::Shift => {}
        }
        let excess = record.barred.len().saturating_sub(RETAINED_BARRED_VERSIONS);
        record.barred.drain(..excess);
        self.revision = index;
        Ok(Accepted::CanaryMoved { run, phase: to })
    }
}

/// Move of a canary from one phase to another.
#[derive(Clone, Copy)]
pub(super) struct CanaryStep<'a> {
    pub run: u64,
    pub from: Phase,
    pub to: Phase,
    pub elapsed_ms: u64,
    pub replaced: &'a [String],
}
