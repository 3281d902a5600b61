//! Messages on a connection between processes of the system: a length, then `rmp-serde`.

use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// The longest message. A configuration of thousands of routes fits; what claims to be longer ends the connection.
pub const LONGEST: usize = 16 << 20;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LONGEST).new_codec()
}

pub struct Reader(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

pub struct Writer(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

pub fn split(stream: TcpStream) -> (Reader, Writer) {
    let (read, write) = stream.into_split();
    // A link at rest holds no large buffers.
    (Reader(FramedRead::with_capacity(read, codec(), 2048)), Writer(FramedWrite::new(write, codec())))
}

impl Reader {
    /// The next message; none at the connection's end.
    ///
    /// # Errors
    /// The connection's, or that what came is no message.
    pub async fn read<M: DeserializeOwned>(&mut self) -> io::Result<Option<M>> {
        let Some(bytes) = self.0.next().await.transpose()? else { return Ok(None) };
        let message = rmp_serde::from_slice(&bytes);
        message.map(Some).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl Writer {
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
