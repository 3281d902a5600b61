//! Entries of the replicated log, and the snapshot that replaces its compacted prefix.

use crate::types::{LogIndex, Term, VoterSet};
use serde::{Deserialize, Serialize};

/// Payload of a log entry.
///
/// The serialized variant names are those of store format 2 and message format 4.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The empty entry that a new leader appends first.
    #[serde(rename = "Nothing")]
    Noop,
    /// The voters from this entry on.
    #[serde(rename = "Members")]
    Configuration(VoterSet),
    /// A command for the replicated state machine, opaque to this crate.
    #[serde(rename = "Word")]
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Starts joint consensus (4.3): from this entry on, decisions need a majority of both sets, until an
    /// [`EntryPayload::Configuration`] with the new set follows.
    #[serde(rename = "Joint")]
    JointConfiguration {
        /// The voters before the change.
        old: VoterSet,
        /// The voters after the change.
        new: VoterSet,
    },
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term in which a leader created the entry.
    pub term: Term,
    /// Payload of the entry.
    pub payload: EntryPayload,
}

impl Entry {
    /// Returns the approximate size of the entry in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        const BYTES_PER_VOTER: usize = 32;
        OVERHEAD_BYTES
            + match &self.payload {
                EntryPayload::Command(command) => command.len(),
                EntryPayload::Configuration(voters) => BYTES_PER_VOTER * voters.len(),
                EntryPayload::JointConfiguration { old, new } => BYTES_PER_VOTER * (old.len() + new.len()),
                EntryPayload::Noop => 0,
            }
    }

    /// Returns whether the entry holds a command. Only commands are sent in chunks.
    pub(crate) fn is_command(&self) -> bool {
        matches!(self.payload, EntryPayload::Command(_))
    }
}

/// A snapshot of the replicated state, which replaces the log up to its index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of the last entry that the snapshot includes.
    pub term: Term,
    /// The voters in effect at that index.
    pub voters: VoterSet,
    /// The replicated state, opaque to this crate.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
