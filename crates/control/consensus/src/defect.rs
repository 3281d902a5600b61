//! Defects that tests plant on purpose: exhaustive exploration of small clusters must find each of them.

/// A defect in voter changes or elections that tests can plant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A voter is replaced by a single configuration entry, without majorities of both sets.
    SkipJointConsensus,
    /// The leader leaves the joint configuration before it is committed.
    JointConfigurationLeftEarly,
    /// During joint consensus a majority of the new voters alone can elect a leader.
    NewMajorityElectsAlone,
    /// A learner becomes a voter before it has all committed entries.
    LearnerVotesTooSoon,
}

impl Defect {
    /// All defects.
    pub const ALL: [Defect; 4] = [
        Defect::SkipJointConsensus,
        Defect::JointConfigurationLeftEarly,
        Defect::NewMajorityElectsAlone,
        Defect::LearnerVotesTooSoon,
    ];

    /// Returns the defect's name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Defect::SkipJointConsensus => "skip-joint-consensus",
            Defect::JointConfigurationLeftEarly => "joint-configuration-left-early",
            Defect::NewMajorityElectsAlone => "new-majority-elects-alone",
            Defect::LearnerVotesTooSoon => "learner-votes-too-soon",
        }
    }
}
