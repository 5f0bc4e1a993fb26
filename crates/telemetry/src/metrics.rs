//! Counters and gauges, served as text together with health, readiness and status.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter as PrometheusCounter;
use prometheus_client::metrics::gauge::Gauge as PrometheusGauge;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// A number that only rises. Clones share the value.
pub type Counter = PrometheusCounter;
/// A number that rises and falls. Clones share the value.
pub type Gauge = PrometheusGauge;

/// The metrics of one process.
#[derive(Clone, Default)]
pub struct Registry {
    inner: Arc<Mutex<prometheus_client::registry::Registry>>,
}

impl Registry {
    /// Registers a counter; the name must carry its unit and not `_total`, which is added.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.lock().register(format!("chutecove_{name}"), help, counter.clone());
        counter
    }

    /// Registers a gauge; the name must carry its unit.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.lock().register(format!("chutecove_{name}"), help, gauge.clone());
        gauge
    }

    /// The text exposition.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.lock()).expect("writing to a string cannot fail");
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, prometheus_client::registry::Registry> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The metrics address could not be used.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {reason}"))]
pub struct MetricsServerError {
    address: SocketAddr,
    reason: String,
}

/// What the server asks its process.
pub struct MetricsServer {
    /// Metrics.
    pub registry: Registry,
    /// Whether the process can do its work now; otherwise the reason.
    pub ready: Box<dyn Fn() -> Result<(), String> + Send + Sync>,
    /// State for people and tools, JSON.
    pub status: Box<dyn Fn() -> String + Send + Sync>,
}

const SERVER_THREADS: usize = 2;

impl MetricsServer {
    /// Serves `/metrics`, `/healthz`, `/readyz` and `/status`; returns the address in use.
    pub fn run(self, address: SocketAddr) -> Result<SocketAddr, MetricsServerError> {
        let handler = move |request: &rouille::Request| self.answer(&request.url());
        let server = rouille::Server::new(address, handler)
            .map_err(|error| MetricsServerError { address, reason: error.to_string() })?
            .pool_size(SERVER_THREADS);
        let bound = server.server_addr();
        thread::spawn(move || server.run());
        Ok(bound)
    }

    fn answer(&self, path: &str) -> rouille::Response {
        match path {
            "/metrics" => rouille::Response::text(self.registry.encode()),
            "/healthz" => rouille::Response::text("ok\n"),
            "/readyz" => match (self.ready)() {
                Ok(()) => rouille::Response::text("ready\n"),
                Err(reason) => rouille::Response::text(format!("{reason}\n")).with_status_code(503),
            },
            "/status" => rouille::Response::from_data("application/json", (self.status)()),
            _ => rouille::Response::empty_404(),
        }
    }
}
