//! Polls the health of backends on the proxy's own node.

use crate::runtime::Shared;
use endpoints::EndpointKey;
use serde::Deserialize;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Response of a backend to `/health`.
#[derive(Debug, Deserialize)]
struct Health {
    state: String,
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
            let agent = agent();
            let url = format!("http://{}/health", backend.address);
            while !shared.stop.is_set() {
                if fetch_health(&agent, &url).is_some_and(|health| health.state == "draining") {
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
