//! Handles one call: routing, claims, sending with retries, and the response.

use crate::dispatch::AcquireError;
use crate::keyed::{claim, request_digest, ClaimResult, HeldClaim, KEY_HEADER};
use crate::refusal::{Refusal, RefusalKind, HOP_HEADER};
use crate::runtime::Shared;
use crate::upstream::{
    SendError, SendPolicy, UpstreamRequest, UpstreamResponse, BACKEND_STATE_HEADER, LOAD_HEADER,
};
use endpoints::EndpointKey;
use forward::{
    BudgetError, CallBudget, CallReport, CompiledRoute, RoutingTable, DEADLINE_HEADER, DEPTH_HEADER,
};
use http1::is_connection_header;
use std::sync::Arc;
use std::time::Duration;
use telemetry::BootInstant;
use ureq::http::header::HeaderValue;
use ureq::http::{HeaderMap, Method, Request, Response};
use verdict::{Verdict, VERDICT_HEADER};

/// Response header with the generation whose routes were used for the call.
pub(crate) const GENERATION_HEADER: &str = "X-Chutecove-Generation";
/// Maximum number of sends of one call, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// A call that has arrived completely.
struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Vec<u8>,
    deadline: BootInstant,
    depth: u32,
}

/// A call as it has arrived: a request, or why it cannot be handled.
pub(crate) type Arrival = Result<Request<Vec<u8>>, Refusal>;

/// Handles a call that began to arrive at `received_at`; every failure becomes a response with a
/// verdict.
pub(crate) fn handle(
    shared: &Shared,
    arrival: Arrival,
    received_at: BootInstant,
) -> Response<Vec<u8>> {
    let table = shared.routing();
    let processed = arrival.and_then(|request| process(shared, &table, request, received_at));
    let response = match processed {
        Ok(response) => {
            shared.metrics.answered.inc();
            to_response(response)
        }
        Err(refusal) => refuse(shared, &refusal),
    };
    finish_response(shared, &table, response)
}

fn refuse(shared: &Shared, refusal: &Refusal) -> Response<Vec<u8>> {
    match refusal.verdict {
        Verdict::NotRun => shared.metrics.refused_not_run.inc(),
        Verdict::MayHaveRun => shared.metrics.refused_may_have_run.inc(),
        Verdict::Ran => shared.metrics.refused_ran.inc(),
    };
    refusal.to_response(&shared.settings.name)
}

/// Adds the generation header and, while the proxy is stopping, tells the caller to close the
/// connection.
fn finish_response(
    shared: &Shared,
    table: &RoutingTable,
    mut response: Response<Vec<u8>>,
) -> Response<Vec<u8>> {
    let headers = response.headers_mut();
    headers.insert(GENERATION_HEADER, table.generation.into());
    if shared.stop.is_set() {
        headers.insert("Connection", HeaderValue::from_static("close"));
    }
    response
}

fn process(
    shared: &Shared,
    table: &Arc<RoutingTable>,
    request: Request<Vec<u8>>,
    received_at: BootInstant,
) -> Result<UpstreamResponse, Refusal> {
    let route = find_route(shared, table, &request)?;
    let call = to_call(&route, request, received_at)?;
    shared.dispatcher.record_call(&route.route.name, route.route.retry_budget_percent);
    let key = call.headers.get(KEY_HEADER).cloned();
    match key {
        Some(key) if !route.route.repeatable => {
            let key = key.to_str().map_err(|_| {
                Refusal::not_run(RefusalKind::BadRequest, format!("{KEY_HEADER} is not text"))
            })?;
            send_with_claim(shared, &route, &call, key)
        }
        _ => send(shared, &route, &call, None),
    }
}

fn find_route(
    shared: &Shared,
    table: &RoutingTable,
    request: &Request<Vec<u8>>,
) -> Result<Arc<CompiledRoute>, Refusal> {
    if table.generation == 0 {
        let message = "no configuration is in force yet";
        return Err(Refusal::not_run(RefusalKind::NotConfigured, message));
    }
    let host = request.headers().get("Host").and_then(|host| host.to_str().ok());
    let (method, path) = (request.method().as_str(), request.uri().path());
    let route = table.find(host.unwrap_or_default(), method, path).ok_or_else(|| {
        Refusal::not_run(RefusalKind::NoRoute, format!("no route for {method} {path}"))
    })?;
    let max_staleness_s = u64::from(route.route.max_staleness_s);
    if max_staleness_s > 0
        && shared.staleness_ms().is_none_or(|age_ms| age_ms > max_staleness_s * 1_000)
    {
        let message = format!("the configuration may be older than {max_staleness_s} s");
        return Err(Refusal::not_run(RefusalKind::TooStale, message));
    }
    Ok(route.clone())
}

fn to_call(
    route: &CompiledRoute,
    request: Request<Vec<u8>>,
    received_at: BootInstant,
) -> Result<Call, Refusal> {
    let (parts, body) = request.into_parts();
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let remaining = header(DEADLINE_HEADER);
    let budget =
        CallBudget::from_headers(0, route.route.timeout_ms, remaining, header(DEPTH_HEADER))
            .map_err(budget_refusal)?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    Ok(Call {
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        deadline: received_at + Duration::from_micros(budget.deadline_us),
        depth: budget.depth,
    })
}

fn budget_refusal(error: BudgetError) -> Refusal {
    let kind = match error {
        BudgetError::Malformed => RefusalKind::BadRequest,
        BudgetError::TooDeep => RefusalKind::TooDeep,
        BudgetError::Expired => RefusalKind::Expired,
    };
    Refusal::not_run(kind, error)
}

/// Sends a call with an idempotency key, which must run at most once even if the caller resends it.
fn send_with_claim(
    shared: &Shared,
    route: &CompiledRoute,
    call: &Call,
    key: &str,
) -> Result<UpstreamResponse, Refusal> {
    let digest = request_digest(call.method.as_str(), &call.path, &call.body);
    let keep_ms = shared.settings.claim_keep_s * 1_000;
    let name = &route.route.name;
    match claim(&shared.claims, name, key, digest, keep_ms, call.deadline)? {
        ClaimResult::Answered(response) => Ok(response),
        ClaimResult::Send(held_claim) => send(shared, route, call, Some(held_claim)),
    }
}

/// Sends a call, with retries as far as the verdict, the retry budget and the deadline allow, and
/// records the outcome in its claim if it has one.
fn send(
    shared: &Shared,
    route: &CompiledRoute,
    call: &Call,
    held_claim: Option<HeldClaim<'_>>,
) -> Result<UpstreamResponse, Refusal> {
    let result = send_attempts(shared, route, call);
    if let Some(held_claim) = held_claim {
        match &result {
            Ok(response) if !did_not_run(response) => held_claim.finish(response),
            Ok(_) => held_claim.release(),
            Err(refusal) if refusal.verdict == Verdict::NotRun => held_claim.release(),
            // The call may have run, so the claim is kept and the call is never sent again.
            Err(_) => {}
        }
    }
    result
}

fn send_attempts(
    shared: &Shared,
    route: &CompiledRoute,
    call: &Call,
) -> Result<UpstreamResponse, Refusal> {
    let service = route.service(shared.dispatcher.random_u64()).to_owned();
    let mut tried: Vec<EndpointKey> = Vec::new();
    let mut worst_verdict = Verdict::NotRun;
    loop {
        let priority = route.route.priority;
        let acquired = shared.dispatcher.acquire(&service, priority, &tried, call.deadline);
        let upstream = acquired.map_err(|error| acquire_refusal(error, &service, worst_verdict))?;
        let outcome = send_once(shared, route, call, &upstream);
        tried.push(upstream);
        let may_retry = |verdict: Verdict| {
            (verdict == Verdict::NotRun || route.route.repeatable)
                && (tried.len() as u32) < MAX_ATTEMPTS
                && BootInstant::now() < call.deadline
                && shared
                    .dispatcher
                    .try_take_retry(&route.route.name, route.route.retry_budget_percent)
        };
        match outcome {
            Ok(response) if is_shed(&response) && may_retry(Verdict::NotRun) => {}
            Ok(response) => return Ok(response),
            Err(error) => {
                if error.verdict == Verdict::MayHaveRun {
                    worst_verdict = Verdict::MayHaveRun;
                }
                if !may_retry(error.verdict) {
                    return Err(send_refusal(&error, worst_verdict));
                }
            }
        }
        shared.metrics.retries.inc();
    }
}

fn acquire_refusal(error: AcquireError, service: &str, verdict: Verdict) -> Refusal {
    let (kind, message) = match error {
        AcquireError::NoUpstream => {
            (RefusalKind::NoUpstream, format!("no live upstream of '{service}' is left to try"))
        }
        AcquireError::Overloaded => {
            (RefusalKind::Overloaded, format!("all upstreams of '{service}' are busy"))
        }
    };
    Refusal { kind, verdict, message }
}

fn send_refusal(error: &SendError, verdict: Verdict) -> Refusal {
    let kind = match (verdict, error.timed_out) {
        (Verdict::NotRun, _) => RefusalKind::Unreachable,
        (_, true) => RefusalKind::UpstreamTimeout,
        _ => RefusalKind::UpstreamLost,
    };
    Refusal { kind, verdict, message: error.message.clone() }
}

fn send_once(
    shared: &Shared,
    route: &CompiledRoute,
    call: &Call,
    upstream: &EndpointKey,
) -> Result<UpstreamResponse, SendError> {
    let remaining = call.deadline.saturating_duration_since(BootInstant::now());
    let headers = upstream_headers(route, call, remaining);
    let request = UpstreamRequest {
        method: &call.method,
        path: &call.path,
        headers: &headers,
        body: &call.body,
        timeout: remaining.max(Duration::from_millis(1)),
        policy: if route.route.repeatable { SendPolicy::Repeatable } else { SendPolicy::Once },
    };
    shared.metrics.sent.inc();
    let outcome = shared.upstreams.send(upstream.socket_address(), &request);
    shared.dispatcher.finish(upstream, call_report(&outcome));
    if let Ok(response) = &outcome {
        if response.headers.get(BACKEND_STATE_HEADER).is_some_and(|state| state == "draining") {
            shared.observe_leaving(upstream);
        }
    }
    outcome
}

fn upstream_headers(route: &CompiledRoute, call: &Call, remaining: Duration) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(call.headers.len() + 3);
    for (name, value) in &call.headers {
        if !is_connection_header(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.insert(DEADLINE_HEADER, (remaining.as_millis() as u64).into());
    headers.insert(DEPTH_HEADER, call.depth.into());
    if let Some(token) = &route.token {
        let value = zeroize::Zeroizing::new(format!("Bearer {}", token.as_str()));
        if let Ok(mut value) = HeaderValue::from_str(&value) {
            value.set_sensitive(true);
            headers.insert("Authorization", value);
        }
    }
    headers
}

fn call_report(outcome: &Result<UpstreamResponse, SendError>) -> CallReport {
    match outcome {
        Ok(response) if is_shed(response) => CallReport::Shed,
        Ok(response) => {
            let load = response.headers.get(LOAD_HEADER).and_then(|load| load.to_str().ok());
            CallReport::Answered { load: load.and_then(|load| load.parse().ok()) }
        }
        Err(_) => CallReport::Failed,
    }
}

fn did_not_run(response: &UpstreamResponse) -> bool {
    response.headers.get(VERDICT_HEADER).is_some_and(|verdict| verdict == Verdict::NotRun.as_str())
}

/// Whether the backend itself refused the call, as opposed to a proxy behind it that has already
/// retried.
fn is_shed(response: &UpstreamResponse) -> bool {
    did_not_run(response) && !response.headers.contains_key(HOP_HEADER)
}

fn to_response(response: UpstreamResponse) -> Response<Vec<u8>> {
    let mut builder = Response::builder().status(response.status);
    if let Some(headers) = builder.headers_mut() {
        for (name, value) in &response.headers {
            if !is_connection_header(name.as_str()) {
                headers.append(name.clone(), value.clone());
            }
        }
        if !headers.contains_key(VERDICT_HEADER) {
            let ran = HeaderValue::from_static("ran");
            headers.insert(VERDICT_HEADER, ran);
        }
    }
    builder.body(response.body).expect("all headers are valid")
}
