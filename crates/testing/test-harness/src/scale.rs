//! Scale of a control plane: real control nodes and gateways on loopback, together with many hollow gateways and
//! backends, which are simulated in this process. A control node's cost is the CPU time of its threads, so that other
//! load on the machine does not count.

mod hollow;
mod meter;

use crate::local_cluster::{call, configuration_with_tenants, LocalCluster};
use crate::scenario::{Figures, Play, Scenario};
use hollow::{HollowFleet, Tally};
use meter::Meter;
use serde_json::{json, Value};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "scale",
    about: "real control nodes with many hollow gateways and backends, and repeated configuration changes: the cost of each",
    seconds: 24,
    test_seconds: 6,
    defects: &[
        ("deaf", "one gateway ignores the last configuration"),
        ("silent", "one backend in four sends no heartbeats"),
        ("counts-twice", "the units of each lease grant are counted more than once"),
    ],
    program_defects: &[],
    run,
};

/// Default sizes.
const GATEWAYS: usize = 40;
const BACKENDS: usize = 200;
const ROUTES: usize = 100;
const TENANTS: usize = 40;
const CONTROL_NODES: usize = 3;
const CHANGES: usize = 3;
/// Limits of the number of machines, and of hollow gateways and hollow backends.
const MAX_CONTROL_NODES: usize = 28;
const MAX_HOLLOW: usize = 12_000;
const HEARTBEAT_MS: u64 = 1500;
/// Time within which operators need a change in force at every gateway.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(18);
/// Time in which everything must have started; three times the duration of the run, if that is shorter.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Rate of each tenant, a second, and its burst.
const TENANT_RATE: usize = 146;

/// Size of a run, with the defaults applied.
struct Size {
    gateways: usize,
    backends: usize,
    routes: usize,
    tenants: usize,
    control_nodes: usize,
    changes: usize,
    fresh: bool,
}

impl Size {
    fn of(play: &Play) -> Result<Size, String> {
        let s = &play.size;
        let size = Size {
            gateways: s.gateways.unwrap_or(GATEWAYS),
            backends: s.backends.unwrap_or(BACKENDS),
            routes: s.routes.unwrap_or(ROUTES),
            tenants: s.tenants.unwrap_or(TENANTS),
            control_nodes: s.control_nodes.unwrap_or(CONTROL_NODES),
            changes: s.changes.unwrap_or(CHANGES),
            fresh: s.fresh,
        };
        let check_range = |n: usize, max: usize, what: &str| match (1..=max).contains(&n) {
            true => Ok(()),
            false => Err(format!("{n} {what}: 1 to {max}")),
        };
        check_range(size.gateways, MAX_HOLLOW, "gateways")?;
        check_range(size.backends, MAX_HOLLOW, "backends")?;
        check_range(size.routes, 20_000, "routes")?;
        check_range(size.tenants, 50_000, "tenants")?;
        check_range(size.control_nodes, MAX_CONTROL_NODES, "control-nodes")?;
        check_range(size.changes, 200, "changes")?;
        Ok(size)
    }

    fn configuration(&self, base: u32, version: u32) -> String {
        // Each version changes ten routes.
        let moved = |n: usize| n / 10 == version as usize % self.routes.div_ceil(10);
        let prefix = |n| if moved(n) { format!("/lohu{n}/{version}/") } else { format!("/lohu{n}/") };
        let prefixes: Vec<String> = (0..self.routes).map(prefix).collect();
        let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
        let tenant = |n| {
            json!({"name": tenant(n), "apiKeys": [format!("{n:05}9wu3fexd9dnn2ctn")], "priority": 1,
                "ratePerS": TENANT_RATE, "burstSize": TENANT_RATE})
        };
        let tenants: Vec<Value> = (0..self.tenants).map(tenant).collect();
        configuration_with_tenants(base, version, &prefixes, &tenants)
    }
}

fn tenant(n: usize) -> String {
    format!("huka{n:05}")
}

fn run(play: &Play) -> Result<Figures, String> {
    let size = Size::of(play)?;
    let first = size.configuration(0, 1);
    // Each real process holds the configuration several times, and a control node the list of gateways for each
    // gateway.
    let real_process_bytes = 16.0 * first.len() as f64 * size.control_nodes as f64;
    let needed_mb = (real_process_bytes + 20.0 * (size.gateways as f64).powi(2) * 300.0) / 1e6;
    let available_mb = meter::free_mb();
    if needed_mb > 0.4 * available_mb {
        return Err(format!(
            "this size needs {needed_mb:.0} MB, and {available_mb:.0} MB are free: use fewer gateways or routes"
        ));
    }
    let cluster = LocalCluster::open_with(play.seed, size.control_nodes, HEARTBEAT_MS)?;
    let controls = cluster.controls();
    let mut figures = Figures::default();
    figures.set("gateways, backends", json!([size.gateways, size.backends]));
    figures.set("routes, tenants, control nodes", json!([size.routes, size.tenants, size.control_nodes]));
    figures.set("a configuration, B", first.len());
    let mut meter = Meter::new(cluster.children());
    let began = Instant::now();
    let taken = call(&controls, "POST", "/-/Configuration.Replace", &first, 150).map_or(0, |a| a.status());
    if taken != 200 {
        return Err(format!("the first configuration was not accepted: {taken}"));
    }
    figures.set("the first configuration taken after, ms", began.elapsed().as_millis() as u64);
    let hollow_fleet = HollowFleet::start(play, &size, &cluster)?;
    let up = Instant::now();
    while !hollow_fleet.is_up() && up.elapsed() < STARTUP_TIMEOUT.min(3 * play.time) {
        sleep(Duration::from_millis(20));
    }
    figures.set("all up after, ms", up.elapsed().as_millis() as u64);
    figures.expect_zero("gateways that did not come up", hollow_fleet.gateways_down());
    let startup_tally = hollow_fleet.tally();
    figures.set("a gateway while it comes up, B", startup_tally.bytes_to_gateways / size.gateways as u64);
    let part = play.time / 3;
    sleep(part / 3);
    let leader = leader(&controls);
    // Measure without changes: only heartbeats (of backends, and of control nodes to gateways), consensus rounds and
    // lease requests.
    let baseline = measure(&mut meter, &hollow_fleet, || sleep(part));
    let (share, span) = (|s: f64| s / baseline.span.as_secs_f64(), baseline.span.as_secs_f64());
    let cores: Vec<f64> = baseline.control_nodes.iter().map(|s| round(share(*s) * 100.0, 2)).collect();
    figures.set("the leader's place", leader);
    figures.set("at rest: processor by control node, % of a core", cores.clone());
    figures.set("at rest: processor by real gateway, % of a core", shares(&baseline.gateways, span));
    figures.set("at rest: asks answered a second", round(share(baseline.tally.lease_grants as f64), 1));
    figures
        .set("at rest: beats answered a second", round(share(baseline.tally.heartbeats_answered as f64), 1));
    let all = size.gateways as f64;
    figures.set(
        "at rest: a gateway is told, B/s",
        round(share(baseline.tally.bytes_to_gateways as f64) / all, 1),
    );
    figures.set(
        "at rest: a gateway says, B/s",
        round(share(baseline.tally.bytes_from_gateways as f64) / all, 1),
    );
    let bytes_per_heartbeat =
        baseline.tally.heartbeat_bytes as f64 / baseline.tally.heartbeats_answered.max(1) as f64;
    figures.set("at rest: a beat and its answer, B", round(bytes_per_heartbeat, 0));
    let asked = baseline.tally.lease_requests.max(1) as f64;
    figures.bound("at rest: asks answered, of asked", baseline.tally.lease_grants as f64 / asked, 0.97, 1.05);
    let heartbeats_answered =
        baseline.tally.heartbeats_answered as f64 / baseline.tally.heartbeats_sent.max(1) as f64;
    figures.bound("at rest: beats answered with 200, of sent", heartbeats_answered, 0.97, 1.05);
    figures.set("memory by control node at rest, MB", meter.resident().0);
    changes(play, &size, (&controls, leader, &baseline), &mut meter, &hollow_fleet, &mut figures);
    figures.set("the leader's place at the end", self::leader(&controls));
    let (control_nodes, gateways) = meter.resident();
    figures.set("memory by control node at the end, MB", control_nodes);
    figures.set("memory by real gateway at the end, MB", gateways);
    let (control_nodes, gateways) = meter.peak();
    figures.set("memory by control node at the peak, MB", control_nodes);
    figures.set("memory by real gateway at the peak, MB", gateways);
    figures.expect_zero("control nodes and gateways that ended by themselves", meter.ended());
    figures.expect_zero("versions that went back", hollow_fleet.tally().version_regressions as usize);
    figures.set("links lost", hollow_fleet.tally().lost_connections);
    // Units granted over all gateways: the rate, the burst, and half a second's units that may be outstanding.
    let max = hollow_fleet.age().as_secs_f64() * TENANT_RATE as f64 + 1.5 * TENANT_RATE as f64;
    figures.bound("lent of one tenant, of what flows", hollow_fleet.max_granted() as f64 / max, 0.0, 1.0);
    // A backend that has sent no heartbeat for the timeout and one interval has expired.
    let seen = hollow_fleet.backends_seen(Duration::from_secs(8));
    figures.bound("backends that gateways know, of all", seen as f64 / size.backends as f64, 1.0, 1.0);
    Ok(figures)
}

/// Replaces the configuration repeatedly, each time once every gateway has the previous version.
fn changes(
    play: &Play,
    size: &Size,
    (controls, leader, baseline): (&[std::net::SocketAddr], usize, &Measured),
    meter: &mut Meter,
    hollow_fleet: &HollowFleet,
    figures: &mut Figures,
) {
    let (mut taken, mut last, mut half) = (Vec::new(), Vec::new(), Vec::new());
    let mut missing = 0;
    let count = size.changes as u32;
    let changed = measure(meter, hollow_fleet, || {
        for version in 2..2 + count {
            if play.has("deaf") && version == 1 + count {
                hollow_fleet.ignore_configurations();
            }
            let text = size.configuration(version - 1, version);
            let asked = Instant::now();
            let status =
                call(controls, "POST", "/-/Configuration.Replace", &text, 150).map_or(0, |a| a.status());
            let acknowledged = Instant::now();
            if status != 200 {
                missing += size.gateways;
                return;
            }
            taken.push((acknowledged - asked).as_millis() as u64);
            let (all, some) = hollow_fleet.in_force(version, acknowledged, IN_FORCE_TIMEOUT.min(play.time));
            missing += size.gateways - all.len();
            half.push(some.as_millis() as u64);
            last.push(all.last().copied().unwrap_or(IN_FORCE_TIMEOUT).as_millis() as u64);
            if missing > 0 {
                return;
            }
        }
    });
    let span = changed.span.as_secs_f64();
    figures.set("changes", taken.len());
    figures.expect_zero("gateways that lack a change that was acknowledged", missing);
    figures.set("a change acknowledged after, ms", taken.clone());
    figures.set("half of the gateways have it after, ms", half);
    figures.set("the last has it after, ms", last);
    let count = taken.len().max(1) as f64;
    let cpu_ms_per_change = |n: usize| {
        let idle = baseline.control_nodes[n] / baseline.span.as_secs_f64() * span;
        round((changed.control_nodes[n] - idle).max(0.0) * 1e3 / count, 1)
    };
    figures.set("a change: the leader's processor, ms", cpu_ms_per_change(leader));
    let others: Vec<f64> = (0..size.control_nodes).filter(|n| *n != leader).map(cpu_ms_per_change).collect();
    figures.set("a change: the other control nodes' processor, ms", others);
    let gateway_cpu_ms_per_change = |n: usize| {
        let idle = baseline.gateways[n] / baseline.span.as_secs_f64() * span;
        round((changed.gateways[n] - idle).max(0.0) * 1e3 / count, 1)
    };
    figures.set(
        "a change: a real gateway's processor, ms",
        (0..size.control_nodes).map(gateway_cpu_ms_per_change).collect::<Vec<_>>(),
    );
    let idle = baseline.tally.bytes_to_gateways as f64 / baseline.span.as_secs_f64() * span;
    let bytes_per_gateway =
        (changed.tally.bytes_to_gateways as f64 - idle).max(0.0) / count / size.gateways as f64;
    figures.set("a change: a gateway is told, B", round(bytes_per_gateway, 0));
}

/// Cost during a span of time: CPU seconds by control node and by real gateway, and the counts of the hollow gateways
/// and backends.
struct Measured {
    span: Duration,
    control_nodes: Vec<f64>,
    gateways: Vec<f64>,
    tally: Tally,
}

fn measure(meter: &mut Meter, hollow_fleet: &HollowFleet, act: impl FnOnce()) -> Measured {
    let (began, before, counted) = (Instant::now(), meter.spent(), hollow_fleet.tally());
    act();
    let (span, after) = (began.elapsed(), meter.spent());
    let difference = |a: Vec<f64>, b: Vec<f64>| a.into_iter().zip(b).map(|(a, b)| (a - b).max(0.0)).collect();
    Measured {
        span,
        control_nodes: difference(after.0, before.0),
        gateways: difference(after.1, before.1),
        tally: hollow_fleet.tally().since(&counted),
    }
}

fn shares(spent: &[f64], span: f64) -> Vec<f64> {
    spent.iter().map(|s| round(s / span * 100.0, 2)).collect()
}

fn round(value: f64, digits: i32) -> f64 {
    let factor = 10f64.powi(digits);
    (value * factor).round() / factor
}

/// Returns the index of the leader: it answers 400 to an invalid configuration, while the others redirect.
fn leader(controls: &[std::net::SocketAddr]) -> usize {
    let ask = |to: &std::net::SocketAddr| {
        let text =
            format!("POST /-/Configuration.Replace HTTP/1.1\r\nHost: {to}\r\nContent-Length: 2\r\n\r\n{{}}");
        crate::peers::Client::try_connect(*to).and_then(|mut c| c.try_ask(&text)).map(|a| a.status())
    };
    (0..50)
        .find_map(|_| {
            let found = controls.iter().position(|to| ask(to) == Some(400));
            if found.is_none() {
                sleep(Duration::from_millis(100));
            }
            found
        })
        .unwrap_or(0)
}

/// State that is shared with the tasks of the hollow gateways and backends.
type SharedState = Arc<hollow::HollowState>;
