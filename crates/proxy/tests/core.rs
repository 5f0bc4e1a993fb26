//! Tests the control side of the proxy with constructed relay replies.

use bundle::{Bundle, BundleUpdate, Object, Priority, Route, Service, Target};
use endpoints::{Endpoint, EndpointKey, EndpointState, EndpointUpdate};
use proxy::{ProxyCore, ReplyEffect};
use rollout::ProxyName;
use wire::{ConfigUpdate, ProxyPoll, ProxyReply, ProxyUpdate};

fn proxy_name() -> ProxyName {
    ProxyName { id: "proxy-1".to_owned(), zone: "zone-a".to_owned() }
}

fn bundle_with(service: &str) -> Bundle {
    let service_object = Service {
        name: service.to_owned(),
        upstream_slots: 20,
        upstream_connections: 130,
        cold_start: None,
        annotation: String::new(),
    };
    let route = Route {
        name: format!("{service}-read"),
        host: "*".to_owned(),
        path_prefix: format!("/{service}"),
        methods: Vec::new(),
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
        secret: None,
        timeout_ms: 1_000,
        repeatable: true,
        priority: Priority::Normal,
        retry_budget_percent: 20,
        max_staleness_s: 0,
        attempts: 2,
        target_latency_ms: 0,
        rank: 0,
        keyless: false,
        annotation: String::new(),
    };
    Bundle::from_objects(vec![Object::Service(service_object), Object::Route(route)])
}

fn config(generation: u64, bundle: &Bundle, confirmed: bool) -> ConfigUpdate {
    ConfigUpdate {
        generation,
        approval: None,
        confirmed,
        update: bundle::best_update(None, bundle),
    }
}

fn reply(config: Option<ConfigUpdate>, endpoints: Option<EndpointUpdate>) -> ProxyReply {
    ProxyReply::Update(ProxyUpdate { config, endpoints, source_age_ms: 0 })
}

fn endpoint_update(sequence: u64, full: bool, changed: Vec<Endpoint>) -> EndpointUpdate {
    let (removed, subscribers) = (Vec::new(), Vec::new());
    EndpointUpdate { epoch: 7, sequence, full, changed, removed, subscribers }
}

fn apply(core: &mut ProxyCore, reply: ProxyReply) -> Option<u64> {
    match core.on_reply(reply, 100) {
        ReplyEffect::Prepare { prepared, .. } => {
            let generation = prepared.generation;
            core.commit(prepared);
            Some(generation)
        }
        _ => None,
    }
}

/// Endpoints that arrive together with a configuration are for the services of the previous one, but
/// advance the endpoint position. If `commit` does not reset the position, the endpoints of the new
/// services are never requested, as happened in the demo.
#[test]
fn new_services_ask_for_all_their_endpoints() {
    let mut core = ProxyCore::new(proxy_name(), None);
    core.poll();
    let bundle = bundle_with("fares");
    let relay_reply =
        reply(Some(config(1, &bundle, true)), Some(endpoint_update(5, true, Vec::new())));
    assert_eq!(apply(&mut core, relay_reply), Some(1));
    let ProxyPoll::State(state) = core.poll() else { panic!("the services changed") };
    assert_eq!(state.services, ["fares"]);
    assert_eq!(state.endpoint_sequence, 0, "requests all endpoints");
}

#[test]
fn a_running_proxy_refuses_what_is_not_newer() {
    let mut core = ProxyCore::new(proxy_name(), None);
    let bundle = bundle_with("fares");
    assert_eq!(apply(&mut core, reply(Some(config(5, &bundle, true)), None)), Some(5));
    for generation in [1, 4, 5] {
        let older = config(generation, &bundle_with("balance"), true);
        assert_eq!(apply(&mut core, reply(Some(older), None)), None);
        assert_eq!(core.generation(), Some(5));
        assert_eq!(core.bundle().digest(), bundle.digest());
    }
}

#[test]
fn a_starting_proxy_without_state_applies_only_what_a_quorum_confirmed() {
    let mut core = ProxyCore::new(proxy_name(), None);
    let bundle = bundle_with("fares");
    assert_eq!(apply(&mut core, reply(Some(config(3, &bundle, false)), None)), None);
    assert_eq!(core.generation(), None);
    assert_eq!(apply(&mut core, reply(Some(config(3, &bundle, true)), None)), Some(3));
}

#[test]
fn a_damaged_or_dangling_update_changes_nothing() {
    let mut core = ProxyCore::new(proxy_name(), None);
    let good = bundle_with("fares");
    apply(&mut core, reply(Some(config(1, &good, true)), None));
    let dangling: Vec<Object> = bundle_with("balance")
        .objects()
        .values()
        .map(|hashed| hashed.object.clone())
        .filter(|object| matches!(object, Object::Route(_)))
        .collect();
    let dangling = Bundle::from_objects(dangling);
    let snapshot = |bundle: &Bundle| BundleUpdate::Snapshot {
        target: bundle.digest(),
        compressed: BundleUpdate::compress(bundle),
    };
    let other = bundle_with("payments");
    let cases = [
        ("dangling reference", snapshot(&dangling)),
        (
            "digest of another bundle",
            BundleUpdate::Snapshot {
                target: other.digest(),
                compressed: BundleUpdate::compress(&good),
            },
        ),
        (
            "not a zstd frame",
            BundleUpdate::Snapshot { target: other.digest(), compressed: vec![1, 2, 3] },
        ),
        ("delta from another base", bundle::best_update(Some(&Bundle::default()), &other)),
        ("unchanged, but with another digest", BundleUpdate::Unchanged { target: other.digest() }),
    ];
    for (case, update) in cases {
        let config = ConfigUpdate { generation: 2, approval: None, confirmed: true, update };
        assert_eq!(apply(&mut core, reply(Some(config), None)), None, "{case}");
        assert_eq!(core.generation(), Some(1), "{case}");
        assert_eq!(core.bundle().digest(), good.digest(), "{case}");
        assert!(
            matches!(core.poll(), ProxyPoll::State(_)),
            "{case}: the next poll contains the full state"
        );
    }
}

#[test]
fn a_leaving_back_end_stays_leaving_whatever_a_lagging_relay_lists() {
    let mut core = ProxyCore::new(proxy_name(), None);
    let key = EndpointKey::new("fares", ([127, 0, 0, 1], 9000).into());
    let live = Endpoint {
        key: key.clone(),
        incarnation: 1,
        state: EndpointState::Live,
        zone: "zone-a".to_owned(),
        region: "region-1".to_owned(),
    };
    let list = |sequence, endpoint: &Endpoint| {
        reply(None, Some(endpoint_update(sequence, true, vec![endpoint.clone()])))
    };
    core.on_reply(list(1, &live), 0);
    assert_eq!(core.endpoints().live("fares").count(), 1);
    assert!(core.endpoints_mut().observe_leaving(&key).is_some());
    core.on_reply(list(2, &live), 0);
    assert_eq!(core.endpoints().live("fares").count(), 0, "the same incarnation stays leaving");
    core.on_reply(list(3, &Endpoint { incarnation: 2, ..live }), 0);
    assert_eq!(core.endpoints().live("fares").count(), 1, "a new incarnation is live again");
}

#[test]
fn a_bundle_with_tenants_is_not_put_in_force() {
    let plain = bundle_with("fares");
    assert_eq!(proxy::unsupported_reason(&plain), None);
    let (name, annotation) = ("a".to_owned(), String::new());
    let (keys, rate_milli, burst, rank) = (vec!["key".to_owned()], 0, 0, None);
    let tenant = bundle::Tenant { name, keys, rate_milli, burst, rank, annotation };
    let objects = plain.objects().values().map(|held| held.object.clone());
    let with_tenant = Bundle::from_objects(objects.chain([Object::Tenant(tenant)]).collect());
    assert_eq!(with_tenant.check(), Vec::new(), "the bundle itself is valid");
    assert!(proxy::unsupported_reason(&with_tenant).is_some());
}
