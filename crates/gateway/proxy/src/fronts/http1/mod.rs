//! HTTP/1.1 server: connections, requests and their bodies, and shutdown. A [`RequestHandler`] defines what requests mean.

mod client;
mod request;

use super::{Budget, ClientListener};
use crate::backends::{Backends, Content, Served, StreamingBody, Upload, MAX_BODY_BYTES};
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
use request::{discard, states_length, BodyReader, Forwarded, Pace};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::info;

/// Time within which the body of a request must arrive, extended by the bytes received at the minimum rate. Counted from
/// the connect for a connection's first request, and from the head for a later one.
const BODY_TIMEOUT: Duration = Duration::from_millis(2600);
/// Minimum rate of a request body: half of the rate that clients may be required to keep.
const MIN_BODY_BYTES_PER_SECOND: usize = 32 << 10;
/// Maximum time for which a backend may not read from a streamed request body.
const UPLOAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes of a too large body that are discarded, so that the client can read the response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Time for a client to read its last response and to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of checks of a closing connection for bytes that have already arrived.
const MAX_PENDING_CHECKS: usize = 8;
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(5);
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(5);

type Reply = Response<TrackedBody>;

/// Response to a request that is not forwarded.
pub type ErrorReply = Box<Response<Payload>>;

/// Defines what requests mean: which ones need no backend, how the others are parsed, and the form of responses.
pub trait RequestHandler: 'static {
    /// Returns the response to a request that needs no backend.
    fn local_response(&self, head: &Request<IncomingBody>, draining: bool) -> Option<Response<Payload>>;

    /// Parses a request's head.
    ///
    /// # Errors
    /// The response to a request that is invalid or has no route.
    fn parse(&self, head: Parts, arrived: Instant) -> Result<Incoming, ErrorReply>;

    /// Makes the last decision on a request before it is submitted.
    ///
    /// # Errors
    /// The response to a request that is refused.
    fn admit(&self, _incoming: &mut Incoming) -> impl Future<Output = Result<(), ErrorReply>> {
        std::future::ready(Ok(()))
    }

    /// Returns the HTTP form of a final answer.
    fn reply(&self, answer: Answer) -> Response<Payload>;

    /// Returns the status for a client that stops sending a body of which a part has been sent to a backend. `status` is
    /// the default.
    fn aborted_body_status(&self, status: StatusCode) -> StatusCode {
        status
    }

    /// Returns the read timeouts of clients.
    fn client_timeouts(&self) -> Timeouts {
        Timeouts::default()
    }

    /// Returns how long clients may still connect after the shutdown request, and the maximum duration of the shutdown.
    fn shutdown_times(&self) -> (Duration, Duration) {
        (Duration::from_nanos(drain::ACCEPT_WINDOW), Duration::MAX)
    }
}

/// Serves clients on a listening socket.
pub struct Server<D> {
    handler: D,
    driver: Rc<Driver>,
    backends: Rc<Backends>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    link: Rc<Link>,
    /// Memory budget for request bodies.
    body_budget: Rc<Budget>,
    /// Maximum number of clients of the gateway. This process may have the share of its role.
    max_clients: usize,
    /// Set once shutdown has been requested.
    drain: Cell<Option<Drain>>,
    client_removed: Notify,
}

impl<D: RequestHandler> Server<D> {
    /// Returns a server without clients.
    pub fn new(
        handler: D,
        driver: Rc<Driver>,
        backends: Rc<Backends>,
        link: Rc<Link>,
        body_budget: Rc<Budget>,
        max_clients: usize,
    ) -> Self {
        let (clients, drain, client_removed) = Default::default();
        Server { handler, driver, backends, clients, link, body_budget, max_clients, drain, client_removed }
    }

    /// Whether new clients are accepted and can be served.
    pub fn takes_clients(&self) -> bool {
        !self.is_draining() && self.driver.can_serve()
    }

    /// Returns the number of accepted requests whose response has not been written yet.
    pub fn in_flight(&self) -> usize {
        let is_in_flight = |c: &&Rc<Client>| {
            let connection = c.connection.get();
            let is_answering = connection.state() == State::Answering && connection.has_unwritten();
            connection.state() == State::Processing || is_answering
        };
        self.clients.borrow().values().filter(is_in_flight).count()
    }

    fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Returns the timeout of a request that is complete now, limited while draining.
    fn wait(&self, timeout: Time) -> Time {
        self.drain.get().map_or(timeout, |drain| drain.wait(self.driver.time(Instant::now()), timeout))
    }

    /// Serves until `stop`, then drains. Returns when no client is left or the shutdown time is over.
    pub async fn accept(self: Rc<Self>, listener: ClientListener, stop: impl Future<Output = ()>) {
        let mut next_client = 0;
        let mut stop = pin!(stop);
        // The other process still serves, so this one accepts no clients until it has a server to send requests to.
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
                () = self.admit(&listener, &mut next_client) => {}
            }
        }
        let started = Instant::now();
        let (window, max_shutdown) = self.handler.shutdown_times();
        let nanos = |d: Duration| Time::try_from(d.as_nanos()).unwrap_or(Time::MAX);
        let requested_at = self.driver.time(started);
        let drain =
            Drain::with_limits(requested_at, nanos(window), self.driver.max_deadline(), nanos(max_shutdown));
        self.drain.set(Some(drain));
        info!("draining");
        let window_end = started + window;
        let handshakes_end = started + Duration::from_nanos(drain::handshake_window(nanos(window)));
        self.link.on_shutdown(&self.driver);
        if self.link.is_shared() {
            self.hand_over(window_end).await;
        } else {
            self.accept_until(listener, &mut next_client, handshakes_end, window_end).await;
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

    /// Hands over to another process, which accepts new connections from the same socket. Clients connected here may
    /// finish a first request.
    async fn hand_over(&self, window_end: Instant) {
        let max_clients = self.link.role().share_of(self.max_clients);
        self.close_all(Close::Handover);
        while self.clients.borrow().len() > max_clients && self.evict() == Some(Duration::ZERO) {
            self.client_removed.notified().await;
        }
        sleep_until(window_end).await;
    }

    /// Accepts clients until the end of the window and then closes the socket, since no other process listens on it. No
    /// connection begins after `handshakes_end`.
    async fn accept_until(
        self: &Rc<Self>,
        listener: ClientListener,
        next_client: &mut u64,
        handshakes_end: Instant,
        window_end: Instant,
    ) {
        // At once, not at the end of the window: a client whose request crosses the close retries on a new connection, and
        // must find the listener open.
        self.close_all(Close::Drain);
        self.admit_until(&listener, next_client, handshakes_end).await;
        listener.ignore_new_connections();
        self.admit_until(&listener, next_client, window_end).await;
        // Connections in the listener's queue would be reset with it.
        while timeout(Duration::ZERO, self.admit(&listener, next_client)).await.is_ok() {}
    }

    async fn admit_until(self: &Rc<Self>, listener: &ClientListener, next_client: &mut u64, end: Instant) {
        let mut end = pin!(sleep_until(end));
        loop {
            tokio::select! {
                () = &mut end => break,
                () = self.admit(listener, next_client) => {}
            }
        }
    }

    /// Accepts one client within the descriptor budget.
    async fn admit(self: &Rc<Self>, listener: &ClientListener, next_client: &mut u64) {
        while self.clients.borrow().len() >= self.link.role().share_of(self.max_clients) {
            match self.evict() {
                // The client may have sent bytes that have not been read yet.
                Some(wait) if !wait.is_zero() => drop(timeout(wait, self.client_removed.notified()).await),
                _ => self.client_removed.notified().await,
            }
        }
        match listener.accept().await {
            Ok(stream) => {
                let client = Client::new(self.driver.clone(), self.handler.client_timeouts());
                *next_client += 1;
                self.clients.borrow_mut().insert(*next_client, client.clone());
                let entry = ClientEntry { server: self.clone(), number: *next_client };
                spawn_local(async move { entry.server.serve(stream, client).await });
            }
            // Out of descriptors, or a connection reset in the accept queue. Accepting again at once would busy-loop, so
            // descriptors are freed first.
            Err(_) => {
                self.backends.drop_idle();
                self.evict();
                sleep(DESCRIPTOR_RETRY_DELAY).await;
            }
        }
    }

    /// Closes every client's connection once no response is due on it.
    fn close_all(&self, reason: Close) {
        self.clients.borrow().values().for_each(|c| c.close(reason));
    }

    /// Evicts a client that is not due a response. Returns how long the candidate is still protected, with zero if it was
    /// evicted, or None if every client is due a response.
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
            // A pipelined head that arrived with another request was not recorded.
            let is_head_recorded = client.connection.get().state() == State::Head;
            client.handle(Input::Head);
            let start = if client.connection.get().has_requested() { Instant::now() } else { accepted };
            let pace = Pace { start, grace: BODY_TIMEOUT };
            let client = client.clone();
            async move { Ok::<_, Infallible>(self.reply(request, &client, pace, is_head_recorded).await) }
        });
        let http =
            http1::Builder::new().header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES).serve_connection(
                WatchedSocket { io: TokioIo::new(stream), client: client.clone(), linger: None },
                service,
            );
        let mut http = pin!(http);
        // Re-armed when it fires, instead of being reset at every request.
        let idle = self.handler.client_timeouts().idle;
        let mut deadline = pin!(sleep(Duration::from_nanos(idle)));
        let mut pending_checks = 0;
        loop {
            tokio::select! {
                // First, so that a request that has arrived is read before a close.
                biased;
                // Errors are caused by the client: it left or sent invalid HTTP.
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

    /// Handles a request. `pace` is the minimum rate of its body; `is_head_recorded` tells whether its raw head is known.
    async fn reply(
        &self,
        request: Request<IncomingBody>,
        client: &Rc<Client>,
        pace: Pace,
        is_head_recorded: bool,
    ) -> Reply {
        let has_transfer_encoding = request.headers().contains_key(TRANSFER_ENCODING);
        let bad_request = || plain(StatusCode::BAD_REQUEST, "");
        let mut reply = if request.headers().get_all(HOST).iter().count() > 1 {
            // RFC 9112, section 3.2: another recipient could use the other Host field and route the request differently.
            bad_request()
        } else if has_transfer_encoding && is_head_recorded && states_length(&client.head.borrow()) {
            // Content-Length together with Transfer-Encoding may smuggle a second request in the body (RFC 9112,
            // section 6.1), and hyper removes the length.
            bad_request()
        } else if has_transfer_encoding && !only_chunked(request.headers()) {
            plain(StatusCode::LENGTH_REQUIRED, "")
        } else if let Some(local_response) = self.handler.local_response(&request, self.is_draining()) {
            local_response
        } else {
            self.forward(request, client, pace).await.unwrap_or_else(|reply| *reply)
        };
        // Nothing is read after these requests, because their end is ambiguous or too far away.
        let is_end_ambiguous =
            has_transfer_encoding && (!is_head_recorded || reply.status() == StatusCode::BAD_REQUEST);
        let must_close = is_end_ambiguous || matches!(reply.status().as_u16(), 408 | 411 | 413);
        let close = client.handle(Input::Reply) == Command::Answer { close: true };
        if self.is_draining() || close || must_close {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.is_answer_handed_over.set(reply.body().is_end());
        reply.map(|body| TrackedBody { body, client: client.clone() })
    }

    async fn forward(
        &self,
        request: Request<IncomingBody>,
        client: &Client,
        pace: Pace,
    ) -> Result<Response<Payload>, ErrorReply> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            // Up to `MAX_DISCARDED_BYTES` of it are discarded, so that the client can read the response.
            let _ = timeout_at(pace.start + pace.grace, discard(body)).await;
            return Err(error_reply(StatusCode::PAYLOAD_TOO_LARGE));
        }
        // Before the body is read, so that a request rejected because of its head takes no memory.
        let mut incoming = self.handler.parse(head, arrived)?;
        if body.is_end_stream() {
            incoming.request.timeout = self.wait(incoming.request.timeout);
            return self.submit(incoming, client).await;
        }
        // Boxed, so that a request without a body does not pay for its size.
        Box::pin(self.with_body(incoming, BodyReader::new(body, pace), client)).await
    }

    async fn with_body(
        &self,
        mut incoming: Incoming,
        mut body: BodyReader,
        client: &Client,
    ) -> Result<Response<Payload>, ErrorReply> {
        let (first, reservation, is_open) =
            body.read(self.body_budget.reserve()).await.map_err(error_reply)?;
        if incoming.outgoing.method == Method::GET && !first.is_empty() {
            return Err(error_reply(StatusCode::BAD_REQUEST));
        }
        // The timeout counts from the request's last byte.
        incoming.arrived = Instant::now();
        incoming.request.timeout = self.wait(incoming.request.timeout);
        // Not submitted earlier, since hundreds of incomplete requests could occupy every slot.
        if !is_open {
            incoming.outgoing.body = RefCell::new(Upload::Buffered(first, reservation));
            return self.submit(incoming, client).await;
        }
        self.handler.admit(&mut incoming).await?;
        let (id, timeout) = (incoming.request.id, incoming.request.timeout);
        let (sender, frames) = mpsc::channel(1);
        let length = body.length();
        incoming.request.body_pending = true;
        incoming.outgoing.timeout = Some(Duration::from_nanos(timeout));
        incoming.outgoing.body = RefCell::new(Upload::Streaming(StreamingBody {
            first,
            reservation: Some(reservation),
            frames,
            length,
        }));
        let mut ticket = self.driver.submit(incoming).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        let mut forwarding = Box::pin(body.forward(sender.clone()));
        let answer = tokio::select! {
            biased;
            answer = &mut ticket => {
                // The response begins before the body is complete. Its backend still receives the body.
                if is_streamed(&answer) {
                    spawn_local(finish_upload(forwarding, sender));
                }
                answer
            }
            // A client that stops before the end is due no answer: dropping the ticket ends the attempt.
            forwarded = &mut forwarding => {
                let forwarded = forwarded.map_err(|status| error_reply(self.handler.aborted_body_status(status)))?;
                if forwarded == Forwarded::Complete {
                    client.handle(Input::Accepted);
                    self.driver.body_completed(id, self.wait(timeout));
                    return Ok(self.handler.reply(ticket.await));
                }
                ticket.await
            }
        };
        let mut reply = self.handler.reply(answer);
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        Ok(reply)
    }

    /// Submits a complete request, for which an answer is due from now on.
    async fn submit(&self, mut incoming: Incoming, client: &Client) -> Result<Response<Payload>, ErrorReply> {
        self.handler.admit(&mut incoming).await?;
        let ticket = self.driver.submit(incoming).ok_or_else(|| error_reply(StatusCode::BAD_REQUEST))?;
        client.handle(Input::Accepted);
        Ok(self.handler.reply(ticket.await))
    }
}

/// Entry of a client in the server's table, removed when dropped.
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

/// Whether a response is still arriving from the backend.
fn is_streamed(answer: &Answer) -> bool {
    matches!(answer, Answer::Served(served) if matches!(served.content, Content::Stream(_)))
}

/// Continues to forward a request body whose response has begun. An upload that stops does not end the response: the
/// attempt's body stays open until the attempt ends.
async fn finish_upload(
    forwarding: impl Future<Output = Result<Forwarded, StatusCode>>,
    sender: mpsc::Sender<Bytes>,
) {
    if forwarding.await.is_err() {
        sender.closed().await;
    }
}

/// Whether the only transfer coding is `chunked`, the one that hyper decodes.
fn only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.next().is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked")) && codings.next().is_none()
}

/// Returns an empty response to a request that is not forwarded.
pub fn error_reply(status: StatusCode) -> ErrorReply {
    Box::new(plain(status, ""))
}

/// Converts a backend's response to the one sent to the client.
pub fn served_response(served: Served) -> Response<Payload> {
    let mut response = Response::new(match served.content {
        Content::Complete(bytes) => Payload::Full(Full::new(bytes)),
        Content::Stream(stream) => Payload::Stream(stream),
    });
    *response.status_mut() = served.status;
    *response.headers_mut() = served.headers;
    response
}

/// Returns a response of the gateway itself.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Payload> {
    let mut reply = Response::new(Payload::Full(Full::new(Bytes::from_static(text.as_bytes()))));
    *reply.status_mut() = status;
    reply
}
