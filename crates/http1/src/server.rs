//! The answering side of a connection: requests in, answers out in the same order.

use crate::{
    parse_request, write_response, BodyDecoder, BodyError, BodyLength, ConnectionPersistence,
    HeadError, Request, RequestHead, Response,
};
use bytes::BytesMut;
use std::collections::VecDeque;

/// Requests taken from one connection before their answers are out.
const MAX_PIPELINED: usize = 64;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Longest head, bytes.
    pub header_bytes: usize,
    /// Longest body, bytes.
    pub body_bytes: u64,
    /// Whether a body that is offered (`Expect: 100-continue`) waits for [`ServerConnection::allow`].
    pub holds_offers: bool,
}

/// Place of a request among those of its connection.
pub type Slot = u64;

/// A request whose head came, and whose body waits to be allowed.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Its place.
    pub slot: Slot,
    /// Its head.
    pub head: &'a RequestHead,
}

/// How far the body of an offered request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Offered {
    slot: Slot,
    allowed: bool,
}

#[derive(Debug)]
enum Phase {
    Head,
    Body {
        head: RequestHead,
        decoder: BodyDecoder,
        body: Vec<u8>,
        /// Its place, if it was offered; others get theirs once they are whole.
        offered: Option<Offered>,
    },
    /// Nothing more is read.
    Refused,
}

#[derive(Debug)]
struct Waiting {
    slot: Slot,
    keep_alive: bool,
    answer: Option<Vec<u8>>,
}

/// A request that has been read.
struct Whole {
    request: Request,
    keep_alive: bool,
    /// Its place, if it has one already.
    slot: Option<Slot>,
}

/// State of one connection with a caller.
#[derive(Debug)]
pub struct ServerConnection {
    phase: Phase,
    waiting: VecDeque<Waiting>,
    next_slot: Slot,
    closing: bool,
    last_answer_written: bool,
    /// Requests of which no more is read.
    read: u64,
}

impl Default for ServerConnection {
    fn default() -> Self {
        ServerConnection {
            phase: Phase::Head,
            waiting: VecDeque::new(),
            next_slot: 0,
            closing: false,
            last_answer_written: false,
            read: 0,
        }
    }
}

impl ServerConnection {
    /// Takes whole requests out of `input`. What cannot be read is answered here, and nothing is
    /// read after it.
    pub fn receive(
        &mut self,
        input: &mut BytesMut,
        limits: ServerLimits,
        output: &mut Vec<u8>,
    ) -> Vec<(Slot, Request)> {
        let mut requests = Vec::new();
        while self.waiting.len() < MAX_PIPELINED && !self.closing {
            match self.next_request(input, limits, output) {
                Ok(Some(Whole { request, keep_alive, slot })) => {
                    let slot = slot.unwrap_or_else(|| self.enqueue(keep_alive));
                    requests.push((slot, request));
                    // What follows a request that asked to close is not read.
                    self.closing |= !keep_alive;
                }
                Ok(None) => break,
                Err(status) => {
                    self.phase = Phase::Refused;
                    self.closing = true;
                    let slot = self.enqueue(false);
                    self.answer(slot, Response::empty(status), false, output);
                }
            }
        }
        requests
    }

    fn enqueue(&mut self, keep_alive: bool) -> Slot {
        let slot = self.next_slot;
        self.next_slot += 1;
        self.waiting.push_back(Waiting { slot, keep_alive, answer: None });
        slot
    }

    fn next_request(
        &mut self,
        input: &mut BytesMut,
        limits: ServerLimits,
        output: &mut Vec<u8>,
    ) -> Result<Option<Whole>, u16> {
        if matches!(self.phase, Phase::Head) {
            let parsed = parse_request(input, limits.header_bytes).map_err(head_status)?;
            let Some((head, length)) = parsed else {
                return Ok(None);
            };
            let _ = input.split_to(length);
            let decoder = BodyDecoder::new(head.length, limits.body_bytes).map_err(body_status)?;
            let awaited = head.length != BodyLength::Known(0) && input.is_empty();
            let expects = awaited && head.headers.has_token("expect", "100-continue");
            // Interim answers must not overtake those to earlier requests.
            let holds = expects && limits.holds_offers && self.waiting.is_empty();
            let offered =
                holds.then(|| Offered { slot: self.enqueue(head.keep_alive), allowed: false });
            if expects && !holds {
                output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            self.phase = Phase::Body { head, decoder, body: Vec::new(), offered };
        }
        let Phase::Body { decoder, body, .. } = &mut self.phase else {
            return Ok(None);
        };
        if !decoder.take(input, body).map_err(body_status)? {
            return Ok(None);
        }
        let former = std::mem::replace(&mut self.phase, Phase::Head);
        let Phase::Body { head, body, offered, .. } = former else {
            return Ok(None);
        };
        self.read += 1;
        let RequestHead { method, target, keep_alive, headers, .. } = head;
        let request = Request { method, target, headers, body };
        Ok(Some(Whole { request, keep_alive, slot: offered.map(|held| held.slot) }))
    }

    /// The request whose body waits to be allowed; `None` once a part of it was.
    pub fn offer(&self) -> Option<Offer<'_>> {
        match &self.phase {
            Phase::Body { head, offered: Some(Offered { slot, allowed: false }), .. } => {
                Some(Offer { slot: *slot, head })
            }
            _ => None,
        }
    }

    /// Allows so many bytes more of an offered body, told in an interim answer's `header`.
    pub fn allow(&mut self, slot: Slot, header: &str, bytes: u64, output: &mut Vec<u8>) {
        let Phase::Body { offered: Some(held), .. } = &mut self.phase else {
            return;
        };
        if held.slot == slot {
            held.allowed = true;
            let interim = format!("HTTP/1.1 100 Continue\r\n{header}: {bytes}\r\n\r\n");
            output.extend_from_slice(interim.as_bytes());
        }
    }

    /// Bytes of the body that is being read.
    pub fn body_bytes(&self) -> u64 {
        match &self.phase {
            Phase::Body { body, .. } => body.len() as u64,
            _ => 0,
        }
    }

    /// An offered request gets its answer before its body: the body is not sent if no part of it
    /// was allowed, and else the connection cannot go on.
    fn end_offer(&mut self, slot: Slot) {
        let Phase::Body { offered: Some(held), .. } = &self.phase else {
            return;
        };
        if held.slot != slot {
            return;
        }
        let allowed = held.allowed;
        self.read += 1;
        self.phase = if allowed { Phase::Refused } else { Phase::Head };
        if let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.slot == slot) {
            waiting.keep_alive &= !allowed;
        }
    }

    /// Answers a request; `close` ends the connection after this answer. Returns true once the
    /// connection must be closed after `output` was sent.
    pub fn answer(
        &mut self,
        slot: Slot,
        mut response: Response,
        close: bool,
        output: &mut Vec<u8>,
    ) -> bool {
        self.end_offer(slot);
        let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.slot == slot) else {
            return self.last_answer_written;
        };
        waiting.keep_alive &= !close;
        let persistence = match waiting.keep_alive {
            true => ConnectionPersistence::Keep,
            false => ConnectionPersistence::Close,
        };
        response.headers.remove_connection_headers();
        let mut bytes = Vec::with_capacity(response.body.len() + 256);
        let Response { status, headers, body } = response;
        write_response(&mut bytes, status, &headers, &body, persistence);
        waiting.answer = Some(bytes);
        self.flush(output)
    }

    fn flush(&mut self, output: &mut Vec<u8>) -> bool {
        while !self.last_answer_written {
            let Some(Waiting { answer: Some(bytes), keep_alive, .. }) = self.waiting.front() else {
                break;
            };
            output.extend_from_slice(bytes);
            self.last_answer_written = !keep_alive;
            self.waiting.pop_front();
        }
        self.closing |= self.last_answer_written;
        self.last_answer_written
    }

    /// Whether the last answer was written and the connection must be closed.
    pub fn is_over(&self) -> bool {
        self.last_answer_written
    }

    /// Requests not answered yet.
    pub fn unanswered(&self) -> usize {
        self.waiting.len()
    }

    /// Which request is being read, counted from 0; `None` if no part of one has come that is not
    /// whole.
    pub fn reading(&self, input: &BytesMut) -> Option<u64> {
        let reads = match self.phase {
            Phase::Head => !input.is_empty(),
            Phase::Body { .. } => true,
            Phase::Refused => false,
        };
        reads.then_some(self.read)
    }

    /// Answers a request that is not whole with 408 and stops reading.
    pub fn time_out(&mut self, output: &mut Vec<u8>) -> bool {
        let offered = match &self.phase {
            Phase::Body { offered, .. } => offered.map(|held| held.slot),
            _ => None,
        };
        self.phase = Phase::Refused;
        self.closing = true;
        let slot = offered.unwrap_or_else(|| self.enqueue(false));
        self.answer(slot, Response::empty(408), true, output)
    }
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
    }
}
