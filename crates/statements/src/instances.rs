//! What a sender remembers of the statements of upstreams, whatever becomes of its other knowledge
//! of them: of their records, of the sidecars beside them, of its links to coordinators.

use crate::{Millis, RateStatement, StatedRate};
use mesh::{CallRate, Incarnation, LimitReport};
use std::collections::BTreeMap;

/// Maximum number of remembered incarnations. Those whose statement is the oldest are forgotten
/// first; ids are rarely used again, so what is forgotten are mostly upstreams that are gone.
const MAX_REMEMBERED: usize = 4_096;

/// What answers have stated of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statements {
    /// Rate limit in force.
    pub rate_limit: Option<CallRate>,
    /// Whether it is leaving; final for an incarnation.
    pub leaving: bool,
}

/// What a reply tells of the statements of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementReport {
    /// What it tells of the rate limit; `None` if nothing.
    pub rate_limit: Option<LimitReport>,
    /// Whether it tells that the upstream is leaving.
    pub leaving: bool,
}

/// Statements of the upstreams that this sender called, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct InstanceStatements {
    /// Newest start of each instance id that stated anything.
    by_id: BTreeMap<String, Remembered>,
}

#[derive(Clone, Debug)]
struct Remembered {
    born_ms: u64,
    rate: StatedRate,
    leaving: bool,
    noted_at: Millis,
}

impl Remembered {
    fn new(born_ms: u64, now: Millis) -> Self {
        Remembered { born_ms, rate: StatedRate::default(), leaving: false, noted_at: now }
    }

    fn incarnation(&self, id: &str) -> Incarnation {
        Incarnation { id: id.to_owned(), born_ms: self.born_ms }
    }
}

impl InstanceStatements {
    /// The statements of an incarnation.
    pub fn of(&self, incarnation: &Incarnation) -> Statements {
        let held = self.by_id.get(&incarnation.id);
        let held = held.filter(|held| held.incarnation(&incarnation.id).may_equal(incarnation));
        held.map_or_else(Statements::default, |held| Statements {
            rate_limit: held.rate.rate(),
            leaving: held.leaving,
        })
    }

    /// Records what the reply to a request told that was sent to an incarnation at `sent_at`; returns
    /// whether that changed anything.
    pub fn note(
        &mut self,
        incarnation: &Incarnation,
        told: StatementReport,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        if told == StatementReport::default() || self.is_superseded(incarnation) {
            return false;
        }
        let held = self.entry(incarnation, now);
        let statement = told.rate_limit.map(|report| match report {
            LimitReport::Lifted => RateStatement::Unlimited,
            LimitReport::Limited(rate) => RateStatement::Limited(rate),
        });
        let note = |statement| held.rate.note(statement, sent_at, now);
        let rate_changed = statement.is_some_and(note);
        let is_news = told.leaving && !held.leaving;
        held.leaving |= told.leaving;
        held.noted_at = now;
        self.forget_oldest();
        rate_changed || is_news
    }

    /// Whether a later start under the same id has stated something.
    fn is_superseded(&self, incarnation: &Incarnation) -> bool {
        let Incarnation { id, born_ms } = incarnation;
        self.by_id.get(id).is_some_and(|held| *born_ms != 0 && held.born_ms > *born_ms)
    }

    /// Returns what is remembered of an incarnation, which replaces an earlier one of the same id.
    fn entry(&mut self, incarnation: &Incarnation, now: Millis) -> &mut Remembered {
        let Incarnation { id, born_ms } = incarnation;
        let held = self.by_id.entry(id.clone()).or_insert_with(|| Remembered::new(*born_ms, now));
        if *born_ms != 0 && held.born_ms != 0 && *born_ms > held.born_ms {
            *held = Remembered::new(*born_ms, now);
        }
        held
    }

    fn forget_oldest(&mut self) {
        if self.by_id.len() <= MAX_REMEMBERED {
            return;
        }
        let oldest = self.by_id.iter().min_by_key(|(_, held)| held.noted_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}
