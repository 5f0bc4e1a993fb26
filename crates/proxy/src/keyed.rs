//! Calls with an `Idempotency-Key`: claimed by quorum before the first send.

use crate::claim_link::ClaimLink;
use crate::refusal::{Refusal, RefusalKind};
use crate::upstream::UpstreamResponse;
use claims::{ClaimAnswer, ClaimCommand, Outcome, MAX_KEY_BYTES};
use ring::digest::{Context, SHA256};
use telemetry::BootInstant;
use touche::{HeaderMap, StatusCode};
use verdict::Verdict;

/// Header with the caller's key.
pub(crate) const KEY_HEADER: &str = "Idempotency-Key";

/// A claim that allows one send.
pub(crate) struct HeldClaim<'a> {
    link: &'a ClaimLink,
    key: String,
    attempt: u64,
}

/// What a claim leads to.
pub(crate) enum ClaimResult<'a> {
    /// Send the call, once.
    Send(HeldClaim<'a>),
    /// It ran before; this was the answer.
    Answered(UpstreamResponse),
}

/// Claims a call.
pub(crate) fn claim<'a>(
    link: &'a ClaimLink,
    route: &str,
    key: &str,
    request_digest: [u8; 32],
    keep_ms: u64,
    limit: BootInstant,
) -> Result<ClaimResult<'a>, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} characters");
        return Err(Refusal::not_run(RefusalKind::BadRequest, message));
    }
    let key = format!("{route}\n{key}");
    let attempt = fastrand::u64(..);
    let request = request_digest;
    let begin = ClaimCommand::Begin { key: key.clone(), request, attempt, now_ms: 0, keep_ms };
    let Ok(answer) = link.ask(&begin, limit) else {
        // The claim may have been recorded although its answer was lost.
        link.record_later(ClaimCommand::Release { key, attempt });
        let message = "no quorum recorded the claim; the call was not sent";
        return Err(Refusal::not_run(RefusalKind::NoQuorum, message));
    };
    match answer {
        ClaimAnswer::Started => Ok(ClaimResult::Send(HeldClaim { link, key, attempt })),
        ClaimAnswer::Recorded(outcome) => recorded(outcome).map(ClaimResult::Answered),
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
    /// Records the answer; resends get it.
    pub fn finish(self, answer: &UpstreamResponse) {
        let content_type = answer.headers.get("Content-Type").and_then(|value| value.to_str().ok());
        let outcome = Outcome {
            status: answer.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body: Some(answer.body.clone()),
        };
        let (key, attempt) = (self.key, self.attempt);
        self.link.record_later(ClaimCommand::Finish { key, attempt, outcome });
    }

    /// The call certainly did not run; a resend may run it.
    pub fn release(self) {
        let (key, attempt) = (self.key, self.attempt);
        self.link.record_later(ClaimCommand::Release { key, attempt });
    }
}

fn recorded(outcome: Outcome) -> Result<UpstreamResponse, Refusal> {
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

/// Digest of what a keyed request asks for.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut context = Context::new(&SHA256);
    context.update(method.as_bytes());
    context.update(b"\n");
    context.update(path.as_bytes());
    context.update(b"\n");
    context.update(body);
    let mut digest = [0; 32];
    digest.copy_from_slice(context.finish().as_ref());
    digest
}
