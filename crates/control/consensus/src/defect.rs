//! Defects to plant, each of which some small world must find.

/// A way to get the change of voters wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A voter is exchanged in one entry, without both majorities.
    NoJoint,
    /// The old voters are forgotten before a majority of them has agreed to it.
    JointLeftEarly,
    /// While the voters change, a majority of the new ones elects alone.
    NewMajorityAlone,
    /// A newcomer votes before it has what is agreed on.
    NotCaughtUp,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 4] =
        [Defect::NoJoint, Defect::JointLeftEarly, Defect::NewMajorityAlone, Defect::NotCaughtUp];

    /// Its name on a command line.
    pub fn name(self) -> &'static str {
        match self {
            Defect::NoJoint => "no-joint",
            Defect::JointLeftEarly => "joint-left-early",
            Defect::NewMajorityAlone => "new-majority-alone",
            Defect::NotCaughtUp => "not-caught-up",
        }
    }
}

#[cfg(feature = "defects")]
impl crate::Core {
    /// Gets it wrong from now on.
    pub fn plant(&mut self, defect: Option<Defect>) {
        self.defect = defect;
    }
}

#[cfg(feature = "defects")]
impl crate::Core {
    /// What its next steps depend on, but for clocks and chance: the same for two that go on alike.
    pub fn digest(&self, now: crate::Time, to: &mut impl std::hash::Hasher) {
        use crate::{Role, PATIENCE};
        use std::hash::Hash;
        let recent = |at: crate::Time| now.saturating_sub(at) < PATIENCE;
        (&self.id, self.term, &self.vote, self.agreed, &self.holder, self.ends).hash(to);
        (self.heard.is_some_and(recent), now < self.silent_until).hash(to);
        self.log.hash(to);
        match &self.role {
            Role::Follower => 0.hash(to),
            Role::Candidate { trial, given } => (1, trial, given).hash(to),
            Role::Holder(h) => {
                (2, h.first, h.named, &h.reads).hash(to);
                for (id, peer) in &h.peers {
                    (id, peer.matched, peer.next, recent(peer.heard), peer.transfer()).hash(to);
                }
                h.guests.iter().for_each(|(name, (disk, _, votes))| (name, disk, votes).hash(to));
                h.leaving.keys().for_each(|id| id.hash(to));
            }
        }
    }

    /// The log, from the place behind its start on.
    pub fn log(&self) -> (crate::Place, &[crate::Entry]) {
        (self.log.start(), self.log.entries())
    }
}
