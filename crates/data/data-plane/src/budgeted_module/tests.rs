use super::*;
use interface::{AttemptEnd, Class, Group, Health, Node, Plan, Request, Scope};

const MS: Time = 1_000_000;

fn house(effect: Effect, most: u32) -> BudgetedModule {
    let settings = Settings {
        classes: vec![Class::new("c", 600 * MS, 2000 * MS, effect, Group::All)],
        plans: vec![Plan::new("p", 0.0, 0.0)],
        max_attempts: 9,
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
    let refused = ended(&mut h, &sent, 0, Ending::Overloaded);
    assert!(matches!(refused[..], [Action::Reject { id: 1, .. }]), "nothing is earned yet: {refused:?}");
    // Ten requests earn one more try.
    for id in 10..20 {
        let sent = asked(&mut h, id);
        ended(&mut h, &sent, 0, Ending::Success);
    }
    let sent = asked(&mut h, 2);
    let again = ended(&mut h, &sent, 0, Ending::Failure);
    assert!(matches!(again[..], [Action::Send { id: 2, .. }]), "{again:?}");
    let end = ended(&mut h, &again, 1, Ending::Failure);
    assert!(matches!(end[..], [Action::Reject { id: 2, .. }]), "the budget is spent: {end:?}");
    assert_eq!(h.requests.len(), 0, "nothing is kept of what is over");
}

#[test]
fn failed_connection_is_no_attempt_and_max_attempts_bounds_arrivals() {
    let mut h = house(Effect::Safe, 1);
    for id in 10..40 {
        let sent = asked(&mut h, id);
        ended(&mut h, &sent, 0, Ending::Success);
    }
    let sent = asked(&mut h, 1);
    let again = ended(&mut h, &sent, 0, Ending::Unreachable);
    assert!(matches!(again[..], [Action::Send { id: 1, .. }]), "{again:?}");
    let end = ended(&mut h, &again, 1, Ending::Overloaded);
    assert!(matches!(end[..], [Action::Reject { id: 1, .. }]), "{end:?}");
}

#[test]
fn unsafe_attempt_that_may_have_run_fails_without_a_retry() {
    let mut h = house(Effect::Unsafe, 3);
    let sent = asked(&mut h, 1);
    let end = ended(&mut h, &sent, 0, Ending::Interrupted);
    assert!(matches!(end[..], [Action::Fail { id: 1 }]), "{end:?}");
}
