//! Runs the same scenario with real processes on loopback and in virtual time, and compares the two. The
//! simulator's results are trusted as far as the two agree.

use crate::quota::Quotas;
use crate::rng::{exponential, long_tailed, stream};
use crate::servers::{INITIAL_WARMTH, WARM_UP_TIME};
use crate::spec::{plan_of, Spec, MS};
use crate::world::MEAN_WORK;
use crate::{play, Stats};
use fastrand::Rng;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_harness::fleet::{lock, not_started, Cores, Meter};
use test_harness::peers::{read, Client, Discovery, Message};
use test_harness::program::{locate, Program, EXAMPLE};

/// Scenarios that are run side by side.
pub const DAYS: [&str; 4] = ["calm", "crash", "cold", "flood"];
/// Maximum difference between the shares of the real and the simulated run.
pub const TOLERANCE: f64 = 0.06;
const CLASSES: [&str; 3] = ["quote", "confirm", "book-slot"];
/// Maximum idle time of a reused connection: the gateway closes idle connections after 2.2 s.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// Idle connections to a gateway, with the time of their last use.
type Pool = Mutex<Vec<(Client, Instant)>>;

/// Results of a scenario, as shares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shares {
    pub goodput: f64,
    pub refused: f64,
    pub failed: f64,
    /// Attempts that reached a server, per try.
    pub attempts: f64,
}

impl Shares {
    /// Computes the shares from a run's counters.
    pub fn of(s: &Stats) -> Self {
        let share = |n: u64| n as f64 / s.asked.max(1) as f64;
        Shares {
            goodput: if s.worth_asked > 0.0 { s.worth_served / s.worth_asked } else { 1.0 },
            refused: share(s.refused),
            failed: share(s.failed),
            attempts: share(s.reached),
        }
    }

    /// Returns the shares with their names.
    pub fn named(&self) -> [(&'static str, f64); 4] {
        [
            ("goodput", self.goodput),
            ("refused", self.refused),
            ("failed", self.failed),
            ("attempts", self.attempts),
        ]
    }
}

/// Returns the mean over these seeds in virtual time.
pub fn simulated(spec: &Spec, seeds: std::ops::Range<u64>) -> Shares {
    let n = seeds.end.saturating_sub(seeds.start).max(1) as f64;
    let mut mean = Shares::default();
    for seed in seeds {
        let s = Shares::of(&play(spec, seed, false).stats);
        mean.goodput += s.goodput / n;
        mean.refused += s.refused / n;
        mean.failed += s.failed / n;
        mean.attempts += s.attempts / n;
    }
    mean
}

/// Runs a scenario with real gateways, for the duration that the spec states.
///
/// # Errors
/// Returns a one-line description if a gateway does not start.
pub fn real(spec: &Spec, seed: u64) -> Result<Shares, String> {
    let program = locate()?;
    let day = Arc::new(Day::new(spec.clone(), seed)?);
    let discovery = Discovery::new(day.list(1));
    let mut gateways = Vec::new();
    for n in 0..spec.gateways {
        gateways.push(Program::start(&program, &config(spec, n), discovery.address)?);
    }
    let addresses: Vec<SocketAddr> = gateways.iter().map(|g| g.address).collect();
    let day_start = Instant::now();
    let clients = {
        let (day, addresses) = (day.clone(), addresses.clone());
        thread::spawn(move || day.clients(&addresses, day_start))
    };
    let mut rng = stream(seed, "late news");
    let mut late = || Duration::from_millis(rng.u64(200..2500));
    if let Some(at) = spec.power_cut {
        wait(day_start, at);
        day.servers.iter().for_each(|s| s.stop());
        let list_update_at = day_start + Duration::from_nanos(at) + late();
        wait(day_start, at + 1000 * MS);
        for s in &day.servers {
            s.start()?;
        }
        thread::sleep(list_update_at.saturating_duration_since(Instant::now()));
        discovery.publish(2, day.list(2));
    }
    if let Some(at) = spec.crash {
        wait(day_start, at);
        gateways[0].kill();
        wait(day_start, at + 2000 * MS);
        gateways[0].restart()?;
    }
    let done = clients.join().map_err(|_| "the clients panicked".to_string());
    drop(gateways);
    done.map(|()| Shares::of(&day.stats()))
}

fn wait(day_start: Instant, at: u64) {
    thread::sleep((day_start + Duration::from_nanos(at)).saturating_duration_since(Instant::now()));
}

/// Returns the configuration of one gateway of this world.
fn config(spec: &Spec, me: usize) -> String {
    let mut config: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    let settings = spec.settings(me);
    let plan = |p: &interface::Plan| {
        json!({
            "name": p.name, "quota_rate": p.rate, "depth": p.depth, "value_factor": p.value_factor,
            "never_over_rate": p.hard_limit_rate, "ceiling_burst": p.hard_limit_burst,
        })
    };
    let s = &mut config["settings"];
    (s["me"], s["siblings"]) = (me.into(), spec.gateways.into());
    s["plans"] = settings.plans.iter().map(plan).collect();
    config.to_string()
}

// ---- Servers ----

/// Stand-in job server with cores, a bounded queue and a cold start. Its address accepts connections only
/// while it runs.
struct Server {
    address: SocketAddr,
    running: Mutex<Running>,
    changed: Condvar,
    cores: Cores,
}

#[derive(Default)]
struct Running {
    up: bool,
    /// Number of starts.
    generation: u64,
    /// Time of the last start as an instant and in Unix milliseconds, if it was stopped before.
    started_at: Option<(Instant, u64)>,
    connections: Vec<TcpStream>,
}

impl Server {
    fn new(cores: Cores) -> Result<(Self, TcpListener), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let running = Mutex::new(Running { up: true, ..Running::default() });
        Ok((Server { address, running, changed: Condvar::new(), cores }, listener))
    }

    fn stop(&self) {
        {
            let mut running = lock(&self.running);
            running.up = false;
            running.connections.drain(..).for_each(|c| drop(c.shutdown(Shutdown::Both)));
        }
        // Wakes the listener thread, which then closes the listener.
        drop(TcpStream::connect(self.address));
    }

    /// Marks the server as running and wakes the thread that binds its listener again.
    fn start(&self) -> Result<(), String> {
        let mut running = lock(&self.running);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        (running.up, running.started_at) = (true, Some((Instant::now(), unix)));
        running.generation += 1;
        self.changed.notify_all();
        Ok(())
    }

    /// Returns the speed of one core as a fraction of a warm core's.
    fn speed(&self) -> f64 {
        let started_at = lock(&self.running).started_at;
        let age = started_at.map_or(1.0, |(at, _)| at.elapsed().as_secs_f64() * 1e9 / WARM_UP_TIME as f64);
        (INITIAL_WARMTH + (1.0 - INITIAL_WARMTH) * age).min(1.0)
    }

    fn generation(&self) -> Option<u64> {
        let running = lock(&self.running);
        running.up.then_some(running.generation)
    }
}

/// State shared by all servers.
struct SharedState {
    spec: Spec,
    meter: Meter,
    /// Customer and units of each request.
    asked: Mutex<HashMap<u64, (usize, f64)>>,
    /// Time of the last execution of each keyed request.
    keys: Mutex<HashMap<u64, Instant>>,
    work: Mutex<Rng>,
    attempts: AtomicU64,
}

impl SharedState {
    /// Serves a server's connections while it runs, and binds its listener again after a restart.
    fn serve(self: Arc<Self>, server: Arc<Server>, mut listener: TcpListener) {
        loop {
            while let Ok((stream, _)) = listener.accept() {
                let Some(generation) = server.generation() else { break };
                let (shared, server) = (self.clone(), server.clone());
                thread::spawn(move || shared.connection(&server, generation, stream));
            }
            drop(listener);
            let mut running = lock(&server.running);
            while !running.up {
                running = server.changed.wait(running).unwrap_or_else(PoisonError::into_inner);
            }
            drop(running);
            listener = match TcpListener::bind(server.address) {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }

    fn connection(&self, server: &Server, generation: u64, mut stream: TcpStream) {
        let (Ok(half), Ok(handle)) = (stream.try_clone(), stream.try_clone()) else { return };
        let _ = stream.set_nodelay(true);
        lock(&server.running).connections.push(handle);
        let mut reader = BufReader::new(half);
        while let Some(message) = read(&mut reader, 0) {
            if server.generation() != Some(generation)
                || !self.answer(server, generation, &message, &mut stream)
            {
                return;
            }
        }
    }

    /// Processes a request as the simulated servers do: see `servers.rs` and `world/backends.rs`.
    fn answer(&self, server: &Server, generation: u64, message: &Message, to: &mut TcpStream) -> bool {
        let id = message.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let (customer, units) = lock(&self.asked).get(&id).copied().unwrap_or_default();
        self.attempts.fetch_add(1, Ordering::Relaxed);
        let work = long_tailed(&mut lock(&self.work), MEAN_WORK * (0.4 + 0.15 * units)) / server.speed();
        if !server.cores.work(Duration::from_nanos(work as u64)) {
            return not_started(to);
        }
        if server.generation() != Some(generation) {
            return false;
        }
        let keyed = message.header("idempotency-key").is_some();
        let first_run = if keyed { lock(&self.keys).insert(id, Instant::now()) } else { None };
        let repeat = first_run.is_some_and(|at| at.elapsed() < Duration::from_secs(2));
        let used = self.meter.record_usage(&customer.to_string(), if repeat { 0.0 } else { units });
        let rate = self.spec.settings(0).plans[plan_of(customer)].rate;
        let head = format!(
            "HTTP/1.1 200 OK\r\nBilled-Units: {units}\r\nUsage-Percent: {:.0}\r\nContent-Length: 2\r\n\r\nok",
            100.0 * used / rate
        );
        to.write_all(head.as_bytes()).is_ok()
    }
}

// ---- The day ----

struct Day {
    spec: Spec,
    seed: u64,
    servers: Vec<Arc<Server>>,
    shared: Arc<SharedState>,
    offers: Mutex<Quotas>,
    counts: Mutex<Stats>,
}

/// First try of a client, as drawn from the random streams.
#[derive(Clone, Copy)]
struct FirstTry {
    at: u64,
    customer: usize,
    class: usize,
    units: f64,
    chance: u64,
}

impl Day {
    fn new(spec: Spec, seed: u64) -> Result<Self, String> {
        let shared = Arc::new(SharedState {
            spec: spec.clone(),
            meter: Meter::default(),
            asked: Mutex::default(),
            keys: Mutex::default(),
            work: Mutex::new(stream(seed, "work")),
            attempts: AtomicU64::new(0),
        });
        let mut kinds = stream(seed, "servers");
        let mut servers = Vec::new();
        for _ in 0..spec.servers {
            let (server, listener) = Server::new(Cores::new(2, kinds.usize(8..16)))?;
            let server = Arc::new(server);
            servers.push(server.clone());
            let shared = shared.clone();
            thread::spawn(move || shared.serve(server, listener));
        }
        Ok(Day { spec, seed, servers, shared, offers: Mutex::default(), counts: Mutex::default() })
    }

    /// Returns the current server list as discovery sends it.
    fn list(&self, rev: u64) -> String {
        let target = |(n, s): (usize, &Arc<Server>)| {
            let boot = lock(&s.running).started_at.map_or(0, |(_, unix)| unix);
            json!({
                "uid": format!("s-{n:04}"), "endpoint": s.address.to_string(), "az": "hall", "model": "m",
                "pod_group": 0, "state": "Ready", "capacity_hint": 1.0, "boot_ms": boot,
            })
        };
        let targets: Vec<Value> = self.servers.iter().enumerate().map(target).collect();
        json!({ "rev": rev, "all": true, "targets": targets }).to_string()
    }

    fn stats(&self) -> Stats {
        Stats { reached: self.shared.attempts.load(Ordering::Relaxed), ..*lock(&self.counts) }
    }

    /// Draws all first tries with the same distributions and streams as the simulator.
    fn first_tries(&self) -> Vec<FirstTry> {
        let (mut load, mut first_tries) = (stream(self.seed, "load"), Vec::new());
        let (mut at, end) = (100 * MS, self.spec.seconds * 1000 * MS);
        while at < end {
            let gap = exponential(&mut load, 1e9 / self.spec.rate) as u64;
            let customer = load.usize(0..self.spec.customers);
            let draw = load.f64();
            let class = if draw < 0.46 { 0 } else { 1 + usize::from(draw < 0.73) };
            let units = f64::from(load.u32(1..=8)).min(f64::from(load.u32(1..=8)));
            let first = FirstTry { at, customer, class, units, chance: load.u64(..) };
            first_tries.push(first);
            if self.spec.flood.is_some_and(|(from, until)| (from..until).contains(&at)) {
                // The first partner adds twice the regular load.
                first_tries.extend((1..3).map(|n| FirstTry {
                    customer: 0,
                    chance: first.chance + n,
                    ..first
                }));
            }
            at += gap;
        }
        first_tries
    }

    /// Runs all clients, and returns when the last one has finished.
    fn clients(self: Arc<Self>, gateways: &[SocketAddr], day_start: Instant) {
        let pools: Arc<[Pool]> = gateways.iter().map(|_| Pool::default()).collect();
        let gateways: Arc<[SocketAddr]> = gateways.into();
        let mut all = Vec::new();
        for first in self.first_tries() {
            wait(day_start, first.at);
            let (day, pools, gateways) = (self.clone(), pools.clone(), gateways.clone());
            all.push(thread::spawn(move || day.client(&first, &gateways, &pools, day_start)));
        }
        all.into_iter().for_each(|c| drop(c.join()));
    }

    /// Runs one client: one request with up to two retries, as in the simulator.
    fn client(&self, first: &FirstTry, gateways: &[SocketAddr], pools: &[Pool], day_start: Instant) {
        let settings = self.spec.settings(0);
        let (class, plan) = (&settings.classes[first.class], &settings.plans[plan_of(first.customer)]);
        let now = || day_start.elapsed().as_nanos() as u64;
        let inside = lock(&self.offers).take(first.customer, plan, now(), first.units);
        let worth = if inside { class.points * plan.value_factor * first.units } else { 0.0 };
        lock(&self.counts).worth_asked += worth;
        let first_asked_at = Instant::now();
        for tries in 0..3 {
            if now() >= self.spec.seconds * 1000 * MS {
                return;
            }
            let mut rng = Rng::with_seed(first.chance ^ tries);
            let home = first.customer * 7 + (now() / self.spec.home_change_every) as usize;
            let n = gateways.len();
            let at =
                if rng.f64() < self.spec.home_share { home % n } else { (home + rng.usize(0..n.min(3))) % n };
            let timeout = (class.deadline as f64 * (0.5 + 0.5 * rng.f64())) as u64;
            let id = (first.chance ^ (tries << 60)).max(1);
            lock(&self.shared.asked).insert(id, (first.customer, first.units));
            lock(&self.counts).asked += 1;
            let account = format!("{:016x}", 1 + first.customer);
            let text = test_harness::demo::request(
                CLASSES[first.class],
                id,
                &plan.name,
                &account,
                Duration::from_nanos(timeout).as_secs_f64(),
            )
            .replace("units=1,spread=1", &format!("units={},spread={}", first.units, n.min(3)));
            let answer = (0..n).find_map(|k| {
                let g = (at + k) % n;
                ask(&pools[g], gateways[g], &text, Duration::from_nanos(timeout))
            });
            lock(&self.shared.asked).remove(&id);
            let retry_delay = match answer {
                Some(Some((200, _))) => {
                    let in_time = first_asked_at.elapsed().as_nanos() as u64 <= class.latency_target;
                    let mut counts = lock(&self.counts);
                    counts.served += 1;
                    counts.in_aim += u64::from(in_time);
                    counts.worth_served += if in_time { worth } else { 0.0 };
                    return;
                }
                Some(Some((429 | 503, advice))) => {
                    lock(&self.counts).refused += 1;
                    match first.customer % 3 {
                        0 => advice.max(Duration::from_millis(10)),
                        1 => Duration::from_millis(5),
                        _ => Duration::from_millis(300),
                    }
                }
                Some(Some(_)) => {
                    lock(&self.counts).failed += 1;
                    if first.class == 2 {
                        return;
                    }
                    Duration::from_millis(100)
                }
                // The request was accepted but no response came; the simulator's client gives
                // up too.
                _ => return,
            };
            thread::sleep(retry_delay);
        }
    }
}

/// Sends a request, on an idle connection if there is one. Returns `None` if the connection is refused;
/// otherwise the status and the advised delay, if a response came in time.
fn ask(pool: &Pool, to: SocketAddr, text: &str, limit: Duration) -> Option<Option<(u16, Duration)>> {
    let kept = lock(pool).pop().filter(|(_, used)| used.elapsed() < MAX_IDLE).map(|(client, _)| client);
    let reused = kept.is_some();
    let mut client = match kept {
        Some(client) => client,
        None => Client::try_connect(to)?,
    };
    let asked = Instant::now();
    let mut answer = exchange(&mut client, text, limit);
    if answer.is_none() && reused && asked.elapsed() < limit {
        // The gateway may have closed the idle connection while the request was on its way.
        client = Client::try_connect(to)?;
        answer = exchange(&mut client, text, limit.saturating_sub(asked.elapsed()));
    }
    if answer.is_some() {
        lock(pool).push((client, Instant::now()));
    }
    Some(answer)
}

fn exchange(client: &mut Client, text: &str, limit: Duration) -> Option<(u16, Duration)> {
    client.stream.set_read_timeout(Some(limit.max(Duration::from_millis(1)))).ok()?;
    let answer = client.try_ask(text)?;
    let advice = answer.header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
    Some((answer.status(), Duration::try_from_secs_f64(advice).unwrap_or_default()))
}
