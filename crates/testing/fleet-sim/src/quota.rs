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
mod tests;
