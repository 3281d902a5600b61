//! Client requests: `/ready`, `/api` and the routes, and the request's parameters in its headers.

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

/// Account numbers are less than 2^33.
const MAX_ACCOUNT: u64 = (1 << 33) - 1;

/// Handler of client requests.
pub struct Api {
    pub driver: Rc<Driver>,
    pub routes: Rc<Routes>,
    classes: Vec<(String, Effect, Duration)>,
    plans: Vec<String>,
    gateways: u32,
    max_units: f64,
}

impl Api {
    pub fn new(driver: Rc<Driver>, routes: Rc<Routes>, settings: &Settings) -> Self {
        let classes = settings.classes.iter();
        let classes = classes.map(|c| (c.name.clone(), c.effect, Duration::from_nanos(c.deadline))).collect();
        let plans = settings.plans.iter().map(|p| p.name.clone()).collect();
        Api {
            driver,
            routes,
            classes,
            plans,
            gateways: settings.gateways,
            max_units: settings.max_units.max(1.0),
        }
    }

    /// Parses the request's headers. Returns none if a header is missing or malformed, a number is out of the range that the
    /// settings allow, or the method does not match the class. The module relies on these checks: a single extreme number
    /// would distort its averages for all customers.
    fn parse_headers(&self, head: &Parts) -> Option<engine::Incoming> {
        let headers = &head.headers;
        let class_name = text(headers, "request-class")?;
        let class = self.classes.iter().position(|(name, ..)| name == class_name)?;
        let (_, effect, max_timeout) = self.classes[class];
        let has_key = headers.contains_key("idempotency-key");
        let method_matches = match effect {
            Effect::Safe => head.method == Method::GET,
            Effect::Keyed => head.method == Method::POST && has_key,
            Effect::Unsafe => head.method == Method::POST && !has_key,
        };
        if !method_matches {
            return None;
        }
        let plan_name = text(headers, "plan")?;
        let plan = self.plans.iter().position(|name| name == plan_name)?;
        let account = text(headers, "account")?;
        hex(account).filter(|a| *a <= MAX_ACCOUNT)?;
        let timeout_s: f64 = text(headers, "request-timeout")?.trim().parse().ok()?;
        let timeout = Duration::try_from_secs_f64(timeout_s).ok().filter(|w| !w.is_zero())?;
        let quota = text(headers, "quota-info")?;
        let field = |key: &str| quota.split(',').find_map(|f| f.trim().strip_prefix(key)?.strip_prefix('='));
        let units: f64 = field("units")?.parse().ok()?;
        let spread: u32 = field("spread")?.parse().ok()?;
        let first: u32 = field("first")?.parse().ok()?;
        let (gateways, max_units) = (self.gateways, self.max_units);
        if !(units > 0.0 && units <= max_units && (1..=gateways).contains(&spread) && first < gateways) {
            return None;
        }
        Some(engine::Incoming {
            id: hex(text(headers, "request-id")?)?,
            class,
            plan,
            customer: account.into(),
            timeout: timeout.min(max_timeout).as_nanos() as interface::Time,
            units,
            spread,
            repeat: headers.get("client-retry").is_some_and(|v| v == "1"),
            pool: 0,
            allowance: interface::Allowance::Unknown,
            body_pending: false,
        })
    }
}

/// Builds the request to the backend, without its body.
fn outgoing(head: Parts, uri: Uri) -> Option<Outgoing> {
    let mut headers = HeaderMap::with_capacity(8);
    let mut copy_header = |name: HeaderName| head.headers.get(&name).map(|v| headers.insert(name, v.clone()));
    copy_header(HOST)?;
    copy_header(HeaderName::from_static("request-id"))?;
    copy_header(HeaderName::from_static("idempotency-key"));
    copy_header(CONTENT_TYPE);
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

    /// Returns 400 if a header is missing, malformed or out of range, and 404 if no route matches.
    fn parse(&self, head: Parts, arrived: Instant) -> Result<Incoming, ErrorReply> {
        let mut request = self.parse_headers(&head).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        let destination = self.routes.find(&head, request.class, &request.customer);
        let destination = destination.ok_or_else(|| error_reply(StatusCode::NOT_FOUND))?;
        request.pool = destination.pool;
        let outgoing = outgoing(head, destination.uri).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
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

/// Returns the value of a header that occurs exactly once.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    value.to_str().ok().filter(|_| values.next().is_none())
}

/// Parses 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if is_hex {
        u64::from_str_radix(text, 16).ok()
    } else {
        None
    }
}
