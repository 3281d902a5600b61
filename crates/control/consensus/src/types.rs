//! Identifiers and positions that every module uses.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;
/// An election term, from 1.
pub type Term = u64;
/// An index of the replicated log, from 1; 0 is before the first entry.
pub type LogIndex = u64;
/// Voters: the disk id of each, by name.
pub type VoterSet = BTreeMap<String, u64>;

pub(crate) const MS: Time = 1_000_000;

/// A node: its name, which is an address, and the id that its disk bears.
///
/// A disk that was lost comes back with another id, so that nobody takes the machine for the voter that it was.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The node's address, the same over all its lives.
    pub name: String,
    /// Drawn when the disk is first written to.
    pub disk_id: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.name, self.disk_id as u32)
    }
}

/// The term and index of an entry, ordered as elections compare logs (Ongaro's thesis, 3.6.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term in which the entry was appended.
    pub term: Term,
    /// Where it stands.
    pub index: LogIndex,
}

/// The entry that must precede what is sent, as the consistency check names it (Ongaro's thesis, 3.5).
///
/// It is stored and sent index first, unlike [`LogPosition`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreviousEntry {
    /// Where it stands; 0 is before the first entry.
    pub index: LogIndex,
    /// The term in which it was appended.
    pub term: Term,
}
