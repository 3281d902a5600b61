//! A membership view on a UDP socket: datagrams and the time go in, datagrams go out. Nothing is decided here.
#![forbid(unsafe_code)]

use membership::{Input, Output, StableView, Time, View, MAX_DATAGRAM_BYTES};
use std::cell::{Cell, Ref, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// A view's clock starts here, so that nothing lies before it.
pub const CLOCK_START: Time = 1_000_000_000;
/// A socket that fails at once, for want of a route say, is not read again sooner.
const ERROR_PAUSE: Duration = Duration::from_millis(100);
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// What the owner of a view wants to know.
pub trait Observer {
    /// There is a new stable version of the view.
    fn stable_view_changed(&self, stable_view: &StableView);

    /// Another process started later under this member's name: this one is silent from now on.
    fn superseded(&self, generation: u64);

    /// The view has handled a tick.
    fn ticked(&self) {}
}

/// What was sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Datagrams that were sent, and their bytes.
    pub datagrams: u64,
    /// Bytes of those datagrams.
    pub bytes: u64,
    /// Datagrams that the system did not accept.
    pub rejected: u64,
}

/// A view with its socket and its clock.
pub struct MembershipSocket {
    view: RefCell<View>,
    socket: UdpSocket,
    started: Instant,
    max_datagrams_per_wakeup: usize,
    sent: Cell<SendCounts>,
    left: Notify,
}

/// A socket for a view.
///
/// # Errors
/// The system's.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl MembershipSocket {
    /// A view whose clock stands at [`CLOCK_START`]. After `max_datagrams_per_wakeup` datagrams other tasks have their turn.
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

    /// The view; it must not be held across an await.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// The time on the view's clock.
    pub fn now(&self) -> Time {
        CLOCK_START + self.started.elapsed().as_nanos() as Time
    }

    /// What was sent so far.
    pub fn sent(&self) -> SendCounts {
        self.sent.get()
    }

    /// The address of the socket.
    ///
    /// # Errors
    /// The system's.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Runs for as long as the process lives.
    pub async fn run(&self, observer: &impl Observer) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.view.borrow().next_due();
            let due = due.map_or(Instant::now() + MAX_SLEEP, |at| {
                self.started + Duration::from_nanos(at.saturating_sub(CLOCK_START))
            });
            // What has arrived is read before the time counts: an answer may lie in the socket behind it.
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

    /// This process shuts down: the others need not find out.
    pub fn leave(&self, observer: &impl Observer) {
        self.handle(Input::Leave, observer);
        self.left.notify_one();
    }

    fn read_datagrams(&self, buffer: &mut [u8], observer: &impl Observer) {
        for _ in 0..self.max_datagrams_per_wakeup {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.handle(Input::Datagram(&buffer[..length]), observer),
                // A peer's port was closed: the system reports so of an earlier datagram.
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

    /// What the system does not accept is as good as lost on the way.
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
