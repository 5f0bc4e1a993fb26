//! Metrics registry, and the HTTP server for metrics, health, readiness and status.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter as PrometheusCounter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge as PrometheusGauge;
use prometheus_client::metrics::histogram::Histogram as PrometheusHistogram;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// A monotonically increasing metric. Clones share the value.
pub type Counter = PrometheusCounter;
/// A metric that can increase and decrease. Clones share the value.
pub type Gauge = PrometheusGauge;

/// A histogram of durations in seconds. Clones share the values.
pub type Histogram = PrometheusHistogram;
/// Call counters by route and outcome. Clones share the values.
pub type CallCounters = Family<CallLabels, Counter>;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Labels of [`CallCounters`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Name of the route.
    pub route: String,
    /// Outcome of the call, one word.
    pub outcome: &'static str,
}

/// The metrics of one process.
#[derive(Clone, Default)]
pub struct Registry {
    inner: Arc<Mutex<prometheus_client::registry::Registry>>,
}

impl Registry {
    /// Registers a counter. The name must include the unit but not `_total`, which is appended.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.lock().register(format!("chutecove_{name}"), help, counter.clone());
        counter
    }

    /// Registers a gauge. The name must include the unit.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.lock().register(format!("chutecove_{name}"), help, gauge.clone());
        gauge
    }

    /// Registers a histogram of durations; `_seconds` is appended to the name.
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(BUCKETS_S);
        self.lock().register(format!("chutecove_{name}_seconds"), help, histogram.clone());
        histogram
    }

    /// Registers call counters.
    pub fn calls(&self, name: &str, help: &str) -> CallCounters {
        let counters = CallCounters::default();
        self.lock().register(format!("chutecove_{name}"), help, counters.clone());
        counters
    }

    /// Encodes all metrics in the text exposition format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.lock()).expect("writing to a string cannot fail");
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, prometheus_client::registry::Registry> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The metrics server could not listen on its address.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {reason}"))]
pub struct MetricsServerError {
    address: SocketAddr,
    reason: String,
}

/// HTTP server for metrics, health, readiness and status, with the callbacks that provide them.
pub struct MetricsServer {
    /// Metrics to serve.
    pub registry: Registry,
    /// Returns the reason as an error if the process is not ready.
    pub ready: Box<dyn Fn() -> Result<(), String> + Send + Sync>,
    /// Returns the status of the process as JSON, for operators and tools.
    pub status: Box<dyn Fn() -> String + Send + Sync>,
}

const SERVER_THREADS: usize = 2;

impl MetricsServer {
    /// Starts serving `/metrics`, `/healthz`, `/readyz` and `/status` on a new thread; returns the
    /// bound address.
    pub fn run(self, address: SocketAddr) -> Result<SocketAddr, MetricsServerError> {
        let handler = move |request: &rouille::Request| self.respond(&request.url());
        let server = rouille::Server::new(address, handler)
            .map_err(|error| MetricsServerError { address, reason: error.to_string() })?
            .pool_size(SERVER_THREADS);
        let bound = server.server_addr();
        thread::spawn(move || server.run());
        Ok(bound)
    }

    fn respond(&self, path: &str) -> rouille::Response {
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
