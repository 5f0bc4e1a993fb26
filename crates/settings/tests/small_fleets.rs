//! Invalid settings of coordinators and sidecars are rejected with a message that names the field.

use settings::{CoordinatorSettings, SettingsError, SidecarSettings, Validate};

const COORDINATOR: &str = r#"
fleet = "mesh"
name = "core-1"
ip = "10.0.0.1"
mesh_port = 7000
api_listen = "10.0.0.1:8000"
metrics_listen = "10.0.0.1:7001"
data_dir = "/data"
seeds = ["10.0.0.1:8000"]
plain_transport = true
"#;

const SIDECAR: &str = r#"
fleet = "mesh"
name = "sidecar-1"
zone = "a"
ip = "10.0.0.2"
mesh_port = 7000
outbound_listen = "10.0.0.2:1"
inbound_listen = "10.0.0.2:2"
ready_listen = "10.0.0.2:3"
registration_listen = "10.0.0.2:4"
metrics_listen = "10.0.0.2:5"
upstream = "10.0.0.2:6"
service = "fares"
seeds = ["10.0.0.1:8000"]
plain_transport = true
drain_ms = 2000
stop_ms = 6000
[retry_budget]
ratio = 0.2
slack = 62
window_s = 10
"#;

fn load<T>(text: &str) -> Result<T, SettingsError>
where
    T: serde::de::DeserializeOwned + Validate,
{
    let folder = tempfile::tempdir().expect("temporary directory");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, text).expect("the file is written");
    settings::load(&path, &[])
}

fn error_message<T>(text: &str) -> String
where
    T: serde::de::DeserializeOwned + Validate,
{
    load::<T>(text).err().map(|error| error.to_string()).unwrap_or_default()
}

#[test]
fn whole_settings_are_accepted() {
    assert!(load::<CoordinatorSettings>(COORDINATOR).is_ok());
    assert!(load::<SidecarSettings>(SIDECAR).is_ok());
}

#[test]
fn each_missing_key_is_named() {
    let rows = [
        (
            COORDINATOR,
            vec!["fleet", "ip", "mesh_port", "api_listen", "data_dir", "seeds", "plain_transport"],
        ),
        (
            SIDECAR,
            vec!["zone", "inbound_listen", "upstream", "service", "seeds", "drain_ms", "stop_ms"],
        ),
    ];
    for (text, keys) in rows {
        for key in keys {
            let prefix = format!("{key} = ");
            let without: Vec<&str> =
                text.lines().filter(|line| !line.starts_with(&prefix)).collect();
            let without = without.join("\n");
            let message = match text == COORDINATOR {
                true => error_message::<CoordinatorSettings>(&without),
                false => error_message::<SidecarSettings>(&without),
            };
            assert!(message.contains(key), "{key}: {message}");
        }
    }
}

#[test]
fn mistakes_are_named() {
    let rows = [
        ("plain_transport = true", "plain_transport = false", "plain_transport"),
        ("seeds = [\"10.0.0.1:8000\"]", "seeds = []", "seeds"),
        ("drain_ms = 2000", "drain_ms = 1", "drain_ms"),
        ("ratio = 0.2", "ratio = 2.0", "retry_budget.ratio"),
        ("slack = 62", "slack = -1", "retry_budget.slack"),
        ("service = \"fares\"", "service = \"\"", "service"),
        (
            "upstream = \"10.0.0.2:6\"",
            "upstream = \"somewhere\"",
            "toml:12: invalid IPv4 socket address",
        ),
        ("zone = \"a\"", "zone = \"a\"\nzoen = 1", "zoen"),
    ];
    for (valid, invalid, expected) in rows {
        assert!(SIDECAR.contains(valid), "{valid}");
        let message = error_message::<SidecarSettings>(&SIDECAR.replace(valid, invalid));
        assert!(message.contains(expected), "{invalid}: {message}");
    }
}
