//! How long a body is, and taking it out of a buffer.

use crate::head::{AmbiguousLengthSnafu, HeadError};
use crate::Headers;
use bytes::{Buf, BytesMut};
use snafu::{ensure, Snafu};

/// Longest line in front of a chunk, bytes: sixteen digits and a short extension.
const MAX_CHUNK_LINE: usize = 256;
/// Longest trailer section, bytes.
const MAX_TRAILER: usize = 8 * 1024;
const MAX_CHUNK_DIGITS: usize = 8;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// Known in advance, bytes.
    Known(u64),
    /// In chunks.
    Chunked,
    /// Until the sender closes the connection; responses only.
    UntilClose,
}

/// Why a body was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// Longer than allowed.
    #[snafu(display("the body is longer than allowed"))]
    TooLong,
    /// Broken chunks.
    #[snafu(display("the chunks cannot be read"))]
    Malformed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Counted(u64),
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Takes one body out of a buffer, piece by piece.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    most_bytes: u64,
    taken: u64,
}

impl BodyDecoder {
    /// A decoder for a body of at most `most_bytes`.
    pub fn new(length: BodyLength, most_bytes: u64) -> Result<Self, BodyError> {
        let state = match length {
            BodyLength::Known(0) => State::Done,
            BodyLength::Known(bytes) => State::Counted(bytes),
            BodyLength::Chunked => State::ChunkLine,
            BodyLength::UntilClose => State::UntilClose,
        };
        let fits = !matches!(length, BodyLength::Known(bytes) if bytes > most_bytes);
        ensure!(fits, TooLongSnafu);
        Ok(BodyDecoder { state, most_bytes, taken: 0 })
    }

    /// Whether the whole body was taken.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Tells that the sender ended the connection in good order; true if that ends the body.
    pub fn end_of_stream(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Moves what belongs to the body from `input` to `output`; true once the body is whole.
    pub fn take(&mut self, input: &mut BytesMut, output: &mut Vec<u8>) -> Result<bool, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::Counted(left) => {
                    let left = self.take_bytes(left, input, output)?;
                    self.state = if left == 0 { State::Done } else { State::Counted(left) };
                    if left > 0 {
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
                State::ChunkData(left) => {
                    let left = self.take_bytes(left, input, output)?;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    if left > 0 {
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
                State::Trailer => match take_line(input, MAX_TRAILER)? {
                    None => return Ok(false),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) => {
                        self.taken += line.len() as u64;
                        ensure!(line.contains(&b':'), MalformedSnafu);
                    }
                },
            }
        }
    }

    fn take_bytes(
        &mut self,
        left: u64,
        input: &mut BytesMut,
        output: &mut Vec<u8>,
    ) -> Result<u64, BodyError> {
        let count = left.min(input.len() as u64);
        self.taken += count;
        ensure!(self.taken <= self.most_bytes, TooLongSnafu);
        output.extend_from_slice(&input[..count as usize]);
        input.advance(count as usize);
        Ok(left - count)
    }
}

fn take_line(input: &mut BytesMut, most: usize) -> Result<Option<Vec<u8>>, BodyError> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        ensure!(input.len() <= most, MalformedSnafu);
        return Ok(None);
    };
    ensure!(end > 0 && end <= most && input[end - 1] == b'\r', MalformedSnafu);
    let line = input[..end - 1].to_vec();
    input.advance(end + 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let plain = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    ensure!(plain, MalformedSnafu);
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}

pub(crate) fn request_length(headers: &Headers, minor: u8) -> Result<BodyLength, HeadError> {
    Ok(declared_length(headers, minor)?.unwrap_or(BodyLength::Known(0)))
}

pub(crate) fn response_length(
    headers: &Headers,
    status: u16,
    method: &str,
) -> Result<BodyLength, HeadError> {
    let bodiless = status < 200 || status == 204 || status == 304 || method == "HEAD";
    if bodiless {
        return Ok(BodyLength::Known(0));
    }
    Ok(declared_length(headers, 1)?.unwrap_or(BodyLength::UntilClose))
}

fn declared_length(headers: &Headers, minor: u8) -> Result<Option<BodyLength>, HeadError> {
    let mut encodings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (encodings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(encoding), None) => {
            let chunked = encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            let certain = chunked && minor >= 1 && encodings.next().is_none();
            ensure!(certain, AmbiguousLengthSnafu);
            Ok(Some(BodyLength::Chunked))
        }
        (None, Some(length)) => {
            let length = length.trim_ascii();
            let plain = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            ensure!(plain && lengths.next().is_none(), AmbiguousLengthSnafu);
            let text = std::str::from_utf8(length).map_err(|_| HeadError::AmbiguousLength)?;
            let bytes = text.parse().map_err(|_| HeadError::AmbiguousLength)?;
            Ok(Some(BodyLength::Known(bytes)))
        }
        (Some(_), Some(_)) => AmbiguousLengthSnafu.fail(),
    }
}
