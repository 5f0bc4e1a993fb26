//! HTTP/1.1 message parsing and framing over byte buffers, without I/O or a clock.
//!
//! Input that two parsers could frame differently (several lengths, a length together with chunked
//! encoding, bare line feeds, folded headers, unusual chunk sizes) is rejected, to prevent request
//! smuggling.
#![forbid(unsafe_code)]

mod body;
mod budget;
mod exchange;
mod head;
mod headers;
mod message;
mod output;
mod server;
mod write;

pub use body::{BodyDecoder, BodyError, BodyLength};
pub use budget::{BodySink, ByteBudget};
pub use exchange::{Answer, Exchange, ExchangeError, ExpectedId, StreamEnd};
pub use head::{parse_request, parse_response, HeadError, RequestHead, ResponseHead};
pub use headers::{is_connection_header, Headers};
pub use message::{Request, Response};
pub use output::{Output, OutputQueue};
pub use server::{Offer, ServerConnection, ServerLimits, Slot};
pub use write::{
    reason_phrase, write_request, write_request_head, write_response, write_response_head,
    ConnectionPersistence,
};
