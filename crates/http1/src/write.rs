//! Serialization of messages.

use crate::Headers;
use std::io::Write;

/// Whether the connection persists after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPersistence {
    /// The connection stays open.
    Keep,
    /// The connection is closed after this message.
    Close,
}

/// Appends a request with its body.
pub fn write_request(
    output: &mut Vec<u8>,
    method: &str,
    target: &str,
    headers: &Headers,
    body: &[u8],
) {
    write_request_head(output, method, target, headers, body.len());
    output.extend_from_slice(body);
}

/// Appends the head of a request with a body of `body_bytes`, which the caller sends afterwards.
pub fn write_request_head(
    output: &mut Vec<u8>,
    method: &str,
    target: &str,
    headers: &Headers,
    body_bytes: usize,
) {
    let _ = write!(output, "{method} {target} HTTP/1.1\r\n");
    write_fields(output, headers);
    let omits_length = body_bytes == 0 && matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS");
    if !omits_length {
        let _ = write!(output, "Content-Length: {body_bytes}\r\n");
    }
    output.extend_from_slice(b"\r\n");
}

/// Appends a response with its body.
pub fn write_response(
    output: &mut Vec<u8>,
    status: u16,
    headers: &Headers,
    body: &[u8],
    persistence: ConnectionPersistence,
) {
    write_response_head(output, status, headers, body.len(), persistence);
    output.extend_from_slice(body);
}

/// Appends the head of a response with a body of `body_bytes`, which the caller sends afterwards.
pub fn write_response_head(
    output: &mut Vec<u8>,
    status: u16,
    headers: &Headers,
    body_bytes: usize,
    persistence: ConnectionPersistence,
) {
    let _ = write!(output, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    write_fields(output, headers);
    if status >= 200 && status != 204 && status != 304 {
        let _ = write!(output, "Content-Length: {body_bytes}\r\n");
    }
    if persistence == ConnectionPersistence::Close {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
}

fn write_fields(output: &mut Vec<u8>, headers: &Headers) {
    for (name, value) in headers.iter() {
        output.extend_from_slice(name.as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value);
        output.extend_from_slice(b"\r\n");
    }
}

/// The standard reason phrase of a status code; "Status" for codes that are not listed.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
