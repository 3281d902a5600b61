//! CPU cost of a request to the coordinator. Times are CPU times of this thread, so that load on the machine does not
//! count, and they are only compared with each other.

use quota::{LeaseRequest, Limit, PreviousCoordinator, QuotaCoordinator, Time, UnitRequest};
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const GATEWAYS: usize = 300;
/// Interval at which each gateway sends a request.
const ROUND_INTERVAL: Time = 100 * MS;
const ROUNDS: u64 = 160;
/// Rounds until all gateways are known and the buckets have settled.
const WARM_UP_ROUNDS: u64 = 16;
/// A late gateway sends a request only once in this many rounds, so that it becomes silent and then active again.
const LATE_ROUNDS: u64 = 4;
const UNITS_PER_REQUEST: u64 = 2;
/// Number of runs; the lowest cost counts.
const RUNS: usize = 3;

/// Returns the CPU time of this thread so far, in nanoseconds.
fn cpu_time_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")
        .expect("the kernel reports scheduler statistics");
    text.split_whitespace().next().and_then(|first| first.parse().ok()).expect("its first field is a number")
}

fn tenant(number: u64) -> String {
    format!("tenant-{number:05}")
}

fn request(number: u64, tenants: u64) -> LeaseRequest {
    let unit_request = |n| UnitRequest {
        tenant: tenant((number * UNITS_PER_REQUEST + n) * 7 % tenants),
        units: 1,
        arrivals: 1,
        returned: 0,
        spent_fallback: 0,
    };
    LeaseRequest { number, units: (0..UNITS_PER_REQUEST).map(unit_request).collect(), turns: vec![] }
}

/// Returns the CPU time per request, in nanoseconds, with `late_gateway_count` late gateways.
fn run_ns_per_request(tenants: u64, late_gateway_count: usize) -> f64 {
    let names: BTreeSet<String> = (0..GATEWAYS).map(|n| format!("10.{}.0.{}", n / 50, n % 50)).collect();
    let limits: BTreeMap<String, Limit> = (0..tenants).map(|n| (tenant(n), Limit::new(40.0, 40.0))).collect();
    let no_expired_trials = BTreeSet::new();
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &no_expired_trials, &names);
    let (mut number, mut measured, mut started_ns) = (0, 0, 0);
    for round in 0..ROUNDS {
        if round == WARM_UP_ROUNDS {
            (measured, started_ns) = (0, cpu_time_ns());
        }
        for (index, name) in names.iter().enumerate() {
            if index < late_gateway_count && round % LATE_ROUNDS != 0 {
                continue;
            }
            let now = round * ROUND_INTERVAL + index as Time * ROUND_INTERVAL / GATEWAYS as Time;
            number += 1;
            measured += 1;
            assert!(
                coordinator.grant(now, name, &request(number, tenants)).is_some(),
                "the gateway is known"
            );
        }
    }
    (cpu_time_ns() - started_ns) as f64 / f64::from(measured)
}

fn min_ns_per_request(tenants: u64, late_gateway_count: usize) -> f64 {
    (0..RUNS).map(|_| run_ns_per_request(tenants, late_gateway_count)).fold(f64::INFINITY, f64::min)
}

#[test]
fn late_gateways_do_not_make_the_coordinator_later() {
    let (none_late_ns, many_late_ns) = (min_ns_per_request(190, 0), min_ns_per_request(190, 100));
    assert!(
        many_late_ns < 4.0 * none_late_ns,
        "a request costs {none_late_ns:.0} ns with no late gateway, {many_late_ns:.0} ns with 100 late gateways"
    );
}

#[test]
fn request_costs_the_same_among_few_tenants_and_many() {
    let (few, many) = (min_ns_per_request(190, 0), min_ns_per_request(7600, 0));
    assert!(many < 4.0 * few, "a request costs {few:.0} ns among 190 tenants, {many:.0} ns among 7,600");
}
