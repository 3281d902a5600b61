//! Defects to plant, each of which some simulated world must find.

/// A way to get a prompter wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Messages go out before what they rest on is on the disk.
    SendBeforeSync,
    /// Whoever leads answers reads without asking anybody.
    ReadWithoutQuorum,
    /// A change is acknowledged when it is proposed.
    AcknowledgeBeforeCommit,
    /// The leader lends for a second beyond its lease.
    LeasePastItsEnd,
    /// Two changes on one base are both taken.
    BaseIgnored,
    /// A drain is acknowledged before it is agreed on.
    DrainForgotten,
    /// A prompter that begins again votes at once, though it may have promised not to.
    VoteRightAfterRestart,
    /// The keeper lends the even parts of those that it does not hear.
    FallbackSharesGranted,
    /// A trial is over when the leader's own clock says so.
    LeadersClockAlone,
    /// A new keeper does not know whose trial is over.
    ExpiredTrialsForgotten,
    /// A prompter that has lost the majority goes on telling gateways that it is in touch.
    ClaimsQuorumContact,
    /// To have heard the leader is taken for contact with a majority.
    HeartbeatCountsAsContact,
    /// What rests on a save is said though the disk refused it.
    SendWithoutStorage,
    /// Whoever is asked decides on an order by what it knows itself, without asking a majority.
    DecideWithoutQuorum,
    /// Only the newest order is known again when it is sent again.
    AppliedChangeForgotten,
    /// An order with a number that was taken is confirmed, whatever its bytes.
    VersionAloneAcknowledged,
    /// The base is looked at before whether that very order was taken.
    BaseCheckedFirst,
    /// The snapshot knows the newest order alone.
    SnapshotForgetsVersions,
    /// The log is folded, and the state stays the old one.
    StaleSnapshotState,
    /// A prompter that was cut off ends the backends that it did not hear.
    IsolatedNodeExpiresBackends,
    /// A backend that others name by its id alone is not asked for where it is not known.
    UnknownInstancesIgnored,
    /// A scene does not name those who leave.
    SnapshotForgetsDrains,
    /// A pulse does not say that there is a newer configuration, which is still on its way.
    HeartbeatHidesNewest,
    /// Nobody who is not among the first voters ever votes.
    LearnerNeverVotes,
}

#[cfg(feature = "simulation")]
impl Defect {
    /// All of them.
    pub const ALL: [Defect; 24] = [
        Defect::SendBeforeSync,
        Defect::ReadWithoutQuorum,
        Defect::AcknowledgeBeforeCommit,
        Defect::LeasePastItsEnd,
        Defect::BaseIgnored,
        Defect::DrainForgotten,
        Defect::VoteRightAfterRestart,
        Defect::FallbackSharesGranted,
        Defect::LeadersClockAlone,
        Defect::ExpiredTrialsForgotten,
        Defect::ClaimsQuorumContact,
        Defect::HeartbeatCountsAsContact,
        Defect::SendWithoutStorage,
        Defect::DecideWithoutQuorum,
        Defect::AppliedChangeForgotten,
        Defect::VersionAloneAcknowledged,
        Defect::BaseCheckedFirst,
        Defect::SnapshotForgetsVersions,
        Defect::StaleSnapshotState,
        Defect::IsolatedNodeExpiresBackends,
        Defect::UnknownInstancesIgnored,
        Defect::SnapshotForgetsDrains,
        Defect::HeartbeatHidesNewest,
        Defect::LearnerNeverVotes,
    ];
}

impl crate::ControlNode {
    /// Whether this defect was planted; never in what ships.
    pub(crate) fn has(&self, _defect: Defect) -> bool {
        #[cfg(feature = "simulation")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "simulation"))]
        false
    }
}
