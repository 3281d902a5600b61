//! TCP proxies that inject network faults. Each proxy listens on its own port, and each of its two directions can be
//! cut and restored. A cut direction delivers nothing, and the connection is reset only by [`TcpProxy::close_all`].
//! [`TcpProxies`] has a proxy for every ordered pair of processes: each pair has its own port, so both ends of a
//! connection are known.

use crate::udp_relay::Link;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    /// Whether each direction is cut: to the server, and back.
    cut: [AtomicBool; 2],
    /// Delay of each direction, in microseconds.
    delay: [AtomicU64; 2],
    /// Number of calls of `close_all`: connections of an earlier generation are closed.
    generation: AtomicU64,
    bytes: AtomicU64,
}

/// A TCP proxy in front of one server.
#[derive(Clone)]
pub struct TcpProxy {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl TcpProxy {
    /// Starts a proxy for the server at `to`.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn new(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = TcpProxy { address: listener.local_addr()?, state: Arc::default() };
        let state = proxy.state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let connection_generation = state.generation.load(Ordering::Relaxed);
                for (from, to, direction) in [(&client, &server, 0), (&server, &client, 1)] {
                    let (Ok(from), Ok(to), state) = (from.try_clone(), to.try_clone(), state.clone()) else {
                        continue;
                    };
                    thread::spawn(move || forward(from, to, &state, direction, connection_generation));
                }
            }
        });
        Ok(proxy)
    }

    /// Cuts or restores each direction: to the server, and back.
    pub fn cut(&self, to_server: bool, to_client: bool) {
        self.state.cut[0].store(to_server, Ordering::Relaxed);
        self.state.cut[1].store(to_client, Ordering::Relaxed);
    }

    /// Sets the delay of each direction: to the server, and back. The order of bytes is kept, since it is a stream.
    pub fn delay(&self, to_server: Duration, to_client: Duration) {
        self.state.delay[0].store(to_server.as_micros() as u64, Ordering::Relaxed);
        self.state.delay[1].store(to_client.as_micros() as u64, Ordering::Relaxed);
    }

    /// Closes every open connection, also with data in flight.
    pub fn close_all(&self) {
        self.state.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the bytes forwarded in both directions.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &State,
    direction: usize,
    connection_generation: u64,
) {
    let _ = (to.set_nodelay(true), from.set_read_timeout(Some(Duration::from_millis(20))));
    let mut bytes = [0; 16 << 10];
    loop {
        if state.generation.load(Ordering::Relaxed) != connection_generation {
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
            return;
        }
        if state.cut[direction].load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => {
                // Nothing is read during the delay: later bytes queue behind these.
                thread::sleep(Duration::from_micros(state.delay[direction].load(Ordering::Relaxed)));
                let ended = || state.generation.load(Ordering::Relaxed) != connection_generation;
                while state.cut[direction].load(Ordering::Relaxed) && !ended() {
                    thread::sleep(Duration::from_millis(5));
                }
                if ended() || to.write_all(&bytes[..n]).is_err() {
                    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                    return;
                }
                state.bytes.fetch_add(n as u64, Ordering::Relaxed);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}

/// TCP proxies between processes, one for each ordered pair.
pub struct TcpProxies {
    proxies: Vec<Vec<TcpProxy>>,
}

impl TcpProxies {
    /// Starts a proxy from each of `callers` processes to each of `servers`.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn new(callers: usize, servers: &[SocketAddr]) -> std::io::Result<Self> {
        let row = |_| servers.iter().map(|server| TcpProxy::new(*server)).collect::<Result<_, _>>();
        Ok(TcpProxies { proxies: (0..callers).map(row).collect::<Result<_, _>>()? })
    }

    /// Returns the address at which `caller` reaches `server`.
    pub fn address(&self, caller: usize, server: usize) -> SocketAddr {
        self.proxies[caller][server].address
    }

    /// Sets the faults of every pair, from caller to server and back. Loss and duplication have no effect: a TCP
    /// stream would show them only as delay.
    pub fn set(&self, link: impl Fn(usize, usize) -> [Link; 2]) {
        for (caller, row) in self.proxies.iter().enumerate() {
            for (server, proxy) in row.iter().enumerate() {
                let [to_server, to_client] = link(caller, server);
                proxy.cut(to_server.silent, to_client.silent);
                proxy.delay(to_server.delay, to_client.delay);
            }
        }
    }

    /// Closes every connection of the pairs that `of` selects.
    pub fn close(&self, of: impl Fn(usize, usize) -> bool) {
        for (caller, row) in self.proxies.iter().enumerate() {
            row.iter().enumerate().filter(|(server, _)| of(caller, *server)).for_each(|(_, g)| g.close_all());
        }
    }
}

#[cfg(test)]
mod tests;
