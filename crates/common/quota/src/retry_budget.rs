//! The retry budget. Each gateway earns retries by its own requests, and holds few, so that all together stay within the
//! budget without coordination.

use std::collections::BTreeMap;

/// The part of the allowed ratio that is used: windows slide, and what is earned in one may be spent in the next.
const USED_RATIO: f64 = 0.5;
/// The most retries that one gateway holds for a service.
const MAX_BALANCE: f64 = 2.0;

/// Retries that may be made, by service. Every balance is 0 at the start: a gateway that is restarted again and again earns
/// no more than one that runs.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balances: BTreeMap<usize, f64>,
}

impl RetryBudget {
    /// `ratio`: retries that are allowed for each request (`retryBudgetRatio`).
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio: ratio.max(0.0), balances: BTreeMap::new() }
    }

    /// A request for this service was sent for the first time.
    pub fn deposit(&mut self, service: usize) {
        let balance = self.balances.entry(service).or_default();
        *balance = (*balance + USED_RATIO * self.ratio).min(MAX_BALANCE);
    }

    /// Takes a retry, if there is one.
    pub fn withdraw(&mut self, service: usize) -> bool {
        let balance = self.balances.entry(service).or_default();
        let is_available = *balance >= 1.0;
        if is_available {
            *balance -= 1.0;
        }
        is_available
    }
}
