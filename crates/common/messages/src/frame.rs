//! Frames on a connection: a length prefix of four bytes, then a message encoded by `rmp-serde`.

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

/// Maximum frame length from a peer that has not identified itself. Memory is allocated for the length that a frame
/// claims.
const MAX_UNIDENTIFIED_FRAME_BYTES: usize = 4 << 10;
/// Maximum frame length. A configuration of thousands of routes fits; a frame that claims to be longer ends the
/// connection.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Initial read buffer size. Idle connections hold no large buffers.
const READ_BUFFER_BYTES: usize = 2048;

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}

/// The read half of a connection.
pub struct FrameReader {
    frames: FramedRead<ActivityTracker, LengthDelimitedCodec>,
    last_activity: Rc<Cell<Instant>>,
}

/// Records when bytes arrive: a peer whose long message is still arriving over a slow link is not silent.
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
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.last_activity.set(Instant::now());
        }
        polled
    }
}

/// The write half of a connection.
pub struct FrameWriter(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// Splits a connection into its reader and writer. The reader accepts short frames only, until
/// [`FrameReader::accept_long_frames`] is called.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.into_split();
    let last_activity = Rc::new(Cell::new(Instant::now()));
    let tracked = ActivityTracker { inner: read, last_activity: last_activity.clone() };
    let frames = FramedRead::with_capacity(tracked, codec(MAX_UNIDENTIFIED_FRAME_BYTES), READ_BUFFER_BYTES);
    let writer = FrameWriter(FramedWrite::new(write, codec(MAX_FRAME_BYTES)));
    (FrameReader { frames, last_activity }, writer)
}

impl FrameReader {
    /// Raises the frame limit to [`MAX_FRAME_BYTES`], once the peer has identified itself as part of the system.
    pub fn accept_long_frames(&mut self) {
        self.frames.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Returns when bytes last arrived.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// Reads the next message; returns `None` at the end of the connection.
    ///
    /// # Errors
    /// An I/O error of the connection, or [`io::ErrorKind::InvalidData`] if the frame is not a message of this type.
    pub async fn read<M: DeserializeOwned>(&mut self) -> io::Result<Option<M>> {
        let Some(bytes) = self.frames.next().await.transpose()? else { return Ok(None) };
        rmp_serde::from_slice(&bytes).map(Some).map_err(invalid_data)
    }
}

impl FrameWriter {
    /// Writes a message and flushes it.
    ///
    /// # Errors
    /// An I/O error of the connection, or [`io::ErrorKind::InvalidData`] if the message cannot be encoded.
    pub async fn write<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Buffers a message. It is sent at the next [`FrameWriter::flush`], or earlier if much is buffered.
    ///
    /// # Errors
    /// As for [`FrameWriter::write`].
    pub async fn feed<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(message).map_err(invalid_data)?;
        self.0.feed(Bytes::from(bytes)).await
    }

    /// Sends all buffered messages.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.0).await
    }
}

fn invalid_data(error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
