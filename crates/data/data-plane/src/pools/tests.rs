//! Assignment of pools when there are more services than pools, at a time or over the life of a gateway.

use super::*;

fn names(range: std::ops::Range<usize>) -> Vec<String> {
    range.map(|n| format!("service-{n}")).collect()
}

fn route_to(pools: &mut Pools, services: &[String]) -> Vec<PoolChange> {
    pools.set_routed(services.iter().map(String::as_str))
}

fn pool(pools: &Pools, service: &str) -> usize {
    pools.pool_for_request(service).0
}

/// No request reaches a backend of another service, whatever is assigned.
fn assert_no_service_shares_a_pool(pools: &Pools, services: &[String]) {
    for service in services {
        let pool = pool(pools, service);
        assert!(pool < POOL_COUNT);
        for other in services.iter().filter(|other| *other != service) {
            let is_reached = pools.pools_of_backend(other) & (1 << pool) != 0;
            assert!(!is_reached, "{service} would be sent to {other}");
        }
    }
}

#[test]
fn services_never_share_a_pool() {
    let mut pools = Pools::default();
    let services = names(0..200);
    let changes = route_to(&mut pools, &services);
    assert_eq!(changes.len(), POOL_COUNT - 1, "the first services have pools of their own");
    assert_no_service_shares_a_pool(&pools, &services);
    for service in &services[..POOL_COUNT - 1] {
        assert_eq!(pools.pools_of_backend(service), 1 << pool(&pools, service));
    }
    assert_eq!(pools.without_pool().count(), 200 - (POOL_COUNT - 1));
    assert_eq!(pool(&pools, &services[150]), UNROUTABLE_POOL);
    assert_eq!(pools.pools_of_backend(""), 0, "a backend without a service is in no pool");
    assert_eq!(pools.assignments.len(), POOL_COUNT - 1, "the number of services must be bounded");
}

/// Guards against services that are long gone and keep their pools, so that later ones get none.
#[test]
fn each_of_many_services_has_a_pool_while_it_is_routed_to() {
    let mut pools = Pools::default();
    let mut reassigned = 0;
    for n in 0..1000 {
        let services = names(n..n + 2);
        let changes = route_to(&mut pools, &services);
        reassigned += changes.iter().filter(|change| change.old_service.is_some()).count();
        assert_eq!(pools.without_pool().next(), None, "change {n}");
        assert_ne!(pool(&pools, &services[0]), UNROUTABLE_POOL);
        assert_no_service_shares_a_pool(&pools, &names(n.saturating_sub(40)..n + 2));
        for change in changes {
            assert_eq!(pools.pools_of_backend(&change.new_service), 1 << change.pool);
            let old_service = change.old_service.unwrap_or_default();
            assert_eq!(pools.pools_of_backend(&old_service), 0, "its backends leave the pool");
        }
    }
    assert_eq!(reassigned, 1001 - (POOL_COUNT - 1));
    assert_eq!(pools.assignments.len(), POOL_COUNT - 1, "the number of services must be bounded");
}

/// A request that has not ended may be sent again, and must not reach a backend of another service.
#[test]
fn a_pool_is_not_reassigned_while_a_request_uses_it() {
    let mut pools = Pools::default();
    let old = names(0..POOL_COUNT - 1);
    route_to(&mut pools, &old);
    let uses: Vec<_> = old.iter().map(|service| pools.pool_for_request(service)).collect();
    assert!(uses.iter().all(|(_, pool_use)| pool_use.is_some()));
    let new = names(100..102);
    assert_eq!(route_to(&mut pools, &new), Vec::new());
    assert_eq!(pools.without_pool().count(), 2);
    assert_eq!(pool(&pools, &new[0]), UNROUTABLE_POOL);
    assert_eq!(pools.assign_missing(), Vec::new());
    let mut uses = uses;
    let (freed_pool, _) = uses.remove(7);
    let changes = pools.assign_missing();
    let expected =
        PoolChange { pool: freed_pool, old_service: Some(old[7].clone()), new_service: new[0].clone() };
    assert_eq!(changes, [expected], "one request has ended, so one pool is free");
    drop(uses);
    assert_eq!(pools.assign_missing().len(), 1);
    assert_eq!(pools.without_pool().next(), None);
}

/// A service that comes back before its pool was needed has it still, so that nothing changes for its backends.
#[test]
fn a_service_keeps_its_pool_until_another_needs_it() {
    let mut pools = Pools::default();
    let services = names(0..3);
    route_to(&mut pools, &services);
    let pool_before = pool(&pools, &services[2]);
    assert_eq!(route_to(&mut pools, &services[..1]), Vec::new());
    assert_eq!(
        pools.pools_of_backend(&services[2]),
        1 << pool_before,
        "requests in flight may be sent again"
    );
    assert_eq!(route_to(&mut pools, &services), Vec::new());
    assert_eq!(pool(&pools, &services[2]), pool_before);
}
