//! Parsing of request and response heads.

use crate::body::{request_length, response_length, BodyLength};
use crate::Headers;
use snafu::{ensure, Snafu};

/// Maximum number of header fields in one message.
const MAX_FIELDS: usize = 100;

/// Why a head was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeadError {
    /// The head exceeds the size limit.
    #[snafu(display("message head exceeds the size limit"))]
    TooLong,
    /// The head is not a valid HTTP/1 head.
    #[snafu(display("malformed message head"))]
    Malformed,
    /// The headers that declare the body's length are invalid, duplicated or contradictory.
    #[snafu(display("ambiguous or invalid body length"))]
    AmbiguousLength,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Request target, unmodified.
    pub target: String,
    /// Whether the connection persists after this message.
    pub keep_alive: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the body is framed.
    pub length: BodyLength,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Whether the connection persists after this message.
    pub keep_alive: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the body is framed.
    pub length: BodyLength,
}

/// Parses a request head and returns it with its length in bytes; `None` while it is incomplete.
pub fn parse_request(
    input: &[u8],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let Some(end) = find_end(input, max_bytes)? else {
        return Ok(None);
    };
    let mut field_buffer = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut field_buffer);
    let complete = matches!(parsed.parse(&input[..end]), Ok(httparse::Status::Complete(_)));
    ensure!(complete, MalformedSnafu);
    let headers = to_headers(parsed.headers);
    let minor_version = parsed.version.unwrap_or(0);
    let length = request_length(&headers, minor_version)?;
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        keep_alive: is_persistent(minor_version, &headers),
        headers,
        length,
    };
    Ok(Some((head, end)))
}

/// Parses the head of a response to a request with the given method; `None` while it is incomplete.
/// Interim responses (1xx) are returned like any other.
pub fn parse_response(
    input: &[u8],
    max_bytes: usize,
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let Some(end) = find_end(input, max_bytes)? else {
        return Ok(None);
    };
    let mut field_buffer = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut field_buffer);
    let complete = matches!(parsed.parse(&input[..end]), Ok(httparse::Status::Complete(_)));
    ensure!(complete, MalformedSnafu);
    let headers = to_headers(parsed.headers);
    let status = parsed.code.unwrap_or(0);
    let length = response_length(&headers, status, method)?;
    let minor_version = parsed.version.unwrap_or(0);
    let keep_alive = is_persistent(minor_version, &headers) && length != BodyLength::UntilClose;
    Ok(Some((ResponseHead { status, keep_alive, headers, length }, end)))
}

/// Returns the position after the empty line that ends the head. Lines must end with CR LF, and the
/// empty line must not come first.
fn find_end(input: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let window = &input[..input.len().min(max_bytes)];
    let mut line_start = 0;
    for (position, byte) in window.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        ensure!(position > 0 && window[position - 1] == b'\r', MalformedSnafu);
        if position == line_start + 1 {
            ensure!(line_start > 0, MalformedSnafu);
            return Ok(Some(position + 1));
        }
        line_start = position + 1;
    }
    ensure!(input.len() < max_bytes, TooLongSnafu);
    Ok(None)
}

fn to_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in parsed {
        headers.push(field.name, field.value);
    }
    headers
}

fn is_persistent(minor_version: u8, headers: &Headers) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    minor_version >= 1 || headers.has_token("connection", "keep-alive")
}
