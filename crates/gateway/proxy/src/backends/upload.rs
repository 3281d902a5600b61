//! A body on its way to a backend: whole in memory, or passed on as it comes from the client.

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

/// What is in hand of a client's body.
#[derive(Default)]
pub enum Upload {
    #[default]
    None,
    /// All of it, in its part of the budget: it can be sent again.
    Whole(Bytes, Reservation),
    /// The rest is still to come. It can be sent once.
    Open(Open),
    /// It has been handed to an attempt.
    Gone,
}

pub struct Open {
    pub first: Bytes,
    /// What `first` takes of the budget.
    pub part: Option<Reservation>,
    /// The frames behind it; the sender's end without an empty one means that the client stopped.
    pub rest: mpsc::Receiver<Bytes>,
    /// Of the whole, if it is stated.
    pub length: Option<u64>,
}

/// The same as hyper writes it.
pub(super) enum Sent {
    Whole(Option<Bytes>),
    Open { open: Open, progress: Rc<Progress>, head: usize, begins: ExecutionStart, sent: usize, done: bool },
}

impl Upload {
    /// For an attempt that has the leave to write.
    pub(super) fn take(&mut self, progress: &Rc<Progress>) -> Sent {
        match std::mem::replace(self, Upload::Gone) {
            Upload::Whole(bytes, part) => {
                *self = Upload::Whole(bytes.clone(), part);
                Sent::Whole(Some(bytes))
            }
            Upload::Open(open) => {
                let (progress, begins) = (progress.clone(), ExecutionStart::FullRequest);
                Sent::Open { open, progress, head: 0, begins, sent: 0, done: false }
            }
            none => {
                *self = none;
                Sent::Whole(None)
            }
        }
    }
}

impl Sent {
    pub(super) fn length(&self) -> Option<u64> {
        match self {
            Sent::Whole(bytes) => Some(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Sent::Open { open, .. } => open.length,
        }
    }

    /// How long the head is that goes before it, and from when on the request may run.
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
            Sent::Whole(bytes) => {
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
                // From here on the last byte may be out.
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
            Sent::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
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
