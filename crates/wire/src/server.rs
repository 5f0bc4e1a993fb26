//! Accepts connections, with one thread per connection and a limit on their number.

use crate::{Identity, Purpose, ServerConnection, TlsIdentity, WireError};
use snafu::{ResultExt, Snafu};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CONNECTION_STACK_BYTES: usize = 256 * 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The listening socket could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ServerError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Accepts and serves connections on one listening address.
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    max_connections: usize,
}

type Handler = dyn Fn(ServerConnection) + Send + Sync;
type Allow = dyn Fn(&Identity, Purpose) -> bool + Send + Sync;
type OnError = dyn Fn(&WireError) + Send + Sync;

impl Server {
    /// Listens on an address; port 0 selects a free port.
    pub fn bind(address: SocketAddr, max_connections: usize) -> Result<Server, ServerError> {
        let listener = TcpListener::bind(address).context(ServerSnafu { address })?;
        let address = listener.local_addr().context(ServerSnafu { address })?;
        Ok(Server { listener, address, max_connections })
    }

    /// The listening address, with the port actually bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections on a new thread until the process ends or `stopped` is set. `allow`
    /// authorizes a peer for a purpose, `on_error` is called for failed handshakes. Connections
    /// beyond the limit are closed at once.
    pub fn run(
        self,
        tls: Arc<TlsIdentity>,
        stopped: Arc<AtomicBool>,
        allow: Arc<Allow>,
        on_error: Arc<OnError>,
        handler: Arc<Handler>,
    ) {
        let open_connections = Arc::new(AtomicUsize::new(0));
        let accept_loop = move || {
            for socket in self.listener.incoming() {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(socket) = socket else {
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                };
                if open_connections.load(Ordering::Relaxed) >= self.max_connections {
                    drop(socket);
                    continue;
                }
                let shared = (tls.clone(), allow.clone(), on_error.clone(), handler.clone());
                spawn_connection_thread(socket, open_connections.clone(), shared);
            }
        };
        thread::spawn(accept_loop);
    }
}

type SharedHandlers = (Arc<TlsIdentity>, Arc<Allow>, Arc<OnError>, Arc<Handler>);

fn spawn_connection_thread(
    socket: TcpStream,
    open_connections: Arc<AtomicUsize>,
    shared: SharedHandlers,
) {
    open_connections.fetch_add(1, Ordering::Relaxed);
    let open_on_failure = open_connections.clone();
    let serve = move || {
        let (tls, allow, on_error, handler) = shared;
        match ServerConnection::accept(&tls, socket, |peer, purpose| allow(peer, purpose)) {
            Ok(connection) => handler(connection),
            Err(error) => on_error(&error),
        }
        open_connections.fetch_sub(1, Ordering::Relaxed);
    };
    let spawned = thread::Builder::new().stack_size(CONNECTION_STACK_BYTES).spawn(serve);
    if spawned.is_err() {
        open_on_failure.fetch_sub(1, Ordering::Relaxed);
    }
}
