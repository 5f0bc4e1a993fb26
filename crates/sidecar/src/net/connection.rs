//! One connection, with buffered output.

use super::{LinkUse, WriteFailure, MAX_CONTROL_INPUT_BYTES, MAX_INPUT_BYTES};
use admission::SendUrgency;
use bytes::BytesMut;
use http1::OutputQueue;
use mio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;
use telemetry::BootInstant;

/// Sent data that an unreachable machine has not acknowledged after this time breaks the
/// connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

#[derive(Debug)]
pub(super) struct Connection {
    pub generation: u64,
    pub stream: TcpStream,
    pub input: BytesMut,
    pub output: OutputQueue,
    pub opening: bool,
    pub ended: bool,
    pub write_failure: WriteFailure,
    /// Since when this side has nothing more to send than its output, or waits for the other one to close;
    /// data received in the meantime is dropped.
    pub lingering: Option<BootInstant>,
    /// Whether answers on it may still be with this machine's kernel when it is being finished.
    pub holds_answers: bool,
    /// Whether the other side is on another machine.
    pub remote: bool,
    /// Priority of its messages among all that wait for the link.
    pub urgency: SendUrgency,
    pub used_for: LinkUse,
    /// Whether the other side may leave unread what was sent, though it is reachable.
    awaits_reader: bool,
}

impl Connection {
    pub fn new(generation: u64, stream: TcpStream, opening: bool, remote: bool) -> Self {
        // Whoever connects to this machine from itself reads answers when it likes.
        let awaits_reader = !remote && !opening;
        set_socket_options(&stream, unacknowledged_timeout(awaits_reader));
        Connection {
            generation,
            stream,
            input: BytesMut::new(),
            output: OutputQueue::default(),
            opening,
            ended: false,
            write_failure: WriteFailure::default(),
            lingering: None,
            holds_answers: false,
            remote,
            urgency: SendUrgency { deferrable: true, ..SendUrgency::default() },
            used_for: LinkUse::default(),
            awaits_reader,
        }
    }

    /// States whether the other side may leave unread what is sent from now on. Peers on other machines
    /// never do, and a machine that is unreachable must be noticed.
    pub fn set_awaits_reader(&mut self, awaits_reader: bool) {
        let awaits_reader = awaits_reader && !self.remote;
        if self.awaits_reader == awaits_reader {
            return;
        }
        self.awaits_reader = awaits_reader;
        let timeout = unacknowledged_timeout(awaits_reader);
        if let Err(error) = SockRef::from(&self.stream).set_tcp_user_timeout(timeout) {
            tracing::debug!(%error, "socket_option_not_taken");
        }
    }

    /// Whether more may be read. What a connection that is being closed receives is dropped.
    pub fn has_room(&self) -> bool {
        let limit = match self.used_for {
            LinkUse::Control => MAX_CONTROL_INPUT_BYTES,
            LinkUse::Calls | LinkUse::Answers => MAX_INPUT_BYTES,
        };
        self.lingering.is_some() || self.input.len() < limit
    }

    /// Whether nothing more can be sent.
    pub fn is_broken(&self) -> bool {
        self.ended || self.write_failure.kind().is_some()
    }

    /// Whether the connection is established; an error if it failed.
    pub fn is_open(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Writes as much of the output as the socket accepts.
    pub fn flush(&mut self) {
        self.write_piece(usize::MAX);
    }

    /// Writes at most `most` bytes of the output; returns how many the socket accepted.
    pub fn write_piece(&mut self, most: usize) -> usize {
        if self.opening {
            return 0;
        }
        let mut written = 0;
        while written < most && !self.output.is_empty() {
            let piece = self.output.front();
            let piece = &piece[..piece.len().min(most - written)];
            match self.stream.write(piece) {
                Ok(0) => break,
                Ok(count) => {
                    self.output.advance(count);
                    written += count;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // A broken connection also becomes readable, and reading reports its end.
                Err(error) => {
                    self.write_failure.note(error.kind());
                    break;
                }
            }
        }
        written
    }

    /// Takes what has arrived off the socket; returns how many bytes that were.
    pub fn drain(&mut self, buffer: &mut [u8]) -> usize {
        let mut drained = 0;
        while drained < MAX_INPUT_BYTES {
            match self.stream.read(buffer) {
                Ok(0) => break,
                Ok(count) => drained += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Nothing more has arrived, or the connection is broken.
                Err(_) => break,
            }
        }
        drained
    }

    /// Shuts down the sending direction. This fails harmlessly if the other side has already
    /// closed.
    pub fn shutdown_write(&self) {
        if let Err(error) = self.stream.shutdown(Shutdown::Write) {
            tracing::debug!(%error, "end_not_sent");
        }
    }
}

/// `None` for a process that may read late: the kernel applies the timeout to a closed window as well, and
/// counts from the first time that the window was closed on the connection, however long ago that was.
fn unacknowledged_timeout(awaits_reader: bool) -> Option<Duration> {
    (!awaits_reader).then_some(UNACKNOWLEDGED_TIMEOUT)
}

/// Sets the options by which a connection detects an unreachable peer. If an option cannot be set,
/// the socket is used without it.
fn set_socket_options(stream: &TcpStream, unacknowledged: Option<Duration>) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let options = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(unacknowledged),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in options.into_iter().filter_map(Result::err) {
        tracing::debug!(%error, "socket_option_not_taken");
    }
}
