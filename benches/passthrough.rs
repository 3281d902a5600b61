//! Compares CPU time per request of the whole gateway and of a bare hyper reverse proxy in one run: one thread each,
//! pooled connections, the same headers, backends that answer at once.
//!
//! `GRANITETHREAD_BEFORE=FILE` adds an earlier build of the gateway, for a comparison of before and after.
//! `FLEET=1` adds the gateway once more with fleet membership, together with two other members.
//! `SNAPSHOT=1` adds the gateway once more with a snapshot each second, written to the temporary folder.
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

type BoxError = Box<dyn Error + Send + Sync>;

// ---- The bare proxy ----

type IdleConnections = RefCell<Vec<SendRequest<Full<Bytes>>>>;

struct Pool {
    servers: Vec<(SocketAddr, IdleConnections)>,
    next: Cell<usize>,
}

/// Forwards a request to the next server in turn over a pooled connection.
async fn forward(pool: &Pool, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, BoxError> {
    let server_index = pool.next.get();
    pool.next.set((server_index + 1) % pool.servers.len());
    let (address, idle) = &pool.servers[server_index];
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let mut forwarded = Request::new(Full::new(body));
    *forwarded.method_mut() = head.method;
    *forwarded.uri_mut() = head.uri;
    for name in ["host", "request-id", "idempotency-key", "content-type", "request-timeout"] {
        if let Some(value) = head.headers.get(name) {
            forwarded.headers_mut().insert(name, value.clone());
        }
    }
    let pooled = idle.borrow_mut().pop().filter(|c| c.is_ready());
    let mut connection = match pooled {
        Some(connection) => connection,
        None => {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let (sender, io) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(io);
            sender
        }
    };
    let answer = connection.send_request(forwarded).await?;
    let body = answer.into_body().collect().await?.to_bytes();
    connection.ready().await?;
    idle.borrow_mut().push(connection);
    Ok(Response::new(Full::new(body)))
}

/// Runs the bare proxy to a comma-separated list of servers.
fn bare(servers: &str) -> Result<(), BoxError> {
    let servers = servers.split(',').map(|s| Ok((s.parse()?, RefCell::default())));
    let pool = Rc::new(Pool { servers: servers.collect::<Result<_, BoxError>>()?, next: Cell::new(0) });
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
                    async move { forward(&pool, r).await }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

// ---- The comparison ----

/// Reads a number from an environment variable.
fn env_number(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Returns the CPU time that a process has used, in clock ticks.
fn cpu_ticks(id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a process of this system");
    let after = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after.split_whitespace().nth(n).and_then(|f| f.parse().ok()).unwrap_or(0u64);
    field(11) + field(12)
}

/// Drives a closed loop. Returns the number of requests not answered 200, and the mean response time in ms.
fn drive_closed_loop(address: SocketAddr, requests: usize, connections: usize, round: usize) -> (usize, f64) {
    let started = Instant::now();
    let threads: Vec<_> = (0..connections)
        .map(|connection_index| {
            thread::spawn(move || {
                let mut client = Client::try_connect(address).expect("it listens");
                let mut failures = 0;
                for n in 0..requests / connections {
                    let id = ((round as u64) << 48) | ((connection_index as u64) << 32) | n as u64;
                    let text = request("quote", id, "partner", &format!("{connection_index:016x}"), 2.0);
                    match client.try_ask(&text) {
                        Some(answer) => failures += usize::from(answer.status() != 200),
                        None => {
                            failures += 1;
                            client = Client::try_connect(address).expect("it listens");
                        }
                    }
                }
                failures
            })
        })
        .collect();
    let failures = threads.into_iter().map(|l| l.join().expect("no panic")).sum();
    (failures, started.elapsed().as_secs_f64() * 1000.0 * connections as f64 / requests as f64)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Writes the operators' files of three fleet members that have each other as seeds.
fn members(folder: &Path) -> Result<[PathBuf; 3], BoxError> {
    std::fs::create_dir_all(folder)?;
    let key = folder.join("key");
    std::fs::write(&key, "a key of sixteen bytes and more")?;
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
    let listen_addresses = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()));
    let listen_addresses: Vec<SocketAddr> = listen_addresses.into_iter().collect::<Result<_, _>>()?;
    let mut files = [(); 3].map(|()| PathBuf::new());
    for (n, file) in files.iter_mut().enumerate() {
        *file = folder.join(format!("member-{n}.toml"));
        let (listen, seed, key) = (listen_addresses[n], listen_addresses[(n + 1) % 3], key.display());
        let text = format!(
            "[fleet]\nname = \"m{n}\"\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\nkey_file = \"{key}\"\nsubsets = true\n"
        );
        std::fs::write(file, text)?;
    }
    Ok(files)
}

fn main() -> Result<(), BoxError> {
    if let Ok(servers) = std::env::var("BARE_SERVERS") {
        return bare(&servers);
    }
    // `cargo test` runs benches too, then with few requests.
    let is_short = !std::env::args().any(|a| a == "--bench");
    let (servers, connections) = (env_number("SERVERS", 10), env_number("CONNECTIONS", 64));
    let (requests, rounds) =
        if is_short { (640, 1) } else { (env_number("REQUESTS", 30_000), env_number("ROUNDS", 5)) };
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
    let current = PathBuf::from(env!("CARGO_BIN_EXE_granitethread"));
    let before = std::env::var_os("GRANITETHREAD_BEFORE").map(PathBuf::from);
    for (name, file) in [("before", before), ("gateway", Some(current))] {
        let Some(file) = file else { continue };
        programs.push((name, Program::start(&file, &config.to_string(), discovery.address)?));
        discovery.wait_for_calls(programs.len() * 2);
    }
    let with_fleet = env_number("FLEET", 0) > 0;
    let folder = std::env::temp_dir().join(format!("granitethread-bench-{}", std::process::id()));
    let mut other_members = Vec::new();
    if with_fleet {
        let [with, members @ ..] = members(&folder)?;
        let file = Path::new(env!("CARGO_BIN_EXE_granitethread"));
        programs.push((
            "view",
            Program::start_with_operator_file(file, &config.to_string(), discovery.address, Some(&with))?,
        ));
        for member in members {
            other_members.push(Program::start_with_operator_file(
                file,
                EXAMPLE,
                discovery.address,
                Some(&member),
            )?);
        }
        discovery.wait_for_calls((programs.len() + other_members.len()) * 2);
    }
    if env_number("SNAPSHOT", 0) > 0 {
        let snapshot_folder = folder.join("snapshots");
        std::fs::create_dir_all(&snapshot_folder)?;
        let file = folder.join("snapshot.toml");
        std::fs::write(
            &file,
            format!("[snapshot]\nfolder = \"{}\"\nname = \"g\"\n", snapshot_folder.display()),
        )?;
        let program = Path::new(env!("CARGO_BIN_EXE_granitethread"));
        programs.push((
            "snapshot",
            Program::start_with_operator_file(program, &config.to_string(), discovery.address, Some(&file))?,
        ));
    }
    let backend_addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let mut bare = Command::new(std::env::current_exe()?)
        .env("BARE_SERVERS", backend_addresses.join(","))
        .stderr(Stdio::piped())
        .spawn()?;
    let mut first_line = String::new();
    BufReader::new(bare.stderr.take().expect("piped")).read_line(&mut first_line)?;
    let bare_address: SocketAddr = first_line.trim().trim_start_matches("listening on ").parse()?;
    let mut subjects = vec![("bare", bare.id(), bare_address)];
    subjects.extend(programs.iter().map(|(name, p)| (*name, p.child.id(), p.address)));
    let mut results: Vec<(Vec<f64>, Vec<f64>, usize)> = vec![Default::default(); subjects.len()];
    // Round 0 is a warm-up. The order of the programs rotates from round to round.
    for round in 0..=rounds {
        for turn in 0..subjects.len() {
            let n = (turn + round) % subjects.len();
            let (_, id, address) = subjects[n];
            let ticks_before = cpu_ticks(id);
            let (failures, ms) = drive_closed_loop(address, requests, connections, round);
            if round > 0 {
                results[n].0.push((cpu_ticks(id) - ticks_before) as f64 * 1e4 / requests as f64);
                results[n].1.push(ms);
                results[n].2 += failures;
            }
        }
    }
    let _ = (bare.kill(), bare.wait());
    println!("{servers} servers, {connections} connections, {rounds} rounds of {requests} requests each");
    let bare_cpu = results[0].0.clone();
    for ((name, ..), (cpu, ms, failures)) in subjects.iter().zip(&results) {
        let ratio = median(cpu.iter().zip(&bare_cpu).map(|(a, b)| a / b.max(1e-9)).collect());
        println!(
            "{name:8} {:6.1} us CPU a request, {ratio:5.2} times the bare one's; {:6.2} ms an answer; {failures} not served",
            median(cpu.clone()),
            median(ms.clone())
        );
    }
    if let (Some(b), Some(a)) =
        (subjects.iter().position(|s| s.0 == "before"), subjects.iter().position(|s| s.0 == "gateway"))
    {
        let ratio = median(results[a].0.iter().zip(&results[b].0).map(|(a, b)| a / b.max(1e-9)).collect());
        println!("after is {ratio:.3} of before");
    }
    for (part, feature) in [("view", "a view"), ("snapshot", "snapshots")] {
        let subject_index = |name| subjects.iter().position(|s| s.0 == name);
        if let (Some(b), Some(a)) = (subject_index("gateway"), subject_index(part)) {
            let ratio =
                median(results[a].0.iter().zip(&results[b].0).map(|(a, b)| a / b.max(1e-9)).collect());
            let all = results[a].0.iter().sum::<f64>() / results[b].0.iter().sum::<f64>();
            println!("with {feature} it is {ratio:.3} of without; over all rounds {all:.3}");
        }
    }
    drop(other_members);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
