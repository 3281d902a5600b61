//! Messages between forwarders and planners, as plain values.
//!
//! Counters are cumulative and never decrease, so lost, duplicated and delayed messages are harmless: each message
//! includes everything that the previous one carried.

use interface::Name;

/// Index of a forwarder among the seats of the installation, from 0.
pub type Seat = u16;

/// Kinds of limit: indices into [`Amounts`].
pub const QUOTA: usize = 0;
pub const HARD_LIMIT: usize = 1;
pub const SLOTS: usize = 2;

/// Units of the quota, units of the hard limit, attempts in flight at once.
pub type Amounts = [f64; 3];

/// Identity of one run of a planner process, which starts without state. `nonce` is random. `epoch` orders the runs of
/// one planner: a forwarder that knows one run rejects grants of earlier epochs, and of another run with the same epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Instance {
    pub nonce: u64,
    pub epoch: u64,
}

/// Report from a forwarder to a planner, once per tick.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub seat: Seat,
    /// Incarnation of the forwarder.
    pub incarnation: u64,
    /// Sequence number of the report within this incarnation, from 1.
    pub number: u64,
    /// Latest epoch of this planner known to the forwarder.
    pub known_epoch: u64,
    /// Nonce of the planner instance that the report is for, 0 if unknown; and the latest grant applied from it.
    pub nonce: u64,
    pub acknowledged_grant: u64,
    /// Whether the forwarder's own share is lent to this planner, so that it spends from leases only.
    pub is_lent: bool,
    /// Number of times the forwarder has lent its share. A lease belongs to one loan and never carries over to the
    /// next.
    pub loan: u64,
    /// Time in nanoseconds for which attempts started elsewhere may still occupy this seat's share of slots.
    pub slots_free_in: u64,
    /// Attempts in flight at the forwarder, for placement.
    pub attempts_in_flight: f64,
    pub entries: Vec<Entry>,
}

/// State of one customer at a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub customer: Name,
    /// Index of the plan in the settings.
    pub plan: u16,
    /// Lease that the counters belong to, 0 for none yet.
    pub lease: u64,
    /// Amounts spent and returned since the lease began. Slots are held and returned, never spent.
    pub spent: Amounts,
    pub returned: Amounts,
    /// Demand of the customer at this forwarder, in units per second.
    pub demand: f64,
    /// Attempts in flight.
    pub in_use: f64,
}

/// Grant from a planner, in response to one report.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    pub from: Instance,
    pub seat: Seat,
    pub incarnation: u64,
    /// Sequence number of the grant of this planner instance to this seat, from 1.
    pub number: u64,
    /// Number of the report that the grant answers. Its leases run from when that report was sent.
    pub report: u64,
    /// Whether this planner already held a loan of the seat's share, made by the forwarder's earlier incarnation. The
    /// forwarder may then lend at once.
    pub is_already_lent: bool,
    /// Loan number of the report.
    pub loan: u64,
    /// Placement: this forwarder's fraction of all work, 0 to 1. It uses the same fraction of each server's capacity.
    pub work_share: f64,
    pub leases: Vec<Lease>,
}

/// Lease of one customer's allowances.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    pub customer: Name,
    pub lease: u64,
    /// Cumulative amounts granted since the lease began.
    pub granted: Amounts,
    /// Whether the lease's lifetime restarts at this grant's report. If not, its expiry is unchanged.
    pub is_renewed: bool,
    /// Whether the pool is exhausted, so that waiting for another grant is useless.
    pub is_pool_empty: bool,
}
