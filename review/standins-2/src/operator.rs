//! The operator: sends configurations until they are taken, and reads them back.

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

pub const HOST: &str = "jepu9.example";

/// Sends version 1 with these routes; returns whether it was acknowledged.
pub fn configure(fleet: &Fleet, routes: &[Route<'_>], record: &Record) -> bool {
    let nodes: Vec<u8> = fleet.cores().collect();
    replace(fleet, &nodes, 1, routes, record).is_some()
}

/// Sends a version on top of the one before, to these nodes in turn; returns the host that
/// acknowledged it.
pub fn replace(
    fleet: &Fleet,
    nodes: &[u8],
    version: u32,
    routes: &[Route<'_>],
    record: &Record,
) -> Option<u8> {
    let mut resources = Vec::new();
    let mut services: Vec<&str> = Vec::new();
    for (number, route) in routes.iter().enumerate() {
        resources.push(format!(
            "{{\"ResourceKind\":\"Routes\",\"Metadata\":{{\"Name\":\"r-{number}\"}},\"Spec\":{{\
             \"Hostname\":\"{HOST}\",\"PathPrefix\":\"{}\",\"Kind\":\"{}\",\"TimeoutMs\":{},\
             \"TargetLatencyMs\":{},\"Priority\":1,\"Service\":\"{}\",\"Attempts\":2}}}}",
            route.prefix, route.kind, route.timeout_ms, route.target_ms, route.service
        ));
        if !services.contains(&route.service) {
            services.push(route.service);
        }
    }
    for service in services {
        resources.push(format!(
            "{{\"ResourceKind\":\"Services\",\"Metadata\":{{\"Name\":\"{service}\"}},\"Spec\":{{\
             \"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false}}}}"
        ));
    }
    resources.push(
        "{\"ResourceKind\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}"
            .to_owned(),
    );
    let resources = resources.join(",");
    let body = format!("{{\"Generation\":\"{version:08x}\",\"Resources\":[{resources}]}}");
    let base = format!("{:08x}", version - 1);
    let headers = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
    for attempt in 0..60 {
        let answer =
            call(fleet.at(nodes[attempt % nodes.len()], "control"), "replace", &headers, &body);
        if let Some((address, answer)) = answer {
            record.note(&format!("version {version} sent to {address}: {}", answer.status()));
            if answer.status() == 200 {
                return Some(address.ip().octets()[3]);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}

/// Reads the configuration at a node; returns its version.
pub fn read(fleet: &Fleet, node: u8, record: &Record) -> Option<u32> {
    let (address, answer) = call(fleet.at(node, "control"), "get", &[], "")?;
    record.note(&format!("configuration asked of {address}: {}", answer.status()));
    let text = String::from_utf8(answer.body).ok()?;
    let digits = text.split("\"Generation\":\"").nth(1)?.get(..8)?;
    u32::from_str_radix(digits, 16).ok()
}

/// Calls a node and follows redirects twice; returns who answered.
fn call(
    mut address: SocketAddrV4,
    name: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(SocketAddrV4, http::Message)> {
    let path = format!("/-/rpc?call=config.{name}");
    for _ in 0..3 {
        let longest = Duration::from_secs(1);
        let answer = http::call(address, &path, headers, body.as_bytes(), longest).ok()?;
        match redirect(answer.header("location")) {
            Some(next) if answer.status() == 307 => address = next,
            _ => return Some((address, answer)),
        }
    }
    None
}

fn redirect(location: Option<&str>) -> Option<SocketAddrV4> {
    location?.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
