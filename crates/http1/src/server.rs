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
}

/// Place of a request among those of its connection.
pub type Slot = u64;

#[derive(Debug)]
enum Phase {
    Head,
    Body {
        head: RequestHead,
        decoder: BodyDecoder,
        body: Vec<u8>,
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

/// State of one connection with a caller.
#[derive(Debug)]
pub struct ServerConnection {
    phase: Phase,
    waiting: VecDeque<Waiting>,
    next_slot: Slot,
    closing: bool,
    last_answer_written: bool,
}

impl Default for ServerConnection {
    fn default() -> Self {
        ServerConnection {
            phase: Phase::Head,
            waiting: VecDeque::new(),
            next_slot: 0,
            closing: false,
            last_answer_written: false,
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
                Ok(Some((request, keep_alive))) => {
                    let slot = self.enqueue(keep_alive);
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
    ) -> Result<Option<(Request, bool)>, u16> {
        if matches!(self.phase, Phase::Head) {
            let parsed = parse_request(input, limits.header_bytes).map_err(head_status)?;
            let Some((head, length)) = parsed else {
                return Ok(None);
            };
            let _ = input.split_to(length);
            let decoder = BodyDecoder::new(head.length, limits.body_bytes).map_err(body_status)?;
            let awaited = head.length != BodyLength::Known(0) && input.is_empty();
            if awaited && head.headers.has_token("expect", "100-continue") {
                output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            self.phase = Phase::Body { head, decoder, body: Vec::new() };
        }
        let Phase::Body { decoder, body, .. } = &mut self.phase else {
            return Ok(None);
        };
        if !decoder.take(input, body).map_err(body_status)? {
            return Ok(None);
        }
        let Phase::Body { head, body, .. } = std::mem::replace(&mut self.phase, Phase::Head) else {
            return Ok(None);
        };
        let RequestHead { method, target, keep_alive, headers, .. } = head;
        Ok(Some((Request { method, target, headers, body }, keep_alive)))
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

    /// Whether part of a request has been read, or its head is still expected to be whole.
    pub fn is_reading(&self, input: &BytesMut) -> bool {
        match self.phase {
            Phase::Head => !input.is_empty(),
            Phase::Body { .. } => true,
            Phase::Refused => false,
        }
    }

    /// Answers a request that is not whole with 408 and stops reading.
    pub fn time_out(&mut self, output: &mut Vec<u8>) -> bool {
        self.phase = Phase::Refused;
        self.closing = true;
        let slot = self.enqueue(false);
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
