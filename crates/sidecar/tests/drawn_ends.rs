//! Drawn orders of bytes, ends, resets and writes on a simulated socket: an answer counts as complete
//! if and only if it is.

use bytes::BytesMut;
use fastrand::Rng;
use http1::{Answer, Exchange, ExchangeError, StreamEnd};
use sidecar::WriteFailure;
use std::collections::VecDeque;
use std::io::ErrorKind;

const HISTORIES: u64 = 20_000;

/// How the end of a stream is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Whole,
    /// The errors of writes are dropped.
    WritesDropped,
    /// Any error of a write spoils the end.
    AnyErrorSpoils,
}

/// A socket as Linux behaves: an error is reported once, to whichever call comes first.
#[derive(Debug, Default)]
struct Socket {
    received: VecDeque<u8>,
    ended: bool,
    is_dead: bool,
    error: Option<ErrorKind>,
}

impl Socket {
    fn reset(&mut self) {
        self.is_dead = true;
        let kind = if self.ended { ErrorKind::BrokenPipe } else { ErrorKind::ConnectionReset };
        self.error = Some(kind);
    }

    fn write(&mut self) -> Result<(), ErrorKind> {
        if let Some(error) = self.error.take() {
            return Err(error);
        }
        match self.is_dead {
            true => Err(ErrorKind::BrokenPipe),
            false => Ok(()),
        }
    }

    /// At most this many bytes; none at the end of the stream.
    fn read(&mut self, most: usize) -> Result<Vec<u8>, ErrorKind> {
        if !self.received.is_empty() {
            let count = most.min(self.received.len());
            return Ok(self.received.drain(..count).collect());
        }
        if self.ended {
            return Ok(Vec::new());
        }
        if let Some(error) = self.error.take() {
            return Err(error);
        }
        match self.is_dead {
            true => Ok(Vec::new()),
            false => Err(ErrorKind::WouldBlock),
        }
    }
}

/// What the upstream does with the connection.
#[derive(Clone, Debug)]
struct Script {
    bytes: Vec<u8>,
    body: Vec<u8>,
    framed: bool,
    /// Number of bytes of the answer that arrive.
    arrives: usize,
    ends: bool,
    resets: bool,
}

impl Script {
    fn draw(random: &mut Rng) -> Self {
        let body: Vec<u8> = (0..random.usize(1..60)).map(|_| random.u8(b'a'..=b'z')).collect();
        let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
        let framing = random.u32(..3);
        match framing {
            0 => bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes()),
            1 => bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n"),
            _ => bytes.extend(b"\r\n"),
        }
        if framing == 1 {
            for chunk in body.chunks(random.usize(1..30)) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        } else {
            bytes.extend_from_slice(&body);
        }
        let ends = random.bool();
        // What arrives before an end in order is the whole answer, if it has no length.
        let whole = random.bool() || (framing == 2 && ends);
        let arrives = if whole { bytes.len() } else { random.usize(..bytes.len()) };
        let resets = !ends || random.bool();
        Script { bytes, body, framed: framing < 2, arrives, ends, resets }
    }

    /// Whether the client can know that it has the whole answer.
    fn is_complete(&self) -> bool {
        self.arrives == self.bytes.len() && (self.framed || self.ends)
    }
}

/// The client's end of the connection.
struct Client {
    variant: Variant,
    failure: WriteFailure,
    exchange: Exchange,
    input: BytesMut,
}

impl Client {
    fn write(&mut self, socket: &mut Socket) {
        if let Err(kind) = socket.write() {
            match self.variant {
                Variant::Whole => self.failure.note(kind),
                Variant::WritesDropped => {}
                Variant::AnyErrorSpoils => self.failure.note(ErrorKind::ConnectionReset),
            }
        }
    }

    fn read(&mut self, socket: &mut Socket, most: usize) -> Option<Result<Answer, ExchangeError>> {
        let end = match socket.read(most) {
            Ok(bytes) if bytes.is_empty() => self.failure.end_of_stream(),
            Ok(bytes) => {
                self.input.extend_from_slice(&bytes);
                return self.exchange.receive(&mut self.input).transpose();
            }
            Err(ErrorKind::WouldBlock) => return None,
            Err(_) => StreamEnd::Reset,
        };
        Some(self.exchange.end_of_stream(end))
    }
}

/// Plays one history; returns whether its end is right.
fn is_right(seed: u64, variant: Variant) -> bool {
    let mut random = Rng::with_seed(seed);
    let script = Script::draw(&mut random);
    let mut socket = Socket::default();
    let mut arriving: VecDeque<u8> = script.bytes[..script.arrives].iter().copied().collect();
    let (mut ends, mut resets) = (script.ends, script.resets);
    let exchange = Exchange::new("POST", None, 4_096, 4_096);
    let failure = WriteFailure::default();
    let mut client = Client { variant, failure, exchange, input: BytesMut::new() };
    loop {
        match random.u32(..4) {
            0 => client.write(&mut socket),
            1 => {
                if let Some(outcome) = client.read(&mut socket, random.usize(1..40)) {
                    let body = outcome.ok().map(|answer| answer.response.body);
                    return body == script.is_complete().then_some(script.body.into());
                }
            }
            _ if !arriving.is_empty() => {
                let count = random.usize(1..=arriving.len());
                socket.received.extend(arriving.drain(..count));
            }
            _ if ends => {
                socket.ended = true;
                ends = false;
            }
            _ if resets => {
                socket.reset();
                resets = false;
            }
            _ => {}
        }
    }
}

fn wrong(variant: Variant) -> Vec<u64> {
    (0..HISTORIES).filter(|seed| !is_right(*seed, variant)).collect()
}

#[test]
fn an_answer_counts_as_complete_exactly_if_it_is() {
    assert_eq!(wrong(Variant::Whole), Vec::<u64>::new());
}

#[test]
fn dropped_and_overrated_errors_of_writes_are_noticed() {
    for variant in [Variant::WritesDropped, Variant::AnyErrorSpoils] {
        let count = wrong(variant).len();
        println!("{variant:?}: {count} of {HISTORIES}");
        assert!(count > 0, "{variant:?}");
    }
}
