//! A request's body on its way to a backend: buffered, or streamed from the client.

use super::Progress;
use crate::fronts::Reservation;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use lifecycle::upstream::ExecutionStart;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// What there is of a client's body.
#[derive(Default)]
pub enum Upload {
    #[default]
    None,
    /// All of it, with its reservation of the budget: it can be sent again.
    Buffered(Bytes, Reservation),
    /// The rest is still to arrive. It can be sent once.
    Open(Open),
    /// It was taken by an attempt.
    Taken,
}

/// A body that is still arriving.
pub struct Open {
    pub first: Bytes,
    /// The reservation for `first`.
    pub part: Option<Reservation>,
    /// The frames after it; an end without an empty frame means that the client stopped.
    pub rest: mpsc::Receiver<Bytes>,
    /// The stated length of the whole body, if any.
    pub length: Option<u64>,
}

/// The body as hyper writes it.
pub(super) enum Sent {
    Buffered(Option<Bytes>),
    Open { open: Open, progress: Rc<Progress>, head: usize, begins: ExecutionStart, sent: usize, done: bool },
}

impl Upload {
    /// The body for an attempt that may write.
    pub(super) fn take(&mut self, progress: &Rc<Progress>) -> Sent {
        match std::mem::replace(self, Upload::Taken) {
            Upload::Buffered(bytes, part) => {
                *self = Upload::Buffered(bytes.clone(), part);
                Sent::Buffered(Some(bytes))
            }
            Upload::Open(open) => {
                let (progress, begins) = (progress.clone(), ExecutionStart::FullRequest);
                Sent::Open { open, progress, head: 0, begins, sent: 0, done: false }
            }
            none => {
                *self = none;
                Sent::Buffered(None)
            }
        }
    }
}

impl Sent {
    pub(super) fn length(&self) -> Option<u64> {
        match self {
            Sent::Buffered(bytes) => Some(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Sent::Open { open, .. } => open.length,
        }
    }

    /// Sets the length of the head before it, and how much of the request a backend needs to begin.
    pub(super) fn behind(&mut self, size: usize, from: ExecutionStart) {
        if let Sent::Open { head, begins, .. } = self {
            (*head, *begins) = (size, from);
        }
    }
}

impl Body for Sent {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let (open, progress, head, begins, sent, done) = match &mut *self {
            Sent::Buffered(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                return Poll::Ready(bytes.map(|b| Ok(Frame::data(b))));
            }
            Sent::Open { open, progress, head, begins, sent, done } => {
                (open, progress, head, begins, sent, done)
            }
        };
        if *done {
            return Poll::Ready(None);
        }
        let data = if open.first.is_empty() {
            std::task::ready!(open.rest.poll_recv(cx))
        } else {
            open.part = None;
            Some(std::mem::take(&mut open.first))
        };
        match data {
            None => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            Some(data) if data.is_empty() => {
                *done = true;
                // From here on the last byte may have been written.
                progress.execution_start.set(begins.byte_count(*head, Some(*sent)));
                Poll::Ready(None)
            }
            Some(data) => {
                *sent += data.len();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Sent::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Sent::Open { done, .. } => *done,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sent::Open { sent, .. } => self
                .length()
                .map_or_else(SizeHint::default, |l| SizeHint::with_exact(l - (*sent as u64).min(l))),
            whole => SizeHint::with_exact(whole.length().unwrap_or(0)),
        }
    }
}
