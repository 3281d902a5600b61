//! Inputs and commands of [`crate::RequestTable`], as plain values.

use crate::server_list::ListedServer;
use interface::{Effect, Ending, Group, Name, RequestId, Time};
use std::fmt;
use std::net::SocketAddr;

/// Limits that hold for every request; times are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The maximum number of attempts of a request, at least 1.
    pub max_attempts: u32,
    /// How long after a request's deadline the module may still answer it.
    pub grace: Time,
    /// How long before the servers forget an idempotency key its last retry may be written, to allow for transmission.
    pub key_margin: Time,
}

/// A request that has arrived, complete unless `has_single_attempt` is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Arrival {
    pub id: RequestId,
    /// Its class: returned with the answer and otherwise unused here.
    pub class: usize,
    /// The effect of executing it a second time.
    pub effect: Effect,
    /// The servers that drop repeats of a keyed request.
    pub group: Group,
    /// For how long they drop them, counted from the first attempt that may have run.
    pub key_ttl: Time,
    /// When its answer is due; [`Limits::grace`] later it is answered in any case.
    pub deadline: Time,
    /// Whether its body is streamed, so that it cannot be retried once a byte may have been sent.
    pub has_single_attempt: bool,
}

/// The progress of an attempt. Each step is reported once, in this order; steps may be skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// No byte may be written yet.
    Connecting,
    /// It may write; too little has been written for a backend to start execution.
    Writing,
    /// Enough may have been written for a backend to execute it ([`crate::upstream::ExecutionStart`]).
    Written,
    /// A part of the answer has arrived.
    Answering,
}

/// The reply of an attempt, as far as it matters to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    None,
    /// A complete answer that serves the request.
    Good,
    /// A server rejected the request itself; no other server would accept it.
    Rejected,
}

/// An input of the request table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A front end: a request has arrived.
    Received(Arrival),
    /// A front end: the last byte of a request received earlier has arrived; this is its new deadline.
    BodyCompleted { id: RequestId, deadline: Time },
    /// A front end: the client has disconnected.
    ClientLeft { id: RequestId },
    /// The decision module: start an attempt. Any action of the module is valid at any time.
    Send { id: RequestId, server: Name, attempt_deadline: Time },
    /// The decision module: refuse the request.
    Refuse { id: RequestId, advice: Time },
    /// The decision module: fail the request.
    Fail { id: RequestId },
    /// The decision module: cancel an attempt.
    Cancel { id: RequestId, attempt: u32 },
    /// An attempt: its connection is established. The table replies with `Write` or `Withhold`.
    Connected { id: RequestId, attempt: u32 },
    /// An attempt: it has reached this step.
    Progress { id: RequestId, attempt: u32, step: Step },
    /// An attempt: a successful answer has started and is being streamed. It is the final answer.
    AnswerStarted { id: RequestId, attempt: u32 },
    /// An attempt: it has ended. Reported once.
    AttemptEnded { id: RequestId, attempt: u32, ending: Ending, reply: Reply },
    /// The full server list, or changes to it.
    ServerList { is_full: bool, servers: Vec<ListedServer> },
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
    /// Nothing has run; the client may retry after a delay of `advice`. `tried`: whether any attempt was made.
    Refused { tried: bool, advice: Time },
    /// An attempt may have run, or the module failed the request. `late`: whether it timed out.
    Failed { late: bool },
}

/// A notification to the decision module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModuleEvent {
    ClientLeft { id: RequestId },
    Ended { id: RequestId, attempt: u32, server: Name, ending: Ending, last: bool },
}

/// A command of the request table, for the owner of the sockets.
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
    /// The attempt must not write; it is to end as one that never ran.
    Withhold {
        id: RequestId,
        attempt: u32,
    },
    /// Stop the attempt: write nothing more and do not wait for its answer.
    Abort {
        id: RequestId,
        attempt: u32,
    },
    /// Send the final answer to the client.
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

/// An input that is invalid in the present state. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidInput {
    /// A request with this id is still in progress.
    IdInUse(RequestId),
    /// No attempt with this number is in flight.
    NoSuchAttempt { id: RequestId, attempt: u32 },
    /// The input does not follow the attempt's present step.
    OutOfOrder { id: RequestId, attempt: u32, step: Step },
}

impl fmt::Display for InvalidInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidInput::IdInUse(id) => write!(f, "request {id:016x}: the id is still in use"),
            InvalidInput::NoSuchAttempt { id, attempt } => {
                write!(f, "request {id:016x}: attempt {attempt} is not in flight")
            }
            InvalidInput::OutOfOrder { id, attempt, step } => {
                write!(f, "request {id:016x}: input out of order for attempt {attempt} at step {step:?}")
            }
        }
    }
}

impl std::error::Error for InvalidInput {}
