//! Runs a membership view on a UDP socket and a clock. The protocol itself is in the `membership` crate.
#![forbid(unsafe_code)]

use membership::{Input, Output, StableView, Time, View, MAX_DATAGRAM_BYTES};
use std::cell::{Cell, Ref, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Initial value of a view's clock, so that no time computed from it is negative.
pub const CLOCK_START: Time = 1_000_000_000;
/// Pause after a socket error, such as a missing route, before the socket is read again.
const ERROR_PAUSE: Duration = Duration::from_millis(100);
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Notifications for the owner of a view.
pub trait Observer {
    /// Called when there is a new stable version of the view.
    fn stable_view_changed(&self, stable_view: &StableView);

    /// Called when another process has started later under this member's name; this one sends nothing from now on.
    fn superseded(&self, generation: u64);

    /// Called after the view has handled a tick.
    fn ticked(&self) {}
}

/// Counters of the datagrams sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Total size of those datagrams.
    pub bytes: u64,
    /// Number of datagrams that the operating system did not accept.
    pub rejected: u64,
}

/// A view with its socket and clock.
pub struct MembershipSocket {
    view: RefCell<View>,
    socket: UdpSocket,
    started: Instant,
    max_datagrams_per_wakeup: usize,
    sent: Cell<SendCounts>,
    left: Notify,
}

/// Binds a non-blocking UDP socket.
///
/// # Errors
/// If the operating system refuses.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl MembershipSocket {
    /// Takes a view that was created at [`CLOCK_START`]. At most `max_datagrams_per_wakeup` datagrams are read before
    /// other tasks may run.
    pub fn new(view: View, socket: UdpSocket, max_datagrams_per_wakeup: usize) -> Self {
        MembershipSocket {
            view: RefCell::new(view),
            socket,
            started: Instant::now(),
            max_datagrams_per_wakeup,
            sent: Cell::default(),
            left: Notify::new(),
        }
    }

    /// Borrows the view. The borrow must not be held across an await.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Returns the time of the view's clock.
    pub fn now(&self) -> Time {
        CLOCK_START + self.started.elapsed().as_nanos() as Time
    }

    /// Returns the counters of the datagrams sent so far.
    pub fn sent(&self) -> SendCounts {
        self.sent.get()
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    /// If the operating system does not report it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Runs the view. Never returns.
    pub async fn run(&self, observer: &impl Observer) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.view.borrow().next_due();
            let due = due.map_or(Instant::now() + MAX_SLEEP, |at| {
                self.started + Duration::from_nanos(at.saturating_sub(CLOCK_START))
            });
            // Datagrams are read before timers expire, since the awaited answer may be in the socket's buffer.
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        sleep(ERROR_PAUSE).await;
                    }
                    self.read_datagrams(&mut buffer, observer);
                }
                () = sleep_until(due) => {}
                () = self.left.notified() => {}
            }
            let now = self.now();
            if self.view.borrow().next_due().is_some_and(|at| at <= now) {
                self.handle(Input::Tick, observer);
                observer.ticked();
            }
        }
    }

    /// Announces to the other members that this process is shutting down, so that they need not detect it.
    pub fn leave(&self, observer: &impl Observer) {
        self.handle(Input::Leave, observer);
        self.left.notify_one();
    }

    fn read_datagrams(&self, buffer: &mut [u8], observer: &impl Observer) {
        for _ in 0..self.max_datagrams_per_wakeup {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.handle(Input::Datagram(&buffer[..length]), observer),
                // Reported for an earlier datagram: the port of a peer was closed.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
    }

    fn handle(&self, input: Input<'_>, observer: &impl Observer) {
        let mut outputs = Vec::new();
        self.view.borrow_mut().handle(self.now(), input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(to, &bytes),
                Output::StableView(stable_view) => observer.stable_view_changed(&stable_view),
                Output::Superseded { generation } => observer.superseded(generation),
            }
        }
    }

    /// Sends a datagram. One that the operating system does not accept counts as lost in transit.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let mut sent = self.sent.get();
        match self.socket.try_send_to(bytes, to) {
            Ok(_) => {
                sent.datagrams += 1;
                sent.bytes += bytes.len() as u64;
            }
            Err(_) => sent.rejected += 1,
        }
        self.sent.set(sent);
    }
}
