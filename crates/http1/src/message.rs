//! Whole messages.

use crate::Headers;

/// A request with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Request target as sent.
    pub target: String,
    /// Header fields, those of the connection included.
    pub headers: Headers,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Request {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A response with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields; those of the connection are left out when it is written.
    pub headers: Headers,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with a status and nothing else.
    pub fn empty(status: u16) -> Self {
        Response { status, ..Response::default() }
    }

    /// A plain-text response.
    pub fn text(status: u16, text: &str) -> Self {
        let mut headers = Headers::default();
        headers.push("Content-Type", "text/plain");
        Response { status, headers, body: text.as_bytes().to_vec() }
    }

    /// The same with one more header.
    pub fn with_header(mut self, name: &str, value: impl Into<Vec<u8>>) -> Self {
        self.headers.set(name, value);
        self
    }
}
