//! One customer at one forwarder: its lease, or its part of the forwarder's own share.

use crate::Verdict;
use interface::{Name, Time};
use plan::message::{Amounts, Entry, Lease, Seat, HARD_LIMIT, QUOTA, SLOTS};
use plan::LeaseConfig;

/// For how many ticks of its demand a lease is kept; what is beyond twice that goes back.
const LEASE_TICKS: f64 = 4.0;
/// How much of a tick's asking enters the demand.
const EWMA_WEIGHT: f64 = 0.3;
/// Below so little, in units a second, a customer asks nothing.
const NEGLIGIBLE_DEMAND: f64 = 0.01;

#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerAccount {
    plan: usize,
    lease: u64,
    granted: Amounts,
    spent: Amounts,
    returned: Amounts,
    until: Time,
    is_pool_empty: bool,
    /// What the last report said was returned.
    reported_returned: Amounts,
    /// What is left of its part of the own share, as of `at`.
    level: [f64; 2],
    updated_at: Time,
    pub in_use: u32,
    demand: f64,
    /// Units asked for since the last tick, and for how many ticks nothing was.
    pub requested_units: f64,
    pub idle_ticks: u64,
}

impl CustomerAccount {
    /// A customer without a lease.
    pub fn new(plan: usize) -> Self {
        CustomerAccount { plan, ..CustomerAccount::default() }
    }

    /// Neither the lease nor what had gathered of the own share is spent any more.
    pub fn drop_lease(&mut self) {
        (self.lease, self.until, self.updated_at) = (0, 0, 0);
        (self.granted, self.spent, self.returned, self.reported_returned) = Default::default();
        (self.level, self.is_pool_empty) = ([0.0; 2], false);
    }

    fn remaining(&self, kind: usize) -> f64 {
        self.granted[kind] - self.spent[kind] - self.returned[kind]
    }

    /// Spends from the lease. `silent`: the planner is, and after so long the own share may be spent.
    pub fn spend_lease(
        &mut self,
        now: Time,
        units: f64,
        terms: &LeaseConfig,
        silent: Option<Time>,
    ) -> Verdict {
        let plan = &terms.plans[self.plan];
        let live = self.lease != 0 && (now < self.until || planted!("lease-never-ends"));
        let needs = [units, units, f64::from(self.in_use) + 1.0];
        let covers = |kind: usize| !plan.limits(kind) || self.remaining(kind) >= needs[kind];
        if live && covers(QUOTA) && covers(HARD_LIMIT) && covers(SLOTS) {
            self.spent[QUOTA] += if plan.limits(QUOTA) { units } else { 0.0 };
            self.spent[HARD_LIMIT] += if plan.limits(HARD_LIMIT) { units } else { 0.0 };
            return Verdict::Granted;
        }
        match silent {
            Some(advice) => Verdict::Refused { advice },
            None if live && self.is_pool_empty => Verdict::Refused { advice: self.refill(units, terms) },
            None => Verdict::Wait,
        }
    }

    /// How long the whole store takes to gather so much.
    fn refill(&self, units: f64, terms: &LeaseConfig) -> Time {
        let plan = &terms.plans[self.plan];
        let secs = |rate: f64| if rate > 0.0 { units / rate } else { 0.0 };
        (secs(plan.quota_rate).max(secs(plan.hard_limit_rate)) * 1e9) as Time
    }

    /// Spends from the own share, which has been filling since it is spent here.
    pub fn spend_own(
        &mut self,
        now: Time,
        (since, slots_at): (Time, Time),
        units: f64,
        seat: Seat,
        terms: &LeaseConfig,
    ) -> Verdict {
        let from = self.updated_at.max(since);
        let passed = now.saturating_sub(from) as f64 / 1e9;
        self.updated_at = now.max(since);
        let plan = &terms.plans[self.plan];
        let mut wait: f64 = 0.0;
        for kind in [QUOTA, HARD_LIMIT] {
            let (rate, depth) = terms.seat_share(self.plan, kind, seat);
            self.level[kind] = (self.level[kind] + rate * passed).min(depth);
            if plan.limits(kind) && self.level[kind] < units {
                // What its store never holds never goes: as long as the whole takes is as good an advice as any.
                wait = wait.max((units - self.level[kind]) / rate.max(1e-9));
            }
        }
        if plan.limits(SLOTS) {
            // Attempts may still be out that rest on this share elsewhere.
            let free = now >= slots_at;
            let slots = if free { terms.seat_share(self.plan, SLOTS, seat).1 } else { 0.0 };
            if f64::from(self.in_use) + 1.0 > slots {
                wait = wait
                    .max((since + terms.max_attempt + terms.lease_ttl).saturating_sub(now) as f64 / 1e9)
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

    /// Units that were taken for a request that never went out. Of the hard ceiling nothing comes back.
    pub fn give_back(&mut self, units: f64) {
        if self.lease != 0 {
            self.spent[QUOTA] = (self.spent[QUOTA] - units).max(0.0);
        } else if self.updated_at > 0 {
            self.level[QUOTA] += units;
        }
    }

    /// Updates the demand, and returns what is not needed of the lease.
    pub fn tick(&mut self, now: Time, seconds: f64, terms: &LeaseConfig) {
        self.demand += (self.requested_units / seconds - self.demand) * EWMA_WEIGHT;
        if self.demand < NEGLIGIBLE_DEMAND {
            self.demand = 0.0;
        }
        self.requested_units = 0.0;
        self.idle_ticks += 1;
        if self.lease == 0 {
            return;
        }
        let held = f64::from(self.in_use);
        if now >= self.until {
            // Nothing begins on it any more. Its planner counts its slots until attempts have surely ended, or
            // until it hears that they have.
            let keep = if planted!("over-given-back") { 0.0 } else { held };
            self.returned[SLOTS] += (self.remaining(SLOTS) - keep).max(0.0);
            return;
        }
        // What a customer that has moved on leaves unspent goes back at once.
        let margin = terms.margin(self.plan, QUOTA);
        let keep = if self.demand > 0.0 { self.demand * seconds * LEASE_TICKS + margin } else { 0.0 };
        if self.remaining(QUOTA) > 2.0 * keep {
            self.returned[QUOTA] += self.remaining(QUOTA) - keep;
        }
        let keep = if self.demand > 0.0 { (1.5 * held + 2.0).ceil() } else { held };
        // A slot or two are not worth a word, as long as there are others in the pool.
        let spare = if self.demand > 0.0 && !self.is_pool_empty { 2.0 } else { 0.0 };
        if self.remaining(SLOTS) > keep + spare {
            self.returned[SLOTS] += self.remaining(SLOTS) - keep;
        }
    }

    /// Whether it says no more than one made anew would: its own store, where that is spent, is full again.
    pub fn can_be_forgotten(
        &self,
        now: Time,
        own_since: Option<Time>,
        seat: Seat,
        terms: &LeaseConfig,
    ) -> bool {
        let Some(since) = own_since.filter(|since| self.updated_at > *since) else { return true };
        let full = |kind: usize| {
            let (rate, depth) = terms.seat_share(self.plan, kind, seat);
            let anew = (rate * now.saturating_sub(since) as f64 / 1e9).min(depth);
            self.level[kind] + rate * now.saturating_sub(self.updated_at) as f64 / 1e9 >= anew
        };
        planted!("own-store-forgotten") || full(QUOTA) && full(HARD_LIMIT)
    }

    /// After a panic: whatever was gathered or granted counts as spent.
    pub fn reset(&mut self, now: Time) {
        self.drop_lease();
        (self.updated_at, self.demand, self.requested_units) = (now, 0.0, 0.0);
    }

    /// Whether a report needs to speak of it: its lease runs short of units or time, or something goes back.
    pub fn needs_report(&self, now: Time, terms: &LeaseConfig) -> bool {
        let asked = self.demand > 0.0 || self.in_use > 0 || (self.lease != 0 && self.idle_ticks < 20);
        if !asked || self.lease == 0 || self.is_pool_empty {
            return asked;
        }
        let Some(plan) = terms.plans.get(self.plan) else { return false };
        // The margin and two ticks more: half of what a grant fills up to.
        let least = self.demand * terms.tick as f64 / 1e9 * LEASE_TICKS / 2.0;
        let short =
            |kind: usize| plan.limits(kind) && self.remaining(kind) < least + terms.margin(self.plan, kind);
        let short = short(QUOTA)
            || short(HARD_LIMIT)
            || plan.limits(SLOTS) && self.remaining(SLOTS) < f64::from(self.in_use) + 2.0;
        self.demand > 0.0 && short
            || self.until < now + terms.lease_duration_at_forwarder() / 2
            || self.returned != self.reported_returned
    }

    /// The customer's entry of a report.
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

    /// Applies a granted lease; one that is older or invalid changes nothing.
    pub fn apply_lease(&mut self, lease: &Lease, until: Time) {
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
            self.until = self.until.max(until);
        }
        self.is_pool_empty = lease.is_pool_empty;
    }
}
