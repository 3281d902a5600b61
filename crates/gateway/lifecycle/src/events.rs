//! Inputs and commands of [`crate::RequestTable`], as plain values.

use crate::server_list::ListedServer;
use interface::{Effect, Ending, Group, Name, RequestId, Time};
use std::fmt;
use std::net::SocketAddr;

/// Limits that hold for every request; times are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The most attempts for one request, 1 or more.
    pub max_attempts: u32,
    /// How long after its deadline the module may still answer a request.
    pub grace: Time,
    /// How long before the servers forget a key its last repeat may be written: transmission takes time.
    pub key_margin: Time,
}

/// A complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Arrival {
    pub id: RequestId,
    /// Its class: returned with the answer, and without other meaning here.
    pub class: usize,
    /// What a second run of it does.
    pub effect: Effect,
    /// Which servers drop the repeats of a keyed request, and for how long from the first on.
    pub group: Group,
    pub key_ttl: Time,
    /// By then it is answered, or `grace` later at the latest.
    pub deadline: Time,
    /// Whether it cannot be written again once a byte may have been sent: its body is streamed.
    pub has_single_attempt: bool,
}

/// How far an attempt has come. Each step is reported once, in this order; steps may be skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// No byte may be written yet.
    Connecting,
    /// It may write; too little has been written for a backend to begin.
    Writing,
    /// So much of it may be out that it may have run from here on ([`crate::upstream::ExecutionStart`]).
    Written,
    /// A part of the answer has arrived.
    Answering,
}

/// What an attempt brought back, as far as it decides on the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    None,
    /// A complete answer that serves the request.
    Good,
    /// A server rejected the request itself: no other would accept it.
    Rejected,
}

/// What happened to a request or an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A front end: a complete request has arrived.
    Received(Arrival),
    /// A front end: the last byte of a request received earlier has arrived; the deadline counts from now.
    BodyCompleted {
        id: RequestId,
        deadline: Time,
    },
    /// A front end: nobody waits for the answer any more.
    ClientLeft {
        id: RequestId,
    },
    /// The decision module, which may say anything at any time.
    Send {
        id: RequestId,
        server: Name,
        attempt_deadline: Time,
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
    /// An attempt: its connection is established. The answer is `Write` or `Withhold`.
    Connected {
        id: RequestId,
        attempt: u32,
    },
    /// An attempt: how far it has come since.
    Progress {
        id: RequestId,
        attempt: u32,
        step: Step,
    },
    /// An attempt: a good answer has started and the rest is streamed. It is the final answer.
    AnswerStarted {
        id: RequestId,
        attempt: u32,
    },
    /// An attempt: its end, reported once.
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        ending: Ending,
        reply: Reply,
    },
    /// The server list, whole or the changes to it.
    ServerList {
        is_full: bool,
        servers: Vec<ListedServer>,
    },
    /// Time has passed: overdue requests are answered.
    Tick,
    /// The decision module has panicked, and its state is lost.
    Panicked,
}

/// The final answer, without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// With the answer of the attempt that just ended.
    Served,
    /// With the rejection of the attempt that just ended.
    Rejected,
    /// Nothing has run; the client may try again after `advice`. `tried`: whether any attempt was made.
    Refused { tried: bool, advice: Time },
    /// An attempt may have run, or the module gave no reason.
    Failed { late: bool },
}

/// What the decision module is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModuleEvent {
    ClientLeft { id: RequestId },
    Ended { id: RequestId, attempt: u32, server: Name, ending: Ending, last: bool },
}

/// What must be done for a request or an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Start an attempt; `Connected` must be reported before a byte is written.
    Start {
        id: RequestId,
        attempt: u32,
        server: Name,
        address: SocketAddr,
        attempt_deadline: Time,
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
    /// Stop the attempt: nothing more is written, and its answer is not awaited.
    Abort {
        id: RequestId,
        attempt: u32,
    },
    Answer {
        id: RequestId,
        class: usize,
        answer: FinalAnswer,
    },
    /// A streamed answer has ended, and with it the request.
    Streamed {
        id: RequestId,
        class: usize,
        is_complete: bool,
    },
    NotifyModule(ModuleEvent),
}

/// An input without meaning in the present state. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidInput {
    /// A request with this id is not over.
    IdInUse(RequestId),
    /// No attempt with this number is in flight.
    NoSuchAttempt { id: RequestId, attempt: u32 },
    /// The attempt is past this, or has not come so far.
    OutOfOrder { id: RequestId, attempt: u32, at: Step },
}

impl fmt::Display for InvalidInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidInput::IdInUse(id) => write!(f, "request {id:016x}: its id is still held"),
            InvalidInput::NoSuchAttempt { id, attempt } => {
                write!(f, "request {id:016x}: attempt {attempt} is not out")
            }
            InvalidInput::OutOfOrder { id, attempt, at } => {
                write!(f, "request {id:016x}: attempt {attempt} is at {at:?}")
            }
        }
    }
}

impl std::error::Error for InvalidInput {}
