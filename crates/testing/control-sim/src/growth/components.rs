//! Each component by the one size that it depends on, with small other sizes: the slope is the difference between two
//! lines.

use super::{bytes, configuration, gateways, limits, tenant, test_heartbeat, thread_cpu_s, MS};
use configuration::{Configuration, RouteTable, Validator};
use consensus::{Entry, EntryPayload, Message, MessageBody, NodeId, PreviousEntry, VoterSet};
use control_state::{body_digest, Command, CommittedConfiguration, ControlState, Delta, DeltaHistory};
use messages::{ControlMessage, FleetChange, FleetSnapshot, GatewayUpdate};
use quota::{Decision, LeaseRequest, PreviousCoordinator, QuotaClient, QuotaCoordinator, UnitRequest};
use registry::{HeartbeatOutcome, ZoneRegistry};
use std::collections::BTreeSet;
use std::hint::black_box;
use trial::TenantTerms;

/// Number of services at the operators' size.
pub(super) const SERVICES: usize = 290;
/// Requests per second of one gateway at the operators' size, nearly each of another tenant.
const REQUESTS: usize = 150;
const TENANTS: [usize; 4] = [100, 1000, 8000, 38_000];
const GATEWAYS: [usize; 4] = [30, 100, 300, 1000];
const BACKENDS: [usize; 4] = [231, 800, 2300, 9200];
const CONTROL_NODES: [usize; 4] = [3, 8, 19, 28];
/// Routes and tenants of a configuration.
const CONFIGURATIONS: [(usize, usize); 7] =
    [(8, 82), (100, 82), (1000, 82), (14_000, 82), (8, 1000), (8, 38_000), (14_000, 38_000)];
/// Minimum duration of a measurement, in seconds of processor time.
const MIN_MEASURE_S: f64 = 0.06;

/// Returns the number of control nodes for a fleet of this size: two per zone.
pub(super) fn control_nodes(gateways: usize) -> usize {
    match gateways {
        0..=100 => 6,
        101..=500 => 8,
        _ => 28,
    }
}

/// Returns the processor time of `act` in microseconds: the mean of as many runs as fit.
fn micros(mut act: impl FnMut()) -> f64 {
    let (began, mut times) = (thread_cpu_s(), 0u32);
    loop {
        act();
        times += 1;
        let took = thread_cpu_s() - began;
        if took >= MIN_MEASURE_S {
            return took * 1e6 / f64::from(times);
        }
    }
}

/// Returns a line of this process's `/proc/self/status` in megabytes: current or peak resident memory.
fn megabytes(name: &str) -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn table_head(title: &str, columns: &[&str]) -> Vec<String> {
    let rule = vec!["---"; columns.len()].join(" | ");
    vec![String::new(), format!("**{title}**"), String::new()]
        .into_iter()
        .chain([format!("| {} |", columns.join(" | ")), format!("| {rule} |")])
        .collect()
}

/// Measures the memory of each component. Must run first: freed memory would be reused and not be seen as growth. For
/// the same reason everything measured is kept until the end.
pub(super) fn memory() -> Vec<String> {
    let mut lines = table_head("Memory", &["what", "size", "MB more"]);
    let bodies = CONFIGURATIONS.map(|(routes, tenants)| (routes, tenants, configuration(routes, tenants)));
    let limits = TENANTS.map(|tenants| (tenants, limits(tenants)));
    let names = gateways(GATEWAYS[3]);
    let all_heartbeats: Vec<_> = (0..8192).map(test_heartbeat).collect();
    let mut kept: Vec<Box<dyn std::any::Any>> = Vec::new();
    let mut measure = |label: &str, size: String, line: &str, make: &dyn Fn() -> Box<dyn std::any::Any>| {
        let before = megabytes(line);
        kept.push(make());
        lines.push(format!("| {label} | {size} | {:.1} |", megabytes(line) - before));
    };
    const RESIDENT: &str = "VmRSS:";
    measure("a gateway that is told", "-".into(), RESIDENT, &|| Box::new(QuotaClient::new(0)));
    for (routes, tenants, configuration) in &bodies {
        let size = format!("{routes} routes, {tenants} tenants");
        measure("a gateway's table and its client", size, RESIDENT, &|| {
            let configuration_read = Configuration::parse(&configuration.body).expect("valid configuration");
            let mut client = QuotaClient::new(0);
            client.set_limits(0, &TenantTerms::from_configuration(&configuration_read).limits);
            Box::new((RouteTable::new(configuration_read), client))
        });
    }
    for (tenants, limits) in &limits {
        let size = format!("{tenants} tenants, {} gateways", names.len());
        measure("the coordinator", size, RESIDENT, &|| {
            Box::new(QuotaCoordinator::new(
                0,
                1,
                PreviousCoordinator::LongAgo,
                limits,
                &BTreeSet::new(),
                &names,
            ))
        });
    }
    measure("backends", format!("{}", all_heartbeats.len()), RESIDENT, &|| {
        let mut registry = ZoneRegistry::new(1500 * MS, 0);
        for f in &all_heartbeats {
            registry.on_heartbeat(0, f.clone());
        }
        Box::new(registry)
    });
    for all in [100, 1000] {
        measure("1,024 changes, each the list of gateways", format!("{all} gateways"), RESIDENT, &|| {
            let mut log = change_log::ChangeLog::new(1, 1024);
            let list: Vec<String> = names.iter().take(all).cloned().collect();
            (0..1024).for_each(|_| log.append(FleetChange::Gateways(list.clone())));
            Box::new(log)
        });
    }
    measure("the schema's library", "-".into(), RESIDENT, &|| Box::new(Validator::default()));
    let validator = Validator::default();
    for (routes, tenants, configuration) in &bodies {
        let size = format!("{routes} routes, {tenants} tenants");
        // A configuration that is not the largest so far does not raise the peak.
        measure("a configuration checked, at the peak", size, "VmHWM:", &|| {
            Box::new(validator.validate(&configuration.body).is_ok())
        });
    }
    lines
}

pub(super) fn tables() -> Vec<String> {
    let mut lines = vec![String::new(), "Times are processor time of the one thread that does it.".into()];
    lines.extend(configurations());
    lines.extend(states());
    lines.extend(coordinators());
    lines.extend(clients());
    lines.extend(changes());
    lines.extend(differences());
    lines.extend(registries());
    lines.extend(control_node_traffic());
    lines
}

/// Measures what a configuration costs to validate, hold and route by.
fn configurations() -> Vec<String> {
    let columns = [
        "routes, tenants",
        "body, B",
        "checked, ms",
        "read and made a table, ms",
        "limits of a client, ms",
        "a route found, us: 48 a host, all of one host",
    ];
    let mut lines = table_head("A configuration", &columns);
    let validator = Validator::default();
    for (routes, tenants) in CONFIGURATIONS {
        let body = &configuration(routes, tenants).body;
        let checked = micros(|| drop(black_box(validator.validate(body))));
        let read = micros(|| {
            drop(black_box(RouteTable::new(Configuration::parse(body).expect("valid configuration"))))
        });
        let terms =
            TenantTerms::from_configuration(&Configuration::parse(body).expect("valid configuration"));
        let mut client = QuotaClient::new(0);
        client.set_limits(0, &terms.limits);
        let limited = micros(|| client.set_limits(0, &terms.limits));
        drop((client, terms));
        let own = route_micros(
            &RouteTable::new(Configuration::parse(body).expect("valid configuration")),
            routes,
            48,
        );
        let text = String::from_utf8_lossy(body);
        let single_host: String = (0..routes / 48 + 1).fold(text.into_owned(), |text, n| {
            if n == 0 {
                text
            } else {
                text.replace(&format!("ficu{n:03}.example"), "ficu000.example")
            }
        });
        let single_host =
            RouteTable::new(Configuration::parse(single_host.as_bytes()).expect("valid configuration"));
        let all = route_micros(&single_host, routes, routes);
        lines.push(format!(
            "| {routes}, {tenants} | {} | {:.2} | {:.2} | {:.2} | {own:.2}, {all:.2} |",
            body.len(),
            checked / 1e3,
            read / 1e3,
            limited / 1e3,
        ));
    }
    lines
}

/// Returns the microseconds to find a route, the mean over a sample of them.
fn route_micros(table: &RouteTable, routes: usize, host: usize) -> f64 {
    let asked: Vec<(String, String)> = (0..routes)
        .step_by(routes / 97 + 1)
        .map(|n| (format!("ficu{:03}.example", n / host), format!("/lohu{n}/x")))
        .collect();
    let all = micros(|| {
        for (host, path) in &asked {
            assert!(black_box(table.route(host, path)).is_some(), "{host}{path}");
        }
    });
    all / asked.len() as f64
}

/// Measures the replicated state: its bytes on disk and in a consensus message, and the time to encode and decode it.
fn states() -> Vec<String> {
    let columns = [
        "routes, tenants, gateways, leaving",
        "an entry with the configuration, B",
        "the state, B",
        "written, ms",
        "read, ms",
    ];
    let mut lines = table_head("The state", &columns);
    let sizes = [
        (8, 82, 85, 0),
        (8, 82, 85, 4096),
        (8, 82, 1000, 0),
        (1000, 82, 85, 0),
        (14_000, 82, 85, 0),
        (8, 38_000, 85, 0),
        (14_000, 38_000, 1000, 4096),
    ];
    for (routes, tenants, all, draining) in sizes {
        let body = configuration(routes, tenants).body.clone();
        let command = Command::ReplaceConfiguration { base: 0, version: 7, body };
        let entry = Entry { term: 3, payload: EntryPayload::Command(command.encode()) };
        let mut state = ControlState::new();
        state.apply(1, &command);
        gateways(all).into_iter().enumerate().for_each(|(n, name)| {
            state.apply(2 + n as u64, &Command::AddGateway { name });
        });
        for n in 0..draining {
            state.apply(2000 + n as u64, &Command::Drain { instance: test_heartbeat(n).instance });
        }
        let written = state.encode();
        lines.push(format!(
            "| {routes}, {tenants}, {all}, {draining} | {} | {} | {:.2} | {:.2} |",
            bytes(&entry),
            written.len(),
            micros(|| drop(black_box(state.encode()))) / 1e3,
            micros(|| drop(black_box(ControlState::decode(&written)))) / 1e3,
        ));
    }
    lines
}

/// Measures gateways' requests to the coordinator, each for as many tenants as a gateway of the operators' size serves
/// in a tenth of a second: with all gateways on time, and with a third of them late.
fn coordinators() -> Vec<String> {
    let columns = [
        "gateways, tenants",
        "a request, us",
        "with a third of the gateways late, us",
        "all requests, ten a second a gateway, cores",
    ];
    let mut lines = table_head("The quota coordinator", &columns);
    let sizes =
        GATEWAYS.map(|g| (g, 1000)).into_iter().chain(TENANTS.map(|t| (100, t))).chain([(1000, 38_000)]);
    for (all, tenants) in sizes {
        let (in_time, late) =
            (lease_request_micros(all, tenants, 0), lease_request_micros(all, tenants, all / 3));
        let cores = in_time * 10.0 * all as f64 / 1e6;
        lines.push(format!("| {all}, {tenants} | {in_time:.1} | {late:.1} | {cores:.3} |"));
    }
    lines
}

/// Returns the cost of a request to the coordinator in microseconds. A late gateway sends a request in one round of
/// four.
fn lease_request_micros(gateway_count: usize, tenants: usize, late_gateways: usize) -> f64 {
    const LATE_ROUNDS: usize = 4;
    let (names, limits) = (gateways(gateway_count), limits(tenants));
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), &names);
    let mut number = 0usize;
    micros(|| {
        number += 1;
        while number % gateway_count < late_gateways && !(number / gateway_count).is_multiple_of(LATE_ROUNDS)
        {
            number += 1;
        }
        let now = number as u64 * 100 * MS / gateway_count as u64;
        let unit_request = |n| UnitRequest {
            tenant: tenant((number * 7 + n * 13) % tenants),
            units: 1,
            arrivals: 1,
            returned: 0,
            spent_fallback: 0,
        };
        let units = (0..REQUESTS / 10).map(unit_request).collect();
        let request = LeaseRequest { number: number as u64, units, turns: Vec::new() };
        let name = format!("edge-long-bien-{}", number % gateway_count);
        black_box(coordinator.grant(now, &name, &request));
    })
}

/// Measures a gateway's own cost: its requests, nearly each of another tenant, and its lease requests.
fn clients() -> Vec<String> {
    let columns = [
        "tenants",
        "an ask made, us",
        "an answer taken, us",
        "when is next, us",
        "a request, us",
        "bytes an ask, both ways",
        "150 requests a second: asks at once for each, of a core",
    ];
    let mut lines = table_head("A gateway's client", &columns);
    for tenants in TENANTS {
        let limits = limits(tenants);
        let mut coordinator = QuotaCoordinator::new(
            0,
            1,
            PreviousCoordinator::LongAgo,
            &limits,
            &BTreeSet::new(),
            &gateways(1),
        );
        let mut client = QuotaClient::new(0);
        client.set_limits(0, &limits);
        client.set_gateway_count(1);
        let (mut made, mut taken, mut polled, mut asked, mut exchanged_bytes, mut request_count) =
            (0.0, 0.0, 0.0, 0.0, 0, 0u32);
        let mut now = 0;
        for n in 0..4 * REQUESTS {
            now += 1_000_000_000 / REQUESTS as u64;
            let name = tenant(n * 13 % tenants);
            let began = thread_cpu_s();
            let waits = matches!(client.acquire(now, &name, 0.99, None), Decision::Wait { .. });
            let acquired_at = thread_cpu_s();
            black_box(client.next_outcome_at(now));
            let polled_at = thread_cpu_s();
            (asked, polled) = (asked + acquired_at - began, polled + polled_at - acquired_at);
            if waits {
                client.cancel_wait(&name);
            }
            let before = thread_cpu_s();
            let Some(request) = client.next_request(now) else { continue };
            made += thread_cpu_s() - before;
            let Some(grant) = coordinator.grant(now, "edge-long-bien-0", &request) else { continue };
            exchanged_bytes += bytes(&messages::GatewayMessage::LeaseRequest(request))
                + bytes(&GatewayUpdate::LeaseGrant(grant.clone()));
            let before = thread_cpu_s();
            client.on_grant(now, &grant);
            taken += thread_cpu_s() - before;
            request_count += 1;
        }
        let requests = f64::from(4 * REQUESTS as u32);
        let (made, taken) =
            (made * 1e6 / f64::from(request_count.max(1)), taken * 1e6 / f64::from(request_count.max(1)));
        let (polled, asked) = (polled * 1e6 / requests, asked * 1e6 / requests);
        // The client computes its next due time at each wake-up: once for the request, once for the answer.
        let a_second = REQUESTS as f64 * (made + taken + 2.0 * polled + asked) / 1e6;
        lines.push(format!(
            "| {tenants} | {made:.1} | {taken:.1} | {polled:.1} | {asked:.1} | {:.0} | {:.2}% |",
            f64::from(exchanged_bytes as u32) / f64::from(request_count.max(1)),
            a_second * 100.0
        ));
    }
    lines
}

/// Measures updates of a control node to one subscriber: bytes, and the time to encode them as a frame.
fn changes() -> Vec<String> {
    let mut lines = table_head("What one follower is told", &["what", "size", "bytes", "made, us"]);
    let from = change_log::Offset::default();
    let mut add_line = |label: &str, size: String, update: &GatewayUpdate| {
        lines.push(format!(
            "| {label} | {size} | {} | {:.1} |",
            bytes(update),
            micros(|| {
                black_box(bytes(update));
            })
        ));
    };
    let changed = |change| GatewayUpdate::Changes { from, changes: vec![change] };
    add_line("a changed backend", "-".into(), &changed(FleetChange::Backend(test_heartbeat(3))));
    for all in GATEWAYS {
        let names = gateways(all).into_iter().collect();
        add_line("one more gateway", format!("{all} gateways"), &changed(FleetChange::Gateways(names)));
    }
    for count in CONTROL_NODES {
        let nodes = (0..count).map(|n| (format!("10.{n}.0.5"), "long-bien".into())).collect();
        add_line(
            "a heartbeat",
            format!("{count} control nodes"),
            &GatewayUpdate::Heartbeat {
                contact_number: 300,
                quorum_contact_ms: 80,
                newest_configuration: 4000,
                control_nodes: nodes,
            },
        );
    }
    for (all, backends, draining) in [(85, 231, 8), (300, 800, 4096), (1000, 9200, 4096)] {
        let snapshot = FleetSnapshot {
            backends: (0..backends).map(test_heartbeat).collect(),
            complete: true,
            draining: (0..draining).map(|n| test_heartbeat(n).instance).collect(),
            gateways: gateways(all).into_iter().collect(),
        };
        let size = format!("{all} gateways, {backends} backends, {draining} leaving");
        add_line(
            "a snapshot, but for the configuration",
            size,
            &GatewayUpdate::Snapshot { offset: from, snapshot: Box::new(snapshot) },
        );
    }
    lines
}

/// Measures a change of ten routes sent as a delta: the cost of computing it once at a control node, and of applying
/// it at a gateway.
fn differences() -> Vec<String> {
    let columns = [
        "routes, tenants",
        "the difference, B",
        "worked out, ms",
        "folded in and marked, ms",
        "read, table and limits anew, ms",
    ];
    let mut lines = table_head("A change of ten routes", &columns);
    for (routes, tenants) in CONFIGURATIONS {
        let old = configuration(routes, tenants);
        let moved = |text: String, n| text.replace(&format!("/lohu{n}/"), &format!("/lohu{n}/new/"));
        let text = (0..10).fold(String::from_utf8_lossy(&old.body).into_owned(), moved);
        let new = CommittedConfiguration { version: 8, index: 10, body: text.into_bytes() };
        let computed = micros(|| {
            let mut steps = DeltaHistory::default();
            steps.record(&old, &new);
            black_box(steps.bytes());
        });
        let difference = Delta::between(&old.body, &new.body);
        let applied = micros(|| {
            let body = difference.apply(&old.body, 16 << 20).expect("delta of these bytes");
            black_box(body_digest(&body));
        });
        let mut client = QuotaClient::new(0);
        let rebuilt = micros(|| {
            let configuration_read = Configuration::parse(&new.body).expect("valid configuration");
            client.set_limits(0, &TenantTerms::from_configuration(&configuration_read).limits);
            black_box(RouteTable::new(configuration_read));
        });
        lines.push(format!(
            "| {routes}, {tenants} | {} | {:.2} | {:.2} | {:.2} |",
            difference.encode().len(),
            computed / 1e3,
            applied / 1e3,
            rebuilt / 1e3
        ));
    }
    lines
}

/// Measures a control node's backend registry.
fn registries() -> Vec<String> {
    let columns = [
        "backends",
        "taken in",
        "a new one, us",
        "a heartbeat, us",
        "another node's beat, us",
        "a sweep, us",
        "all of them, B",
    ];
    let mut lines = table_head("Backends at a control node", &columns);
    for count in BACKENDS {
        let (mut registry, mut known, began) = (ZoneRegistry::new(1500 * MS, 0), 0, thread_cpu_s());
        for n in 0..count {
            known += usize::from(registry.on_heartbeat(0, test_heartbeat(n)) == HeartbeatOutcome::New);
        }
        let new = (thread_cpu_s() - began) * 1e6 / count as f64;
        let all_heartbeats: Vec<_> = (0..count).map(test_heartbeat).collect();
        let mut n = 0;
        let beat = micros(|| {
            n = (n + 1) % known;
            black_box(registry.on_heartbeat(MS, all_heartbeats[n].clone()));
        });
        let unchanged = micros(|| {
            n = (n + 1) % known;
            black_box(registry.on_forwarded_heartbeat(MS, &all_heartbeats[n].instance, 41));
        });
        let swept = micros(|| drop(black_box(registry.expire_stale(2 * MS))));
        let all = bytes(&ControlMessage::Heartbeats {
            changed: registry.heartbeats().cloned().collect(),
            unchanged: Vec::new(),
        });
        lines.push(format!(
            "| {count} | {known} | {new:.1} | {beat:.2} | {unchanged:.2} | {swept:.0} | {all} |"
        ));
    }
    lines
}

/// Measures the traffic among idle control nodes, each to each.
fn control_node_traffic() -> Vec<String> {
    let columns = [
        "control nodes",
        "a round and its answer, B",
        "the leader's rounds, B/s out",
        "a greeting, B",
        "greetings, B/s out",
        "of 9,200 backends: heartbeats that a node forwards to all others, B/s out",
        "of 9,200 backends: a node that comes is told, B",
    ];
    let mut lines = table_head("Control nodes among themselves", &columns);
    for count in CONTROL_NODES {
        let id = |n: usize| NodeId { name: format!("10.{n}.0.5"), disk_id: 0x7a5b_1c2d_3e4f_5061 };
        let consensus_message =
            |body| ControlMessage::Consensus(Message { from: id(1), to: id(2), term: 3, body });
        let append = MessageBody::AppendEntries {
            previous: PreviousEntry { index: 4000, term: 3 },
            entries: Vec::new(),
            commit_index: 4000,
            round: 90_000,
        };
        let round = bytes(&consensus_message(append))
            + bytes(&consensus_message(MessageBody::AppendAccepted { round: 90_000, match_index: 4000 }));
        let known: Vec<(String, String)> = (0..count).map(|n| (id(n).name, "long-bien".into())).collect();
        let hello = ControlMessage::Hello {
            id: id(1),
            zone: "long-bien".into(),
            initial_start: false,
            can_vote: true,
            known_nodes: known,
            unix_ms: 1_796_000_000_000,
        };
        let unchanged = (0..9200 / count).map(|n| (test_heartbeat(n).instance, 40)).collect();
        let heartbeat_bytes_per_s =
            bytes(&ControlMessage::Heartbeats { changed: Vec::new(), unchanged }) as f64 / 1.5;
        let all = bytes(&ControlMessage::Heartbeats {
            changed: (0..9200).map(test_heartbeat).collect(),
            unchanged: Vec::new(),
        });
        let others = (count - 1) as f64;
        // Ten rounds and two greetings a second.
        lines.push(format!(
            "| {count} | {round} | {:.0} | {} | {:.0} | {:.0} | {} |",
            10.0 * others
                * bytes(&consensus_message(MessageBody::AppendEntries {
                    previous: PreviousEntry { index: 4000, term: 3 },
                    entries: Vec::new(),
                    commit_index: 4000,
                    round: 1
                })) as f64,
            bytes(&hello),
            2.0 * others * bytes(&hello) as f64,
            others * heartbeat_bytes_per_s,
            all * (count - 1)
        ));
    }
    let members: VoterSet = (0..9).map(|n| (format!("10.{n}.0.5"), 7)).collect();
    lines.push(format!(
        "\nNine voters as an entry: {} B.",
        bytes(&Entry { term: 3, payload: EntryPayload::Configuration(members) })
    ));
    lines
}
