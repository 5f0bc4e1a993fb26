//! Tenants in native configuration documents, in diffs, and in a fleet of real processes.

mod fleet;

use bundle::{Bundle, Object, Tenant};
use chutecove::{changes, dialect};
use expect_test::expect;
use fleet::{agent, configuration, wait_until, Fleet, SERVICE};
use serde_json::{json, Value};
use std::process::Command;

fn document(tenants: &[Value]) -> Value {
    let mut document = configuration(5, "one");
    let objects = document["objects"].as_array_mut().expect("a list");
    objects.extend(tenants.iter().map(|tenant| json!({ "Tenant": tenant })));
    document
}

fn validation_result(tenants: &[Value]) -> String {
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
        let refused = validation_result(&tenants);
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
    let run_bundle_command = |arguments: &[&str]| {
        let output = Command::new(fleet::PROGRAM).arg("bundle").args(arguments).output();
        let output = output.expect("the command runs");
        let (stdout, stderr) = (output.stdout, output.stderr);
        let text = String::from_utf8([stdout, stderr].concat()).expect("text");
        assert!(!text.contains("hidden"), "{text}");
        text.replace(&format!("{}/", folder.path().display()), "")
    };
    expect![[r#"
        valid: 1 services, 1 routes, 0 secrets, 1 tenants, 1 keys, 126 bytes
    "#]]
    .assert_eq(&run_bundle_command(&["check", &old]));
    expect![[r#"
        ~ tenant 'a'
            - key 7dbf19e7
            + key a7eed68a
    "#]]
    .assert_eq(&run_bundle_command(&["diff", &old, &new]));
    expect![[r#"
        bad.json: tenant 'a': keys: key 2 (7dbf19e7) is there twice
    "#]]
    .assert_eq(&run_bundle_command(&["check", &bad]));
}

/// Puts a document in force at whichever coordinator accepts it.
fn put_document(fleet: &Fleet, expected: u64, version: u64, tenants: &[Value]) -> bool {
    let mut document = document(tenants);
    document["version"] = json!(version);
    let body = document.to_string();
    (1..=3).any(|host| {
        let url = format!("http://{}:{}/v1/configuration", fleet.ip(host), fleet.ports.api);
        let request = agent().put(&url).header("If-Match", expected.to_string());
        request.send(&body).is_ok_and(|answer| answer.status() == 200)
    })
}

fn read_configuration(fleet: &Fleet, host: u8) -> Option<Value> {
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
    wait_until("the first configuration is accepted", || {
        put_document(&fleet, 0, 5, std::slice::from_ref(&first))
    });
    wait_until("sidecars are ready", || fleet.is_ready(11) && fleet.is_ready(12));
    wait_until("the upstream registers", || fleet.register(12, "i-1", 1, false));
    wait_until("a call is served", || call(&fleet, "one", Some("key-1")) == Some(200));
    wait_until("a call without a key is denied", || call(&fleet, "two", None) == Some(401));
    wait_until("an unknown key is denied", || call(&fleet, "three", Some("nobody's")) == Some(401));
    let seen_tenants = upstream.tenants.lock().expect("not poisoned").clone();
    assert!(seen_tenants.iter().all(|tenant| tenant == "a without a key"), "{seen_tenants:?}");

    // One key is removed and the other moves to another tenant.
    let second = json!({ "name": "b", "keys": ["key-2"] });
    wait_until("the next configuration is accepted", || {
        put_document(&fleet, 5, 6, std::slice::from_ref(&second))
    });
    wait_until("the removed key is denied", || call(&fleet, "four", Some("key-1")) == Some(401));
    wait_until("the moved key is accepted", || call(&fleet, "five", Some("key-2")) == Some(200));
    let seen_tenants = upstream.tenants.lock().expect("not poisoned").last().cloned();
    assert_eq!(seen_tenants.as_deref(), Some("b without a key"));

    // The changes persist across a restart of the sidecar.
    drop(callers_sidecar);
    callers_sidecar = fleet.start_sidecar(11, "callers");
    wait_until("the sidecar is ready again", || fleet.is_ready(11));
    wait_until("a call is served", || call(&fleet, "six", Some("key-2")) == Some(200));
    wait_until("the old key is denied", || call(&fleet, "seven", Some("key-1")) == Some(401));
    drop(callers_sidecar);
    let mut read = None;
    wait_until("a coordinator returns the configuration", || {
        read = (1..=3).find_map(|host| read_configuration(&fleet, host));
        read.is_some()
    });
    let read = read.expect("a document was read");
    assert_eq!(read["objects"][2]["Tenant"]["keys"], json!(["key-2"]));
}
