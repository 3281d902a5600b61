//! Hollow gateways and backends. A hollow gateway follows a control node, requests leases and keeps only counts; a
//! hollow backend sends heartbeats. They are tasks on a few threads: one for every `GATEWAYS_PER_THREAD` gateways,
//! and one for all backends.

use super::{tenant, SharedState, Size, HEARTBEAT_MS};
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

/// Interval of a gateway's lease requests, and their number of tenants, like those of a gateway that serves 150
/// requests a second.
const LEASE_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const TENANTS_PER_REQUEST: usize = 15;
/// Delay before a gateway that has lost its control node connects to the next, and time without a message after which
/// it gives up the connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between the starts of two gateways.
const START_INTERVAL: Duration = Duration::from_millis(3);
/// Connections to each control node on which backends send heartbeats in turn, unless each heartbeat opens its own.
const CONNECTIONS_PER_CONTROL_NODE: usize = 16;
/// Number of gateways that decode every message; the others decode only configurations and lease grants.
const WITNESSES: usize = 2;
/// Maximum length of a message, as at a control node.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Gateways per thread.
const GATEWAYS_PER_THREAD: usize = 250;

/// Counts of all hollow gateways and backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Bytes sent to gateways, and by them.
    pub bytes_to_gateways: u64,
    pub bytes_from_gateways: u64,
    pub lease_requests: u64,
    pub lease_grants: u64,
    pub heartbeats_sent: u64,
    pub heartbeats_answered: u64,
    /// Bytes of answered heartbeats and of their responses.
    pub heartbeat_bytes: u64,
    /// Configurations that were older than the gateway's newest.
    pub version_regressions: u64,
    /// Connections of gateways that ended.
    pub lost_connections: u64,
}

impl Tally {
    /// Returns the difference to an earlier tally.
    pub fn since(&self, before: &Tally) -> Tally {
        Tally {
            bytes_to_gateways: self.bytes_to_gateways - before.bytes_to_gateways,
            bytes_from_gateways: self.bytes_from_gateways - before.bytes_from_gateways,
            lease_requests: self.lease_requests - before.lease_requests,
            lease_grants: self.lease_grants - before.lease_grants,
            heartbeats_sent: self.heartbeats_sent - before.heartbeats_sent,
            heartbeats_answered: self.heartbeats_answered - before.heartbeats_answered,
            heartbeat_bytes: self.heartbeat_bytes - before.heartbeat_bytes,
            version_regressions: self.version_regressions - before.version_regressions,
            lost_connections: self.lost_connections - before.lost_connections,
        }
    }
}

/// State of one hollow gateway.
#[derive(Default)]
struct GatewayState {
    /// Version of its newest configuration, and when it arrived.
    version: AtomicU32,
    at: Mutex<Option<Instant>>,
    /// Whether it has received a lease grant.
    answered: AtomicBool,
    /// Backends that it knows; kept by the first `WITNESSES` gateways only.
    backends: Mutex<HashSet<String>>,
}

/// State shared by all hollow gateways and backends.
pub struct HollowState {
    tally: Mutex<Tally>,
    gateways: Vec<GatewayState>,
    /// Units granted of each tenant.
    granted: Vec<AtomicU64>,
    ignores_configurations: AtomicBool,
    counts_twice: bool,
    stop: AtomicBool,
    began: Instant,
}

/// All hollow gateways and backends, which run until it is dropped.
pub struct HollowFleet {
    state: SharedState,
    backends: usize,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for HollowFleet {
    fn drop(&mut self) {
        self.state.stop.store(true, Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

impl HollowFleet {
    /// Starts the hollow gateways and backends.
    ///
    /// # Errors
    /// A thread's runtime cannot be created. The message is one line.
    pub fn start(play: &Play, size: &Size, cluster: &LocalCluster) -> Result<HollowFleet, String> {
        let state = Arc::new(HollowState {
            tally: Mutex::default(),
            gateways: (0..size.gateways).map(|_| GatewayState::default()).collect(),
            granted: (0..size.tenants).map(|_| AtomicU64::new(0)).collect(),
            ignores_configurations: AtomicBool::new(false),
            counts_twice: play.has("counts-twice"),
            stop: AtomicBool::new(false),
            began: Instant::now(),
        });
        let (control_nodes, controls) = (cluster.internal_addresses(), cluster.controls());
        let (seed, shared, count) = (play.seed, state.clone(), size.gateways);
        let mut threads = Vec::new();
        for first in (0..count).step_by(GATEWAYS_PER_THREAD) {
            let (shared, control_nodes) = (shared.clone(), control_nodes.clone());
            threads.push(spawn_local_tasks(state.clone(), move |tasks| {
                for n in first..count.min(first + GATEWAYS_PER_THREAD) {
                    let rng = fastrand::Rng::with_seed(seed ^ (n as u64) << 20);
                    tasks.spawn_local(gateway(n, shared.clone(), control_nodes.clone(), rng));
                }
            })?);
        }
        let active_backends = if play.has("silent") { size.backends * 3 / 4 } else { size.backends };
        let (shared, fresh) = (state.clone(), size.fresh);
        threads.push(spawn_local_tasks(state.clone(), move |tasks| {
            // Each connection carries the heartbeats of its share of the backends, spread evenly over the heartbeat
            // interval.
            let lines =
                if fresh { active_backends.min(512) } else { CONNECTIONS_PER_CONTROL_NODE * controls.len() };
            for line in 0..lines {
                let ids: Vec<usize> = (line..active_backends).step_by(lines).collect();
                tasks.spawn_local(send_heartbeats(line, ids, shared.clone(), controls.clone(), fresh));
            }
        })?);
        Ok(HollowFleet { state, backends: size.backends, threads })
    }

    pub fn tally(&self) -> Tally {
        *lock(&self.state.tally)
    }

    /// Time since the start.
    pub fn age(&self) -> Duration {
        self.state.began.elapsed()
    }

    /// Whether all gateways have a configuration and a lease grant, and the first `WITNESSES` know all backends.
    pub fn is_up(&self) -> bool {
        self.gateways_down() == 0 && self.known() >= self.backends
    }

    /// Returns the number of gateways that lack a configuration or a lease grant.
    pub fn gateways_down(&self) -> usize {
        let down = |g: &&GatewayState| g.version.load(Relaxed) == 0 || !g.answered.load(Relaxed);
        self.state.gateways.iter().filter(down).count()
    }

    /// Returns the fewest backends that one of the first `WITNESSES` gateways knows.
    fn known(&self) -> usize {
        self.state.gateways.iter().take(WITNESSES).map(|g| lock(&g.backends).len()).min().unwrap_or(0)
    }

    /// Waits, up to `most`, until the first `WITNESSES` gateways know as many backends as there are. Returns the
    /// fewest that one knows.
    pub fn backends_seen(&self, most: Duration) -> usize {
        let until = Instant::now() + most;
        while self.known() != self.backends && Instant::now() < until {
            thread::sleep(Duration::from_millis(50));
        }
        self.known()
    }

    /// Makes the first gateway ignore configurations from now on.
    pub fn ignore_configurations(&self) {
        self.state.ignores_configurations.store(true, Relaxed);
    }

    /// Returns the highest number of units that were granted of one tenant.
    pub fn max_granted(&self) -> u64 {
        self.state.granted.iter().map(|n| n.load(Relaxed)).max().unwrap_or(0)
    }

    /// Returns the sorted times after `since` at which gateways received this version, of those that did within
    /// `most`, and the median of them.
    pub fn in_force(&self, version: u32, since: Instant, most: Duration) -> (Vec<Duration>, Duration) {
        let has = |g: &&GatewayState| g.version.load(Relaxed) >= version;
        while self.state.gateways.iter().filter(has).count() < self.state.gateways.len()
            && since.elapsed() < most
        {
            thread::sleep(Duration::from_millis(5));
        }
        let at = |g: &GatewayState| Some((*lock(&g.at))?.saturating_duration_since(since));
        let mut all: Vec<Duration> = self.state.gateways.iter().filter(has).filter_map(at).collect();
        all.sort_unstable();
        let median = all.get(all.len() / 2).copied().unwrap_or(most);
        (all, median)
    }
}

/// Starts a thread that runs local tasks until the stop flag is set.
fn spawn_local_tasks(
    state: SharedState,
    spawn: impl FnOnce(&LocalSet) + Send + 'static,
) -> Result<JoinHandle<()>, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    Ok(thread::spawn(move || {
        let tasks = LocalSet::new();
        spawn(&tasks);
        let until_stopped = async move {
            while !state.stop.load(Relaxed) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        tasks.block_on(&runtime, until_stopped);
    }))
}

// ---- Gateways ----

async fn gateway(n: usize, state: SharedState, control_nodes: Vec<SocketAddr>, mut rng: fastrand::Rng) {
    sleep(START_INTERVAL * n as u32).await;
    let mut to = n % control_nodes.len();
    loop {
        // Any error is followed by a connection to the next control node.
        let _ = follow(n, &state, control_nodes[to], to, &mut rng).await;
        lock(&state.tally).lost_connections += 1;
        to = (to + 1) % control_nodes.len();
        sleep(RECONNECT_DELAY).await;
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
type ConfigurationProgress = Option<(u64, u32, u32, u32)>;

/// Follows one control node until the connection ends.
async fn follow(
    n: usize,
    state: &HollowState,
    to: SocketAddr,
    zone: usize,
    rng: &mut fastrand::Rng,
) -> io::Result<()> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let (name, zone) = (format!("hollow-{n}"), format!("zone-{zone}"));
    let written = write(
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
    lock(&state.tally).bytes_from_gateways += written;
    let (sender, mut replies) = mpsc::unbounded_channel::<GatewayMessage>();
    let send_loop = async {
        let mut ticker = interval(LEASE_REQUEST_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut number = 0;
        loop {
            let message = tokio::select! {
                message = replies.recv() => message.ok_or(io::ErrorKind::BrokenPipe)?,
                _ = ticker.tick() => {
                    number += 1;
                    lock(&state.tally).lease_requests += 1;
                    let tenant = |_| tenant(rng.usize(0..state.granted.len()));
                    let want = |tenant| UnitRequest { tenant, units: 1, arrivals: 1, returned: 0, spent_fallback: 0 };
                    let units = (0..TENANTS_PER_REQUEST).map(tenant).map(want).collect();
                    GatewayMessage::LeaseRequest(LeaseRequest { number, units, turns: Vec::new() })
                }
            };
            let written = write(&mut writer, &message).await?;
            lock(&state.tally).bytes_from_gateways += written;
        }
    };
    let receive_loop = async {
        let mut progress = None;
        loop {
            let outcome =
                timeout(SILENCE_TIMEOUT, receive_message(n, state, &mut reader, &mut progress)).await;
            let reply = outcome.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            reply.into_iter().for_each(|reply| drop(sender.send(reply)));
        }
    };
    tokio::select! {
        ended = send_loop => ended,
        ended = receive_loop => ended,
    }
}

/// Reads one message and returns the reply to it, if there is one.
async fn receive_message(
    n: usize,
    state: &HollowState,
    reader: &mut OwnedReadHalf,
    progress: &mut ConfigurationProgress,
) -> io::Result<Option<GatewayMessage>> {
    let length = reader.read_u32().await? as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    lock(&state.tally).bytes_to_gateways += length as u64 + 4;
    // A message is a map from its name to its content, so the name starts at the third byte.
    let named = |name: &[u8]| bytes.get(2..).is_some_and(|b| b.starts_with(name));
    if n >= WITNESSES && !named(b"Lent") && !named(b"Configuration") {
        return Ok(None);
    }
    let gateway_state = &state.gateways[n];
    match rmp_serde::from_slice(&bytes).map_err(io::Error::other)? {
        GatewayUpdate::Snapshot { snapshot: fleet_snapshot, .. } => {
            *lock(&gateway_state.backends) =
                fleet_snapshot.backends.into_iter().map(|f| f.instance).collect();
        }
        GatewayUpdate::Changes { changes, .. } => {
            let mut known = lock(&gateway_state.backends);
            for change in changes {
                match change {
                    FleetChange::Backend(heartbeat) => drop(known.insert(heartbeat.instance)),
                    FleetChange::BackendRemoved(id) => drop(known.remove(&id)),
                    _ => {}
                }
            }
        }
        GatewayUpdate::Heartbeat { .. } => {}
        GatewayUpdate::ConfigurationChunk(part) => {
            if let Some(head) = part.header {
                *progress = Some((head.index, head.version, head.length, 0));
            }
            let Some((place, version, length, received_bytes)) = progress else { return Ok(None) };
            *received_bytes += part.bytes.len() as u32;
            if *received_bytes >= *length && !(n == 0 && state.ignores_configurations.load(Relaxed)) {
                record_configuration(state, gateway_state, *version);
            }
            return Ok(Some(GatewayMessage::ChunkReceived { index: *place, received: *received_bytes }));
        }
        GatewayUpdate::LeaseGrant(granted) => {
            gateway_state.answered.store(true, Relaxed);
            lock(&state.tally).lease_grants += 1;
            let times = if state.counts_twice { 4 } else { 1 };
            for grant in granted.units {
                let place = grant.tenant.strip_prefix("huka").and_then(|n| n.parse::<usize>().ok());
                if let Some(units) = place.and_then(|n| state.granted.get(n)) {
                    units.fetch_add(times * u64::from(grant.units), Relaxed);
                }
            }
        }
    }
    Ok(None)
}

/// Records that a gateway has received a whole configuration.
fn record_configuration(state: &HollowState, gateway_state: &GatewayState, version: u32) {
    let newest = gateway_state.version.load(Relaxed);
    if version > newest {
        *lock(&gateway_state.at) = Some(Instant::now());
        gateway_state.version.store(version, Relaxed);
    } else if version < newest {
        lock(&state.tally).version_regressions += 1;
    }
}

// ---- Backends ----

/// Sends the heartbeats of these backends, one after the other.
async fn send_heartbeats(
    line: usize,
    ids: Vec<usize>,
    state: SharedState,
    controls: Vec<SocketAddr>,
    fresh: bool,
) {
    let between = Duration::from_millis(HEARTBEAT_MS);
    let mut ticker = interval(between / ids.len().max(1) as u32);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut to, mut kept) = (line, None);
    for sequence in 1u64.. {
        for n in &ids {
            ticker.tick().await;
            let address = controls[to % controls.len()];
            lock(&state.tally).heartbeats_sent += 1;
            let outcome =
                timeout(Duration::from_secs(1), send_heartbeat(&mut kept, address, *n, sequence)).await;
            match outcome {
                Ok(Ok((200, bytes))) => {
                    let mut tally = lock(&state.tally);
                    (tally.heartbeats_answered, tally.heartbeat_bytes) =
                        (tally.heartbeats_answered + 1, tally.heartbeat_bytes + bytes);
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
async fn send_heartbeat(
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
