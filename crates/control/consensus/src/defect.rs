//! Defects that tests plant, each of which some small world must find.

/// A way to get a change of voters wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A voter is exchanged in one entry, without both majorities.
    SkipJointConsensus,
    /// The old voters are forgotten before a majority of them has agreed to it.
    JointConfigurationLeftEarly,
    /// While the voters change, a majority of the new ones elects alone.
    NewMajorityElectsAlone,
    /// A learner becomes a voter before it has what is committed.
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
            Defect::SkipJointConsensus => "skip-joint-consensus",
            Defect::JointConfigurationLeftEarly => "joint-configuration-left-early",
            Defect::NewMajorityElectsAlone => "new-majority-elects-alone",
            Defect::LearnerVotesTooSoon => "learner-votes-too-soon",
        }
    }
}
