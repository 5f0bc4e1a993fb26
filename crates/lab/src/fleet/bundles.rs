//! Configuration bundles for the services of a test fleet.

use std::fmt::Write;

/// A service with one read route and, if it takes charges, one charge route.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: String,
    /// Number of concurrent calls per upstream.
    pub slots: u32,
    /// Number of connections that one upstream accepts.
    pub connections: u32,
    /// Whether the service takes charges, which must not run twice.
    pub takes_charges: bool,
}

impl ServiceShape {
    /// Returns a service with a read route only.
    pub fn reads(name: &str, slots: u32, connections: u32) -> Self {
        ServiceShape { name: name.to_owned(), slots, connections, takes_charges: false }
    }

    /// Returns a service with a read route and a charge route.
    pub fn charges(name: &str, slots: u32, connections: u32) -> Self {
        ServiceShape { takes_charges: true, ..ServiceShape::reads(name, slots, connections) }
    }

    /// Returns the services of the reference deployment, a fare system.
    pub fn reference_services() -> Vec<Self> {
        vec![
            ServiceShape::reads("balance", 20, 130),
            ServiceShape::charges("payments", 20, 130),
            ServiceShape::reads("fares", 20, 130),
        ]
    }
}

/// Returns the source text of a bundle. `revision` changes the timeout of one route.
pub fn bundle_toml(services: &[ServiceShape], revision: u32) -> String {
    let mut text = String::new();
    for (position, service) in services.iter().enumerate() {
        let name = &service.name;
        let timeout_ms = if position == 0 { 2_000 + revision } else { 2_000 };
        let _ = write!(
            text,
            "[[service]]\nname = \"{name}\"\nupstream_slots = {}\nupstream_connections = {}\n\n\
             [[secret]]\nname = \"{name}-token\"\nvalue = \"token of {name}\"\n\n\
             [[route]]\nname = \"{name}-read\"\npath_prefix = \"/{name}\"\nmethods = [\"GET\"]\n\
             service = \"{name}\"\nsecret = \"{name}-token\"\nrepeatable = true\n\
             timeout_ms = {timeout_ms}\n\n",
            service.slots, service.connections
        );
        if service.takes_charges {
            let _ = write!(
                text,
                "[[route]]\nname = \"{name}-charge\"\npath_prefix = \"/{name}\"\n\
                 methods = [\"POST\"]\nservice = \"{name}\"\nsecret = \"{name}-token\"\n\
                 repeatable = false\npriority = \"high\"\ntimeout_ms = 5000\n\n",
            );
        }
    }
    text
}
