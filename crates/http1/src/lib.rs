//! Framing of HTTP/1.1 messages as pure functions over byte buffers; no I/O and no clock.
//!
//! Anything that two readers could frame differently (two lengths, a length beside chunks, bare
//! line feeds, folded headers, odd chunk sizes) is refused.
#![forbid(unsafe_code)]

mod body;
mod exchange;
mod head;
mod headers;
mod message;
mod server;
mod write;

pub use body::{BodyDecoder, BodyError, BodyLength};
pub use exchange::{Answer, Exchange, ExchangeError, ExpectedId, StreamEnd};
pub use head::{parse_request, parse_response, HeadError, RequestHead, ResponseHead};
pub use headers::{is_connection_header, Headers};
pub use message::{Request, Response};
pub use server::{Offer, ServerConnection, ServerLimits, Slot};
pub use write::{
    reason_phrase, write_request, write_request_head, write_response, ConnectionPersistence,
};
