//! What clients' requests mean (`PROTOCOL.md`, Requests and Answers).

use crate::playing::Playing;
use crate::rights::Pass;
use crate::wire::{strip_hops, ATTEMPT, CREDENTIAL, REMAINING, TARGET, TENANT};
use configuration::{Kind, Route};
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
const WINDOW: Duration = Duration::from_millis(2600);
/// The last of the grace is left for the end itself.
const SPARE: Duration = Duration::from_millis(400);
/// What a client is told that comes while nothing is known yet.
const SOON: Duration = Duration::from_millis(250);
/// Who says nothing of how long it waits is given so long.
const UNSAID: Duration = Duration::from_secs(60);

pub struct Front {
    playing: Rc<Playing>,
    next: Cell<u64>,
    grace: Duration,
}

impl Front {
    pub fn new(playing: Rc<Playing>, grace: Duration) -> Self {
        Front { playing, next: Cell::new(1), grace }
    }

    /// What the newest configuration does not know is refused for good; an old one is no ground for that.
    fn unknown(&self, status: StatusCode) -> Unsound {
        if self.playing.is_fresh() {
            unsound(status)
        } else {
            later(StatusCode::SERVICE_UNAVAILABLE, SOON)
        }
    }
}

/// A refusal that promises that nothing has run, with when to come back.
fn later(status: StatusCode, after: Duration) -> Unsound {
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
fn wait(headers: &HeaderMap, route: &Route) -> Duration {
    let told = text(headers, &REMAINING).and_then(|t| t.trim().parse().ok());
    let most = if route.timeout_ms > 0.0 { millis(route.timeout_ms) } else { UNSAID };
    told.map_or(UNSAID, millis).min(most).max(Duration::from_millis(1))
}

impl Door for Front {
    fn own(&self, _: &Request<IncomingBody>, _: bool) -> Option<Response<Payload>> {
        None
    }

    fn parse(&self, mut head: Parts, arrived: Instant) -> Result<Incoming, Unsound> {
        let Some(table) = self.playing.table() else {
            return Err(later(StatusCode::SERVICE_UNAVAILABLE, SOON));
        };
        // Backends are asked for a path, also if this client thinks that it talks to a proxy.
        let uri = head.uri.path_and_query().cloned().map(Uri::from);
        let uri = uri.ok_or_else(|| unsound(StatusCode::BAD_REQUEST))?;
        let host = head.uri.host().or_else(|| text(&head.headers, &HOST)).unwrap_or_default();
        let route = table.route(host, uri.path()).ok_or_else(|| self.unknown(StatusCode::NOT_FOUND))?;
        let tenant = text(&head.headers, &CREDENTIAL).and_then(|key| table.tenant(key));
        if tenant.is_none() && table.wants_keys() && !route.public {
            return Err(self.unknown(StatusCode::UNAUTHORIZED));
        }
        if !head.headers.contains_key(ATTEMPT) {
            return Err(unsound(StatusCode::BAD_REQUEST));
        }
        let service = route.target(fastrand::f64());
        let service = service.ok_or_else(|| later(StatusCode::SERVICE_UNAVAILABLE, SOON))?;
        let wait = wait(&head.headers, route);
        strip_hops(&mut head.headers);
        for name in [CREDENTIAL, TENANT, REMAINING, TARGET, EXPECT] {
            head.headers.remove(name);
        }
        if let Some(name) = tenant.and_then(|t| HeaderValue::try_from(&t.name).ok()) {
            head.headers.insert(TENANT, name);
        }
        let id = self.next.replace(self.next.get() + 1);
        let priority = tenant.and_then(|t| t.priority).unwrap_or(route.priority);
        let request = engine::Incoming {
            id,
            class: self.playing.class(route),
            plan: Playing::rank(priority),
            customer: tenant.map_or("", |t| &t.name).into(),
            timeout: wait.as_nanos() as Time,
            open: false,
            units: Playing::units(route),
            spread: 1,
            repeat: false,
            pool: self.playing.pool(service),
            allowance: Allowance::Unknown,
        };
        let outgoing = Outgoing {
            method: head.method,
            uri,
            headers: head.headers,
            at_most_once: route.route_kind == Kind::Unsafe,
            ..Outgoing::default()
        };
        Ok(Incoming { arrived, request, outgoing })
    }

    async fn admit(&self, incoming: &mut Incoming) -> Result<(), Unsound> {
        let tenant: &Name = &incoming.request.customer;
        let refused = |after| later(StatusCode::TOO_MANY_REQUESTS, after);
        let pass = self.playing.rights.spend(tenant).await.map_err(refused)?;
        if let Pass::InTurn { wait } = pass {
            let request = &mut incoming.request;
            let left = Duration::from_nanos(request.timeout).saturating_sub(incoming.arrived.elapsed());
            let (wait, pressing) = self.playing.patience(request.class, left, wait);
            self.playing.rights.enter(&request.customer, request.id, wait, pressing).map_err(refused)?;
            let until = self.playing.time_in(wait);
            (request.plan, request.allowance) = (Playing::SLOWED, Allowance::Awaited { until });
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
            Answer::Refused { retry_after, .. } => *later(StatusCode::SERVICE_UNAVAILABLE, retry_after),
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
        let limits = self.playing.table().map(|t| t.playbill().limits).unwrap_or_default();
        let nanos = |ms: f64| (ms.clamp(100.0, 3.6e6) * 1e6) as Time;
        let head = nanos(limits.header_timeout_ms);
        let silent = nanos(limits.idle_timeout_ms);
        Patience { silent, head, first: silent + head }
    }

    fn leaving(&self) -> (Duration, Duration) {
        (WINDOW.min(self.grace / 2), self.grace.saturating_sub(SPARE))
    }
}
