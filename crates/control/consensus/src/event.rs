//! What goes into a [`crate::RaftNode`], what comes out of it, and what is on its disk.

use crate::entry::{Entry, Snapshot};
use crate::message::Message;
use crate::types::{LogIndex, NodeId, Term, VoterSet};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Another node's message.
    Message(Message),
    /// A local caller wants this committed.
    Propose {
        /// Repeated in [`Output::Proposed`] or [`Output::NotLeader`].
        tag: u64,
        /// Opaque here.
        command: Vec<u8>,
    },
    /// A local caller wants to read a state that holds all that is committed by now (Ongaro's thesis, 6.4).
    ReadIndex {
        /// Repeated in [`Output::ReadReady`] or [`Output::NotLeader`].
        tag: u64,
    },
    /// This node is there and is no voter: it is replicated to as a learner.
    Join {
        /// Who it is.
        id: NodeId,
        /// It has a disk, and may be given a voter's place.
        wants_vote: bool,
    },
    /// The first start of all: these are the voters. A node with a log ignores it. All are told the same set
    /// ([`crate::Bootstrap`]).
    Bootstrap {
        /// The first voters.
        voters: VoterSet,
    },
    /// This process is to end, for a moment or for good: leadership goes to another node, and so does its voter's place if
    /// one waits for it.
    Shutdown,
    /// Whether what is to be persisted reaches the disk, as it does at first.
    ///
    /// While it does not, this node does not lead, campaign, vote, or acknowledge entries; it goes on applying what is
    /// committed. What it wanted persisted meanwhile need not be: with `healthy` the disk holds
    /// [`crate::RaftNode::persisted_state`] as it is.
    StorageHealth {
        /// Whether it does.
        healthy: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Must be durable before any output behind it is carried out.
    Persist(Persist),
    /// Send a message; it may be lost.
    Send(Message),
    /// The proposal of this tag was appended, and is not committed yet. If another entry is committed at its index, it
    /// never will be.
    Proposed {
        /// [`Input::Propose`]'s.
        tag: u64,
        /// Where it stands.
        index: LogIndex,
        /// The leader's term.
        term: Term,
    },
    /// This command is committed.
    Apply {
        /// Where it stands.
        index: LogIndex,
        /// The term in which it was appended.
        term: Term,
        /// Opaque here.
        command: Vec<u8>,
    },
    /// The replicated state is this, whatever was applied before.
    InstallSnapshot {
        /// The last index that it covers.
        index: LogIndex,
        /// Opaque here.
        state: Vec<u8>,
    },
    /// All that was committed when the read was asked for has been applied.
    ReadReady {
        /// [`Input::ReadIndex`]'s.
        tag: u64,
    },
    /// This node does not lead, or leads no more: what becomes of the proposal or read is unknown.
    NotLeader {
        /// The proposal's or the read's.
        tag: u64,
    },
}

/// A change of what is on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// The term and the vote in it.
    HardState {
        /// The current term.
        term: Term,
        /// Whom this node voted for in it.
        vote: Option<NodeId>,
    },
    /// The log holds these entries from an index on, and nothing behind them.
    Entries {
        /// Index of the first.
        from: LogIndex,
        /// In order of their indexes.
        entries: Vec<Entry>,
    },
    /// The log up to the snapshot's index is obsolete.
    Snapshot {
        /// What stands in its place.
        snapshot: Snapshot,
        /// The log behind that index is obsolete, too.
        replaces_log: bool,
    },
}

/// All that is on a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    /// The current term.
    pub term: Term,
    /// Whom this node voted for in it.
    pub vote: Option<NodeId>,
    /// In place of the log up to its index.
    pub snapshot: Snapshot,
    /// From the index behind the snapshot on.
    pub entries: Vec<Entry>,
    /// How far the log was known to be committed; it may be old, since nothing waits for it to be saved.
    pub commit_index: LogIndex,
}
