//! HTTP server for callers, with a thread for each connection.
//!
//! The framing is that of crate `http1` (docs/design/0005-libraries.md).

use crate::caller_connection::CallerConnection;
use crate::runtime::Shared;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::warn;
use verdict::{Verdict, VERDICT_HEADER};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);
/// Read timeout of connections that are refused because of the connection limit.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle to the listener for callers, shared between threads.
#[derive(Debug)]
pub(crate) struct CallerListener {
    address: SocketAddr,
    closing: AtomicBool,
    open: AtomicUsize,
}

impl CallerListener {
    /// Address on which the listener accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; those already accepted are still served.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        // Wakes the thread that is blocked in `accept`.
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
    }

    /// Number of open connections from callers.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// Counts one connection of a caller as open until it is dropped.
struct ConnectionGuard(Arc<CallerListener>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts serving callers on background threads.
pub(crate) fn spawn(shared: Arc<Shared>) -> std::io::Result<Arc<CallerListener>> {
    let listener = TcpListener::bind(shared.settings.listen)?;
    let address = listener.local_addr()?;
    let (closing, open) = (AtomicBool::new(false), AtomicUsize::new(0));
    let state = Arc::new(CallerListener { address, closing, open });
    let accept_state = state.clone();
    thread::spawn(move || accept_callers(&listener, &accept_state, &shared));
    Ok(state)
}

/// Accepts connections until the listener is closed; a failed accept, such as with too many open
/// files, is retried. Each connection occupies a thread, so connections beyond the limit are refused
/// immediately; otherwise they would wait until another caller disconnects.
fn accept_callers(listener: &TcpListener, state: &Arc<CallerListener>, shared: &Arc<Shared>) {
    let max_connections = shared.settings.workers as usize;
    loop {
        if state.closing.load(Ordering::SeqCst) && listener.set_nonblocking(true).is_err() {
            return;
        }
        match listener.accept() {
            Ok((socket, _)) if state.open_connections() >= max_connections => {
                refuse_connection(socket)
            }
            Ok((socket, _)) => serve(socket, state, shared),
            // The listener is closed and the accept queue of the operating system is empty.
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
}

/// Serves a connection in a thread of its own. If there is none, dropping the socket closes it.
fn serve(socket: TcpStream, state: &Arc<CallerListener>, shared: &Arc<Shared>) {
    state.open.fetch_add(1, Ordering::SeqCst);
    let guard = ConnectionGuard(state.clone());
    let shared = shared.clone();
    let serve = move || {
        let _guard = guard;
        let is_blocking = socket.set_nonblocking(false);
        match is_blocking {
            Ok(()) => CallerConnection::new(&shared, socket).serve(),
            Err(error) => warn!(%error, "caller_not_served"),
        }
    };
    if let Err(error) = thread::Builder::new().spawn(serve) {
        warn!(%error, "caller_not_served");
    }
}

/// Responds that the call did not run, without reading the whole request.
fn refuse_connection(mut socket: TcpStream) {
    thread::spawn(move || {
        let _ = socket.set_read_timeout(Some(REFUSAL_TIMEOUT));
        let _ = socket.read(&mut [0; 4_096]);
        let response = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{VERDICT_HEADER}: {}\r\nRetry-After: 1\r\n\
             Connection: close\r\nContent-Length: 0\r\n\r\n",
            Verdict::NotRun
        );
        let _ = socket.write_all(response.as_bytes());
        let _ = socket.shutdown(Shutdown::Write);
        let _ = socket.read(&mut [0; 4_096]);
    });
}
