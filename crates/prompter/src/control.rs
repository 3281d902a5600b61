//! Calls of backends and operators. Each is declared in [`CALLS`] beside its handler.

use crate::agreement::{Agreement, Done, Outcome};
use crate::followers::pass_on;
use crate::view::View;
use bytes::Bytes;
use greenroom::Fact;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use playbill::Checker;
use promptbook::{decide, Applied, Verdict, Versions, Word};
use serde::Deserialize;
use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// The largest body of a call.
const LONGEST: usize = 8 << 20;
/// How long a call may take to come.
const COMES: Duration = Duration::from_secs(5);
/// A caller goes elsewhere after a second of silence.
const ANSWERED: Duration = Duration::from_millis(850);
/// Something that was passed on is passed on again after so long.
const AGAIN: Duration = Duration::from_millis(150);
/// How long a caller keeps its connection.
const LASTS: Duration = Duration::from_secs(60);
/// The most callers at once.
const CALLERS: usize = 256;

type Reply = Response<Full<Bytes>>;
type Handler = for<'a> fn(&'a Control, &'a str, Bytes) -> Pin<Box<dyn Future<Output = Reply> + 'a>>;

/// A call: its method, its path, of which a trailing `/` stands for a name behind it, its handler.
struct Call {
    method: Method,
    path: &'static str,
    handler: Handler,
}

const CALLS: [Call; 4] = [
    Call {
        method: Method::POST,
        path: "/-/Instances.Heartbeat/",
        handler: |c, id, body| Box::pin(c.heartbeat(id, body)),
    },
    Call {
        method: Method::POST,
        path: "/-/Instances.Deregister/",
        handler: |c, id, _| Box::pin(c.deregister(id)),
    },
    Call {
        method: Method::POST,
        path: "/-/Configuration.Replace",
        handler: |c, _, body| Box::pin(c.replace(body)),
    },
    Call { method: Method::GET, path: "/-/Configuration.Read", handler: |c, _, _| Box::pin(c.read()) },
];

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Beat {
    address: String,
    node_info: NodeInfo,
    status: Status,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NodeInfo {
    target_service: String,
    #[serde(default)]
    config_version: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    capacity_slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    state: String,
    #[serde(default)]
    call_sequence: u64,
    #[serde(default)]
    warmup_left_ms: f64,
}

pub struct Control {
    view: Rc<View>,
    agreement: Agreement,
    /// Made with the first change that is to be checked here: its library takes some megabytes.
    checker: OnceCell<Checker>,
    /// One change of the configuration at a time.
    turn: Mutex<()>,
    callers: Cell<usize>,
}

impl Control {
    pub fn new(view: Rc<View>, agreement: Agreement) -> Rc<Self> {
        let checker = OnceCell::new();
        Rc::new(Control { view, agreement, checker, turn: Mutex::new(()), callers: Cell::new(0) })
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.callers.get() < CALLERS => {
                    spawn_local(self.clone().caller(stream));
                }
                Ok(_) => {}
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn caller(self: Rc<Self>, stream: TcpStream) {
        self.callers.set(self.callers.get() + 1);
        if wings::net::notice(&stream).is_ok() {
            let service = service_fn(|request| async { Ok::<_, Infallible>(self.call(request).await) });
            let http =
                http1::Builder::new().max_buf_size(16 << 10).serve_connection(TokioIo::new(stream), service);
            let mut http = std::pin::pin!(http);
            // Errors are the caller's. One that has been there for long is let go behind its next answer.
            if timeout(LASTS, http.as_mut()).await.is_err() {
                http.as_mut().graceful_shutdown();
                let _ = timeout(COMES, http).await;
            }
        }
        self.callers.set(self.callers.get() - 1);
    }

    async fn call(&self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let named = |c: &&Call| match c.path.strip_suffix('/') {
            Some(_) => path.strip_prefix(c.path).is_some_and(|id| !id.is_empty() && !id.contains('/')),
            None => path == c.path,
        };
        let Some(call) = CALLS.iter().find(named) else { return no(StatusCode::NOT_FOUND, "no such call") };
        if head.method != call.method {
            return no(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted");
        }
        let body = match timeout(COMES, Limited::new(body, LONGEST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return no(StatusCode::PAYLOAD_TOO_LARGE, "it is too long");
            }
            Ok(Err(_)) => return no(StatusCode::BAD_REQUEST, "it is cut short"),
            Err(_) => return no(StatusCode::REQUEST_TIMEOUT, "it did not come"),
        };
        (call.handler)(self, path.strip_prefix(call.path).unwrap_or_default(), body).await
    }

    // ---- Backends ----

    async fn heartbeat(&self, id: &str, body: Bytes) -> Reply {
        let beat: Beat = match serde_json::from_slice(&body) {
            Ok(beat) => beat,
            Err(e) => return no(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if beat.address.parse::<SocketAddr>().is_err() {
            return no(StatusCode::BAD_REQUEST, "its address is none");
        }
        let draining = beat.status.state == "draining";
        let fact = Fact {
            id: id.into(),
            service: beat.node_info.target_service,
            address: beat.address,
            zone: beat.node_info.zone,
            version: beat.node_info.config_version,
            slots: beat.node_info.capacity_slots,
            draining: draining || self.view.book.borrow().is_leaving(id),
            cold_ms: beat.status.warmup_left_ms.clamp(0.0, 3.6e6) as u32,
            sequence: beat.status.call_sequence,
        };
        self.view.beat(fact, true);
        // Who is cut off from the majority would keep this life from all others.
        if !self.in_touch() {
            return later();
        }
        if draining && !self.leaving(id).await {
            return later();
        }
        json(StatusCode::OK, "{}")
    }

    async fn deregister(&self, id: &str) -> Reply {
        if !self.leaving(id).await {
            return later();
        }
        self.view.over(id);
        self.view.tell_all(&wings::message::Peer::Over { instance: id.into() });
        json(StatusCode::OK, "{}")
    }

    /// Whether a majority was known of of late.
    fn in_touch(&self) -> bool {
        let touch = self.view.duty.borrow().touch;
        touch.is_some_and(|at| self.view.now().saturating_sub(at) < 1_200_000_000)
    }

    /// Has it agreed on that this backend leaves. Whether it was, in time to say so.
    async fn leaving(&self, id: &str) -> bool {
        let word = Word::Leaving { instance: id.into() }.write();
        let until = Instant::now() + ANSWERED;
        let mut again = Instant::now();
        let mut news = self.view.news();
        while !self.view.book.borrow().is_leaving(id) {
            let now = Instant::now();
            if now >= until {
                return false;
            }
            if now >= again {
                again = now + AGAIN;
                pass_on(&self.view, &self.agreement, word.clone());
            }
            let _ = timeout(AGAIN.min(until - now), news.changed()).await;
        }
        true
    }

    // ---- Operators ----

    /// The answer of one who does not hold the duty.
    fn elsewhere(&self, path: &str) -> Option<Reply> {
        let duty = self.view.duty.borrow();
        if duty.is_holder {
            return None;
        }
        let fresh = duty.touch.is_some_and(|at| self.view.now().saturating_sub(at) < 1_000_000_000);
        let ip = duty.holder.as_ref().filter(|_| fresh).and_then(|h| h.name.parse::<IpAddr>().ok());
        let port = self.view.settings.net.listen_addresses.control_plane.map(|a| a.port());
        let location = ip.zip(port).map(|(ip, port)| format!("http://{}{path}", SocketAddr::new(ip, port)));
        let Some(location) = location.and_then(|l| HeaderValue::try_from(l).ok()) else {
            return Some(later());
        };
        let mut reply = json(StatusCode::TEMPORARY_REDIRECT, "{}");
        reply.headers_mut().insert(LOCATION, location);
        Some(reply)
    }

    async fn replace(&self, body: Bytes) -> Reply {
        if let Some(elsewhere) = self.elsewhere("/-/Configuration.Replace") {
            return elsewhere;
        }
        let until = Instant::now() + ANSWERED;
        let left = || until.saturating_duration_since(Instant::now());
        let Ok(_turn) = timeout(left(), self.turn.lock()).await else { return later() };
        // What stands is known only once a majority has said that nobody else holds the duty.
        if !self.agreement.newest(left()).await {
            return later();
        }
        let read = |body: &[u8]| match self.checker.get_or_init(Checker::default).check(body) {
            Ok(c) => Ok(Versions { base: c.base_version, version: c.config_version }),
            Err(fault) => Err(fault.to_string()),
        };
        let verdict = decide(&self.view.book.borrow(), &body, read);
        let verdict = match verdict {
            Verdict::Propose(word) => {
                let applied = match self.agreement.propose(word.write(), left()).await {
                    Done::Agreed(Outcome::Stands) => Some(Applied::Changed),
                    Done::Agreed(Outcome::Other) => Some(Applied::Other),
                    Done::Newest | Done::NotHolder => None,
                };
                Verdict::after(applied.as_ref(), self.view.book.borrow().version())
            }
            verdict => verdict,
        };
        match verdict {
            Verdict::Acknowledged => json(StatusCode::OK, "{}"),
            Verdict::Invalid(why) => no(StatusCode::BAD_REQUEST, &why),
            Verdict::Conflict { current } => {
                no(StatusCode::PRECONDITION_FAILED, &format!("{current:08x} stands"))
            }
            Verdict::Unclear | Verdict::Propose(_) => later(),
        }
    }

    async fn read(&self) -> Reply {
        if let Some(elsewhere) = self.elsewhere("/-/Configuration.Read") {
            return elsewhere;
        }
        if !self.agreement.newest(ANSWERED).await {
            return later();
        }
        match self.view.book.borrow().configuration() {
            Some(c) => json(StatusCode::OK, c.body.clone()),
            None => no(StatusCode::NOT_FOUND, "there is none yet"),
        }
    }
}

fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn no(status: StatusCode, why: &str) -> Reply {
    json(status, serde_json::json!({ "errorText": why }).to_string())
}

/// Nothing is known, or nobody can say now: another may.
fn later() -> Reply {
    let mut reply = no(StatusCode::SERVICE_UNAVAILABLE, "nobody can say now");
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    reply
}
