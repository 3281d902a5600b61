//! The decision module as the system uses it: the design's, under the routes' bounds on attempts and the shared retry budget.
//! No I/O.

#[cfg(test)]
mod tests;

use granitehub::Gateway;
use interface::{Action, AttemptEnd, Effect, Ending, Event, Module, Name, RequestId, Settings, Time};
use quota::RetryBudget;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The most backends that one try of a client may be sent to, by class.
pub type MaxAttempts = Rc<RefCell<Vec<u32>>>;

/// A client that was rejected everywhere is told to come back after this part of the longest such time.
const RETRY_AFTER_DIVISOR: Time = 4;

/// What is remembered of a request in flight.
#[derive(Clone, Copy)]
struct RequestState {
    class: usize,
    pool: usize,
    /// Attempts that reached a backend.
    attempts_arrived: u32,
    /// Whether it has earned its part of a retry.
    deposited: bool,
}

/// The design's module under the system's budgets.
pub struct BudgetedModule {
    design: Gateway,
    effects: Vec<Effect>,
    max_attempts: MaxAttempts,
    retry_budget: RetryBudget,
    requests: HashMap<RequestId, RequestState>,
    retry_after: Time,
}

/// the decision module refuses its settings: {0}
#[derive(Debug, displaydoc::Display)]
pub struct ModuleError(String);

impl std::error::Error for ModuleError {}

impl BudgetedModule {
    /// `retry_ratio`: retries that are allowed for each request.
    ///
    /// # Errors
    /// What the design's module says of the settings.
    pub fn new(
        settings: Settings,
        max_attempts: MaxAttempts,
        retry_ratio: f64,
        seed: u64,
        now: Time,
    ) -> Result<Self, ModuleError> {
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        let retry_after = settings.max_retry_after / RETRY_AFTER_DIVISOR;
        Ok(BudgetedModule {
            design: Gateway::new(settings, seed, now).map_err(ModuleError)?,
            effects,
            max_attempts,
            retry_budget: RetryBudget::new(retry_ratio),
            requests: HashMap::new(),
            retry_after,
        })
    }

    /// Whether a request may be retried behind an attempt that ended so.
    fn may_retry(&mut self, id: RequestId, ending: Ending) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return true };
        // Nothing of it reached a backend.
        if ending == Ending::Unreachable {
            return true;
        }
        request.attempts_arrived += 1;
        let has_not_run = matches!(ending, Ending::Overloaded | Ending::Stale);
        if !has_not_run && self.effects.get(request.class) == Some(&Effect::Unsafe) {
            // The design's module ends it here anyway.
            return true;
        }
        let max_attempts = self.max_attempts.borrow().get(request.class).copied().unwrap_or(1);
        let (attempts_arrived, pool) = (request.attempts_arrived, request.pool);
        attempts_arrived < max_attempts && self.retry_budget.withdraw(pool)
    }

    fn on_event(&mut self, event: &mut Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                let (class, pool) = (request.class, request.pool);
                let state = RequestState { class, pool, attempts_arrived: 0, deposited: false };
                self.requests.insert(request.id, state);
            }
            Event::ClientLeft { id } => {
                self.requests.remove(id);
            }
            Event::AttemptEnd(end) => self.on_attempt_end(end, out),
            _ => {}
        }
    }

    fn on_attempt_end(&mut self, end: &mut AttemptEnd, out: &mut Vec<Action>) {
        if end.last || end.ending == Ending::Success {
            self.requests.remove(&end.id);
        } else if !self.may_retry(end.id, end.ending) {
            // The design's module lets go of it, and it is answered: as rejected only if nothing ran.
            end.last = true;
            out.push(Action::Reject { id: end.id, advice: self.retry_after });
        }
    }

    fn on_action(&mut self, action: &Action) {
        match action {
            Action::Send { id, .. } => {
                if let Some(request) = self.requests.get_mut(id).filter(|request| !request.deposited) {
                    request.deposited = true;
                    self.retry_budget.deposit(request.pool);
                }
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.requests.remove(id);
            }
            _ => {}
        }
    }
}

impl Module for BudgetedModule {
    fn handle(&mut self, now: Time, mut events: Vec<Event>, out: &mut Vec<Action>) {
        let first_action = out.len();
        for event in &mut events {
            self.on_event(event, out);
        }
        self.design.handle(now, events, out);
        for action in &out[first_action..] {
            self.on_action(action);
        }
    }

    fn reconfigure(&mut self, settings: &Settings) {
        self.effects = settings.classes.iter().map(|class| class.effect).collect();
        self.design.reconfigure(settings);
    }

    fn avoided(&self) -> Vec<Name> {
        self.design.avoided()
    }
}
