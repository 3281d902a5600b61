//! The world round the life of a request: clients, attempts on two servers, their list, time, and a decision
//! module that is either an adversary or the real one. `lifecycle::Lives` itself is what is explored.

use crate::mind::Mind;
use crate::rules::{self, Broken};
use interface::{Effect, Ending, Event, Group, Name, Request, RequestId, Scope, Time};
use lifecycle::{
    Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ListedServer, ModuleEvent, Reply,
    RequestTable, Step,
};
use stateright::{Model, Property};
use std::net::SocketAddr;

/// Times, in the world's units.
pub const DEADLINE: Time = 3;
pub const GRACE: Time = 1;
pub const KEY_TTL: Time = 3;
pub const KEY_MARGIN: Time = 1;
const LAST: Time = DEADLINE + GRACE;

/// What may happen in a world, and how often.
#[derive(Clone)]
pub struct World {
    pub name: &'static str,
    pub effect: Effect,
    /// Whether the body is passed on as it comes, so that it can be written once.
    pub once: bool,
    pub group: Group,
    /// The ids of the requests that come, in order.
    pub ids: Vec<RequestId>,
    pub most_attempts: u32,
    pub cancels: u8,
    pub list_changes: u8,
    pub panics: u8,
    pub leaves: u8,
    /// Whether the real module speaks, or an adversary.
    pub real: bool,
    /// The unit of time: 1 for the adversary, nanoseconds for the real module.
    pub unit: Time,
}

/// How it stands with a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Asked {
    Waits,
    Answered,
    Left,
}

/// A request as its client and an all-seeing observer know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Arrived {
    pub id: RequestId,
    pub deadline: Time,
    pub end: Asked,
    pub attempts: u32,
    /// When the earliest attempt that came whole to a server began to be written, and the server's cell.
    pub ran: Option<(Time, u32)>,
    /// Whether an attempt of it got the leave to write.
    begun: bool,
}

/// An attempt that is out, as the sockets know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Going {
    /// Whose it is: a place in `asked`.
    pub arrival: usize,
    pub id: RequestId,
    pub number: u32,
    pub server: u8,
    pub step: Step,
    pub stopped: bool,
    pub withheld: bool,
    pub whole_at_leave: bool,
    began: Time,
    /// Where its server stood when it was sent.
    place: SocketAddr,
    /// Its answer is passed on as it comes.
    pub streams: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
    /// At another address; a newcomer stands at the old one.
    Moved,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Time,
    /// Whether what is due now has been looked at.
    pub ticked: bool,
    pub lives: RequestTable,
    pub asked: Vec<Arrived>,
    pub attempts: Vec<Going>,
    pub servers: [Standing; 2],
    to_come: usize,
    cancels: u8,
    list_changes: u8,
    panics: u8,
    leaves: u8,
    broken: u32,
    pub mind: Mind,
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Happens {
    Arrive,
    Leave { arrival: usize },
    Send { id: RequestId, server: u8 },
    Refuse { id: RequestId },
    Fail { id: RequestId },
    Cancel { id: RequestId, attempt: u32 },
    Connected(usize),
    Whole(usize),
    Answering(usize),
    Begun(usize),
    End(usize, Ending, Reply),
    List(u8, Standing),
    Panic,
    Batch,
    Tick,
    Wait,
}

pub fn server(n: u8) -> Name {
    ["s-1", "s-2"][usize::from(n)].into()
}

fn place(n: u8, moved: bool) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + u16::from(n) + if moved { 100 } else { 0 }).into()
}

impl State {
    pub fn broke(&self, what: Broken) -> bool {
        self.broken & (1 << what as u32) != 0
    }

    fn note(&mut self, what: Broken, broken: bool) {
        if broken {
            self.broken |= 1 << what as u32;
        }
    }

    /// The latest request with this id.
    fn latest(&self, id: RequestId) -> Option<usize> {
        self.asked.iter().rposition(|a| a.id == id)
    }
}

impl World {
    pub fn time(&self, units: Time) -> Time {
        units * self.unit
    }

    fn listed(&self, n: u8, standing: Standing) -> ListedServer {
        let moved = standing == Standing::Moved;
        ListedServer {
            name: server(n),
            zone: 0,
            cell: u32::from(n),
            address: matches!(standing, Standing::Ready | Standing::Moved).then(|| place(n, moved)),
            is_removed: standing == Standing::Gone,
        }
    }

    /// Hands the machine an input and watches what it orders.
    fn handle(&self, s: &mut State, input: Input) -> Result<(), InvalidInput> {
        let mut orders = Vec::new();
        let ticking = input == Input::Tick;
        // Whose attempt brings an answer, and whether that is a good one for who still waits.
        let bringer = match &input {
            Input::AttemptEnded { id, attempt, reply, .. } => s
                .attempts
                .iter()
                .position(|a| a.id == *id && a.number == *attempt)
                .map(|n| (s.attempts.remove(n), *reply)),
            _ => None,
        };
        let awaited = bringer
            .as_ref()
            .is_some_and(|(a, reply)| *reply == Reply::Good && s.asked[a.arrival].end == Asked::Waits);
        let beginner = match &input {
            Input::AnswerStarted { id, attempt } => {
                s.attempts.iter_mut().find(|a| a.id == *id && a.number == *attempt).map(|a| {
                    a.streams = true;
                    a.arrival
                })
            }
            _ => None,
        };
        let answered: Vec<bool> = s.asked.iter().map(|a| a.end == Asked::Answered).collect();
        let (mut told, mut streamed) = (0, 0);
        let done = s.lives.handle(s.now, input, &mut orders);
        for order in orders {
            match order {
                Command::Start { id, attempt, server, address: place, .. } => {
                    let Some(arrival) = s.latest(id) else { continue };
                    s.note(Broken::OutAfterAnswer, s.asked[arrival].end != Asked::Waits);
                    s.asked[arrival].attempts += 1;
                    let server = u8::from(&*server == "s-2");
                    let (stopped, withheld, whole_at_leave) = (false, false, false);
                    let (step, began) = (Step::Connecting, s.now);
                    s.attempts.push(Going {
                        arrival,
                        id,
                        number: attempt,
                        server,
                        step,
                        stopped,
                        withheld,
                        whole_at_leave,
                        began,
                        place,
                        streams: false,
                    });
                }
                Command::Write { id, attempt } => self.written(s, id, attempt),
                Command::Withhold { id, attempt } => {
                    if let Some(a) = s.attempts.iter_mut().find(|a| a.id == id && a.number == attempt) {
                        a.withheld = true;
                    }
                }
                Command::Abort { id, attempt } => {
                    if let Some(a) = s.attempts.iter_mut().find(|a| a.id == id && a.number == attempt) {
                        a.stopped = true;
                    }
                }
                Command::Answer { id, answer, .. } => {
                    let Some(n) = s.latest(id) else { continue };
                    s.note(Broken::SecondAnswer, s.asked[n].end == Asked::Answered);
                    s.note(Broken::AnswerAfterLeave, s.asked[n].end == Asked::Left);
                    let due = s.asked[n].deadline + self.time(GRACE);
                    s.note(Broken::GuardEarly, ticking && s.now < due);
                    if matches!(answer, FinalAnswer::Refused { .. }) {
                        let whole = s.attempts.iter().any(|a| a.arrival == n && a.step >= Step::Written);
                        s.note(Broken::RefusedThoughRun, whole || s.asked[n].ran.is_some());
                    }
                    if matches!(answer, FinalAnswer::Served | FinalAnswer::Rejected) {
                        let own =
                            bringer.as_ref().is_some_and(|(a, _)| a.arrival == n) || beginner == Some(n);
                        s.note(Broken::ForeignAnswer, !own);
                    }
                    s.asked[n].end = Asked::Answered;
                }
                Command::Streamed { id, .. } => {
                    let own = bringer.as_ref().is_some_and(|(a, _)| a.id == id && a.streams);
                    s.note(Broken::ForeignAnswer, !own);
                    streamed += 1;
                }
                Command::NotifyModule(t) => {
                    match &t {
                        ModuleEvent::Ended { .. } => told += 1,
                        ModuleEvent::ClientLeft { id } => {
                            let before = s.latest(*id).is_some_and(|n| answered[n]);
                            s.note(Broken::GoneTwice, before);
                        }
                    }
                    s.mind.tell(t);
                }
            }
        }
        if let Some((a, _)) = &bringer {
            // What streams was told when it began.
            let once = if a.streams { told == 0 && streamed == 1 } else { told == 1 && streamed == 0 };
            s.note(Broken::ToldTwice, done.is_ok() && !once);
            s.note(Broken::GoodLost, awaited && s.asked[a.arrival].end != Asked::Answered);
        }
        done
    }

    /// An attempt got the leave to write.
    fn written(&self, s: &mut State, id: RequestId, number: u32) {
        let Some(n) = s.attempts.iter().position(|a| a.id == id && a.number == number) else { return };
        let a = s.attempts[n].clone();
        let (asked, now) = (s.asked[a.arrival].clone(), s.now);
        s.note(Broken::WrittenTwice, self.once && asked.begun);
        s.asked[a.arrival].begun = true;
        s.note(Broken::OutAfterAnswer, asked.end != Asked::Waits);
        s.note(Broken::OutAfterStop, a.stopped);
        let there = self.listed(a.server, s.servers[usize::from(a.server)]).address;
        s.note(Broken::WrittenAfterDrain, there != Some(a.place));
        if let Some((first, cell)) = asked.ran {
            s.note(Broken::UnsafeRepeat, self.effect == Effect::Unsafe);
            // It takes up to the margin to get there, and the key is known where the first one came.
            let same = self.group == Group::All || cell == u32::from(a.server);
            let known = now + self.time(KEY_MARGIN) < first + self.time(KEY_TTL);
            s.note(Broken::KeyedRepeat, self.effect == Effect::Keyed && !(same && known));
        }
        s.attempts[n].step = Step::Writing;
        s.attempts[n].began = now;
    }

    /// How an attempt may end where it stands.
    fn endings(&self, a: &Going) -> Vec<(Ending, Reply)> {
        use Ending::*;
        if a.withheld {
            return vec![(Unreachable, Reply::None)];
        }
        if a.streams {
            let ends = [Success, Interrupted, TimedOut, Unreadable, Cancelled];
            return ends.map(|ending| (ending, Reply::None)).to_vec();
        }
        let mut all = match a.step {
            Step::Connecting => vec![(Unreachable, Reply::None)],
            // Cut before the last byte; or the server answers before it has read the whole.
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
        if a.stopped {
            all.push((Cancelled, Reply::None));
        }
        all
    }
}

impl Model for World {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let limits = Limits {
            max_attempts: self.most_attempts,
            grace: self.time(GRACE),
            key_margin: self.time(KEY_MARGIN),
        };
        let mut s = State {
            now: 0,
            ticked: true,
            lives: RequestTable::new(limits),
            asked: Vec::new(),
            attempts: Vec::new(),
            servers: [Standing::Ready; 2],
            to_come: 0,
            cancels: self.cancels,
            list_changes: self.list_changes,
            panics: self.panics,
            leaves: self.leaves,
            broken: 0,
            mind: Mind::new(self),
        };
        let servers = vec![self.listed(0, Standing::Ready), self.listed(1, Standing::Ready)];
        s.mind.list(Scope::Full, &servers);
        let done = self.handle(&mut s, Input::ServerList { is_full: true, servers });
        s.note(Broken::Unmeaning, done.is_err());
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Happens>) {
        if s.broken != 0 {
            return;
        }
        if s.to_come < self.ids.len() {
            actions.push(Happens::Arrive);
        }
        for (arrival, a) in s.asked.iter().enumerate() {
            if a.end == Asked::Waits && s.leaves > 0 && s.latest(a.id) == Some(arrival) {
                actions.push(Happens::Leave { arrival });
            }
        }
        for (n, a) in s.attempts.iter().enumerate() {
            match a.step {
                Step::Connecting if !a.withheld => actions.push(Happens::Connected(n)),
                Step::Writing => actions.push(Happens::Whole(n)),
                Step::Written => actions.push(Happens::Answering(n)),
                Step::Answering if !a.streams => actions.push(Happens::Begun(n)),
                _ => {}
            }
            for (ending, reply) in self.endings(a) {
                actions.push(Happens::End(n, ending, reply));
            }
        }
        if s.list_changes > 0 && s.servers[0] == Standing::Ready {
            for standing in [Standing::Draining, Standing::Gone, Standing::Moved] {
                actions.push(Happens::List(0, standing));
            }
        }
        if s.panics > 0 {
            actions.push(Happens::Panic);
        }
        if s.mind.is_real() {
            if s.mind.has_news(s.now) {
                actions.push(Happens::Batch);
            }
        } else if !s.asked.is_empty() {
            let mut ids = self.ids.clone();
            ids.dedup();
            for id in ids {
                actions.push(Happens::Send { id, server: 0 });
                actions.push(Happens::Send { id, server: 1 });
                actions.push(Happens::Refuse { id });
                actions.push(Happens::Fail { id });
            }
            if s.cancels > 0 {
                let out = s.attempts.iter().map(|a| Happens::Cancel { id: a.id, attempt: a.number });
                actions.extend(out);
            }
        }
        if !s.ticked {
            actions.push(Happens::Tick);
        } else if s.now < self.time(LAST) && !s.asked.is_empty() {
            actions.push(Happens::Wait);
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut s = last.clone();
        let mut done = Ok(());
        match action {
            Happens::Arrive => {
                let id = self.ids[s.to_come];
                s.to_come += 1;
                let deadline = s.now + self.time(DEADLINE);
                let arrival = Arrival {
                    class: 0,
                    has_single_attempt: self.once,
                    id,
                    effect: self.effect,
                    group: self.group,
                    key_ttl: self.time(KEY_TTL),
                    deadline,
                };
                let held = s.lives.get(id).is_some();
                match self.handle(&mut s, Input::Received(arrival)) {
                    Ok(()) => {
                        s.note(Broken::HeldTwice, held);
                        s.asked.push(Arrived {
                            id,
                            deadline,
                            end: Asked::Waits,
                            attempts: 0,
                            ran: None,
                            begun: false,
                        });
                        s.mind.event(Event::Request(Request::new(id, 0, 0, "c-1", deadline, 1.0)));
                    }
                    // The front answers it 400 by itself.
                    Err(InvalidInput::IdInUse(_)) if held => {}
                    Err(_) => s.note(Broken::Unmeaning, true),
                }
            }
            Happens::Leave { arrival } => {
                let id = s.asked[arrival].id;
                s.leaves -= 1;
                s.asked[arrival].end = Asked::Left;
                for a in s.attempts.iter_mut().filter(|a| a.arrival == arrival) {
                    a.whole_at_leave = a.step >= Step::Written;
                }
                done = self.handle(&mut s, Input::ClientLeft { id });
            }
            Happens::Send { id, server: n } => {
                done = self.handle(&mut s, Input::Send { id, server: server(n), attempt_deadline: 0 });
            }
            Happens::Refuse { id } => done = self.handle(&mut s, Input::Refuse { id, advice: 0 }),
            Happens::Fail { id } => done = self.handle(&mut s, Input::Fail { id }),
            Happens::Cancel { id, attempt } => {
                s.cancels -= 1;
                done = self.handle(&mut s, Input::Cancel { id, attempt });
            }
            Happens::Connected(n) => {
                let (id, attempt) = (s.attempts[n].id, s.attempts[n].number);
                done = self.handle(&mut s, Input::Connected { id, attempt });
            }
            Happens::Whole(n) | Happens::Answering(n) => {
                let step = if matches!(action, Happens::Whole(_)) { Step::Written } else { Step::Answering };
                let (id, attempt) = (s.attempts[n].id, s.attempts[n].number);
                s.attempts[n].step = step;
                done = self.handle(&mut s, Input::Progress { id, attempt, step });
            }
            Happens::Begun(n) => {
                let (id, attempt, arrival) = (s.attempts[n].id, s.attempts[n].number, s.attempts[n].arrival);
                let waits = s.asked[arrival].end == Asked::Waits;
                s.asked[arrival].ran.get_or_insert((s.attempts[n].began, u32::from(s.attempts[n].server)));
                match self.handle(&mut s, Input::AnswerStarted { id, attempt }) {
                    // It crossed an answer or a leave: the attempt brings nothing.
                    Err(InvalidInput::NoSuchAttempt { .. }) if !waits => s.attempts[n].streams = false,
                    wrong => done = wrong,
                }
                s.note(Broken::GoodLost, waits && s.asked[arrival].end != Asked::Answered);
            }
            Happens::End(n, ending, reply) => {
                let a = s.attempts[n].clone();
                if a.step >= Step::Written && ending != Ending::Overloaded {
                    s.asked[a.arrival].ran.get_or_insert((a.began, u32::from(a.server)));
                }
                done =
                    self.handle(&mut s, Input::AttemptEnded { id: a.id, attempt: a.number, ending, reply });
            }
            Happens::List(n, standing) => {
                s.list_changes -= 1;
                s.servers[usize::from(n)] = standing;
                let servers = vec![self.listed(n, standing)];
                s.mind.list(Scope::Changes, &servers);
                done = self.handle(&mut s, Input::ServerList { is_full: false, servers });
            }
            Happens::Panic => {
                s.panics -= 1;
                done = self.handle(&mut s, Input::Panicked);
                s.mind.restart(self, s.now);
            }
            Happens::Batch => {
                for input in s.mind.batch(s.now) {
                    done = done.and(self.handle(&mut s, input));
                }
            }
            Happens::Tick => {
                s.ticked = true;
                done = self.handle(&mut s, Input::Tick);
            }
            Happens::Wait => {
                s.now += self.unit;
                s.ticked = false;
            }
        }
        s.note(Broken::Unmeaning, done.is_err());
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        rules::properties()
    }

    fn format_action(&self, action: &Happens) -> String {
        let n = |n: &u8| &["s-1", "s-2"][usize::from(*n)];
        match action {
            Happens::Arrive => "a request comes whole".into(),
            Happens::Leave { arrival } => format!("the client of request {} leaves", arrival + 1),
            Happens::Send { id, server } => format!("the module says: send {id} to {}", n(server)),
            Happens::Refuse { id } => format!("the module says: refuse {id}"),
            Happens::Fail { id } => format!("the module says: fail {id}"),
            Happens::Cancel { id, attempt } => format!("the module says: cancel attempt {attempt} of {id}"),
            Happens::Connected(a) => format!("the connection of the attempt that is out ({a}) is up"),
            Happens::Whole(a) => format!("its last byte is written ({a})"),
            Happens::Answering(a) => format!("a part of its answer is in ({a})"),
            Happens::Begun(a) => format!("its answer is good and long: it is passed on as it comes ({a})"),
            Happens::End(a, ending, reply) => {
                let what = match (ending, reply) {
                    (Ending::Success, _) => "with a whole good answer",
                    (_, Reply::Rejected) => "with 404: the request itself is at fault",
                    (Ending::Failure, _) => "with 500",
                    (Ending::Overloaded, _) => "with 503, not started",
                    (Ending::TimedOut, _) => "by its time-out",
                    (Ending::Unreachable, _) => "before its last byte was written",
                    (Ending::Interrupted, _) => "by a reset behind its last byte",
                    (Ending::Unreadable, _) => "with an answer that can't be read",
                    _ => "because it was told to stop",
                };
                format!("the attempt ends {what} ({a})")
            }
            Happens::List(s, standing) => format!("the list says: {} is {standing:?}", n(s)),
            Happens::Panic => "the module panics".into(),
            Happens::Batch => "the module hears what has happened, and its orders are carried out".into(),
            Happens::Tick => "the timers that are due are looked at".into(),
            Happens::Wait => "time passes".into(),
        }
    }
}
