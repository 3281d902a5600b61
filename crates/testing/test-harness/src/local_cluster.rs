//! The whole system on loopback: three control nodes, three gateways, stand-in backends that send heartbeats, and an
//! operator. During the run a backend drains, a control node is killed, the configuration changes and a gateway is
//! restarted. All counts are taken at clients and backends.

use crate::fleet::{lock, serve};
use crate::peers::{Client, Message};
use crate::program::locate_system;
use crate::scenario::{Figures, Play, Scenario};
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "cluster",
    about: "the whole system: a backend drains, a control node is killed, a gateway is restarted, the configuration changes",
    seconds: 12,
    test_seconds: 7,
    defects: &[
        ("runs-twice", "the client sends each payment a second time under the same id"),
        ("works-on", "the client itself sends a request to the drained backend"),
    ],
    program_defects: &[],
    run,
};

/// Machines of the system, each with a control node and a gateway.
pub const MACHINES: usize = 3;
const BACKENDS: usize = 4;
const HEARTBEAT_MS: u64 = 500;
/// Time after the acknowledgement of its drain from which a backend must get no more requests.
const DRAIN_GRACE: Duration = Duration::from_millis(1500);
/// Time in which a gateway must end after SIGTERM.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);
/// API key of the tenant `members`.
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// API key of the tenant `guest`, where there is one.
pub const TRIAL_KEY: &str = "s989anu6wsjnbanfqasn";

/// Counts over all backends.
#[derive(Default)]
pub struct BackendCounts {
    /// Number of runs of each payment, by its id.
    pub runs: Mutex<HashMap<String, u32>>,
    /// One payment in this many is run and not answered; 0 for none.
    pub unanswered: AtomicU64,
    twice: AtomicU32,
    /// Requests that arrived with the API key, or without the tenant's name.
    exposed_requests: AtomicU32,
    /// Requests that arrived after the backend's drain.
    after_drain: AtomicU32,
}

/// A stand-in backend.
pub struct Backend {
    id: String,
    address: SocketAddr,
    state: &'static str,
    sequence: u64,
    drained: Arc<Mutex<Option<Instant>>>,
}

/// The processes of one machine.
struct Machine {
    ip: String,
    folder: PathBuf,
    control_plane: Child,
    gateway: Child,
}

impl Drop for Machine {
    fn drop(&mut self) {
        for child in [&mut self.control_plane, &mut self.gateway] {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The running control nodes and gateways.
pub struct LocalCluster {
    machines: Vec<Machine>,
    front: u16,
    control: u16,
    internal: u16,
    control_plane_program: PathBuf,
    data_plane_program: PathBuf,
    folder: PathBuf,
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns four ports that are free on all the machines' addresses at the time of the call.
fn ports(ips: &[String]) -> Result<[u16; 4], String> {
    let free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    let mut found = Vec::new();
    while found.len() < 4 {
        let candidate =
            TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
        // The two ports after the internal one are for requests and probes between gateways.
        let following_free = found.len() < 3 || free(candidate.port() + 1) && free(candidate.port() + 2);
        if candidate.port() < u16::MAX - 2
            && free(candidate.port())
            && following_free
            && !found.contains(&candidate.port())
        {
            found.push(candidate.port());
        }
    }
    Ok([found[0], found[1], found[2], found[3]])
}

fn spawn(program: &Path, settings: &Path) -> Result<Child, String> {
    let mut command = Command::new(program);
    command
        .env("GRANITETHREAD_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command.spawn().map_err(|e| format!("{}: {e}", program.display()))
}

impl LocalCluster {
    /// Starts all processes, as an initial start.
    ///
    /// # Errors
    /// The programs cannot be built or started. The message is one line.
    pub fn open(seed: u64) -> Result<LocalCluster, String> {
        LocalCluster::open_with(seed, MACHINES, HEARTBEAT_MS)
    }

    /// Starts this number of machines, each in its own zone, with this heartbeat interval of the backends.
    ///
    /// # Errors
    /// The programs cannot be built or started. The message is one line.
    pub fn open_with(seed: u64, machines: usize, heartbeat_ms: u64) -> Result<LocalCluster, String> {
        let (data_plane, control_plane) = locate_system()?;
        // Tests may run at the same time: each uses its own addresses.
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let subnet = 100 + (u64::from(std::process::id()) + NEXT.fetch_add(1, Relaxed)) % 100;
        let ips: Vec<String> = (1..=machines).map(|n| format!("127.0.{subnet}.{n}")).collect();
        let [front, readiness, control, internal] = ports(&ips)?;
        let folder = std::env::temp_dir()
            .join(format!("granitethread-cluster-{}-{subnet}-{seed}", std::process::id()));
        // In the notation of the settings file.
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{control}\"")).collect();
        let seeds = seeds.join(", ");
        let zones: String = (0..machines).map(|n| format!("zone-{n} = \"r\"\n")).collect();
        let mut cluster = LocalCluster {
            machines: Vec::new(),
            front,
            control,
            internal,
            control_plane_program: control_plane,
            data_plane_program: data_plane,
            folder,
        };
        for (n, ip) in ips.into_iter().enumerate() {
            let folder = cluster.folder.join(n.to_string());
            std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let (data, last) = (folder.join("data"), internal + 2);
            let text = format!(
                "[ownIdentity]\nnodeName = \"edge-{n}\"\nipAddress = \"{ip}\"\nzone = \"zone-{n}\"\n\
                 initialStart = true\ndataDirectory = {:?}\n[networkTerms]\ninternalPortRange = [{internal}, {last}]\n\
                 seedNodes = [{seeds}]\n[networkTerms.listenAddresses]\nfrontHttp1 = \"{ip}:{front}\"\n\
                 readiness = \"{ip}:{readiness}\"\ncontrolPlane = \"{ip}:{control}\"\n[networkTerms.zones]\n\
                 {zones}[platformTerms]\nheartbeatIntervalMs = {heartbeat_ms}\n",
                data.display().to_string()
            );
            let settings = folder.join("settings.toml");
            std::fs::create_dir_all(&data).map_err(|e| e.to_string())?;
            std::fs::write(&settings, text).map_err(|e| format!("{}: {e}", settings.display()))?;
            let (control_plane, gateway) = (
                spawn(&cluster.control_plane_program, &settings)?,
                spawn(&cluster.data_plane_program, &settings)?,
            );
            cluster.machines.push(Machine { ip, folder, control_plane, gateway });
        }
        Ok(cluster)
    }

    /// Addresses at which gateways serve clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.addresses(self.front)
    }

    /// Addresses at which control nodes serve operators and backends.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.addresses(self.control)
    }

    /// Addresses at which control nodes accept gateways and each other.
    pub fn internal_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(self.internal)
    }

    /// Process ids of each machine: its control node, its gateway.
    pub fn children(&self) -> Vec<(u32, u32)> {
        self.machines.iter().map(|m| (m.control_plane.id(), m.gateway.id())).collect()
    }

    fn addresses(&self, port: u16) -> Vec<SocketAddr> {
        let all = self.machines.iter().filter_map(|m| format!("{}:{port}", m.ip).parse().ok());
        all.collect()
    }

    /// Restarts a gateway with SIGTERM. Returns how long it took to end, or `None` if it had to be killed or failed.
    ///
    /// # Errors
    /// The signal cannot be sent, or the gateway cannot be started. The message is one line.
    pub fn restart_gateway(&mut self, n: usize) -> Result<Option<Duration>, String> {
        let machine = &mut self.machines[n];
        let began = Instant::now();
        let kill_status = Command::new("kill").args(["-TERM", &machine.gateway.id().to_string()]).status();
        kill_status.map_err(|e| format!("kill: {e}"))?;
        let ended = loop {
            match machine.gateway.try_wait() {
                Ok(Some(status)) if status.success() => break Some(began.elapsed()),
                Ok(None) if began.elapsed() < SHUTDOWN_GRACE => thread::sleep(Duration::from_millis(20)),
                _ => break None,
            }
        };
        // It may have ended already.
        let _ = machine.gateway.kill();
        let _ = machine.gateway.wait();
        machine.gateway = spawn(&self.data_plane_program, &machine.folder.join("settings.toml"))?;
        Ok(ended)
    }

    /// Suspends a machine's gateway or control node with SIGSTOP, or resumes it.
    ///
    /// # Errors
    /// The signal cannot be sent. The message is one line.
    pub fn set_suspended(&self, n: usize, gateway: bool, suspended: bool) -> Result<(), String> {
        let machine = &self.machines[n];
        let child = if gateway { &machine.gateway } else { &machine.control_plane };
        let signal = if suspended { "-STOP" } else { "-CONT" };
        let kill_status = Command::new("kill").args([signal, &child.id().to_string()]).status();
        kill_status.map(|_| ()).map_err(|e| format!("kill: {e}"))
    }

    /// Kills a control node and starts it again, with `initialStart = false`.
    ///
    /// # Errors
    /// The process cannot be killed or started, or its settings cannot be changed. The message is one line.
    pub fn restart_control_node(&mut self, n: usize) -> Result<(), String> {
        let machine = &mut self.machines[n];
        machine
            .control_plane
            .kill()
            .and_then(|()| machine.control_plane.wait())
            .map_err(|e| e.to_string())?;
        thread::sleep(Duration::from_millis(300));
        let settings = machine.folder.join("settings.toml");
        let text = std::fs::read_to_string(&settings).map_err(|e| e.to_string())?;
        std::fs::write(&settings, text.replace("initialStart = true", "initialStart = false"))
            .map_err(|e| e.to_string())?;
        machine.control_plane = spawn(&self.control_plane_program, &settings)?;
        Ok(())
    }
}

/// Sends a request to one control node after another until one gives a conclusive response, as operators and backends
/// do. Follows redirects; a 5xx status or a lost connection is retried at the next control node.
pub fn call(controls: &[SocketAddr], method: &str, path: &str, body: &str, tries: usize) -> Option<Message> {
    let mut next = 0;
    let mut at = None;
    for _ in 0..tries {
        let address = at.take().unwrap_or_else(|| {
            next += 1;
            controls[next % controls.len()]
        });
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        match Client::try_connect(address).and_then(|mut c| c.try_ask(&text)) {
            Some(answer) if answer.status() == 307 => {
                let place =
                    answer.header("location").and_then(|l| l.strip_prefix("http://")?.split('/').next());
                at = place.and_then(|p| p.parse().ok());
            }
            Some(answer) if answer.status() < 500 => return Some(answer),
            _ => thread::sleep(Duration::from_millis(60)),
        }
    }
    None
}

impl Backend {
    fn send_heartbeat(&mut self, controls: &[SocketAddr], tries: usize) -> bool {
        self.sequence += 1;
        let body = json!({"address": self.address.to_string(),
            "nodeInfo": {"targetService": "desk", "configVersion": "v1", "zone": "zone-0", "capacitySlots": 4},
            "status": {"state": self.state, "callSequence": self.sequence, "warmupLeftMs": 0}});
        let path = format!("/-/Instances.Heartbeat/{}", self.id);
        call(controls, "POST", &path, &body.to_string(), tries).is_some_and(|a| a.status() == 200)
    }
}

fn backend(n: usize, seen: &Arc<BackendCounts>) -> Result<Backend, String> {
    let drained: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (id, drained_since, seen) = (format!("i-{n}"), drained.clone(), seen.clone());
    let own_id = id.clone();
    let script = move |m: &Message, to: &mut TcpStream| {
        if m.header("target-instance") != Some(&own_id) {
            return to.write_all(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        if lock(&drained_since).is_some_and(|at| at.elapsed() > DRAIN_GRACE) {
            seen.after_drain.fetch_add(1, Relaxed);
        }
        if m.header("credential").is_some() || !matches!(m.header("tenant-name"), Some("members" | "guest")) {
            seen.exposed_requests.fetch_add(1, Relaxed);
        }
        let attempt = m.header("attempt-id").unwrap_or_default().to_string();
        if m.start.starts_with("POST") {
            let mut runs = lock(&seen.runs);
            let count = runs.entry(attempt.clone()).or_default();
            *count += 1;
            if *count > 1 {
                seen.twice.fetch_add(1, Relaxed);
            }
            let unanswered_interval = seen.unanswered.load(Relaxed);
            if unanswered_interval > 0 && (runs.len() as u64).is_multiple_of(unanswered_interval) {
                return false;
            }
        }
        thread::sleep(Duration::from_millis(15));
        let body = format!("by {own_id}\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: stand-in\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        to.write_all(answer.as_bytes()).is_ok()
    };
    let address = serve(Arc::new(script)).map_err(|e| e.to_string())?;
    Ok(Backend { id, address, state: "ready", sequence: 0, drained })
}

fn configuration(base: u32, version: u32, prefixes: &[&str]) -> String {
    let members =
        json!({"name": "members", "apiKeys": [KEY], "priority": 1, "ratePerS": 400, "burstSize": 400});
    configuration_with_tenants(base, version, prefixes, &[members])
}

/// Returns a configuration with these tenants.
pub fn configuration_with_tenants(
    base: u32,
    version: u32,
    prefixes: &[&str],
    tenants: &[serde_json::Value],
) -> String {
    let route = |prefix: &&str| {
        json!({"name": format!("r{prefix}"), "host": "desk.example", "pathPrefix": prefix,
            "routeKind": if prefix.contains("pay") { "unsafe" } else { "safe" }, "timeoutMs": 2000,
            "targetLatencyMs": 400, "priority": 1, "targetService": "desk", "maxAttempts": 2, "public": false})
    };
    json!({"configVersion": format!("{version:08x}"), "baseVersion": format!("{base:08x}"),
        "routes": prefixes.iter().map(route).collect::<Vec<_>>(),
        "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}],
        "tenants": tenants})
    .to_string()
}

/// Returns the text of a client's request.
fn request(path: &str, id: u64) -> String {
    request_by(KEY, path, id)
}

/// Returns the text of a client's request with this API key.
pub fn request_by(key: &str, path: &str, id: u64) -> String {
    let (method, rest) = match path.contains("pay") {
        true => ("POST", "Content-Length: 5\r\n\r\nhello"),
        false => ("GET", "\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id:016x}\r\nRemaining-Time: 2000\r\n\
         Credential: {key}\r\n{rest}"
    )
}

/// Requests of the clients, by outcome.
#[derive(Default)]
struct Counts {
    asked: u64,
    served: u64,
    refused: u64,
    /// Those that got neither 200 nor a refusal that promises that they were not executed.
    failures: Vec<Outcome>,
}

impl Counts {
    fn record(&mut self, outcome: Outcome) {
        self.asked += 1;
        match outcome.status {
            Some(200) => self.served += 1,
            Some(429 | 503) => self.refused += 1,
            _ => self.failures.push(outcome),
        }
    }
}

/// A request of a client and what came of it.
struct Outcome {
    path: &'static str,
    gateway: Option<SocketAddr>,
    /// `None` if the connection ended without a response.
    status: Option<u16>,
    /// Time since the clients started.
    sent_after: Duration,
    duration: Duration,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Outcome { path, gateway, status, sent_after, duration } = self;
        write!(
            f,
            "{path} at {gateway:?}: status {status:?} after {} ms, sent at {} ms",
            duration.as_millis(),
            sent_after.as_millis()
        )
    }
}

/// A cluster with its first configuration, and backends that send heartbeats until it is dropped.
pub struct RunningCluster {
    pub cluster: LocalCluster,
    pub seen: Arc<BackendCounts>,
    backends: Arc<Mutex<Vec<Backend>>>,
    stop: Arc<AtomicBool>,
    heartbeat_thread: Option<thread::JoinHandle<()>>,
}

impl Drop for RunningCluster {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        if let Some(thread) = self.heartbeat_thread.take() {
            let _ = thread.join();
        }
    }
}

fn start_cluster(seed: u64) -> Result<RunningCluster, String> {
    start_cluster_with(seed, &configuration(0, 1, &["/look/", "/pay/"]))
}

/// Starts a cluster and its backends with this first configuration, and waits until every gateway serves.
///
/// # Errors
/// The programs cannot be built or do not start. The message is one line.
pub fn start_cluster_with(seed: u64, first: &str) -> Result<RunningCluster, String> {
    let cluster = LocalCluster::open(seed)?;
    let controls = cluster.controls();
    let seen: Arc<BackendCounts> = Arc::default();
    let all: Result<Vec<Backend>, String> = (0..BACKENDS).map(|n| backend(n, &seen)).collect();
    let backends = Arc::new(Mutex::new(all?));
    let stop: Arc<AtomicBool> = Arc::default();
    let taken = call(&controls, "POST", "/-/Configuration.Replace", first, 150);
    if taken.is_none_or(|a| a.status() != 200) {
        return Err("the first configuration was not accepted".into());
    }
    let (heartbeat_backends, to, stop_flag) = (backends.clone(), controls, stop.clone());
    let heartbeat_thread = thread::spawn(move || {
        while !stop_flag.load(Relaxed) {
            for backend in lock(&heartbeat_backends).iter_mut().filter(|b| b.state == "ready") {
                // The next heartbeat makes up for a lost one.
                backend.send_heartbeat(&to, 6);
            }
            thread::sleep(Duration::from_millis(HEARTBEAT_MS / 2));
        }
    });
    let running = RunningCluster { cluster, seen, backends, stop, heartbeat_thread: Some(heartbeat_thread) };
    let until = Instant::now() + Duration::from_secs(15);
    for (n, front) in running.cluster.fronts().into_iter().enumerate() {
        let serves = || {
            Client::try_connect(front).and_then(|mut c| c.try_ask(&request("/look/1", u64::MAX - n as u64)))
        };
        while serves().is_none_or(|a| a.status() != 200) {
            if Instant::now() > until {
                return Err(format!("the gateway at {front} does not serve"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(running)
}

/// Starts clients that send requests to all gateways in turn until `stop`, and send a refused one up to three times.
fn clients(
    fronts: &[SocketAddr],
    stop: &Arc<AtomicBool>,
    twice: bool,
) -> (Arc<Mutex<Counts>>, Vec<thread::JoinHandle<()>>) {
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let started = Instant::now();
    let threads = (0..6u64).map(|n| {
        let (fronts, stop, counts) = (fronts.to_vec(), stop.clone(), counts.clone());
        thread::spawn(move || {
            let mut id = (n + 1) << 40;
            while !stop.load(Relaxed) {
                id += 1;
                let path = if id % 3 == 0 { "/pay/1" } else { "/look/1" };
                let mut last = send(&fronts, path, id + 1, started);
                for attempt in 1..=3 {
                    id += 1;
                    if twice && path.contains("pay") {
                        send(&fronts, path, id, started);
                    }
                    if attempt == 3 || !matches!(last.status, Some(429 | 503)) {
                        break;
                    }
                    thread::sleep(Duration::from_millis(100));
                    last = send(&fronts, path, id + 1, started);
                }
                lock(&counts).record(last);
                thread::sleep(Duration::from_millis(20));
            }
        })
    });
    let threads = threads.collect();
    (counts, threads)
}

/// Sends a request to the first gateway that accepts a connection, as the entry proxy would.
fn send(fronts: &[SocketAddr], path: &'static str, id: u64, started: Instant) -> Outcome {
    let sent_after = started.elapsed();
    let connect = |n: u64| {
        let front = fronts[((id + n) as usize) % fronts.len()];
        Client::try_connect(front).map(|client| (front, client))
    };
    let connection = (0..3).find_map(connect);
    let gateway = connection.as_ref().map(|(front, _)| *front);
    let response = connection.and_then(|(_, mut client)| client.try_ask(&request(path, id)));
    let status = response.map(|response| response.status());
    Outcome { path, gateway, status, sent_after, duration: started.elapsed() - sent_after }
}

fn run(play: &Play) -> Result<Figures, String> {
    let mut running = start_cluster(play.seed)?;
    let controls = running.cluster.controls();
    let stop: Arc<AtomicBool> = Arc::default();
    let (counts, threads) = clients(&running.cluster.fronts(), &stop, play.has("runs-twice"));
    let third = play.time / 3;
    let mut figures = Figures::default();
    thread::sleep(third);
    // A backend drains, and the control node that may have heard of it first is killed at once.
    let (left, drained, address) = {
        let mut backends = lock(&running.backends);
        let one = &mut backends[(play.seed % BACKENDS as u64) as usize];
        one.state = "draining";
        let acknowledged = one.send_heartbeat(&controls, 40);
        *lock(&one.drained) = acknowledged.then(Instant::now);
        figures.expect_zero("drains not acknowledged", usize::from(!acknowledged));
        (one.id.clone(), one.drained.clone(), one.address)
    };
    running.cluster.restart_control_node((play.seed % MACHINES as u64) as usize)?;
    let began = Instant::now();
    let second = configuration(1, 2, &["/look/", "/pay/", "/new/"]);
    let taken = call(&controls, "POST", "/-/Configuration.Replace", &second, 150).map_or(0, |a| a.status());
    figures.expect_zero("changes not taken", usize::from(taken != 200));
    figures.set("a change past a killed control node, ms", began.elapsed().as_millis() as u64);
    let again = call(&controls, "POST", "/-/Configuration.Replace", &second, 50).map_or(0, |a| a.status());
    figures.expect_zero("the same change once more, not taken", usize::from(again != 200));
    let other = configuration(1, 3, &["/look/"]);
    let conflicting =
        call(&controls, "POST", "/-/Configuration.Replace", &other, 50).map_or(0, |a| a.status());
    figures.expect_zero("another on the same base, taken", usize::from(conflicting != 412));
    // A gateway is restarted meanwhile.
    let rolled = running.cluster.restart_gateway(((play.seed + 1) % MACHINES as u64) as usize)?;
    figures.expect_zero("gateways that did not end by themselves", usize::from(rolled.is_none()));
    figures.set("a gateway's end, ms", rolled.map_or(0, |d| d.as_millis() as u64));
    thread::sleep(third);
    if play.has("works-on") {
        thread::sleep(DRAIN_GRACE);
        let text =
            request("/look/1", 7).replace("Credential", &format!("Target-Instance: {left}\r\nCredential"));
        Client::try_connect(address).and_then(|mut c| c.try_ask(&text));
    }
    let fronts = running.cluster.fronts();
    let lacking = fronts.iter().filter(|front| {
        let answer = Client::try_connect(**front).and_then(|mut c| c.try_ask(&request("/new/1", 0xbeef)));
        answer.is_none_or(|a| a.status() != 200)
    });
    figures.expect_zero("gateways without the new route", lacking.count());
    thread::sleep(third);
    stop.store(true, Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));
    let read = call(&controls, "GET", "/-/Configuration.Read", "", 50);
    let same = read.is_some_and(|a| a.body == second.as_bytes());
    figures.expect_zero("configurations read back that differ", usize::from(!same));
    let counts = lock(&counts);
    figures.set("asked", counts.asked);
    figures.set("refused", counts.refused);
    figures.expect_zero("left without an answer", counts.failures.len());
    for failure in &counts.failures {
        figures.violations.push(failure.to_string());
    }
    figures.bound("served", counts.served as f64 / counts.asked.max(1) as f64, 0.95, 1.0);
    let seen = &running.seen;
    figures.expect_zero("payments that ran twice", seen.twice.load(Relaxed) as usize);
    figures.expect_zero("requests with the key, or without the tenant's name", exposed_requests(seen, play));
    figures.expect_zero("requests to who had left", seen.after_drain.load(Relaxed) as usize);
    figures.set("left", lock(&drained).is_some());
    let ids: HashSet<String> = lock(&running.backends).iter().map(|b| b.id.clone()).collect();
    figures.set("backends", ids.len());
    Ok(figures)
}

/// Returns the exposed requests, without the one that the client itself sent directly to a backend.
fn exposed_requests(seen: &BackendCounts, play: &Play) -> usize {
    let count = seen.exposed_requests.load(Relaxed) as usize;
    count.saturating_sub(usize::from(play.has("works-on")))
}

/// Runs the system until `stop`, printing a line each second.
///
/// # Errors
/// The programs cannot be built or do not start. The message is one line.
pub fn demo(stop: &Arc<AtomicBool>, mut say: impl FnMut(&str)) -> Result<(), String> {
    let running = start_cluster(1)?;
    say("three control nodes and three gateways in front of four stand-in backends; try it, or press Ctrl-C to end:");
    let front = running.cluster.fronts()[0];
    say(&format!(
        "  curl -i http://{front}/look/1 -H 'Host: desk.example' -H 'Attempt-Id: 00000000000000ff' \
         -H 'Remaining-Time: 2000' -H 'Credential: {KEY}'"
    ));
    say(&format!("  curl -iL http://{}/-/Configuration.Read", running.cluster.controls()[0]));
    let internal = running.cluster.internal_addresses()[0];
    say(&format!(
        "  cargo run --release -q -p granitethread-ctl -- -a {internal} -c status    # or backends, gateways, configuration"
    ));
    let (counts, threads) = clients(&running.cluster.fronts(), stop, false);
    let mut second = 0;
    while !stop.load(Relaxed) {
        thread::sleep(Duration::from_secs(1));
        second += 1;
        let Counts { asked, served, refused, failures } = std::mem::take(&mut *lock(&counts));
        say(&format!(
            "{second:4} s  {asked} asked, {served} served, {refused} refused, {} failed",
            failures.len()
        ));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    Ok(())
}
