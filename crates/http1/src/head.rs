//! Request and response heads.

use crate::body::{request_length, response_length, BodyLength};
use crate::Headers;
use snafu::{ensure, Snafu};

/// Most header fields of one message.
const MAX_FIELDS: usize = 100;

/// Why a head was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeadError {
    /// Longer than allowed.
    #[snafu(display("the head is longer than allowed"))]
    TooLong,
    /// Not HTTP/1.
    #[snafu(display("the head cannot be read"))]
    Malformed,
    /// The length of the body is not certain.
    #[snafu(display("the length of the body is not certain"))]
    AmbiguousLength,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Request target as sent.
    pub target: String,
    /// Whether the connection may serve another request.
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
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the body is framed.
    pub length: BodyLength,
}

/// Reads a request head; `None` while it is not whole. Returns it with its length in bytes.
pub fn parse_request(
    input: &[u8],
    most_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let Some(end) = find_end(input, most_bytes)? else {
        return Ok(None);
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let whole = matches!(parsed.parse(&input[..end]), Ok(httparse::Status::Complete(_)));
    ensure!(whole, MalformedSnafu);
    let headers = collect(parsed.headers);
    let minor = parsed.version.unwrap_or(0);
    let length = request_length(&headers, minor)?;
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        keep_alive: persists(minor, &headers),
        headers,
        length,
    };
    Ok(Some((head, end)))
}

/// Reads a response head to a request of the given method; `None` while it is not whole. Interim
/// responses (1xx) are returned like others.
pub fn parse_response(
    input: &[u8],
    most_bytes: usize,
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let Some(end) = find_end(input, most_bytes)? else {
        return Ok(None);
    };
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let whole = matches!(parsed.parse(&input[..end]), Ok(httparse::Status::Complete(_)));
    ensure!(whole, MalformedSnafu);
    let headers = collect(parsed.headers);
    let status = parsed.code.unwrap_or(0);
    let length = response_length(&headers, status, method)?;
    let minor = parsed.version.unwrap_or(0);
    let keep_alive = persists(minor, &headers) && length != BodyLength::UntilClose;
    Ok(Some((ResponseHead { status, keep_alive, headers, length }, end)))
}

/// The position after the empty line; lines must end with CR LF.
fn find_end(input: &[u8], most_bytes: usize) -> Result<Option<usize>, HeadError> {
    let seen = &input[..input.len().min(most_bytes)];
    let mut line_start = 0;
    for (position, byte) in seen.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        ensure!(position > 0 && seen[position - 1] == b'\r', MalformedSnafu);
        if position == line_start + 1 {
            ensure!(line_start > 0, MalformedSnafu);
            return Ok(Some(position + 1));
        }
        line_start = position + 1;
    }
    ensure!(input.len() < most_bytes, TooLongSnafu);
    Ok(None)
}

fn collect(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in parsed {
        headers.push(field.name, field.value);
    }
    headers
}

fn persists(minor_version: u8, headers: &Headers) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    minor_version >= 1 || headers.has_token("connection", "keep-alive")
}
