//! Messages between nodes.
//!
//! Variants are sent under the names of message form 4, so that a node of the version before understands them.

use crate::entry::Entry;
use crate::types::{LogIndex, LogPosition, NodeId, PreviousEntry, Term, VoterSet};
use serde::{Deserialize, Serialize};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: NodeId,
    /// Whom it is for; a node whose disk id differs ignores it.
    pub to: NodeId,
    /// The sender's term; of a pre-vote, the term that would be campaigned in.
    pub term: Term,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A candidate asks for a vote in the message's term.
    #[serde(rename = "Ask")]
    RequestVote {
        /// It only asks whether the vote would be granted (Ongaro's thesis, 9.6).
        pre_vote: bool,
        /// The leader asked it to campaign, so that followers need not have lost the leader (3.10).
        leadership_transfer: bool,
        /// The last entry of the candidate's log.
        last_entry: LogPosition,
    },
    /// The answer to [`MessageBody::RequestVote`].
    #[serde(rename = "Vote")]
    VoteResponse {
        /// It answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted, or would be.
        granted: bool,
    },
    /// The leader's entries; none as a heartbeat.
    #[serde(rename = "Append")]
    AppendEntries {
        /// The entry that must precede them.
        previous: PreviousEntry,
        /// In order of their indexes.
        entries: Vec<Entry>,
        /// How far the log is committed.
        commit_index: LogIndex,
        /// The heartbeat round, which the answer repeats.
        round: u64,
    },
    /// The follower's log is the leader's up to `match_index`, and on its disk.
    #[serde(rename = "Took")]
    AppendAccepted {
        /// Of the heartbeat that it answers.
        round: u64,
        /// The last index that is known to match; 0 if the answer only proves contact.
        match_index: LogIndex,
    },
    /// The previous entry does not match, or the follower's storage does not save.
    #[serde(rename = "Missed")]
    AppendRejected {
        /// Of the heartbeat that it answers.
        round: u64,
        /// Where the logs may match.
        hint: LogIndex,
    },
    /// A chunk of something that does not fit into one message.
    #[serde(rename = "Part")]
    Chunk {
        /// What it belongs to.
        content: TransferContent,
        /// Bytes of the whole.
        size: u64,
        /// Where in the whole the chunk begins.
        offset: u64,
        /// The chunk.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// The heartbeat round, which the answer repeats.
        round: u64,
    },
    /// So many bytes of the transfer to `index` have arrived, from its start on.
    #[serde(rename = "Got")]
    ChunkReceived {
        /// [`TransferContent::index`].
        index: LogIndex,
        /// Bytes from the start on.
        received: u64,
        /// Of the chunk that it answers.
        round: u64,
    },
    /// To the leader: this voter shuts down, and gives its place to another that waits for one.
    #[serde(rename = "Leave")]
    LeaveRequest,
    /// The leader asks this voter to campaign at once (Ongaro's thesis, 3.10).
    #[serde(rename = "Named")]
    TimeoutNow,
}

impl MessageBody {
    /// Whether the message's term is one that is only campaigned for so far, so that nobody adopts it.
    pub(crate) fn is_pre_vote(&self) -> bool {
        matches!(
            self,
            MessageBody::RequestVote { pre_vote: true, .. }
                | MessageBody::VoteResponse { pre_vote: true, granted: true }
        )
    }

    /// Whether only a leader sends it.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            MessageBody::AppendEntries { .. } | MessageBody::Chunk { .. } | MessageBody::TimeoutNow
        )
    }
}

/// What is sent in chunks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransferContent {
    /// The state up to an index, in place of entries that the leader does not have any more.
    Snapshot {
        /// The last index that it covers.
        index: LogIndex,
        /// The term of the entry there.
        term: Term,
        /// The voters as of that index.
        voters: VoterSet,
    },
    /// The command of the entry behind `previous`.
    #[serde(rename = "Word")]
    Entry {
        /// The entry that must precede it.
        previous: PreviousEntry,
        /// The entry's term.
        term: Term,
    },
}

impl TransferContent {
    /// The index that the follower's log reaches once all of it has arrived.
    pub fn index(&self) -> LogIndex {
        match self {
            TransferContent::Snapshot { index, .. } => *index,
            TransferContent::Entry { previous, .. } => previous.index + 1,
        }
    }
}
