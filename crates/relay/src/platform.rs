//! Polls the platform's list of machines.

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
/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;

/// Error while reading the list of machines.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The request to the platform failed.
    #[snafu(display("cannot fetch the platform's list of machines: {source}"))]
    Request {
        /// Underlying error.
        source: Box<ureq::Error>,
    },
    /// The response is not the expected JSON.
    #[snafu(display("cannot parse the platform's list of machines: {source}"))]
    Content {
        /// Underlying error.
        source: serde_json::Error,
    },
}

/// State of a machine according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is live.
    Live,
    /// The machine is about to be removed.
    Leaving,
}

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Machine {
    /// Service of the machine's backend.
    pub service: String,
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// Increases with every start of the backend.
    pub incarnation: u64,
    /// State of the machine.
    pub state: MachineState,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
}

/// Parses the JSON list.
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

/// Starts a thread that polls the list; a failed reading changes nothing.
pub(crate) fn spawn(shared: &Arc<Shared>) {
    let shared = shared.clone();
    thread::spawn(move || {
        let mut list = MachineList::new(&shared.settings.platform_url);
        let interval = Duration::from_millis(shared.settings.platform_poll_ms);
        while !shared.stop.is_set() {
            match list.fetch() {
                Ok(Some(listed)) => merge_list(&shared, &listed),
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

/// The platform's list of machines, as fetched from one address.
pub struct MachineList {
    agent: ureq::Agent,
    url: String,
    /// Entity tag of the list that was fetched last.
    version: String,
}

impl MachineList {
    /// A list that has not been fetched yet.
    pub fn new(url: &str) -> Self {
        MachineList { agent: agent(), url: url.to_owned(), version: String::new() }
    }

    /// Fetches the list; `None` if it is unchanged since it was fetched last.
    pub fn fetch(&mut self) -> Result<Option<Vec<Endpoint>>, PlatformError> {
        let request_error = |source| PlatformError::Request { source: Box::new(source) };
        let request = self.agent.get(&self.url).header("If-None-Match", self.version.as_str());
        let mut response = request.call().map_err(request_error)?;
        if response.status() == 304 {
            return Ok(None);
        }
        let etag = response.headers().get("ETag").and_then(|etag| etag.to_str().ok());
        let etag = etag.unwrap_or_default().to_owned();
        let text = response.body_mut().with_config().limit(MAX_LIST_BYTES).read_to_string();
        let listed = parse_machines(&text.map_err(request_error)?)?;
        self.version = etag;
        Ok(Some(listed))
    }
}

fn merge_list(shared: &Shared, listed: &[Endpoint]) {
    let mut locked = shared.lock();
    let table = locked.core.endpoints_mut();
    let before = table.sequence();
    table.merge_list(listed);
    let changed = table.sequence() != before;
    let count = table.len();
    drop(locked);
    if changed {
        shared.update_available.notify_all();
        info!(endpoints = count, "endpoints_changed");
    }
}
