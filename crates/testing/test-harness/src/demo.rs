//! Demonstration of a gateway: three stand-in servers, discovery that lists them, and a few customers of which one
//! sends far more than its quota.

use crate::fleet::{body, good, lock, not_started, serve, Cores, Meter};
use crate::peers::{list, Client, Discovery, Message};
use crate::program::{locate, Program, EXAMPLE};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Customers: plan, account, and requests a second.
const MEMBERS: [(&str, &str, f64); 6] = [
    ("starter", "00000000000000a1", 1.0),
    ("starter", "00000000000000a2", 1.5),
    ("workshop", "00000000000000b1", 3.0),
    // Sends far too much: its plan allows 4 a second.
    ("workshop", "00000000000000b2", 40.0),
    ("partner", "00000000000000c1", 12.0),
    ("partner", "00000000000000c2", 20.0),
];
/// Time for which a client keeps an unused connection.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Time for which a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(70);

/// Requests of a plan's customers, by outcome.
#[derive(Clone, Copy, Default)]
struct RequestCounts {
    asked: u64,
    served: u64,
    refused: u64,
    failed: u64,
}

/// Returns a request as HTTP/1.1 text.
pub fn request(class: &str, id: u64, plan: &str, account: &str, timeout: f64) -> String {
    let (method, rest) = match class {
        "quote" => ("GET", "\r\n".to_string()),
        "confirm" => ("POST", format!("Idempotency-Key: key-{id:x}\r\nContent-Length: 5\r\n\r\nhello")),
        _ => ("POST", "Content-Length: 5\r\n\r\nhello".to_string()),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: jobs.example\r\nRequest-Id: {id:016x}\r\nRequest-Class: {class}\r\n\
         Plan: {plan}\r\nAccount: {account}\r\nRequest-Timeout: {timeout:.3}\r\n\
         Quota-Info: units=1,spread=1,first=0\r\n{rest}"
    )
}

/// Returns the quota rate of each plan in the example configuration.
fn rates() -> HashMap<String, f64> {
    let example: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    let plans = example["settings"]["plans"].as_array().cloned().unwrap_or_default();
    let rate = |p: &Value| Some((p["name"].as_str()?.to_string(), p["quota_rate"].as_f64()?));
    plans.iter().filter_map(rate).collect()
}

/// Runs until `stop`, printing the counts of each plan every second.
///
/// # Errors
/// The gateway cannot be built or does not start. The message is one line.
pub fn run(stop: &Arc<AtomicBool>, mut say: impl FnMut(&str)) -> Result<(), String> {
    let (meter, rates) = (Arc::new(Meter::default()), Arc::new(rates()));
    let mut servers = Vec::new();
    for name in ["server-1", "server-2", "server-3"] {
        let (cores, meter, rates) = (Cores::new(2, 16), meter.clone(), rates.clone());
        let answer = move |m: &Message, to: &mut _| {
            if !cores.work(WORK_TIME) {
                return not_started(to);
            }
            // A gateway does not forward accounts to servers, so this demo encodes the customer in the request's id.
            let id = m.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
            let member = ((id >> 40) as usize).checked_sub(1).and_then(|n| MEMBERS.get(n));
            let percent = member.map(|(plan, account, _)| {
                100.0 * meter.record_usage(account, 1.0) / rates.get(*plan).copied().unwrap_or(1.0)
            });
            good(to, &body(m), percent)
        };
        servers.push((name, serve(Arc::new(answer)).map_err(|e| e.to_string())?, "Ready"));
    }
    let discovery = Discovery::new(list(1, true, &servers));
    let gateway = Program::start_with_operator_listener(&locate()?, EXAMPLE, discovery.address, None)?;
    say(&format!("a gateway listens on {} in front of three servers of two cores each", gateway.address));
    say("try it, or press Ctrl-C to end:");
    say(&format!(
        "  curl -i http://{}/api -H 'Request-Id: 00000000000000ff' -H 'Request-Class: quote' -H 'Plan: workshop' \
         -H 'Account: 00000000000000b9' -H 'Request-Timeout: 2.0' -H 'Quota-Info: units=1,spread=1,first=0'",
        gateway.address
    ));
    if let Some(operators) = gateway.operators {
        say(&format!("  curl http://{operators}/status/metrics"));
        let body = r#"{"target":"server-1"}"#;
        say(&format!("  curl -d '{body}' http://{operators}/maintenance/enter    # and exit to put it back"));
    }
    let counts: Arc<Mutex<BTreeMap<&str, RequestCounts>>> = Arc::default();
    let mut members = Vec::new();
    for (n, (plan, account, rate)) in MEMBERS.into_iter().enumerate() {
        // Each customer uses a few connections, so that a slow response does not delay its other requests.
        for lane in 0..4u64 {
            let (stop, counts, address) = (stop.clone(), counts.clone(), gateway.address);
            members.push(thread::spawn(move || {
                let pause = Duration::from_secs_f64(4.0 / rate);
                let mut id = ((n as u64 + 1) << 40) + (lane << 32);
                let mut next = Instant::now() + pause * lane as u32 / 4;
                let mut client: Option<(Client, Instant)> = None;
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(
                        next.saturating_duration_since(Instant::now()).min(Duration::from_millis(200)),
                    );
                    if Instant::now() < next {
                        continue;
                    }
                    next += pause;
                    id += 1;
                    let class = ["quote", "quote", "confirm", "book-slot"][(id % 4) as usize];
                    let text = request(class, id, plan, account, 2.0);
                    // A gateway closes idle connections, so one that was idle for longer is not used again.
                    let kept = client.take().filter(|(_, used)| used.elapsed() < MAX_IDLE).map(|(c, _)| c);
                    let mut on = kept.or_else(|| Client::try_connect(address));
                    let status = on.as_mut().and_then(|c| c.try_ask(&text)).map(|m| m.status());
                    client = on.filter(|_| status.is_some()).map(|c| (c, Instant::now()));
                    let mut counts = lock(&counts);
                    let count = counts.entry(plan).or_default();
                    count.asked += 1;
                    match status {
                        Some(200) => count.served += 1,
                        Some(429 | 503) => count.refused += 1,
                        _ => count.failed += 1,
                    }
                }
            }));
        }
    }
    let mut second = 0;
    while !stop.load(Ordering::Relaxed) {
        let until = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until && !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        second += 1;
        let seen = std::mem::take(&mut *lock(&counts));
        let line = seen.iter().map(|(plan, c)| {
            let RequestCounts { asked, served, refused, failed } = c;
            format!("{plan}: {asked} asked, {served} served, {refused} refused, {failed} failed")
        });
        say(&format!("{second:4} s  {}", line.collect::<Vec<_>>().join(" | ")));
    }
    members.into_iter().for_each(|m| drop(m.join()));
    drop(gateway);
    Ok(())
}
