//! Scenario of many services, with a backend each, behind real gateways: each request must be answered by a backend
//! of its route's service.

use crate::fleet::serve;
use crate::local_cluster::{call, LocalCluster, MACHINES};
use crate::peers::{Client, Message};
use crate::scenario::{Figures, Play, Scenario};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "services",
    about:
        "many services behind real gateways: each request reaches a backend of its own service (--services N)",
    seconds: 8,
    test_seconds: 3,
    defects: &[("crossed", "two backends send heartbeats for each other's service")],
    program_defects: &[],
    run,
};

const SERVICES: usize = 24;
const HEARTBEAT_MS: u64 = 500;

fn configuration(services: usize) -> String {
    let route = |n| {
        json!({"name": format!("r{n}"), "host": "desk.example", "pathPrefix": format!("/s{n}/"), "routeKind": "safe",
            "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 1, "targetService": format!("svc{n}"),
            "maxAttempts": 2, "public": true})
    };
    let service = |n| json!({"name": format!("svc{n}"), "healthPath": "/health", "maxConnections": 100});
    json!({"configVersion": "00000001", "baseVersion": "00000000", "tenants": [],
        "routes": (0..services).map(route).collect::<Vec<_>>(),
        "services": (0..services).map(service).collect::<Vec<_>>()})
    .to_string()
}

/// Starts a backend that responds with the number of its service.
pub(crate) fn backend(n: usize) -> Result<SocketAddr, String> {
    let script = move |m: &Message, to: &mut TcpStream| {
        let attempt = m.header("attempt-id").unwrap_or_default().to_string();
        let body = n.to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: stand-in\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        to.write_all(answer.as_bytes()).is_ok()
    };
    serve(Arc::new(script)).map_err(|e| e.to_string())
}

/// Client that sends its requests to the gateways in turn.
pub(crate) struct ServiceClient {
    fronts: Vec<SocketAddr>,
    next_id: u64,
}

impl ServiceClient {
    pub(crate) fn new(fronts: Vec<SocketAddr>) -> Self {
        ServiceClient { fronts, next_id: 0 }
    }

    /// Sends a request on the route of service `n`. Returns the number of the service that answered, if it is readable;
    /// None without a successful answer.
    pub(crate) fn ask(&mut self, n: usize) -> Option<Option<usize>> {
        self.next_id += 1;
        let text = format!(
            "GET /s{n}/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {:016x}\r\nRemaining-Time: 2000\r\n\r\n",
            self.next_id
        );
        let front = self.fronts[self.next_id as usize % self.fronts.len()];
        let answer = Client::try_connect(front).and_then(|mut client| client.try_ask(&text));
        let answer = answer.filter(|answer| answer.status() == 200);
        answer.map(|answer| String::from_utf8_lossy(&answer.body).parse().ok())
    }
}

fn run(play: &Play) -> Result<Figures, String> {
    let services = play.size.services.unwrap_or(SERVICES);
    if !(2..=400).contains(&services) {
        return Err(format!("{services} services: 2 to 400"));
    }
    let cluster = LocalCluster::open_with(play.seed, MACHINES, HEARTBEAT_MS)?;
    let controls = cluster.controls();
    let taken = call(&controls, "POST", "/-/Configuration.Replace", &configuration(services), 150);
    if taken.is_none_or(|a| a.status() != 200) {
        return Err("the configuration was not accepted".into());
    }
    let addresses: Result<Vec<SocketAddr>, String> = (0..services).map(backend).collect();
    let (addresses, stop) = (addresses?, Arc::new(AtomicBool::new(false)));
    let (to, stop_flag, crossed) = (controls.clone(), stop.clone(), play.has("crossed"));
    let heartbeat_thread = spawn(move || {
        for sequence in 1u64.. {
            for (n, address) in addresses.iter().enumerate() {
                let service = if crossed && n < 2 { 1 - n } else { n };
                let body = json!({"address": address.to_string(),
                    "nodeInfo": {"targetService": format!("svc{service}"), "configVersion": "v1", "zone": "zone-0",
                        "capacitySlots": 4},
                    "status": {"state": "ready", "callSequence": sequence, "warmupLeftMs": 0}});
                // The next heartbeat makes up for a lost one.
                call(&to, "POST", &format!("/-/Instances.Heartbeat/i-{n}"), &body.to_string(), 6);
                if stop_flag.load(Relaxed) {
                    return;
                }
            }
            sleep(Duration::from_millis(HEARTBEAT_MS / 4));
        }
    });
    let (mut correct, mut crossed_count, mut failed) = (0u32, 0usize, 0u32);
    let mut client = ServiceClient::new(cluster.fronts());
    // Wait until every gateway knows a backend of each service.
    let up = Instant::now();
    while up.elapsed() < 3 * play.time
        && (0..services).any(|n| (0..MACHINES).any(|_| client.ask(n).is_none()))
    {
        sleep(Duration::from_millis(50));
    }
    let began = Instant::now();
    while began.elapsed() < play.time {
        for n in 0..services {
            match client.ask(n) {
                Some(by) if by == Some(n) => correct += 1,
                Some(_) => crossed_count += 1,
                None => failed += 1,
            }
        }
        sleep(Duration::from_millis(20));
    }
    stop.store(true, Relaxed);
    // The thread ends because `stop` is set.
    let _ = heartbeat_thread.join();
    let mut figures = Figures::default();
    figures.set("services", services);
    figures.set("answered by the right service", correct);
    figures.expect_zero("answered by a backend of another service", crossed_count);
    let all = (correct + failed + crossed_count as u32).max(1);
    figures.bound("left without an answer, of all", f64::from(failed) / f64::from(all), 0.0, 0.05);
    Ok(figures)
}
