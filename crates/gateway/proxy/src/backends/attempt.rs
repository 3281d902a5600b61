//! One attempt at one backend: a connection, the leave to write, the exchange, its end.

use super::connection::{broke_off, drive, Connection};
use super::relay::Relay;
use super::{nanos, Backends, Content, Note, Outcome, Outgoing, Progress, ANSWER_TIME, MAX_BODY, WHOLE};
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
pub enum Exchanged {
    Over(Outcome),
    /// A good answer has begun that is to be passed on as it comes.
    Begun(Outcome, Box<Relay>),
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
    ) -> Exchanged {
        let without = |ending| Exchanged::Over(Outcome::without_answer(ending));
        match timeout_at(not_past, self.exchange(name, place, request, not_past, progress)).await {
            Ok(Ok(done)) => done,
            Ok(Err(ending)) => without(ending),
            Err(_) if progress.may_have_run() => without(Ending::Late),
            Err(_) => without(Ending::NoRoute),
        }
    }

    async fn exchange(
        &self,
        name: &Name,
        place: SocketAddr,
        request: &Outgoing,
        not_past: Instant,
        progress: &Rc<Progress>,
    ) -> Result<Exchanged, Ending> {
        let mut connection = match self.take_idle(name, place, request) {
            Some(connection) => connection,
            None => match self.connect(place).await {
                Some(connection) => connection,
                None => return Err(Ending::NoRoute),
            },
        };
        // The backend may have been told to drain, or another have come at its address, while the connection
        // came up; or nobody waits any more. Nothing is written then.
        if !(progress.tell)(Note::Connected) {
            self.put_by(name, connection);
            return Err(Ending::NoRoute);
        }
        let (put, rested) =
            (self.now(), connection.line.rested(self.now()).filter(|_| connection.line.is_used()));
        connection.line.carry();
        request.earlier.borrow_mut().push(connection.line.number());
        connection.link.idle.set(false);
        connection.link.progress.replace(progress.clone());
        let wait = not_past.saturating_duration_since(Instant::now());
        // What can't be sent again is not given up for a pause in its answer.
        let pause = if request.at_most_once { wait.max(ANSWER_TIME) } else { ANSWER_TIME };
        let outgoing = request;
        let mut request = outgoing.to_backend(&*self.wire, name, wait, progress);
        // An interim answer may come long before the answer itself.
        let begun = progress.begun.clone();
        hyper::ext::on_informational(&mut request, move |_| begun.store(false, Relaxed));
        let answer = progress.in_time(pause, connection.answer(request)).await;
        let (head, mut body) = match answer {
            Some(Some(Ok(answer))) => answer.into_parts(),
            Some(Some(Err(error))) if !broke_off(&error) => return Err(Ending::Spoilt),
            Some(_) => {
                let sooner = self.now() - put < nanos(self.connect_timeout) && !progress.has_begun();
                if let Some(rested) = rested.filter(|_| sooner) {
                    let mut fresh = self.fresh.get();
                    fresh.lost(put, rested);
                    self.fresh.set(fresh);
                }
                return Err(progress.broken());
            }
            None => return Err(Ending::Spoilt),
        };
        let length = length(&outgoing.method, &head).ok_or(Ending::Spoilt)?;
        let echo = self.wire.echo(outgoing, &head);
        if !connection.line.is_answer(echo) || !self.wire.is_sound(outgoing, &head) {
            return Err(Ending::Spoilt);
        }
        if let Some(told) = self.wire.idle_time(&head) {
            connection.rest = nanos(told / 2);
        }
        let good = self.wire.is_good(&head);
        if length.is_some_and(|l| l > if good { MAX_BODY } else { WHOLE } as u64) {
            return Err(Ending::Spoilt);
        }
        let (mut came, mut size) = (Vec::new(), 0);
        let began = Instant::now();
        while size <= WHOLE && length.is_none_or(|l| l <= WHOLE as u64) {
            if length.is_none() && good && size > 0 && began.elapsed() >= ANSWER_TIME {
                break;
            }
            let frame = if body.is_end_stream() {
                Ok(Some(None))
            } else {
                let Connection { io, closed, .. } = &mut connection;
                timeout(pause, drive(io, closed, body.frame())).await
            };
            match frame {
                Ok(Some(None)) => {
                    self.keep(name, connection);
                    let whole = match came.len() {
                        0 | 1 => came.pop().unwrap_or_default(),
                        _ => Bytes::from(came.concat()),
                    };
                    let answer = Response::from_parts(head, Content::Whole(whole));
                    return Ok(Exchanged::Over(self.wire.read(outgoing, name, answer)));
                }
                Ok(Some(Some(Ok(frame)))) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len();
                        came.push(data);
                    }
                }
                Ok(Some(Some(Err(error)))) if !broke_off(&error) => return Err(Ending::Spoilt),
                Ok(_) => return Err(progress.broken()),
                Err(_) => return Err(Ending::Spoilt),
            }
        }
        if !good {
            return Err(Ending::Spoilt);
        }
        let (relay, stream) = Relay::new(name, connection, body, came, length, progress);
        let answer = Response::from_parts(head, Content::Stream(stream));
        Ok(Exchanged::Begun(self.wire.read(outgoing, name, answer), Box::new(relay)))
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
