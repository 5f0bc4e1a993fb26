//! Calls with an `Idempotency-Key`, for which a quorum records a claim before the first send.

use crate::claim_link::ClaimClient;
use crate::refusal::{Refusal, RefusalKind};
use crate::upstream::UpstreamResponse;
use claims::{ClaimAnswer, ClaimCommand, Outcome, MAX_KEY_BYTES};
use ring::digest::{Context, SHA256};
use telemetry::BootInstant;
use ureq::http::{HeaderMap, StatusCode};
use verdict::Verdict;

/// Header with the caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "Idempotency-Key";

/// Claim that permits this attempt to send the call once.
pub(crate) struct HeldClaim<'a> {
    client: &'a ClaimClient,
    key: String,
    attempt: u64,
}

/// Result of claiming a call.
pub(crate) enum ClaimResult<'a> {
    /// The call may be sent once.
    Send(HeldClaim<'a>),
    /// The call ran before; this is the recorded response.
    Answered(UpstreamResponse),
}

/// Claims a call, or returns the recorded response of an earlier attempt.
pub(crate) fn claim<'a>(
    client: &'a ClaimClient,
    route: &str,
    key: &str,
    request_digest: [u8; 32],
    keep_ms: u64,
    deadline: BootInstant,
) -> Result<ClaimResult<'a>, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} characters");
        return Err(Refusal::not_run(RefusalKind::BadRequest, message));
    }
    let key = format!("{route}\n{key}");
    let attempt = fastrand::u64(..);
    let request = request_digest;
    let begin = ClaimCommand::Begin { key: key.clone(), request, attempt, now_ms: 0, keep_ms };
    let Ok(answer) = client.submit(&begin, deadline) else {
        // The claim may have been recorded even though its answer was lost.
        client.submit_in_background(ClaimCommand::Release { key, attempt });
        let message = "no quorum recorded the claim; the call was not sent";
        return Err(Refusal::not_run(RefusalKind::NoQuorum, message));
    };
    match answer {
        ClaimAnswer::Started => Ok(ClaimResult::Send(HeldClaim { client, key, attempt })),
        ClaimAnswer::Recorded(outcome) => recorded_response(outcome).map(ClaimResult::Answered),
        ClaimAnswer::MayHaveRun => Err(Refusal {
            kind: RefusalKind::OutcomeUnknown,
            verdict: Verdict::MayHaveRun,
            message: "an earlier try with this key may have run".to_owned(),
        }),
        ClaimAnswer::KeyReused => {
            let message = "this key was used for another request";
            Err(Refusal::not_run(RefusalKind::KeyReused, message))
        }
        ClaimAnswer::Full => {
            let message = "no room for more keys; the call was not sent";
            Err(Refusal::not_run(RefusalKind::Overloaded, message))
        }
        ClaimAnswer::Abandoned | ClaimAnswer::Done => {
            let message = "the claim was given up; the call was not sent";
            Err(Refusal::not_run(RefusalKind::NoQuorum, message))
        }
    }
}

impl HeldClaim<'_> {
    /// Records the response, which resends of the call will get.
    pub fn finish(self, response: &UpstreamResponse) {
        let content_type =
            response.headers.get("Content-Type").and_then(|value| value.to_str().ok());
        let outcome = Outcome {
            status: response.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body: Some(response.body.clone()),
        };
        let (key, attempt) = (self.key, self.attempt);
        self.client.submit_in_background(ClaimCommand::Finish { key, attempt, outcome });
    }

    /// Releases the claim of a call that certainly did not run, so that a resend may run it.
    pub fn release(self) {
        let (key, attempt) = (self.key, self.attempt);
        self.client.submit_in_background(ClaimCommand::Release { key, attempt });
    }
}

fn recorded_response(outcome: Outcome) -> Result<UpstreamResponse, Refusal> {
    let Some(body) = outcome.body else {
        return Err(Refusal {
            kind: RefusalKind::OutcomeNotKept,
            verdict: Verdict::Ran,
            message: format!("it ran with status {}; its answer was not kept", outcome.status),
        });
    };
    let mut headers = HeaderMap::new();
    if let Ok(value) = outcome.content_type.parse() {
        headers.insert("Content-Type", value);
    }
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    Ok(UpstreamResponse { status, headers, body })
}

/// Digest of a request, used to detect that a key is reused for a different request.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Context::new(&SHA256);
    hasher.update(method.as_bytes());
    hasher.update(b"\n");
    hasher.update(path.as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    let mut digest = [0; 32];
    digest.copy_from_slice(hasher.finish().as_ref());
    digest
}
