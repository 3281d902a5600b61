//! CPU cost of the forwarder's role under load: a forwarder with its planner, and next to it a gateway without the
//! role, both with the same requests, which are within the quotas.

use crate::fleet::lock;
use crate::peers::Client;
use crate::planners::{config, customer, free_port, start_servers, ticks, units, Files, Planner, SEATS};
use crate::program::{locate, Program};
use crate::scenario::{Figures, Play, Scenario};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "planning-cost",
    about: "CPU per request of a forwarder and of a gateway without the role, 400 requests a second each",
    seconds: 20,
    test_seconds: 4,
    defects: &[("no-planner", "no planner is started: the forwarder serves from its own share alone")],
    program_defects: &[],
    run,
};

const CONNECTIONS: u64 = 16;
/// Requests a second on each connection.
const RATE: f64 = 25.0;
/// Customers that take turns on each connection, so that each stays within its quota.
const CUSTOMERS: u64 = 8;
/// Minimum duration of a run for a bound on the CPU cost: a shorter run has too few clock ticks to resolve a few
/// percent.
const MIN_JUDGED_DURATION: Duration = Duration::from_secs(15);

/// Counts of one gateway's requests and of its successful responses.
#[derive(Default)]
struct RequestCounts {
    asked: AtomicUsize,
    served: AtomicUsize,
}

/// Sends requests to this gateway on one connection, for the connection's own customers in turn.
fn run_client(connection: u64, to: SocketAddr, started: Instant, until: Instant, answers: &RequestCounts) {
    let Some(mut client) = Client::try_connect(to) else { return };
    let pause = Duration::from_secs_f64(1.0 / RATE);
    let mut next = started + pause.mul_f64(connection as f64 / CONNECTIONS as f64);
    let mut number = 0;
    while next < until {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        number += 1;
        let id = ((connection * CUSTOMERS + number % CUSTOMERS) << 48) | (number << 3);
        let class = ["quote", "confirm", "book-slot"][(number % 3) as usize];
        let text = crate::demo::request(class, id, "partner", &format!("{:016x}", 1 + customer(id)), 2.0)
            .replace("units=1,spread=1", &format!("units={},spread={SEATS}", units(id)));
        answers.asked.fetch_add(1, Ordering::Relaxed);
        match client.try_ask(&text).map(|m| m.status()) {
            Some(200) => {
                answers.served.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {}
            None => match Client::try_connect(to) {
                Some(anew) => client = anew,
                None => return,
            },
        }
    }
}

/// Returns the number of seats whose shares are lent to the planner, as it reports them.
fn lent_seats(state: SocketAddr) -> usize {
    let Some(mut client) = Client::try_connect(state) else { return 0 };
    let answer = client.try_ask("GET /planner/state HTTP/1.1\r\nHost: planner\r\n\r\n");
    let state: Option<serde_json::Value> = answer.and_then(|m| serde_json::from_slice(&m.body).ok());
    state.and_then(|s| Some(s["lent"].as_array()?.len())).unwrap_or(0)
}

fn run(play: &Play) -> Result<Figures, String> {
    let program = locate()?;
    let mut files = Files(Vec::new());
    let key = files.add("key", "the key of the rig, sixteen and more bytes\n", 0o600)?;
    let own_file = files.add("planner.json", &config(0), 0o600)?;
    let (listen, state) = (free_port()?, free_port()?);
    let key = key.display();
    let text = format!(
        "[allowances]\nseats = 1\n[planner]\nlisten = \"{listen}\"\nstate = \"{state}\"\nkey_file = \"{key}\"\n"
    );
    let operator = files.add("planner.toml", &text, 0o600)?;
    let mut planner = Planner { program: program.clone(), config: own_file, operator, listen, child: None };
    if !play.has("no-planner") {
        planner.start()?;
    }
    let text = format!(
        "[allowances]\nseats = 1\n[forwarder]\nseat = 0\nplanners = [\"{listen}\"]\nkey_file = \"{key}\"\n"
    );
    let operator = files.add("forwarder.toml", &text, 0o600)?;
    let (_record, discovery) = start_servers()?;
    let (_other_record, other_discovery) = start_servers()?;
    let forwarder =
        Program::start_with_operator_file(&program, &config(0), discovery.address, Some(&operator))?;
    let plain = Program::start_with_operator_file(&program, &config(0), other_discovery.address, None)?;
    // Wait until the loan is granted. Grants follow once requests arrive, so the figures are taken after a warm-up.
    thread::sleep(Duration::from_millis(2500));
    let started = Instant::now();
    let warm_at = started + Duration::from_secs(2);
    let until = warm_at + play.time;
    let gateways = [&forwarder, &plain];
    let answers: [Arc<RequestCounts>; 2] = Default::default();
    let client_threads = Mutex::new(Vec::new());
    for (gateway, answers) in gateways.iter().zip(&answers) {
        for n in 0..CONNECTIONS {
            let (to, answers, first) = (gateway.address, answers.clone(), n + (play.seed % 64) * CONNECTIONS);
            lock(&client_threads)
                .push(thread::spawn(move || run_client(first, to, started, until, &answers)));
        }
    }
    thread::sleep(warm_at.saturating_duration_since(Instant::now()));
    let count = |what: fn(&RequestCounts) -> &AtomicUsize| {
        answers.each_ref().map(|a| what(a).load(Ordering::Relaxed))
    };
    let cpu = || gateways.map(|g| ticks(g.child.id()));
    let (cpu_before, asked_before, served_before) = (cpu(), count(|a| &a.asked), count(|a| &a.served));
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let (cpu_after, asked, served) = (cpu(), count(|a| &a.asked), count(|a| &a.served));
    let lent_seats = lent_seats(state);
    client_threads.into_inner().into_iter().flatten().for_each(|l| drop(l.join()));
    let per = |n: usize| (cpu_after[n] - cpu_before[n]) as f64 / (served[n] - served_before[n]).max(1) as f64;
    let share = |n: usize| (served[n] - served_before[n]) as f64 / (asked[n] - asked_before[n]).max(1) as f64;
    let rounded = |v: f64| (1000.0 * v).round() / 1000.0;
    let mut f = Figures::default();
    f.set("asked", asked[0] - asked_before[0]);
    // Requests sent before the measured span and answered in it can make the share a little more than 1.
    f.bound("served_share", rounded(share(0)), 0.97, 1.02);
    f.bound("served_share_without_the_role", rounded(share(1)), 0.97, 1.02);
    f.bound("seats_lent", lent_seats as f64, 1.0, 1.0);
    let max_cpu_ratio = if play.time >= MIN_JUDGED_DURATION { 1.05 } else { f64::INFINITY };
    f.bound("cpu_beside_no_role", rounded(per(0) / per(1)), 0.0, max_cpu_ratio);
    Ok(f)
}
