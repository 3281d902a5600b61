//! Entries of the replicated log, and the snapshot that stands in place of its beginning.

use crate::types::{LogIndex, Term, VoterSet};
use serde::{Deserialize, Serialize};

/// What an entry of the log holds.
///
/// Variants are stored and sent under the names of form 2 of the store and form 4 of the messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader.
    #[serde(rename = "Nothing")]
    Noop,
    /// These are the voters from here on.
    #[serde(rename = "Members")]
    Configuration(VoterSet),
    /// A command of the replicated state machine, opaque here.
    #[serde(rename = "Word")]
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// From here on a majority of each set is needed; [`EntryPayload::Configuration`] of the new one ends that (joint
    /// consensus, Ongaro's thesis, 4.3).
    #[serde(rename = "Joint")]
    JointConfiguration {
        /// The voters so far.
        old: VoterSet,
        /// The voters to come.
        new: VoterSet,
    },
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which a leader appended it.
    pub term: Term,
    /// What it holds.
    pub payload: EntryPayload,
}

impl Entry {
    /// About how many bytes it takes in a message.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD: usize = 16;
        const BYTES_A_VOTER: usize = 32;
        OVERHEAD
            + match &self.payload {
                EntryPayload::Command(command) => command.len(),
                EntryPayload::Configuration(voters) => BYTES_A_VOTER * voters.len(),
                EntryPayload::JointConfiguration { old, new } => BYTES_A_VOTER * (old.len() + new.len()),
                EntryPayload::Noop => 0,
            }
    }

    /// Whether it holds a command: only these are sent in chunks.
    pub(crate) fn is_command(&self) -> bool {
        matches!(self.payload, EntryPayload::Command(_))
    }
}

/// The state up to an index, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that it covers.
    pub index: LogIndex,
    /// The term of the entry there.
    pub term: Term,
    /// The voters as of that index.
    pub voters: VoterSet,
    /// The replicated state, opaque here.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
