//! Quotas as one store of the whole for each customer, which no gateway can see: the yardstick.

use interface::{Plan, Time};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub struct Quotas {
    /// What is left, in units, and as of when.
    left: BTreeMap<usize, (f64, Time)>,
}

impl Quotas {
    /// What is left of a customer's quota now; full at first.
    pub fn left(&mut self, customer: usize, plan: &Plan, now: Time) -> &mut f64 {
        let (level, at) = self.left.entry(customer).or_insert((plan.depth, now));
        *level = (*level + plan.rate * now.saturating_sub(*at) as f64 / 1e9).min(plan.depth);
        *at = now.max(*at);
        level
    }

    /// Takes units if they are there: what goes beyond a quota takes nothing.
    pub fn take(&mut self, customer: usize, plan: &Plan, now: Time, units: f64) -> bool {
        let left = self.left(customer, plan, now);
        let there = *left >= units;
        *left -= if there { units } else { 0.0 };
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_fills_at_its_rate_to_its_depth_and_gives_whole_requests_only() {
        let (mut q, plan) = (Quotas::default(), Plan::new("p", 2.0, 4.0));
        assert!(q.take(1, &plan, 0, 4.0) && !q.take(1, &plan, 0, 0.5));
        assert!(!q.take(1, &plan, 499_000_000, 1.0) && q.take(1, &plan, 500_000_000, 1.0));
        assert!((*q.left(1, &plan, 60_000_000_000) - 4.0).abs() < 1e-9);
        assert!((*q.left(2, &plan, 7) - 4.0).abs() < 1e-9, "another customer's is its own");
    }
}
