//! Identifiers, terms and log positions shared by all modules.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A point in time or a duration in nanoseconds of the caller's monotonic clock.
pub type Time = u64;
/// An election term. The first term is 1.
pub type Term = u64;
/// An index into the replicated log. The first entry has index 1; 0 denotes the position before it.
pub type LogIndex = u64;
/// A set of voters: node name to disk id.
pub type VoterSet = BTreeMap<String, u64>;

pub(crate) const MS: Time = 1_000_000;

/// Identity of a node: its name, which is an address, and the id of its disk.
///
/// A node that lost its disk returns with a new disk id, so that it is not mistaken for the voter it was before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The node's address, which stays the same across restarts and disk losses.
    pub name: String,
    /// Random id, generated when the disk is first written.
    pub disk_id: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.name, self.disk_id as u32)
    }
}

/// Term and index of a log entry. The order is the one by which elections compare logs (3.6.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which a leader created the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Index and term of the entry that must precede the sent entries, for the consistency check of AppendEntries (3.5).
///
/// Encoded with the index first, unlike [`LogPosition`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreviousEntry {
    /// Index of the entry; 0 denotes the position before the first entry.
    pub index: LogIndex,
    /// Term in which a leader created the entry.
    pub term: Term,
}
