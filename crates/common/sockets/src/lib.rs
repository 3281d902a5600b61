//! Listening sockets, and connections that notice when the other side is gone without a word.
#![forbid(unsafe_code)]

use displaydoc::Display;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// A machine without power is silent: a connection ends when what was written is not acknowledged for this long.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(900);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
const BACKLOG: u32 = 1024;

/// cannot listen on {address}: {source}
#[derive(Debug, Display)]
pub struct ListenError {
    /// Where.
    pub address: SocketAddr,
    /// Why not.
    pub source: io::Error,
}

impl std::error::Error for ListenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Listens, also where connections of a process before this one are not closed yet.
///
/// # Errors
/// The system's, with the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| ListenError { address, source })
}

/// Connects within 200 ms, or not at all.
///
/// # Errors
/// The system's, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Has the system end this connection when the other side is gone.
///
/// # Errors
/// The system's.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_RETRIES))?;
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUT))
}
