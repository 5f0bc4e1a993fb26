//! API keys of callers: which calls are denied, what is sent to upstreams, and what happens to
//! waiting calls when a key is removed or moved to another tenant.

mod common;

use bundle::{best_update, Bundle, Object, ObjectId, ObjectKind, Tenant};
use common::*;
use expect_test::expect;
use http1::{Headers, Request};
use mesh::{HopOutcome, HOP_HEADER};
use sidecar::{
    combined_rank, AttemptEnd, CallAction, JobAction, JobMetrics, Jobs, LogSample, Source,
};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

const KEY: &str = "first-key-of-a";
const OTHER_KEY: &str = "second-key-of-a";
const KEY_OF_B: &str = "key-of-b";
const KEYLESS_PATH: &str = "/inner/1";

fn tenant(name: &str, keys: &[&str], rank: Option<u32>) -> Object {
    Object::Tenant(Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate_milli: 0,
        burst: 0,
        rank,
        annotation: String::new(),
    })
}

/// The routes of the common test bundle, with one made keyless, and the given tenants.
fn bundle_of(tenants: Vec<Object>) -> Bundle {
    let base = bundle();
    let objects = base.objects().values().map(|hashed| hashed.object.clone());
    let keyless = |object| match object {
        Object::Route(route) if route.name == "inner" => {
            Object::Route(bundle::Route { keyless: true, ..route })
        }
        other => other,
    };
    Bundle::from_objects(objects.map(keyless).chain(tenants).collect())
}

fn default_bundle() -> Bundle {
    bundle_of(vec![
        tenant("a", &[KEY, OTHER_KEY], Some(1)),
        tenant("b", &[KEY_OF_B], Some(2)),
        tenant("c", &[], None),
    ])
}

impl World {
    fn with_tenants(upstreams: u8) -> Self {
        let mut world = World::with_upstreams(upstreams);
        world.apply(2, &default_bundle());
        world
    }

    /// Applies a configuration generation and confirms it as the newest.
    fn apply(&mut self, generation: u64, bundle: &Bundle) {
        assert!(self.config.apply(generation, &best_update(None, bundle)), "{generation}");
        self.confirm(generation);
        self.calls.note_configuration(&self.config, self.now);
    }

    fn begin_with_key(&mut self, path: &str, key: &str) -> Vec<CallAction> {
        self.begin_with_headers(path, &[(NAMES.api_key, key)])
    }
}

fn request(actions: &[CallAction]) -> Option<&Request> {
    actions.iter().find_map(|action| match action {
        CallAction::Send { request, .. } => Some(&**request),
        _ => None,
    })
}

/// Summarizes what is sent to the upstream, or the status of the answer.
fn summary(actions: &[CallAction]) -> String {
    let Some(request) = request(actions) else {
        return status(actions).map_or("nothing".to_owned(), |status| status.to_string());
    };
    let tenants: Vec<&[u8]> = request.headers.all(NAMES.tenant).collect();
    let tenants: Vec<_> = tenants.into_iter().map(String::from_utf8_lossy).collect();
    let key = if request.headers.get(NAMES.api_key).is_some() { " with a key" } else { "" };
    let rank = hop(actions).map_or(0, |hop| hop.rank);
    format!("sent for {tenants:?} rank {}.{}{key}", rank >> 16, rank & 0xffff)
}

/// Name of the case, path, and headers of the call.
type Row = (&'static str, &'static str, Vec<(&'static str, &'static str)>);

#[test]
fn who_is_let_in_and_what_upstreams_are_told() {
    let key = NAMES.api_key;
    let twice = [(key, KEY), (key, KEY)];
    let rows: Vec<Row> = vec![
        ("no key", "/safe/1", vec![]),
        ("empty key", "/safe/1", vec![(key, "")]),
        ("unknown key", "/safe/1", vec![(key, "nobody's")]),
        ("key in different case", "/safe/1", vec![(key, "First-Key-Of-A")]),
        ("part of a key", "/safe/1", vec![(key, "first-key-of")]),
        ("two keys in one header", "/safe/1", vec![(key, "first-key-of-a,second-key-of-a")]),
        ("different keys of one tenant", "/safe/1", vec![(key, KEY), (key, OTHER_KEY)]),
        ("a valid key, then a wrong one", "/safe/1", vec![(key, KEY), (key, "x")]),
        ("name of a tenant as its key", "/safe/1", vec![(key, "a")]),
        ("no key, forged tenant", "/safe/1", vec![(NAMES.tenant, "a")]),
        ("valid key", "/safe/1", vec![(key, KEY)]),
        ("the same key twice", "/safe/1", twice.to_vec()),
        ("whitespace around a key", "/safe/1", vec![(key, " \tfirst-key-of-a ")]),
        ("header name in different case", "/unsafe/1", vec![("X-KEY", OTHER_KEY)]),
        ("a key of another tenant", "/unsafe/1", vec![(key, KEY_OF_B)]),
        ("forged tenant", "/safe/1", vec![("X-Tenant", "b"), (key, KEY), (NAMES.tenant, "b")]),
        ("keyless, no key", KEYLESS_PATH, vec![]),
        ("keyless, forged tenant", KEYLESS_PATH, vec![(NAMES.tenant, "a")]),
        ("keyless, valid key", KEYLESS_PATH, vec![(key, KEY_OF_B), (NAMES.tenant, "a")]),
        ("keyless, unknown key", KEYLESS_PATH, vec![(key, "nobody's")]),
        ("no route", "/nowhere/", vec![(key, KEY)]),
        ("no route, no key", "/nowhere/", vec![]),
    ];
    let mut text = String::new();
    for (name, path, headers) in rows {
        let actions = World::with_tenants(1).begin_with_headers(path, &headers);
        writeln!(text, "{name}: {}", summary(&actions)).expect("text grows");
    }
    expect![[r#"
        no key: 401
        empty key: 401
        unknown key: 401
        key in different case: 401
        part of a key: 401
        two keys in one header: 401
        different keys of one tenant: 401
        a valid key, then a wrong one: 401
        name of a tenant as its key: 401
        no key, forged tenant: 401
        valid key: sent for ["a"] rank 1.1
        the same key twice: sent for ["a"] rank 1.1
        whitespace around a key: sent for ["a"] rank 1.1
        header name in different case: sent for ["a"] rank 1.1
        a key of another tenant: sent for ["b"] rank 2.1
        forged tenant: sent for ["a"] rank 1.1
        keyless, no key: sent for [] rank 0.1
        keyless, forged tenant: sent for [] rank 0.1
        keyless, valid key: sent for ["b"] rank 2.1
        keyless, unknown key: 401
        no route: 404
        no route, no key: 404
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_denial_names_the_header_that_is_missing() {
    let actions = World::with_tenants(1).begin("GET", "/safe/1");
    let [CallAction::Answer { response, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(response.status, 401);
    assert_eq!(response.headers.text("www-authenticate"), Some(NAMES.api_key));
}

#[test]
fn calls_of_a_run_need_no_key_on_keyless_routes_and_carry_no_tenant() {
    let mut world = World::with_tenants(1);
    let rows = [(KEYLESS_PATH, "sent for [] rank 0.1"), ("/safe/1", "401")];
    for (slot, (path, expected)) in (100..).zip(rows) {
        let mut headers = Headers::default();
        headers.push("Host", HOST);
        headers.push(NAMES.attempt_id, "id.1");
        headers.push(NAMES.tenant, "a");
        let (method, target) = ("GET".to_owned(), path.to_owned());
        let request = Request { method, target, headers, body: bytes::Bytes::new() };
        let origin = sidecar::Origin { connection: world.connection(), slot };
        let (config, now) = (&world.config, world.now);
        let initiator = sidecar::Initiator::LocalRun;
        let actions = world.calls.begin_from(initiator, origin, request, config, now);
        assert_eq!(summary(&actions), expected, "{path}");
    }
}

#[test]
fn every_byte_and_every_length_of_a_key_is_borne() {
    let mut world = World::with_tenants(1);
    let mut begin = |key: Vec<u8>| {
        let mut headers = Headers::default();
        headers.push("Host", HOST);
        headers.push(NAMES.attempt_id, "id");
        headers.push(NAMES.api_key, key);
        let (method, target) = ("GET".to_owned(), "/safe/1".to_owned());
        let request = Request { method, target, headers, body: bytes::Bytes::new() };
        let origin = sidecar::Origin { connection: world.connection(), slot: 7 };
        status(&world.calls.begin(origin, request, &world.config, world.now))
    };
    for byte in 0..=255 {
        assert_eq!(begin(vec![byte]), Some(401), "{byte}");
        assert_eq!(begin([KEY.as_bytes(), &[byte, b'x']].concat()), Some(401), "{byte}");
    }
    assert_eq!(begin(vec![b'k'; 64 * 1024]), Some(401));
    assert_eq!(world.calls.in_flight(), 0, "no denied call is kept");
    assert_eq!(world.calls.counts.denied, 2 * 256 + 1);
}

#[test]
fn a_key_is_denied_only_while_the_configuration_is_known_to_be_the_newest() {
    let mut world = World::with_tenants(1);
    assert_eq!(status(&world.begin_with_key("/safe/1", "nobody's")), Some(401));
    // A newer generation exists, which may contain the key.
    world.confirm(3);
    let actions = world.begin_with_key("/safe/1", "nobody's");
    assert_eq!(status(&actions), Some(503));
    assert!(retry_after_ms(&actions).is_some());
    assert!(sent(&world.begin_with_key("/safe/1", KEY)).is_some(), "a known key is still accepted");
    world.apply(3, &bundle_of(vec![tenant("a", &["nobody's"], None)]));
    assert!(sent(&world.begin_with_key("/safe/1", "nobody's")).is_some());
    // The generation has not been confirmed as the newest for a minute.
    world.now += 60_000;
    assert_eq!(status(&world.begin_with_key("/safe/1", KEY)), Some(503));
    assert_eq!(world.calls.counts.denied, 1);
}

#[test]
fn without_tenants_no_key_is_asked_for_and_none_is_passed_on() {
    let mut world = World::with_upstreams(1);
    for headers in [vec![], vec![(NAMES.api_key, KEY), (NAMES.tenant, "a")]] {
        let actions = world.begin_with_headers("/safe/1", &headers);
        assert_eq!(summary(&actions), "sent for [] rank 0.1");
    }
}

#[test]
fn a_tenant_goes_before_a_route() {
    let rows = [
        (None, 0),
        (Some(0), 3),
        (None, 70_000),
        (Some(1), 0),
        (Some(1), 1),
        (Some(65_535), 0),
        (Some(u32::MAX), u32::MAX),
    ];
    let ranks = rows.map(|(tenant, route)| combined_rank(tenant, route));
    assert!(ranks.is_sorted(), "{ranks:?}");
    assert_eq!(combined_rank(None, 7), 7, "without a tenant, the rank is that of the route");
    assert_eq!(combined_rank(Some(0), 7), combined_rank(None, 7));
}

/// What follows when the first attempt of a call ends after a new configuration was applied.
fn after_change(path: &str, key: &str, changed: &Bundle, end: AttemptEnd) -> String {
    let mut world = World::with_tenants(3);
    let (attempt, _) = sent(&world.begin_with_key(path, key)).expect("placed");
    world.apply(3, changed);
    summary(&world.calls.ended(attempt, end, world.now))
}

#[test]
fn a_key_taken_away_or_moved_holds_between_tries() {
    let removed =
        bundle_of(vec![tenant("a", &[OTHER_KEY], Some(1)), tenant("b", &[KEY_OF_B], None)]);
    let moved = bundle_of(vec![tenant("a", &[], Some(1)), tenant("b", &[KEY], Some(9))]);
    let same_key = bundle_of(vec![tenant("a", &[KEY], Some(5))]);
    type End = fn() -> AttemptEnd;
    let ends: [(&str, End); 6] = [
        ("not sent", || AttemptEnd::NotSent),
        ("refused", || replied(HopOutcome::Refused, 503)),
        ("rejected", || replied(HopOutcome::Rejected, 503)),
        ("lost", || AttemptEnd::Lost),
        ("failed", || replied(HopOutcome::Answered, 500)),
        ("answered", || replied(HopOutcome::Answered, 200)),
    ];
    let mut text = String::new();
    for (change, changed) in [("removed", &removed), ("moved", &moved), ("same key", &same_key)] {
        for (end, ended) in ends {
            for path in ["/safe/1", "/unsafe/1"] {
                let summary = after_change(path, KEY, changed, ended());
                writeln!(text, "{change}, {end}, {path}: {summary}").expect("text grows");
            }
        }
    }
    expect![[r#"
        removed, not sent, /safe/1: 401
        removed, not sent, /unsafe/1: 401
        removed, refused, /safe/1: 401
        removed, refused, /unsafe/1: 401
        removed, rejected, /safe/1: 401
        removed, rejected, /unsafe/1: 401
        removed, lost, /safe/1: 502
        removed, lost, /unsafe/1: 502
        removed, failed, /safe/1: 500
        removed, failed, /unsafe/1: 500
        removed, answered, /safe/1: 200
        removed, answered, /unsafe/1: 200
        moved, not sent, /safe/1: sent for ["b"] rank 9.1
        moved, not sent, /unsafe/1: sent for ["b"] rank 9.1
        moved, refused, /safe/1: sent for ["b"] rank 9.1
        moved, refused, /unsafe/1: sent for ["b"] rank 9.1
        moved, rejected, /safe/1: sent for ["b"] rank 9.1
        moved, rejected, /unsafe/1: sent for ["b"] rank 9.1
        moved, lost, /safe/1: 502
        moved, lost, /unsafe/1: 502
        moved, failed, /safe/1: 500
        moved, failed, /unsafe/1: 500
        moved, answered, /safe/1: 200
        moved, answered, /unsafe/1: 200
        same key, not sent, /safe/1: sent for ["a"] rank 5.1
        same key, not sent, /unsafe/1: sent for ["a"] rank 5.1
        same key, refused, /safe/1: sent for ["a"] rank 5.1
        same key, refused, /unsafe/1: sent for ["a"] rank 5.1
        same key, rejected, /safe/1: sent for ["a"] rank 5.1
        same key, rejected, /unsafe/1: sent for ["a"] rank 5.1
        same key, lost, /safe/1: sent for ["a"] rank 5.1
        same key, lost, /unsafe/1: 502
        same key, failed, /safe/1: sent for ["a"] rank 5.1
        same key, failed, /unsafe/1: 500
        same key, answered, /safe/1: 200
        same key, answered, /unsafe/1: 200
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_key_that_comes_back_or_moves_back_is_as_if_nothing_was() {
    let removed = bundle_of(vec![tenant("a", &[], None)]);
    let mut world = World::with_tenants(3);
    let (attempt, _) = sent(&world.begin_with_key("/unsafe/1", KEY)).expect("placed");
    world.apply(3, &removed);
    world.apply(4, &default_bundle());
    let actions = world.calls.ended(attempt, AttemptEnd::NotSent, world.now);
    assert_eq!(summary(&actions), r#"sent for ["a"] rank 1.1"#);
}

#[test]
fn a_parked_call_is_not_placed_after_its_key_is_taken_away() {
    let removed = bundle_of(vec![tenant("b", &[KEY_OF_B], None)]);
    let moved = bundle_of(vec![tenant("b", &[KEY], None)]);
    let rows = [(removed, "401"), (moved, r#"sent for ["b"] rank 0.1"#)];
    for (changed, expected) in rows {
        let mut world = World::with_tenants(0);
        assert!(
            world.begin_with_key("/safe/1", KEY).is_empty(),
            "parked, because there is no upstream"
        );
        world.apply(3, &changed);
        world.add_upstream(1);
        assert_eq!(summary(&world.calls.tick(world.now + 20)), expected);
    }
}

#[test]
fn a_key_that_may_be_back_by_now_is_not_denied() {
    let mut world = World::with_tenants(0);
    assert!(world.begin_with_key("/safe/1", KEY).is_empty(), "parked");
    world.confirm(4);
    let removed = bundle_of(vec![tenant("a", &[], None)]);
    assert!(world.config.apply(3, &best_update(None, &removed)));
    world.calls.note_configuration(&world.config, world.now);
    let actions = world.calls.tick(world.now + 20);
    assert_eq!(status(&actions), Some(503));
    assert!(retry_after_ms(&actions).is_some());
}

#[test]
fn the_upstream_gets_the_name_and_no_key_whatever_a_peer_sent() {
    let metrics = JobMetrics::new(&telemetry::Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, 2_000, None, LogSample::new(1), metrics);
    let mut world = World::with_tenants(1);
    let actions = world.begin_with_key("/safe/1", KEY);
    let hop = hop(&actions).expect("placed");
    let hop = mesh::HopRequest { instance: None, ..hop };
    let mut request = request(&actions).expect("placed").clone();
    request.headers.push(NAMES.api_key, KEY);
    request.headers.push(HOP_HEADER, hop.encode());
    let record = mesh::InstanceRecord {
        id: "i-1".to_owned(),
        state: mesh::InstanceState::Ready,
        slots: 1,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    };
    jobs.gate.on_report(&record, 1, world.now);
    jobs.refresh_limit(0);
    let source = Source::Peer { connection: world.connection(), slot: 1 };
    let started = jobs.begin(source, Rc::new(request), &hop, world.now);
    let [JobAction::Run { request, .. }] = &started[..] else {
        panic!("{started:?}");
    };
    assert_eq!(request.headers.text(NAMES.tenant), Some("a"));
    assert_eq!(request.headers.get(NAMES.api_key), None);
}

#[test]
fn nothing_shows_a_key() {
    let world = World::with_tenants(1);
    let default = default_bundle();
    let id = ObjectId { kind: ObjectKind::Tenant, name: "a".to_owned() };
    let object = &default.objects()[&id].object;
    let texts =
        [format!("{object:?}"), format!("{:?}", world.config.tenants()), format!("{default:?}")];
    for text in texts {
        assert!(!text.contains(KEY) && !text.contains(OTHER_KEY), "{text}");
    }
}

#[test]
fn denied_calls_are_counted_by_route_only() {
    let mut world = World::with_tenants(1);
    for number in 0..1_000 {
        world.begin_with_key("/safe/1", &format!("random-{number}"));
    }
    assert_eq!(world.calls.in_flight(), 0);
    let text = world.registry.encode();
    let lines: BTreeMap<&str, &str> = text
        .lines()
        .filter_map(|line| line.rsplit_once(' '))
        .filter(|(name, _)| name.contains("outcome"))
        .collect();
    expect![[r#"
        {
            "chutecove_sidecar_calls_ended_total{route=\"safe\",outcome=\"denied\"}": "1000",
        }
    "#]]
    .assert_debug_eq(&lines);
}

#[test]
fn ten_thousand_tenants_are_found_by_their_keys() {
    let name = |number: usize| format!("tenant-{number}");
    let key = |number: usize, position: usize| format!("{number:08}-{position}-of-its-keys");
    let tenants = (0..10_000).map(|number| {
        let (first, second) = (key(number, 0), key(number, 1));
        tenant(&name(number), &[&first, &second], None)
    });
    let large = bundle_of(tenants.collect());
    assert_eq!(large.check(), Vec::new());
    let mut world = World::with_upstreams(1);
    world.apply(2, &large);
    for number in (0..10_000).step_by(97) {
        for position in 0..2 {
            let actions = world.begin_with_key("/safe/1", &key(number, position));
            let request = request(&actions).expect("placed");
            assert_eq!(request.headers.text(NAMES.tenant), Some(&*name(number)));
        }
        assert!(world.config.tenants().get(&name(number)).is_some());
    }
    assert_eq!(status(&world.begin_with_key("/safe/1", &key(10_000, 0))), Some(401));
    assert!(world.config.tenants().get("tenant").is_none());
}

#[test]
fn a_change_keeps_what_it_does_not_concern() {
    let mut world = World::with_tenants(1);
    let steps = [
        ("a tenant removed", vec![("a", KEY), ("b", KEY_OF_B)]),
        ("keys swapped", vec![("a", KEY_OF_B), ("b", KEY)]),
        ("another removed", vec![("b", KEY)]),
        ("one added", vec![("b", KEY), ("d", KEY_OF_B)]),
        ("restored", vec![("a", KEY), ("b", KEY_OF_B)]),
    ];
    let mut current = default_bundle();
    for ((step, wanted), generation) in steps.into_iter().zip(3..) {
        let next = bundle_of(wanted.iter().map(|(name, key)| tenant(name, &[key], None)).collect());
        assert!(world.config.apply(generation, &best_update(Some(&current), &next)), "{step}");
        current = next;
        world.confirm(generation);
        for (name, key) in &wanted {
            let actions = world.begin_with_key("/safe/1", key);
            assert_eq!(summary(&actions), format!("sent for {:?} rank 0.1", [name]), "{step}");
        }
        assert_eq!(status(&world.begin_with_key("/safe/1", OTHER_KEY)), Some(401), "{step}");
        assert_eq!(world.config.tenants().iter().count(), wanted.len(), "{step}");
    }
}

/// The tenants of calls in the order in which they are given to an upstream with two slots.
fn order_at_the_upstream(arrivals: &[&str]) -> Vec<String> {
    let metrics = JobMetrics::new(&telemetry::Registry::default());
    let mut jobs = Jobs::new(NAMES, SERVICE, 2_000, None, LogSample::new(1), metrics);
    let record = mesh::InstanceRecord {
        id: "i-1".to_owned(),
        state: mesh::InstanceState::Ready,
        slots: 2,
        cold_remaining_ms: 0,
        born_ms: 0,
        version: String::new(),
    };
    jobs.gate.on_report(&record, 1, 0);
    jobs.refresh_limit(0);
    let mut world = World::with_tenants(1);
    let hop = hop(&world.begin_with_key("/safe/1", KEY)).expect("placed");
    let hop = mesh::HopRequest { patience_ms: 100_000, deadline_ms: 100_000, ..hop };
    let mut actions = Vec::new();
    for (slot, tenant) in (0..).zip(arrivals) {
        let mut headers = Headers::default();
        headers.push(NAMES.attempt_id, slot.to_string());
        if !tenant.is_empty() {
            headers.push(NAMES.tenant, *tenant);
        }
        let (method, target) = ("GET".to_owned(), "/".to_owned());
        let request = Rc::new(Request { method, target, headers, body: bytes::Bytes::new() });
        let source = Source::Peer { connection: world.connection(), slot };
        actions.extend(jobs.begin(source, request, &hop, 0));
    }
    let mut order = Vec::new();
    while let Some(position) =
        actions.iter().position(|action| matches!(action, JobAction::Run { .. }))
    {
        let JobAction::Run { job, request } = actions.remove(position) else {
            unreachable!("found at this position");
        };
        order.push(request.headers.text(NAMES.tenant).unwrap_or("-").to_owned());
        let response = http1::Response::empty(200).with_header(NAMES.seal, "s");
        let answer = http1::Answer { response, reusable: true };
        actions.extend(jobs.ended(job, sidecar::UpstreamEnd::Answered(answer), 1));
    }
    order
}

#[test]
fn tenants_of_one_rank_take_turns_at_an_upstream() {
    let hot_first = ["hot", "hot", "hot", "hot", "hot", "small", "small", "", "other"];
    let expected = ["hot", "hot", "-", "small", "other", "hot", "small", "hot", "hot"];
    assert_eq!(order_at_the_upstream(&hot_first), expected);
    let alone = ["hot"; 5];
    assert_eq!(order_at_the_upstream(&alone), alone);
    assert_eq!(order_at_the_upstream(&[""; 4]), ["-"; 4]);
}
