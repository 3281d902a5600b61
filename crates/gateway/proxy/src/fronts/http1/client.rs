//! Client connection: its state, its socket, and how it is closed.

use super::{LINGER_TIMEOUT, MAX_DISCARDED_BYTES};
use crate::backends::Stream;
use crate::driver::Driver;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use lifecycle::connection::{Command, Input, State, Timeouts};
use lifecycle::{Close, Connection};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant, Sleep};

/// Whether bytes have arrived that the runtime has not reported yet.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum PendingBytes {
    #[default]
    None,
    /// To be checked at the next read.
    Unknown,
    Some,
}

/// State of a client's connection.
pub(super) struct Client {
    pub(super) connection: Cell<Connection>,
    pub(super) driver: Rc<Driver>,
    /// Reason for a requested close, and its notification.
    pub(super) close_reason: Cell<Option<Close>>,
    pub(super) close: Notify,
    /// Raw bytes of the head that is arriving, if all of it arrived on an idle connection.
    pub(super) head: RefCell<Vec<u8>>,
    pub(super) pending_bytes: Cell<PendingBytes>,
    /// Whether the response's last byte was handed to hyper, so that a flush means that all of it has been written.
    pub(super) is_answer_handed_over: Cell<bool>,
}

impl Client {
    pub(super) fn new(driver: Rc<Driver>, timeouts: Timeouts) -> Rc<Self> {
        let connection = Cell::new(Connection::new(driver.time(Instant::now()), timeouts));
        Rc::new(Client {
            connection,
            driver,
            close_reason: Cell::new(None),
            close: Notify::new(),
            head: RefCell::default(),
            pending_bytes: Cell::default(),
            is_answer_handed_over: Cell::new(false),
        })
    }

    pub(super) fn handle(&self, input: Input) -> Command {
        let mut connection = self.connection.get();
        let needs_time = matches!(input, Input::Bytes | Input::Reply | Input::Close(_));
        let now = if needs_time { self.driver.time(Instant::now()) } else { 0 };
        let command = connection.handle(now, input);
        self.connection.set(connection);
        command.unwrap_or_else(|error| {
            tracing::warn!(cause = %error, "lifecycle: {error}");
            Command::None
        })
    }

    /// Requests a close of the connection. Its task decides how, since the client may have sent a request by then.
    pub(super) fn close(&self, reason: Close) {
        self.close_reason.set(Some(reason));
        self.close.notify_one();
    }
}

/// Response body.
pub enum Payload {
    Full(Full<Bytes>),
    Stream(Stream),
}

impl Payload {
    pub(super) fn is_end(&self) -> bool {
        match self {
            Payload::Full(body) => body.is_end_stream(),
            Payload::Stream(body) => body.is_end_stream(),
        }
    }
}

/// Response body that records when all of it was handed to hyper.
pub(super) struct TrackedBody {
    pub(super) body: Payload,
    pub(super) client: Rc<Client>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = match &mut self.body {
            Payload::Full(body) => Pin::new(body).poll_frame(cx).map_err(|infallible| match infallible {}),
            Payload::Stream(body) => Pin::new(body).poll_frame(cx),
        };
        self.client.is_answer_handed_over.set(self.body.is_end());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Payload::Full(body) => body.size_hint(),
            Payload::Stream(body) => body.size_hint(),
        }
    }
}

/// Client socket that reports when bytes have arrived and when all bytes have been written.
pub(super) struct WatchedSocket {
    pub(super) io: TokioIo<TcpStream>,
    pub(super) client: Rc<Client>,
    /// Time until which bytes after the last response are discarded, and the number discarded so far.
    pub(super) linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl Read for WatchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.client.pending_bytes.get() == PendingBytes::Unknown {
            let mut peeked = [MaybeUninit::uninit()];
            let has_bytes = SockRef::from(self.io.inner()).peek(&mut peeked).is_ok_and(|n| n > 0);
            self.client.pending_bytes.set(if has_bytes { PendingBytes::Some } else { PendingBytes::None });
        }
        let state = self.client.connection.get().state();
        if !matches!(state, State::Idle | State::Head) {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        }
        // Recorded separately, because hyper removes a Content-Length that accompanies a Transfer-Encoding.
        let mut bytes = [MaybeUninit::uninit(); 4096];
        let max_len = buf.remaining().min(bytes.len());
        let mut local_buf = ReadBuf::uninit(&mut bytes[..max_len]);
        std::task::ready!(Pin::new(&mut self.io).poll_read(cx, local_buf.unfilled()))?;
        let mut head = self.client.head.borrow_mut();
        if state == State::Idle {
            head.clear();
        }
        if !local_buf.filled().is_empty() {
            self.client.handle(Input::Bytes);
        }
        head.extend_from_slice(local_buf.filled());
        buf.put_slice(local_buf.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for WatchedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    /// hyper flushes the socket when hyper's own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        let client = &self.client;
        if flushed.is_ready()
            && client.connection.get().has_unwritten()
            && client.is_answer_handed_over.replace(false)
        {
            client.handle(Input::Flushed);
        }
        flushed
    }

    /// RFC 9112, section 9.6: closing a socket with unread bytes resets the connection, and the client may lose the unread
    /// part of its last response. So the write side is closed first, and the read side is read until the client closes too.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            std::task::ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
            self.linger = Some((Box::pin(sleep(LINGER_TIMEOUT)), 0));
        }
        let WatchedSocket { io, linger: Some((linger_end, discarded_bytes)), .. } = &mut *self else {
            return Poll::Ready(Ok(()));
        };
        loop {
            let mut bytes = [MaybeUninit::uninit(); 4096];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut *io).poll_read(cx, buffer.unfilled()) {
                Poll::Pending => return linger_end.as_mut().poll(cx).map(Ok),
                Poll::Ready(Ok(()))
                    if !buffer.filled().is_empty() && *discarded_bytes <= MAX_DISCARDED_BYTES =>
                {
                    *discarded_bytes += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
            }
        }
    }
}
