//! Links between zones: TCP forwarders with a delay, which can be cut and break connections.
//!
//! A cut holds bytes back in silence, as a network without a route does; nothing is reset.

use crate::fleet::ZoneSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const BUFFER_BYTES: usize = 16 * 1024;
/// Pieces on their way in one direction of one connection.
const PIECES_ON_THE_WAY: usize = 256;
const STACK_BYTES: usize = 128 * 1024;

/// One-way delays.
#[derive(Clone, Copy, Debug)]
pub struct DelayPlan {
    /// Between two zones of a region.
    pub between_zones: Duration,
    /// Between two regions.
    pub between_regions: Duration,
}

#[derive(Default)]
struct Faults {
    /// Zones that reach no other zone.
    cut_zones: BTreeSet<String>,
    /// Raised to end all connections of a link that exist now.
    breaks: u64,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All links of a fleet.
pub struct LinkNetwork {
    delays: Option<DelayPlan>,
    links: BTreeMap<(String, SocketAddr), SocketAddr>,
    shared: Arc<Shared>,
}

#[derive(Clone)]
struct Link {
    from: String,
    to: String,
    target: SocketAddr,
    delay: Duration,
    shared: Arc<Shared>,
}

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

impl LinkNetwork {
    /// A network without any link yet.
    pub fn new(delays: Option<DelayPlan>) -> Self {
        LinkNetwork { delays, links: BTreeMap::new(), shared: Arc::default() }
    }

    /// The address at which a process in `from` reaches `target` in `to`.
    pub fn seen_from(
        &mut self,
        from: &ZoneSpec,
        target: SocketAddr,
        to: &ZoneSpec,
    ) -> Result<SocketAddr, crate::Failure> {
        let Some(delays) = self.delays else { return Ok(target) };
        if from.name == to.name {
            return Ok(target);
        }
        if let Some(known) = self.links.get(&(from.name.clone(), target)) {
            return Ok(*known);
        }
        let same_region = from.region == to.region;
        let delay = if same_region { delays.between_zones } else { delays.between_regions };
        let shared = self.shared.clone();
        let link = Link { from: from.name.clone(), to: to.name.clone(), target, delay, shared };
        let address = link.listen()?;
        self.links.insert((from.name.clone(), target), address);
        Ok(address)
    }

    /// Cuts a zone off from all others.
    pub fn partition_zone(&self, zone: &str) {
        self.shared.lock().cut_zones.insert(zone.to_owned());
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.shared.lock().cut_zones.clear();
        self.shared.changed.notify_all();
    }
}

impl Link {
    fn listen(self) -> Result<SocketAddr, crate::Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let link = self.clone();
                let _ = spawn(move || link.forward(socket));
            }
        })?;
        Ok(address)
    }

    fn forward(&self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else { return };
        let born = self.shared.lock().breaks;
        let (there, back) = (self.clone(), self.clone());
        let _ = spawn(move || there.carry(near_read, far, born));
        back.carry(far_read, near, born);
    }

    /// Carries one direction until it ends or breaks.
    fn carry(&self, mut from: TcpStream, to: TcpStream, born: u64) {
        let (sender, receiver) = sync_channel(PIECES_ON_THE_WAY);
        let link = self.clone();
        let _ = spawn(move || link.deliver(&receiver, to, born));
        read_all(&mut from, &sender, self.delay);
    }

    fn deliver(&self, pieces: &Receiver<Piece>, mut to: TcpStream, born: u64) {
        for piece in pieces {
            thread::sleep(piece.due.saturating_duration_since(Instant::now()));
            let intact = self.wait_until_open(born);
            if !intact || to.write_all(&piece.bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits while the link is cut; false if the connection was broken.
    fn wait_until_open(&self, born: u64) -> bool {
        let mut faults = self.shared.lock();
        loop {
            if faults.breaks != born {
                return false;
            }
            let cut = faults.cut_zones.contains(&self.from) || faults.cut_zones.contains(&self.to);
            if !cut {
                return true;
            }
            faults = self.shared.changed.wait(faults).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn read_all(from: &mut TcpStream, pieces: &SyncSender<Piece>, delay: Duration) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => {
                let piece = Piece { due: Instant::now() + delay, bytes: buffer[..count].to_vec() };
                if pieces.send(piece).is_err() {
                    return;
                }
            }
        }
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) -> Result<(), crate::Failure> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(work).map(|_| ()).map_err(|error| error.to_string())
}
