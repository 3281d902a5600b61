//! Access for tests: planted defects, the log, and a digest of the state that identifies equal nodes.

use super::{RaftNode, Role};
use crate::defect::Defect;
use crate::entry::Entry;
use crate::types::{LogIndex, Time};
use crate::MIN_ELECTION_TIMEOUT;
use std::hash::{Hash, Hasher};

impl RaftNode {
    /// Plants a defect, or removes it.
    pub fn plant(&mut self, defect: Option<Defect>) {
        self.defect = defect;
    }

    /// Returns the snapshot's index and the log entries after it.
    pub fn log(&self) -> (LogIndex, &[Entry]) {
        (self.log.snapshot_index(), self.log.entries())
    }

    /// Hashes the state that future behavior depends on, except clocks and random numbers. Nodes that behave
    /// alike have equal digests.
    pub fn digest(&self, now: Time, hasher: &mut impl Hasher) {
        let is_recent = |at: Time| now.saturating_sub(at) < MIN_ELECTION_TIMEOUT;
        (&self.id, self.term, &self.vote, self.commit_index, &self.leader, self.shutting_down).hash(hasher);
        (self.last_leader_contact.is_some_and(is_recent), now < self.vote_grant_blocked_until).hash(hasher);
        self.log.hash(hasher);
        match &self.role {
            Role::Follower => 0.hash(hasher),
            Role::Candidate { pre_vote, granted } => (1, pre_vote, granted).hash(hasher),
            Role::Leader(leader) => {
                (2, leader.first_index, leader.transfer_started, &leader.pending_reads).hash(hasher);
                for (id, progress) in &leader.progress {
                    let in_contact = is_recent(progress.last_contact);
                    (id, progress.match_index, progress.next_index, in_contact).hash(hasher);
                    progress.transfer_state().hash(hasher);
                }
                for (name, learner) in &leader.learners {
                    (name, learner.disk_id, learner.wants_vote).hash(hasher);
                }
                leader.leaving.keys().for_each(|id| id.hash(hasher));
            }
        }
    }
}
