//! A link between a machine and the core that can be cut: a proxy for each core machine. While it is
//! cut, nothing passes and nothing is answered, as on a silent cut.

use crate::fleet::Fleet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Last but one byte of the addresses of the proxies.
const GROUP: u8 = 3;

#[derive(Clone)]
pub struct CutLink {
    is_cut: Arc<AtomicBool>,
    passing: Arc<Mutex<Vec<TcpStream>>>,
    /// The addresses under which the machine reaches the core.
    pub seeds: Vec<Ipv4Addr>,
}

impl CutLink {
    /// Starts the proxies.
    pub fn start(fleet: &Fleet) -> Self {
        let core: Vec<Ipv4Addr> = fleet.core().iter().map(|machine| machine.ip).collect();
        let seeds: Vec<Ipv4Addr> = (1..=core.len()).map(|n| fleet.ip(GROUP, n as u8)).collect();
        let link = CutLink { is_cut: Arc::default(), passing: Arc::default(), seeds };
        for (seed, target) in link.seeds.iter().zip(core) {
            let listener =
                TcpListener::bind((*seed, fleet.ports.mesh)).expect("the proxy's address is free");
            let target = SocketAddr::from((target, fleet.ports.mesh));
            let link = link.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    link.accept(stream, target);
                }
            });
        }
        link
    }

    fn accept(&self, stream: TcpStream, target: SocketAddr) {
        if self.is_cut.load(Ordering::SeqCst) {
            self.passing.lock().unwrap().push(stream);
            return;
        }
        let Ok(other) = TcpStream::connect_timeout(&target, Duration::from_millis(500)) else {
            return;
        };
        let _ = (stream.set_nodelay(true), other.set_nodelay(true));
        for (from, to) in [(&stream, &other), (&other, &stream)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let is_cut = self.is_cut.clone();
            thread::spawn(move || copy(from, to, &is_cut));
        }
        self.passing.lock().unwrap().extend([stream, other]);
    }

    /// Cuts the link, or joins it again. What was open then is gone.
    pub fn set(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        for stream in self.passing.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        let cut = is_cut.load(Ordering::SeqCst);
        if count == 0 || cut || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
