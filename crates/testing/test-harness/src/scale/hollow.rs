//! Hollow gateways and backends. A hollow gateway follows a control node, requests leases and keeps only counts; a
//! hollow backend sends heartbeats. They are tasks on a few threads: one for every `A_THREAD` gateways, and one for
//! all backends.

use super::{tenant, Shared, Size, HEARTBEAT_MS};
use crate::fleet::lock;
use crate::local_cluster::LocalCluster;
use crate::scenario::Play;
use messages::{FleetChange, GatewayMessage, GatewayUpdate, Greeting, MESSAGE_FORMAT};
use quota::{LeaseRequest, UnitRequest};
use serde_json::json;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Interval of a gateway's lease requests, and their number of tenants, like those of a gateway that serves 150 requests
/// a second.
const LEASE_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const WANTS: usize = 15;
/// Delay before a gateway that has lost its control node connects to the next, and time without a message after which
/// it gives up the connection.
const AGAIN: Duration = Duration::from_millis(200);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between the starts of two gateways.
const APART: Duration = Duration::from_millis(3);
/// Connections to each control node on which backends send heartbeats in turn, unless each heartbeat opens its own.
const LINES: usize = 16;
/// Number of gateways that decode every message; the others decode only configurations and lease grants.
const WITNESSES: usize = 2;
/// Maximum length of a message, as at a control node.
const LONGEST: usize = 16 << 20;
/// Gateways per thread.
const A_THREAD: usize = 250;

/// Counts of all hollow gateways and backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Bytes sent to gateways, and by them.
    pub told: u64,
    pub said: u64,
    pub asks: u64,
    pub answers: u64,
    pub beats_sent: u64,
    pub beats: u64,
    /// Bytes of answered heartbeats and of their responses.
    pub beat_bytes: u64,
    /// Configurations that were older than the gateway's newest.
    pub backwards: u64,
    /// Connections of gateways that ended.
    pub lost: u64,
}

impl Tally {
    /// Returns the difference to an earlier tally.
    pub fn since(&self, before: &Tally) -> Tally {
        Tally {
            told: self.told - before.told,
            said: self.said - before.said,
            asks: self.asks - before.asks,
            answers: self.answers - before.answers,
            beats_sent: self.beats_sent - before.beats_sent,
            beats: self.beats - before.beats,
            beat_bytes: self.beat_bytes - before.beat_bytes,
            backwards: self.backwards - before.backwards,
            lost: self.lost - before.lost,
        }
    }
}

/// State of one hollow gateway.
#[derive(Default)]
struct Seen {
    /// Version of its newest configuration, and when it arrived.
    version: AtomicU32,
    at: Mutex<Option<Instant>>,
    /// Whether it has received a lease grant.
    answered: AtomicBool,
    /// Backends that it knows; kept by the first `WITNESSES` gateways only.
    backends: Mutex<HashSet<String>>,
}

/// State shared by all hollow gateways and backends.
pub struct GrantedUnits {
    tally: Mutex<Tally>,
    gateways: Vec<Seen>,
    /// Units granted of each tenant.
    lent: Vec<AtomicU64>,
    deaf: AtomicBool,
    twice: bool,
    stop: AtomicBool,
    began: Instant,
}

/// All hollow gateways and backends, which run until it is dropped.
pub struct Herd {
    book: Shared,
    backends: usize,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Herd {
    fn drop(&mut self) {
        self.book.stop.store(true, Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

impl Herd {
    /// Starts the hollow gateways and backends.
    ///
    /// # Errors
    /// A thread's runtime cannot be created. The message is one line.
    pub fn start(play: &Play, size: &Size, cluster: &LocalCluster) -> Result<Herd, String> {
        let book = Arc::new(GrantedUnits {
            tally: Mutex::default(),
            gateways: (0..size.gateways).map(|_| Seen::default()).collect(),
            lent: (0..size.tenants).map(|_| AtomicU64::new(0)).collect(),
            deaf: AtomicBool::new(false),
            twice: play.has("counts-twice"),
            stop: AtomicBool::new(false),
            began: Instant::now(),
        });
        let (inners, controls) = (cluster.inners(), cluster.controls());
        let (seed, shared, count) = (play.seed, book.clone(), size.gateways);
        let mut threads = Vec::new();
        for first in (0..count).step_by(A_THREAD) {
            let (shared, inners) = (shared.clone(), inners.clone());
            threads.push(on_a_thread(book.clone(), move |tasks| {
                for n in first..count.min(first + A_THREAD) {
                    let rng = fastrand::Rng::with_seed(seed ^ (n as u64) << 20);
                    tasks.spawn_local(gateway(n, shared.clone(), inners.clone(), rng));
                }
            })?);
        }
        let beating = if play.has("silent") { size.backends * 3 / 4 } else { size.backends };
        let (shared, fresh) = (book.clone(), size.fresh);
        threads.push(on_a_thread(book.clone(), move |tasks| {
            // Each connection carries the heartbeats of its share of the backends, spread evenly over the heartbeat interval.
            let lines = if fresh { beating.min(512) } else { LINES * controls.len() };
            for line in 0..lines {
                let ids: Vec<usize> = (line..beating).step_by(lines).collect();
                tasks.spawn_local(beats(line, ids, shared.clone(), controls.clone(), fresh));
            }
        })?);
        Ok(Herd { book, backends: size.backends, threads })
    }

    pub fn tally(&self) -> Tally {
        *lock(&self.book.tally)
    }

    /// Time since the start.
    pub fn age(&self) -> Duration {
        self.book.began.elapsed()
    }

    /// Whether all gateways have a configuration and a lease grant, and the first `WITNESSES` know all backends.
    pub fn is_up(&self) -> bool {
        self.gateways_down() == 0 && self.known() >= self.backends
    }

    /// Returns the number of gateways that lack a configuration or a lease grant.
    pub fn gateways_down(&self) -> usize {
        let down = |g: &&Seen| g.version.load(Relaxed) == 0 || !g.answered.load(Relaxed);
        self.book.gateways.iter().filter(down).count()
    }

    /// Returns the fewest backends that one of the first `WITNESSES` gateways knows.
    fn known(&self) -> usize {
        self.book.gateways.iter().take(WITNESSES).map(|g| lock(&g.backends).len()).min().unwrap_or(0)
    }

    /// Waits, up to `most`, until the first `WITNESSES` gateways know as many backends as there are. Returns the fewest that one knows.
    pub fn backends_seen(&self, most: Duration) -> usize {
        let until = Instant::now() + most;
        while self.known() != self.backends && Instant::now() < until {
            thread::sleep(Duration::from_millis(50));
        }
        self.known()
    }

    /// Makes the first gateway ignore configurations from now on.
    pub fn deafen(&self) {
        self.book.deaf.store(true, Relaxed);
    }

    /// Returns the highest number of units that were granted of one tenant.
    pub fn most_lent(&self) -> u64 {
        self.book.lent.iter().map(|n| n.load(Relaxed)).max().unwrap_or(0)
    }

    /// Returns the sorted times after `since` at which gateways received this version, of those that did within `most`, and
    /// the median of them.
    pub fn in_force(&self, version: u32, since: Instant, most: Duration) -> (Vec<Duration>, Duration) {
        let has = |g: &&Seen| g.version.load(Relaxed) >= version;
        while self.book.gateways.iter().filter(has).count() < self.book.gateways.len()
            && since.elapsed() < most
        {
            thread::sleep(Duration::from_millis(5));
        }
        let at = |g: &Seen| Some((*lock(&g.at))?.saturating_duration_since(since));
        let mut all: Vec<Duration> = self.book.gateways.iter().filter(has).filter_map(at).collect();
        all.sort_unstable();
        let half = all.get(all.len() / 2).copied().unwrap_or(most);
        (all, half)
    }
}

/// Starts a thread that runs local tasks until the stop flag is set.
fn on_a_thread(
    book: Shared,
    spawn: impl FnOnce(&LocalSet) + Send + 'static,
) -> Result<JoinHandle<()>, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    Ok(thread::spawn(move || {
        let tasks = LocalSet::new();
        spawn(&tasks);
        let over = async move {
            while !book.stop.load(Relaxed) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        tasks.block_on(&runtime, over);
    }))
}

// ---- Gateways ----

async fn gateway(n: usize, book: Shared, inners: Vec<SocketAddr>, mut rng: fastrand::Rng) {
    sleep(APART * n as u32).await;
    let mut to = n % inners.len();
    loop {
        // Any error is followed by a connection to the next control node.
        let _ = follow(n, &book, inners[to], to, &mut rng).await;
        lock(&book.tally).lost += 1;
        to = (to + 1) % inners.len();
        sleep(AGAIN).await;
    }
}

async fn write(to: &mut (impl AsyncWriteExt + Unpin), message: &impl serde::Serialize) -> io::Result<u64> {
    let bytes = rmp_serde::to_vec(message).map_err(io::Error::other)?;
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes);
    to.write_all(&frame).await?;
    Ok(frame.len() as u64)
}

/// Progress of a configuration's transfer: its log index, its version, its length, and the bytes received so far.
type Coming = Option<(u64, u32, u32, u32)>;

/// Follows one control node until the connection ends.
async fn follow(
    n: usize,
    book: &GrantedUnits,
    to: SocketAddr,
    zone: usize,
    rng: &mut fastrand::Rng,
) -> io::Result<()> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let (name, zone) = (format!("hollow-{n}"), format!("zone-{zone}"));
    let said = write(
        &mut writer,
        &Greeting::Gateway {
            format: MESSAGE_FORMAT,
            name,
            zone,
            offset: None,
            configuration_index: 0,
            contact_number: 1,
        },
    )
    .await?;
    lock(&book.tally).said += said;
    let (sender, mut more) = mpsc::unbounded_channel::<GatewayMessage>();
    let says = async {
        let mut every = interval(LEASE_REQUEST_INTERVAL);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut number = 0;
        loop {
            let up = tokio::select! {
                up = more.recv() => up.ok_or(io::ErrorKind::BrokenPipe)?,
                _ = every.tick() => {
                    number += 1;
                    lock(&book.tally).asks += 1;
                    let tenant = |_| tenant(rng.usize(0..book.lent.len()));
                    let want = |tenant| UnitRequest { tenant, units: 1, arrivals: 1, returned: 0, spent_fallback: 0 };
                    let units = (0..WANTS).map(tenant).map(want).collect();
                    GatewayMessage::LeaseRequest(LeaseRequest { number, units, turns: Vec::new() })
                }
            };
            let said = write(&mut writer, &up).await?;
            lock(&book.tally).said += said;
        }
    };
    let hears = async {
        let mut coming = None;
        loop {
            let heard = timeout(SILENCE_TIMEOUT, hear(n, book, &mut reader, &mut coming)).await;
            let up = heard.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            up.into_iter().for_each(|up| drop(sender.send(up)));
        }
    };
    tokio::select! {
        ended = says => ended,
        ended = hears => ended,
    }
}

/// Reads one message and returns the reply to it, if there is one.
async fn hear(
    n: usize,
    book: &GrantedUnits,
    reader: &mut OwnedReadHalf,
    coming: &mut Coming,
) -> io::Result<Option<GatewayMessage>> {
    let length = reader.read_u32().await? as usize;
    if length > LONGEST {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    lock(&book.tally).told += length as u64 + 4;
    // A message is a map from its name to its content, so the name starts at the third byte.
    let named = |name: &[u8]| bytes.get(2..).is_some_and(|b| b.starts_with(name));
    if n >= WITNESSES && !named(b"Lent") && !named(b"Configuration") {
        return Ok(None);
    }
    let seen = &book.gateways[n];
    match rmp_serde::from_slice(&bytes).map_err(io::Error::other)? {
        GatewayUpdate::Snapshot { snapshot: scene, .. } => {
            *lock(&seen.backends) = scene.backends.into_iter().map(|f| f.instance).collect();
        }
        GatewayUpdate::Changes { changes, .. } => {
            let mut known = lock(&seen.backends);
            for change in changes {
                match change {
                    FleetChange::Backend(fact) => drop(known.insert(fact.instance)),
                    FleetChange::BackendRemoved(id) => drop(known.remove(&id)),
                    _ => {}
                }
            }
        }
        GatewayUpdate::Heartbeat { .. } => {}
        GatewayUpdate::ConfigurationChunk(part) => {
            if let Some(head) = part.header {
                *coming = Some((head.index, head.version, head.length, 0));
            }
            let Some((place, version, length, got)) = coming else { return Ok(None) };
            *got += part.bytes.len() as u32;
            if *got >= *length && !(n == 0 && book.deaf.load(Relaxed)) {
                taken(book, seen, *version);
            }
            return Ok(Some(GatewayMessage::ChunkReceived { index: *place, received: *got }));
        }
        GatewayUpdate::LeaseGrant(lent) => {
            seen.answered.store(true, Relaxed);
            lock(&book.tally).answers += 1;
            let times = if book.twice { 4 } else { 1 };
            for loan in lent.units {
                let place = loan.tenant.strip_prefix("huka").and_then(|n| n.parse::<usize>().ok());
                if let Some(units) = place.and_then(|n| book.lent.get(n)) {
                    units.fetch_add(times * u64::from(loan.units), Relaxed);
                }
            }
        }
    }
    Ok(None)
}

/// Records that a gateway has received a whole configuration.
fn taken(book: &GrantedUnits, seen: &Seen, version: u32) {
    let held = seen.version.load(Relaxed);
    if version > held {
        *lock(&seen.at) = Some(Instant::now());
        seen.version.store(version, Relaxed);
    } else if version < held {
        lock(&book.tally).backwards += 1;
    }
}

// ---- Backends ----

/// Sends the heartbeats of these backends, one after the other.
async fn beats(line: usize, ids: Vec<usize>, book: Shared, controls: Vec<SocketAddr>, fresh: bool) {
    let between = Duration::from_millis(HEARTBEAT_MS);
    let mut every = interval(between / ids.len().max(1) as u32);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut to, mut kept) = (line, None);
    for sequence in 1u64.. {
        for n in &ids {
            every.tick().await;
            let address = controls[to % controls.len()];
            lock(&book.tally).beats_sent += 1;
            let beaten = timeout(Duration::from_secs(1), beat(&mut kept, address, *n, sequence)).await;
            match beaten {
                Ok(Ok((200, bytes))) => {
                    let mut tally = lock(&book.tally);
                    (tally.beats, tally.beat_bytes) = (tally.beats + 1, tally.beat_bytes + bytes);
                }
                // The next heartbeat goes to the next control node.
                _ => (to, kept) = (to + 1, None),
            }
            if fresh {
                kept = None;
            }
        }
    }
}

/// Sends one heartbeat. Returns the response's status, and the bytes of the request and the response.
async fn beat(
    kept: &mut Option<TcpStream>,
    to: SocketAddr,
    n: usize,
    sequence: u64,
) -> io::Result<(u16, u64)> {
    let stream = match kept {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            kept.insert(stream)
        }
    };
    let body = json!({"address": format!("10.128.{}.{}:8080", n / 250, n % 250),
        "nodeInfo": {"targetService": "desk", "configVersion": "v1", "zone": "zone-0", "capacitySlots": 6},
        "status": {"state": "ready", "callSequence": sequence, "warmupLeftMs": 0}})
    .to_string();
    let text = format!(
        "POST /-/Instances.Heartbeat/i-{n:08x} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await?;
    let mut answer = Vec::new();
    loop {
        let before = answer.len();
        answer.resize(before + 512, 0);
        let read = stream.read(&mut answer[before..]).await?;
        answer.truncate(before + read);
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let head = String::from_utf8_lossy(&answer);
        let Some((head, rest)) = head.split_once("\r\n\r\n") else { continue };
        let long =
            head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
        if rest.len() >= long.unwrap_or(0) {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            return Ok((status, (text.len() + answer.len()) as u64));
        }
    }
}
