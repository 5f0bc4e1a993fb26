//! Which route is selected for a call.

use bundle::{Bundle, Object, Priority, Route, SealKeys, Service, Target};
use expect_test::expect;
use forward::RoutingTable;

const SERVICE: &str = "fares";
const SEED: u64 = 7;
const TABLE_COUNT: usize = 200;
const CALLS_PER_TABLE: usize = 200;

fn route(name: &str, host: &str, prefix: &str, methods: &[&str]) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        methods: methods.iter().map(|method| (*method).to_owned()).collect(),
        targets: vec![Target { service: SERVICE.to_owned(), weight: 1 }],
        secret: None,
        timeout_ms: 1_000,
        repeatable: true,
        priority: Priority::Normal,
        retry_budget_percent: 10,
        max_staleness_s: 0,
        attempts: 1,
        target_latency_ms: 0,
        rank: 0,
        keyless: false,
        annotation: String::new(),
    }
}

fn bundle(routes: &[Route]) -> Bundle {
    let service = Service {
        name: SERVICE.to_owned(),
        upstream_slots: 1,
        upstream_connections: 1,
        cold_start: None,
        annotation: String::new(),
    };
    let objects = routes.iter().cloned().map(Object::Route);
    Bundle::from_objects(objects.chain([Object::Service(service)]).collect())
}

fn table(bundle: &Bundle) -> RoutingTable {
    RoutingTable::compile(1, bundle, &SealKeys::default()).expect("the bundle is valid")
}

#[test]
fn the_longest_prefix_wins_then_a_named_host_then_the_name() {
    let routes = [
        route("any", "*", "/", &[]),
        route("fares", "a.example", "/fares", &[]),
        route("fares-any-host", "*", "/fares", &[]),
        route("posted", "a.example", "/fares/new/", &["POST"]),
        route("twin-1", "b.example", "/twin/", &[]),
        route("twin-2", "b.example", "/twin/", &[]),
    ];
    let bundle = bundle(&routes);
    let table = table(&bundle);
    let calls = [
        ("a.example", "GET", "/fares"),
        ("A.EXAMPLE:80", "GET", "/fares/7"),
        ("c.example", "GET", "/fares/7"),
        ("a.example", "GET", "/faresheet"),
        ("a.example", "GET", "/fares?zone=1"),
        ("a.example", "POST", "/fares/new/1"),
        ("a.example", "GET", "/fares/new/1"),
        ("a.example", "POST", "/fares/new"),
        ("b.example", "GET", "/twin/"),
        ("b.example", "GET", "/twin"),
        ("b.example", "GET", ""),
    ];
    let found = calls.map(|(host, method, path)| {
        let found = table.find(host, method, path);
        let name = found.map_or("-", |compiled| &compiled.route.name);
        format!("{method} {host}{path} -> {name}")
    });
    expect![[r#"
        GET a.example/fares -> fares
        GET A.EXAMPLE:80/fares/7 -> fares
        GET c.example/fares/7 -> fares-any-host
        GET a.example/faresheet -> any
        GET a.example/fares?zone=1 -> fares
        POST a.example/fares/new/1 -> posted
        GET a.example/fares/new/1 -> fares
        POST a.example/fares/new -> fares
        GET b.example/twin/ -> twin-1
        GET b.example/twin -> any
        GET b.example -> -"#]]
    .assert_eq(&found.join("\n"));
}

/// Reference implementation: finds the route by a scan of all routes, as the interface
/// documentation specifies the rule.
fn scan<'a>(routes: &'a [Route], host: &str, method: &str, path: &str) -> Option<&'a str> {
    let matches = |route: &&Route| {
        let Some(rest) = path.strip_prefix(&route.path_prefix) else {
            return false;
        };
        let at_segment_end = rest.is_empty() || route.path_prefix.ends_with('/');
        let host_matches = route.host == "*" || route.host == host;
        let method_matches = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
        (at_segment_end || rest.starts_with(['/', '?'])) && host_matches && method_matches
    };
    let found = routes.iter().filter(matches).min_by_key(|route| {
        (std::cmp::Reverse(route.path_prefix.len()), route.host == "*", &route.name)
    });
    found.map(|route| route.name.as_str())
}

#[test]
fn what_is_found_is_what_a_walk_over_all_routes_finds() {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let parts = ["/", "/a", "/a/", "/b", "b", "ab/", "é/", "?x"];
    let random_path = |rng: &mut fastrand::Rng| {
        let count = rng.usize(0..4);
        (0..count).map(|_| parts[rng.usize(..parts.len())]).collect::<String>()
    };
    let hosts = ["*", "a.example", "b.example"];
    let mut hits = 0;
    for _ in 0..TABLE_COUNT {
        let count = rng.usize(1..20);
        let mut routes = Vec::new();
        for index in 0..count {
            let host = hosts[rng.usize(..hosts.len())];
            let methods: &[&str] = if rng.bool() { &[] } else { &["GET"] };
            let prefix = format!("/{}", random_path(&mut rng));
            routes.push(route(&format!("r{index:02}"), host, &prefix, methods));
        }
        let bundle = bundle(&routes);
        let table = table(&bundle);
        for _ in 0..CALLS_PER_TABLE {
            let host = hosts[1 + rng.usize(..2)];
            let method = if rng.bool() { "GET" } else { "PUT" };
            let path = format!("/{}", random_path(&mut rng));
            let found =
                table.find(host, method, &path).map(|compiled| compiled.route.name.as_str());
            assert_eq!(found, scan(&routes, host, method, &path), "{method} {host} {path}");
            hits += usize::from(found.is_some());
        }
    }
    assert!(hits > TABLE_COUNT * CALLS_PER_TABLE / 4, "too few calls match a route: {hits}");
}
