//! Scenario of a service whose name changes with each configuration, behind real gateways: after more names than a
//! gateway has pools, requests still reach a backend of the service that their route names.

use crate::local_cluster::{call, LocalCluster, MACHINES};
use crate::scenario::{Figures, Play, Scenario};
use crate::services::{backend, ServiceClient};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "renamed-services",
    about:
        "a service has a new name in each configuration, and requests still reach its backend (--changes N)",
    seconds: 10,
    test_seconds: 4,
    defects: &[("keeps-name", "the backend of the last name sends heartbeats for the name before it")],
    program_defects: &[],
    run,
};

/// Configuration changes: more than the pools of a gateway.
const CHANGES: usize = 34;
/// Longer than the scenario: each backend sends one heartbeat.
const HEARTBEAT_MS: u64 = 60_000;
/// Time in which all gateways must serve a new name.
const MAX_DELAY: Duration = Duration::from_secs(2);

fn route(n: usize) -> Value {
    json!({"name": format!("r{n}"), "host": "desk.example", "pathPrefix": format!("/s{n}/"), "routeKind": "safe",
        "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 1, "targetService": format!("svc{n}"),
        "maxAttempts": 2, "public": true})
}

/// Returns the configuration after `n` changes: service 0, which keeps its name, and service `n`.
fn configuration(n: usize) -> String {
    let service =
        |n: &usize| json!({"name": format!("svc{n}"), "healthPath": "/health", "maxConnections": 100});
    let services = if n == 0 { vec![0] } else { vec![0, n] };
    json!({"configVersion": format!("{:08x}", n + 1), "baseVersion": format!("{n:08x}"), "tenants": [],
        "routes": services.iter().copied().map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>()})
    .to_string()
}

/// Starts a backend of service `n` and registers it for the service `name`.
fn start_backend(controls: &[SocketAddr], n: usize, name: usize) -> Result<(), String> {
    let address = backend(n)?;
    let body = json!({"address": address.to_string(),
        "nodeInfo": {"targetService": format!("svc{name}"), "configVersion": "v1", "zone": "zone-0",
            "capacitySlots": 4},
        "status": {"state": "ready", "callSequence": 1, "warmupLeftMs": 0}});
    let path = format!("/-/Instances.Heartbeat/i-{n}");
    let taken = call(controls, "POST", &path, &body.to_string(), 60);
    taken
        .filter(|answer| answer.status() == 200)
        .map(drop)
        .ok_or_else(|| format!("backend {n} is not registered"))
}

fn remove_backend(controls: &[SocketAddr], n: usize) {
    // One that stays registered receives no requests, since no route leads to it.
    call(controls, "POST", &format!("/-/Instances.Deregister/i-{n}"), "{}", 6);
}

fn replace_configuration(controls: &[SocketAddr], n: usize) -> Result<(), String> {
    let taken = call(controls, "POST", "/-/Configuration.Replace", &configuration(n), 150);
    taken.filter(|a| a.status() == 200).map(drop).ok_or_else(|| format!("change {n} was not accepted"))
}

/// Waits until all gateways serve service `n`. Returns whether they do in time.
fn wait_until_served(client: &mut ServiceClient, n: usize) -> bool {
    let started = Instant::now();
    while !(0..MACHINES).all(|_| client.ask(n) == Some(Some(n))) {
        if started.elapsed() > MAX_DELAY {
            return false;
        }
        sleep(Duration::from_millis(10));
    }
    true
}

fn run(play: &Play) -> Result<Figures, String> {
    let changes = play.size.changes.unwrap_or(CHANGES);
    if !(1..=400).contains(&changes) {
        return Err(format!("{changes} changes: 1 to 400"));
    }
    let cluster = LocalCluster::open_with(play.seed, MACHINES, HEARTBEAT_MS)?;
    let controls = cluster.controls();
    let mut client = ServiceClient::new(cluster.fronts());
    replace_configuration(&controls, 0)?;
    start_backend(&controls, 0, 0)?;
    let mut unserved_names = usize::from(!wait_until_served(&mut client, 0));
    for n in 1..=changes {
        let name = if play.has("keeps-name") && n == changes { n - 1 } else { n };
        start_backend(&controls, n, name)?;
        replace_configuration(&controls, n)?;
        if n > 1 {
            remove_backend(&controls, n - 1);
        }
        unserved_names += usize::from(!wait_until_served(&mut client, n));
    }
    let (mut answered, mut crossed, mut failed) = (0usize, 0usize, 0usize);
    let began = Instant::now();
    while began.elapsed() < play.time / 4 {
        for n in [0, changes] {
            match client.ask(n) {
                Some(by) if by == Some(n) => answered += 1,
                Some(_) => crossed += 1,
                None => failed += 1,
            }
        }
        sleep(Duration::from_millis(5));
    }
    let mut figures = Figures::default();
    figures.set("changes", changes);
    figures.set("answered by the right service", answered);
    figures.expect_zero("names that a gateway did not serve within 2 s", unserved_names);
    figures.expect_zero("answered by a backend of another service", crossed);
    let all = (answered + failed + crossed).max(1);
    figures.bound("left without an answer, of all", failed as f64 / all as f64, 0.0, 0.05);
    Ok(figures)
}
