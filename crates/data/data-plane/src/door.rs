//! What clients' requests mean (`PROTOCOL.md`, Requests and Answers).

use crate::playing::Gateway;
use crate::rights::Admission;
use crate::wire::{strip_hop_by_hop_headers, ATTEMPT, CREDENTIAL, REMAINING, TARGET, TENANT};
use configuration::{Route, RouteKind};
use http_body_util::Full;
use hyper::body::Incoming as IncomingBody;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, EXPECT, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use interface::{Allowance, Name, Time};
use lifecycle::connection::Patience;
use proxy::backends::{Content, Outgoing};
use proxy::driver::{Answer, Incoming};
use proxy::fronts::http1::{plain, unsound, Door, Payload, Unsound};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// After SIGTERM the entry sends clients until it has missed twice, a second apart.
const DRAIN_WINDOW: Duration = Duration::from_millis(2600);
/// The last of the grace is left for the end itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// What a client is told that comes while nothing is known yet.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Who says nothing of how long it waits is given so long.
const DEFAULT_REMAINING_TIME: Duration = Duration::from_secs(60);

pub struct ClientRequests {
    gateway: Rc<Gateway>,
    next_request_id: Cell<u64>,
    grace: Duration,
}

impl ClientRequests {
    pub fn new(gateway: Rc<Gateway>, grace: Duration) -> Self {
        ClientRequests { gateway, next_request_id: Cell::new(1), grace }
    }

    /// What the newest configuration does not know is refused for good; an old one is no ground for that.
    fn reject_unknown(&self, status: StatusCode) -> Unsound {
        if self.gateway.is_fresh() {
            unsound(status)
        } else {
            retry_later(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER)
        }
    }
}

/// A refusal that promises that nothing has run, with when to come back.
fn retry_later(status: StatusCode, after: Duration) -> Unsound {
    let mut reply = unsound(status);
    if let Ok(after) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        reply.headers_mut().insert(RETRY_AFTER, after);
    }
    reply
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis(ms: f64) -> Duration {
    Duration::from_micros((ms.clamp(0.0, 3.6e6) * 1e3) as u64)
}

/// How long its client waits, no longer than the route allows.
fn remaining_time(headers: &HeaderMap, route: &Route) -> Duration {
    let told = text(headers, &REMAINING).and_then(|t| t.trim().parse().ok());
    let most = if route.timeout_ms > 0.0 { millis(route.timeout_ms) } else { DEFAULT_REMAINING_TIME };
    told.map_or(DEFAULT_REMAINING_TIME, millis).min(most).max(Duration::from_millis(1))
}

impl Door for ClientRequests {
    fn own(&self, _: &Request<IncomingBody>, _: bool) -> Option<Response<Payload>> {
        None
    }

    fn parse(&self, mut head: Parts, arrived: Instant) -> Result<Incoming, Unsound> {
        let Some(table) = self.gateway.routes() else {
            return Err(retry_later(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER));
        };
        // Backends are asked for a path, also if this client thinks that it talks to a proxy.
        let uri = head.uri.path_and_query().cloned().map(Uri::from);
        let uri = uri.ok_or_else(|| unsound(StatusCode::BAD_REQUEST))?;
        let host = head.uri.host().or_else(|| text(&head.headers, &HOST)).unwrap_or_default();
        let route =
            table.route(host, uri.path()).ok_or_else(|| self.reject_unknown(StatusCode::NOT_FOUND))?;
        let tenant = text(&head.headers, &CREDENTIAL).and_then(|key| table.tenant(key));
        if tenant.is_none() && table.requires_api_key() && !route.public {
            return Err(self.reject_unknown(StatusCode::UNAUTHORIZED));
        }
        if !head.headers.contains_key(ATTEMPT) {
            return Err(unsound(StatusCode::BAD_REQUEST));
        }
        let service = route.target(fastrand::f64());
        let service =
            service.ok_or_else(|| retry_later(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER))?;
        let wait = remaining_time(&head.headers, route);
        strip_hop_by_hop_headers(&mut head.headers);
        for name in [CREDENTIAL, TENANT, REMAINING, TARGET, EXPECT] {
            head.headers.remove(name);
        }
        if let Some(name) = tenant.and_then(|t| HeaderValue::try_from(&t.name).ok()) {
            head.headers.insert(TENANT, name);
        }
        let id = self.next_request_id.replace(self.next_request_id.get() + 1);
        let priority = tenant.and_then(|t| t.priority).unwrap_or(route.priority);
        let request = engine::Incoming {
            id,
            class: self.gateway.class(route),
            plan: Gateway::plan_for_priority(priority),
            customer: tenant.map_or("", |t| &t.name).into(),
            timeout: wait.as_nanos() as Time,
            open: false,
            units: Gateway::estimate_units(route),
            spread: 1,
            repeat: false,
            pool: self.gateway.pool_for_service(service),
            allowance: Allowance::Unknown,
        };
        let outgoing = Outgoing {
            method: head.method,
            uri,
            headers: head.headers,
            at_most_once: route.route_kind == RouteKind::Unsafe,
            ..Outgoing::default()
        };
        Ok(Incoming { arrived, request, outgoing })
    }

    async fn admit(&self, incoming: &mut Incoming) -> Result<(), Unsound> {
        let tenant: &Name = &incoming.request.customer;
        let refused = |after| retry_later(StatusCode::TOO_MANY_REQUESTS, after);
        let pass = self.gateway.quota.acquire(tenant).await.map_err(refused)?;
        if let Admission::Queued { max_wait: wait } = pass {
            let request = &mut incoming.request;
            let left = Duration::from_nanos(request.timeout).saturating_sub(incoming.arrived.elapsed());
            let (wait, pressing) = self.gateway.max_wait(request.class, left, wait);
            self.gateway.quota.enqueue(&request.customer, request.id, wait, pressing).map_err(refused)?;
            let until = self.gateway.time_in(wait);
            (request.plan, request.allowance) = (Gateway::THROTTLED_PLAN, Allowance::Awaited { until });
        }
        Ok(())
    }

    fn reply(&self, answer: Answer) -> Response<Payload> {
        match answer {
            Answer::Served(served) => {
                let mut reply = Response::new(match served.content {
                    Content::Whole(bytes) => Payload::Whole(Full::new(bytes)),
                    Content::Stream(stream) => Payload::Stream(stream),
                });
                *reply.status_mut() = served.status;
                *reply.headers_mut() = served.headers;
                reply
            }
            Answer::Refused { retry_after, .. } => *retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after),
            Answer::Turned(status) => plain(status, ""),
            Answer::Failed { late: true } => plain(StatusCode::GATEWAY_TIMEOUT, ""),
            Answer::Failed { late: false } => plain(StatusCode::BAD_GATEWAY, ""),
        }
    }

    /// 408 would promise that nothing has run.
    fn cut_short(&self, status: StatusCode) -> StatusCode {
        if status == StatusCode::REQUEST_TIMEOUT {
            StatusCode::BAD_GATEWAY
        } else {
            status
        }
    }

    fn patience(&self) -> Patience {
        let limits = self.gateway.routes().map(|t| t.configuration().limits).unwrap_or_default();
        let nanos = |ms: f64| (ms.clamp(100.0, 3.6e6) * 1e6) as Time;
        let head = nanos(limits.header_timeout_ms);
        let silent = nanos(limits.idle_timeout_ms);
        Patience { silent, head, first: silent + head }
    }

    fn leaving(&self) -> (Duration, Duration) {
        (DRAIN_WINDOW.min(self.grace / 2), self.grace.saturating_sub(EXIT_RESERVE))
    }
}
