//! Accepting callers.
//!
//! `rouille` cannot send `Connection: close`, without which a planned stop would cut callers that
//! keep their connections; `touche` is its nearest kin that can (docs/design/0005-libraries.md).

use crate::call;
use crate::runtime::Shared;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use touche::{Body, Connection, Request, Server};

/// An idle caller's connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Counts calls in flight.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    in_flight: AtomicU64,
    entered: AtomicU64,
}

/// One call in flight.
pub(crate) struct CallPlace<'a> {
    counter: &'a CallCounter,
}

impl CallCounter {
    /// Takes a place, unless all are taken.
    pub fn enter(&self, most: u64) -> Option<CallPlace<'_>> {
        self.entered.fetch_add(1, Ordering::Relaxed);
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let place = CallPlace { counter: self };
        (before < most).then_some(place)
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Calls that ever arrived.
    pub fn entered(&self) -> u64 {
        self.entered.load(Ordering::Relaxed)
    }
}

impl Drop for CallPlace<'_> {
    fn drop(&mut self) {
        self.counter.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves callers in threads of their own; returns the address in use.
pub(crate) fn spawn(shared: Arc<Shared>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(shared.settings.listen)?;
    let address = listener.local_addr()?;
    let workers = shared.settings.workers as usize;
    thread::spawn(move || {
        let server = Server::builder()
            .max_threads(workers)
            .read_timeout(IDLE_TIMEOUT)
            .nodelay(true)
            .from_connections(accepted(listener));
        let make_service = move |_: &Connection| {
            let shared = shared.clone();
            Ok::<_, Infallible>(move |request: Request<Body>| {
                Ok::<_, Infallible>(call::handle(&shared, request))
            })
        };
        // It ends only when the listener does, which is with the process.
        let _ = server.make_service(make_service);
    });
    Ok(address)
}

/// Connections as they come; a failed accept (too many files, say) is not the end.
fn accepted(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    std::iter::from_fn(move || loop {
        match listener.accept() {
            Ok((socket, _)) => return Some(socket),
            Err(_) => thread::sleep(ACCEPT_ERROR_PAUSE),
        }
    })
}
