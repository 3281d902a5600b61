//! CPU per request of the whole gateway beside a bare hyper pass-through, side by side in one run: one thread
//! each, pooled connections, the same headers, servers that answer at once.
//!
//! `GRANITETHREAD_BEFORE=FILE` adds an earlier build of the gateway, for a comparison of before and after.
//! `FLEET=1` adds the gateway once more with a view of the fleet that it keeps with two others.
//! `SNAPSHOT=1` adds it once more with a snapshot each second, on the temporary folder's disk.
//! `SERVERS`, `CONNECTIONS`, `REQUESTS` and `ROUNDS` set the sizes (10, 64, 30000, 5).

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Instant;
use test_harness::demo::request;
use test_harness::fleet::{good, serve};
use test_harness::peers::{list, Client, Discovery};
use test_harness::program::{Program, EXAMPLE};
use tokio::net::{TcpListener, TcpStream};

type Fault = Box<dyn Error + Send + Sync>;

// ---- The bare pass-through ----

type Idle = RefCell<Vec<SendRequest<Full<Bytes>>>>;

struct Pool {
    servers: Vec<(SocketAddr, Idle)>,
    next: Cell<usize>,
}

async fn pass(pool: &Pool, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Fault> {
    let n = pool.next.get();
    pool.next.set((n + 1) % pool.servers.len());
    let (address, idle) = &pool.servers[n];
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let mut onward = Request::new(Full::new(body));
    *onward.method_mut() = head.method;
    *onward.uri_mut() = head.uri;
    for name in ["host", "request-id", "idempotency-key", "content-type", "request-timeout"] {
        if let Some(value) = head.headers.get(name) {
            onward.headers_mut().insert(name, value.clone());
        }
    }
    let kept = idle.borrow_mut().pop().filter(|c| c.is_ready());
    let mut connection = match kept {
        Some(connection) => connection,
        None => {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let (sender, io) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(io);
            sender
        }
    };
    let answer = connection.send_request(onward).await?;
    let body = answer.into_body().collect().await?.to_bytes();
    connection.ready().await?;
    idle.borrow_mut().push(connection);
    Ok(Response::new(Full::new(body)))
}

fn bare(servers: &str) -> Result<(), Fault> {
    let servers = servers.split(',').map(|s| Ok((s.parse()?, RefCell::default())));
    let pool = Rc::new(Pool { servers: servers.collect::<Result<_, Fault>>()?, next: Cell::new(0) });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default())?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listening on {}", listener.local_addr()?);
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let pool = pool.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(move |r| {
                    let pool = pool.clone();
                    async move { pass(&pool, r).await }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

// ---- The comparison ----

fn number(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// CPU time that a process has used, in clock ticks.
fn ticks(id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a process of this system");
    let after = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after.split_whitespace().nth(n).and_then(|f| f.parse().ok()).unwrap_or(0u64);
    field(11) + field(12)
}

/// Drives a closed loop; requests that were not answered 200, and the mean answer time in ms.
fn drive(to: SocketAddr, requests: usize, connections: usize, round: usize) -> (usize, f64) {
    let started = Instant::now();
    let lanes: Vec<_> = (0..connections)
        .map(|lane| {
            thread::spawn(move || {
                let mut client = Client::try_connect(to).expect("it listens");
                let mut bad = 0;
                for n in 0..requests / connections {
                    let id = ((round as u64) << 48) | ((lane as u64) << 32) | n as u64;
                    let text = request("quote", id, "partner", &format!("{lane:016x}"), 2.0);
                    match client.try_ask(&text) {
                        Some(answer) => bad += usize::from(answer.status() != 200),
                        None => {
                            bad += 1;
                            client = Client::try_connect(to).expect("it listens");
                        }
                    }
                }
                bad
            })
        })
        .collect();
    let bad = lanes.into_iter().map(|l| l.join().expect("no panic")).sum();
    (bad, started.elapsed().as_secs_f64() * 1000.0 * connections as f64 / requests as f64)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

/// Operators' files of three members that know each other.
fn members(folder: &Path) -> Result<[PathBuf; 3], Fault> {
    std::fs::create_dir_all(folder)?;
    let key = folder.join("key");
    std::fs::write(&key, "a key of sixteen bytes and more")?;
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
    let places = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()));
    let places: Vec<SocketAddr> = places.into_iter().collect::<Result<_, _>>()?;
    let mut files = [(); 3].map(|()| PathBuf::new());
    for (n, file) in files.iter_mut().enumerate() {
        *file = folder.join(format!("member-{n}.toml"));
        let (listen, seed, key) = (places[n], places[(n + 1) % 3], key.display());
        let text = format!(
            "[fleet]\nname = \"m{n}\"\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\nkey_file = \"{key}\"\nsubsets = true\n"
        );
        std::fs::write(file, text)?;
    }
    Ok(files)
}

fn main() -> Result<(), Fault> {
    if let Ok(servers) = std::env::var("BARE_SERVERS") {
        return bare(&servers);
    }
    // `cargo test` runs benches too, in short.
    let short = !std::env::args().any(|a| a == "--bench");
    let (servers, connections) = (number("SERVERS", 10), number("CONNECTIONS", 64));
    let (requests, rounds) = if short { (640, 1) } else { (number("REQUESTS", 30_000), number("ROUNDS", 5)) };
    let answer = |_: &_, to: &mut _| good(to, "ok", None);
    let addresses = (0..servers).map(|_| serve(Arc::new(answer))).collect::<Result<Vec<_>, _>>()?;
    let names: Vec<String> = (0..servers).map(|n| format!("server-{n:03}")).collect();
    let all: Vec<_> = names.iter().zip(&addresses).map(|(n, a)| (n.as_str(), *a, "Ready")).collect();
    let discovery = Discovery::new(list(1, true, &all));
    let mut config: serde_json::Value = serde_json::from_str(EXAMPLE)?;
    for plan in config["settings"]["plans"].as_array_mut().into_iter().flatten() {
        plan["quota_rate"] = 1e6.into();
        plan["depth"] = 1e6.into();
        plan["never_over_rate"] = 0.0.into();
        plan["ceiling_burst"] = 0.0.into();
    }
    let mut programs = Vec::new();
    let now = PathBuf::from(env!("CARGO_BIN_EXE_granitethread"));
    let before = std::env::var_os("GRANITETHREAD_BEFORE").map(PathBuf::from);
    for (name, file) in [("before", before), ("gateway", Some(now))] {
        let Some(file) = file else { continue };
        programs.push((name, Program::start(&file, &config.to_string(), discovery.address)?));
        discovery.wait_for_calls(programs.len() * 2);
    }
    let view = number("FLEET", 0) > 0;
    let folder = std::env::temp_dir().join(format!("granitethread-bench-{}", std::process::id()));
    let mut others = Vec::new();
    if view {
        let [with, members @ ..] = members(&folder)?;
        let file = Path::new(env!("CARGO_BIN_EXE_granitethread"));
        programs.push((
            "view",
            Program::start_with_operator_file(file, &config.to_string(), discovery.address, Some(&with))?,
        ));
        for member in members {
            others.push(Program::start_with_operator_file(file, EXAMPLE, discovery.address, Some(&member))?);
        }
        discovery.wait_for_calls((programs.len() + others.len()) * 2);
    }
    if number("SNAPSHOT", 0) > 0 {
        let own = folder.join("snapshots");
        std::fs::create_dir_all(&own)?;
        let file = folder.join("snapshot.toml");
        std::fs::write(&file, format!("[snapshot]\nfolder = \"{}\"\nname = \"g\"\n", own.display()))?;
        let program = Path::new(env!("CARGO_BIN_EXE_granitethread"));
        programs.push((
            "snapshot",
            Program::start_with_operator_file(program, &config.to_string(), discovery.address, Some(&file))?,
        ));
    }
    let places: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let mut bare = Command::new(std::env::current_exe()?)
        .env("BARE_SERVERS", places.join(","))
        .stderr(Stdio::piped())
        .spawn()?;
    let mut first = String::new();
    BufReader::new(bare.stderr.take().expect("piped")).read_line(&mut first)?;
    let bare_address: SocketAddr = first.trim().trim_start_matches("listening on ").parse()?;
    let mut subjects = vec![("bare", bare.id(), bare_address)];
    subjects.extend(programs.iter().map(|(name, p)| (*name, p.child.id(), p.address)));
    let mut seen: Vec<(Vec<f64>, Vec<f64>, usize)> = vec![Default::default(); subjects.len()];
    // Round 0 warms up; the order turns from round to round.
    for round in 0..=rounds {
        for turn in 0..subjects.len() {
            let n = (turn + round) % subjects.len();
            let (_, id, address) = subjects[n];
            let started = ticks(id);
            let (bad, ms) = drive(address, requests, connections, round);
            if round > 0 {
                seen[n].0.push((ticks(id) - started) as f64 * 1e4 / requests as f64);
                seen[n].1.push(ms);
                seen[n].2 += bad;
            }
        }
    }
    let _ = (bare.kill(), bare.wait());
    println!("{servers} servers, {connections} connections, {rounds} rounds of {requests} requests each");
    let base = seen[0].0.clone();
    for ((name, ..), (cpu, ms, bad)) in subjects.iter().zip(&seen) {
        let ratio = median(cpu.iter().zip(&base).map(|(a, b)| a / b.max(1e-9)).collect());
        println!(
            "{name:8} {:6.1} us CPU a request, {ratio:5.2} times the bare one's; {:6.2} ms an answer; {bad} not served",
            median(cpu.clone()),
            median(ms.clone())
        );
    }
    if let (Some(b), Some(a)) =
        (subjects.iter().position(|s| s.0 == "before"), subjects.iter().position(|s| s.0 == "gateway"))
    {
        let ratio = median(seen[a].0.iter().zip(&seen[b].0).map(|(a, b)| a / b.max(1e-9)).collect());
        println!("after is {ratio:.3} of before");
    }
    for (part, what) in [("view", "a view"), ("snapshot", "snapshots")] {
        let place = |name| subjects.iter().position(|s| s.0 == name);
        if let (Some(b), Some(a)) = (place("gateway"), place(part)) {
            let ratio = median(seen[a].0.iter().zip(&seen[b].0).map(|(a, b)| a / b.max(1e-9)).collect());
            let all = seen[a].0.iter().sum::<f64>() / seen[b].0.iter().sum::<f64>();
            println!("with {what} it is {ratio:.3} of without; over all rounds {all:.3}");
        }
    }
    drop(others);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
