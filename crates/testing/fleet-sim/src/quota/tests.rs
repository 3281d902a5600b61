use super::*;

#[test]
fn a_store_fills_at_its_rate_to_its_depth_and_gives_whole_requests_only() {
    let (mut q, plan) = (Quotas::default(), Plan::new("p", 2.0, 4.0));
    assert!(q.take(1, &plan, 0, 4.0) && !q.take(1, &plan, 0, 0.5));
    assert!(!q.take(1, &plan, 499_000_000, 1.0) && q.take(1, &plan, 500_000_000, 1.0));
    assert!((*q.remaining(1, &plan, 60_000_000_000) - 4.0).abs() < 1e-9);
    assert!((*q.remaining(2, &plan, 7) - 4.0).abs() < 1e-9, "another customer's is its own");
}
