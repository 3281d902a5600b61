//! Quotas as one store of the whole for each customer, which no gateway can see: the yardstick.

use interface::{Plan, Time};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub struct Quotas {
    /// What is left, in units, and as of when.
    remaining: BTreeMap<usize, (f64, Time)>,
}

impl Quotas {
    /// What is left of a customer's quota now; full at first.
    pub fn remaining(&mut self, customer: usize, plan: &Plan, now: Time) -> &mut f64 {
        let (level, updated_at) = self.remaining.entry(customer).or_insert((plan.depth, now));
        *level = (*level + plan.rate * now.saturating_sub(*updated_at) as f64 / 1e9).min(plan.depth);
        *updated_at = now.max(*updated_at);
        level
    }

    /// Takes units if they are there: what goes beyond a quota takes nothing.
    pub fn take(&mut self, customer: usize, plan: &Plan, now: Time, units: f64) -> bool {
        let remaining = self.remaining(customer, plan, now);
        let available = *remaining >= units;
        *remaining -= if available { units } else { 0.0 };
        available
    }
}

#[cfg(test)]
mod tests;
