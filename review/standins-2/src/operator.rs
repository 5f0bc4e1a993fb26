//! The operator: sends one configuration until it is taken.

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
    let body = format!("{{\"Generation\":\"00000001\",\"Resources\":[{}]}}", resources.join(","));
    let nodes: Vec<u8> = fleet.cores().collect();
    for attempt in 0..60 {
        let mut address = fleet.at(nodes[attempt % nodes.len()], "control");
        for _ in 0..3 {
            let headers = [("If-Match", "00000000"), ("Content-Type", "application/json")];
            let path = "/-/rpc?call=config.replace";
            let answer =
                http::call(address, path, &headers, body.as_bytes(), Duration::from_secs(1));
            let Ok(answer) = answer else { break };
            record.note(&format!("configuration 1 sent to {address}: {}", answer.status()));
            match (answer.status(), redirect(answer.header("location"))) {
                (200, _) => return true,
                (307, Some(next)) => address = next,
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

fn redirect(location: Option<&str>) -> Option<SocketAddrV4> {
    location?.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
