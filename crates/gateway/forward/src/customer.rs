//! Account of one customer at one forwarder: its lease, or its part of the forwarder's own share.

use crate::Verdict;
use interface::{Name, Time};
use plan::message::{Amounts, Entry, Lease, Seat, HARD_LIMIT, QUOTA, SLOTS};
use plan::LeaseConfig;

/// Number of ticks of demand for which a lease keeps units, besides a headroom. Once more than twice that sum is left,
/// the excess is returned.
const LEASE_TICKS: f64 = 4.0;
/// Weight of the last tick in the moving average of the demand.
const EWMA_WEIGHT: f64 = 0.3;
/// Demand, in units per second, below which a customer counts as idle.
const NEGLIGIBLE_DEMAND: f64 = 0.01;

#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerAccount {
    plan: usize,
    lease: u64,
    granted: Amounts,
    spent: Amounts,
    returned: Amounts,
    expires_at: Time,
    is_pool_empty: bool,
    /// Value of `returned` in the last report.
    reported_returned: Amounts,
    /// Units left in its part of the own share at `updated_at`: quota and hard limit.
    level: [f64; 2],
    updated_at: Time,
    pub in_use: u32,
    demand: f64,
    /// Units requested since the last tick, and number of ticks without a request.
    pub requested_units: f64,
    pub idle_ticks: u64,
}

impl CustomerAccount {
    /// Returns the account of a customer without a lease.
    pub fn new(plan: usize) -> Self {
        CustomerAccount { plan, ..CustomerAccount::default() }
    }

    /// Drops the lease and empties the part of the own share.
    pub fn drop_lease(&mut self) {
        (self.lease, self.expires_at, self.updated_at) = (0, 0, 0);
        (self.granted, self.spent, self.returned, self.reported_returned) = Default::default();
        (self.level, self.is_pool_empty) = ([0.0; 2], false);
    }

    fn remaining(&self, kind: usize) -> f64 {
        self.granted[kind] - self.spent[kind] - self.returned[kind]
    }

    /// Spends from the lease. `own_share_in` is set if the planner is silent: the time after which the own share may be
    /// spent.
    pub fn spend_lease(
        &mut self,
        now: Time,
        units: f64,
        config: &LeaseConfig,
        own_share_in: Option<Time>,
    ) -> Verdict {
        let plan = &config.plans[self.plan];
        let is_live = self.lease != 0 && (now < self.expires_at || planted!("lease-never-ends"));
        let needed = [units, units, f64::from(self.in_use) + 1.0];
        let covers = |kind: usize| !plan.limits(kind) || self.remaining(kind) >= needed[kind];
        if is_live && covers(QUOTA) && covers(HARD_LIMIT) && covers(SLOTS) {
            self.spent[QUOTA] += if plan.limits(QUOTA) { units } else { 0.0 };
            self.spent[HARD_LIMIT] += if plan.limits(HARD_LIMIT) { units } else { 0.0 };
            return Verdict::Granted;
        }
        match own_share_in {
            Some(advice) => Verdict::Refused { advice },
            None if is_live && self.is_pool_empty => {
                Verdict::Refused { advice: self.refill_time(units, config) }
            }
            None => Verdict::Wait,
        }
    }

    /// Returns the time in which the whole allowance refills by `units`.
    fn refill_time(&self, units: f64, config: &LeaseConfig) -> Time {
        let plan = &config.plans[self.plan];
        let fill_secs = |rate: f64| if rate > 0.0 { units / rate } else { 0.0 };
        (fill_secs(plan.quota_rate).max(fill_secs(plan.hard_limit_rate)) * 1e9) as Time
    }

    /// Spends from the own share, which has been refilling since `since`.
    pub fn spend_own(
        &mut self,
        now: Time,
        (since, slots_free_at): (Time, Time),
        units: f64,
        seat: Seat,
        config: &LeaseConfig,
    ) -> Verdict {
        let from = self.updated_at.max(since);
        let elapsed_secs = now.saturating_sub(from) as f64 / 1e9;
        self.updated_at = now.max(since);
        let plan = &config.plans[self.plan];
        let mut wait: f64 = 0.0;
        for kind in [QUOTA, HARD_LIMIT] {
            let (rate, depth) = config.seat_share(self.plan, kind, seat);
            self.level[kind] = (self.level[kind] + rate * elapsed_secs).min(depth);
            if plan.limits(kind) && self.level[kind] < units {
                // A request larger than the bucket is never granted; the time to refill its whole amount is then as good
                // an advice as any.
                wait = wait.max((units - self.level[kind]) / rate.max(1e-9));
            }
        }
        if plan.limits(SLOTS) {
            // Attempts started elsewhere may still occupy this share.
            let are_slots_free = now >= slots_free_at;
            let available_slots =
                if are_slots_free { config.seat_share(self.plan, SLOTS, seat).1 } else { 0.0 };
            if f64::from(self.in_use) + 1.0 > available_slots {
                wait = wait
                    .max((since + config.max_attempt + config.lease_ttl).saturating_sub(now) as f64 / 1e9)
                    .max(0.1);
            }
        }
        if wait > 0.0 {
            return Verdict::Refused { advice: (wait.min(60.0) * 1e9) as Time };
        }
        self.level[QUOTA] -= if plan.limits(QUOTA) { units } else { 0.0 };
        self.level[HARD_LIMIT] -= if plan.limits(HARD_LIMIT) { units } else { 0.0 };
        Verdict::Granted
    }

    /// Refunds the units of a request that was never sent. Units of the hard limit are not refunded.
    pub fn refund(&mut self, units: f64) {
        if self.lease != 0 {
            self.spent[QUOTA] = (self.spent[QUOTA] - units).max(0.0);
        } else if self.updated_at > 0 {
            self.level[QUOTA] += units;
        }
    }

    /// Updates the demand and returns the part of the lease that is not needed.
    pub fn tick(&mut self, now: Time, tick_secs: f64, config: &LeaseConfig) {
        self.demand += (self.requested_units / tick_secs - self.demand) * EWMA_WEIGHT;
        if self.demand < NEGLIGIBLE_DEMAND {
            self.demand = 0.0;
        }
        self.requested_units = 0.0;
        self.idle_ticks += 1;
        if self.lease == 0 {
            return;
        }
        let in_use = f64::from(self.in_use);
        if now >= self.expires_at {
            // No attempt may start on an expired lease. Its planner counts its slots until the attempts have certainly
            // ended, or until they are reported as ended.
            let kept = if planted!("over-given-back") { 0.0 } else { in_use };
            self.returned[SLOTS] += (self.remaining(SLOTS) - kept).max(0.0);
            return;
        }
        // Unspent units of a customer without demand are returned at once.
        let headroom = config.headroom(self.plan, QUOTA);
        let kept = if self.demand > 0.0 { self.demand * tick_secs * LEASE_TICKS + headroom } else { 0.0 };
        if self.remaining(QUOTA) > 2.0 * kept {
            self.returned[QUOTA] += self.remaining(QUOTA) - kept;
        }
        let kept = if self.demand > 0.0 { (1.5 * in_use + 2.0).ceil() } else { in_use };
        // One or two surplus slots are not worth a report while the pool has others.
        let tolerance = if self.demand > 0.0 && !self.is_pool_empty { 2.0 } else { 0.0 };
        if self.remaining(SLOTS) > kept + tolerance {
            self.returned[SLOTS] += self.remaining(SLOTS) - kept;
        }
    }

    /// Whether removing and recreating the account changes nothing: its bucket, if the own share was spent, has refilled.
    pub fn can_be_forgotten(
        &self,
        now: Time,
        own_since: Option<Time>,
        seat: Seat,
        config: &LeaseConfig,
    ) -> bool {
        let Some(since) = own_since.filter(|since| self.updated_at > *since) else { return true };
        let full = |kind: usize| {
            let (rate, depth) = config.seat_share(self.plan, kind, seat);
            let recreated_level = (rate * now.saturating_sub(since) as f64 / 1e9).min(depth);
            self.level[kind] + rate * now.saturating_sub(self.updated_at) as f64 / 1e9 >= recreated_level
        };
        planted!("own-store-forgotten") || full(QUOTA) && full(HARD_LIMIT)
    }

    /// Resets the account after a panic. All granted and accumulated units count as spent.
    pub fn reset(&mut self, now: Time) {
        self.drop_lease();
        (self.updated_at, self.demand, self.requested_units) = (now, 0.0, 0.0);
    }

    /// Whether the next report must include this customer: its lease is short of units or close to expiry, or amounts
    /// have been returned.
    pub fn needs_report(&self, now: Time, config: &LeaseConfig) -> bool {
        let is_active = self.demand > 0.0 || self.in_use > 0 || (self.lease != 0 && self.idle_ticks < 20);
        if !is_active || self.lease == 0 || self.is_pool_empty {
            return is_active;
        }
        let Some(plan) = config.plans.get(self.plan) else { return false };
        // The headroom plus the demand of two ticks: half of what a grant fills up to.
        let min_remaining = self.demand * config.tick as f64 / 1e9 * LEASE_TICKS / 2.0;
        let is_short = |kind: usize| {
            plan.limits(kind) && self.remaining(kind) < min_remaining + config.headroom(self.plan, kind)
        };
        let is_short = is_short(QUOTA)
            || is_short(HARD_LIMIT)
            || plan.limits(SLOTS) && self.remaining(SLOTS) < f64::from(self.in_use) + 2.0;
        self.demand > 0.0 && is_short
            || self.expires_at < now + config.lease_duration_at_forwarder() / 2
            || self.returned != self.reported_returned
    }

    /// Returns the customer's entry for a report.
    pub fn entry(&mut self, customer: &Name) -> Entry {
        self.reported_returned = self.returned;
        Entry {
            customer: customer.clone(),
            plan: self.plan as u16,
            lease: self.lease,
            spent: self.spent,
            returned: self.returned,
            demand: self.demand,
            in_use: f64::from(self.in_use),
        }
    }

    /// Applies a granted lease. An older or invalid lease is ignored.
    pub fn apply_lease(&mut self, lease: &Lease, expires_at: Time) {
        if !lease.granted.iter().all(|v| v.is_finite() && *v >= 0.0) || lease.lease < self.lease {
            return;
        }
        if lease.lease != self.lease {
            self.drop_lease();
            self.lease = lease.lease;
        }
        for kind in [QUOTA, HARD_LIMIT, SLOTS] {
            if planted!("grant-twice") {
                self.granted[kind] += lease.granted[kind] / 4.0;
            }
            self.granted[kind] = self.granted[kind].max(lease.granted[kind]);
        }
        if lease.is_renewed {
            self.expires_at = self.expires_at.max(expires_at);
        }
        self.is_pool_empty = lease.is_pool_empty;
    }
}
