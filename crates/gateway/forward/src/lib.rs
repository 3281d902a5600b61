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
use own::CustomerAccount;
use plan::message::{Entry, Grant, Instance, Report, Seat, HARD_LIMIT, QUOTA, SLOTS};
use plan::LeaseConfig;
use std::collections::VecDeque;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The most customers in one report; the others come in the next.
pub const MAX_REPORT_ENTRIES: usize = 2048;
/// Reports of which the time of sending is remembered.
const MAX_REMEMBERED_REPORTS: usize = 64;
/// So many ticks without a grant, and another planner is asked.
const TICKS_BEFORE_NEXT_PLANNER: u64 = 4;
/// So often, in ticks, a planner that goes before the present one is looked for.
const PROBE_INTERVAL_TICKS: u64 = 20;
/// So many probes answered in a row bring a forwarder back to it.
const PROBES_BEFORE_RETURN: u32 = 5;
/// In every so many turns round the planners, those who are believed dead are asked as well: a belief may be wrong.
const ROUNDS_BETWEEN_DOUBTS: u32 = 4;
/// A customer that has asked nothing for so long, in ticks, is forgotten.
const IDLE_TICKS: u64 = 200;

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
pub enum InvalidGrant {
    /// Meant for another seat or another life.
    WrongAddressee,
    /// It comes from an earlier life of the planner than one that is known.
    Fenced { epoch: u64, known: u64 },
    /// It comes from a planner that the share is not with.
    OtherPlanner,
    /// It is no later than one that was taken.
    Outdated { number: u64 },
}

impl fmt::Display for InvalidGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidGrant::WrongAddressee => write!(f, "a grant for another"),
            InvalidGrant::Fenced { epoch, known: seen } => {
                write!(f, "a grant of epoch {epoch}, and {seen} is known")
            }
            InvalidGrant::OtherPlanner => write!(f, "a grant from a planner that the share is not with"),
            InvalidGrant::Outdated { number } => write!(f, "grant {number} is old"),
        }
    }
}

impl std::error::Error for InvalidGrant {}

/// What requests are charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    CoolingDown { until: Time },
    Own { since: Time },
    Lent { planner: usize, nonce: u64, grant: u64, granted_at: Time },
}

/// What is known of a planner.
#[derive(Clone, Copy, Debug, Default)]
struct PlannerRecord {
    instance: Instance,
    last_heard_at: Time,
    answered_probes: u32,
    /// What a view of the fleet says; none: nothing.
    is_alive: Option<bool>,
}

/// A forwarder's account of all customers' allowances.
pub struct Account {
    terms: LeaseConfig,
    seat: Seat,
    incarnation: u64,
    mode: Mode,
    planners: Vec<PlannerRecord>,
    /// Whom the next report goes to, and since which tick.
    target: usize,
    target_ticks: u64,
    /// Turns round the planners.
    rounds: u32,
    /// Whether the present planner is left for one that goes before it.
    is_switching_planner: bool,
    number: u64,
    sent_reports: VecDeque<(u64, Time)>,
    /// In the order in which they came: what a report says must not turn on a process's chance.
    customers: IndexMap<Name, CustomerAccount>,
    /// Where the last report ended, if not all customers fitted.
    next_entry: usize,
    work_share: f64,
    attempts_in_flight: u32,
    /// How often the share has been lent.
    loan: u64,
    /// Until then attempts of others may be out that rest on this share of slots.
    slots_free_at: Time,
    panics: u64,
}

impl Account {
    /// An account that knows nothing; `incarnation` tells this life from every other. `planners`: how many there
    /// are to ask, the first before the others.
    ///
    /// # Errors
    /// What is wrong with the terms.
    pub fn new(
        terms: LeaseConfig,
        seat: Seat,
        incarnation: u64,
        planners: usize,
        now: Time,
    ) -> Result<Self, String> {
        terms.validate()?;
        if seat >= terms.seats {
            return Err(format!("seat {seat}: 0 to {} is wanted", terms.seats - 1));
        }
        // An earlier life may have lent the share a moment ago.
        let until = now + terms.loan_duration_at_forwarder();
        let mode = if planted!("restart-spends-floor") {
            Mode::Own { since: 0 }
        } else {
            Mode::CoolingDown { until }
        };
        let share = 1.0 / f64::from(terms.seats);
        Ok(Account {
            terms,
            seat,
            incarnation,
            mode,
            planners: vec![PlannerRecord::default(); planners.max(1)],
            target: 0,
            target_ticks: 0,
            rounds: 0,
            is_switching_planner: false,
            number: 0,
            sent_reports: VecDeque::new(),
            customers: IndexMap::new(),
            next_entry: 0,
            work_share: share,
            attempts_in_flight: 0,
            loan: 0,
            slots_free_at: 0,
            panics: 0,
        })
    }

    /// After a panic in the account itself: as after a restart, a new life begins with nothing. `incarnation`
    /// tells it from the one before.
    pub fn restart(&mut self, now: Time, incarnation: u64) {
        let terms = self.terms.clone();
        if let Ok(anew) = Account::new(terms, self.seat, incarnation, self.planners.len(), now) {
            let panics = self.panics + 1;
            let lives: Vec<_> = self.planners.iter().map(|k| k.is_alive).collect();
            *self = Account { panics, ..anew };
            self.set_planner_liveness(&lives);
        }
    }

    /// What tells this run of the account from every other.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Panics that a customer's figures led to, or the account's own: what was held then counts as spent.
    pub fn panics(&self) -> u64 {
        self.panics
    }

    /// What requests are charged to now.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Placement: this forwarder's part of all work, and so of each server's room.
    pub fn work_share(&self) -> f64 {
        match self.mode {
            Mode::Lent { .. } => self.work_share,
            Mode::CoolingDown { .. } | Mode::Own { .. } => 1.0 / f64::from(self.terms.seats),
        }
    }

    /// How many customers are remembered.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    // ---- The way of a request ----

    /// May a request of so many units go? `again`: it was told to wait, and has been counted.
    pub fn spend(&mut self, now: Time, customer: &Name, plan: usize, units: f64, again: bool) -> Verdict {
        self.update_mode(now);
        let Account { terms, mode, customers, .. } = self;
        let Some(allowance) = terms.plans.get(plan) else { return Verdict::Granted };
        if !(allowance.limits(QUOTA) || allowance.limits(HARD_LIMIT) || allowance.limits(SLOTS)) {
            return Verdict::Granted;
        }
        let own = match customers.get_mut(customer) {
            Some(own) => own,
            None => customers.entry(customer.clone()).or_insert_with(|| CustomerAccount::new(plan)),
        };
        own.requested_units += if again { 0.0 } else { units };
        own.idle_ticks = 0;
        let spend = || match *mode {
            Mode::CoolingDown { until } => Verdict::Refused { advice: until.saturating_sub(now) },
            Mode::Own { since } => own.spend_own(now, (since, self.slots_free_at), units, self.seat, terms),
            Mode::Lent { granted_at: taken, .. } => {
                // A planner that is silent for so long grants nothing more.
                let silent = now.saturating_sub(taken) > terms.lease_ttl;
                let own_at = (taken + terms.loan_duration_at_forwarder()).saturating_sub(now);
                own.spend_lease(now, units, terms, silent.then_some(own_at))
            }
        };
        let verdict = catch_unwind(AssertUnwindSafe(spend)).unwrap_or_else(|_| {
            self.panics += 1;
            own.reset(now);
            Verdict::Refused { advice: terms.lease_ttl }
        });
        if verdict == Verdict::Granted {
            own.in_use += 1;
            self.attempts_in_flight += 1;
        }
        verdict
    }

    /// A request that was granted is over. `unsent`: so many units never went out.
    pub fn request_ended(&mut self, customer: &Name, unsent: f64) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        let Some(own) = self.customers.get_mut(customer) else { return };
        own.in_use = own.in_use.saturating_sub(1);
        own.give_back(unsent);
    }

    // ---- Time ----

    fn update_mode(&mut self, now: Time) {
        match self.mode {
            Mode::CoolingDown { until } if now >= until => self.use_own_share(now),
            Mode::Lent { granted_at: taken, .. } => {
                let ends = if planted!("floor-at-once") {
                    2 * self.terms.tick
                } else {
                    self.terms.loan_duration_at_forwarder()
                };
                if now >= taken + ends {
                    self.use_own_share(now);
                }
            }
            _ => {}
        }
    }

    fn use_own_share(&mut self, now: Time) {
        self.mode = Mode::Own { since: now };
        self.slots_free_at = now + self.terms.lease_ttl + self.terms.max_attempt_duration();
        self.customers.values_mut().for_each(CustomerAccount::drop_lease);
        (self.is_switching_planner, self.target_ticks) = (false, 0);
    }

    /// Once a tick: the report to send, and to which planner. A second one may go to a planner that is looked for.
    pub fn tick(&mut self, now: Time) -> Vec<(usize, Report)> {
        self.update_mode(now);
        self.number += 1;
        self.sent_reports.push_back((self.number, now));
        if self.sent_reports.len() > MAX_REMEMBERED_REPORTS {
            self.sent_reports.pop_front();
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
            own.idle_ticks < IDLE_TICKS
                || own.in_use > 0
                || !own.can_be_forgotten(now, own_since, seat, terms)
        });
        let mut reports = Vec::new();
        match self.mode {
            Mode::Lent { planner, nonce, grant, .. } => {
                if !self.is_switching_planner {
                    let entries = self.entries(now);
                    reports.push((planner, self.report(planner, nonce, grant, true, entries)));
                }
                if self.number % PROBE_INTERVAL_TICKS == u64::from(self.seat) % PROBE_INTERVAL_TICKS {
                    self.look_ahead(now, planner);
                    for before in 0..planner {
                        let probe =
                            self.report(before, self.planners[before].instance.nonce, 0, false, Vec::new());
                        reports.push((before, probe));
                    }
                }
            }
            Mode::CoolingDown { .. } | Mode::Own { .. } => {
                let to = self.choose_planner();
                reports.push((to, self.report(to, self.planners[to].instance.nonce, 0, false, Vec::new())));
            }
        }
        reports
    }

    /// What a view of the fleet says of each planner, in their order; none: nothing. A belief, and maybe a wrong one:
    /// it bears on whom this forwarder asks for a loan, and on nothing that it holds or spends.
    pub fn set_planner_liveness(&mut self, lives: &[Option<bool>]) {
        for (n, known) in self.planners.iter_mut().enumerate() {
            known.is_alive = lives.get(n).copied().flatten();
        }
    }

    /// Whom to ask for a loan at this tick.
    fn choose_planner(&mut self) -> usize {
        self.target_ticks += 1;
        if self.target_ticks > TICKS_BEFORE_NEXT_PLANNER {
            self.next_target();
        }
        for _ in 1..self.planners.len() {
            if !self.is_skipped(self.target) {
                break;
            }
            self.next_target();
        }
        self.target
    }

    fn next_target(&mut self) {
        (self.target, self.target_ticks) = ((self.target + 1) % self.planners.len(), 0);
        self.rounds = self.rounds.wrapping_add(u32::from(self.target == 0));
    }

    fn is_skipped(&self, n: usize) -> bool {
        let dead = |k: &PlannerRecord| k.is_alive == Some(false);
        let doubted = self.rounds % ROUNDS_BETWEEN_DOUBTS == ROUNDS_BETWEEN_DOUBTS - 1;
        dead(&self.planners[n]) && !doubted && !self.planners.iter().all(dead)
    }

    /// Leaves a planner for one that goes before it and has answered for a while: all pool at one again.
    fn look_ahead(&mut self, now: Time, present: usize) {
        let fresh = |k: &PlannerRecord| {
            now.saturating_sub(k.last_heard_at) < 2 * PROBE_INTERVAL_TICKS * self.terms.tick
        };
        let ahead = self.planners[..present]
            .iter()
            .position(|k| k.answered_probes >= PROBES_BEFORE_RETURN && fresh(k));
        if let Some(ahead) = ahead {
            (self.is_switching_planner, self.target) = (true, ahead);
        }
        for known in &mut self.planners[..present] {
            known.answered_probes =
                if now.saturating_sub(known.last_heard_at) < 2 * PROBE_INTERVAL_TICKS * self.terms.tick {
                    known.answered_probes
                } else {
                    0
                };
        }
    }

    fn report(&self, to: usize, nonce: u64, acked: u64, lent: bool, entries: Vec<Entry>) -> Report {
        let now = self.sent_reports.back().map_or(0, |(_, at)| *at);
        Report {
            seat: self.seat,
            incarnation: self.incarnation,
            number: self.number,
            known_epoch: self.planners[to].instance.epoch,
            nonce,
            acknowledged_grant: acked,
            is_lent: lent,
            loan: self.loan,
            slots_free_in: if planted!("slots-at-once") { 0 } else { self.slots_free_at.saturating_sub(now) },
            attempts_in_flight: f64::from(self.attempts_in_flight),
            entries,
        }
    }

    fn entries(&mut self, now: Time) -> Vec<Entry> {
        let (all, terms) = (self.customers.len(), &self.terms);
        let skip = if all > MAX_REPORT_ENTRIES { self.next_entry % all } else { 0 };
        self.next_entry = skip + MAX_REPORT_ENTRIES;
        let mut entries = Vec::new();
        // From where the last report ended, and round to there.
        for (n, (name, own)) in self.customers.iter_mut().enumerate() {
            let place = (n + all - skip) % all;
            if place < MAX_REPORT_ENTRIES && own.needs_report(now, terms) {
                entries.push(own.entry(name));
            }
        }
        entries
    }

    // ---- Planners ----

    /// Takes a grant in. Lost, doubled, late and reordered ones do no harm.
    ///
    /// # Errors
    /// [`InvalidGrant`]; nothing has changed then.
    pub fn grant(&mut self, now: Time, planner: usize, grant: &Grant) -> Result<(), InvalidGrant> {
        self.update_mode(now);
        let known = self.planners.get_mut(planner).ok_or(InvalidGrant::WrongAddressee)?;
        if grant.seat != self.seat || grant.incarnation != self.incarnation {
            return Err(InvalidGrant::WrongAddressee);
        }
        let (from, seen) = (grant.from, known.instance);
        let other = from.nonce != seen.nonce && seen.nonce != 0;
        if (from.epoch < seen.epoch || other && from.epoch == seen.epoch) && !planted!("fencing-off") {
            return Err(InvalidGrant::Fenced { epoch: from.epoch, known: seen.epoch });
        }
        match &mut self.mode {
            Mode::Lent { planner: with, nonce, grant: last, granted_at: taken } => {
                if *with != planner {
                    // An answer to a probe.
                    (known.instance, known.last_heard_at) = (from, now);
                    known.answered_probes += 1;
                    return Ok(());
                }
                if *nonce != from.nonce && !planted!("fencing-off") {
                    return Err(InvalidGrant::OtherPlanner);
                }
                if grant.number <= *last && !planted!("grant-twice") {
                    return Err(InvalidGrant::Outdated { number: grant.number });
                }
                (*nonce, *last, *taken) = (from.nonce, grant.number, now);
            }
            Mode::CoolingDown { .. } if !grant.is_already_lent => {
                (known.instance, known.last_heard_at) = (from, now);
                return Ok(());
            }
            Mode::CoolingDown { .. } | Mode::Own { .. } => {
                // What is out of its slots counts at the planner when a report says so, and the first one holds
                // no more customers than this.
                if self.customers.len() > MAX_REPORT_ENTRIES && !planted!("uncounted-lent") {
                    self.slots_free_at = self.slots_free_at.max(now + self.terms.max_attempt_duration());
                }
                // From now on the share is lent: nothing of it is spent here.
                self.mode = Mode::Lent { planner, nonce: from.nonce, grant: grant.number, granted_at: now };
                self.customers.values_mut().for_each(CustomerAccount::drop_lease);
                self.is_switching_planner = false;
                self.loan += 1;
            }
        }
        (known.instance, known.last_heard_at) = (from, now);
        self.work_share =
            if (0.0..=1.0).contains(&grant.work_share) { grant.work_share } else { self.work_share };
        let sent = self.sent_reports.iter().find(|(number, _)| *number == grant.report).map(|(_, at)| *at);
        let sent = if planted!("late-grant-lives") { Some(now) } else { sent };
        // Too late to tell when it was asked for: whatever it grants has ended.
        let Some(sent) = sent else { return Ok(()) };
        // Leases of an earlier loan have been dropped, and what was spent of them with it.
        if grant.loan != self.loan && !planted!("loans-mixed") {
            return Ok(());
        }
        let until = sent + self.terms.lease_duration_at_forwarder();
        for lease in &grant.leases {
            if let Some(own) = self.customers.get_mut(&lease.customer) {
                own.apply_lease(lease, until);
            }
        }
        Ok(())
    }
}
