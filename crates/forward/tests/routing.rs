//! Which route a call gets.

use bundle::{Bundle, Object, Priority, Route, SealKeys, Service, Target};
use expect_test::expect;
use forward::RoutingTable;

const SERVICE: &str = "fares";
const SEED: u64 = 7;
const TABLES: usize = 200;
const CALLS: usize = 200;

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
    RoutingTable::compile(1, bundle, &SealKeys::default()).expect("it is whole")
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

/// What a walk over all routes finds; the rule as it is written in the interface's page.
fn walk<'a>(routes: &'a [Route], host: &str, method: &str, path: &str) -> Option<&'a str> {
    let covers = |route: &&Route| {
        let Some(rest) = path.strip_prefix(&route.path_prefix) else {
            return false;
        };
        let ends = rest.is_empty() || route.path_prefix.ends_with('/');
        let host_matches = route.host == "*" || route.host == host;
        let method_matches = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
        (ends || rest.starts_with(['/', '?'])) && host_matches && method_matches
    };
    let found = routes.iter().filter(covers).min_by_key(|route| {
        (std::cmp::Reverse(route.path_prefix.len()), route.host == "*", &route.name)
    });
    found.map(|route| route.name.as_str())
}

#[test]
fn what_is_found_is_what_a_walk_over_all_routes_finds() {
    let mut random = fastrand::Rng::with_seed(SEED);
    let parts = ["/", "/a", "/a/", "/b", "b", "ab/", "é/", "?x"];
    let path = |random: &mut fastrand::Rng| {
        let count = random.usize(0..4);
        (0..count).map(|_| parts[random.usize(..parts.len())]).collect::<String>()
    };
    let hosts = ["*", "a.example", "b.example"];
    let mut hits = 0;
    for _ in 0..TABLES {
        let count = random.usize(1..20);
        let mut routes = Vec::new();
        for place in 0..count {
            let host = hosts[random.usize(..hosts.len())];
            let methods: &[&str] = if random.bool() { &[] } else { &["GET"] };
            let prefix = format!("/{}", path(&mut random));
            routes.push(route(&format!("r{place:02}"), host, &prefix, methods));
        }
        let bundle = bundle(&routes);
        let table = table(&bundle);
        for _ in 0..CALLS {
            let host = hosts[1 + random.usize(..2)];
            let method = if random.bool() { "GET" } else { "PUT" };
            let path = format!("/{}", path(&mut random));
            let found = table.find(host, method, &path).map(|held| held.route.name.as_str());
            assert_eq!(found, walk(&routes, host, method, &path), "{method} {host} {path}");
            hits += usize::from(found.is_some());
        }
    }
    assert!(hits > TABLES * CALLS / 4, "most tables cover some calls: {hits}");
}
