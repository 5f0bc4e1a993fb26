//! Tenants in the product's own documents, in lists of changes, and in a fleet of real processes.

mod fleet;

use bundle::{Bundle, Object, Tenant};
use chutecove::{changes, dialect};
use expect_test::expect;
use fleet::{agent, configuration, wait, Fleet, SERVICE};
use serde_json::{json, Value};
use std::process::Command;

fn document(tenants: &[Value]) -> Value {
    let mut document = configuration(5, "one");
    let objects = document["objects"].as_array_mut().expect("a list");
    objects.extend(tenants.iter().map(|tenant| json!({ "Tenant": tenant })));
    document
}

fn refusal(tenants: &[Value]) -> String {
    match dialect::read_document(document(tenants).to_string().as_bytes()) {
        Err(reason) => reason,
        Ok((_, bundle)) => {
            bundle.check().first().map_or("accepted".to_owned(), |problem| problem.to_string())
        }
    }
}

#[test]
fn documents_with_tenants_are_read_and_refused_without_showing_keys() {
    let rows: Vec<(&str, Vec<Value>)> = vec![
        ("a name alone", vec![json!({ "name": "a" })]),
        (
            "all",
            vec![
                json!({ "name": "a", "keys": ["secret"], "rate_milli": 1, "burst": 2, "rank": 3 }),
            ],
        ),
        (
            "a key of two",
            vec![
                json!({ "name": "a", "keys": ["secret"] }),
                json!({ "name": "b", "keys": ["secret"] }),
            ],
        ),
        ("a key alone", vec![json!({ "name": "a", "keys": "secret" })]),
        ("a number among keys", vec![json!({ "name": "a", "keys": ["secret", 1] })]),
        ("twice", vec![json!({ "name": "a", "keys": ["secret"] }), json!({ "name": "a" })]),
        ("an unknown field", vec![json!({ "name": "a", "apikeys": ["secret"] })]),
        ("a rate below 0", vec![json!({ "name": "a", "rate_milli": -1 })]),
        ("no name", vec![json!({ "keys": ["secret"] })]),
    ];
    let mut text = String::new();
    for (name, tenants) in rows {
        let refused = refusal(&tenants);
        assert!(!refused.contains("secret"), "{name}: {refused}");
        text.push_str(&format!("{name}: {refused}\n"));
    }
    expect![[r#"
        a name alone: accepted
        all: accepted
        a key of two: tenant 'b': keys: key 1 (dfa8733b) is held by tenant 'a' as well
        a key alone: keys must be a list of texts at line 1 column 421
        a number among keys: keys must be a list of texts at line 1 column 425
        twice: tenant 'a' is there twice
        an unknown field: unknown field `apikeys`, expected one of `name`, `keys`, `rate_milli`, `burst`, `rank`, `annotation` at line 1 column 415
        a rate below 0: invalid value: integer `-1`, expected u64 at line 1 column 432
        no name: missing field `name` at line 1 column 424
    "#]].assert_eq(&text);
}

fn tenant(name: &str, keys: &[&str], rate_milli: u64, rank: Option<u32>) -> Object {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    let (name, annotation) = (name.to_owned(), String::new());
    Object::Tenant(Tenant { name, keys, rate_milli, burst: 0, rank, annotation })
}

#[test]
fn changes_of_tenants_show_fingerprints_of_keys() {
    let old = Bundle::from_objects(vec![
        tenant("a", &["one", "two"], 570_000, Some(1)),
        tenant("b", &["three"], 0, None),
        tenant("gone", &["four"], 0, None),
        tenant("same", &["five"], 0, None),
    ]);
    let new = Bundle::from_objects(vec![
        tenant("a", &["two"], 100_000, None),
        tenant("b", &["three", "one"], 0, None),
        tenant("new", &["six"], 7, None),
        tenant("same", &["five"], 0, None),
    ]);
    let lines = changes::lines(&old, &new).join("\n");
    expect![[r#"
        - tenant 'gone'
        ~ tenant 'a'
            - key 2db53f09
            rate_milli 570000 -> 100000
            rank 1 -> none
        ~ tenant 'b'
            + key 2db53f09
        + tenant 'new'
            + key 10c958b0"#]]
    .assert_eq(&lines);
    assert_eq!(changes::lines(&old, &old), Vec::<String>::new());
}

#[test]
fn the_tool_checks_and_compares_documents() {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, tenants: &[Value]| {
        let path = folder.path().join(name);
        std::fs::write(&path, document(tenants).to_string()).expect("written");
        path.to_str().expect("a path").to_owned()
    };
    let old = write("old.json", &[json!({ "name": "a", "keys": ["hidden-1"] })]);
    let new = write("new.json", &[json!({ "name": "a", "keys": ["hidden-2"] })]);
    let bad = write("bad.json", &[json!({ "name": "a", "keys": ["hidden-1", "hidden-1"] })]);
    let tool = |arguments: &[&str]| {
        let output = Command::new(fleet::PROGRAM).arg("bundle").args(arguments).output();
        let output = output.expect("it runs");
        let (stdout, stderr) = (output.stdout, output.stderr);
        let text = String::from_utf8([stdout, stderr].concat()).expect("text");
        assert!(!text.contains("hidden"), "{text}");
        text.replace(&format!("{}/", folder.path().display()), "")
    };
    expect![[r#"
        valid: 1 services, 1 routes, 0 secrets, 1 tenants, 1 keys, 126 bytes
    "#]]
    .assert_eq(&tool(&["check", &old]));
    expect![[r#"
        ~ tenant 'a'
            - key 7dbf19e7
            + key a7eed68a
    "#]]
    .assert_eq(&tool(&["diff", &old, &new]));
    expect![[r#"
        bad.json: tenant 'a': keys: key 2 (7dbf19e7) is there twice
    "#]]
    .assert_eq(&tool(&["check", &bad]));
}

/// Puts a document in force at whichever coordinator takes it.
fn put(fleet: &Fleet, expected: u64, version: u64, tenants: &[Value]) -> bool {
    let mut document = document(tenants);
    document["version"] = json!(version);
    let body = document.to_string();
    (1..=3).any(|host| {
        let url = format!("http://{}:{}/v1/configuration", fleet.ip(host), fleet.ports.api);
        let request = agent().put(&url).header("If-Match", expected.to_string());
        request.send(&body).is_ok_and(|answer| answer.status() == 200)
    })
}

fn read_document(fleet: &Fleet, host: u8) -> Option<Value> {
    let url = format!("http://{}:{}/v1/configuration", fleet.ip(host), fleet.ports.api);
    let mut answer = agent().get(&url).call().ok().filter(|found| found.status() == 200)?;
    serde_json::from_str(&answer.body_mut().read_to_string().ok()?).ok()
}

fn call(fleet: &Fleet, id: &str, key: Option<&str>) -> Option<u16> {
    let url = format!("http://{}:{}/one/x", fleet.ip(11), fleet.ports.outbound);
    let request = agent()
        .get(&url)
        .header("Host", "fares.example")
        .header("X-Chutecove-Attempt-Id", id)
        .header("X-Chutecove-Tenant", "forged");
    let request = match key {
        Some(key) => request.header("X-Chutecove-Api-Key", key),
        None => request,
    };
    Some(request.call().ok()?.status().as_u16())
}

#[test]
fn keys_hold_in_a_fleet_through_changes_and_restarts() {
    let fleet = Fleet::new(9);
    let _coordinators: Vec<_> = (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
    let mut callers_sidecar = fleet.start_sidecar(11, "callers");
    let _upstreams_sidecar = fleet.start_sidecar(12, SERVICE);
    let upstream = fleet.start_upstream(12);
    let first = json!({ "name": "a", "keys": ["key-1", "key-2"], "rank": 1 });
    wait("the first order is taken", || put(&fleet, 0, 5, std::slice::from_ref(&first)));
    wait("sidecars are ready", || fleet.is_ready(11) && fleet.is_ready(12));
    wait("the upstream registers", || fleet.register(12, "i-1", 1, false));
    wait("a call is served", || call(&fleet, "one", Some("key-1")) == Some(200));
    wait("no key is denied", || call(&fleet, "two", None) == Some(401));
    wait("an unknown key is denied", || call(&fleet, "three", Some("nobody's")) == Some(401));
    let told = upstream.tenants.lock().expect("not poisoned").clone();
    assert!(told.iter().all(|told| told == "a without a key"), "{told:?}");

    // One key is taken away, the other moves.
    let second = json!({ "name": "b", "keys": ["key-2"] });
    wait("the next order is taken", || put(&fleet, 5, 6, std::slice::from_ref(&second)));
    wait("it is in force", || call(&fleet, "four", Some("key-1")) == Some(401));
    wait("the other key is known", || call(&fleet, "five", Some("key-2")) == Some(200));
    let told = upstream.tenants.lock().expect("not poisoned").last().cloned();
    assert_eq!(told.as_deref(), Some("b without a key"));

    // It stays so after a restart.
    drop(callers_sidecar);
    callers_sidecar = fleet.start_sidecar(11, "callers");
    wait("the sidecar is ready again", || fleet.is_ready(11));
    wait("a call is served", || call(&fleet, "six", Some("key-2")) == Some(200));
    wait("the old key is denied", || call(&fleet, "seven", Some("key-1")) == Some(401));
    drop(callers_sidecar);
    let mut read = None;
    wait("a coordinator is sure", || {
        read = (1..=3).find_map(|host| read_document(&fleet, host));
        read.is_some()
    });
    let read = read.expect("waited for");
    assert_eq!(read["objects"][2]["Tenant"]["keys"], json!(["key-2"]));
}
