//! Stand-in servers that work: so many at a time, with a waiting room, a meter of what each customer used, and
//! a ledger of what ran.

use crate::peers::{read, write_text, Message};
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Answers a request on its connection; false closes the connection.
pub type Script = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A lock whose holder died is as good as any other here.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves on a port of its own, a thread to each connection, until the process ends.
///
/// # Errors
/// If there is no port to be had.
pub fn serve(script: Arc<Script>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(mut stream) = stream else { continue };
            let script = script.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(half) = stream.try_clone() else { return };
                let mut reader = BufReader::new(half);
                while let Some(message) = read(&mut reader, number) {
                    if !script(&message, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

const PERIOD: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Default)]
struct Use {
    period: u64,
    now: f64,
    last: f64,
}

/// What each customer used in the last finished period, over all servers.
pub struct Meter {
    started: Instant,
    used: Mutex<HashMap<String, Use>>,
}

impl Default for Meter {
    fn default() -> Self {
        Meter { started: Instant::now(), used: Mutex::default() }
    }
}

impl Meter {
    /// Books units; what the customer used in the last period, in units a second.
    pub fn record_usage(&self, account: &str, units: f64) -> f64 {
        let period = (self.started.elapsed().as_millis() / PERIOD.as_millis()) as u64;
        let mut used = lock(&self.used);
        let u = used.entry(account.to_string()).or_default();
        if u.period != period {
            u.last = if u.period + 1 == period { u.now } else { 0.0 };
            (u.now, u.period) = (0.0, period);
        }
        u.now += units;
        u.last / PERIOD.as_secs_f64()
    }
}

/// A server's cores and its waiting room.
pub struct Cores {
    /// Free cores, and how many wait.
    state: Mutex<(usize, usize)>,
    free: Condvar,
    room: usize,
}

impl Cores {
    pub fn new(cores: usize, room: usize) -> Self {
        Cores { state: Mutex::new((cores, 0)), free: Condvar::new(), room }
    }

    /// Works for so long in its turn. False if the waiting room is full: nothing was begun.
    pub fn work(&self, time: Duration) -> bool {
        let mut state = lock(&self.state);
        if state.1 >= self.room {
            return false;
        }
        state.1 += 1;
        while state.0 == 0 {
            state = self.free.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        (state.0, state.1) = (state.0 - 1, state.1 - 1);
        drop(state);
        thread::sleep(time);
        lock(&self.state).0 += 1;
        self.free.notify_one();
        true
    }
}

/// Turned away unseen.
pub fn not_started(to: &mut TcpStream) -> bool {
    write_text(to, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
}

/// The body of a good answer to this request.
pub fn body(message: &Message) -> String {
    format!("for {}\n", message.header("request-id").unwrap_or("nobody"))
}

/// A good answer, with the customer's use in percent of its rate if that is known.
pub fn good(to: &mut TcpStream, body: &str, percent: Option<f64>) -> bool {
    let meter = percent.map_or(String::new(), |p| format!("Usage-Percent: {p:.0}\r\n"));
    write_text(
        to,
        &format!("HTTP/1.1 200 OK\r\nBilled-Units: 1\r\n{meter}Content-Length: {}\r\n\r\n{body}", body.len()),
    )
}
