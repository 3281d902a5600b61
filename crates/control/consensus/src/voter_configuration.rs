//! Which voters make up a majority, also while they are being changed.
//!
//! A change takes two entries (joint consensus, Ongaro's thesis, 4.3): while the first is in effect, every decision needs a
//! majority of the old and one of the new voters, so that no two disjoint majorities exist, whatever the change is.

use crate::entry::EntryPayload;
use crate::types::{NodeId, VoterSet};
use std::collections::BTreeSet;

/// One set of voters, or two during a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoterConfiguration {
    current: VoterSet,
    next: Option<VoterSet>,
}

impl VoterConfiguration {
    /// One set, not being changed.
    pub fn simple(voters: VoterSet) -> Self {
        VoterConfiguration { current: voters, next: None }
    }

    /// The voters that an entry names, if it names any.
    pub fn from_payload(payload: &EntryPayload) -> Option<Self> {
        match payload {
            EntryPayload::Configuration(voters) => Some(VoterConfiguration::simple(voters.clone())),
            EntryPayload::JointConfiguration { old, new } => {
                Some(VoterConfiguration { current: old.clone(), next: Some(new.clone()) })
            }
            EntryPayload::Noop | EntryPayload::Command(_) => None,
        }
    }

    /// The voters; during a change, those to come.
    pub fn target(&self) -> &VoterSet {
        self.next.as_ref().unwrap_or(&self.current)
    }

    /// Whether the voters are being changed.
    pub fn is_joint(&self) -> bool {
        self.next.is_some()
    }

    fn sets(&self) -> impl Iterator<Item = &VoterSet> {
        std::iter::once(&self.current).chain(&self.next)
    }

    /// Whether a node is a voter of either set.
    pub fn contains(&self, id: &NodeId) -> bool {
        self.sets().any(|set| set.get(&id.name) == Some(&id.disk_id))
    }

    /// All voters of either set.
    pub fn ids(&self) -> BTreeSet<NodeId> {
        self.sets().flat_map(node_ids).collect()
    }

    /// Whether these nodes are a majority of each set.
    pub fn has_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        self.sets().all(|set| 2 * node_ids(set).filter(|id| nodes.contains(id)).count() > set.len())
    }

    /// The greatest value that a majority of each set has reached.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&NodeId) -> T) -> Option<T> {
        let reached_by_majority = |set: &VoterSet| {
            let mut values: Vec<T> = node_ids(set).map(|id| value(&id)).collect();
            values.sort_unstable();
            values.get(values.len().checked_sub(1)? / 2).copied()
        };
        self.sets().map(reached_by_majority).min().flatten()
    }
}

/// The ids of a set's voters, in the order of their names.
pub(crate) fn node_ids(set: &VoterSet) -> impl Iterator<Item = NodeId> + '_ {
    set.iter().map(|(name, disk_id)| NodeId { name: name.clone(), disk_id: *disk_id })
}
