//! Defects that the simulation plants, each of which some simulated world must find.

/// A way to get a control node wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Messages are sent before what they rest on is durable.
    SendBeforeSync,
    /// The leader answers reads without a heartbeat round.
    ReadWithoutQuorum,
    /// A change is acknowledged when it is proposed.
    AcknowledgeBeforeCommit,
    /// The leader grants quota for a second beyond its lease.
    LeasePastItsEnd,
    /// Two changes on one base are both applied.
    BaseIgnored,
    /// A drain is acknowledged before it is committed.
    DrainForgotten,
    /// A restarted node votes at once, though it may have heard a leader just before.
    VoteRightAfterRestart,
    /// The coordinator grants the fallback shares of gateways that it does not hear.
    FallbackSharesGranted,
    /// A trial expires when the leader's own clock says so.
    LeadersClockAlone,
    /// A new coordinator does not know whose trial has expired.
    ExpiredTrialsForgotten,
    /// A node that has lost the majority goes on telling gateways that it is in contact.
    ClaimsQuorumContact,
    /// A heartbeat of the leader counts as contact with a majority.
    HeartbeatCountsAsContact,
    /// What rests on a save is sent though the save failed.
    SendWithoutStorage,
    /// Any node decides on a change by what it knows itself, without asking a majority.
    DecideWithoutQuorum,
    /// Only the newest change is recognised when it is sent again.
    AppliedChangeForgotten,
    /// A change of an applied version is acknowledged, whatever its bytes.
    VersionAloneAcknowledged,
    /// The base is checked before whether that very change was applied.
    BaseCheckedFirst,
    /// A snapshot holds the newest applied version alone.
    SnapshotForgetsVersions,
    /// The log is compacted, and the snapshot holds the old state.
    StaleSnapshotState,
    /// A node that was isolated expires the backends that it did not hear.
    IsolatedNodeExpiresBackends,
    /// Heartbeats of unknown backends that others name by id alone are not asked for.
    UnknownInstancesIgnored,
    /// A snapshot for gateways does not name draining backends.
    SnapshotForgetsDrains,
    /// A heartbeat to gateways does not say that a newer configuration is on its way.
    HeartbeatHidesNewest,
    /// No node but the first voters ever becomes one.
    LearnerNeverVotes,
    /// A silent gateway is removed after a tenth of the time.
    RemovedTooSoon,
    /// A gateway is answered while its removal is on its way.
    AnsweredWhileRemoved,
    /// A leader of long ago goes on removing gateways, and the removals count.
    RemovalOfAnyTerm,
}

#[cfg(feature = "simulation")]
impl Defect {
    /// All of them.
    pub const ALL: [Defect; 27] = [
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
        Defect::RemovedTooSoon,
        Defect::AnsweredWhileRemoved,
        Defect::RemovalOfAnyTerm,
    ];
}
