//! The planner itself: seats, loans, and the pools of customers.

use crate::message::{Grant, Instance, Lease, Report, Seat, HARD_LIMIT, QUOTA, SLOTS};
use crate::pool::{LeaseHolder, Pool, Shares};
use crate::LeaseConfig;
use interface::{Name, Time};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Grants of which the time of sending is remembered, for each seat.
const MAX_REMEMBERED_GRANTS: usize = 64;
/// How often pools are looked over for those that can be forgotten.
const SWEEP_INTERVAL: Time = 1_000_000_000;

/// A report that is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No seat has this number.
    NoSeat(Seat),
    /// It is no later than one that was taken.
    OutdatedReport { seat: Seat, number: u64 },
    /// A figure is no figure, or below nothing, or a plan is unknown.
    InvalidFigures(Seat),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NoSeat(seat) => write!(f, "seat {seat}: there is none"),
            Refused::OutdatedReport { seat, number } => write!(f, "seat {seat}: report {number} is old"),
            Refused::InvalidFigures(seat) => write!(f, "seat {seat}: figures that can't be"),
        }
    }
}

impl std::error::Error for Refused {}

#[derive(Clone, Debug, Default)]
struct SeatState {
    incarnation: u64,
    /// The latest report taken, and when.
    report: u64,
    last_heard_at: Time,
    /// The latest grant, and when the last ones were sent.
    grant: u64,
    sent: VecDeque<(u64, Time)>,
    /// Since when and until when its share is surely not spent by itself.
    loan: Option<(Time, Time)>,
    /// From when on its share of slots is free of what was begun on it elsewhere.
    slots_from: Time,
    attempts_in_flight: f64,
}

/// One customer as `GET /planner/state` shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerState {
    pub customer: Name,
    pub plan: u16,
    /// Leases out, what they hold and what is left in the pool, by kind.
    pub leases: usize,
    pub outstanding: [f64; 3],
    pub level: [f64; 3],
    /// What all of it can be at the most.
    pub depth: [f64; 3],
}

/// The planner as `GET /planner/state` shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerState {
    pub instance: Instance,
    pub seats: u16,
    /// Seats whose shares are pooled here.
    pub lent: Vec<Seat>,
    /// Seats heard of within a loan's life.
    pub alive: Vec<Seat>,
    pub customers: Vec<CustomerState>,
}

/// The planner: pools of customers, and the seats that lend to it.
pub struct Planner {
    terms: LeaseConfig,
    instance: Instance,
    seats: Vec<SeatState>,
    pools: HashMap<Name, Pool>,
    shares: Shares,
    /// Whether a seat's loan has changed in what the shares rest on.
    are_shares_stale: bool,
    /// The most customers that are kept.
    max_customers: usize,
    next_lease: u64,
    swept_at: Time,
    /// When a customer was last turned away for want of room: what it has out is not counted anywhere.
    last_rejection_at: Option<Time>,
    panics: u64,
}

impl Planner {
    /// A planner that knows nothing. `nonce` tells its life from every other, and is not 0.
    ///
    /// # Errors
    /// What is wrong with the terms.
    pub fn new(terms: LeaseConfig, nonce: u64, most: usize) -> Result<Self, String> {
        terms.validate()?;
        let seats = vec![SeatState::default(); usize::from(terms.seats)];
        let me = Instance { nonce, epoch: 1 };
        Ok(Planner {
            terms,
            instance: me,
            seats,
            pools: HashMap::new(),
            shares: Shares::default(),
            are_shares_stale: true,
            max_customers: most,
            next_lease: 0,
            swept_at: 0,
            last_rejection_at: None,
            panics: 0,
        })
    }

    /// Customers that were forgotten since what was said of them led to a panic here.
    pub fn panics(&self) -> u64 {
        self.panics
    }

    /// This run of the planner.
    pub fn instance(&self) -> Instance {
        self.instance
    }

    /// Whether a seat's share is counted by leases granted now.
    fn counted(&self, s: &SeatState, now: Time) -> bool {
        s.loan.is_some_and(|(_, until)| until >= now + self.terms.lease_ttl)
    }

    /// Makes anew, if it no longer stands, what leases granted now may rest on. Looks at every seat, about once a
    /// loan's life and whenever a seat comes or goes; a report in between looks at its own seat alone.
    fn refresh(&mut self, now: Time) {
        let skipped = planted!("quiet-skipped");
        if !self.are_shares_stale && now <= self.shares.valid_until && !skipped {
            return;
        }
        let mut shares = Shares { slots: vec![0.0; self.terms.plans.len()], ..Shares::default() };
        shares.valid_until = Time::MAX;
        for (seat, s) in self.seats.iter().enumerate() {
            if !skipped && !self.counted(s, now) {
                continue;
            }
            let (since, until) = s.loan.filter(|_| !skipped).unwrap_or((0, Time::MAX));
            shares.lent.push((seat as Seat, since));
            shares.latest = shares.latest.max(since);
            shares.busy += s.attempts_in_flight;
            shares.valid_until = shares.valid_until.min(until - self.terms.lease_ttl);
            if s.slots_from <= now || skipped {
                for (plan, slots) in shares.slots.iter_mut().enumerate() {
                    *slots += self.terms.seat_share(plan, SLOTS, seat as Seat).1;
                }
            } else {
                shares.valid_until = shares.valid_until.min(s.slots_from - 1);
            }
        }
        (self.shares, self.are_shares_stale) = (shares, false);
    }

    /// Answers a report.
    ///
    /// # Errors
    /// [`Refused`]; nothing has changed then.
    pub fn handle(&mut self, now: Time, report: &Report) -> Result<Grant, Refused> {
        let seat = report.seat;
        let s = self.seats.get_mut(usize::from(seat)).ok_or(Refused::NoSeat(seat))?;
        let good = |v: &f64| v.is_finite() && *v >= 0.0;
        let sound = |e: &crate::message::Entry| {
            usize::from(e.plan) < self.terms.plans.len()
                && e.spent.iter().chain(&e.returned).chain([&e.demand, &e.in_use]).all(good)
        };
        if !good(&report.attempts_in_flight) || !report.entries.iter().all(sound) {
            return Err(Refused::InvalidFigures(seat));
        }
        if s.incarnation != report.incarnation {
            // Another life: it holds no lease. What its earlier one held runs out by itself.
            (s.incarnation, s.report, s.grant) = (report.incarnation, 0, s.grant);
            s.sent.clear();
        }
        if report.number <= s.report {
            return Err(Refused::OutdatedReport { seat, number: report.number });
        }
        let (before, busy) = (s.loan, s.attempts_in_flight);
        (s.report, s.last_heard_at, s.attempts_in_flight) = (
            report.number,
            now,
            s.attempts_in_flight + (report.attempts_in_flight - s.attempts_in_flight) / 4.0,
        );
        // A new life does not know what its earlier one's loan rested on: the later counts.
        let slots_from =
            now + (report.slots_free_in as f64 * (1.0 + 2.0 * self.terms.max_clock_drift)) as Time;
        // Of one that has passed already nothing changes for the shares.
        self.are_shares_stale |= slots_from > now && slots_from > s.slots_from;
        s.slots_from = s.slots_from.max(slots_from);
        if report.nonce != self.instance.nonce && report.known_epoch >= self.instance.epoch {
            self.instance.epoch = report.known_epoch + 1;
        }
        let holds = s.loan.is_some_and(|(_, until)| until >= now);
        let mine = report.nonce == self.instance.nonce && report.is_lent;
        if mine || planted!("share-counted-unacked") {
            // From the sending of a grant that it has: it counts its loan from when that came, no sooner.
            let sent =
                s.sent.iter().find(|(number, _)| *number == report.acknowledged_grant).map(|(_, at)| *at);
            let sent = if planted!("share-counted-unacked") { Some(now) } else { sent };
            if let Some(sent) = sent {
                let life = if planted!("loan-outlives-lender") {
                    3 * self.terms.loan_ttl
                } else {
                    self.terms.loan_ttl
                };
                let since = s.loan.filter(|_| holds).map_or(now, |(since, _)| since);
                let before = s.loan.map_or(0, |(_, until)| until);
                s.loan = Some((since, before.max(sent + life))).filter(|(_, until)| *until >= now);
            }
        }
        let counts = |loan: Option<(Time, Time)>| {
            loan.filter(|(_, until)| *until >= now + self.terms.lease_ttl).map(|(since, _)| since)
        };
        // A loan that goes on changes nothing but how long it does.
        self.are_shares_stale |= counts(before) != counts(s.loan);
        if counts(before).is_some() {
            self.shares.busy += s.attempts_in_flight - busy;
        }
        let lends = mine && s.loan.is_some_and(|(_, until)| until >= now + self.terms.lease_ttl);
        s.grant += 1;
        let number = s.grant;
        s.sent.push_back((number, now));
        if s.sent.len() > MAX_REMEMBERED_GRANTS {
            s.sent.pop_front();
        }
        self.refresh(now);
        let shares = std::mem::take(&mut self.shares);
        let leases = if lends { self.leases(now, report, &shares) } else { Vec::new() };
        self.sweep(now, &shares);
        let share = self.share(seat, &shares);
        self.shares = shares;
        Ok(Grant {
            from: self.instance,
            seat,
            incarnation: report.incarnation,
            number,
            report: report.number,
            is_already_lent: holds,
            loan: report.loan,
            work_share: share,
            leases,
        })
    }

    fn leases(&mut self, now: Time, report: &Report, shares: &Shares) -> Vec<Lease> {
        let Report { seat, incarnation, loan, .. } = *report;
        let whose = LeaseHolder { seat, incarnation, loan };
        let mut leases = Vec::with_capacity(report.entries.len());
        for entry in &report.entries {
            // Bounded: the rest go without until others have been forgotten.
            if self.pools.len() >= self.max_customers && !self.pools.contains_key(&entry.customer) {
                self.last_rejection_at = Some(now);
                continue;
            }
            let (terms, turned_away) = (&self.terms, self.last_rejection_at);
            let pool = self.pools.entry(entry.customer.clone()).or_insert_with(|| {
                let mut pool = Pool::new(entry.plan);
                if let Some(at) = turned_away.filter(|_| !planted!("turned-away-uncounted")) {
                    pool.reserve_all_slots(at, terms);
                }
                pool
            });
            if !pool.is_open(now) {
                continue;
            }
            self.next_lease += 1;
            let fresh = self.next_lease;
            let made = catch_unwind(AssertUnwindSafe(|| {
                // In this order: what was spent since made room only then, and none for the time before.
                pool.advance(now, shares, terms);
                pool.apply_report(whose, entry);
                pool.grant(now, whose, entry, fresh, shares, terms)
            }));
            match made {
                Ok(lease) => leases.push(lease),
                // Its figures can't be trusted any more; those of the others can.
                Err(_) => {
                    self.panics += 1;
                    *pool = Pool::forgotten(entry.plan, now, terms);
                }
            }
        }
        leases
    }

    /// Placement: a seat's part of the work that all lent seats have out, none quite without.
    fn share(&self, seat: Seat, shares: &Shares) -> f64 {
        let n = shares.lent.len().max(1) as f64;
        let all = shares.busy.max(0.0);
        let even = all / n * 0.25 + 1e-3;
        let own = self.seats[usize::from(seat)].attempts_in_flight;
        ((own + even) / (all + even * n)).min(1.0)
    }

    fn sweep(&mut self, now: Time, shares: &Shares) {
        if now.saturating_sub(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        // A share that is lent and not counted just now may have been spent; a pool made anew could not know.
        let lent = self.seats.iter().filter(|s| s.loan.is_some_and(|(_, until)| until >= now)).count();
        if lent > shares.lent.len() {
            return;
        }
        let terms = &self.terms;
        self.pools.retain(|_, pool| {
            pool.advance(now, shares, terms);
            !pool.is_full(shares, terms)
        });
    }

    /// What an operator wants to see. Looks at every customer: for people, not for the way of a request.
    pub fn state(&mut self, now: Time) -> PlannerState {
        self.refresh(now);
        let shares = self.shares.clone();
        let (mut customers, terms) = (Vec::new(), &self.terms);
        for (customer, pool) in &mut self.pools {
            pool.advance(now, &shares, terms);
            let all = |of: &dyn Fn(usize) -> f64| [of(QUOTA), of(HARD_LIMIT), of(SLOTS)];
            customers.push(CustomerState {
                customer: customer.clone(),
                plan: pool.plan,
                leases: pool.leases.len(),
                outstanding: all(&|kind| pool.outstanding(kind)),
                level: all(&|kind| pool.level(kind)),
                depth: all(&|kind| terms.plans.get(usize::from(pool.plan)).map_or(0.0, |p| p.of(kind).1)),
            });
        }
        customers.sort_by(|a, b| a.customer.cmp(&b.customer));
        let alive =
            |s: &SeatState| s.report > 0 && now.saturating_sub(s.last_heard_at) <= self.terms.loan_ttl;
        let seats = self.seats.iter().enumerate();
        PlannerState {
            instance: self.instance,
            seats: self.terms.seats,
            lent: shares.lent.iter().map(|(seat, _)| *seat).collect(),
            alive: seats.filter(|(_, s)| alive(s)).map(|(n, _)| n as Seat).collect(),
            customers,
        }
    }
}
