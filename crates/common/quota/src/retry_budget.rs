//! Retry budget. Each gateway earns retries by its own requests and holds only a few, so that all gateways together
//! stay within the budget without coordination.

use std::collections::BTreeMap;

/// Fraction of the allowed ratio that is earned. Less than 1 because windows slide: retries earned in one window may be
/// spent in the next.
const RATIO_SAFETY_FACTOR: f64 = 0.5;
/// Maximum number of retries that one gateway holds for a service.
const MAX_BALANCE: f64 = 2.0;

/// Available retries per service. Every balance starts at 0, so that a gateway that restarts repeatedly earns no more
/// than one that keeps running.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balances: BTreeMap<usize, f64>,
}

impl RetryBudget {
    /// Creates an empty budget. `ratio` is the number of retries allowed per request (`retryBudgetRatio`).
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio: ratio.max(0.0), balances: BTreeMap::new() }
    }

    /// Records the first attempt of a request to a service.
    pub fn deposit(&mut self, service: usize) {
        let balance = self.balances.entry(service).or_default();
        *balance = (*balance + RATIO_SAFETY_FACTOR * self.ratio).min(MAX_BALANCE);
    }

    /// Takes all retries of a service: its number belongs to another service from now on.
    pub fn reset(&mut self, service: usize) {
        self.balances.remove(&service);
    }

    /// Takes a retry if one is available, and returns whether it did.
    pub fn withdraw(&mut self, service: usize) -> bool {
        let balance = self.balances.entry(service).or_default();
        let is_available = *balance >= 1.0;
        if is_available {
            *balance -= 1.0;
        }
        is_available
    }
}
