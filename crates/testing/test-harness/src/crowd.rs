//! Scenario of a connection flood: many clients connect and never finish a request. Each complete request comes on
//! its own connection, and some are written slowly. Descriptors and memory are scarce, and the gateway is restarted
//! in the middle.

use crate::demo::request;
use crate::fleet::{body, good, lock, serve};
use crate::peers::{list, Client, Discovery, Message};
use crate::program::{locate, Program, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use fastrand::Rng;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "crowd",
    about: "a crowd that connects and never finishes a request, complete requests on new connections, a restart in the middle",
    seconds: 12,
    test_seconds: 5,
    defects: &[
        ("silent-clients", "the clients of complete requests send nothing either"),
        ("killed", "the gateway is killed in place of SIGTERM"),
        ("hung-gateway", "the gateway is suspended for a while: no operator call is answered"),
    ],
    program_defects: &[],
    run,
};

/// Limits in the gateway's configuration.
const SOCKETS: usize = 140;
const MEMORY_MB: usize = 24;
/// Connections without a complete request: more than the gateway may hold.
const MAX_INCOMPLETE: usize = 300;
const CLIENTS: u64 = 12;

/// Requests, by outcome.
#[derive(Default)]
struct RequestRecord {
    served: AtomicUsize,
    refused: AtomicUsize,
    /// Completely written and not answered.
    lost: AtomicUsize,
    /// Connection closed while the request was being written.
    cut: AtomicUsize,
    /// Completely written.
    whole: AtomicUsize,
}

/// Sends complete requests, each on its own connection.
fn run_client(n: u64, play: &Play, to: SocketAddr, stop: &AtomicBool, record: &RequestRecord) {
    let mut rng = Rng::with_seed(play.seed.wrapping_add(n).wrapping_mul(0x2545_f491_4f6c_dd1d));
    let mut number = (n + 1) << 32;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let class = ["quote", "confirm", "book-slot"][rng.usize(0..3)];
        let text = request(class, number, "partner", &format!("{:016x}", 0xc0 + n), 2.0);
        // Connections are refused while the gateway restarts.
        let Some(mut client) = Client::try_connect(to) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        if play.has("silent-clients") {
            thread::sleep(Duration::from_millis(200));
            record.cut.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        if rng.u32(0..4) == 0 {
            // Written in pieces, the last of which completes the request.
            let pause = Duration::from_millis(rng.u64(0..150));
            let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len().div_ceil(12)).collect();
            let (last, first) = pieces.split_last().expect("a request is not empty");
            let written = first.iter().all(|piece| {
                let there = !is_closed(&client.stream) && client.stream.write_all(piece).is_ok();
                thread::sleep(pause);
                there
            });
            if !written || is_closed(&client.stream) || client.stream.write_all(last).is_err() {
                record.cut.fetch_add(1, Ordering::Relaxed);
                continue;
            }
        } else if client.stream.write_all(text.as_bytes()).is_err() {
            record.cut.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        record.whole.fetch_add(1, Ordering::Relaxed);
        let count = match client.try_ask("").as_ref().map(Message::status) {
            Some(200) => &record.served,
            Some(429 | 503) => &record.refused,
            _ => &record.lost,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Whether the gateway has closed the connection, so that an incomplete request cannot be processed.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let is_closed = match stream.peek(&mut [0]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    is_closed
}

/// Opens connections that never finish a request, continuously replacing the oldest.
fn open_incomplete(play: &Play, to: SocketAddr, stop: &AtomicBool) {
    let mut rng = Rng::with_seed(play.seed ^ 0x5eed);
    let mut all: VecDeque<TcpStream> = VecDeque::new();
    let incomplete = request("quote", 1, "partner", "00000000000000c0", 2.0);
    while !stop.load(Ordering::Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(to) {
            let _ = stream.write_all(&incomplete.as_bytes()[..rng.usize(0..incomplete.len() - 2)]);
            all.push_back(stream);
        }
        if all.len() > MAX_INCOMPLETE {
            all.pop_front();
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn run(play: &Play) -> Result<Figures, String> {
    let script = |m: &Message, to: &mut _| {
        thread::sleep(Duration::from_millis(20));
        good(to, &body(m), None)
    };
    let mut servers = Vec::new();
    for name in ["server-1", "server-2", "server-3"] {
        servers.push((name, serve(Arc::new(script)).map_err(|e| e.to_string())?, "Ready"));
    }
    let discovery = Discovery::new(list(1, true, &servers));
    let limits = format!(r#""memory_mb": {MEMORY_MB}, "sockets": {SOCKETS}"#);
    let config = EXAMPLE.replace(r#""memory_mb": 192, "sockets": 1024"#, &limits);
    let gateway = Program::start_with_operator_listener(&locate()?, &config, discovery.address, None)?;
    discovery.wait_for_calls(2);
    let (to, gateway) = (gateway.address, Arc::new(Mutex::new(gateway)));
    let (stop, record) = (Arc::new(AtomicBool::new(false)), Arc::<RequestRecord>::default());
    let mut threads = Vec::new();
    {
        let (play, stop) = (play.clone(), stop.clone());
        threads.push(thread::spawn(move || open_incomplete(&play, to, &stop)));
    }
    for n in 0..CLIENTS {
        let (play, stop, record) = (play.clone(), stop.clone(), record.clone());
        threads.push(thread::spawn(move || run_client(n, &play, to, &stop, &record)));
    }
    let (mut open, mut memory, mut late, mut calls, mut unclean) = (0, 0, 0, 0, 0);
    let mut watch = |until: Instant| {
        while Instant::now() < until {
            let gateway = lock(&gateway);
            let (o, m) = gateway.resource_usage().unwrap_or_default();
            (open, memory) = (open.max(o), memory.max(m));
            calls += 1;
            late += usize::from(gateway.call("GET /status/metrics", "").is_none_or(|(s, _)| s != 200));
            drop(gateway);
            thread::sleep(Duration::from_millis(50));
        }
    };
    watch(Instant::now() + play.time / 2);
    if play.has("hung-gateway") {
        lock(&gateway).signal("-STOP");
        watch(Instant::now() + Duration::from_millis(1500));
        lock(&gateway).signal("-CONT");
    }
    let mut one = lock(&gateway);
    if play.has("killed") {
        one.kill();
    } else {
        unclean += usize::from(!one.drain(Duration::from_secs(5))?.success());
    }
    one.restart()?;
    drop(one);
    watch(Instant::now() + play.time / 2);
    stop.store(true, Ordering::Relaxed);
    for one in threads {
        one.join().map_err(|_| "a client thread panicked")?;
    }
    let count = |c: &AtomicUsize| c.load(Ordering::Relaxed);
    let (served, refused, whole) = (count(&record.served), count(&record.refused), count(&record.whole));
    let mut f = Figures::default();
    f.set("asked_whole", whole);
    f.set("refused", refused);
    f.bound("served_share", served as f64 / whole.max(1) as f64, 0.5, 1.0);
    f.expect_zero("lost", count(&record.lost));
    f.bound("cut_share", count(&record.cut) as f64 / (whole + count(&record.cut)).max(1) as f64, 0.0, 0.1);
    f.bound("calls", f64::from(calls), 10.0, f64::INFINITY);
    f.expect_zero("calls_late_or_unanswered", late);
    f.expect_zero("unclean_ends", unclean);
    f.bound("descriptors", open as f64, 1.0, SOCKETS as f64);
    f.bound("memory_kb", memory as f64, 1.0, (MEMORY_MB << 10) as f64);
    Ok(f)
}
