//! A lossy link: a proxy on a port of its own whose two directions can be cut and healed. What is cut is
//! silent; nothing is reset.

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
                for (from, to, way) in [(&client, &server, 0), (&server, &client, 1)] {
                    let (Ok(from), Ok(to), state) = (from.try_clone(), to.try_clone(), state.clone()) else {
                        continue;
                    };
                    thread::spawn(move || pump(from, to, &state, way));
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

    /// Bytes that have passed, both ways.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, way: usize) {
    let _ = (to.set_nodelay(true), from.set_read_timeout(Some(Duration::from_millis(20))));
    let mut bytes = [0; 16 << 10];
    loop {
        if state.cut[way].load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        match from.read(&mut bytes) {
            Ok(n) if n > 0 && to.write_all(&bytes[..n]).is_ok() => {
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
