//! Stand-in servers: they work on a limited number of requests at a time, queue a limited number of others, and meter
//! what each customer uses.

use crate::peers::{read, write_text, Message};
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Responds to a request on its connection, and returns false to close the connection.
pub type Script = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// Locks a mutex, also one that is poisoned by a panic of its holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a server on its own port, with a thread per connection, that runs until the process ends.
///
/// # Errors
/// No port can be bound.
pub fn serve(script: Arc<Script>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(mut stream) = stream else { continue };
            let script = script.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read_half) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read_half);
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

/// Metering period.
const PERIOD: Duration = Duration::from_millis(500);

/// Units that a customer used in the current period and in the one before.
#[derive(Clone, Copy, Default)]
struct Usage {
    period: u64,
    current: f64,
    previous: f64,
}

/// Usage of each customer over all servers, by period.
pub struct Meter {
    started: Instant,
    used: Mutex<HashMap<String, Usage>>,
}

impl Default for Meter {
    fn default() -> Self {
        Meter { started: Instant::now(), used: Mutex::default() }
    }
}

impl Meter {
    /// Adds units to the customer's usage, and returns its usage in the last finished period, in units a second.
    pub fn record_usage(&self, account: &str, units: f64) -> f64 {
        let period = (self.started.elapsed().as_millis() / PERIOD.as_millis()) as u64;
        let mut used = lock(&self.used);
        let usage = used.entry(account.to_string()).or_default();
        if usage.period != period {
            usage.previous = if usage.period + 1 == period { usage.current } else { 0.0 };
            (usage.current, usage.period) = (0.0, period);
        }
        usage.current += units;
        usage.previous / PERIOD.as_secs_f64()
    }
}

/// Cores of a server, and its queue for them.
pub struct Cores {
    /// Number of free cores, and of waiting requests.
    state: Mutex<(usize, usize)>,
    free: Condvar,
    queue_limit: usize,
}

impl Cores {
    /// Creates free cores, and a queue for at most `queue_limit` requests.
    pub fn new(cores: usize, queue_limit: usize) -> Self {
        Cores { state: Mutex::new((cores, 0)), free: Condvar::new(), queue_limit }
    }

    /// Waits for a core and occupies it for `time`. Returns false if the queue is full: nothing was started.
    pub fn work(&self, time: Duration) -> bool {
        let mut state = lock(&self.state);
        if state.1 >= self.queue_limit {
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

/// Responds 503 with the header that says the request was not started.
pub fn not_started(to: &mut TcpStream) -> bool {
    write_text(to, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Returns the body of a successful response to this request.
pub fn body(message: &Message) -> String {
    format!("for {}\n", message.header("request-id").unwrap_or("nobody"))
}

/// Responds 200, with the customer's usage in percent of its rate if that is known.
pub fn good(to: &mut TcpStream, body: &str, percent: Option<f64>) -> bool {
    let meter = percent.map_or(String::new(), |p| format!("Usage-Percent: {p:.0}\r\n"));
    write_text(
        to,
        &format!("HTTP/1.1 200 OK\r\nBilled-Units: 1\r\n{meter}Content-Length: {}\r\n\r\n{body}", body.len()),
    )
}
