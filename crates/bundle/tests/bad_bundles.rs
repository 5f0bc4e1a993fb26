//! Invalid bundle files and the messages that operators get for them.

use bundle::{
    best_update, source, Bundle, BundleUpdate, KeyFingerprint, Object, SealKey, Service, Tenant,
};
use expect_test::expect;

const SERVICE: &str = "[[service]]\nname = \"fares\"\n";

/// Outcome of loading a bundle file as text, with the directory removed from paths.
fn load_outcome(text: &str) -> String {
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
    expect!["accepted with 2 objects"].assert_eq(&load_outcome(&route("service = \"fares\"")));
}

#[test]
fn a_dangling_service_is_named_with_its_line() {
    expect!["bundle.toml:5: route 'all': service: no service 'balance' in this bundle"]
        .assert_eq(&load_outcome(&route("service = \"balance\"")));
}

#[test]
fn a_dangling_secret_is_named_with_its_line() {
    expect!["bundle.toml:5: route 'all': secret: no secret 'token' in this bundle"]
        .assert_eq(&load_outcome(&route("service = \"fares\"\nsecret = \"token\"")));
}

#[test]
fn an_unknown_field_is_named_with_its_line() {
    expect!["bundle.toml:9: unknown field `timeout_sec`, expected one of `name`, `host`, `path_prefix`, `methods`, `service`, `targets`, `secret`, `timeout_ms`, `repeatable`, `priority`, `retry_budget_percent`, `max_staleness_s`, `attempts`, `target_latency_ms`, `rank`, `keyless`"].assert_eq(&load_outcome(&route("service = \"fares\"\ntimeout_sec = 3")));
}

#[test]
fn a_duplicate_name_is_named_with_both_lines() {
    expect!["bundle.toml:4: service 'fares' is defined twice; first in bundle.toml:2"]
        .assert_eq(&load_outcome(&format!("{SERVICE}{SERVICE}")));
}

#[test]
fn a_value_out_of_range_is_told_the_range() {
    expect!["bundle.toml:5: route 'all': timeout_ms: 900000 is outside 1 to 300000"]
        .assert_eq(&load_outcome(&route("service = \"fares\"\ntimeout_ms = 900000")));
}

#[test]
fn ten_megabytes_are_told_the_limit() {
    let text = format!("# {}\n{SERVICE}", "x".repeat(10 * 1024 * 1024));
    expect!["bundle.toml: 10485790 bytes, at most 4194304 are allowed"]
        .assert_eq(&load_outcome(&text));
}

#[test]
fn what_is_not_toml_is_told_its_line() {
    expect!["bundle.toml:1: unclosed array table, expected `]`"]
        .assert_eq(&load_outcome("[[service]\nname = 3"));
}

#[test]
fn secrets_without_a_sealing_key_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bundle.toml");
    std::fs::write(&path, "[[secret]]\nname = \"token\"\nvalue = \"hidden\"\n").unwrap();
    let message = source::load(&path, None).unwrap_err().to_string();
    assert!(message.contains("sealing key") && !message.contains("hidden"), "{message}");
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
                cold_start: None,
                annotation,
            })
        };
        let bundle = Bundle::from_objects((0..services).map(service).collect());
        assert_eq!(bundle.encoded_bytes(), bundle.encode().len(), "{services} services");
    }
}

fn tenant(name: &str, keys: Vec<String>) -> Tenant {
    let (rate_milli, burst, rank) = (570_000, 570, Some(1));
    Tenant { name: name.to_owned(), keys, rate_milli, burst, rank, annotation: String::new() }
}

fn keys(keys: &[&str]) -> Vec<String> {
    keys.iter().map(|key| (*key).to_owned()).collect()
}

/// Validation problems of a bundle with only these tenants, one per line.
fn problems(tenants: Vec<Tenant>) -> String {
    let bundle = Bundle::from_objects(tenants.into_iter().map(Object::Tenant).collect());
    let problems: Vec<String> = bundle.check().iter().map(ToString::to_string).collect();
    problems.join("\n")
}

#[test]
fn tenants_are_told_what_is_wrong_and_no_key_is_shown() {
    let one = |keys: &[&str]| vec![tenant("a", self::keys(keys))];
    let two =
        |first: &[&str], second: &[&str]| vec![tenant("a", keys(first)), tenant("b", keys(second))];
    let long = "k".repeat(4_097);
    let rows: Vec<(&str, Vec<Tenant>)> = vec![
        ("none", Vec::new()),
        ("no keys", one(&[])),
        ("good", two(&["secret-1", "secret-2"], &["secret-3"])),
        ("a key twice", one(&["secret-1", "secret-2", "secret-1"])),
        ("a key of two", two(&["secret-1", "secret-2"], &["secret-3", "secret-2"])),
        ("keys that differ in case", two(&["secret"], &["SECRET"])),
        ("empty", one(&["secret-1", ""])),
        ("longest", one(&[&long[1..]])),
        ("too long", one(&[&long])),
        ("64 KiB", one(&[&"k".repeat(64 * 1024)])),
        ("line end", one(&["secret\r\nX-Tenant: b"])),
        ("blank inside", one(&["secret 1"])),
        ("blank at the end", one(&["secret "])),
        ("rate of 0", vec![Tenant { rate_milli: 0, ..tenant("a", Vec::new()) }]),
        ("burst below rate", vec![Tenant { burst: 1, ..tenant("a", Vec::new()) }]),
        ("rate too high", vec![Tenant { rate_milli: u64::MAX, ..tenant("a", Vec::new()) }]),
        ("burst too high", vec![Tenant { burst: u64::MAX, ..tenant("a", Vec::new()) }]),
        ("bad name", vec![tenant("a b", Vec::new()), tenant("", Vec::new())]),
    ];
    let mut text = String::new();
    for (name, tenants) in rows {
        let problems = problems(tenants);
        assert!(!problems.contains("secret") && !problems.contains("SECRET"), "{problems}");
        text.push_str(&format!("{name}: {problems}\n"));
    }
    expect![[r#"
        none: 
        no keys: 
        good: 
        a key twice: tenant 'a': keys: key 3 (dd2de76d) is there twice
        a key of two: tenant 'b': keys: key 2 (288d392a) is held by tenant 'a' as well
        keys that differ in case: 
        empty: tenant 'a': keys: key 2 (759e5c42) is empty
        longest: 
        too long: tenant 'a': keys: key 1 (3a13595c) has 4097 bytes, at most 4096 are allowed
        64 KiB: tenant 'a': keys: key 1 (f744efcc) has 65536 bytes, at most 4096 are allowed
        line end: tenant 'a': keys: key 1 (9c709231) has control characters, or blanks at an end, which no header can carry
        blank inside: 
        blank at the end: tenant 'a': keys: key 1 (c4c9c57f) has control characters, or blanks at an end, which no header can carry
        rate of 0: 
        burst below rate: 
        rate too high: tenant 'a': rate_milli: 18446744073709551615 is outside 0 to 1000000000000
        burst too high: tenant 'a': burst: 18446744073709551615 is outside 0 to 1000000000
        bad name: tenant '': name: 1 to 128 characters out of a-z A-Z 0-9 - _ . are allowed
        tenant 'a b': name: 1 to 128 characters out of a-z A-Z 0-9 - _ . are allowed
    "#]].assert_eq(&text);
}

#[test]
fn every_byte_of_a_key_is_taken_or_told() {
    let refused: Vec<u8> = (0..=127)
        .filter(|byte: &u8| {
            !problems(vec![tenant("a", vec![format!("k{}y", char::from(*byte))])]).is_empty()
        })
        .collect();
    let controls: Vec<u8> = (0..32).chain([127]).collect();
    assert_eq!(refused, controls);
}

#[test]
fn a_hundred_thousand_keys_of_one_tenant_are_held_to_the_size_of_a_bundle() {
    let many = |count: u32| {
        let keys = (0..count).map(|number| format!("{number:020}")).collect();
        problems(vec![tenant("a", keys)])
    };
    assert_eq!(many(100_000), "");
    expect!["size: 7200032 bytes, at most 4194304 are allowed"].assert_eq(&many(300_000));
}

#[test]
fn fingerprints_tell_keys_apart_and_do_not_change() {
    expect!["dd2de76d"].assert_eq(&KeyFingerprint::of(b"secret-1").to_string());
    let many = (0..1_000).map(|number: u32| KeyFingerprint::of(&number.to_be_bytes()));
    assert_eq!(many.collect::<std::collections::BTreeSet<_>>().len(), 1_000);
}

#[test]
fn a_changed_tenant_is_one_object_of_a_delta() {
    let bundle = |tenants: Vec<Tenant>| {
        Bundle::from_objects(tenants.into_iter().map(Object::Tenant).collect())
    };
    let many = |changed: &[&str]| {
        let others = (0..200).map(|number| tenant(&format!("t{number}"), vec![number.to_string()]));
        bundle(others.chain([tenant("a", keys(changed))]).collect())
    };
    let (old, new) = (many(&["first"]), many(&["second", "third"]));
    let update = best_update(Some(&old), &new);
    let BundleUpdate::Delta(delta) = &update else {
        panic!("{update:?}");
    };
    assert_eq!((delta.removed.len(), delta.upserts.len()), (0, 1));
    assert_eq!(update.apply(&old).expect("valid"), new);
    let emptied = best_update(Some(&new), &bundle(Vec::new()));
    assert_eq!(emptied.apply(&new).expect("valid").tenants().count(), 0);
    // A bundle in which two tenants have the same key is rejected as a whole.
    let duplicated = bundle(vec![tenant("a", keys(&["one"])), tenant("b", keys(&["one"]))]);
    assert!(best_update(None, &duplicated).apply(&Bundle::default()).is_err());
}

#[test]
fn tenants_are_read_from_files_and_problems_name_their_line() {
    let with =
        |fields: &str| load_outcome(&format!("{SERVICE}\n[[tenant]]\nname = \"a\"\n{fields}\n"));
    let second = "keys = [\"secret\"]\n[[tenant]]\nname = \"b\"\nkeys = [\"secret\"]";
    let rows = [
        ("nothing more", ""),
        ("all", "keys = [\"k\"]\nrate_milli = 5\nburst = 0\nrank = 1"),
        ("a key of two", second),
        ("twice", "[[tenant]]\nname = \"a\""),
        ("unknown field", "key = \"secret\""),
        ("a key alone", "keys = \"secret\""),
        ("a number among keys", "keys = [\"secret\", 7]"),
        ("rate below 0", "rate_milli = -1"),
        ("rate with a fraction", "rate_milli = 0.5"),
        ("rate too high", "rate_milli = 1000000000001"),
    ];
    let mut text = String::new();
    for (name, fields) in rows {
        let message = with(fields);
        assert!(!message.contains("secret"), "{message}");
        text.push_str(&format!("{name}: {message}\n"));
    }
    expect![[r#"
        nothing more: accepted with 2 objects
        all: accepted with 2 objects
        a key of two: bundle.toml:8: tenant 'b': keys: key 1 (dfa8733b) is held by tenant 'a' as well
        twice: bundle.toml:7: tenant 'a' is defined twice; first in bundle.toml:5
        unknown field: bundle.toml:6: unknown field `key`, expected one of `name`, `keys`, `rate_milli`, `burst`, `rank`
        a key alone: bundle.toml:6: keys must be a list of texts
        a number among keys: bundle.toml:6: keys must be a list of texts
        rate below 0: bundle.toml:6: invalid value: integer `-1`, expected u64
        rate with a fraction: bundle.toml:6: invalid type: floating point `0.5`, expected u64
        rate too high: bundle.toml:5: tenant 'a': rate_milli: 1000000000001 is outside 0 to 1000000000000
    "#]].assert_eq(&text);
}

#[test]
fn a_change_is_told_what_a_whole_check_would_find() {
    let bundle = |tenants: Vec<Tenant>| {
        Bundle::from_objects(tenants.into_iter().map(Object::Tenant).collect())
    };
    let bundle_with = |changed: Tenant| {
        let others = (0..50).map(|number| tenant(&format!("t{number}"), vec![number.to_string()]));
        bundle(others.chain([changed, tenant("z", keys(&["last"]))]).collect())
    };
    let old = bundle_with(tenant("m", keys(&["own"])));
    let rows = [
        ("a key of one before it", keys(&["own", "7"])),
        ("a key of one behind it", keys(&["last"])),
        ("its own twice", keys(&["own", "own"])),
        ("an empty one", keys(&[""])),
        ("another", keys(&["other"])),
    ];
    for (name, changed) in rows {
        let new = bundle_with(tenant("m", changed));
        let update = best_update(Some(&old), &new);
        assert!(matches!(update, BundleUpdate::Delta(_)), "{name}");
        assert_eq!(update.apply(&old).is_ok(), new.check().is_empty(), "{name}");
    }
    // Two tenants exchange their keys in one change.
    let pair =
        |first, second| bundle(vec![tenant("a", keys(&[first])), tenant("b", keys(&[second]))]);
    let (old, new) = (pair("one", "two"), pair("two", "one"));
    assert_eq!(best_update(Some(&old), &new).apply(&old).expect("valid"), new);
}
