//! The scenario of upgrades in service: one process after another takes over a listening socket under load, while
//! backends are taken out by hand and put back.

use crate::demo::request;
use crate::fleet::{body, good, lock, serve};
use crate::peers::{list, Client, Discovery, Message};
use crate::program::{locate, Program, Shared, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "upgrade",
    about: "processes that take over from each other under load, with bans by hand: nothing ends at the door",
    seconds: 12,
    test_seconds: 4,
    defects: &[
        ("deaf-operator", "a backend is taken out and the gateway is not told"),
        ("folder-lost", "the new process is given another folder, so that bans do not reach it"),
        ("killed-at-once", "the old process is killed where it should be told to end"),
        ("few-descriptors", "the limit that is watched is far under the one that the gateway is told"),
    ],
    planted: &[],
    run,
};

const NAMES: [&str; 3] = ["server-1", "server-2", "server-3"];
const LANES: u64 = 24;
const SOCKETS: usize = 200;
/// The drain's grace, and what a machine under load may add to it.
const GRACE: Duration = Duration::from_millis(500 + 500);
const YES: Duration = Duration::from_secs(6);

#[derive(Default)]
struct RequestRecord {
    /// Since when each server is out.
    out: Mutex<[Option<Instant>; NAMES.len()]>,
    after_ban: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
}

/// Asks on a kept connection for as long as it is let, as clients of the platform do.
fn lane(n: u64, to: SocketAddr, over: &AtomicBool, ledger: &RequestRecord) {
    let (mut kept, mut number) = (None::<Client>, (n + 1) << 32);
    while !over.load(Ordering::Relaxed) {
        number += 1;
        let class = ["quote", "confirm", "book-slot"][(number % 3) as usize];
        let text = request(class, number, "partner", &format!("{:016x}", 0xc0 + n), 2.0);
        // A close may cross a request on a kept connection: it is sent once more on a new one.
        let answer = kept.as_mut().and_then(|c| c.try_ask(&text));
        let answer = answer.or_else(|| {
            kept = Client::try_connect(to);
            kept.as_mut().and_then(|c| c.try_ask(&text))
        });
        let count = match answer.as_ref().map(Message::status) {
            Some(200) => &ledger.served,
            Some(429 | 503) => &ledger.refused,
            _ => &ledger.lost,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if answer.is_none_or(|a| a.header("connection") == Some("close")) {
            kept = None;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A folder that goes with its owner.
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

/// A new process that says yes, and how long that took.
fn start(
    program: &Path,
    discovery: SocketAddr,
    shared: &Shared<'_>,
    gateways: &Mutex<Vec<Program>>,
) -> Result<Duration, String> {
    let began = Instant::now();
    let config = EXAMPLE.replace(r#""sockets": 1024"#, &format!(r#""sockets": {SOCKETS}"#));
    let new = Program::start_with_operator_listener(program, &config, discovery, Some(shared))?;
    while new.call("GET /status", "").is_none_or(|(status, _)| status != 200) {
        if began.elapsed() > YES {
            return Err("the new process never says yes".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    lock(gateways).push(new);
    Ok(began.elapsed())
}

fn run(play: &Play) -> Result<Figures, String> {
    let ledger = Arc::<RequestRecord>::default();
    let mut servers = Vec::new();
    for (n, name) in NAMES.into_iter().enumerate() {
        let ledger = ledger.clone();
        let script = move |m: &Message, to: &mut _| {
            if lock(&ledger.out)[n].is_some_and(|since| since.elapsed() > GRACE) {
                ledger.after_ban.fetch_add(1, Ordering::Relaxed);
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
    let first = Shared { socket: &socket, folder: &folder.0 };
    let lost = if play.has("folder-lost") { &other.0 } else { &folder.0 };
    let next = Shared { socket: &socket, folder: lost };
    start(&program, discovery.address, &first, &gateways)?;
    let over = Arc::new(AtomicBool::new(false));
    let most = Arc::new(AtomicUsize::new(0));
    let sampler = {
        let (gateways, over, most) = (gateways.clone(), over.clone(), most.clone());
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let held: usize =
                    lock(&gateways).iter().filter_map(Program::resource_usage).map(|h| h.0).sum();
                most.fetch_max(held, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let lanes: Vec<_> = (0..LANES)
        .map(|n| {
            let (over, ledger) = (over.clone(), ledger.clone());
            thread::spawn(move || lane(n, to, &over, &ledger))
        })
        .collect();
    let until = Instant::now() + play.time;
    let (mut upgrades, mut unclean, mut took_over, mut slowest) = (0, 0, 0, Duration::ZERO);
    let mut noes = 0;
    let mut victim = play.seed as usize % NAMES.len();
    while Instant::now() < until {
        // Out before an upgrade, back after it: the ban has to outlive the process that was told.
        let name = NAMES[victim];
        let call = |what: &str| {
            let body = format!(r#"{{"target":"{name}"}}"#);
            let last = lock(&gateways);
            let answer = last.last().and_then(|g| g.call(&format!("POST /maintenance/{what}"), &body));
            answer.is_some_and(|(status, _)| status == 200)
        };
        noes += usize::from(!play.has("deaf-operator") && !call("enter"));
        lock(&ledger.out)[victim] = Some(Instant::now());
        slowest = slowest.max(start(&program, discovery.address, &next, &gateways)?);
        let mut old = lock(&gateways).remove(0);
        if play.has("killed-at-once") {
            old.kill();
        } else {
            unclean += usize::from(!old.drain(Duration::from_secs(5))?.success());
        }
        upgrades += 1;
        thread::sleep(GRACE + Duration::from_millis(300));
        let last = lock(&gateways);
        took_over += last.last().map_or(0, |g| g.log.try_iter().filter(|l| l.contains("took over")).count());
        drop(last);
        lock(&ledger.out)[victim] = None;
        noes += usize::from(!call("exit"));
        victim = (victim + 1) % NAMES.len();
    }
    over.store(true, Ordering::Relaxed);
    for lane in lanes {
        lane.join().map_err(|_| "a client was lost")?;
    }
    sampler.join().map_err(|_| "the sampler was lost")?;
    let count = |c: &AtomicUsize| c.load(Ordering::Relaxed);
    let (served, refused) = (count(&ledger.served), count(&ledger.refused));
    let mut f = Figures::default();
    f.bound("upgrades", upgrades as f64, 2.0, f64::INFINITY);
    f.set("served", served);
    f.bound("refused_share", refused as f64 / (served + refused).max(1) as f64, 0.0, 0.9);
    f.none("ended_at_the_door_or_lost", count(&ledger.lost));
    f.none("sent_while_out_by_hand", count(&ledger.after_ban));
    f.none("calls_answered_no", noes);
    f.none("unclean_ends", unclean);
    f.none("not_taken_over", upgrades - took_over.min(upgrades));
    f.bound("slowest_yes_ms", slowest.as_millis() as f64, 0.0, YES.as_millis() as f64);
    let limit = if play.has("few-descriptors") { 20 } else { SOCKETS };
    f.bound("descriptors_at_once", count(&most) as f64, 1.0, limit as f64);
    Ok(f)
}

/// Kept from growing stale: the example says how many descriptors a gateway has.
#[cfg(test)]
#[test]
fn the_example_tells_its_descriptors() {
    assert!(EXAMPLE.contains(r#""sockets": 1024"#));
}
