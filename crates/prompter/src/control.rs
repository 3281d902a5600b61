//! Calls of backends and operators. Each is declared in [`CALLS`] beside its handler.

use crate::agreement::{Agreement, Done, Outcome};
use crate::followers::pass_on;
use crate::view::View;
use bytes::{Bytes, BytesMut};
use greenroom::Fact;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use playbill::Checker;
use promptbook::{decide, mark, Applied, Mark, Verdict, Versions, Word};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

/// The largest body of a call, and the most bytes of bodies that are held at once: one more is told to come later.
const LONGEST: usize = 8 << 20;
const HELD: usize = 24 << 20;
/// Larger ones are checked on another thread: 700 KB take 80 ms of a core, 8 MB 0.4 s, and this one has rounds to answer.
const CHECKED_HERE: usize = 64 << 10;
/// How long a call may rest while it comes, and how long it may take in all: 8 MiB at 2 Mbit/s.
const RESTS: Duration = Duration::from_secs(5);
const COMES: Duration = Duration::from_secs(35);
/// A caller goes elsewhere after a second of silence.
const ANSWERED: Duration = Duration::from_millis(850);
/// So long is waited for what comes of a proposal, whoever still asks: a large one takes its time on a slow link.
const PROPOSED: Duration = Duration::from_secs(15);
/// The most orders under way at once.
const ORDERS: usize = 32;
/// Something that was passed on is passed on again after so long.
const AGAIN: Duration = Duration::from_millis(150);
/// A prompter that has not been in contact with a majority for so long takes no backends in.
const TOUCH: Duration = Duration::from_millis(1500);
/// Nor does it send operators on to the leader that it knows: another is about to be elected.
const SENDS_ON: Duration = Duration::from_millis(800);
/// The leader is asked for proof of contact so often.
const CONTACT: Duration = Duration::from_millis(150);
/// How long a caller keeps its connection.
const LASTS: Duration = Duration::from_secs(60);
/// The most callers at once.
const CALLERS: usize = 256;

type Reply = Response<Full<Bytes>>;
type Handler = for<'a> fn(&'a Rc<Control>, &'a str, Body) -> Pin<Box<dyn Future<Output = Reply> + 'a>>;

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
    checker: Arc<OnceLock<Checker>>,
    orders: Orders,
    callers: Cell<usize>,
    /// Bytes of bodies.
    held: Rc<Cell<usize>>,
}

/// Orders under way.
#[derive(Default)]
struct Orders {
    turn: Mutex<()>,
    /// By the mark of their bytes.
    under_way: RefCell<BTreeMap<Mark, watch::Receiver<Option<Verdict>>>>,
}

/// A call's body, counted among all that are held for as long as it is.
struct Body {
    bytes: Bytes,
    held: Rc<Cell<usize>>,
    counted: usize,
}

impl Body {
    async fn collect(held: Rc<Cell<usize>>, mut body: Incoming) -> Result<Body, Reply> {
        let mut whole = Body { bytes: Bytes::new(), held, counted: 0 };
        let mut all = BytesMut::new();
        loop {
            let frame = match timeout(RESTS, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(no(StatusCode::BAD_REQUEST, "it is cut short")),
                Ok(None) => break,
                Err(_) => return Err(no(StatusCode::REQUEST_TIMEOUT, "it did not come")),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if all.len() + bytes.len() > LONGEST {
                return Err(no(StatusCode::PAYLOAD_TOO_LARGE, "it is too long"));
            }
            if whole.held.get() + bytes.len() > HELD {
                return Err(later());
            }
            whole.held.set(whole.held.get() + bytes.len());
            whole.counted += bytes.len();
            all.extend_from_slice(&bytes);
        }
        whole.bytes = all.freeze();
        Ok(whole)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.counted);
    }
}

impl Control {
    pub fn new(view: Rc<View>, agreement: Agreement) -> Rc<Self> {
        let (checker, orders, callers, held) = Default::default();
        Rc::new(Control { view, agreement, checker, orders, callers, held })
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
                let _ = timeout(RESTS, http).await;
            }
        }
        self.callers.set(self.callers.get() - 1);
    }

    async fn call(self: &Rc<Self>, request: Request<Incoming>) -> Reply {
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
        let body = match timeout(COMES, Body::collect(self.held.clone(), body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(reply)) => return reply,
            Err(_) => return no(StatusCode::REQUEST_TIMEOUT, "it did not come"),
        };
        (call.handler)(self, path.strip_prefix(call.path).unwrap_or_default(), body).await
    }

    // ---- Backends ----

    async fn heartbeat(&self, id: &str, body: Body) -> Reply {
        let beat: Beat = match serde_json::from_slice(&body.bytes) {
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
        self.view.untouched_for() < TOUCH
    }

    /// Has it agreed on that this backend leaves. Whether it was, in time to say so.
    async fn leaving(&self, id: &str) -> bool {
        // Who is cut off has nobody to agree with: the next gateway is called at once.
        if !self.in_touch() {
            return self.view.book.borrow().is_leaving(id);
        }
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
        let fresh = self.view.untouched_for() < SENDS_ON;
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

    /// An order that is under way already is not begun again: whoever sends it once more hears what becomes of the first.
    async fn replace(self: &Rc<Self>, body: Body) -> Reply {
        if let Some(elsewhere) = self.elsewhere("/-/Configuration.Replace") {
            return elsewhere;
        }
        let Some(mut verdict) = self.under_way(body) else { return later() };
        let verdict = timeout(ANSWERED, verdict.wait_for(Option::is_some)).await;
        let verdict = verdict.ok().and_then(Result::ok).and_then(|v| v.clone()).unwrap_or(Verdict::Unclear);
        match verdict {
            Verdict::Acknowledged => json(StatusCode::OK, "{}"),
            Verdict::Invalid(why) => no(StatusCode::BAD_REQUEST, &why),
            Verdict::Conflict { current } => {
                no(StatusCode::PRECONDITION_FAILED, &format!("{current:08x} stands"))
            }
            Verdict::Unclear | Verdict::Propose(_) => later(),
        }
    }

    /// What becomes of this order; none: too many are under way.
    fn under_way(self: &Rc<Self>, body: Body) -> Option<watch::Receiver<Option<Verdict>>> {
        let mark = mark(&body.bytes);
        let mut orders = self.orders.under_way.borrow_mut();
        if let Some(verdict) = orders.get(&mark) {
            return Some(verdict.clone());
        }
        if orders.len() >= ORDERS {
            return None;
        }
        let (tell, verdict) = watch::channel(None);
        orders.insert(mark, verdict.clone());
        let control = self.clone();
        spawn_local(async move {
            let verdict = control.settle(&body.bytes).await;
            control.orders.under_way.borrow_mut().remove(&mark);
            tell.send_replace(Some(verdict));
        });
        Some(verdict)
    }

    async fn settle(&self, body: &Bytes) -> Verdict {
        // All that was agreed on when the order came is known once a majority has said that nobody else leads.
        if !self.agreement.newest(ANSWERED).await {
            return Verdict::Unclear;
        }
        // One proposal at a time, until it is known what came of it: of two on one base the second would only be carried
        // around in vain.
        let Ok(_turn) = timeout(ANSWERED, self.orders.turn.lock()).await else { return Verdict::Unclear };
        let mut read = None;
        if body.len() > CHECKED_HERE && !self.view.book.borrow().is_taken(body) {
            let (checker, body) = (self.checker.clone(), body.clone());
            read = spawn_blocking(move || check(&checker, &body)).await.ok();
        }
        let verdict =
            decide(&self.view.book.borrow(), body, |body| read.unwrap_or_else(|| check(&self.checker, body)));
        let Verdict::Propose(word) = verdict else { return verdict };
        let word = word.shortened(&self.view.book.borrow());
        let applied = self.agreed(word).await;
        Verdict::after(applied.as_ref(), self.view.book.borrow().version())
    }

    /// What came of this word; none: that is not known.
    async fn agreed(&self, word: Word) -> Option<Applied> {
        let term = self.view.duty.borrow().term;
        let mut news = self.view.news();
        let done = self.agreement.propose(word.write(), PROPOSED);
        let mut done = std::pin::pin!(done);
        loop {
            tokio::select! {
                biased;
                done = &mut done => return match done {
                    Done::Agreed(Outcome::Stands) => Some(Applied::Changed),
                    Done::Agreed(Outcome::Other) => Some(Applied::Other),
                    Done::Newest | Done::NotHolder => None,
                },
                _ = news.changed() => {
                    let duty = self.view.duty.borrow();
                    if !duty.is_holder || duty.term != term {
                        return None;
                    }
                }
            }
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

/// Whether a configuration is sound, and what it builds on.
fn check(checker: &OnceLock<Checker>, body: &[u8]) -> Result<Versions, String> {
    let read = checker.get_or_init(Checker::default).check(body);
    read.map(|c| Versions { base: c.base_version, version: c.config_version }).map_err(|f| f.to_string())
}

/// Keeps proving that all that is agreed on is held here.
pub async fn keep_contact(view: Rc<View>) {
    let mut every = interval(CONTACT);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        view.ask_contact();
        // What it has proven as the leader counts on when it is one no more.
        view.touch();
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
