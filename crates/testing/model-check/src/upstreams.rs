//! Model of the persistent connections to one backend: which attempt an answer belongs to, what has run and what was sent
//! twice. The backend may execute a request on its head alone, continue after a reset, answer twice (the second time
//! late), reject without an id, and reset or stop answering at any point; the decision module may order anything at any
//! time. The checker runs `lifecycle::Upstream` and `lifecycle::RequestTable` themselves. Time, drains, keyed requests
//! and clients that disconnect are covered by the other models.

use interface::{Effect, Ending, Group, RequestId};
use lifecycle::defects::Defect;
use lifecycle::upstream::{Echo, ExecutionStart};
use lifecycle::{
    Arrival, Command, FinalAnswer, Input, Limits, ListedServer, Reply, RequestTable, Step, Upstream,
};
use stateright::{Model, Property};

// Lengths of a request's head and body; one unit is written at a time.
const HEAD_LEN: usize = 1;
const BODY_LEN: usize = 1;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 2;

/// The model of the connections to one backend.
#[derive(Clone)]
pub struct Upstreams {
    /// Effect of a second execution of each request, in the order of arrival.
    pub effects: Vec<Effect>,
    pub resets_left: u8,
    pub duplicates_left: u8,
}

/// An attempt: index of its request in `requests`, and number of the attempt.
type AttemptKey = (usize, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Executed(AttemptKey),
    Rejected { attempt_key: AttemptKey, has_id: bool },
}

impl Answer {
    fn attempt_key(self) -> AttemptKey {
        match self {
            Answer::Executed(attempt_key) | Answer::Rejected { attempt_key, .. } => attempt_key,
        }
    }
}

/// A connection, as seen from both ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BackendConnection {
    upstream: Upstream,
    /// Attempt whose answer the gateway is waiting for, and how much of its request is written.
    current_attempt: Option<AttemptKey>,
    written: usize,
    /// Attempt that the backend has received and neither started nor rejected.
    pending_execution: Option<AttemptKey>,
    /// Whether the backend has started to execute the gateway's current attempt.
    execution_started: bool,
    /// The backend's latest answer.
    latest_answer: Option<Answer>,
    /// Answers in transit to the gateway.
    answers_in_transit: Vec<Answer>,
    is_reset: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Waiting,
    Refused,
    Finished,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RequestRecord {
    end: End,
    run_count: u8,
    /// Whether the request must not run twice.
    is_unsafe: bool,
    /// Connections used by its attempts.
    used_connections: Vec<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Violations {
    foreign_answer_accepted: bool,
    executed_twice: bool,
    refused_after_execution: bool,
    written_after_surplus: bool,
    unexpected_error: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    request_table: RequestTable,
    requests: Vec<RequestRecord>,
    connections: Vec<BackendConnection>,
    resets_left: u8,
    duplicates_left: u8,
    violations: Violations,
}

/// A transition of the model. Values of type `usize` are indices of `connections`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelAction {
    Arrive,
    Send(RequestId),
    Refuse(RequestId),
    Write(usize),
    StartExecution(usize),
    Answer(usize),
    Reject(usize, bool),
    DuplicateAnswer(usize),
    Reset(usize),
    TimeOut(usize),
    Read(usize),
}

type Predicate = fn(&Upstreams, &State) -> bool;

/// The rules: name, description, and the predicate that must hold in every state.
pub const RULES: &[(&str, &str, Predicate)] = &[
    (
        "an answer is the attempt's that waits",
        "An answer accepted for an attempt was sent for that attempt, not for an earlier one or another request.",
        |_, s| !s.violations.foreign_answer_accepted,
    ),
    (
        "what must not run twice does not",
        "A backend starts a request that must not run twice at most once, even after a reset or a timeout.",
        |_, s| !s.violations.executed_twice,
    ),
    (
        "what is refused does not run",
        "A request that must not run twice and is refused has not been started by a backend, and never will be.",
        |_, s| !s.violations.refused_after_execution,
    ),
    (
        "nothing goes out behind surplus bytes",
        "No request is written to a connection with unread bytes that belong to no request.",
        |_, s| !s.violations.written_after_surplus,
    ),
    (
        "what happens to connections has a meaning",
        "No input that a backend can cause on a connection is an error of the request table.",
        |_, s| !s.violations.unexpected_error,
    ),
];

impl State {
    /// Passes an input to the request table and executes its commands.
    fn handle(&mut self, input: Input) {
        let mut commands = Vec::new();
        self.violations.unexpected_error |= self.request_table.handle(0, input, &mut commands).is_err();
        for command in commands {
            match command {
                Command::Start { id, attempt, .. } => self.handle(Input::Connected { id, attempt }),
                Command::Write { id, attempt } => self.assign_connection(id, attempt),
                Command::Withhold { id, attempt } => {
                    self.end_attempt(id, attempt, Ending::Unreachable, Reply::None)
                }
                Command::Abort { id, attempt } => {
                    let attempt_to_abort = Some((request_index(id), attempt));
                    if let Some(connection) =
                        self.connections.iter_mut().find(|c| c.current_attempt == attempt_to_abort)
                    {
                        connection.current_attempt = None;
                        connection.upstream.end_exchange(0, false);
                    }
                    self.end_attempt(id, attempt, Ending::Cancelled, Reply::None);
                }
                Command::Answer { id, answer, .. } => {
                    let request = &mut self.requests[request_index(id)];
                    let refused = matches!(answer, FinalAnswer::Refused { .. });
                    request.end = if refused { End::Refused } else { End::Finished };
                    self.violations.refused_after_execution |=
                        refused && request.is_unsafe && request.run_count > 0;
                }
                Command::Streamed { .. } | Command::NotifyModule(_) => {}
            }
        }
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u32, ending: Ending, reply: Reply) {
        self.handle(Input::AttemptEnded { id, attempt, ending, reply });
    }

    /// Assigns an attempt that may write to a connection, selected as `granite-stage` does.
    fn assign_connection(&mut self, id: RequestId, attempt: u32) {
        let is_unsafe = self.requests[request_index(id)].is_unsafe;
        let used_connections = self.requests[request_index(id)].used_connections.clone();
        for connection in self.connections.iter_mut().filter(|c| c.upstream.idle_time(0).is_some()) {
            if connection.is_reset || !connection.answers_in_transit.is_empty() {
                connection.upstream.on_unexpected_bytes();
            }
        }
        let reusable =
            self.connections.iter().rposition(|c| c.upstream.may_carry(is_unsafe, &used_connections));
        let n = reusable.unwrap_or_else(|| {
            let upstream = Upstream::new(self.connections.len() as u64, 0);
            let (answers_in_transit, is_reset) = (Vec::new(), false);
            self.connections.push(BackendConnection {
                upstream,
                current_attempt: None,
                written: 0,
                pending_execution: None,
                execution_started: false,
                latest_answer: None,
                answers_in_transit,
                is_reset,
            });
            self.connections.len() - 1
        });
        let connection = &mut self.connections[n];
        self.violations.written_after_surplus |= !connection.answers_in_transit.is_empty();
        connection.upstream.begin_exchange();
        (
            connection.current_attempt,
            connection.written,
            connection.pending_execution,
            connection.execution_started,
        ) = (Some((request_index(id), attempt)), 0, None, false);
        self.requests[request_index(id)].used_connections.push(connection.upstream.number());
    }

    /// Clears the state of closed connections, except for what the backend may still start.
    fn clear_closed_connections(&mut self) {
        for connection in self.connections.iter_mut().filter(|c| c.upstream.is_closed()) {
            (
                connection.current_attempt,
                connection.written,
                connection.execution_started,
                connection.latest_answer,
                connection.is_reset,
            ) = (None, 0, false, None, false);
            connection.answers_in_transit.clear();
        }
    }

    /// Ends the exchange on a connection that brought no answer of its own.
    fn end_without_answer(&mut self, n: usize, ending: Ending) {
        let connection = &mut self.connections[n];
        let Some((request, attempt)) = connection.current_attempt.take() else {
            return connection.upstream.on_unexpected_bytes();
        };
        let may_have_run =
            connection.written >= ExecutionStart::FullHead.byte_count(HEAD_LEN, Some(BODY_LEN));
        connection.upstream.end_exchange(0, false);
        let ending = if may_have_run { ending } else { Ending::Unreachable };
        self.end_attempt(id(request), attempt, ending, Reply::None);
    }

    fn read(&mut self, n: usize) {
        let connection = &mut self.connections[n];
        let (Some(current_attempt), answer) =
            (connection.current_attempt, connection.answers_in_transit.remove(0))
        else {
            return;
        };
        let echo = match answer {
            Answer::Rejected { has_id: false, .. } => Echo::Missing { is_rejection: true },
            answer if answer.attempt_key().0 == current_attempt.0 => Echo::Same,
            _ => Echo::Other,
        };
        if !connection.upstream.is_answer(echo) {
            return self.end_without_answer(n, Ending::Unreadable);
        }
        // Accepting another attempt's rejection without an id is harmless if the request may run twice.
        let harmless = echo != Echo::Same && !self.requests[current_attempt.0].is_unsafe;
        self.violations.foreign_answer_accepted |= answer.attempt_key() != current_attempt && !harmless;
        connection.current_attempt = None;
        connection.upstream.end_exchange(0, connection.written == HEAD_LEN + BODY_LEN);
        if connection.upstream.idle_time(0).is_some() && !connection.answers_in_transit.is_empty() {
            connection.upstream.on_unexpected_bytes();
        }
        let (ending, reply) = match answer {
            Answer::Executed(_) => (Ending::Success, Reply::Good),
            Answer::Rejected { .. } => (Ending::Overloaded, Reply::None),
        };
        self.end_attempt(id(current_attempt.0), current_attempt.1, ending, reply);
    }
}

/// The defects that are found only in these worlds.
pub const DEFECTS: [Defect; 5] = [
    Defect::HeadTakenForProof,
    Defect::EchoIgnored,
    Defect::SurplusKept,
    Defect::NamelessKept,
    Defect::SameConnectionAgain,
];

/// Returns the worlds with their names: small ones for CI, or additionally the whole ones.
pub fn worlds(is_whole: bool) -> Vec<(&'static str, Upstreams)> {
    let world = |name, second_effect, resets_left, duplicates_left| {
        (name, Upstreams { effects: vec![Effect::Unsafe, second_effect], resets_left, duplicates_left })
    };
    // The small worlds have either a duplicate answer or a reset; the whole worlds have both.
    let mut worlds =
        vec![world("upstream-double", Effect::Unsafe, 0, 1), world("upstream-reset", Effect::Safe, 1, 0)];
    if is_whole {
        worlds.push(world("upstream-safe", Effect::Safe, 1, 1));
        worlds.push(world("upstream-unsafe", Effect::Unsafe, 1, 1));
    }
    worlds
}

fn request_index(id: RequestId) -> usize {
    id as usize - 1
}

fn id(request_index: usize) -> RequestId {
    request_index as RequestId + 1
}

impl Model for Upstreams {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let mut request_table =
            RequestTable::new(Limits { max_attempts: MAX_ATTEMPTS, grace: 1, key_margin: 0 });
        let backend_address = Some(([127, 0, 0, 1], 9000).into());
        let servers = vec![ListedServer {
            name: "s-1".into(),
            zone: 0,
            cell: 0,
            address: backend_address,
            is_removed: false,
        }];
        request_table
            .handle(0, Input::ServerList { is_full: true, servers }, &mut Vec::new())
            .expect("a valid server list");
        let (resets_left, duplicates_left) = (self.resets_left, self.duplicates_left);
        let (requests, connections, violations) = Default::default();
        vec![State { request_table, requests, connections, resets_left, duplicates_left, violations }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<ModelAction>) {
        use ModelAction::*;
        if s.requests.len() < self.effects.len() {
            actions.push(Arrive);
        }
        for (n, a) in s.requests.iter().enumerate().filter(|(_, a)| a.end == End::Waiting) {
            let in_flight =
                s.connections.iter().any(|c| c.current_attempt.is_some_and(|(request, _)| request == n));
            if !in_flight && a.used_connections.len() < MAX_ATTEMPTS as usize {
                actions.push(Send(id(n)));
            }
            actions.push(Refuse(id(n)));
        }
        for (n, connection) in s.connections.iter().enumerate() {
            // A backend that has received the head may execute the request whatever happens to the connection.
            if connection.pending_execution.is_some() {
                actions.push(StartExecution(n));
                if !connection.is_reset && !connection.upstream.is_closed() {
                    actions.extend([Reject(n, true), Reject(n, false)]);
                }
            }
            if connection.upstream.is_closed() {
                continue;
            }
            if connection.current_attempt.is_some() {
                if connection.written < HEAD_LEN + BODY_LEN && !connection.is_reset {
                    actions.push(Write(n));
                }
                actions.push(TimeOut(n));
                if !connection.answers_in_transit.is_empty() {
                    actions.push(Read(n));
                }
            }
            if !connection.is_reset {
                if connection
                    .latest_answer
                    .is_none_or(|a| Some(a.attempt_key()) != connection.current_attempt)
                    && connection.execution_started
                {
                    actions.push(Answer(n));
                }
                if s.duplicates_left > 0 && connection.latest_answer.is_some() {
                    actions.push(DuplicateAnswer(n));
                }
                if s.resets_left > 0 {
                    actions.push(Reset(n));
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut s = last.clone();
        match action {
            ModelAction::Arrive => {
                let effect = self.effects[s.requests.len()];
                s.requests.push(RequestRecord {
                    end: End::Waiting,
                    run_count: 0,
                    is_unsafe: effect == Effect::Unsafe,
                    used_connections: Vec::new(),
                });
                let (id, group) = (id(s.requests.len() - 1), Group::All);
                let arrival = Arrival {
                    id,
                    class: 0,
                    effect,
                    group,
                    key_ttl: 0,
                    deadline: 9,
                    has_single_attempt: false,
                };
                s.handle(Input::Received(arrival));
            }
            ModelAction::Send(id) => s.handle(Input::Send { id, server: "s-1".into(), attempt_deadline: 0 }),
            ModelAction::Refuse(id) => s.handle(Input::Refuse { id, advice: 0 }),
            ModelAction::Write(n) => {
                let connection = &mut s.connections[n];
                connection.written += 1;
                if connection.written == HEAD_LEN {
                    connection.pending_execution = connection.current_attempt;
                }
                if connection.written == ExecutionStart::FullHead.byte_count(HEAD_LEN, Some(BODY_LEN)) {
                    let (request, attempt) = connection.current_attempt?;
                    s.handle(Input::Progress { id: id(request), attempt, step: Step::Written });
                }
            }
            ModelAction::StartExecution(n) => {
                let (request, _) = s.connections[n].pending_execution.take()?;
                s.connections[n].execution_started = true;
                let a = &mut s.requests[request];
                a.run_count += 1;
                s.violations.executed_twice |= a.run_count > 1 && self.effects[request] == Effect::Unsafe;
                s.violations.refused_after_execution |= a.is_unsafe && a.end == End::Refused;
            }
            ModelAction::Answer(n) => {
                let answer = Answer::Executed(s.connections[n].current_attempt?);
                s.connections[n].latest_answer = Some(answer);
                s.connections[n].answers_in_transit.push(answer);
            }
            ModelAction::Reject(n, has_id) => {
                let attempt_key = s.connections[n].pending_execution.take()?;
                let answer = Answer::Rejected { attempt_key, has_id };
                s.connections[n].latest_answer = Some(answer);
                s.connections[n].answers_in_transit.push(answer);
            }
            ModelAction::DuplicateAnswer(n) => {
                s.duplicates_left -= 1;
                let duplicate = s.connections[n].latest_answer?;
                s.connections[n].answers_in_transit.push(duplicate);
            }
            ModelAction::Reset(n) => {
                s.resets_left -= 1;
                s.connections[n].is_reset = true;
                s.connections[n].answers_in_transit.clear();
                // The gateway notices the reset of an idle connection when it next selects one.
                if s.connections[n].current_attempt.is_some() {
                    s.end_without_answer(n, Ending::Interrupted);
                }
            }
            ModelAction::TimeOut(n) => s.end_without_answer(n, Ending::TimedOut),
            ModelAction::Read(n) => s.read(n),
        }
        s.clear_closed_connections();
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        RULES.iter().map(|(name, _, holds)| Property::always(name, *holds)).collect()
    }

    fn format_action(&self, action: &ModelAction) -> String {
        match action {
            ModelAction::Arrive => "a complete request arrives".into(),
            ModelAction::Send(id) => format!("the module orders: send {id}"),
            ModelAction::Refuse(id) => format!("the module orders: refuse {id}"),
            ModelAction::Write(n) => format!("a part of the request is written (connection {n})"),
            ModelAction::StartExecution(n) => format!("the backend starts to execute the request ({n})"),
            ModelAction::Answer(n) => format!("the backend answers ({n})"),
            ModelAction::Reject(n, true) => format!("the backend rejects the request ({n})"),
            ModelAction::Reject(n, false) => format!("the backend rejects the request, without an id ({n})"),
            ModelAction::DuplicateAnswer(n) => format!("the backend sends its latest answer again ({n})"),
            ModelAction::Reset(n) => format!("the backend resets the connection ({n})"),
            ModelAction::TimeOut(n) => format!("the attempt times out ({n})"),
            ModelAction::Read(n) => format!("the gateway reads an answer ({n})"),
        }
    }
}
