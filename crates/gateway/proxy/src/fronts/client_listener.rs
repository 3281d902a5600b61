//! The listening socket for clients.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// The listening socket for clients.
#[derive(Debug)]
pub struct ClientListener {
    socket: TcpListener,
    /// Whether other processes may accept from the same socket.
    is_shared: bool,
}

impl ClientListener {
    /// A socket that this process alone accepts from.
    pub fn owned(socket: TcpListener) -> Self {
        ClientListener { socket, is_shared: false }
    }

    /// A socket that other processes may accept from as well.
    pub fn shared(socket: TcpListener) -> Self {
        ClientListener { socket, is_shared: true }
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        self.socket.accept().await.map(|(stream, _)| stream)
    }

    /// Ignores new connection attempts from now on, so that none is established between the last accept and the close.
    /// Does nothing if the socket is shared: it stays open in another process.
    pub fn ignore_new_connections(&self) {
        if self.is_shared {
            return;
        }
        if let Err(error) = sockets::ignore_new_connections(&self.socket) {
            warn!(cause = %error, "listener: connections may be reset when it closes: {error}");
        }
    }
}
