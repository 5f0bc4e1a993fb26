//! How jobs end (answers, cancellations, timeouts), and the start of queued jobs afterwards.

use super::{
    Job, JobAction, Jobs, Refusal, Source, UpstreamEnd, REFUSED_STATUS, WRONG_INSTANCE_STATUS,
};
use crate::net::ConnectionId;
use crate::Millis;
use admission::{GateState, JobId};
use http1::{ExchangeError, Response, Slot};
use mesh::{CallClass, HopOutcome, HopReply};
use std::net::SocketAddr;
use tracing::info;

/// Jobs are aborted at the upstream when their deadline has passed by this much, in milliseconds.
const OVERDUE_GRACE_MS: u64 = 150;
const UNKNOWN_STATUS: u16 = 502;
const FIRST_FAILURE_STATUS: u16 = 300;
const TOO_MANY_REQUESTS: u16 = 429;
const FIRST_SERVER_ERROR: u16 = 500;

impl Jobs {
    /// Handles the end of a job at the upstream.
    pub fn ended(&mut self, id: JobId, end: UpstreamEnd, now: Millis) -> Vec<JobAction> {
        match end {
            UpstreamEnd::Failed(error @ (ExchangeError::NoAnswer | ExchangeError::CutShort)) => {
                self.ended_unanswered(id, error, now)
            }
            end => self.finish(id, end, now),
        }
    }

    /// Replies with the outcome of a job and starts queued jobs.
    pub(super) fn finish(&mut self, id: JobId, end: UpstreamEnd, now: Millis) -> Vec<JobAction> {
        let Some(job) = self.remove(id) else {
            return Vec::new();
        };
        let spent_ms = job.spent_ms(now);
        self.metrics.note_end(spent_ms);
        if let UpstreamEnd::Failed(error) = &end {
            let fingerprint = self.fingerprint(&job.request);
            let instance = job.given_to.as_ref().map(|given_to| &given_to.id);
            info!(id = %job.attempt_id, %fingerprint, %error, ?instance, "upstream_failed");
        }
        let (outcome, response) = self.classify(&job.attempt_id, end);
        if job.started.is_some() {
            self.failures.note(counts_against_upstream(outcome, response.status), now);
            self.note_canary_outcome(job.class, outcome, response.status, spent_ms, now);
        }
        self.note_egress(&job, outcome, &response, spent_ms);
        let succeeded = outcome == HopOutcome::Answered && response.status < FIRST_FAILURE_STATUS;
        if succeeded {
            self.pace.note_run(spent_ms, job.usual_ms, now);
        }
        self.admission.release(succeeded.then_some(spent_ms));
        let routine = outcome == HopOutcome::Answered && response.status < FIRST_FAILURE_STATUS;
        if !routine || self.sample.includes(&job.attempt_id) {
            info!(
                id = %job.attempt_id, ?outcome, status = response.status, spent_ms,
                running = self.admission.running(), queued = self.admission.queued(), "job_ended"
            );
        }
        let retry_after_ms = match outcome {
            HopOutcome::Refused | HopOutcome::Rejected => self.admission.retry_after_ms(0, now),
            HopOutcome::Answered | HopOutcome::Unknown => 0,
        };
        self.note_instance(job.given_to.as_ref(), outcome, response.status);
        if outcome == HopOutcome::Answered {
            self.poison.note_completed(self.fingerprint(&job.request), now);
        }
        let upstream_ended =
            outcome == HopOutcome::Unknown && self.crash.has_ended(job.given_to.as_ref());
        let reply = self.reply(outcome, spent_ms, retry_after_ms, now);
        let upstream_leaving = job.upstream_leaving;
        let rate_limit = reply.rate_limit.or_else(|| self.lifted(&job));
        let reply = HopReply { upstream_ended, upstream_leaving, rate_limit, ..reply };
        let mut actions = vec![JobAction::Reply { source: job.source, reply, response }];
        actions.extend(self.start_queued(now));
        actions
    }

    /// Records how much of the link the answer uses.
    fn note_egress(&mut self, job: &Job, outcome: HopOutcome, response: &Response, spent_ms: u64) {
        let bytes = response.body.len();
        if outcome == HopOutcome::Answered && response.status < FIRST_FAILURE_STATUS {
            self.egress.note_answer(job.egress_kind(), bytes, spent_ms);
        }
        if matches!(job.source, Source::Peer { .. }) {
            self.egress.note_sent(bytes);
        }
    }

    /// Records the outcome for the evaluation of a canary. Latencies of a cold upstream are left
    /// out, since they say nothing about its version.
    fn note_canary_outcome(
        &mut self,
        class: CallClass,
        outcome: HopOutcome,
        status: u16,
        spent_ms: u64,
        now: Millis,
    ) {
        if counts_against_upstream(outcome, status) {
            self.trial.note_failed(class);
        } else if outcome == HopOutcome::Answered && !self.gate.is_cold(now) {
            self.trial.note_answered(class, spent_ms);
        }
    }

    /// Classifies the result from the upstream: whether the request ran, and which response is
    /// passed on.
    fn classify(&self, id: &str, end: UpstreamEnd) -> (HopOutcome, Response) {
        let answer = match end {
            UpstreamEnd::NotSent => return (HopOutcome::Refused, Response::empty(REFUSED_STATUS)),
            UpstreamEnd::Failed(_) => {
                return (HopOutcome::Unknown, Response::empty(UNKNOWN_STATUS));
            }
            UpstreamEnd::Answered(answer) => answer,
        };
        let response = answer.response;
        let is_other = response.status == WRONG_INSTANCE_STATUS;
        if response.headers.get(self.names.not_run).is_some() || is_other {
            return (HopOutcome::Rejected, response);
        }
        let sealed = response.headers.get(self.names.seal).is_some();
        if sealed || response.status >= FIRST_FAILURE_STATUS {
            return (HopOutcome::Answered, response);
        }
        info!(%id, status = response.status, "answer_without_seal");
        (HopOutcome::Unknown, Response::empty(UNKNOWN_STATUS))
    }

    pub(super) fn start_queued(&mut self, now: Millis) -> Vec<JobAction> {
        let mut actions = Vec::new();
        let closed_reason = match self.gate.state(now) {
            _ if self.evacuated => Some("zone_evacuated"),
            GateState::Open | GateState::Closing => None,
            GateState::Closed => Some("upstream_leaves"),
            GateState::Absent => Some("no_upstream"),
        };
        if let Some(reason) = closed_reason {
            for id in self.admission.clear() {
                actions.extend(self.refuse_queued(id, reason, now));
            }
        }
        while let Some(id) = self.admission.start_next(now) {
            match self.start(id, now) {
                Some(action) => actions.push(action),
                None => self.admission.release(None),
            }
        }
        actions
    }

    pub(super) fn refuse_queued(
        &mut self,
        id: JobId,
        reason: &str,
        now: Millis,
    ) -> Option<JobAction> {
        let job = self.remove(id)?;
        let retry_after_ms = self.admission.retry_after_ms(0, now);
        let held_ms = now.saturating_sub(job.arrived);
        let id = &job.attempt_id;
        let refusal = Refusal { id, reason, held_ms, retry_after_ms, ..Refusal::default() };
        Some(self.refuse(job.source, refusal, now))
    }

    /// Logs the jobs that the exit of the process cuts. `peer_of` returns the address behind a connection.
    pub fn log_left(
        &self,
        peer_of: impl Fn(ConnectionId) -> Option<SocketAddr>,
        stopping_ms: u64,
        now: Millis,
    ) {
        for job in self.jobs.values() {
            let peer = match job.source {
                Source::Peer { connection, .. } => peer_of(connection),
                Source::Local(_) => None,
            };
            info!(
                id = %job.attempt_id, ?peer, started = job.started.is_some(),
                held_ms = now.saturating_sub(job.arrived),
                left_ms = job.deadline.saturating_sub(now), stopping_ms, "job_cut"
            );
        }
    }

    /// Cancels a job whose caller is no longer waiting.
    pub fn cancel(&mut self, source: Source, now: Millis) -> Vec<JobAction> {
        if self.offers.end(source, now).is_some() {
            return self.grant_transfers(now);
        }
        let Some(id) = self.by_source.get(&source).copied() else {
            return Vec::new();
        };
        let Some(job) = self.remove(id) else {
            return Vec::new();
        };
        info!(id = %job.attempt_id, started = job.started.is_some(), "job_cancelled");
        if self.admission.cancel(id) {
            return Vec::new();
        }
        self.admission.release(None);
        self.failures.note_cancelled(job.spent_ms(now), self.admission.service_ms(), now);
        let mut actions = vec![JobAction::Abort(id)];
        actions.extend(self.start_queued(now));
        actions
    }

    /// Cancels all jobs of a peer whose connection has ended.
    pub fn connection_ended(&mut self, connection: ConnectionId, now: Millis) -> Vec<JobAction> {
        let first = Source::Peer { connection, slot: 0 };
        let last = Source::Peer { connection, slot: Slot::MAX };
        let begun = self.by_source.range(first..=last).map(|(source, _)| *source);
        let sources: Vec<Source> = begun.chain(self.offers.of_connection(connection)).collect();
        sources.into_iter().flat_map(|source| self.cancel(source, now)).collect()
    }

    /// Ends jobs and offers that waited or ran for too long, and starts queued jobs.
    pub fn tick(&mut self, now: Millis) -> Vec<JobAction> {
        let mut actions = Vec::new();
        self.update_limit(now);
        for id in self.admission.expire(now) {
            actions.extend(self.refuse_queued(id, "waited_too_long", now));
        }
        actions.extend(self.refuse_unservable(now));
        let is_overdue =
            |job: &Job| job.started.is_some() && job.deadline + OVERDUE_GRACE_MS <= now;
        let overdue: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| is_overdue(job)).map(|(id, _)| *id).collect();
        for id in overdue {
            actions.push(JobAction::Abort(id));
            actions.extend(self.finish(id, UpstreamEnd::Failed(ExchangeError::NoAnswer), now));
        }
        actions.extend(self.tick_probe(now));
        actions.extend(self.start_queued(now));
        actions.extend(self.expire_offers(now));
        actions.extend(self.grant_transfers(now));
        actions
    }

    /// When `tick` must be called next.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let running = self.jobs.values().filter(|job| job.started.is_some());
        let overdue = running.map(|job| job.deadline + OVERDUE_GRACE_MS).min();
        let offers = self.offers.next_expiry(now);
        let due_times = [
            overdue,
            self.admission.next_expiry(),
            self.admission.next_start(now),
            offers,
            self.next_probe_tick(),
        ];
        due_times.into_iter().flatten().min()
    }
}

/// Whether an outcome counts as a failure of the upstream. Rejections for overload count as well,
/// since the upstream is never given more calls than it has slots.
fn counts_against_upstream(outcome: HopOutcome, status: u16) -> bool {
    match outcome {
        HopOutcome::Answered => status >= FIRST_SERVER_ERROR,
        HopOutcome::Rejected => status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR,
        HopOutcome::Unknown => true,
        HopOutcome::Refused => false,
    }
}
