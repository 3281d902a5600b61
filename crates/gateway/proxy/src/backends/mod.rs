//! Upstream side of the proxy: addresses of backends, the connection pool, and attempts.
//!
//! A connection is polled by the attempt that uses it, and is not polled while idle. Dropping the attempt closes the
//! connection, so a late response cannot reach another request, and an exchange wakes a single task.

mod attempt;
mod connection;
mod failure;
mod progress;
mod relay;
mod request;
mod response;
#[cfg(test)]
mod tests;
mod upload;

pub use attempt::ExchangeResult;
pub use progress::{AttemptStage, Progress};
pub use relay::Stream;
pub use request::{Outgoing, PoolUse};
pub use response::{Content, Outcome, Served, UpstreamProtocol};
pub use upload::{StreamingBody, Upload};

use crate::list::{State, Target};
use connection::{Connection, ConnectionSlot, ConnectionState, CountingSocket};
use hyper::client::conn::http1;
use interface::{Name, Scope, Time};
use lifecycle::upstream::IdleLimit;
use lifecycle::Upstream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{interval, timeout, Instant};

/// Maximum size of a buffered response. An interrupted response that is buffered can be replaced by another attempt's.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum size of a request or response body.
pub const MAX_BODY_BYTES: usize = 32 << 20;
const REAP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a response of unknown length is streamed.
const RESPONSE_BUFFERING_TIME: Duration = Duration::from_millis(250);
/// Maximum size of a request, with its head, that a backend's machine acknowledges even if the backend does not read it:
/// it fits into any receive window. The system ends a connection also when the rest of a longer request waits for a
/// closed window, though the backend is alive.
const MAX_UNREAD_REQUEST_BYTES: usize = 4 << 10;
/// Time for which the idle limit stays reduced after a backend has dropped an idle connection. The loss of a connection
/// idle for less than `MIN_IDLE_LIMIT` is ignored.
const NARROWED_IDLE_TIME: Duration = Duration::from_secs(10);
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);
/// Maximum size of a response head, and of a connection's buffer.
const MAX_HEAD_BYTES: usize = 16 << 10;

struct Backend {
    address: Option<SocketAddr>,
    boot_ms: u64,
    ready: bool,
    /// Idle connections, the most recently used one last.
    idle: Vec<Connection>,
}

/// All backends and the pool of connections to them.
pub struct Backends {
    table: RefCell<HashMap<Name, Backend>>,
    /// Number of connections that are open or being opened, including idle ones.
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    protocol: Box<dyn UpstreamProtocol>,
    connect_timeout: Duration,
    unacknowledged_timeout: Option<Duration>,
    response_pause_timeout: Option<Duration>,
    relay_overtime: Option<Duration>,
    idle_time: Time,
    /// Maximum idle time of a connection that is to carry a request that must not be repeated.
    idle_limit: Cell<IdleLimit>,
    started_at: Instant,
    pub connects: Cell<u64>,
    connections_opened: Cell<u64>,
    /// Number of exchanges that were broken off, and when one was last logged.
    breaks: Cell<u64>,
    break_logged_at: Cell<Option<Instant>>,
}

/// Limits that apply to all backends.
pub struct Limits {
    /// Maximum number of connections that are open or being opened, including idle ones.
    pub max_connections: usize,
    pub connect_timeout: Duration,
    /// Idle time after which a backend closes a connection.
    pub keepalive: Duration,
    /// Time without an acknowledgement of sent data after which a connection is closed (`TCP_USER_TIMEOUT`), for requests
    /// of up to 4 KiB with their head. `None`, and for longer requests: the system's default.
    pub unacknowledged_timeout: Option<Duration>,
    /// Pause within a response after which a request that may be repeated is given up here, to be sent elsewhere. `None`:
    /// the attempt's deadline alone ends it.
    pub response_pause_timeout: Option<Duration>,
    /// Pause after which a streamed response is given up once its request's deadline has passed. `None`: a pause of ten
    /// seconds ends it, regardless of the deadline.
    pub relay_overtime: Option<Duration>,
}

impl Backends {
    /// Returns a pool without backends and connections.
    pub fn new(limits: &Limits, protocol: Box<dyn UpstreamProtocol>) -> Rc<Self> {
        Rc::new(Backends {
            table: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: limits.max_connections,
            protocol,
            connect_timeout: limits.connect_timeout,
            unacknowledged_timeout: limits.unacknowledged_timeout,
            response_pause_timeout: limits.response_pause_timeout,
            relay_overtime: limits.relay_overtime,
            // The backend counts idle time from when it wrote its response, and closes the connection at the configured
            // time at the latest. Half of that avoids writing a request to a connection that is being closed.
            idle_time: nanos(limits.keepalive / 2),
            idle_limit: Cell::new(IdleLimit::new(
                nanos(limits.keepalive / 2),
                nanos(NARROWED_IDLE_TIME),
                nanos(MIN_IDLE_LIMIT),
            )),
            started_at: Instant::now(),
            connects: Cell::new(0),
            connections_opened: Cell::new(0),
            breaks: Cell::new(0),
            break_logged_at: Cell::new(None),
        })
    }

    /// Applies the list from discovery. Closes connections to an old address, an old process or a draining backend.
    /// Returns the backends whose address a later one has taken over: they no longer exist, though discovery may report
    /// that later, and requests for them would reach another backend.
    pub fn update(&self, scope: Scope, targets: &[Target]) -> Vec<Name> {
        let mut replaced = Vec::new();
        let mut table = self.table.borrow_mut();
        if scope != Scope::Changes {
            table.retain(|name, _| targets.iter().any(|target| *target.uid == **name));
        }
        for target in targets {
            if target.state == State::Gone {
                table.remove(target.uid.as_str());
                continue;
            }
            let address = target.endpoint.parse().ok();
            let new_backend = Backend { address, boot_ms: target.boot_ms, ready: false, idle: Vec::new() };
            let backend = table.entry(target.uid.as_str().into()).or_insert(new_backend);
            backend.ready = target.state == State::Ready;
            if !backend.ready || backend.address != address || backend.boot_ms != target.boot_ms {
                backend.idle.clear();
            }
            (backend.address, backend.boot_ms) = (address, target.boot_ms);
        }
        let mut latest = HashMap::new();
        for (address, boot_ms) in
            table.values().filter_map(|backend| Some((backend.address?, backend.boot_ms)))
        {
            latest.entry(address).and_modify(|l: &mut u64| *l = boot_ms.max(*l)).or_insert(boot_ms);
        }
        table.retain(|name, backend| {
            let is_replaced = backend.address.is_some_and(|a| backend.boot_ms < latest[&a]);
            replaced.extend(is_replaced.then(|| name.clone()));
            !is_replaced
        });
        replaced
    }

    /// Closes, periodically, connections that have been idle for too long or that the backend has closed.
    pub async fn close_idle(self: Rc<Self>) {
        let mut reap_timer = interval(REAP_INTERVAL);
        loop {
            reap_timer.tick().await;
            let now = self.now();
            for backend in self.table.borrow_mut().values_mut() {
                backend.idle.retain_mut(|c| {
                    c.upstream.is_idle_for_less_than(now, self.idle_time.min(c.max_idle)) && c.is_reusable()
                });
            }
        }
    }

    /// Closes the connection that has been idle for longest, to free a descriptor. Returns whether there was one.
    pub fn drop_idle(&self) -> bool {
        let (now, mut table) = (self.now(), self.table.borrow_mut());
        // The most recently used one is last, so the first one of a backend has been idle for longest.
        let oldest = table
            .values_mut()
            .filter(|backend| !backend.idle.is_empty())
            .max_by_key(|backend| backend.idle[0].upstream.idle_time(now));
        oldest.map(|backend| backend.idle.remove(0)).is_some()
    }

    /// Takes the most recently used idle connection that may carry this request.
    fn take_idle(&self, name: &Name, address: SocketAddr, request: &Outgoing) -> Option<Connection> {
        let mut table = self.table.borrow_mut();
        let backend = table.get_mut(name)?;
        let now = self.now();
        let request_max_idle =
            if request.at_most_once { self.idle_limit.get().limit(now) } else { self.idle_time };
        let earlier_connections = request.earlier_connections.borrow();
        let mut index = backend.idle.len();
        while index > 0 {
            index -= 1;
            let connection = &mut backend.idle[index];
            let connection_max_idle = self.idle_time.min(connection.max_idle);
            let is_usable = connection.address == address
                && connection.upstream.is_idle_for_less_than(now, connection_max_idle);
            if is_usable && !connection.upstream.is_idle_for_less_than(now, request_max_idle) {
                // Connections before it have been idle for longer.
                return None;
            }
            if !is_usable || !connection.is_reusable() {
                backend.idle.remove(index);
            } else if connection.upstream.may_carry(request.at_most_once, &earlier_connections) {
                return Some(backend.idle.remove(index));
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete exchange.
    fn keep_after_exchange(&self, name: &Name, mut connection: Connection) {
        connection.upstream.end_exchange(self.now(), true);
        self.return_to_pool(name, connection);
    }

    fn return_to_pool(&self, name: &Name, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        if let Some(backend) = self.table.borrow_mut().get_mut(name) {
            if backend.ready && backend.address == Some(connection.address) {
                backend.idle.push(connection);
            }
        }
    }

    /// Returns the `TCP_USER_TIMEOUT` for a request of this size. `None` is an unknown size.
    fn unacknowledged_timeout(&self, request_bytes: Option<usize>) -> Option<Duration> {
        let always_acknowledged = request_bytes.is_some_and(|bytes| bytes <= MAX_UNREAD_REQUEST_BYTES);
        self.unacknowledged_timeout.filter(|_| always_acknowledged)
    }

    fn now(&self) -> Time {
        nanos(self.started_at.elapsed())
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        if self.open_connections.get() >= self.max_connections && !self.drop_idle() {
            return None;
        }
        self.connects.set(self.connects.get() + 1);
        let slot = ConnectionSlot::new(self.open_connections.clone());
        let stream = timeout(self.connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let state = Rc::new(ConnectionState::default());
        let io = CountingSocket::new(stream, state.clone());
        let (sender, io) = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await.ok()?;
        self.connections_opened.set(self.connections_opened.get() + 1);
        let upstream = Upstream::new(self.connections_opened.get(), self.now());
        let max_idle = self.idle_time;
        Some(Connection { sender, io, is_closed: false, state, address, upstream, max_idle, _slot: slot })
    }
}

fn nanos(d: Duration) -> Time {
    Time::try_from(d.as_nanos()).unwrap_or(Time::MAX)
}
