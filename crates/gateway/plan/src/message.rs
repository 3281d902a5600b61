//! What forwarders and planners say to each other, in plain values.
//!
//! Counters run up and are never taken back, so that a message lost, doubled or late does no harm: whoever
//! hears the next one knows all that the last one said.

use interface::Name;

/// A forwarder's place among those that may exist, from 0.
pub type Seat = u16;

/// What an allowance is of, by its place in an [`Amounts`].
pub const QUOTA: usize = 0;
pub const HARD_LIMIT: usize = 1;
pub const SLOTS: usize = 2;

/// Units of the quota, units of the hard ceiling, attempts out at once.
pub type Amounts = [f64; 3];

/// A life of a planner: the process that began with nothing under this number. `epoch` orders the lives of one
/// planner; who has seen a later one takes nothing from an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Instance {
    pub nonce: u64,
    pub epoch: u64,
}

/// From a forwarder, once a tick.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub seat: Seat,
    /// The forwarder's own life.
    pub incarnation: u64,
    /// From 1, one more with each report of this life.
    pub number: u64,
    /// The latest epoch of this planner that the forwarder knows of.
    pub known_epoch: u64,
    /// The planner's life that this is meant for, 0 if it is not known; and the latest grant taken from it.
    pub nonce: u64,
    pub acknowledged_grant: u64,
    /// Whether the forwarder's own share is with this planner: it spends from leases alone.
    pub is_lent: bool,
    /// How often it has lent its share so far: a lease belongs to one loan, and nothing of it to the next.
    pub loan: u64,
    /// For how long yet, in nanoseconds, attempts may be out that rest on its share of slots from elsewhere.
    pub slots_free_in: u64,
    /// Attempts that it has out now, for placement.
    pub attempts_in_flight: f64,
    pub entries: Vec<Entry>,
}

/// What a forwarder says of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub customer: Name,
    /// The plan's place in the settings.
    pub plan: u16,
    /// The lease that the counters belong to; 0 for none yet.
    pub lease: u64,
    /// Spent and returned from the lease since it began. Slots are held and returned, never spent.
    pub spent: Amounts,
    pub returned: Amounts,
    /// What the customer asks here, in units a second.
    pub demand: f64,
    /// Attempts out now.
    pub in_use: f64,
}

/// From a planner, one for each report.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    pub from: Instance,
    pub seat: Seat,
    pub incarnation: u64,
    /// From 1, one more with each grant of this planner's life to this seat.
    pub number: u64,
    /// The report that it answers. Its leases live from when that was sent.
    pub report: u64,
    /// Whether the seat's share was with this planner already, from its life before: it may lend at once.
    pub is_already_lent: bool,
    /// The loan that the report spoke of.
    pub loan: u64,
    /// Placement: this forwarder's part of all work, 0 to 1; it keeps as much of each server's room.
    pub work_share: f64,
    pub leases: Vec<Lease>,
}

/// A lease of one customer's allowances.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    pub customer: Name,
    pub lease: u64,
    /// All that was granted since the lease began.
    pub granted: Amounts,
    /// Whether it lives anew from this grant's report on; else it ends when it would have ended anyway.
    pub is_renewed: bool,
    /// Whether the pool has no more to give: waiting for another grant is in vain.
    pub is_pool_empty: bool,
}
