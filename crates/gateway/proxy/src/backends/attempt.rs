//! One attempt at one backend: connect, get permission to write, exchange, finish.

use super::connection::{drive, is_interrupted, Connection};
use super::failure::AttemptFailure;
use super::relay::Relay;
use super::request::request_size;
use super::{
    nanos, AttemptStage, Backends, Content, Outcome, Outgoing, Progress, MAX_BODY_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES, RESPONSE_BUFFERING_TIME,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode, Version};
use interface::{Name, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};
use tracing::info;

/// Minimum interval of log lines about exchanges that were broken off.
const BREAK_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Result of an attempt, known when it has ended or when a response to stream has begun.
pub enum ExchangeResult {
    Complete(Outcome),
    /// A streamable response has begun.
    Streaming(Outcome, Box<Relay>),
}

impl Backends {
    /// Makes one attempt at one backend. It is given up at `deadline` if no streamable response has begun by then.
    pub async fn attempt(
        &self,
        backend: &Name,
        address: SocketAddr,
        request: &Outgoing,
        deadline: Instant,
        progress: &Rc<Progress>,
    ) -> ExchangeResult {
        let exchange = Exchange { backends: self, backend, request, progress, deadline };
        let result = timeout_at(deadline, exchange.run(address)).await;
        result.unwrap_or(Err(AttemptFailure::DeadlinePassed)).unwrap_or_else(|failure| {
            if failure.is_break(progress) {
                self.log_break(backend, progress, &failure);
            }
            ExchangeResult::Complete(Outcome::without_answer(failure.ending(progress)))
        })
    }

    /// Logs an exchange that was broken off, at most once per [`BREAK_LOG_INTERVAL`].
    fn log_break(&self, backend: &Name, progress: &Progress, failure: &AttemptFailure) {
        let count = self.breaks.get() + 1;
        self.breaks.set(count);
        let now = Instant::now();
        if self.break_logged_at.get().is_some_and(|at| now < at + BREAK_LOG_INTERVAL) {
            return;
        }
        self.break_logged_at.set(Some(now));
        let written = progress.written.get();
        let part = if progress.has_response_begun() { "within the response" } else { "before the response" };
        info!(
            %backend, written, count, cause = %failure,
            "attempts: broken off at {backend} {part}, {written} bytes written: {failure}; {count} so far"
        );
    }
}

/// Exchange with a backend: writes a request and reads its response.
struct Exchange<'a> {
    backends: &'a Backends,
    backend: &'a Name,
    request: &'a Outgoing,
    progress: &'a Rc<Progress>,
    deadline: Instant,
}

/// Start time of an exchange, and for how long its connection had been idle if it was used before.
struct ExchangeStart {
    started_at: Time,
    idle_time: Option<Time>,
}

/// Head of a valid response, and the parameters for reading its body.
struct ResponseHead {
    parts: Parts,
    /// Stated length, if any.
    length: Option<u64>,
    is_streamable: bool,
    /// Maximum pause within the body.
    pause: Duration,
}

/// Received part of a body.
#[derive(Default)]
struct ReceivedBody {
    frames: Vec<Bytes>,
    size: usize,
}

impl ReceivedBody {
    fn push(&mut self, data: Bytes) {
        self.size += data.len();
        self.frames.push(data);
    }

    fn into_bytes(mut self) -> Bytes {
        match self.frames.len() {
            0 | 1 => self.frames.pop().unwrap_or_default(),
            _ => Bytes::from(self.frames.concat()),
        }
    }
}

impl Exchange<'_> {
    async fn run(&self, address: SocketAddr) -> Result<ExchangeResult, AttemptFailure> {
        let mut connection = self.connect(address).await?;
        // During the connect the backend may have started to drain, another one may have taken over its address, or the
        // client may have left. Nothing is written then.
        if !(self.progress.report)(AttemptStage::Connected) {
            self.backends.return_to_pool(self.backend, connection);
            return Err(AttemptFailure::NotSent);
        }
        let start = self.begin(&mut connection);
        let wait = self.deadline.saturating_duration_since(Instant::now());
        let pause = self.max_pause(wait);
        let response = self.send(&mut connection, &start, wait, pause).await?;
        let (parts, body) = response.into_parts();
        let head = self.check_head(&mut connection, parts, pause)?;
        self.read_body(connection, head, body).await
    }

    /// Returns the maximum pause within the response. `wait` is the time until the deadline, which ends the attempt anyway.
    fn max_pause(&self, wait: Duration) -> Duration {
        let pause = self.backends.response_pause_timeout.unwrap_or(wait);
        // The response to a request that must not be repeated can't be had elsewhere.
        if self.request.at_most_once {
            pause.max(wait)
        } else {
            pause
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptFailure> {
        match self.backends.take_idle(self.backend, address, self.request) {
            Some(connection) => Ok(connection),
            None => self.backends.connect(address).await.ok_or(AttemptFailure::NotSent),
        }
    }

    fn begin(&self, connection: &mut Connection) -> ExchangeStart {
        let started_at = self.backends.now();
        let idle_time = connection.upstream.idle_time(started_at).filter(|_| connection.upstream.is_used());
        connection.upstream.begin_exchange();
        self.request.earlier_connections.borrow_mut().push(connection.upstream.number());
        connection.state.idle.set(false);
        connection.state.progress.replace(self.progress.clone());
        ExchangeStart { started_at, idle_time }
    }

    /// Writes the request and waits for the head of its response. `wait` is the remaining time, which the request states
    /// unless it has a timeout of its own; `pause` limits the wait for the rest of a head that has begun.
    async fn send(
        &self,
        connection: &mut Connection,
        start: &ExchangeStart,
        wait: Duration,
        pause: Duration,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let mut request =
            self.request.build_request(&*self.backends.protocol, self.backend, wait, self.progress);
        let timeout = self.backends.unacknowledged_timeout(request_size(&request));
        connection.state.unacknowledged_timeout.set(timeout);
        // An interim response (1xx) may arrive long before the final one.
        let response_begun = self.progress.response_begun.clone();
        hyper::ext::on_informational(&mut request, move |_| response_begun.store(false, Relaxed));
        match self.progress.wait_for_head(pause, connection.send_request(request)).await {
            Some(Some(Ok(response))) => Ok(response),
            Some(Some(Err(error))) if !is_interrupted(&error) => {
                Err(AttemptFailure::InvalidResponse(Some(error)))
            }
            Some(disconnect) => {
                self.record_reset(start);
                Err(AttemptFailure::Disconnected(disconnect.and_then(Result::err)))
            }
            None => Err(AttemptFailure::Paused),
        }
    }

    /// Records a disconnect. Soon after the request, it means that the backend had dropped the idle connection.
    fn record_reset(&self, start: &ExchangeStart) {
        let elapsed = self.backends.now() - start.started_at;
        let is_soon = elapsed < nanos(self.backends.connect_timeout) && !self.progress.has_response_begun();
        if let Some(idle_time) = start.idle_time.filter(|_| is_soon) {
            let mut limit = self.backends.idle_limit.get();
            limit.on_reset(start.started_at, idle_time);
            self.backends.idle_limit.set(limit);
        }
    }

    fn check_head(
        &self,
        connection: &mut Connection,
        parts: Parts,
        pause: Duration,
    ) -> Result<ResponseHead, AttemptFailure> {
        let protocol = &self.backends.protocol;
        let length = length(&self.request.method, &parts).ok_or(AttemptFailure::InvalidResponse(None))?;
        let echo = protocol.echo(self.request, &parts);
        if !connection.upstream.is_answer(echo) || !protocol.is_valid_head(self.request, &parts) {
            return Err(AttemptFailure::InvalidResponse(None));
        }
        if let Some(idle_time) = protocol.idle_time(&parts) {
            connection.max_idle = nanos(idle_time / 2);
        }
        let is_streamable = protocol.is_streamable(&parts);
        let max_length = if is_streamable { MAX_BODY_BYTES } else { MAX_BUFFERED_RESPONSE_BYTES };
        if length.is_some_and(|length| length > max_length as u64) {
            return Err(AttemptFailure::InvalidResponse(None));
        }
        Ok(ResponseHead { parts, length, is_streamable, pause })
    }

    /// Reads a short body to its end. A long one, or a slow one of unknown length, is streamed if its head allows it.
    async fn read_body(
        &self,
        mut connection: Connection,
        head: ResponseHead,
        mut body: Incoming,
    ) -> Result<ExchangeResult, AttemptFailure> {
        let mut received = ReceivedBody::default();
        let started = Instant::now();
        while received.size <= MAX_BUFFERED_RESPONSE_BYTES
            && head.length.is_none_or(|length| length <= MAX_BUFFERED_RESPONSE_BYTES as u64)
        {
            let is_slow = head.length.is_none() && received.size > 0;
            if is_slow && head.is_streamable && started.elapsed() >= RESPONSE_BUFFERING_TIME {
                break;
            }
            let frame = if body.is_end_stream() {
                Ok(Some(None))
            } else {
                let Connection { io, is_closed, .. } = &mut connection;
                timeout(head.pause, drive(io, is_closed, body.frame())).await
            };
            match frame {
                Ok(Some(None)) => {
                    self.backends.keep_after_exchange(self.backend, connection);
                    return Ok(self.complete(head.parts, received.into_bytes()));
                }
                Ok(Some(Some(Ok(frame)))) => {
                    if let Ok(data) = frame.into_data() {
                        received.push(data);
                    }
                }
                Ok(Some(Some(Err(error)))) if !is_interrupted(&error) => {
                    return Err(AttemptFailure::InvalidResponse(Some(error)));
                }
                Ok(Some(Some(Err(error)))) => return Err(AttemptFailure::Disconnected(Some(error))),
                Ok(None) => return Err(AttemptFailure::Disconnected(None)),
                Err(_) => return Err(AttemptFailure::Paused),
            }
        }
        if !head.is_streamable {
            return Err(AttemptFailure::InvalidResponse(None));
        }
        Ok(self.stream(connection, head, body, received.frames))
    }

    fn complete(&self, parts: Parts, body: Bytes) -> ExchangeResult {
        let response = Response::from_parts(parts, Content::Complete(body));
        ExchangeResult::Complete(self.backends.protocol.read(self.request, self.backend, response))
    }

    fn stream(
        &self,
        connection: Connection,
        head: ResponseHead,
        body: Incoming,
        received: Vec<Bytes>,
    ) -> ExchangeResult {
        let (relay, stream) =
            Relay::new(self.backend, connection, body, received, head.length, self.progress);
        let response = Response::from_parts(head.parts, Content::Stream(stream));
        let outcome = self.backends.protocol.read(self.request, self.backend, response);
        ExchangeResult::Streaming(outcome, Box::new(relay))
    }
}

/// Returns the stated length of a response, if any. None if the end of the response is ambiguous: two lengths, or none on
/// a connection that stays open.
fn length(method: &Method, head: &Parts) -> Option<Option<u64>> {
    // These responses end with their head, whatever length it states (RFC 9112, section 6.3).
    if method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Some(Some(0));
    }
    let mut lengths = head.headers.get_all(CONTENT_LENGTH).iter();
    let (first_length, second_length) = (lengths.next(), lengths.next());
    let has_transfer_encoding = head.headers.contains_key(TRANSFER_ENCODING);
    let is_closed_after = || {
        let connection = head.headers.get_all(CONNECTION).iter();
        let mut options = connection.filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
        head.version == Version::HTTP_10 || options.any(|w| w.trim().eq_ignore_ascii_case("close"))
    };
    match (first_length, second_length, has_transfer_encoding) {
        (Some(one), None, false) => one.to_str().ok()?.trim().parse().ok().map(Some),
        (None, None, true) => Some(None),
        (None, None, false) if is_closed_after() => Some(None),
        _ => None,
    }
}
