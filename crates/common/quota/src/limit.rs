//! Rate limit of a tenant.

use crate::time::Time;

/// A tenant's rate limit over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second; 0 means unlimited.
    pub rate: f64,
    /// Capacity of the token bucket, in units.
    pub burst: f64,
    /// Pace that applies once the tenant's trial has expired; `None` if the tenant has no trial.
    pub after_trial: Option<TrialPace>,
}

impl Limit {
    /// Creates a limit for a tenant without a trial.
    pub fn new(rate: f64, burst: f64) -> Self {
        Limit { rate, burst, after_trial: None }
    }
}

/// Pace of a tenant whose trial has expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialPace {
    /// Turns per second over all gateways, greater than 0.
    pub rate: f64,
    /// Longest time that a request waits for its turn.
    pub max_wait: Time,
}
