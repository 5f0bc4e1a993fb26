//! Which configuration is in force: a prepared one is not yet, and an older one never replaces a
//! newer one.

mod common;

use bundle::{best_update, Bundle, BundleUpdate, Object};
use common::bundle;
use sidecar::Config;

fn update(from: &Bundle, to: &Bundle) -> BundleUpdate {
    best_update(Some(from), to)
}

/// The configuration of the tests without one of its routes.
fn bundle_without_one_route() -> Bundle {
    let kept = |object: &Object| !matches!(object, Object::Route(route) if route.name == "inner");
    let whole = bundle();
    let objects = whole.objects().values().map(|held| held.object.clone());
    Bundle::from_objects(objects.filter(kept).collect())
}

#[test]
fn what_a_coordinator_without_a_leader_told_waits_for_its_announcement() {
    let mut config = Config::default();
    assert!(config.prepare(5, &best_update(None, &bundle())));
    assert_eq!(config.generation(), 0);
    assert!(config.routing().is_none(), "no configuration is in force");
    assert!(!config.put_in_force(0), "no generation was announced");
    assert!(!config.put_in_force(4), "an older one was announced");
    assert!(!config.put_in_force(6), "a newer one was announced");
    assert!(config.put_in_force(5));
    assert_eq!(config.generation(), 5);
    assert!(!config.put_in_force(5), "it is already in force");
}

#[test]
fn a_newer_generation_starts_from_what_is_prepared() {
    let mut config = Config::default();
    assert!(config.prepare(5, &best_update(None, &bundle_without_one_route())));
    assert_eq!(
        config.digest(),
        bundle_without_one_route().digest(),
        "the coordinator sends the difference to it"
    );
    assert!(config.apply(6, &update(&bundle_without_one_route(), &bundle())));
    assert_eq!(config.generation(), 6);
    assert_eq!(config.digest(), bundle().digest());
    assert!(!config.put_in_force(5), "the prepared configuration was replaced");
}

#[test]
fn nothing_goes_back() {
    let mut config = Config::default();
    assert!(config.apply(6, &best_update(None, &bundle())));
    for generation in [0, 5, 6] {
        assert!(!config.prepare(generation, &best_update(None, &bundle_without_one_route())));
        assert!(!config.apply(generation, &best_update(None, &bundle_without_one_route())));
        assert!(!config.put_in_force(generation));
    }
    assert_eq!(config.digest(), bundle().digest());
}

#[test]
fn what_cannot_be_read_leaves_what_is_held() {
    let mut config = Config::default();
    assert!(config.prepare(5, &best_update(None, &bundle_without_one_route())));
    let corrupt = BundleUpdate::Snapshot { target: bundle().digest(), compressed: vec![1, 2, 3] };
    assert!(!config.prepare(7, &corrupt));
    assert!(!config.apply(7, &corrupt));
    assert_eq!(config.digest(), bundle_without_one_route().digest());
    assert!(config.put_in_force(5));
}
