//! Who votes, and the rule by which that changes. No I/O and no clock: who is heard is told.
//!
//! A change goes by two entries (joint consensus, Ongaro's thesis, 4.3): while the first stands, a majority of the old and
//! one of the new voters is wanted for everything, so that no two majorities can miss each other, whatever the change is.

use crate::words::{EntryPayload, NodeId, VoterSet};
use std::collections::BTreeSet;

/// Those whose majority counts; while they change, a majority of each set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoterConfiguration {
    current: VoterSet,
    next: Option<VoterSet>,
}

impl VoterConfiguration {
    pub fn simple(members: VoterSet) -> Self {
        VoterConfiguration { current: members, next: None }
    }

    /// What an entry tells of them, if it does.
    pub fn from_payload(said: &EntryPayload) -> Option<Self> {
        match said {
            EntryPayload::Configuration(members) => Some(VoterConfiguration::simple(members.clone())),
            EntryPayload::JointConfiguration { old, new } => {
                Some(VoterConfiguration { current: old.clone(), next: Some(new.clone()) })
            }
            EntryPayload::Noop | EntryPayload::Command(_) => None,
        }
    }

    /// The voters; while they change, those that are to be.
    pub fn target(&self) -> &VoterSet {
        self.next.as_ref().unwrap_or(&self.current)
    }

    pub fn is_joint(&self) -> bool {
        self.next.is_some()
    }

    fn sets(&self) -> impl Iterator<Item = &VoterSet> {
        std::iter::once(&self.current).chain(&self.next)
    }

    pub fn contains(&self, id: &NodeId) -> bool {
        self.sets().any(|set| set.get(&id.name) == Some(&id.disk_id))
    }

    pub fn ids(&self) -> BTreeSet<NodeId> {
        self.sets().flat_map(ids).collect()
    }

    /// Whether these are a majority (of each set).
    pub fn has_quorum(&self, given: &BTreeSet<NodeId>) -> bool {
        self.sets().all(|set| 2 * ids(set).filter(|id| given.contains(id)).count() > set.len())
    }

    /// The greatest value that a majority (of each set) has reached.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&NodeId) -> T) -> Option<T> {
        let by_majority = |set: &VoterSet| {
            let mut values: Vec<T> = ids(set).map(|id| value(&id)).collect();
            values.sort_unstable();
            values.get(values.len().checked_sub(1)? / 2).copied()
        };
        self.sets().map(by_majority).min().flatten()
    }
}

fn ids(set: &VoterSet) -> impl Iterator<Item = NodeId> + '_ {
    set.iter().map(|(name, disk)| NodeId { name: name.clone(), disk_id: *disk })
}

/// How many may be lost of so many, if all are there.
fn tolerated_losses(count: usize) -> usize {
    count.saturating_sub(1) / 2
}

/// How a voter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// It has not answered this leader yet, who has just begun.
    New,
    /// It answers.
    Responding,
    /// It was told to end, or has not answered for a moment: its place is for the same machine with another disk, or, if it
    /// was told to end, for any other that waits.
    Unresponsive,
    Leaving,
    /// It has not answered for long.
    Failed,
}

/// Who should vote instead, if that is better: all who wait have caught up, answer, and want a vote.
///
/// As many losses are borne with the new set as with the old when all are there, and more as things stand. So the set
/// never gets smaller, but from an even number by one that is gone, which bears as many; and nobody is taken out because it is
/// unheard alone: another takes its place.
pub(crate) fn improved_voter_set(
    members: &VoterSet,
    waiting: &VoterSet,
    health: impl Fn(&NodeId) -> Health,
) -> Option<VoterSet> {
    let mut new = members.clone();
    let mut waiting = waiting.clone();
    // Another disk under an old name, and no other name's place for it.
    waiting.retain(|name, disk| match members.get(name) {
        Some(old) => {
            if health(&NodeId { name: name.clone(), disk_id: *old }) > Health::Responding {
                new.insert(name.clone(), *disk);
            }
            false
        }
        None => true,
    });
    let kept = |id: &NodeId, new: &VoterSet| new.get(&id.name) == Some(&id.disk_id);
    let lost: Vec<(Health, NodeId)> = ids(members).map(|id| (health(&id), id)).collect();
    let mut lost: Vec<_> =
        lost.into_iter().filter(|(h, id)| *h >= Health::Leaving && kept(id, &new)).collect();
    lost.sort();
    while let Some((name, disk)) = (!lost.is_empty()).then(|| waiting.pop_first()).flatten() {
        if let Some((_, id)) = lost.pop() {
            new.remove(&id.name);
            new.insert(name, disk);
        }
    }
    if new.len().is_multiple_of(2) {
        match lost.iter().rposition(|(h, _)| *h == Health::Failed) {
            Some(at) if new.len() > 2 => {
                new.remove(&lost.remove(at).1.name);
            }
            _ => new.extend(waiting.pop_first()),
        }
    }
    // While one is silent, whoever waits may be wanted in its place.
    let all_there = ids(members).all(|id| health(&id) == Health::Responding);
    while all_there && waiting.len() > 1 {
        new.extend(waiting.pop_first());
        new.extend(waiting.pop_first());
    }
    let there = |set: &VoterSet| {
        let was = |id: &NodeId| members.get(&id.name) == Some(&id.disk_id);
        let there = ids(set).filter(|id| !was(id) || health(id) <= Health::Responding).count();
        there as isize - (set.len() / 2 + 1) as isize
    };
    (tolerated_losses(new.len()) >= tolerated_losses(members.len()) && there(&new) > there(members))
        .then_some(new)
}
