use super::*;

/// A gateway's lease traffic does not grow with the fleet.
#[test]
fn rights_cost_a_gateway_the_same_in_any_fleet() {
    let (few, many) = (quota_costs(&gateways(12), 40).0, quota_costs(&gateways(120), 40).0);
    assert!(few > 1000.0 && many < 1.2 * few, "{few} and {many} B/s");
}
