//! What a request costs the coordinator. Times are the thread's own on a processor, so that a busy machine does not count, and
//! are compared with each other alone.

use quota::{LeaseRequest, Limit, PreviousCoordinator, QuotaCoordinator, Time, UnitRequest};
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const GATEWAYS: usize = 300;
/// A gateway asks this often.
const ROUND: Time = 100 * MS;
const ROUNDS: u64 = 160;
/// Rounds until all gateways are known and buckets have settled.
const WARM_UP_ROUNDS: u64 = 16;
/// A gateway that is late asks in one of so many rounds: it falls silent in between, and is heard again.
const LATE_ROUNDS: u64 = 4;
const UNITS_PER_REQUEST: u64 = 2;
/// Each cost is the least of so many plays.
const PLAYS: usize = 3;

/// Nanoseconds that this thread has had a processor so far.
fn processor_time() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel tells it");
    text.split_whitespace().next().and_then(|first| first.parse().ok()).expect("its first field is a number")
}

fn tenant(number: u64) -> String {
    format!("tenant-{number:05}")
}

fn request(number: u64, tenants: u64) -> LeaseRequest {
    let unit = |n| UnitRequest {
        tenant: tenant((number * UNITS_PER_REQUEST + n) * 7 % tenants),
        units: 1,
        arrivals: 1,
        returned: 0,
        spent_fallback: 0,
    };
    LeaseRequest { number, units: (0..UNITS_PER_REQUEST).map(unit).collect(), turns: vec![] }
}

/// Nanoseconds for each request, with so many gateways that are late.
fn play(tenants: u64, late_gateways: usize) -> f64 {
    let names: BTreeSet<String> = (0..GATEWAYS).map(|n| format!("10.{}.0.{}", n / 50, n % 50)).collect();
    let limits: BTreeMap<String, Limit> = (0..tenants).map(|n| (tenant(n), Limit::new(40.0, 40.0))).collect();
    let nothing = BTreeSet::new();
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &nothing, &names);
    let (mut number, mut measured, mut began) = (0, 0, 0);
    for round in 0..ROUNDS {
        if round == WARM_UP_ROUNDS {
            (measured, began) = (0, processor_time());
        }
        for (place, name) in names.iter().enumerate() {
            if place < late_gateways && round % LATE_ROUNDS != 0 {
                continue;
            }
            let now = round * ROUND + place as Time * ROUND / GATEWAYS as Time;
            number += 1;
            measured += 1;
            assert!(coordinator.grant(now, name, &request(number, tenants)).is_some(), "it is known");
        }
    }
    (processor_time() - began) as f64 / f64::from(measured)
}

fn cost(tenants: u64, late_gateways: usize) -> f64 {
    (0..PLAYS).map(|_| play(tenants, late_gateways)).fold(f64::INFINITY, f64::min)
}

#[test]
fn late_gateways_do_not_make_the_coordinator_later() {
    let (none, many) = (cost(190, 0), cost(190, 100));
    assert!(
        many < 4.0 * none,
        "a request costs {none:.0} ns while all are in time, {many:.0} ns with 100 late gateways"
    );
}

#[test]
fn request_costs_the_same_among_few_tenants_and_many() {
    let (few, many) = (cost(190, 0), cost(7600, 0));
    assert!(many < 4.0 * few, "a request costs {few:.0} ns among 190 tenants, {many:.0} ns among 7,600");
}
