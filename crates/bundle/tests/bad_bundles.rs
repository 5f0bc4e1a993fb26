//! What operators hand in by mistake, and what they are told.

use bundle::{source, Bundle, Object, SealKey, Service};
use expect_test::expect;

const SERVICE: &str = "[[service]]\nname = \"fares\"\n";

/// What loading says, with the folder taken out of the paths.
fn told(text: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bundle.toml");
    std::fs::write(&path, text).unwrap();
    let loaded = source::load(&path, Some(&SealKey::new(1, [3; 32])));
    match loaded {
        Ok(bundle) => format!("accepted with {} objects", bundle.objects().len()),
        Err(error) => error.to_string().replace(&format!("{}/", folder.path().display()), ""),
    }
}

fn route(fields: &str) -> String {
    format!(
        "{SERVICE}\n[[route]]\nname = \"all\"\npath_prefix = \"/\"\nrepeatable = true\n{fields}\n"
    )
}

#[test]
fn a_good_bundle_is_accepted() {
    expect!["accepted with 2 objects"].assert_eq(&told(&route("service = \"fares\"")));
}

#[test]
fn a_dangling_service_is_named_with_its_line() {
    expect!["bundle.toml:5: route 'all': service: no service 'balance' in this bundle"]
        .assert_eq(&told(&route("service = \"balance\"")));
}

#[test]
fn a_dangling_secret_is_named_with_its_line() {
    expect!["bundle.toml:5: route 'all': secret: no secret 'token' in this bundle"]
        .assert_eq(&told(&route("service = \"fares\"\nsecret = \"token\"")));
}

#[test]
fn an_unknown_field_is_named_with_its_line() {
    expect!["bundle.toml:9: unknown field `timeout_sec`, expected one of `name`, `host`, `path_prefix`, `methods`, `service`, `targets`, `secret`, `timeout_ms`, `repeatable`, `priority`, `retry_budget_percent`, `max_staleness_s`, `attempts`, `target_latency_ms`, `rank`, `keyless`"].assert_eq(&told(&route("service = \"fares\"\ntimeout_sec = 3")));
}

#[test]
fn a_duplicate_name_is_named_with_both_lines() {
    expect!["bundle.toml:4: service 'fares' is defined twice; first in bundle.toml:2"]
        .assert_eq(&told(&format!("{SERVICE}{SERVICE}")));
}

#[test]
fn a_value_out_of_range_is_told_the_range() {
    expect!["bundle.toml:5: route 'all': timeout_ms: 900000 is outside 1 to 300000"]
        .assert_eq(&told(&route("service = \"fares\"\ntimeout_ms = 900000")));
}

#[test]
fn ten_megabytes_are_told_the_limit() {
    let text = format!("# {}\n{SERVICE}", "x".repeat(10 * 1024 * 1024));
    expect!["bundle.toml: 10485790 bytes, at most 1048576 are allowed"].assert_eq(&told(&text));
}

#[test]
fn what_is_not_toml_is_told_its_line() {
    expect!["bundle.toml:1: unclosed array table, expected `]`"]
        .assert_eq(&told("[[service]\nname = 3"));
}

#[test]
fn secrets_without_a_sealing_key_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bundle.toml");
    std::fs::write(&path, "[[secret]]\nname = \"token\"\nvalue = \"hidden\"\n").unwrap();
    let told = source::load(&path, None).unwrap_err().to_string();
    assert!(told.contains("sealing key") && !told.contains("hidden"), "{told}");
}

#[test]
fn the_length_is_known_without_encoding() {
    for services in [0, 1, 7] {
        let service = |number: u32| {
            let name = "a".repeat(number as usize * 30);
            let annotation = "\u{e9}".repeat(number as usize);
            Object::Service(Service {
                name,
                upstream_slots: 1,
                upstream_connections: 1,
                annotation,
            })
        };
        let bundle = Bundle::from_objects((0..services).map(service).collect());
        assert_eq!(bundle.encoded_bytes(), bundle.encode().len(), "{services} services");
    }
}
