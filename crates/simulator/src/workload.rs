//! Configuration bundles and back ends of a simulated deployment.

use bundle::{Bundle, Object, Priority, Route, SealKey, Service, Target};
use endpoints::{Endpoint, EndpointKey, EndpointState};

const SERVICES: [&str; 3] = ["balance", "payments", "fares"];
const BACKENDS_PER_SERVICE: usize = 4;

/// Returns a bundle in which all secrets and routes differ by `revision`, and one service's route
/// refers to a secret named after it, so that any mixture of two revisions has a dangling reference
/// or a wrong digest.
pub(crate) fn bundle_of(revision: u64) -> Bundle {
    let key = SealKey::new(1, [7; 32]);
    let mut objects = Vec::new();
    for (position, service) in SERVICES.iter().enumerate() {
        let changed = revision % SERVICES.len() as u64 == position as u64;
        let suffix = if changed { revision.to_string() } else { "stable".to_owned() };
        let secret = format!("{service}-token-{suffix}");
        objects.push(Object::Service(Service {
            name: (*service).to_owned(),
            upstream_slots: 20,
            upstream_connections: 130,
            cold_start: None,
            annotation: String::new(),
        }));
        objects.push(Object::Secret(key.seal(&secret, &format!("value {revision}"))));
        objects.push(Object::Route(Route {
            name: format!("{service}-read"),
            host: "*".to_owned(),
            path_prefix: format!("/{service}"),
            methods: Vec::new(),
            targets: vec![Target { service: (*service).to_owned(), weight: 1 }],
            secret: Some(secret),
            timeout_ms: 1_000 + (revision % 1_000) as u32,
            repeatable: true,
            priority: Priority::Normal,
            retry_budget_percent: 20,
            max_staleness_s: 0,
            attempts: 2,
            target_latency_ms: 0,
            rank: 0,
            keyless: false,
            annotation: String::new(),
        }));
    }
    Bundle::from_objects(objects)
}

/// Returns the initial endpoint list of the platform, in which all back ends are live.
pub(crate) fn initial_endpoints(zones: usize) -> Vec<Endpoint> {
    let mut list = Vec::new();
    for (position, service) in SERVICES.iter().enumerate() {
        for number in 0..BACKENDS_PER_SERVICE {
            let port = 9_000 + (position * BACKENDS_PER_SERVICE + number) as u16;
            list.push(Endpoint {
                key: EndpointKey::new(service, ([127, 0, 0, 1], port).into()),
                incarnation: 1,
                state: EndpointState::Live,
                zone: format!("zone-{}", number % zones),
                region: "region".to_owned(),
            });
        }
    }
    list
}
