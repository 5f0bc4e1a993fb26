//! Measures the cost of tenants in a sidecar: CPU time and memory of a configuration with many
//! tenants, and the time per call with an API key.
//!
//! Run with `cargo run --release -p sidecar --example tenant_cost`.

use bundle::{best_update, Bundle, Object, Priority, Route, Service, Target, Tenant};
use http1::{Headers, Request};
use mesh::NodeAddress;
use placement::{BudgetBounds, Locality};
use sidecar::{CallMetrics, Calls, Config, ConnectionId, HeaderNames, LogSample, Origin};
use speedy::{Readable, Writable};
use std::net::Ipv4Addr;
use std::process::Command;
use std::time::Instant;
use telemetry::Registry;

const ROUTES: usize = 800;
const TENANTS: usize = 10_000;
const CALLS: u64 = 200_000;
const CHANGES: u64 = 20;

const NAMES: HeaderNames = HeaderNames {
    attempt_id: "x-attempt",
    deadline_ms: "x-deadline",
    seal: "x-seal",
    expect_instance: "x-expect",
    not_run: "x-not-run",
    caller: "x-caller",
    api_key: "x-key",
    tenant: "x-tenant",
    load: "x-load",
    rate_limit: "x-rate-limit",
    leaving: "x-leaving",
};

fn route(number: usize, rank: u32) -> Object {
    Object::Route(Route {
        name: format!("r-{number:05}"),
        host: "fares.example".to_owned(),
        path_prefix: format!("/lepu{number}/"),
        methods: Vec::new(),
        targets: vec![Target { service: "fares".to_owned(), weight: 1 }],
        secret: None,
        timeout_ms: 2_000,
        repeatable: true,
        priority: Priority::Normal,
        retry_budget_percent: 20,
        max_staleness_s: 0,
        attempts: 2,
        target_latency_ms: 600,
        rank,
        keyless: false,
        annotation: "x".repeat(200),
    })
}

fn key(number: usize, position: usize) -> String {
    format!("{number:010}-{position:09}")
}

fn tenant(number: usize, burst: u64) -> Object {
    Object::Tenant(Tenant {
        name: format!("t-{number:06}"),
        keys: vec![key(number, 0), key(number, 1)],
        rate_milli: 570_000,
        burst,
        rank: Some(1),
        annotation: "x".repeat(100),
    })
}

fn bundle(tenants: usize, changed_route: u32, changed_tenant: u64) -> Bundle {
    let service = Object::Service(Service {
        name: "fares".to_owned(),
        upstream_slots: 1,
        upstream_connections: 100,
        cold_start: None,
        annotation: String::new(),
    });
    let routes =
        (0..ROUTES).map(|number| route(number, if number == 0 { changed_route } else { 0 }));
    let tenants =
        (0..tenants).map(|number| tenant(number, if number == 0 { changed_tenant } else { 0 }));
    Bundle::from_objects(routes.chain(tenants).chain([service]).collect())
}

/// Resident memory of this process, kB.
fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("VmRSS is listed");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

/// Measures each number of tenants in a separate process, so that its memory usage is due to that
/// configuration.
fn main() {
    if let Some(text) = std::env::args().nth(1) {
        return measure(text.parse().expect("a number of tenants"));
    }
    let own = std::env::current_exe().expect("a path");
    for tenants in [0, 72, TENANTS] {
        Command::new(&own).arg(tenants.to_string()).status().expect("child started");
    }
}

/// Measures one configuration and prints its row. Another process builds and encodes the first
/// update, so that the memory measured here is the same as if it came from a coordinator.
fn measure(tenants: usize) {
    let file = std::env::temp_dir().join(format!("tenant-cost-{}", std::process::id()));
    let own = std::env::current_exe().expect("a path");
    let arguments = [tenants.to_string(), file.display().to_string()];
    if let Some(file) = std::env::args().nth(2) {
        let bytes = best_update(None, &bundle(tenants, 0, 0)).write_to_vec().expect("memory");
        std::fs::write(file, bytes).expect("written");
        return;
    }
    Command::new(own).args(arguments).status().expect("child started");
    let bytes = std::fs::read(&file).expect("written by the child");
    std::fs::remove_file(&file).expect("file exists");
    let first = Update::read_from_buffer(&bytes).expect("valid update");
    let before = memory_kb();
    let mut config = Config::default();
    let since = Instant::now();
    assert!(config.apply(1, &first));
    let first_ms = since.elapsed().as_secs_f64() * 1_000.0;
    let kb = memory_kb().saturating_sub(before);
    let (routes, changed) = updates(tenants);
    let route_ms = apply_updates(&mut config, &routes);
    let tenant_ms = apply_updates(&mut config, &changed);
    config.freshness.note(0, config.generation());
    println!(
        "{tenants} tenants: first {first_ms:.1} ms, {kb} kB ({} bytes on the wire); a changed route \
         {route_ms:.2} ms, a changed tenant {tenant_ms:.2} ms; a call {:.2} us, one denied {:.2} us",
        bytes.len(),
        call_us(&config, tenants, 0),
        call_us(&config, tenants, 2)
    );
}

type Update = bundle::BundleUpdate;

/// Updates that each change one route, followed by updates that each change one tenant.
fn updates(tenants: usize) -> (Vec<Update>, Vec<Update>) {
    let mut current = bundle(tenants, 0, 0);
    let mut next = |route, tenant| {
        let new = bundle(tenants, route, tenant);
        let update = best_update(Some(&current), &new);
        current = new;
        update
    };
    let routes = (1..=CHANGES).map(|change| next(change as u32, 0)).collect();
    let changed = (1..=CHANGES).map(|change| next(CHANGES as u32, change)).collect();
    (routes, changed)
}

/// Applies updates and returns the milliseconds per update.
fn apply_updates(config: &mut Config, updates: &[Update]) -> f64 {
    let since = Instant::now();
    for update in updates {
        assert!(config.apply(config.generation() + 1, update));
    }
    since.elapsed().as_secs_f64() * 1_000.0 / updates.len() as f64
}

/// Microseconds per call that finds no upstream, or per denied call if no tenant has a key at
/// `position`.
fn call_us(config: &Config, tenants: usize, position: usize) -> f64 {
    let own = NodeAddress { ip: Ipv4Addr::LOCALHOST, port: 1 };
    let bounds = BudgetBounds { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
    let metrics = CallMetrics::new(&Registry::default());
    let mut calls =
        Calls::new(NAMES, "own", Locality::new(own, "a"), bounds, LogSample::new(16), metrics, 1);
    let connection = ConnectionId::for_tests(1);
    let since = Instant::now();
    for slot in 0..CALLS {
        let number = slot as usize % tenants.max(1);
        let mut headers = Headers::default();
        headers.push("Host", "fares.example");
        headers.push(NAMES.attempt_id, "9c41d07be2a35f68");
        headers.push(NAMES.deadline_ms, "1200");
        headers.push(NAMES.api_key, key(number, position));
        let request = Request {
            method: "GET".to_owned(),
            target: format!("/lepu{}/2f", slot as usize % ROUTES),
            headers,
            body: bytes::Bytes::new(),
        };
        let (origin, now) = (Origin { connection, slot }, slot / 1_000);
        calls.begin(origin, request, config, now);
        calls.connection_ended(connection, now);
    }
    since.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}
