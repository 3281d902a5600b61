//! A tenant's limit over several gateways, with partitions and a change of coordinator.

use quota::{
    Decision, LeaseGrant, Limit, PreviousCoordinator, QuotaClient, QuotaCoordinator, Time, UnitGrant,
};
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const SECOND: Time = 1_000_000_000;

fn limits(rate: f64, burst: f64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("t".to_string(), Limit::new(rate, burst))])
}

fn names(n: usize) -> BTreeSet<String> {
    (0..n).map(|gateway| format!("g{gateway}")).collect()
}

/// Simulates a tenant's requests on several clients, two of which are isolated from the coordinator for a while, with
/// one change of coordinator. Returns the number of requests admitted in each step of 10 ms, and the total number
/// refused.
fn simulate(
    rate: f64,
    request_rate: f64,
    isolated_steps: std::ops::Range<u64>,
    failover_step: u64,
) -> (Vec<u32>, u32) {
    let (gateway_names, limits) = (names(6), limits(rate, rate));
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), &gateway_names);
    let mut clients: Vec<QuotaClient> = (0..6).map(|_| QuotaClient::new(0)).collect();
    clients.iter_mut().for_each(|client| {
        client.set_limits(0, &limits);
        client.set_gateway_count(6);
    });
    let (mut passed, mut refused, mut random_state) = (Vec::new(), 0, 12345u64);
    let mut random = move || {
        random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random_state >> 33) as f64 / (1u64 << 31) as f64
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
                &gateway_names,
            );
        }
        let mut passed_now = 0;
        for (gateway, client) in clients.iter_mut().enumerate() {
            let has_contact = !(isolated_steps.contains(&step) && gateway < 2);
            let mut attempts: Vec<Option<Time>> = waiting_since[gateway].drain(..).map(Some).collect();
            if random() < request_rate * 0.01 / 6.0 {
                attempts.push(None);
            }
            for first_attempt_at in attempts {
                match client.acquire(now, "t", random(), first_attempt_at) {
                    Decision::Granted => passed_now += 1,
                    Decision::Refused { .. } => refused += 1,
                    Decision::Wait { .. } => waiting_since[gateway].push(first_attempt_at.unwrap_or(now)),
                    Decision::Throttled { .. } => unreachable!("the tenant has no trial"),
                }
            }
            if let Some(request) = client.next_request(now).filter(|_| has_contact) {
                let grant =
                    coordinator.grant(now, &format!("g{gateway}"), &request).expect("the gateway is known");
                client.on_grant(now, &grant);
            }
        }
        passed.push(passed_now);
    }
    (passed, refused)
}

fn max_in_five_seconds(passed: &[u32]) -> u32 {
    passed.windows(500).map(|window| window.iter().sum()).max().unwrap_or(0)
}

#[test]
fn demand_beyond_the_limit_never_passes_despite_partitions_and_failover() {
    for rate in [10.0, 60.0] {
        let (passed, refused) = simulate(rate, 5.0 * rate, 500..1500, 1200);
        let max_admitted = f64::from(max_in_five_seconds(&passed));
        assert!(max_admitted <= (5.0 * rate + rate) * 1.1 + 20.0, "{max_admitted} at {rate} a second");
        assert!(refused > 0);
        // The limit is also fully used.
        let admitted: u32 = passed[1500..].iter().sum();
        assert!(f64::from(admitted) >= 0.9 * 15.0 * rate, "{admitted} in 15 s at {rate} a second");
    }
}

#[test]
fn nearly_all_requests_pass_below_the_limit() {
    let (passed, refused) = simulate(30.0, 30.0 / 1.6, 0..0, 9999);
    let passed: u32 = passed.iter().sum();
    assert!(f64::from(refused) <= 0.01 * f64::from(passed), "{refused} refused, {passed} admitted");
}

#[test]
fn expired_units_are_returned() {
    let mut client = QuotaClient::new(0);
    client.set_limits(0, &limits(10.0, 10.0));
    assert!(!matches!(client.acquire(0, "t", 0.5, None), Decision::Granted), "no unit has been granted yet");
    let request = client.next_request(0).expect("a request is due");
    client.on_grant(MS, &LeaseGrant { number: request.number, ..LeaseGrant::default() });
    assert!(matches!(client.acquire(MS, "t", 0.5, None), Decision::Wait { .. }));
    let request = client.next_request(MS).expect("a request waits");
    let unit_grant = UnitGrant { tenant: "t".into(), units: 3, remaining: 5.0, arrival_rate: 1.0 };
    assert!(client.on_grant(
        2 * MS,
        &LeaseGrant { number: request.number, units: vec![unit_grant], ..LeaseGrant::default() }
    ));
    assert_eq!(client.acquire(3 * MS, "t", 0.5, Some(MS)), Decision::Granted);
    // After a freeze the two other units have expired, however much time the client believes has passed.
    assert!(!matches!(client.acquire(SECOND, "t", 0.5, None), Decision::Granted));
    let request = client.next_request(SECOND).expect("a request is due");
    assert_eq!(request.units[0].returned, 2);
}

#[test]
fn units_that_arrive_too_late_are_returned() {
    let (gateway_names, limits) = (names(1), limits(10.0, 10.0));
    let mut coordinator =
        QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), &gateway_names);
    let mut client = QuotaClient::new(0);
    client.set_limits(0, &limits);
    assert!(matches!(client.acquire(SECOND, "t", 1.0, None), Decision::Wait { .. }));
    let request = client.next_request(SECOND).expect("a request waits");
    let grant = coordinator.grant(SECOND, "g0", &request).expect("the gateway is known");
    let granted = grant.units[0].units;
    assert!(granted > 0, "the bucket holds units");
    client.on_grant(SECOND + quota::GRANT_LIFETIME, &grant);
    let next = client.next_request(SECOND + quota::GRANT_LIFETIME + SECOND).expect("a request is due");
    assert_eq!(next.units[0].returned, granted);
}
