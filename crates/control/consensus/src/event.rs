//! Inputs and outputs of a [`crate::RaftNode`], and its persisted state.

use crate::entry::{Entry, Snapshot};
use crate::message::Message;
use crate::types::{LogIndex, NodeId, Term, VoterSet};

/// An event for a [`crate::RaftNode`] to handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message from another node.
    Message(Message),
    /// Proposes a command on behalf of a local caller.
    Propose {
        /// Identifies the proposal in [`Output::Proposed`] or [`Output::NotLeader`].
        tag: u64,
        /// The command, opaque to this crate.
        command: Vec<u8>,
    },
    /// Requests a linearizable read on behalf of a local caller: the state read must include everything committed
    /// so far (6.4).
    ReadIndex {
        /// Identifies the read in [`Output::ReadReady`] or [`Output::NotLeader`].
        tag: u64,
    },
    /// Join request of a node. A node that is not a voter is added as a learner.
    Join {
        /// Identity of the joining node.
        id: NodeId,
        /// Whether the node may become a voter; it has a disk then.
        wants_vote: bool,
    },
    /// Initializes the log at the first start of the cluster. Every node receives the same set, chosen by
    /// [`crate::Bootstrap`]. Ignored if the node already has a log.
    Bootstrap {
        /// The initial voters.
        voters: VoterSet,
    },
    /// This process is about to exit, for a restart or permanently. A leader transfers leadership, and a voter is
    /// replaced if another node waits to become one.
    Shutdown,
    /// Reports whether writes reach the disk. Storage is assumed to be healthy at first.
    ///
    /// While storage is unhealthy, the node does not lead, campaign, vote, or acknowledge entries, but continues to
    /// apply committed entries. The caller may skip [`Output::Persist`] meanwhile: before it reports `healthy`, it
    /// saves all of [`crate::RaftNode::persisted_state`].
    StorageHealth {
        /// Whether writes reach the disk.
        healthy: bool,
    },
    /// Time has passed; see [`crate::RaftNode::next_due`].
    Tick,
}

/// An action for the caller. Outputs are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Persist a change. It must be durable before any later output is carried out.
    Persist(Persist),
    /// Send a message. Messages may be lost.
    Send(Message),
    /// The proposal was appended to the leader's log but is not committed yet. If a different entry is committed at
    /// this index, the proposal will never be committed.
    Proposed {
        /// Tag of the [`Input::Propose`].
        tag: u64,
        /// Index of the entry.
        index: LogIndex,
        /// Term of the leader.
        term: Term,
    },
    /// Apply a committed command to the state machine.
    Apply {
        /// Index of the entry.
        index: LogIndex,
        /// Term in which a leader created the entry.
        term: Term,
        /// The command, opaque to this crate.
        command: Vec<u8>,
    },
    /// Replace the state machine's state by that of a snapshot, whatever was applied before.
    InstallSnapshot {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// The replicated state, opaque to this crate.
        state: Vec<u8>,
    },
    /// Everything committed at the time of the read request has been applied.
    ReadReady {
        /// Tag of the [`Input::ReadIndex`].
        tag: u64,
    },
    /// This node does not lead, no longer leads, or is transferring leadership. The proposal was not appended, or the
    /// read was not confirmed.
    NotLeader {
        /// Tag of the proposal or read.
        tag: u64,
    },
}

/// A change to the persisted state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// The current term and the vote cast in it.
    HardState {
        /// Current term.
        term: Term,
        /// Candidate that received this node's vote in the current term.
        vote: Option<NodeId>,
    },
    /// Replaces the log from an index on by these entries.
    Entries {
        /// Index of the first entry.
        from: LogIndex,
        /// The entries, in index order.
        entries: Vec<Entry>,
    },
    /// Replaces the log up to the snapshot's index.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the entries after that index are discarded too.
        replaces_log: bool,
    },
}

/// The complete persisted state of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    /// Current term.
    pub term: Term,
    /// Candidate that received this node's vote in the current term.
    pub vote: Option<NodeId>,
    /// Latest snapshot, which replaces the log up to its index.
    pub snapshot: Snapshot,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Last known commit index. It may be stale, since no output waits until it is saved.
    pub commit_index: LogIndex,
}
