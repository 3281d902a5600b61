//! The forwarder's account: what is left of each lease, what was spent, what to report, and what may be spent
//! when every planner is lost.
//!
//! Spending is one look-up and a subtraction; no message goes out for a request. No I/O.
//!
//! | mode | spends from | left by |
//! | --- | --- | --- |
//! | `Cooling` | nothing: an earlier life's loan may not have ended | its time; a planner that still holds the loan (`Lent`) |
//! | `Own` | its own share, empty at first | a grant (`Lent`) |
//! | `Lent` | leases alone | no grant for a loan's life (`Own`) |
#![forbid(unsafe_code)]

/// Whether a named defect is planted. Constantly false, and gone, in what is shipped.
macro_rules! planted {
    ($name:literal) => {{
        #[cfg(feature = "defects")]
        let on = plan::defects::active($name);
        #[cfg(not(feature = "defects"))]
        let on = false;
        on
    }};
}

mod own;

use indexmap::IndexMap;
use interface::{Name, Time};
use own::Own;
use plan::message::{Entry, Grant, Instance, Report, Seat, CEILING, QUOTA, SLOTS};
use plan::Terms;
use std::collections::VecDeque;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The most customers in one report; the others come in the next.
pub const MOST_ENTRIES: usize = 2048;
/// Reports of which the time of sending is remembered.
const REMEMBERED: usize = 64;
/// So many ticks without a grant, and another planner is asked.
const PATIENCE: u64 = 4;
/// So often, in ticks, a planner that goes before the present one is looked for.
const PROBE: u64 = 20;
/// So many probes answered in a row bring a forwarder back to it.
const ANSWERED: u32 = 5;
/// In every so many turns round the planners, those who are believed dead are asked as well: a belief may be wrong.
const DOUBT: u32 = 4;
/// A customer that has asked nothing for so long, in ticks, is forgotten.
const QUIET: u64 = 200;

/// Whether a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its units are taken.
    Granted,
    /// The next grant may bring what it needs.
    Wait,
    /// Nothing is to be had; come back after so long.
    Refused { advice: Time },
}

/// A grant that is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Meant for another seat or another life.
    NotMine,
    /// It comes from an earlier life of the planner than one that is known.
    Fenced { epoch: u64, seen: u64 },
    /// It comes from a planner that the share is not with.
    NotLent,
    /// It is no later than one that was taken.
    Old { number: u64 },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::NotMine => write!(f, "a grant for another"),
            Wrong::Fenced { epoch, seen } => write!(f, "a grant of epoch {epoch}, and {seen} is known"),
            Wrong::NotLent => write!(f, "a grant from a planner that the share is not with"),
            Wrong::Old { number } => write!(f, "grant {number} is old"),
        }
    }
}

impl std::error::Error for Wrong {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Cooling { until: Time },
    Own { since: Time },
    Lent { planner: usize, nonce: u64, grant: u64, taken: Time },
}

/// What is known of a planner.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    seen: Instance,
    heard: Time,
    answered: u32,
    /// What a view of the fleet says; none: nothing.
    lives: Option<bool>,
}

pub struct Account {
    terms: Terms,
    seat: Seat,
    incarnation: u64,
    mode: Mode,
    planners: Vec<Known>,
    /// Whom the next report goes to, and since which tick.
    target: usize,
    courted: u64,
    /// Turns round the planners.
    turns: u32,
    /// Whether the present planner is left for one that goes before it.
    leaving: bool,
    number: u64,
    sent: VecDeque<(u64, Time)>,
    /// In the order in which they came: what a report says must not turn on a process's chance.
    customers: IndexMap<Name, Own>,
    /// Where the last report ended, if not all customers fitted.
    turn: usize,
    share: f64,
    busy: u32,
    /// How often the share has been lent.
    loan: u64,
    /// Until then attempts of others may be out that rest on this share of slots.
    slots_at: Time,
    panics: u64,
}

impl Account {
    /// An account that knows nothing; `incarnation` tells this life from every other. `planners`: how many there
    /// are to ask, the first before the others.
    ///
    /// # Errors
    /// What is wrong with the terms.
    pub fn new(
        terms: Terms,
        seat: Seat,
        incarnation: u64,
        planners: usize,
        now: Time,
    ) -> Result<Self, String> {
        terms.check()?;
        if seat >= terms.seats {
            return Err(format!("seat {seat}: 0 to {} is wanted", terms.seats - 1));
        }
        // An earlier life may have lent the share a moment ago.
        let until = now + terms.loan_held();
        let mode =
            if planted!("restart-spends-floor") { Mode::Own { since: 0 } } else { Mode::Cooling { until } };
        let share = 1.0 / f64::from(terms.seats);
        Ok(Account {
            terms,
            seat,
            incarnation,
            mode,
            planners: vec![Known::default(); planners.max(1)],
            target: 0,
            courted: 0,
            turns: 0,
            leaving: false,
            number: 0,
            sent: VecDeque::new(),
            customers: IndexMap::new(),
            turn: 0,
            share,
            busy: 0,
            loan: 0,
            slots_at: 0,
            panics: 0,
        })
    }

    /// After a panic in the account itself: as after a restart, a new life begins with nothing. `incarnation`
    /// tells it from the one before.
    pub fn start_again(&mut self, now: Time, incarnation: u64) {
        let terms = self.terms.clone();
        if let Ok(anew) = Account::new(terms, self.seat, incarnation, self.planners.len(), now) {
            let panics = self.panics + 1;
            let lives: Vec<_> = self.planners.iter().map(|k| k.lives).collect();
            *self = Account { panics, ..anew };
            self.believe(&lives);
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Panics that a customer's figures led to, or the account's own: what was held then counts as spent.
    pub fn panics(&self) -> u64 {
        self.panics
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Placement: this forwarder's part of all work, and so of each server's room.
    pub fn share(&self) -> f64 {
        match self.mode {
            Mode::Lent { .. } => self.share,
            Mode::Cooling { .. } | Mode::Own { .. } => 1.0 / f64::from(self.terms.seats),
        }
    }

    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    // ---- The way of a request ----

    /// May a request of so many units go? `again`: it was told to wait, and has been counted.
    pub fn spend(&mut self, now: Time, customer: &Name, plan: usize, units: f64, again: bool) -> Verdict {
        self.turn_mode(now);
        let Account { terms, mode, customers, .. } = self;
        let Some(allowance) = terms.plans.get(plan) else { return Verdict::Granted };
        if !(allowance.limits(QUOTA) || allowance.limits(CEILING) || allowance.limits(SLOTS)) {
            return Verdict::Granted;
        }
        let own = match customers.get_mut(customer) {
            Some(own) => own,
            None => customers.entry(customer.clone()).or_insert_with(|| Own::new(plan)),
        };
        own.asked += if again { 0.0 } else { units };
        own.quiet = 0;
        let spend = || match *mode {
            Mode::Cooling { until } => Verdict::Refused { advice: until.saturating_sub(now) },
            Mode::Own { since } => own.spend_own(now, (since, self.slots_at), units, self.seat, terms),
            Mode::Lent { taken, .. } => {
                // A planner that is silent for so long grants nothing more.
                let silent = now.saturating_sub(taken) > terms.lease;
                let own_at = (taken + terms.loan_held()).saturating_sub(now);
                own.spend_lease(now, units, terms, silent.then_some(own_at))
            }
        };
        let verdict = catch_unwind(AssertUnwindSafe(spend)).unwrap_or_else(|_| {
            self.panics += 1;
            own.reset(now);
            Verdict::Refused { advice: terms.lease }
        });
        if verdict == Verdict::Granted {
            own.in_use += 1;
            self.busy += 1;
        }
        verdict
    }

    /// A request that was granted is over. `unsent`: so many units never went out.
    pub fn done(&mut self, customer: &Name, unsent: f64) {
        self.busy = self.busy.saturating_sub(1);
        let Some(own) = self.customers.get_mut(customer) else { return };
        own.in_use = own.in_use.saturating_sub(1);
        own.give_back(unsent);
    }

    // ---- Time ----

    fn turn_mode(&mut self, now: Time) {
        match self.mode {
            Mode::Cooling { until } if now >= until => self.stand_alone(now),
            Mode::Lent { taken, .. } => {
                let ends =
                    if planted!("floor-at-once") { 2 * self.terms.tick } else { self.terms.loan_held() };
                if now >= taken + ends {
                    self.stand_alone(now);
                }
            }
            _ => {}
        }
    }

    fn stand_alone(&mut self, now: Time) {
        self.mode = Mode::Own { since: now };
        self.slots_at = now + self.terms.lease + self.terms.attempt_over();
        self.customers.values_mut().for_each(Own::drop_lease);
        (self.leaving, self.courted) = (false, 0);
    }

    /// Once a tick: the report to send, and to which planner. A second one may go to a planner that is looked for.
    pub fn tick(&mut self, now: Time) -> Vec<(usize, Report)> {
        self.turn_mode(now);
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        let seconds = self.terms.tick as f64 / 1e9;
        for own in self.customers.values_mut() {
            let tick = || own.tick(now, seconds, &self.terms);
            if catch_unwind(AssertUnwindSafe(tick)).is_err() {
                self.panics += 1;
                own.reset(now);
            }
        }
        let own_since = if let Mode::Own { since } = self.mode { Some(since) } else { None };
        let (seat, terms) = (self.seat, &self.terms);
        self.customers.retain(|_, own| {
            own.quiet < QUIET || own.in_use > 0 || !own.forgettable(now, own_since, seat, terms)
        });
        let mut reports = Vec::new();
        match self.mode {
            Mode::Lent { planner, nonce, grant, .. } => {
                if !self.leaving {
                    let entries = self.entries(now);
                    reports.push((planner, self.report(planner, nonce, grant, true, entries)));
                }
                if self.number % PROBE == u64::from(self.seat) % PROBE {
                    self.look_ahead(now, planner);
                    for before in 0..planner {
                        let probe =
                            self.report(before, self.planners[before].seen.nonce, 0, false, Vec::new());
                        reports.push((before, probe));
                    }
                }
            }
            Mode::Cooling { .. } | Mode::Own { .. } => {
                let to = self.court();
                reports.push((to, self.report(to, self.planners[to].seen.nonce, 0, false, Vec::new())));
            }
        }
        reports
    }

    /// What a view of the fleet says of each planner, in their order; none: nothing. A belief, and maybe a wrong one: it
    /// bears on whom this forwarder asks for a loan, and on nothing that it holds or spends.
    pub fn believe(&mut self, lives: &[Option<bool>]) {
        for (n, known) in self.planners.iter_mut().enumerate() {
            known.lives = lives.get(n).copied().flatten();
        }
    }

    /// Whom to ask for a loan at this tick.
    fn court(&mut self) -> usize {
        self.courted += 1;
        if self.courted > PATIENCE {
            self.next_target();
        }
        for _ in 1..self.planners.len() {
            if !self.passed_over(self.target) {
                break;
            }
            self.next_target();
        }
        self.target
    }

    fn next_target(&mut self) {
        (self.target, self.courted) = ((self.target + 1) % self.planners.len(), 0);
        self.turns = self.turns.wrapping_add(u32::from(self.target == 0));
    }

    fn passed_over(&self, n: usize) -> bool {
        let dead = |k: &Known| k.lives == Some(false);
        let doubted = self.turns % DOUBT == DOUBT - 1;
        dead(&self.planners[n]) && !doubted && !self.planners.iter().all(dead)
    }

    /// Leaves a planner for one that goes before it and has answered for a while: all pool at one again.
    fn look_ahead(&mut self, now: Time, present: usize) {
        let fresh = |k: &Known| now.saturating_sub(k.heard) < 2 * PROBE * self.terms.tick;
        let ahead = self.planners[..present].iter().position(|k| k.answered >= ANSWERED && fresh(k));
        if let Some(ahead) = ahead {
            (self.leaving, self.target) = (true, ahead);
        }
        for known in &mut self.planners[..present] {
            known.answered = if now.saturating_sub(known.heard) < 2 * PROBE * self.terms.tick {
                known.answered
            } else {
                0
            };
        }
    }

    fn report(&self, to: usize, nonce: u64, acked: u64, lent: bool, entries: Vec<Entry>) -> Report {
        let now = self.sent.back().map_or(0, |(_, at)| *at);
        Report {
            seat: self.seat,
            incarnation: self.incarnation,
            number: self.number,
            seen: self.planners[to].seen.epoch,
            nonce,
            acked,
            lent,
            loan: self.loan,
            slots_in: if planted!("slots-at-once") { 0 } else { self.slots_at.saturating_sub(now) },
            busy: f64::from(self.busy),
            entries,
        }
    }

    fn entries(&mut self, now: Time) -> Vec<Entry> {
        let (all, terms) = (self.customers.len(), &self.terms);
        let skip = if all > MOST_ENTRIES { self.turn % all } else { 0 };
        self.turn = skip + MOST_ENTRIES;
        let mut entries = Vec::new();
        // From where the last report ended, and round to there.
        for (n, (name, own)) in self.customers.iter_mut().enumerate() {
            let place = (n + all - skip) % all;
            if place < MOST_ENTRIES && own.worth_a_word(now, terms) {
                entries.push(own.entry(name));
            }
        }
        entries
    }

    // ---- Planners ----

    /// Takes a grant in. Lost, doubled, late and reordered ones do no harm.
    ///
    /// # Errors
    /// [`Wrong`]; nothing has changed then.
    pub fn grant(&mut self, now: Time, planner: usize, grant: &Grant) -> Result<(), Wrong> {
        self.turn_mode(now);
        let known = self.planners.get_mut(planner).ok_or(Wrong::NotMine)?;
        if grant.seat != self.seat || grant.incarnation != self.incarnation {
            return Err(Wrong::NotMine);
        }
        let (from, seen) = (grant.from, known.seen);
        let other = from.nonce != seen.nonce && seen.nonce != 0;
        if (from.epoch < seen.epoch || other && from.epoch == seen.epoch) && !planted!("fencing-off") {
            return Err(Wrong::Fenced { epoch: from.epoch, seen: seen.epoch });
        }
        match &mut self.mode {
            Mode::Lent { planner: with, nonce, grant: last, taken } => {
                if *with != planner {
                    // An answer to a probe.
                    (known.seen, known.heard) = (from, now);
                    known.answered += 1;
                    return Ok(());
                }
                if *nonce != from.nonce && !planted!("fencing-off") {
                    return Err(Wrong::NotLent);
                }
                if grant.number <= *last && !planted!("grant-twice") {
                    return Err(Wrong::Old { number: grant.number });
                }
                (*nonce, *last, *taken) = (from.nonce, grant.number, now);
            }
            Mode::Cooling { .. } if !grant.holds => {
                (known.seen, known.heard) = (from, now);
                return Ok(());
            }
            Mode::Cooling { .. } | Mode::Own { .. } => {
                // What is out of its slots counts at the planner when a report says so, and the first one holds
                // no more customers than this.
                if self.customers.len() > MOST_ENTRIES && !planted!("uncounted-lent") {
                    self.slots_at = self.slots_at.max(now + self.terms.attempt_over());
                }
                // From now on the share is lent: nothing of it is spent here.
                self.mode = Mode::Lent { planner, nonce: from.nonce, grant: grant.number, taken: now };
                self.customers.values_mut().for_each(Own::drop_lease);
                self.leaving = false;
                self.loan += 1;
            }
        }
        (known.seen, known.heard) = (from, now);
        self.share = if (0.0..=1.0).contains(&grant.share) { grant.share } else { self.share };
        let sent = self.sent.iter().find(|(number, _)| *number == grant.report).map(|(_, at)| *at);
        let sent = if planted!("late-grant-lives") { Some(now) } else { sent };
        // Too late to tell when it was asked for: whatever it grants has ended.
        let Some(sent) = sent else { return Ok(()) };
        // Leases of an earlier loan have been dropped, and what was spent of them with it.
        if grant.loan != self.loan && !planted!("loans-mixed") {
            return Ok(());
        }
        let until = sent + self.terms.lease_held();
        for lease in &grant.leases {
            if let Some(own) = self.customers.get_mut(&lease.customer) {
                own.take(lease, until);
            }
        }
        Ok(())
    }
}
