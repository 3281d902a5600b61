//! One customer's pool: the unspent part of the lent shares, and the leases granted from it.

use crate::message::{Amounts, Entry, Lease, Seat, HARD_LIMIT, QUOTA, SLOTS};
use crate::LeaseConfig;
use interface::Time;

/// Shares that a planner may grant from: those of seats whose loans outlast a lease granted now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    /// Seats, and the start of each one's current uninterrupted loan.
    pub lent: Vec<(Seat, Time)>,
    /// Slots by plan, of those lent seats whose slots are no longer occupied by attempts started elsewhere.
    pub slots: Vec<f64>,
    /// Start of the most recent loan.
    pub latest_loan_at: Time,
    /// Total attempts in flight at the lent seats.
    pub attempts_in_flight: f64,
    /// Until when these values hold if no seat starts or ends a loan.
    pub valid_until: Time,
}

impl Shares {
    /// Returns the number of seats whose loans had started by `then`.
    fn lent_by(&self, then: Time) -> usize {
        if then >= self.latest_loan_at {
            return self.lent.len();
        }
        self.lent.iter().filter(|(_, since)| *since <= then).count()
    }

    /// Returns the capacity of the pool.
    fn depth(&self, config: &LeaseConfig, plan: usize, kind: usize) -> f64 {
        if kind == SLOTS {
            return self.slots.get(plan).copied().unwrap_or(0.0);
        }
        config.seat_share(plan, kind, 0).1 * self.lent.len() as f64
    }
}

/// Holder of a lease: a seat in one incarnation and for one loan. Reports from any other loan do not apply to the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseHolder {
    pub seat: Seat,
    pub incarnation: u64,
    pub loan: u64,
}

/// Unexpired lease of a seat.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub holder: LeaseHolder,
    pub lease: u64,
    pub granted: Amounts,
    spent: Amounts,
    returned: Amounts,
    pub until: Time,
    demand: f64,
    /// Whether a report has named the lease. Until then its grant may be in transit or lost.
    is_confirmed: bool,
}

impl HeldLease {
    /// Returns the amount of the lease that can still be spent, or for slots is held.
    fn outstanding(&self, kind: usize) -> f64 {
        (self.granted[kind] - self.spent[kind] - self.returned[kind]).max(0.0)
    }
}

/// Slots that attempts may still occupy without a current lease: slots of an expired lease, or slots in use before a
/// lease began. They count as occupied until the attempts have certainly ended, and no new attempt may use them.
#[derive(Clone, Debug)]
struct EndedLease {
    /// None if the holder is no longer known.
    holder: Option<LeaseHolder>,
    /// The expired lease, or 0.
    lease: u64,
    granted: f64,
    slots: f64,
    until: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub plan: u16,
    updated_at: Time,
    level: Amounts,
    pub leases: Vec<HeldLease>,
    ended_leases: Vec<EndedLease>,
    /// Nothing is granted until then, because the leases granted before are no longer known.
    closed_until: Time,
}

/// Number of ticks whose demand a lease covers.
const DEMAND_TICKS: f64 = 4.0;

impl Pool {
    /// Returns a pool that has been filling since each share was lent.
    pub fn new(plan: u16) -> Self {
        // `updated_at` of 0 makes the first update fill the pool from the start of each loan.
        Pool {
            plan,
            updated_at: 0,
            level: [0.0; 3],
            leases: Vec::new(),
            ended_leases: Vec::new(),
            closed_until: 0,
        }
    }

    /// Returns a pool whose leases are unknown but may be in use, as if all of it had just been leased. It grants
    /// nothing until the last of these leases has expired, and is empty at that time.
    pub fn forgotten(plan: u16, now: Time, config: &LeaseConfig) -> Self {
        let mut pool = Pool::new(plan);
        if planted!("forgotten-begins-full") {
            return pool;
        }
        (pool.closed_until, pool.updated_at) = (now + config.lease_ttl, now + config.lease_ttl);
        pool.reserve_all_slots(pool.closed_until, config);
        pool
    }

    /// Reserves all slots, since uncounted attempts may have started on them until `started_at`.
    pub fn reserve_all_slots(&mut self, started_at: Time, config: &LeaseConfig) {
        let slots = config.plans.get(usize::from(self.plan)).map_or(0.0, |p| p.slots);
        if slots > 0.0 {
            let until = started_at + config.max_attempt_duration();
            self.ended_leases.push(EndedLease { holder: None, lease: 0, granted: slots, slots, until });
        }
    }

    /// Whether the pool may grant leases.
    pub fn is_open(&self, now: Time) -> bool {
        now > self.closed_until || self.closed_until == 0
    }

    fn reserved_slots(&self) -> f64 {
        self.ended_leases.iter().map(|e| e.slots).sum()
    }

    /// Returns the slots counted for a holder: those of its leases and of its expired ones.
    fn covered_slots(&self, holder: LeaseHolder) -> f64 {
        let held = self.leases.iter().filter(|h| h.holder == holder).map(|h| h.outstanding(SLOTS));
        held.chain(self.ended_leases.iter().filter(|e| e.holder == Some(holder)).map(|e| e.slots)).sum()
    }

    /// Returns the amount of this kind that all leases can still spend, or for slots hold.
    pub fn outstanding(&self, kind: usize) -> f64 {
        self.leases.iter().map(|h| h.outstanding(kind)).sum()
    }

    /// Returns the amount of this kind left in the pool.
    pub fn level(&self, kind: usize) -> f64 {
        self.level[kind]
    }

    /// Refills the pool up to `then`, which is not in the future.
    fn fill(&mut self, then: Time, shares: &Shares, config: &LeaseConfig) {
        let secs = |from: Time| then.saturating_sub(from) as f64 / 1e9;
        let plan = usize::from(self.plan);
        let continuing = shares.lent_by(self.updated_at);
        let new_loans: Vec<Time> = if continuing < shares.lent.len() {
            shares
                .lent
                .iter()
                .map(|l| l.1)
                .filter(|since| (self.updated_at + 1..=then).contains(since))
                .collect()
        } else {
            Vec::new()
        };
        for kind in [QUOTA, HARD_LIMIT] {
            let (rate, depth) = config.seat_share(plan, kind, 0);
            // Amounts held by leases count as unspent: together with the level they must fit the shares.
            let outstanding = self.outstanding(kind);
            let fit = |level: f64, seats: usize| level.min((depth * seats as f64 - outstanding).max(0.0));
            // The share of a seat whose loan started since the last update was spent by its owner in between: what the
            // pool held of it is lost, and it fills again from the start of the loan.
            let level = fit(self.level[kind] + rate * secs(self.updated_at) * continuing as f64, continuing);
            let new_loans_fill: f64 = new_loans.iter().map(|since| rate * secs(*since)).sum();
            self.level[kind] = fit(level + new_loans_fill, continuing + new_loans.len());
        }
        self.updated_at = then;
    }

    /// Brings the pool up to date: removes expired leases with the amounts they held, and refills from the shares.
    pub fn advance(&mut self, now: Time, shares: &Shares, config: &LeaseConfig) {
        if !self.is_open(now) {
            return;
        }
        // In order of expiry: until a lease expires, the amount that it holds limits the refill.
        while let Some(index) = self.next_expired_lease(now) {
            self.fill(self.leases[index].until.max(self.updated_at), shares, config);
            let expired = self.leases.swap_remove(index);
            // Its holder may have spent everything unreported, and its attempts may still be in flight.
            let slots = expired.outstanding(SLOTS);
            if slots > 0.0 {
                let HeldLease { holder, lease, granted, .. } = expired;
                let until = expired.until + config.max_attempt_duration();
                let granted = granted[SLOTS];
                self.ended_leases.push(EndedLease { holder: Some(holder), lease, granted, slots, until });
            }
            if planted!("expired-comes-back") {
                self.level[QUOTA] += expired.outstanding(QUOTA);
                self.level[HARD_LIMIT] += expired.outstanding(HARD_LIMIT);
            }
        }
        self.fill(now, shares, config);
        self.ended_leases.retain(|e| e.until >= now && e.slots > 0.0);
        self.level[SLOTS] = self.free_slots(shares, config).max(0.0).floor();
    }

    /// Returns the slots that nothing occupies. Negative if shares with occupied slots have been withdrawn.
    fn free_slots(&self, shares: &Shares, config: &LeaseConfig) -> f64 {
        shares.depth(config, usize::from(self.plan), SLOTS) - self.outstanding(SLOTS) - self.reserved_slots()
    }

    /// Returns the index of the lease that expired first, if any has.
    fn next_expired_lease(&self, now: Time) -> Option<usize> {
        let expired = self.leases.iter().enumerate().filter(|(_, h)| h.until < now);
        expired.min_by_key(|(_, h)| h.until).map(|(index, _)| index)
    }

    /// Whether the pool is full and without leases, so that removing and recreating it changes nothing.
    pub fn is_full(&self, shares: &Shares, config: &LeaseConfig) -> bool {
        let plan = usize::from(self.plan);
        let full = |kind| self.level[kind] >= shares.depth(config, plan, kind);
        self.leases.is_empty() && self.ended_leases.is_empty() && full(QUOTA) && full(HARD_LIMIT)
    }

    /// Applies a holder's report on its lease. Counters never decrease and never exceed the granted amounts.
    pub fn apply_report(&mut self, holder: LeaseHolder, entry: &Entry) {
        // The holder of an expired lease returns slots whose attempts have ended.
        if let Some(e) =
            self.ended_leases.iter_mut().find(|e| e.holder == Some(holder) && e.lease == entry.lease)
        {
            e.slots = e.slots.min((e.granted - entry.returned[SLOTS]).max(0.0));
            return;
        }
        let Some(held) = self.leases.iter_mut().find(|h| h.holder == holder && h.lease == entry.lease) else {
            return;
        };
        held.is_confirmed = true;
        for kind in [QUOTA, HARD_LIMIT, SLOTS] {
            // Amounts applied earlier are kept, even if rounding puts the upper bound below them.
            let max_spent = held.granted[kind] - held.returned[kind];
            let spent = if planted!("clamp-panics") {
                entry.spent[kind].clamp(held.spent[kind], max_spent)
            } else {
                entry.spent[kind].min(max_spent).max(held.spent[kind])
            };
            if kind != SLOTS {
                held.spent[kind] = spent;
            }
            let max_returned = held.granted[kind] - held.spent[kind];
            let returned = entry.returned[kind].min(max_returned).max(held.returned[kind]);
            let newly_returned = returned - held.returned[kind];
            held.returned[kind] = returned;
            // Units of the hard limit are never returned to the pool, so a holder gains nothing by reporting spent units
            // as returned.
            if kind == QUOTA {
                self.level[QUOTA] += newly_returned;
            }
        }
    }

    /// Whether the current leases fit the shares, which is not so when a share has just been withdrawn. Leases are then
    /// not renewed, so that none depends on that share when its owner spends it again.
    fn fits_shares(&self, shares: &Shares, config: &LeaseConfig) -> bool {
        let plan = usize::from(self.plan);
        let reserved = self.reserved_slots();
        [(QUOTA, 0.0), (HARD_LIMIT, 0.0), (SLOTS, reserved)].into_iter().all(|(kind, reserved)| {
            let used = self.outstanding(kind) + reserved;
            used <= 1e-9 || used <= shares.depth(config, plan, kind) + 1e-9
        })
    }

    /// Grants or renews a lease that covers the holder's demand, as far as the pool allows.
    pub fn grant(
        &mut self,
        now: Time,
        holder: LeaseHolder,
        entry: &Entry,
        new_lease: u64,
        shares: &Shares,
        config: &LeaseConfig,
    ) -> Lease {
        let until = now + config.lease_ttl;
        let fits_shares = self.fits_shares(shares, config) || planted!("renewed-beyond-shares");
        // A lease that the holder has not confirmed yet is offered again. If the holder has forgotten a confirmed
        // lease, it cannot report what it spent, so a new lease begins.
        let offered =
            |h: &HeldLease| h.lease > entry.lease && (!h.is_confirmed || planted!("forgotten-offered-again"));
        let existing =
            self.leases.iter().position(|h| h.holder == holder && (h.lease == entry.lease || offered(h)));
        let index =
            existing.unwrap_or_else(|| self.begin_lease(now, holder, entry, new_lease, until, config));
        let is_renewed = fits_shares || existing.is_none();
        if is_renewed {
            self.leases[index].until = until;
        }
        self.leases[index].demand = entry.demand;
        let total_demand: f64 = self.leases.iter().map(|h| h.demand).sum();
        let demand_fraction = if total_demand > 0.0 { entry.demand / total_demand } else { 0.0 };
        let horizon_secs = config.tick as f64 / 1e9 * DEMAND_TICKS;
        let plan = usize::from(self.plan);
        let mut is_pool_empty = false;
        for kind in [QUOTA, HARD_LIMIT] {
            let (rate, depth) = config.seat_share(plan, kind, 0);
            if rate <= 0.0 || entry.demand <= 0.0 {
                continue;
            }
            let wanted_amount = (entry.demand * horizon_secs + config.headroom(plan, kind))
                .min(depth * f64::from(config.seats));
            let shortfall = (wanted_amount - self.leases[index].outstanding(kind)).max(0.0);
            // If the pool is short, each holder gets its fraction by demand, but enough for the largest request if the
            // pool has that much. A single holder with demand can get all.
            let min_amount = self.level[kind].min(config.max_request_units);
            let granted_amount = shortfall.min((self.level[kind] * demand_fraction).max(min_amount));
            if !planted!("lease-not-charged") {
                self.level[kind] -= granted_amount;
            }
            self.leases[index].granted[kind] += granted_amount;
            is_pool_empty |= self.leases[index].outstanding(kind)
                < config.max_request_units.min(entry.demand * horizon_secs);
        }
        if config.plans.get(plan).is_some_and(|p| p.limits(SLOTS)) && entry.demand > 0.0 {
            let wanted_amount = (1.5 * entry.in_use + 2.0).ceil();
            if is_renewed {
                self.reclaim_slots(index, wanted_amount, shares, config);
            }
            let shortfall = wanted_amount - self.leases[index].outstanding(SLOTS);
            let granted_amount = shortfall.min(self.level[SLOTS]).max(0.0).floor();
            self.level[SLOTS] -= granted_amount;
            self.leases[index].granted[SLOTS] += granted_amount;
            is_pool_empty |= self.leases[index].outstanding(SLOTS) <= entry.in_use;
        }
        let HeldLease { lease, granted, .. } = self.leases[index];
        Lease { customer: entry.customer.clone(), lease, granted, is_renewed, is_pool_empty }
    }

    /// Begins a lease without units. It has slots only for the holder's attempts in flight that are not counted yet, as
    /// many as the pool has free. The remaining attempts are counted until they have ended, but no new attempt may use
    /// their slots, which may belong to another holder by then.
    fn begin_lease(
        &mut self,
        now: Time,
        holder: LeaseHolder,
        entry: &Entry,
        lease: u64,
        until: Time,
        config: &LeaseConfig,
    ) -> usize {
        let in_use = entry.in_use.min(config.plans[usize::from(self.plan)].slots).floor();
        let mut slots = (in_use - self.covered_slots(holder)).max(0.0);
        if planted!("in-use-uncounted") {
            slots = 0.0;
        }
        let mut available = slots.min(self.level[SLOTS]);
        if planted!("slots-laundered") {
            (slots, available) = (in_use, in_use);
        }
        self.level[SLOTS] = (self.level[SLOTS] - available).max(0.0);
        let (granted, uncovered) = ([0.0, 0.0, available], slots - available);
        if uncovered > 0.0 {
            let until = now + config.max_attempt_duration();
            self.ended_leases.push(EndedLease {
                holder: Some(holder),
                lease: 0,
                granted: uncovered,
                slots: uncovered,
                until,
            });
        }
        let (spent, returned) = ([0.0; 3], [0.0; 3]);
        self.leases.push(HeldLease {
            holder,
            lease,
            granted,
            spent,
            returned,
            until,
            demand: 0.0,
            is_confirmed: false,
        });
        self.leases.len() - 1
    }

    /// Moves slots reserved for the holder's earlier leases into this lease, as far as all counted slots fit the shares.
    /// The attempts are the same in either place.
    fn reclaim_slots(&mut self, index: usize, wanted_slots: f64, shares: &Shares, config: &LeaseConfig) {
        let deficit = (-self.free_slots(shares, config)).max(0.0).ceil();
        let deficit = if planted!("withdrawn-taken-up") { 0.0 } else { deficit };
        let held = &mut self.leases[index];
        let is_same_holder = |e: &&mut EndedLease| e.holder == Some(held.holder);
        let reserved: f64 =
            self.ended_leases.iter().filter(|e| e.holder == Some(held.holder)).map(|e| e.slots).sum();
        let mut reclaimable =
            (wanted_slots - held.outstanding(SLOTS)).min(reserved - deficit).max(0.0).floor();
        for e in self.ended_leases.iter_mut().filter(is_same_holder) {
            let amount = e.slots.min(reclaimable);
            (e.slots, e.granted, reclaimable) = (e.slots - amount, e.granted - amount, reclaimable - amount);
            held.granted[SLOTS] += amount;
        }
    }
}
