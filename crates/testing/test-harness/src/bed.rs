//! UDP relays that inject network faults. Each process has one relay, through which all others reach it. For each
//! ordered pair of processes a relay can drop everything, or lose, duplicate and delay (and so reorder) datagrams.
//! Killing, stopping and restarting processes is done by their process id, not here.
//!
//! A process sends from the address on which it listens, so the relay knows the sender by its source address. For TCP
//! streams see [`crate::gate::Gates`], which has a port for each ordered pair.

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
    pub doubled: f64,
    /// Upper limit of the random delay of each datagram, which reorders them.
    pub delay: Duration,
}

/// Datagrams and bytes that a process has sent.
#[derive(Default)]
struct Counted {
    datagrams: u64,
    bytes: u64,
}

struct Network {
    links: Vec<Vec<Link>>,
    /// Listening address of each process itself.
    places: Vec<SocketAddr>,
    senders: HashMap<SocketAddr, usize>,
    sent: Vec<Counted>,
    rng: fastrand::Rng,
    /// The latest datagrams, oldest first: time of arrival, receiver, bytes.
    tape: VecDeque<(Instant, usize, Vec<u8>)>,
}

/// Datagrams that are kept for [`Relays::replay`].
const TAPE: usize = 20_000;

/// A delayed datagram: when it is due, its number, its receiver, its bytes.
type Late = (Instant, u64, usize, Vec<u8>);

/// Queue of delayed datagrams, with the number of the last one.
#[derive(Default)]
struct Waiting {
    queue: Mutex<(BinaryHeap<Reverse<Late>>, u64)>,
    news: Condvar,
}

/// One relay for each process.
pub struct Relays {
    /// Address at which the others reach each process.
    pub advertised: Vec<SocketAddr>,
    network: Arc<Mutex<Network>>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// Starts the relays for `processes` processes.
    ///
    /// # Errors
    /// No port can be bound. The message is one line.
    pub fn new(processes: usize, seed: u64) -> Result<Self, String> {
        let wrong = |e: std::io::Error| format!("relays: {e}");
        let mut places = Vec::new();
        // Each process has its own IP address, so that its free port stays free until the process binds it.
        let block = fastrand::Rng::new().u8(2..250);
        for n in 0..processes {
            let probe = UdpSocket::bind((format!("127.{block}.{}.{}", n / 200, n % 200 + 1).as_str(), 0));
            places.push(probe.map_err(wrong)?.local_addr().map_err(wrong)?);
        }
        let senders = places.iter().enumerate().map(|(n, a)| (*a, n)).collect();
        let network = Arc::new(Mutex::new(Network {
            links: vec![vec![Link::default(); processes]; processes],
            places,
            senders,
            sent: (0..processes).map(|_| Counted::default()).collect(),
            rng: fastrand::Rng::with_seed(seed),
            tape: VecDeque::with_capacity(TAPE),
        }));
        let (over, waiting) = (Arc::<AtomicBool>::default(), Arc::<Waiting>::default());
        let (mut sockets, mut advertised, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        for to in 0..processes {
            let socket = UdpSocket::bind("127.0.0.1:0").map_err(wrong)?;
            socket.set_read_timeout(Some(Duration::from_millis(50))).map_err(wrong)?;
            advertised.push(socket.local_addr().map_err(wrong)?);
            let socket = Arc::new(socket);
            sockets.push(socket.clone());
            let (network, over, waiting) = (network.clone(), over.clone(), waiting.clone());
            threads.push(thread::spawn(move || relay(to, &socket, &network, &waiting, &over)));
        }
        let (network_, over_) = (network.clone(), over.clone());
        threads.push(thread::spawn(move || deliver(&sockets, &network_, &waiting, &over_)));
        Ok(Relays { advertised, network, over, threads })
    }

    /// Returns the listening address of this process itself.
    pub fn place(&self, n: usize) -> SocketAddr {
        lock(&self.network).places[n]
    }

    /// Sets the faults of every ordered pair, by sender and receiver.
    pub fn set(&self, link: impl Fn(usize, usize) -> Link) {
        let mut network = lock(&self.network);
        let all = network.links.len();
        for (from, to) in (0..all).flat_map(|a| (0..all).map(move |b| (a, b))) {
            network.links[from][to] = link(from, to);
        }
    }

    /// Sends the datagrams that arrived longer ago than `older` to their receivers again, a thousand a second, and returns
    /// how many they were.
    pub fn replay(&self, older: Duration) -> std::io::Result<usize> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let tape: Vec<_> = {
            let network = lock(&self.network);
            let old = network.tape.iter().filter(|(at, ..)| at.elapsed() > older);
            old.map(|(_, to, bytes)| (network.places[*to], bytes.clone())).collect()
        };
        for (n, (place, bytes)) in tape.iter().enumerate() {
            // The receiver may have ended.
            let _ = socket.send_to(bytes, place);
            if n % 10 == 9 {
                thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(tape.len())
    }

    /// Returns the datagrams and bytes that this process has sent so far.
    pub fn sent(&self, n: usize) -> (u64, u64) {
        let network = lock(&self.network);
        (network.sent[n].datagrams, network.sent[n].bytes)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

/// Receives what the others send to this process, and applies the faults.
fn relay(to: usize, socket: &UdpSocket, network: &Mutex<Network>, waiting: &Waiting, over: &AtomicBool) {
    let mut buffer = [0; 2048];
    while !over.load(Ordering::Relaxed) {
        // A timeout, or an ICMP error because an earlier datagram reached a closed port.
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let bytes = &buffer[..length];
        let mut network = lock(network);
        let Some(&from) = network.senders.get(&source) else { continue };
        network.sent[from].datagrams += 1;
        network.sent[from].bytes += length as u64;
        if network.tape.len() == TAPE {
            network.tape.pop_front();
        }
        network.tape.push_back((Instant::now(), to, bytes.to_vec()));
        let link = network.links[from][to];
        if link.silent || network.rng.f64() < link.loss {
            continue;
        }
        let times = 1 + usize::from(network.rng.f64() < link.doubled);
        for _ in 0..times {
            if link.delay.is_zero() {
                let _ = socket.send_to(bytes, network.places[to]);
                continue;
            }
            let at = Instant::now() + link.delay.mul_f64(network.rng.f64());
            let mut queue = lock(&waiting.queue);
            queue.1 += 1;
            let number = queue.1;
            queue.0.push(Reverse((at, number, to, bytes.to_vec())));
            waiting.news.notify_one();
        }
    }
}

/// Forwards delayed datagrams when they are due.
fn deliver(sockets: &[Arc<UdpSocket>], network: &Mutex<Network>, waiting: &Waiting, over: &AtomicBool) {
    let mut queue = lock(&waiting.queue);
    while !over.load(Ordering::Relaxed) {
        let due = queue.0.peek().map(|Reverse((at, ..))| *at);
        let wait = due.map_or(Duration::from_millis(50), |at| at.saturating_duration_since(Instant::now()));
        if !wait.is_zero() {
            let most = wait.min(Duration::from_millis(50));
            queue =
                waiting.news.wait_timeout(queue, most).map(|(q, _)| q).unwrap_or_else(|e| e.into_inner().0);
            continue;
        }
        let Some(Reverse((_, _, to, bytes))) = queue.0.pop() else { continue };
        drop(queue);
        let place = lock(network).places[to];
        let _ = sockets[to].send_to(&bytes, place);
        queue = lock(&waiting.queue);
    }
}
