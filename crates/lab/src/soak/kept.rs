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

    /// Sends a request without a body and waits for the response.
    pub fn get(&mut self, path: &str, headers: &Headers) -> ResponseOutcome {
        let reused = self.is_open();
        let Some(mut stream) = self.stream.take().or_else(|| connect(self.address)) else {
            return ResponseOutcome::NotConnected;
        };
        let mut bytes = Vec::new();
        write_request(&mut bytes, "GET", path, headers, &[]);
        if stream.write_all(&bytes).is_err() {
            return closed_without_response(reused);
        }
        let mut exchange = Exchange::new("GET", None, MAX_HEAD_BYTES, MAX_BODY_BYTES);
        match read_response(&mut stream, &mut exchange) {
            Ok(Answer { response, reusable }) => {
                self.stream = reusable.then_some(stream);
                ResponseOutcome::Answered(response)
            }
            Err(no_bytes_received) if no_bytes_received => closed_without_response(reused),
            Err(_) => ResponseOutcome::Cut,
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

/// Reads the response. On failure, returns whether the connection closed before any byte of it.
fn read_response(stream: &mut TcpStream, exchange: &mut Exchange) -> Result<Answer, bool> {
    let mut input = BytesMut::new();
    let mut any_received = false;
    loop {
        let mut buffer = [0; READ_BYTES];
        match stream.read(&mut buffer) {
            Ok(0) => return exchange.end_of_stream(StreamEnd::Clean).map_err(|_| !any_received),
            Ok(count) => {
                any_received = true;
                input.extend_from_slice(&buffer[..count]);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // The read timed out; the connection was not closed.
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(false),
            Err(_) => return Err(!any_received),
        }
        if let Some(answer) = exchange.receive(&mut input).map_err(|_| false)? {
            return Ok(answer);
        }
    }
}
