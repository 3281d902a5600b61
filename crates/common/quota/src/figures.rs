//! What the coordinator and a gateway's client did lately, for the log: enough to tell why a request within its limit was
//! refused.

use crate::time::{Time, MS};
use std::fmt;

/// What a coordinator was asked for and gave since its figures were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Requests of gateways that were answered.
    pub requests: u64,
    /// Requests of gateways that it does not know, or that are being removed.
    pub unanswered: u64,
    /// Units that were asked for.
    pub units_requested: u64,
    /// Units that were granted.
    pub units_granted: u64,
    /// Fallback units that gateways said they had used.
    pub fallback_units_charged: u64,
}

/// How a coordinator stands now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoordinatorStatus {
    /// Gateways that are known.
    pub gateways: usize,
    /// Of these, those whose fallback share is kept back.
    pub silent: usize,
    /// Of these, those that may go on at the rate of their last grants.
    pub recently_silent: usize,
    /// The part of all rates that is kept back, fallback shares and continuations together.
    pub kept_back: f64,
    /// Buckets.
    pub buckets: usize,
    /// Buckets without a whole unit.
    pub empty_buckets: usize,
}

impl fmt::Display for GrantCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GrantCounts { requests, unanswered, units_requested, units_granted, fallback_units_charged } =
            self;
        write!(
            f,
            "{requests} requests answered, {unanswered} not; units: {units_granted} of {units_requested} granted, \
             {fallback_units_charged} fallback units charged"
        )
    }
}

impl fmt::Display for CoordinatorStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CoordinatorStatus { gateways, silent, recently_silent, kept_back, buckets, empty_buckets } = self;
        write!(
            f,
            "{silent} of {gateways} gateways silent, {recently_silent} of them lately; {:.0}% of the rates kept back; \
             {empty_buckets} of {buckets} buckets empty",
            kept_back * 100.0
        )
    }
}

/// What became of a gateway's requests, and how the coordinator answered it, since its figures were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests that had a granted unit.
    pub granted: u64,
    /// Requests that had a unit of the fallback share.
    pub fallback: u64,
    /// Requests refused by the refusal probability.
    pub refused_by_probability: u64,
    /// Requests for which no unit came in time, though the coordinator answered.
    pub refused_without_unit: u64,
    /// Requests for which no unit came in time while the gateway was isolated.
    pub refused_isolated: u64,
    /// Requests to the coordinator.
    pub lease_requests: u64,
    /// Its answers.
    pub lease_grants: u64,
    /// Answers that came so late that the gateway counted as isolated by then.
    pub late_grants: u64,
    /// The longest time to an answer.
    pub slowest_grant: Time,
}

impl AdmissionCounts {
    /// Requests that were decided on.
    pub fn decisions(&self) -> u64 {
        self.granted + self.fallback + self.refusals()
    }

    fn refusals(&self) -> u64 {
        self.refused_by_probability + self.refused_without_unit + self.refused_isolated
    }
}

impl fmt::Display for AdmissionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} by granted units, {} by the fallback share; refused: {} by probability, {} for want of a unit, {} while \
             isolated; lease requests: {} of {} answered, {} late, the slowest after {} ms",
            self.granted,
            self.fallback,
            self.refused_by_probability,
            self.refused_without_unit,
            self.refused_isolated,
            self.lease_grants,
            self.lease_requests,
            self.late_grants,
            self.slowest_grant / MS
        )
    }
}
