//! One attempt at one backend: a connection, the leave to write, the exchange, its end.

use super::connection::{broke_off, drive};
use super::request::size;
use super::{Backends, Note, Outcome, Outgoing, Progress, ANSWER_TIME, MAX_BODY};
use granitehub::{Ending, Name};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::Response;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::time::{timeout, timeout_at, Instant};

impl Backends {
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
        Outcome::read(Response::from_parts(head, body), self.most_units)
    }
}
