//! The steps of the event loop while the process stops.

use super::{Sidecar, Work};
use crate::calls::refusal_response;
use crate::dialect::RegistrationDialect;
use crate::jobs::{Source, StopBound};
use crate::net::Leftovers;
use crate::servers::ServerKind;
use crate::stop::{Activity, StopPhase};
use crate::Millis;
use std::time::Duration;
use telemetry::StopSignal;
use tracing::info;

impl<D: RegistrationDialect> Sidecar<D> {
    /// Whether the process may exit: it was asked to stop and has finished its work.
    pub(super) fn should_exit(&mut self, stop: &StopSignal) -> bool {
        let now = self.now();
        if stop.is_set() && self.stop.begin(now) {
            self.begin_stop(now);
        }
        if !self.stop.has_begun() {
            return false;
        }
        if self.stop.close(self.calls.oldest_arrival(), now) {
            self.close_to_peers(now);
        }
        let reading = self.servers.partial_calls();
        let in_flight = self.calls.in_flight() + self.jobs.in_flight() + reading;
        // Data that comes after the exit resets its connection, which discards what the kernel has not sent.
        let unsent = self.net.has_unsent() || self.servers.awaits_close(&self.net);
        let activity = Activity { in_flight, last_request: self.last_request, unsent };
        match self.stop.phase(activity, now) {
            StopPhase::Running | StopPhase::Serving | StopPhase::Finishing | StopPhase::Closed => {
                false
            }
            StopPhase::Ending => {
                self.end_remaining_calls(now);
                false
            }
            StopPhase::Done => self.is_drained(now) || self.stop.is_at_limit(now),
        }
    }

    /// From now on, calls of peers are accepted only if they end before this process.
    fn begin_stop(&mut self, now: Millis) {
        let (running, queued) = self.jobs.load();
        info!(in_flight = self.calls.in_flight(), running, queued, "sidecar_stopping");
        self.calls.note_stop(now);
        let Some(latest_deadline) = self.stop.latest_deadline() else {
            return;
        };
        let retry_after_ms = self.stop.retry_after_ms();
        let actions = self.jobs.begin_stop(StopBound { latest_deadline, retry_after_ms }, now);
        self.work.extend(actions.into_iter().map(Work::Job));
        self.do_work();
    }

    /// Logs what the process leaves behind: requests without an answer, and data on its sockets.
    pub(super) fn log_exit(&mut self) {
        let now = self.now();
        let (at_limit, stopping_ms) = (self.stop.is_at_limit(now), self.stop.elapsed_ms(now));
        self.calls.log_left(now);
        self.jobs.log_left(|id| self.net.remote_address(id), stopping_ms, now);
        let (in_flight, jobs) = (self.calls.in_flight(), self.jobs.in_flight());
        let (reading, dropped) = (self.servers.partial_calls(), self.servers.dropped());
        let left = self.net.leftovers();
        let Leftovers { connections, finishing, unsent_bytes, unread_bytes } = left;
        info!(
            at_limit,
            stopping_ms,
            in_flight,
            jobs,
            reading,
            dropped,
            connections,
            finishing,
            unsent_bytes,
            unread_bytes,
            "sidecar_stopped"
        );
    }

    /// Whether nothing more comes: connections are refused from the first time on, and what came on those
    /// that were taken before is handled.
    fn is_drained(&mut self, now: Millis) -> bool {
        for event in self.net.stop_listening() {
            self.on_event(event);
        }
        !self.poll_more_events() && !self.servers.awaits_first_request(now)
    }

    /// Polls the sockets once more: a call that arrived since the last poll, or on a connection
    /// accepted in it, must not be lost unread.
    fn poll_more_events(&mut self) -> bool {
        let events = self.net.poll(Duration::ZERO);
        let received = !events.is_empty();
        for event in events {
            self.on_event(event);
            self.do_work();
        }
        received
    }

    /// Shortly before the process exits, refuses new connections, calls that have not arrived completely
    /// among them, and gives the remaining calls their final answers.
    fn end_remaining_calls(&mut self, now: Millis) {
        for event in self.net.stop_listening() {
            self.on_event(event);
        }
        self.refuse_partial_calls(now);
        if self.calls.in_flight() > 0 {
            self.end_calls_at_work(now);
        }
        self.do_work();
    }

    /// Tells callers and peers that the calls which they have begun to send have not run.
    fn refuse_partial_calls(&mut self, now: Millis) {
        let caller_response = refusal_response(self.stop.retry_after_ms());
        let peer_response = self.jobs.stopping_response(now);
        let refusal = |kind| match kind {
            ServerKind::Peer => peer_response.clone(),
            _ => caller_response.clone(),
        };
        self.servers.refuse_partial_calls(&mut self.net, refusal, now);
    }

    /// Gives the remaining calls their final answers. No call is queued for the local upstream any more
    /// (`Jobs::close` refused those), so ending one does not start another.
    fn end_calls_at_work(&mut self, now: Millis) {
        let (running, queued) = self.jobs.load();
        let in_flight = self.calls.in_flight();
        info!(in_flight, running, queued, "sidecar_ends_calls");
        let (peers, jobs) = (&self.peers, &self.jobs);
        let was_sent =
            |attempt| peers.was_sent(attempt) || jobs.has_started(Source::Local(attempt));
        let actions = self.calls.end_all(was_sent, self.stop.retry_after_ms(), now);
        self.work.extend(actions.into_iter().map(Work::Call));
    }

    /// Makes the local upstream unavailable to peers until this sidecar has restarted.
    fn close_to_peers(&mut self, now: Millis) {
        let (running, queued) = self.jobs.load();
        info!(in_flight = self.calls.in_flight(), running, queued, "sidecar_closing");
        self.links.report(&mut self.net, |record| record.stopping = true);
        self.calls.view.update(self.links.record().clone(), now);
        let actions = self.jobs.close(now);
        self.work.extend(actions.into_iter().map(Work::Job));
        self.do_work();
    }
}
