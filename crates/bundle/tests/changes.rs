//! Validating a change to a valid bundle gives the same result as validating the complete new
//! bundle.

use bundle::{
    best_update, Bundle, BundleUpdate, Delta, Object, Priority, Route, SealKey, Service, Target,
    Tenant, UpdateError,
};
use expect_test::expect;

const SEED: u64 = 11;
const CHANGES: usize = 2_000;

fn service(name: &str) -> Object {
    Object::Service(Service {
        name: name.to_owned(),
        upstream_slots: 1,
        upstream_connections: 1,
        cold_start: None,
        annotation: String::new(),
    })
}

fn route(name: &str, service: &str, secret: Option<&str>) -> Object {
    Object::Route(Route {
        name: name.to_owned(),
        host: "*".to_owned(),
        path_prefix: format!("/{name}/"),
        methods: Vec::new(),
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
        secret: secret.map(str::to_owned),
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
    })
}

fn tenant(name: &str, key: &str) -> Object {
    Object::Tenant(Tenant {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        rate_milli: 1_000,
        burst: 1,
        rank: None,
        annotation: String::new(),
    })
}

fn secret(name: &str) -> Object {
    Object::Secret(SealKey::new(1, [3; 32]).seal(name, "value"))
}

fn objects() -> Vec<Object> {
    vec![
        service("fares"),
        service("spare"),
        secret("token"),
        route("all", "fares", Some("token")),
        tenant("museum", "key-1"),
    ]
}

/// Applies the delta between two bundles to the first one.
fn apply_delta(base: &Bundle, target: &Bundle) -> Result<Bundle, UpdateError> {
    BundleUpdate::Delta(Delta::between(base, target)).apply(base)
}

fn change_outcome(change: impl FnOnce(&mut Vec<Object>)) -> String {
    let base = Bundle::from_objects(objects());
    let mut changed = objects();
    change(&mut changed);
    match apply_delta(&base, &Bundle::from_objects(changed)) {
        Ok(bundle) => format!("accepted with {} objects", bundle.objects().len()),
        Err(error) => error.to_string(),
    }
}

#[test]
fn what_a_change_breaks_in_other_objects_is_found() {
    let rows = [
        change_outcome(|objects| objects.push(route("new", "spare", None))),
        change_outcome(|objects| objects.push(route("new", "missing", None))),
        change_outcome(|objects| drop(objects.remove(0))),
        change_outcome(|objects| drop(objects.remove(1))),
        change_outcome(|objects| drop(objects.remove(2))),
        change_outcome(|objects| objects.push(tenant("kiosk", "key-1"))),
        change_outcome(|objects| objects.push(tenant("kiosk", "key-2"))),
        change_outcome(|objects| objects.push(tenant("no name", "key-2"))),
        change_outcome(|objects| objects.extend((0..20_000).map(|n| service(&format!("s{n}"))))),
    ];
    expect![[r#"
        accepted with 6 objects
        the bundle is not valid: route 'new': service: no service 'missing' in this bundle
        the bundle is not valid: route 'all': service: no service 'fares' in this bundle
        accepted with 4 objects
        the bundle is not valid: route 'all': secret: no secret 'token' in this bundle
        the bundle is not valid: tenant 'museum': keys: key 1 (863512fe) is held by tenant 'kiosk' as well
        accepted with 6 objects
        the bundle is not valid: tenant 'no name': name: 1 to 128 characters out of a-z A-Z 0-9 - _ . are allowed
        the bundle is not valid: objects: 20005 objects, at most 20000 are allowed"#]]
    .assert_eq(&rows.join("\n"));
}

fn random_object(random: &mut fastrand::Rng) -> Object {
    let mut name = |choices: &[&str]| choices[random.usize(..choices.len())].to_owned();
    let (object_name, service_name) =
        (name(&["a", "b", "c", "!"]), name(&["fares", "spare", "gone"]));
    let key = name(&["key-1", "key-2", ""]);
    match random.u8(0..5) {
        0 => service(&service_name),
        1 => route(&object_name, &service_name, None),
        2 => route(&object_name, &service_name, Some("token")),
        3 => secret("token"),
        _ => tenant(&object_name, &key),
    }
}

#[test]
fn a_change_is_accepted_just_when_its_whole_result_is_right() {
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut current = Bundle::from_objects(objects());
    let (mut accepted, mut refused) = (0, 0);
    for _ in 0..CHANGES {
        let mut changed: Vec<Object> =
            current.objects().values().map(|hashed| hashed.object.clone()).collect();
        if random.bool() && !changed.is_empty() {
            changed.swap_remove(random.usize(..changed.len()));
        }
        changed.extend((0..random.usize(0..3)).map(|_| random_object(&mut random)));
        let target = Bundle::from_objects(changed);
        let is_valid = target.check().is_empty();
        match apply_delta(&current, &target) {
            Ok(bundle) => {
                assert!(is_valid, "{:?}", target.check());
                assert_eq!(bundle, target);
                assert_eq!(bundle.encoded_bytes(), bundle.encode().len());
                current = bundle;
                accepted += 1;
            }
            Err(error) => {
                assert!(!is_valid, "{error}");
                refused += 1;
            }
        }
    }
    assert!(accepted > CHANGES / 10 && refused > CHANGES / 10, "{accepted} and {refused}");
}

#[test]
fn a_whole_update_shares_the_memory_of_what_did_not_change() {
    let base = Bundle::from_objects(objects());
    let mut changed = objects();
    changed.push(service("new"));
    let snapshot = best_update(None, &Bundle::from_objects(changed));
    let bundle = snapshot.apply(&base).expect("valid snapshot");
    let shared = |(id, base_object): (&bundle::ObjectId, &std::sync::Arc<bundle::HashedObject>)| {
        bundle.objects().get(id).is_some_and(|other| std::sync::Arc::ptr_eq(base_object, other))
    };
    assert!(base.objects().iter().all(shared));
}
