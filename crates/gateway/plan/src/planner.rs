//! The planner: seats, their loans, and the pools of customers.

use crate::message::{Grant, Instance, Lease, Report, Seat, HARD_LIMIT, QUOTA, SLOTS};
use crate::pool::{LeaseHolder, Pool, Shares};
use crate::LeaseConfig;
use interface::{Name, Time};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Number of grants per seat whose send times are remembered.
const MAX_REMEMBERED_GRANTS: usize = 64;
/// Interval at which full pools are removed.
const SWEEP_INTERVAL: Time = 1_000_000_000;

/// Why a report is rejected. A rejected report gets no grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// The seat number is out of range.
    UnknownSeat(Seat),
    /// The report is not newer than the last one applied.
    OutdatedReport { seat: Seat, number: u64 },
    /// A value is negative or not finite, or a plan is unknown.
    InvalidValues(Seat),
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::UnknownSeat(seat) => write!(f, "seat {seat}: unknown seat"),
            ReportError::OutdatedReport { seat, number } => {
                write!(f, "seat {seat}: report {number} is outdated")
            }
            ReportError::InvalidValues(seat) => write!(f, "seat {seat}: invalid values in the report"),
        }
    }
}

impl std::error::Error for ReportError {}

#[derive(Clone, Debug, Default)]
struct SeatState {
    incarnation: u64,
    /// Number of the latest report applied, and when it arrived.
    last_report: u64,
    last_heard_at: Time,
    /// Number of the latest grant, and the send times of the last ones.
    last_grant: u64,
    sent_grants: VecDeque<(u64, Time)>,
    /// Start and end of the time during which the forwarder certainly does not spend its own share.
    loan: Option<(Time, Time)>,
    /// Time from which no attempt started elsewhere occupies its share of slots.
    slots_available_at: Time,
    attempts_in_flight: f64,
}

/// One customer as `GET /planner/state` shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerState {
    pub customer: Name,
    pub plan: u16,
    /// Number of leases granted, the amounts they hold and the amounts left in the pool, by kind.
    pub leases: usize,
    pub outstanding: [f64; 3],
    pub level: [f64; 3],
    /// Capacity of the whole allowance, by kind.
    pub depth: [f64; 3],
}

/// The planner as `GET /planner/state` shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerState {
    pub instance: Instance,
    pub seats: u16,
    /// Seats whose shares are pooled here.
    pub lent: Vec<Seat>,
    /// Seats that have reported within the lifetime of a loan.
    pub alive: Vec<Seat>,
    pub customers: Vec<CustomerState>,
}

/// Grants leases from the pools of customers, which hold the shares of the seats that lend to it.
pub struct Planner {
    config: LeaseConfig,
    instance: Instance,
    seats: Vec<SeatState>,
    pools: HashMap<Name, Pool>,
    shares: Shares,
    /// Whether `shares` must be recomputed because a loan that counts has started or ended, or slots became blocked.
    are_shares_stale: bool,
    /// Maximum number of pools.
    max_customers: usize,
    next_lease: u64,
    swept_at: Time,
    /// When a customer was last rejected because there were too many pools. Its attempts in flight are not counted
    /// anywhere.
    last_rejection_at: Option<Time>,
    panics: u64,
}

impl Planner {
    /// Returns a planner without state. `nonce` distinguishes this run from every other and is not 0.
    ///
    /// # Errors
    /// The parameter that is out of range.
    pub fn new(config: LeaseConfig, nonce: u64, max_customers: usize) -> Result<Self, String> {
        config.validate()?;
        let seats = vec![SeatState::default(); usize::from(config.seats)];
        let instance = Instance { nonce, epoch: 1 };
        Ok(Planner {
            config,
            instance,
            seats,
            pools: HashMap::new(),
            shares: Shares::default(),
            are_shares_stale: true,
            max_customers,
            next_lease: 0,
            swept_at: 0,
            last_rejection_at: None,
            panics: 0,
        })
    }

    /// Returns the number of pools that were reset because processing them panicked.
    pub fn panics(&self) -> u64 {
        self.panics
    }

    /// Returns the identity of this run of the planner.
    pub fn instance(&self) -> Instance {
        self.instance
    }

    /// Whether leases granted now may use this seat's share.
    fn is_counted(&self, seat_state: &SeatState, now: Time) -> bool {
        seat_state.loan.is_some_and(|(_, until)| until >= now + self.config.lease_ttl)
    }

    /// Recomputes the shares that leases granted now may use, if they are stale. This visits every seat, about once per
    /// lifetime of a loan and whenever a seat joins or leaves. Other reports touch only their own seat.
    fn refresh_shares(&mut self, now: Time) {
        let quiet_skipped = planted!("quiet-skipped");
        if !self.are_shares_stale && now <= self.shares.valid_until && !quiet_skipped {
            return;
        }
        let mut shares = Shares { slots: vec![0.0; self.config.plans.len()], ..Shares::default() };
        shares.valid_until = Time::MAX;
        for (seat, seat_state) in self.seats.iter().enumerate() {
            if !quiet_skipped && !self.is_counted(seat_state, now) {
                continue;
            }
            let (since, until) = seat_state.loan.filter(|_| !quiet_skipped).unwrap_or((0, Time::MAX));
            shares.lent.push((seat as Seat, since));
            shares.latest_loan_at = shares.latest_loan_at.max(since);
            shares.attempts_in_flight += seat_state.attempts_in_flight;
            shares.valid_until = shares.valid_until.min(until - self.config.lease_ttl);
            if seat_state.slots_available_at <= now || quiet_skipped {
                for (plan, slots) in shares.slots.iter_mut().enumerate() {
                    *slots += self.config.seat_share(plan, SLOTS, seat as Seat).1;
                }
            } else {
                shares.valid_until = shares.valid_until.min(seat_state.slots_available_at - 1);
            }
        }
        (self.shares, self.are_shares_stale) = (shares, false);
    }

    /// Applies a report and returns the grant that answers it.
    ///
    /// # Errors
    /// [`ReportError`] if the report is rejected; the planner's leases and loans are unchanged.
    pub fn handle(&mut self, now: Time, report: &Report) -> Result<Grant, ReportError> {
        let seat = report.seat;
        let seat_state = self.seats.get_mut(usize::from(seat)).ok_or(ReportError::UnknownSeat(seat))?;
        let is_valid_number = |v: &f64| v.is_finite() && *v >= 0.0;
        let is_valid_entry = |e: &crate::message::Entry| {
            usize::from(e.plan) < self.config.plans.len()
                && e.spent.iter().chain(&e.returned).chain([&e.demand, &e.in_use]).all(is_valid_number)
        };
        if !is_valid_number(&report.attempts_in_flight) || !report.entries.iter().all(is_valid_entry) {
            return Err(ReportError::InvalidValues(seat));
        }
        if seat_state.incarnation != report.incarnation {
            // A new incarnation holds no lease. Leases of the earlier one expire on their own.
            (seat_state.incarnation, seat_state.last_report, seat_state.last_grant) =
                (report.incarnation, 0, seat_state.last_grant);
            seat_state.sent_grants.clear();
        }
        if report.number <= seat_state.last_report {
            return Err(ReportError::OutdatedReport { seat, number: report.number });
        }
        let (previous_loan, previous_in_flight) = (seat_state.loan, seat_state.attempts_in_flight);
        (seat_state.last_report, seat_state.last_heard_at, seat_state.attempts_in_flight) = (
            report.number,
            now,
            seat_state.attempts_in_flight + (report.attempts_in_flight - seat_state.attempts_in_flight) / 4.0,
        );
        // A new incarnation does not know about attempts that rest on its earlier loan, so the later time applies.
        let slots_available_at =
            now + (report.slots_free_in as f64 * (1.0 + 2.0 * self.config.max_clock_drift)) as Time;
        // A time in the past does not change the shares.
        self.are_shares_stale |=
            slots_available_at > now && slots_available_at > seat_state.slots_available_at;
        seat_state.slots_available_at = seat_state.slots_available_at.max(slots_available_at);
        if report.nonce != self.instance.nonce && report.known_epoch >= self.instance.epoch {
            self.instance.epoch = report.known_epoch + 1;
        }
        let is_already_lent = seat_state.loan.is_some_and(|(_, until)| until >= now);
        let is_lent_here = report.nonce == self.instance.nonce && report.is_lent;
        if is_lent_here || planted!("share-counted-unacked") {
            // Counted from when the acknowledged grant was sent: the forwarder counts its loan from when that grant
            // arrived, which is no earlier.
            let sent_at = seat_state
                .sent_grants
                .iter()
                .find(|(number, _)| *number == report.acknowledged_grant)
                .map(|(_, at)| *at);
            let sent_at = if planted!("share-counted-unacked") { Some(now) } else { sent_at };
            if let Some(sent_at) = sent_at {
                let loan_ttl = if planted!("loan-outlives-lender") {
                    3 * self.config.loan_ttl
                } else {
                    self.config.loan_ttl
                };
                let since = seat_state.loan.filter(|_| is_already_lent).map_or(now, |(since, _)| since);
                let previous_end = seat_state.loan.map_or(0, |(_, until)| until);
                seat_state.loan =
                    Some((since, previous_end.max(sent_at + loan_ttl))).filter(|(_, until)| *until >= now);
            }
        }
        let counted_since = |loan: Option<(Time, Time)>| {
            loan.filter(|(_, until)| *until >= now + self.config.lease_ttl).map(|(since, _)| since)
        };
        // Extending a loan changes only its end.
        self.are_shares_stale |= counted_since(previous_loan) != counted_since(seat_state.loan);
        if counted_since(previous_loan).is_some() {
            self.shares.attempts_in_flight += seat_state.attempts_in_flight - previous_in_flight;
        }
        let may_grant =
            is_lent_here && seat_state.loan.is_some_and(|(_, until)| until >= now + self.config.lease_ttl);
        seat_state.last_grant += 1;
        let grant_number = seat_state.last_grant;
        seat_state.sent_grants.push_back((grant_number, now));
        if seat_state.sent_grants.len() > MAX_REMEMBERED_GRANTS {
            seat_state.sent_grants.pop_front();
        }
        self.refresh_shares(now);
        let shares = std::mem::take(&mut self.shares);
        let leases = if may_grant { self.grant_leases(now, report, &shares) } else { Vec::new() };
        self.sweep(now, &shares);
        let work_share = self.work_share(seat, &shares);
        self.shares = shares;
        Ok(Grant {
            from: self.instance,
            seat,
            incarnation: report.incarnation,
            number: grant_number,
            report: report.number,
            is_already_lent,
            loan: report.loan,
            work_share,
            leases,
        })
    }

    fn grant_leases(&mut self, now: Time, report: &Report, shares: &Shares) -> Vec<Lease> {
        let Report { seat, incarnation, loan, .. } = *report;
        let holder = LeaseHolder { seat, incarnation, loan };
        let mut leases = Vec::with_capacity(report.entries.len());
        for entry in &report.entries {
            // The number of pools is bounded: further customers get no lease until others have been removed.
            if self.pools.len() >= self.max_customers && !self.pools.contains_key(&entry.customer) {
                self.last_rejection_at = Some(now);
                continue;
            }
            let (config, rejected_at) = (&self.config, self.last_rejection_at);
            let pool = self.pools.entry(entry.customer.clone()).or_insert_with(|| {
                let mut pool = Pool::new(entry.plan);
                if let Some(at) = rejected_at.filter(|_| !planted!("turned-away-uncounted")) {
                    pool.reserve_all_slots(at, config);
                }
                pool
            });
            if !pool.is_open(now) {
                continue;
            }
            self.next_lease += 1;
            let new_lease = self.next_lease;
            let result = catch_unwind(AssertUnwindSafe(|| {
                // The pool is filled before the report is applied: amounts spent since the last report free capacity
                // only from now on, not for the time before.
                pool.advance(now, shares, config);
                pool.apply_report(holder, entry);
                pool.grant(now, holder, entry, new_lease, shares, config)
            }));
            match result {
                Ok(lease) => leases.push(lease),
                // Only this pool's values can no longer be trusted.
                Err(_) => {
                    self.panics += 1;
                    *pool = Pool::forgotten(entry.plan, now, config);
                }
            }
        }
        leases
    }

    /// Returns a seat's fraction of the attempts in flight of all lent seats, for placement. Each seat has a minimum.
    fn work_share(&self, seat: Seat, shares: &Shares) -> f64 {
        let seat_count = shares.lent.len().max(1) as f64;
        let total = shares.attempts_in_flight.max(0.0);
        let base = total / seat_count * 0.25 + 1e-3;
        let in_flight = self.seats[usize::from(seat)].attempts_in_flight;
        ((in_flight + base) / (total + base * seat_count)).min(1.0)
    }

    fn sweep(&mut self, now: Time, shares: &Shares) {
        if now.saturating_sub(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        // A lent share that is not counted at present may have been spent, which a recreated pool could not know.
        let lent_count = self
            .seats
            .iter()
            .filter(|seat_state| seat_state.loan.is_some_and(|(_, until)| until >= now))
            .count();
        if lent_count > shares.lent.len() {
            return;
        }
        let config = &self.config;
        self.pools.retain(|_, pool| {
            pool.advance(now, shares, config);
            !pool.is_full(shares, config)
        });
    }

    /// Returns the state for operators. It visits every customer, so it must not be called per request.
    pub fn state(&mut self, now: Time) -> PlannerState {
        self.refresh_shares(now);
        let shares = self.shares.clone();
        let (mut customers, config) = (Vec::new(), &self.config);
        for (customer, pool) in &mut self.pools {
            pool.advance(now, &shares, config);
            let all = |of: &dyn Fn(usize) -> f64| [of(QUOTA), of(HARD_LIMIT), of(SLOTS)];
            customers.push(CustomerState {
                customer: customer.clone(),
                plan: pool.plan,
                leases: pool.leases.len(),
                outstanding: all(&|kind| pool.outstanding(kind)),
                level: all(&|kind| pool.level(kind)),
                depth: all(&|kind| config.plans.get(usize::from(pool.plan)).map_or(0.0, |p| p.of(kind).1)),
            });
        }
        customers.sort_by(|a, b| a.customer.cmp(&b.customer));
        let alive = |seat_state: &SeatState| {
            seat_state.last_report > 0 && now.saturating_sub(seat_state.last_heard_at) <= self.config.loan_ttl
        };
        let seats = self.seats.iter().enumerate();
        PlannerState {
            instance: self.instance,
            seats: self.config.seats,
            lent: shares.lent.iter().map(|(seat, _)| *seat).collect(),
            alive: seats.filter(|(_, seat_state)| alive(seat_state)).map(|(seat, _)| seat as Seat).collect(),
            customers,
        }
    }
}
