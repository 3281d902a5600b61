//! Planner of quota leases: pools the shares of the forwarders that lend to it and grants leases from the pool.
//!
//! Each forwarder seat owns an equal share of every customer's allowances: a token bucket with its refill rate.
//! A forwarder either spends from its own share alone, or lends the share to one planner at a time and spends
//! from that planner's leases. Loans and leases expire without a message, later at the lender than at the
//! borrower, by monotonic clocks whose rates differ by less than a configured bound. Each share is therefore in
//! one place at any time, even if messages are lost, delayed or duplicated, the network is partitioned, or
//! processes pause or restart, and total spending stays within what a single token bucket of the whole
//! allowance would permit (`docs/design/planners.md` has the argument).
//!
//! No I/O: the inputs are reports and the time, the outputs are grants.
#![forbid(unsafe_code)]

/// Whether a named defect is planted. A constant `false`, removed by the compiler, without the feature `defects`.
macro_rules! planted {
    ($name:literal) => {{
        #[cfg(feature = "defects")]
        let is_planted = $crate::defects::active($name);
        #[cfg(not(feature = "defects"))]
        let is_planted = false;
        is_planted
    }};
}

#[cfg(feature = "defects")]
pub mod defects;
pub mod message;
mod planner;
mod pool;
pub mod wire;

pub use planner::{CustomerState, Planner, PlannerState, ReportError};

use interface::Time;

/// Limits of one customer of a plan, summed over all forwarders. A rate, depth or number of 0 means no such limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// Refill rate in units per second, and capacity of the token bucket in units.
    pub quota_rate: f64,
    pub quota_depth: f64,
    pub hard_limit_rate: f64,
    pub hard_limit_depth: f64,
    /// Maximum number of attempts in flight at once.
    pub slots: f64,
}

impl Allowance {
    /// Returns the rate and the depth of one kind. Slots have a rate of 0.
    pub fn of(&self, kind: usize) -> (f64, f64) {
        match kind {
            message::QUOTA => (self.quota_rate, self.quota_depth),
            message::HARD_LIMIT => (self.hard_limit_rate, self.hard_limit_depth),
            _ => (0.0, self.slots),
        }
    }

    /// Whether this kind is limited.
    pub fn limits(&self, kind: usize) -> bool {
        let (rate, depth) = self.of(kind);
        if kind == message::SLOTS {
            depth > 0.0
        } else {
            rate > 0.0
        }
    }
}

/// Lease parameters, the same on all forwarders and planners of an installation. Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Maximum number of forwarders, 1 to 4096. Each owns an equal share.
    pub seats: u16,
    /// Interval between two reports of a forwarder, 20 to 1000 ms.
    pub tick: Time,
    /// Lifetime of a lease at the planner, at least 3 ticks.
    pub lease_ttl: Time,
    /// Lifetime of a loan at the planner, at least 2 leases.
    pub loan_ttl: Time,
    /// Maximum relative difference between the rates of two monotonic clocks: 0.01 is 1%.
    pub max_clock_drift: f64,
    /// Maximum duration of an attempt.
    pub max_attempt: Time,
    /// Maximum number of units of one request.
    pub max_request_units: f64,
    /// Allowances by plan, in the order of the settings.
    pub plans: Vec<Allowance>,
}

impl LeaseConfig {
    /// Returns the defaults for these seats and plans.
    pub fn new(seats: u16, plans: Vec<Allowance>) -> Self {
        const MS: Time = 1_000_000;
        let (tick, lease_ttl, loan_ttl, max_attempt) = (50 * MS, 500 * MS, 1500 * MS, 3000 * MS);
        LeaseConfig {
            seats,
            tick,
            lease_ttl,
            loan_ttl,
            max_clock_drift: 0.01,
            max_attempt,
            max_request_units: 8.0,
            plans,
        }
    }

    /// Returns the lifetime of a lease at the forwarder, counted from when it sent the report. It ends before the
    /// planner's.
    pub fn lease_duration_at_forwarder(&self) -> Time {
        (self.lease_ttl as f64 * (1.0 - 2.0 * self.max_clock_drift)) as Time
    }

    /// Returns the lifetime of a loan at the forwarder, counted from when it applied the latest grant. It ends after
    /// the planner's.
    pub fn loan_duration_at_forwarder(&self) -> Time {
        (self.loan_ttl as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Time
    }

    /// Returns the time, by any local clock, after which an attempt that another process had in flight has ended.
    pub fn max_attempt_duration(&self) -> Time {
        (self.max_attempt as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Time
    }

    /// Returns a seat's own share of an allowance: rate and depth. Slots are whole numbers, so some seats have one
    /// more than others.
    pub fn seat_share(&self, plan: usize, kind: usize, seat: u16) -> (f64, f64) {
        let (rate, depth) = self.plans.get(plan).copied().unwrap_or_default().of(kind);
        let seats = f64::from(self.seats.max(1));
        if kind == message::SLOTS {
            let slots_before = |s: u16| (depth * f64::from(s) / seats).floor();
            (0.0, slots_before(seat + 1) - slots_before(seat))
        } else {
            (rate / seats, depth / seats)
        }
    }

    /// Returns the units that a lease holds beyond its customer's demand, so that the next request need not wait: the
    /// largest request, bounded so that all seats together hold at most half the bucket while there is no demand.
    pub fn headroom(&self, plan: usize, kind: usize) -> f64 {
        self.max_request_units.min(self.seat_share(plan, kind, 0).1 / 2.0)
    }

    /// Checks the ranges of the parameters.
    ///
    /// # Errors
    /// A message that names the parameter out of range.
    pub fn validate(&self) -> Result<(), String> {
        let error = |message: &str| Err(message.to_string());
        match () {
            () if !(1..=4096).contains(&self.seats) => error("seats must be 1 to 4096"),
            () if self.tick == 0 || self.lease_ttl < 3 * self.tick => {
                error("a lease must last at least 3 ticks")
            }
            () if self.loan_ttl < 2 * self.lease_ttl => error("a loan must last at least 2 leases"),
            () if !(0.0..=0.2).contains(&self.max_clock_drift) => error("drift must be 0 to 0.2"),
            () => Ok(()),
        }
    }
}
