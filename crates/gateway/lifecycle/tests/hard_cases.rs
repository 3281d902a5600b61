//! The hard cases of a request's life, each told as a story. The checker explores them all; these say what is
//! wanted in words.

use interface::{Effect, Ending, Group, Name, RequestId, Time};
use lifecycle::{Arrival, Final, Input, Limits, Listed, Lives, Order, Reply, Step, Told, Wrong};

const ID: RequestId = 7;
const DEADLINE: Time = 100;
const GRACE: Time = 5;

struct Story {
    lives: Lives,
    now: Time,
}

fn server(n: u16) -> Name {
    format!("s-{n}").into()
}

fn listed(n: u16, port: Option<u16>) -> Listed {
    let place = port.map(|p| ([127, 0, 0, 1], p).into());
    Listed { name: server(n), zone: 0, cell: u32::from(n), place, gone: false }
}

fn arrival(effect: Effect) -> Arrival {
    Arrival { id: ID, class: 0, effect, group: Group::Cell, key_ttl: 50, deadline: DEADLINE, once: false }
}

impl Story {
    /// Two servers, and a request of this kind in hand.
    fn new(effect: Effect) -> Self {
        let limits = Limits { attempts: 3, grace: GRACE, key_margin: 10 };
        let mut story = Story { lives: Lives::new(limits), now: 0 };
        let servers = vec![listed(1, Some(9001)), listed(2, Some(9002))];
        story.happens(Input::Fleet { whole: true, servers });
        story.happens(Input::Received(arrival(effect)));
        story
    }

    fn happens(&mut self, input: Input) -> Vec<Order> {
        self.tries(input).expect("it has a meaning")
    }

    fn tries(&mut self, input: Input) -> Result<Vec<Order>, Wrong> {
        let mut orders = Vec::new();
        self.lives.handle(self.now, input, &mut orders)?;
        Ok(orders)
    }

    fn send(&mut self, n: u16) -> Vec<Order> {
        self.happens(Input::Send { id: ID, server: server(n), not_past: 0 })
    }

    fn connected(&mut self, attempt: u32) -> Vec<Order> {
        self.happens(Input::Connected { id: ID, attempt })
    }

    /// Sends to this server and has the whole request written.
    fn written(&mut self, n: u16) -> u32 {
        let orders = self.send(n);
        let Some(Order::Start { attempt, .. }) = orders.first() else { panic!("{orders:?}") };
        let attempt = *attempt;
        assert_eq!(self.connected(attempt), [Order::Write { id: ID, attempt }]);
        self.happens(Input::Progress { id: ID, attempt, step: Step::Written });
        attempt
    }

    fn ends(&mut self, attempt: u32, ending: Ending, reply: Reply) -> Vec<Order> {
        self.happens(Input::Ended { id: ID, attempt, ending, reply })
    }

    fn tick(&mut self, now: Time) -> Vec<Order> {
        self.now = now;
        self.happens(Input::Tick)
    }
}

fn answers(orders: &[Order]) -> Vec<Final> {
    let answer = |o: &Order| if let Order::Answer { answer, .. } = o { Some(*answer) } else { None };
    orders.iter().filter_map(answer).collect()
}

fn stopped(orders: &[Order]) -> bool {
    orders.iter().any(|o| matches!(o, Order::Abort { .. }))
}

/// How the module hears of an attempt's end.
fn told(orders: &[Order]) -> Option<(Ending, bool)> {
    orders.iter().find_map(|o| match o {
        Order::Tell(Told::Ended { ending, last, .. }) => Some((*ending, *last)),
        _ => None,
    })
}

#[test]
fn a_timeout_in_the_same_batch_as_the_reply_gives_one_answer_whichever_is_first() {
    let mut reply_first = Story::new(Effect::Unsafe);
    let attempt = reply_first.written(1);
    reply_first.now = DEADLINE + GRACE;
    assert_eq!(answers(&reply_first.ends(attempt, Ending::Pass, Reply::Good)), [Final::Served]);
    assert_eq!(reply_first.tick(DEADLINE + GRACE), []);

    let mut timer_first = Story::new(Effect::Unsafe);
    let attempt = timer_first.written(1);
    let orders = timer_first.tick(DEADLINE + GRACE);
    assert_eq!(answers(&orders), [Final::Failed { late: true }]);
    assert!(stopped(&orders));
    assert_eq!(answers(&timer_first.ends(attempt, Ending::Pass, Reply::Good)), []);
    assert!(reply_first.lives.is_empty() && timer_first.lives.is_empty());
}

#[test]
fn the_overdue_guard_waits_for_the_grace_and_no_longer() {
    let mut story = Story::new(Effect::Safe);
    assert_eq!(story.lives.next_due(), Some(DEADLINE + GRACE));
    assert_eq!(story.tick(DEADLINE + GRACE - 1), []);
    let orders = story.tick(DEADLINE + GRACE);
    assert_eq!(answers(&orders), [Final::Refused { tried: false, advice: 0 }]);
    assert!(
        orders.contains(&Order::Tell(Told::ClientGone { id: ID })),
        "the module need not think of it more"
    );
}

#[test]
fn a_reply_that_is_whole_while_the_cancel_is_on_its_way_serves_who_still_waits() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    assert!(stopped(&story.happens(Input::Cancel { id: ID, attempt })));
    let orders = story.ends(attempt, Ending::Pass, Reply::Good);
    assert_eq!((answers(&orders), told(&orders)), (vec![Final::Served], Some((Ending::Pass, true))));
}

#[test]
fn a_cancelled_attempt_is_out_until_its_end_is_told() {
    let mut story = Story::new(Effect::Safe);
    let attempt = story.written(1);
    story.happens(Input::Cancel { id: ID, attempt });
    assert_eq!(told(&story.send(2)), Some((Ending::Stale, false)), "one is out");
    assert_eq!(told(&story.ends(attempt, Ending::Undone, Reply::None)), Some((Ending::Undone, false)));
    assert!(matches!(story.send(2)[..], [Order::Start { attempt: 1, .. }]));
}

#[test]
fn a_client_that_leaves_between_the_order_to_send_and_the_first_byte_has_nothing_sent() {
    let mut story = Story::new(Effect::Unsafe);
    story.send(1);
    assert!(stopped(&story.happens(Input::Left { id: ID })));
    assert_eq!(story.connected(0), [Order::Withhold { id: ID, attempt: 0 }]);
    assert_eq!(
        told(&story.ends(0, Ending::Undone, Reply::None)),
        Some((Ending::Stale, true)),
        "it never ran"
    );
    assert!(story.lives.is_empty());
}

#[test]
fn a_client_that_leaves_once_the_request_is_whole_leaves_the_attempt_to_the_module() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    assert_eq!(story.happens(Input::Left { id: ID }), [Order::Tell(Told::ClientGone { id: ID })]);
    assert_eq!(answers(&story.ends(attempt, Ending::Pass, Reply::Good)), []);
    assert!(story.lives.is_empty());
}

#[test]
fn nothing_is_written_to_a_server_that_drains_or_is_replaced_while_an_attempt_connects() {
    let elsewhere = listed(1, Some(9005));
    let gone = Listed { gone: true, ..listed(1, None) };
    for change in [listed(1, None), gone, elsewhere] {
        let mut story = Story::new(Effect::Safe);
        story.send(1);
        story.happens(Input::Fleet { whole: false, servers: vec![change, listed(3, Some(9001))] });
        assert_eq!(story.connected(0), [Order::Withhold { id: ID, attempt: 0 }]);
        assert_eq!(told(&story.ends(0, Ending::NoRoute, Reply::None)), Some((Ending::NoRoute, false)));
        assert!(matches!(story.send(2)[..], [Order::Start { attempt: 1, .. }]), "it never ran");
    }
}

#[test]
fn an_id_is_held_until_its_last_attempt_has_ended_and_free_just_after() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    story.happens(Input::Fail { id: ID });
    assert_eq!(story.tries(Input::Received(arrival(Effect::Unsafe))), Err(Wrong::Held(ID)));
    story.ends(attempt, Ending::Undone, Reply::None);
    story.now = 50;
    let again = Arrival { deadline: DEADLINE + 50, ..arrival(Effect::Unsafe) };
    story.happens(Input::Received(again));
    assert_eq!(story.tick(DEADLINE + GRACE), [], "the first one's deadline is not the second one's");
    assert_eq!(story.lives.get(ID).map(|l| l.attempts), Some(0));
}

#[test]
fn a_panic_of_the_module_answers_all_and_forgets_no_attempt_that_is_out() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    let orders = story.happens(Input::Panicked);
    assert_eq!(answers(&orders), [Final::Failed { late: false }], "it may have run");
    assert!(stopped(&orders));
    assert_eq!(story.tries(Input::Received(arrival(Effect::Unsafe))), Err(Wrong::Held(ID)));
    story.ends(attempt, Ending::Undone, Reply::None);
    assert!(story.lives.is_empty());
}

#[test]
fn what_must_not_run_twice_goes_out_again_only_with_proof_that_it_never_ran() {
    for (ending, again) in [
        (Ending::Full, true),
        (Ending::NoRoute, true),
        (Ending::Fault, false),
        (Ending::Late, false),
        (Ending::Cut, false),
        (Ending::Spoilt, false),
        (Ending::Undone, false),
    ] {
        let mut story = Story::new(Effect::Unsafe);
        let attempt = story.written(1);
        story.ends(attempt, ending, Reply::None);
        let started = matches!(story.send(2)[..], [Order::Start { .. }]);
        assert_eq!(started, again, "{ending:?}");
        if !again {
            let orders = story.happens(Input::Refuse { id: ID, advice: 9 });
            assert!(matches!(answers(&orders)[..], [Final::Failed { .. }]), "{ending:?}");
        }
    }
}

#[test]
fn a_key_is_repeated_in_its_group_and_while_it_is_known_also_when_the_connection_comes_up_late() {
    let mut story = Story::new(Effect::Keyed);
    story.now = 3;
    let attempt = story.written(1);
    story.ends(attempt, Ending::Cut, Reply::None);
    assert_eq!(told(&story.send(2)), Some((Ending::Stale, false)), "another cell");
    // Known until 3 + 50, less the margin of 10.
    story.now = 42;
    assert!(matches!(story.send(1)[..], [Order::Start { attempt: 1, .. }]));
    story.now = 43;
    assert_eq!(story.connected(1), [Order::Withhold { id: ID, attempt: 1 }]);
    story.ends(1, Ending::NoRoute, Reply::None);
    assert_eq!(told(&story.send(1)), Some((Ending::Stale, false)), "the key may be forgotten when it comes");
}

#[test]
fn what_never_came_whole_to_a_server_is_refused_with_advice() {
    let mut story = Story::new(Effect::Unsafe);
    story.send(1);
    assert_eq!(story.connected(0), [Order::Write { id: ID, attempt: 0 }]);
    let orders = story.happens(Input::Refuse { id: ID, advice: 9 });
    assert_eq!(answers(&orders), [Final::Refused { tried: true, advice: 9 }]);
    assert!(stopped(&orders), "so that its last byte never goes out");
}

#[test]
fn a_module_that_insists_on_a_server_without_an_address_runs_out_of_attempts() {
    let mut story = Story::new(Effect::Safe);
    story.happens(Input::Fleet { whole: false, servers: vec![listed(1, None)] });
    for _ in 0..3 {
        assert_eq!(told(&story.send(1)), Some((Ending::NoRoute, false)));
    }
    assert_eq!(told(&story.send(2)), Some((Ending::Stale, false)));
}

#[test]
fn what_an_attempt_cannot_say_is_an_error_and_changes_nothing() {
    let mut story = Story::new(Effect::Safe);
    story.send(1);
    let before = story.lives.clone();
    for (input, wrong) in [
        (Input::Connected { id: 8, attempt: 0 }, Wrong::NotOut { id: 8, attempt: 0 }),
        (Input::Connected { id: ID, attempt: 1 }, Wrong::NotOut { id: ID, attempt: 1 }),
        (
            Input::Progress { id: ID, attempt: 0, step: Step::Written },
            Wrong::OutOfOrder { id: ID, attempt: 0, at: Step::Connecting },
        ),
        (
            Input::Ended { id: ID, attempt: 0, ending: Ending::Pass, reply: Reply::Good },
            Wrong::OutOfOrder { id: ID, attempt: 0, at: Step::Connecting },
        ),
    ] {
        assert_eq!(story.tries(input), Err(wrong));
        assert_eq!(story.lives, before);
    }
}

/// A body that is passed on as it comes: nothing is due before its last byte, and its one attempt is its last.
#[test]
fn an_open_request_is_due_once_it_is_whole_and_is_sent_once() {
    let open = || {
        let mut story = Story::new(Effect::Unsafe);
        story.happens(Input::Fail { id: ID });
        story.happens(Input::Received(Arrival {
            once: true,
            deadline: 1000 * DEADLINE,
            ..arrival(Effect::Safe)
        }));
        story
    };
    for (ending, answer) in [
        (Ending::Full, Final::Refused { tried: true, advice: 0 }),
        (Ending::Late, Final::Failed { late: true }),
    ] {
        let mut story = open();
        story.send(1);
        story.connected(0);
        assert_eq!(story.tick(5 * DEADLINE), [], "its time has not begun");
        story.happens(Input::Whole { id: ID, deadline: 6 * DEADLINE });
        story.happens(Input::Progress { id: ID, attempt: 0, step: Step::Written });
        let orders = story.ends(0, ending, Reply::None);
        assert_eq!(answers(&orders), [answer]);
        assert!(matches!(orders.last(), Some(Order::Tell(Told::Ended { last: true, .. }))), "{orders:?}");
        assert!(story.lives.is_empty());
    }
    // Before a byte of it is out, another server may have it.
    let mut story = open();
    story.send(1);
    assert_eq!(answers(&story.ends(0, Ending::NoRoute, Reply::None)), []);
    assert_eq!(story.send(2).len(), 1);
    // Whole, and nobody sends it.
    let mut story = open();
    story.happens(Input::Whole { id: ID, deadline: DEADLINE });
    assert_eq!(answers(&story.tick(2 * DEADLINE)), [Final::Refused { tried: false, advice: 0 }]);
}
