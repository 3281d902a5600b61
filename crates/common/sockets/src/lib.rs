//! Listening sockets, and connections that detect a dead peer.
#![forbid(unsafe_code)]

use displaydoc::Display;
use socket2::{SockFilter, SockRef, TcpKeepalive};
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

/// Offset of the flags in a TCP header.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_ACK: u32 = 0x10;
/// Instructions of the classic Berkeley packet filter (`linux/bpf_common.h`).
const LOAD_BYTE: u16 = 0x30;
const BITWISE_AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// A packet filter that drops segments with SYN and without ACK, which open a connection.
const DROP_FIRST_SEGMENT: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    SockFilter::new(BITWISE_AND, 0, 0, TCP_SYN | TCP_ACK),
    SockFilter::new(JUMP_IF_EQUAL, 0, 1, TCP_SYN),
    SockFilter::new(RETURN, 0, 0, 0),
    SockFilter::new(RETURN, 0, 0, u32::MAX),
];

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

/// Makes a listening socket ignore new connection attempts, while handshakes that have begun are still completed. The
/// operating system otherwise resets connections that are established between the last accept and the close. An ignored
/// client tries again a second later, and is refused if the socket is closed by then. The change can't be undone for
/// other processes that share the socket.
///
/// # Errors
/// The error of the operating system.
pub fn ignore_new_connections(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&DROP_FIRST_SEGMENT)
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
