//! Assignment of pools when there are more services than pools.

use super::*;

#[test]
fn services_never_share_a_pool() {
    let mut pools = Pools::default();
    let names: Vec<String> = (0..200).map(|n| format!("service-{n}")).collect();
    // Backends and requests of a service may appear in any order.
    let backend_pools: Vec<u32> = names.iter().rev().map(|name| pools.pools_of_backend(name)).collect();
    let mut reached_count = 0;
    for (n, service) in names.iter().enumerate() {
        let pool = pools.pool_for_requests(service);
        assert!(pool < POOL_COUNT);
        for (other, mask) in names.iter().rev().zip(&backend_pools) {
            let is_reached = mask & (1 << pool) != 0;
            assert!(!is_reached || *other == names[n], "{} would be sent to {other}", names[n]);
            reached_count += usize::from(is_reached);
        }
    }
    assert_eq!(reached_count, POOL_COUNT - 1, "the first services have pools of their own");
    assert_eq!(pools.pools_of_backend(""), 0, "a backend without a service is in no pool");
    assert_eq!(pools.0.len(), POOL_COUNT - 1, "the number of services must be bounded");
}
