//! Stub of the platform: serves the list of machines over HTTP.

use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedMachine {
    /// Service of the backend.
    pub service: String,
    /// Address of the backend.
    pub address: SocketAddr,
    /// Incremented with every start.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
}

#[derive(Debug, Default)]
struct State {
    machines: BTreeMap<(String, SocketAddr), ListedMachine>,
    version: u64,
}

/// The list of machines, served over HTTP.
#[derive(Clone, Debug, Default)]
pub struct PlatformList {
    state: Arc<Mutex<State>>,
}

impl PlatformList {
    /// Serves a list that is initially empty.
    pub fn serve(address: SocketAddr) -> Result<Self, crate::Failure> {
        let list = PlatformList::default();
        let served_list = list.clone();
        let server = rouille::Server::new(address, move |request| served_list.respond(request))
            .map_err(|error| format!("cannot listen on {address}: {error}"))?;
        std::thread::spawn(move || server.run());
        Ok(list)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn respond(&self, request: &rouille::Request) -> rouille::Response {
        let state = self.lock();
        let tag = format!("v{}", state.version);
        if request.header("If-None-Match") == Some(&tag) {
            return rouille::Response::text("").with_status_code(304);
        }
        let machines: Vec<&ListedMachine> = state.machines.values().collect();
        rouille::Response::json(&machines).with_additional_header("ETag", tag)
    }

    /// Adds or replaces a machine.
    pub fn set(&self, machine: ListedMachine) {
        let mut state = self.lock();
        state.version += 1;
        state.machines.insert((machine.service.clone(), machine.address), machine);
    }

    /// Changes the state of a machine.
    pub fn set_state(&self, service: &str, address: SocketAddr, new_state: &str) {
        let mut state = self.lock();
        state.version += 1;
        if let Some(machine) = state.machines.get_mut(&(service.to_owned(), address)) {
            machine.state = new_state.to_owned();
        }
    }

    /// Lists a machine as restarted: live, with the next incarnation.
    pub fn next_incarnation(&self, service: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.version += 1;
        if let Some(machine) = state.machines.get_mut(&(service.to_owned(), address)) {
            machine.state = "live".to_owned();
            machine.incarnation += 1;
        }
    }

    /// Removes a machine from the list.
    pub fn remove(&self, service: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.version += 1;
        state.machines.remove(&(service.to_owned(), address));
    }
}
