//! What goes in and out of a [`crate::Core`], and what is on its disk, in plain values.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;
/// A term of the duty's holder, from 1.
pub type Term = u64;
/// A place in the agreed log, from 1; 0 is before it.
pub type LogIndex = u64;

/// Who takes part: a name, which is an address, and the id that its disk bears. A disk that was lost comes back with
/// another id, so that nobody takes the machine for the voter that it was.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    pub name: String,
    pub disk_id: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.name, self.disk_id as u32)
    }
}

/// The voters: by name the id of the disk.
pub type VoterSet = BTreeMap<String, u64>;

/// What an entry of the log says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A new holder's first.
    #[serde(rename = "Nothing")]
    Noop,
    /// From here on these are the voters.
    #[serde(rename = "Members")]
    Configuration(VoterSet),
    /// Of no concern to the agreement.
    #[serde(rename = "Word")]
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// From here on a majority of each of these is wanted; [`Said::Members`] of the new ones ends it (joint consensus).
    #[serde(rename = "Joint")]
    JointConfiguration { old: VoterSet, new: VoterSet },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub payload: EntryPayload,
}

/// The state up to a place, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: LogIndex,
    pub term: Term,
    pub voters: VoterSet,
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// What is on a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    pub term: Term,
    /// Whom it voted for in this term.
    pub vote: Option<NodeId>,
    pub snapshot: Snapshot,
    /// From the place behind the snapshot on.
    pub entries: Vec<Entry>,
    /// How far the log was known to be agreed on: this may be old, for nothing waits for it to be saved.
    pub commit_index: LogIndex,
}

/// What must be on the disk before whatever stands behind it among the outputs is carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    HardState {
        term: Term,
        vote: Option<NodeId>,
    },
    /// From this place on the log is these entries, and nothing behind them.
    Entries {
        from: LogIndex,
        entries: Vec<Entry>,
    },
    /// The log up to the snapshot's place is not wanted any more; with `whole` nothing behind it either.
    Snapshot {
        snapshot: Snapshot,
        replaces_log: bool,
    },
}

/// A message from one who takes part to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    pub from: NodeId,
    pub to: NodeId,
    pub term: Term,
    pub body: MessageBody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for a vote in the term; `trial`: whether it would be given. `named`: the holder wants it so.
    #[serde(rename = "Ask")]
    RequestVote { pre_vote: bool, leadership_transfer: bool, last_entry: (Term, LogIndex) },
    #[serde(rename = "Vote")]
    VoteResponse { pre_vote: bool, granted: bool },
    /// The holder: entries behind `before`, which must match; how far the log is agreed; the round's number.
    #[serde(rename = "Append")]
    AppendEntries { previous: (LogIndex, Term), entries: Vec<Entry>, commit_index: LogIndex, round: u64 },
    /// Its log is the holder's up to there.
    #[serde(rename = "Took")]
    AppendAccepted { round: u64, match_index: LogIndex },
    /// `before` does not match; try behind this place.
    #[serde(rename = "Missed")]
    AppendRejected { round: u64, hint: LogIndex },
    /// The holder: bytes from `at` on of something that does not go into one message, `size` bytes in all.
    #[serde(rename = "Part")]
    Chunk {
        content: TransferContent,
        size: u64,
        offset: u64,
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        round: u64,
    },
    /// It has so many bytes from the start on of what stands at this place.
    #[serde(rename = "Got")]
    ChunkReceived { index: LogIndex, received: u64, round: u64 },
    /// To the holder: this process is told to end; its vote is for another, if one waits.
    #[serde(rename = "Leave")]
    LeaveRequest,
    /// The holder: take over.
    #[serde(rename = "Named")]
    TimeoutNow,
}

/// What is sent in parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransferContent {
    /// In place of entries that the holder has no more: the state up to this place.
    Snapshot { index: LogIndex, term: Term, voters: VoterSet },
    /// The word of the entry of this term behind `before`, which must match.
    #[serde(rename = "Word")]
    Entry { previous: (LogIndex, Term), term: Term },
}

impl TransferContent {
    /// Where it stands in the log.
    pub fn index(&self) -> LogIndex {
        match self {
            TransferContent::Snapshot { index: place, .. } => *place,
            TransferContent::Entry { previous: before, .. } => before.0 + 1,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    Message(Message),
    /// Asked for here: this is to be agreed on.
    Propose {
        tag: u64,
        command: Vec<u8>,
    },
    /// Asked for here: what is agreed on by now is to be known.
    ReadIndex {
        tag: u64,
    },
    /// Somebody of this id is there. Without a vote it is told all that is agreed on, and asked for nothing.
    Join {
        id: NodeId,
        wants_vote: bool,
    },
    /// The first start: these are the voters. Whoever has a log or a term does nothing. All who are told so are told the same
    /// ([`crate::Founding`]).
    Bootstrap {
        voters: VoterSet,
    },
    /// This process is to end, for a moment or for good: its duty is for another, and its vote too if one waits for it.
    Shutdown,
    /// Whether what is to be saved comes to the disk, as it does at first. While it does not, this one leads no more, stands for
    /// nothing, votes for nobody and says of nothing that it has it; it goes on taking in what is agreed on. What it gave to
    /// be saved meanwhile need not be: with `works` the disk holds [`crate::Core::stored`] as it is.
    StorageHealth {
        healthy: bool,
    },
    /// Time has passed.
    Tick,
}

/// What to do about it, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Persist(Persist),
    Send(Message),
    /// What was proposed stands at this place, not agreed on yet; if the place is another's in the end, it never is.
    Proposed {
        tag: u64,
        index: LogIndex,
        term: Term,
    },
    /// This is agreed on.
    Apply {
        index: LogIndex,
        term: Term,
        command: Vec<u8>,
    },
    /// The agreed state is this, whatever was applied before.
    InstallSnapshot {
        index: LogIndex,
        state: Vec<u8>,
    },
    /// All that was agreed on when the read was asked for has been applied.
    ReadReady {
        tag: u64,
    },
    /// It does not hold the duty, or no more: nothing is known of what was asked for.
    NotLeader {
        tag: u64,
    },
}
