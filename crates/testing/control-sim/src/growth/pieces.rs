//! Each piece by the one size that it grows with, the others small: a slope is the difference of two lines.

use super::{bytes, configuration, fact, gateways, limits, spent, tenant, MS};
use configuration::{Configuration, RouteTable, Validator};
use consensus::{Entry, EntryPayload, Message, MessageBody, NodeId, PreviousEntry, VoterSet};
use control_state::{body_digest, Command, CommittedConfiguration, ControlState, Delta, DeltaHistory};
use messages::{ControlMessage, FleetChange, FleetSnapshot, GatewayUpdate};
use quota::{Decision, LeaseRequest, PreviousCoordinator, QuotaClient, QuotaCoordinator, UnitRequest};
use registry::{HeartbeatOutcome, ZoneRegistry};
use std::collections::BTreeSet;
use std::hint::black_box;
use trial::TenantTerms;

/// Of the operators' size.
pub(super) const SERVICES: usize = 290;
/// What a gateway of the operators' size takes a second, nearly each of another tenant.
const REQUESTS: usize = 150;
const TENANTS: [usize; 4] = [100, 1000, 8000, 38_000];
const GATEWAYS: [usize; 4] = [30, 100, 300, 1000];
const BACKENDS: [usize; 4] = [231, 800, 2300, 9200];
const CONTROL_NODES: [usize; 4] = [3, 8, 19, 28];
/// Routes and tenants of a configuration.
const CONFIGURATIONS: [(usize, usize); 7] =
    [(8, 82), (100, 82), (1000, 82), (14_000, 82), (8, 1000), (8, 38_000), (14_000, 38_000)];
/// A measurement goes on for so long, in seconds of processor time.
const LONG: f64 = 0.06;

/// So many control nodes stand before a fleet of this size: two a zone.
pub(super) fn control_nodes(gateways: usize) -> usize {
    match gateways {
        0..=100 => 6,
        101..=500 => 8,
        _ => 28,
    }
}

/// Microseconds of processor time that `act` takes, by itself: the mean of as many as fit.
fn micros(mut act: impl FnMut()) -> f64 {
    let (began, mut times) = (spent(), 0u32);
    loop {
        act();
        times += 1;
        let took = spent() - began;
        if took >= LONG {
            return took * 1e6 / f64::from(times);
        }
    }
}

/// Megabytes by this line of what the system tells of this process: resident now, or at the peak.
fn megabytes(name: &str) -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn head(title: &str, columns: &[&str]) -> Vec<String> {
    let rule = vec!["---"; columns.len()].join(" | ");
    vec![String::new(), format!("**{title}**"), String::new()]
        .into_iter()
        .chain([format!("| {} |", columns.join(" | ")), format!("| {rule} |")])
        .collect()
}

/// What each piece holds. To be asked for first of all: memory that was given back would be taken again, and not be
/// seen. What is measured is kept until the end for the same reason.
pub(super) fn memory() -> Vec<String> {
    let mut lines = head("Memory", &["what", "size", "MB more"]);
    let bodies = CONFIGURATIONS.map(|(routes, tenants)| (routes, tenants, configuration(routes, tenants)));
    let limits = TENANTS.map(|tenants| (tenants, limits(tenants)));
    let names = gateways(GATEWAYS[3]);
    let facts: Vec<_> = (0..8192).map(fact).collect();
    let mut kept: Vec<Box<dyn std::any::Any>> = Vec::new();
    let mut held = |what: &str, size: String, line: &str, make: &dyn Fn() -> Box<dyn std::any::Any>| {
        let before = megabytes(line);
        kept.push(make());
        lines.push(format!("| {what} | {size} | {:.1} |", megabytes(line) - before));
    };
    const NOW: &str = "VmRSS:";
    held("a gateway that is told", "-".into(), NOW, &|| Box::new(QuotaClient::new(0)));
    for (routes, tenants, configuration) in &bodies {
        let size = format!("{routes} routes, {tenants} tenants");
        held("a gateway's table and its client", size, NOW, &|| {
            let configuration_read = Configuration::parse(&configuration.body).expect("it is sound");
            let mut client = QuotaClient::new(0);
            client.set_limits(0, &TenantTerms::from_configuration(&configuration_read).limits);
            Box::new((RouteTable::new(configuration_read), client))
        });
    }
    for (tenants, limits) in &limits {
        let size = format!("{tenants} tenants, {} gateways", names.len());
        held("the coordinator", size, NOW, &|| {
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
    held("backends", format!("{}", facts.len()), NOW, &|| {
        let mut registry = ZoneRegistry::new(1500 * MS, 0);
        for f in &facts {
            registry.on_heartbeat(0, f.clone());
        }
        Box::new(registry)
    });
    for all in [100, 1000] {
        held("1,024 changes, each the list of gateways", format!("{all} gateways"), NOW, &|| {
            let mut board = change_log::ChangeLog::new(1, 1024);
            let list: Vec<String> = names.iter().take(all).cloned().collect();
            (0..1024).for_each(|_| board.append(FleetChange::Gateways(list.clone())));
            Box::new(board)
        });
    }
    held("the schema's library", "-".into(), NOW, &|| Box::new(Validator::default()));
    let validator = Validator::default();
    for (routes, tenants, configuration) in &bodies {
        let size = format!("{routes} routes, {tenants} tenants");
        // Of one that is not the largest so far nothing is seen.
        held("a configuration checked, at the peak", size, "VmHWM:", &|| {
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
    lines.extend(core());
    lines
}

/// A configuration: what it costs whoever takes it, holds it and goes by it.
fn configurations() -> Vec<String> {
    let columns = [
        "routes, tenants",
        "body, B",
        "checked, ms",
        "read and made a table, ms",
        "limits of a client, ms",
        "a route found, us: 48 a host, all of one host",
    ];
    let mut lines = head("A configuration", &columns);
    let validator = Validator::default();
    for (routes, tenants) in CONFIGURATIONS {
        let body = &configuration(routes, tenants).body;
        let checked = micros(|| drop(black_box(validator.validate(body))));
        let read =
            micros(|| drop(black_box(RouteTable::new(Configuration::parse(body).expect("it is sound")))));
        let terms = TenantTerms::from_configuration(&Configuration::parse(body).expect("it is sound"));
        let mut client = QuotaClient::new(0);
        client.set_limits(0, &terms.limits);
        let limited = micros(|| client.set_limits(0, &terms.limits));
        drop((client, terms));
        let own = found(&RouteTable::new(Configuration::parse(body).expect("it is sound")), routes, 48);
        let text = String::from_utf8_lossy(body);
        let one: String = (0..routes / 48 + 1).fold(text.into_owned(), |text, n| {
            if n == 0 {
                text
            } else {
                text.replace(&format!("ficu{n:03}.example"), "ficu000.example")
            }
        });
        let one = RouteTable::new(Configuration::parse(one.as_bytes()).expect("it is sound"));
        let all = found(&one, routes, routes);
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

/// Microseconds to find a route, the mean over all of them.
fn found(table: &RouteTable, routes: usize, host: usize) -> f64 {
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

/// The state that is agreed on: bytes on the disk and in a message of the agreement, time to write and read it.
fn states() -> Vec<String> {
    let columns = [
        "routes, tenants, gateways, leaving",
        "an entry with the configuration, B",
        "the state, B",
        "written, ms",
        "read, ms",
    ];
    let mut lines = head("The state", &columns);
    let sizes = [
        (8, 82, 85, 0),
        (8, 82, 85, 4096),
        (8, 82, 1000, 0),
        (1000, 82, 85, 0),
        (14_000, 82, 85, 0),
        (8, 38_000, 85, 0),
        (14_000, 38_000, 1000, 4096),
    ];
    for (routes, tenants, all, leaving) in sizes {
        let body = configuration(routes, tenants).body.clone();
        let word = Command::ReplaceConfiguration { base: 0, version: 7, body };
        let entry = Entry { term: 3, payload: EntryPayload::Command(word.encode()) };
        let mut state = ControlState::new();
        state.apply(1, &word);
        gateways(all).into_iter().enumerate().for_each(|(n, name)| {
            state.apply(2 + n as u64, &Command::AddGateway { name });
        });
        for n in 0..leaving {
            state.apply(2000 + n as u64, &Command::Drain { instance: fact(n).instance });
        }
        let written = state.encode();
        lines.push(format!(
            "| {routes}, {tenants}, {all}, {leaving} | {} | {} | {:.2} | {:.2} |",
            bytes(&entry),
            written.len(),
            micros(|| drop(black_box(state.encode()))) / 1e3,
            micros(|| drop(black_box(ControlState::decode(&written)))) / 1e3,
        ));
    }
    lines
}

/// Requests of gateways to the coordinator, each for as many tenants as a gateway of the operators' size serves in a tenth of
/// a second: while all are in time, and while a third of them are late.
fn coordinators() -> Vec<String> {
    let columns = [
        "gateways, tenants",
        "a request, us",
        "with a third of the gateways late, us",
        "all requests, ten a second a gateway, cores",
    ];
    let mut lines = head("The quota coordinator", &columns);
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

/// What a request costs the coordinator, in microseconds. A late gateway asks in one round of four.
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

/// A gateway's own part: a second of its requests, nearly each of another tenant, and of its asks.
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
    let mut lines = head("A gateway's client", &columns);
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
        let (mut made, mut taken, mut polled, mut asked, mut told, mut asks) = (0.0, 0.0, 0.0, 0.0, 0, 0u32);
        let mut now = 0;
        for n in 0..4 * REQUESTS {
            now += 1_000_000_000 / REQUESTS as u64;
            let name = tenant(n * 13 % tenants);
            let began = spent();
            let waits = matches!(client.acquire(now, &name, 0.99, None), Decision::Wait { .. });
            let spoke = spent();
            black_box(client.next_outcome_at(now));
            let looked = spent();
            (asked, polled) = (asked + spoke - began, polled + looked - spoke);
            if waits {
                client.cancel_wait(&name);
            }
            let before = spent();
            let Some(ask) = client.next_request(now) else { continue };
            made += spent() - before;
            let Some(lent) = coordinator.grant(now, "edge-long-bien-0", &ask) else { continue };
            told += bytes(&messages::GatewayMessage::LeaseRequest(ask))
                + bytes(&GatewayUpdate::LeaseGrant(lent.clone()));
            let before = spent();
            client.on_grant(now, &lent);
            taken += spent() - before;
            asks += 1;
        }
        let requests = f64::from(4 * REQUESTS as u32);
        let (made, taken) = (made * 1e6 / f64::from(asks.max(1)), taken * 1e6 / f64::from(asks.max(1)));
        let (polled, asked) = (polled * 1e6 / requests, asked * 1e6 / requests);
        // It looks when it is next due at each wake-up: one for the request, one for the answer.
        let a_second = REQUESTS as f64 * (made + taken + 2.0 * polled + asked) / 1e6;
        lines.push(format!(
            "| {tenants} | {made:.1} | {taken:.1} | {polled:.1} | {asked:.1} | {:.0} | {:.2}% |",
            f64::from(told as u32) / f64::from(asks.max(1)),
            a_second * 100.0
        ));
    }
    lines
}

/// What a control node tells one follower: bytes, and the time to put it into a frame.
fn changes() -> Vec<String> {
    let mut lines = head("What one follower is told", &["what", "size", "bytes", "made, us"]);
    let from = change_log::Offset::default();
    let mut told = |what: &str, size: String, down: &GatewayUpdate| {
        lines.push(format!(
            "| {what} | {size} | {} | {:.1} |",
            bytes(down),
            micros(|| {
                black_box(bytes(down));
            })
        ));
    };
    let changed = |change| GatewayUpdate::Changes { from, changes: vec![change] };
    told("a changed backend", "-".into(), &changed(FleetChange::Backend(fact(3))));
    for all in GATEWAYS {
        let names = gateways(all).into_iter().collect();
        told("one more gateway", format!("{all} gateways"), &changed(FleetChange::Gateways(names)));
    }
    for count in CONTROL_NODES {
        let nodes = (0..count).map(|n| (format!("10.{n}.0.5"), "long-bien".into())).collect();
        told(
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
    for (all, backends, leaving) in [(85, 231, 8), (300, 800, 4096), (1000, 9200, 4096)] {
        let snapshot = FleetSnapshot {
            backends: (0..backends).map(fact).collect(),
            complete: true,
            draining: (0..leaving).map(|n| fact(n).instance).collect(),
            gateways: gateways(all).into_iter().collect(),
        };
        let size = format!("{all} gateways, {backends} backends, {leaving} leaving");
        told(
            "a snapshot, but for the configuration",
            size,
            &GatewayUpdate::Snapshot { offset: from, snapshot: Box::new(snapshot) },
        );
    }
    lines
}

/// A change of ten routes, as a difference: what a control node makes of it once, and a gateway of what it is told.
fn differences() -> Vec<String> {
    let columns = [
        "routes, tenants",
        "the difference, B",
        "worked out, ms",
        "folded in and marked, ms",
        "read, table and limits anew, ms",
    ];
    let mut lines = head("A change of ten routes", &columns);
    for (routes, tenants) in CONFIGURATIONS {
        let old = configuration(routes, tenants);
        let moved = |text: String, n| text.replace(&format!("/lohu{n}/"), &format!("/lohu{n}/new/"));
        let text = (0..10).fold(String::from_utf8_lossy(&old.body).into_owned(), moved);
        let new = CommittedConfiguration { version: 8, index: 10, body: text.into_bytes() };
        let worked = micros(|| {
            let mut steps = DeltaHistory::default();
            steps.record(&old, &new);
            black_box(steps.bytes());
        });
        let difference = Delta::between(&old.body, &new.body);
        let folded = micros(|| {
            let body = difference.apply(&old.body, 16 << 20).expect("it is of these bytes");
            black_box(body_digest(&body));
        });
        let mut client = QuotaClient::new(0);
        let anew = micros(|| {
            let configuration_read = Configuration::parse(&new.body).expect("it is sound");
            client.set_limits(0, &TenantTerms::from_configuration(&configuration_read).limits);
            black_box(RouteTable::new(configuration_read));
        });
        lines.push(format!(
            "| {routes}, {tenants} | {} | {:.2} | {:.2} | {:.2} |",
            difference.encode().len(),
            worked / 1e3,
            folded / 1e3,
            anew / 1e3
        ));
    }
    lines
}

/// A control node's backends.
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
    let mut lines = head("Backends at a control node", &columns);
    for count in BACKENDS {
        let (mut registry, mut known, began) = (ZoneRegistry::new(1500 * MS, 0), 0, spent());
        for n in 0..count {
            known += usize::from(registry.on_heartbeat(0, fact(n)) == HeartbeatOutcome::New);
        }
        let new = (spent() - began) * 1e6 / count as f64;
        let facts: Vec<_> = (0..count).map(fact).collect();
        let mut n = 0;
        let beat = micros(|| {
            n = (n + 1) % known;
            black_box(registry.on_heartbeat(MS, facts[n].clone()));
        });
        let again = micros(|| {
            n = (n + 1) % known;
            black_box(registry.on_forwarded_heartbeat(MS, &facts[n].instance, 41));
        });
        let swept = micros(|| drop(black_box(registry.expire_stale(2 * MS))));
        let all = bytes(&ControlMessage::Heartbeats {
            changed: registry.heartbeats().cloned().collect(),
            unchanged: Vec::new(),
        });
        lines.push(format!("| {count} | {known} | {new:.1} | {beat:.2} | {again:.2} | {swept:.0} | {all} |"));
    }
    lines
}

/// What control nodes say to each other while nothing happens, each to each.
fn core() -> Vec<String> {
    let columns = [
        "control nodes",
        "a round and its answer, B",
        "the leader's rounds, B/s out",
        "a greeting, B",
        "greetings, B/s out",
        "of 9,200 backends: heartbeats that a node forwards to all others, B/s out",
        "of 9,200 backends: a node that comes is told, B",
    ];
    let mut lines = head("Control nodes among themselves", &columns);
    for count in CONTROL_NODES {
        let id = |n: usize| NodeId { name: format!("10.{n}.0.5"), disk_id: 0x7a5b_1c2d_3e4f_5061 };
        let said = |body| ControlMessage::Consensus(Message { from: id(1), to: id(2), term: 3, body });
        let append = MessageBody::AppendEntries {
            previous: PreviousEntry { index: 4000, term: 3 },
            entries: Vec::new(),
            commit_index: 4000,
            round: 90_000,
        };
        let round = bytes(&said(append))
            + bytes(&said(MessageBody::AppendAccepted { round: 90_000, match_index: 4000 }));
        let known: Vec<(String, String)> = (0..count).map(|n| (id(n).name, "long-bien".into())).collect();
        let hello = ControlMessage::Hello {
            id: id(1),
            zone: "long-bien".into(),
            initial_start: false,
            can_vote: true,
            known_nodes: known,
            unix_ms: 1_796_000_000_000,
        };
        let again = (0..9200 / count).map(|n| (fact(n).instance, 40)).collect();
        let heartbeat_bytes_per_s =
            bytes(&ControlMessage::Heartbeats { changed: Vec::new(), unchanged: again }) as f64 / 1.5;
        let all = bytes(&ControlMessage::Heartbeats {
            changed: (0..9200).map(fact).collect(),
            unchanged: Vec::new(),
        });
        let others = (count - 1) as f64;
        // Ten rounds, two greetings a second.
        lines.push(format!(
            "| {count} | {round} | {:.0} | {} | {:.0} | {:.0} | {} |",
            10.0 * others
                * bytes(&said(MessageBody::AppendEntries {
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
