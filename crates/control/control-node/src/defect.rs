//! Defects that the simulation plants. At least one simulated world must detect each of them.

/// A deliberate fault in the control node's logic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Messages are sent before the state they depend on is durable.
    SendBeforeSync,
    /// The leader answers reads without a heartbeat round to a majority.
    ReadWithoutQuorum,
    /// A change is acknowledged when it is proposed.
    AcknowledgeBeforeCommit,
    /// The leader grants quota for one second after its lease has expired.
    LeasePastItsEnd,
    /// Two changes with the same base version are both applied.
    BaseIgnored,
    /// A drain is acknowledged before it is committed.
    DrainForgotten,
    /// A restarted node votes at once, although it may have heard from a leader just before the restart.
    VoteRightAfterRestart,
    /// The coordinator grants the fallback shares of gateways from which it receives no requests.
    FallbackSharesGranted,
    /// A trial expires by the leader's clock alone, without the clocks of a majority.
    LeadersClockAlone,
    /// A coordinator ignores which tenants' trials have expired.
    ExpiredTrialsForgotten,
    /// A node that has lost contact with the quorum keeps reporting contact to gateways.
    ClaimsQuorumContact,
    /// A heartbeat from the leader counts as proof of quorum contact.
    HeartbeatCountsAsContact,
    /// Messages that depend on a save are sent although the save failed.
    SendWithoutStorage,
    /// Any node decides on a change from its local state, without confirmation from a majority.
    DecideWithoutQuorum,
    /// Only the newest applied change is recognised when it is resent.
    AppliedChangeForgotten,
    /// A change with the version in force is acknowledged, whatever its bytes.
    VersionAloneAcknowledged,
    /// The base version is checked before checking whether the same change was already applied.
    BaseCheckedFirst,
    /// A snapshot contains only the newest applied version.
    SnapshotForgetsVersions,
    /// Log compaction stores the state of the previous snapshot instead of the current state.
    StaleSnapshotState,
    /// A node that was isolated expires the backends whose heartbeats it missed.
    IsolatedNodeExpiresBackends,
    /// Full heartbeats are not requested for unknown backends that other nodes forward by id only.
    UnknownInstancesIgnored,
    /// A snapshot for gateways omits the draining backends.
    SnapshotForgetsDrains,
    /// Heartbeats to gateways do not announce the index of the newest configuration.
    HeartbeatHidesNewest,
    /// Learners never become voters; only the initial voters ever vote.
    LearnerNeverVotes,
    /// A silent gateway is removed as if its fallback share expired after a tenth of the actual time.
    RemovedTooSoon,
    /// A gateway still receives grants while its removal is being committed.
    AnsweredWhileRemoved,
    /// A former leader keeps proposing gateway removals, and entries of any term apply them.
    RemovalOfAnyTerm,
    /// Control nodes that are gone are kept in the table of known nodes, and told to others.
    NodesNeverForgotten,
    /// A node claims a contact with the quorum that is 100 ms newer than the proven one.
    ClaimsNewerContact,
}

#[cfg(feature = "simulation")]
impl Defect {
    /// All defects.
    pub const ALL: [Defect; 29] = [
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
        Defect::NodesNeverForgotten,
        Defect::ClaimsNewerContact,
    ];
}
