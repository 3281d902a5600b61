//! More services than there are pools.

use super::*;

#[test]
fn services_never_share_a_pool() {
    let mut pools = Pools::default();
    let names: Vec<String> = (0..200).map(|n| format!("service-{n}")).collect();
    // Backends and requests are heard of in any order.
    let served: Vec<u32> = names.iter().rev().map(|name| pools.pools_of_backend(name)).collect();
    let mut reached = 0;
    for (n, asked) in names.iter().enumerate() {
        let asked = pools.pool_for_requests(asked);
        assert!(asked < POOL_COUNT);
        for (other, mask) in names.iter().rev().zip(&served) {
            let meets = mask & (1 << asked) != 0;
            assert!(!meets || *other == names[n], "{} would go to {other}", names[n]);
            reached += usize::from(meets);
        }
    }
    assert_eq!(reached, POOL_COUNT - 1, "those who came first have their own");
    assert_eq!(pools.pools_of_backend(""), 0, "who names no service serves none");
    assert_eq!(pools.0.len(), POOL_COUNT - 1, "and memory is bounded");
}
