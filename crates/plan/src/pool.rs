//! One customer's pool: what is left of the lent shares, and who holds leases of it.

use crate::message::{Amounts, Entry, Lease, Seat, CEILING, QUOTA, SLOTS};
use crate::Terms;
use granite_interface::Time;

/// The shares that a planner counts: those of seats whose loans outlast a lease granted now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    /// Seats and since when each has lent, without a gap.
    pub lent: Vec<(Seat, Time)>,
    /// Those of them on whose slots nothing rests from elsewhere any more.
    pub slots: Vec<Seat>,
    /// When the last of them began.
    pub latest: Time,
}

impl Shares {
    /// How many seats had lent by then.
    fn by(&self, then: Time) -> usize {
        if then >= self.latest {
            return self.lent.len();
        }
        self.lent.iter().filter(|(_, since)| *since <= then).count()
    }

    /// What the pool holds at the most.
    fn depth(&self, terms: &Terms, plan: usize, kind: usize) -> f64 {
        if kind == SLOTS {
            return self.slots.iter().map(|seat| terms.own(plan, kind, *seat).1).sum();
        }
        terms.own(plan, kind, 0).1 * self.lent.len() as f64
    }
}

/// Who holds a lease: a seat, in one life, for one loan. What another loan says of it counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Whose {
    pub seat: Seat,
    pub incarnation: u64,
    pub loan: u64,
}

/// A lease that a seat holds.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub whose: Whose,
    pub lease: u64,
    pub granted: Amounts,
    spent: Amounts,
    returned: Amounts,
    pub until: Time,
    demand: f64,
}

impl Held {
    /// What may yet be spent of it, or is held of it.
    fn outstanding(&self, kind: usize) -> f64 {
        (self.granted[kind] - self.spent[kind] - self.returned[kind]).max(0.0)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub plan: u16,
    at: Time,
    level: Amounts,
    pub leases: Vec<Held>,
    /// Slots of leases that have ended, and until when an attempt may still be out on them.
    ended: Vec<(Time, f64)>,
}

/// For how many ticks of its demand a seat holds a lease.
const HORIZON: f64 = 4.0;

impl Pool {
    pub fn new(plan: u16) -> Self {
        // As old as time: it has been filling since each share was lent.
        Pool { plan, at: 0, level: [0.0; 3], leases: Vec::new(), ended: Vec::new() }
    }

    pub fn outstanding(&self, kind: usize) -> f64 {
        self.leases.iter().map(|h| h.outstanding(kind)).sum()
    }

    pub fn level(&self, kind: usize) -> f64 {
        self.level[kind]
    }

    /// Fills the pool up to then, which is not after now.
    fn fill(&mut self, then: Time, shares: &Shares, terms: &Terms) {
        let secs = |from: Time| then.saturating_sub(from) as f64 / 1e9;
        let plan = usize::from(self.plan);
        let stayed = shares.by(self.at);
        let come: Vec<Time> = if stayed < shares.lent.len() {
            shares.lent.iter().map(|l| l.1).filter(|since| (self.at + 1..=then).contains(since)).collect()
        } else {
            Vec::new()
        };
        for kind in [QUOTA, CEILING] {
            let (rate, depth) = terms.own(plan, kind, 0);
            // Leases that are out count as unspent: whatever they hold and the level fit the shares together.
            let out = self.outstanding(kind);
            let fit = |level: f64, seats: usize| level.min((depth * seats as f64 - out).max(0.0));
            // A seat that has lent anew since was in its owner's hands meanwhile: what the pool held of its
            // share is gone, and it begins to fill again from then on.
            let level = fit(self.level[kind] + rate * secs(self.at) * stayed as f64, stayed);
            let anew: f64 = come.iter().map(|since| rate * secs(*since)).sum();
            self.level[kind] = fit(level + anew, stayed + come.len());
        }
        self.at = then;
    }

    /// Brings the pool up to now: leases that have ended are gone with what they held, and the shares fill it.
    pub fn advance(&mut self, now: Time, shares: &Shares, terms: &Terms) {
        // In order: until a lease ends, what it holds leaves that much less room to fill.
        while let Some(n) = self.next_end(now) {
            self.fill(self.leases[n].until.max(self.at), shares, terms);
            let over = self.leases.swap_remove(n);
            // It may have spent everything in silence; attempts that it began may still be out.
            let slots = over.outstanding(SLOTS);
            if slots > 0.0 {
                self.ended.push((over.until + terms.attempt_over(), slots));
            }
            if planted!("expired-comes-back") {
                self.level[QUOTA] += over.outstanding(QUOTA);
                self.level[CEILING] += over.outstanding(CEILING);
            }
        }
        self.fill(now, shares, terms);
        self.ended.retain(|(until, _)| *until >= now);
        let held: f64 = self.ended.iter().map(|(_, slots)| slots).sum();
        let depth = shares.depth(terms, usize::from(self.plan), SLOTS);
        self.level[SLOTS] = (depth - self.outstanding(SLOTS) - held).max(0.0).floor();
    }

    /// The lease that ended first, if one has.
    fn next_end(&self, now: Time) -> Option<usize> {
        let over = self.leases.iter().enumerate().filter(|(_, h)| h.until < now);
        over.min_by_key(|(_, h)| h.until).map(|(n, _)| n)
    }

    /// Whether it holds all that it can: forgotten and made anew, it would be the same.
    pub fn full(&self, shares: &Shares, terms: &Terms) -> bool {
        let plan = usize::from(self.plan);
        let full = |kind| self.level[kind] >= shares.depth(terms, plan, kind);
        self.leases.is_empty() && self.ended.is_empty() && full(QUOTA) && full(CEILING)
    }

    /// Takes in what a seat says of its lease. Counters never run back, nor past what was granted.
    pub fn reported(&mut self, whose: Whose, entry: &Entry) {
        let Some(held) = self.leases.iter_mut().find(|h| h.whose == whose && h.lease == entry.lease) else {
            return;
        };
        for kind in [QUOTA, CEILING, SLOTS] {
            let spent = entry.spent[kind].clamp(held.spent[kind], held.granted[kind] - held.returned[kind]);
            if kind != SLOTS {
                held.spent[kind] = spent.max(held.spent[kind]);
            }
            let most = held.granted[kind] - held.spent[kind];
            let returned = entry.returned[kind].min(most).max(held.returned[kind]);
            let back = returned - held.returned[kind];
            held.returned[kind] = returned;
            // Of the hard ceiling nothing comes back: who says that it has not spent what it has gains nothing.
            if kind == QUOTA {
                self.level[QUOTA] += back;
            }
        }
    }

    /// Whether the leases that are out fit the shares: not when one has just been withdrawn. Leases are not
    /// renewed then, so that none rests on it when its owner spends it again.
    fn fits(&self, shares: &Shares, terms: &Terms) -> bool {
        let plan = usize::from(self.plan);
        let held: f64 = self.ended.iter().map(|(_, slots)| slots).sum();
        [(QUOTA, 0.0), (CEILING, 0.0), (SLOTS, held)].into_iter().all(|(kind, held)| {
            let out = self.outstanding(kind) + held;
            out <= 1e-9 || out <= shares.depth(terms, plan, kind) + 1e-9
        })
    }

    /// Grants a seat what its demand wants and the pool has, for as long as a lease lives.
    pub fn grant(
        &mut self,
        now: Time,
        whose: Whose,
        entry: &Entry,
        fresh: u64,
        shares: &Shares,
        terms: &Terms,
    ) -> Lease {
        let until = now + terms.lease;
        let fits = self.fits(shares, terms) || planted!("renewed-beyond-shares");
        let known = self.leases.iter().position(|h| h.whose == whose && h.lease == entry.lease);
        let n = known.unwrap_or_else(|| {
            // What it has out already came from its own share, or from a lease that has ended. It counts whole,
            // also while the share that it came from does not: that may be counted before the attempts end.
            let in_use = entry.in_use.min(terms.plans[usize::from(self.plan)].slots).floor();
            self.level[SLOTS] = (self.level[SLOTS] - in_use).max(0.0);
            let (spent, returned) = ([0.0; 3], [0.0; 3]);
            let granted = [0.0, 0.0, in_use];
            self.leases.push(Held { whose, lease: fresh, granted, spent, returned, until, demand: 0.0 });
            self.leases.len() - 1
        });
        let renewed = fits || known.is_none();
        if renewed {
            self.leases[n].until = until;
        }
        self.leases[n].demand = entry.demand;
        let all: f64 = self.leases.iter().map(|h| h.demand).sum();
        let part = if all > 0.0 { entry.demand / all } else { 0.0 };
        let ticks = terms.tick as f64 / 1e9 * HORIZON;
        let plan = usize::from(self.plan);
        let mut dry = false;
        for kind in [QUOTA, CEILING] {
            let (rate, depth) = terms.own(plan, kind, 0);
            if rate <= 0.0 || entry.demand <= 0.0 {
                continue;
            }
            let wanted = (entry.demand * ticks + terms.most_units).min(depth * f64::from(terms.seats));
            let short = (wanted - self.leases[n].outstanding(kind)).max(0.0);
            // In want each gets by what it is asked for; who asks alone gets all.
            let given = short.min(self.level[kind] * part);
            if !planted!("lease-not-charged") {
                self.level[kind] -= given;
            }
            self.leases[n].granted[kind] += given;
            dry |= self.leases[n].outstanding(kind) < terms.most_units.min(entry.demand * ticks);
        }
        if terms.plans.get(plan).is_some_and(|p| p.limits(SLOTS)) && entry.demand > 0.0 {
            let wanted = (1.5 * entry.in_use + 2.0).ceil();
            let given =
                (wanted - self.leases[n].outstanding(SLOTS)).clamp(0.0, self.level[SLOTS].max(0.0)).floor();
            self.level[SLOTS] -= given;
            self.leases[n].granted[SLOTS] += given;
            dry |= self.leases[n].outstanding(SLOTS) <= entry.in_use;
        }
        let Held { lease, granted, .. } = self.leases[n];
        Lease { customer: entry.customer.clone(), lease, granted, renewed, dry }
    }
}
