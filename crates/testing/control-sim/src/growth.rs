//! Growth of sizes and costs with the fleet: bytes of each kind of message, and processor time and memory of the
//! decision logic, each by the size that it depends on, up to the operators' size (`docs/CAPACITY.md`).

mod components;

use control_state::CommittedConfiguration;
use messages::{ControlMessage, FleetChange, FleetSnapshot, GatewayMessage, GatewayUpdate};
use quota::{Decision, LeaseRequest, Limit, PreviousCoordinator, QuotaClient, QuotaCoordinator};
use registry::Heartbeat;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Gateways, backends, tenants, routes: the two small sites, the two grown ones, a larger fleet, the operators' size.
const FLEETS: [(usize, usize, usize, usize); 6] = [
    (12, 27, 8, 8),
    (63, 209, 71, 8),
    (85, 231, 82, 8),
    (85, 231, 82, 2000),
    (300, 800, 300, 2000),
    (1000, 9200, 38_000, 14_000),
];
/// Number of tenants whose requests one gateway sees at a time.
const ACTIVE_TENANTS: usize = 12;
/// Number of simulated quota clients; with more gateways the remaining ones repeat the requests of these.
const QUOTA_CLIENTS: usize = 30;
/// Maximum number of requests for which the coordinator's time is measured.
const LEASE_REQUESTS: usize = 6000;
/// Link speeds of a gateway in the grown deployments and of a control node, in bits per second.
const GATEWAY_LINK_BITS_PER_S: f64 = 2e6;
const CONTROL_NODE_LINK_BITS_PER_S: f64 = 100e6;

fn bytes(message: &impl Serialize) -> usize {
    // Includes the length prefix of the frame.
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() + 4)
}

/// Returns this thread's processor time in seconds: the machine may be busy with other work.
fn thread_cpu_s() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 + t.tv_nsec as f64 / 1e9
}

fn test_heartbeat(n: usize) -> Heartbeat {
    Heartbeat {
        instance: format!("i-{n:08x}"),
        service: format!("huvo{:02}a", n % 2),
        address: format!("10.128.{}.{}:8080", n / 250, n % 250),
        zone: "long-bien".into(),
        version: "v1".into(),
        slots: 6,
        sequence: 40,
        ..Heartbeat::default()
    }
}

fn tenant(n: usize) -> String {
    format!("huka{n:03}")
}

/// Returns a configuration as an operator would write it; every 48 routes share a host.
fn configuration(routes: usize, tenants: usize) -> Arc<CommittedConfiguration> {
    let route = |n| {
        format!(
            "{{\"name\":\"r-{n:07}\",\"host\":\"ficu{:03}.example\",\"pathPrefix\":\"/lohu{n}/\",\"routeKind\":\"safe\",\
             \"timeoutMs\":2500,\"targetLatencyMs\":400,\"priority\":2,\"targetService\":\"huvo{:03}a\",\
             \"maxAttempts\":2}}",
            n / 48,
            n % components::SERVICES
        )
    };
    let tenant = |n| {
        format!(
            "{{\"name\":\"{}\",\"apiKeys\":[\"{n:05}9wu3fexd9dnn2ctn\",\"{n:05}9anu6wsjnbanfqa\"],\
             \"priority\":1,\"ratePerS\":146,\"burstSize\":146}}",
            tenant(n)
        )
    };
    let service =
        |n| format!("{{\"name\":\"huvo{n:03}a\",\"healthPath\":\"/health\",\"maxConnections\":140}}");
    let list = |all: Vec<String>| all.join(",");
    let body = format!(
        "{{\"configVersion\":\"00000007\",\"routes\":[{}],\"services\":[{}],\"tenants\":[{}]}}",
        list((0..routes).map(route).collect()),
        list((0..routes.min(components::SERVICES)).map(service).collect()),
        list((0..tenants).map(tenant).collect())
    );
    Arc::new(CommittedConfiguration { version: 7, index: 9, body: body.into_bytes() })
}

fn gateways(count: usize) -> BTreeSet<String> {
    (0..count).map(|g| format!("edge-long-bien-{g}")).collect()
}

fn limits(tenants: usize) -> BTreeMap<String, Limit> {
    (0..tenants).map(|t| (tenant(t), Limit::new(146.0, 146.0))).collect()
}

/// Interval between a backend's heartbeats, each to one of the control nodes, in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 1.5;

/// Returns tables with one line for each fleet or size.
pub fn table() -> Vec<String> {
    let mut lines = vec![
        "| gateways, backends, tenants, routes | snapshot, B | changed backend, B | quota a gateway, B/s \
         | quota coordinator, ms a second | heartbeats forwarded to a node, B/s | snapshots to half at once, s |"
            .to_string(),
        "| --- | --- | --- | --- | --- | --- | --- |".to_string(),
    ];
    let memory = components::memory();
    lines.extend(FLEETS.into_iter().map(table_row));
    lines.extend(components::tables());
    lines.extend(memory);
    lines
}

fn table_row((gateways, backends, tenants, routes): (usize, usize, usize, usize)) -> String {
    let names = self::gateways(gateways);
    let snapshot = FleetSnapshot {
        backends: (0..backends).map(test_heartbeat).collect(),
        complete: true,
        draining: (0..8).map(|n| format!("i-{n:08x}")).collect(),
        gateways: names.iter().cloned().collect(),
    };
    let offset = change_log::Offset::default();
    let update = GatewayUpdate::Snapshot { offset, snapshot: Box::new(snapshot) };
    // The configuration follows in chunks of its bytes.
    let snapshot_bytes = bytes(&update) + configuration(routes, tenants).body.len();
    let changes = vec![FleetChange::Backend(test_heartbeat(3))];
    let change_bytes = bytes(&GatewayUpdate::Changes { from: offset, changes });
    let control_nodes = components::control_nodes(gateways);
    let unchanged = (0..backends / control_nodes).map(|n| (test_heartbeat(n).instance, 40)).collect();
    let heartbeats = ControlMessage::Heartbeats { changed: Vec::new(), unchanged };
    let heartbeat_bytes_per_s = bytes(&heartbeats) as f64 / HEARTBEAT_INTERVAL_S;
    let (quota_bytes_per_s, coordinator_ms) = quota_costs(&names, tenants);
    // The gateway's own link is the bottleneck, or that of the control node, which serves its share of the gateways.
    let bits_at_control_node = snapshot_bytes as f64 * 8.0 * gateways as f64 / 2.0 / control_nodes as f64;
    let link_s = snapshot_bytes as f64 * 8.0 / GATEWAY_LINK_BITS_PER_S;
    let snapshots_s = link_s.max(bits_at_control_node / CONTROL_NODE_LINK_BITS_PER_S);
    format!(
        "| {gateways}, {backends}, {tenants}, {routes} | {snapshot_bytes} | {change_bytes} | {quota_bytes_per_s:.0} \
         | {coordinator_ms:.1} | {heartbeat_bytes_per_s:.0} | {snapshots_s:.2} |"
    )
}

/// Simulates a second of all gateways' quota requests, each with twelve active tenants. Returns the bytes per gateway
/// in both directions, and the coordinator's time in ms.
fn quota_costs(names: &BTreeSet<String>, tenants: usize) -> (f64, f64) {
    let limits = limits(tenants);
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), names);
    let mut clients: Vec<(usize, &String, QuotaClient)> =
        names.iter().enumerate().take(QUOTA_CLIENTS).map(|(n, g)| (n, g, QuotaClient::new(0))).collect();
    let (mut sent_bytes, mut request_count, mut all, mut coordinator_cpu_s) = (0, 0, 0, 0.0);
    for (_, _, client) in &mut clients {
        client.set_limits(0, &limits);
        client.set_gateway_count(names.len() as u32);
    }
    let mut last = LeaseRequest::default();
    for tick in 0..20u64 {
        let now = tick * 100 * MS;
        for (n, name, client) in &mut clients {
            for t in 0..ACTIVE_TENANTS.min(tenants) {
                let tenant = tenant((*n * 7 + t) % tenants);
                if matches!(client.acquire(now, &tenant, 0.99, None), Decision::Wait { .. }) {
                    client.cancel_wait(&tenant);
                }
            }
            let Some(request) = client.next_request(now) else { continue };
            let (exchanged_bytes, cpu_s) =
                measure_request(&mut coordinator, now, name, &request, Some(client));
            last = request;
            all += usize::from(tick >= 10);
            if tick >= 10 {
                (sent_bytes, request_count, coordinator_cpu_s) =
                    (sent_bytes + exchanged_bytes, request_count + 1, coordinator_cpu_s + cpu_s);
            }
        }
        for name in names.iter().skip(QUOTA_CLIENTS) {
            if request_count < LEASE_REQUESTS || tick < 10 && request_count == 0 && all < LEASE_REQUESTS {
                let (_, cpu_s) = measure_request(&mut coordinator, now, name, &last, None);
                if tick >= 10 {
                    (request_count, coordinator_cpu_s) = (request_count + 1, coordinator_cpu_s + cpu_s);
                }
            }
        }
    }
    // Ten requests a second for each gateway.
    let a_second = coordinator_cpu_s / request_count.max(1) as f64 * 10.0 * names.len() as f64;
    (sent_bytes as f64 / clients.len() as f64, a_second * 1e3)
}

fn measure_request(
    coordinator: &mut QuotaCoordinator,
    now: u64,
    name: &str,
    request: &LeaseRequest,
    client: Option<&mut QuotaClient>,
) -> (usize, f64) {
    let began = thread_cpu_s();
    let grant = coordinator.grant(now, name, request);
    let cpu_s = thread_cpu_s() - began;
    let Some(grant) = grant else { return (0, cpu_s) };
    if let Some(client) = client {
        client.on_grant(now, &grant);
    }
    (bytes(&GatewayMessage::LeaseRequest(request.clone())) + bytes(&GatewayUpdate::LeaseGrant(grant)), cpu_s)
}

#[cfg(test)]
mod tests;
