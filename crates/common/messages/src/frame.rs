//! Messages on a connection: a length of four bytes, then `rmp-serde`.

use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// The longest frame of a peer that has not identified itself: memory is set aside for what it claims.
const MAX_UNIDENTIFIED_FRAME_BYTES: usize = 4 << 10;
/// The longest frame. A configuration of thousands of routes fits; a frame that claims to be longer ends the connection.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// A connection at rest holds no large buffers.
const READ_BUFFER_BYTES: usize = 2048;

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}

/// The reading half of a connection.
pub struct FrameReader {
    frames: FramedRead<ActivityTracker, LengthDelimitedCodec>,
    last_activity: Rc<Cell<Instant>>,
}

/// Notes when bytes arrive: while a long message comes on a slow link, the peer is not silent.
struct ActivityTracker {
    inner: OwnedReadHalf,
    last_activity: Rc<Cell<Instant>>,
}

impl AsyncRead for ActivityTracker {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.last_activity.set(Instant::now());
        }
        polled
    }
}

/// The writing half of a connection.
pub struct FrameWriter(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// The two halves of a connection. The reader takes short frames only, until [`FrameReader::accept_long_frames`].
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.into_split();
    let last_activity = Rc::new(Cell::new(Instant::now()));
    let tracked = ActivityTracker { inner: read, last_activity: last_activity.clone() };
    let frames = FramedRead::with_capacity(tracked, codec(MAX_UNIDENTIFIED_FRAME_BYTES), READ_BUFFER_BYTES);
    let writer = FrameWriter(FramedWrite::new(write, codec(MAX_FRAME_BYTES)));
    (FrameReader { frames, last_activity }, writer)
}

impl FrameReader {
    /// The peer has identified itself as one of the system.
    pub fn accept_long_frames(&mut self) {
        self.frames.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// When bytes last arrived.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// The next message; none at the connection's end.
    ///
    /// # Errors
    /// The connection's, or [`io::ErrorKind::InvalidData`] if what arrived is no such message.
    pub async fn read<M: DeserializeOwned>(&mut self) -> io::Result<Option<M>> {
        let Some(bytes) = self.frames.next().await.transpose()? else { return Ok(None) };
        rmp_serde::from_slice(&bytes).map(Some).map_err(invalid_data)
    }
}

impl FrameWriter {
    /// Sends a message.
    ///
    /// # Errors
    /// The connection's.
    pub async fn write<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Buffers a message: it is not sent before [`FrameWriter::flush`] unless there is much.
    ///
    /// # Errors
    /// The connection's.
    pub async fn feed<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(message).map_err(invalid_data)?;
        self.0.feed(Bytes::from(bytes)).await
    }

    /// Sends what is buffered.
    ///
    /// # Errors
    /// The connection's.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.0).await
    }
}

fn invalid_data(error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
