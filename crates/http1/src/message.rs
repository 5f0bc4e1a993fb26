//! Complete messages.

use crate::Headers;
use bytes::Bytes;

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Request method.
    pub method: String,
    /// Request target, unmodified.
    pub target: String,
    /// Header fields, including hop-by-hop ones.
    pub headers: Headers,
    /// Decoded body, shared by all that hold the request.
    pub body: Bytes,
}

impl Request {
    /// The request target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields; [`crate::ServerConnection`] removes hop-by-hop ones before it sends a
    /// response.
    pub headers: Headers,
    /// Decoded body, shared by all that hold the response.
    pub body: Bytes,
}

impl Response {
    /// A response without headers and body.
    pub fn empty(status: u16) -> Self {
        Response { status, ..Response::default() }
    }

    /// A plain-text response.
    pub fn text(status: u16, text: &str) -> Self {
        let mut headers = Headers::default();
        headers.push("Content-Type", "text/plain");
        Response { status, headers, body: Bytes::copy_from_slice(text.as_bytes()) }
    }

    /// Sets a header, replacing any previous values.
    pub fn with_header(mut self, name: &str, value: impl Into<Vec<u8>>) -> Self {
        self.headers.set(name, value);
        self
    }
}
