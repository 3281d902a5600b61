//! The hard cases of a request's state machine, one scenario each. The checker explores them all; these tests document
//! the expected behaviour.

use interface::{Effect, Ending, Group, Name, RequestId, Time};
use lifecycle::{
    Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ListedServer, ModuleEvent, Reply,
    RequestTable, Step,
};

const ID: RequestId = 7;
const DEADLINE: Time = 100;
const GRACE: Time = 5;

struct Scenario {
    requests: RequestTable,
    now: Time,
}

fn server(n: u16) -> Name {
    format!("s-{n}").into()
}

fn listed(n: u16, port: Option<u16>) -> ListedServer {
    let address = port.map(|p| ([127, 0, 0, 1], p).into());
    ListedServer { name: server(n), zone: 0, cell: u32::from(n), address, is_removed: false }
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

impl Scenario {
    /// Two servers, and a request with this effect.
    fn new(effect: Effect) -> Self {
        let limits = Limits { max_attempts: 3, grace: GRACE, key_margin: 10 };
        let mut scenario = Scenario { requests: RequestTable::new(limits), now: 0 };
        let servers = vec![listed(1, Some(9001)), listed(2, Some(9002))];
        scenario.handle(Input::ServerList { is_full: true, servers });
        scenario.handle(Input::Received(arrival(effect)));
        scenario
    }

    fn handle(&mut self, input: Input) -> Vec<Command> {
        self.try_handle(input).expect("the input is valid")
    }

    fn try_handle(&mut self, input: Input) -> Result<Vec<Command>, InvalidInput> {
        let mut commands = Vec::new();
        self.requests.handle(self.now, input, &mut commands)?;
        Ok(commands)
    }

    fn send(&mut self, n: u16) -> Vec<Command> {
        self.handle(Input::Send { id: ID, server: server(n), attempt_deadline: 0 })
    }

    fn connected(&mut self, attempt: u32) -> Vec<Command> {
        self.handle(Input::Connected { id: ID, attempt })
    }

    /// Starts an attempt on this server and writes the complete request. Returns the attempt's number.
    fn written(&mut self, n: u16) -> u32 {
        let commands = self.send(n);
        let Some(Command::Start { attempt, .. }) = commands.first() else { panic!("{commands:?}") };
        let attempt = *attempt;
        assert_eq!(self.connected(attempt), [Command::Write { id: ID, attempt }]);
        self.handle(Input::Progress { id: ID, attempt, step: Step::Written });
        attempt
    }

    fn attempt_ended(&mut self, attempt: u32, ending: Ending, reply: Reply) -> Vec<Command> {
        self.handle(Input::AttemptEnded { id: ID, attempt, ending, reply })
    }

    fn tick(&mut self, now: Time) -> Vec<Command> {
        self.now = now;
        self.handle(Input::Tick)
    }
}

fn answers(commands: &[Command]) -> Vec<FinalAnswer> {
    let answer = |o: &Command| if let Command::Answer { answer, .. } = o { Some(*answer) } else { None };
    commands.iter().filter_map(answer).collect()
}

fn has_abort(commands: &[Command]) -> bool {
    commands.iter().any(|o| matches!(o, Command::Abort { .. }))
}

/// The attempt's end as reported to the module: its ending, and whether the request has ended with it.
fn reported_ending(commands: &[Command]) -> Option<(Ending, bool)> {
    commands.iter().find_map(|o| match o {
        Command::NotifyModule(ModuleEvent::Ended { ending, last, .. }) => Some((*ending, *last)),
        _ => None,
    })
}

#[test]
fn a_timeout_in_the_same_batch_as_the_reply_gives_one_answer_whichever_is_first() {
    let mut reply_first = Scenario::new(Effect::Unsafe);
    let attempt = reply_first.written(1);
    reply_first.now = DEADLINE + GRACE;
    assert_eq!(
        answers(&reply_first.attempt_ended(attempt, Ending::Success, Reply::Good)),
        [FinalAnswer::Served]
    );
    assert_eq!(reply_first.tick(DEADLINE + GRACE), []);

    let mut timer_first = Scenario::new(Effect::Unsafe);
    let attempt = timer_first.written(1);
    let commands = timer_first.tick(DEADLINE + GRACE);
    assert_eq!(answers(&commands), [FinalAnswer::Failed { late: true }]);
    assert!(has_abort(&commands));
    assert_eq!(answers(&timer_first.attempt_ended(attempt, Ending::Success, Reply::Good)), []);
    assert!(reply_first.requests.is_empty() && timer_first.requests.is_empty());
}

#[test]
fn an_overdue_request_is_answered_just_after_the_grace() {
    let mut scenario = Scenario::new(Effect::Safe);
    assert_eq!(scenario.requests.next_due(), Some(DEADLINE + GRACE));
    assert_eq!(scenario.tick(DEADLINE + GRACE - 1), []);
    let commands = scenario.tick(DEADLINE + GRACE);
    assert_eq!(answers(&commands), [FinalAnswer::Refused { tried: false, advice: 0 }]);
    assert!(
        commands.contains(&Command::NotifyModule(ModuleEvent::ClientLeft { id: ID })),
        "the module can drop the request"
    );
}

#[test]
fn a_complete_reply_that_crosses_a_cancel_is_served_to_a_waiting_client() {
    let mut scenario = Scenario::new(Effect::Unsafe);
    let attempt = scenario.written(1);
    assert!(has_abort(&scenario.handle(Input::Cancel { id: ID, attempt })));
    let commands = scenario.attempt_ended(attempt, Ending::Success, Reply::Good);
    assert_eq!(
        (answers(&commands), reported_ending(&commands)),
        (vec![FinalAnswer::Served], Some((Ending::Success, true)))
    );
}

#[test]
fn a_cancelled_attempt_is_in_flight_until_its_end_is_reported() {
    let mut scenario = Scenario::new(Effect::Safe);
    let attempt = scenario.written(1);
    scenario.handle(Input::Cancel { id: ID, attempt });
    assert_eq!(reported_ending(&scenario.send(2)), Some((Ending::Stale, false)), "one is in flight");
    assert_eq!(
        reported_ending(&scenario.attempt_ended(attempt, Ending::Cancelled, Reply::None)),
        Some((Ending::Cancelled, false))
    );
    assert!(matches!(scenario.send(2)[..], [Command::Start { attempt: 1, .. }]));
}

#[test]
fn nothing_is_sent_for_a_client_that_leaves_between_the_start_and_the_first_byte() {
    let mut scenario = Scenario::new(Effect::Unsafe);
    scenario.send(1);
    assert!(has_abort(&scenario.handle(Input::ClientLeft { id: ID })));
    assert_eq!(scenario.connected(0), [Command::Withhold { id: ID, attempt: 0 }]);
    assert_eq!(
        reported_ending(&scenario.attempt_ended(0, Ending::Cancelled, Reply::None)),
        Some((Ending::Stale, true)),
        "it never ran"
    );
    assert!(scenario.requests.is_empty());
}

#[test]
fn the_module_decides_on_the_attempt_of_a_client_that_leaves_after_the_last_byte() {
    let mut scenario = Scenario::new(Effect::Unsafe);
    let attempt = scenario.written(1);
    assert_eq!(
        scenario.handle(Input::ClientLeft { id: ID }),
        [Command::NotifyModule(ModuleEvent::ClientLeft { id: ID })]
    );
    assert_eq!(answers(&scenario.attempt_ended(attempt, Ending::Success, Reply::Good)), []);
    assert!(scenario.requests.is_empty());
}

#[test]
fn nothing_is_written_to_a_server_that_drains_or_is_replaced_while_an_attempt_connects() {
    let moved = listed(1, Some(9005));
    let removed = ListedServer { is_removed: true, ..listed(1, None) };
    for change in [listed(1, None), removed, moved] {
        let mut scenario = Scenario::new(Effect::Safe);
        scenario.send(1);
        scenario.handle(Input::ServerList { is_full: false, servers: vec![change, listed(3, Some(9001))] });
        assert_eq!(scenario.connected(0), [Command::Withhold { id: ID, attempt: 0 }]);
        assert_eq!(
            reported_ending(&scenario.attempt_ended(0, Ending::Unreachable, Reply::None)),
            Some((Ending::Unreachable, false))
        );
        assert!(matches!(scenario.send(2)[..], [Command::Start { attempt: 1, .. }]), "it never ran");
    }
}

#[test]
fn an_id_is_in_use_until_the_last_attempt_has_ended() {
    let mut scenario = Scenario::new(Effect::Unsafe);
    let attempt = scenario.written(1);
    scenario.handle(Input::Fail { id: ID });
    assert_eq!(scenario.try_handle(Input::Received(arrival(Effect::Unsafe))), Err(InvalidInput::IdInUse(ID)));
    scenario.attempt_ended(attempt, Ending::Cancelled, Reply::None);
    scenario.now = 50;
    let again = Arrival { deadline: DEADLINE + 50, ..arrival(Effect::Unsafe) };
    scenario.handle(Input::Received(again));
    assert_eq!(
        scenario.tick(DEADLINE + GRACE),
        [],
        "the first request's deadline does not apply to the second"
    );
    assert_eq!(scenario.requests.get(ID).map(|l| l.attempts), Some(0));
}

#[test]
fn a_panic_of_the_module_answers_all_requests_and_keeps_attempts_in_flight() {
    let mut scenario = Scenario::new(Effect::Unsafe);
    let attempt = scenario.written(1);
    let commands = scenario.handle(Input::Panicked);
    assert_eq!(answers(&commands), [FinalAnswer::Failed { late: false }], "it may have run");
    assert!(has_abort(&commands));
    assert_eq!(scenario.try_handle(Input::Received(arrival(Effect::Unsafe))), Err(InvalidInput::IdInUse(ID)));
    scenario.attempt_ended(attempt, Ending::Cancelled, Reply::None);
    assert!(scenario.requests.is_empty());
}

#[test]
fn an_unsafe_request_is_retried_only_with_proof_that_it_never_ran() {
    for (ending, again) in [
        (Ending::Overloaded, true),
        (Ending::Unreachable, true),
        (Ending::Failure, false),
        (Ending::TimedOut, false),
        (Ending::Interrupted, false),
        (Ending::Unreadable, false),
        (Ending::Cancelled, false),
    ] {
        let mut scenario = Scenario::new(Effect::Unsafe);
        let attempt = scenario.written(1);
        scenario.attempt_ended(attempt, ending, Reply::None);
        let started = matches!(scenario.send(2)[..], [Command::Start { .. }]);
        assert_eq!(started, again, "{ending:?}");
        if !again {
            let commands = scenario.handle(Input::Refuse { id: ID, advice: 9 });
            assert!(matches!(answers(&commands)[..], [FinalAnswer::Failed { .. }]), "{ending:?}");
        }
    }
}

#[test]
fn a_keyed_request_is_retried_in_its_group_while_the_key_is_known_even_if_connecting_takes_long() {
    let mut scenario = Scenario::new(Effect::Keyed);
    scenario.now = 3;
    let attempt = scenario.written(1);
    scenario.attempt_ended(attempt, Ending::Interrupted, Reply::None);
    assert_eq!(reported_ending(&scenario.send(2)), Some((Ending::Stale, false)), "another cell");
    // The key is known until 3 + 50; the margin is 10.
    scenario.now = 42;
    assert!(matches!(scenario.send(1)[..], [Command::Start { attempt: 1, .. }]));
    scenario.now = 43;
    assert_eq!(scenario.connected(1), [Command::Withhold { id: ID, attempt: 1 }]);
    scenario.attempt_ended(1, Ending::Unreachable, Reply::None);
    assert_eq!(
        reported_ending(&scenario.send(1)),
        Some((Ending::Stale, false)),
        "the key may have expired when the retry arrives"
    );
}

#[test]
fn a_request_that_no_server_received_completely_is_refused_with_a_retry_delay() {
    let mut scenario = Scenario::new(Effect::Unsafe);
    scenario.send(1);
    assert_eq!(scenario.connected(0), [Command::Write { id: ID, attempt: 0 }]);
    let commands = scenario.handle(Input::Refuse { id: ID, advice: 9 });
    assert_eq!(answers(&commands), [FinalAnswer::Refused { tried: true, advice: 9 }]);
    assert!(has_abort(&commands), "so that its last byte is never written");
}

#[test]
fn a_module_that_keeps_choosing_a_server_without_an_address_runs_out_of_attempts() {
    let mut scenario = Scenario::new(Effect::Safe);
    scenario.handle(Input::ServerList { is_full: false, servers: vec![listed(1, None)] });
    for _ in 0..3 {
        assert_eq!(reported_ending(&scenario.send(1)), Some((Ending::Unreachable, false)));
    }
    assert_eq!(reported_ending(&scenario.send(2)), Some((Ending::Stale, false)));
}

#[test]
fn an_invalid_input_of_an_attempt_is_an_error_and_changes_nothing() {
    let mut scenario = Scenario::new(Effect::Safe);
    scenario.send(1);
    let before = scenario.requests.clone();
    for (input, error) in [
        (Input::Connected { id: 8, attempt: 0 }, InvalidInput::NoSuchAttempt { id: 8, attempt: 0 }),
        (Input::Connected { id: ID, attempt: 1 }, InvalidInput::NoSuchAttempt { id: ID, attempt: 1 }),
        (
            Input::Progress { id: ID, attempt: 0, step: Step::Written },
            InvalidInput::OutOfOrder { id: ID, attempt: 0, step: Step::Connecting },
        ),
        (
            Input::AttemptEnded { id: ID, attempt: 0, ending: Ending::Success, reply: Reply::Good },
            InvalidInput::OutOfOrder { id: ID, attempt: 0, step: Step::Connecting },
        ),
    ] {
        assert_eq!(scenario.try_handle(input), Err(error));
        assert_eq!(scenario.requests, before);
    }
}

/// A streamed body: no answer is due before its last byte, and there is only one attempt.
#[test]
fn a_request_with_a_streamed_body_is_due_after_its_last_byte_and_is_sent_once() {
    let open = || {
        let mut scenario = Scenario::new(Effect::Unsafe);
        scenario.handle(Input::Fail { id: ID });
        scenario.handle(Input::Received(Arrival {
            has_single_attempt: true,
            deadline: 1000 * DEADLINE,
            ..arrival(Effect::Safe)
        }));
        scenario
    };
    for (ending, answer) in [
        (Ending::Overloaded, FinalAnswer::Refused { tried: true, advice: 0 }),
        (Ending::TimedOut, FinalAnswer::Failed { late: true }),
    ] {
        let mut scenario = open();
        scenario.send(1);
        scenario.connected(0);
        assert_eq!(scenario.tick(5 * DEADLINE), [], "its deadline does not count yet");
        scenario.handle(Input::BodyCompleted { id: ID, deadline: 6 * DEADLINE });
        scenario.handle(Input::Progress { id: ID, attempt: 0, step: Step::Written });
        let commands = scenario.attempt_ended(0, ending, Reply::None);
        assert_eq!(answers(&commands), [answer]);
        assert!(
            matches!(commands.last(), Some(Command::NotifyModule(ModuleEvent::Ended { last: true, .. }))),
            "{commands:?}"
        );
        assert!(scenario.requests.is_empty());
    }
    // Before a byte of it has been written, it may be sent to another server.
    let mut scenario = open();
    scenario.send(1);
    assert_eq!(answers(&scenario.attempt_ended(0, Ending::Unreachable, Reply::None)), []);
    assert_eq!(scenario.send(2).len(), 1);
    // Complete, but the module does not send it.
    let mut scenario = open();
    scenario.handle(Input::BodyCompleted { id: ID, deadline: DEADLINE });
    assert_eq!(answers(&scenario.tick(2 * DEADLINE)), [FinalAnswer::Refused { tried: false, advice: 0 }]);
}
