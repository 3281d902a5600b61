//! Reference accounting of quotas: one token bucket per customer for the whole fleet. No gateway has this
//! view.

use interface::{Plan, Time};
use std::collections::BTreeMap;

/// Token buckets by customer.
#[derive(Debug, Default)]
pub struct Quotas {
    /// Remaining units per customer, and the time they were computed at.
    remaining: BTreeMap<usize, (f64, Time)>,
}

impl Quotas {
    /// Returns the customer's remaining quota at `now`. The bucket starts full.
    pub fn remaining(&mut self, customer: usize, plan: &Plan, now: Time) -> &mut f64 {
        let (level, updated_at) = self.remaining.entry(customer).or_insert((plan.depth, now));
        *level = (*level + plan.rate * now.saturating_sub(*updated_at) as f64 / 1e9).min(plan.depth);
        *updated_at = now.max(*updated_at);
        level
    }

    /// Takes the units if they are available. A request beyond the quota takes nothing.
    pub fn take(&mut self, customer: usize, plan: &Plan, now: Time, units: f64) -> bool {
        let remaining = self.remaining(customer, plan, now);
        let available = *remaining >= units;
        *remaining -= if available { units } else { 0.0 };
        available
    }
}

#[cfg(test)]
mod tests;
