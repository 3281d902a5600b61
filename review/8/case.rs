//! Case 8: after SIGTERM, a gateway breaks off an answer whose server is silent for 0.4 s in its middle. See claim.txt.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const REQUESTS: usize = 8;
/// The client's time and the route's timeout.
const TIMEOUT_MS: u64 = 3000;
const WORK: Duration = Duration::from_millis(300);
const SILENCE: Duration = Duration::from_millis(400);

fn main() {
    let trouble = begin();
    let system = System::start(3, "otjikoto-gate", 1500);
    let controls = system.controls();
    let route = |name: &str, kind| Route {
        name: name.into(),
        prefix: format!("/{name}/"),
        kind,
        timeout_ms: TIMEOUT_MS,
        target_ms: 1200,
        service: "ledger".into(),
        max_attempts: 2,
    };
    let body = configuration(1, 0, &[route("read", "safe")], &["ledger".into()]);
    if replace(&controls, &body, Duration::from_secs(15)) != 200 {
        cannot_run("the configuration is not acknowledged");
    }
    // When each server finished each request: attempt id -> ms, 0 while a server is at work.
    let finished: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let silent = Arc::new(AtomicBool::new(false));
    let (at_work, is_silent) = (finished.clone(), silent.clone());
    let handler: Handler = Arc::new(move |exchange: &mut Exchange| {
        let attempt = exchange.attempt();
        note_run(&exchange.server.id, &attempt, &exchange.request.start);
        at_work.lock().unwrap().insert(attempt.clone(), 0.0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {}\r\nContent-Length: 400\r\n\r\n",
            seal(&attempt)
        );
        sleep(WORK);
        // The head goes out, the body follows: after a silence, or at once.
        let mut written = exchange.write(head.as_bytes());
        if is_silent.load(SeqCst) {
            sleep(SILENCE);
        }
        written &= exchange.write(&[b'x'; 400]);
        at_work.lock().unwrap().insert(attempt.clone(), now_ms());
        record(&format!("server {} has answered {attempt}", exchange.server.id));
        written
    });
    let servers: Vec<_> = (0..4)
        .map(|n| Server::start(&format!("i-{n}"), "ledger", &format!("zone-{}", n % 3), controls.clone(), handler.clone()))
        .collect();
    sleep(Duration::from_secs(2));
    system.wait_ready();
    // Some ordinary requests first, then calm for longer than contactMs.
    let front = system.fronts()[0];
    for _ in 0..20 {
        let answer = Conn::open(front).and_then(|mut c| c.ask(&get("/read/1", &new_attempt(), TIMEOUT_MS), Duration::from_secs(3)));
        if answer.map_or(0, |a| a.status) != 200 {
            cannot_run("an ordinary request is not served");
        }
    }
    sleep(Duration::from_millis(3500));
    silent.store(trouble, SeqCst);

    let clients: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let finished = finished.clone();
            thread::spawn(move || {
                let attempt = new_attempt();
                let sent = Instant::now();
                record(&format!("client: sends {attempt}"));
                let answer = Conn::open(front)
                    .and_then(|mut c| c.ask(&get("/read/1", &attempt, TIMEOUT_MS), Duration::from_millis(TIMEOUT_MS)));
                let (at, taken) = (now_ms(), sent.elapsed());
                let was_at_work = finished.lock().unwrap().get(&attempt).is_some_and(|end| *end == 0.0 || *end > at);
                let (status, sealed) = answer.as_ref().map_or((0, false), |a| (a.status, a.header("server-seal").is_some()));
                record(&format!(
                    "client: {attempt} gets {status}{} after {} ms; its server is {}",
                    if sealed { " of the server" } else { "" },
                    taken.as_millis(),
                    if was_at_work { "at work" } else { "not at work" }
                ));
                // LOST, after a SIGTERM: an answer of the gateway's own in place of one at which the server is at work, or
                // a connection that ends without an answer, before the deadline and the route's timeout.
                let own = !sealed && matches!(status, 0 | 500 | 502 | 504);
                own && was_at_work && taken < Duration::from_millis(TIMEOUT_MS - 500)
            })
        })
        .collect();
    sleep(Duration::from_millis(200));
    system.signal_gateway(0, SIGTERM);
    let broken = clients.into_iter().filter(|_| true).map(|c| c.join().unwrap_or(false)).filter(|broken| *broken).count();
    drop(servers);
    record(&format!("{broken} of {REQUESTS} requests were broken off while their server was at work"));
    finish(i32::from(broken > 0))
}
