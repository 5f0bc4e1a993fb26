//! One connection of a caller: reads calls, each as a whole, and writes their responses in order.
//!
//! A call is handled only once its framing says that it is complete. What the stream's end leaves
//! unfinished, by an orderly close or a reset, is dropped: half of an upload must not run.

use crate::call::{self, Arrival};
use crate::refusal::{Refusal, RefusalKind, HOP_HEADER};
use crate::runtime::Shared;
use bytes::BytesMut;
use http1::{Headers, Response, ServerConnection, ServerLimits};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use telemetry::{BootInstant, RequestGuard};
use tracing::debug;
use ureq::http;
use verdict::{Verdict, VERDICT_HEADER};

/// Idle connections are closed after this time, and calls that stop arriving are given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Wait for the caller to close after the last response. Closing first, with bytes of the caller
/// unread, would reset the connection and could take the response with it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_HEAD_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// A connection of a caller.
pub(crate) struct CallerConnection<'a> {
    shared: &'a Shared,
    socket: TcpStream,
    framing: ServerConnection,
    limits: ServerLimits,
    input: BytesMut,
    /// The call that is arriving.
    arriving: Option<Arriving<'a>>,
}

/// A call that has begun to arrive. It counts as in flight, so that a planned stop waits for it.
struct Arriving<'a> {
    since: BootInstant,
    in_flight: Option<RequestGuard<'a>>,
}

impl<'a> CallerConnection<'a> {
    pub fn new(shared: &'a Shared, socket: TcpStream) -> Self {
        let mut headers = Headers::default();
        headers.push(VERDICT_HEADER, Verdict::NotRun.as_str());
        headers.push(HOP_HEADER, shared.settings.name.as_str());
        let body_bytes = shared.settings.max_body_bytes;
        CallerConnection {
            shared,
            socket,
            framing: ServerConnection::with_rejection_headers(headers),
            limits: ServerLimits { header_bytes: MAX_HEAD_BYTES, body_bytes, holds_offers: false },
            input: BytesMut::new(),
            arriving: None,
        }
    }

    /// Serves the connection until its end.
    pub fn serve(mut self) {
        match self.serve_calls() {
            Ok(()) => {}
            Err(error) => debug!(%error, "caller_lost"),
        }
    }

    fn serve_calls(&mut self) -> io::Result<()> {
        self.socket.set_nodelay(true)?;
        self.socket.set_read_timeout(Some(IDLE_TIMEOUT))?;
        self.socket.set_write_timeout(Some(IDLE_TIMEOUT))?;
        let mut buf = vec![0; READ_BYTES];
        loop {
            while self.handle_received()? {}
            if self.framing.is_over() {
                return self.close();
            }
            match self.socket.read(&mut buf) {
                Ok(0) => return Ok(()),
                Ok(count) => self.note_received(&buf[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_timeout(&error) => return self.time_out(),
                Err(error) => return Err(error),
            }
        }
    }

    fn note_received(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        if self.arriving.is_none() {
            self.arriving = Some(Arriving::begin(self.shared));
        }
    }

    /// Handles the calls that have arrived completely; returns whether there were any.
    fn handle_received(&mut self) -> io::Result<bool> {
        let mut output = Vec::new();
        let calls = self.framing.receive(&mut self.input, self.limits, &mut output);
        self.socket.write_all(&output)?;
        let any = !calls.is_empty();
        for (slot, request) in calls {
            let arriving = self.arriving.take().unwrap_or_else(|| Arriving::begin(self.shared));
            let is_head = request.method == "HEAD";
            let response = self.handle(request, &arriving);
            let closes = has_close(&response);
            let mut response = to_response(response);
            if is_head {
                response.body.clear();
            }
            let mut output = Vec::new();
            self.framing.answer(slot, response, closes, &mut output);
            self.socket.write_all(&output)?;
        }
        let is_partial = self.framing.reading(&self.input).is_some();
        self.arriving = is_partial
            .then(|| self.arriving.take().unwrap_or_else(|| Arriving::begin(self.shared)));
        Ok(any)
    }

    fn handle(&self, request: http1::Request, arriving: &Arriving<'_>) -> http::Response<Vec<u8>> {
        let arrival = match arriving.in_flight {
            Some(_) => to_http(request),
            None => Err(Refusal::not_run(RefusalKind::Overloaded, "too many calls at once")),
        };
        call::handle(self.shared, arrival, arriving.since)
    }

    /// Gives an unfinished call up, or ends an idle connection.
    fn time_out(&mut self) -> io::Result<()> {
        if self.framing.reading(&self.input).is_none() {
            return Ok(());
        }
        let mut output = Vec::new();
        self.framing.time_out(&mut output);
        self.socket.write_all(&output)?;
        self.close()
    }

    /// Ends the sending direction and waits until the caller has closed.
    fn close(&mut self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Write)?;
        self.socket.set_read_timeout(Some(CLOSE_TIMEOUT))?;
        let end = BootInstant::now() + CLOSE_TIMEOUT;
        let mut buf = vec![0; READ_BYTES];
        while BootInstant::now() < end && self.socket.read(&mut buf)? > 0 {}
        Ok(())
    }
}

impl<'a> Arriving<'a> {
    fn begin(shared: &'a Shared) -> Self {
        let in_flight = shared.calls.try_enter(shared.settings.max_calls);
        Arriving { since: BootInstant::now(), in_flight }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn to_http(request: http1::Request) -> Arrival {
    let mut builder = http::Request::builder().method(request.method.as_str()).uri(request.target);
    for (name, value) in request.headers.iter() {
        builder = builder.header(name, value);
    }
    let bad = |error| Refusal::not_run(RefusalKind::BadRequest, error);
    builder.body(request.body.to_vec()).map_err(bad)
}

fn has_close(response: &http::Response<Vec<u8>>) -> bool {
    response.headers().get("Connection").is_some_and(|value| value == "close")
}

fn to_response(response: http::Response<Vec<u8>>) -> Response {
    let (parts, body) = response.into_parts();
    let mut headers = Headers::default();
    for (name, value) in &parts.headers {
        headers.push(name.as_str(), value.as_bytes());
    }
    Response { status: parts.status.as_u16(), headers, body: body.into() }
}
