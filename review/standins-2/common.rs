//! Stand-ins for the cases of the second review: the platform (starts and signals the processes of the system), servers,
//! an operator and clients. Standard library only. Everything runs on loopback addresses and the real clock.
//! They follow PROTOCOL.md; where it is silent they behave like a sound server, operator or client.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---- Record ----

static RECORD: OnceLock<(Instant, Mutex<fs::File>)> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Opens record.txt in the folder named by the first argument. A guard ends everything after 110 seconds.
pub fn begin() -> bool {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let file = fs::File::create(PathBuf::from(folder).join("record.txt")).unwrap_or_else(|e| {
        eprintln!("record.txt: {e}");
        std::process::exit(2)
    });
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        record("the case took too long");
        finish(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record(&format!("trouble: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
    trouble
}

/// Kills a process that the case started, and waits for its end.
pub fn end_child(mut child: Child) {
    let pid = child.id();
    let _ = child.kill();
    let _ = child.wait();
    PIDS.lock().unwrap().retain(|other| *other != pid);
}

pub fn now_ms() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64() * 1e3)
}

pub fn record(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let ms = start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(file.lock().unwrap(), "{ms:10.1} ms  {line}");
    }
}

/// Ends all processes that the case started, and this one. 0: the rule held, 1: it was broken, 2: could not run.
pub fn finish(code: i32) -> ! {
    for pid in PIDS.lock().unwrap().iter() {
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
    let verdict = match code {
        0 => "the rule held",
        1 => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    };
    record(&format!("exit {code}: {verdict}"));
    println!("exit {code}: {verdict}");
    std::process::exit(code)
}

pub fn cannot_run(why: &str) -> ! {
    record(&format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    finish(2)
}

// ---- The platform ----

pub struct Machine {
    pub name: String,
    pub ip: String,
    folder: PathBuf,
    pub control: Option<Child>,
    pub gateway: Option<Child>,
}

pub struct System {
    pub machines: Vec<Machine>,
    pub front: u16,
    pub readiness: u16,
    pub control: u16,
    internal: u16,
    subnet: u32,
    zones: usize,
    root: PathBuf,
    drain_ms: u32,
    apply_ms: u32,
    heartbeat_ms: u64,
}

/// Machines that a case may use, each with a loopback address of its own.
const MOST_MACHINES: usize = 90;

fn free_ports(ips: &[String]) -> [u16; 4] {
    let free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    let mut found = Vec::new();
    while found.len() < 4 {
        let Ok(port) = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map(|a| a.port()) else {
            cannot_run("no port is free")
        };
        let last = found.len() == 3;
        if port < 65000 && free(port) && (!last || (1..8).all(|n| free(port + n))) && !found.contains(&port) {
            found.push(port);
        }
    }
    [found[0], found[1], found[2], found[3]]
}

impl System {
    /// Starts `count` machines, each in a zone of its own, with a disk folder, a control plane and a gateway, as at the
    /// first start of the system. The settings are those of the small deployment `site`.
    pub fn start(count: usize, site: &str, heartbeat_ms: u64) -> System {
        let mut system = System::empty(count, site, heartbeat_ms);
        for zone in 0..count {
            system.add_machine(zone, true, true);
        }
        system
    }

    /// A system of this many zones without machines.
    pub fn empty(zones: usize, site: &str, heartbeat_ms: u64) -> System {
        let subnet = 10 + std::process::id() % 200;
        let ips: Vec<String> = (1..=MOST_MACHINES).map(|n| format!("127.{subnet}.0.{n}")).collect();
        let [front, readiness, control, internal] = free_ports(&ips);
        let root = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        *FOLDER.lock().unwrap() = Some(root.clone());
        let (drain_ms, apply_ms) = if site == "lmkt-songhong" { (2000, 2000) } else { (2500, 2500) };
        let machines = Vec::new();
        System { machines, front, readiness, control, internal, subnet, zones, root, drain_ms, apply_ms, heartbeat_ms }
    }

    /// Starts a machine at the next address. With `disk` it has a disk folder, which is empty, and counts as core; `first`:
    /// at the first start of the whole system. Its seeds are the first three machines that are up (at the first start:
    /// the first three addresses).
    pub fn add_machine(&mut self, zone: usize, disk: bool, first: bool) -> usize {
        let seeds = if first {
            (1..=3).map(|n| format!("127.{}.0.{n}", self.subnet)).collect()
        } else {
            self.machines.iter().filter(|m| m.control.is_some()).map(|m| m.ip.clone()).take(3).collect()
        };
        self.add_machine_with(zone, disk, first, seeds)
    }

    /// Like `add_machine`, with these seeds.
    pub fn add_machine_with(&mut self, zone: usize, disk: bool, first: bool, seeds: Vec<String>) -> usize {
        let n = self.machines.len();
        let ip = format!("127.{}.0.{}", self.subnet, n + 1);
        let folder = self.root.join(n.to_string());
        let data = folder.join("data");
        fs::create_dir_all(&data).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{}\"", self.control)).collect();
        let zones: String = (0..self.zones).map(|n| format!("zone-{n} = \"region\"\n")).collect();
        let disk_line = if disk { format!("dataDirectory = {data:?}\n") } else { String::new() };
        let disk_mb = if disk { "diskMb = 64\n" } else { "" };
        let share = if disk { "0.35" } else { "0.2" };
        let (internal, control, front, readiness) = (self.internal, self.control, self.front, self.readiness);
        let (drain_ms, apply_ms, heartbeat_ms) = (self.drain_ms, self.apply_ms, self.heartbeat_ms);
        let text = format!(
            "[ownIdentity]\nnodeName = \"edge-{n}\"\nmachineClass = \"edge\"\nservedRoles = [\"edge\",\"control\"]\n\
             ipAddress = \"{ip}\"\nzone = \"zone-{zone}\"\nregion = \"region\"\nlossCounted = {disk}\ninitialStart = {first}\n\
             {disk_line}[ownIdentity.limits]\ncpuShare = {share}\ncpuCores = 1\nmemoryMb = 260\n\
             maxFileDescriptors = 4100\nlinkMbps = 1000.0\n{disk_mb}[networkTerms]\n\
             internalPortRange = [{internal},{}]\nseedNodes = [{}]\n[networkTerms.listenAddresses]\n\
             frontHttp1 = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\ncontrolPlane = \"{ip}:{control}\"\n\
             [networkTerms.zones]\n{zones}[platformTerms]\ndiscoverySource = \"registration\"\nentryKind = \
             \"virtual_ip\"\nheartbeatIntervalMs = {heartbeat_ms}\n[contractTerms]\nactiveContracts = \
             [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"quota\"]\n\
             [contractTerms.faultTolerance]\nmachineLosses = 1\nzones = 0\nregionLosses = 0\n[contractTerms.bounds]\n\
             seedLagS = 3\naddressReuseS = 2\ncontactMs = 3000\nackMs = 5000\ncatchUpS = 4\ndrainMs = {drain_ms}\n\
             graceS = 6\nlossSlackMs = 200\nconfigApplyMs = {apply_ms}\nrollbackSlackMs = 250\nmaxStretchMs = 8000\n\
             revocationClosed = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetPeriodS = 10\n\
             retryBudgetSlack = 64\nquotaWindowS = 5\nquotaOvershoot = 0.1\nquotaSlack = 20\nrecoveryS = 15\n",
            internal + 7,
            seeds.join(",")
        );
        fs::write(folder.join("settings.toml"), text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let machine = Machine { name: format!("edge-{n}"), ip, folder, control: None, gateway: None };
        self.machines.push(machine);
        self.start_control(n);
        self.start_gateway(n);
        n
    }

    /// Writes other seeds into a machine's settings file, without a signal.
    pub fn set_seeds(&self, n: usize, seeds: &[String]) {
        let path = self.machines[n].folder.join("settings.toml");
        let text = fs::read_to_string(&path).unwrap_or_default();
        let list: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{}\"", self.control)).collect();
        let line = format!("seedNodes = [{}]", list.join(","));
        let lines: Vec<&str> = text.lines().map(|l| if l.starts_with("seedNodes") { &line } else { l }).collect();
        let _ = fs::write(&path, lines.join("\n") + "\n");
        record(&format!("the settings file of {} now has {line}, no signal is sent", self.machines[n].name));
    }

    /// Ends both processes of a machine in order (SIGTERM, SIGKILL after graceS); it doesn't come back.
    pub fn retire_machine(&mut self, n: usize) {
        self.signal_control(n, SIGTERM);
        self.signal_gateway(n, SIGTERM);
        let started = Instant::now();
        let machine = &mut self.machines[n];
        for mut child in [machine.control.take(), machine.gateway.take()].into_iter().flatten() {
            while started.elapsed() < Duration::from_secs(6) && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
            end_child(child);
        }
        record(&format!("machine {} ({}) has left", self.machines[n].name, self.machines[n].ip));
    }

    /// Kills both processes of a machine, which is gone for good.
    pub fn lose_machine(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        for child in [machine.control.take(), machine.gateway.take()].into_iter().flatten() {
            end_child(child);
        }
        record(&format!("machine {} ({}) is gone for good", self.machines[n].name, self.machines[n].ip));
    }

    fn spawn(&self, n: usize, program: &str) -> Child {
        let machine = &self.machines[n];
        let path = PathBuf::from("target/release").join(program);
        let log = fs::OpenOptions::new().create(true).append(true).open(machine.folder.join(format!("{program}.log")));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new(&path)
            .env("GRANITETHREAD_BOOT", machine.folder.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{}: {e}; run the build of the deploy file", path.display())));
        PIDS.lock().unwrap().push(child.id());
        record(&format!("start {program} on {}, pid {}", machine.name, child.id()));
        child
    }

    pub fn start_control(&mut self, n: usize) {
        let child = self.spawn(n, "granitethread-control-plane");
        self.machines[n].control = Some(child);
    }

    pub fn start_gateway(&mut self, n: usize) {
        let child = self.spawn(n, "granitethread-data-plane");
        self.machines[n].gateway = Some(child);
    }

    /// From now on, settings files say that this is not the first start.
    pub fn after_first_start(&self) {
        for machine in &self.machines {
            let path = machine.folder.join("settings.toml");
            let text = fs::read_to_string(&path).unwrap_or_default();
            let _ = fs::write(&path, text.replace("initialStart = true", "initialStart = false"));
        }
    }

    pub fn signal_gateway(&self, n: usize, signal: i32) {
        let Some(child) = &self.machines[n].gateway else { return };
        record(&format!("signal {signal} to the gateway of {}", self.machines[n].name));
        unsafe { kill(child.id() as i32, signal) };
    }

    pub fn signal_control(&self, n: usize, signal: i32) {
        let Some(child) = &self.machines[n].control else { return };
        record(&format!("signal {signal} to the control plane of {}", self.machines[n].name));
        unsafe { kill(child.id() as i32, signal) };
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.addresses(self.front)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.addresses(self.control)
    }

    fn addresses(&self, port: u16) -> Vec<SocketAddr> {
        let up = self.machines.iter().filter(|m| m.control.is_some() || m.gateway.is_some());
        up.map(|m| format!("{}:{port}", m.ip).parse().unwrap()).collect()
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let address: SocketAddr = format!("{}:{}", self.machines[n].ip, self.readiness).parse().unwrap();
        let text = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        Conn::open(address).and_then(|mut c| c.ask(text.as_bytes(), Duration::from_secs(1))).is_ok_and(|a| a.status == 200)
    }

    /// Waits until every gateway answers 200 to the readiness check.
    pub fn wait_ready(&self) {
        let started = Instant::now();
        while !(0..self.machines.len()).filter(|n| self.machines[*n].gateway.is_some()).all(|n| self.is_ready(n)) {
            if started.elapsed() > Duration::from_secs(20) {
                cannot_run("not all gateways are ready after 20 s");
            }
            thread::sleep(Duration::from_millis(100));
        }
        record("all gateways are ready");
    }
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head. None at a clean end before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_string();
    message.status = message.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads the body that the head announces.
pub fn read_body(reader: &mut impl BufRead, head: &Message, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_answer && (head.status < 200 || head.status == 204 || head.status == 304) {
        return Ok(body);
    }
    if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let old = body.len();
            body.resize(old + size, 0);
            reader.read_exact(&mut body[old..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    if let Some(length) = head.header("content-length") {
        let length = length.parse::<usize>().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if is_answer {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// A client's connection.
pub struct Conn {
    pub reader: BufReader<TcpStream>,
}

impl Conn {
    pub fn open(address: SocketAddr) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Conn { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one answer; interim answers are skipped.
    pub fn read(&mut self, within: Duration) -> io::Result<Message> {
        self.reader.get_ref().set_read_timeout(Some(within))?;
        loop {
            let Some(mut head) = read_head(&mut self.reader)? else {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"));
            };
            head.body = read_body(&mut self.reader, &head, true)?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    pub fn ask(&mut self, bytes: &[u8], within: Duration) -> io::Result<Message> {
        self.send(bytes)?;
        self.read(within)
    }
}

// ---- The operator ----

/// Sends a call to one control address after another, as operators and servers do: follows 307 twice, moves on after a
/// failure, a 5xx, 408, 429 or a second of silence. Returns the conclusive answer.
pub fn call(controls: &[SocketAddr], method: &str, path: &str, body: &str, within: Duration) -> Option<Message> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let started = Instant::now();
    let mut pause = 50;
    while started.elapsed() < within {
        let mut address = controls[NEXT.fetch_add(1, SeqCst) as usize % controls.len()];
        for _ in 0..3 {
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
                 Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let answer = Conn::open(address).and_then(|mut c| c.ask(text.as_bytes(), Duration::from_secs(1)));
            match answer {
                Ok(answer) if answer.status == 307 => {
                    let place = answer.header("location").and_then(|l| l.strip_prefix("http://")?.split('/').next());
                    match place.and_then(|p| p.parse().ok()) {
                        Some(next) => address = next,
                        None => break,
                    }
                }
                Ok(answer) if answer.status < 500 && answer.status != 408 && answer.status != 429 => return Some(answer),
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(pause));
        pause = (pause * 2).min(400);
    }
    None
}

pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub service: String,
    pub max_attempts: u32,
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
pub const TENANT: &str = "huka270";

/// A configuration as in PROTOCOL.md, with one tenant without a limit.
pub fn configuration(version: u32, base: u32, routes: &[Route], services: &[String]) -> String {
    let mut text = format!("{{\"configVersion\":\"{version:08x}\",\"routes\":[");
    for (n, r) in routes.iter().enumerate() {
        let comma = if n == 0 { "" } else { "," };
        let _ = write!(
            text,
            "{comma}{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"routeKind\":\"{}\",\"timeoutMs\":{},\
             \"targetLatencyMs\":{},\"priority\":1,\"targetService\":\"{}\",\"maxAttempts\":{},\"public\":false}}",
            r.name, r.prefix, r.kind, r.timeout_ms, r.target_ms, r.service, r.max_attempts
        );
    }
    text.push_str("],\"services\":[");
    for (n, service) in services.iter().enumerate() {
        let comma = if n == 0 { "" } else { "," };
        let _ = write!(
            text,
            "{comma}{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConnections\":140,\"protocol\":\"h1\",\"tls\":false}}"
        );
    }
    let _ = write!(
        text,
        "],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":0,\"burstSize\":0}}],\
         \"baseVersion\":\"{base:08x}\"}}"
    );
    text
}

/// Sends a configuration until it is acknowledged or refused. Returns the status, 0 without a clear answer.
pub fn replace(controls: &[SocketAddr], body: &str, within: Duration) -> u16 {
    let status = call(controls, "POST", "/-/Configuration.Replace", body, within).map_or(0, |a| a.status);
    record(&format!("operator: {} -> {status}", &body[..body.len().min(32)]));
    status
}

// ---- Servers ----

/// One request at a server. `respond` writes bytes; the connection is kept if the handler returns true.
pub struct Exchange<'a> {
    pub server: &'a Server,
    pub request: Message,
    pub reader: &'a mut BufReader<TcpStream>,
}

impl Exchange<'_> {
    pub fn attempt(&self) -> String {
        self.request.header("attempt-id").unwrap_or_default().to_string()
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Answers 200 with the stamp and this body.
    pub fn answer(&mut self, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Seal: {}\r\nContent-Length: {}\r\n\r\n",
            self.attempt(),
            seal(&self.attempt()),
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

pub fn seal(attempt: &str) -> String {
    format!("seal.{attempt}")
}

pub type Handler = Arc<dyn Fn(&mut Exchange) -> bool + Send + Sync>;

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: Mutex<&'static str>,
    pub stopped: AtomicBool,
    sequence: AtomicU64,
}

/// What the servers ran: attempt id -> times.
pub static RUNS: Mutex<Option<HashMap<String, u32>>> = Mutex::new(None);

pub fn note_run(server: &str, attempt: &str, start: &str) {
    let mut runs = RUNS.lock().unwrap();
    *runs.get_or_insert_with(HashMap::new).entry(attempt.to_string()).or_insert(0) += 1;
    drop(runs);
    record(&format!("server {server} runs {attempt} ({start})"));
}

pub fn runs_of(attempt: &str) -> u32 {
    RUNS.lock().unwrap().as_ref().and_then(|runs| runs.get(attempt).copied()).unwrap_or(0)
}

impl Server {
    /// Starts a server: it sends beats, answers health checks and 421, and hands all other requests to `handler`.
    pub fn start(id: &str, service: &str, zone: &str, controls: Vec<SocketAddr>, handler: Handler) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Server {
            id: id.into(),
            service: service.into(),
            address,
            zone: zone.into(),
            state: Mutex::new("ready"),
            stopped: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (accepting.clone(), handler.clone());
                thread::spawn(move || serve(&server, stream, &handler));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.stopped.load(SeqCst) {
                beating.beat(&controls, Duration::from_secs(3));
                thread::sleep(Duration::from_millis(1500));
            }
        });
        server
    }

    /// Sends a beat until it is acknowledged.
    pub fn beat(&self, controls: &[SocketAddr], within: Duration) -> bool {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"nodeInfo\":{{\"targetService\":\"{}\",\"configVersion\":\"v1\",\"zone\":\"{}\",\
             \"capacitySlots\":6}},\"status\":{{\"state\":\"{}\",\"callSequence\":{sequence},\"warmupLeftMs\":0}}}}",
            self.address,
            self.service,
            self.zone,
            self.state.lock().unwrap()
        );
        let path = format!("/-/Instances.Heartbeat/{}", self.id);
        call(controls, "POST", &path, &body, within).is_some_and(|a| a.status == 200)
    }
}

fn serve(server: &Server, stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_head(&mut reader) {
        let mut exchange = Exchange { server, request, reader: &mut reader };
        if exchange.request.path() == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", server.id);
            if !exchange.write(answer.as_bytes()) {
                return;
            }
            continue;
        }
        if exchange.request.header("target-instance").is_some_and(|t| t != server.id) {
            let answer = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", server.id);
            let _ = exchange.write(answer.as_bytes());
            return;
        }
        if !handler(&mut exchange) {
            return;
        }
    }
}

// ---- Clients ----

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

pub fn new_attempt() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ATTEMPT.fetch_add(1, SeqCst))
}

pub fn get(path: &str, attempt: &str, remaining_ms: u64) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nRemaining-Time: {remaining_ms}\r\n\
         Credential: {KEY}\r\n\r\n"
    )
    .into_bytes()
}

pub fn post(path: &str, attempt: &str, remaining_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nRemaining-Time: {remaining_ms}\r\n\
         Credential: {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
