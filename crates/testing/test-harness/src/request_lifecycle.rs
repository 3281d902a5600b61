//! Scenario of the request lifecycle: servers that fail in every way, discovery that drains servers and restores
//! them, clients that disconnect, and at the end a drain of the gateway. Records at servers and clients show which
//! requests ran and which were answered.

use crate::demo::request;
use crate::fleet::{body, good, lock, not_started, serve};
use crate::peers::{list, write_text, Client, Discovery, Message};
use crate::program::{locate, Program, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use fastrand::Rng;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "lives",
    about: "servers that fail in every way, drains, clients that disconnect: one truthful response to each request",
    seconds: 10,
    test_seconds: 6,
    defects: &[
        ("lying-refusal", "servers report requests as not started that they have run"),
        ("foreign-answer", "servers respond with the body of another request"),
        ("deaf-list", "a server is drained, but discovery does not notify the gateway"),
        ("hung-gateway", "the gateway is suspended for a while with requests in flight"),
    ],
    program_defects: &[],
    run,
};

const SERVERS: usize = 3;
const CLIENTS: u64 = 16;
/// Grace period of the drain, plus the delay of a loaded machine.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 500);
/// Delay that a loaded machine may add to a request.
const RESPONSE_SLACK: Duration = Duration::from_millis(1000);

/// Requests as the servers saw them.
#[derive(Default)]
struct RequestRecord {
    /// Number of runs or possible runs of each request, by its id.
    runs: Mutex<HashMap<String, u32>>,
    /// Time at which each server was drained, if it is.
    drained: Mutex<[Option<Instant>; SERVERS]>,
    /// Attempts that reached a drained server after the grace period.
    after_drain: AtomicUsize,
    attempts: AtomicUsize,
}

/// Outcome of a client's request.
struct RequestOutcome {
    id: String,
    class: &'static str,
    timeout: Duration,
    took: Duration,
    /// Whether the client waited for the response; false if it disconnected.
    waited: bool,
    /// Status of the response; `None` without a response.
    status: Option<u16>,
    /// Whether the body is that of this request's response.
    is_own: bool,
}

fn script(n: usize, record: &Arc<RequestRecord>, play: &Play) -> Arc<crate::fleet::Script> {
    let (record, play) = (record.clone(), play.clone());
    let tries = AtomicUsize::new(0);
    let last = Mutex::new(String::from("for nobody\n"));
    Arc::new(move |m: &Message, to: &mut _| {
        record.attempts.fetch_add(1, Ordering::Relaxed);
        if lock(&record.drained)[n].is_some_and(|since| since.elapsed() > DRAIN_GRACE) {
            record.after_drain.fetch_add(1, Ordering::Relaxed);
        }
        let id = m.header("request-id").unwrap_or_default().to_string();
        let nth = tries.fetch_add(1, Ordering::Relaxed) as u64;
        let mut rng = Rng::with_seed(play.seed ^ (n as u64) << 48 ^ nth.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let ran = || *lock(&record.runs).entry(id.clone()).or_default() += 1;
        let outcome = rng.u32(0..100);
        if outcome < 8 {
            if play.has("lying-refusal") {
                ran();
            }
            return not_started(to);
        }
        ran();
        match outcome {
            8..=15 => write_text(to, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
            16..=21 => false,
            22..=25 => write_text(to, "HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n"),
            26..=28 => {
                write_text(to, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf");
                false
            }
            29..=31 => {
                // Later than every timeout: the gateway has given up by then, and this response must reach no client.
                thread::sleep(Duration::from_millis(2700));
                good(to, &body(m), None)
            }
            _ => {
                thread::sleep(Duration::from_millis(rng.u64(0..50)));
                let own_body = body(m);
                let other = std::mem::replace(&mut *lock(&last), own_body.clone());
                let text = if play.has("foreign-answer") && outcome > 95 { other } else { own_body };
                good(to, &text, None) && outcome > 35
            }
        }
    })
}

/// Runs one client after another, until `until`.
fn run_client(n: u64, play: &Play, to: SocketAddr, until: Instant) -> Vec<RequestOutcome> {
    let mut rng = Rng::with_seed(play.seed.wrapping_add(n).wrapping_mul(0x2545_f491_4f6c_dd1d));
    let (mut all, mut client) = (Vec::new(), None::<Client>);
    let mut number = (n + 1) << 32;
    while Instant::now() < until {
        number += 1;
        let class = ["quote", "confirm", "book-slot"][rng.usize(0..3)];
        let timeout = Duration::from_millis(rng.u64(300..1500));
        let text = request(class, number, "partner", &format!("{:016x}", 0xc0 + n), timeout.as_secs_f64());
        let Some(mut on) = client.take().or_else(|| Client::try_connect(to)) else { continue };
        let (started, id) = (Instant::now(), format!("{number:016x}"));
        let mut answered = RequestOutcome {
            id,
            class,
            timeout,
            took: Duration::ZERO,
            waited: true,
            status: None,
            is_own: true,
        };
        match rng.u32(0..100) {
            // Disconnects after the complete request, at once or up to 40 ms later.
            0..=9 => {
                answered.waited = false;
                let _ = on.stream.write_all(text.as_bytes());
                thread::sleep(Duration::from_millis(rng.u64(0..40)));
                let _ = on.stream.shutdown(Shutdown::Both);
            }
            // Disconnects in the middle of the request.
            10..=13 => {
                answered.waited = false;
                let _ = on.stream.write_all(&text.as_bytes()[..rng.usize(1..text.len())]);
            }
            _ => {
                let answer = on.try_ask(&text);
                answered.took = started.elapsed();
                answered.status = answer.as_ref().map(Message::status);
                let own_body = format!("for {}\n", answered.id);
                answered.is_own =
                    answer.as_ref().is_none_or(|a| a.status() != 200 || a.body == own_body.as_bytes());
                let closing = answer.as_ref().is_some_and(|a| a.header("connection") == Some("close"));
                client = answer.filter(|_| !closing).map(|_| on);
            }
        }
        all.push(answered);
    }
    all
}

fn run(play: &Play) -> Result<Figures, String> {
    let record = Arc::<RequestRecord>::default();
    let mut addresses = Vec::new();
    for n in 0..SERVERS {
        addresses.push(serve(script(n, &record, play)).map_err(|e| e.to_string())?);
    }
    let names = ["server-1", "server-2", "server-3"];
    let all: Vec<_> = (0..SERVERS).map(|n| (names[n], addresses[n], "Ready")).collect();
    let discovery = Arc::new(Discovery::new(list(1, true, &all)));
    let mut gateway = Program::start(&locate()?, EXAMPLE, discovery.address)?;
    discovery.wait_for_calls(2);
    let (until, stop) = (Instant::now() + play.time, Arc::new(AtomicBool::new(false)));
    // Drain one server after another for a while.
    let changes = {
        let (record, discovery, stop, addresses) =
            (record.clone(), discovery.clone(), stop.clone(), addresses.clone());
        let deaf = play.has("deaf-list");
        thread::spawn(move || {
            let mut rev = 1;
            for n in (0..SERVERS).cycle() {
                for state in ["Terminating", "Ready"] {
                    rev += 1;
                    if !deaf {
                        discovery.publish(rev, list(rev, false, &[(names[n], addresses[n], state)]));
                    }
                    lock(&record.drained)[n] = (state == "Terminating").then(Instant::now);
                    let next = Instant::now() + Duration::from_millis(1800);
                    while Instant::now() < next {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            }
        })
    };
    let client_threads: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (play, to) = (play.clone(), gateway.address);
            thread::spawn(move || run_client(n, &play, to, until))
        })
        .collect();
    if play.has("hung-gateway") {
        thread::sleep(play.time / 3);
        let id = gateway.child.id().to_string();
        for (signal, wait) in [("-STOP", 3500), ("-CONT", 0)] {
            let _ = std::process::Command::new("kill").args([signal, &id]).status();
            thread::sleep(Duration::from_millis(wait));
        }
    }
    let mut asked: Vec<RequestOutcome> = Vec::new();
    for client in client_threads {
        asked.extend(client.join().map_err(|_| "a client thread panicked")?);
    }
    stop.store(true, Ordering::Relaxed);
    changes.join().map_err(|_| "the discovery thread panicked")?;
    let status = gateway.drain(Duration::from_secs(20))?;
    let panicked =
        gateway.log.try_iter().filter(|l| l.contains("panicked") || l.contains("lifecycle:")).count();
    Ok(figures(&record, &asked, status.success(), panicked))
}

fn figures(record: &RequestRecord, asked: &[RequestOutcome], clean: bool, panicked: usize) -> Figures {
    let runs = lock(&record.runs);
    let ran = |a: &RequestOutcome| runs.get(&a.id).copied().unwrap_or(0);
    let waited = || asked.iter().filter(|a| a.waited);
    let status = |wanted: &[u16]| waited().filter(|a| a.status.is_some_and(|s| wanted.contains(&s))).count();
    let (served, refused, failed) = (status(&[200]), status(&[429, 503]), status(&[502, 504]));
    let share = |n: usize| (1000.0 * n as f64 / waited().count().max(1) as f64).round() / 1000.0;
    let mut f = Figures::default();
    f.set("asked", asked.len());
    f.set("left", asked.len() - waited().count());
    f.bound("served_share", share(served), 0.5, 1.0);
    f.set("refused_share", share(refused));
    f.set("failed_share", share(failed));
    let attempts = record.attempts.load(Ordering::Relaxed);
    f.set("attempts_per_request", (100.0 * attempts as f64 / asked.len().max(1) as f64).round() / 100.0);
    f.expect_zero("unanswered", waited().filter(|a| a.status.is_none()).count());
    f.expect_zero(
        "other_answers",
        waited().count()
            - status(&[200, 429, 502, 503, 504])
            - waited().filter(|a| a.status.is_none()).count(),
    );
    f.expect_zero("answered_late", waited().filter(|a| a.took > a.timeout + RESPONSE_SLACK).count());
    f.expect_zero("answers_made_for_another", asked.iter().filter(|a| !a.is_own).count());
    f.expect_zero(
        "book_slots_run_twice",
        asked.iter().filter(|a| a.class == "book-slot" && ran(a) > 1).count(),
    );
    f.expect_zero(
        "refused_though_run",
        waited().filter(|a| matches!(a.status, Some(429 | 503)) && ran(a) > 0).count(),
    );
    f.expect_zero("sent_after_drain", record.after_drain.load(Ordering::Relaxed));
    f.expect_zero("machine_errors", panicked);
    f.expect_zero("unclean_ends", usize::from(!clean));
    f
}
