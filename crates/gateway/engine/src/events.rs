//! Inputs and outputs of [`crate::Engine`], as plain values.

use interface::{Allowance, Ending, Load, Name, Node, RequestId, Scope, Time};
use lifecycle::{FinalAnswer, Reply, Step};
use plan::message::{Grant, Report};
use std::fmt;
use std::net::SocketAddr;

/// A well-formed client request.
#[derive(Clone, Debug)]
pub struct Incoming {
    pub id: RequestId,
    /// Class and plan, as indices into the settings. An unknown class follows the rules of the first.
    pub class: usize,
    pub plan: usize,
    pub customer: Name,
    /// The client's timeout, from the request's arrival.
    pub timeout: Time,
    /// Whether its body is still arriving. The timeout then counts from [`Input::BodyCompleted`], and there can be only one
    /// attempt.
    pub body_pending: bool,
    /// From 0 to the settings' `max_units`.
    pub units: f64,
    /// The number of gateways that the customer's requests may arrive at.
    pub spread: u32,
    /// Whether the client marked it as a retry.
    pub repeat: bool,
    /// The index of the pool whose servers may execute it.
    pub pool: usize,
    /// The quota decision on the request, as far as the front end knows it; [`Allowance::Unknown`] if there is none.
    pub allowance: Allowance,
}

/// Measurements of an attempt, beside its ending.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptFacts {
    /// The time since it was started.
    pub elapsed: Time,
    /// The true units, if the answer reported them.
    pub settled: f64,
    /// The customer's use over all gateways as a fraction of its rate, if the answer reported it.
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// An entry of the server list, and the address for new attempts.
pub type ListEntry = (Node, Option<SocketAddr>);

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A front end: a complete request has arrived.
    Received(Incoming),
    /// A front end: the last byte of a request with a pending body has arrived; its timeout starts now.
    BodyCompleted { id: RequestId, timeout: Time },
    /// A front end: the client has disconnected.
    ClientLeft { id: RequestId },
    /// An attempt: its connection is established. The engine replies with `Write` or `Withhold`.
    Connected { id: RequestId, attempt: u32 },
    /// An attempt: it has reached this step.
    Progress { id: RequestId, attempt: u32, step: Step },
    /// An attempt: a successful answer has started and is being streamed. An error means that no client waits for it.
    AnswerStarted { id: RequestId, attempt: u32, facts: AttemptFacts },
    /// An attempt: it has ended. Reported once.
    AttemptEnded { id: RequestId, attempt: u32, ending: Ending, reply: Reply, facts: AttemptFacts },
    /// The decision on the allowance of a request that awaited it.
    AllowanceDecided { id: RequestId, allowance: Allowance },
    /// Discovery: the server list or changes to it, with its revision.
    ServerList { scope: Scope, rev: u64, entries: Vec<ListEntry> },
    /// Discovery: it cannot be reached, or its answer cannot be parsed.
    DiscoveryFailed,
    /// A planner: a grant.
    Grant { planner: usize, grant: Grant },
    /// Membership: the number of gateways believed alive and this one's position among them. With 0 gateways the
    /// settings apply.
    GatewayPosition { position: u32, gateways: u32 },
    /// Membership: whether each planner is alive, in their order; `None` if unknown.
    PlannerLiveness(Vec<Option<bool>>),
    /// A planning tick has passed: reports are due.
    PlanningTick,
    /// Time has passed: due timers fire, and the module is called with the queued events.
    Wake,
}

/// An output of the engine, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start an attempt; `Connected` must be reported before a byte is written.
    Start { id: RequestId, attempt: u32, server: Name, address: SocketAddr, attempt_deadline: Time },
    /// The attempt may write.
    Write { id: RequestId, attempt: u32 },
    /// The attempt must not write; it is to end as one that never ran.
    Withhold { id: RequestId, attempt: u32 },
    /// Stop the attempt: write nothing more and do not wait for its answer.
    Abort { id: RequestId, attempt: u32 },
    /// The final answer. `Served` and `Rejected` carry the bytes of the attempt that just ended.
    Answer { id: RequestId, answer: FinalAnswer },
    /// The request has ended: its resources can be released. May be output more than once for a request.
    RequestEnded { id: RequestId },
    /// A report for a planner.
    Report { planner: usize, report: Report },
    /// An event for the log.
    Notice(Notice),
}

/// An event that is logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Discovery is reachable again.
    DiscoveryRestored { rev: u64 },
    /// Discovery is unreachable; the last list stays in use.
    DiscoveryLost,
    /// The module panicked and was replaced; `ended` requests were answered.
    ModulePanicked { ended: usize },
    /// The allowance account panicked and was restarted.
    AccountPanicked,
    /// An input that is invalid in the present state; it was ignored.
    InvalidReport(lifecycle::InvalidInput),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::DiscoveryRestored { rev } => write!(f, "discovery: reachable again, list version {rev}"),
            Notice::DiscoveryLost => write!(f, "discovery: lost; the old list stands"),
            Notice::ModulePanicked { ended } => {
                write!(f, "the module panicked: restarted from the server list, {ended} requests ended")
            }
            Notice::AccountPanicked => write!(f, "the account of allowances panicked; a new one begins"),
            Notice::InvalidReport(error) => write!(f, "lifecycle: {error}"),
        }
    }
}

/// An input that is invalid in the present state. Nothing has changed.
pub type Error = lifecycle::InvalidInput;

/// Final answers by kind. Clients that disconnected before their answer count as failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Counts since the start, and the state of the server list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// By class, in the settings' order.
    pub answers: Vec<AnswerCounts>,
    /// Attempts of which enough was written that a backend may execute them: those that reached [`Step::Written`].
    pub attempts: u64,
    /// The number of servers in the list, and of those that get no new attempts: banned, draining or avoided.
    pub listed: usize,
    pub down: usize,
}

/// Counts since they were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests answered by the engine because the module had not answered by the deadline.
    pub overdue: u64,
    /// Calls of the module.
    pub batches: u64,
}
