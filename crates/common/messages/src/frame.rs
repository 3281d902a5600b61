//! Messages on a connection between processes of the system: a length, then `rmp-serde`.

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

/// The longest that is read of one who has not said who it is: what it claims is set aside for it.
const MAX_UNIDENTIFIED_FRAME_BYTES: usize = 4 << 10;
/// The longest message. A configuration of thousands of routes fits; what claims to be longer ends the connection.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

fn codec(longest: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(longest).new_codec()
}

pub struct FrameReader {
    frames: FramedRead<ActivityTracker, LengthDelimitedCodec>,
    last_activity: Rc<Cell<Instant>>,
}

/// Notes when bytes come: a long message on a slow link is no silence.
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

pub struct FrameWriter(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// The two ends of a connection. Its reader takes short messages only, until it is told that the other is known.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.into_split();
    let heard = Rc::new(Cell::new(Instant::now()));
    let read = ActivityTracker { inner: read, last_activity: heard.clone() };
    // A link at rest holds no large buffers.
    let frames = FramedRead::with_capacity(read, codec(MAX_UNIDENTIFIED_FRAME_BYTES), 2048);
    (
        FrameReader { frames, last_activity: heard },
        FrameWriter(FramedWrite::new(write, codec(MAX_FRAME_BYTES))),
    )
}

impl FrameReader {
    /// The other side is one of ours: what it says may be long.
    pub fn accept_long_frames(&mut self) {
        self.frames.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// When bytes came last.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// The next message; none at the connection's end.
    ///
    /// # Errors
    /// The connection's, or that what came is no message.
    pub async fn read<M: DeserializeOwned>(&mut self) -> io::Result<Option<M>> {
        let Some(bytes) = self.frames.next().await.transpose()? else { return Ok(None) };
        let message = rmp_serde::from_slice(&bytes);
        message.map(Some).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl FrameWriter {
    /// # Errors
    /// The connection's.
    pub async fn write<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        self.feed(message).await?;
        self.flush().await
    }

    /// The same, not sent before [`Writer::flush`] unless there is much of it.
    ///
    /// # Errors
    /// The connection's.
    pub async fn feed<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(message).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        self.0.feed(Bytes::from(bytes)).await
    }

    /// # Errors
    /// The connection's.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.0).await
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;
    use tokio::time::timeout;

    async fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (one, two) = tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
        (one.unwrap(), two.unwrap().0)
    }

    #[tokio::test]
    async fn frame_limit_is_raised_for_identified_peers() {
        let (one, two) = pair().await;
        let ((mut reader, _one), (_two, mut writer)) = (split(one), split(two));
        let long = "x".repeat(100_000);
        writer.write(&"who").await.unwrap();
        assert_eq!(reader.read::<String>().await.unwrap().as_deref(), Some("who"));
        reader.accept_long_frames();
        let (told, heard) = tokio::join!(writer.write(&long), reader.read::<String>());
        told.unwrap();
        assert_eq!(heard.unwrap(), Some(long));

        let (one, mut two) = pair().await;
        let (mut reader, _one) = split(one);
        two.write_all(&(8u32 << 20).to_be_bytes()).await.unwrap();
        assert!(reader.read::<String>().await.is_err(), "nothing is set aside for what it claims");
    }

    #[tokio::test(start_paused = true)]
    async fn slow_message_counts_as_activity_while_bytes_arrive() {
        let (one, mut two) = pair().await;
        let (mut reader, _one) = split(one);
        reader.accept_long_frames();
        let begun = reader.last_activity();
        let message = rmp_serde::to_vec(&"x".repeat(5000)).unwrap();
        two.write_all(&(message.len() as u32).to_be_bytes()).await.unwrap();
        for piece in message.chunks(1000) {
            tokio::time::advance(Duration::from_millis(400)).await;
            two.write_all(piece).await.unwrap();
            // The whole does not come within this; its bytes do.
            let _ = timeout(Duration::from_millis(1), reader.read::<String>()).await;
            assert!(
                reader.last_activity() > begun
                    && reader.last_activity().elapsed() < Duration::from_millis(100)
            );
        }
        assert!(begun.elapsed() > Duration::from_millis(2000), "longer than a silence that ends a link");
    }

    #[tokio::test]
    async fn malformed_frame_ends_the_connection() {
        let (one, mut two) = pair().await;
        let (mut reader, _one) = split(one);
        two.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        assert!(reader.read::<u64>().await.is_err());
    }
}
