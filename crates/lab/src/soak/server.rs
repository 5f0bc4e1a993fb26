//! A server of a stand-in upstream that can end with all that it works on.

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
const LOOK: Duration = Duration::from_millis(2);
const READ_BYTES: usize = 16 * 1024;

/// What becomes of a request.
pub enum Reply {
    /// It is answered.
    Answer(Response),
    /// Its connection is closed without an answer.
    Cut,
    /// The server ends.
    End,
}

/// What a server answers.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn answer(&self, request: &Request) -> Reply;
}

/// One life of a server.
pub struct Server {
    ending: Arc<AtomicBool>,
}

impl Server {
    /// Ends it: nothing more is taken, and what it works on is cut.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }

    /// Whether it ends, or has ended.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Ordering::SeqCst)
    }

    /// Starts one.
    pub fn start(address: SocketAddr, handler: Arc<impl Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let ending = Arc::new(AtomicBool::new(false));
        let ends = ending.clone();
        thread::spawn(move || accept_all(&listener, &handler, &ends));
        Ok(Server { ending })
    }
}

fn accept_all(listener: &TcpListener, handler: &Arc<impl Handler>, ending: &Arc<AtomicBool>) {
    let streams: Mutex<Vec<TcpStream>> = Mutex::default();
    while !ending.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(LOOK);
            continue;
        };
        let Ok(held) = stream.try_clone() else {
            continue;
        };
        streams.lock().unwrap_or_else(PoisonError::into_inner).push(held);
        let (handler, ending) = (handler.clone(), ending.clone());
        // A connection that breaks is the other side's matter.
        thread::spawn(move || drop(serve(stream, &*handler, &ending)));
    }
    for stream in streams.into_inner().unwrap_or_else(PoisonError::into_inner) {
        // The other side may have closed it.
        drop(stream.shutdown(Shutdown::Both));
    }
}

fn serve(mut stream: TcpStream, handler: &impl Handler, ending: &AtomicBool) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut core = ServerConnection::default();
    let mut input = BytesMut::new();
    loop {
        let mut piece = [0; READ_BYTES];
        let count = stream.read(&mut piece)?;
        if count == 0 {
            return Ok(());
        }
        input.extend_from_slice(&piece[..count]);
        let mut output = Vec::new();
        for (slot, request) in core.receive(&mut input, LIMITS, &mut output) {
            match handler.answer(&request) {
                Reply::Answer(response) => {
                    core.answer(slot, response, false, &mut output);
                }
                Reply::Cut => return stream.shutdown(Shutdown::Both),
                Reply::End => {
                    ending.store(true, Ordering::SeqCst);
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
