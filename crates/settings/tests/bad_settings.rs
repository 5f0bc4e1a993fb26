//! Invalid settings of relays and control replicas are rejected with a message that names the
//! field.

use expect_test::expect;
use settings::{ControlSettings, RelaySettings};

const RELAY: &str = r#"
fleet = "fares"
name = "relay-1"
zone = "zone-a"
region = "tasmania"
listen = "127.0.0.1:0"
metrics_listen = "127.0.0.1:0"
platform_url = "http://127.0.0.1:1/machines"
[tls]
authority = "authority.pem"
certificate = "relay-1.pem"
key = "relay-1.key"
[[control]]
id = 1
address = "127.0.0.1:1"
"#;

fn load_relay(text: &str, overrides: &[&str]) -> String {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("relay.toml");
    std::fs::write(&path, text).unwrap();
    let overrides: Vec<String> = overrides.iter().map(|text| (*text).to_owned()).collect();
    match settings::load::<RelaySettings>(&path, &overrides) {
        Ok(settings) => format!("accepted, hold_ms = {}", settings.hold_ms),
        Err(error) => error.to_string().replace(&format!("{}/", folder.path().display()), ""),
    }
}

#[test]
fn defaults_and_overrides_are_accepted() {
    expect!["accepted, hold_ms = 2500"].assert_eq(&load_relay(RELAY, &[]));
    expect!["accepted, hold_ms = 900"].assert_eq(&load_relay(RELAY, &["hold_ms=900"]));
}

#[test]
fn mistakes_are_named_with_the_field_and_the_range() {
    expect!["relay.toml: hold_ms: 1 is outside 100 to 30000"]
        .assert_eq(&load_relay(RELAY, &["hold_ms=1"]));
    expect!["--set hold=1000: unknown field `hold`, expected one of `fleet`, `name`, `zone`, `region`, `listen`, `metrics_listen`, `tls`, `control`, `peer`, `platform_url`, `platform_poll_ms`, `hold_ms`, `proxy_lease_ms`, `max_catch_ups`, `max_connections`, `claim_groups`"].assert_eq(&load_relay(RELAY, &["hold=1000"]));
    expect!["relay.toml:5: unknown field `regoin`, expected one of `fleet`, `name`, `zone`, `region`, `listen`, `metrics_listen`, `tls`, `control`, `peer`, `platform_url`, `platform_poll_ms`, `hold_ms`, `proxy_lease_ms`, `max_catch_ups`, `max_connections`, `claim_groups`"].assert_eq(&load_relay(&RELAY.replace("region", "regoin"), &[]));
    expect!["relay.toml: platform_url: must begin with http://"]
        .assert_eq(&load_relay(&RELAY.replace("http://", "ftp://"), &[]));
    expect!["relay.toml:1: string values must be quoted, expected literal string"]
        .assert_eq(&load_relay("name = ", &[]));
}

#[test]
fn a_replica_must_list_itself_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.toml");
    let peer = "[[peer]]\nid = 2\naddress = \"127.0.0.1:2\"\napi_address = \"127.0.0.1:3\"\n";
    let text = format!(
        "fleet = \"fares\"\nmember_id = 1\nlisten = \"127.0.0.1:0\"\napi_listen = \"127.0.0.1:0\"\n\
         metrics_listen = \"127.0.0.1:0\"\ndata_dir = \"data\"\noperators_file = \"operators.toml\"\n\
         {peer}{peer}[tls]\nauthority = \"a\"\ncertificate = \"c\"\nkey = \"k\"\n"
    );
    std::fs::write(&path, text).unwrap();
    let message = settings::load::<ControlSettings>(&path, &[]).unwrap_err().to_string();
    assert!(message.contains("two peers have the same id"), "{message}");
    assert!(message.contains("own id must be listed"), "{message}");
}
