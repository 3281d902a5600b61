//! One customer's pool: what is left of the lent shares, and who holds leases of it.

use crate::message::{Amounts, Entry, Lease, Seat, HARD_LIMIT, QUOTA, SLOTS};
use crate::LeaseConfig;
use interface::Time;

/// The shares that a planner counts: those of seats whose loans outlast a lease granted now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    /// Seats and since when each has lent, without a gap.
    pub lent: Vec<(Seat, Time)>,
    /// By plan, the slots of those of them on whose slots nothing rests from elsewhere any more.
    pub slots: Vec<f64>,
    /// When the last of them began.
    pub latest: Time,
    /// What they have out now, all together.
    pub busy: f64,
    /// Until when all of this stands, if no seat begins or ends a loan.
    pub valid_until: Time,
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
    fn depth(&self, terms: &LeaseConfig, plan: usize, kind: usize) -> f64 {
        if kind == SLOTS {
            return self.slots.get(plan).copied().unwrap_or(0.0);
        }
        terms.seat_share(plan, kind, 0).1 * self.lent.len() as f64
    }
}

/// Who holds a lease: a seat, in one life, for one loan. What another loan says of it counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseHolder {
    pub seat: Seat,
    pub incarnation: u64,
    pub loan: u64,
}

/// A lease that a seat holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub holder: LeaseHolder,
    pub lease: u64,
    pub granted: Amounts,
    spent: Amounts,
    returned: Amounts,
    pub until: Time,
    demand: f64,
    /// Whether a report has named it. Until then the grant that offers it may be on its way, or lost.
    is_confirmed: bool,
}

impl HeldLease {
    /// What may yet be spent of it, or is held of it.
    fn outstanding(&self, kind: usize) -> f64 {
        (self.granted[kind] - self.spent[kind] - self.returned[kind]).max(0.0)
    }
}

/// Slots on which attempts may still be out though no lease covers them: of a lease that has ended, or in use
/// before one began. They count until the attempts have surely ended, and nothing new begins on them.
#[derive(Clone, Debug)]
struct EndedLease {
    /// None: nobody knows any more.
    holder: Option<LeaseHolder>,
    /// The lease that has ended, or 0.
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
    /// Nothing is granted before then, since what was is not known any more.
    closed_until: Time,
}

/// For how many ticks of its demand a seat holds a lease.
const DEMAND_TICKS: f64 = 4.0;

impl Pool {
    /// A pool that has been filling since each share was lent.
    pub fn new(plan: u16) -> Self {
        // As old as time: it has been filling since each share was lent.
        Pool {
            plan,
            updated_at: 0,
            level: [0.0; 3],
            leases: Vec::new(),
            ended_leases: Vec::new(),
            closed_until: 0,
        }
    }

    /// A pool of which everything is forgotten but that leases may be out: as if all of it had just been lent.
    /// It is closed until the last of them has ended, and empty then.
    pub fn forgotten(plan: u16, now: Time, terms: &LeaseConfig) -> Self {
        let mut pool = Pool::new(plan);
        if planted!("forgotten-begins-full") {
            return pool;
        }
        (pool.closed_until, pool.updated_at) = (now + terms.lease_ttl, now + terms.lease_ttl);
        pool.reserve_all_slots(pool.closed_until, terms);
        pool
    }

    /// Holds all slots back: attempts that nobody counted may have begun on them until then.
    pub fn reserve_all_slots(&mut self, begun: Time, terms: &LeaseConfig) {
        let slots = terms.plans.get(usize::from(self.plan)).map_or(0.0, |p| p.slots);
        if slots > 0.0 {
            let until = begun + terms.max_attempt_duration();
            self.ended_leases.push(EndedLease { holder: None, lease: 0, granted: slots, slots, until });
        }
    }

    /// Whether it grants anything yet.
    pub fn is_open(&self, now: Time) -> bool {
        now > self.closed_until || self.closed_until == 0
    }

    fn reserved_slots(&self) -> f64 {
        self.ended_leases.iter().map(|e| e.slots).sum()
    }

    /// What a seat may have out: the slots of its leases, and of those that have ended.
    fn covered(&self, whose: LeaseHolder) -> f64 {
        let held = self.leases.iter().filter(|h| h.holder == whose).map(|h| h.outstanding(SLOTS));
        held.chain(self.ended_leases.iter().filter(|e| e.holder == Some(whose)).map(|e| e.slots)).sum()
    }

    /// What all leases may yet spend, or hold, of this kind.
    pub fn outstanding(&self, kind: usize) -> f64 {
        self.leases.iter().map(|h| h.outstanding(kind)).sum()
    }

    /// What the pool has left of this kind.
    pub fn level(&self, kind: usize) -> f64 {
        self.level[kind]
    }

    /// Fills the pool up to then, which is not after now.
    fn fill(&mut self, then: Time, shares: &Shares, terms: &LeaseConfig) {
        let secs = |from: Time| then.saturating_sub(from) as f64 / 1e9;
        let plan = usize::from(self.plan);
        let stayed = shares.by(self.updated_at);
        let come: Vec<Time> = if stayed < shares.lent.len() {
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
            let (rate, depth) = terms.seat_share(plan, kind, 0);
            // Leases that are out count as unspent: whatever they hold and the level fit the shares together.
            let out = self.outstanding(kind);
            let fit = |level: f64, seats: usize| level.min((depth * seats as f64 - out).max(0.0));
            // A seat that has lent anew since was in its owner's hands meanwhile: what the pool held of its
            // share is gone, and it begins to fill again from then on.
            let level = fit(self.level[kind] + rate * secs(self.updated_at) * stayed as f64, stayed);
            let anew: f64 = come.iter().map(|since| rate * secs(*since)).sum();
            self.level[kind] = fit(level + anew, stayed + come.len());
        }
        self.updated_at = then;
    }

    /// Brings the pool up to now: leases that have ended are gone with what they held, and the shares fill it.
    pub fn advance(&mut self, now: Time, shares: &Shares, terms: &LeaseConfig) {
        if !self.is_open(now) {
            return;
        }
        // In order: until a lease ends, what it holds leaves that much less room to fill.
        while let Some(n) = self.next_expired_lease(now) {
            self.fill(self.leases[n].until.max(self.updated_at), shares, terms);
            let over = self.leases.swap_remove(n);
            // It may have spent everything in silence; attempts that it began may still be out.
            let slots = over.outstanding(SLOTS);
            if slots > 0.0 {
                let HeldLease { holder: whose, lease, granted, .. } = over;
                let until = over.until + terms.max_attempt_duration();
                let granted = granted[SLOTS];
                self.ended_leases.push(EndedLease { holder: Some(whose), lease, granted, slots, until });
            }
            if planted!("expired-comes-back") {
                self.level[QUOTA] += over.outstanding(QUOTA);
                self.level[HARD_LIMIT] += over.outstanding(HARD_LIMIT);
            }
        }
        self.fill(now, shares, terms);
        self.ended_leases.retain(|e| e.until >= now && e.slots > 0.0);
        self.level[SLOTS] = self.free_slots(shares, terms).max(0.0).floor();
    }

    /// Slots that nothing holds; below nothing when shares have been withdrawn on which something still rests.
    fn free_slots(&self, shares: &Shares, terms: &LeaseConfig) -> f64 {
        shares.depth(terms, usize::from(self.plan), SLOTS) - self.outstanding(SLOTS) - self.reserved_slots()
    }

    /// The lease that ended first, if one has.
    fn next_expired_lease(&self, now: Time) -> Option<usize> {
        let over = self.leases.iter().enumerate().filter(|(_, h)| h.until < now);
        over.min_by_key(|(_, h)| h.until).map(|(n, _)| n)
    }

    /// Whether it holds all that it can: forgotten and made anew, it would be the same.
    pub fn is_full(&self, shares: &Shares, terms: &LeaseConfig) -> bool {
        let plan = usize::from(self.plan);
        let full = |kind| self.level[kind] >= shares.depth(terms, plan, kind);
        self.leases.is_empty() && self.ended_leases.is_empty() && full(QUOTA) && full(HARD_LIMIT)
    }

    /// Takes in what a seat says of its lease. Counters never run back, nor past what was granted.
    pub fn apply_report(&mut self, whose: LeaseHolder, entry: &Entry) {
        // Of a lease that has ended its holder gives back what nothing is out on any more.
        if let Some(e) =
            self.ended_leases.iter_mut().find(|e| e.holder == Some(whose) && e.lease == entry.lease)
        {
            e.slots = e.slots.min((e.granted - entry.returned[SLOTS]).max(0.0));
            return;
        }
        let Some(held) = self.leases.iter_mut().find(|h| h.holder == whose && h.lease == entry.lease) else {
            return;
        };
        held.is_confirmed = true;
        for kind in [QUOTA, HARD_LIMIT, SLOTS] {
            // What was taken in stands, also where sums of fractions round past each other.
            let most = held.granted[kind] - held.returned[kind];
            let spent = if planted!("clamp-panics") {
                entry.spent[kind].clamp(held.spent[kind], most)
            } else {
                entry.spent[kind].min(most).max(held.spent[kind])
            };
            if kind != SLOTS {
                held.spent[kind] = spent;
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
    fn fits_shares(&self, shares: &Shares, terms: &LeaseConfig) -> bool {
        let plan = usize::from(self.plan);
        let held = self.reserved_slots();
        [(QUOTA, 0.0), (HARD_LIMIT, 0.0), (SLOTS, held)].into_iter().all(|(kind, held)| {
            let out = self.outstanding(kind) + held;
            out <= 1e-9 || out <= shares.depth(terms, plan, kind) + 1e-9
        })
    }

    /// Grants a seat what its demand wants and the pool has, for as long as a lease lives.
    pub fn grant(
        &mut self,
        now: Time,
        whose: LeaseHolder,
        entry: &Entry,
        fresh: u64,
        shares: &Shares,
        terms: &LeaseConfig,
    ) -> Lease {
        let until = now + terms.lease_ttl;
        let fits = self.fits_shares(shares, terms) || planted!("renewed-beyond-shares");
        // One that its holder has not heard of yet is offered again; of one that it has forgotten it can't say
        // what it spent, and a new one begins.
        let offered =
            |h: &HeldLease| h.lease > entry.lease && (!h.is_confirmed || planted!("forgotten-offered-again"));
        let known =
            self.leases.iter().position(|h| h.holder == whose && (h.lease == entry.lease || offered(h)));
        let n = known.unwrap_or_else(|| self.begin_lease(now, whose, entry, fresh, until, terms));
        let renewed = fits || known.is_none();
        if renewed {
            self.leases[n].until = until;
        }
        self.leases[n].demand = entry.demand;
        let all: f64 = self.leases.iter().map(|h| h.demand).sum();
        let part = if all > 0.0 { entry.demand / all } else { 0.0 };
        let ticks = terms.tick as f64 / 1e9 * DEMAND_TICKS;
        let plan = usize::from(self.plan);
        let mut dry = false;
        for kind in [QUOTA, HARD_LIMIT] {
            let (rate, depth) = terms.seat_share(plan, kind, 0);
            if rate <= 0.0 || entry.demand <= 0.0 {
                continue;
            }
            let wanted =
                (entry.demand * ticks + terms.margin(plan, kind)).min(depth * f64::from(terms.seats));
            let short = (wanted - self.leases[n].outstanding(kind)).max(0.0);
            // In want each gets by what it is asked for, but one whole request if there is as much; who asks
            // alone gets all.
            let least = self.level[kind].min(terms.max_request_units);
            let given = short.min((self.level[kind] * part).max(least));
            if !planted!("lease-not-charged") {
                self.level[kind] -= given;
            }
            self.leases[n].granted[kind] += given;
            dry |= self.leases[n].outstanding(kind) < terms.max_request_units.min(entry.demand * ticks);
        }
        if terms.plans.get(plan).is_some_and(|p| p.limits(SLOTS)) && entry.demand > 0.0 {
            let wanted = (1.5 * entry.in_use + 2.0).ceil();
            if renewed {
                self.reclaim_slots(n, wanted, shares, terms);
            }
            let short = wanted - self.leases[n].outstanding(SLOTS);
            let given = short.min(self.level[SLOTS]).max(0.0).floor();
            self.level[SLOTS] -= given;
            self.leases[n].granted[SLOTS] += given;
            dry |= self.leases[n].outstanding(SLOTS) <= entry.in_use;
        }
        let HeldLease { lease, granted, .. } = self.leases[n];
        Lease { customer: entry.customer.clone(), lease, granted, is_renewed: renewed, is_pool_empty: dry }
    }

    /// A new lease, with nothing to spend but slots for what its holder has out already and is not counted yet:
    /// as many as the pool has free. The others count until those attempts have ended, but nothing new may begin
    /// on them: what they rest on may be another's by then.
    fn begin_lease(
        &mut self,
        now: Time,
        whose: LeaseHolder,
        entry: &Entry,
        lease: u64,
        until: Time,
        terms: &LeaseConfig,
    ) -> usize {
        let in_use = entry.in_use.min(terms.plans[usize::from(self.plan)].slots).floor();
        let mut slots = (in_use - self.covered(whose)).max(0.0);
        if planted!("in-use-uncounted") {
            slots = 0.0;
        }
        let mut free = slots.min(self.level[SLOTS]);
        if planted!("slots-laundered") {
            (slots, free) = (in_use, in_use);
        }
        self.level[SLOTS] = (self.level[SLOTS] - free).max(0.0);
        let (granted, rest) = ([0.0, 0.0, free], slots - free);
        if rest > 0.0 {
            let until = now + terms.max_attempt_duration();
            self.ended_leases.push(EndedLease {
                holder: Some(whose),
                lease: 0,
                granted: rest,
                slots: rest,
                until,
            });
        }
        let (spent, returned) = ([0.0; 3], [0.0; 3]);
        self.leases.push(HeldLease {
            holder: whose,
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

    /// Takes up into a lease what its holder's earlier ones left held back, as far as all that is counted fits
    /// the shares: the attempts are the same, wherever they are counted.
    fn reclaim_slots(&mut self, n: usize, wanted: f64, shares: &Shares, terms: &LeaseConfig) {
        let over = (-self.free_slots(shares, terms)).max(0.0).ceil();
        let over = if planted!("withdrawn-taken-up") { 0.0 } else { over };
        let held = &mut self.leases[n];
        let mine = |e: &&mut EndedLease| e.holder == Some(held.holder);
        let all: f64 =
            self.ended_leases.iter().filter(|e| e.holder == Some(held.holder)).map(|e| e.slots).sum();
        let mut most = (wanted - held.outstanding(SLOTS)).min(all - over).max(0.0).floor();
        for e in self.ended_leases.iter_mut().filter(mine) {
            let part = e.slots.min(most);
            (e.slots, e.granted, most) = (e.slots - part, e.granted - part, most - part);
            held.granted[SLOTS] += part;
        }
    }
}
