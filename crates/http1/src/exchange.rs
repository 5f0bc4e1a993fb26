//! The calling side of a connection: one request at a time, and its answer.

use crate::{parse_response, BodyDecoder, BodyError, HeadError, Headers, Response, ResponseHead};
use bytes::BytesMut;
use snafu::Snafu;

/// Answers to other requests that are passed over before the connection is given up.
const MAX_FOREIGN_ANSWERS: u32 = 4;
const CONTINUE: u16 = 100;
const CONTINUE_LIMIT: u16 = 200;
/// Interim answers kept until they are taken.
const MAX_INTERIM: usize = 64;

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// In good order.
    Clean,
    /// Reset, timed out or broken in another way.
    Reset,
}

/// Why an exchange has no answer. The request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ExchangeError {
    /// Nothing of an answer came before the connection ended.
    #[snafu(display("the connection ended without an answer"))]
    NoAnswer,
    /// The connection ended within the answer.
    #[snafu(display("the answer was cut short"))]
    CutShort,
    /// What came is no answer.
    #[snafu(display("what came is not an answer"))]
    Malformed,
    /// The answer is longer than allowed.
    #[snafu(display("the answer is longer than allowed"))]
    TooLong,
}

/// The id by which answers are told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedId {
    /// Header that carries it.
    pub header: String,
    /// Its value on the request.
    pub value: Vec<u8>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The answer.
    pub response: Response,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

#[derive(Debug)]
enum Phase {
    Head,
    Body { head: ResponseHead, decoder: BodyDecoder, body: Vec<u8>, foreign: bool },
    Finished,
}

/// One request on a connection, waiting for its answer.
#[derive(Debug)]
pub struct Exchange {
    method: String,
    expected: Option<ExpectedId>,
    most_head_bytes: usize,
    most_body_bytes: u64,
    foreign_answers: u32,
    phase: Phase,
    started: bool,
    interim: Vec<Headers>,
}

impl Exchange {
    /// An exchange whose request has just been written.
    pub fn new(
        method: &str,
        expected: Option<ExpectedId>,
        most_head_bytes: usize,
        most_body_bytes: u64,
    ) -> Self {
        Exchange {
            method: method.to_owned(),
            expected,
            most_head_bytes,
            most_body_bytes,
            foreign_answers: 0,
            phase: Phase::Head,
            started: false,
            interim: Vec::new(),
        }
    }

    /// Takes in what arrived; `None` while the answer is not whole.
    pub fn receive(&mut self, input: &mut BytesMut) -> Result<Option<Answer>, ExchangeError> {
        loop {
            self.started |= !input.is_empty();
            match std::mem::replace(&mut self.phase, Phase::Finished) {
                Phase::Finished => return Ok(None),
                Phase::Head => {
                    let parsed = parse_response(input, self.most_head_bytes, &self.method);
                    let Some((head, length)) = parsed.map_err(head_error)? else {
                        self.phase = Phase::Head;
                        return Ok(None);
                    };
                    let _ = input.split_to(length);
                    self.phase = self.after_head(head)?;
                }
                Phase::Body { head, mut decoder, mut body, foreign } => {
                    if !decoder.take(input, &mut body).map_err(body_error)? {
                        self.phase = Phase::Body { head, decoder, body, foreign };
                        return Ok(None);
                    }
                    if foreign {
                        self.phase = Phase::Head;
                        continue;
                    }
                    return Ok(Some(self.finish(head, body, input.is_empty())));
                }
            }
        }
    }

    /// Takes the fields of the `100 Continue` answers that came since the last time.
    pub fn take_interim(&mut self) -> Vec<Headers> {
        std::mem::take(&mut self.interim)
    }

    /// Tells that the connection ended; an answer without a length may be whole then.
    pub fn end_of_stream(&mut self, end: StreamEnd) -> Result<Answer, ExchangeError> {
        match std::mem::replace(&mut self.phase, Phase::Finished) {
            Phase::Body { head, mut decoder, body, foreign: false } => {
                if end == StreamEnd::Clean && decoder.end_of_stream() {
                    return Ok(self.finish(head, body, false));
                }
                Err(ExchangeError::CutShort)
            }
            Phase::Head if !self.started => Err(ExchangeError::NoAnswer),
            _ => Err(ExchangeError::CutShort),
        }
    }

    fn after_head(&mut self, head: ResponseHead) -> Result<Phase, ExchangeError> {
        if head.status < CONTINUE_LIMIT {
            // A sender without end of interim answers fills no memory.
            if head.status == CONTINUE && self.interim.len() < MAX_INTERIM {
                self.interim.push(head.headers);
            }
            return Ok(Phase::Head);
        }
        let foreign = self.is_foreign(&head);
        if foreign {
            self.foreign_answers += 1;
            if self.foreign_answers > MAX_FOREIGN_ANSWERS {
                return Err(ExchangeError::Malformed);
            }
        }
        let decoder = BodyDecoder::new(head.length, self.most_body_bytes).map_err(body_error)?;
        Ok(Phase::Body { head, decoder, body: Vec::new(), foreign })
    }

    fn is_foreign(&self, head: &ResponseHead) -> bool {
        let Some(expected) = &self.expected else {
            return false;
        };
        let carried = head.headers.get(&expected.header);
        carried.is_some_and(|id| id != expected.value.as_slice())
    }

    fn finish(&mut self, head: ResponseHead, body: Vec<u8>, nothing_behind: bool) -> Answer {
        // Bytes behind a whole answer belong to no request, and a connection that carried an
        // answer to another request may carry more of them.
        let reusable = head.keep_alive && nothing_behind && self.foreign_answers == 0;
        let mut headers = head.headers;
        headers.remove_connection_headers();
        let response = Response { status: head.status, headers, body };
        Answer { response, reusable }
    }
}

fn head_error(error: HeadError) -> ExchangeError {
    match error {
        HeadError::TooLong => ExchangeError::TooLong,
        HeadError::Malformed | HeadError::AmbiguousLength => ExchangeError::Malformed,
    }
}

fn body_error(error: BodyError) -> ExchangeError {
    match error {
        BodyError::TooLong => ExchangeError::TooLong,
        BodyError::Malformed => ExchangeError::Malformed,
    }
}
