//! Body length and incremental body decoding.

use crate::head::{AmbiguousLengthSnafu, HeadError};
use crate::{BodySink, Headers};
use bytes::{Buf, BytesMut};
use snafu::{ensure, Snafu};

/// Maximum length of a chunk-size line in bytes; leaves room for the size and a short extension.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum length of a line in the trailer section, in bytes.
const MAX_TRAILER_LINE: usize = 8 * 1024;
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

/// How a message body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// `Content-Length`, in bytes.
    Known(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// Everything until the sender closes the connection; responses only.
    UntilClose,
}

/// Why a body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("message body exceeds the size limit"))]
    TooLong,
    /// There is no memory for the body now.
    #[snafu(display("no memory for the message body"))]
    NoRoom,
    /// The chunked encoding is invalid.
    #[snafu(display("malformed chunked encoding"))]
    Malformed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    KnownLength(u64),
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Incrementally decodes one body from a buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    max_bytes: u64,
    /// Body and trailer bytes so far, at most `max_bytes`.
    decoded_bytes: u64,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `max_bytes`; fails if a declared length exceeds
    /// that.
    pub fn new(length: BodyLength, max_bytes: u64) -> Result<Self, BodyError> {
        let state = match length {
            BodyLength::Known(0) => State::Done,
            BodyLength::Known(bytes) => State::KnownLength(bytes),
            BodyLength::Chunked => State::ChunkLine,
            BodyLength::UntilClose => State::UntilClose,
        };
        let within_limit = !matches!(length, BodyLength::Known(bytes) if bytes > max_bytes);
        ensure!(within_limit, TooLongSnafu);
        Ok(BodyDecoder { state, max_bytes, decoded_bytes: 0 })
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Handles an orderly close of the connection by the sender; returns true if the body is
    /// complete.
    pub fn end_of_stream(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Decodes body bytes from `input` and appends them to `output`; returns true once the body is
    /// complete.
    pub fn take(
        &mut self,
        input: &mut BytesMut,
        output: &mut impl BodySink,
    ) -> Result<bool, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::KnownLength(remaining) => {
                    let remaining = self.take_bytes(remaining, input, output)?;
                    self.state =
                        if remaining == 0 { State::Done } else { State::KnownLength(remaining) };
                    if remaining > 0 {
                        return Ok(false);
                    }
                }
                State::UntilClose => {
                    self.take_bytes(u64::MAX, input, output)?;
                    return Ok(false);
                }
                State::ChunkLine => match take_line(input, MAX_CHUNK_LINE)? {
                    None => return Ok(false),
                    Some(line) => {
                        let size = chunk_size(&line)?;
                        self.state =
                            if size == 0 { State::Trailer } else { State::ChunkData(size) };
                    }
                },
                State::ChunkData(remaining) => {
                    let remaining = self.take_bytes(remaining, input, output)?;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                    if remaining > 0 {
                        return Ok(false);
                    }
                }
                State::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(false);
                    }
                    ensure!(&input[..2] == b"\r\n", MalformedSnafu);
                    input.advance(2);
                    self.state = State::ChunkLine;
                }
                State::Trailer => match take_line(input, MAX_TRAILER_LINE)? {
                    None => return Ok(false),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) => {
                        self.decoded_bytes += line.len() as u64;
                        ensure!(self.decoded_bytes <= self.max_bytes, TooLongSnafu);
                        ensure!(line.contains(&b':'), MalformedSnafu);
                    }
                },
            }
        }
    }

    fn take_bytes(
        &mut self,
        remaining: u64,
        input: &mut BytesMut,
        output: &mut impl BodySink,
    ) -> Result<u64, BodyError> {
        let count = remaining.min(input.len() as u64);
        self.decoded_bytes += count;
        ensure!(self.decoded_bytes <= self.max_bytes, TooLongSnafu);
        output.put(&input[..count as usize])?;
        input.advance(count as usize);
        Ok(remaining - count)
    }
}

fn take_line(input: &mut BytesMut, max_bytes: usize) -> Result<Option<Vec<u8>>, BodyError> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        ensure!(input.len() <= max_bytes, MalformedSnafu);
        return Ok(None);
    };
    ensure!(end > 0 && end <= max_bytes && input[end - 1] == b'\r', MalformedSnafu);
    let line = input[..end - 1].to_vec();
    input.advance(end + 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let valid = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    ensure!(valid, MalformedSnafu);
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}

pub(crate) fn request_length(
    headers: &Headers,
    minor_version: u8,
) -> Result<BodyLength, HeadError> {
    Ok(declared_length(headers, minor_version)?.unwrap_or(BodyLength::Known(0)))
}

pub(crate) fn response_length(
    headers: &Headers,
    status: u16,
    method: &str,
) -> Result<BodyLength, HeadError> {
    let has_no_body = status < 200 || status == 204 || status == 304 || method == "HEAD";
    if has_no_body {
        return Ok(BodyLength::Known(0));
    }
    Ok(declared_length(headers, 1)?.unwrap_or(BodyLength::UntilClose))
}

fn declared_length(headers: &Headers, minor_version: u8) -> Result<Option<BodyLength>, HeadError> {
    let mut encodings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (encodings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(encoding), None) => {
            let chunked = encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            let unambiguous = chunked && minor_version >= 1 && encodings.next().is_none();
            ensure!(unambiguous, AmbiguousLengthSnafu);
            Ok(Some(BodyLength::Chunked))
        }
        (None, Some(length)) => {
            let length = length.trim_ascii();
            let numeric = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            ensure!(numeric && lengths.next().is_none(), AmbiguousLengthSnafu);
            let text = std::str::from_utf8(length).map_err(|_| HeadError::AmbiguousLength)?;
            let bytes = text.parse().map_err(|_| HeadError::AmbiguousLength)?;
            Ok(Some(BodyLength::Known(bytes)))
        }
        (Some(_), Some(_)) => AmbiguousLengthSnafu.fail(),
    }
}
