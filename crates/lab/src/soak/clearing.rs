//! A second operator that clears the quarantine through random coordinators while faults are
//! injected.

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
/// How often a pause checks whether the round is over.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Thread that clears the quarantine until it is stopped.
pub struct QuarantineClearer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Millis>>,
}

impl QuarantineClearer {
    /// Starts the thread. It uses a random generator of its own, so that the faults drawn from
    /// `seed` stay the same with and without it.
    pub fn start(machines: &Machines, clock: Clock, seed: u64) -> Self {
        let port = machines.ports.api;
        let apis = COORDINATORS.map(|host| SocketAddrV4::new(machines.ip(host), port));
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut random = fastrand::Rng::with_seed(!seed);
            let mut cleared = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                let api = apis[random.usize(..apis.len())];
                if clear_quarantine(api) {
                    cleared.push(clock.now());
                }
                sleep_until_stopped(Duration::from_millis(random.u64(PAUSE_MS)), &stopped);
            }
            cleared
        });
        QuarantineClearer { stop, thread }
    }

    /// Stops the thread and returns the times at which requests were cleared.
    pub fn finish(self) -> Vec<Millis> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

fn sleep_until_stopped(time: Duration, stop: &AtomicBool) {
    let polls = time.as_millis() / STOP_POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(STOP_POLL_INTERVAL);
    }
}

/// Clears all requests that a coordinator lists as quarantined, and returns whether there were any.
/// A coordinator that is down lists none.
fn clear_quarantine(api: SocketAddrV4) -> bool {
    let url = format!("http://{api}/v1/quarantine");
    let response = super::agent().get(&url).call().ok();
    let text = response.and_then(|mut resp| resp.body_mut().read_to_string().ok());
    let quarantined: Vec<Value> =
        text.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default();
    let cleared = quarantined.iter().filter_map(|request| request["fingerprint"].as_str()).filter(
        |fingerprint| {
            // Without a response the request may have been cleared, so it counts.
            let answer = super::agent().delete(format!("{url}/{fingerprint}")).call();
            answer.map_or(true, |resp| resp.status() != 404)
        },
    );
    cleared.count() > 0
}
