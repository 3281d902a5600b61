//! A whole gateway as a value, with the real module and with one that a test plays.

use engine::{
    AnswerCounts, AttemptFacts, Engine, FinalAnswer, Incoming, Input, Notice, Output, Reply, Step, Timing,
};
use granitehub::{Class, Effect, Ending, Gateway, Group, Health, Node, Plan, Scope, Settings, Time};
use interface::{Action, Event, Module, RequestId};
use std::cell::RefCell;
use std::rc::Rc;

const MS: Time = 1_000_000;
const START: Time = 1_000_000 * MS;
const FIGURES: Timing =
    Timing { way_back: 20 * MS, module_grace: 5 * MS, key_margin: 20 * MS, min_batch_interval: MS };

fn settings() -> Settings {
    let aim = 1000 * MS;
    Settings {
        classes: vec![Class::new("book-slot", aim, 2 * aim, Effect::Unsafe, Group::All)],
        plans: vec![Plan::new("basic", 10.0, 10.0)],
        ..Settings::default()
    }
}

/// The real module.
fn real() -> Engine<Gateway> {
    let make = |seed, now| Gateway::new(settings(), seed, now);
    Engine::new(settings(), 7, FIGURES, START, Box::new(make)).expect("sound settings")
}

/// What a played module hears, and what it says next. Its panics are said as `None`.
#[derive(Clone, Default)]
struct Played {
    heard: Rc<RefCell<Vec<Event>>>,
    says: Rc<RefCell<Vec<Option<Action>>>>,
}

impl Module for Played {
    fn handle(&mut self, _: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.heard.borrow_mut().extend(events);
        for said in self.says.take() {
            out.push(said.expect("a panic that the test wants"));
        }
    }
}

fn played() -> (Engine<Played>, Played) {
    let module = Played::default();
    let again = module.clone();
    let make = move |_, _| Ok(again.clone());
    (Engine::new(settings(), 7, FIGURES, START, Box::new(make)).expect("sound settings"), module)
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
    let place = Some(([127, 0, 0, 1], 9).into());
    Input::ServerList { scope: Scope::Full, rev: 1, entries: vec![(Node::new("s-1", health), place)] }
}

fn send(id: RequestId) -> Option<Action> {
    Some(Action::Send { id, server: "s-1".into(), attempt_deadline: 0 })
}

trait Handled {
    fn give(&mut self, now: Time, input: Input) -> Vec<Output>;
}

impl<M: Module> Handled for Engine<M> {
    fn give(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.handle(now, input, &mut out).expect("in order");
        out
    }
}

/// An engine whose request 1 has been written to the server; what it was told to begin.
fn written() -> (Engine<Played>, Played) {
    let (mut engine, module) = played();
    engine.give(START, list(Health::Up));
    engine.give(START, Input::Received(incoming(1)));
    module.says.borrow_mut().push(send(1));
    let out = engine.give(START + MS, Input::Wake);
    assert!(matches!(&out[..], [Output::Start { id: 1, attempt: 0, .. }]), "{out:?}");
    let out = engine.give(START + 2 * MS, Input::Connected { id: 1, attempt: 0 });
    assert_eq!(out, [Output::Write { id: 1, attempt: 0 }]);
    engine.give(START + 3 * MS, Input::Progress { id: 1, attempt: 0, step: Step::Written });
    (engine, module)
}

fn ended(ending: Ending, reply: Reply) -> Input {
    Input::AttemptEnded { id: 1, attempt: 0, ending, reply, facts: AttemptFacts::default() }
}

#[test]
fn a_request_goes_its_whole_way_and_leaves_nothing_behind() {
    let (mut engine, module) = written();
    let out = engine.give(START + 20 * MS, ended(Ending::Success, Reply::Good));
    assert_eq!(
        out,
        [
            Output::Answer { id: 1, answer: FinalAnswer::Served },
            Output::RequestEnded { id: 1 },
            Output::RequestEnded { id: 1 }
        ]
    );
    engine.give(START + 21 * MS, Input::Wake);
    assert!(engine.is_idle() && engine.next_due().is_none());
    assert!(matches!(module.heard.borrow().last(), Some(Event::AttemptEnd(end)) if end.last));
    let totals = engine.totals();
    assert_eq!(totals.answers[0], AnswerCounts { served: 1, refused: 0, failed: 0 });
    assert_eq!((totals.attempts, engine.take_counts().batches), (1, 2));
}

/// The real module ignores a class that it does not know and says nothing: the answer comes all the same, when
/// it is due and no sooner.
#[test]
fn a_request_on_which_the_module_keeps_silent_is_answered_in_time() {
    let mut engine = real();
    engine.give(START, Input::Received(Incoming { class: 99, ..incoming(1) }));
    let mut out = Vec::new();
    assert!(engine.handle(START, Input::Received(incoming(1)), &mut out).is_err(), "its id is held");
    engine.give(START, Input::Wake);
    let due = engine.next_due().expect("an answer is due");
    assert_eq!(due, START + 280 * MS + FIGURES.module_grace, "the way back takes its time");
    assert_eq!(engine.give(due - 1, Input::Wake), []);
    let out = engine.give(due, Input::Wake);
    let refused = FinalAnswer::Refused { tried: false, advice: 0 };
    assert!(out.contains(&Output::Answer { id: 1, answer: refused }), "nothing was sent for it: {out:?}");
    assert_eq!(engine.take_counts().overdue, 1);
    engine.give(due + MS, Input::Wake);
    assert!(engine.is_idle());
}

#[test]
fn a_panic_of_the_module_ends_what_it_held_and_nothing_else() {
    let (mut engine, module) = written();
    engine.give(START + 4 * MS, Input::Received(incoming(2)));
    module.says.borrow_mut().extend([Some(Action::Timer { token: 5, at: START + 900 * MS }), None]);
    let out = engine.give(START + 5 * MS, Input::Wake);
    assert_eq!(out[0], Output::Notice(Notice::ModulePanicked { ended: 2 }));
    let answered = |id, answer| out.contains(&Output::Answer { id, answer });
    assert!(answered(1, FinalAnswer::Failed { late: false }), "it may have run: {out:?}");
    assert!(answered(2, FinalAnswer::Refused { tried: false, advice: 0 }), "it was never sent: {out:?}");
    assert!(out.contains(&Output::Abort { id: 1, attempt: 0 }));
    assert_eq!(engine.request_count(), 1, "only the attempt that is out has yet to end");
    module.heard.borrow_mut().clear();
    engine.give(START + 6 * MS, Input::Wake);
    let list = |e: &Event| matches!(e, Event::Fleet { scope: Scope::Cached, nodes, .. } if nodes.len() == 1);
    assert!(module.heard.borrow().iter().any(list), "the new one is told of the servers");
    assert_eq!(engine.next_due(), None, "the old one's timers are gone");
    engine.give(START + 7 * MS, ended(Ending::Cancelled, Reply::None));
    engine.give(START + 8 * MS, Input::Wake);
    assert!(engine.is_idle());
}

/// Whatever the module says of it: once an attempt may have run, a request is not refused, nor answered twice.
#[test]
fn a_request_that_may_have_run_is_never_refused() {
    let (mut engine, module) = written();
    let says = [Action::Reject { id: 1, advice: 0 }, Action::Fail { id: 1 }];
    module.says.borrow_mut().extend(says.map(Some));
    engine.give(START + 4 * MS, Input::DiscoveryFailed);
    let out = engine.give(START + 5 * MS, Input::Wake);
    let answers: Vec<_> = out.iter().filter(|o| matches!(o, Output::Answer { .. })).collect();
    assert_eq!(answers, [&Output::Answer { id: 1, answer: FinalAnswer::Failed { late: false } }]);
}

#[test]
fn a_server_that_drains_while_an_attempt_connects_gets_nothing() {
    let (mut engine, module) = played();
    engine.give(START, list(Health::Up));
    engine.give(START, Input::Received(incoming(1)));
    module.says.borrow_mut().push(send(1));
    engine.give(START + MS, Input::Wake);
    let place = None;
    let entries = vec![(Node::new("s-1", Health::Draining), place)];
    engine.give(START + 2 * MS, Input::ServerList { scope: Scope::Changes, rev: 2, entries });
    assert!(!engine.can_serve());
    let out = engine.give(START + 3 * MS, Input::Connected { id: 1, attempt: 0 });
    assert_eq!(out, [Output::Withhold { id: 1, attempt: 0 }]);
}

#[test]
fn a_client_that_leaves_is_told_to_the_module_once() {
    let (mut engine, module) = written();
    engine.give(START + 4 * MS, Input::ClientLeft { id: 1 });
    engine.give(START + 4 * MS, Input::ClientLeft { id: 1 });
    engine.give(START + 5 * MS, Input::Wake);
    let gone = module.heard.borrow().iter().filter(|e| matches!(e, Event::ClientLeft { id: 1 })).count();
    assert_eq!((gone, engine.totals().answers[0].failed), (1, 1));
    let out = engine.give(START + 9 * MS, ended(Ending::Success, Reply::Good));
    assert!(!out.iter().any(|o| matches!(o, Output::Answer { .. })), "nobody waits: {out:?}");
    engine.give(START + 10 * MS, Input::Wake);
    assert!(engine.is_idle());
}

#[test]
fn discovery_that_is_lost_is_told_once_and_so_is_its_return() {
    let (mut engine, module) = played();
    assert_eq!(engine.give(START, Input::DiscoveryFailed), [Output::Notice(Notice::DiscoveryLost)]);
    assert_eq!(engine.give(START, Input::DiscoveryFailed), []);
    assert_eq!(engine.give(START, list(Health::Up)), [Output::Notice(Notice::DiscoveryRestored { rev: 1 })]);
    assert_eq!(engine.give(START, list(Health::Up)), []);
    engine.give(START + MS, Input::Wake);
    let failed = |e: &Event| matches!(e, Event::Fleet { scope: Scope::Failed, .. });
    assert_eq!(module.heard.borrow().iter().filter(|e| failed(e)).count(), 2, "the module hears each");
}

/// The module is called a tick apart at least, and when its timers are due.
#[test]
fn the_module_hears_of_things_a_tick_apart() {
    let (mut engine, module) = played();
    let tick = settings().tick;
    module.says.borrow_mut().push(Some(Action::Timer { token: 3, at: START + 50 * MS }));
    engine.give(START, list(Health::Up));
    engine.give(START, Input::Wake);
    assert_eq!((engine.next_due(), engine.wants_wake()), (Some(START + 50 * MS), false));
    engine.give(START + tick / 2, Input::DiscoveryFailed);
    assert_eq!((engine.next_due(), engine.wants_wake()), (Some(START + tick), true));
    engine.give(START + tick, Input::Wake);
    module.heard.borrow_mut().clear();
    engine.give(START + 50 * MS, Input::Wake);
    assert!(matches!(module.heard.borrow()[..], [Event::Timer { token: 3 }]));
}
