//! Counters of the coordinator and of a gateway's client. They are logged to explain why a request within its limit was
//! refused.

use crate::time::{Time, MS};
use std::fmt;

/// Lease requests and grants of a coordinator since its counters were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Lease requests answered.
    pub requests: u64,
    /// Lease requests left unanswered because the gateway is unknown or pending removal.
    pub unanswered: u64,
    /// Units requested.
    pub units_requested: u64,
    /// Units granted.
    pub units_granted: u64,
    /// Fallback units that gateways reported as used.
    pub fallback_units_charged: u64,
}

/// Current state of a coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoordinatorStatus {
    /// Known gateways.
    pub gateways: usize,
    /// Known gateways whose fallback share is reserved.
    pub silent: usize,
    /// Silent gateways that may continue at [`crate::CONTINUATION_RATIO`] of their grant rates.
    pub recently_silent: usize,
    /// Fraction of the total rate that is reserved, for fallback shares and continuations together.
    pub reserved_share: f64,
    /// Buckets, one per limited tenant.
    pub buckets: usize,
    /// Buckets with less than one unit.
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
        let CoordinatorStatus { gateways, silent, recently_silent, reserved_share, buckets, empty_buckets } =
            self;
        write!(
            f,
            "{silent} of {gateways} gateways silent, {recently_silent} of them lately; {:.0}% of the rates kept back; \
             {empty_buckets} of {buckets} buckets empty",
            reserved_share * 100.0
        )
    }
}

/// Admission decisions of a gateway, and its exchange with the coordinator, since its counters were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests admitted by a granted unit.
    pub granted: u64,
    /// Requests admitted by a unit of the fallback share.
    pub fallback: u64,
    /// Requests refused by the refusal probability.
    pub refused_by_probability: u64,
    /// Requests refused because no unit arrived in time, while the coordinator was answering.
    pub refused_without_unit: u64,
    /// Requests refused because no unit arrived in time, while the gateway was isolated.
    pub refused_isolated: u64,
    /// Requests sent to the coordinator.
    pub lease_requests: u64,
    /// Answers received from the coordinator.
    pub lease_grants: u64,
    /// Answers that took so long that the gateway counted as isolated in the meantime.
    pub late_grants: u64,
    /// Longest round trip to the coordinator.
    pub slowest_grant: Time,
}

impl AdmissionCounts {
    /// Returns the number of requests admitted or refused.
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
