//! The platform's list of machines.

use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedMachine {
    /// Service.
    pub service: String,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Rises with every start.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

#[derive(Debug, Default)]
struct State {
    machines: BTreeMap<(String, SocketAddr), ListedMachine>,
    version: u64,
}

/// The list, served over HTTP.
#[derive(Clone, Debug, Default)]
pub struct PlatformList {
    state: Arc<Mutex<State>>,
}

impl PlatformList {
    /// Serves a list that is empty at first.
    pub fn serve(address: SocketAddr) -> Result<Self, crate::Failure> {
        let list = PlatformList::default();
        let served = list.clone();
        let server = rouille::Server::new(address, move |request| served.answer(request))
            .map_err(|error| format!("cannot listen on {address}: {error}"))?;
        std::thread::spawn(move || server.run());
        Ok(list)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &rouille::Request) -> rouille::Response {
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

    /// Lists a machine as started again.
    pub fn next_incarnation(&self, service: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.version += 1;
        if let Some(machine) = state.machines.get_mut(&(service.to_owned(), address)) {
            machine.state = "live".to_owned();
            machine.incarnation += 1;
        }
    }

    /// Takes a machine off the list.
    pub fn remove(&self, service: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.version += 1;
        state.machines.remove(&(service.to_owned(), address));
    }
}
