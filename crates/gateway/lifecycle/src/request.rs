//! The state machine of a request, from its arrival until it is answered and no attempt is in flight.
//!
//! | phase | client | attempt | transitions |
//! | --- | --- | --- | --- |
//! | `Waiting` | waits | none | to `InFlight` on `Send`; ends on an answer or when the client leaves |
//! | `InFlight` | waits | in flight, at a [`Step`] | when it ends, to `Waiting` or the request's end; to `Answered` on an answer; to `Abandoned` when the client leaves |
//! | `Streaming` | receives its answer | in flight, already reported to the module as ended | ends with the attempt |
//! | `Answered` | has its answer | has not ended yet | ends with the attempt |
//! | `Abandoned` | has left | has not ended yet | ends with the attempt |

use crate::events::{Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ModuleEvent, Reply, Step};
use crate::server_list::ServerList;
use interface::{Effect, Ending, Group, Name, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The attempt number, from 0.
    pub number: u32,
    pub server: Name,
    pub step: Step,
    /// Whether an abort was ordered.
    pub aborted: bool,
    /// The server's address, zone and cell when the attempt started.
    address: SocketAddr,
    zone: u32,
    cell: u32,
    /// When it was allowed to write; before that, when it started.
    since: Time,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.step >= Step::Written
    }

    fn possible_execution(&self) -> PossibleExecution {
        PossibleExecution { since: self.since, zone: self.zone, cell: self.cell }
    }
}

/// The first attempt that may have run: not before `since`, on a server of this zone and cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PossibleExecution {
    pub since: Time,
    pub zone: u32,
    pub cell: u32,
}

/// The phase of a request; see the table above.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Waiting,
    InFlight(Attempt),
    Streaming(Attempt),
    Answered(Attempt),
    Abandoned(Attempt),
}

/// The state of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    pub phase: Phase,
    /// The number of attempts made.
    pub attempts: u32,
    /// `None` while it is certain that no attempt has run.
    pub possible_execution: Option<PossibleExecution>,
    /// Whether the latest attempt timed out.
    has_timed_out: bool,
    arrival: Arrival,
}

/// All requests in progress, and the part of the server list that their attempts need.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestTable {
    limits: Limits,
    requests: BTreeMap<RequestId, RequestState>,
    /// When requests without an answer become overdue.
    deadlines: BTreeSet<(Time, RequestId)>,
    server_list: ServerList,
}

type HandleResult = Result<(), InvalidInput>;

impl RequestTable {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        RequestTable {
            limits,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            server_list: ServerList::default(),
        }
    }

    /// Returns whether no state of any request is left.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.deadlines.is_empty()
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns when the next `Tick` is due.
    pub fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|(due_at, _)| *due_at)
    }

    /// Returns the state of a request in progress.
    pub fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns the server list, including servers that accept no new attempts.
    pub fn server_list(&self) -> &ServerList {
        &self.server_list
    }

    /// Handles an input at time `now` and appends the resulting commands, in order.
    ///
    /// # Errors
    /// Returns [`InvalidInput`] if an input of a front end or an attempt is invalid in the present state. Nothing has
    /// changed then. The module's actions are never an error: an action that must not be carried out is skipped, and for
    /// a `Send` the module is notified.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Command>) -> HandleResult {
        match input {
            Input::Received(arrival) => return self.request_received(arrival),
            Input::BodyCompleted { id, deadline } => self.body_completed(id, deadline),
            Input::ClientLeft { id } => self.client_left(id, out),
            Input::Send { id, server, attempt_deadline } => self.send(now, id, server, attempt_deadline, out),
            Input::Refuse { id, advice } => self.finish(id, true, advice, false, out),
            Input::Fail { id } => self.finish(id, false, 0, false, out),
            Input::Cancel { id, attempt } => self.cancel(id, attempt, out),
            Input::Connected { id, attempt } => return self.connected(now, id, attempt, out),
            Input::Progress { id, attempt, step } => return self.progress(id, attempt, step),
            Input::AnswerStarted { id, attempt } => return self.answer_started(id, attempt, out),
            Input::AttemptEnded { id, attempt, ending, reply } => {
                return self.attempt_ended(id, attempt, ending, reply, out);
            }
            Input::ServerList { is_full, servers } => self.server_list.update(is_full, servers),
            Input::Tick => self.tick(now, out),
            Input::Panicked => self.panicked(out),
        }
        Ok(())
    }

    // ---- Clients ----

    fn request_received(&mut self, arrival: Arrival) -> HandleResult {
        let id = arrival.id;
        // Attempts of two requests with the same id must not be in flight at once.
        if self.requests.contains_key(&id) && !planted!(IdReusedWhileHeld) {
            return Err(InvalidInput::IdInUse(id));
        }
        self.deadlines.insert((arrival.deadline + self.limits.grace, id));
        self.requests.insert(
            id,
            RequestState {
                phase: Phase::Waiting,
                attempts: 0,
                possible_execution: None,
                has_timed_out: false,
                arrival,
            },
        );
        Ok(())
    }

    fn body_completed(&mut self, id: RequestId, deadline: Time) {
        // The request may have been answered before its body was complete.
        let Some(request) = self.requests.get_mut(&id) else { return };
        let grace = self.limits.grace;
        if self.deadlines.remove(&(request.arrival.deadline + grace, id)) {
            self.deadlines.insert((deadline + grace, id));
        }
        request.arrival.deadline = deadline;
    }

    fn client_left(&mut self, id: RequestId, out: &mut Vec<Command>) {
        // The client may have left just as the answer was sent.
        let Some(request) = self.requests.get_mut(&id) else { return };
        match std::mem::replace(&mut request.phase, Phase::Waiting) {
            Phase::Waiting => self.remove(id),
            Phase::InFlight(mut attempt) => {
                // Aborted if no server can have run it; otherwise the module decides.
                if !attempt.may_have_run() && !planted!(NoAbortOnLeave) {
                    abort(id, &mut attempt, out);
                }
                request.phase = if planted!(LeftStillServed) {
                    Phase::InFlight(attempt)
                } else {
                    Phase::Abandoned(attempt)
                };
                if !planted!(LeftStillServed) {
                    self.clear_deadline(id);
                }
            }
            Phase::Streaming(mut attempt) => {
                abort(id, &mut attempt, out);
                request.phase = Phase::Streaming(attempt);
                return;
            }
            ended => {
                request.phase = ended;
                return;
            }
        }
        out.push(Command::NotifyModule(ModuleEvent::ClientLeft { id }));
    }

    // ---- The decision module ----

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        server: Name,
        attempt_deadline: Time,
        out: &mut Vec<Command>,
    ) {
        let ended_unsent = |attempt, server, ending| {
            Command::NotifyModule(ModuleEvent::Ended { id, attempt, server, ending, last: false })
        };
        let limits = self.limits;
        let ready = self.server_list.ready_server(&server);
        let Some(request) = self.requests.get_mut(&id) else {
            return out.push(Command::NotifyModule(ModuleEvent::Ended {
                id,
                attempt: 0,
                server,
                ending: Ending::Stale,
                last: true,
            }));
        };
        let is_waiting = matches!(request.phase, Phase::Waiting)
            || planted!(SendWhileOut) && matches!(request.phase, Phase::InFlight(_));
        let has_attempts_left = request.attempts < limits.max_attempts
            || planted!(OneAttemptTooMany) && request.attempts == limits.max_attempts;
        if !is_waiting || !has_attempts_left || now >= request.arrival.deadline {
            return out.push(ended_unsent(request.attempts, server, Ending::Stale));
        }
        let Some((listed, address)) = ready else {
            // Counted as an attempt: otherwise a module that keeps choosing this server would never run out of attempts.
            request.attempts += 1;
            return out.push(ended_unsent(request.attempts - 1, server, Ending::Unreachable));
        };
        if !request.may_repeat(now, listed.zone, listed.cell, limits) {
            return out.push(ended_unsent(request.attempts, server, Ending::Stale));
        }
        let attempt = request.attempts;
        request.attempts += 1;
        let attempt_deadline = if attempt_deadline == 0 {
            request.arrival.deadline
        } else {
            attempt_deadline.min(request.arrival.deadline)
        };
        request.phase = Phase::InFlight(Attempt {
            number: attempt,
            server: server.clone(),
            step: Step::Connecting,
            aborted: false,
            address,
            zone: listed.zone,
            cell: listed.cell,
            since: now,
        });
        out.push(Command::Start { id, attempt, server, address, attempt_deadline });
    }

    fn cancel(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // A streaming answer is final: the module can no longer cancel it.
        if let Phase::InFlight(current) | Phase::Answered(current) | Phase::Abandoned(current) =
            &mut request.phase
        {
            if current.number == attempt {
                abort(id, current, out);
                if planted!(CancelFreesAtOnce) && matches!(request.phase, Phase::InFlight(_)) {
                    request.phase = Phase::Waiting;
                }
            }
        }
    }

    /// Answers a request that was not served.
    fn finish(&mut self, id: RequestId, refuse: bool, advice: Time, overdue: bool, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.has_timed_out |= overdue;
        match std::mem::replace(&mut request.phase, Phase::Waiting) {
            Phase::Waiting => {
                let (answer, class) = (request.unserved_answer(refuse, advice), request.arrival.class);
                self.remove(id);
                out.push(Command::Answer { id, class, answer });
            }
            Phase::InFlight(mut attempt) => {
                if attempt.may_have_run() && !planted!(OutNotCounted) {
                    request.possible_execution.get_or_insert(attempt.possible_execution());
                }
                let (answer, class) = (request.unserved_answer(refuse, advice), request.arrival.class);
                out.push(Command::Answer { id, class, answer });
                if !planted!(NoAbortOnAnswer) {
                    abort(id, &mut attempt, out);
                }
                request.phase = Phase::Answered(attempt);
                if !planted!(DeadlineOutlivesAnswer) {
                    self.clear_deadline(id);
                }
            }
            // The request was answered or abandoned before the module's action arrived.
            ended => request.phase = ended,
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(&(due_at, id)) = self.deadlines.first() {
            if due_at > now || planted!(OverdueByOne) && due_at == now {
                return;
            }
            self.deadlines.pop_first();
            if planted!(OverdueSparesAttempts)
                && self.requests.get(&id).is_some_and(|request| matches!(request.phase, Phase::InFlight(_)))
            {
                continue;
            }
            self.finish(id, true, 0, true, out);
            out.push(Command::NotifyModule(ModuleEvent::ClientLeft { id }));
        }
    }

    fn panicked(&mut self, out: &mut Vec<Command>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.finish(id, true, 0, false, out);
        }
        if planted!(PanicForgetsAttempts) {
            self.requests.clear();
            self.deadlines.clear();
        }
    }

    // ---- Attempts ----

    fn connected(&mut self, now: Time, id: RequestId, attempt: u32, out: &mut Vec<Command>) -> HandleResult {
        let limits = self.limits;
        let current = find_attempt(&mut self.requests, id, attempt)?;
        if current.step != Step::Connecting {
            return Err(InvalidInput::OutOfOrder { id, attempt, step: current.step });
        }
        // An attempt that had written nothing was aborted when its request was answered or its client left.
        let may_continue = !current.aborted || planted!(WriteAfterAbort);
        // While the attempt connected, the server may have started to drain or moved to another address, which may now
        // belong to another server.
        let is_address_current = match self.server_list.ready_server(&current.server) {
            Some((_, address)) => address == current.address || planted!(WriteToNewOwner),
            None => planted!(WriteAfterDrain),
        };
        let (zone, cell) = (current.zone, current.cell);
        let request = self.requests.get_mut(&id).expect("the attempt was found above");
        // The idempotency key may have expired meanwhile.
        if !may_continue || !is_address_current || !request.may_repeat(now, zone, cell, limits) {
            out.push(Command::Withhold { id, attempt });
            return Ok(());
        }
        if let Phase::InFlight(current) | Phase::Answered(current) | Phase::Abandoned(current) =
            &mut request.phase
        {
            (current.step, current.since) = (Step::Writing, now);
        }
        out.push(Command::Write { id, attempt });
        Ok(())
    }

    fn progress(&mut self, id: RequestId, attempt: u32, step: Step) -> HandleResult {
        let current = find_attempt(&mut self.requests, id, attempt)?;
        if current.step < Step::Writing || step <= current.step {
            return Err(InvalidInput::OutOfOrder { id, attempt, step: current.step });
        }
        current.step = step;
        Ok(())
    }

    fn answer_started(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Command>) -> HandleResult {
        let current = find_attempt(&mut self.requests, id, attempt)?;
        if current.step < Step::Writing {
            return Err(InvalidInput::OutOfOrder { id, attempt, step: current.step });
        }
        let request = self.requests.get_mut(&id).expect("the attempt was found above");
        match std::mem::replace(&mut request.phase, Phase::Waiting) {
            Phase::InFlight(current) => {
                let (server, class) = (current.server.clone(), request.arrival.class);
                request.phase = Phase::Streaming(current);
                if !planted!(DeadlineOutlivesAnswer) {
                    self.clear_deadline(id);
                }
                out.push(Command::Answer { id, class, answer: FinalAnswer::Served });
                let ending = Ending::Success;
                out.push(Command::NotifyModule(ModuleEvent::Ended {
                    id,
                    attempt,
                    server,
                    ending,
                    last: true,
                }));
                Ok(())
            }
            // The request was answered or its client left meanwhile, or the answer has already started: no client waits
            // for this one.
            other => {
                request.phase = other;
                Err(InvalidInput::NoSuchAttempt { id, attempt })
            }
        }
    }

    fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        ending: Ending,
        reply: Reply,
        out: &mut Vec<Command>,
    ) -> HandleResult {
        let current = find_attempt(&mut self.requests, id, attempt)?;
        if reply != Reply::None && current.step < Step::Writing {
            return Err(InvalidInput::OutOfOrder { id, attempt, step: current.step });
        }
        // Cancelled before it could have run: nothing has run, and the server is not at fault.
        let unsent = ending == Ending::Cancelled && reply == Reply::None && !current.may_have_run();
        let ending = if unsent || planted!(UndoneTakenForProof) && ending == Ending::Cancelled {
            Ending::Stale
        } else {
            ending
        };
        let never_ran = matches!(ending, Ending::Overloaded | Ending::Unreachable | Ending::Stale)
            || planted!(LateTakenForProof) && ending == Ending::TimedOut;
        let request = self.requests.get_mut(&id).expect("the attempt was found above");
        let (current, client_waits) = match std::mem::replace(&mut request.phase, Phase::Waiting) {
            Phase::InFlight(current) => (current, true),
            Phase::Answered(current) => (current, planted!(LateAnswerAccepted)),
            Phase::Abandoned(current) => (current, false),
            Phase::Streaming(_) if planted!(StreamNeverForgotten) => return Ok(()),
            // The module has already been notified of its end.
            Phase::Streaming(_) => {
                let class = request.arrival.class;
                self.remove(id);
                out.push(Command::Streamed { id, class, is_complete: ending == Ending::Success });
                return Ok(());
            }
            Phase::Waiting => return Err(InvalidInput::NoSuchAttempt { id, attempt }),
        };
        if !never_ran {
            request.possible_execution.get_or_insert(current.possible_execution());
        }
        request.has_timed_out = ending == Ending::TimedOut;
        let class = request.arrival.class;
        let is_body_consumed =
            request.arrival.has_single_attempt && current.step >= Step::Writing && !planted!(OnceForgotten);
        let answer = match reply {
            // Its body has been consumed: this was its only attempt.
            Reply::None if is_body_consumed && client_waits => Some(request.unserved_answer(true, 0)),
            Reply::None => None,
            Reply::Good => Some(FinalAnswer::Served),
            Reply::Rejected => Some(FinalAnswer::Rejected),
        };
        if let Some(answer) = answer.filter(|_| client_waits) {
            out.push(Command::Answer { id, class, answer });
        }
        let last = !client_waits || answer.is_some();
        if last && (client_waits || !planted!(AnsweredNeverForgotten)) {
            self.remove(id);
        }
        out.push(Command::NotifyModule(ModuleEvent::Ended {
            id,
            attempt,
            server: current.server,
            ending,
            last,
        }));
        Ok(())
    }

    fn clear_deadline(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.deadlines.remove(&(request.arrival.deadline + self.limits.grace, id));
        }
    }

    fn remove(&mut self, id: RequestId) {
        if !planted!(DeadlineOutlivesLife) {
            self.clear_deadline(id);
        }
        self.requests.remove(&id);
    }
}

impl RequestState {
    /// Returns the request's class.
    pub fn class(&self) -> usize {
        self.arrival.class
    }

    /// Returns whether another attempt on a server of this zone and cell is safe. A request that must not run twice is not
    /// sent where that could happen.
    fn may_repeat(&self, now: Time, zone: u32, cell: u32, limits: Limits) -> bool {
        let Some(execution) = self.possible_execution else { return true };
        let arrival = &self.arrival;
        match arrival.effect {
            Effect::Safe => true,
            Effect::Unsafe => planted!(UnsafeRepeated),
            Effect::Keyed => {
                let is_same_group = match arrival.group {
                    Group::All => true,
                    Group::Zone => execution.zone == zone,
                    Group::Cell => execution.cell == cell,
                };
                let key_expires_at = execution.since + arrival.key_ttl;
                let is_key_valid = now + limits.key_margin < key_expires_at
                    || planted!(KeyWindowByOne) && now + limits.key_margin == key_expires_at;
                (is_same_group || planted!(KeyOutsideGroup)) && is_key_valid
            }
        }
    }

    /// Returns the answer of a request that was not served: a refusal only if no attempt can have run.
    fn unserved_answer(&self, refuse: bool, advice: Time) -> FinalAnswer {
        if refuse && (self.possible_execution.is_none() || planted!(RefusedThoughRun)) {
            FinalAnswer::Refused { tried: self.attempts > 0, advice }
        } else {
            FinalAnswer::Failed { late: self.has_timed_out }
        }
    }
}

/// Returns the attempt with this number if it is in flight.
fn find_attempt(
    requests: &mut BTreeMap<RequestId, RequestState>,
    id: RequestId,
    number: u32,
) -> Result<&mut Attempt, InvalidInput> {
    let error = InvalidInput::NoSuchAttempt { id, attempt: number };
    match &mut requests.get_mut(&id).ok_or(error)?.phase {
        Phase::InFlight(current)
        | Phase::Streaming(current)
        | Phase::Answered(current)
        | Phase::Abandoned(current)
            if current.number == number =>
        {
            Ok(current)
        }
        _ => Err(error),
    }
}

fn abort(id: RequestId, attempt: &mut Attempt, out: &mut Vec<Command>) {
    if !std::mem::replace(&mut attempt.aborted, true) {
        out.push(Command::Abort { id, attempt: attempt.number });
    }
}
