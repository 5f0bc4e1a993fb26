//! A caller's connection that is kept between calls, and used until it is gone.

use bytes::BytesMut;
use http1::{write_request, Answer, Exchange, Headers, Response, StreamEnd};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longer than any route's timeout.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: u64 = 1024 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// How a call on it ended.
pub enum KeptEnd {
    /// With an answer.
    Answered(Response),
    /// There was no connection, and none was taken.
    NotConnected,
    /// The connection ended before anything of an answer; it had served calls before.
    ClosedBetween,
    /// It ended otherwise.
    Cut,
}

/// One connection, opened when it is needed.
pub struct KeptConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl KeptConnection {
    /// Not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        KeptConnection { address, stream: None }
    }

    /// Whether the next call uses a connection that is open.
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends a request without a body and waits for its answer.
    pub fn get(&mut self, path: &str, headers: &Headers) -> KeptEnd {
        let reused = self.is_open();
        let Some(mut stream) = self.stream.take().or_else(|| open(self.address)) else {
            return KeptEnd::NotConnected;
        };
        let mut bytes = Vec::new();
        write_request(&mut bytes, "GET", path, headers, &[]);
        if stream.write_all(&bytes).is_err() {
            return ended_early(reused);
        }
        let mut exchange = Exchange::new("GET", None, MAX_HEAD_BYTES, MAX_BODY_BYTES);
        match read_answer(&mut stream, &mut exchange) {
            Ok(Answer { response, reusable }) => {
                self.stream = reusable.then_some(stream);
                KeptEnd::Answered(response)
            }
            Err(nothing_came) if nothing_came => ended_early(reused),
            Err(_) => KeptEnd::Cut,
        }
    }
}

fn ended_early(reused: bool) -> KeptEnd {
    match reused {
        true => KeptEnd::ClosedBetween,
        false => KeptEnd::Cut,
    }
}

fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT).ok()?;
    stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
    stream.set_write_timeout(Some(ANSWER_LIMIT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// The answer; an error tells whether the connection ended before any of it.
fn read_answer(stream: &mut TcpStream, exchange: &mut Exchange) -> Result<Answer, bool> {
    let mut input = BytesMut::new();
    let mut any = false;
    loop {
        let mut piece = [0; READ_BYTES];
        match stream.read(&mut piece) {
            Ok(0) => return exchange.end_of_stream(StreamEnd::Clean).map_err(|_| !any),
            Ok(count) => {
                any = true;
                input.extend_from_slice(&piece[..count]);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // No end of the connection: the caller has waited long enough.
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(false),
            Err(_) => return Err(!any),
        }
        if let Some(answer) = exchange.receive(&mut input).map_err(|_| false)? {
            return Ok(answer);
        }
    }
}
