//! Model of the request table's environment: clients, attempts on two servers, the server list, time, and a decision
//! module that is either an adversary or the real one. The checker runs `lifecycle::RequestTable` itself.

use crate::decision_module::DecisionModule;
use crate::rules::{self, Violation};
use interface::{Effect, Ending, Event, Group, Name, Request, RequestId, Scope, Time};
use lifecycle::{
    Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ListedServer, ModuleEvent, Reply,
    RequestTable, Step,
};
use stateright::{Model, Property};
use std::net::SocketAddr;

// Durations in units of `World::time_unit`.
pub const DEADLINE: Time = 3;
pub const GRACE: Time = 1;
pub const KEY_TTL: Time = 3;
pub const KEY_MARGIN: Time = 1;
/// Time at which the model's clock stops.
const LATEST_TIME: Time = DEADLINE + GRACE;

/// Parameters of one model: the kind of its requests, and how often each disturbance may happen.
#[derive(Clone)]
pub struct World {
    pub name: &'static str,
    pub effect: Effect,
    /// Whether a request's body is streamed, so that it can be written only once.
    pub streams_body: bool,
    pub group: Group,
    /// Ids of the requests, in the order of arrival.
    pub request_ids: Vec<RequestId>,
    pub attempt_limit: u32,
    pub cancels: u8,
    pub list_changes: u8,
    pub panics: u8,
    pub client_departures: u8,
    /// Whether the real decision module takes part, instead of an adversary.
    pub uses_real_module: bool,
    /// Length of one unit of time: 1 with the adversary, a number of nanoseconds with the real module.
    pub time_unit: Time,
}

/// State of the client of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientState {
    Waiting,
    Answered,
    Left,
}

/// A request as seen by its client and by an observer with full knowledge.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedRequest {
    pub id: RequestId,
    pub deadline: Time,
    pub client_state: ClientState,
    pub attempts: u32,
    /// Time at which the write of the earliest attempt that may have run started, and the cell of its server.
    pub first_execution: Option<(Time, u32)>,
    /// Whether one of its attempts has been allowed to write.
    write_permitted: bool,
}

/// An attempt in flight, as seen at the sockets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlightAttempt {
    /// Index of its request in `requests`.
    pub arrival: usize,
    pub id: RequestId,
    pub number: u32,
    pub server: u8,
    pub step: Step,
    pub aborted: bool,
    pub withheld: bool,
    pub fully_written_at_departure: bool,
    started_at: Time,
    /// Address of its server when it was sent.
    server_address: SocketAddr,
    /// Whether its answer is streamed to the client.
    pub is_streaming: bool,
}

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
    /// Now at another address; a different server uses the old one.
    Moved,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Time,
    /// Whether the timers due at `now` have been checked.
    pub timers_checked: bool,
    pub request_table: RequestTable,
    pub requests: Vec<ObservedRequest>,
    pub attempts: Vec<InFlightAttempt>,
    pub servers: [ServerState; 2],
    next_request: usize,
    cancels: u8,
    list_changes: u8,
    panics: u8,
    client_departures: u8,
    violations: u32,
    pub module: DecisionModule,
}

/// A transition of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelAction {
    Arrive,
    Leave { arrival: usize },
    Send { id: RequestId, server: u8 },
    Refuse { id: RequestId },
    Fail { id: RequestId },
    Cancel { id: RequestId, attempt: u32 },
    Connected(usize),
    FullyWritten(usize),
    Answering(usize),
    StreamStarted(usize),
    End(usize, Ending, Reply),
    ListChange(u8, ServerState),
    Panic,
    Batch,
    Tick,
    Wait,
}

pub fn server(n: u8) -> Name {
    ["s-1", "s-2"][usize::from(n)].into()
}

fn server_address(n: u8, moved: bool) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + u16::from(n) + if moved { 100 } else { 0 }).into()
}

impl State {
    pub fn has_violation(&self, violation: Violation) -> bool {
        self.violations & (1 << violation as u32) != 0
    }

    fn record_violation_if(&mut self, violation: Violation, occurred: bool) {
        if occurred {
            self.violations |= 1 << violation as u32;
        }
    }

    /// Returns the index of the latest request with this id.
    fn latest(&self, id: RequestId) -> Option<usize> {
        self.requests.iter().rposition(|a| a.id == id)
    }
}

impl World {
    pub fn time(&self, units: Time) -> Time {
        units * self.time_unit
    }

    fn list_entry(&self, n: u8, server_state: ServerState) -> ListedServer {
        let moved = server_state == ServerState::Moved;
        ListedServer {
            name: server(n),
            zone: 0,
            cell: u32::from(n),
            address: matches!(server_state, ServerState::Ready | ServerState::Moved)
                .then(|| server_address(n, moved)),
            is_removed: server_state == ServerState::Gone,
        }
    }

    /// Passes an input to the request table, executes its commands and records violations.
    fn handle(&self, s: &mut State, input: Input) -> Result<(), InvalidInput> {
        let mut commands = Vec::new();
        let is_tick = input == Input::Tick;
        // The attempt that ends with this input, and whether it brings a good answer to a waiting client.
        let ended_attempt = match &input {
            Input::AttemptEnded { id, attempt, reply, .. } => s
                .attempts
                .iter()
                .position(|a| a.id == *id && a.number == *attempt)
                .map(|n| (s.attempts.remove(n), *reply)),
            _ => None,
        };
        let good_answer_awaited = ended_attempt.as_ref().is_some_and(|(a, reply)| {
            *reply == Reply::Good && s.requests[a.arrival].client_state == ClientState::Waiting
        });
        let streaming_request = match &input {
            Input::AnswerStarted { id, attempt } => {
                s.attempts.iter_mut().find(|a| a.id == *id && a.number == *attempt).map(|a| {
                    a.is_streaming = true;
                    a.arrival
                })
            }
            _ => None,
        };
        let answered: Vec<bool> =
            s.requests.iter().map(|a| a.client_state == ClientState::Answered).collect();
        let (mut end_notifications, mut stream_commands) = (0, 0);
        let done = s.request_table.handle(s.now, input, &mut commands);
        for command in commands {
            match command {
                Command::Start { id, attempt, server, address: server_address, .. } => {
                    let Some(arrival) = s.latest(id) else { continue };
                    s.record_violation_if(
                        Violation::ActiveAfterAnswer,
                        s.requests[arrival].client_state != ClientState::Waiting,
                    );
                    s.requests[arrival].attempts += 1;
                    let server = u8::from(&*server == "s-2");
                    let (aborted, withheld, fully_written_at_departure) = (false, false, false);
                    let (step, started_at) = (Step::Connecting, s.now);
                    s.attempts.push(InFlightAttempt {
                        arrival,
                        id,
                        number: attempt,
                        server,
                        step,
                        aborted,
                        withheld,
                        fully_written_at_departure,
                        started_at,
                        server_address,
                        is_streaming: false,
                    });
                }
                Command::Write { id, attempt } => self.on_write_permitted(s, id, attempt),
                Command::Withhold { id, attempt } => {
                    if let Some(a) = s.attempts.iter_mut().find(|a| a.id == id && a.number == attempt) {
                        a.withheld = true;
                    }
                }
                Command::Abort { id, attempt } => {
                    if let Some(a) = s.attempts.iter_mut().find(|a| a.id == id && a.number == attempt) {
                        a.aborted = true;
                    }
                }
                Command::Answer { id, answer, .. } => {
                    let Some(n) = s.latest(id) else { continue };
                    s.record_violation_if(
                        Violation::SecondAnswer,
                        s.requests[n].client_state == ClientState::Answered,
                    );
                    s.record_violation_if(
                        Violation::AnswerAfterLeave,
                        s.requests[n].client_state == ClientState::Left,
                    );
                    let due = s.requests[n].deadline + self.time(GRACE);
                    s.record_violation_if(Violation::OverdueTooEarly, is_tick && s.now < due);
                    if matches!(answer, FinalAnswer::Refused { .. }) {
                        let is_fully_written =
                            s.attempts.iter().any(|a| a.arrival == n && a.step >= Step::Written);
                        s.record_violation_if(
                            Violation::RefusedAfterExecution,
                            is_fully_written || s.requests[n].first_execution.is_some(),
                        );
                    }
                    if matches!(answer, FinalAnswer::Served | FinalAnswer::Rejected) {
                        let is_own = ended_attempt.as_ref().is_some_and(|(a, _)| a.arrival == n)
                            || streaming_request == Some(n);
                        s.record_violation_if(Violation::ForeignAnswer, !is_own);
                    }
                    s.requests[n].client_state = ClientState::Answered;
                }
                Command::Streamed { id, .. } => {
                    let is_own = ended_attempt.as_ref().is_some_and(|(a, _)| a.id == id && a.is_streaming);
                    s.record_violation_if(Violation::ForeignAnswer, !is_own);
                    stream_commands += 1;
                }
                Command::NotifyModule(t) => {
                    match &t {
                        ModuleEvent::Ended { .. } => end_notifications += 1,
                        ModuleEvent::ClientLeft { id } => {
                            let before = s.latest(*id).is_some_and(|n| answered[n]);
                            s.record_violation_if(Violation::RepeatedDepartureReport, before);
                        }
                    }
                    s.module.notify(t);
                }
            }
        }
        if let Some((a, _)) = &ended_attempt {
            // The end of a streamed attempt was reported to the module when its stream started.
            let reported_once = if a.is_streaming {
                end_notifications == 0 && stream_commands == 1
            } else {
                end_notifications == 1 && stream_commands == 0
            };
            s.record_violation_if(Violation::EndNotReportedOnce, done.is_ok() && !reported_once);
            s.record_violation_if(
                Violation::GoodAnswerLost,
                good_answer_awaited && s.requests[a.arrival].client_state != ClientState::Answered,
            );
        }
        done
    }

    /// Starts the write of an attempt that was allowed to write, and records violations.
    fn on_write_permitted(&self, s: &mut State, id: RequestId, number: u32) {
        let Some(n) = s.attempts.iter().position(|a| a.id == id && a.number == number) else { return };
        let a = s.attempts[n].clone();
        let (request, now) = (s.requests[a.arrival].clone(), s.now);
        s.record_violation_if(Violation::WrittenTwice, self.streams_body && request.write_permitted);
        s.requests[a.arrival].write_permitted = true;
        s.record_violation_if(Violation::ActiveAfterAnswer, request.client_state != ClientState::Waiting);
        s.record_violation_if(Violation::WrittenAfterAbort, a.aborted);
        let current_address = self.list_entry(a.server, s.servers[usize::from(a.server)]).address;
        s.record_violation_if(Violation::WrittenAfterDrain, current_address != Some(a.server_address));
        if let Some((first, cell)) = request.first_execution {
            s.record_violation_if(Violation::UnsafeRepeat, self.effect == Effect::Unsafe);
            // The request takes up to the margin to arrive, and the key is known only in the group of the first execution.
            let in_group = self.group == Group::All || cell == u32::from(a.server);
            let key_known = now + self.time(KEY_MARGIN) < first + self.time(KEY_TTL);
            s.record_violation_if(
                Violation::KeyedRepeat,
                self.effect == Effect::Keyed && !(in_group && key_known),
            );
        }
        s.attempts[n].step = Step::Writing;
        s.attempts[n].started_at = now;
    }

    /// Returns the possible endings of an attempt in its present step.
    fn endings(&self, a: &InFlightAttempt) -> Vec<(Ending, Reply)> {
        use Ending::*;
        if a.withheld {
            return vec![(Unreachable, Reply::None)];
        }
        if a.is_streaming {
            let ends = [Success, Interrupted, TimedOut, Unreadable, Cancelled];
            return ends.map(|ending| (ending, Reply::None)).to_vec();
        }
        let mut all = match a.step {
            Step::Connecting => vec![(Unreachable, Reply::None)],
            // The connection breaks before the last byte, or the server answers before it has read the entire request.
            Step::Writing => {
                vec![(Unreachable, Reply::None), (Overloaded, Reply::None), (Failure, Reply::None)]
            }
            Step::Written | Step::Answering => vec![
                (Success, Reply::Good),
                (Failure, Reply::None),
                (Overloaded, Reply::None),
                (TimedOut, Reply::None),
                (Interrupted, Reply::None),
                (Unreadable, Reply::None),
                (Cancelled, Reply::Rejected),
            ],
        };
        if a.aborted {
            all.push((Cancelled, Reply::None));
        }
        all
    }
}

impl Model for World {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let limits = Limits {
            max_attempts: self.attempt_limit,
            grace: self.time(GRACE),
            key_margin: self.time(KEY_MARGIN),
        };
        let mut s = State {
            now: 0,
            timers_checked: true,
            request_table: RequestTable::new(limits),
            requests: Vec::new(),
            attempts: Vec::new(),
            servers: [ServerState::Ready; 2],
            next_request: 0,
            cancels: self.cancels,
            list_changes: self.list_changes,
            panics: self.panics,
            client_departures: self.client_departures,
            violations: 0,
            module: DecisionModule::new(self),
        };
        let servers = vec![self.list_entry(0, ServerState::Ready), self.list_entry(1, ServerState::Ready)];
        s.module.update_servers(Scope::Full, &servers);
        let done = self.handle(&mut s, Input::ServerList { is_full: true, servers });
        s.record_violation_if(Violation::UnexpectedError, done.is_err());
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<ModelAction>) {
        if s.violations != 0 {
            return;
        }
        if s.next_request < self.request_ids.len() {
            actions.push(ModelAction::Arrive);
        }
        for (arrival, a) in s.requests.iter().enumerate() {
            if a.client_state == ClientState::Waiting
                && s.client_departures > 0
                && s.latest(a.id) == Some(arrival)
            {
                actions.push(ModelAction::Leave { arrival });
            }
        }
        for (n, a) in s.attempts.iter().enumerate() {
            match a.step {
                Step::Connecting if !a.withheld => actions.push(ModelAction::Connected(n)),
                Step::Writing => actions.push(ModelAction::FullyWritten(n)),
                Step::Written => actions.push(ModelAction::Answering(n)),
                Step::Answering if !a.is_streaming => actions.push(ModelAction::StreamStarted(n)),
                _ => {}
            }
            for (ending, reply) in self.endings(a) {
                actions.push(ModelAction::End(n, ending, reply));
            }
        }
        if s.list_changes > 0 && s.servers[0] == ServerState::Ready {
            for server_state in [ServerState::Draining, ServerState::Gone, ServerState::Moved] {
                actions.push(ModelAction::ListChange(0, server_state));
            }
        }
        if s.panics > 0 {
            actions.push(ModelAction::Panic);
        }
        if s.module.is_real() {
            if s.module.has_pending_events(s.now) {
                actions.push(ModelAction::Batch);
            }
        } else if !s.requests.is_empty() {
            let mut request_ids = self.request_ids.clone();
            request_ids.dedup();
            for id in request_ids {
                actions.push(ModelAction::Send { id, server: 0 });
                actions.push(ModelAction::Send { id, server: 1 });
                actions.push(ModelAction::Refuse { id });
                actions.push(ModelAction::Fail { id });
            }
            if s.cancels > 0 {
                let cancellations =
                    s.attempts.iter().map(|a| ModelAction::Cancel { id: a.id, attempt: a.number });
                actions.extend(cancellations);
            }
        }
        if !s.timers_checked {
            actions.push(ModelAction::Tick);
        } else if s.now < self.time(LATEST_TIME) && !s.requests.is_empty() {
            actions.push(ModelAction::Wait);
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut s = last.clone();
        let mut done = Ok(());
        match action {
            ModelAction::Arrive => {
                let id = self.request_ids[s.next_request];
                s.next_request += 1;
                let deadline = s.now + self.time(DEADLINE);
                let arrival = Arrival {
                    class: 0,
                    has_single_attempt: self.streams_body,
                    id,
                    effect: self.effect,
                    group: self.group,
                    key_ttl: self.time(KEY_TTL),
                    deadline,
                };
                let id_in_use = s.request_table.get(id).is_some();
                match self.handle(&mut s, Input::Received(arrival)) {
                    Ok(()) => {
                        s.record_violation_if(Violation::DuplicateId, id_in_use);
                        s.requests.push(ObservedRequest {
                            id,
                            deadline,
                            client_state: ClientState::Waiting,
                            attempts: 0,
                            first_execution: None,
                            write_permitted: false,
                        });
                        s.module.push_event(Event::Request(Request::new(id, 0, 0, "c-1", deadline, 1.0)));
                    }
                    // The HTTP front end answers it with 400.
                    Err(InvalidInput::IdInUse(_)) if id_in_use => {}
                    Err(_) => s.record_violation_if(Violation::UnexpectedError, true),
                }
            }
            ModelAction::Leave { arrival } => {
                let id = s.requests[arrival].id;
                s.client_departures -= 1;
                s.requests[arrival].client_state = ClientState::Left;
                for a in s.attempts.iter_mut().filter(|a| a.arrival == arrival) {
                    a.fully_written_at_departure = a.step >= Step::Written;
                }
                done = self.handle(&mut s, Input::ClientLeft { id });
            }
            ModelAction::Send { id, server: n } => {
                done = self.handle(&mut s, Input::Send { id, server: server(n), attempt_deadline: 0 });
            }
            ModelAction::Refuse { id } => done = self.handle(&mut s, Input::Refuse { id, advice: 0 }),
            ModelAction::Fail { id } => done = self.handle(&mut s, Input::Fail { id }),
            ModelAction::Cancel { id, attempt } => {
                s.cancels -= 1;
                done = self.handle(&mut s, Input::Cancel { id, attempt });
            }
            ModelAction::Connected(n) => {
                let (id, attempt) = (s.attempts[n].id, s.attempts[n].number);
                done = self.handle(&mut s, Input::Connected { id, attempt });
            }
            ModelAction::FullyWritten(n) | ModelAction::Answering(n) => {
                let step = if matches!(action, ModelAction::FullyWritten(_)) {
                    Step::Written
                } else {
                    Step::Answering
                };
                let (id, attempt) = (s.attempts[n].id, s.attempts[n].number);
                s.attempts[n].step = step;
                done = self.handle(&mut s, Input::Progress { id, attempt, step });
            }
            ModelAction::StreamStarted(n) => {
                let (id, attempt, arrival) = (s.attempts[n].id, s.attempts[n].number, s.attempts[n].arrival);
                let was_waiting = s.requests[arrival].client_state == ClientState::Waiting;
                s.requests[arrival]
                    .first_execution
                    .get_or_insert((s.attempts[n].started_at, u32::from(s.attempts[n].server)));
                match self.handle(&mut s, Input::AnswerStarted { id, attempt }) {
                    // Crossed with a final answer or the client's departure: the attempt's answer is not used.
                    Err(InvalidInput::NoSuchAttempt { .. }) if !was_waiting => {
                        s.attempts[n].is_streaming = false
                    }
                    result => done = result,
                }
                s.record_violation_if(
                    Violation::GoodAnswerLost,
                    was_waiting && s.requests[arrival].client_state != ClientState::Answered,
                );
            }
            ModelAction::End(n, ending, reply) => {
                let a = s.attempts[n].clone();
                if a.step >= Step::Written && ending != Ending::Overloaded {
                    s.requests[a.arrival].first_execution.get_or_insert((a.started_at, u32::from(a.server)));
                }
                done =
                    self.handle(&mut s, Input::AttemptEnded { id: a.id, attempt: a.number, ending, reply });
            }
            ModelAction::ListChange(n, server_state) => {
                s.list_changes -= 1;
                s.servers[usize::from(n)] = server_state;
                let servers = vec![self.list_entry(n, server_state)];
                s.module.update_servers(Scope::Changes, &servers);
                done = self.handle(&mut s, Input::ServerList { is_full: false, servers });
            }
            ModelAction::Panic => {
                s.panics -= 1;
                done = self.handle(&mut s, Input::Panicked);
                s.module.restart(self, s.now);
            }
            ModelAction::Batch => {
                for input in s.module.run_batch(s.now) {
                    done = done.and(self.handle(&mut s, input));
                }
            }
            ModelAction::Tick => {
                s.timers_checked = true;
                done = self.handle(&mut s, Input::Tick);
            }
            ModelAction::Wait => {
                s.now += self.time_unit;
                s.timers_checked = false;
            }
        }
        s.record_violation_if(Violation::UnexpectedError, done.is_err());
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        rules::properties()
    }

    fn format_action(&self, action: &ModelAction) -> String {
        let n = |n: &u8| &["s-1", "s-2"][usize::from(*n)];
        match action {
            ModelAction::Arrive => "a complete request arrives".into(),
            ModelAction::Leave { arrival } => format!("the client of request {} disconnects", arrival + 1),
            ModelAction::Send { id, server } => format!("the module orders: send {id} to {}", n(server)),
            ModelAction::Refuse { id } => format!("the module orders: refuse {id}"),
            ModelAction::Fail { id } => format!("the module orders: fail {id}"),
            ModelAction::Cancel { id, attempt } => {
                format!("the module orders: cancel attempt {attempt} of {id}")
            }
            ModelAction::Connected(a) => {
                format!("the connection of the attempt in flight ({a}) is established")
            }
            ModelAction::FullyWritten(a) => format!("its last byte is written ({a})"),
            ModelAction::Answering(a) => format!("a part of its answer has been read ({a})"),
            ModelAction::StreamStarted(a) => {
                format!("its answer is good and is streamed to the client ({a})")
            }
            ModelAction::End(a, ending, reply) => {
                let cause = match (ending, reply) {
                    (Ending::Success, _) => "with a complete good answer",
                    (_, Reply::Rejected) => "with 404: the request itself is at fault",
                    (Ending::Failure, _) => "with 500",
                    (Ending::Overloaded, _) => "with 503, not started",
                    (Ending::TimedOut, _) => "by its timeout",
                    (Ending::Unreachable, _) => "before its last byte was written",
                    (Ending::Interrupted, _) => "by a reset after its last byte",
                    (Ending::Unreadable, _) => "with an unreadable answer",
                    _ => "because it was aborted",
                };
                format!("the attempt ends {cause} ({a})")
            }
            ModelAction::ListChange(s, server_state) => {
                format!("the server list changes: {} is {server_state:?}", n(s))
            }
            ModelAction::Panic => "the module panics".into(),
            ModelAction::Batch => "the module receives its events, and its actions are executed".into(),
            ModelAction::Tick => "the timers that are due are checked".into(),
            ModelAction::Wait => "time passes".into(),
        }
    }
}
