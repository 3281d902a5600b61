//! The one place before a request's first attempt where subsystems have their say.
//!
//! What a subsystem says is given once, as an input to the decision module: it never answers a request itself,
//! sends it, or keeps a way past the module. A subsystem that comes later gets a field here, is asked in
//! [`Admission::consider`], and is told of the request's end in [`Admission::over`]; nothing else changes.

use forward::{Account, Mode, Verdict};
use interface::{Allowance, Name, Request, RequestId, Time};
use plan::message::{Grant, Report};
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// So long a request waits for a grant that may bring what it needs: three of the longest usual ticks.
const MAX_GRANT_WAIT: Time = 150_000_000;

/// Units taken for a request.
struct Reservation {
    customer: Name,
    units: f64,
    /// The account's life in which they were.
    account_generation: u64,
    /// Whether any attempt was begun.
    has_attempt: bool,
}

/// What is said of a request, or waits to be.
#[derive(Default)]
pub(crate) struct Admission {
    account: Option<Account>,
    reservations: HashMap<RequestId, Reservation>,
    /// Requests that wait for the next grant, and since when.
    waiting: Vec<(Request, Time)>,
    /// Tells the lives of an account: from the caller's chance.
    account_generation: u64,
    /// Whether the account has panicked since it was last asked.
    panicked: bool,
}

impl Admission {
    /// From now on this account decides on allowances.
    pub fn set_account(&mut self, account: Account) {
        (self.account_generation, self.account) = (account.incarnation(), Some(account));
    }

    /// This gateway's share of all work, if there is an account.
    pub fn work_share(&self) -> Option<f64> {
        self.account.as_ref().map(Account::work_share)
    }

    /// The account's mode, if there is one.
    pub fn mode(&self) -> Option<Mode> {
        self.account.as_ref().map(Account::mode)
    }

    /// The request, with what is known of its allowance, if it may go to the module now; else it waits here.
    pub fn admit(&mut self, now: Time, mut request: Request, since: Option<Time>) -> Option<Request> {
        if self.account.is_none() {
            return Some(request);
        }
        let (customer, plan, units) = (request.customer.clone(), request.plan, request.units);
        let verdict = self.guarded(now, |a| a.spend(now, &customer, plan, units, since.is_some()));
        request.allowance = match verdict.unwrap_or(Verdict::Refused { advice: MAX_GRANT_WAIT }) {
            Verdict::Granted => {
                let taken = Reservation {
                    customer,
                    units,
                    account_generation: self.account_generation,
                    has_attempt: false,
                };
                self.reservations.insert(request.id, taken);
                Allowance::Granted
            }
            Verdict::Refused { advice } => Allowance::Refused { advice },
            Verdict::Wait if since.is_some_and(|s| now.saturating_sub(s) >= MAX_GRANT_WAIT) => {
                Allowance::Refused { advice: MAX_GRANT_WAIT }
            }
            Verdict::Wait => {
                self.waiting.push((request, since.unwrap_or(now)));
                return None;
            }
        };
        Some(request)
    }

    /// Those that waited for a grant, to be considered again.
    pub fn waiting(&mut self) -> Vec<(Request, Time)> {
        std::mem::take(&mut self.waiting)
    }

    /// An attempt of this request has begun.
    pub fn attempt_started(&mut self, id: RequestId) {
        if self.account.is_some() {
            self.reservations.entry(id).and_modify(|t| t.has_attempt = true);
        }
    }

    /// This request's life is over.
    pub fn request_ended(&mut self, id: RequestId, now: Time) {
        if self.account.is_none() {
            return;
        }
        let Some(taken) = self.reservations.remove(&id) else { return };
        // What an earlier life of the account took is not this one's to give back.
        if taken.account_generation == self.account_generation {
            let unsent = if taken.has_attempt { 0.0 } else { taken.units };
            self.guarded(now, |a| a.request_ended(&taken.customer, unsent));
        }
    }

    /// A planner's grant; whether it was taken.
    pub fn grant(&mut self, now: Time, planner: usize, grant: &Grant) -> bool {
        // What is old, late or another's does no harm and says nothing.
        self.guarded(now, |a| a.grant(now, planner, grant).is_ok()).unwrap_or_default()
    }

    /// What a view of the fleet says of the planners.
    pub fn planners_observed(&mut self, lives: &[Option<bool>]) {
        if let Some(account) = &mut self.account {
            account.set_planner_liveness(lives);
        }
    }

    /// A tick of planning: the reports to send.
    pub fn reports(&mut self, now: Time) -> Vec<(usize, Report)> {
        self.guarded(now, |a| a.tick(now)).unwrap_or_default()
    }

    /// Whether the account has panicked since this was last asked.
    pub fn panicked(&mut self) -> bool {
        std::mem::take(&mut self.panicked)
    }

    /// Has the account do something. If that panics, what it holds can't be trusted: as after a restart, a new
    /// life begins that spends nothing until its loan has ended.
    fn guarded<T>(&mut self, now: Time, act: impl FnOnce(&mut Account) -> T) -> Option<T> {
        let account = self.account.as_mut()?;
        let done = catch_unwind(AssertUnwindSafe(|| act(account)));
        if done.is_err() {
            self.panicked = true;
            self.account_generation = self.account_generation.wrapping_add(1).max(1);
            account.restart(now, self.account_generation);
        }
        done.ok()
    }

    /// Whether no request holds a reservation or waits for a grant.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty() && self.waiting.is_empty()
    }
}
