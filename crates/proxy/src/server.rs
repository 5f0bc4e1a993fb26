//! HTTP server for callers.
//!
//! `rouille` cannot send `Connection: close`, without which a planned stop would interrupt callers
//! that keep their connections open. `touche` is the most similar library that can
//! (docs/design/0005-libraries.md).

use crate::call;
use crate::runtime::Shared;
use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use touche::{Body, Connection, Request, Server};
use verdict::{Verdict, VERDICT_HEADER};

/// Idle connections of callers are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
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
    let workers = shared.settings.workers as usize;
    let (closing, open) = (AtomicBool::new(false), AtomicUsize::new(0));
    let state = Arc::new(CallerListener { address, closing, open });
    let (accept_state, service_state) = (state.clone(), state.clone());
    thread::spawn(move || {
        let server = Server::builder()
            .max_threads(workers)
            .read_timeout(IDLE_TIMEOUT)
            .nodelay(true)
            .from_connections(accepted_connections(listener, accept_state, workers));
        let make_service = move |_: &Connection| {
            let (shared, connection_guard) =
                (shared.clone(), ConnectionGuard(service_state.clone()));
            Ok::<_, Infallible>(move |request: Request<Body>| {
                let _connection = &connection_guard;
                Ok::<_, Infallible>(call::handle(&shared, request))
            })
        };
        let _ = server.make_service(make_service);
    });
    Ok(state)
}

/// Iterates over accepted connections until the listener is closed; a failed accept, such as with
/// too many open files, is retried. Each connection occupies a thread, so connections beyond the
/// limit are refused immediately; otherwise they would wait until another caller disconnects.
fn accepted_connections(
    listener: TcpListener,
    state: Arc<CallerListener>,
    max_connections: usize,
) -> impl Iterator<Item = TcpStream> {
    std::iter::from_fn(move || loop {
        if state.closing.load(Ordering::SeqCst) && listener.set_nonblocking(true).is_err() {
            return None;
        }
        match listener.accept() {
            Ok((socket, _)) if state.open_connections() >= max_connections => {
                refuse_connection(socket)
            }
            Ok((socket, _)) => {
                state.open.fetch_add(1, Ordering::SeqCst);
                let _ = socket.set_nonblocking(false);
                return Some(socket);
            }
            // The listener is closed and the accept queue of the operating system is empty.
            Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    })
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
