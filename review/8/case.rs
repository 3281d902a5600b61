//! Case 8: a gateway that has lived through 32 names of services serves no later service any more. See claim.txt.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Number of configurations after the first, each with a new name of the second service.
const CHANGES: u32 = 32;
/// Requests to each gateway on each of the two routes, in the calm time at the end.
const REQUESTS: usize = 10;

fn route(name: &str, service: &str) -> Route {
    let (prefix, service) = (format!("/{name}/"), service.into());
    Route { name: name.into(), prefix, kind: "safe", timeout_ms: 1500, target_ms: 600, service, max_attempts: 2 }
}

/// Sends a request, and again after a refusal as told by `Retry-After`, three tries in all. Returns the last status.
fn ask(front: SocketAddr, path: &str) -> u16 {
    let mut status = 0;
    for _ in 0..3 {
        let attempt = new_attempt();
        let request = get(path, &attempt, 1500);
        let answer = Conn::open(front).and_then(|mut conn| conn.ask(&request, Duration::from_millis(1500)));
        status = answer.as_ref().map_or(0, |answer| answer.status);
        let ran = runs_of(&attempt);
        record(&format!("client: {path} {attempt} at {front} -> {status}, runs {ran}"));
        let Ok(answer) = answer else { continue };
        if status != 503 && status != 429 {
            break;
        }
        let pause = answer.header("retry-after").and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.1);
        sleep(Duration::from_secs_f64(pause.clamp(0.0, 0.5)));
    }
    status
}

fn main() {
    let trouble = begin();
    let system = System::start(3, "otjikoto-gate", 1500);
    let controls = system.controls();
    let handler: Handler = Arc::new(|exchange: &mut Exchange| {
        note_run(&exchange.server.id, &exchange.attempt(), &exchange.request.start);
        exchange.answer(b"the server's bytes")
    });
    let start = |id: &str, service: &str| Server::start(id, service, "zone-0", controls.clone(), handler.clone());

    // The first configuration: a service that keeps its name.
    let first = configuration(1, 0, &[route("first", "first")], &["first".into()]);
    if replace(&controls, &first, Duration::from_secs(15)) != 200 {
        cannot_run("the first configuration is not acknowledged");
    }
    let _first_server = start("i-first", "first");
    sleep(Duration::from_secs(2));
    system.wait_ready();

    // Later configurations: a second service, whose name changes each time, as the names change each day.
    let mut previous: Option<Arc<Server>> = None;
    let changes = if trouble { CHANGES } else { 1 };
    for n in 1..=changes {
        let name = format!("later{n}");
        let server = start(&format!("i-{name}"), &name);
        sleep(Duration::from_millis(300));
        let routes = [route("first", "first"), route(&name, &name)];
        let body = configuration(n + 1, n, &routes, &["first".into(), name.clone()]);
        if replace(&controls, &body, Duration::from_secs(5)) != 200 {
            cannot_run("a later configuration is not acknowledged");
        }
        // The server of the previous name leaves in order.
        if let Some(previous) = previous.replace(server) {
            *previous.state.lock().unwrap() = "draining";
            previous.stopped.store(true, SeqCst);
            previous.beat(&controls, Duration::from_secs(3));
        }
        sleep(Duration::from_millis(400));
        for front in system.fronts() {
            ask(front, &format!("/{name}/x"));
        }
    }

    // Calm: no change for longer than contactMs and configApplyMs together.
    record("calm from here on");
    let calm = Instant::now();
    while calm.elapsed() < Duration::from_secs(7) {
        sleep(Duration::from_millis(100));
    }
    system.wait_ready();
    let later = format!("/later{changes}/x");
    let clients = system.fronts().into_iter().map(|front| {
        let later = later.clone();
        thread::spawn(move || {
            let mut served = (0, 0);
            for _ in 0..REQUESTS {
                served.0 += usize::from(ask(front, "/first/x") == 200);
                served.1 += usize::from(ask(front, &later) == 200);
            }
            served
        })
    });
    let clients: Vec<_> = clients.collect();
    let asked = clients.len() * REQUESTS;
    let served: Vec<(usize, usize)> = clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    let (on_first, on_later) = served.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    record(&format!("in calm time: first route {on_first} of {asked} served, later route {on_later} of {asked}"));
    // CONFIG: 20 or more requests on later routes, served less than a quarter as often as those on the first routes.
    finish(i32::from(asked >= 20 && 4 * on_later < on_first))
}
