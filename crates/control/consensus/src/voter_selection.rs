//! Which nodes should vote, by how the leader hears the voters. A pure function: no I/O and no clock.

use crate::types::{NodeId, VoterSet};
use crate::voter_configuration::node_ids;

/// How the leader finds a voter, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// It has not answered this leader yet, which was elected a moment ago.
    New,
    /// It answers.
    Responding,
    /// It has not answered for a moment: only the same machine with another disk may take its place.
    Unresponsive,
    /// It shuts down: any node that waits may take its place.
    Leaving,
    /// It has not answered for long: any node that waits may take its place.
    Failed,
}

/// How many of so many voters may be lost, if all are there.
fn tolerated_losses(voters: usize) -> usize {
    voters.saturating_sub(1) / 2
}

/// The voters that should replace `voters`, if that is better. All of `waiting` have caught up, answer, and want a vote.
///
/// The new set tolerates at least as many losses as the old one when all are there, and more as things stand. So it never
/// gets smaller, except from an even number by one that failed, which tolerates as many; and nobody is removed for being
/// silent alone: another node takes the place.
pub(crate) fn improved_voter_set(
    voters: &VoterSet,
    waiting: &VoterSet,
    health: impl Fn(&NodeId) -> Health,
) -> Option<VoterSet> {
    let mut new = voters.clone();
    let mut waiting = replace_lost_disks(&mut new, waiting, &health);
    let mut replaceable: Vec<(Health, NodeId)> = node_ids(voters)
        .map(|id| (health(&id), id))
        .filter(|(health, id)| *health >= Health::Leaving && new.get(&id.name) == Some(&id.disk_id))
        .collect();
    replaceable.sort();
    while let Some((name, disk_id)) = (!replaceable.is_empty()).then(|| waiting.pop_first()).flatten() {
        if let Some((_, worst)) = replaceable.pop() {
            new.remove(&worst.name);
            new.insert(name, disk_id);
        }
    }
    if new.len().is_multiple_of(2) {
        make_odd(&mut new, &mut waiting, replaceable);
    }
    // While a voter is silent, whoever waits may be needed in its place.
    let all_respond = node_ids(voters).all(|id| health(&id) == Health::Responding);
    while all_respond && waiting.len() > 1 {
        new.extend(waiting.pop_first());
        new.extend(waiting.pop_first());
    }
    let spare_responding = |set: &VoterSet| {
        let is_new = |id: &NodeId| voters.get(&id.name) != Some(&id.disk_id);
        let responding = node_ids(set).filter(|id| is_new(id) || health(id) <= Health::Responding).count();
        responding as isize - (set.len() / 2 + 1) as isize
    };
    let tolerates_as_many = tolerated_losses(new.len()) >= tolerated_losses(voters.len());
    (tolerates_as_many && spare_responding(&new) > spare_responding(voters)).then_some(new)
}

/// Gives the place of a voter that does not answer to the same machine with another disk; whoever else waits is returned.
/// A waiting node whose name is a responding voter's waits in vain: names are unique.
fn replace_lost_disks(
    new: &mut VoterSet,
    waiting: &VoterSet,
    health: &impl Fn(&NodeId) -> Health,
) -> VoterSet {
    let mut others = waiting.clone();
    others.retain(|name, disk_id| {
        let Some(old_disk_id) = new.get(name).copied() else { return true };
        if health(&NodeId { name: name.clone(), disk_id: old_disk_id }) > Health::Responding {
            new.insert(name.clone(), *disk_id);
        }
        false
    });
    others
}

/// An even number of voters tolerates no more losses than one voter less: a failed one goes, or one that waits joins.
fn make_odd(new: &mut VoterSet, waiting: &mut VoterSet, replaceable: Vec<(Health, NodeId)>) {
    let failed = replaceable.iter().rfind(|(health, _)| *health == Health::Failed);
    match failed {
        Some((_, id)) if new.len() > 2 => {
            new.remove(&id.name);
        }
        _ => new.extend(waiting.pop_first()),
    }
}
