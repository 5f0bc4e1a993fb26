//! Polls the health of backends on the proxy's own node.

use crate::runtime::Shared;
use endpoints::EndpointKey;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Response of a backend to `/health`.
#[derive(Debug, Deserialize)]
struct Health {
    state: String,
}

/// The health endpoint of a backend.
pub struct HealthEndpoint {
    agent: ureq::Agent,
    url: String,
}

impl HealthEndpoint {
    /// The endpoint of the backend at an address.
    pub fn new(address: SocketAddr) -> Self {
        HealthEndpoint { agent: agent(), url: format!("http://{address}/health") }
    }

    /// Whether the backend says that it is draining. One that cannot be asked, or whose response is
    /// incomplete, does not say so.
    pub fn is_draining(&self) -> bool {
        let health = fetch_health(&self.agent, &self.url);
        health.is_some_and(|health| health.state == "draining")
    }
}

/// Starts a polling thread for each local backend; one that is draining is reported as leaving. An
/// unreachable backend is not: its health endpoint may be wrong or out of date, so the results of
/// the proxy's calls decide.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    for backend in shared.settings.local_backend.clone() {
        let shared = shared.clone();
        let interval = Duration::from_millis(shared.settings.health_poll_ms);
        thread::spawn(move || {
            let key = EndpointKey::new(&backend.service, backend.address);
            let endpoint = HealthEndpoint::new(backend.address);
            while !shared.stop.is_set() {
                if endpoint.is_draining() {
                    shared.observe_leaving(&key);
                }
                thread::sleep(interval);
            }
        });
    }
}

fn agent() -> ureq::Agent {
    let config =
        ureq::Agent::config_builder().timeout_global(Some(REQUEST_TIMEOUT)).proxy(None).build();
    config.into()
}

fn fetch_health(agent: &ureq::Agent, url: &str) -> Option<Health> {
    let text = agent.get(url).call().ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}
