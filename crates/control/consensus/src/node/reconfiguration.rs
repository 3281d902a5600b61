//! Reconfiguration of the voters by joint consensus (4.3). [`improved_voter_set`] selects the new voters.

use super::leader_state::LeaderState;
use super::{RaftNode, Role};
use crate::defect::Defect;
use crate::entry::EntryPayload;
use crate::event::Output;
use crate::progress::Progress;
use crate::types::{NodeId, Time, VoterSet};
use crate::voter_selection::{improved_voter_set, Health};
use crate::{MIN_ELECTION_TIMEOUT, VOTER_REPLACEMENT_TIMEOUT};

/// A learner is removed when it has not repeated its join request for this long.
const LEARNER_TIMEOUT: Time = 10 * MIN_ELECTION_TIMEOUT;

impl RaftNode {
    /// Handles a join request: a node that is not a voter becomes a learner, which receives the log.
    pub(super) fn join(&mut self, now: Time, id: &NodeId, wants_vote: bool) {
        let is_voter = self.log.voters().contains(id);
        let Role::Leader(leader) = &mut self.role else { return };
        if !is_voter && id.name != self.id.name {
            leader.add_learner(now, id, wants_vote);
        }
    }

    /// Takes the next step of a reconfiguration: leaves joint consensus, transfers leadership if this node is
    /// no longer a voter, or starts a change to a better set of voters. Requires that the previous step and
    /// an entry of this term are committed; the caller checks the latter.
    pub(super) fn reconfigure(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let voters = self.log.voters();
        let step_committed = self.log.voters_index() <= self.commit_index;
        if !step_committed && !self.has_defect(Defect::JointConfigurationLeftEarly) {
            return;
        }
        if voters.is_joint() {
            self.append(EntryPayload::Configuration(voters.target().clone()), outputs);
            return self.broadcast_append(now, outputs);
        }
        if !voters.contains(&self.id) {
            self.transfer_leadership(self.log.last_index(), outputs);
            return self.become_follower(now, outputs);
        }
        self.update_learners(now);
        let Role::Leader(leader) = &self.role else { return };
        let Some(new) = self.improved_voters(now, leader).filter(|_| !leader.transfer_started) else {
            return;
        };
        let old = self.log.voters().target().clone();
        let change = if self.has_defect(Defect::SkipJointConsensus) {
            EntryPayload::Configuration(new)
        } else {
            EntryPayload::JointConfiguration { old, new }
        };
        self.append(change, outputs);
        self.broadcast_append(now, outputs);
    }

    /// Removes expired learners and leave requests, and restricts replication to voters and learners.
    fn update_learners(&mut self, now: Time) {
        let (voters, next_index) = (self.log.voters().clone(), self.log.last_index() + 1);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.learners.retain(|name, learner| {
            let is_voter = voters.target().get(name) == Some(&learner.disk_id);
            !is_voter && now.saturating_sub(learner.last_join_at) < LEARNER_TIMEOUT
        });
        leader.leaving.retain(|id, last_request| {
            voters.contains(id) && now.saturating_sub(*last_request) < VOTER_REPLACEMENT_TIMEOUT
        });
        let learner_ids: Vec<NodeId> = leader.learner_ids().collect();
        leader.progress.retain(|id, _| voters.contains(id) || learner_ids.contains(id));
        for id in learner_ids {
            leader.progress.entry(id).or_insert_with(|| Progress::new(next_index));
        }
    }

    /// Returns a better set of voters than the current one, if there is one.
    fn improved_voters(&self, now: Time, leader: &LeaderState) -> Option<VoterSet> {
        let waiting = leader.learners.iter().filter(|(_, learner)| learner.wants_vote);
        let waiting = waiting.filter(|(name, learner)| {
            let id = NodeId { name: (*name).clone(), disk_id: learner.disk_id };
            self.is_caught_up(now, leader, &id)
        });
        let waiting = waiting.map(|(name, learner)| (name.clone(), learner.disk_id)).collect();
        let health = |id: &NodeId| self.voter_health(now, leader, id);
        improved_voter_set(self.log.voters().target(), &waiting, self.min_voters, health)
    }

    /// Returns whether a learner has all committed entries and responds.
    fn is_caught_up(&self, now: Time, leader: &LeaderState, id: &NodeId) -> bool {
        let Some(progress) = leader.progress.get(id) else { return false };
        let has_committed_log =
            progress.match_index >= self.commit_index || self.has_defect(Defect::LearnerVotesTooSoon);
        has_committed_log && now.saturating_sub(progress.last_contact) < MIN_ELECTION_TIMEOUT
    }

    fn voter_health(&self, now: Time, leader: &LeaderState, id: &NodeId) -> Health {
        if *id == self.id {
            return if self.shutting_down { Health::Leaving } else { Health::Responding };
        }
        let last_contact = self.last_contact_with(leader, id);
        let unresponsive_for = now.saturating_sub(last_contact.max(leader.elected_at));
        if unresponsive_for >= VOTER_REPLACEMENT_TIMEOUT {
            Health::Failed
        } else if leader.leaving.contains_key(id) {
            Health::Leaving
        } else if unresponsive_for >= MIN_ELECTION_TIMEOUT {
            Health::Unresponsive
        } else if last_contact == 0 {
            Health::New
        } else {
            Health::Responding
        }
    }
}
