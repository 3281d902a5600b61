//! The log and the snapshot as the generation file holds them: long runs are replaced by their digests.

use super::blobs::{Digest, Segment};
use consensus::{LogIndex, NodeId, Term, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// [`consensus::EntryPayload`]. Variants are stored under the names of store format 2.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoredPayload {
    #[serde(rename = "Nothing")]
    Noop,
    #[serde(rename = "Members")]
    Configuration(VoterSet),
    #[serde(rename = "Word")]
    Command(Vec<Segment>),
    /// The old voters and the new ones.
    #[serde(rename = "Joint")]
    JointConfiguration(VoterSet, VoterSet),
}

/// [`consensus::Entry`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredEntry {
    pub term: Term,
    pub payload: StoredPayload,
}

impl StoredEntry {
    /// The values and blobs that it refers to.
    pub fn references(&self) -> BTreeSet<Digest> {
        match &self.payload {
            StoredPayload::Command(segments) => references(segments),
            _ => BTreeSet::new(),
        }
    }
}

/// [`consensus::Snapshot`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoredSnapshot {
    pub index: LogIndex,
    pub term: Term,
    pub voters: VoterSet,
    pub state: Vec<Segment>,
}

impl StoredSnapshot {
    /// The values and blobs that it refers to.
    pub fn references(&self) -> BTreeSet<Digest> {
        references(&self.state)
    }
}

/// [`consensus::Persist`].
pub enum StoredChange {
    HardState { term: Term, vote: Option<NodeId> },
    Entries { from: LogIndex, entries: Vec<StoredEntry> },
    Snapshot { snapshot: StoredSnapshot, replaces_log: bool },
}

impl StoredChange {
    /// The values and blobs that it refers to.
    pub fn references(&self) -> BTreeSet<Digest> {
        match self {
            StoredChange::HardState { .. } => BTreeSet::new(),
            StoredChange::Entries { entries, .. } => {
                entries.iter().flat_map(StoredEntry::references).collect()
            }
            StoredChange::Snapshot { snapshot, .. } => snapshot.references(),
        }
    }
}

fn references(segments: &[Segment]) -> BTreeSet<Digest> {
    let reference = |segment: &Segment| match segment {
        Segment::Value(digest) | Segment::Blob(digest) => Some(*digest),
        Segment::Inline(_) => None,
    };
    segments.iter().filter_map(reference).collect()
}
