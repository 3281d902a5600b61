//! Streaming of responses that are too long, or take too long, to be buffered.

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

/// Maximum pause of a backend within a response, and maximum time for which a client may not read from it.
const BACKEND_PAUSE_TIMEOUT: Duration = Duration::from_secs(10);
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Client side of a streamed response: the body that is still arriving. Dropping it stops the `Relay`.
pub struct Stream {
    frames: mpsc::Receiver<Bytes>,
    /// Remaining bytes of the stated length, if any.
    remaining: Option<u64>,
    is_complete: bool,
}

/// Backend side of a streamed response.
pub struct Relay {
    pub(super) name: Name,
    pub(super) connection: Connection,
    pub(super) body: Incoming,
    /// Frames received before streaming started.
    pub(super) received: Vec<Bytes>,
    pub(super) progress: Rc<Progress>,
    frames: mpsc::Sender<Bytes>,
    remaining: Option<u64>,
}

impl Relay {
    pub(super) fn new(
        name: &Name,
        connection: Connection,
        body: Incoming,
        received: Vec<Bytes>,
        length: Option<u64>,
        progress: &Rc<Progress>,
    ) -> (Relay, Stream) {
        let (sender, frames) = mpsc::channel(1);
        let (name, progress) = (name.clone(), progress.clone());
        let stream = Stream { frames, remaining: length, is_complete: false };
        (Relay { name, connection, body, received, progress, frames: sender, remaining: length }, stream)
    }

    /// Forwards the body until it ends or fails.
    pub async fn run(mut self: Box<Self>, backends: &Backends, deadline: Instant) -> Ending {
        for frame in std::mem::take(&mut self.received) {
            if let Err(ending) = self.send_to_client(frame).await {
                return ending;
            }
        }
        loop {
            let Connection { io, is_closed, .. } = &mut self.connection;
            let remaining_time = deadline.saturating_duration_since(Instant::now());
            let max_pause = backends
                .relay_overtime
                .map_or(BACKEND_PAUSE_TIMEOUT, |overtime| remaining_time.max(overtime));
            let frame = match timeout(max_pause, drive(io, is_closed, self.body.frame())).await {
                Err(_) => return Ending::TimedOut,
                Ok(Some(Some(Ok(frame)))) => frame,
                // Complete. Without a stated length, the end of the connection may be the end of the body.
                Ok(Some(None)) if self.remaining.unwrap_or(0) == 0 => break,
                Ok(Some(Some(Err(error)))) if !is_interrupted(&error) => return Ending::Unreadable,
                Ok(_) => return self.progress.disconnect_ending(),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Err(ending) = self.send_to_client(data).await {
                return ending;
            }
        }
        // Without a stated length, an empty frame marks the body as complete.
        if self.remaining.is_none() {
            if let Err(ending) = self.send_to_client(Bytes::new()).await {
                return ending;
            }
        }
        backends.keep_after_exchange(&self.name, self.connection);
        Ending::Success
    }

    async fn send_to_client(&mut self, data: Bytes) -> Result<(), Ending> {
        self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
        // An error means that the client has left or does not read.
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
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            None if self.is_end_stream() => Poll::Ready(None),
            // The error closes the client's connection, which shows the client that the response is incomplete.
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
