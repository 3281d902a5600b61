//! Scenario of planners and forwarders: six forwarders, two planners and ten stand-in servers. Some customers send
//! five times their quota; one stays within its quota and moves between gateways. Planners are killed, suspended and
//! cut off at random times. All counts are taken at the servers, not at the gateways. For comparison, six gateways
//! without the role serve the same load next to them during the first half, which has no faults.

use crate::fleet::{lock, serve, Meter};
use crate::peers::{list, Client, Discovery, Message};
use crate::program::{locate, Program, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use crate::tcp_proxy::TcpProxy;
use fastrand::Rng;
use std::collections::HashMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "planners",
    about:
        "six forwarders and two planners that are killed, suspended and cut off during a flood: no hard limit is exceeded",
    seconds: 20,
    test_seconds: 10,
    defects: &[
        ("guess", "the forwarders run without the role: each estimates the usage from the meter"),
        ("no-planners", "no planner is started"),
        ("wrong-key", "the forwarders have a different key from the planners"),
        ("whole-shares", "every forwarder is configured as the only one, and no planner is started"),
    ],
    program_defects: &[],
    run,
};

/// Number of forwarders.
pub(crate) const SEATS: usize = 6;
const SERVERS: usize = 10;
/// Quota of the `partner` plan in this scenario: units a second, and burst in units.
pub(crate) const QUOTA: (f64, f64) = (60.0, 90.0);
/// Hard limit of the same plan: units a second, and burst in units.
const HARD_LIMIT: (f64, f64) = (120.0, 150.0);
/// Slack of the hard limit, in units: 10%, or one of the largest requests.
const SLACK: f64 = 15.0;
const OVER_QUOTA_CUSTOMERS: u64 = 3;
/// The customer that stays within its quota.
const WITHIN_QUOTA_CUSTOMER: u64 = OVER_QUOTA_CUSTOMERS;

/// Requests as the servers saw them.
#[derive(Default)]
pub(crate) struct RequestRecord {
    /// Time, customer and units of each request, counted once however often it ran.
    arrivals: Mutex<Vec<(Instant, u64, f64)>>,
    /// Number of runs of each request, by its id.
    runs: Mutex<HashMap<u64, u32>>,
}

impl RequestRecord {
    pub(crate) fn arrivals(&self) -> &Mutex<Vec<(Instant, u64, f64)>> {
        &self.arrivals
    }

    pub(crate) fn runs(&self) -> &Mutex<HashMap<u64, u32>> {
        &self.runs
    }
}

/// Returns the customer that a request's id contains.
pub(crate) fn customer(id: u64) -> u64 {
    id >> 48
}

/// Returns the units of a request, derived from its id.
pub(crate) fn units(id: u64) -> f64 {
    (1 + id % 8) as f64
}

/// Starts stand-in servers with a common record, and the discovery that lists them.
pub(crate) fn start_servers() -> Result<(Arc<RequestRecord>, Discovery), String> {
    let (record, meter) = (Arc::<RequestRecord>::default(), Arc::new(Meter::default()));
    let mut targets = Vec::new();
    for n in 0..SERVERS {
        let (record, meter) = (record.clone(), meter.clone());
        let script = move |m: &Message, to: &mut _| {
            let id = m.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
            let runs = {
                let mut runs = lock(&record.runs);
                let n = runs.entry(id).or_default();
                *n += 1;
                *n
            };
            let mut used = 0.0;
            if runs == 1 {
                lock(&record.arrivals).push((Instant::now(), customer(id), units(id)));
                used = units(id);
            }
            let percent = 100.0 * meter.record_usage(&customer(id).to_string(), used) / QUOTA.0;
            thread::sleep(Duration::from_millis(15));
            billed(to, units(id), percent)
        };
        targets.push((format!("server-{n:02}"), serve(Arc::new(script)).map_err(|e| e.to_string())?));
    }
    let all: Vec<_> = targets.iter().map(|(n, a)| (n.as_str(), *a, "Ready")).collect();
    Ok((record, Discovery::new(list(1, true, &all))))
}

/// Responds 200 with the billed units and the customer's usage.
fn billed(to: &mut std::net::TcpStream, units: f64, percent: f64) -> bool {
    crate::peers::write_text(
        to,
        &format!("HTTP/1.1 200 OK\r\nBilled-Units: {units}\r\nUsage-Percent: {percent:.0}\r\nContent-Length: 2\r\n\r\nok"),
    )
}

/// Returns a gateway's configuration: the example with this scenario's plan and [`SEATS`] siblings.
pub(crate) fn config(me: usize) -> String {
    let mut config: serde_json::Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    let s = &mut config["settings"];
    (s["me"], s["siblings"]) = (me.into(), SEATS.into());
    for plan in s["plans"].as_array_mut().into_iter().flatten().filter(|p| p["name"] == "partner") {
        (plan["quota_rate"], plan["depth"]) = (QUOTA.0.into(), QUOTA.1.into());
        (plan["never_over_rate"], plan["ceiling_burst"]) = (HARD_LIMIT.0.into(), HARD_LIMIT.1.into());
    }
    config.to_string()
}

/// Temporary files, which are removed on drop.
pub struct Files(pub Vec<PathBuf>);

impl Files {
    /// Writes a file with this mode. Its name ends with `name`.
    ///
    /// # Errors
    /// The file cannot be written. The message is one line.
    pub fn add(&mut self, name: &str, text: &str, mode: u32) -> Result<PathBuf, String> {
        let number = crate::peers::NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("test-harness-{}-{number}-{name}", std::process::id()));
        let file = std::fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(&path);
        file.and_then(|mut f| f.write_all(text.as_bytes()))
            .map_err(|e| format!("{}: {e}", path.display()))?;
        self.0.push(path.clone());
        Ok(path)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        self.0.iter().for_each(|f| drop(std::fs::remove_file(f)));
    }
}

fn without_planners(play: &Play) -> bool {
    play.has("no-planners") || play.has("whole-shares")
}

/// A planner that can be killed and restarted on the same addresses.
pub(crate) struct Planner {
    pub program: PathBuf,
    pub config: PathBuf,
    pub operator: PathBuf,
    pub listen: SocketAddr,
    pub child: Option<Child>,
}

impl Planner {
    /// Starts the planner and waits until it accepts connections.
    pub fn start(&mut self) -> Result<(), String> {
        let mut command = Command::new(&self.program);
        command.env("LB_CONFIG", &self.config).env("GRANITETHREAD_OPERATOR", &self.operator);
        command.env_remove("LB_LISTEN").env_remove("LB_DISCOVERY").stderr(Stdio::null()).stdin(Stdio::null());
        self.child = Some(command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?);
        let until = Instant::now() + Duration::from_secs(20);
        while std::net::TcpStream::connect(self.listen).is_err() {
            if Instant::now() > until {
                return Err("a planner did not start".into());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = (child.kill(), child.wait());
        }
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address whose port is free at the time of the call.
pub(crate) fn free_port() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// Requests of the clients, by outcome.
#[derive(Clone, Copy, Default)]
struct ClientCounts {
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    unanswered: usize,
    /// In flight at a forwarder when it was killed: the client must retry these.
    lost_at_kill: usize,
}

/// Time at which each forwarder was killed last.
type KillTimes = Arc<Mutex<HashMap<SocketAddr, Instant>>>;

/// Sends one customer's requests until `until`, `rate` a second, each to the gateway that `choose_gateway` returns.
fn run_client(
    mut id: u64,
    rate: f64,
    until: Instant,
    calm: Option<(Instant, Arc<Mutex<ClientCounts>>)>,
    (all, killed): (&Mutex<ClientCounts>, &KillTimes),
    choose_gateway: impl Fn(&mut Rng) -> SocketAddr,
) {
    let mut rng = Rng::with_seed(id);
    let mut clients: HashMap<SocketAddr, (Client, Instant)> = HashMap::new();
    let (pause, started) = (Duration::from_secs_f64(1.0 / rate), Instant::now());
    let mut next = started + pause.mul_f64(rng.f64());
    while next < until {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        id += 1 + rng.u64(0..8);
        let (to, class) = (choose_gateway(&mut rng), ["quote", "confirm", "book-slot"][(id % 3) as usize]);
        let text = crate::demo::request(class, id, "partner", &format!("{:016x}", 1 + customer(id)), 2.0)
            .replace("units=1,spread=1", &format!("units={},spread={SEATS}", units(id)));
        let kept = clients.remove(&to).filter(|(_, used)| used.elapsed() < Duration::from_secs(1));
        let kept_since = kept.as_ref().map(|(_, used)| *used);
        let Some(mut client) = kept.map(|(c, _)| c).or_else(|| Client::try_connect(to)) else { continue };
        let asked = Instant::now();
        let status = client.try_ask(&text).map(|m| m.status());
        let connected = kept_since.unwrap_or(asked);
        let lost = lock(killed).get(&to).is_some_and(|at| *at >= connected);
        if status.is_some() {
            clients.insert(to, (client, Instant::now()));
        }
        let count = |seen: &mut ClientCounts| {
            seen.asked += 1;
            match status {
                Some(200) => seen.served += 1,
                Some(429 | 503) => seen.refused += 1,
                Some(_) => seen.failed += 1,
                None if lost => seen.lost_at_kill += 1,
                None => seen.unanswered += 1,
            }
        };
        count(&mut lock(all));
        if let Some((end, seen)) = calm.as_ref().filter(|(end, _)| Instant::now() < *end) {
            let _ = end;
            count(&mut lock(seen));
        }
    }
}

/// Returns the CPU time of a process, in clock ticks.
pub(crate) fn ticks(id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| after.split_whitespace().nth(n).and_then(|f| f.parse().ok()).unwrap_or(0u64);
    field(11) + field(12)
}

/// Threads of the clients, the counts of all of them, and the counts of the customer within its quota before the
/// faults begin.
type Load = (Vec<thread::JoinHandle<()>>, Arc<Mutex<ClientCounts>>, Arc<Mutex<ClientCounts>>);

/// Starts the load on these gateways: every customer uses all of them.
fn load(gateways: &[SocketAddr], seed: u64, calm_until: Instant, until: Instant, killed: &KillTimes) -> Load {
    let (all, calm) = (Arc::<Mutex<ClientCounts>>::default(), Arc::<Mutex<ClientCounts>>::default());
    let mut client_threads = Vec::new();
    let started = Instant::now();
    for customer in 0..=OVER_QUOTA_CUSTOMERS {
        // Five times the quota, in requests of 4.5 units on average; the customer within its quota requests 0.6 of
        // it.
        let (rate, count) = if customer == WITHIN_QUOTA_CUSTOMER {
            (0.6 * QUOTA.0 / 4.5, 4)
        } else {
            (5.0 * QUOTA.0 / 4.5, 12)
        };
        for n in 0..count {
            let gateways = gateways.to_vec();
            let (all, killed) = (all.clone(), killed.clone());
            // Refusals of the customer within its quota are counted once the stores are full.
            let calm = (customer == WITHIN_QUOTA_CUSTOMER).then(|| (calm_until, calm.clone()));
            let id = (customer << 48) | (n << 40) | ((seed & 0xff) << 32);
            client_threads.push(thread::spawn(move || {
                let choose_gateway = move |rng: &mut Rng| {
                    // 89% of the requests go to one gateway, which changes every 3 s.
                    let home = (started.elapsed().as_secs() / 3 + seed) as usize % gateways.len();
                    if customer == WITHIN_QUOTA_CUSTOMER && rng.f64() < 0.89 {
                        gateways[home]
                    } else {
                        gateways[rng.usize(0..gateways.len())]
                    }
                };
                run_client(id, rate / count as f64, until, calm, (&all, &killed), choose_gateway);
            }));
        }
    }
    (client_threads, all, calm)
}

/// Starts the gateways: as forwarders that reach the planners through `proxies`, or without the role.
fn start_forwarders(
    program: &Path,
    files: &mut Files,
    discovery: &Discovery,
    proxies: Option<&[Vec<TcpProxy>]>,
    key: &Path,
    seats: Option<usize>,
    seed: u64,
) -> Result<Vec<Program>, String> {
    let mut started = Vec::new();
    for n in 0..SEATS {
        let operator = match proxies {
            None => None,
            Some(proxies) => {
                let planners: Vec<String> = proxies[n].iter().map(|g| format!("\"{}\"", g.address)).collect();
                let (seats, seat) = (seats.unwrap_or(SEATS), if seats.is_some() { 0 } else { n });
                // As in the middle of an upgrade: some forwarders use the previous protocol version.
                let version = if (n as u64 + seed).is_multiple_of(3) { 1 } else { 2 };
                let text = format!(
                    "[allowances]\nseats = {seats}\nversion = {version}\n[forwarder]\nseat = {seat}\nplanners = [{}]\nkey_file = \"{}\"\n",
                    planners.join(", "),
                    key.display()
                );
                Some(files.add("forwarder.toml", &text, 0o600)?)
            }
        };
        started.push(Program::start_with_operator_file(
            program,
            &config(n),
            discovery.address,
            operator.as_deref(),
        )?);
    }
    Ok(started)
}

fn run(play: &Play) -> Result<Figures, String> {
    let program = locate()?;
    let mut files = Files(Vec::new());
    let key = files.add("key", "the key of the rig, sixteen and more bytes\n", 0o600)?;
    let other = files.add("other-key", "another key of the rig, long enough\n", 0o600)?;
    let own_file = files.add("planner.json", &config(0), 0o600)?;
    let mut planners = Vec::new();
    for _ in 0..2 {
        let (listen, state) = (free_port()?, free_port()?);
        let text = format!(
            "[allowances]\nseats = {SEATS}\n[planner]\nlisten = \"{listen}\"\nstate = \"{state}\"\nkey_file = \"{}\"\n",
            key.display()
        );
        let operator = files.add("planner.toml", &text, 0o600)?;
        let (program, config) = (program.clone(), own_file.clone());
        let mut planner = Planner { program, config, operator, listen, child: None };
        if !without_planners(play) {
            planner.start()?;
        }
        planners.push(planner);
    }
    let mut proxies = Vec::new();
    for _ in 0..SEATS {
        let to = |p: &Planner| TcpProxy::new(p.listen).map_err(|e| e.to_string());
        proxies.push(planners.iter().map(to).collect::<Result<Vec<_>, _>>()?);
    }
    let (record, discovery) = start_servers()?;
    let (_, other_discovery) = start_servers()?;
    let role = if play.has("guess") { None } else { Some(proxies.as_slice()) };
    let used_key = if play.has("wrong-key") { &other } else { &key };
    let seats = play.has("whole-shares").then_some(1);
    let mut fleet = start_forwarders(&program, &mut files, &discovery, role, used_key, seats, play.seed)?;
    let plain = start_forwarders(&program, &mut files, &other_discovery, None, &key, None, play.seed)?;
    // Wait until the loans are granted and the stores are full.
    thread::sleep(Duration::from_millis(3500));
    let (started_at, half) = (Instant::now(), play.time / 2);
    let (calm_until, until) = (started_at + half, started_at + play.time);
    let addresses = |all: &[Program]| all.iter().map(|p| p.address).collect::<Vec<_>>();
    let cpu = |all: &[Program]| all.iter().map(|p| ticks(p.child.id())).sum::<u64>();
    let (cpu_fleet, cpu_plain) = (cpu(&fleet), cpu(&plain));
    let bytes = |proxies: &[Vec<TcpProxy>]| proxies.iter().flatten().map(TcpProxy::bytes).sum::<u64>();
    let bytes_before = bytes(&proxies);
    let killed = KillTimes::default();
    let (client_threads, seen, calm) = load(&addresses(&fleet), play.seed, calm_until, until, &killed);
    let (plain_threads, _, plain_calm) =
        load(&addresses(&plain), play.seed, calm_until, calm_until, &KillTimes::default());
    plain_threads.into_iter().for_each(|thread| drop(thread.join()));
    let (cpu_fleet, cpu_plain) = (cpu(&fleet) - cpu_fleet, cpu(&plain) - cpu_plain);
    let bytes_calm = bytes(&proxies) - bytes_before;
    let mut rng = Rng::with_seed(play.seed);
    let mut faults = Vec::new();
    // Each kind of fault occurs once before any is repeated.
    let mut kinds = Vec::new();
    while Instant::now() + Duration::from_millis(500) < until {
        if kinds.is_empty() {
            kinds = (0..8).collect();
            rng.shuffle(&mut kinds);
        }
        let fault = kinds.pop().unwrap_or(0);
        faults.push(fault);
        let (n, f) = (rng.usize(0..2), rng.usize(0..SEATS));
        let wait = Duration::from_millis(rng.u64(300..3000));
        match fault {
            _ if without_planners(play) => {}
            0 => planners[n].kill(),
            1 => planners.iter_mut().for_each(Planner::kill),
            2 => planners[n].signal("-STOP"),
            3 => proxies.iter().enumerate().for_each(|(f, g)| {
                g.iter()
                    .enumerate()
                    .for_each(|(p, proxy)| proxy.cut((f < 3) != (p == 0), (f < 3) != (p == 0)));
            }),
            4 => proxies.iter().flatten().for_each(|g| g.cut(true, false)),
            5 => {
                // Restarted with half its leases spent, and before they expire.
                lock(&killed).insert(fleet[f].address, Instant::now() + Duration::from_millis(100));
                fleet[f].restart()?;
            }
            // For less than the limit for a request head (2.2 s): a connection whose head is not read by then is
            // closed without a response.
            6 => {
                fleet[f].signal("-STOP");
                thread::sleep(wait.min(Duration::from_millis(1200)));
                fleet[f].signal("-CONT");
            }
            _ => proxies[rng.usize(0..SEATS)][n].cut(false, true),
        }
        thread::sleep(wait.min(until.saturating_duration_since(Instant::now())));
        // The links are not restored every time.
        if rng.u32(0..4) > 0 {
            proxies.iter().flatten().for_each(|g| g.cut(false, false));
        }
        for planner in &mut planners {
            planner.signal("-CONT");
            if planner.child.is_none() && !without_planners(play) {
                planner.start()?;
            }
        }
        thread::sleep(
            Duration::from_millis(rng.u64(0..1500)).min(until.saturating_duration_since(Instant::now())),
        );
    }
    client_threads.into_iter().for_each(|thread| drop(thread.join()));
    let (seen, calm, plain_calm) = (*lock(&seen), *lock(&calm), *lock(&plain_calm));
    let mut f = Figures::default();
    f.set("faults", faults.len());
    let arrivals = lock(&record.arrivals);
    for who in 0..=OVER_QUOTA_CUSTOMERS {
        f.bound(&format!("overrun_units_customer_{who}"), overrun(&arrivals, who), 0.0, SLACK);
    }
    let share = |part: usize, all: usize| (1e4 * part as f64 / all.max(1) as f64).round() / 1e4;
    let (here, there) = (share(calm.refused, calm.asked), share(plain_calm.refused, plain_calm.asked));
    f.set("refused_with_room_guessing", there);
    // At most a third of the share that is refused without the role, or 1% if that is larger.
    f.bound("refused_with_room", here, 0.0, (there / 3.0).max(0.01));
    let runs = lock(&record.runs);
    f.expect_zero("book_slots_run_twice", runs.iter().filter(|(id, n)| *id % 3 == 2 && **n > 1).count());
    f.expect_zero("unanswered", seen.unanswered);
    f.set("lost_with_a_killed_forwarder", seen.lost_at_kill);
    f.set("asked", seen.asked);
    f.set("served_share", share(seen.served, seen.asked));
    f.set("failed_share", share(seen.failed, seen.asked));
    f.set("bytes_a_second_per_forwarder", (bytes_calm as f64 / half.as_secs_f64() / SEATS as f64).round());
    f.set("cpu_beside_guessing", (100.0 * cpu_fleet as f64 / cpu_plain.max(1) as f64).round() / 100.0);
    Ok(f)
}

/// Returns the most units by which a customer exceeded its hard limit over any window, according to a token bucket
/// for the whole fleet that is full at first.
fn overrun(arrivals: &[(Instant, u64, f64)], who: u64) -> f64 {
    let mut all: Vec<_> = arrivals.iter().filter(|c| c.1 == who).collect();
    all.sort_by_key(|c| c.0);
    let (mut level, mut least, mut last) = (HARD_LIMIT.1, HARD_LIMIT.1, all.first().map(|c| c.0));
    for (at, _, units) in all {
        let passed = last.map_or(0.0, |l| at.duration_since(l).as_secs_f64());
        level = (level + HARD_LIMIT.0 * passed).min(HARD_LIMIT.1) - units;
        (last, least) = (Some(*at), least.min(level));
    }
    ((-least).max(0.0) * 10.0).round() / 10.0
}
