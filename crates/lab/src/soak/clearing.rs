//! An operator that clears what is in quarantine, at whichever coordinator, beside all faults.

use super::clock::Clock;
use super::machines::{Machines, COORDINATORS};
use serde_json::Value;
use soak::Millis;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const PAUSE_MS: std::ops::Range<u64> = 500..4_000;
/// Between two looks at whether the round is over.
const LOOK: Duration = Duration::from_millis(100);

/// Clears until it is told to end.
pub struct Clearing {
    over: Arc<AtomicBool>,
    cleared: JoinHandle<Vec<Millis>>,
}

impl Clearing {
    /// Begins; what it draws leaves the faults of the seed as they are.
    pub fn start(machines: &Machines, clock: Clock, seed: u64) -> Self {
        let port = machines.ports.api;
        let apis = COORDINATORS.map(|host| SocketAddrV4::new(machines.ip(host), port));
        let over = Arc::new(AtomicBool::new(false));
        let ended = over.clone();
        let cleared = thread::spawn(move || {
            let mut random = fastrand::Rng::with_seed(!seed);
            let mut cleared = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                let api = apis[random.usize(..apis.len())];
                if clear_all(api) {
                    cleared.push(clock.now());
                }
                pause(Duration::from_millis(random.u64(PAUSE_MS)), &ended);
            }
            cleared
        });
        Clearing { over, cleared }
    }

    /// Ends, and returns when requests were cleared.
    pub fn finish(self) -> Vec<Millis> {
        self.over.store(true, Ordering::SeqCst);
        self.cleared.join().unwrap_or_default()
    }
}

fn pause(time: Duration, over: &AtomicBool) {
    let looks = time.as_millis() / LOOK.as_millis();
    for _ in 0..looks {
        if over.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(LOOK);
    }
}

/// Clears what a coordinator lists; whether there was anything. One that is down lists nothing.
fn clear_all(api: SocketAddrV4) -> bool {
    let url = format!("http://{api}/v1/quarantine");
    let listed = super::agent().get(&url).call().ok();
    let text = listed.and_then(|mut resp| resp.body_mut().read_to_string().ok());
    let rows: Vec<Value> =
        text.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default();
    let cleared = rows.iter().filter_map(|row| row["fingerprint"].as_str()).filter(|fingerprint| {
        // Without an answer it may be cleared all the same.
        let answer = super::agent().delete(format!("{url}/{fingerprint}")).call();
        answer.map_or(true, |resp| resp.status() != 404)
    });
    cleared.count() > 0
}
