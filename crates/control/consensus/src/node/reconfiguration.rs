//! Changes of the voters, by joint consensus (Ongaro's thesis, 4.3). [`improved_voter_set`] says which.

use super::leader_state::LeaderState;
use super::{RaftNode, Role};
use crate::defect::Defect;
use crate::entry::EntryPayload;
use crate::event::Output;
use crate::progress::Progress;
use crate::types::{NodeId, Time, VoterSet};
use crate::voter_selection::{improved_voter_set, Health};
use crate::{MIN_ELECTION_TIMEOUT, VOTER_REPLACEMENT_TIMEOUT};

/// A learner that has not joined again for so long is forgotten.
const LEARNER_TIMEOUT: Time = 10 * MIN_ELECTION_TIMEOUT;

impl RaftNode {
    /// A node is there and may be no voter: it is replicated to from now on.
    pub(super) fn join(&mut self, now: Time, id: &NodeId, wants_vote: bool) {
        let is_voter = self.log.voters().contains(id);
        let Role::Leader(leader) = &mut self.role else { return };
        if !is_voter && id.name != self.id.name {
            leader.add_learner(now, id, wants_vote);
        }
    }

    /// Takes the next step of a change of voters, begins one that improves matters, or gives up leadership if this node is
    /// no voter any more. Only once the step before is committed, and an entry of this term.
    pub(super) fn reconfigure(&mut self, now: Time, out: &mut Vec<Output>) {
        let voters = self.log.voters();
        let step_committed = self.log.voters_index() <= self.commit_index;
        if !step_committed && !self.has_defect(Defect::JointConfigurationLeftEarly) {
            return;
        }
        if voters.is_joint() {
            self.append(EntryPayload::Configuration(voters.target().clone()), out);
            return self.broadcast_append(now, out);
        }
        if !voters.contains(&self.id) {
            self.transfer_leadership(self.log.last_index(), out);
            return self.become_follower(now, out);
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
        self.append(change, out);
        self.broadcast_append(now, out);
    }

    /// Forgets learners and leave requests that are old, and replicates to voters and learners alone.
    fn update_learners(&mut self, now: Time) {
        let (voters, next_index) = (self.log.voters().clone(), self.log.last_index() + 1);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.learners.retain(|name, learner| {
            let is_voter = voters.target().get(name) == Some(&learner.disk_id);
            !is_voter && now.saturating_sub(learner.last_joined) < LEARNER_TIMEOUT
        });
        leader
            .leaving
            .retain(|id, at| voters.contains(id) && now.saturating_sub(*at) < VOTER_REPLACEMENT_TIMEOUT);
        let learner_ids: Vec<NodeId> = leader.learner_ids().collect();
        leader.progress.retain(|id, _| voters.contains(id) || learner_ids.contains(id));
        for id in learner_ids {
            leader.progress.entry(id).or_insert_with(|| Progress::new(next_index));
        }
    }

    /// The voters as they should be, if that is better.
    fn improved_voters(&self, now: Time, leader: &LeaderState) -> Option<VoterSet> {
        let waiting = leader.learners.iter().filter(|(_, learner)| learner.wants_vote);
        let waiting = waiting.filter(|(name, learner)| {
            let id = NodeId { name: (*name).clone(), disk_id: learner.disk_id };
            self.is_caught_up(now, leader, &id)
        });
        let waiting = waiting.map(|(name, learner)| (name.clone(), learner.disk_id)).collect();
        improved_voter_set(self.log.voters().target(), &waiting, |id| self.voter_health(now, leader, id))
    }

    /// Whether a learner has all that is committed, and answers.
    fn is_caught_up(&self, now: Time, leader: &LeaderState, id: &NodeId) -> bool {
        let Some(progress) = leader.progress.get(id) else { return false };
        let has_all =
            progress.match_index >= self.commit_index || self.has_defect(Defect::LearnerVotesTooSoon);
        has_all && now.saturating_sub(progress.contact) < MIN_ELECTION_TIMEOUT
    }

    fn voter_health(&self, now: Time, leader: &LeaderState, id: &NodeId) -> Health {
        if *id == self.id {
            return if self.shutting_down { Health::Leaving } else { Health::Responding };
        }
        let contact = self.contact_with(leader, id);
        let silent_for = now.saturating_sub(contact.max(leader.elected_at));
        if silent_for >= VOTER_REPLACEMENT_TIMEOUT {
            Health::Failed
        } else if leader.leaving.contains_key(id) {
            Health::Leaving
        } else if silent_for >= MIN_ELECTION_TIMEOUT {
            Health::Unresponsive
        } else if contact == 0 {
            Health::New
        } else {
            Health::Responding
        }
    }
}
