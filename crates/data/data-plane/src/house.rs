//! The decision module as the system uses it: the design's, under the routes' bounds on attempts and the shared budget of
//! further tries. No I/O.

use granitehub::Gateway;
use interface::{Action, Effect, Ending, Event, Module, Name, RequestId, Settings, Time};
use quota::RetryBudget;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The most backends that one try may be sent to, by class.
pub type MaxAttempts = Rc<RefCell<Vec<u32>>>;

/// What is remembered of a request in hand.
#[derive(Clone, Copy)]
struct RequestState {
    class: usize,
    pool: usize,
    /// Attempts that reached a backend.
    attempts_arrived: u32,
    deposited: bool,
}

pub struct BudgetedModule {
    design: Gateway,
    effects: Vec<Effect>,
    max_attempts: MaxAttempts,
    retry_budget: RetryBudget,
    requests: HashMap<RequestId, RequestState>,
    /// What a client that was turned away everywhere is told.
    retry_after: Time,
}

impl BudgetedModule {
    /// # Errors
    /// What the design's module says of the settings.
    pub fn new(s: Settings, attempts: MaxAttempts, ratio: f64, seed: u64, now: Time) -> Result<Self, String> {
        let effects = s.classes.iter().map(|c| c.effect).collect();
        let advice = s.max_retry_after / 4;
        let design = Gateway::new(s, seed, now)?;
        Ok(BudgetedModule {
            design,
            effects,
            max_attempts: attempts,
            retry_budget: RetryBudget::new(ratio),
            requests: HashMap::new(),
            retry_after: advice,
        })
    }

    /// Whether the request may be tried once more behind an attempt that ended so.
    fn may_retry(&mut self, id: RequestId, ending: Ending) -> bool {
        let Some(h) = self.requests.get_mut(&id) else { return true };
        // Nothing of it came to a backend.
        if ending == Ending::NoRoute {
            return true;
        }
        h.attempts_arrived += 1;
        let never = matches!(ending, Ending::Full | Ending::Stale);
        if !never && self.effects.get(h.class) == Some(&Effect::Unsafe) {
            // It ends here anyway.
            return true;
        }
        let most = self.max_attempts.borrow().get(h.class).copied().unwrap_or(1);
        let (arrived, pool) = (h.attempts_arrived, h.pool);
        arrived < most && self.retry_budget.withdraw(pool)
    }
}

impl Module for BudgetedModule {
    fn handle(&mut self, now: Time, mut events: Vec<Event>, out: &mut Vec<Action>) {
        let from = out.len();
        for event in &mut events {
            match event {
                Event::Request(r) => {
                    let held =
                        RequestState { class: r.class, pool: r.pool, attempts_arrived: 0, deposited: false };
                    self.requests.insert(r.id, held);
                }
                Event::ClientGone { id } => drop(self.requests.remove(id)),
                Event::AttemptEnd(e) if e.last || e.ending == Ending::Pass => {
                    self.requests.remove(&e.id);
                }
                Event::AttemptEnd(e) if !self.may_retry(e.id, e.ending) => {
                    // The design's module lets go of it, and it is answered: as refused only if nothing ran.
                    e.last = true;
                    out.push(Action::Reject { id: e.id, advice: self.retry_after });
                }
                _ => {}
            }
        }
        self.design.handle(now, events, out);
        for action in &out[from..] {
            match action {
                Action::Send { id, .. } => {
                    if let Some(h) = self.requests.get_mut(id).filter(|h| !h.deposited) {
                        h.deposited = true;
                        self.retry_budget.deposit(h.pool);
                    }
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.requests.remove(id)),
                _ => {}
            }
        }
    }

    fn reconfigure(&mut self, settings: &Settings) {
        self.effects = settings.classes.iter().map(|c| c.effect).collect();
        self.design.reconfigure(settings);
    }

    fn avoided(&self) -> Vec<Name> {
        self.design.avoided()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use interface::{AttemptEnd, Class, Group, Health, Node, Plan, Request, Scope};

    const MS: Time = 1_000_000;

    fn house(effect: Effect, most: u32) -> BudgetedModule {
        let settings = Settings {
            classes: vec![Class::new("c", 600 * MS, 2000 * MS, effect, Group::All)],
            plans: vec![Plan::new("p", 0.0, 0.0)],
            try_limit: 9,
            max_retry_after: 1000 * MS,
            ..Settings::default()
        };
        let mut house = BudgetedModule::new(settings, Rc::new(RefCell::new(vec![most])), 0.2, 1, 0).unwrap();
        let nodes = (0..9).map(|n| Node::new(&format!("s{n}"), Health::Up)).collect();
        house.handle(0, vec![Event::Fleet { seq: 1, scope: Scope::Full, nodes }], &mut Vec::new());
        house
    }

    fn asked(house: &mut BudgetedModule, id: RequestId) -> Vec<Action> {
        let mut out = Vec::new();
        let request = Request::new(id, 0, 0, "t", 2000 * MS, 1.0);
        house.handle(MS, vec![Event::Request(request)], &mut out);
        out
    }

    /// The attempt ends so; what is ordered about the request then.
    fn ended(house: &mut BudgetedModule, sent: &[Action], attempt: u32, ending: Ending) -> Vec<Action> {
        let sent = sent.iter().find_map(|a| match a {
            Action::Send { id, server, .. } => Some((*id, server.clone())),
            _ => None,
        });
        let (id, server) = sent.expect("it was sent");
        let end = AttemptEnd {
            id,
            attempt,
            server,
            ending,
            last: false,
            elapsed: MS,
            settled: 0.0,
            metered: None,
            load: None,
        };
        let mut out = Vec::new();
        house.handle(2 * MS, vec![Event::AttemptEnd(end)], &mut out);
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        out
    }

    #[test]
    fn retries_need_the_budget_also_after_a_rejection() {
        let mut h = house(Effect::Safe, 3);
        let sent = asked(&mut h, 1);
        let refused = ended(&mut h, &sent, 0, Ending::Full);
        assert!(matches!(refused[..], [Action::Reject { id: 1, .. }]), "nothing is earned yet: {refused:?}");
        // Ten requests earn one more try.
        for id in 10..20 {
            let sent = asked(&mut h, id);
            ended(&mut h, &sent, 0, Ending::Pass);
        }
        let sent = asked(&mut h, 2);
        let again = ended(&mut h, &sent, 0, Ending::Fault);
        assert!(matches!(again[..], [Action::Send { id: 2, .. }]), "{again:?}");
        let end = ended(&mut h, &again, 1, Ending::Fault);
        assert!(matches!(end[..], [Action::Reject { id: 2, .. }]), "the budget is spent: {end:?}");
        assert_eq!(h.requests.len(), 0, "nothing is kept of what is over");
    }

    #[test]
    fn failed_connection_is_no_attempt_and_max_attempts_bounds_arrivals() {
        let mut h = house(Effect::Safe, 1);
        for id in 10..40 {
            let sent = asked(&mut h, id);
            ended(&mut h, &sent, 0, Ending::Pass);
        }
        let sent = asked(&mut h, 1);
        let again = ended(&mut h, &sent, 0, Ending::NoRoute);
        assert!(matches!(again[..], [Action::Send { id: 1, .. }]), "{again:?}");
        let end = ended(&mut h, &again, 1, Ending::Full);
        assert!(matches!(end[..], [Action::Reject { id: 1, .. }]), "{end:?}");
    }

    #[test]
    fn unsafe_attempt_that_may_have_run_fails_without_a_retry() {
        let mut h = house(Effect::Unsafe, 3);
        let sent = asked(&mut h, 1);
        let end = ended(&mut h, &sent, 0, Ending::Cut);
        assert!(matches!(end[..], [Action::Fail { id: 1 }]), "{end:?}");
    }
}
