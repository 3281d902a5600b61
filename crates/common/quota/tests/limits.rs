//! A tenant's limit over several gateways, with partitions and a change of the coordinator.

use quota::{
    Decision, LeaseGrant, Limit, PreviousCoordinator, QuotaClient, QuotaCoordinator, Time, UnitGrant,
};
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const S: Time = 1_000_000_000;

fn limits(rate: f64, burst: f64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("t".to_string(), Limit::new(rate, burst))])
}

fn names(n: usize) -> BTreeSet<String> {
    (0..n).map(|g| format!("g{g}")).collect()
}

/// A tenant's requests at several clients, some of them isolated from the coordinator for a while; the coordinator changes once.
/// How many passed in each 10 ms, and how many were turned away.
fn simulate(rate: f64, asked: f64, cut: std::ops::Range<u64>, failover_step: u64) -> (Vec<u32>, u32) {
    let (all, limits) = (names(6), limits(rate, rate));
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), &all);
    let mut clients: Vec<QuotaClient> = (0..6).map(|_| QuotaClient::new(0)).collect();
    clients.iter_mut().for_each(|client| {
        client.set_limits(0, &limits);
        client.set_gateway_count(6);
    });
    let (mut passed, mut refused, mut x) = (Vec::new(), 0, 12345u64);
    let mut draw = move || {
        x = x.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (x >> 33) as f64 / (1u64 << 31) as f64
    };
    let mut waiting_since: Vec<Vec<Time>> = vec![Vec::new(); 6];
    for step in 0..3000u64 {
        let now = step * 10 * MS;
        if step == failover_step {
            coordinator = QuotaCoordinator::new(
                now,
                step,
                PreviousCoordinator::LongAgo,
                &limits,
                &BTreeSet::new(),
                &all,
            );
        }
        let mut passed_now = 0;
        for (g, client) in clients.iter_mut().enumerate() {
            let is_reached = !(cut.contains(&step) && g < 2);
            let mut tries: Vec<Option<Time>> = waiting_since[g].drain(..).map(Some).collect();
            if draw() < asked * 0.01 / 6.0 {
                tries.push(None);
            }
            for since in tries {
                match client.acquire(now, "t", draw(), since) {
                    Decision::Granted => passed_now += 1,
                    Decision::Refused { .. } => refused += 1,
                    Decision::Wait { .. } => waiting_since[g].push(since.unwrap_or(now)),
                    Decision::Throttled { .. } => unreachable!("it has no trial"),
                }
            }
            if let Some(request) = client.next_request(now).filter(|_| is_reached) {
                let grant = coordinator.grant(now, &format!("g{g}"), &request).expect("it is known");
                client.on_grant(now, &grant);
            }
        }
        passed.push(passed_now);
    }
    (passed, refused)
}

fn most_in_five_seconds(passed: &[u32]) -> u32 {
    passed.windows(500).map(|w| w.iter().sum()).max().unwrap_or(0)
}

#[test]
fn demand_beyond_the_limit_never_passes_despite_partitions_and_failover() {
    for rate in [10.0, 60.0] {
        let (passed, refused) = simulate(rate, 5.0 * rate, 500..1500, 1200);
        let most = f64::from(most_in_five_seconds(&passed));
        assert!(most <= (5.0 * rate + rate) * 1.1 + 20.0, "{most} at {rate} a second");
        assert!(refused > 0);
        // And the limit is had.
        let whole: u32 = passed[1500..].iter().sum();
        assert!(f64::from(whole) >= 0.9 * 15.0 * rate, "{whole} in 15 s at {rate} a second");
    }
}

#[test]
fn nearly_all_requests_pass_below_the_limit() {
    let (passed, refused) = simulate(30.0, 30.0 / 1.6, 0..0, 9999);
    let passed: u32 = passed.iter().sum();
    assert!(f64::from(refused) <= 0.01 * f64::from(passed), "{refused} refused beside {passed}");
}

#[test]
fn expired_units_are_returned() {
    let mut client = QuotaClient::new(0);
    client.set_limits(0, &limits(10.0, 10.0));
    assert!(!matches!(client.acquire(0, "t", 0.5, None), Decision::Granted), "nothing is known yet");
    let request = client.next_request(0).expect("it is time");
    client.on_grant(MS, &LeaseGrant { number: request.number, ..LeaseGrant::default() });
    assert!(matches!(client.acquire(MS, "t", 0.5, None), Decision::Wait { .. }));
    let request = client.next_request(MS).expect("somebody waits");
    let loan = UnitGrant { tenant: "t".into(), units: 3, remaining: 5.0, arrival_rate: 1.0 };
    assert!(client.on_grant(
        2 * MS,
        &LeaseGrant { number: request.number, units: vec![loan], ..LeaseGrant::default() }
    ));
    assert_eq!(client.acquire(3 * MS, "t", 0.5, Some(MS)), Decision::Granted);
    // Awake from a freeze: the two others have ended, whatever the client thinks of the time between.
    assert!(!matches!(client.acquire(S, "t", 0.5, None), Decision::Granted));
    let request = client.next_request(S).expect("it is time");
    assert_eq!(request.units[0].returned, 2);
}

#[test]
fn units_that_arrive_too_late_are_returned() {
    let (all, limits) = (names(1), limits(10.0, 10.0));
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), &all);
    let mut client = QuotaClient::new(0);
    client.set_limits(0, &limits);
    assert!(matches!(client.acquire(S, "t", 1.0, None), Decision::Wait { .. }));
    let request = client.next_request(S).expect("a request waits");
    let grant = coordinator.grant(S, "g0", &request).expect("it is known");
    let granted = grant.units[0].units;
    assert!(granted > 0, "the bucket holds some");
    client.on_grant(S + quota::GRANT_LIFETIME, &grant);
    let next = client.next_request(S + quota::GRANT_LIFETIME + S).expect("it is time");
    assert_eq!(next.units[0].returned, granted);
}
