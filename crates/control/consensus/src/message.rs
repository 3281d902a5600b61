//! Messages between nodes.
//!
//! The serialized variant names are those of message format 4, so that nodes of the previous version understand them.

use crate::entry::Entry;
use crate::types::{LogIndex, LogPosition, NodeId, PreviousEntry, Term, VoterSet};
use serde::{Deserialize, Serialize};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Recipient. A node with a different disk id ignores the message.
    pub to: NodeId,
    /// Term of the sender; for a pre-vote request, the term in which the sender would campaign.
    pub term: Term,
    /// Payload of the message.
    pub body: MessageBody,
}

/// Payload of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// RequestVote (3.4): a candidate requests a vote in the message's term.
    #[serde(rename = "Ask")]
    RequestVote {
        /// Pre-vote (9.6): only asks whether the vote would be granted.
        pre_vote: bool,
        /// The leader asked the candidate to campaign (3.10): voters that are in contact with the leader may
        /// vote too.
        leadership_transfer: bool,
        /// Term and index of the last entry of the candidate's log.
        last_entry: LogPosition,
    },
    /// Response to [`MessageBody::RequestVote`].
    #[serde(rename = "Vote")]
    VoteResponse {
        /// Whether it responds to a pre-vote request.
        pre_vote: bool,
        /// Whether the vote is granted; for a pre-vote, whether it would be.
        granted: bool,
    },
    /// AppendEntries (3.5): log entries from the leader, or none as a heartbeat.
    #[serde(rename = "Append")]
    AppendEntries {
        /// The entry that must precede the sent entries.
        previous: PreviousEntry,
        /// The entries, in index order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: LogIndex,
        /// Number of the heartbeat round, which the response repeats.
        round: u64,
    },
    /// The follower's log matches the leader's up to `match_index` and is persisted up to there.
    #[serde(rename = "Took")]
    AppendAccepted {
        /// Number of the heartbeat round that this responds to.
        round: u64,
        /// Last index known to match; 0 if the response only confirms contact.
        match_index: LogIndex,
    },
    /// The previous entry does not match, or the follower's storage is unhealthy.
    #[serde(rename = "Missed")]
    AppendRejected {
        /// Number of the heartbeat round that this responds to.
        round: u64,
        /// Index up to which the logs may match.
        hint: LogIndex,
    },
    /// A chunk of a snapshot or command that does not fit into one message.
    #[serde(rename = "Part")]
    Chunk {
        /// What the chunk is part of.
        content: TransferContent,
        /// Total size of the transfer in bytes.
        size: u64,
        /// Byte offset of the chunk within the transfer.
        offset: u64,
        /// Bytes of the chunk.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Number of the heartbeat round, which the response repeats.
        round: u64,
    },
    /// Acknowledges the contiguous bytes received so far of the transfer to `index`.
    #[serde(rename = "Got")]
    ChunkReceived {
        /// [`TransferContent::index`].
        index: LogIndex,
        /// Contiguous bytes received from the start of the transfer.
        received: u64,
        /// Number of the heartbeat round of the chunk that this responds to.
        round: u64,
    },
    /// To the leader: the sender, a voter, is shutting down and may be replaced by a waiting node.
    #[serde(rename = "Leave")]
    LeaveRequest,
    /// TimeoutNow (3.10): the leader asks a voter to campaign immediately.
    #[serde(rename = "Named")]
    TimeoutNow,
}

impl MessageBody {
    /// Returns whether the message carries the prospective term of a pre-vote, which recipients must not adopt.
    pub(crate) fn is_pre_vote(&self) -> bool {
        matches!(
            self,
            MessageBody::RequestVote { pre_vote: true, .. }
                | MessageBody::VoteResponse { pre_vote: true, granted: true }
        )
    }

    /// Returns whether only a leader sends this message.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            MessageBody::AppendEntries { .. } | MessageBody::Chunk { .. } | MessageBody::TimeoutNow
        )
    }
}

/// Content of a transfer in chunks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransferContent {
    /// A snapshot, in place of entries that the leader has already compacted.
    Snapshot {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// Term of the last entry that the snapshot includes.
        term: Term,
        /// The voters in effect at that index.
        voters: VoterSet,
    },
    /// The command of the entry after `previous`.
    #[serde(rename = "Word")]
    Entry {
        /// The entry that must precede it in the log.
        previous: PreviousEntry,
        /// Term of the entry.
        term: Term,
    },
}

impl TransferContent {
    /// Returns the log index that the follower reaches when the transfer completes.
    pub fn index(&self) -> LogIndex {
        match self {
            TransferContent::Snapshot { index, .. } => *index,
            TransferContent::Entry { previous, .. } => previous.index + 1,
        }
    }
}
