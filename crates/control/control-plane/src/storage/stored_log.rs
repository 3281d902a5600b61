//! Stored form of the log and the snapshot in the generation file: long byte slices are replaced by their digests.

use super::blobs::{Digest, Segment};
use consensus::{LogIndex, NodeId, Term, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Stored form of [`consensus::EntryPayload`]. Variants are stored under the names of store format 2.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoredPayload {
    #[serde(rename = "Nothing")]
    Noop,
    #[serde(rename = "Members")]
    Configuration(VoterSet),
    #[serde(rename = "Word")]
    Command(Vec<Segment>),
    /// The old and the new voters.
    #[serde(rename = "Joint")]
    JointConfiguration(VoterSet, VoterSet),
}

/// Stored form of [`consensus::Entry`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredEntry {
    pub term: Term,
    pub payload: StoredPayload,
}

impl StoredEntry {
    /// Returns the digests of the referenced values and blobs.
    pub fn references(&self) -> BTreeSet<Digest> {
        match &self.payload {
            StoredPayload::Command(segments) => references(segments),
            _ => BTreeSet::new(),
        }
    }
}

/// Stored form of [`consensus::Snapshot`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoredSnapshot {
    pub index: LogIndex,
    pub term: Term,
    pub voters: VoterSet,
    pub state: Vec<Segment>,
}

impl StoredSnapshot {
    /// Returns the digests of the referenced values and blobs.
    pub fn references(&self) -> BTreeSet<Digest> {
        references(&self.state)
    }
}

/// Stored form of [`consensus::Persist`].
pub enum StoredChange {
    HardState { term: Term, vote: Option<NodeId> },
    Entries { from: LogIndex, entries: Vec<StoredEntry> },
    Snapshot { snapshot: StoredSnapshot, replaces_log: bool },
}

impl StoredChange {
    /// Returns the digests of the referenced values and blobs.
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
