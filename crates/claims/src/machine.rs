//! Replicated state machine for claims.

use crate::{ClaimAnswer, ClaimCommand, ClaimKey, Outcome, RequestDigest};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of claims; further calls are refused before they run.
pub const MAX_CLAIMS: usize = 500_000;
/// Maximum length of a response body kept to answer retries, in bytes.
pub const MAX_OUTCOME_BODY_BYTES: usize = 4 * 1024;

/// Deliberate faults, used only to verify that the checkers detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimWeakness {
    /// Starts a second attempt although the first one may have run.
    StartsTwice,
}

#[derive(Clone, Debug, PartialEq, Readable, Writable)]
enum ClaimState {
    Started { attempt: u64 },
    Finished(Outcome),
    Released { attempt: u64 },
}

#[derive(Clone, Debug, PartialEq, Readable, Writable)]
struct Claim {
    request: RequestDigest,
    expires_ms: u64,
    state: ClaimState,
}

/// Claims of one consensus group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimMachine {
    claims: BTreeMap<ClaimKey, Claim>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    /// Highest leader time seen, so that a leader whose clock lags does not bring expired claims
    /// back.
    now_ms: u64,
    weakness: Option<ClaimWeakness>,
}

impl ClaimMachine {
    /// Enables a deliberate fault, for checker tests.
    pub fn weaken(&mut self, weakness: ClaimWeakness) {
        self.weakness = Some(weakness);
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &ClaimCommand) -> ClaimAnswer {
        match command {
            ClaimCommand::Begin { key, request, attempt, now_ms, keep_ms } => {
                self.expire(*now_ms);
                self.begin(key, request, *attempt, *keep_ms)
            }
            ClaimCommand::Finish { key, attempt, outcome } => self.finish(key, *attempt, outcome),
            ClaimCommand::Release { key, attempt } => self.release(key, *attempt),
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((expires_ms, key)) = self.expiry.first().cloned() {
            if expires_ms > self.now_ms {
                return;
            }
            self.expiry.pop_first();
            self.claims.remove(&key);
        }
    }

    fn begin(
        &mut self,
        key: &str,
        request: &RequestDigest,
        attempt: u64,
        keep_ms: u64,
    ) -> ClaimAnswer {
        let starts_twice = self.weakness == Some(ClaimWeakness::StartsTwice);
        match self.claims.get_mut(key) {
            None => self.insert(key, request, attempt, keep_ms),
            Some(claim) if claim.request != *request => ClaimAnswer::KeyReused,
            Some(claim) => match &claim.state {
                ClaimState::Started { attempt: current } if *current == attempt || starts_twice => {
                    ClaimAnswer::Started
                }
                ClaimState::Started { .. } => ClaimAnswer::MayHaveRun,
                ClaimState::Finished(outcome) => ClaimAnswer::Recorded(outcome.clone()),
                ClaimState::Released { attempt: released } if *released == attempt => {
                    ClaimAnswer::Abandoned
                }
                ClaimState::Released { .. } => {
                    claim.state = ClaimState::Started { attempt };
                    ClaimAnswer::Started
                }
            },
        }
    }

    fn insert(
        &mut self,
        key: &str,
        request: &RequestDigest,
        attempt: u64,
        keep_ms: u64,
    ) -> ClaimAnswer {
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimAnswer::Full;
        }
        let expires_ms = self.now_ms.saturating_add(keep_ms);
        let state = ClaimState::Started { attempt };
        self.claims.insert(key.to_owned(), Claim { request: *request, expires_ms, state });
        self.expiry.insert((expires_ms, key.to_owned()));
        ClaimAnswer::Started
    }

    fn finish(&mut self, key: &str, attempt: u64, outcome: &Outcome) -> ClaimAnswer {
        if let Some(claim) = self.claims.get_mut(key) {
            if matches!(&claim.state, ClaimState::Started { attempt: current } if *current == attempt)
            {
                claim.state = ClaimState::Finished(without_long_body(outcome));
            }
        }
        ClaimAnswer::Done
    }

    fn release(&mut self, key: &str, attempt: u64) -> ClaimAnswer {
        if let Some(claim) = self.claims.get_mut(key) {
            if matches!(&claim.state, ClaimState::Started { attempt: current } if *current == attempt)
            {
                claim.state = ClaimState::Released { attempt };
            }
        }
        ClaimAnswer::Done
    }

    /// Encodes the complete state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let state = (self.now_ms, &self.claims);
        state.write_to_vec().expect("encoding to memory cannot fail")
    }

    /// Decodes the output of [`ClaimMachine::encode`]; an empty slice decodes to an empty state.
    pub fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        if bytes.is_empty() {
            return Ok(ClaimMachine::default());
        }
        let (now_ms, claims) = <(u64, BTreeMap<ClaimKey, Claim>)>::read_from_buffer(bytes)?;
        let expiry = claims.iter().map(|(key, claim)| (claim.expires_ms, key.clone())).collect();
        Ok(ClaimMachine { claims, expiry, now_ms, weakness: None })
    }
}

fn without_long_body(outcome: &Outcome) -> Outcome {
    let mut bounded = outcome.clone();
    if bounded.body.as_ref().is_some_and(|body| body.len() > MAX_OUTCOME_BODY_BYTES) {
        bounded.body = None;
    }
    bounded
}
