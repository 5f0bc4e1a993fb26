//! Links of one machine to the coordinators that can be cut: a proxy in front of each coordinator.
//!
//! While they are cut, nothing passes and nothing is answered, not even the end of a connection, as
//! without a route. What was open then is reset afterwards, and its bytes are lost.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Links that can be cut.
#[derive(Clone)]
pub struct CuttableLinks {
    /// The port at which a machine behind them reaches the coordinators.
    pub mesh_port: u16,
    /// Number of times that they were cut or joined; odd while they are cut.
    changes: Arc<AtomicU64>,
}

impl CuttableLinks {
    /// Starts a proxy in front of each coordinator, at its address and this port, or any if it is 0. Any
    /// port may be one that a coordinator is about to listen on.
    pub fn start(coordinators: &[Ipv4Addr], port: u16, target_port: u16) -> io::Result<Self> {
        let first = TcpListener::bind((coordinators[0], port))?;
        let links =
            CuttableLinks { mesh_port: first.local_addr()?.port(), changes: Arc::default() };
        links.serve(first, SocketAddr::from((coordinators[0], target_port)));
        for ip in &coordinators[1..] {
            let listener = TcpListener::bind((*ip, links.mesh_port))?;
            links.serve(listener, SocketAddr::from((*ip, target_port)));
        }
        Ok(links)
    }

    fn serve(&self, listener: TcpListener, target: SocketAddr) {
        let links = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || links.forward(stream, target));
            }
        });
    }

    /// Cuts the links.
    pub fn cut(&self) {
        assert!(!self.is_cut(), "the links are cut already");
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    /// Joins the links again.
    pub fn join(&self) {
        assert!(self.is_cut(), "the links are not cut");
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.changes.load(Ordering::SeqCst) % 2 == 1
    }

    fn forward(&self, from_machine: TcpStream, target: SocketAddr) {
        let opened_at = self.changes.load(Ordering::SeqCst);
        if self.is_cut() {
            self.wait_until_joined();
            return;
        }
        let Ok(to_coordinator) = TcpStream::connect(target) else { return };
        let ends = [Arc::new(from_machine), Arc::new(to_coordinator)];
        for end in &ends {
            let _ = end.set_nodelay(true);
            let _ = end.set_read_timeout(Some(POLL_INTERVAL));
        }
        let [machine, coordinator] = ends;
        let (links, from, to) = (self.clone(), coordinator.clone(), machine.clone());
        let back = thread::spawn(move || links.copy(&from, &to, opened_at));
        self.copy(&machine, &coordinator, opened_at);
        let _ = back.join();
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, opened_at: u64) {
        let mut buf = [0; 16 * 1024];
        loop {
            if self.changes.load(Ordering::SeqCst) != opened_at {
                self.wait_until_joined();
                for end in [from, to] {
                    // The connection is reset once both directions have ended.
                    let _ = socket2::SockRef::from(end).set_linger(Some(Duration::ZERO));
                }
                return;
            }
            match from.read(&mut buf) {
                Ok(count) if self.changes.load(Ordering::SeqCst) == opened_at => {
                    if count == 0 || to.write_all(&buf[..count]).is_err() {
                        let _ = to.shutdown(Shutdown::Write);
                        return;
                    }
                }
                Ok(_) => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }

    fn wait_until_joined(&self) {
        while self.is_cut() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
