//! Backends: their addresses, the pool of connections to them, and attempts.
//!
//! A connection is polled by the attempt that uses it, and by nothing while it is idle: dropping the attempt closes it,
//! so that no late answer can reach another request, and an exchange wakes one task.

mod answer;
mod attempt;
mod connection;
mod progress;
mod relay;
mod request;
#[cfg(test)]
mod tests;
mod upload;

pub use answer::{Content, Outcome, Served, UpstreamProtocol};
pub use attempt::ExchangeResult;
pub use progress::{AttemptStage, Progress};
pub use relay::Stream;
pub use request::Outgoing;
pub use upload::{Open, Upload};

use crate::list::{State, Target};
use connection::{Connection, ConnectionSlot, ConnectionState, CountingSocket};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use interface::{Name, Scope, Time};
use lifecycle::upstream::IdleLimit;
use lifecycle::Upstream;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{interval, timeout, Instant};

/// The longest answer that is buffered, so that another attempt can replace a broken one.
pub const MAX_BUFFERED_ANSWER: usize = 64 << 10;
/// The largest body on either side.
pub const MAX_BODY: usize = 32 << 20;
const REAP_INTERVAL: Duration = Duration::from_secs(1);
/// An answer that pauses for this long is given up; one of unknown length that takes this long is streamed.
const ANSWER_PAUSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Backends that were seen to forget an idle connection are believed to for so long, and it tells nothing that one was
/// lost that had rested for less than the second figure.
const NARROWED_IDLE_TIME: Duration = Duration::from_secs(10);
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);
/// The longest head of an answer, which is also the largest buffer of a connection.
const MAX_HEAD_BYTES: usize = 16 << 10;

struct Backend {
    address: Option<SocketAddr>,
    boot_ms: u64,
    ready: bool,
    /// Idle connections, the one used last at the end.
    idle: Vec<Connection>,
}

/// All backends, and the pool of connections to them.
pub struct Backends {
    table: RefCell<HashMap<Name, Backend>>,
    /// Connections that are open or being opened, idle ones among them.
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    wire: Box<dyn UpstreamProtocol>,
    connect_timeout: Duration,
    unacknowledged_timeout: Option<Duration>,
    relay_overtime: Option<Duration>,
    idle_time: Time,
    /// How long a connection may have been idle to carry a request that cannot be repeated.
    idle_limit: Cell<IdleLimit>,
    started_at: Instant,
    pub connects: Cell<u64>,
    connections_opened: Cell<u64>,
}

/// Limits that hold for all backends.
pub struct Limits {
    /// The most connections, open, being opened or idle.
    pub max_connections: usize,
    pub connect_timeout: Duration,
    /// How long a backend leaves a connection idle.
    pub keepalive: Duration,
    /// A connection on which nothing is acknowledged for this long is closed; none: as the system decides.
    pub unacknowledged_timeout: Option<Duration>,
    /// An answer that is passed on as it comes is given up once its request's time is over and nothing more of it has
    /// come for so long; none: when nothing has come for ten seconds, whatever the request's time.
    pub relay_overtime: Option<Duration>,
}

impl Backends {
    /// A pool without connections that knows no backend.
    pub fn new(limits: &Limits, wire: Box<dyn UpstreamProtocol>) -> Rc<Self> {
        Rc::new(Backends {
            table: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: limits.max_connections,
            wire,
            connect_timeout: limits.connect_timeout,
            unacknowledged_timeout: limits.unacknowledged_timeout,
            relay_overtime: limits.relay_overtime,
            // The backend counts idle time from when it wrote its answer and closes at the settings' time at
            // the latest: half of it keeps clear of requests written to a connection on its way out.
            idle_time: nanos(limits.keepalive / 2),
            idle_limit: Cell::new(IdleLimit::new(
                nanos(limits.keepalive / 2),
                nanos(NARROWED_IDLE_TIME),
                nanos(MIN_IDLE_LIMIT),
            )),
            started_at: Instant::now(),
            connects: Cell::new(0),
            connections_opened: Cell::new(0),
        })
    }

    /// Applies discovery's list. Connections to an old address, an old process or a draining backend are closed.
    /// Returns the backends whose address a later one has taken over: they are gone, though discovery may report so
    /// only later, and requests for them would reach another backend.
    pub fn update(&self, scope: Scope, targets: &[Target]) -> Vec<Name> {
        let mut replaced = Vec::new();
        let mut table = self.table.borrow_mut();
        if scope != Scope::Changes {
            table.retain(|name, _| targets.iter().any(|t| *t.uid == **name));
        }
        for t in targets {
            if t.state == State::Gone {
                table.remove(t.uid.as_str());
                continue;
            }
            let address = t.endpoint.parse().ok();
            let fresh = Backend { address, boot_ms: t.boot_ms, ready: false, idle: Vec::new() };
            let known = table.entry(t.uid.as_str().into()).or_insert(fresh);
            known.ready = t.state == State::Ready;
            if !known.ready || known.address != address || known.boot_ms != t.boot_ms {
                known.idle.clear();
            }
            (known.address, known.boot_ms) = (address, t.boot_ms);
        }
        let mut latest = HashMap::new();
        for (address, boot) in table.values().filter_map(|b| Some((b.address?, b.boot_ms))) {
            latest.entry(address).and_modify(|l: &mut u64| *l = boot.max(*l)).or_insert(boot);
        }
        table.retain(|name, b| {
            let gone = b.address.is_some_and(|a| b.boot_ms < latest[&a]);
            replaced.extend(gone.then(|| name.clone()));
            !gone
        });
        replaced
    }

    /// Closes connections that have been idle for too long, or that the backend has closed.
    pub async fn close_idle(self: Rc<Self>) {
        let mut every = interval(REAP_INTERVAL);
        loop {
            every.tick().await;
            let now = self.now();
            for b in self.table.borrow_mut().values_mut() {
                b.idle.retain_mut(|c| {
                    c.upstream.is_idle_for_less_than(now, self.idle_time.min(c.max_idle)) && c.is_reusable()
                });
            }
        }
    }

    /// Closes the connection that has been idle for longest, when descriptors run short. Returns whether there was one.
    pub fn drop_idle(&self) -> bool {
        let (now, mut table) = (self.now(), self.table.borrow_mut());
        // The one used last is at the end, so a backend's oldest is its first.
        let oldest = table
            .values_mut()
            .filter(|b| !b.idle.is_empty())
            .max_by_key(|b| b.idle[0].upstream.idle_time(now));
        oldest.map(|b| b.idle.remove(0)).is_some()
    }

    /// The idle connection used last that may carry this request.
    fn take_idle(&self, name: &Name, place: SocketAddr, request: &Outgoing) -> Option<Connection> {
        let mut table = self.table.borrow_mut();
        let backend = table.get_mut(name)?;
        let now = self.now();
        let rest = if request.at_most_once { self.idle_limit.get().limit(now) } else { self.idle_time };
        let earlier = request.earlier_connections.borrow();
        let mut n = backend.idle.len();
        while n > 0 {
            n -= 1;
            let connection = &mut backend.idle[n];
            let most = self.idle_time.min(connection.max_idle);
            let here = connection.address == place && connection.upstream.is_idle_for_less_than(now, most);
            if here && !connection.upstream.is_idle_for_less_than(now, rest) {
                // Those before it have been idle for longer.
                return None;
            }
            if !here || !connection.is_reusable() {
                backend.idle.remove(n);
            } else if connection.upstream.may_carry(request.at_most_once, &earlier) {
                return Some(backend.idle.remove(n));
            }
        }
        None
    }

    /// Request and answer were complete: the connection may be used again.
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
        if self.unacknowledged_timeout.is_some() {
            SockRef::from(&stream).set_tcp_user_timeout(self.unacknowledged_timeout).ok()?;
        }
        let link = Rc::new(ConnectionState::default());
        let io = CountingSocket { io: TokioIo::new(stream), link: link.clone() };
        let (sender, io) = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await.ok()?;
        self.connections_opened.set(self.connections_opened.get() + 1);
        let line = Upstream::new(self.connections_opened.get(), self.now());
        let rest = self.idle_time;
        Some(Connection {
            sender,
            io,
            is_closed: false,
            state: link,
            address,
            upstream: line,
            max_idle: rest,
            _slot: slot,
        })
    }
}

fn nanos(d: Duration) -> Time {
    Time::try_from(d.as_nanos()).unwrap_or(Time::MAX)
}
