//! Server side of a connection: parses requests and writes the answers in the same order.

use crate::budget::BodyBuffer;
use crate::{
    parse_request, write_response_head, BodyDecoder, BodyError, BodyLength, ByteBudget,
    ConnectionPersistence, HeadError, Headers, Output, Request, RequestHead, Response,
};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// Status of the answer to a request for whose body there is no memory: it has not run.
const NO_ROOM_STATUS: u16 = 503;
/// Maximum number of pipelined requests of one connection that are unanswered.
const MAX_PIPELINED: usize = 64;
/// When a request for whose body there was no memory may come again, in seconds: about the time that a
/// body of some tens of megabytes takes to be passed on.
const NO_ROOM_RETRY_AFTER_S: &str = "0.5";

/// Limits on the requests of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum length of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub body_bytes: u64,
    /// Whether an offered body (`Expect: 100-continue`) waits for [`ServerConnection::allow`],
    /// rather than being allowed at once.
    pub holds_offers: bool,
}

/// Sequence number of a request on its connection, from 0.
pub type Slot = u64;

/// A request with `Expect: 100-continue` whose body the client has not been allowed to send yet.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Slot of the request.
    pub slot: Slot,
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Whether there is memory for its body. Otherwise it must be refused.
    pub has_room: bool,
}

/// Slot of a request whose body was offered, and whether any part of the body has been allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Offered {
    slot: Slot,
    allowed: bool,
    has_room: bool,
}

#[derive(Debug)]
enum Phase {
    Head,
    Body {
        head: RequestHead,
        decoder: BodyDecoder,
        body: BodyBuffer,
        /// Set if the body was offered; other requests get their slot once they are complete.
        offered: Option<Offered>,
    },
    /// No more input is parsed.
    Refused,
}

#[derive(Debug)]
struct PendingAnswer {
    slot: Slot,
    keep_alive: bool,
    /// The answer, if it waits for its turn.
    answer: Option<Response>,
}

/// A complete request.
struct CompleteRequest {
    request: Request,
    keep_alive: bool,
    /// Slot of the request, if it already has one.
    slot: Option<Slot>,
}

/// State of one connection with a client.
#[derive(Debug)]
pub struct ServerConnection {
    phase: Phase,
    pending: VecDeque<PendingAnswer>,
    next_slot: Slot,
    closing: bool,
    last_answer_written: bool,
    /// Number of requests that were read completely, or answered before their body was read.
    requests_read: u64,
    /// Headers of the answers to input that is rejected here.
    rejection_headers: Headers,
    budget: ByteBudget,
}

impl Default for ServerConnection {
    fn default() -> Self {
        Self::with_rejection_headers(Headers::default())
    }
}

impl ServerConnection {
    /// Creates the state of a connection on which answers to rejected input carry the given headers.
    pub fn with_rejection_headers(rejection_headers: Headers) -> Self {
        ServerConnection {
            phase: Phase::Head,
            pending: VecDeque::new(),
            next_slot: 0,
            closing: false,
            last_answer_written: false,
            requests_read: 0,
            rejection_headers,
            budget: ByteBudget::default(),
        }
    }

    /// Charges the bodies of requests to a budget. One for which there is no room is answered with status
    /// 503 before it is read, or with 413 if there will never be room.
    pub fn with_budget(self, budget: ByteBudget) -> Self {
        ServerConnection { budget, ..self }
    }

    /// Parses complete requests from `input`. Invalid input is answered here with an error status,
    /// and nothing after it is parsed.
    pub fn receive(
        &mut self,
        input: &mut BytesMut,
        limits: ServerLimits,
        output: &mut impl Output,
    ) -> Vec<(Slot, Request)> {
        let mut requests = Vec::new();
        while self.pending.len() < MAX_PIPELINED && !self.closing {
            match self.next_request(input, limits, output) {
                Ok(Some(CompleteRequest { request, keep_alive, slot })) => {
                    let slot = slot.unwrap_or_else(|| self.enqueue(keep_alive));
                    requests.push((slot, request));
                    // Input after a request that asks to close the connection is not parsed.
                    self.closing |= !keep_alive;
                }
                Ok(None) => break,
                Err(status) => {
                    self.phase = Phase::Refused;
                    self.closing = true;
                    let slot = self.enqueue(false);
                    self.answer(slot, self.rejection(status), false, output);
                }
            }
        }
        requests
    }

    fn rejection(&self, status: u16) -> Response {
        let mut headers = self.rejection_headers.clone();
        if status == NO_ROOM_STATUS {
            headers.push("Retry-After", NO_ROOM_RETRY_AFTER_S);
        }
        Response { status, headers, body: Bytes::new() }
    }

    fn enqueue(&mut self, keep_alive: bool) -> Slot {
        let slot = self.next_slot;
        self.next_slot += 1;
        self.pending.push_back(PendingAnswer { slot, keep_alive, answer: None });
        slot
    }

    fn next_request(
        &mut self,
        input: &mut BytesMut,
        limits: ServerLimits,
        output: &mut impl Output,
    ) -> Result<Option<CompleteRequest>, u16> {
        if matches!(self.phase, Phase::Head) {
            let parsed = parse_request(input, limits.header_bytes).map_err(head_status)?;
            let Some((head, length)) = parsed else {
                return Ok(None);
            };
            let _ = input.split_to(length);
            let largest = limits.body_bytes.min(self.budget.longest_body());
            let decoder = BodyDecoder::new(head.length, largest).map_err(body_status)?;
            let mut body = BodyBuffer::new(&self.budget);
            let has_room = match head.length {
                BodyLength::Known(bytes) => body.reserve(bytes),
                _ => true,
            };
            let body_pending = head.length != BodyLength::Known(0) && input.is_empty();
            let expects_continue = body_pending && head.headers.has_token("expect", "100-continue");
            // An interim answer must not overtake the answers to earlier requests.
            let defers = expects_continue && limits.holds_offers && self.pending.is_empty();
            if !has_room && !defers {
                return Err(NO_ROOM_STATUS);
            }
            let offered = defers.then(|| {
                let slot = self.enqueue(head.keep_alive);
                Offered { slot, allowed: false, has_room }
            });
            if expects_continue && !defers {
                output.put(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            self.phase = Phase::Body { head, decoder, body, offered };
        }
        let Phase::Body { decoder, body, .. } = &mut self.phase else {
            return Ok(None);
        };
        if !decoder.take(input, body).map_err(body_status)? {
            return Ok(None);
        }
        let previous = std::mem::replace(&mut self.phase, Phase::Head);
        let Phase::Body { head, body, offered, .. } = previous else {
            return Ok(None);
        };
        self.requests_read += 1;
        let RequestHead { method, target, keep_alive, headers, .. } = head;
        let request = Request { method, target, headers, body: body.freeze() };
        Ok(Some(CompleteRequest { request, keep_alive, slot: offered.map(|offered| offered.slot) }))
    }

    /// The request whose offered body has not been allowed yet; `None` once a part of it was.
    pub fn offer(&self) -> Option<Offer<'_>> {
        match &self.phase {
            Phase::Body {
                head, offered: Some(Offered { slot, allowed: false, has_room }), ..
            } => Some(Offer { slot: *slot, head, has_room: *has_room }),
            _ => None,
        }
    }

    /// Allows the client to send `bytes` more bytes of an offered body, by an interim answer that
    /// carries the number in `header`.
    pub fn allow(&mut self, slot: Slot, header: &str, bytes: u64, output: &mut impl Output) {
        let Phase::Body { offered: Some(offered), .. } = &mut self.phase else {
            return;
        };
        if offered.slot == slot {
            offered.allowed = true;
            let interim = format!("HTTP/1.1 100 Continue\r\n{header}: {bytes}\r\n\r\n");
            output.put(interim.as_bytes());
        }
    }

    /// Bytes received of the body that is being read.
    pub fn body_bytes(&self) -> u64 {
        match &self.phase {
            Phase::Body { body, .. } => body.len() as u64,
            _ => 0,
        }
    }

    /// Handles the answer to an offered request before its body is complete. If no part of the body
    /// was allowed, the client does not send it and the connection stays usable; otherwise the
    /// connection must be closed, because the rest of the body would be parsed as a request.
    fn end_offered_request(&mut self, slot: Slot) {
        let Phase::Body { offered: Some(offered), .. } = &self.phase else {
            return;
        };
        if offered.slot != slot {
            return;
        }
        let allowed = offered.allowed;
        self.requests_read += 1;
        self.phase = if allowed { Phase::Refused } else { Phase::Head };
        if let Some(pending) = self.pending.iter_mut().find(|pending| pending.slot == slot) {
            pending.keep_alive &= !allowed;
        }
    }

    /// Answers a request. With `close`, no further request is taken from the connection, which ends after
    /// the answers to those that were taken. Answers are appended to `output` in the order of the
    /// requests. Returns true if the connection must be closed once `output` has been sent.
    pub fn answer(
        &mut self,
        slot: Slot,
        mut response: Response,
        close: bool,
        output: &mut impl Output,
    ) -> bool {
        self.end_offered_request(slot);
        let Some(pending) = self.pending.iter_mut().find(|pending| pending.slot == slot) else {
            return self.last_answer_written;
        };
        response.headers.remove_connection_headers();
        pending.answer = Some(response);
        if close {
            self.close_after_last();
        }
        self.write_ready_answers(output)
    }

    /// Takes no further request; the answer to the last one that was taken closes the connection. Those
    /// before it may be at work, so that closing behind an earlier one would lose them.
    fn close_after_last(&mut self) {
        self.closing = true;
        if let Some(last) = self.pending.back_mut() {
            last.keep_alive = false;
        }
    }

    fn write_ready_answers(&mut self, output: &mut impl Output) -> bool {
        while !self.last_answer_written {
            let Some(response) = self.pending.front_mut().and_then(|pending| pending.answer.take())
            else {
                break;
            };
            let keep_alive = self.pending.pop_front().is_some_and(|pending| pending.keep_alive);
            write_answer(response, keep_alive, output);
            self.last_answer_written = !keep_alive;
        }
        self.closing |= self.last_answer_written;
        self.last_answer_written
    }

    /// Whether the final answer has been written, so that the connection must be closed.
    pub fn is_over(&self) -> bool {
        self.last_answer_written
    }

    /// Number of requests whose answer has not been written.
    pub fn unanswered(&self) -> usize {
        self.pending.len()
    }

    /// Index of the request that is being received, from 0; `None` if no incomplete request has
    /// arrived, or if none is taken any more.
    pub fn reading(&self, input: &BytesMut) -> Option<u64> {
        let in_progress = match self.phase {
            _ if self.closing => false,
            Phase::Head => !input.is_empty(),
            Phase::Body { .. } => true,
            Phase::Refused => false,
        };
        in_progress.then_some(self.requests_read)
    }

    /// Answers the incomplete request with status 408 and stops parsing. Returns true if the
    /// connection must be closed once `output` has been sent.
    pub fn time_out(&mut self, output: &mut impl Output) -> bool {
        self.refuse_partial(self.rejection(408), output)
    }

    /// Answers the incomplete request before the rest of it is read, and stops parsing. Returns true if
    /// the connection must be closed once `output` has been sent.
    pub fn refuse_partial(&mut self, response: Response, output: &mut impl Output) -> bool {
        let offered = match &self.phase {
            Phase::Body { offered, .. } => offered.map(|offered| offered.slot),
            _ => None,
        };
        self.phase = Phase::Refused;
        self.closing = true;
        let slot = offered.unwrap_or_else(|| self.enqueue(false));
        self.answer(slot, response, true, output)
    }
}

fn write_answer(response: Response, keep_alive: bool, output: &mut impl Output) {
    let persistence = match keep_alive {
        true => ConnectionPersistence::Keep,
        false => ConnectionPersistence::Close,
    };
    let Response { status, headers, body } = response;
    let mut head = Vec::with_capacity(256);
    write_response_head(&mut head, status, &headers, body.len(), persistence);
    output.put(&head);
    output.put_shared(&body);
}

fn head_status(error: HeadError) -> u16 {
    match error {
        HeadError::TooLong => 431,
        HeadError::Malformed | HeadError::AmbiguousLength => 400,
    }
}

fn body_status(error: BodyError) -> u16 {
    match error {
        BodyError::TooLong => 413,
        BodyError::Malformed => 400,
        BodyError::NoRoom => NO_ROOM_STATUS,
    }
}
