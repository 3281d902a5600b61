//! Selects the voters from their health as observed by the leader. Pure functions without I/O and without a clock.

use crate::types::{NodeId, VoterSet};
use crate::voter_configuration::node_ids;

/// Health of a voter as observed by the leader, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// It has not responded to this leader yet, which was elected recently.
    New,
    /// It responds.
    Responding,
    /// It has not responded for a short time: only the same node with a new disk may replace it.
    Unresponsive,
    /// It is shutting down: any waiting node may replace it.
    Leaving,
    /// It has not responded for a long time: any waiting node may replace it.
    Failed,
}

/// Number of voters below which no set is shrunk: the smallest set that tolerates a failure.
const MIN_SHRUNK_VOTERS: usize = 3;

/// Returns the number of failures that a set of this many voters tolerates when all of them are up.
fn tolerated_failures(voters: usize) -> usize {
    voters.saturating_sub(1) / 2
}

/// Returns a better set of voters to replace `voters`, if there is one. All nodes in `waiting` have caught
/// up, respond, and want to vote.
///
/// The new set tolerates more failures at present than the old one. When all voters are up, it tolerates at least as
/// many, unless voters are gone that no node replaces: then it shrinks by two of them, down to `min_voters`. `None`:
/// it never does. Two of five that are gone leave no failure to tolerate; without them, three voters tolerate one. They
/// become voters again when both are back. A single voter that does not respond is never removed from an odd set: the
/// rest would tolerate no more failures without it.
pub(crate) fn improved_voter_set(
    voters: &VoterSet,
    waiting: &VoterSet,
    min_voters: Option<usize>,
    health: impl Fn(&NodeId) -> Health,
) -> Option<VoterSet> {
    let mut new_voters = voters.clone();
    let mut waiting = replace_lost_disks(&mut new_voters, waiting, &health);
    let mut replaceable: Vec<(Health, NodeId)> = node_ids(voters)
        .map(|id| (health(&id), id))
        .filter(|(health, id)| *health >= Health::Leaving && new_voters.get(&id.name) == Some(&id.disk_id))
        .collect();
    replaceable.sort();
    while let Some((name, disk_id)) = (!replaceable.is_empty()).then(|| waiting.pop_first()).flatten() {
        if let Some((_, least_healthy)) = replaceable.pop() {
            new_voters.remove(&least_healthy.name);
            new_voters.insert(name, disk_id);
        }
    }
    if new_voters.len().is_multiple_of(2) {
        make_odd(&mut new_voters, &mut waiting, &mut replaceable);
    }
    let pairs_removed = min_voters.map_or(0, |min| remove_pairs(&mut new_voters, &mut replaceable, min));
    // While a voter does not respond, a waiting node may be needed to replace it.
    let all_respond = node_ids(voters).all(|id| health(&id) == Health::Responding);
    while all_respond && waiting.len() > 1 {
        new_voters.extend(waiting.pop_first());
        new_voters.extend(waiting.pop_first());
    }
    let spare_responding = |set: &VoterSet| {
        let is_new = |id: &NodeId| voters.get(&id.name) != Some(&id.disk_id);
        let responding = node_ids(set).filter(|id| is_new(id) || health(id) <= Health::Responding).count();
        responding as isize - (set.len() / 2 + 1) as isize
    };
    let tolerates_as_many =
        tolerated_failures(new_voters.len()) + pairs_removed >= tolerated_failures(voters.len());
    (tolerates_as_many && spare_responding(&new_voters) > spare_responding(voters)).then_some(new_voters)
}

/// Removes voters that are gone in pairs, as long as `min_voters` remain. Returns the number of pairs.
fn remove_pairs(
    new_voters: &mut VoterSet,
    replaceable: &mut Vec<(Health, NodeId)>,
    min_voters: usize,
) -> usize {
    let removable_pairs = new_voters.len().saturating_sub(min_voters.max(MIN_SHRUNK_VOTERS)) / 2;
    let pairs = removable_pairs.min(replaceable.len() / 2);
    for (_, id) in replaceable.drain(replaceable.len() - 2 * pairs..) {
        new_voters.remove(&id.name);
    }
    pairs
}

/// Replaces each voter that does not respond by the waiting node of the same name with a new disk. Returns the other
/// waiting nodes. A waiting node that has the name of a responding voter is dropped: names are unique.
fn replace_lost_disks(
    new_voters: &mut VoterSet,
    waiting: &VoterSet,
    health: &impl Fn(&NodeId) -> Health,
) -> VoterSet {
    let mut others = waiting.clone();
    others.retain(|name, disk_id| {
        let Some(old_disk_id) = new_voters.get(name).copied() else { return true };
        if health(&NodeId { name: name.clone(), disk_id: old_disk_id }) > Health::Responding {
            new_voters.insert(name.clone(), *disk_id);
        }
        false
    });
    others
}

/// Makes an even set odd, since it tolerates no more failures than a set of one voter less: removes a failed
/// voter, or adds a waiting node.
fn make_odd(new_voters: &mut VoterSet, waiting: &mut VoterSet, replaceable: &mut Vec<(Health, NodeId)>) {
    // Sorted, so that a failed voter is last.
    match replaceable.pop_if(|(health, _)| *health == Health::Failed) {
        Some((_, id)) if new_voters.len() > 2 => {
            new_voters.remove(&id.name);
        }
        _ => new_voters.extend(waiting.pop_first()),
    }
}
