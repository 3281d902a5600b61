//! One attempt at one backend: a connection, the leave to write, the exchange, its end.

use super::connection::{drive, is_interrupted, Connection};
use super::relay::Relay;
use super::{
    nanos, AttemptStage, Backends, Content, Outcome, Outgoing, Progress, ANSWER_PAUSE_TIMEOUT, MAX_BODY,
    MAX_BUFFERED_ANSWER,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode, Version};
use interface::{Ending, Name};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::time::{timeout, timeout_at, Instant};

/// How far an attempt came.
pub enum ExchangeResult {
    Complete(Outcome),
    /// A good answer has begun that is to be passed on as it comes.
    Streaming(Outcome, Box<Relay>),
}

impl Backends {
    /// One attempt at one backend, given up at `not_past` if no answer to pass on has begun by then.
    pub async fn attempt(
        &self,
        name: &Name,
        place: SocketAddr,
        request: &Outgoing,
        not_past: Instant,
        progress: &Rc<Progress>,
    ) -> ExchangeResult {
        let without = |ending| ExchangeResult::Complete(Outcome::without_answer(ending));
        match timeout_at(not_past, self.exchange(name, place, request, not_past, progress)).await {
            Ok(Ok(done)) => done,
            Ok(Err(ending)) => without(ending),
            Err(_) if progress.may_have_run() => without(Ending::TimedOut),
            Err(_) => without(Ending::Unreachable),
        }
    }

    async fn exchange(
        &self,
        name: &Name,
        place: SocketAddr,
        request: &Outgoing,
        not_past: Instant,
        progress: &Rc<Progress>,
    ) -> Result<ExchangeResult, Ending> {
        let mut connection = match self.take_idle(name, place, request) {
            Some(connection) => connection,
            None => match self.connect(place).await {
                Some(connection) => connection,
                None => return Err(Ending::Unreachable),
            },
        };
        // The backend may have been told to drain, or another have come at its address, while the connection
        // came up; or nobody waits any more. Nothing is written then.
        if !(progress.report)(AttemptStage::Connected) {
            self.return_to_pool(name, connection);
            return Err(Ending::Unreachable);
        }
        let (put, rested) =
            (self.now(), connection.upstream.idle_time(self.now()).filter(|_| connection.upstream.is_used()));
        connection.upstream.begin_exchange();
        request.earlier_connections.borrow_mut().push(connection.upstream.number());
        connection.state.idle.set(false);
        connection.state.progress.replace(progress.clone());
        let wait = not_past.saturating_duration_since(Instant::now());
        // What can't be sent again is not given up for a pause in its answer.
        let pause = if request.at_most_once { wait.max(ANSWER_PAUSE_TIMEOUT) } else { ANSWER_PAUSE_TIMEOUT };
        let outgoing = request;
        let mut request = outgoing.to_backend(&*self.wire, name, wait, progress);
        // An interim answer may come long before the answer itself.
        let begun = progress.has_answer_begun.clone();
        hyper::ext::on_informational(&mut request, move |_| begun.store(false, Relaxed));
        let answer = progress.in_time(pause, connection.send_request(request)).await;
        let (head, mut body) = match answer {
            Some(Some(Ok(answer))) => answer.into_parts(),
            Some(Some(Err(error))) if !is_interrupted(&error) => return Err(Ending::Unreadable),
            Some(_) => {
                let sooner = self.now() - put < nanos(self.connect_timeout) && !progress.has_begun();
                if let Some(rested) = rested.filter(|_| sooner) {
                    let mut fresh = self.idle_limit.get();
                    fresh.on_reset(put, rested);
                    self.idle_limit.set(fresh);
                }
                return Err(progress.broken());
            }
            None => return Err(Ending::Unreadable),
        };
        let length = length(&outgoing.method, &head).ok_or(Ending::Unreadable)?;
        let echo = self.wire.echo(outgoing, &head);
        if !connection.upstream.is_answer(echo) || !self.wire.is_sound(outgoing, &head) {
            return Err(Ending::Unreadable);
        }
        if let Some(told) = self.wire.idle_time(&head) {
            connection.max_idle = nanos(told / 2);
        }
        let good = self.wire.is_good(&head);
        if length.is_some_and(|l| l > if good { MAX_BODY } else { MAX_BUFFERED_ANSWER } as u64) {
            return Err(Ending::Unreadable);
        }
        let (mut came, mut size) = (Vec::new(), 0);
        let began = Instant::now();
        while size <= MAX_BUFFERED_ANSWER && length.is_none_or(|l| l <= MAX_BUFFERED_ANSWER as u64) {
            if length.is_none() && good && size > 0 && began.elapsed() >= ANSWER_PAUSE_TIMEOUT {
                break;
            }
            let frame = if body.is_end_stream() {
                Ok(Some(None))
            } else {
                let Connection { io, is_closed: closed, .. } = &mut connection;
                timeout(pause, drive(io, closed, body.frame())).await
            };
            match frame {
                Ok(Some(None)) => {
                    self.keep_after_exchange(name, connection);
                    let whole = match came.len() {
                        0 | 1 => came.pop().unwrap_or_default(),
                        _ => Bytes::from(came.concat()),
                    };
                    let answer = Response::from_parts(head, Content::Complete(whole));
                    return Ok(ExchangeResult::Complete(self.wire.read(outgoing, name, answer)));
                }
                Ok(Some(Some(Ok(frame)))) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len();
                        came.push(data);
                    }
                }
                Ok(Some(Some(Err(error)))) if !is_interrupted(&error) => return Err(Ending::Unreadable),
                Ok(_) => return Err(progress.broken()),
                Err(_) => return Err(Ending::Unreadable),
            }
        }
        if !good {
            return Err(Ending::Unreadable);
        }
        let (relay, stream) = Relay::new(name, connection, body, came, length, progress);
        let answer = Response::from_parts(head, Content::Stream(stream));
        Ok(ExchangeResult::Streaming(self.wire.read(outgoing, name, answer), Box::new(relay)))
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
