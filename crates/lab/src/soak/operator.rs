//! The operator: sends configuration versions and reads back the version in force.

use super::clock::Clock;
use super::machines::{Machines, COORDINATORS, SERVICE};
use serde_json::{json, Value};
use soak::ConfigSubmission;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Host name of all routes.
pub const BASE_HOST: &str = "fares.example";
/// Path prefix of the route that every version has.
pub const BASE_PATH: &str = "/base/";
/// Longest time of a call, milliseconds; more than half of a planned stop.
pub const ROUTE_TIMEOUT_MS: u64 = 3_000;
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_REDIRECTS: u32 = 3;

/// The operator of a soak round.
pub struct Operator {
    coordinators: Vec<Ipv4Addr>,
    port: u16,
    clock: Clock,
    /// Newest version sent.
    pub version: Arc<AtomicU64>,
    /// Every version sent so far, with the time of its acknowledgement.
    pub orders: Vec<ConfigSubmission>,
}

impl Operator {
    /// Creates an operator that has not sent a version.
    pub fn new(machines: &Machines, clock: Clock) -> Self {
        Operator {
            coordinators: COORDINATORS.map(|host| machines.ip(host)).to_vec(),
            port: machines.ports.api,
            clock,
            version: Arc::new(AtomicU64::new(0)),
            orders: Vec::new(),
        }
    }

    /// Calls these coordinators from now on.
    pub fn call(&mut self, coordinators: Vec<Ipv4Addr>) {
        self.coordinators = coordinators;
    }

    /// Sends the next version until it is acknowledged or `timeout` has passed, and returns whether
    /// it was acknowledged. If the previous version was not acknowledged, sends that one again.
    pub fn send_next_version(&mut self, timeout: Duration) -> bool {
        let resend = self.orders.last().is_some_and(|order| order.acknowledged.is_none());
        if !resend {
            let version = self.orders.last().map_or(1, |order| order.version + 1);
            self.orders.push(ConfigSubmission { version, acknowledged: None });
        }
        let version = self.orders.last().map_or(1, |order| order.version);
        self.version.store(version, Ordering::SeqCst);
        let deadline = Instant::now() + timeout;
        for attempt in 0.. {
            let ip = self.coordinators[attempt % self.coordinators.len()];
            if self.put_version(ip, version) == Some(200) {
                let now = self.clock.now();
                self.orders.last_mut().expect("pushed above").acknowledged = Some(now);
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(RETRY_PAUSE);
        }
        false
    }

    fn put_version(&self, ip: Ipv4Addr, version: u64) -> Option<u16> {
        let mut url = format!("http://{ip}:{}/v1/configuration", self.port);
        let body = configuration(version).to_string();
        for _ in 0..MAX_REDIRECTS {
            let req = super::agent().put(&url).header("If-Match", (version - 1).to_string());
            let resp = req.send(&body).ok()?;
            if resp.status() != 307 {
                return Some(resp.status().as_u16());
            }
            url = resp.headers().get("location")?.to_str().ok()?.to_owned();
        }
        None
    }

    /// Returns the version in force, from the first coordinator that reports one within `timeout`.
    pub fn read_back(&self, timeout: Duration) -> Option<u64> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(version) = self.coordinators.iter().find_map(|ip| self.get_version(*ip)) {
                return Some(version);
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn get_version(&self, ip: Ipv4Addr) -> Option<u64> {
        let url = format!("http://{ip}:{}/v1/configuration", self.port);
        let resp = super::agent().get(&url).call().ok();
        let text = resp.filter(|resp| resp.status() == 200)?.body_mut().read_to_string().ok()?;
        serde_json::from_str::<Value>(&text).ok()?["version"].as_u64()
    }
}

fn configuration(version: u64) -> Value {
    let route = |name: &str, path: &str, repeatable: bool| {
        json!({ "Route": {
            "name": name, "host": BASE_HOST, "path_prefix": path, "methods": [],
            "targets": [{ "service": SERVICE, "weight": 1 }], "secret": null,
            "timeout_ms": ROUTE_TIMEOUT_MS, "repeatable": repeatable, "priority": "normal",
            "retry_budget_percent": 20, "max_staleness_s": 0, "attempts": 2,
            "target_latency_ms": 500, "rank": 0, "annotation": "",
        } })
    };
    json!({ "version": version, "objects": [
        { "Service": { "name": SERVICE, "upstream_slots": 8, "upstream_connections": 50 } },
        route("base", BASE_PATH, true),
        route("charge", "/charge/", false),
        route(&format!("v{version}"), &format!("/v{version}/"), true),
    ] })
}
