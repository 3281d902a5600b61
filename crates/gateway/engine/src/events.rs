//! Inputs and outputs of an [`crate::Engine`], as plain values.

use interface::{Allowance, Ending, Load, Name, Node, RequestId, Scope, Time};
use lifecycle::{FinalAnswer, Reply, Step};
use plan::message::{Grant, Report};
use std::fmt;
use std::net::SocketAddr;

/// A client's well-formed request.
#[derive(Clone, Debug)]
pub struct Incoming {
    pub id: RequestId,
    /// Indices into the settings. An unknown class follows the rules of the first.
    pub class: usize,
    pub plan: usize,
    pub customer: Name,
    /// How long after it came the client stops waiting.
    pub timeout: Time,
    /// Whether its body is still arriving: the timeout then counts from [`Input::BodyCompleted`], and it can be sent
    /// once.
    pub body_pending: bool,
    /// 0 or more, no more than the settings' most.
    pub units: f64,
    /// Through how many gateways the customer's requests may arrive.
    pub spread: u32,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// The pool whose servers may take it, as an index into the settings.
    pub pool: usize,
    /// What the front end knows of its allowance.
    pub allowance: Allowance,
}

/// Measurements of an attempt, beside its ending.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptFacts {
    /// Since it was started.
    pub elapsed: Time,
    /// True units, where the answer settles them.
    pub settled: f64,
    /// The customer's use over all gateways as a share of its rate, where the answer tells.
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// One entry of the server list, and where new work for it goes.
pub type ListEntry = (Node, Option<SocketAddr>);

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A front end: a complete request has arrived.
    Received(Incoming),
    /// A front end: the last byte of an open request has arrived; its client waits this long from now on.
    BodyCompleted { id: RequestId, timeout: Time },
    /// A front end: nobody waits for the answer any more.
    ClientLeft { id: RequestId },
    /// An attempt: its connection is established. The answer is `Write` or `Withhold`.
    Connected { id: RequestId, attempt: u32 },
    /// An attempt: how far it has come since.
    Progress { id: RequestId, attempt: u32, step: Step },
    /// An attempt: a good answer has started that is streamed. An error means that nobody waits for it.
    AnswerStarted { id: RequestId, attempt: u32, facts: AttemptFacts },
    /// An attempt: its end, reported once.
    AttemptEnded { id: RequestId, attempt: u32, ending: Ending, reply: Reply, facts: AttemptFacts },
    /// The allowance of a request that awaited it.
    AllowanceDecided { id: RequestId, allowance: Allowance },
    /// Discovery: the list, or changes to it. `rev` is its number.
    ServerList { scope: Scope, rev: u64, entries: Vec<ListEntry> },
    /// Discovery: it cannot be reached, or its answer cannot be read.
    DiscoveryFailed,
    /// A planner: what it grants.
    Grant { planner: usize, grant: Grant },
    /// Membership: the number of gateways believed alive and this one's position among them; 0: as the settings say.
    GatewayPosition { position: u32, gateways: u32 },
    /// Membership: which planners are alive, in their order; none: not known.
    PlannerLiveness(Vec<Option<bool>>),
    /// A tick of planning has passed: reports are wanted.
    PlanningTick,
    /// Time has passed: due timers fire, and the module is called with what has happened.
    Wake,
}

/// What to do about it, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start an attempt; `Connected` must be reported before a byte is written.
    Start { id: RequestId, attempt: u32, server: Name, address: SocketAddr, attempt_deadline: Time },
    /// The attempt may write.
    Write { id: RequestId, attempt: u32 },
    /// The attempt must not write. It ends as one that never ran.
    Withhold { id: RequestId, attempt: u32 },
    /// Stop the attempt: nothing more is written, and its answer is not awaited.
    Abort { id: RequestId, attempt: u32 },
    /// The final answer. `Served` and `Rejected` carry the bytes of the attempt that just ended.
    Answer { id: RequestId, answer: FinalAnswer },
    /// The request is over: all that is kept for it can be dropped.
    RequestEnded { id: RequestId },
    /// A report for a planner.
    Report { planner: usize, report: Report },
    /// Something for the log.
    Notice(Notice),
}

/// An event worth a line in the operators' log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Discovery answers again.
    DiscoveryRestored { rev: u64 },
    /// Discovery does not; the old list stands.
    DiscoveryLost,
    /// The module panicked and was replaced: this many requests end.
    ModulePanicked { ended: usize },
    /// The account of allowances panicked and was replaced.
    AccountPanicked,
    /// An attempt reported what cannot be; it was ended.
    Attempt(lifecycle::InvalidInput),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::DiscoveryRestored { rev } => write!(f, "discovery: back, version {rev}"),
            Notice::DiscoveryLost => write!(f, "discovery: lost; the old list stands"),
            Notice::ModulePanicked { ended } => {
                write!(f, "the module panicked: a new one begins, {ended} requests end")
            }
            Notice::AccountPanicked => write!(f, "the account of allowances panicked; a new one begins"),
            Notice::Attempt(wrong) => write!(f, "lifecycle: {wrong}"),
        }
    }
}

/// An input without a meaning in the present state. Nothing has changed.
pub type Error = lifecycle::InvalidInput;

/// Final answers by kind; clients that left without theirs count as failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Counts since the start, and the present state of the server list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// By class, in the settings' order.
    pub answers: Vec<AnswerCounts>,
    /// Attempts whose last byte was written.
    pub attempts: u64,
    /// Servers in the list; those of them without new work: banned, draining or avoided.
    pub listed: usize,
    pub down: usize,
}

/// Counts since they were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests answered by the engine because the module had not answered by the deadline.
    pub overdue: u64,
    /// Calls to the module.
    pub batches: u64,
}
