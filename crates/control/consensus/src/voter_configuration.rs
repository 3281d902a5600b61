//! Voter configurations, simple or joint, and their quorums.
//!
//! A change takes two log entries (joint consensus, 4.3). While the first is in effect, every decision needs
//! a majority of the old and a majority of the new voters, so that no two disjoint majorities exist, whatever
//! the change is.

use crate::entry::EntryPayload;
use crate::types::{NodeId, VoterSet};
use std::collections::BTreeSet;

/// One set of voters, or two during joint consensus.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoterConfiguration {
    current: VoterSet,
    next: Option<VoterSet>,
}

impl VoterConfiguration {
    /// Returns a configuration of one set, outside of joint consensus.
    pub fn simple(voters: VoterSet) -> Self {
        VoterConfiguration { current: voters, next: None }
    }

    /// Returns the configuration that an entry contains, if any.
    pub fn from_payload(payload: &EntryPayload) -> Option<Self> {
        match payload {
            EntryPayload::Configuration(voters) => Some(VoterConfiguration::simple(voters.clone())),
            EntryPayload::JointConfiguration { old, new } => {
                Some(VoterConfiguration { current: old.clone(), next: Some(new.clone()) })
            }
            EntryPayload::Noop | EntryPayload::Command(_) => None,
        }
    }

    /// Returns the voters; during joint consensus, the new ones.
    pub fn target(&self) -> &VoterSet {
        self.next.as_ref().unwrap_or(&self.current)
    }

    /// Returns whether joint consensus is in effect.
    pub fn is_joint(&self) -> bool {
        self.next.is_some()
    }

    fn sets(&self) -> impl Iterator<Item = &VoterSet> {
        std::iter::once(&self.current).chain(&self.next)
    }

    /// Returns whether a node is a voter in either set.
    pub fn contains(&self, id: &NodeId) -> bool {
        self.sets().any(|set| set.get(&id.name) == Some(&id.disk_id))
    }

    /// Returns the ids of the voters of both sets.
    pub fn ids(&self) -> BTreeSet<NodeId> {
        self.sets().flat_map(node_ids).collect()
    }

    /// Returns whether these nodes include a majority of each set.
    pub fn has_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        self.sets().all(|set| 2 * node_ids(set).filter(|id| nodes.contains(id)).count() > set.len())
    }

    /// Returns the greatest value that a majority of each set has reached, or `None` if a set is empty.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&NodeId) -> T) -> Option<T> {
        let reached_by_majority = |set: &VoterSet| {
            let mut values: Vec<T> = node_ids(set).map(|id| value(&id)).collect();
            values.sort_unstable();
            values.get(values.len().checked_sub(1)? / 2).copied()
        };
        self.sets().map(reached_by_majority).min().flatten()
    }
}

/// Returns the ids of a set's voters, ordered by name.
pub(crate) fn node_ids(set: &VoterSet) -> impl Iterator<Item = NodeId> + '_ {
    set.iter().map(|(name, disk_id)| NodeId { name: name.clone(), disk_id: *disk_id })
}
