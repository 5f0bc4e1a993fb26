//! Canaries: which version of its upstreams each service uses, and which it is moving to.

use crate::command::{BadCanarySnafu, CanaryUnderWaySnafu, NoSuchCanarySnafu};
use crate::{Accepted, Answer};
use canary::Phase;
use mesh::MAX_VERSION_BYTES;
use serde::Serialize;
use snafu::{ensure, OptionExt};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Longest canary: a week, milliseconds.
const MOST_DURATION_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// Barred versions remembered of a service.
const BARRED_KEPT: usize = 16;

/// The newest canary of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Readable, Writable)]
pub struct CanaryRecord {
    /// Log index of its order; names it.
    pub run: u64,
    /// The version it moves to.
    pub version: String,
    /// Time within which that should be done, milliseconds.
    pub duration_ms: u64,
    /// How far it is.
    pub phase: Phase,
    /// Time from its begin to the begin of this phase, milliseconds.
    pub elapsed_ms: u64,
    /// Versions that get no calls: rejected ones, and those that were replaced.
    pub barred: Vec<String>,
}

/// The newest canary of each service that ever had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(super) struct Canaries {
    pub records: BTreeMap<String, CanaryRecord>,
    /// Log index of the newest change.
    pub revision: u64,
}

impl Canaries {
    /// Takes in an order. One that was taken before is acknowledged again, whatever became of it.
    pub fn start(
        &mut self,
        index: u64,
        service: &str,
        version: &str,
        duration_ms: u64,
        service_exists: bool,
    ) -> Answer {
        let former = self.records.get(service);
        if let Some(former) = former {
            let same = former.version == version && former.duration_ms == duration_ms;
            if same || (former.phase == Phase::Promoted && former.version == version) {
                return Ok(Accepted::CanaryStarted { run: former.run });
            }
            let under_way = former.phase.is_running();
            let version = &former.version;
            ensure!(!under_way, CanaryUnderWaySnafu { service, version });
        }
        let length = 1..=MAX_VERSION_BYTES;
        let named = length.contains(&version.len());
        ensure!(named, BadCanarySnafu { reason: "a version has a name of 1 to 128 bytes" });
        let lasts = (1..=MOST_DURATION_MS).contains(&duration_ms);
        ensure!(lasts, BadCanarySnafu { reason: "a canary lasts up to a week" });
        ensure!(service_exists, BadCanarySnafu { reason: format!("no service {service}") });
        let mut barred = former.map_or_else(Vec::new, |former| former.barred.clone());
        barred.retain(|barred| barred != version);
        let version = version.to_owned();
        let phase = Phase::Trial;
        let record =
            CanaryRecord { run: index, version, duration_ms, phase, elapsed_ms: 0, barred };
        self.records.insert(service.to_owned(), record);
        self.revision = index;
        Ok(Accepted::CanaryStarted { run: index })
    }

    /// Takes a canary from one phase to a later one.
    pub fn step(&mut self, index: u64, service: &str, step: &CanaryStep<'_>) -> Answer {
        let CanaryStep { run, from, to, elapsed_ms, replaced } = *step;
        let fits = |record: &&mut CanaryRecord| record.run == run && record.phase == from;
        let found = self.records.get_mut(service).filter(fits);
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
        let beyond = record.barred.len().saturating_sub(BARRED_KEPT);
        record.barred.drain(..beyond);
        self.revision = index;
        Ok(Accepted::CanaryMoved { run, phase: to })
    }
}

/// A step of a canary.
#[derive(Clone, Copy)]
pub(super) struct CanaryStep<'a> {
    pub run: u64,
    pub from: Phase,
    pub to: Phase,
    pub elapsed_ms: u64,
    pub replaced: &'a [String],
}
