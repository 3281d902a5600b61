//! One customer's pool: what is left of the lent shares, and who holds leases of it.

use crate::message::{Amounts, Entry, Lease, Seat, CEILING, QUOTA, SLOTS};
use crate::Terms;
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
    pub stands: Time,
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
            return self.slots.get(plan).copied().unwrap_or(0.0);
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
    /// Whether a report has named it. Until then the grant that offers it may be on its way, or lost.
    named: bool,
}

impl Held {
    /// What may yet be spent of it, or is held of it.
    fn outstanding(&self, kind: usize) -> f64 {
        (self.granted[kind] - self.spent[kind] - self.returned[kind]).max(0.0)
    }
}

/// Slots on which attempts may still be out though no lease covers them: of a lease that has ended, or in use
/// before one began. They count until the attempts have surely ended, and nothing new begins on them.
#[derive(Clone, Debug)]
struct Ended {
    /// None: nobody knows any more.
    whose: Option<Whose>,
    /// The lease that has ended, or 0.
    lease: u64,
    granted: f64,
    slots: f64,
    until: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub plan: u16,
    at: Time,
    level: Amounts,
    pub leases: Vec<Held>,
    ended: Vec<Ended>,
    /// Nothing is granted before then, since what was is not known any more.
    closed: Time,
}

/// For how many ticks of its demand a seat holds a lease.
const HORIZON: f64 = 4.0;

impl Pool {
    pub fn new(plan: u16) -> Self {
        // As old as time: it has been filling since each share was lent.
        Pool { plan, at: 0, level: [0.0; 3], leases: Vec::new(), ended: Vec::new(), closed: 0 }
    }

    /// A pool of which everything is forgotten but that leases may be out: as if all of it had just been lent.
    /// It is closed until the last of them has ended, and empty then.
    pub fn forgotten(plan: u16, now: Time, terms: &Terms) -> Self {
        let mut pool = Pool::new(plan);
        if planted!("forgotten-begins-full") {
            return pool;
        }
        (pool.closed, pool.at) = (now + terms.lease, now + terms.lease);
        pool.hold_slots(pool.closed, terms);
        pool
    }

    /// Holds all slots back: attempts that nobody counted may have begun on them until then.
    pub fn hold_slots(&mut self, begun: Time, terms: &Terms) {
        let slots = terms.plans.get(usize::from(self.plan)).map_or(0.0, |p| p.slots);
        if slots > 0.0 {
            let until = begun + terms.attempt_over();
            self.ended.push(Ended { whose: None, lease: 0, granted: slots, slots, until });
        }
    }

    /// Whether it grants anything yet.
    pub fn open(&self, now: Time) -> bool {
        now > self.closed || self.closed == 0
    }

    fn held_back(&self) -> f64 {
        self.ended.iter().map(|e| e.slots).sum()
    }

    /// What a seat may have out: the slots of its leases, and of those that have ended.
    fn covered(&self, whose: Whose) -> f64 {
        let held = self.leases.iter().filter(|h| h.whose == whose).map(|h| h.outstanding(SLOTS));
        held.chain(self.ended.iter().filter(|e| e.whose == Some(whose)).map(|e| e.slots)).sum()
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
        if !self.open(now) {
            return;
        }
        // In order: until a lease ends, what it holds leaves that much less room to fill.
        while let Some(n) = self.next_end(now) {
            self.fill(self.leases[n].until.max(self.at), shares, terms);
            let over = self.leases.swap_remove(n);
            // It may have spent everything in silence; attempts that it began may still be out.
            let slots = over.outstanding(SLOTS);
            if slots > 0.0 {
                let Held { whose, lease, granted, .. } = over;
                let until = over.until + terms.attempt_over();
                let granted = granted[SLOTS];
                self.ended.push(Ended { whose: Some(whose), lease, granted, slots, until });
            }
            if planted!("expired-comes-back") {
                self.level[QUOTA] += over.outstanding(QUOTA);
                self.level[CEILING] += over.outstanding(CEILING);
            }
        }
        self.fill(now, shares, terms);
        self.ended.retain(|e| e.until >= now && e.slots > 0.0);
        self.level[SLOTS] = self.room(shares, terms).max(0.0).floor();
    }

    /// Slots that nothing holds; below nothing when shares have been withdrawn on which something still rests.
    fn room(&self, shares: &Shares, terms: &Terms) -> f64 {
        shares.depth(terms, usize::from(self.plan), SLOTS) - self.outstanding(SLOTS) - self.held_back()
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
        // Of a lease that has ended its holder gives back what nothing is out on any more.
        if let Some(e) = self.ended.iter_mut().find(|e| e.whose == Some(whose) && e.lease == entry.lease) {
            e.slots = e.slots.min((e.granted - entry.returned[SLOTS]).max(0.0));
            return;
        }
        let Some(held) = self.leases.iter_mut().find(|h| h.whose == whose && h.lease == entry.lease) else {
            return;
        };
        held.named = true;
        for kind in [QUOTA, CEILING, SLOTS] {
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
    fn fits(&self, shares: &Shares, terms: &Terms) -> bool {
        let plan = usize::from(self.plan);
        let held = self.held_back();
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
        // One that its holder has not heard of yet is offered again; of one that it has forgotten it can't say
        // what it spent, and a new one begins.
        let offered = |h: &Held| h.lease > entry.lease && (!h.named || planted!("forgotten-offered-again"));
        let known =
            self.leases.iter().position(|h| h.whose == whose && (h.lease == entry.lease || offered(h)));
        let n = known.unwrap_or_else(|| self.begin(now, whose, entry, fresh, until, terms));
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
            let wanted =
                (entry.demand * ticks + terms.margin(plan, kind)).min(depth * f64::from(terms.seats));
            let short = (wanted - self.leases[n].outstanding(kind)).max(0.0);
            // In want each gets by what it is asked for, but one whole request if there is as much; who asks
            // alone gets all.
            let least = self.level[kind].min(terms.most_units);
            let given = short.min((self.level[kind] * part).max(least));
            if !planted!("lease-not-charged") {
                self.level[kind] -= given;
            }
            self.leases[n].granted[kind] += given;
            dry |= self.leases[n].outstanding(kind) < terms.most_units.min(entry.demand * ticks);
        }
        if terms.plans.get(plan).is_some_and(|p| p.limits(SLOTS)) && entry.demand > 0.0 {
            let wanted = (1.5 * entry.in_use + 2.0).ceil();
            if renewed {
                self.take_up(n, wanted, shares, terms);
            }
            let short = wanted - self.leases[n].outstanding(SLOTS);
            let given = short.min(self.level[SLOTS]).max(0.0).floor();
            self.level[SLOTS] -= given;
            self.leases[n].granted[SLOTS] += given;
            dry |= self.leases[n].outstanding(SLOTS) <= entry.in_use;
        }
        let Held { lease, granted, .. } = self.leases[n];
        Lease { customer: entry.customer.clone(), lease, granted, renewed, dry }
    }

    /// A new lease, with nothing to spend but slots for what its holder has out already and is not counted yet:
    /// as many as the pool has free. The others count until those attempts have ended, but nothing new may begin
    /// on them: what they rest on may be another's by then.
    fn begin(
        &mut self,
        now: Time,
        whose: Whose,
        entry: &Entry,
        lease: u64,
        until: Time,
        terms: &Terms,
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
            let until = now + terms.attempt_over();
            self.ended.push(Ended { whose: Some(whose), lease: 0, granted: rest, slots: rest, until });
        }
        let (spent, returned) = ([0.0; 3], [0.0; 3]);
        self.leases.push(Held { whose, lease, granted, spent, returned, until, demand: 0.0, named: false });
        self.leases.len() - 1
    }

    /// Takes up into a lease what its holder's earlier ones left held back, as far as all that is counted fits
    /// the shares: the attempts are the same, wherever they are counted.
    fn take_up(&mut self, n: usize, wanted: f64, shares: &Shares, terms: &Terms) {
        let over = (-self.room(shares, terms)).max(0.0).ceil();
        let over = if planted!("withdrawn-taken-up") { 0.0 } else { over };
        let held = &mut self.leases[n];
        let mine = |e: &&mut Ended| e.whose == Some(held.whose);
        let all: f64 = self.ended.iter().filter(|e| e.whose == Some(held.whose)).map(|e| e.slots).sum();
        let mut most = (wanted - held.outstanding(SLOTS)).min(all - over).max(0.0).floor();
        for e in self.ended.iter_mut().filter(mine) {
            let part = e.slots.min(most);
            (e.slots, e.granted, most) = (e.slots - part, e.granted - part, most - part);
            held.granted[SLOTS] += part;
        }
    }
}
