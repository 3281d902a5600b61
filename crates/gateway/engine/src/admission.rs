//! Admission: the only place where other subsystems contribute to a request before its first attempt.
//!
//! A subsystem's verdict is passed once to the decision module, as an input. The subsystem never answers or sends a
//! request itself and never bypasses the module. A further subsystem gets a field here, is consulted in
//! [`Admission::admit`], and is notified in [`Admission::request_ended`]; nothing else changes.

use forward::{Account, Mode, Verdict};
use interface::{Allowance, Name, Request, RequestId, Time};
use plan::message::{Grant, Report};
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// How long a request waits for a grant that may cover it: three of the longest usual planning ticks.
const MAX_GRANT_WAIT: Time = 150_000_000;

/// Units taken for a request.
struct Reservation {
    customer: Name,
    units: f64,
    /// The account's incarnation from which they were taken.
    account_incarnation: u64,
    /// Whether any attempt was started.
    has_attempt: bool,
}

/// Reservations and requests that wait for a grant.
#[derive(Default)]
pub(crate) struct Admission {
    account: Option<Account>,
    reservations: HashMap<RequestId, Reservation>,
    /// Requests that wait for the next grant, and when each began to wait.
    waiting: Vec<(Request, Time)>,
    /// Distinguishes the incarnations of the account; the caller draws the first at random.
    account_incarnation: u64,
    /// Whether the account has panicked since the last call of [`Admission::panicked`].
    panicked: bool,
}

impl Admission {
    /// Sets the account that decides on allowances from now on.
    pub fn set_account(&mut self, account: Account) {
        (self.account_incarnation, self.account) = (account.incarnation(), Some(account));
    }

    /// Returns this gateway's share of all work, if there is an account.
    pub fn work_share(&self) -> Option<f64> {
        self.account.as_ref().map(Account::work_share)
    }

    /// Returns the account's mode, if there is an account.
    pub fn mode(&self) -> Option<Mode> {
        self.account.as_ref().map(Account::mode)
    }

    /// Returns the request with its allowance if it can go to the module now; otherwise it is queued until the next
    /// grant. `since`: when it was first queued, if it was.
    pub fn admit(&mut self, now: Time, mut request: Request, since: Option<Time>) -> Option<Request> {
        if self.account.is_none() {
            return Some(request);
        }
        let (customer, plan, units) = (request.customer.clone(), request.plan, request.units);
        let verdict = self.guarded(now, |a| a.spend(now, &customer, plan, units, since.is_some()));
        request.allowance = match verdict.unwrap_or(Verdict::Refused { advice: MAX_GRANT_WAIT }) {
            Verdict::Granted => {
                let reservation = Reservation {
                    customer,
                    units,
                    account_incarnation: self.account_incarnation,
                    has_attempt: false,
                };
                self.reservations.insert(request.id, reservation);
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

    /// Removes and returns the requests that wait for a grant, to be admitted again.
    pub fn waiting(&mut self) -> Vec<(Request, Time)> {
        std::mem::take(&mut self.waiting)
    }

    /// Records that an attempt of this request has started.
    pub fn attempt_started(&mut self, id: RequestId) {
        if self.account.is_some() {
            self.reservations.entry(id).and_modify(|reservation| reservation.has_attempt = true);
        }
    }

    /// Releases the reservation of a request that has ended; its units are returned if no attempt was started.
    pub fn request_ended(&mut self, id: RequestId, now: Time) {
        if self.account.is_none() {
            return;
        }
        let Some(reservation) = self.reservations.remove(&id) else { return };
        // Units taken from an earlier incarnation of the account are not returned to this one.
        if reservation.account_incarnation == self.account_incarnation {
            let unsent = if reservation.has_attempt { 0.0 } else { reservation.units };
            self.guarded(now, |a| a.request_ended(&reservation.customer, unsent));
        }
    }

    /// Applies a planner's grant. Returns whether it was accepted.
    pub fn grant(&mut self, now: Time, planner: usize, grant: &Grant) -> bool {
        // An outdated, late or foreign grant is harmless and is ignored without a log line.
        self.guarded(now, |a| a.grant(now, planner, grant).is_ok()).unwrap_or_default()
    }

    /// Updates which planners are believed alive.
    pub fn set_planner_liveness(&mut self, alive: &[Option<bool>]) {
        if let Some(account) = &mut self.account {
            account.set_planner_liveness(alive);
        }
    }

    /// Advances the account by a planning tick and returns the reports to send.
    pub fn reports(&mut self, now: Time) -> Vec<(usize, Report)> {
        self.guarded(now, |a| a.tick(now)).unwrap_or_default()
    }

    /// Returns whether the account has panicked since the last call.
    pub fn panicked(&mut self) -> bool {
        std::mem::take(&mut self.panicked)
    }

    /// Calls the account. If that panics, its state cannot be trusted: as after a restart, it starts a new incarnation
    /// that spends nothing until its loan has expired.
    fn guarded<T>(&mut self, now: Time, operation: impl FnOnce(&mut Account) -> T) -> Option<T> {
        let account = self.account.as_mut()?;
        let result = catch_unwind(AssertUnwindSafe(|| operation(account)));
        if result.is_err() {
            self.panicked = true;
            self.account_incarnation = self.account_incarnation.wrapping_add(1).max(1);
            account.restart(now, self.account_incarnation);
        }
        result.ok()
    }

    /// Returns whether no request holds a reservation or waits for a grant.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty() && self.waiting.is_empty()
    }
}
