//! A request's state machine, from its last byte until it is answered and no attempt is in flight.
//!
//! | phase | the client | the attempt | left by |
//! | --- | --- | --- | --- |
//! | `Waiting` | waits | none | `Send` (to `InFlight`), an answer or the client's leaving (both end the request) |
//! | `InFlight` | waits | in flight, at a [`Step`] | its end (to `Waiting`, or the request's end), an answer (`Answered`), the client's leaving (`Abandoned`) |
//! | `Streaming` | receives its answer | in flight, no longer the module's concern | the attempt's end |
//! | `Answered` | has its answer | still to end | the attempt's end |
//! | `Abandoned` | has left | still to end | the attempt's end |

use crate::events::{Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ModuleEvent, Reply, Step};
use crate::server_list::ServerList;
use interface::{Effect, Ending, Group, Name, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// From 0.
    pub number: u32,
    pub server: Name,
    pub step: Step,
    /// Whether it has been aborted.
    pub aborted: bool,
    /// Where it was sent, and the server's zone and cell then.
    address: SocketAddr,
    zone: u32,
    cell: u32,
    /// When it was allowed to write; until then when it was started.
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

/// The earliest attempt that may have run: not before `since`, on a server of this zone and cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PossibleExecution {
    pub since: Time,
    pub zone: u32,
    pub cell: u32,
}

/// What a request waits for.
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
    /// Attempts made.
    pub attempts: u32,
    pub possible_execution: Option<PossibleExecution>,
    /// Whether the latest attempt timed out.
    has_timed_out: bool,
    arrival: Arrival,
}

/// All requests that are not over, and the server list as far as their attempts need it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestTable {
    limits: Limits,
    requests: BTreeMap<RequestId, RequestState>,
    /// When waiting requests are overdue.
    deadlines: BTreeSet<(Time, RequestId)>,
    server_list: ServerList,
}

type HandleResult = Result<(), InvalidInput>;

impl RequestTable {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        RequestTable {
            limits,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            server_list: ServerList::default(),
        }
    }

    /// Whether nothing is kept of any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.deadlines.is_empty()
    }

    /// How many requests are not over.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// When `Tick` is next wanted.
    pub fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// The state of a request that is not over.
    pub fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// The servers that may be written to.
    pub fn server_list(&self) -> &ServerList {
        &self.server_list
    }

    /// Takes what happened by `now` and appends what to do about it, in order.
    ///
    /// # Errors
    /// [`InvalidInput`], if a front or an attempt tells what can't be; nothing has changed then. The module's words
    /// are never an error: what is not to be done is not done, and it hears so.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Command>) -> HandleResult {
        match input {
            Input::Received(arrival) => return self.received(arrival),
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
            Input::ServerList { is_full: whole, servers } => self.server_list.update(whole, servers),
            Input::Tick => self.tick(now, out),
            Input::Panicked => self.panicked(out),
        }
        Ok(())
    }

    // ---- Clients ----

    fn received(&mut self, arrival: Arrival) -> HandleResult {
        let id = arrival.id;
        // Two attempts with one id must not be in flight at once.
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
        // It may have been answered before its body was complete.
        let Some(life) = self.requests.get_mut(&id) else { return };
        let grace = self.limits.grace;
        if self.deadlines.remove(&(life.arrival.deadline + grace, id)) {
            self.deadlines.insert((deadline + grace, id));
        }
        life.arrival.deadline = deadline;
    }

    fn client_left(&mut self, id: RequestId, out: &mut Vec<Command>) {
        // The client's leaving may have crossed the answer.
        let Some(life) = self.requests.get_mut(&id) else { return };
        match std::mem::replace(&mut life.phase, Phase::Waiting) {
            Phase::Waiting => self.remove(id),
            Phase::InFlight(mut attempt) => {
                // What no server can have run is aborted; else the module decides.
                if !attempt.may_have_run() && !planted!(NoAbortOnLeave) {
                    abort(id, &mut attempt, out);
                }
                life.phase = if planted!(LeftStillServed) {
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
                life.phase = Phase::Streaming(attempt);
                return;
            }
            over => {
                life.phase = over;
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
        let never = |attempt, server, ending| {
            Command::NotifyModule(ModuleEvent::Ended { id, attempt, server, ending, last: false })
        };
        let limits = self.limits;
        let ready = self.server_list.ready_server(&server);
        let Some(life) = self.requests.get_mut(&id) else {
            return out.push(Command::NotifyModule(ModuleEvent::Ended {
                id,
                attempt: 0,
                server,
                ending: Ending::Stale,
                last: true,
            }));
        };
        let idle = matches!(life.phase, Phase::Waiting)
            || planted!(SendWhileOut) && matches!(life.phase, Phase::InFlight(_));
        let more = life.attempts < limits.max_attempts
            || planted!(OneAttemptTooMany) && life.attempts == limits.max_attempts;
        if !idle || !more || now >= life.arrival.deadline {
            return out.push(never(life.attempts, server, Ending::Stale));
        }
        let Some((listed, place)) = ready else {
            // It counts as an attempt, or a module that insists would be told so for ever.
            life.attempts += 1;
            return out.push(never(life.attempts - 1, server, Ending::Unreachable));
        };
        if !life.may_repeat(now, listed.zone, listed.cell, limits) {
            return out.push(never(life.attempts, server, Ending::Stale));
        }
        let attempt = life.attempts;
        life.attempts += 1;
        let attempt_deadline = if attempt_deadline == 0 {
            life.arrival.deadline
        } else {
            attempt_deadline.min(life.arrival.deadline)
        };
        life.phase = Phase::InFlight(Attempt {
            number: attempt,
            server: server.clone(),
            step: Step::Connecting,
            aborted: false,
            address: place,
            zone: listed.zone,
            cell: listed.cell,
            since: now,
        });
        out.push(Command::Start { id, attempt, server, address: place, attempt_deadline });
    }

    fn cancel(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Command>) {
        let Some(life) = self.requests.get_mut(&id) else { return };
        // A streaming answer is final: the module can no longer stop it.
        if let Phase::InFlight(a) | Phase::Answered(a) | Phase::Abandoned(a) = &mut life.phase {
            if a.number == attempt {
                abort(id, a, out);
                if planted!(CancelFreesAtOnce) && matches!(life.phase, Phase::InFlight(_)) {
                    life.phase = Phase::Waiting;
                }
            }
        }
    }

    /// Ends a request that was not served.
    fn finish(&mut self, id: RequestId, refuse: bool, advice: Time, overdue: bool, out: &mut Vec<Command>) {
        let Some(life) = self.requests.get_mut(&id) else { return };
        life.has_timed_out |= overdue;
        match std::mem::replace(&mut life.phase, Phase::Waiting) {
            Phase::Waiting => {
                let (answer, class) = (life.unserved_answer(refuse, advice), life.arrival.class);
                self.remove(id);
                out.push(Command::Answer { id, class, answer });
            }
            Phase::InFlight(mut attempt) => {
                if attempt.may_have_run() && !planted!(OutNotCounted) {
                    life.possible_execution.get_or_insert(attempt.possible_execution());
                }
                let (answer, class) = (life.unserved_answer(refuse, advice), life.arrival.class);
                out.push(Command::Answer { id, class, answer });
                if !planted!(NoAbortOnAnswer) {
                    abort(id, &mut attempt, out);
                }
                life.phase = Phase::Answered(attempt);
                if !planted!(DeadlineOutlivesAnswer) {
                    self.clear_deadline(id);
                }
            }
            // The module's action has crossed the answer.
            over => life.phase = over,
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(&(at, id)) = self.deadlines.first() {
            if at > now || planted!(OverdueByOne) && at == now {
                return;
            }
            self.deadlines.pop_first();
            if planted!(OverdueSparesAttempts)
                && self.requests.get(&id).is_some_and(|l| matches!(l.phase, Phase::InFlight(_)))
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
        let a = find_attempt(&mut self.requests, id, attempt)?;
        if a.step != Step::Connecting {
            return Err(InvalidInput::OutOfOrder { id, attempt, at: a.step });
        }
        // After an answer, or the client's leaving, an attempt that wrote nothing yet has been aborted.
        let go_on = !a.aborted || planted!(WriteAfterAbort);
        // While it connected the server may have begun to drain, or another may have taken its address.
        let there = match self.server_list.ready_server(&a.server) {
            Some((_, place)) => place == a.address || planted!(WriteToNewOwner),
            None => planted!(WriteAfterDrain),
        };
        let (zone, cell) = (a.zone, a.cell);
        let life = self.requests.get_mut(&id).expect("just seen");
        // The key may have expired meanwhile.
        if !go_on || !there || !life.may_repeat(now, zone, cell, limits) {
            out.push(Command::Withhold { id, attempt });
            return Ok(());
        }
        if let Phase::InFlight(a) | Phase::Answered(a) | Phase::Abandoned(a) = &mut life.phase {
            (a.step, a.since) = (Step::Writing, now);
        }
        out.push(Command::Write { id, attempt });
        Ok(())
    }

    fn progress(&mut self, id: RequestId, attempt: u32, step: Step) -> HandleResult {
        let a = find_attempt(&mut self.requests, id, attempt)?;
        if a.step < Step::Writing || step <= a.step {
            return Err(InvalidInput::OutOfOrder { id, attempt, at: a.step });
        }
        a.step = step;
        Ok(())
    }

    fn answer_started(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Command>) -> HandleResult {
        let a = find_attempt(&mut self.requests, id, attempt)?;
        if a.step < Step::Writing {
            return Err(InvalidInput::OutOfOrder { id, attempt, at: a.step });
        }
        let life = self.requests.get_mut(&id).expect("just seen");
        match std::mem::replace(&mut life.phase, Phase::Waiting) {
            Phase::InFlight(a) => {
                let (server, class) = (a.server.clone(), life.arrival.class);
                life.phase = Phase::Streaming(a);
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
            // It crossed an answer or the client's leaving, or has started already: nobody waits for it.
            other => {
                life.phase = other;
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
        let a = find_attempt(&mut self.requests, id, attempt)?;
        if reply != Reply::None && a.step < Step::Writing {
            return Err(InvalidInput::OutOfOrder { id, attempt, at: a.step });
        }
        // Cancelled before its last byte was written: nothing has run, and the server is not to blame.
        let unsent = ending == Ending::Cancelled && reply == Reply::None && !a.may_have_run();
        let ending = if unsent || planted!(UndoneTakenForProof) && ending == Ending::Cancelled {
            Ending::Stale
        } else {
            ending
        };
        let never = matches!(ending, Ending::Overloaded | Ending::Unreachable | Ending::Stale)
            || planted!(LateTakenForProof) && ending == Ending::TimedOut;
        let life = self.requests.get_mut(&id).expect("just seen");
        let (a, awaited) = match std::mem::replace(&mut life.phase, Phase::Waiting) {
            Phase::InFlight(a) => (a, true),
            Phase::Answered(a) => (a, planted!(LateAnswerAccepted)),
            Phase::Abandoned(a) => (a, false),
            Phase::Streaming(_) if planted!(StreamNeverForgotten) => return Ok(()),
            // The module has already been told of its end.
            Phase::Streaming(_) => {
                let class = life.arrival.class;
                self.remove(id);
                out.push(Command::Streamed { id, class, is_complete: ending == Ending::Success });
                return Ok(());
            }
            Phase::Waiting => return Err(InvalidInput::NoSuchAttempt { id, attempt }),
        };
        if !never {
            life.possible_execution.get_or_insert(a.possible_execution());
        }
        life.has_timed_out = ending == Ending::TimedOut;
        let class = life.arrival.class;
        let spent = life.arrival.has_single_attempt && a.step >= Step::Writing && !planted!(OnceForgotten);
        let answer = match reply {
            // Its body is gone: this was its only attempt.
            Reply::None if spent && awaited => Some(life.unserved_answer(true, 0)),
            Reply::None => None,
            Reply::Good => Some(FinalAnswer::Served),
            Reply::Rejected => Some(FinalAnswer::Rejected),
        };
        if let Some(answer) = answer.filter(|_| awaited) {
            out.push(Command::Answer { id, class, answer });
        }
        let last = !awaited || answer.is_some();
        if last && (awaited || !planted!(AnsweredNeverForgotten)) {
            self.remove(id);
        }
        out.push(Command::NotifyModule(ModuleEvent::Ended { id, attempt, server: a.server, ending, last }));
        Ok(())
    }

    fn clear_deadline(&mut self, id: RequestId) {
        if let Some(life) = self.requests.get(&id) {
            self.deadlines.remove(&(life.arrival.deadline + self.limits.grace, id));
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
    /// The request's class.
    pub fn class(&self) -> usize {
        self.arrival.class
    }

    /// Whether another attempt at this server is safe: what must not run twice is not sent where it might.
    fn may_repeat(&self, now: Time, zone: u32, cell: u32, limits: Limits) -> bool {
        let Some(ran) = self.possible_execution else { return true };
        let arrival = &self.arrival;
        match arrival.effect {
            Effect::Safe => true,
            Effect::Unsafe => planted!(UnsafeRepeated),
            Effect::Keyed => {
                let same = match arrival.group {
                    Group::All => true,
                    Group::Zone => ran.zone == zone,
                    Group::Cell => ran.cell == cell,
                };
                let forgotten = ran.since + arrival.key_ttl;
                let in_time = now + limits.key_margin < forgotten
                    || planted!(KeyWindowByOne) && now + limits.key_margin == forgotten;
                (same || planted!(KeyOutsideGroup)) && in_time
            }
        }
    }

    /// A refusal only if nothing can have run.
    fn unserved_answer(&self, refuse: bool, advice: Time) -> FinalAnswer {
        if refuse && (self.possible_execution.is_none() || planted!(RefusedThoughRun)) {
            FinalAnswer::Refused { tried: self.attempts > 0, advice }
        } else {
            FinalAnswer::Failed { late: self.has_timed_out }
        }
    }
}

/// The attempt with this number, if it is in flight.
fn find_attempt(
    live: &mut BTreeMap<RequestId, RequestState>,
    id: RequestId,
    number: u32,
) -> Result<&mut Attempt, InvalidInput> {
    let wrong = InvalidInput::NoSuchAttempt { id, attempt: number };
    match &mut live.get_mut(&id).ok_or(wrong)?.phase {
        Phase::InFlight(a) | Phase::Streaming(a) | Phase::Answered(a) | Phase::Abandoned(a)
            if a.number == number =>
        {
            Ok(a)
        }
        _ => Err(wrong),
    }
}

fn abort(id: RequestId, attempt: &mut Attempt, out: &mut Vec<Command>) {
    if !std::mem::replace(&mut attempt.aborted, true) {
        out.push(Command::Abort { id, attempt: attempt.number });
    }
}
