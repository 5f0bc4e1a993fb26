//! Configuration documents.

/// A route of a service on the host `calls.example`.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
}

pub const HOST: &str = "calls.example";

pub fn document(version: u64, services: &[&str], routes: &[Route]) -> String {
    let mut resources = Vec::new();
    for Route { name, prefix, kind, service } in routes {
        resources.push(format!(
            "{{\"ResourceKind\":\"Routes\",\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\
             \"Hostname\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":1,\
             \"Service\":\"{service}\",\"Attempts\":2}}}}"
        ));
    }
    for service in services {
        resources.push(format!(
            "{{\"ResourceKind\":\"Services\",\"Metadata\":{{\"Name\":\"{service}\"}},\"Spec\":{{\
             \"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\
             \"Tls\":false}}}}"
        ));
    }
    resources.push(
        "{\"ResourceKind\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}"
            .to_owned(),
    );
    let resources = resources.join(",");
    format!("{{\"Generation\":\"{version:08x}\",\"Resources\":[{resources}]}}")
}
