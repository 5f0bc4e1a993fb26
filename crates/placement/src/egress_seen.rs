//! Estimate of the load on the outgoing link of an upstream's machine.

use crate::upstream::{MAX_REFUSAL_MS, REPLY_MAX_AGE_MS};
use crate::Millis;

/// Reported state of the outgoing link of an upstream's machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EgressEstimate {
    wait_ms: f64,
    reported_at: Millis,
    /// Expected response bytes of the calls sent since that report.
    requested_bytes: f64,
    /// Throughput for large responses; 0 if unknown.
    bytes_per_ms: f64,
    /// When a refusal for lack of link capacity expires, and the retry time stated by the upstream.
    full_until: Millis,
    retry_at: Millis,
}

impl EgressEstimate {
    /// Records the reported wait of a large response for the link, milliseconds.
    pub fn report_wait(&mut self, wait_ms: f64, now: Millis) {
        self.wait_ms = wait_ms;
        self.reported_at = now;
        self.requested_bytes = 0.0;
    }

    /// Records the link's reported throughput for large responses, bytes per millisecond; 0 if
    /// unknown.
    pub fn set_throughput(&mut self, bytes_per_ms: f64) {
        self.bytes_per_ms = bytes_per_ms;
    }

    /// Records that a call was refused because its response would have waited too long for the
    /// link.
    pub fn note_full(&mut self, retry_after_ms: u64, now: Millis) {
        self.full_until = now + retry_after_ms.min(MAX_REFUSAL_MS);
        self.retry_at = now + retry_after_ms;
    }

    /// Whether a recent refusal is still in effect.
    pub fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }

    /// When a refused call may be retried, as stated by the upstream.
    pub fn retry_at(&self) -> Millis {
        self.retry_at
    }

    /// Records that a call was sent whose response has this expected length.
    pub fn note_requested(&mut self, answer_bytes: f64) {
        self.requested_bytes += answer_bytes;
    }

    /// Time from the end of an execution of `work_ms` until a response of this length has been
    /// sent, including the wait for the link, milliseconds; 0 if the link's throughput is unknown.
    pub fn answer_ms(&self, answer_bytes: f64, work_ms: f64, now: Millis) -> f64 {
        let EgressEstimate { wait_ms, reported_at, requested_bytes, bytes_per_ms, .. } = *self;
        if bytes_per_ms <= 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(reported_at) as f64;
        let confidence = 1.0 - (age / REPLY_MAX_AGE_MS as f64).min(1.0);
        let queued_ms = (wait_ms + requested_bytes / bytes_per_ms) * confidence;
        // The link drains its queue while the request executes.
        (queued_ms - work_ms).max(0.0) + answer_bytes / bytes_per_ms
    }
}
