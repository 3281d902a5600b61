//! What goes in and out of [`crate::Lives`], in plain values.

use crate::fleet::Listed;
use interface::{Effect, Ending, Group, Name, RequestId, Time};
use std::fmt;
use std::net::SocketAddr;

/// Figures that hold for every request, in nanoseconds where they are times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The most attempts for one request, 1 or more.
    pub attempts: u32,
    /// How long past its deadline the module may still have the last word on a request.
    pub grace: Time,
    /// So long before the servers forget a key its last repeat is written: the way there takes time.
    pub key_margin: Time,
}

/// A request that came in whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Arrival {
    pub id: RequestId,
    /// Whose kind it is: handed back with the answer, and of no other meaning here.
    pub class: usize,
    /// What a second run of it does.
    pub effect: Effect,
    /// Which servers drop the repeats of a keyed request, and for how long from the first on.
    pub group: Group,
    pub key_ttl: Time,
    /// By then it is answered, or `grace` later at the latest.
    pub deadline: Time,
    /// Whether it can't be written a second time once a byte of it may be out: its body is passed on as it comes.
    pub once: bool,
}

/// How far an attempt has come. Each step is told once, in this order; steps may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// No byte of it may go out yet.
    Connecting,
    /// It has the leave to write; too little of it is out for a backend to begin.
    Writing,
    /// So much of it may be out that it may have run from here on ([`crate::upstream::Begins`]).
    Written,
    /// A part of the answer is in.
    Answering,
}

/// What an attempt brought back, as far as the request's life turns on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    None,
    /// A whole answer that serves the request.
    Good,
    /// A server found fault with the request itself: no other would take it.
    Turned,
}

/// What happened. `id` and `attempt` say to whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// From a front: a request came whole.
    Received(Arrival),
    /// From a front: the last byte of a request that was taken in before has come; by then it is answered.
    Whole {
        id: RequestId,
        deadline: Time,
    },
    /// From a front: nobody waits for the answer any more.
    Left {
        id: RequestId,
    },
    /// From the decision module, which may say anything at any time.
    Send {
        id: RequestId,
        server: Name,
        not_past: Time,
    },
    Refuse {
        id: RequestId,
        advice: Time,
    },
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: u32,
    },
    /// From an attempt: its connection is up. The answer is `Write` or `Withhold`.
    Connected {
        id: RequestId,
        attempt: u32,
    },
    /// From an attempt: how far it has come since.
    Progress {
        id: RequestId,
        attempt: u32,
        step: Step,
    },
    /// From an attempt: a good answer has begun, and the rest is passed on as it comes. It is the final one.
    Begun {
        id: RequestId,
        attempt: u32,
    },
    /// From an attempt: its end, told once.
    Ended {
        id: RequestId,
        attempt: u32,
        ending: Ending,
        reply: Reply,
    },
    /// From the server list.
    Fleet {
        whole: bool,
        servers: Vec<Listed>,
    },
    /// Time has passed: what is overdue is answered.
    Tick,
    /// The decision module is lost, with all that it knew.
    Panicked,
}

/// The final answer, but for its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Final {
    /// With the whole answer that the attempt just ended has brought.
    Served,
    /// With the status that it has brought.
    Turned,
    /// Trying again is harmless, after so long. `tried`: whether any attempt was made.
    Refused { tried: bool, advice: Time },
    /// An attempt may have run, or the module says no more than this.
    Failed { late: bool },
}

/// What the decision module is to hear.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    ClientGone { id: RequestId },
    Ended { id: RequestId, attempt: u32, server: Name, ending: Ending, last: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Begin an attempt; its connection's being up is to be told before a byte is written.
    Start {
        id: RequestId,
        attempt: u32,
        server: Name,
        place: SocketAddr,
        not_past: Time,
    },
    /// The attempt may write.
    Write {
        id: RequestId,
        attempt: u32,
    },
    /// The attempt must not write. It ends as one that never ran.
    Withhold {
        id: RequestId,
        attempt: u32,
    },
    /// Stop the attempt: nothing of it goes out any more, nothing that it brings is awaited.
    Abort {
        id: RequestId,
        attempt: u32,
    },
    Answer {
        id: RequestId,
        class: usize,
        answer: Final,
    },
    /// An answer that was passed on as it came has ended, whole or not, and with it the life.
    Streamed {
        id: RequestId,
        class: usize,
        whole: bool,
    },
    Tell(Told),
}

/// An input without a meaning in the present state. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// The life of a request with this id is not over.
    Held(RequestId),
    /// No attempt with this number is out.
    NotOut { id: RequestId, attempt: u32 },
    /// The attempt is past this, or has not come so far.
    OutOfOrder { id: RequestId, attempt: u32, at: Step },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::Held(id) => write!(f, "request {id:016x}: its id is still held"),
            Wrong::NotOut { id, attempt } => write!(f, "request {id:016x}: attempt {attempt} is not out"),
            Wrong::OutOfOrder { id, attempt, at } => {
                write!(f, "request {id:016x}: attempt {attempt} is at {at:?}")
            }
        }
    }
}

impl std::error::Error for Wrong {}
