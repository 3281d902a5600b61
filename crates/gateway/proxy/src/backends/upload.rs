//! Request body for a backend: buffered, or streamed from the client.

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

/// State of a client's request body.
#[derive(Default)]
pub enum Upload {
    #[default]
    None,
    /// The complete body with its budget reservation. It can be sent again.
    Buffered(Bytes, Reservation),
    /// A body that is still arriving. It can be sent once.
    Streaming(StreamingBody),
    /// The body was taken by an attempt.
    Taken,
}

/// Body that is still arriving.
pub struct StreamingBody {
    pub first: Bytes,
    /// Budget reservation for `first`.
    pub reservation: Option<Reservation>,
    /// Frames after `first`. An empty frame marks the end; a closed channel without one means that the client stopped.
    pub frames: mpsc::Receiver<Bytes>,
    /// Stated length of the whole body, if any.
    pub length: Option<u64>,
}

/// Body in the form that hyper writes.
pub(super) enum RequestBody {
    Buffered(Option<Bytes>),
    Streaming {
        body: StreamingBody,
        progress: Rc<Progress>,
        head_bytes: usize,
        execution_start: ExecutionStart,
        sent_bytes: usize,
        is_done: bool,
    },
}

impl Upload {
    /// Returns the body for an attempt that may write.
    pub(super) fn take(&mut self, progress: &Rc<Progress>) -> RequestBody {
        match std::mem::replace(self, Upload::Taken) {
            Upload::Buffered(bytes, reservation) => {
                *self = Upload::Buffered(bytes.clone(), reservation);
                RequestBody::Buffered(Some(bytes))
            }
            Upload::Streaming(body) => {
                let (progress, execution_start) = (progress.clone(), ExecutionStart::FullRequest);
                RequestBody::Streaming {
                    body,
                    progress,
                    head_bytes: 0,
                    execution_start,
                    sent_bytes: 0,
                    is_done: false,
                }
            }
            other => {
                *self = other;
                RequestBody::Buffered(None)
            }
        }
    }
}

impl RequestBody {
    pub(super) fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            RequestBody::Streaming { body, .. } => body.length,
        }
    }

    /// Sets the size of the request's head, and the part of the request after which a backend may start execution.
    pub(super) fn set_head_info(&mut self, size: usize, start: ExecutionStart) {
        if let RequestBody::Streaming { head_bytes, execution_start, .. } = self {
            (*head_bytes, *execution_start) = (size, start);
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let (body, progress, head_bytes, execution_start, sent_bytes, is_done) = match &mut *self {
            RequestBody::Buffered(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                return Poll::Ready(bytes.map(|b| Ok(Frame::data(b))));
            }
            RequestBody::Streaming { body, progress, head_bytes, execution_start, sent_bytes, is_done } => {
                (body, progress, head_bytes, execution_start, sent_bytes, is_done)
            }
        };
        if *is_done {
            return Poll::Ready(None);
        }
        let data = if body.first.is_empty() {
            std::task::ready!(body.frames.poll_recv(cx))
        } else {
            body.reservation = None;
            Some(std::mem::take(&mut body.first))
        };
        match data {
            None => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            Some(data) if data.is_empty() => {
                *is_done = true;
                // From now on the last byte may have been written.
                progress.execution_start.set(execution_start.byte_count(*head_bytes, Some(*sent_bytes)));
                Poll::Ready(None)
            }
            Some(data) => {
                *sent_bytes += data.len();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            RequestBody::Streaming { is_done, .. } => *is_done,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Streaming { sent_bytes, .. } => self
                .length()
                .map_or_else(SizeHint::default, |l| SizeHint::with_exact(l - (*sent_bytes as u64).min(l))),
            buffered => SizeHint::with_exact(buffered.length().unwrap_or(0)),
        }
    }
}
