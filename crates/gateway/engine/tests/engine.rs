//! The engine with the real decision module, and with a scripted one.

use engine::{
    AnswerCounts, AttemptFacts, Engine, FinalAnswer, Incoming, Input, Notice, Output, Reply, Step, Timing,
};
use granitehub::{Class, Effect, Ending, Gateway, Group, Health, Node, Plan, Scope, Settings, Time};
use interface::{Action, Event, Module, RequestId};
use std::cell::RefCell;
use std::rc::Rc;

const MS: Time = 1_000_000;
const START: Time = 1_000_000 * MS;
const TIMING: Timing =
    Timing { way_back: 20 * MS, module_grace: 5 * MS, key_margin: 20 * MS, min_batch_interval: MS };

fn settings() -> Settings {
    let target = 1000 * MS;
    Settings {
        classes: vec![Class::new("book-slot", target, 2 * target, Effect::Unsafe, Group::All)],
        plans: vec![Plan::new("basic", 10.0, 10.0)],
        ..Settings::default()
    }
}

/// An engine with the real module.
fn real_engine() -> Engine<Gateway> {
    let make = |seed, now| Gateway::new(settings(), seed, now);
    Engine::new(settings(), 7, TIMING, START, Box::new(make)).expect("valid settings")
}

/// A module that records its events and returns scripted actions. `None` makes it panic.
#[derive(Clone, Default)]
struct ScriptedModule {
    received: Rc<RefCell<Vec<Event>>>,
    script: Rc<RefCell<Vec<Option<Action>>>>,
}

impl Module for ScriptedModule {
    fn handle(&mut self, _: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.received.borrow_mut().extend(events);
        for action in self.script.take() {
            out.push(action.expect("a panic that the test wants"));
        }
    }
}

fn scripted_engine() -> (Engine<ScriptedModule>, ScriptedModule) {
    let module = ScriptedModule::default();
    let handle = module.clone();
    let make = move |_, _| Ok(handle.clone());
    (Engine::new(settings(), 7, TIMING, START, Box::new(make)).expect("valid settings"), module)
}

fn incoming(id: RequestId) -> Incoming {
    let (timeout, customer) = (300 * MS, "c".into());
    Incoming {
        id,
        class: 0,
        plan: 0,
        customer,
        timeout,
        units: 1.0,
        spread: 1,
        repeat: false,
        pool: 0,
        allowance: interface::Allowance::Unknown,
        body_pending: false,
    }
}

fn list(health: Health) -> Input {
    let address = Some(([127, 0, 0, 1], 9).into());
    Input::ServerList { scope: Scope::Full, rev: 1, entries: vec![(Node::new("s-1", health), address)] }
}

fn send(id: RequestId) -> Option<Action> {
    Some(Action::Send { id, server: "s-1".into(), attempt_deadline: 0 })
}

trait HandleInput {
    fn handle_input(&mut self, now: Time, input: Input) -> Vec<Output>;
}

impl<M: Module> HandleInput for Engine<M> {
    fn handle_input(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.handle(now, input, &mut out).expect("the input is valid");
        out
    }
}

/// An engine whose request 1 has been written to the server, with its module.
fn engine_with_written_request() -> (Engine<ScriptedModule>, ScriptedModule) {
    let (mut engine, module) = scripted_engine();
    engine.handle_input(START, list(Health::Up));
    engine.handle_input(START, Input::Received(incoming(1)));
    module.script.borrow_mut().push(send(1));
    let out = engine.handle_input(START + MS, Input::Wake);
    assert!(matches!(&out[..], [Output::Start { id: 1, attempt: 0, .. }]), "{out:?}");
    let out = engine.handle_input(START + 2 * MS, Input::Connected { id: 1, attempt: 0 });
    assert_eq!(out, [Output::Write { id: 1, attempt: 0 }]);
    engine.handle_input(START + 3 * MS, Input::Progress { id: 1, attempt: 0, step: Step::Written });
    (engine, module)
}

fn attempt_ended(ending: Ending, reply: Reply) -> Input {
    Input::AttemptEnded { id: 1, attempt: 0, ending, reply, facts: AttemptFacts::default() }
}

#[test]
fn a_served_request_leaves_no_state_behind() {
    let (mut engine, module) = engine_with_written_request();
    let out = engine.handle_input(START + 20 * MS, attempt_ended(Ending::Success, Reply::Good));
    assert_eq!(
        out,
        [
            Output::Answer { id: 1, answer: FinalAnswer::Served },
            Output::RequestEnded { id: 1 },
            Output::RequestEnded { id: 1 }
        ]
    );
    engine.handle_input(START + 21 * MS, Input::Wake);
    assert!(engine.is_idle() && engine.next_due().is_none());
    assert!(matches!(module.received.borrow().last(), Some(Event::AttemptEnd(end)) if end.last));
    let totals = engine.totals();
    assert_eq!(totals.answers[0], AnswerCounts { served: 1, refused: 0, failed: 0 });
    assert_eq!((totals.attempts, engine.take_counts().batches), (1, 2));
}

/// The real module ignores an unknown class and returns no action: the engine still answers, when the answer is due and
/// not earlier.
#[test]
fn a_request_on_which_the_module_does_not_decide_is_answered_in_time() {
    let mut engine = real_engine();
    engine.handle_input(START, Input::Received(Incoming { class: 99, ..incoming(1) }));
    let mut out = Vec::new();
    assert!(engine.handle(START, Input::Received(incoming(1)), &mut out).is_err(), "its id is in use");
    engine.handle_input(START, Input::Wake);
    let due = engine.next_due().expect("an answer is due");
    assert_eq!(due, START + 280 * MS + TIMING.module_grace, "the answer is due before the client's timeout");
    assert_eq!(engine.handle_input(due - 1, Input::Wake), []);
    let out = engine.handle_input(due, Input::Wake);
    let refused = FinalAnswer::Refused { tried: false, advice: 0 };
    assert!(out.contains(&Output::Answer { id: 1, answer: refused }), "nothing was sent for it: {out:?}");
    assert_eq!(engine.take_counts().overdue, 1);
    engine.handle_input(due + MS, Input::Wake);
    assert!(engine.is_idle());
}

#[test]
fn a_panic_of_the_module_ends_its_requests_and_nothing_else() {
    let (mut engine, module) = engine_with_written_request();
    engine.handle_input(START + 4 * MS, Input::Received(incoming(2)));
    module.script.borrow_mut().extend([Some(Action::Timer { token: 5, at: START + 900 * MS }), None]);
    let out = engine.handle_input(START + 5 * MS, Input::Wake);
    assert_eq!(out[0], Output::Notice(Notice::ModulePanicked { ended: 2 }));
    let answered = |id, answer| out.contains(&Output::Answer { id, answer });
    assert!(answered(1, FinalAnswer::Failed { late: false }), "it may have run: {out:?}");
    assert!(answered(2, FinalAnswer::Refused { tried: false, advice: 0 }), "it was never sent: {out:?}");
    assert!(out.contains(&Output::Abort { id: 1, attempt: 0 }));
    assert_eq!(engine.request_count(), 1, "only the attempt in flight has yet to end");
    module.received.borrow_mut().clear();
    engine.handle_input(START + 6 * MS, Input::Wake);
    let list = |e: &Event| matches!(e, Event::Fleet { scope: Scope::Cached, nodes, .. } if nodes.len() == 1);
    assert!(module.received.borrow().iter().any(list), "the new module gets the server list");
    assert_eq!(engine.next_due(), None, "the old module's timers are gone");
    engine.handle_input(START + 7 * MS, attempt_ended(Ending::Cancelled, Reply::None));
    engine.handle_input(START + 8 * MS, Input::Wake);
    assert!(engine.is_idle());
}

/// Whatever the module decides: once an attempt may have run, a request is neither refused nor answered twice.
#[test]
fn a_request_that_may_have_run_is_never_refused() {
    let (mut engine, module) = engine_with_written_request();
    let actions = [Action::Reject { id: 1, advice: 0 }, Action::Fail { id: 1 }];
    module.script.borrow_mut().extend(actions.map(Some));
    engine.handle_input(START + 4 * MS, Input::DiscoveryFailed);
    let out = engine.handle_input(START + 5 * MS, Input::Wake);
    let answers: Vec<_> = out.iter().filter(|o| matches!(o, Output::Answer { .. })).collect();
    assert_eq!(answers, [&Output::Answer { id: 1, answer: FinalAnswer::Failed { late: false } }]);
}

#[test]
fn nothing_is_written_to_a_server_that_drains_while_an_attempt_connects() {
    let (mut engine, module) = scripted_engine();
    engine.handle_input(START, list(Health::Up));
    engine.handle_input(START, Input::Received(incoming(1)));
    module.script.borrow_mut().push(send(1));
    engine.handle_input(START + MS, Input::Wake);
    let address = None;
    let entries = vec![(Node::new("s-1", Health::Draining), address)];
    engine.handle_input(START + 2 * MS, Input::ServerList { scope: Scope::Changes, rev: 2, entries });
    assert!(!engine.can_serve());
    let out = engine.handle_input(START + 3 * MS, Input::Connected { id: 1, attempt: 0 });
    assert_eq!(out, [Output::Withhold { id: 1, attempt: 0 }]);
}

#[test]
fn the_module_is_notified_once_of_a_client_that_leaves() {
    let (mut engine, module) = engine_with_written_request();
    engine.handle_input(START + 4 * MS, Input::ClientLeft { id: 1 });
    engine.handle_input(START + 4 * MS, Input::ClientLeft { id: 1 });
    engine.handle_input(START + 5 * MS, Input::Wake);
    let notified =
        module.received.borrow().iter().filter(|e| matches!(e, Event::ClientLeft { id: 1 })).count();
    assert_eq!((notified, engine.totals().answers[0].failed), (1, 1));
    let out = engine.handle_input(START + 9 * MS, attempt_ended(Ending::Success, Reply::Good));
    assert!(!out.iter().any(|o| matches!(o, Output::Answer { .. })), "no client waits: {out:?}");
    engine.handle_input(START + 10 * MS, Input::Wake);
    assert!(engine.is_idle());
}

#[test]
fn loss_and_return_of_discovery_are_reported_once() {
    let (mut engine, module) = scripted_engine();
    assert_eq!(engine.handle_input(START, Input::DiscoveryFailed), [Output::Notice(Notice::DiscoveryLost)]);
    assert_eq!(engine.handle_input(START, Input::DiscoveryFailed), []);
    assert_eq!(
        engine.handle_input(START, list(Health::Up)),
        [Output::Notice(Notice::DiscoveryRestored { rev: 1 })]
    );
    assert_eq!(engine.handle_input(START, list(Health::Up)), []);
    engine.handle_input(START + MS, Input::Wake);
    let failed = |e: &Event| matches!(e, Event::Fleet { scope: Scope::Failed, .. });
    assert_eq!(
        module.received.borrow().iter().filter(|e| failed(e)).count(),
        2,
        "the module gets each failure"
    );
}

/// Calls of the module are at least a tick apart, and its timers fire when they are due.
#[test]
fn calls_of_the_module_are_a_tick_apart() {
    let (mut engine, module) = scripted_engine();
    let tick = settings().tick;
    module.script.borrow_mut().push(Some(Action::Timer { token: 3, at: START + 50 * MS }));
    engine.handle_input(START, list(Health::Up));
    engine.handle_input(START, Input::Wake);
    assert_eq!((engine.next_due(), engine.wants_wake()), (Some(START + 50 * MS), false));
    engine.handle_input(START + tick / 2, Input::DiscoveryFailed);
    assert_eq!((engine.next_due(), engine.wants_wake()), (Some(START + tick), true));
    engine.handle_input(START + tick, Input::Wake);
    module.received.borrow_mut().clear();
    engine.handle_input(START + 50 * MS, Input::Wake);
    assert!(matches!(module.received.borrow()[..], [Event::Timer { token: 3 }]));
}
