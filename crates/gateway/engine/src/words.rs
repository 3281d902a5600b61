//! What goes in and out of an [`crate::Engine`], in plain values.

use interface::{Allowance, Ending, Load, Name, Node, RequestId, Scope, Time};
use lifecycle::{Final, Reply, Step};
use plan::message::{Grant, Report};
use std::fmt;
use std::net::SocketAddr;

/// A client's request that a front found well-formed.
#[derive(Clone, Debug)]
pub struct Incoming {
    pub id: RequestId,
    /// Places in the settings. A class that is not there is judged by the rules of the first.
    pub class: usize,
    pub plan: usize,
    pub customer: Name,
    /// How long after it came the client stops waiting.
    pub timeout: Time,
    /// Whether its body is still coming: then that counts from [`Input::Whole`] on, and it can be sent once.
    pub open: bool,
    /// 0 or more, no more than the settings' most.
    pub units: f64,
    /// Through how many gateways the customer's requests may come.
    pub spread: u32,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Which pool's servers may take it; its place in the settings.
    pub pool: usize,
    /// What its front knows of its allowance.
    pub allowance: Allowance,
}

/// What an attempt's end tells beside its ending.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    /// Since the order to start it.
    pub elapsed: Time,
    /// True units, where the answer settles them.
    pub settled: f64,
    /// The customer's use over all gateways as a share of its rate, where the answer tells.
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// One entry of the server list, and where new work for it goes.
pub type Entry = (Node, Option<SocketAddr>);

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A front: a request came whole.
    Received(Incoming),
    /// A front: the last byte of an open request has come, and its client waits for so long from now on.
    Whole { id: RequestId, timeout: Time },
    /// A front: nobody waits for the answer any more.
    Left { id: RequestId },
    /// An attempt: its connection is up. The answer is `Write` or `Withhold`.
    Connected { id: RequestId, attempt: u32 },
    /// An attempt: how far it has come since.
    Progress { id: RequestId, attempt: u32, step: Step },
    /// An attempt: a good answer has begun that is passed on as it comes. An error: nobody wants it.
    Begun { id: RequestId, attempt: u32, facts: Facts },
    /// An attempt: its end, told once.
    Ended { id: RequestId, attempt: u32, ending: Ending, reply: Reply, facts: Facts },
    /// Whoever was awaited: what is known by now of a request's allowance.
    Allowed { id: RequestId, allowance: Allowance },
    /// Discovery: the list, or changes to it. `rev` is its number.
    List { scope: Scope, rev: u64, entries: Vec<Entry> },
    /// Discovery: it can't be reached, or says what can't be read.
    ListFailed,
    /// A planner: what it grants.
    Grant { planner: usize, grant: Grant },
    /// A view of the fleet: so many gateways are believed to live, and this is the `me`th; 0: what the settings say.
    Neighbours { me: u32, gateways: u32 },
    /// A view of the fleet: which planners live, in their order; none: it says nothing of this one.
    Planners(Vec<Option<bool>>),
    /// A tick of planning has passed: reports are wanted.
    PlanningTick,
    /// Time has passed: what is due is done, and the module hears what has happened.
    Wake,
}

/// What to do about it, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Begin an attempt; its connection's being up is to be told before a byte is written.
    Start { id: RequestId, attempt: u32, server: Name, place: SocketAddr, not_past: Time },
    /// The attempt may write.
    Write { id: RequestId, attempt: u32 },
    /// The attempt must not write. It ends as one that never ran.
    Withhold { id: RequestId, attempt: u32 },
    /// Stop the attempt: nothing of it goes out any more, nothing that it brings is awaited.
    Abort { id: RequestId, attempt: u32 },
    /// The final answer. `Served` and `Turned` have the bytes that the attempt just ended has brought.
    Answer { id: RequestId, answer: Final },
    /// The request's life is over: whatever was kept for it can go.
    Over { id: RequestId },
    /// A report for a planner.
    Report { planner: usize, report: Report },
    /// Something for the log.
    Notice(Notice),
}

/// What an operator wants to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Discovery answers again.
    ListBack { rev: u64 },
    /// Discovery does not; the old list stands.
    ListLost,
    /// The module panicked, and a new one has begun: so many requests end.
    ModulePanicked { ended: usize },
    /// The account of allowances panicked, and a new one has begun.
    AccountPanicked,
    /// An attempt told what can't be; it was ended.
    Attempt(lifecycle::Wrong),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::ListBack { rev } => write!(f, "discovery: back, version {rev}"),
            Notice::ListLost => write!(f, "discovery: lost; the old list stands"),
            Notice::ModulePanicked { ended } => {
                write!(f, "the module panicked: a new one begins, {ended} requests end")
            }
            Notice::AccountPanicked => write!(f, "the account of allowances panicked; a new one begins"),
            Notice::Attempt(wrong) => write!(f, "lifecycle: {wrong}"),
        }
    }
}

/// An input without a meaning in the present state. Nothing has changed.
pub type Error = lifecycle::Wrong;

/// Final answers, and clients that went without theirs (failed).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// What a gateway has done since it began, and how it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// By class, in the settings' order.
    pub calls: Vec<Calls>,
    /// Attempts whose last byte went out.
    pub attempts: u64,
    /// Servers in the list; those of them that get nothing new, by hand, by the list or by the module's choice.
    pub listed: usize,
    pub down: usize,
}

/// Counts since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered here because the module had not by the deadline; also in one of the others.
    pub overdue: u64,
    /// Calls to the module.
    pub batches: u64,
}
