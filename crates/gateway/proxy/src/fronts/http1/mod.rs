//! HTTP/1.1: connections, requests and their bodies, and shutdown. What a request means its [`RequestHandler`] defines.

mod client;
mod request;

use super::Budget;
use crate::backends::{Backends, Content, Open, Served, Upload, MAX_BODY};
use crate::driver::{Answer, Driver, Incoming};
use crate::handover::Link;
use bytes::Bytes;
pub use client::Payload;
use client::{Client, PendingBytes, TrackedBody, WatchedSocket};
use http_body_util::Full;
use hyper::body::{Body, Incoming as IncomingBody};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use interface::Time;
use lifecycle::connection::{self, Command, Input, State, Timeouts};
use lifecycle::{drain, Close, Connection, Drain};
use request::{discard, states_length, Coming, Pace};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::info;

/// By so long after connecting the first request is whole, body and all; a later one, after its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(2600);
/// Slower than this a body is not awaited: half of what clients may be held to.
const MIN_BODY_RATE: usize = 32 << 10;
/// So long a server may read nothing of a body that is passed on to it.
const UPLOAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Of a body that is too large so much is read, so that the client gets to read the answer.
const MAX_DISCARD: usize = 1 << 20;
/// So long a client is left to read its last answer and to close.
const LINGER: Duration = Duration::from_millis(500);
const HEAD_BYTES: usize = 16 << 10;
/// How often a closing connection is checked for bytes that have already arrived.
const MAX_PENDING_CHECKS: usize = 8;
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(5);
const EMFILE_PAUSE: Duration = Duration::from_millis(5);

type Reply = Response<TrackedBody>;

/// The answer to a request that is not passed on.
pub type ErrorReply = Box<Response<Payload>>;

/// What requests mean: which are answered without a backend, what the others ask for, and the form of answers.
pub trait RequestHandler: 'static {
    /// The answer to a request that needs no backend.
    fn local_response(&self, head: &Request<IncomingBody>, draining: bool) -> Option<Response<Payload>>;

    /// Reads a request's head.
    ///
    /// # Errors
    /// The answer to a request that is invalid, or has no route.
    fn parse(&self, head: Parts, arrived: Instant) -> Result<Incoming, ErrorReply>;

    /// The last decision on a complete request, before it is submitted.
    ///
    /// # Errors
    /// The answer to a request that is refused.
    fn admit(&self, _incoming: &mut Incoming) -> impl Future<Output = Result<(), ErrorReply>> {
        std::future::ready(Ok(()))
    }

    /// The HTTP form of a final answer.
    fn reply(&self, answer: Answer) -> Response<Payload>;

    /// What a client is told that stops in the middle of a body of which a part has gone to a backend; this is the
    /// usual.
    fn aborted_body_status(&self, status: StatusCode) -> StatusCode {
        status
    }

    /// How long clients may be silent.
    fn client_timeouts(&self) -> Timeouts {
        Timeouts::default()
    }

    /// How long clients may still connect after the shutdown request, and how long shutdown may take in all.
    fn shutdown_times(&self) -> (Duration, Duration) {
        (Duration::from_nanos(drain::ACCEPT_WINDOW), Duration::MAX)
    }
}

/// Serves clients on a listening socket.
pub struct Server<D> {
    door: D,
    driver: Rc<Driver>,
    backends: Rc<Backends>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    link: Rc<Link>,
    /// Memory for request bodies.
    body_budget: Rc<Budget>,
    /// The most clients of one gateway; this process has its role's share.
    max_clients: usize,
    /// Set once shutdown has been requested.
    drain: Cell<Option<Drain>>,
    client_removed: Notify,
}

impl<D: RequestHandler> Server<D> {
    /// A server without clients.
    pub fn new(
        door: D,
        driver: Rc<Driver>,
        backends: Rc<Backends>,
        link: Rc<Link>,
        body_budget: Rc<Budget>,
        max_clients: usize,
    ) -> Self {
        let (clients, drain, client_removed) = Default::default();
        Server { door, driver, backends, clients, link, body_budget, max_clients, drain, client_removed }
    }

    /// Whether new clients are served.
    pub fn takes_clients(&self) -> bool {
        !self.is_draining() && self.driver.can_serve()
    }

    /// Accepted requests whose answer is not written yet.
    pub fn in_flight(&self) -> usize {
        let open = |c: &&Rc<Client>| {
            let connection = c.connection.get();
            let is_answering = connection.state() == State::Answering && connection.has_unwritten();
            connection.state() == State::Processing || is_answering
        };
        self.clients.borrow().values().filter(open).count()
    }

    fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// How long a request may wait that is complete now.
    fn wait(&self, timeout: Time) -> Time {
        self.drain.get().map_or(timeout, |drain| drain.wait(self.driver.time(Instant::now()), timeout))
    }

    /// Serves until `stop`, then shuts down; returns when no client is left.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut next = 0;
        let mut stop = pin!(stop);
        // The other process serves: this one accepts no clients until it can too.
        while self.link.is_shared() && !self.driver.can_serve() {
            tokio::select! {
                () = &mut stop => return,
                () = sleep(LIST_POLL_INTERVAL) => {}
            }
        }
        loop {
            tokio::select! {
                biased;
                () = &mut stop, if !self.is_draining() => break,
                () = self.admit(&listener, &mut next) => {}
            }
        }
        let started = Instant::now();
        let (window, most) = self.door.shutdown_times();
        let nanos = |d: Duration| Time::try_from(d.as_nanos()).unwrap_or(Time::MAX);
        let requested_at = self.driver.time(started);
        let drain = Drain::with_limits(requested_at, nanos(window), self.driver.max_deadline(), nanos(most));
        self.drain.set(Some(drain));
        info!("draining");
        let window_end = started + window;
        self.link.on_shutdown(&self.driver);
        if self.link.is_shared() {
            self.hand_over(window_end).await;
        } else {
            self.accept_until(listener, &mut next, window_end).await;
        }
        self.close_all(Close::Drain);
        let mut last = pin!(sleep_until(self.driver.instant(drain.end())));
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.client_removed.notified() => {}
                () = &mut last => break,
            }
        }
        let ms = started.elapsed().as_millis() as u64;
        info!(ms, "drained in {ms} ms");
    }

    /// Another process accepts from the same socket and gets the new connections. Clients that are connected here may
    /// finish a first request.
    async fn hand_over(&self, window_end: Instant) {
        let max_clients = self.link.role().share_of(self.max_clients);
        self.close_all(Close::Handover);
        while self.clients.borrow().len() > max_clients && self.evict() == Some(Duration::ZERO) {
            self.client_removed.notified().await;
        }
        sleep_until(window_end).await;
    }

    /// No other process listens here: clients are accepted until the end of the window, then the socket is closed.
    async fn accept_until(self: &Rc<Self>, listener: TcpListener, next: &mut u64, window_end: Instant) {
        // At once, not at the end of the window: a request that crosses the close is sent again on a new connection,
        // and must find the listener open.
        self.close_all(Close::Drain);
        let mut window = pin!(sleep_until(window_end));
        loop {
            tokio::select! {
                () = &mut window => break,
                () = self.admit(&listener, next) => {}
            }
        }
        // Connections in the listener's queue would be reset with it.
        while timeout(Duration::ZERO, self.admit(&listener, next)).await.is_ok() {}
    }

    /// Accepts one client within the descriptor budget.
    async fn admit(self: &Rc<Self>, listener: &TcpListener, next: &mut u64) {
        while self.clients.borrow().len() >= self.link.role().share_of(self.max_clients) {
            match self.evict() {
                // Bytes that it has sent may not have been read yet.
                Some(wait) if !wait.is_zero() => drop(timeout(wait, self.client_removed.notified()).await),
                _ => self.client_removed.notified().await,
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let client = Client::new(self.driver.clone(), self.door.client_timeouts());
                *next += 1;
                self.clients.borrow_mut().insert(*next, client.clone());
                let entry = ClientEntry { server: self.clone(), number: *next };
                spawn_local(async move { entry.server.serve(stream, client).await });
            }
            // Out of descriptors, or a connection that was reset in the queue. Accepting again at once would spin:
            // descriptors are freed first.
            Err(_) => {
                self.backends.drop_idle();
                self.evict();
                sleep(EMFILE_PAUSE).await;
            }
        }
    }

    /// Closes every client's connection once no answer is due on it.
    fn close_all(&self, why: Close) {
        self.clients.borrow().values().for_each(|c| c.close(why));
    }

    /// Evicts a client. None if every client is due an answer; else how long that one is still protected.
    fn evict(&self) -> Option<Duration> {
        let clients = self.clients.borrow();
        let connections: Vec<(&Rc<Client>, Connection)> =
            clients.values().map(|c| (c, c.connection.get())).collect();
        let now = self.driver.time(Instant::now());
        let (client, wait) =
            connection::eviction_candidate(connections.iter().map(|(c, connection)| (*c, connection)), now)?;
        if wait == 0 {
            client.close(Close::Evict);
        }
        Some(Duration::from_nanos(wait))
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream, client: Rc<Client>) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let accepted = Instant::now();
        let service = service_fn(|request| {
            // A head that arrived behind another request was not recorded.
            let is_head_recorded = client.connection.get().state() == State::Head;
            client.handle(Input::Head);
            let start = if client.connection.get().has_requested() { Instant::now() } else { accepted };
            let pace = Pace { start, grace: BODY_TIMEOUT };
            let client = client.clone();
            async move { Ok::<_, Infallible>(self.reply(request, &client, pace, is_head_recorded).await) }
        });
        let http = http1::Builder::new().header_read_timeout(None).max_buf_size(HEAD_BYTES).serve_connection(
            WatchedSocket { io: TokioIo::new(stream), client: client.clone(), linger: None },
            service,
        );
        let mut http = pin!(http);
        // Checked again when it would be due, not reset with every request.
        let idle = self.door.client_timeouts().idle;
        let mut deadline = pin!(sleep(Duration::from_nanos(idle)));
        let mut pending_checks = 0;
        loop {
            tokio::select! {
                // First, so that a request that has arrived is read before a close.
                biased;
                // Errors are the client's: it left, or sent no valid HTTP.
                _ = http.as_mut() => return,
                () = client.close.notified() => {}
                () = &mut deadline => {
                    let now = self.driver.time(Instant::now());
                    let remaining = client.connection.get().read_deadline().map_or(idle, |at| at.saturating_sub(now));
                    if remaining == 0 {
                        return;
                    }
                    deadline.as_mut().reset(Instant::now() + Duration::from_nanos(remaining));
                    continue;
                }
            }
            // Bytes that have arrived are read before a close: the client wrote them to an open connection.
            if pending_checks < MAX_PENDING_CHECKS
                && matches!(client.connection.get().state(), State::Idle | State::Head)
            {
                pending_checks += 1;
                client.pending_bytes.set(PendingBytes::Unknown);
                if std::future::poll_fn(|cx| Poll::Ready(http.as_mut().poll(cx).is_ready())).await {
                    return;
                }
                if client.pending_bytes.take() == PendingBytes::Some {
                    yield_now().await;
                    client.close.notify_one();
                    continue;
                }
            }
            let reason = client.close_reason.get().unwrap_or(Close::Drain);
            match client.handle(Input::Close(reason)) {
                Command::Finish => http.as_mut().graceful_shutdown(),
                Command::None if client.connection.get().state() != State::Closed => {}
                _ => return,
            }
        }
    }

    /// `pace`: how fast the request's body must arrive. `is_head_recorded`: whether its head is known byte by byte.
    async fn reply(
        &self,
        request: Request<IncomingBody>,
        client: &Rc<Client>,
        pace: Pace,
        is_head_recorded: bool,
    ) -> Reply {
        let coded = request.headers().contains_key(TRANSFER_ENCODING);
        let bad = || plain(StatusCode::BAD_REQUEST, "");
        let mut reply = if request.headers().get_all(HOST).iter().count() > 1 {
            // RFC 9112, section 3.2: a reader of the other one would take the request for another host's.
            bad()
        } else if coded && is_head_recorded && states_length(&client.head.borrow()) {
            // A length beside a coding may hide a second request in the body (RFC 9112, section 6.1), and hyper drops
            // it.
            bad()
        } else if coded && !only_chunked(request.headers()) {
            plain(StatusCode::LENGTH_REQUIRED, "")
        } else if let Some(own) = self.door.local_response(&request, self.is_draining()) {
            own
        } else {
            self.pass(request, client, pace).await.unwrap_or_else(|reply| *reply)
        };
        // After these nothing more is read: the end of the request is in doubt, or far away.
        let is_end_in_doubt = coded && (!is_head_recorded || reply.status() == StatusCode::BAD_REQUEST);
        let must_close = is_end_in_doubt || matches!(reply.status().as_u16(), 408 | 411 | 413);
        let close = client.handle(Input::Reply) == Command::Answer { close: true };
        if self.is_draining() || close || must_close {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.is_answer_handed_over.set(reply.body().is_end());
        reply.map(|body| TrackedBody { body, client: client.clone() })
    }

    async fn pass(
        &self,
        request: Request<IncomingBody>,
        client: &Client,
        pace: Pace,
    ) -> Result<Response<Payload>, ErrorReply> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MAX_BODY as u64 {
            // Most of it is discarded, so that the client gets to read the answer.
            let _ = timeout_at(pace.start + pace.grace, discard(body)).await;
            return Err(error_reply(StatusCode::PAYLOAD_TOO_LARGE));
        }
        // Before the body: a request that is refused by its head takes no memory.
        let mut incoming = self.door.parse(head, arrived)?;
        if body.is_end_stream() {
            incoming.request.timeout = self.wait(incoming.request.timeout);
            return self.submit(incoming, client).await;
        }
        // Boxed: a request without a body does not pay for its size.
        Box::pin(self.with_body(incoming, Coming::new(body, pace), client)).await
    }

    async fn with_body(
        &self,
        mut incoming: Incoming,
        mut body: Coming,
        client: &Client,
    ) -> Result<Response<Payload>, ErrorReply> {
        let (first, reservation, open) = body.read(self.body_budget.reserve()).await.map_err(error_reply)?;
        if incoming.outgoing.method == Method::GET && !first.is_empty() {
            return Err(error_reply(StatusCode::BAD_REQUEST));
        }
        // Its timeout counts from its last byte.
        incoming.arrived = Instant::now();
        incoming.request.timeout = self.wait(incoming.request.timeout);
        // Not submitted earlier: hundreds of incomplete requests would occupy every slot.
        if !open {
            incoming.outgoing.body = RefCell::new(Upload::Buffered(first, reservation));
            return self.submit(incoming, client).await;
        }
        self.door.admit(&mut incoming).await?;
        let (id, timeout) = (incoming.request.id, incoming.request.timeout);
        let (send, rest) = mpsc::channel(1);
        let length = body.length();
        incoming.request.body_pending = true;
        incoming.outgoing.timeout = Some(Duration::from_nanos(timeout));
        incoming.outgoing.body =
            RefCell::new(Upload::Open(Open { first, part: Some(reservation), rest, length }));
        let mut ticket = self.driver.submit(incoming).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        tokio::select! {
            biased;
            // Answered before it is complete: the rest is not needed.
            answer = &mut ticket => {
                let mut reply = self.door.reply(answer);
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(reply);
            }
            // A client that stops in the middle is due nothing: dropping the ticket ends the attempt.
            passed = body.pass(&send) => passed.map_err(|status| error_reply(self.door.aborted_body_status(status)))?,
        }
        client.handle(Input::Accepted);
        self.driver.body_completed(id, self.wait(timeout));
        Ok(self.door.reply(ticket.await))
    }

    /// Submits a complete request: from here on an answer is due.
    async fn submit(&self, mut incoming: Incoming, client: &Client) -> Result<Response<Payload>, ErrorReply> {
        self.door.admit(&mut incoming).await?;
        let ticket = self.driver.submit(incoming).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        client.handle(Input::Accepted);
        Ok(self.door.reply(ticket.await))
    }
}

/// A client's entry in the server's table, removed when dropped.
struct ClientEntry<D: RequestHandler> {
    server: Rc<Server<D>>,
    number: u64,
}

impl<D: RequestHandler> Drop for ClientEntry<D> {
    fn drop(&mut self) {
        self.server.clients.borrow_mut().remove(&self.number);
        self.server.client_removed.notify_one();
    }
}

/// Whether the only coding is the one that hyper decodes.
fn only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.next().is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked")) && codings.next().is_none()
}

/// An empty answer to a request that is not passed on.
pub fn error_reply(status: StatusCode) -> ErrorReply {
    Box::new(plain(status, ""))
}

/// A backend's answer as its client gets it.
pub fn served_response(served: Served) -> Response<Payload> {
    let mut response = Response::new(match served.content {
        Content::Complete(bytes) => Payload::Full(Full::new(bytes)),
        Content::Stream(stream) => Payload::Stream(stream),
    });
    *response.status_mut() = served.status;
    *response.headers_mut() = served.headers;
    response
}

/// An answer of the gateway itself.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Payload> {
    let mut reply = Response::new(Payload::Full(Full::new(Bytes::from_static(text.as_bytes()))));
    *reply.status_mut() = status;
    reply
}
