//! Emulated links between zones: TCP forwarders with a delay, which can partition a zone and break
//! connections.
//!
//! A partition holds bytes back without resetting connections, as a network without a route does.

use crate::fleet::ZoneSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of delayed chunks in one direction of one connection.
const MAX_DELAYED_CHUNKS: usize = 256;
const THREAD_STACK_BYTES: usize = 128 * 1024;

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
    /// Zones that cannot reach any other zone.
    partitioned_zones: BTreeSet<String>,
    /// Number of times that all open connections were broken; an increment breaks those open now.
    breaks: u64,
}

#[derive(Default)]
struct SharedFaults {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl SharedFaults {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All emulated links of a fleet.
pub struct LinkNetwork {
    delays: Option<DelayPlan>,
    links: BTreeMap<(String, SocketAddr), SocketAddr>,
    shared: Arc<SharedFaults>,
}

#[derive(Clone)]
struct Link {
    from: String,
    to: String,
    target: SocketAddr,
    delay: Duration,
    shared: Arc<SharedFaults>,
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl LinkNetwork {
    /// Creates a network without links.
    pub fn new(delays: Option<DelayPlan>) -> Self {
        LinkNetwork { delays, links: BTreeMap::new(), shared: Arc::default() }
    }

    /// Returns the address at which a process in zone `from` reaches `target` in zone `to`, and
    /// creates the link if needed.
    pub fn address_from(
        &mut self,
        from: &ZoneSpec,
        target: SocketAddr,
        to: &ZoneSpec,
    ) -> Result<SocketAddr, crate::Failure> {
        let Some(delays) = self.delays else { return Ok(target) };
        if from.name == to.name {
            return Ok(target);
        }
        if let Some(existing) = self.links.get(&(from.name.clone(), target)) {
            return Ok(*existing);
        }
        let same_region = from.region == to.region;
        let delay = if same_region { delays.between_zones } else { delays.between_regions };
        let shared = self.shared.clone();
        let link = Link { from: from.name.clone(), to: to.name.clone(), target, delay, shared };
        let address = link.listen()?;
        self.links.insert((from.name.clone(), target), address);
        Ok(address)
    }

    /// Partitions a zone from all others.
    pub fn partition_zone(&self, zone: &str) {
        self.shared.lock().partitioned_zones.insert(zone.to_owned());
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.shared.lock().partitioned_zones.clear();
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

    fn forward(&self, local: TcpStream) {
        let Ok(remote) = TcpStream::connect(self.target) else { return };
        let _ = (local.set_nodelay(true), remote.set_nodelay(true));
        let (Ok(local_rx), Ok(remote_rx)) = (local.try_clone(), remote.try_clone()) else { return };
        let breaks_at_open = self.shared.lock().breaks;
        let (to_remote, to_local) = (self.clone(), self.clone());
        let _ = spawn(move || to_remote.forward_direction(local_rx, remote, breaks_at_open));
        to_local.forward_direction(remote_rx, local, breaks_at_open);
    }

    /// Forwards one direction until its end or until the connection is broken.
    fn forward_direction(&self, mut from: TcpStream, to: TcpStream, breaks_at_open: u64) {
        let (sender, receiver) = sync_channel(MAX_DELAYED_CHUNKS);
        let link = self.clone();
        let _ = spawn(move || link.write_delayed(&receiver, to, breaks_at_open));
        read_chunks(&mut from, &sender, self.delay);
    }

    fn write_delayed(&self, chunks: &Receiver<Chunk>, mut to: TcpStream, breaks_at_open: u64) {
        for chunk in chunks {
            thread::sleep(chunk.due.saturating_duration_since(Instant::now()));
            let intact = self.wait_while_partitioned(breaks_at_open);
            if !intact || to.write_all(&chunk.bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits while the link is partitioned; returns false if the connection was broken.
    fn wait_while_partitioned(&self, breaks_at_open: u64) -> bool {
        let mut faults = self.shared.lock();
        loop {
            if faults.breaks != breaks_at_open {
                return false;
            }
            let partitioned = faults.partitioned_zones.contains(&self.from)
                || faults.partitioned_zones.contains(&self.to);
            if !partitioned {
                return true;
            }
            faults = self.shared.changed.wait(faults).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn read_chunks(from: &mut TcpStream, chunks: &SyncSender<Chunk>, delay: Duration) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => {
                let chunk = Chunk { due: Instant::now() + delay, bytes: buffer[..count].to_vec() };
                if chunks.send(chunk).is_err() {
                    return;
                }
            }
        }
    }
}

fn spawn(work: impl FnOnce() + Send + 'static) -> Result<(), crate::Failure> {
    let builder = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
    builder.spawn(work).map(|_| ()).map_err(|error| error.to_string())
}
