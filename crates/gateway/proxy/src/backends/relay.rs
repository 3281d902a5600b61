//! An answer that is passed on as it comes, since it is too long to wait for.

use super::connection::{drive, is_interrupted, Connection};
use super::{Backends, Progress};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use interface::{Ending, Name};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

/// How long a server may give nothing of an answer that has begun, and a client may read nothing of it.
const BACKEND_PAUSE_TIMEOUT: Duration = Duration::from_secs(10);
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The client's end: an answer's body that is still to come. Dropping it lets the server's end stop.
pub struct Stream {
    frames: mpsc::Receiver<Bytes>,
    /// What is left of the stated length, if one is stated.
    remaining: Option<u64>,
    is_complete: bool,
}

/// The server's end.
pub struct Relay {
    pub(super) name: Name,
    pub(super) connection: Connection,
    pub(super) body: Incoming,
    /// What has come of it already.
    pub(super) first: Vec<Bytes>,
    pub(super) progress: Rc<Progress>,
    frames: mpsc::Sender<Bytes>,
    remaining: Option<u64>,
}

impl Relay {
    pub(super) fn new(
        name: &Name,
        connection: Connection,
        body: Incoming,
        first: Vec<Bytes>,
        length: Option<u64>,
        progress: &Rc<Progress>,
    ) -> (Relay, Stream) {
        let (send, frames) = mpsc::channel(1);
        let (name, progress) = (name.clone(), progress.clone());
        let stream = Stream { frames, remaining: length, is_complete: false };
        (Relay { name, connection, body, first, progress, frames: send, remaining: length }, stream)
    }

    /// Passes on what comes until it ends, one way or the other.
    pub async fn run(mut self: Box<Self>, backends: &Backends, not_past: Instant) -> Ending {
        for frame in std::mem::take(&mut self.first) {
            if let Err(end) = self.pass(frame).await {
                return end;
            }
        }
        loop {
            let Connection { io, is_closed: closed, .. } = &mut self.connection;
            let left = not_past.saturating_duration_since(Instant::now());
            let gives = backends.relay_overtime.map_or(BACKEND_PAUSE_TIMEOUT, |overtime| left.max(overtime));
            let frame = match timeout(gives, drive(io, closed, self.body.frame())).await {
                Err(_) => return Ending::TimedOut,
                Ok(Some(Some(Ok(frame)))) => frame,
                // A clean end. Without a stated length the connection's end may be it.
                Ok(Some(None)) if self.remaining.unwrap_or(0) == 0 => break,
                Ok(Some(Some(Err(error)))) if !is_interrupted(&error) => return Ending::Unreadable,
                Ok(_) => return self.progress.broken(),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Err(end) = self.pass(data).await {
                return end;
            }
        }
        // Where no length says so, an empty frame is the word that it is whole.
        if self.remaining.is_none() {
            if let Err(end) = self.pass(Bytes::new()).await {
                return end;
            }
        }
        backends.keep_after_exchange(&self.name, self.connection);
        Ending::Success
    }

    async fn pass(&mut self, data: Bytes) -> Result<(), Ending> {
        self.remaining = self.remaining.map(|left| left.saturating_sub(data.len() as u64));
        // The client has gone, or does not read.
        timeout(CLIENT_READ_TIMEOUT, self.frames.send(data))
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or(Ending::Cancelled)
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match std::task::ready!(self.frames.poll_recv(cx)) {
            Some(data) if data.is_empty() => {
                self.is_complete = true;
                Poll::Ready(None)
            }
            Some(data) => {
                self.remaining = self.remaining.map(|left| left.saturating_sub(data.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            None if self.is_end_stream() => Poll::Ready(None),
            // The client's connection ends here, so that it sees that it has not got the whole.
            None => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_complete || self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
