//! Interpretation of client requests (`PROTOCOL.md`, Requests and Answers).

use crate::backend_protocol::{strip_hop_by_hop_headers, ATTEMPT, CREDENTIAL, REMAINING, TARGET, TENANT};
use crate::gateway::Gateway;
use crate::tenant_quota::Admission;
use configuration::{Route, RouteKind, Tenant};
use hyper::body::Incoming as IncomingBody;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, EXPECT, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use interface::{Allowance, Name, Time};
use lifecycle::connection::Timeouts;
use proxy::backends::Outgoing;
use proxy::driver::{Answer, Incoming};
use proxy::fronts::http1::{error_reply, plain, served_response, ErrorReply, Payload, RequestHandler};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after SIGTERM during which the load balancer still sends clients, until it has missed two readiness checks,
/// which are a second apart.
const DRAIN_WINDOW: Duration = Duration::from_millis(2600);
/// Part of the grace period that is reserved for process exit.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Retry-after time of requests that cannot be decided because no current configuration is known.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Remaining time of a client that does not state it.
const DEFAULT_REMAINING_TIME: Duration = Duration::from_secs(60);
const MIN_REMAINING_TIME: Duration = Duration::from_millis(1);
/// Upper bound of stated times, in milliseconds.
const MAX_TIME_MS: f64 = 3.6e6;
/// Lower bound of client connection time-outs, in milliseconds.
const MIN_CLIENT_TIMEOUT_MS: f64 = 100.0;

/// Interprets client requests by the configuration in force.
pub struct ClientRequests {
    gateway: Rc<Gateway>,
    next_request_id: Cell<u64>,
    grace: Duration,
}

impl ClientRequests {
    /// Creates the handler. `grace` is the time from SIGTERM to the end of the process.
    pub fn new(gateway: Rc<Gateway>, grace: Duration) -> Self {
        ClientRequests { gateway, next_request_id: Cell::new(1), grace }
    }

    /// Rejects a request that the configuration does not know: permanently if the configuration is known to be the
    /// newest, otherwise temporarily.
    fn reject_unknown(&self, status: StatusCode) -> ErrorReply {
        if self.gateway.is_fresh() {
            error_reply(status)
        } else {
            unavailable()
        }
    }
}

/// Returns a refusal which promises that the request was not executed, with a retry-after time.
fn retry_later(status: StatusCode, after: Duration) -> ErrorReply {
    let mut response = error_reply(status);
    if let Ok(after) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

fn unavailable() -> ErrorReply {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn from_millis(ms: f64) -> Duration {
    Duration::from_micros((ms.clamp(0.0, MAX_TIME_MS) * 1e3) as u64)
}

/// Returns the client's remaining time, bounded by the route's time limit.
fn remaining_time(headers: &HeaderMap, route: &Route) -> Duration {
    let stated = header_text(headers, &REMAINING).and_then(|text| text.trim().parse().ok());
    let limit = if route.timeout_ms > 0.0 { from_millis(route.timeout_ms) } else { DEFAULT_REMAINING_TIME };
    stated.map_or(DEFAULT_REMAINING_TIME, from_millis).min(limit).max(MIN_REMAINING_TIME)
}

/// Returns the headers for the backend: the client's, without hop-by-hop headers and those reserved by the system.
fn backend_headers(mut headers: HeaderMap, tenant: Option<&Tenant>) -> HeaderMap {
    strip_hop_by_hop_headers(&mut headers);
    for name in [CREDENTIAL, TENANT, REMAINING, TARGET, EXPECT] {
        headers.remove(name);
    }
    if let Some(name) = tenant.and_then(|tenant| HeaderValue::try_from(&tenant.name).ok()) {
        headers.insert(TENANT, name);
    }
    headers
}

impl RequestHandler for ClientRequests {
    fn local_response(&self, _: &Request<IncomingBody>, _: bool) -> Option<Response<Payload>> {
        None
    }

    fn parse(&self, head: Parts, arrived: Instant) -> Result<Incoming, ErrorReply> {
        let Some(routes) = self.gateway.routes() else { return Err(unavailable()) };
        // Backends receive the path only, even if this client takes the gateway for a proxy.
        let uri = head.uri.path_and_query().cloned().map(Uri::from);
        let uri = uri.ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        let host = head.uri.host().or_else(|| header_text(&head.headers, &HOST)).unwrap_or_default();
        let route = routes.route(host, uri.path());
        let route = route.ok_or_else(|| self.reject_unknown(StatusCode::NOT_FOUND))?;
        let tenant = header_text(&head.headers, &CREDENTIAL).and_then(|key| routes.tenant(key));
        if tenant.is_none() && routes.requires_api_key() && !route.public {
            return Err(self.reject_unknown(StatusCode::UNAUTHORIZED));
        }
        if !head.headers.contains_key(ATTEMPT) {
            return Err(error_reply(StatusCode::BAD_REQUEST));
        }
        let service = route.target(fastrand::f64()).ok_or_else(unavailable)?;
        let timeout = remaining_time(&head.headers, route);
        let (pool, pool_use) = self.gateway.pool_for_request(service);
        let priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
        let request = engine::Incoming {
            id: self.next_request_id.replace(self.next_request_id.get() + 1),
            class: self.gateway.class(route),
            plan: Gateway::plan_for_priority(priority),
            customer: tenant.map_or("", |tenant| &tenant.name).into(),
            timeout: timeout.as_nanos() as Time,
            body_pending: false,
            units: Gateway::estimate_units(route),
            spread: 1,
            repeat: false,
            pool,
            allowance: Allowance::Unknown,
        };
        let outgoing = Outgoing {
            method: head.method,
            uri,
            headers: backend_headers(head.headers, tenant),
            at_most_once: route.route_kind == RouteKind::Unsafe,
            pool_use,
            ..Outgoing::default()
        };
        Ok(Incoming { arrived, request, outgoing })
    }

    async fn admit(&self, incoming: &mut Incoming) -> Result<(), ErrorReply> {
        let tenant: &Name = &incoming.request.customer;
        let too_many_requests = |after| retry_later(StatusCode::TOO_MANY_REQUESTS, after);
        let admission = self.gateway.quota.acquire(tenant).await.map_err(too_many_requests)?;
        let Admission::Queued { max_wait } = admission else { return Ok(()) };
        let request = &mut incoming.request;
        let time_left = Duration::from_nanos(request.timeout).saturating_sub(incoming.arrived.elapsed());
        let (wait, urgent_within) = self.gateway.max_wait(request.class, time_left, max_wait);
        let queued = self.gateway.quota.enqueue(&request.customer, request.id, wait, urgent_within);
        queued.map_err(too_many_requests)?;
        request.plan = Gateway::THROTTLED_PLAN;
        request.allowance = Allowance::Awaited { until: self.gateway.time_in(wait) };
        Ok(())
    }

    fn reply(&self, answer: Answer) -> Response<Payload> {
        match answer {
            Answer::Served(served) => served_response(served),
            Answer::Refused { retry_after, .. } => *retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after),
            Answer::Rejected(status) => plain(status, ""),
            Answer::Failed { late: true } => plain(StatusCode::GATEWAY_TIMEOUT, ""),
            Answer::Failed { late: false } => plain(StatusCode::BAD_GATEWAY, ""),
        }
    }

    /// Replaces 408, which would promise that the request was not executed.
    fn aborted_body_status(&self, status: StatusCode) -> StatusCode {
        if status == StatusCode::REQUEST_TIMEOUT {
            StatusCode::BAD_GATEWAY
        } else {
            status
        }
    }

    fn client_timeouts(&self) -> Timeouts {
        let limits = self.gateway.routes().map(|routes| routes.configuration().limits).unwrap_or_default();
        let nanos = |ms: f64| (ms.clamp(MIN_CLIENT_TIMEOUT_MS, MAX_TIME_MS) * 1e6) as Time;
        let head = nanos(limits.header_timeout_ms);
        let idle = nanos(limits.idle_timeout_ms);
        Timeouts { idle, head, first_head: idle + head }
    }

    fn shutdown_times(&self) -> (Duration, Duration) {
        (DRAIN_WINDOW.min(self.grace / 2), self.grace.saturating_sub(EXIT_RESERVE))
    }
}
