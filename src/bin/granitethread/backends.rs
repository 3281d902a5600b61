//! Backends: their addresses, the pool of connections to them, and attempts.
//!
//! A connection is polled by the attempt that uses it and by nothing while it is idle: dropping the attempt
//! closes it, so no late answer can reach anyone, and an exchange wakes one task.

use crate::list::{State, Target};
use bytes::Bytes;
use granitehub::{Ending, Load, Name, Scope};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{interval, timeout, timeout_at, Instant};

/// The largest body on either side.
pub const MAX_BODY: usize = 64 << 10;
const REAP_EVERY: Duration = Duration::from_secs(1);
/// Backends write an answer at once: what has begun and is not whole after this long never will be, or is
/// not worth the wait.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// The most that is read of an answer's head. It is also the largest buffer of a connection.
const HEAD_BYTES: usize = 16 << 10;
/// No customer uses so many times its rate, and no server holds so many requests: such figures are noise.
const MAX_USE: f64 = 1e3;
const MAX_LOAD: f64 = 1e6;

/// A client's request as it goes on to backends.
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub request_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub host: HeaderValue,
    pub body: Bytes,
}

/// How an attempt ended and what came back.
pub struct Outcome {
    pub ending: Ending,
    /// The whole answer of a backend that served the request.
    pub served: Option<Served>,
    /// The status by which a backend found fault with the request itself: no other would take it.
    pub turned: Option<StatusCode>,
    pub settled: f64,
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

pub struct Served {
    pub body: Bytes,
    pub content_type: Option<HeaderValue>,
    pub content_encoding: Option<HeaderValue>,
}

impl Outcome {
    pub fn without_answer(ending: Ending) -> Self {
        Outcome { ending, served: None, turned: None, settled: 0.0, metered: None, load: None }
    }
}

/// What an attempt tells on its way.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// Its connection is up. It writes only if the word that comes back is yes.
    Connected,
    /// Its last byte is out.
    Written,
    /// A part of the answer is in.
    Answering,
}

/// How far an attempt has come, counted where its bytes pass.
pub struct Progress {
    tell: Box<dyn Fn(Note) -> bool>,
    told: Cell<Option<Note>>,
    written: Cell<usize>,
    whole: Cell<usize>,
    /// Whether a part of the answer has come that is not an interim answer (1xx).
    begun: Arc<AtomicBool>,
    news: Notify,
}

impl Default for Progress {
    fn default() -> Self {
        Progress::new(|_| true)
    }
}

impl Progress {
    pub fn new(tell: impl Fn(Note) -> bool + 'static) -> Self {
        Progress {
            tell: Box::new(tell),
            told: Cell::new(None),
            written: Cell::default(),
            whole: Cell::default(),
            begun: Arc::default(),
            news: Notify::new(),
        }
    }

    /// Each once, and nothing behind the answer's beginning.
    fn note(&self, note: Note) {
        let told = self.told.get();
        if told != Some(note) && told != Some(Note::Answering) {
            self.told.set(Some(note));
            (self.tell)(note);
        }
    }

    /// Whether the last byte may be out. `whole` counts what we ask hyper to write and hyper adds at most,
    /// so a request is never taken for unwritten when it is not.
    fn may_have_run(&self) -> bool {
        let whole = self.whole.get();
        whole > 0 && self.written.get() >= whole
    }

    fn broken(&self) -> Ending {
        if self.may_have_run() {
            Ending::Cut
        } else {
            Ending::NoRoute
        }
    }

    /// Waits for the answer, and not for long once it has begun.
    async fn in_time<F: Future>(&self, waiting: F) -> Option<F::Output> {
        let mut waiting = pin!(waiting);
        loop {
            tokio::select! {
                biased;
                output = &mut waiting => return Some(output),
                () = self.news.notified() => {}
            }
            match timeout(ANSWER_TIME, &mut waiting).await {
                Ok(output) => return Some(output),
                Err(_) if self.begun.load(Relaxed) => return None,
                Err(_) => {}
            }
        }
    }
}

struct Backend {
    address: Option<SocketAddr>,
    boot_ms: u64,
    ready: bool,
    /// Warm connections, the one used last at the end.
    idle: Vec<Connection>,
}

pub struct Backends {
    table: RefCell<HashMap<Name, Backend>>,
    /// Connections that are up or coming up, idle ones among them.
    open: Rc<Cell<usize>>,
    budget: usize,
    most_units: f64,
    connect_timeout: Duration,
    idle_time: Duration,
    pub connects: Cell<u64>,
}

/// Figures that hold for all backends.
pub struct Limits {
    /// The most connections, up, coming up or idle.
    pub sockets: usize,
    /// The most units that an answer may bill.
    pub most_units: f64,
    pub connect_timeout: Duration,
    /// How long a backend leaves a connection idle.
    pub keepalive: Duration,
}

impl Backends {
    pub fn new(limits: &Limits) -> Rc<Self> {
        Rc::new(Backends {
            table: RefCell::default(),
            open: Rc::default(),
            budget: limits.sockets,
            most_units: limits.most_units.max(1.0),
            connect_timeout: limits.connect_timeout,
            // The backend counts idle time from when it wrote its answer and closes at the settings' time at
            // the latest: half of it keeps clear of requests written to a connection on its way out.
            idle_time: limits.keepalive / 2,
            connects: Cell::new(0),
        })
    }

    /// Takes in what discovery tells. Connections to an old address, an old process or a backend that wants
    /// nothing new are of no use. Returns those whose address a later one has taken over: they are gone, though
    /// discovery may say so only later, and what is meant for them would reach a cold backend unseen.
    pub fn update(&self, scope: Scope, targets: &[Target]) -> Vec<Name> {
        let mut replaced = Vec::new();
        let mut table = self.table.borrow_mut();
        if scope != Scope::Changes {
            table.retain(|name, _| targets.iter().any(|t| *t.uid == **name));
        }
        for t in targets {
            if t.state == State::Gone {
                table.remove(t.uid.as_str());
                continue;
            }
            let address = t.endpoint.parse().ok();
            let fresh = Backend { address, boot_ms: t.boot_ms, ready: false, idle: Vec::new() };
            let known = table.entry(t.uid.as_str().into()).or_insert(fresh);
            known.ready = t.state == State::Ready;
            if !known.ready || known.address != address || known.boot_ms != t.boot_ms {
                known.idle.clear();
            }
            (known.address, known.boot_ms) = (address, t.boot_ms);
        }
        let mut latest = HashMap::new();
        for (address, boot) in table.values().filter_map(|b| Some((b.address?, b.boot_ms))) {
            latest.entry(address).and_modify(|l: &mut u64| *l = boot.max(*l)).or_insert(boot);
        }
        table.retain(|name, b| {
            let gone = b.address.is_some_and(|a| b.boot_ms < latest[&a]);
            replaced.extend(gone.then(|| name.clone()));
            !gone
        });
        replaced
    }

    /// Closes connections that have been idle for long, or that the other side has closed.
    pub async fn reap(self: Rc<Self>) {
        let mut every = interval(REAP_EVERY);
        loop {
            let now = every.tick().await;
            for b in self.table.borrow_mut().values_mut() {
                b.idle.retain_mut(|c| now - c.used < self.idle_time && c.reusable());
            }
        }
    }

    /// Gives a descriptor back when they run short: the connection that has been idle for longest. Whether
    /// there was any to give.
    pub fn drop_idle(&self) -> bool {
        let mut table = self.table.borrow_mut();
        // The one used last is at the end, so a backend's oldest is its first.
        let oldest = table.values_mut().filter(|b| !b.idle.is_empty()).min_by_key(|b| b.idle[0].used);
        oldest.map(|b| b.idle.remove(0)).is_some()
    }

    fn take_idle(&self, name: &Name, place: SocketAddr) -> Option<Connection> {
        let mut table = self.table.borrow_mut();
        let backend = table.get_mut(name)?;
        let now = Instant::now();
        while let Some(mut connection) = backend.idle.pop() {
            let here = connection.address == place;
            if here && now - connection.used < self.idle_time && connection.reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, name: &Name, mut connection: Connection) {
        if !connection.reusable() {
            return;
        }
        if let Some(backend) = self.table.borrow_mut().get_mut(name) {
            if backend.ready && backend.address == Some(connection.address) {
                connection.used = Instant::now();
                backend.idle.push(connection);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        if self.open.get() >= self.budget && !self.drop_idle() {
            return None;
        }
        self.connects.set(self.connects.get() + 1);
        let slot = Slot::new(self.open.clone());
        let stream = timeout(self.connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let link = Rc::new(Link::default());
        let io = Counted { io: TokioIo::new(stream), link: link.clone() };
        let (sender, io) = http1::Builder::new().max_buf_size(HEAD_BYTES).handshake(io).await.ok()?;
        Some(Connection { sender, io, closed: false, link, address, used: Instant::now(), _slot: slot })
    }

    /// One attempt at one backend, given up at `not_past`.
    pub async fn attempt(
        &self,
        name: &Name,
        place: SocketAddr,
        request: &Outgoing,
        not_past: Instant,
        progress: &Rc<Progress>,
    ) -> Outcome {
        match timeout_at(not_past, self.exchange(name, place, request, not_past, progress)).await {
            Ok(outcome) => outcome,
            Err(_) if progress.may_have_run() => Outcome::without_answer(Ending::Late),
            Err(_) => Outcome::without_answer(Ending::NoRoute),
        }
    }

    async fn exchange(
        &self,
        name: &Name,
        place: SocketAddr,
        request: &Outgoing,
        not_past: Instant,
        progress: &Rc<Progress>,
    ) -> Outcome {
        let unreachable = || Outcome::without_answer(Ending::NoRoute);
        let mut connection = match self.take_idle(name, place) {
            Some(connection) => connection,
            None => match self.connect(place).await {
                Some(connection) => connection,
                None => return unreachable(),
            },
        };
        // The backend may have been told to drain, or another have come at its address, while the connection
        // came up; or nobody waits any more. Nothing is written then.
        if !(progress.tell)(Note::Connected) {
            self.keep(name, connection);
            return unreachable();
        }
        connection.link.idle.set(false);
        connection.link.progress.replace(progress.clone());
        let mut request = request.to_backend(not_past.saturating_duration_since(Instant::now()));
        progress.whole.set(size(&request));
        // An interim answer may come long before the answer itself.
        let begun = progress.begun.clone();
        hyper::ext::on_informational(&mut request, move |_| begun.store(false, Relaxed));
        let answer = progress.in_time(connection.answer(request)).await;
        let (head, body) = match answer {
            Some(Some(Ok(answer))) => answer.into_parts(),
            Some(Some(Err(error))) if !broke_off(&error) => return Outcome::without_answer(Ending::Spoilt),
            Some(_) => return Outcome::without_answer(progress.broken()),
            None => return Outcome::without_answer(Ending::Spoilt),
        };
        // With no stated end, two of them or one too far off the answer is spoilt: no byte of it is awaited.
        let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
        let coded = head.headers.contains_key(TRANSFER_ENCODING);
        if lengths + usize::from(coded) != 1 || body.size_hint().lower() > MAX_BODY as u64 {
            return Outcome::without_answer(Ending::Spoilt);
        }
        let body = Limited::new(body, MAX_BODY).collect();
        let body = timeout(ANSWER_TIME, drive(&mut connection.io, &mut connection.closed, body)).await;
        let body = match body {
            Ok(Some(Ok(body))) => body.to_bytes(),
            Ok(Some(Err(error))) if !broke_off(&*error) => return Outcome::without_answer(Ending::Spoilt),
            Ok(_) => return Outcome::without_answer(progress.broken()),
            Err(_) => return Outcome::without_answer(Ending::Spoilt),
        };
        self.keep(name, connection);
        self.outcome(Response::from_parts(head, body))
    }

    fn outcome(&self, answer: Response<Bytes>) -> Outcome {
        let headers = answer.headers();
        let status = answer.status();
        let not_started = headers.get("not-started").is_some_and(|v| v == "1");
        let (ending, turned) = match status.as_u16() {
            200 => (Ending::Pass, None),
            503 | 504 if not_started => (Ending::Full, None),
            400 | 404 => (Ending::Undone, Some(status)),
            _ => (Ending::Fault, None),
        };
        // What can't be right is left out, and the answer counts all the same.
        let number = |name: &str, most: f64| {
            let text = headers.get(name)?.to_str().ok()?;
            text.trim().parse::<f64>().ok().filter(|v| (0.0..=most).contains(v))
        };
        let settled = number("billed-units", self.most_units);
        let metered = number("usage-percent", 100.0 * MAX_USE);
        let load = headers.get("server-load").and_then(load);
        let served = (ending == Ending::Pass).then(|| Served {
            content_type: headers.get("content-type").cloned(),
            content_encoding: headers.get("content-encoding").cloned(),
            body: answer.body().clone(),
        });
        Outcome {
            ending,
            settled: settled.filter(|_| served.is_some()).unwrap_or(0.0),
            metered: metered.map(|percent| percent / 100.0),
            load,
            served,
            turned,
        }
    }
}

impl Outgoing {
    fn to_backend(&self, wait: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.reserve(6);
        headers.insert(HOST, self.host.clone());
        headers.insert("request-id", self.request_id.clone());
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if let Some(kind) = &self.content_type {
            headers.insert("content-type", kind.clone());
        }
        if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
            headers.insert("request-timeout", wait);
        }
        if self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        request
    }
}

/// The bytes of a request on the wire: all that we ask for, with nothing of what hyper may add.
fn size(request: &Request<Full<Bytes>>) -> usize {
    let line = request.method().as_str().len() + request.uri().path().len() + " HTTP/1.1\r\n".len() + 1;
    let query = request.uri().query().map_or(0, |q| q.len() + 1);
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = request.body().size_hint().exact().unwrap_or(0) as usize;
    line + query + headers + 2 + body
}

fn load(report: &HeaderValue) -> Option<Load> {
    #[derive(Deserialize)]
    struct Report {
        inflight: Option<f64>,
        queue: Option<f64>,
        latency_ms: Option<f64>,
    }
    let r: Report = serde_json::from_slice(report.as_bytes()).ok()?;
    let sound = |figure: Option<f64>| figure.filter(|v| (0.0..=MAX_LOAD).contains(v));
    Some(Load { inflight: sound(r.inflight), queue: sound(r.queue), latency_ms: sound(r.latency_ms) })
}

/// A connection's place in the descriptor budget.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Slot(open)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

type Sender = SendRequest<Full<Bytes>>;

struct Connection {
    sender: Sender,
    io: http1::Connection<Counted, Full<Bytes>>,
    closed: bool,
    link: Rc<Link>,
    address: SocketAddr,
    used: Instant,
    _slot: Slot,
}

impl Connection {
    /// Whether it can take another request. Looks for the other side's close, and for bytes that belong to
    /// no request, first.
    fn reusable(&mut self) -> bool {
        self.link.idle.set(true);
        let mut cx = Context::from_waker(Waker::noop());
        self.closed = self.closed || Pin::new(&mut self.io).poll(&mut cx).is_ready();
        !self.closed && self.sender.is_ready()
    }

    async fn answer(&mut self, request: Request<Full<Bytes>>) -> Option<hyper::Result<Response<Incoming>>> {
        let answer = self.sender.send_request(request);
        drive(&mut self.io, &mut self.closed, answer).await
    }
}

/// Whether the other side ended the connection in the middle of an answer; otherwise what it sent can't be
/// read.
fn broke_off(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(e) = cause {
        if let Some(e) = e.downcast_ref::<io::Error>() {
            return !matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        }
        if e.downcast_ref::<hyper::Error>().is_some_and(|e| e.is_incomplete_message() || e.is_canceled()) {
            return true;
        }
        cause = e.source();
    }
    false
}

/// Polls a connection along with what waits for it. None if the connection ended and left it waiting.
async fn drive<F: Future>(
    io: &mut http1::Connection<Counted, Full<Bytes>>,
    closed: &mut bool,
    waiting: F,
) -> Option<F::Output> {
    let mut waiting = pin!(waiting);
    std::future::poll_fn(|cx| {
        *closed = *closed || Pin::new(&mut *io).poll(cx).is_ready();
        match waiting.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if *closed => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// What a connection's owner and its socket share.
#[derive(Default)]
struct Link {
    /// Of the current attempt.
    progress: RefCell<Rc<Progress>>,
    idle: Cell<bool>,
}

/// A socket that counts what passes on the current attempt's account.
struct Counted {
    io: TokioIo<TcpStream>,
    link: Rc<Link>,
}

impl Counted {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &written {
            let progress = self.link.progress.borrow();
            progress.written.set(progress.written.get() + n);
            if progress.may_have_run() {
                progress.note(Note::Written);
            }
        }
        written
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.link.idle.get() {
            // The runtime may not know yet that something came, so the socket itself is asked: a second copy
            // of the last answer would be taken for the answer to the next request. Whatever it is, it ends
            // the connection.
            let mut one = [MaybeUninit::uninit()];
            return match SockRef::from(self.io.inner()).peek(&mut one) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
                _ => Poll::Ready(Ok(())),
            };
        }
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            let progress = self.link.progress.borrow();
            progress.note(Note::Answering);
            progress.begun.store(true, Relaxed);
            progress.news.notify_one();
        }
        read
    }
}

impl Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpSocket};

    fn outgoing(body: usize) -> Outgoing {
        Outgoing {
            method: Method::POST,
            uri: Uri::from_static("/api?x=1"),
            request_id: HeaderValue::from_static("9b1f03aa5c7e2d41"),
            idempotency_key: Some(HeaderValue::from_static("k")),
            content_type: None,
            host: HeaderValue::from_static("origin.svc"),
            body: Bytes::from(vec![b'x'; body]),
        }
    }

    impl Backends {
        fn address(&self, name: &Name) -> Option<SocketAddr> {
            self.table.borrow().get(name).filter(|b| b.ready).and_then(|b| b.address)
        }
    }

    fn backends(address: SocketAddr) -> Backends {
        let backend = Backend { address: Some(address), boot_ms: 0, ready: true, idle: Vec::new() };
        Backends {
            table: RefCell::new(HashMap::from([("s-1".into(), backend)])),
            open: Rc::default(),
            budget: 10,
            most_units: 8.0,
            connect_timeout: Duration::from_secs(5),
            idle_time: Duration::from_secs(5),
            connects: Cell::new(0),
        }
    }

    /// A new backend at the address of an old one, which discovery has not yet called gone.
    #[test]
    fn a_backend_whose_address_has_a_new_owner_is_gone() {
        let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let b = backends(address);
        let target = |uid: &str, boot_ms: u64| {
            let text =
                format!(r#"{{"uid":"{uid}","endpoint":"{address}","state":"Ready","boot_ms":{boot_ms}}}"#);
            serde_json::from_str::<Target>(&text).unwrap()
        };
        assert!(b.update(Scope::Changes, &[target("s-1", 0)]).is_empty());
        assert_eq!(b.update(Scope::Changes, &[target("s-2", 5)]), ["s-1".into()]);
        assert_eq!((b.address(&"s-1".into()), b.address(&"s-2".into())), (None, Some(address)));
        // The old one's entry once more, as in a whole list: the later start counts, whatever the order.
        assert_eq!(b.update(Scope::Full, &[target("s-1", 0), target("s-2", 5)]), ["s-1".into()]);
        assert_eq!(b.update(Scope::Full, &[target("s-2", 5), target("s-1", 0)]), ["s-1".into()]);
        assert_eq!(b.update(Scope::Full, &[target("s-2", 5), target("s-3", 5)]), Vec::<Name>::new());
    }

    async fn attempt(b: &Backends, request: &Outgoing) -> (Ending, Rc<Progress>) {
        let progress = Rc::default();
        let limit = Instant::now() + Duration::from_secs(20);
        let place = b.address(&"s-1".into()).unwrap();
        (b.attempt(&"s-1".into(), place, request, limit, &progress).await.ending, progress)
    }

    /// What `size` says is what reaches the backend, to the byte: too much would call a request unwritten
    /// that has run.
    #[tokio::test]
    async fn the_size_of_a_request_is_what_is_written() {
        for body in [0, 5, MAX_BODY] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (b, request) = (backends(listener.local_addr().unwrap()), outgoing(body));
            let backend = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
                loop {
                    let n = stream.read(&mut buffer).await.unwrap();
                    got.extend_from_slice(&buffer[..n]);
                    let head = got.windows(4).position(|w| w == b"\r\n\r\n");
                    if head.is_some_and(|h| got.len() == h + 4 + body) {
                        break;
                    }
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                got.len()
            };
            let ((ending, progress), got) = tokio::join!(attempt(&b, &request), backend);
            assert_eq!((ending, progress.whole.get(), progress.written.get()), (Ending::Pass, got, got));
        }
    }

    /// A connection that breaks with part of the request written: it never ran.
    #[tokio::test]
    async fn a_request_broken_before_its_last_byte_never_ran() {
        let socket = TcpSocket::new_v4().unwrap();
        // Small buffers, so that the rest of the body can't be written.
        socket.set_recv_buffer_size(2048).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(8).unwrap();
        let b = backends(listener.local_addr().unwrap());
        let request = outgoing(64 << 20);
        let backend = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut [0; 100]).await.unwrap();
        };
        let ((ending, progress), ()) = tokio::join!(attempt(&b, &request), backend);
        assert_eq!(ending, Ending::NoRoute);
        assert!(progress.written.get() > 0 && !progress.may_have_run());
    }

    /// The header is the simulator's figure less 1, in percent; units are the true ones.
    #[test]
    fn the_meter_and_the_bill_reach_the_module_in_its_units() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let b = backends(listener.local_addr().unwrap());
        let answer = |status: u16| {
            let answer = Response::builder().status(status).header("usage-percent", "85");
            b.outcome(answer.header("billed-units", "3").body(Bytes::from_static(b"x")).unwrap())
        };
        let good = answer(200);
        assert_eq!((good.metered, good.settled, good.ending), (Some(0.85), 3.0, Ending::Pass));
        let bad = answer(500);
        assert_eq!((bad.metered, bad.settled, bad.ending), (Some(0.85), 0.0, Ending::Fault));
        assert!(bad.served.is_none());
    }
}
