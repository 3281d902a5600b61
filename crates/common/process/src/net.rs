//! Sockets that notice when the other side is gone without a word.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// A machine without power says nothing: what was written and is not acknowledged for so long ends the connection.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(900);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const BACKLOG: u32 = 1024;

/// Listens, also where a process before this one has connections in their last throes.
///
/// # Errors
/// The system's, with the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|e: io::Error| format!("cannot listen on {address}: {e}"))
}

/// Connects within 200 ms, or not at all.
///
/// # Errors
/// The system's, or that it took too long.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
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
    let probes = TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes.with_retries(2))?;
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUT))
}
