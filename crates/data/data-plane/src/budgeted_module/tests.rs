use super::*;
use interface::{AttemptEnd, Class, Group, Health, Node, Plan, Request, Scope};

const MS: Time = 1_000_000;

fn new_budget() -> SharedRetryBudget {
    Rc::new(RefCell::new(RetryBudget::new(0.2)))
}

fn new_module(effect: Effect, max_attempts: u32) -> BudgetedModule {
    let settings = Settings {
        classes: vec![Class::new("c", 600 * MS, 2000 * MS, effect, Group::All)],
        plans: vec![Plan::new("p", 0.0, 0.0)],
        max_attempts: 9,
        max_retry_after: 1000 * MS,
        ..Settings::default()
    };
    let mut module =
        BudgetedModule::new(settings, Rc::new(RefCell::new(vec![max_attempts])), new_budget(), 1, 0).unwrap();
    let nodes = (0..9).map(|n| Node::new(&format!("s{n}"), Health::Up)).collect();
    module.handle(0, vec![Event::Fleet { seq: 1, scope: Scope::Full, nodes }], &mut Vec::new());
    module
}

fn submit(module: &mut BudgetedModule, id: RequestId) -> Vec<Action> {
    let mut actions = Vec::new();
    let request = Request::new(id, 0, 0, "t", 2000 * MS, 1.0);
    module.handle(MS, vec![Event::Request(request)], &mut actions);
    actions
}

/// Ends the attempt and returns the module's actions for its request.
fn end_attempt(module: &mut BudgetedModule, sent: &[Action], attempt: u32, ending: Ending) -> Vec<Action> {
    let sent = sent.iter().find_map(|action| match action {
        Action::Send { id, server, .. } => Some((*id, server.clone())),
        _ => None,
    });
    let (id, server) = sent.expect("the request was sent");
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
    let mut actions = Vec::new();
    module.handle(2 * MS, vec![Event::AttemptEnd(end)], &mut actions);
    actions.retain(|action| !matches!(action, Action::Timer { .. }));
    actions
}

#[test]
fn retries_need_the_budget_also_after_a_rejection() {
    let mut module = new_module(Effect::Safe, 3);
    let sent = submit(&mut module, 1);
    let refused = end_attempt(&mut module, &sent, 0, Ending::Overloaded);
    assert!(matches!(refused[..], [Action::Reject { id: 1, .. }]), "the budget is still empty: {refused:?}");
    // Ten requests earn one retry.
    for id in 10..20 {
        let sent = submit(&mut module, id);
        end_attempt(&mut module, &sent, 0, Ending::Success);
    }
    let sent = submit(&mut module, 2);
    let retried = end_attempt(&mut module, &sent, 0, Ending::Failure);
    assert!(matches!(retried[..], [Action::Send { id: 2, .. }]), "{retried:?}");
    let end = end_attempt(&mut module, &retried, 1, Ending::Failure);
    assert!(matches!(end[..], [Action::Reject { id: 2, .. }]), "the budget is exhausted: {end:?}");
    assert_eq!(module.requests.len(), 0, "the state of finished requests is removed");
}

#[test]
fn failed_connection_is_no_attempt_and_max_attempts_bounds_arrivals() {
    let mut module = new_module(Effect::Safe, 1);
    for id in 10..40 {
        let sent = submit(&mut module, id);
        end_attempt(&mut module, &sent, 0, Ending::Success);
    }
    let sent = submit(&mut module, 1);
    let retried = end_attempt(&mut module, &sent, 0, Ending::Unreachable);
    assert!(matches!(retried[..], [Action::Send { id: 1, .. }]), "{retried:?}");
    let end = end_attempt(&mut module, &retried, 1, Ending::Overloaded);
    assert!(matches!(end[..], [Action::Reject { id: 1, .. }]), "{end:?}");
}

#[test]
fn unsafe_attempt_that_may_have_run_fails_without_a_retry() {
    let mut module = new_module(Effect::Unsafe, 3);
    let sent = submit(&mut module, 1);
    let end = end_attempt(&mut module, &sent, 0, Ending::Interrupted);
    assert!(matches!(end[..], [Action::Fail { id: 1 }]), "{end:?}");
}
