//! What clients' requests mean here: `/ready`, `/api`, the figures in a request's head.

use crate::routes::Routes;
use granitehub::{Effect, Settings};
use hyper::body::Incoming as IncomingBody;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use proxy::backends::Outgoing;
use proxy::driver::{Answer, Driver, Incoming};
use proxy::fronts::http1::{error_reply, plain, served_response, ErrorReply, Payload, RequestHandler};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Accounts are numbers below 2^33.
const MAX_ACCOUNT: u64 = (1 << 33) - 1;

/// What clients' requests mean to the program in service.
pub struct Api {
    pub driver: Rc<Driver>,
    pub routes: Rc<Routes>,
    classes: Vec<(String, Effect, Duration)>,
    plans: Vec<String>,
    gateways: u32,
    most_units: f64,
}

impl Api {
    pub fn new(driver: Rc<Driver>, routes: Rc<Routes>, s: &Settings) -> Self {
        let classes = s.classes.iter();
        let classes = classes.map(|c| (c.name.clone(), c.effect, Duration::from_nanos(c.deadline))).collect();
        let plans = s.plans.iter().map(|p| p.name.clone()).collect();
        Api { driver, routes, classes, plans, gateways: s.gateways, most_units: s.max_units.max(1.0) }
    }

    /// None if a header is missing or malformed, a figure is out of the range that the settings allow, or the
    /// method does not fit the class. The module relies on it: one wild figure would spoil its averages for
    /// everybody.
    fn figures(&self, head: &Parts) -> Option<engine::Incoming> {
        let h = &head.headers;
        let class_name = text(h, "request-class")?;
        let class = self.classes.iter().position(|(name, ..)| name == class_name)?;
        let (_, effect, longest) = self.classes[class];
        let keyed = h.contains_key("idempotency-key");
        let fits = match effect {
            Effect::Safe => head.method == Method::GET,
            Effect::Keyed => head.method == Method::POST && keyed,
            Effect::Unsafe => head.method == Method::POST && !keyed,
        };
        if !fits {
            return None;
        }
        let plan_name = text(h, "plan")?;
        let plan = self.plans.iter().position(|name| name == plan_name)?;
        let account = text(h, "account")?;
        hex(account).filter(|a| *a <= MAX_ACCOUNT)?;
        let wait: f64 = text(h, "request-timeout")?.trim().parse().ok()?;
        let wait = Duration::try_from_secs_f64(wait).ok().filter(|w| !w.is_zero())?;
        let quota = text(h, "quota-info")?;
        let field = |key: &str| quota.split(',').find_map(|f| f.trim().strip_prefix(key)?.strip_prefix('='));
        let units: f64 = field("units")?.parse().ok()?;
        let spread: u32 = field("spread")?.parse().ok()?;
        let first: u32 = field("first")?.parse().ok()?;
        let (gateways, most) = (self.gateways, self.most_units);
        if !(units > 0.0 && units <= most && (1..=gateways).contains(&spread) && first < gateways) {
            return None;
        }
        Some(engine::Incoming {
            id: hex(text(h, "request-id")?)?,
            class,
            plan,
            customer: account.into(),
            timeout: wait.min(longest).as_nanos() as interface::Time,
            units,
            spread,
            repeat: h.get("client-retry").is_some_and(|v| v == "1"),
            pool: 0,
            allowance: interface::Allowance::Unknown,
            body_pending: false,
        })
    }
}

/// The request as it goes on, its body yet to come.
fn outgoing(head: Parts, uri: Uri) -> Option<Outgoing> {
    let mut headers = HeaderMap::with_capacity(8);
    let mut keep = |name: HeaderName| head.headers.get(&name).map(|v| headers.insert(name, v.clone()));
    keep(HOST)?;
    keep(HeaderName::from_static("request-id"))?;
    keep(HeaderName::from_static("idempotency-key"));
    keep(CONTENT_TYPE);
    Some(Outgoing { method: head.method, uri, headers, ..Outgoing::default() })
}

impl RequestHandler for Api {
    fn local_response(&self, request: &Request<IncomingBody>, draining: bool) -> Option<Response<Payload>> {
        Some(match request.uri().path() {
            "/ready" if request.method() != Method::GET => plain(StatusCode::METHOD_NOT_ALLOWED, ""),
            "/ready" if draining => plain(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
            "/ready" if !self.driver.can_serve() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "no backend is ready\n")
            }
            "/ready" => plain(StatusCode::OK, "ready\n"),
            path if self.routes.may_match(path) => return None,
            _ => plain(StatusCode::NOT_FOUND, ""),
        })
    }

    /// 400 if a header is missing or malformed or a figure out of its range, 404 if no route takes it.
    fn parse(&self, head: Parts, arrived: Instant) -> Result<Incoming, ErrorReply> {
        let mut request = self.figures(&head).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        let place = self.routes.place(&head, request.class, &request.customer);
        let place = place.ok_or_else(|| error_reply(StatusCode::NOT_FOUND))?;
        request.pool = place.pool;
        let outgoing = outgoing(head, place.uri).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        Ok(Incoming { arrived, request, outgoing })
    }

    fn reply(&self, answer: Answer) -> Response<Payload> {
        match answer {
            Answer::Served(served) => served_response(served),
            Answer::Refused { tried, retry_after } => {
                let status =
                    if tried { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
                let mut reply = plain(status, "");
                if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
                    reply.headers_mut().insert(RETRY_AFTER, after);
                }
                reply
            }
            Answer::Rejected(status) => plain(status, ""),
            Answer::Failed { late: true } => plain(StatusCode::GATEWAY_TIMEOUT, ""),
            Answer::Failed { late: false } => plain(StatusCode::BAD_GATEWAY, ""),
        }
    }
}

/// A header that comes once.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let one = all.next()?;
    one.to_str().ok().filter(|_| all.next().is_none())
}

/// 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if digits {
        u64::from_str_radix(text, 16).ok()
    } else {
        None
    }
}
