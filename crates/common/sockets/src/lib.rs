//! Listening sockets, and connections that detect a dead peer.
#![forbid(unsafe_code)]

use displaydoc::Display;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// A connection is closed if written data is not acknowledged for this long: a machine that lost power sends no
/// reset.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(900);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
const BACKLOG: u32 = 1024;

/// cannot listen on {address}: {source}
#[derive(Debug, Display)]
pub struct ListenError {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: io::Error,
}

impl std::error::Error for ListenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Listens on an address, even if connections of a previous process on that address are not closed yet.
///
/// # Errors
/// The error of the operating system, with the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| ListenError { address, source })
}

/// Connects to an address, with a timeout of 200 ms.
///
/// # Errors
/// The error of the operating system, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Configures a connection so that the operating system closes it when the peer is gone.
///
/// # Errors
/// The error of the operating system.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_RETRIES))?;
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUT))
}
