//! HTTP server of a stub upstream, which can crash and drop the requests in progress.

use bytes::BytesMut;
use http1::{Request, Response, ServerConnection, ServerLimits};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

const LIMITS: ServerLimits =
    ServerLimits { header_bytes: 64 * 1024, body_bytes: 64 * 1024 * 1024, holds_offers: false };
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
const READ_BYTES: usize = 16 * 1024;
/// Receive buffer and segment size of its connections; small, so that a long request stays unsent
/// while the server does not read.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
const SEGMENT_BYTES: u32 = 1_400;
const BACKLOG: i32 = 128;
/// From the beginning of an early answer until its connection is reset; it has arrived by then.
const BREAK_OFF_DELAY: Duration = Duration::from_millis(50);

/// How the server treats a request.
pub enum Reply {
    /// Sends the response.
    Respond(Response),
    /// Closes the connection without a response.
    CloseConnection,
    /// Stops the whole server without a response.
    StopServer,
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Decides how to treat a request; may block while it is processed.
    fn handle(&self, request: &Request) -> Reply;

    /// How long the rest of a request of which this much has arrived is left unread.
    fn read_delay(&self, received: &[u8]) -> Duration;

    /// What is sent of an answer to a request of which this much has arrived, before the connection
    /// is reset; `None` if the request is handled as usual.
    fn break_off(&self, received: &[u8]) -> Option<Vec<u8>>;
}

/// A running server; a restart creates a new one.
pub struct Server {
    stopping: Arc<AtomicBool>,
}

impl Server {
    /// Stops accepting connections and closes those that are open.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the server is stopping or has stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Binds `address` and serves it in a new thread.
    pub fn start(address: SocketAddr, handler: Arc<impl Handler>) -> io::Result<Self> {
        let listener = listen(address)?;
        listener.set_nonblocking(true)?;
        let stopping = Arc::new(AtomicBool::new(false));
        let accept_stopping = stopping.clone();
        thread::spawn(move || accept_all(&listener, &handler, &accept_stopping));
        Ok(Server { stopping })
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn accept_all(listener: &TcpListener, handler: &Arc<impl Handler>, stopping: &Arc<AtomicBool>) {
    // Weak, so that a connection is closed as soon as it is no longer served.
    let mut streams: Vec<Weak<TcpStream>> = Vec::new();
    while !stopping.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_POLL_INTERVAL);
            continue;
        };
        let stream = Arc::new(stream);
        streams.retain(|served| served.strong_count() > 0);
        streams.push(Arc::downgrade(&stream));
        let (handler, stopping) = (handler.clone(), stopping.clone());
        // I/O errors of a connection are ignored: the peer notices them too.
        thread::spawn(move || drop(serve(&stream, &*handler, &stopping)));
    }
    for stream in streams.iter().filter_map(Weak::upgrade) {
        // A process that ends with unread data resets its connections; an end in order would complete
        // an answer without a length. Both fail harmlessly if the peer has closed the connection.
        drop(SockRef::from(&*stream).set_linger(Some(Duration::ZERO)));
        drop(stream.shutdown(Shutdown::Read));
    }
}

fn serve(mut stream: &TcpStream, handler: &impl Handler, stopping: &AtomicBool) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut core = ServerConnection::default();
    let mut input = BytesMut::new();
    loop {
        let mut buffer = [0; READ_BYTES];
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        let is_new = input.is_empty() && core.unanswered() == 0;
        input.extend_from_slice(&buffer[..count]);
        if let Some(begun) = is_new.then(|| handler.break_off(&input)).flatten() {
            stream.write_all(&begun)?;
            thread::sleep(BREAK_OFF_DELAY);
            SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
            return Ok(());
        }
        if is_new {
            thread::sleep(handler.read_delay(&input));
        }
        let mut output = Vec::new();
        for (slot, request) in core.receive(&mut input, LIMITS, &mut output) {
            let reply = handler.handle(&request);
            if stopping.load(Ordering::SeqCst) {
                return Ok(());
            }
            match reply {
                Reply::Respond(response) => {
                    core.answer(slot, response, false, &mut output);
                }
                Reply::CloseConnection => return stream.shutdown(Shutdown::Both),
                Reply::StopServer => {
                    stopping.store(true, Ordering::SeqCst);
                    return Ok(());
                }
            }
        }
        stream.write_all(&output)?;
        if core.is_over() {
            return Ok(());
        }
    }
}
