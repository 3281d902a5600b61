//! Defects to plant, each of which some small world must find.

/// A way to get the change of voters wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A voter is exchanged in one entry, without both majorities.
    SkipJointConsensus,
    /// The old voters are forgotten before a majority of them has agreed to it.
    JointConfigurationLeftEarly,
    /// While the voters change, a majority of the new ones elects alone.
    NewMajorityElectsAlone,
    /// A newcomer votes before it has what is agreed on.
    LearnerVotesTooSoon,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 4] = [
        Defect::SkipJointConsensus,
        Defect::JointConfigurationLeftEarly,
        Defect::NewMajorityElectsAlone,
        Defect::LearnerVotesTooSoon,
    ];

    /// Its name on a command line.
    pub fn name(self) -> &'static str {
        match self {
            Defect::SkipJointConsensus => "no-joint",
            Defect::JointConfigurationLeftEarly => "joint-left-early",
            Defect::NewMajorityElectsAlone => "new-majority-alone",
            Defect::LearnerVotesTooSoon => "not-caught-up",
        }
    }
}

#[cfg(feature = "defects")]
impl crate::RaftNode {
    /// Gets it wrong from now on.
    pub fn plant(&mut self, defect: Option<Defect>) {
        self.defect = defect;
    }
}

#[cfg(feature = "defects")]
impl crate::RaftNode {
    /// What its next steps depend on, but for clocks and chance: the same for two that go on alike.
    pub fn digest(&self, now: crate::Time, to: &mut impl std::hash::Hasher) {
        use crate::{Role, MIN_ELECTION_TIMEOUT};
        use std::hash::Hash;
        let recent = |at: crate::Time| now.saturating_sub(at) < MIN_ELECTION_TIMEOUT;
        (&self.id, self.term, &self.vote, self.commit_index, &self.leader, self.shutting_down).hash(to);
        (self.leader_heard_at.is_some_and(recent), now < self.vote_grant_blocked_until).hash(to);
        self.log.hash(to);
        match &self.role {
            Role::Follower => 0.hash(to),
            Role::Candidate { pre_vote: trial, granted: given } => (1, trial, given).hash(to),
            Role::Leader(h) => {
                (2, h.first_index, h.transfer_started, &h.pending_reads).hash(to);
                for (id, peer) in &h.progress {
                    (id, peer.match_index, peer.next_index, recent(peer.contact), peer.transfer()).hash(to);
                }
                h.learners.iter().for_each(|(name, (disk, _, votes))| (name, disk, votes).hash(to));
                h.leaving.keys().for_each(|id| id.hash(to));
            }
        }
    }

    /// The log, from the place behind its start on.
    pub fn log(&self) -> (crate::LogIndex, &[crate::Entry]) {
        (self.log.snapshot_index(), self.log.entries())
    }
}
