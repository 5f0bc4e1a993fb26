//! The rate limit that an upstream states in its answers, for as long as it does so.
//!
//! Answers may overtake each other, so their order of arrival does not tell which statement is the
//! newest. A statement that limits calls more counts as soon as it arrives. One that limits them
//! less, or not at all, counts only if its request was sent after the limit in force had last been
//! stated: an answer that was slow never lifts a limit.

use crate::Millis;
use mesh::CallRate;

/// What one answer states of the upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateStatement {
    /// No limit.
    Unlimited,
    /// This limit.
    Limited(CallRate),
    /// The statement is invalid; what was stated before remains in force.
    Invalid,
}

/// The rate limit in force at one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedRate {
    rate: Option<CallRate>,
    /// When the last answer that stated the limit in force arrived.
    stated_at: Millis,
    /// Whether any answer has arrived.
    heard: bool,
}

impl StatedRate {
    /// The limit in force; `None` if there is none.
    pub fn rate(&self) -> Option<CallRate> {
        self.rate
    }

    /// Whether any answer has arrived.
    pub fn is_heard(&self) -> bool {
        self.heard
    }

    /// Records the statement of an answer to a request that was sent at `sent_at`; returns whether
    /// the limit in force changed.
    pub fn note(&mut self, statement: RateStatement, sent_at: Millis, now: Millis) -> bool {
        let stated = match statement {
            RateStatement::Invalid => return false,
            RateStatement::Unlimited => None,
            RateStatement::Limited(rate) => Some(rate),
        };
        let is_later = !self.heard || sent_at >= self.stated_at;
        if !is_later && !self.is_as_strict(stated) {
            return false;
        }
        self.heard = true;
        self.stated_at = now;
        std::mem::replace(&mut self.rate, stated) != stated
    }

    /// Adopts a limit that another process knows of, if no answer has arrived yet; returns whether
    /// the limit in force changed.
    pub fn adopt(&mut self, rate: CallRate) -> bool {
        let is_news = !self.heard && self.rate != Some(rate) && self.is_as_strict(Some(rate));
        if is_news {
            self.rate = Some(rate);
        }
        is_news
    }

    /// Whether a limit allows no more calls than the one in force.
    fn is_as_strict(&self, stated: Option<CallRate>) -> bool {
        match (stated, self.rate) {
            (None, held) => held.is_none(),
            (Some(_), None) => true,
            (Some(stated), Some(held)) => stated <= held,
        }
    }
}
