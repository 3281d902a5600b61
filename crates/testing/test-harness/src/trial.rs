//! Expiry of a trial under load. A tenant on trial sends requests through all three gateways while its trial expires;
//! a control node is killed in that second, a gateway is suspended across it, and another control node is suspended
//! later. Then the trial is extended, and expires again. All counts are taken at clients and backends.

use crate::fleet::lock;
use crate::local_cluster::{
    call, configuration_with_tenants, request_by, start_cluster_with, RunningCluster, KEY, MACHINES,
    TRIAL_KEY,
};
use crate::peers::Client;
use crate::scenario::{Figures, Play, Scenario};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SCENARIO: Scenario = Scenario {
    name: "trial",
    about: "a trial expires under load: a control node killed in that second, a gateway suspended across it; extended; expires again",
    seconds: 24,
    test_seconds: 18,
    defects: &[
        ("runs-twice", "the client sends each payment a second time under the same id"),
        ("not-slowed", "the configuration contains no trial"),
        ("shut-out", "the configuration allows no request to wait"),
        ("uneven", "the clients of one gateway use another tenant's key"),
        ("answers-lost", "backends run one payment in fifty and do not answer it"),
    ],
    program_defects: &[],
    run,
};

/// Request rate of the tenant after its trial has expired, a second, and how long its requests may wait, in ms.
const EXPIRED_RATE: f64 = 20.0;
const MAX_WAIT_MS: u64 = 1000;
/// Clients of the trial tenant at each gateway, and the interval of their requests while they are served at once.
const CLIENTS: usize = 12;
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// More than `FULL_SPEED_THRESHOLD` requests served at one gateway within a window is full speed: under the throttle
/// all three gateways together serve six, and a few that could not wait.
const WINDOW: Duration = Duration::from_millis(300);
const FULL_SPEED_THRESHOLD: usize = 11;
const ROUTES: [&str; 2] = ["/look/", "/pay/"];

/// Outcome of one request of a client.
#[derive(Clone)]
struct Outcome {
    gateway: usize,
    /// Time of the response, since the start of the scenario.
    at: Duration,
    took: Duration,
    status: Option<u16>,
    /// Id of a payment; `None` for a read.
    id: Option<String>,
    /// Whether its gateway was suspended meanwhile.
    suspended: bool,
}

type Outcomes = Arc<Mutex<Vec<Outcome>>>;

fn unix_ms(after: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now + after).as_millis() as u64
}

/// Formats a Unix time in milliseconds according to RFC 3339.
fn rfc3339(ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(ms)).to_string()
}

fn tenants(play: &Play, ends: u64) -> Vec<Value> {
    let members =
        json!({"name": "members", "apiKeys": [KEY], "priority": 1, "ratePerS": 400, "burstSize": 400});
    let mut guest =
        json!({"name": "guest", "apiKeys": [TRIAL_KEY], "priority": 1, "ratePerS": 300, "burstSize": 300});
    if !play.has("not-slowed") {
        let wait = if play.has("shut-out") { 0 } else { MAX_WAIT_MS };
        guest["trial"] = json!({"endsAt": rfc3339(ends), "pacePerS": EXPIRED_RATE, "waitMs": wait});
    }
    vec![members, guest]
}

/// Starts clients of one tenant at one gateway, which run until `stop`.
fn clients(
    (gateway, front): (usize, SocketAddr),
    key: &'static str,
    count: usize,
    (began, suspended, stop): (Instant, Arc<AtomicBool>, Arc<AtomicBool>),
    twice: bool,
) -> (Outcomes, Vec<JoinHandle<()>>) {
    let outcomes: Outcomes = Arc::default();
    let threads = (0..count).map(|n| {
        let (outcomes, suspended, stop) = (outcomes.clone(), suspended.clone(), stop.clone());
        thread::spawn(move || {
            let mut id = (((gateway + count * MACHINES) * 100 + n + 1) as u64) << 32;
            sleep(REQUEST_INTERVAL.mul_f64(n as f64 / count as f64));
            while !stop.load(Relaxed) {
                id += 1;
                let is_payment = id.is_multiple_of(10);
                let text = request_by(key, if is_payment { "/pay/1" } else { "/look/1" }, id);
                let asked = Instant::now();
                let was_suspended = suspended.load(Relaxed);
                let ask = || Client::try_connect(front).and_then(|mut c| c.try_ask(&text));
                let answer = ask();
                if twice && is_payment {
                    ask();
                }
                let status = answer.as_ref().map(|a| a.status());
                let after = answer.as_ref().and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
                lock(&outcomes).push(Outcome {
                    gateway,
                    at: began.elapsed(),
                    took: asked.elapsed(),
                    status,
                    id: is_payment.then(|| format!("{id:016x}")),
                    suspended: was_suspended || suspended.load(Relaxed),
                });
                let remaining = REQUEST_INTERVAL.saturating_sub(asked.elapsed());
                sleep(remaining.max(Duration::from_secs_f64(after.unwrap_or(0.0).clamp(0.0, 1.0))));
            }
        })
    });
    let threads = threads.collect();
    (outcomes, threads)
}

fn replace(running: &RunningCluster, base: u32, version: u32, tenants: &[Value]) -> Result<(), String> {
    let text = configuration_with_tenants(base, version, &ROUTES, tenants);
    let taken = call(&running.cluster.controls(), "POST", "/-/Configuration.Replace", &text, 150);
    match taken.map(|a| a.status()) {
        Some(200) => Ok(()),
        other => Err(format!("configuration {version} was not accepted: {other:?}")),
    }
}

fn run(play: &Play) -> Result<Figures, String> {
    let part = play.time / 6;
    let first = configuration_with_tenants(0, 1, &ROUTES, &tenants(play, unix_ms(Duration::from_secs(3600))));
    let mut running = start_cluster_with(play.seed, &first)?;
    if play.has("answers-lost") {
        running.seen.unanswered.store(50, Relaxed);
    }
    // One part of the time at full speed, then the trial expires.
    let began = Instant::now();
    replace(&running, 1, 2, &tenants(play, unix_ms(part)))?;
    let stop: Arc<AtomicBool> = Arc::default();
    let suspended: Vec<Arc<AtomicBool>> = (0..MACHINES).map(|_| Arc::default()).collect();
    let (mut trial_outcomes, mut members, mut threads) = (Vec::new(), Vec::new(), Vec::new());
    for (n, front) in running.cluster.fronts().into_iter().enumerate() {
        let key = if play.has("uneven") && n == 0 { KEY } else { TRIAL_KEY };
        let ends = || (began, suspended[n].clone(), stop.clone());
        let (outcomes, more) = clients((n, front), key, CLIENTS, ends(), play.has("runs-twice"));
        trial_outcomes.push(outcomes);
        threads.extend(more);
        let (outcomes, more) = clients((n, front), KEY, 2, ends(), false);
        members.push(outcomes);
        threads.extend(more);
    }
    let until = |at: Duration| sleep(at.saturating_sub(began.elapsed()));
    let (killed_node, suspended_gateway) = ((play.seed % 3) as usize, ((play.seed / 3) % 3) as usize);
    let other = (killed_node + 1) % MACHINES;
    // In the second of the expiry one control node is killed, and one gateway is suspended across it.
    until(part - Duration::from_millis(300));
    suspended[suspended_gateway].store(true, Relaxed);
    running.cluster.set_suspended(suspended_gateway, true, true)?;
    until(part - Duration::from_millis(play.seed % 200));
    running.cluster.restart_control_node(killed_node)?;
    until(part + Duration::from_millis(900));
    running.cluster.set_suspended(suspended_gateway, true, false)?;
    until(part + Duration::from_millis(1900));
    suspended[suspended_gateway].store(false, Relaxed);
    // The tenant is throttled; late in this part another control node is suspended for a while.
    until(part * 3);
    running.cluster.set_suspended(other, false, true)?;
    until(part * 3 + Duration::from_millis(400));
    running.cluster.set_suspended(other, false, false)?;
    // The trial is extended, and expires again.
    until(part * 4);
    replace(&running, 2, 3, &tenants(play, unix_ms(Duration::from_secs(3600))))?;
    let extended = began.elapsed();
    until(part * 5);
    replace(&running, 3, 4, &tenants(play, unix_ms(Duration::ZERO) - 60_000))?;
    let second_expiry = began.elapsed();
    // A gateway gets SIGTERM while requests wait there for their turn.
    until(second_expiry + Duration::from_millis(1300));
    let (restarted_gateway, signalled_at) = ((suspended_gateway + 1) % MACHINES, began.elapsed());
    suspended[restarted_gateway].store(true, Relaxed);
    let shutdown_time = running.cluster.restart_gateway(restarted_gateway)?;
    until(part * 6);
    stop.store(true, Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));
    let all: Vec<Outcome> = trial_outcomes.iter().flat_map(|b| lock(b).clone()).collect();
    let members: Vec<Outcome> = members.iter().flat_map(|b| lock(b).clone()).collect();
    let mut figures = Figures::default();
    let left = |s: &&Outcome| {
        s.gateway == restarted_gateway
            && s.at - s.took < signalled_at
            && s.at > signalled_at
            && s.status.is_none()
    };
    figures.expect_zero("left without an answer by a gateway told to end", all.iter().filter(left).count());
    figures.expect_zero("gateways that did not end by themselves", usize::from(shutdown_time.is_none()));
    figures.set("a gateway's end, ms", shutdown_time.map_or(0, |d| d.as_millis() as u64));
    check_payments(&running, &all, &mut figures);
    figures.expect_zero("windows with one gateway at full speed and another refusing", mixed_windows(&all));
    let throttled = part + Duration::from_millis(2400)..part * 3;
    let after_extension = extended + Duration::from_millis(1200)..second_expiry;
    check_throttled(&all, &throttled, &mut figures);
    let served = |within: &std::ops::Range<Duration>| {
        let of = all.iter().filter(|s| within.contains(&s.at) && s.status == Some(200));
        of.count() as f64 / (within.end.saturating_sub(within.start)).as_secs_f64()
    };
    let before = Duration::from_millis(500)..part - Duration::from_millis(400);
    figures.set("served a second before the end", served(&before));
    figures.bound(
        "served a second once extended, of before",
        served(&after_extension) / served(&before),
        0.8,
        1.3,
    );
    let after_second_expiry = second_expiry + Duration::from_millis(600)..signalled_at;
    figures.bound(
        "served a second once over again, of the pace",
        served(&after_second_expiry) / EXPIRED_RATE,
        0.4,
        2.5,
    );
    let wait = |within: &std::ops::Range<Duration>| {
        let of = members.iter().filter(|s| within.contains(&s.at) && s.status == Some(200) && !s.suspended);
        let took: Vec<f64> = of.map(|s| s.took.as_secs_f64() * 1e3).collect();
        took.iter().sum::<f64>() / took.len().max(1) as f64
    };
    figures.set("another tenant's mean wait before, ms", wait(&before));
    figures.bound("another tenant's mean wait longer by, ms", wait(&throttled) - wait(&before), -1e3, 20.0);
    record_by_gateway(&all, &mut figures);
    Ok(figures)
}

/// Compares the payments at clients with those at backends.
fn check_payments(running: &RunningCluster, all: &[Outcome], figures: &mut Figures) {
    let runs = lock(&running.seen.runs);
    let ran = |s: &&Outcome| s.id.as_ref().is_some_and(|id| runs.contains_key(id));
    let payments = || all.iter().filter(|s| s.id.is_some());
    figures.set("payments", payments().count());
    figures.expect_zero("payments doubled", runs.values().filter(|n| **n > 1).count());
    let refused = |s: &&Outcome| matches!(s.status, Some(429 | 503));
    figures.expect_zero("refused payments that ran", payments().filter(refused).filter(ran).count());
    let confirmed = payments().filter(|s| s.status == Some(200));
    figures.expect_zero("confirmed payments that did not run", confirmed.filter(|s| !ran(s)).count());
    let lost = payments().filter(|s| !matches!(s.status, Some(200 | 429 | 503)) && !s.suspended).filter(ran);
    figures.expect_zero("payments that ran and were not confirmed", lost.count());
    let failed = |s: &&Outcome| !matches!(s.status, Some(200 | 429 | 503)) && !s.suspended;
    figures.expect_zero("left without an answer", all.iter().filter(failed).count());
}

/// Counts the windows in which one gateway served at full speed while another refused. A suspended gateway refuses
/// nothing, and what it does after it is resumed counts like that of any other.
fn mixed_windows(all: &[Outcome]) -> usize {
    let refused = all.iter().filter(|s| matches!(s.status, Some(429 | 503)));
    let mixes = |r: &&Outcome| {
        let mut served = [0; MACHINES];
        let served_in_window =
            all.iter().filter(|s| s.status == Some(200) && s.at <= r.at && s.at + WINDOW > r.at);
        served_in_window.for_each(|s| served[s.gateway] += 1);
        (0..MACHINES).any(|g| g != r.gateway && served[g] > FULL_SPEED_THRESHOLD)
    };
    refused.filter(mixes).count()
}

/// Records the rate and the waits while the tenant is throttled.
fn check_throttled(all: &[Outcome], within: &std::ops::Range<Duration>, figures: &mut Figures) {
    let of = |g: Option<usize>| {
        let at = move |s: &&Outcome| g.is_none_or(|g| s.gateway == g) && within.contains(&s.at);
        all.iter().filter(at).filter(|s| s.status == Some(200))
    };
    // Payments precede reads at every gateway; reads wait equally long at all of them.
    let reads = |g| of(Some(g)).filter(|s| s.id.is_none());
    let span = within.end.saturating_sub(within.start).as_secs_f64();
    figures.bound(
        "slowed: served a second, of the pace",
        of(None).count() as f64 / span / EXPIRED_RATE,
        0.75,
        1.25,
    );
    let refused = all.iter().filter(|s| within.contains(&s.at) && matches!(s.status, Some(429 | 503)));
    let early = refused.clone().filter(|s| s.took < Duration::from_millis(MAX_WAIT_MS / 2)).count();
    let refused = refused.count();
    figures.set("slowed: refused", refused);
    figures.bound("slowed: refused at once, of all refused", early as f64 / refused.max(1) as f64, 0.9, 1.0);
    let waits: Vec<f64> = (0..MACHINES)
        .map(|g| {
            let took: Vec<f64> = reads(g).map(|s| s.took.as_secs_f64() * 1e3).collect();
            took.iter().sum::<f64>() / took.len().max(1) as f64
        })
        .collect();
    let (least, most) = waits.iter().fold((f64::MAX, 0f64), |s, w| (s.0.min(*w), s.1.max(*w)));
    figures.set("slowed: mean waits by gateway, ms", waits.clone());
    figures.bound("slowed: mean wait, ms", waits.iter().sum::<f64>() / MACHINES as f64, 200.0, 1200.0);
    let nearly_equal = most - least < 100.0;
    let payment_waits: Vec<f64> =
        of(None).filter(|s| s.id.is_some()).map(|s| s.took.as_secs_f64() * 1e3).collect();
    figures.set(
        "slowed: mean wait of payments, ms",
        payment_waits.iter().sum::<f64>() / payment_waits.len().max(1) as f64,
    );
    figures.bound(
        "slowed: the longest mean wait, of the shortest",
        if nearly_equal { 1.0 } else { most / least },
        1.0,
        1.5,
    );
}

/// Records the requests by gateway and interval of 100 ms: served, served after more than 100 ms, refused.
fn record_by_gateway(all: &[Outcome], figures: &mut Figures) {
    let mut rows: BTreeMap<(usize, u64), [u32; 3]> = BTreeMap::new();
    for s in all {
        let row = rows.entry((s.gateway, s.at.as_millis() as u64 / 100)).or_default();
        let served = s.status == Some(200);
        row[0] += u32::from(served);
        row[1] += u32::from(served && s.took > Duration::from_millis(100));
        row[2] += u32::from(matches!(s.status, Some(429 | 503)));
    }
    let rows: Vec<Value> =
        rows.into_iter().map(|((g, t), r)| json!([g, t * 100, r[0], r[1], r[2]])).collect();
    figures.set("by gateway and 100 ms: served, waited, refused", rows);
}
