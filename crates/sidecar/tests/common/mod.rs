//! The outbound side of a sidecar without sockets.

#![allow(dead_code, reason = "each test file uses a part")]

use bundle::{best_update, Bundle, Object, Priority, Route, Service, Target};
use http1::{Headers, Request, Response};
use mesh::{
    HopOutcome, HopReply, HopRequest, InstanceRecord, InstanceState, NodeAddress, NodeRecord,
};
use placement::{BudgetBounds, Locality};
use sidecar::{
    Attempt, AttemptEnd, CallAction, CallMetrics, Calls, Config, ConnectionId, HeaderNames,
    Initiator, JobAction, Jobs, LogSample, Origin,
};
use std::net::Ipv4Addr;
use telemetry::Registry;

pub const NAMES: HeaderNames = HeaderNames {
    attempt_id: "x-attempt",
    deadline_ms: "x-deadline",
    seal: "x-seal",
    expect_instance: "x-expect",
    not_run: "x-not-run",
    caller: "x-caller",
    api_key: "x-key",
    tenant: "x-tenant",
    load: "x-load",
    rate_limit: "x-rate-limit",
    leaving: "x-leaving",
};
pub const OWN_SERVICE: &str = "own";
pub const SERVICE: &str = "fares";
pub const HOST: &str = "fares.example";
pub const TIMEOUT_MS: u64 = 2_000;
pub const TARGET_MS: u32 = 600;
const INNER_TARGET_MS: u32 = 100;
/// Time at which the tests start: long after the nodes became known, so that the sidecar has its
/// share of the fleet's retry budget.
pub const START_MS: u64 = 30_000;
const NODES_KNOWN_MS: u64 = 10_000;

/// The outbound side with its configuration.
pub struct World {
    pub calls: Calls,
    pub config: Config,
    pub registry: Registry,
    pub now: u64,
    next_slot: u64,
}

fn route(name: &str, prefix: &str, repeatable: bool, target_latency_ms: u32) -> Object {
    Object::Route(Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        methods: Vec::new(),
        targets: vec![Target { service: SERVICE.to_owned(), weight: 1 }],
        secret: None,
        timeout_ms: TIMEOUT_MS as u32,
        repeatable,
        priority: Priority::Normal,
        retry_budget_percent: 20,
        max_staleness_s: 0,
        attempts: 2,
        target_latency_ms,
        rank: 1,
        keyless: false,
        annotation: String::new(),
    })
}

pub fn bundle() -> Bundle {
    let service = Service {
        name: SERVICE.to_owned(),
        upstream_slots: 1,
        upstream_connections: 100,
        cold_start: None,
        annotation: String::new(),
    };
    let routes = [
        route("safe", "/safe/", true, TARGET_MS),
        route("unsafe", "/unsafe/", false, TARGET_MS),
        route("inner", "/inner/", true, INNER_TARGET_MS),
    ];
    Bundle::from_objects(routes.into_iter().chain([Object::Service(service)]).collect())
}

impl World {
    pub fn unconfigured() -> Self {
        World::from_bounds(BudgetBounds { ratio: 0.2, slack: 60.0, window_ms: 10_000 })
    }

    /// Three upstreams and the given retry budget.
    pub fn with_bounds(ratio: f64, slack: f64) -> Self {
        let mut world = World::from_bounds(BudgetBounds { ratio, slack, window_ms: 10_000 });
        world.configure();
        for host in 1..=3 {
            world.add_upstream(host);
        }
        world.calls.report_retries(NODES_KNOWN_MS);
        world
    }

    fn from_bounds(bounds: BudgetBounds) -> Self {
        let own = NodeAddress { ip: Ipv4Addr::new(10, 0, 0, 200), port: 8_300 };
        let locality = Locality::new(own, "zone-a");
        let registry = Registry::default();
        let metrics = CallMetrics::new(&registry);
        let sample = LogSample::new(1);
        let calls = Calls::new(NAMES, OWN_SERVICE, locality, bounds, sample, metrics, 1);
        World { calls, config: Config::default(), registry, now: START_MS, next_slot: 0 }
    }

    pub fn with_upstreams(count: u8) -> Self {
        let mut world = World::unconfigured();
        world.configure();
        for host in 1..=count {
            world.add_upstream(host);
        }
        world.calls.report_retries(NODES_KNOWN_MS);
        world
    }

    pub fn configure(&mut self) {
        assert!(self.config.apply(1, &best_update(None, &bundle())));
        self.confirm(1);
    }

    /// A coordinator reports the newest generation.
    pub fn confirm(&mut self, generation: u64) {
        self.config.freshness.note(self.now, generation);
    }

    pub fn add_upstream(&mut self, host: u8) {
        let instance = InstanceRecord {
            id: format!("i-{host}"),
            state: InstanceState::Ready,
            slots: 9,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: String::new(),
        };
        let record = NodeRecord {
            address: NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 },
            boot_id: 1,
            sequence: 1,
            zone: "zone-a".to_owned(),
            service: SERVICE.to_owned(),
            stopping: false,
            instance: Some(instance),
        };
        self.calls.view.update(record, self.now);
    }

    pub fn connection(&self) -> ConnectionId {
        ConnectionId::for_tests(1)
    }

    pub fn begin(&mut self, method: &str, path: &str) -> Vec<CallAction> {
        self.begin_request(HOST, method, path, &[])
    }

    pub fn begin_at(&mut self, host: &str, method: &str, path: &str) -> Vec<CallAction> {
        self.begin_request(host, method, path, &[])
    }

    pub fn begin_with_deadline(&mut self, path: &str, deadline_ms: u64) -> Vec<CallAction> {
        let deadline = deadline_ms.to_string();
        self.begin_request(HOST, "GET", path, &[(NAMES.deadline_ms, &deadline)])
    }

    pub fn begin_with_headers(&mut self, path: &str, more: &[(&str, &str)]) -> Vec<CallAction> {
        self.begin_request(HOST, "GET", path, more)
    }

    /// A call made by a running job of the local upstream.
    pub fn begin_nested(&mut self, path: &str) -> Vec<CallAction> {
        self.begin_request_of(Initiator::LocalRun, HOST, "GET", path, &[])
    }

    fn begin_request(
        &mut self,
        host: &str,
        method: &str,
        path: &str,
        more: &[(&str, &str)],
    ) -> Vec<CallAction> {
        self.begin_request_of(Initiator::Caller, host, method, path, more)
    }

    pub fn begin_from(&mut self, initiator: Initiator, path: &str) -> Vec<CallAction> {
        self.begin_request_of(initiator, HOST, "GET", path, &[])
    }

    fn begin_request_of(
        &mut self,
        initiator: Initiator,
        host: &str,
        method: &str,
        path: &str,
        more: &[(&str, &str)],
    ) -> Vec<CallAction> {
        self.next_slot += 1;
        let mut headers = Headers::default();
        headers.push("Host", host);
        headers.push(NAMES.attempt_id, format!("id-{}", self.next_slot));
        for (name, value) in more {
            headers.push(*name, *value);
        }
        let request = Request {
            method: method.to_owned(),
            target: path.to_owned(),
            headers,
            body: bytes::Bytes::new(),
        };
        let origin = Origin { connection: self.connection(), slot: self.next_slot };
        self.calls.begin_from(initiator, origin, request, &self.config, self.now)
    }
}

pub fn sent(actions: &[CallAction]) -> Option<(Attempt, NodeAddress)> {
    actions.iter().find_map(|action| match action {
        CallAction::Send { attempt, to, .. } => Some((*attempt, *to)),
        _ => None,
    })
}

pub fn hop(actions: &[CallAction]) -> Option<HopRequest> {
    actions.iter().find_map(|action| match action {
        CallAction::Send { hop, .. } => Some(hop.clone()),
        _ => None,
    })
}

fn answer(actions: &[CallAction]) -> Option<&Response> {
    actions.iter().find_map(|action| match action {
        CallAction::Answer { response, .. } => Some(response),
        _ => None,
    })
}

pub fn status(actions: &[CallAction]) -> Option<u16> {
    answer(actions).map(|response| response.status)
}

pub fn retry_after_ms(actions: &[CallAction]) -> Option<u64> {
    let seconds: f64 = answer(actions)?.headers.text("retry-after")?.parse().ok()?;
    Some((seconds * 1_000.0) as u64)
}

/// The upstream accepts connections at both probes.
pub fn found_alive(jobs: &mut Jobs, now: u64) -> Vec<JobAction> {
    assert!(jobs.probed(true, now).is_empty(), "one successful probe is not enough");
    let actions = jobs.tick(now + 5);
    assert!(matches!(actions[..], [JobAction::Probe { again: true }]), "{actions:?}");
    jobs.probed(true, now + 5)
}

pub fn reply(outcome: HopOutcome) -> HopReply {
    HopReply {
        outcome,
        running: 1,
        queued: 0,
        limit: 9,
        service_ms: 100,
        spent_ms: 100,
        retry_after_ms: 80,
        state: InstanceState::Ready,
        failing_percent: 0,
        link_percent: 0,
        transfer_wait_ms: 0,
        transfer_bytes_per_ms: 0,
        upstream_ended: false,
        quarantine_left_ms: 0,
        quarantine_crashes: Default::default(),
        egress_wait_ms: 0,
        egress_bytes_per_ms: 0,
        link_full: false,
        service_time_percent: 0,
        reported_service_time_percent: 0,
        rate_limit: None,
        upstream_leaving: false,
        accepts_ms: None,
    }
}

pub fn replied(outcome: HopOutcome, status: u16) -> AttemptEnd {
    AttemptEnd::Replied(reply(outcome), Response::empty(status))
}
