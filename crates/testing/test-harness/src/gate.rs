//! A lossy link: a proxy on a port of its own whose two directions can be cut and healed. What is cut is
//! silent; nothing is reset, unless it is told to break. And such links for all ordered pairs of processes: who reaches
//! whom through which is known, since each pair has a port of its own.

use crate::bed::Link;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    /// Towards the server, and back.
    cut: [AtomicBool; 2],
    /// How long what comes waits, in microseconds.
    delay: [AtomicU64; 2],
    /// Connections that began before the last break have ended.
    broken: AtomicU64,
    bytes: AtomicU64,
}

#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Gate {
    /// # Errors
    /// If there is no port to be had.
    pub fn new(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let gate = Gate { address: listener.local_addr()?, state: Arc::default() };
        let state = gate.state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let life = state.broken.load(Ordering::Relaxed);
                for (from, to, way) in [(&client, &server, 0), (&server, &client, 1)] {
                    let (Ok(from), Ok(to), state) = (from.try_clone(), to.try_clone(), state.clone()) else {
                        continue;
                    };
                    thread::spawn(move || pump(from, to, &state, way, life));
                }
            }
        });
        Ok(gate)
    }

    /// Cuts or heals: towards the server, and back.
    pub fn cut(&self, there: bool, back: bool) {
        self.state.cut[0].store(there, Ordering::Relaxed);
        self.state.cut[1].store(back, Ordering::Relaxed);
    }

    /// From now on what comes waits for so long, towards the server and back. The order stays: it is a stream.
    pub fn delay(&self, there: Duration, back: Duration) {
        self.state.delay[0].store(there.as_micros() as u64, Ordering::Relaxed);
        self.state.delay[1].store(back.as_micros() as u64, Ordering::Relaxed);
    }

    /// Ends every connection that is up, whatever is under way on it.
    pub fn end_all(&self) {
        self.state.broken.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes that have passed, both ways.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, way: usize, life: u64) {
    let _ = (to.set_nodelay(true), from.set_read_timeout(Some(Duration::from_millis(20))));
    let mut bytes = [0; 16 << 10];
    loop {
        if state.broken.load(Ordering::Relaxed) != life {
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
            return;
        }
        if state.cut[way].load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => {
                // Not read further meanwhile: what comes after waits behind it.
                thread::sleep(Duration::from_micros(state.delay[way].load(Ordering::Relaxed)));
                let ended = || state.broken.load(Ordering::Relaxed) != life;
                while state.cut[way].load(Ordering::Relaxed) && !ended() {
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

/// Links for streams between processes, one for each ordered pair.
pub struct Gates {
    gates: Vec<Vec<Gate>>,
}

impl Gates {
    /// So many processes that call those which listen there.
    ///
    /// # Errors
    /// If there is no port to be had.
    pub fn new(callers: usize, servers: &[SocketAddr]) -> std::io::Result<Self> {
        let row = |_| servers.iter().map(|server| Gate::new(*server)).collect::<Result<_, _>>();
        Ok(Gates { gates: (0..callers).map(row).collect::<Result<_, _>>()? })
    }

    /// Where this caller reaches that server.
    pub fn address(&self, caller: usize, server: usize) -> SocketAddr {
        self.gates[caller][server].address
    }

    /// Changes all links: as datagrams fare from a caller to a server and back. Of what a stream knows nothing of, loss
    /// and doubling, nothing is done: they are delays there.
    pub fn set(&self, link: impl Fn(usize, usize) -> [Link; 2]) {
        for (caller, row) in self.gates.iter().enumerate() {
            for (server, gate) in row.iter().enumerate() {
                let [there, back] = link(caller, server);
                gate.cut(there.silent, back.silent);
                gate.delay(there.delay, back.delay);
            }
        }
    }

    /// Ends every connection of these pairs.
    pub fn end(&self, of: impl Fn(usize, usize) -> bool) {
        for (caller, row) in self.gates.iter().enumerate() {
            row.iter().enumerate().filter(|(server, _)| of(caller, *server)).for_each(|(_, g)| g.end_all());
        }
    }
}

#[cfg(test)]
mod tests;
