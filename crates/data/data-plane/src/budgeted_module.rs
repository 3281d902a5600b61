//! The decision module, wrapped to enforce each route's limit on attempts and the shared retry budget. No I/O.

#[cfg(test)]
mod tests;

use granitehub::Gateway;
use interface::{Action, AttemptEnd, Effect, Ending, Event, Module, Name, RequestId, Settings, Time};
use quota::RetryBudget;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of backends that one client attempt may be sent to, by class.
pub type MaxAttempts = Rc<RefCell<Vec<u32>>>;

/// Retry budget by pool. Shared, because a pool may change its service.
pub type SharedRetryBudget = Rc<RefCell<RetryBudget>>;

/// Divisor of the maximum retry-after time, which gives the retry-after time of a rejected request.
const RETRY_AFTER_DIVISOR: Time = 4;

/// State of a request in flight.
#[derive(Clone, Copy)]
struct RequestState {
    class: usize,
    pool: usize,
    /// Number of attempts that reached a backend.
    attempts_arrived: u32,
    /// Whether the request was counted as a deposit to the retry budget.
    deposited: bool,
}

/// A decision module with a limit on attempts and a retry budget.
pub struct BudgetedModule {
    inner: Gateway,
    effects: Vec<Effect>,
    max_attempts: MaxAttempts,
    retry_budget: SharedRetryBudget,
    requests: HashMap<RequestId, RequestState>,
    retry_after: Time,
}

/// the decision module rejected its settings: {0}
#[derive(Debug, displaydoc::Display)]
pub struct ModuleError(String);

impl std::error::Error for ModuleError {}

impl BudgetedModule {
    /// Creates the module.
    ///
    /// # Errors
    /// The settings are invalid for the inner module.
    pub fn new(
        settings: Settings,
        max_attempts: MaxAttempts,
        retry_budget: SharedRetryBudget,
        seed: u64,
        now: Time,
    ) -> Result<Self, ModuleError> {
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        let retry_after = settings.max_retry_after / RETRY_AFTER_DIVISOR;
        Ok(BudgetedModule {
            inner: Gateway::new(settings, seed, now).map_err(ModuleError)?,
            effects,
            max_attempts,
            retry_budget,
            requests: HashMap::new(),
            retry_after,
        })
    }

    /// Returns whether a request may be retried after an attempt with this ending. Withdraws a retry from the budget
    /// if one is needed.
    fn may_retry(&mut self, id: RequestId, ending: Ending) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return true };
        // The attempt did not reach a backend.
        if ending == Ending::Unreachable {
            return true;
        }
        request.attempts_arrived += 1;
        let has_not_run = matches!(ending, Ending::Overloaded | Ending::Stale);
        if !has_not_run && self.effects.get(request.class) == Some(&Effect::Unsafe) {
            // The inner module fails such a request anyway.
            return true;
        }
        let max_attempts = self.max_attempts.borrow().get(request.class).copied().unwrap_or(1);
        let (attempts_arrived, pool) = (request.attempts_arrived, request.pool);
        attempts_arrived < max_attempts && self.retry_budget.borrow_mut().withdraw(pool)
    }

    fn on_event(&mut self, event: &mut Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                let (class, pool) = (request.class, request.pool);
                let state = RequestState { class, pool, attempts_arrived: 0, deposited: false };
                self.requests.insert(request.id, state);
            }
            Event::ClientLeft { id } => {
                self.requests.remove(id);
            }
            Event::AttemptEnd(end) => self.on_attempt_end(end, actions),
            _ => {}
        }
    }

    fn on_attempt_end(&mut self, end: &mut AttemptEnd, actions: &mut Vec<Action>) {
        if end.last || end.ending == Ending::Success {
            self.requests.remove(&end.id);
        } else if !self.may_retry(end.id, end.ending) {
            // The inner module drops the request. The client receives a rejection only if the request was not
            // executed.
            end.last = true;
            actions.push(Action::Reject { id: end.id, advice: self.retry_after });
        }
    }

    fn on_action(&mut self, action: &Action) {
        match action {
            Action::Send { id, .. } => {
                if let Some(request) = self.requests.get_mut(id).filter(|request| !request.deposited) {
                    request.deposited = true;
                    self.retry_budget.borrow_mut().deposit(request.pool);
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
    fn handle(&mut self, now: Time, mut events: Vec<Event>, actions: &mut Vec<Action>) {
        let first_action = actions.len();
        for event in &mut events {
            self.on_event(event, actions);
        }
        self.inner.handle(now, events, actions);
        for action in &actions[first_action..] {
            self.on_action(action);
        }
    }

    fn reconfigure(&mut self, settings: &Settings) {
        self.effects = settings.classes.iter().map(|class| class.effect).collect();
        self.inner.reconfigure(settings);
    }

    fn avoided(&self) -> Vec<Name> {
        self.inner.avoided()
    }
}
