//! Scenario of upgrades in service: one process after another takes over a listening socket under load, while the
//! operator takes backends out of service and puts them back.

use crate::demo::request;
use crate::fleet::{body, good, lock, serve};
use crate::peers::{list, Client, Discovery, Message};
use crate::program::{locate, Program, SharedListener, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "upgrade",
    about: "processes that take over from each other under load, with bans by the operator: no connection is lost",
    seconds: 12,
    test_seconds: 4,
    defects: &[
        ("deaf-operator", "a backend is taken out of service, but the gateway is not notified"),
        ("folder-lost", "the new process gets another folder, so that bans do not reach it"),
        ("killed-at-once", "the old process is killed in place of SIGTERM"),
        ("few-descriptors", "the checked limit is far below the one in the gateway's configuration"),
    ],
    program_defects: &[],
    run,
};

const NAMES: [&str; 3] = ["server-1", "server-2", "server-3"];
const CLIENTS: u64 = 24;
const SOCKETS: usize = 200;
/// Grace period of the drain, plus the delay of a loaded machine.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 500);
/// Time in which a new process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(6);

/// Counts at the servers and the clients.
#[derive(Default)]
struct RequestRecord {
    /// Time at which each server was taken out of service, if it is.
    out_since: Mutex<[Option<Instant>; NAMES.len()]>,
    /// Requests that reached a server out of service after the grace period.
    after_ban: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
}

/// Sends requests on one connection until the gateway closes it, as clients of the platform do.
fn run_client(n: u64, to: SocketAddr, stop: &AtomicBool, record: &RequestRecord) {
    let (mut kept, mut number) = (None::<Client>, (n + 1) << 32);
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let class = ["quote", "confirm", "book-slot"][(number % 3) as usize];
        let text = request(class, number, "partner", &format!("{:016x}", 0xc0 + n), 2.0);
        // The gateway may close a kept connection while a request is on its way: it is sent again on a new one.
        let answer = kept.as_mut().and_then(|c| c.try_ask(&text));
        let answer = answer.or_else(|| {
            kept = Client::try_connect(to);
            kept.as_mut().and_then(|c| c.try_ask(&text))
        });
        let count = match answer.as_ref().map(Message::status) {
            Some(200) => &record.served,
            Some(429 | 503) => &record.refused,
            _ => &record.lost,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if answer.is_none_or(|a| a.header("connection") == Some("close")) {
            kept = None;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A temporary folder, which is removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Result<Self, String> {
        let number = crate::peers::NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("test-harness-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a process and waits until it is ready. Returns how long that took.
fn start(
    program: &Path,
    discovery: SocketAddr,
    shared: &SharedListener<'_>,
    gateways: &Mutex<Vec<Program>>,
) -> Result<Duration, String> {
    let began = Instant::now();
    let config = EXAMPLE.replace(r#""sockets": 1024"#, &format!(r#""sockets": {SOCKETS}"#));
    let new = Program::start_with_operator_listener(program, &config, discovery, Some(shared))?;
    while new.call("GET /status", "").is_none_or(|(status, _)| status != 200) {
        if began.elapsed() > READY_TIMEOUT {
            return Err("the new process did not become ready".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    lock(gateways).push(new);
    Ok(began.elapsed())
}

fn run(play: &Play) -> Result<Figures, String> {
    let record = Arc::<RequestRecord>::default();
    let mut servers = Vec::new();
    for (n, name) in NAMES.into_iter().enumerate() {
        let record = record.clone();
        let script = move |m: &Message, to: &mut _| {
            if lock(&record.out_since)[n].is_some_and(|since| since.elapsed() > DRAIN_GRACE) {
                record.after_ban.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(2));
            good(to, &body(m), None)
        };
        servers.push((name, serve(Arc::new(script)).map_err(|e| e.to_string())?, "Ready"));
    }
    let discovery = Discovery::new(list(1, true, &servers));
    let program = locate()?;
    let socket = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let to = socket.local_addr().map_err(|e| e.to_string())?;
    let (folder, other) = (Folder::new()?, Folder::new()?);
    let gateways = Arc::new(Mutex::new(Vec::new()));
    let first = SharedListener { socket: &socket, folder: &folder.0 };
    let lost = if play.has("folder-lost") { &other.0 } else { &folder.0 };
    let next = SharedListener { socket: &socket, folder: lost };
    start(&program, discovery.address, &first, &gateways)?;
    let stop = Arc::new(AtomicBool::new(false));
    let max_descriptors = Arc::new(AtomicUsize::new(0));
    let sampler = {
        let (gateways, stop, max_descriptors) = (gateways.clone(), stop.clone(), max_descriptors.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let held: usize =
                    lock(&gateways).iter().filter_map(Program::resource_usage).map(|h| h.0).sum();
                max_descriptors.fetch_max(held, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let client_threads: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || run_client(n, to, &stop, &record))
        })
        .collect();
    let until = Instant::now() + play.time;
    let (mut upgrades, mut unclean, mut took_over, mut slowest) = (0, 0, 0, Duration::ZERO);
    let mut failed_calls = 0;
    let mut victim = play.seed as usize % NAMES.len();
    while Instant::now() < until {
        // A server is taken out before an upgrade and put back after it: the ban must outlive the process that
        // received it.
        let name = NAMES[victim];
        let call = |what: &str| {
            let body = format!(r#"{{"target":"{name}"}}"#);
            let last = lock(&gateways);
            let answer = last.last().and_then(|g| g.call(&format!("POST /maintenance/{what}"), &body));
            answer.is_some_and(|(status, _)| status == 200)
        };
        failed_calls += usize::from(!play.has("deaf-operator") && !call("enter"));
        lock(&record.out_since)[victim] = Some(Instant::now());
        slowest = slowest.max(start(&program, discovery.address, &next, &gateways)?);
        let mut old = lock(&gateways).remove(0);
        if play.has("killed-at-once") {
            old.kill();
        } else {
            unclean += usize::from(!old.drain(Duration::from_secs(5))?.success());
        }
        upgrades += 1;
        thread::sleep(DRAIN_GRACE + Duration::from_millis(300));
        let last = lock(&gateways);
        took_over += last.last().map_or(0, |g| g.log.try_iter().filter(|l| l.contains("took over")).count());
        drop(last);
        lock(&record.out_since)[victim] = None;
        failed_calls += usize::from(!call("exit"));
        victim = (victim + 1) % NAMES.len();
    }
    stop.store(true, Ordering::Relaxed);
    for client in client_threads {
        client.join().map_err(|_| "a client thread panicked")?;
    }
    sampler.join().map_err(|_| "the sampler thread panicked")?;
    let count = |c: &AtomicUsize| c.load(Ordering::Relaxed);
    let (served, refused) = (count(&record.served), count(&record.refused));
    let mut f = Figures::default();
    f.bound("upgrades", upgrades as f64, 2.0, f64::INFINITY);
    f.set("served", served);
    f.bound("refused_share", refused as f64 / (served + refused).max(1) as f64, 0.0, 0.9);
    f.expect_zero("ended_at_the_door_or_lost", count(&record.lost));
    f.expect_zero("sent_while_out_by_hand", count(&record.after_ban));
    f.expect_zero("calls_answered_no", failed_calls);
    f.expect_zero("unclean_ends", unclean);
    f.expect_zero("not_taken_over", upgrades - took_over.min(upgrades));
    f.bound("slowest_yes_ms", slowest.as_millis() as f64, 0.0, READY_TIMEOUT.as_millis() as f64);
    let limit = if play.has("few-descriptors") { 20 } else { SOCKETS };
    f.bound("descriptors_at_once", count(&max_descriptors) as f64, 1.0, limit as f64);
    Ok(f)
}

/// The scenario replaces this limit in the example by text, so the example must contain it.
#[cfg(test)]
#[test]
fn the_example_tells_its_descriptors() {
    assert!(EXAMPLE.contains(r#""sockets": 1024"#));
}
