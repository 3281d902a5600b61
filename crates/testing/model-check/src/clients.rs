//! The world round a client's connection: a client that may say half a head, pipeline, stop in a body, not
//! read, or leave; SIGTERM in every state; and the budget that wants its place.
//! `lifecycle::Connection` itself is what is explored.

use lifecycle::connection::{
    eviction_candidate, Close, Command, Connection, Input, Timeouts, EVICTION_GRACE, UNREAD_ANSWER_TIMEOUT,
};
use stateright::{Model, Property};

#[derive(Clone)]
pub struct Clients {
    /// How many requests the client sends.
    pub requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    life: Connection,
    now: u64,
    // What the client has sent: whole heads, whether half of the next, whole bodies.
    heads: u8,
    half: bool,
    /// Whether the latest head began behind another request: the machine is told of it once that is over.
    behind: bool,
    head_at: u64,
    bodies: u8,
    // What the gateway has: heads read, requests taken, answers known, answers written, answers that said close.
    read: u8,
    taken: u8,
    answered: u8,
    written: u8,
    said_close: bool,
    answered_at: u64,
    /// Whether a request that was taken awaits its answer's last byte.
    owed: bool,
    drains: u8,
    draining: bool,
    handing_over: bool,
    /// Whether hyper has been told to end the connection behind its answer.
    finishing: bool,
    /// Whether the last answer was begun after the drain.
    answer_after_drain: bool,
    pub ended: Option<End>,
    /// Whether its place was asked for and not given.
    no_room: bool,
    wrong: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    ByClient,
    Drained,
    HandedOver,
    ForRoom,
    Finished,
    TimedOut,
    /// The gateway ended it with something owed.
    Cut,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happens {
    HalfHead,
    RestOfHead,
    Body,
    ReadHead,
    Take,
    Unsound,
    Answer,
    Written,
    Sigterm,
    Handover,
    Room,
    HeadTimeOut,
    Leave,
    Wait,
}

type Holds = fn(&Clients, &State) -> bool;

/// Name, words, and whether it holds.
pub const RULES: &[(&str, &str, Holds)] = &[
    (
        "no answer cut",
        "The gateway ends no connection on which a request was taken and its answer is not wholly written, unless the client has not read it for long.",
        |_, s| s.ended != Some(End::Cut),
    ),
    (
        "answers in order, one each",
        "Every head that was read gets one answer, before the next is read.",
        |_, s| s.answered <= s.read && s.read <= s.answered + 1 && s.written <= s.answered,
    ),
    (
        "the last answer says so",
        "An answer begun after the drain says that the connection closes.",
        |_, s| !s.answer_after_drain || s.said_close,
    ),
    (
        "a drain ends",
        "Once a drain was told and nothing is owed, the connection is ended; no half head is waited for.",
        |_, s| {
            let owes = s.owed || s.read > s.answered || s.answered > s.written;
            !s.draining || owes || s.ended.is_some()
        },
    ),
    (
        "a handover lets ask",
        "A handover ends only who has had an answer and has begun nothing since, but behind another request.",
        |_, s| {
            let idle = !s.half && s.heads == s.read;
            s.ended != Some(End::HandedOver) || s.taken > 0 && (idle || s.behind)
        },
    ),
    (
        "a head has its time",
        "Nobody is let go for silence while a head is coming that has had less than 2 s, but for a first or behind another.",
        |_, s| {
            let may = !s.half || s.behind || s.answered == 0;
            s.ended != Some(End::TimedOut) || may || s.now >= s.head_at + 2_000_000_000
        },
    ),
    (
        "who has just begun is left alone",
        "Room is not made by who is writing its first head and has just sent a byte of it.",
        |_, s| {
            let may = !s.half || s.behind || s.taken > 0 || s.read > s.answered;
            s.ended != Some(End::ForRoom) || may || s.now >= s.head_at + EVICTION_GRACE
        },
    ),
    (
        "who is spared makes room",
        "A connection that is picked to make room owes nothing, or does not read, and is ended at once.",
        |_, s| !s.no_room,
    ),
    (
        "what happens has a meaning",
        "Nothing that client, drain and budget can do is an error to the machine.",
        |_, s| !s.wrong,
    ),
];

impl State {
    fn handle(&mut self, input: Input) -> Command {
        let order = self.life.handle(self.now, input);
        self.wrong |= order.is_err();
        order.unwrap_or(Command::None)
    }

    fn close(&mut self, why: Close) {
        match self.handle(Input::Close(why)) {
            Command::Shut => {
                self.end(match why {
                    Close::Drain => End::Drained,
                    Close::Handover => End::HandedOver,
                    Close::Evict => End::ForRoom,
                });
            }
            Command::Finish => self.finishing = true,
            Command::None | Command::Answer { .. } => {}
        }
    }

    fn end(&mut self, end: End) {
        // Who has had the answer to read for so long is owed no more.
        let stuck = end == End::ForRoom
            && self.read == self.answered
            && self.now >= self.answered_at + UNREAD_ANSWER_TIMEOUT;
        let cut = matches!(end, End::Drained | End::HandedOver | End::ForRoom) && self.owed && !stuck;
        self.ended = Some(if cut { End::Cut } else { end });
        self.handle(Input::Disconnected);
    }
}

impl Model for Clients {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            life: Connection::new(0, Timeouts::default()),
            now: 0,
            heads: 0,
            half: false,
            behind: false,
            head_at: 0,
            bodies: 0,
            read: 0,
            taken: 0,
            answered: 0,
            written: 0,
            said_close: false,
            answered_at: 0,
            owed: false,
            drains: 0,
            draining: false,
            handing_over: false,
            finishing: false,
            answer_after_drain: false,
            ended: None,
            no_room: false,
            wrong: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Happens>) {
        use Happens::*;
        if s.ended.is_some() {
            return;
        }
        if s.heads < self.requests {
            actions.push(if s.half { RestOfHead } else { HalfHead });
        }
        if s.bodies < s.heads {
            actions.push(Body);
        }
        // Whole and read in its turn: the one before is answered, and nothing says that it was the last.
        if s.heads > s.read && s.read == s.answered && !s.finishing && !s.said_close {
            actions.push(ReadHead);
        }
        if s.read > s.answered {
            if s.taken < s.read {
                if s.bodies >= s.read {
                    actions.push(Take);
                }
                // Unsound, or its body stops.
                actions.push(Unsound);
            } else {
                actions.push(Answer);
            }
        }
        if s.answered > s.written {
            actions.push(Written);
        }
        if s.drains < 2 {
            actions.push(Sigterm);
            actions.push(Handover);
        }
        if eviction_candidate([((), &s.life)].into_iter(), s.now).is_some_and(|(_, wait)| wait == 0) {
            actions.push(Room);
        }
        if s.life.read_deadline().is_some_and(|at| at <= s.now) {
            actions.push(HeadTimeOut);
        }
        actions.push(Leave);
        if s.now < 2 * UNREAD_ANSWER_TIMEOUT {
            actions.push(Wait);
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut s = last.clone();
        match action {
            Happens::HalfHead => {
                s.half = true;
                s.behind |= s.heads > s.written;
                s.head_at = s.now;
                s.handle(Input::Bytes);
            }
            Happens::RestOfHead => {
                s.behind &= s.heads > s.written;
                s.half = false;
                s.heads += 1;
                s.handle(Input::Bytes);
            }
            Happens::Body => {
                s.bodies += 1;
                // One that comes behind its answer is taken for the next head's first bytes.
                s.behind |= s.read == s.written;
                s.handle(Input::Bytes);
            }
            Happens::ReadHead => {
                s.read += 1;
                s.handle(Input::Head);
            }
            Happens::Take => {
                s.taken += 1;
                s.owed = true;
                s.handle(Input::Accepted);
            }
            Happens::Unsound | Happens::Answer => {
                // An unsound one is answered too, but nothing was taken.
                s.taken = s.read;
                s.answered += 1;
                s.answered_at = s.now;
                s.answer_after_drain = s.draining || s.handing_over;
                if let Command::Answer { close } = s.handle(Input::Reply) {
                    s.said_close |= close;
                }
            }
            Happens::Written => {
                s.written = s.answered;
                s.owed = false;
                if s.handle(Input::Flushed) == Command::Shut {
                    s.end(End::Finished);
                }
            }
            Happens::Sigterm => {
                s.drains += 1;
                s.draining = true;
                s.close(Close::Drain);
            }
            Happens::Handover => {
                s.drains += 1;
                s.handing_over = true;
                s.close(Close::Handover);
            }
            Happens::Room => {
                s.close(Close::Evict);
                s.no_room = s.ended.is_none();
            }
            Happens::HeadTimeOut => s.end(End::TimedOut),
            Happens::Leave => s.end(End::ByClient),
            Happens::Wait => {
                s.now += if s.now < EVICTION_GRACE { EVICTION_GRACE } else { UNREAD_ANSWER_TIMEOUT }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        RULES.iter().map(|(name, _, holds)| Property::always(name, *holds)).collect()
    }

    fn format_action(&self, action: &Happens) -> String {
        match action {
            Happens::HalfHead => "half a head comes",
            Happens::RestOfHead => "the rest of the head comes",
            Happens::Body => "a body comes whole",
            Happens::ReadHead => "the head is read",
            Happens::Take => "the request is whole and sound, and taken",
            Happens::Unsound => "the request is unsound or its body stops; it is answered 4xx",
            Happens::Answer => "its answer is known",
            Happens::Written => "the answer's last byte is written",
            Happens::Sigterm => "the gateway drains",
            Happens::Handover => "another process takes over",
            Happens::Room => "its place is wanted",
            Happens::HeadTimeOut => "the client has been silent too long",
            Happens::Leave => "the client leaves",
            Happens::Wait => "time passes",
        }
        .into()
    }
}
