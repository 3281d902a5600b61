//! A tenant's limit.

use crate::time::Time;

/// A tenant's limit over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second; 0: no limit.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// The tenant is on trial: what it is throttled to once that has expired.
    pub after_trial: Option<TrialPace>,
}

impl Limit {
    /// A limit without a trial.
    pub fn new(rate: f64, burst: f64) -> Self {
        Limit { rate, burst, after_trial: None }
    }
}

/// What a tenant has whose trial has expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialPace {
    /// Turns a second over all gateways, more than 0.
    pub rate: f64,
    /// How long a request waits for its turn at most.
    pub max_wait: Time,
}
