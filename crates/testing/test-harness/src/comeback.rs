//! Scenario of restarts with and without snapshots: three fleets side by side with the same load, one with snapshots,
//! one without, and one in which no gateway is killed. In the first two, eight of twelve gateways are killed at once
//! and restarted after a second. All counts are taken at servers and clients, not at the gateways.

use crate::fleet::lock;
use crate::peers::{Client, Discovery};
use crate::planners::{customer, start_servers, units, Files, RequestRecord, QUOTA};
use crate::program::{locate, Program, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use fastrand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "comeback",
    about:
        "eight of twelve gateways killed at once, with snapshots, without, and none killed: the cost of each",
    seconds: 12,
    test_seconds: 10,
    defects: &[
        ("nothing-kept", "the fleet that should have snapshots has none"),
        ("swapped", "every killed gateway finds the snapshot of another"),
    ],
    program_defects: &[],
    run,
};

const GATEWAYS: usize = 12;
const KILLED: usize = 8;
/// Number of customers that request two and a half times their quota, and of customers that request half of it.
const OVER_QUOTA_CUSTOMERS: u64 = 6;
const WITHIN_QUOTA_CUSTOMERS: u64 = 6;
/// Time between the kill and the restart.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Warm-up until the levels of the stores reflect the load.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time for which a client keeps an unused connection.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Step between two spans that are examined for full service.
const WINDOW: Duration = Duration::from_millis(250);

/// Outcome of one request.
#[derive(Clone, Copy)]
struct Outcome {
    asked: Instant,
    gateway: usize,
    customer: u64,
    status: Option<u16>,
}

/// One of the three fleets.
struct TestFleet {
    gateways: Vec<Program>,
    folders: Vec<PathBuf>,
    record: Arc<RequestRecord>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    client_threads: Vec<JoinHandle<()>>,
    _discovery: Discovery,
}

/// Temporary folders, which are removed on drop.
struct Folders(Vec<PathBuf>);

impl Drop for Folders {
    fn drop(&mut self) {
        self.0.iter().for_each(|f| drop(std::fs::remove_dir_all(f)));
    }
}

fn config(me: usize) -> String {
    let mut config: serde_json::Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    let s = &mut config["settings"];
    (s["me"], s["siblings"]) = (me.into(), GATEWAYS.into());
    for plan in s["plans"].as_array_mut().into_iter().flatten().filter(|p| p["name"] == "workshop") {
        (plan["quota_rate"], plan["depth"]) = (QUOTA.0.into(), QUOTA.1.into());
    }
    config.to_string()
}

impl TestFleet {
    fn start(
        name: &str,
        has_snapshots: bool,
        program: &Path,
        files: &mut Files,
        folders: &mut Folders,
    ) -> Result<Self, String> {
        let (record, discovery) = start_servers()?;
        let (mut gateways, mut own) = (Vec::new(), Vec::new());
        for n in 0..GATEWAYS {
            let operator = if has_snapshots {
                let number = crate::peers::NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let folder = format!("test-harness-{}-{number}-{name}-{n}", std::process::id());
                let folder = std::env::temp_dir().join(folder);
                std::fs::create_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
                folders.0.push(folder.clone());
                own.push(folder.clone());
                let text = format!("[snapshot]\nfolder = \"{}\"\nname = \"g{n}\"\n", folder.display());
                Some(files.add("snapshot.toml", &text, 0o600)?)
            } else {
                None
            };
            gateways.push(Program::start_with_operator_file(
                program,
                &config(n),
                discovery.address,
                operator.as_deref(),
            )?);
        }
        let (outcomes, client_threads) = Default::default();
        Ok(TestFleet { gateways, folders: own, record, outcomes, client_threads, _discovery: discovery })
    }

    /// Starts the load, which has the same requests at the same times in each fleet.
    fn load(&mut self, seed: u64, began: Instant, until: Instant) {
        let addresses: Vec<SocketAddr> = self.gateways.iter().map(|g| g.address).collect();
        for customer in 0..OVER_QUOTA_CUSTOMERS + WITHIN_QUOTA_CUSTOMERS {
            let times = if customer < OVER_QUOTA_CUSTOMERS { 2.5 } else { 0.5 };
            let client_threads = if customer < OVER_QUOTA_CUSTOMERS { 4 } else { 2 };
            let rate = times * QUOTA.0 / 4.5 / client_threads as f64;
            for n in 0..client_threads {
                let id = (customer << 48) | (n << 40) | ((seed & 0xff) << 32);
                let (addresses, outcomes) = (addresses.clone(), self.outcomes.clone());
                self.client_threads
                    .push(thread::spawn(move || run_client(id, rate, (began, until), &addresses, &outcomes)));
            }
        }
    }

    /// Returns the units that were run beyond the quotas after `since`, according to one token bucket per customer
    /// for the whole fleet.
    fn units_over_quota(&self, since: Instant) -> f64 {
        let mut arrivals = lock(self.record.arrivals()).clone();
        arrivals.sort_by_key(|c| c.0);
        let mut stores: HashMap<u64, (f64, Option<Instant>)> = HashMap::new();
        let mut units_over_quota = 0.0;
        for (at, who, units) in arrivals {
            let (level, last) = stores.entry(who).or_insert((QUOTA.1, None));
            let passed = last.map_or(0.0, |l| at.duration_since(l).as_secs_f64());
            *level = (*level + QUOTA.0 * passed).min(QUOTA.1);
            *last = Some(at);
            if *level >= units {
                *level -= units;
            } else if at >= since {
                units_over_quota += units;
            }
        }
        units_over_quota
    }
}

/// Sends one customer's requests, `rate` a second, each to a random gateway.
fn run_client(
    mut id: u64,
    rate: f64,
    (began, until): (Instant, Instant),
    addresses: &[SocketAddr],
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let mut rng = Rng::with_seed(id);
    let mut clients: HashMap<usize, (Client, Instant)> = HashMap::new();
    let pause = Duration::from_secs_f64(1.0 / rate);
    let mut next = began + pause.mul_f64(rng.f64());
    while next < until {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        id += 1 + rng.u64(0..8);
        let gateway = rng.usize(0..addresses.len());
        let class = ["quote", "confirm", "book-slot"][(id % 3) as usize];
        let text = crate::demo::request(class, id, "workshop", &format!("{:016x}", 1 + customer(id)), 2.0)
            .replace("units=1,spread=1", &format!("units={},spread={GATEWAYS}", units(id)));
        // Connections are refused while a gateway is down: the next request goes to another gateway.
        // A connection that was idle for longer may have been closed, and a request on it would be lost.
        let kept =
            clients.remove(&gateway).filter(|(_, used)| used.elapsed() < MAX_IDLE).map(|(client, _)| client);
        let Some(mut client) = kept.or_else(|| Client::try_connect(addresses[gateway])) else { continue };
        let asked = Instant::now();
        let status = client.try_ask(&text).map(|m| m.status());
        if status.is_some() {
            clients.insert(gateway, (client, Instant::now()));
        }
        lock(outcomes).push(Outcome { asked, gateway, customer: customer(id), status });
    }
}

/// Returns the served share of the answered requests that customers within their quota sent to these gateways in this
/// span.
fn served(outcomes: &[Outcome], at: &[usize], from: Instant, to: Instant) -> Option<f64> {
    let of = |o: &&Outcome| {
        o.customer >= OVER_QUOTA_CUSTOMERS
            && at.contains(&o.gateway)
            && (from..to).contains(&o.asked)
            && o.status.is_some()
    };
    let all = outcomes.iter().filter(of).count();
    let good = outcomes.iter().filter(of).filter(|o| o.status == Some(200)).count();
    (all > 0).then(|| good as f64 / all as f64)
}

/// Returns the time after `started`, in milliseconds, until customers within their quota get 95% of their earlier
/// service for 2 s.
fn full_service(
    outcomes: &[Outcome],
    at: &[usize],
    before: f64,
    started: Instant,
    end: Instant,
) -> Option<u64> {
    let span = Duration::from_secs(2);
    let mut from = started;
    while from + span <= end {
        if served(outcomes, at, from, from + span).is_some_and(|s| s >= 0.95 * before) {
            return Some((from - started).as_millis() as u64);
        }
        from += WINDOW;
    }
    None
}

fn run(play: &Play) -> Result<Figures, String> {
    let program = locate()?;
    let (mut files, mut folders) = (Files(Vec::new()), Folders(Vec::new()));
    let has_snapshots = !play.has("nothing-kept");
    let mut fleets = Vec::new();
    for (name, has_snapshots) in [("with", has_snapshots), ("without", false), ("calm", false)] {
        fleets.push(TestFleet::start(name, has_snapshots, &program, &mut files, &mut folders)?);
    }
    let began = Instant::now();
    let until = began + play.time.max(WARM_UP + DOWNTIME + Duration::from_secs(5));
    fleets.iter_mut().for_each(|fleet| fleet.load(play.seed, began, until));
    let mut rng = Rng::with_seed(play.seed);
    let killed = rng.choose_multiple(0..GATEWAYS, KILLED);
    thread::sleep(WARM_UP);
    let at = Instant::now();
    for fleet in &mut fleets[..2] {
        killed.iter().for_each(|n| fleet.gateways[*n].kill());
    }
    if play.has("swapped") {
        let file = |n: usize| fleets[0].folders[n].join("granitethread.snapshot");
        let all: Vec<Option<Vec<u8>>> = killed.iter().map(|n| std::fs::read(file(*n)).ok()).collect();
        for (n, bytes) in killed.iter().zip(all.iter().skip(1).chain(all.iter().take(1))) {
            bytes.as_ref().map(|b| std::fs::write(file(*n), b)).transpose().map_err(|e| e.to_string())?;
        }
    }
    thread::sleep((at + DOWNTIME).saturating_duration_since(Instant::now()));
    for fleet in &mut fleets[..2] {
        killed.iter().try_for_each(|n| fleet.gateways[*n].restart())?;
    }
    let started = Instant::now();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let mut f = Figures::default();
    let (mut units_over_quota, mut first, mut unanswered, mut twice) = (Vec::new(), Vec::new(), 0, 0);
    for (name, fleet) in ["with", "without", "calm"].iter().zip(&mut fleets) {
        fleet.client_threads.drain(..).for_each(|client| drop(client.join()));
        let outcomes = lock(&fleet.outcomes).clone();
        let before = served(&outcomes, &killed, at - Duration::from_secs(2), at).unwrap_or(0.0);
        let after = served(&outcomes, &killed, started, started + Duration::from_secs(2)).unwrap_or(0.0);
        let full = full_service(&outcomes, &killed, before, started, until);
        let round = |share: f64| (1000.0 * share).round() / 1000.0;
        f.set(&format!("{name}_good_served_before"), round(before));
        f.set(&format!("{name}_good_served_first_2s"), round(after));
        f.set(&format!("{name}_full_service_ms"), full);
        units_over_quota.push(fleet.units_over_quota(at));
        f.set(&format!("{name}_units_beyond_quotas"), units_over_quota[units_over_quota.len() - 1].round());
        first.push(after / before.max(1e-9));
        // In flight at a killed gateway, or sent on a connection that the kill had closed: the client must retry
        // these.
        let held = |o: &&Outcome| {
            killed.contains(&o.gateway) && (at - MAX_IDLE..started + MAX_IDLE).contains(&o.asked)
        };
        unanswered += outcomes.iter().filter(|o| o.status.is_none() && !held(o)).count();
        twice += lock(fleet.record.runs()).iter().filter(|(id, n)| *id % 3 == 2 && **n > 1).count();
    }
    f.expect_zero("unanswered", unanswered);
    f.expect_zero("book_slots_run_twice", twice);
    let (with, without) =
        (units_over_quota[0] - units_over_quota[2], units_over_quota[1] - units_over_quota[2]);
    f.set("units_beyond_by_kills", vec![with.round(), without.round()]);
    // At most a third of the units that the kills cost without snapshots, plus a request or two.
    f.bound(
        "part_of_the_overrun",
        with / without.max(1.0),
        f64::NEG_INFINITY,
        1.0 / 3.0 + 20.0 / without.max(1.0),
    );
    f.bound("good_first_2s_beside_before", (first[0] * 1000.0).round() / 1000.0, 0.95, f64::INFINITY);
    Ok(f)
}
