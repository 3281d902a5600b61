//! The planner: it pools the shares of the forwarders that lend to it and grants leases from the pool.
//!
//! Every forwarder that may exist owns an even share of each customer's allowances: a rate, and a store that
//! the rate fills. It spends from its share alone, or lends it to one planner at a time and spends from that
//! planner's leases. A loan and a lease each end by themselves, at the lender's later than at the borrower's,
//! by monotonic clocks whose rates differ by less than a stated bound. So whatever is lost, late, doubled,
//! partitioned, paused or restarted, each share is in one place at any time, and all spending together stays
//! under what one store of the whole would allow (`docs/design/planners.md` has the argument).
//!
//! No I/O: a report and the time go in, a grant comes out.
#![forbid(unsafe_code)]

/// Whether a named defect is planted. Constantly false, and gone, in what is shipped.
macro_rules! planted {
    ($name:literal) => {{
        #[cfg(feature = "defects")]
        let on = $crate::defects::active($name);
        #[cfg(not(feature = "defects"))]
        let on = false;
        on
    }};
}

#[cfg(feature = "defects")]
pub mod defects;
pub mod message;
mod planner;
mod pool;
pub mod wire;

pub use planner::{CustomerState, Planner, PlannerState, Refused};

use interface::Time;

/// What a plan allows one customer over all forwarders. A rate, depth or number of 0 means no such limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// Units a second, and the most units that the store holds.
    pub quota_rate: f64,
    pub quota_depth: f64,
    pub hard_limit_rate: f64,
    pub hard_limit_depth: f64,
    /// Attempts out at once.
    pub slots: f64,
}

impl Allowance {
    /// The rate and the depth of one kind.
    pub fn of(&self, kind: usize) -> (f64, f64) {
        match kind {
            message::QUOTA => (self.quota_rate, self.quota_depth),
            message::HARD_LIMIT => (self.hard_limit_rate, self.hard_limit_depth),
            _ => (0.0, self.slots),
        }
    }

    /// Whether there is a limit of this kind.
    pub fn limits(&self, kind: usize) -> bool {
        let (rate, depth) = self.of(kind);
        if kind == message::SLOTS {
            depth > 0.0
        } else {
            rate > 0.0
        }
    }
}

/// Figures that all forwarders and planners of an installation share. Times in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// How many forwarders may exist, 1 to 4096. Each owns an even share.
    pub seats: u16,
    /// Between two reports of a forwarder, 20 to 1000 ms.
    pub tick: Time,
    /// A lease's life at the planner, 3 ticks or more.
    pub lease_ttl: Time,
    /// A loan's life at the planner, 2 leases or more.
    pub loan_ttl: Time,
    /// By how much the rates of two monotonic clocks may differ, as a part: 0.01 is 1%.
    pub max_clock_drift: f64,
    /// The longest that an attempt may be out.
    pub max_attempt: Time,
    /// The most units of one request.
    pub max_request_units: f64,
    /// By plan, in the settings' order.
    pub plans: Vec<Allowance>,
}

impl LeaseConfig {
    /// Sensible figures for plans.
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

    /// A lease's life at the forwarder, from when it sent the report: over before the planner's is.
    pub fn lease_duration_at_forwarder(&self) -> Time {
        (self.lease_ttl as f64 * (1.0 - 2.0 * self.max_clock_drift)) as Time
    }

    /// A loan's life at the forwarder, from when it took the latest grant: over after the planner's is.
    pub fn loan_duration_at_forwarder(&self) -> Time {
        (self.loan_ttl as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Time
    }

    /// After so long, by any clock here, an attempt that was out elsewhere has surely ended.
    pub fn max_attempt_duration(&self) -> Time {
        (self.max_attempt as f64 * (1.0 + 2.0 * self.max_clock_drift)) as Time
    }

    /// A seat's own share of an allowance: rate and depth. Slots are whole, so that some seats have one more.
    pub fn seat_share(&self, plan: usize, kind: usize, seat: u16) -> (f64, f64) {
        let (rate, depth) = self.plans.get(plan).copied().unwrap_or_default().of(kind);
        let n = f64::from(self.seats.max(1));
        if kind == message::SLOTS {
            let upto = |s: u16| (depth * f64::from(s) / n).floor();
            (0.0, upto(seat + 1) - upto(seat))
        } else {
            (rate / n, depth / n)
        }
    }

    /// What a lease holds beyond its customer's demand, so that the next request need not wait: the largest
    /// request, but so little that all seats together hold half the store at the most while nothing is asked.
    pub fn margin(&self, plan: usize, kind: usize) -> f64 {
        self.max_request_units.min(self.seat_share(plan, kind, 0).1 / 2.0)
    }

    /// # Errors
    /// What is out of range, in words.
    pub fn validate(&self) -> Result<(), String> {
        let wrong = |what: &str| Err(what.to_string());
        match () {
            () if !(1..=4096).contains(&self.seats) => wrong("seats: 1 to 4096 is wanted"),
            () if self.tick == 0 || self.lease_ttl < 3 * self.tick => {
                wrong("a lease lives for 3 ticks or more")
            }
            () if self.loan_ttl < 2 * self.lease_ttl => wrong("a loan lives for 2 leases or more"),
            () if !(0.0..=0.2).contains(&self.max_clock_drift) => wrong("drift: 0 to 0.2 is wanted"),
            () => Ok(()),
        }
    }
}
