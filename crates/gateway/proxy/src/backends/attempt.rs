//! One attempt at one backend: a connection, the permission to write, the exchange, its end.

use super::connection::{drive, is_interrupted, Connection};
use super::relay::Relay;
use super::{
    nanos, AttemptStage, Backends, Content, Outcome, Outgoing, Progress, ANSWER_PAUSE_TIMEOUT, MAX_BODY,
    MAX_BUFFERED_ANSWER,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode, Version};
use interface::{Ending, Name, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// The result of an attempt, so far as it is known when its answer has begun.
pub enum ExchangeResult {
    Complete(Outcome),
    /// A good answer has begun that is to be streamed.
    Streaming(Outcome, Box<Relay>),
}

impl Backends {
    /// One attempt at one backend, given up at `not_past` if no answer that can be streamed has begun by then.
    pub async fn attempt(
        &self,
        backend: &Name,
        address: SocketAddr,
        request: &Outgoing,
        not_past: Instant,
        progress: &Rc<Progress>,
    ) -> ExchangeResult {
        let without = |ending| ExchangeResult::Complete(Outcome::without_answer(ending));
        let exchange = Exchange { backends: self, backend, request, progress, not_past };
        match timeout_at(not_past, exchange.run(address)).await {
            Ok(Ok(result)) => result,
            Ok(Err(ending)) => without(ending),
            Err(_) if progress.may_have_run() => without(Ending::TimedOut),
            Err(_) => without(Ending::Unreachable),
        }
    }
}

/// One exchange with a backend: a request is written, and its answer is read.
struct Exchange<'a> {
    backends: &'a Backends,
    backend: &'a Name,
    request: &'a Outgoing,
    progress: &'a Rc<Progress>,
    not_past: Instant,
}

/// When a request was written, and how long its connection had been idle if it was used before.
struct ExchangeStart {
    at: Time,
    idle_time: Option<Time>,
}

/// The head of a valid answer, and what decides on how its body is read.
struct AnswerHead {
    parts: Parts,
    /// None if no length is stated.
    length: Option<u64>,
    is_streamable: bool,
    /// A body that pauses for longer is given up.
    pause: Duration,
}

/// What has arrived of a body.
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
    async fn run(&self, address: SocketAddr) -> Result<ExchangeResult, Ending> {
        let mut connection = self.connect(address).await?;
        // While it connected the backend may have begun to drain, or another may have taken its address; or nobody
        // waits any more. Nothing is written then.
        if !(self.progress.report)(AttemptStage::Connected) {
            self.backends.return_to_pool(self.backend, connection);
            return Err(Ending::Unreachable);
        }
        let start = self.begin(&mut connection);
        let wait = self.not_past.saturating_duration_since(Instant::now());
        // What cannot be repeated is not given up for a pause in its answer.
        let pause =
            if self.request.at_most_once { wait.max(ANSWER_PAUSE_TIMEOUT) } else { ANSWER_PAUSE_TIMEOUT };
        let response = self.send(&mut connection, &start, wait, pause).await?;
        let (parts, body) = response.into_parts();
        let head = self.check_head(&mut connection, parts, pause)?;
        self.read_body(connection, head, body).await
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Ending> {
        match self.backends.take_idle(self.backend, address, self.request) {
            Some(connection) => Ok(connection),
            None => self.backends.connect(address).await.ok_or(Ending::Unreachable),
        }
    }

    fn begin(&self, connection: &mut Connection) -> ExchangeStart {
        let at = self.backends.now();
        let idle_time = connection.upstream.idle_time(at).filter(|_| connection.upstream.is_used());
        connection.upstream.begin_exchange();
        self.request.earlier_connections.borrow_mut().push(connection.upstream.number());
        connection.state.idle.set(false);
        connection.state.progress.replace(self.progress.clone());
        ExchangeStart { at, idle_time }
    }

    /// Writes the request and waits for the head of its answer.
    async fn send(
        &self,
        connection: &mut Connection,
        start: &ExchangeStart,
        wait: Duration,
        pause: Duration,
    ) -> Result<Response<Incoming>, Ending> {
        let mut request = self.request.to_backend(&*self.backends.wire, self.backend, wait, self.progress);
        // An interim answer may come long before the answer itself.
        let has_answer_begun = self.progress.has_answer_begun.clone();
        hyper::ext::on_informational(&mut request, move |_| has_answer_begun.store(false, Relaxed));
        match self.progress.in_time(pause, connection.send_request(request)).await {
            Some(Some(Ok(response))) => Ok(response),
            Some(Some(Err(error))) if !is_interrupted(&error) => Err(Ending::Unreadable),
            Some(_) => {
                self.record_reset(start);
                Err(self.progress.broken())
            }
            None => Err(Ending::Unreadable),
        }
    }

    /// A reset soon after the request means that the backend had forgotten the idle connection.
    fn record_reset(&self, start: &ExchangeStart) {
        let elapsed = self.backends.now() - start.at;
        let was_soon = elapsed < nanos(self.backends.connect_timeout) && !self.progress.has_begun();
        if let Some(idle_time) = start.idle_time.filter(|_| was_soon) {
            let mut limit = self.backends.idle_limit.get();
            limit.on_reset(start.at, idle_time);
            self.backends.idle_limit.set(limit);
        }
    }

    fn check_head(
        &self,
        connection: &mut Connection,
        parts: Parts,
        pause: Duration,
    ) -> Result<AnswerHead, Ending> {
        let wire = &self.backends.wire;
        let length = length(&self.request.method, &parts).ok_or(Ending::Unreadable)?;
        let echo = wire.echo(self.request, &parts);
        if !connection.upstream.is_answer(echo) || !wire.is_valid_head(self.request, &parts) {
            return Err(Ending::Unreadable);
        }
        if let Some(idle_time) = wire.idle_time(&parts) {
            connection.max_idle = nanos(idle_time / 2);
        }
        let is_streamable = wire.is_streamable(&parts);
        let max_length = if is_streamable { MAX_BODY } else { MAX_BUFFERED_ANSWER };
        if length.is_some_and(|length| length > max_length as u64) {
            return Err(Ending::Unreadable);
        }
        Ok(AnswerHead { parts, length, is_streamable, pause })
    }

    /// Reads a short body to its end; a long one, or one of unknown length that takes long, is streamed if it is good.
    async fn read_body(
        &self,
        mut connection: Connection,
        head: AnswerHead,
        mut body: Incoming,
    ) -> Result<ExchangeResult, Ending> {
        let mut received = ReceivedBody::default();
        let started = Instant::now();
        while received.size <= MAX_BUFFERED_ANSWER
            && head.length.is_none_or(|length| length <= MAX_BUFFERED_ANSWER as u64)
        {
            let is_slow = head.length.is_none() && received.size > 0;
            if is_slow && head.is_streamable && started.elapsed() >= ANSWER_PAUSE_TIMEOUT {
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
                Ok(Some(Some(Err(error)))) if !is_interrupted(&error) => return Err(Ending::Unreadable),
                Ok(_) => return Err(self.progress.broken()),
                Err(_) => return Err(Ending::Unreadable),
            }
        }
        if !head.is_streamable {
            return Err(Ending::Unreadable);
        }
        Ok(self.stream(connection, head, body, received.frames))
    }

    fn complete(&self, parts: Parts, body: Bytes) -> ExchangeResult {
        let answer = Response::from_parts(parts, Content::Complete(body));
        ExchangeResult::Complete(self.backends.wire.read(self.request, self.backend, answer))
    }

    fn stream(
        &self,
        connection: Connection,
        head: AnswerHead,
        body: Incoming,
        received: Vec<Bytes>,
    ) -> ExchangeResult {
        let (relay, stream) =
            Relay::new(self.backend, connection, body, received, head.length, self.progress);
        let answer = Response::from_parts(head.parts, Content::Stream(stream));
        let outcome = self.backends.wire.read(self.request, self.backend, answer);
        ExchangeResult::Streaming(outcome, Box::new(relay))
    }
}

/// The length that an answer states, if it does. None if its end is in doubt: two lengths, or none and the connection
/// stays open.
fn length(method: &Method, head: &Parts) -> Option<Option<u64>> {
    // These end with their head, whatever it states (RFC 9112, 6.3).
    if method == Method::HEAD || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Some(Some(0));
    }
    let mut lengths = head.headers.get_all(CONTENT_LENGTH).iter();
    let (first, second) = (lengths.next(), lengths.next());
    let coded = head.headers.contains_key(TRANSFER_ENCODING);
    let closes = || {
        let connection = head.headers.get_all(CONNECTION).iter();
        let mut words = connection.filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
        head.version == Version::HTTP_10 || words.any(|w| w.trim().eq_ignore_ascii_case("close"))
    };
    match (first, second, coded) {
        (Some(one), None, false) => one.to_str().ok()?.trim().parse().ok().map(Some),
        (None, None, true) => Some(None),
        (None, None, false) if closes() => Some(None),
        _ => None,
    }
}
