//! UDP relays that inject network faults. Each process has one relay, through which all others reach it. For each
//! ordered pair of processes a relay can drop everything, or lose, duplicate and delay (and so reorder) datagrams.
//! Killing, stopping and restarting processes is done by their process id, not here.
//!
//! A process sends from the address on which it listens, so the relay knows the sender by its source address. For TCP
//! streams see [`crate::tcp_proxy::TcpProxies`], which has a port for each ordered pair.

use crate::fleet::lock;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Faults of the datagrams from one process to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Drops every datagram.
    pub silent: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicated: f64,
    /// Upper limit of the random delay of each datagram, which reorders them.
    pub delay: Duration,
}

/// Datagrams and bytes that a process has sent.
#[derive(Default)]
struct SentCount {
    datagrams: u64,
    bytes: u64,
}

struct Network {
    links: Vec<Vec<Link>>,
    /// Listening address of each process itself.
    listen_addresses: Vec<SocketAddr>,
    senders: HashMap<SocketAddr, usize>,
    sent: Vec<SentCount>,
    rng: fastrand::Rng,
    /// The latest datagrams, oldest first: time of arrival, receiver, bytes.
    history: VecDeque<(Instant, usize, Vec<u8>)>,
}

/// Datagrams that are kept for [`Relays::replay`].
const MAX_HISTORY: usize = 20_000;

/// A delayed datagram: when it is due, its number, its receiver, its bytes.
type DelayedDatagram = (Instant, u64, usize, Vec<u8>);

/// Queue of delayed datagrams, with the number of the last one.
#[derive(Default)]
struct DelayQueue {
    queue: Mutex<(BinaryHeap<Reverse<DelayedDatagram>>, u64)>,
    changed: Condvar,
}

/// One relay for each process.
pub struct Relays {
    /// Address at which the others reach each process.
    pub advertised: Vec<SocketAddr>,
    network: Arc<Mutex<Network>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// Starts the relays for `processes` processes.
    ///
    /// # Errors
    /// No port can be bound. The message is one line.
    pub fn new(processes: usize, seed: u64) -> Result<Self, String> {
        let relay_error = |e: std::io::Error| format!("relays: {e}");
        let mut listen_addresses = Vec::new();
        // Each process has its own IP address, so that its free port stays free until the process binds it.
        let block = fastrand::Rng::new().u8(2..250);
        for n in 0..processes {
            let probe = UdpSocket::bind((format!("127.{block}.{}.{}", n / 200, n % 200 + 1).as_str(), 0));
            listen_addresses.push(probe.map_err(relay_error)?.local_addr().map_err(relay_error)?);
        }
        let senders = listen_addresses.iter().enumerate().map(|(n, a)| (*a, n)).collect();
        let network = Arc::new(Mutex::new(Network {
            links: vec![vec![Link::default(); processes]; processes],
            listen_addresses,
            senders,
            sent: (0..processes).map(|_| SentCount::default()).collect(),
            rng: fastrand::Rng::with_seed(seed),
            history: VecDeque::with_capacity(MAX_HISTORY),
        }));
        let (stop, delayed) = (Arc::<AtomicBool>::default(), Arc::<DelayQueue>::default());
        let (mut sockets, mut advertised, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        for to in 0..processes {
            let socket = UdpSocket::bind("127.0.0.1:0").map_err(relay_error)?;
            socket.set_read_timeout(Some(Duration::from_millis(50))).map_err(relay_error)?;
            advertised.push(socket.local_addr().map_err(relay_error)?);
            let socket = Arc::new(socket);
            sockets.push(socket.clone());
            let (network, stop, delayed) = (network.clone(), stop.clone(), delayed.clone());
            threads.push(thread::spawn(move || relay(to, &socket, &network, &delayed, &stop)));
        }
        let (network_, stop_) = (network.clone(), stop.clone());
        threads.push(thread::spawn(move || deliver(&sockets, &network_, &delayed, &stop_)));
        Ok(Relays { advertised, network, stop, threads })
    }

    /// Returns the listening address of this process itself.
    pub fn listen_address(&self, n: usize) -> SocketAddr {
        lock(&self.network).listen_addresses[n]
    }

    /// Sets the faults of every ordered pair, by sender and receiver.
    pub fn set(&self, link: impl Fn(usize, usize) -> Link) {
        let mut network = lock(&self.network);
        let all = network.links.len();
        for (from, to) in (0..all).flat_map(|a| (0..all).map(move |b| (a, b))) {
            network.links[from][to] = link(from, to);
        }
    }

    /// Sends the datagrams that arrived longer ago than `min_age` to their receivers again, a thousand a second, and
    /// returns how many they were.
    pub fn replay(&self, min_age: Duration) -> std::io::Result<usize> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let history: Vec<_> = {
            let network = lock(&self.network);
            let old = network.history.iter().filter(|(at, ..)| at.elapsed() > min_age);
            old.map(|(_, to, bytes)| (network.listen_addresses[*to], bytes.clone())).collect()
        };
        for (n, (listen_address, bytes)) in history.iter().enumerate() {
            // The receiver may have ended.
            let _ = socket.send_to(bytes, listen_address);
            if n % 10 == 9 {
                thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(history.len())
    }

    /// Returns the datagrams and bytes that this process has sent so far.
    pub fn sent(&self, n: usize) -> (u64, u64) {
        let network = lock(&self.network);
        (network.sent[n].datagrams, network.sent[n].bytes)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

/// Receives what the others send to this process, and applies the faults.
fn relay(to: usize, socket: &UdpSocket, network: &Mutex<Network>, delayed: &DelayQueue, stop: &AtomicBool) {
    let mut buffer = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        // A timeout, or an ICMP error because an earlier datagram reached a closed port.
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let bytes = &buffer[..length];
        let mut network = lock(network);
        let Some(&from) = network.senders.get(&source) else { continue };
        network.sent[from].datagrams += 1;
        network.sent[from].bytes += length as u64;
        if network.history.len() == MAX_HISTORY {
            network.history.pop_front();
        }
        network.history.push_back((Instant::now(), to, bytes.to_vec()));
        let link = network.links[from][to];
        if link.silent || network.rng.f64() < link.loss {
            continue;
        }
        let times = 1 + usize::from(network.rng.f64() < link.duplicated);
        for _ in 0..times {
            if link.delay.is_zero() {
                let _ = socket.send_to(bytes, network.listen_addresses[to]);
                continue;
            }
            let at = Instant::now() + link.delay.mul_f64(network.rng.f64());
            let mut queue = lock(&delayed.queue);
            queue.1 += 1;
            let number = queue.1;
            queue.0.push(Reverse((at, number, to, bytes.to_vec())));
            delayed.changed.notify_one();
        }
    }
}

/// Forwards delayed datagrams when they are due.
fn deliver(sockets: &[Arc<UdpSocket>], network: &Mutex<Network>, delayed: &DelayQueue, stop: &AtomicBool) {
    let mut queue = lock(&delayed.queue);
    while !stop.load(Ordering::Relaxed) {
        let due = queue.0.peek().map(|Reverse((at, ..))| *at);
        let wait = due.map_or(Duration::from_millis(50), |at| at.saturating_duration_since(Instant::now()));
        if !wait.is_zero() {
            let timeout = wait.min(Duration::from_millis(50));
            queue = delayed
                .changed
                .wait_timeout(queue, timeout)
                .map(|(q, _)| q)
                .unwrap_or_else(|e| e.into_inner().0);
            continue;
        }
        let Some(Reverse((_, _, to, bytes))) = queue.0.pop() else { continue };
        drop(queue);
        let listen_address = lock(network).listen_addresses[to];
        let _ = sockets[to].send_to(&bytes, listen_address);
        queue = lock(&delayed.queue);
    }
}
