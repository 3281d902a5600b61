//! Quota account of a forwarder: the unspent amounts of its leases, the amounts to report, and the forwarder's own share
//! to spend when no planner is reachable.
//!
//! Spending takes one look-up and a subtraction; no message is sent per request. No I/O.
//!
//! | mode | spends from | ends with |
//! | --- | --- | --- |
//! | `CoolingDown` | nothing: the loan of an earlier incarnation may not have expired | time (`Own`); a planner that still holds the loan (`Lent`) |
//! | `Own` | its own share, empty at first | a grant (`Lent`) |
//! | `Lent` | leases only | no grant for the lifetime of a loan (`Own`) |
#![forbid(unsafe_code)]

/// Whether a named defect is planted. A constant `false`, removed by the compiler, without the feature `defects`.
macro_rules! planted {
    ($name:literal) => {{
        #[cfg(feature = "defects")]
        let is_planted = plan::defects::active($name);
        #[cfg(not(feature = "defects"))]
        let is_planted = false;
        is_planted
    }};
}

mod customer;

use customer::CustomerAccount;
use indexmap::IndexMap;
use interface::{Name, Time};
use plan::message::{Entry, Grant, Instance, Report, Seat, HARD_LIMIT, QUOTA, SLOTS};
use plan::LeaseConfig;
use std::collections::VecDeque;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Maximum number of customers in one report. The others follow in the next report.
pub const MAX_REPORT_ENTRIES: usize = 2048;
/// Number of reports whose send times are remembered.
const MAX_REMEMBERED_REPORTS: usize = 64;
/// Number of ticks without a grant after which the next planner is asked.
const TICKS_BEFORE_NEXT_PLANNER: u64 = 4;
/// Interval, in ticks, at which planners preferred to the current one are probed.
const PROBE_INTERVAL_TICKS: u64 = 20;
/// Number of consecutive answered probes after which a forwarder returns to a preferred planner.
const PROBES_BEFORE_RETURN: u32 = 5;
/// One in this many rounds over the planners includes those reported dead, since failure detection may be wrong.
const DEAD_PLANNER_RETRY_ROUNDS: u32 = 4;
/// Number of ticks without a request after which a customer is forgotten.
const MAX_IDLE_TICKS: u64 = 200;

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its units have been spent.
    Granted,
    /// The next grant may bring enough units.
    Wait,
    /// No units are available; retry after `advice`.
    Refused { advice: Time },
}

/// Why a grant is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidGrant {
    /// The grant is for another seat or another incarnation.
    WrongAddressee,
    /// The grant is from another instance of the planner than the known one, and its epoch is not later.
    Fenced { epoch: u64, known: u64 },
    /// The share is lent to this planner, but to another instance of it than the grant is from.
    OtherPlanner,
    /// The grant is not newer than the last one applied.
    Outdated { number: u64 },
}

impl fmt::Display for InvalidGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidGrant::WrongAddressee => write!(f, "grant is for another seat or incarnation"),
            InvalidGrant::Fenced { epoch, known } => {
                write!(f, "grant has epoch {epoch}, but epoch {known} is known")
            }
            InvalidGrant::OtherPlanner => write!(f, "grant is from a planner that the share is not lent to"),
            InvalidGrant::Outdated { number } => write!(f, "grant {number} is outdated"),
        }
    }
}

impl std::error::Error for InvalidGrant {}

/// Source that requests are charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    CoolingDown { until: Time },
    Own { since: Time },
    Lent { planner: usize, nonce: u64, grant: u64, granted_at: Time },
}

/// State of a planner as known to the forwarder.
#[derive(Clone, Copy, Debug, Default)]
struct PlannerRecord {
    instance: Instance,
    last_heard_at: Time,
    answered_probes: u32,
    /// Liveness according to the membership view, if it has an entry.
    is_alive: Option<bool>,
}

/// Account of all customers' allowances at one forwarder.
pub struct Account {
    config: LeaseConfig,
    seat: Seat,
    incarnation: u64,
    mode: Mode,
    planners: Vec<PlannerRecord>,
    /// Planner that is asked for a loan, and the number of ticks it has been asked.
    target: usize,
    target_ticks: u64,
    /// Completed rounds over the planners.
    rounds: u32,
    /// Whether the forwarder is letting its loan expire in order to move to a preferred planner.
    is_switching_planner: bool,
    number: u64,
    sent_reports: VecDeque<(u64, Time)>,
    /// In order of insertion, so that reports do not depend on a process's hash seed.
    customers: IndexMap<Name, CustomerAccount>,
    /// Position after the last report's entries, if not all customers fitted.
    next_entry: usize,
    work_share: f64,
    attempts_in_flight: u32,
    /// Number of times the share has been lent.
    loan: u64,
    /// Time until which attempts started by other forwarders may occupy this share of slots.
    slots_free_at: Time,
    panics: u64,
}

impl Account {
    /// Returns an account without state. `incarnation` distinguishes this run from every other. `planners` is the number
    /// of planners, in order of preference.
    ///
    /// # Errors
    /// The parameter or seat that is out of range.
    pub fn new(
        config: LeaseConfig,
        seat: Seat,
        incarnation: u64,
        planners: usize,
        now: Time,
    ) -> Result<Self, String> {
        config.validate()?;
        if seat >= config.seats {
            return Err(format!("seat {seat} is out of range: must be 0 to {}", config.seats - 1));
        }
        // An earlier incarnation may have lent the share just before.
        let until = now + config.loan_duration_at_forwarder();
        let mode = if planted!("restart-spends-floor") {
            Mode::Own { since: 0 }
        } else {
            Mode::CoolingDown { until }
        };
        let share = 1.0 / f64::from(config.seats);
        Ok(Account {
            config,
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

    /// Resets the account after a panic in it: as after a restart of the process, a new incarnation starts without
    /// state. `incarnation` distinguishes it from the previous one.
    pub fn restart(&mut self, now: Time, incarnation: u64) {
        let config = self.config.clone();
        if let Ok(restarted) = Account::new(config, self.seat, incarnation, self.planners.len(), now) {
            let panics = self.panics + 1;
            let liveness: Vec<_> = self.planners.iter().map(|record| record.is_alive).collect();
            *self = Account { panics, ..restarted };
            self.set_planner_liveness(&liveness);
        }
    }

    /// Returns the identifier of this run of the account.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of panics in a customer's state or in the account. Amounts held at a panic count as spent.
    pub fn panics(&self) -> u64 {
        self.panics
    }

    /// Returns the source that requests are charged to.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns this forwarder's fraction of all work, and so of each server's capacity, for placement.
    pub fn work_share(&self) -> f64 {
        match self.mode {
            Mode::Lent { .. } => self.work_share,
            Mode::CoolingDown { .. } | Mode::Own { .. } => 1.0 / f64::from(self.config.seats),
        }
    }

    /// Returns the number of remembered customers.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    // ---- Requests ----

    /// Decides on a request of `units`, and spends them if it is granted. `is_retry` marks a request that got
    /// [`Verdict::Wait`] before and is already counted in the demand.
    pub fn spend(&mut self, now: Time, customer: &Name, plan: usize, units: f64, is_retry: bool) -> Verdict {
        self.update_mode(now);
        let Account { config, mode, customers, .. } = self;
        let Some(allowance) = config.plans.get(plan) else { return Verdict::Granted };
        if !(allowance.limits(QUOTA) || allowance.limits(HARD_LIMIT) || allowance.limits(SLOTS)) {
            return Verdict::Granted;
        }
        let account = match customers.get_mut(customer) {
            Some(account) => account,
            None => customers.entry(customer.clone()).or_insert_with(|| CustomerAccount::new(plan)),
        };
        account.requested_units += if is_retry { 0.0 } else { units };
        account.idle_ticks = 0;
        let spend = || match *mode {
            Mode::CoolingDown { until } => Verdict::Refused { advice: until.saturating_sub(now) },
            Mode::Own { since } => {
                account.spend_own(now, (since, self.slots_free_at), units, self.seat, config)
            }
            Mode::Lent { granted_at, .. } => {
                // A planner that has been silent for the lifetime of a lease is not expected to grant more.
                let is_silent = now.saturating_sub(granted_at) > config.lease_ttl;
                let own_share_in = (granted_at + config.loan_duration_at_forwarder()).saturating_sub(now);
                account.spend_lease(now, units, config, is_silent.then_some(own_share_in))
            }
        };
        let verdict = catch_unwind(AssertUnwindSafe(spend)).unwrap_or_else(|_| {
            self.panics += 1;
            account.reset(now);
            Verdict::Refused { advice: config.lease_ttl }
        });
        if verdict == Verdict::Granted {
            account.in_use += 1;
            self.attempts_in_flight += 1;
        }
        verdict
    }

    /// Records the end of a granted request. `unsent` is the number of its units that were never sent to a server.
    pub fn request_ended(&mut self, customer: &Name, unsent: f64) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        let Some(account) = self.customers.get_mut(customer) else { return };
        account.in_use = account.in_use.saturating_sub(1);
        account.refund(unsent);
    }

    // ---- Time ----

    fn update_mode(&mut self, now: Time) {
        match self.mode {
            Mode::CoolingDown { until } if now >= until => self.use_own_share(now),
            Mode::Lent { granted_at, .. } => {
                let loan_ttl = if planted!("floor-at-once") {
                    2 * self.config.tick
                } else {
                    self.config.loan_duration_at_forwarder()
                };
                if now >= granted_at + loan_ttl {
                    self.use_own_share(now);
                }
            }
            _ => {}
        }
    }

    fn use_own_share(&mut self, now: Time) {
        self.mode = Mode::Own { since: now };
        self.slots_free_at = now + self.config.lease_ttl + self.config.max_attempt_duration();
        self.customers.values_mut().for_each(CustomerAccount::drop_lease);
        (self.is_switching_planner, self.target_ticks) = (false, 0);
    }

    /// Called once per tick. Returns the reports to send, with the index of their planner: one to the current planner,
    /// and probes to preferred ones.
    pub fn tick(&mut self, now: Time) -> Vec<(usize, Report)> {
        self.update_mode(now);
        self.number += 1;
        self.sent_reports.push_back((self.number, now));
        if self.sent_reports.len() > MAX_REMEMBERED_REPORTS {
            self.sent_reports.pop_front();
        }
        let seconds = self.config.tick as f64 / 1e9;
        for account in self.customers.values_mut() {
            let tick = || account.tick(now, seconds, &self.config);
            if catch_unwind(AssertUnwindSafe(tick)).is_err() {
                self.panics += 1;
                account.reset(now);
            }
        }
        let own_since = if let Mode::Own { since } = self.mode { Some(since) } else { None };
        let (seat, config) = (self.seat, &self.config);
        self.customers.retain(|_, account| {
            account.idle_ticks < MAX_IDLE_TICKS
                || account.in_use > 0
                || !account.can_be_forgotten(now, own_since, seat, config)
        });
        let mut reports = Vec::new();
        match self.mode {
            Mode::Lent { planner, nonce, grant, .. } => {
                if !self.is_switching_planner {
                    let entries = self.entries(now);
                    reports.push((planner, self.report(planner, nonce, grant, true, entries)));
                }
                if self.number % PROBE_INTERVAL_TICKS == u64::from(self.seat) % PROBE_INTERVAL_TICKS {
                    self.check_preferred_planners(now, planner);
                    for preferred in 0..planner {
                        let probe = self.report(
                            preferred,
                            self.planners[preferred].instance.nonce,
                            0,
                            false,
                            Vec::new(),
                        );
                        reports.push((preferred, probe));
                    }
                }
            }
            Mode::CoolingDown { .. } | Mode::Own { .. } => {
                let planner = self.choose_planner();
                reports.push((
                    planner,
                    self.report(planner, self.planners[planner].instance.nonce, 0, false, Vec::new()),
                ));
            }
        }
        reports
    }

    /// Sets the liveness of each planner according to the membership view, in order of the planners. The view may be
    /// wrong, so it affects only which planner is asked for a loan, never what the forwarder holds or spends.
    pub fn set_planner_liveness(&mut self, liveness: &[Option<bool>]) {
        for (n, record) in self.planners.iter_mut().enumerate() {
            record.is_alive = liveness.get(n).copied().flatten();
        }
    }

    /// Returns the planner to ask for a loan at this tick.
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
        let is_reported_dead = |record: &PlannerRecord| record.is_alive == Some(false);
        let is_retry_round = self.rounds % DEAD_PLANNER_RETRY_ROUNDS == DEAD_PLANNER_RETRY_ROUNDS - 1;
        is_reported_dead(&self.planners[n]) && !is_retry_round && !self.planners.iter().all(is_reported_dead)
    }

    /// Starts moving to a preferred planner that has answered enough probes, so that all forwarders pool their shares at
    /// one planner again.
    fn check_preferred_planners(&mut self, now: Time, current: usize) {
        let is_recent = |record: &PlannerRecord| {
            now.saturating_sub(record.last_heard_at) < 2 * PROBE_INTERVAL_TICKS * self.config.tick
        };
        let preferred = self.planners[..current]
            .iter()
            .position(|record| record.answered_probes >= PROBES_BEFORE_RETURN && is_recent(record));
        if let Some(preferred) = preferred {
            (self.is_switching_planner, self.target) = (true, preferred);
        }
        for record in &mut self.planners[..current] {
            record.answered_probes =
                if now.saturating_sub(record.last_heard_at) < 2 * PROBE_INTERVAL_TICKS * self.config.tick {
                    record.answered_probes
                } else {
                    0
                };
        }
    }

    fn report(
        &self,
        planner: usize,
        nonce: u64,
        acknowledged_grant: u64,
        is_lent: bool,
        entries: Vec<Entry>,
    ) -> Report {
        let now = self.sent_reports.back().map_or(0, |(_, at)| *at);
        Report {
            seat: self.seat,
            incarnation: self.incarnation,
            number: self.number,
            known_epoch: self.planners[planner].instance.epoch,
            nonce,
            acknowledged_grant,
            is_lent,
            loan: self.loan,
            slots_free_in: if planted!("slots-at-once") { 0 } else { self.slots_free_at.saturating_sub(now) },
            attempts_in_flight: f64::from(self.attempts_in_flight),
            entries,
        }
    }

    fn entries(&mut self, now: Time) -> Vec<Entry> {
        let (customer_count, config) = (self.customers.len(), &self.config);
        let first_index =
            if customer_count > MAX_REPORT_ENTRIES { self.next_entry % customer_count } else { 0 };
        self.next_entry = first_index + MAX_REPORT_ENTRIES;
        let mut entries = Vec::new();
        // Starts where the last report ended, and wraps around.
        for (n, (name, account)) in self.customers.iter_mut().enumerate() {
            let position = (n + customer_count - first_index) % customer_count;
            if position < MAX_REPORT_ENTRIES && account.needs_report(now, config) {
                entries.push(account.entry(name));
            }
        }
        entries
    }

    // ---- Planners ----

    /// Applies a grant. Lost, duplicated, delayed and reordered grants are harmless.
    ///
    /// # Errors
    /// [`InvalidGrant`] if the grant is rejected; it then has no effect.
    pub fn grant(&mut self, now: Time, planner: usize, grant: &Grant) -> Result<(), InvalidGrant> {
        self.update_mode(now);
        let record = self.planners.get_mut(planner).ok_or(InvalidGrant::WrongAddressee)?;
        if grant.seat != self.seat || grant.incarnation != self.incarnation {
            return Err(InvalidGrant::WrongAddressee);
        }
        let (from, known_instance) = (grant.from, record.instance);
        let is_other_instance = from.nonce != known_instance.nonce && known_instance.nonce != 0;
        if (from.epoch < known_instance.epoch || is_other_instance && from.epoch == known_instance.epoch)
            && !planted!("fencing-off")
        {
            return Err(InvalidGrant::Fenced { epoch: from.epoch, known: known_instance.epoch });
        }
        match &mut self.mode {
            Mode::Lent { planner: lender, nonce, grant: last_grant, granted_at } => {
                if *lender != planner {
                    // Response to a probe.
                    (record.instance, record.last_heard_at) = (from, now);
                    record.answered_probes += 1;
                    return Ok(());
                }
                if *nonce != from.nonce && !planted!("fencing-off") {
                    return Err(InvalidGrant::OtherPlanner);
                }
                if grant.number <= *last_grant && !planted!("grant-twice") {
                    return Err(InvalidGrant::Outdated { number: grant.number });
                }
                (*nonce, *last_grant, *granted_at) = (from.nonce, grant.number, now);
            }
            Mode::CoolingDown { .. } if !grant.is_already_lent => {
                (record.instance, record.last_heard_at) = (from, now);
                return Ok(());
            }
            Mode::CoolingDown { .. } | Mode::Own { .. } => {
                // The planner counts occupied slots only once they are reported, and the first report holds no more
                // than `MAX_REPORT_ENTRIES` customers.
                if self.customers.len() > MAX_REPORT_ENTRIES && !planted!("uncounted-lent") {
                    self.slots_free_at = self.slots_free_at.max(now + self.config.max_attempt_duration());
                }
                // From now on the share is lent and not spent here.
                self.mode = Mode::Lent { planner, nonce: from.nonce, grant: grant.number, granted_at: now };
                self.customers.values_mut().for_each(CustomerAccount::drop_lease);
                self.is_switching_planner = false;
                self.loan += 1;
            }
        }
        (record.instance, record.last_heard_at) = (from, now);
        self.work_share =
            if (0.0..=1.0).contains(&grant.work_share) { grant.work_share } else { self.work_share };
        let sent_at = self.sent_reports.iter().find(|(number, _)| *number == grant.report).map(|(_, at)| *at);
        let sent_at = if planted!("late-grant-lives") { Some(now) } else { sent_at };
        // The send time of its report is no longer remembered, so all leases of the grant have expired.
        let Some(sent_at) = sent_at else { return Ok(()) };
        // Leases of an earlier loan have been dropped together with the record of what was spent.
        if grant.loan != self.loan && !planted!("loans-mixed") {
            return Ok(());
        }
        let until = sent_at + self.config.lease_duration_at_forwarder();
        for lease in &grant.leases {
            if let Some(account) = self.customers.get_mut(&lease.customer) {
                account.apply_lease(lease, until);
            }
        }
        Ok(())
    }
}
