//! Reading the platform's list of machines.

use crate::runtime::Shared;
use endpoints::{Endpoint, EndpointKey, EndpointState};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::{debug, info};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list accepted, bytes.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;

/// The list could not be read.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The platform did not answer.
    #[snafu(display("the platform's list was not answered: {source}"))]
    Request {
        /// Cause.
        source: Box<ureq::Error>,
    },
    /// The answer is not the expected JSON.
    #[snafu(display("the platform's list cannot be read: {source}"))]
    Content {
        /// Cause.
        source: serde_json::Error,
    },
}

/// What the platform says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Live.
    Live,
    /// About to go.
    Leaving,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Machine {
    /// Service its back end belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Rises with every start.
    pub incarnation: u64,
    /// Live or leaving.
    pub state: MachineState,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Reads the JSON list.
pub fn parse_machines(text: &str) -> Result<Vec<Endpoint>, PlatformError> {
    let machines: Vec<Machine> = serde_json::from_str(text).context(ContentSnafu)?;
    Ok(machines.into_iter().map(to_endpoint).collect())
}

fn to_endpoint(machine: Machine) -> Endpoint {
    Endpoint {
        key: EndpointKey::new(&machine.service, machine.address),
        incarnation: machine.incarnation,
        state: match machine.state {
            MachineState::Live => EndpointState::Live,
            MachineState::Leaving => EndpointState::Leaving,
        },
        zone: machine.zone,
        region: machine.region,
    }
}

/// Reads the list again and again; a reading that fails changes nothing.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    let shared = shared.clone();
    thread::spawn(move || {
        let agent = agent();
        let mut version = String::new();
        let interval = Duration::from_millis(shared.settings.platform_poll_ms);
        while !shared.stop.is_set() {
            match fetch(&agent, &shared.settings.platform_url, &mut version) {
                Ok(Some(listed)) => merge(&shared, &listed),
                Ok(None) => {}
                Err(error) => debug!(%error, "platform_list_failed"),
            }
            thread::sleep(interval);
        }
    });
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    config.into()
}

/// Reads the list; `None` if it is the one of `version`.
fn fetch(
    agent: &ureq::Agent,
    url: &str,
    version: &mut String,
) -> Result<Option<Vec<Endpoint>>, PlatformError> {
    let boxed = |source| PlatformError::Request { source: Box::new(source) };
    let mut answer =
        agent.get(url).header("If-None-Match", version.as_str()).call().map_err(boxed)?;
    if answer.status() == 304 {
        return Ok(None);
    }
    let tag = answer.headers().get("ETag").and_then(|tag| tag.to_str().ok());
    let tag = tag.unwrap_or_default().to_owned();
    let text = answer.body_mut().with_config().limit(MAX_LIST_BYTES).read_to_string();
    let listed = parse_machines(&text.map_err(boxed)?)?;
    *version = tag;
    Ok(Some(listed))
}

fn merge(shared: &Shared, listed: &[Endpoint]) {
    let mut locked = shared.lock();
    let table = locked.core.endpoints_mut();
    let before = table.sequence();
    table.merge_list(listed);
    let changed = table.sequence() != before;
    let count = table.len();
    drop(locked);
    if changed {
        shared.news.notify_all();
        info!(endpoints = count, "endpoints_changed");
    }
}
