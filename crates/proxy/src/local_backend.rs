//! Looking at the back ends of the proxy's own node.

use crate::runtime::Shared;
use endpoints::EndpointKey;
use serde::Deserialize;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Answer of a back end's `/health`.
#[derive(Debug, Deserialize)]
struct Health {
    state: String,
}

/// Polls each local back end; one that drains is reported as leaving. A back end that cannot be
/// reached is not: its health endpoint may lie or lag, and own calls decide.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    for backend in shared.settings.local_backend.clone() {
        let shared = shared.clone();
        let interval = Duration::from_millis(shared.settings.health_poll_ms);
        thread::spawn(move || {
            let key = EndpointKey::new(&backend.service, backend.address);
            let agent = agent();
            let url = format!("http://{}/health", backend.address);
            while !shared.stop.is_set() {
                if state_of(&agent, &url).is_some_and(|health| health.state == "draining") {
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

fn state_of(agent: &ureq::Agent, url: &str) -> Option<Health> {
    let text = agent.get(url).call().ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}
