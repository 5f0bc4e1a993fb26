//! A caller's persistent connection, reused between calls until it is closed.

use bytes::BytesMut;
use http1::{write_request, Answer, Exchange, Headers, Response, StreamEnd};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longer than the timeout of any route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: u64 = 1024 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// How a call on a persistent connection ended.
pub enum ResponseOutcome {
    /// A response arrived.
    Answered(Response),
    /// No connection was open and none could be established.
    NotConnected,
    /// A reused connection closed before any byte of the response.
    ClosedBetween,
    /// The connection closed in any other way, or the response was invalid or timed out.
    Cut,
}

/// A connection that is opened on demand.
pub struct PersistentConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl PersistentConnection {
    /// Creates a connection that is not open yet.
    pub fn new(address: SocketAddr) -> Self {
        PersistentConnection { address, stream: None }
    }

    /// Returns whether the next call will reuse an open connection.
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends requests without a body, each before the answer to the one before it, and waits for the
    /// responses, which arrive in the same order.
    pub fn get_all(&mut self, requests: &[KeptRequest]) -> Vec<ResponseOutcome> {
        let reused = self.is_open();
        let Some(mut stream) = self.stream.take().or_else(|| connect(self.address)) else {
            return requests.iter().map(|_| ResponseOutcome::NotConnected).collect();
        };
        let mut bytes = Vec::new();
        for request in requests {
            write_request(&mut bytes, "GET", &request.path, &request.headers, &[]);
        }
        if stream.write_all(&bytes).is_err() {
            return requests.iter().map(|_| closed_without_response(reused)).collect();
        }
        let mut reader = ResponseReader { stream, input: BytesMut::new(), ended: false };
        let mut outcomes: Vec<ResponseOutcome> = Vec::new();
        for _ in requests {
            // Behind another response the connection is a reused one.
            let reused = reused || !outcomes.is_empty();
            outcomes.push(reader.read(reused));
        }
        self.stream = (!reader.ended && reader.input.is_empty()).then_some(reader.stream);
        outcomes
    }
}

/// A request on a persistent connection.
pub struct KeptRequest {
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Headers,
}

/// Reads the responses on a connection, one after the other.
struct ResponseReader {
    stream: TcpStream,
    /// What has arrived of the next responses.
    input: BytesMut,
    /// Whether no further response follows.
    ended: bool,
}

impl ResponseReader {
    fn read(&mut self, reused: bool) -> ResponseOutcome {
        if self.ended {
            return closed_without_response(reused);
        }
        let mut exchange = Exchange::new("GET", None, MAX_HEAD_BYTES, MAX_BODY_BYTES);
        match self.read_response(&mut exchange) {
            Ok(Answer { response, reusable }) => {
                // What follows belongs to the next response.
                self.ended = !reusable && self.input.is_empty();
                ResponseOutcome::Answered(response)
            }
            Err(no_bytes_received) => {
                self.ended = true;
                match no_bytes_received {
                    true => closed_without_response(reused),
                    false => ResponseOutcome::Cut,
                }
            }
        }
    }

    /// Reads one response. On failure, returns whether the connection closed before any byte of it.
    fn read_response(&mut self, exchange: &mut Exchange) -> Result<Answer, bool> {
        let mut any_received = !self.input.is_empty();
        loop {
            if let Some(answer) = exchange.receive(&mut self.input).map_err(|_| false)? {
                return Ok(answer);
            }
            let mut buffer = [0; READ_BYTES];
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    return exchange.end_of_stream(StreamEnd::Clean).map_err(|_| !any_received)
                }
                Ok(count) => {
                    any_received = true;
                    self.input.extend_from_slice(&buffer[..count]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The read timed out; the connection was not closed.
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(false),
                Err(_) => return Err(!any_received),
            }
        }
    }
}

fn closed_without_response(reused: bool) -> ResponseOutcome {
    match reused {
        true => ResponseOutcome::ClosedBetween,
        false => ResponseOutcome::Cut,
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}
