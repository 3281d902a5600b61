//! The world round kept connections to one backend: whose the bytes on them are, what has run and what was sent twice. The
//! backend may begin a request with its head, go on after a reset, answer twice, the second time late, refuse without an
//! id, and reset or fall silent at any point; the decision module says anything at any time.
//! `lifecycle::Upstream` and `Lives` themselves are what is explored. Times, drains, keyed requests and leaves are
//! the other worlds'.

use interface::{Effect, Ending, Group, RequestId};
use lifecycle::defects::Defect;
use lifecycle::upstream::{Echo, ExecutionStart};
use lifecycle::{
    Arrival, Command, FinalAnswer, Input, Limits, ListedServer, Reply, RequestTable, Step, Upstream,
};
use stateright::{Model, Property};

/// A request's head and body are so long.
const HEAD: usize = 1;
const BODY: usize = 1;
/// Of each request at the most.
const ATTEMPTS: u32 = 2;

#[derive(Clone)]
pub struct Upstreams {
    /// What a second run of each request does; they come in this order.
    pub effects: Vec<Effect>,
    pub resets: u8,
    pub doubles: u8,
}

/// Which attempt of which request (a place in `asked`) something belongs to.
type Whose = (usize, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    OfRun(Whose),
    TurnedAway { whose: Whose, named: bool },
}

impl Answer {
    fn whose(self) -> Whose {
        match self {
            Answer::OfRun(whose) | Answer::TurnedAway { whose, .. } => whose,
        }
    }
}

/// A connection, at both ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    up: Upstream,
    /// What the gateway awaits on it, and how much of that is written.
    out: Option<Whose>,
    sent: usize,
    /// What the backend has of it to work on, and what it has sent last.
    has: Option<Whose>,
    /// Whether it has begun what the gateway awaits.
    begun: bool,
    latest: Option<Answer>,
    /// On their way to the gateway.
    flight: Vec<Answer>,
    reset: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Waits,
    Refused,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    end: End,
    runs: u8,
    /// Whether it must not run twice.
    once: bool,
    /// The connections that its attempts went out on.
    earlier: Vec<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Broken {
    wrong_caller: bool,
    ran_twice: bool,
    refused_though_run: bool,
    behind_surplus: bool,
    unmeaning: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    lives: RequestTable,
    asked: Vec<Asked>,
    lines: Vec<Line>,
    resets: u8,
    doubles: u8,
    broken: Broken,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happens {
    Arrive,
    Send(RequestId),
    Refuse(RequestId),
    Write(usize),
    Begin(usize),
    Answer(usize),
    TurnAway(usize, bool),
    Double(usize),
    Reset(usize),
    Silence(usize),
    Read(usize),
}

type Holds = fn(&Upstreams, &State) -> bool;

/// Name, words, and whether it holds.
pub const RULES: &[(&str, &str, Holds)] = &[
    (
        "an answer is the attempt's that waits",
        "What is taken for an attempt's answer was sent for that attempt, and for no earlier one and no other request.",
        |_, s| !s.broken.wrong_caller,
    ),
    (
        "what must not run twice does not",
        "A backend begins a request that must not run twice once at the most, also behind a reset or a silence.",
        |_, s| !s.broken.ran_twice,
    ),
    (
        "what is refused does not run",
        "A request that must not run twice and is refused has not been begun by a backend, and never is.",
        |_, s| !s.broken.refused_though_run,
    ),
    (
        "nothing goes out behind surplus bytes",
        "No request goes out on a connection on which bytes wait that belong to none.",
        |_, s| !s.broken.behind_surplus,
    ),
    (
        "what happens to connections has a meaning",
        "Nothing that a backend can do to a connection is an error to the machine.",
        |_, s| !s.broken.unmeaning,
    ),
];

impl State {
    /// Hands the machine an input and carries out what it orders.
    fn handle(&mut self, input: Input) {
        let mut orders = Vec::new();
        self.broken.unmeaning |= self.lives.handle(0, input, &mut orders).is_err();
        for order in orders {
            match order {
                Command::Start { id, attempt, .. } => self.handle(Input::Connected { id, attempt }),
                Command::Write { id, attempt } => self.put(id, attempt),
                Command::Withhold { id, attempt } => {
                    self.ended(id, attempt, Ending::Unreachable, Reply::None)
                }
                Command::Abort { id, attempt } => {
                    let out = Some((place(id), attempt));
                    if let Some(line) = self.lines.iter_mut().find(|l| l.out == out) {
                        line.out = None;
                        line.up.end_exchange(0, false);
                    }
                    self.ended(id, attempt, Ending::Cancelled, Reply::None);
                }
                Command::Answer { id, answer, .. } => {
                    let asked = &mut self.asked[place(id)];
                    let refused = matches!(answer, FinalAnswer::Refused { .. });
                    asked.end = if refused { End::Refused } else { End::Over };
                    self.broken.refused_though_run |= refused && asked.once && asked.runs > 0;
                }
                Command::Streamed { .. } | Command::NotifyModule(_) => {}
            }
        }
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ending: Ending, reply: Reply) {
        self.handle(Input::AttemptEnded { id, attempt, ending, reply });
    }

    /// An attempt with the leave to write goes out on a connection, as `granite-stage` picks it.
    fn put(&mut self, id: RequestId, attempt: u32) {
        let once = self.asked[place(id)].once;
        let earlier = self.asked[place(id)].earlier.clone();
        for line in self.lines.iter_mut().filter(|l| l.up.idle_time(0).is_some()) {
            if line.reset || !line.flight.is_empty() {
                line.up.on_unexpected_bytes();
            }
        }
        let kept = self.lines.iter().rposition(|l| l.up.may_carry(once, &earlier));
        let n = kept.unwrap_or_else(|| {
            let up = Upstream::new(self.lines.len() as u64, 0);
            let (flight, reset) = (Vec::new(), false);
            self.lines.push(Line {
                up,
                out: None,
                sent: 0,
                has: None,
                begun: false,
                latest: None,
                flight,
                reset,
            });
            self.lines.len() - 1
        });
        let line = &mut self.lines[n];
        self.broken.behind_surplus |= !line.flight.is_empty();
        line.up.begin_exchange();
        (line.out, line.sent, line.has, line.begun) = (Some((place(id), attempt)), 0, None, false);
        self.asked[place(id)].earlier.push(line.up.number());
    }

    /// Of a closed connection only what its backend may still begin is of any meaning.
    fn forget_what_is_over(&mut self) {
        for line in self.lines.iter_mut().filter(|l| l.up.is_closed()) {
            (line.out, line.sent, line.begun, line.latest, line.reset) = (None, 0, false, None, false);
            line.flight.clear();
        }
    }

    /// The exchange on a connection ends without an answer of its own.
    fn lost(&mut self, n: usize, ending: Ending) {
        let line = &mut self.lines[n];
        let Some((asked, attempt)) = line.out.take() else { return line.up.on_unexpected_bytes() };
        let may_have_run = line.sent >= ExecutionStart::FullHead.byte_count(HEAD, Some(BODY));
        line.up.end_exchange(0, false);
        let ending = if may_have_run { ending } else { Ending::Unreachable };
        self.ended(id(asked), attempt, ending, Reply::None);
    }

    fn read(&mut self, n: usize) {
        let line = &mut self.lines[n];
        let (Some(out), answer) = (line.out, line.flight.remove(0)) else { return };
        let echo = match answer {
            Answer::TurnedAway { named: false, .. } => Echo::Missing { is_rejection: true },
            answer if answer.whose().0 == out.0 => Echo::Same,
            _ => Echo::Other,
        };
        if !line.up.is_answer(echo) {
            return self.lost(n, Ending::Unreadable);
        }
        // A refusal without an id may be another's where it does no harm.
        let harmless = echo != Echo::Same && !self.asked[out.0].once;
        self.broken.wrong_caller |= answer.whose() != out && !harmless;
        line.out = None;
        line.up.end_exchange(0, line.sent == HEAD + BODY);
        if line.up.idle_time(0).is_some() && !line.flight.is_empty() {
            line.up.on_unexpected_bytes();
        }
        let (ending, reply) = match answer {
            Answer::OfRun(_) => (Ending::Success, Reply::Good),
            Answer::TurnedAway { .. } => (Ending::Overloaded, Reply::None),
        };
        self.ended(id(out.0), out.1, ending, reply);
    }
}

/// The defects that show in these worlds and in no other.
pub const DEFECTS: [Defect; 5] = [
    Defect::HeadTakenForProof,
    Defect::EchoIgnored,
    Defect::SurplusKept,
    Defect::NamelessKept,
    Defect::SameConnectionAgain,
];

/// Worlds with their names, small for CI and whole.
pub fn worlds(whole: bool) -> Vec<(&'static str, Upstreams)> {
    let world = |name, second, resets, doubles| {
        (name, Upstreams { effects: vec![Effect::Unsafe, second], resets, doubles })
    };
    // Two answers and a reset by themselves; together they are the whole worlds.
    let mut worlds =
        vec![world("upstream-double", Effect::Unsafe, 0, 1), world("upstream-reset", Effect::Safe, 1, 0)];
    if whole {
        worlds.push(world("upstream-safe", Effect::Safe, 1, 1));
        worlds.push(world("upstream-unsafe", Effect::Unsafe, 1, 1));
    }
    worlds
}

fn place(id: RequestId) -> usize {
    id as usize - 1
}

fn id(place: usize) -> RequestId {
    place as RequestId + 1
}

impl Model for Upstreams {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let mut lives = RequestTable::new(Limits { max_attempts: ATTEMPTS, grace: 1, key_margin: 0 });
        let place = Some(([127, 0, 0, 1], 9000).into());
        let servers =
            vec![ListedServer { name: "s-1".into(), zone: 0, cell: 0, address: place, is_removed: false }];
        lives
            .handle(0, Input::ServerList { is_full: true, servers }, &mut Vec::new())
            .expect("a list has a meaning");
        let (resets, doubles) = (self.resets, self.doubles);
        let (asked, lines, broken) = Default::default();
        vec![State { lives, asked, lines, resets, doubles, broken }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Happens>) {
        use Happens::*;
        if s.asked.len() < self.effects.len() {
            actions.push(Arrive);
        }
        for (n, a) in s.asked.iter().enumerate().filter(|(_, a)| a.end == End::Waits) {
            let out = s.lines.iter().any(|l| l.out.is_some_and(|(asked, _)| asked == n));
            if !out && a.earlier.len() < ATTEMPTS as usize {
                actions.push(Send(id(n)));
            }
            actions.push(Refuse(id(n)));
        }
        for (n, line) in s.lines.iter().enumerate() {
            // A backend that has had the head may go on with it whatever becomes of the connection.
            if line.has.is_some() {
                actions.push(Begin(n));
                if !line.reset && !line.up.is_closed() {
                    actions.extend([TurnAway(n, true), TurnAway(n, false)]);
                }
            }
            if line.up.is_closed() {
                continue;
            }
            if line.out.is_some() {
                if line.sent < HEAD + BODY && !line.reset {
                    actions.push(Write(n));
                }
                actions.push(Silence(n));
                if !line.flight.is_empty() {
                    actions.push(Read(n));
                }
            }
            if !line.reset {
                if line.latest.is_none_or(|a| Some(a.whose()) != line.out) && line.begun {
                    actions.push(Answer(n));
                }
                if s.doubles > 0 && line.latest.is_some() {
                    actions.push(Double(n));
                }
                if s.resets > 0 {
                    actions.push(Reset(n));
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut s = last.clone();
        match action {
            Happens::Arrive => {
                let effect = self.effects[s.asked.len()];
                s.asked.push(Asked {
                    end: End::Waits,
                    runs: 0,
                    once: effect == Effect::Unsafe,
                    earlier: Vec::new(),
                });
                let (id, group) = (id(s.asked.len() - 1), Group::All);
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
            Happens::Send(id) => s.handle(Input::Send { id, server: "s-1".into(), attempt_deadline: 0 }),
            Happens::Refuse(id) => s.handle(Input::Refuse { id, advice: 0 }),
            Happens::Write(n) => {
                let line = &mut s.lines[n];
                line.sent += 1;
                if line.sent == HEAD {
                    line.has = line.out;
                }
                if line.sent == ExecutionStart::FullHead.byte_count(HEAD, Some(BODY)) {
                    let (asked, attempt) = line.out?;
                    s.handle(Input::Progress { id: id(asked), attempt, step: Step::Written });
                }
            }
            Happens::Begin(n) => {
                let (asked, _) = s.lines[n].has.take()?;
                s.lines[n].begun = true;
                let a = &mut s.asked[asked];
                a.runs += 1;
                s.broken.ran_twice |= a.runs > 1 && self.effects[asked] == Effect::Unsafe;
                s.broken.refused_though_run |= a.once && a.end == End::Refused;
            }
            Happens::Answer(n) => {
                let answer = Answer::OfRun(s.lines[n].out?);
                s.lines[n].latest = Some(answer);
                s.lines[n].flight.push(answer);
            }
            Happens::TurnAway(n, named) => {
                let whose = s.lines[n].has.take()?;
                let answer = Answer::TurnedAway { whose, named };
                s.lines[n].latest = Some(answer);
                s.lines[n].flight.push(answer);
            }
            Happens::Double(n) => {
                s.doubles -= 1;
                let again = s.lines[n].latest?;
                s.lines[n].flight.push(again);
            }
            Happens::Reset(n) => {
                s.resets -= 1;
                s.lines[n].reset = true;
                s.lines[n].flight.clear();
                // Of one that is idle the gateway hears when it looks.
                if s.lines[n].out.is_some() {
                    s.lost(n, Ending::Interrupted);
                }
            }
            Happens::Silence(n) => s.lost(n, Ending::TimedOut),
            Happens::Read(n) => s.read(n),
        }
        s.forget_what_is_over();
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        RULES.iter().map(|(name, _, holds)| Property::always(name, *holds)).collect()
    }

    fn format_action(&self, action: &Happens) -> String {
        match action {
            Happens::Arrive => "a request comes whole".into(),
            Happens::Send(id) => format!("the module says: send {id}"),
            Happens::Refuse(id) => format!("the module says: refuse {id}"),
            Happens::Write(n) => format!("a part of the request is written (connection {n})"),
            Happens::Begin(n) => format!("the backend begins to work on it ({n})"),
            Happens::Answer(n) => format!("the backend answers ({n})"),
            Happens::TurnAway(n, true) => format!("the backend turns it away ({n})"),
            Happens::TurnAway(n, false) => format!("the backend turns it away, without an id ({n})"),
            Happens::Double(n) => format!("the backend sends its latest answer once more ({n})"),
            Happens::Reset(n) => format!("the backend resets the connection ({n})"),
            Happens::Silence(n) => format!("the gateway has waited long enough ({n})"),
            Happens::Read(n) => format!("the gateway reads an answer ({n})"),
        }
    }
}
