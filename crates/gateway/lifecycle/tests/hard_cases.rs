//! The hard cases of a request's life, each told as a story. The checker explores them all; these say what is
//! wanted in words.

use interface::{Effect, Ending, Group, Name, RequestId, Time};
use lifecycle::{
    Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ListedServer, ModuleEvent, Reply,
    RequestTable, Step,
};

const ID: RequestId = 7;
const DEADLINE: Time = 100;
const GRACE: Time = 5;

struct Story {
    lives: RequestTable,
    now: Time,
}

fn server(n: u16) -> Name {
    format!("s-{n}").into()
}

fn listed(n: u16, port: Option<u16>) -> ListedServer {
    let place = port.map(|p| ([127, 0, 0, 1], p).into());
    ListedServer { name: server(n), zone: 0, cell: u32::from(n), address: place, is_removed: false }
}

fn arrival(effect: Effect) -> Arrival {
    Arrival {
        id: ID,
        class: 0,
        effect,
        group: Group::Cell,
        key_ttl: 50,
        deadline: DEADLINE,
        has_single_attempt: false,
    }
}

impl Story {
    /// Two servers, and a request of this kind in hand.
    fn new(effect: Effect) -> Self {
        let limits = Limits { max_attempts: 3, grace: GRACE, key_margin: 10 };
        let mut story = Story { lives: RequestTable::new(limits), now: 0 };
        let servers = vec![listed(1, Some(9001)), listed(2, Some(9002))];
        story.happens(Input::ServerList { is_full: true, servers });
        story.happens(Input::Received(arrival(effect)));
        story
    }

    fn happens(&mut self, input: Input) -> Vec<Command> {
        self.tries(input).expect("it has a meaning")
    }

    fn tries(&mut self, input: Input) -> Result<Vec<Command>, InvalidInput> {
        let mut orders = Vec::new();
        self.lives.handle(self.now, input, &mut orders)?;
        Ok(orders)
    }

    fn send(&mut self, n: u16) -> Vec<Command> {
        self.happens(Input::Send { id: ID, server: server(n), attempt_deadline: 0 })
    }

    fn connected(&mut self, attempt: u32) -> Vec<Command> {
        self.happens(Input::Connected { id: ID, attempt })
    }

    /// Sends to this server and has the whole request written.
    fn written(&mut self, n: u16) -> u32 {
        let orders = self.send(n);
        let Some(Command::Start { attempt, .. }) = orders.first() else { panic!("{orders:?}") };
        let attempt = *attempt;
        assert_eq!(self.connected(attempt), [Command::Write { id: ID, attempt }]);
        self.happens(Input::Progress { id: ID, attempt, step: Step::Written });
        attempt
    }

    fn ends(&mut self, attempt: u32, ending: Ending, reply: Reply) -> Vec<Command> {
        self.happens(Input::AttemptEnded { id: ID, attempt, ending, reply })
    }

    fn tick(&mut self, now: Time) -> Vec<Command> {
        self.now = now;
        self.happens(Input::Tick)
    }
}

fn answers(orders: &[Command]) -> Vec<FinalAnswer> {
    let answer = |o: &Command| if let Command::Answer { answer, .. } = o { Some(*answer) } else { None };
    orders.iter().filter_map(answer).collect()
}

fn stopped(orders: &[Command]) -> bool {
    orders.iter().any(|o| matches!(o, Command::Abort { .. }))
}

/// How the module hears of an attempt's end.
fn told(orders: &[Command]) -> Option<(Ending, bool)> {
    orders.iter().find_map(|o| match o {
        Command::NotifyModule(ModuleEvent::Ended { ending, last, .. }) => Some((*ending, *last)),
        _ => None,
    })
}

#[test]
fn a_timeout_in_the_same_batch_as_the_reply_gives_one_answer_whichever_is_first() {
    let mut reply_first = Story::new(Effect::Unsafe);
    let attempt = reply_first.written(1);
    reply_first.now = DEADLINE + GRACE;
    assert_eq!(answers(&reply_first.ends(attempt, Ending::Success, Reply::Good)), [FinalAnswer::Served]);
    assert_eq!(reply_first.tick(DEADLINE + GRACE), []);

    let mut timer_first = Story::new(Effect::Unsafe);
    let attempt = timer_first.written(1);
    let orders = timer_first.tick(DEADLINE + GRACE);
    assert_eq!(answers(&orders), [FinalAnswer::Failed { late: true }]);
    assert!(stopped(&orders));
    assert_eq!(answers(&timer_first.ends(attempt, Ending::Success, Reply::Good)), []);
    assert!(reply_first.lives.is_empty() && timer_first.lives.is_empty());
}

#[test]
fn the_overdue_guard_waits_for_the_grace_and_no_longer() {
    let mut story = Story::new(Effect::Safe);
    assert_eq!(story.lives.next_due(), Some(DEADLINE + GRACE));
    assert_eq!(story.tick(DEADLINE + GRACE - 1), []);
    let orders = story.tick(DEADLINE + GRACE);
    assert_eq!(answers(&orders), [FinalAnswer::Refused { tried: false, advice: 0 }]);
    assert!(
        orders.contains(&Command::NotifyModule(ModuleEvent::ClientLeft { id: ID })),
        "the module need not think of it more"
    );
}

#[test]
fn a_reply_that_is_whole_while_the_cancel_is_on_its_way_serves_who_still_waits() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    assert!(stopped(&story.happens(Input::Cancel { id: ID, attempt })));
    let orders = story.ends(attempt, Ending::Success, Reply::Good);
    assert_eq!((answers(&orders), told(&orders)), (vec![FinalAnswer::Served], Some((Ending::Success, true))));
}

#[test]
fn a_cancelled_attempt_is_out_until_its_end_is_told() {
    let mut story = Story::new(Effect::Safe);
    let attempt = story.written(1);
    story.happens(Input::Cancel { id: ID, attempt });
    assert_eq!(told(&story.send(2)), Some((Ending::Stale, false)), "one is out");
    assert_eq!(told(&story.ends(attempt, Ending::Cancelled, Reply::None)), Some((Ending::Cancelled, false)));
    assert!(matches!(story.send(2)[..], [Command::Start { attempt: 1, .. }]));
}

#[test]
fn a_client_that_leaves_between_the_order_to_send_and_the_first_byte_has_nothing_sent() {
    let mut story = Story::new(Effect::Unsafe);
    story.send(1);
    assert!(stopped(&story.happens(Input::ClientLeft { id: ID })));
    assert_eq!(story.connected(0), [Command::Withhold { id: ID, attempt: 0 }]);
    assert_eq!(
        told(&story.ends(0, Ending::Cancelled, Reply::None)),
        Some((Ending::Stale, true)),
        "it never ran"
    );
    assert!(story.lives.is_empty());
}

#[test]
fn a_client_that_leaves_once_the_request_is_whole_leaves_the_attempt_to_the_module() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    assert_eq!(
        story.happens(Input::ClientLeft { id: ID }),
        [Command::NotifyModule(ModuleEvent::ClientLeft { id: ID })]
    );
    assert_eq!(answers(&story.ends(attempt, Ending::Success, Reply::Good)), []);
    assert!(story.lives.is_empty());
}

#[test]
fn nothing_is_written_to_a_server_that_drains_or_is_replaced_while_an_attempt_connects() {
    let elsewhere = listed(1, Some(9005));
    let gone = ListedServer { is_removed: true, ..listed(1, None) };
    for change in [listed(1, None), gone, elsewhere] {
        let mut story = Story::new(Effect::Safe);
        story.send(1);
        story.happens(Input::ServerList { is_full: false, servers: vec![change, listed(3, Some(9001))] });
        assert_eq!(story.connected(0), [Command::Withhold { id: ID, attempt: 0 }]);
        assert_eq!(
            told(&story.ends(0, Ending::Unreachable, Reply::None)),
            Some((Ending::Unreachable, false))
        );
        assert!(matches!(story.send(2)[..], [Command::Start { attempt: 1, .. }]), "it never ran");
    }
}

#[test]
fn an_id_is_held_until_its_last_attempt_has_ended_and_free_just_after() {
    let mut story = Story::new(Effect::Unsafe);
    let attempt = story.written(1);
    story.happens(Input::Fail { id: ID });
    assert_eq!(story.tries(Input::Received(arrival(Effect::Unsafe))), Err(InvalidInput::IdInUse(ID)));
    story.ends(attempt, Ending::Cancelled, Reply::None);
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
    assert_eq!(answers(&orders), [FinalAnswer::Failed { late: false }], "it may have run");
    assert!(stopped(&orders));
    assert_eq!(story.tries(Input::Received(arrival(Effect::Unsafe))), Err(InvalidInput::IdInUse(ID)));
    story.ends(attempt, Ending::Cancelled, Reply::None);
    assert!(story.lives.is_empty());
}

#[test]
fn what_must_not_run_twice_goes_out_again_only_with_proof_that_it_never_ran() {
    for (ending, again) in [
        (Ending::Overloaded, true),
        (Ending::Unreachable, true),
        (Ending::Failure, false),
        (Ending::TimedOut, false),
        (Ending::Interrupted, false),
        (Ending::Unreadable, false),
        (Ending::Cancelled, false),
    ] {
        let mut story = Story::new(Effect::Unsafe);
        let attempt = story.written(1);
        story.ends(attempt, ending, Reply::None);
        let started = matches!(story.send(2)[..], [Command::Start { .. }]);
        assert_eq!(started, again, "{ending:?}");
        if !again {
            let orders = story.happens(Input::Refuse { id: ID, advice: 9 });
            assert!(matches!(answers(&orders)[..], [FinalAnswer::Failed { .. }]), "{ending:?}");
        }
    }
}

#[test]
fn a_key_is_repeated_in_its_group_and_while_it_is_known_also_when_the_connection_comes_up_late() {
    let mut story = Story::new(Effect::Keyed);
    story.now = 3;
    let attempt = story.written(1);
    story.ends(attempt, Ending::Interrupted, Reply::None);
    assert_eq!(told(&story.send(2)), Some((Ending::Stale, false)), "another cell");
    // Known until 3 + 50, less the margin of 10.
    story.now = 42;
    assert!(matches!(story.send(1)[..], [Command::Start { attempt: 1, .. }]));
    story.now = 43;
    assert_eq!(story.connected(1), [Command::Withhold { id: ID, attempt: 1 }]);
    story.ends(1, Ending::Unreachable, Reply::None);
    assert_eq!(told(&story.send(1)), Some((Ending::Stale, false)), "the key may be forgotten when it comes");
}

#[test]
fn what_never_came_whole_to_a_server_is_refused_with_advice() {
    let mut story = Story::new(Effect::Unsafe);
    story.send(1);
    assert_eq!(story.connected(0), [Command::Write { id: ID, attempt: 0 }]);
    let orders = story.happens(Input::Refuse { id: ID, advice: 9 });
    assert_eq!(answers(&orders), [FinalAnswer::Refused { tried: true, advice: 9 }]);
    assert!(stopped(&orders), "so that its last byte never goes out");
}

#[test]
fn a_module_that_insists_on_a_server_without_an_address_runs_out_of_attempts() {
    let mut story = Story::new(Effect::Safe);
    story.happens(Input::ServerList { is_full: false, servers: vec![listed(1, None)] });
    for _ in 0..3 {
        assert_eq!(told(&story.send(1)), Some((Ending::Unreachable, false)));
    }
    assert_eq!(told(&story.send(2)), Some((Ending::Stale, false)));
}

#[test]
fn what_an_attempt_cannot_say_is_an_error_and_changes_nothing() {
    let mut story = Story::new(Effect::Safe);
    story.send(1);
    let before = story.lives.clone();
    for (input, wrong) in [
        (Input::Connected { id: 8, attempt: 0 }, InvalidInput::NoSuchAttempt { id: 8, attempt: 0 }),
        (Input::Connected { id: ID, attempt: 1 }, InvalidInput::NoSuchAttempt { id: ID, attempt: 1 }),
        (
            Input::Progress { id: ID, attempt: 0, step: Step::Written },
            InvalidInput::OutOfOrder { id: ID, attempt: 0, at: Step::Connecting },
        ),
        (
            Input::AttemptEnded { id: ID, attempt: 0, ending: Ending::Success, reply: Reply::Good },
            InvalidInput::OutOfOrder { id: ID, attempt: 0, at: Step::Connecting },
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
            has_single_attempt: true,
            deadline: 1000 * DEADLINE,
            ..arrival(Effect::Safe)
        }));
        story
    };
    for (ending, answer) in [
        (Ending::Overloaded, FinalAnswer::Refused { tried: true, advice: 0 }),
        (Ending::TimedOut, FinalAnswer::Failed { late: true }),
    ] {
        let mut story = open();
        story.send(1);
        story.connected(0);
        assert_eq!(story.tick(5 * DEADLINE), [], "its time has not begun");
        story.happens(Input::BodyCompleted { id: ID, deadline: 6 * DEADLINE });
        story.happens(Input::Progress { id: ID, attempt: 0, step: Step::Written });
        let orders = story.ends(0, ending, Reply::None);
        assert_eq!(answers(&orders), [answer]);
        assert!(
            matches!(orders.last(), Some(Command::NotifyModule(ModuleEvent::Ended { last: true, .. }))),
            "{orders:?}"
        );
        assert!(story.lives.is_empty());
    }
    // Before a byte of it is out, another server may have it.
    let mut story = open();
    story.send(1);
    assert_eq!(answers(&story.ends(0, Ending::Unreachable, Reply::None)), []);
    assert_eq!(story.send(2).len(), 1);
    // Whole, and nobody sends it.
    let mut story = open();
    story.happens(Input::BodyCompleted { id: ID, deadline: DEADLINE });
    assert_eq!(answers(&story.tick(2 * DEADLINE)), [FinalAnswer::Refused { tried: false, advice: 0 }]);
}
