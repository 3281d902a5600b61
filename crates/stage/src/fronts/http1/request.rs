//! A client's request: its head, its figures, its body.

use super::{Server, LEAST_RATE, MAX_ACCOUNT, MAX_DISCARD, READS};
use crate::backends::{Outgoing, MAX_BODY, WHOLE};
use crate::driver::Incoming;
use crate::fronts::Part;
use bytes::{Bytes, BytesMut};
use granitehub::Effect;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming as IncomingBody};
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at, Instant};

impl Server {
    /// Reads a request's head: 400 if a header is missing or malformed or a figure out of its range, 404 if no
    /// route takes it.
    pub(super) fn parse(&self, head: Parts, arrived: Instant) -> Result<Incoming, StatusCode> {
        let mut request = self.figures(&head).ok_or(StatusCode::BAD_REQUEST)?;
        let place = self.driver.routes.place(&head, request.class, &request.customer);
        let place = place.ok_or(StatusCode::NOT_FOUND)?;
        request.pool = place.pool;
        let outgoing = outgoing(head, place.uri).ok_or(StatusCode::BAD_REQUEST)?;
        Ok(Incoming { arrived, request, outgoing })
    }

    /// None if a header is missing or malformed, a figure is out of the range that the settings allow, or the
    /// method does not fit the class. The module relies on it: one wild figure would spoil its averages for
    /// everybody.
    fn figures(&self, head: &Parts) -> Option<granite_engine::Incoming> {
        let h = &head.headers;
        let class_name = text(h, "request-class")?;
        let class = self.driver.classes.iter().position(|(name, ..)| name == class_name)?;
        let (_, effect, longest) = self.driver.classes[class];
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
        let plan = self.driver.plans.iter().position(|name| name == plan_name)?;
        let account = text(h, "account")?;
        hex(account).filter(|a| *a <= MAX_ACCOUNT)?;
        let wait: f64 = text(h, "request-timeout")?.trim().parse().ok()?;
        let wait = Duration::try_from_secs_f64(wait).ok().filter(|w| !w.is_zero())?;
        let quota = text(h, "quota-info")?;
        let field = |key: &str| quota.split(',').find_map(|f| f.trim().strip_prefix(key)?.strip_prefix('='));
        let units: f64 = field("units")?.parse().ok()?;
        let spread: u32 = field("spread")?.parse().ok()?;
        let first: u32 = field("first")?.parse().ok()?;
        let (gateways, most) = (self.driver.gateways, self.driver.most_units);
        if !(units > 0.0 && units <= most && (1..=gateways).contains(&spread) && first < gateways) {
            return None;
        }
        Some(granite_engine::Incoming {
            id: hex(text(h, "request-id")?)?,
            class,
            plan,
            customer: account.into(),
            timeout: wait.min(longest).as_nanos() as granitehub::Time,
            units,
            spread,
            repeat: h.get("client-retry").is_some_and(|v| v == "1"),
            pool: 0,
            open: false,
        })
    }
}

/// The request as it goes on, its body yet to come.
fn outgoing(head: Parts, uri: Uri) -> Option<Outgoing> {
    let h = &head.headers;
    Some(Outgoing {
        request_id: h.get("request-id")?.clone(),
        idempotency_key: h.get("idempotency-key").cloned(),
        content_type: h.get(CONTENT_TYPE).cloned(),
        host: h.get(HOST)?.clone(),
        method: head.method,
        uri,
        body: RefCell::default(),
        wait: None,
        whole_at: Cell::default(),
    })
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

/// Whether a head, as it came, states a length.
pub(super) fn states_length(raw: &[u8]) -> bool {
    let end = raw.windows(2).position(|w| w == b"\n\n");
    let end = raw.windows(3).position(|w| w == b"\n\r\n").into_iter().chain(end).min().unwrap_or(raw.len());
    let name = b"content-length:";
    raw[..end]
        .split(|b| *b == b'\n')
        .any(|l| l.len() >= name.len() && l[..name.len()].eq_ignore_ascii_case(name))
}

/// How fast a body must come.
#[derive(Clone, Copy)]
pub(super) struct Pace {
    pub(super) start: Instant,
    pub(super) grace: Duration,
}

impl Pace {
    /// When more of it must have come, now that so much has.
    fn until(self, came: usize) -> Instant {
        let earned = Duration::from_millis((came / (LEAST_RATE / 1000)) as u64);
        (Instant::now() + self.grace).min(self.start + self.grace + earned)
    }
}

/// A body as it comes.
pub(super) struct Coming {
    body: IncomingBody,
    pace: Pace,
    came: usize,
}

impl Coming {
    pub(super) fn new(body: IncomingBody, pace: Pace) -> Self {
        Coming { body, pace, came: 0 }
    }

    /// The next bytes of it; none at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let frame = timeout_at(self.pace.until(self.came), self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)? else { return Ok(None) };
            let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
            self.came += data.len();
            if self.came > MAX_BODY {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// The whole of it in a part of the budget; or as much as there is room for, if it is open.
    pub(super) async fn read(&mut self, mut part: Part) -> Result<(Bytes, Part, bool), StatusCode> {
        let told = self.body.size_hint().lower() as usize;
        let mut came = BytesMut::with_capacity(told.min(WHOLE));
        while let Some(data) = self.next().await? {
            came.extend_from_slice(&data);
            // Up to the usual size there is always room: it is bounded by the descriptors.
            let room = part.grow(data.len()) && came.len() <= part.most();
            if !room && came.len() > WHOLE {
                return Ok((came.freeze(), part, true));
            }
        }
        Ok((came.freeze(), part, false))
    }

    pub(super) fn length(&self) -> Option<u64> {
        // What is left of it, and what has come.
        self.body.size_hint().exact().map(|left| left + self.came as u64)
    }

    /// Passes on the rest; then an empty frame says that it is whole. A server that does not read has its
    /// time too.
    pub(super) async fn pass(&mut self, to: &mpsc::Sender<Bytes>) -> Result<(), StatusCode> {
        loop {
            let data = self.next().await?;
            let whole = data.is_none();
            let waits = Instant::now();
            match timeout(READS, to.send(data.unwrap_or_default())).await {
                Err(_) => return Err(StatusCode::GATEWAY_TIMEOUT),
                Ok(Ok(())) => {}
                // The attempt is over, and the answer on its way.
                Ok(Err(_)) => std::future::pending().await,
            }
            if whole {
                return Ok(());
            }
            // That was the server's time, not the client's.
            self.pace.start += waits.elapsed();
        }
    }
}

/// Throws away what still comes, so that the client gets to read its answer.
pub(super) async fn discard(mut body: IncomingBody) {
    let mut thrown = 0;
    while let Some(Ok(frame)) = body.frame().await {
        thrown += frame.data_ref().map_or(0, Bytes::len);
        if thrown > MAX_DISCARD {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::states_length;

    #[test]
    fn a_length_is_seen_however_it_is_written_and_nowhere_but_in_the_head() {
        for raw in
            ["POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", "POST / HTTP/1.1\nX: y\ncONTENT-lENGTH:5\n\n"]
        {
            assert!(states_length(raw.as_bytes()), "{raw:?}");
        }
        for raw in [
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 5\r\n",
            "POST / HTTP/1.1\r\nX-Content-Length: 5\r\nY: content-length: 5\r\n\r\n",
            "",
        ] {
            assert!(!states_length(raw.as_bytes()), "{raw:?}");
        }
    }
}
