//! Connection to a backend. It is polled by the attempt that uses it, and is not polled while idle.

use super::upload::RequestBody;
use super::{AttemptStage, Progress};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use interface::Time;
use lifecycle::Upstream;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;

/// Slot of a connection in the descriptor budget, released when dropped.
pub(super) struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    pub(super) fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        ConnectionSlot(open)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

pub(super) type Sender = SendRequest<RequestBody>;

pub(super) struct Connection {
    pub(super) sender: Sender,
    pub(super) io: http1::Connection<CountingSocket, RequestBody>,
    pub(super) is_closed: bool,
    pub(super) state: Rc<ConnectionState>,
    pub(super) address: SocketAddr,
    pub(super) upstream: Upstream,
    /// Idle time after the last response beyond which the connection is not reused.
    pub(super) max_idle: Time,
    pub(super) _slot: ConnectionSlot,
}

impl Connection {
    /// Whether the connection can carry another request. Checks first for a close by the peer and for bytes that belong to
    /// no request.
    pub(super) fn is_reusable(&mut self) -> bool {
        self.state.idle.set(true);
        let mut cx = Context::from_waker(Waker::noop());
        self.is_closed = self.is_closed || Pin::new(&mut self.io).poll(&mut cx).is_ready();
        if self.is_closed || !self.sender.is_ready() {
            self.upstream.on_unexpected_bytes();
        }
        !self.upstream.is_closed()
    }

    pub(super) async fn send_request(
        &mut self,
        request: Request<RequestBody>,
    ) -> Option<hyper::Result<Response<Incoming>>> {
        let response = self.sender.send_request(request);
        drive(&mut self.io, &mut self.is_closed, response).await
    }
}

/// Whether the error means that the peer closed the connection before the end of the response. Any other error is a
/// malformed response.
pub(super) fn is_interrupted(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(e) = cause {
        if let Some(e) = e.downcast_ref::<io::Error>() {
            return !matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        }
        if e.downcast_ref::<hyper::Error>().is_some_and(|e| e.is_incomplete_message() || e.is_canceled()) {
            return true;
        }
        cause = e.source();
    }
    false
}

/// Polls a connection together with a future that waits for it. Returns None if the connection ended before the future
/// was ready.
pub(super) async fn drive<F: Future>(
    io: &mut http1::Connection<CountingSocket, RequestBody>,
    is_closed: &mut bool,
    waiting: F,
) -> Option<F::Output> {
    let mut waiting = pin!(waiting);
    std::future::poll_fn(|cx| {
        *is_closed = *is_closed || Pin::new(&mut *io).poll(cx).is_ready();
        match waiting.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if *is_closed => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// State shared by a connection's owner and its socket.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Progress of the current attempt.
    pub(super) progress: RefCell<Rc<Progress>>,
    pub(super) idle: Cell<bool>,
    /// `TCP_USER_TIMEOUT` for the current request, set before its first byte is written. `None`: no limit.
    pub(super) unacknowledged_timeout: Cell<Option<Duration>>,
}

/// Socket that records written bytes and reads in the progress of the current attempt.
pub(super) struct CountingSocket {
    io: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
    /// `TCP_USER_TIMEOUT` of the socket.
    applied_timeout: Option<Duration>,
}

impl CountingSocket {
    /// Wraps a new socket, which has no `TCP_USER_TIMEOUT` yet.
    pub(super) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        CountingSocket { io: TokioIo::new(stream), state, applied_timeout: None }
    }

    /// Returns the socket's `TCP_USER_TIMEOUT`.
    #[cfg(test)]
    pub(super) fn unacknowledged_timeout(&self) -> Option<Duration> {
        SockRef::from(self.io.inner()).tcp_user_timeout().expect("an open socket")
    }

    fn apply_unacknowledged_timeout(&mut self) -> io::Result<()> {
        let timeout = self.state.unacknowledged_timeout.get();
        if timeout != self.applied_timeout {
            SockRef::from(self.io.inner()).set_tcp_user_timeout(timeout)?;
            self.applied_timeout = timeout;
        }
        Ok(())
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &written {
            let progress = self.state.progress.borrow();
            progress.written.set(progress.written.get() + n);
            if progress.may_have_run() {
                progress.report_stage(AttemptStage::Written);
            }
        }
        written
    }
}

impl Read for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.idle.get() {
            // The runtime may not know of arrived bytes yet, so the socket itself is peeked: a second copy of the last
            // response would be taken for the response to the next request. Any bytes end the connection.
            let mut peeked = [MaybeUninit::uninit()];
            return match SockRef::from(self.io.inner()).peek(&mut peeked) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
                _ => Poll::Ready(Ok(())),
            };
        }
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            let progress = self.state.progress.borrow();
            progress.report_stage(AttemptStage::Answering);
            progress.response_begun.store(true, Relaxed);
            progress.activity.notify_one();
        }
        read
    }
}

impl Write for CountingSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.apply_unacknowledged_timeout()?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_unacknowledged_timeout()?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
