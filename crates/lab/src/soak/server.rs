//! HTTP server of a stub upstream, which can crash and drop the requests in progress.

use bytes::BytesMut;
use http1::{Request, Response, ServerConnection, ServerLimits};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const LIMITS: ServerLimits =
    ServerLimits { header_bytes: 64 * 1024, body_bytes: 64 * 1024 * 1024, holds_offers: false };
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
const READ_BYTES: usize = 16 * 1024;

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
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopping = Arc::new(AtomicBool::new(false));
        let accept_stopping = stopping.clone();
        thread::spawn(move || accept_all(&listener, &handler, &accept_stopping));
        Ok(Server { stopping })
    }
}

fn accept_all(listener: &TcpListener, handler: &Arc<impl Handler>, stopping: &Arc<AtomicBool>) {
    let streams: Mutex<Vec<TcpStream>> = Mutex::default();
    while !stopping.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_POLL_INTERVAL);
            continue;
        };
        let Ok(duplicate) = stream.try_clone() else {
            continue;
        };
        streams.lock().unwrap_or_else(PoisonError::into_inner).push(duplicate);
        let (handler, stopping) = (handler.clone(), stopping.clone());
        // I/O errors of a connection are ignored: the peer notices them too.
        thread::spawn(move || drop(serve(stream, &*handler, &stopping)));
    }
    for stream in streams.into_inner().unwrap_or_else(PoisonError::into_inner) {
        // Fails harmlessly if the peer has already closed the connection.
        drop(stream.shutdown(Shutdown::Both));
    }
}

fn serve(mut stream: TcpStream, handler: &impl Handler, stopping: &AtomicBool) -> io::Result<()> {
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
        input.extend_from_slice(&buffer[..count]);
        let mut output = Vec::new();
        for (slot, request) in core.receive(&mut input, LIMITS, &mut output) {
            match handler.handle(&request) {
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
